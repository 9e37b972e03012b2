// Package view holds the immutable snapshot of control state that traffic
// reads. The control goroutine builds a new Snapshot for every change and
// publishes it as a whole; traffic goroutines load it without locks.
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

// Pool tells who owns a pool of this region and what it can take.
type Pool struct {
	// Owner is the entry host that grants the pool's slots. A zero Owner
	// means that nobody owns the pool at present.
	Owner host.Info
}

// RegionView is what this process knows of a region.
type RegionView struct {
	Name string
	// Hosts are the region's entry hosts that accept requests.
	Hosts []host.Info
	// Age is the time since the region's last digest when the snapshot was built.
	Age time.Duration
}

// Snapshot is one consistent state. It is never changed after publication.
type Snapshot struct {
	// Config is nil until a configuration has been applied.
	Config   *config.Config
	Revision uint64
	// Pools holds the pools of this region by service.
	Pools map[string]Pool
	// Regions holds all regions, this one included, by name.
	Regions map[string]RegionView

	services map[string]*config.Service
	ranks    map[string]*config.Rank
	backends map[string]*config.BackendServer
	steer    *steer.Table
}

// New returns a snapshot with its look-up indexes built. cfg may be nil.
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

// MaxConns returns this process's part of the connections that a backend server
// takes from all entry hosts of its region.
func (s *Snapshot) MaxConns(server string) int {
	b, ok := s.backends[server]
	if !ok {
		return 0
	}
	return max(1, b.Connections/max(1, len(s.Regions[b.Region].Hosts)))
}

// Service returns a configured service.
func (s *Snapshot) Service(name string) (*config.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Rank returns a configured rank.
func (s *Snapshot) Rank(name string) (*config.Rank, bool) {
	v, ok := s.ranks[name]
	return v, ok
}

// Steering returns the steering table, or nil before there is one.
func (s *Snapshot) Steering() *steer.Table { return s.steer }

// Publisher hands snapshots from the control goroutine to traffic.
type Publisher struct{ p atomic.Pointer[Snapshot] }

// Publish replaces the snapshot.
func (p *Publisher) Publish(s *Snapshot) { p.p.Store(s) }

// Load returns the latest snapshot. It is never nil.
func (p *Publisher) Load() *Snapshot {
	if s := p.p.Load(); s != nil {
		return s
	}
	return empty
}

var empty = New(nil, 0, nil, nil, nil)
