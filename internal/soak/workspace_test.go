package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// tenant is a workspace in the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
	Regions  []string `json:"allowed_regions"`
}

const (
	// keyPrefix begins each key, so that one is recognized anywhere.
	keyPrefix = "soak-key-"
	// movingKey is held by one workspace in odd versions and by another one in even ones.
	movingKey = keyPrefix + "moving"
	// unknownKey is in no configuration.
	unknownKey = keyPrefix + "unknown"
	// greedyPause is the time between an answer and a greedy caller's next request.
	greedyPause = 4 * time.Millisecond
	// Greedy callers send for greedyOn of each greedyPeriod, so that their burst is full again.
	greedyPeriod = 7 * time.Second
	greedyOn     = 3 * time.Second

	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// permanentKey returns the key that a workspace has in all versions.
func permanentKey(workspace string) string { return keyPrefix + workspace }

// rotatingKey returns the key that is added in a version and removed two versions later.
func rotatingKey(version int) string { return fmt.Sprint(keyPrefix, "rotating-v", version) }

// tenantsOf returns the workspaces of a version. The quota of the greedy one is too small for
// safe shares with some seeds, and allows them with others.
func tenantsOf(seed int64, version int) []tenant {
	greedyRate, greedyBurst := 20.0, 10.0
	if seed%3 == 0 {
		greedyRate, greedyBurst = 40, 250
	}
	list := []tenant{
		{"steady", []string{rotatingKey(version), rotatingKey(version - 1)}, 0, 0, 0, nil},
		{"modest", nil, 1, 100, 300, nil},
		{"greedy", nil, 2, greedyRate, greedyBurst, nil},
		{"local", nil, 1, 0, 0, []string{"r0"}},
	}
	for i := range list {
		list[i].Keys = append(list[i].Keys, permanentKey(list[i].Name))
	}
	holder := &list[version%2]
	holder.Keys = append(holder.Keys, movingKey)
	return list
}

// quotaLimit returns the most requests of a workspace that may run in quotaWindow.
func (t tenant) quotaLimit() int {
	return int((t.Rate*quotaWindow.Seconds()+t.Burst)*(1+quotaOverage) + quotaSlack)
}

// admits returns the workspace as which a version serves a request, "" if none, and whether
// it serves the request.
func (v version) admits(r *request) (workspace string, ok bool) {
	if len(v.tenants) == 0 {
		return "", true
	}
	if len(r.keys) == 1 {
		for _, t := range v.tenants {
			if slices.Contains(t.Keys, r.keys[0]) {
				return t.Name, true
			}
		}
	}
	return "", r.public
}

// withWorkspaces reports whether the configurations of the run have workspaces. One seed in
// four has none and tests a deployment without them.
func (sr *soakRun) withWorkspaces() bool { return sr.seed%4 != 2 }

// pause returns the time between an answer and the next request.
func (c *caller) pause() time.Duration {
	if !c.greedy {
		return requestPause
	}
	if at := time.Since(c.began) % greedyPeriod; at > greedyOn {
		return greedyPeriod - at
	}
	return greedyPause
}

// credentialLines chooses the credentials of a request and returns its header lines of
// credentials and, with some requests, forged lines with a workspace.
func (c *caller) credentialLines(r *request) string {
	if c.workspace == "" {
		return ""
	}
	r.keys = c.chooseKeys()
	var lines strings.Builder
	for _, key := range r.keys {
		lines.WriteString("Galenabeam-Credential: " + key + "\r\n")
	}
	switch c.rng.Intn(8) {
	case 0:
		lines.WriteString("Galenabeam-Tenant-Id: forged\r\ngalenabeam-tenant-ID: steady\r\n")
	case 1:
		lines.WriteString("GALENABEAM-TENANT-ID: forged\r\nConnection: galenabeam-tenant-id\r\n")
	}
	return lines.String()
}

func (c *caller) chooseKeys() []string {
	if c.greedy {
		return []string{permanentKey(c.workspace)}
	}
	newest := c.probeVersion()
	switch c.rng.Intn(20) {
	case 0:
		return []string{unknownKey}
	case 1:
		return []string{permanentKey("steady"), permanentKey("modest")}
	case 2:
		return nil
	case 3:
		return []string{rotatingKey(newest)}
	case 4:
		return []string{rotatingKey(newest - c.rng.Intn(4))}
	case 5:
		return []string{movingKey}
	}
	return []string{permanentKey(c.workspace)}
}
