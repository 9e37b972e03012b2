package sched

import (
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// Configure applies a new configuration revision. Servers, ranks, customers and
// origins are matched by name. Queued requests keep their order; those whose
// rank no longer exists are refused. Open grants remain, also on removed servers.
func (p *Pool) Configure(now time.Duration, params Params, acts []Action) []Action {
	p.advance(now)
	queued := p.takeQueued()
	old := p.params
	oldRanks := p.ranks
	p.applyParams(now, params, false)
	rankOf := make([]int, len(old.Ranks))
	for i, r := range old.Ranks {
		rankOf[i] = slices.IndexFunc(params.Ranks, func(n Rank) bool { return n.Name == r.Name })
		if to := rankOf[i]; to >= 0 {
			p.ranks[to].inherit(&oldRanks[i])
		}
	}
	customerOf := remap(old.Customers, params.Customers, func(a, b Customer) bool { return a.Name == b.Name })
	originOf := remap(old.Origins, params.Origins, func(a, b string) bool { return a == b })
	for _, e := range queued {
		if rankOf[e.req.Rank] < 0 {
			acts = append(acts, refuse(e.req.Key, outcome.Refuse(outcome.ReasonNoRank, 0)))
			continue
		}
		e.req.Rank = rankOf[e.req.Rank]
		e.req.Customer = customerOf[e.req.Customer]
		e.req.Origin = originOf[e.req.Origin]
		p.insert(e)
	}
	p.remapGrants(rankOf, customerOf, originOf)
	p.updateEstimates(now)
	p.refreshServers(now)
	return p.schedule(now, acts)
}

// remap returns the new index of each old item. Items missing from updated, and
// the last index, which stands for unnamed items, map to len(updated).
func remap[T any](old, updated []T, same func(a, b T) bool) []int {
	newIndex := make([]int, len(old)+1)
	for i, o := range old {
		newIndex[i] = slices.IndexFunc(updated, func(n T) bool { return same(o, n) })
		if newIndex[i] < 0 {
			newIndex[i] = len(updated)
		}
	}
	newIndex[len(old)] = len(updated)
	return newIndex
}

// inherit copies estimates, floor credit and counters from the rank's queue under
// the previous configuration.
func (r *rankQueue) inherit(old *rankQueue) {
	r.rankEstimate, r.floorCredit, r.lastEmpty = old.rankEstimate, old.floorCredit, old.lastEmpty
	r.granted, r.refused = old.granted, old.refused
}

// takeQueued empties the queues and returns their entries in order of arrival.
func (p *Pool) takeQueued() []entry {
	queued := make([]entry, 0, len(p.queued))
	for i := range p.ranks {
		for _, index := range p.ranks[i].deadlineHeap {
			queued = append(queued, p.entries.items[index])
		}
	}
	slices.SortFunc(queued, func(a, b entry) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	p.entries = entrySlab{}
	clear(p.queued)
	return queued
}

// remapGrants updates the indexes of open grants. Those of a removed rank count for
// the least urgent one.
func (p *Pool) remapGrants(rankOf, customerOf, originOf []int) {
	for i := range p.grants.items {
		g := &p.grants.items[i]
		if !g.inUse {
			continue
		}
		if g.rank = rankOf[g.rank]; g.rank < 0 {
			g.rank = len(p.ranks) - 1
		}
		g.customer = customerOf[g.customer]
		g.origin = originOf[g.origin]
		p.ranks[g.rank].heldSlots++
	}
}

// applyParams builds empty queues for the parameters and merges the servers.
// With skipWarmup, all slots of added servers are usable at once.
func (p *Pool) applyParams(now time.Duration, params Params, skipWarmup bool) {
	p.params = params
	maxWeight := 1
	for _, c := range params.Customers {
		maxWeight = max(maxWeight, c.Weight)
	}
	// The extra origin and customer at the end stand for unnamed ones.
	p.origins = make([]originState, max(1, len(params.Origins))+1)
	p.ranks = make([]rankQueue, len(params.Ranks))
	for i := range p.ranks {
		r := &p.ranks[i]
		r.Rank, r.currentFlow, r.lastEmpty = params.Ranks[i], none, now
		r.lastArrival, r.lastObservation = now, now
		r.meanService = max(r.InitialServiceTime.Seconds(), 1e-3)
		r.square = 2 * r.meanService * r.meanService
		r.queuedByOrigin = make([]int, len(p.origins))
		r.flows = make([]flow, len(params.Customers)+1)
		for c := range r.flows {
			weight := 1
			if c < len(params.Customers) {
				weight = max(1, params.Customers[c].Weight)
			}
			r.flows[c].quantum = float64(weight) / float64(maxWeight)
		}
	}
	p.mergeServers(now, skipWarmup)
	p.refreshServers(now)
	for i := range p.ranks {
		r := &p.ranks[i]
		r.slowRate = r.InitialLoad * float64(p.slots) / r.meanService
	}
	p.setUrgentReserves()
	p.nextUpdate = now + updatePeriod
}

// mergeServers updates the servers from the parameters. A known server keeps its
// index and its warm-up; a removed one keeps its index while it has grants.
// A server that is new or was removed starts a warm-up.
func (p *Pool) mergeServers(now time.Duration, skipWarmup bool) {
	for i := range p.servers {
		s := &p.servers[i]
		if !slices.ContainsFunc(p.params.Servers, func(n Server) bool { return n.Name == s.Name }) {
			s.removed = true
		}
	}
	for _, s := range p.params.Servers {
		index := slices.IndexFunc(p.servers, func(o server) bool { return o.Name == s.Name })
		if index < 0 {
			index = p.vacantServerIndex()
			p.servers[index] = server{removed: true}
		}
		o := &p.servers[index]
		if o.removed {
			*o = server{warmupStart: now, inFlight: o.inFlight}
			if skipWarmup {
				o.warmupStart = -1
			}
		}
		o.Server, o.drainedByConfig = s, slices.Contains(p.params.Draining, s.Name)
	}
}

// vacantServerIndex returns the index of a removed server without grants, or of
// a new element.
func (p *Pool) vacantServerIndex() int {
	for i := range p.servers {
		if p.servers[i].removed && p.servers[i].inFlight == 0 {
			return i
		}
	}
	p.servers = append(p.servers, server{})
	return len(p.servers) - 1
}
