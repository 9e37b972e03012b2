package sched

import (
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// Configure puts a new configuration revision in force. Servers, ranks,
// customers and origins are matched by name. Queued requests keep their
// order; those of a rank that is gone are refused. Grants stay.
func (p *Pool) Configure(now time.Duration, params Params, acts []Action) []Action {
	p.advance(now)
	queued := p.takeQueued()
	old := p.params
	oldRanks := p.ranks
	p.apply(now, params, false)
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
	p.update(now)
	p.refresh(now)
	return p.dispatch(now, acts)
}

// remap returns the new index of each old item. The index past the end stands
// for items that are not named.
func remap[T any](old, now []T, same func(a, b T) bool) []int {
	to := make([]int, len(old)+1)
	for i, o := range old {
		to[i] = slices.IndexFunc(now, func(n T) bool { return same(o, n) })
		if to[i] < 0 {
			to[i] = len(now)
		}
	}
	to[len(old)] = len(now)
	return to
}

func (r *rankQueue) inherit(old *rankQueue) {
	r.estimate, r.credit, r.lastEmpty = old.estimate, old.credit, old.lastEmpty
	r.granted, r.refused = old.granted, old.refused
}

func (p *Pool) takeQueued() []entry {
	queued := make([]entry, 0, len(p.queued))
	for i := range p.ranks {
		for _, at := range p.ranks[i].late {
			queued = append(queued, p.entries.items[at])
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

// remapGrants moves the grants of a rank that is gone to the least urgent rank.
func (p *Pool) remapGrants(rankOf, customerOf, originOf []int) {
	for i := range p.grants.items {
		g := &p.grants.items[i]
		if !g.open {
			continue
		}
		if g.rank = rankOf[g.rank]; g.rank < 0 {
			g.rank = len(p.ranks) - 1
		}
		g.customer = customerOf[g.customer]
		g.origin = originOf[g.origin]
		p.ranks[g.rank].held++
	}
}

// apply builds queues for the parameters and merges the servers.
func (p *Pool) apply(now time.Duration, params Params, first bool) {
	p.params = params
	greatest := 1
	for _, c := range params.Customers {
		greatest = max(greatest, c.Weight)
	}
	// One more origin and customer stand for those that are not named.
	p.origins = make([]originState, max(1, len(params.Origins))+1)
	p.ranks = make([]rankQueue, len(params.Ranks))
	for i := range p.ranks {
		r := &p.ranks[i]
		r.Rank, r.current, r.lastEmpty = params.Ranks[i], none, now
		r.arrivedAt, r.observedAt = now, now
		r.service = max(r.InitialServiceTime.Seconds(), 1e-3)
		r.square = 2 * r.service * r.service
		r.byOrigin = make([]int, len(p.origins))
		r.flows = make([]flow, len(params.Customers)+1)
		for c := range r.flows {
			weight := 1
			if c < len(params.Customers) {
				weight = max(1, params.Customers[c].Weight)
			}
			r.flows[c].quantum = float64(weight) / float64(greatest)
		}
	}
	p.mergeServers(now, first)
	p.refresh(now)
	for i := range p.ranks {
		r := &p.ranks[i]
		r.slow = r.InitialLoad * float64(p.slots) / r.service
	}
	p.setLimits()
	p.nextUpdate = now + updatePeriod
}

// mergeServers keeps the index of a known server. A removed server keeps its
// index while it has grants; the place of one without grants is used again.
func (p *Pool) mergeServers(now time.Duration, first bool) {
	for i := range p.servers {
		s := &p.servers[i]
		if !slices.ContainsFunc(p.params.Servers, func(n Server) bool { return n.Name == s.Name }) {
			s.removed = true
		}
	}
	for _, s := range p.params.Servers {
		at := slices.IndexFunc(p.servers, func(o server) bool { return o.Name == s.Name })
		if at < 0 {
			at = p.placeForServer()
			p.servers[at] = server{removed: true}
		}
		o := &p.servers[at]
		if o.removed {
			*o = server{warmSince: now, inFlight: o.inFlight}
			if first {
				o.warmSince = -1
			}
		}
		o.Server, o.drained = s, slices.Contains(p.params.Leaving, s.Name)
	}
}

func (p *Pool) placeForServer() int {
	for i := range p.servers {
		if p.servers[i].removed && p.servers[i].inFlight == 0 {
			return i
		}
	}
	p.servers = append(p.servers, server{})
	return len(p.servers) - 1
}
