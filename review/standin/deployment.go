package main

import (
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// hostName is the host of all routes.
const hostName = "jepu9.example"

// Route is a route of the configuration.
type Route struct {
	Name, Kind, Prefix, Service string
	Objective, Timeout          time.Duration
	Priority, MaxAttempts       int
}

// Deployment is a small deployment: the store, backend servers and entry hosts.
type Deployment struct {
	Record *Record
	Runs   *Runs
	Store  *Store
	Hosts  []*Host
	// Backends are the backend servers.
	Backends []*Backend
	// StoreLink returns the address at which a host reaches the store, which is the
	// store's own if StoreLink is nil.
	StoreLink func(h *Host) (string, error)
	// Class has the figures of the machines.
	Class Class
	// Net is the start of the loopback addresses of this run.
	Net    string
	folder string
}

// NewDeployment starts the store and writes the configuration. folder gets record.txt.
func NewDeployment(folder string, routes []Route) (*Deployment, error) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Class: smallSite, Record: record, Runs: NewRuns(), folder: temp, Net: fmt.Sprintf("127.%d.%d", 10+mathrand.IntN(200), mathrand.IntN(250))}
	if d.Store, err = NewStore(d.Net + ".1"); err != nil {
		return nil, err
	}
	d.Configure(1, routes)
	go d.closeOnSignal()
	return d, nil
}

// closeOnSignal ends all processes if this one is asked to end.
func (d *Deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	d.Close()
	os.Exit(exitNotRun)
}

// Configure writes a configuration as the operator does and returns its size in bytes.
func (d *Deployment) Configure(version int, routes []Route) int {
	var rules, clusters []any
	known := map[string]bool{}
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.Name, "route_type": r.Kind, "target_latency": text(r.Objective), "priority": r.Priority, "session_affinity": false,
			"match":  map[string]any{"prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout": text(r.Timeout), "max_attempts": r.MaxAttempts, "allowed_regions": []string{}},
		})
		if !known[r.Service] {
			known[r.Service] = true
			clusters = append(clusters, map[string]any{
				"name": r.Service, "health_check_path": "/health", "max_connections": 878, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 5.1,
			})
		}
	}
	return d.Store.Put("op/config", map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []any{map[string]any{"hostname": hostName, "rules": rules}},
		"clusters":  clusters,
	})
}

func text(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// AddBackends starts backend servers of a service, in turn in the zones.
func (d *Deployment) AddBackends(count int, spec BackendSpec, zones ...string) error {
	for i := range count {
		b := &Backend{BackendSpec: spec, ID: fmt.Sprintf("i-%s-%d", spec.Service, i), Zone: zones[i%len(zones)]}
		if err := b.Start(d.Net+".2", d.Store, d.Record, d.Runs); err != nil {
			return err
		}
		d.Backends = append(d.Backends, b)
	}
	return nil
}

// AddHosts starts an entry host in each of the zones and waits until they are ready.
func (d *Deployment) AddHosts(zones ...string) error {
	for i, zone := range zones {
		h, err := NewHost(fmt.Sprintf("front-%s-%d", zone, i+1), zone, fmt.Sprintf("%s.%d", d.Net, 10+i), d.folder, d.Store.Address, d.Record)
		if err != nil {
			return err
		}
		h.Class = d.Class
		if d.StoreLink != nil {
			if h.store, err = d.StoreLink(h); err != nil {
				return err
			}
		}
		d.Hosts = append(d.Hosts, h)
	}
	for _, h := range d.Hosts {
		h.seeds = []string{d.Hosts[0].Control}
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, h := range d.Hosts {
		if err := h.WaitReady(8 * time.Second); err != nil {
			return err
		}
	}
	// All hosts register and know each other.
	time.Sleep(2 * time.Second)
	return nil
}

// Close ends all processes and removes the temporary folder.
func (d *Deployment) Close() {
	for _, h := range d.Hosts {
		h.Stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}
