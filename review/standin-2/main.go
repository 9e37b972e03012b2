// Command review-cases-2 runs the scripted cases of the second review. It starts entry hosts
// as separate processes and serves as their store, backend servers and clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld, exitBroken, exitUnusable = 0, 1, 2
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec      *record
	net      string
	store    *store
	hosts    []*entryHost
	backends []*backend
}

// route is a route of the configuration. All are of host name "arrivals.example".
type route struct {
	name, kind, prefix, service string
	objective, timeout          time.Duration
	rank                        int
}

const hostName = "arrivals.example"

func millis(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// configuration returns the JSON of a configuration.
func configuration(version int, routes []route, services ...string) map[string]any {
	return limitedConfiguration(version, 64<<20, routes, services...)
}

// limitedConfiguration is configuration with a limit of request bodies in bytes.
func limitedConfiguration(version, maxBody int, routes []route, services ...string) map[string]any {
	var rules, clusters []any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "route_type": r.kind, "target_latency": millis(r.objective), "priority": r.rank, "session_affinity": false,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout": millis(r.timeout), "max_attempts": 2, "allowed_regions": []string{}},
		})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"name": s, "health_check_path": "/health", "max_connections": 878, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 5.1,
		})
	}
	return map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []any{map[string]any{"hostname": hostName, "rules": rules}}, "clusters": clusters,
	}
}

// startDeployment starts the store, with a configuration, and one entry host in each zone.
// prepare starts the backend servers. o are the bounds of its settings.
func startDeployment(o bounds, rec *record, root, dir string, config map[string]any, prepare func(*deployment) error) (*deployment, error) {
	d := &deployment{rec: rec, net: network()}
	var err error
	if d.store, err = newStore(d.net + "1:0"); err != nil {
		return d, err
	}
	d.store.put("op/config", config)
	if err := prepare(d); err != nil {
		return d, err
	}
	var seeds []string
	for n := range zones {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", d.net, 10+n, controlPort))
	}
	for n, z := range zones {
		h, err := startHost(o, root, dir, "front-"+z[0]+"-1", fmt.Sprintf("%s%d", d.net, 10+n), z[0], z[1], d.store.address(), seeds)
		if err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return d, err
		}
	}
	rec.say("%d entry hosts are ready", len(d.hosts))
	return d, nil
}

// addBackend starts a backend server that reports to the store.
func (d *deployment) addBackend(id, service, zone string, slots int, work time.Duration) error {
	b, err := newBackend(d.rec, id, service, zone, fmt.Sprintf("%s%d:0", d.net, 100+len(d.backends)), slots, work)
	if err != nil {
		return err
	}
	d.backends = append(d.backends, b)
	go b.report(d.store)
	return nil
}

// runsOf returns the runs of a request at all backend servers.
func (d *deployment) runsOf(id string) []*run {
	var list []*run
	for _, b := range d.backends {
		if u := b.runOf(id); u != nil {
			list = append(list, u)
		}
	}
	return list
}

func (d *deployment) end() {
	for _, h := range d.hosts {
		h.kill()
	}
}

// testCase runs a case and reports whether the rule was broken. trouble is false for the run
// without the disruption.
type testCase func(rec *record, root, dir string, trouble bool) (broken bool, err error)

var cases = map[string]testCase{
	"pipelined-shutdown": runPipelinedShutdown,
	"slow-reader":        runSlowReader,
	"unread-answer":      runUnreadAnswer,
	"stale-limits":       runStaleLimits,
	"odd-born":           runOddBorn,
	"encoded-path":       runEncodedPath,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-2 CASE FOLDER")
		os.Exit(exitUnusable)
	}
	os.Exit(execute(cases[os.Args[1]], os.Args[2]))
}

// execute runs a case from the root of the repository and writes record.txt into the folder.
func execute(run testCase, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	rec := newRecord()
	broken, err := run(rec, root, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs of the entry hosts:", dir)
	}
	if werr := rec.writeTo(filepath.Join(folder, "record.txt")); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		return exitUnusable
	}
	switch {
	case err != nil:
		return exitUnusable
	case broken:
		return exitBroken
	}
	return exitHeld
}
