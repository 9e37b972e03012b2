// Package view holds the immutable snapshot of control state that the request
// path reads. The control goroutine builds a new Snapshot for every change and
// publishes it atomically; request goroutines load it without locks.
package view

import (
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/steer"
)

// PoolKey names a pool: the backend servers of one service in one region.
type PoolKey struct{ Service, Region string }

// Pool describes a pool of this region.
type Pool struct {
	// Owner is the entry host that grants the pool's slots.
	Owner host.Info
}

// RegionView is what this process knows of a region.
type RegionView struct {
	Name string
	// Hosts are the region's entry hosts that accept requests.
	Hosts []host.Info
	// Age is the time since the region's last digest when the snapshot was built,
	// or 0 for this region.
	Age time.Duration
}

// Snapshot is one consistent state. It must not be modified after publication.
type Snapshot struct {
	// Config is nil until a configuration has been applied.
	Config *config.Config
	// Revision is the configuration revision of Config, or 0 without one.
	Revision uint64
	// Pools holds the pools of this region by service. A pool without a known owner
	// is absent.
	Pools map[string]Pool
	// Regions holds this region and those with a recent digest, by name.
	Regions map[string]RegionView

	services map[string]*config.Service
	ranks    map[string]*config.Rank
	backends map[string]*config.BackendServer
	steer    *steer.Table
}

// New returns a snapshot with indexes of the services, ranks and backend
// servers of cfg, which may be nil.
func New(cfg *config.Config, revision uint64, pools map[string]Pool, regions map[string]RegionView, steer *steer.Table) *Snapshot {
	s := &Snapshot{Config: cfg, Revision: revision, Pools: pools, Regions: regions, steer: steer,
		services: map[string]*config.Service{}, ranks: map[string]*config.Rank{}, backends: map[string]*config.BackendServer{}}
	if cfg == nil {
		return s
	}
	for i := range cfg.Services {
		s.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Ranks {
		s.ranks[cfg.Ranks[i].Name] = &cfg.Ranks[i]
	}
	for i := range cfg.BackendServers {
		s.backends[cfg.BackendServers[i].Name] = &cfg.BackendServers[i]
	}
	return s
}

// MaxConns returns the number of connections that this process may open to a
// backend server: what the server accepts, divided by the number of entry hosts of
// its region, and at least 1, so that more hosts than that may exceed it in total. It
// is everything that the server accepts if the region has no known hosts, and 0 for
// an unknown server.
func (s *Snapshot) MaxConns(server string) int {
	b, ok := s.backends[server]
	if !ok {
		return 0
	}
	return max(1, b.Connections/max(1, len(s.Regions[b.Region].Hosts)))
}

// Service returns a service and reports whether it is configured.
func (s *Snapshot) Service(name string) (*config.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Rank returns a rank and reports whether it is configured.
func (s *Snapshot) Rank(name string) (*config.Rank, bool) {
	v, ok := s.ranks[name]
	return v, ok
}

// Steering returns the steering table, or nil if none has been built.
func (s *Snapshot) Steering() *steer.Table { return s.steer }

// Publisher passes snapshots from the control goroutine to request goroutines.
// The zero value is ready for use.
type Publisher struct{ p atomic.Pointer[Snapshot] }

// Publish replaces the current snapshot.
func (p *Publisher) Publish(s *Snapshot) { p.p.Store(s) }

// Load returns the current snapshot, or an empty one before the first Publish.
// The result is never nil.
func (p *Publisher) Load() *Snapshot {
	if s := p.p.Load(); s != nil {
		return s
	}
	return empty
}

var empty = New(nil, 0, nil, nil, nil)
