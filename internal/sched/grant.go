package sched

import "time"

// grantGrace is how long after its deadline an unreleased grant keeps its slot.
// Servers stop a request at its deadline; the grace covers clock differences and
// releases in transit.
const grantGrace = time.Second

// grant is a slot given to one request. rank, customer and origin are indexes
// into Params; gated is set if the gate counts the request.
type grant struct {
	server, rank, customer, origin int
	gated, inUse                   bool
	generation                     uint32
	grantedAt, deadline            time.Duration
}

// grantSlab stores grants. An identifier combines the slab index with a generation
// that grows with each use of the index, which reveals a release of an earlier use.
type grantSlab struct {
	items []grant
	free  []int32
}

func (s *grantSlab) add(g grant) GrantID {
	var i int32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		s.items = append(s.items, grant{})
		i = int32(len(s.items) - 1)
	}
	g.inUse, g.generation = true, s.items[i].generation+1
	s.items[i] = g
	return GrantID(g.generation)<<32 | GrantID(uint32(i))
}

// take frees the grant and returns it, or false if it has ended before.
func (s *grantSlab) take(id GrantID) (grant, bool) {
	i := uint32(id)
	if int(i) >= len(s.items) || !s.items[i].inUse || s.items[i].generation != uint32(id>>32) {
		return grant{}, false
	}
	g := s.items[i]
	s.items[i].inUse = false
	s.free = append(s.free, int32(i))
	return g, true
}

// grantSlot grants a slot of the server to the queued entry and removes it from
// the queue.
func (p *Pool) grantSlot(now time.Duration, entryIndex int32, serverIndex int) Action {
	e := &p.entries.items[entryIndex]
	req := e.req
	id := p.beginGrant(grant{
		server: serverIndex, rank: req.Rank, customer: req.Customer, origin: req.Origin,
		gated: p.gate != nil && req.Origin != 0, grantedAt: now, deadline: req.Deadline,
	})
	p.ranks[req.Rank].granted++
	p.stats.Granted++
	p.unqueue(entryIndex)
	return Action{Kind: Grant, Key: req.Key, Server: serverIndex, Grant: id}
}

func (p *Pool) beginGrant(g grant) GrantID {
	s := &p.servers[g.server]
	p.freeSlots -= s.freeSlots()
	s.inFlight++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
	p.freeSlots += s.freeSlots()
	p.inFlight++
	p.ranks[g.rank].heldSlots++
	return p.grants.add(g)
}

func (p *Pool) endGrant(now time.Duration, g grant) {
	s := &p.servers[g.server]
	p.freeSlots -= s.freeSlots()
	s.inFlight--
	p.freeSlots += s.freeSlots()
	s.lastRelease = now
	p.inFlight--
	p.ranks[g.rank].heldSlots--
	if g.gated && p.gate != nil {
		p.gate.Release(now, g.origin)
	}
}

// expireGrants ends grants not released within grantGrace after their deadline,
// such as those of a lost entry host.
func (p *Pool) expireGrants(now time.Duration) {
	for i := range p.grants.items {
		g := &p.grants.items[i]
		if g.inUse && now > g.deadline+grantGrace {
			taken, _ := p.grants.take(GrantID(g.generation)<<32 | GrantID(uint32(i)))
			p.endGrant(now, taken)
			p.stats.Expired++
		}
	}
}

// Adopt counts a request that an earlier owner granted and that an entry host
// has reported, without the gate and for no named customer. It returns false if
// the server or the rank is unknown. Adopted requests may exceed the slots of their
// server, which then gets no new grant until enough of them have ended.
func (p *Pool) Adopt(now time.Duration, name string, rank int, deadline time.Duration) (GrantID, bool) {
	p.advance(now)
	i := p.findServer(name)
	if i < 0 || rank < 0 || rank >= len(p.ranks) {
		return 0, false
	}
	return p.beginGrant(grant{server: i, rank: rank, customer: len(p.params.Customers), grantedAt: now, deadline: deadline}), true
}
