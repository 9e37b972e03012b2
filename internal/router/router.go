// Package router connects the routing decisions of package route to traffic
// and control: it feeds digests and results to the table of regions and serves
// decisions from its latest plan.
package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/edge"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/route"
	"github.com/galenabeam/galenabeam/internal/view"
)

// Router chooses regions for the requests of one entry host. It is safe for
// concurrent use.
type Router struct {
	local string
	state atomic.Pointer[state]
	rngs  sync.Pool

	mu    sync.Mutex
	table *route.Table
	index index
	// seenUp tells which local pools have had an owner since Configure. Before
	// that, their owners are still being chosen, and requests wait here instead
	// of using links between regions.
	seenUp map[string]bool
	// observed holds the epoch and sequence of the digests in the table.
	observed map[string]peer.RegionDigest
}

// state is what decisions are made from.
type state struct {
	plan  *route.Plan
	index index
}

// index maps names to the numbers of package route.
type index struct {
	regions, services, ranks map[string]int
	names                    []string
	slots                    map[view.PoolKey]int
}

// New returns a Router of a region without a configuration: it serves all
// requests locally.
func New(local string) *Router {
	r := &Router{local: local}
	r.rngs.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return r
}

// Configure puts a configuration in force. hosts and localHosts are the entry
// hosts of all regions and of this one.
func (r *Router) Configure(now time.Duration, c *config.Config, hosts, localHosts int) {
	s := route.Settings{Hosts: max(1, hosts), LocalHosts: max(1, localHosts)}
	x := index{regions: map[string]int{}, services: map[string]int{}, ranks: map[string]int{}, slots: map[view.PoolKey]int{}}
	for i, region := range c.Regions {
		x.regions[region.Name] = i
		x.names = append(x.names, region.Name)
		s.Regions = append(s.Regions, route.Region{Name: region.Name, Delay: delay(c, r.local, region.Name)})
	}
	s.Local = x.regions[r.local]
	for i, v := range c.Services {
		x.services[v.Name] = i
		s.Services = append(s.Services, route.Service{Name: v.Name, ServiceTime: v.ServiceTime})
	}
	for i, v := range c.Ranks {
		x.ranks[v.Name] = i
		s.Ranks = append(s.Ranks, route.Rank{Name: v.Name, Target: v.Target})
	}
	for _, b := range c.BackendServers {
		x.slots[view.PoolKey{Service: b.Service, Region: b.Region}] += b.Slots
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table, r.index, r.observed = route.NewTable(s), x, map[string]peer.RegionDigest{}
	r.seenUp = map[string]bool{}
	r.state.Store(&state{plan: r.table.Tick(now), index: x})
}

// delay returns the one-way delay of the link between two regions.
func delay(c *config.Config, from, to string) time.Duration {
	for _, l := range c.Links {
		if l.From == from && l.To == to {
			return l.Delay
		}
	}
	return 0
}

// Observe takes over a region's digest that was made at a time.
func (r *Router) Observe(at time.Duration, d peer.RegionDigest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	region, ok := r.index.regions[d.Region]
	if old, seen := r.observed[d.Region]; !ok || (seen && !d.Newer(&old)) {
		return
	}
	r.observed[d.Region] = peer.RegionDigest{Epoch: d.Epoch, Sequence: d.Sequence}
	pools := map[string]peer.PoolDigest{}
	for _, p := range d.Pools {
		pools[p.Service] = p
	}
	for service, i := range r.index.services {
		p, up := pools[service]
		up = up && p.Slots > 0
		if d.Region == r.local {
			r.seenUp[service] = r.seenUp[service] || up
			if !r.seenUp[service] {
				continue
			}
		}
		views := make([]route.View, len(r.index.ranks))
		for _, v := range p.Ranks {
			if rank, ok := r.index.ranks[v.Rank]; ok {
				views[rank] = route.View{Wait: time.Duration(v.WaitMillis) * time.Millisecond, Free: v.FreeSlots,
					Slots: r.index.slots[view.PoolKey{Service: service, Region: d.Region}]}
			}
		}
		r.table.Observe(region, i, at, up, views)
	}
}

// Tick moves the control loops and publishes the next plan.
func (r *Router) Tick(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil {
		r.state.Store(&state{plan: r.table.Tick(now), index: r.index})
	}
}

// Route implements edge.Router.
func (r *Router) Route(_ *view.Snapshot, q edge.RouteRequest) (string, *outcome.Outcome) {
	s := r.state.Load()
	if s == nil {
		return r.local, nil
	}
	request, ok := s.index.request(q, r.local)
	if !ok {
		return r.local, nil
	}
	rng := r.rngs.Get().(*rand.Rand)
	d := s.plan.Decide(request, rng)
	r.rngs.Put(rng)
	if d.Refused() {
		r.mu.Lock()
		r.table.Refused(request)
		r.mu.Unlock()
		if d.Refusal.Reason == outcome.ReasonBusy || d.Refusal.Reason == outcome.ReasonNoOwner {
			// No link between regions is to be used for now. The owner of the
			// local pool decides on what it knows, which is newer than any digest.
			return r.local, nil
		}
		return "", &d.Refusal
	}
	return s.index.names[d.Region], nil
}

// Result implements edge.Router.
func (r *Router) Result(q edge.RouteRequest, region string, o outcome.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request, ok := r.index.request(q, r.local)
	i, known := r.index.regions[region]
	if r.table != nil && ok && known {
		r.table.Result(request, i, !lacksCapacity(o))
	}
}

func (x index) request(q edge.RouteRequest, local string) (route.Request, bool) {
	service, ok := x.services[q.Service]
	rank, known := x.ranks[q.Rank]
	return route.Request{Service: service, Rank: rank, Left: q.Left, Shifted: q.Origin != local, Forwarded: q.Forwarded}, ok && known
}

// lacksCapacity tells whether a region refused for lack of capacity.
func lacksCapacity(o outcome.Outcome) bool {
	if o.Kind != outcome.NotRun {
		return false
	}
	switch o.Reason {
	case outcome.ReasonLate, outcome.ReasonQueueFull, outcome.ReasonShiftCap, outcome.ReasonNoOwner, outcome.ReasonNoServer, outcome.ReasonBusy:
		return true
	}
	return false
}

// Spill returns the share of requests of local origin that goes to each
// region, by service, rank and region, for the state dump.
func (r *Router) Spill() map[string]map[string]map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]map[string]map[string]float64{}
	for service, i := range r.index.services {
		out[service] = map[string]map[string]float64{}
		for rank, j := range r.index.ranks {
			shares := map[string]float64{}
			for k, share := range r.table.Spill(i, j) {
				shares[r.index.names[k]] = share
			}
			out[service][rank] = shares
		}
	}
	return out
}
