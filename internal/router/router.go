// Package router applies the decisions of package route to requests. It updates the
// routing table with region digests and request results, and answers routing
// queries from the latest plan.
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
	local       string
	currentPlan atomic.Pointer[currentPlan]
	rngs        sync.Pool

	mu    sync.Mutex
	table *route.Table
	index index
	// hadUsableSlots is the set of services whose local pool has had usable slots,
	// and so an owner, since Configure. Before that, the owner is being chosen, and
	// the plan keeps requests local instead of using inter-region links; package
	// edge sends one to another region after a quarter of its target.
	hadUsableSlots map[string]bool
	// latestDigests holds the epoch and sequence of the latest digest of each
	// region; the other fields are empty.
	latestDigests map[string]peer.RegionDigest
}

// currentPlan is a plan with the index that its numbers refer to.
type currentPlan struct {
	plan  *route.Plan
	index index
}

// index maps names to the numbers that package route uses. slots holds the
// configured slots of each pool.
type index struct {
	regions, services, ranks map[string]int
	regionNames              []string
	slots                    map[view.PoolKey]int
}

// New returns a Router for an entry host of the region local. It serves all
// requests locally until Configure is called.
func New(local string) *Router {
	r := &Router{local: local}
	r.rngs.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return r
}

// Configure applies a configuration and discards earlier observations. hosts and
// localHosts count the entry hosts of all regions and of this one.
func (r *Router) Configure(now time.Duration, c *config.Config, hosts, localHosts int) {
	s := route.Settings{Hosts: max(1, hosts), LocalHosts: max(1, localHosts)}
	x := index{regions: map[string]int{}, services: map[string]int{}, ranks: map[string]int{}, slots: map[view.PoolKey]int{}}
	for i, region := range c.Regions {
		x.regions[region.Name] = i
		x.regionNames = append(x.regionNames, region.Name)
		s.Regions = append(s.Regions, route.Region{Name: region.Name, Delay: linkDelay(c, r.local, region.Name)})
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
	r.table, r.index, r.latestDigests = route.NewTable(s), x, map[string]peer.RegionDigest{}
	r.hadUsableSlots = map[string]bool{}
	r.currentPlan.Store(&currentPlan{plan: r.table.Tick(now), index: x})
}

// linkDelay returns the one-way delay of the link between two regions, or zero
// if none is configured.
func linkDelay(c *config.Config, from, to string) time.Duration {
	for _, l := range c.Links {
		if l.From == from && l.To == to {
			return l.Delay
		}
	}
	return 0
}

// Observe records the digest of a region, made at time at. It ignores digests
// that are not newer than the last one and those of unknown regions.
func (r *Router) Observe(at time.Duration, d peer.RegionDigest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	region, ok := r.index.regions[d.Region]
	if old, seen := r.latestDigests[d.Region]; !ok || (seen && !d.Newer(&old)) {
		return
	}
	r.latestDigests[d.Region] = peer.RegionDigest{Epoch: d.Epoch, Sequence: d.Sequence}
	pools := map[string]peer.PoolDigest{}
	for _, p := range d.Pools {
		pools[p.Service] = p
	}
	for service, i := range r.index.services {
		p, available := pools[service]
		available = available && p.Slots > 0
		if d.Region == r.local {
			r.hadUsableSlots[service] = r.hadUsableSlots[service] || available
			if !r.hadUsableSlots[service] {
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
		r.table.Observe(region, i, at, available, views)
	}
}

// Tick updates the control loops and publishes a new plan.
func (r *Router) Tick(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil {
		r.currentPlan.Store(&currentPlan{plan: r.table.Tick(now), index: r.index})
	}
}

// Route implements edge.Router. Requests that package route refuses for lack of
// capacity stay local, so that only a passed deadline gives a refusal.
func (r *Router) Route(_ *view.Snapshot, q edge.RouteRequest) (string, *outcome.Outcome) {
	s := r.currentPlan.Load()
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
		r.table.RecordRefusal(request)
		r.mu.Unlock()
		if d.Refusal.Reason == outcome.ReasonBusy || d.Refusal.Reason == outcome.ReasonNoOwner {
			// The owner of the local pool decides, because its state is newer
			// than any digest.
			return r.local, nil
		}
		return "", &d.Refusal
	}
	return s.index.regionNames[d.Region], nil
}

// Result implements edge.Router.
func (r *Router) Result(q edge.RouteRequest, region string, o outcome.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request, ok := r.index.request(q, r.local)
	i, known := r.index.regions[region]
	if r.table != nil && ok && known {
		r.table.RecordResult(request, i, !lacksCapacity(o))
	}
}

// request converts q to the numbers of package route. It returns false if the
// service or the rank is not configured.
func (x index) request(q edge.RouteRequest, local string) (route.Request, bool) {
	service, ok := x.services[q.Service]
	rank, known := x.ranks[q.Rank]
	return route.Request{Service: service, Rank: rank, Remaining: q.Remaining, Shifted: q.Origin != local, Forwarded: q.Forwarded}, ok && known
}

// lacksCapacity reports whether a region refused a request for lack of capacity.
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

// Spill returns, for the state dump, the share from 0 to 1 of requests of local
// origin that each region gets, this one included, by service, rank and region.
// It is empty before Configure.
func (r *Router) Spill() map[string]map[string]map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]map[string]map[string]float64{}
	for service, i := range r.index.services {
		out[service] = map[string]map[string]float64{}
		for rank, j := range r.index.ranks {
			shares := map[string]float64{}
			for k, share := range r.table.Shares(i, j) {
				shares[r.index.regionNames[k]] = share
			}
			out[service][rank] = shares
		}
	}
	return out
}
