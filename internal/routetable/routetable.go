// Package routetable holds the routes of the service configuration and finds
// the route of a request. A Table is immutable, so that traffic goroutines read
// it without locks.
package routetable

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload requests carry large bodies and run at most once.
	Upload
)

// Repeatable tells whether a request of this kind may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent }

// Target is one service that a route sends to.
type Target struct {
	Service string
	// Weight is the share of the requests relative to the sum of all weights.
	Weight float64
}

// Route tells where the requests below a path prefix of a host name go.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Targets            []Target
	// Timeout is the longest time that a caller is kept waiting. 0 is no limit.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Rank is the rank; 0 is the most urgent.
	Rank int
	// Regions lists the regions that may serve the route. Empty allows all.
	Regions []string
	// Affinity tells that a backend server answers faster when it has handled
	// the same object recently.
	Affinity bool
}

// AllowsRegion tells whether the route may be served in the region.
func (r *Route) AllowsRegion(region string) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, allowed := range r.Regions {
		if allowed == region {
			return true
		}
	}
	return false
}

// PickService returns the service for a request; u is uniform in [0, 1).
func (r *Route) PickService(u float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	u *= total
	for _, t := range r.Targets {
		if u < t.Weight {
			return t.Service
		}
		u -= t.Weight
	}
	for i := len(r.Targets) - 1; i >= 0; i-- {
		if r.Targets[i].Weight > 0 {
			return r.Targets[i].Service
		}
	}
	return ""
}

// Service describes how the backend servers of a service behave.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one backend server from all
	// hosts together.
	MaxConnections int
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold backend server
	// takes from all hosts together.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	hosts    map[string][]*Route
	count    int
}

// Errors of New.
var (
	ErrNoTarget       = errors.New("route has no service with a positive weight")
	ErrUnknownService = errors.New("route names an unknown service")
	ErrPrefix         = errors.New("path prefix must begin and end with a slash")
)

// New returns the table of a configuration. It refuses a route without a usable
// service and a route with a malformed prefix.
func New(version uint64, limits Limits, services []Service, routes []Route) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, hosts: map[string][]*Route{}, count: len(routes)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := t.check(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("%w: %q", ErrPrefix, r.Prefix)
	}
	usable := false
	for _, target := range r.Targets {
		if _, ok := t.Services[target.Service]; !ok {
			return fmt.Errorf("%w: %q", ErrUnknownService, target.Service)
		}
		usable = usable || target.Weight > 0
	}
	if !usable {
		return ErrNoTarget
	}
	if r.MaxAttempts < 1 {
		r.MaxAttempts = 1
	}
	return nil
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Lookup returns the route with the longest prefix that begins the path, or nil.
// host may carry a port; path is the path as the caller sent it.
func (t *Table) Lookup(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
