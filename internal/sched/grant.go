package sched

import "time"

// grantGrace is how long after its deadline a grant without a release keeps
// its slot. Servers stop a request at its deadline; the grace covers clocks
// that run apart and releases that are under way.
const grantGrace = time.Second

type grant struct {
	server, rank, customer, origin int
	gated, open                    bool
	generation                     uint32
	at, deadline                   time.Duration
}

// grantSlab stores grants. An identifier holds the slab index and the
// generation of its use, so that a late release of an earlier use is known.
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
	g.open, g.generation = true, s.items[i].generation+1
	s.items[i] = g
	return GrantID(g.generation)<<32 | GrantID(uint32(i))
}

func (s *grantSlab) take(id GrantID) (grant, bool) {
	i := uint32(id)
	if int(i) >= len(s.items) || !s.items[i].open || s.items[i].generation != uint32(id>>32) {
		return grant{}, false
	}
	g := s.items[i]
	s.items[i].open = false
	s.free = append(s.free, int32(i))
	return g, true
}

// grantTo gives a slot of server i to the entry and removes it from the queue.
func (p *Pool) grantTo(now time.Duration, entryAt int32, i int) Action {
	e := &p.entries.items[entryAt]
	req := e.req
	id := p.begin(grant{
		server: i, rank: req.Rank, customer: req.Customer, origin: req.Origin,
		gated: p.gate != nil && req.Origin != 0, at: now, deadline: req.Deadline,
	})
	p.ranks[req.Rank].granted++
	p.stats.Granted++
	p.unqueue(entryAt)
	return Action{Kind: Grant, Key: req.Key, Server: i, Grant: id}
}

func (p *Pool) begin(g grant) GrantID {
	s := &p.servers[g.server]
	p.free -= s.free()
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	p.free += s.free()
	p.inFlight++
	p.ranks[g.rank].held++
	return p.grants.add(g)
}

func (p *Pool) endGrant(now time.Duration, g grant) {
	s := &p.servers[g.server]
	p.free -= s.free()
	s.inFlight--
	p.free += s.free()
	s.lastRelease = now
	p.inFlight--
	p.ranks[g.rank].held--
	if g.gated && p.gate != nil {
		p.gate.Release(now, g.origin)
	}
}

// expireGrants ends the grants of holders that went silent. The slots of a
// lost edge stay in use until the deadlines of its requests.
func (p *Pool) expireGrants(now time.Duration) {
	for i := range p.grants.items {
		g := &p.grants.items[i]
		if g.open && now > g.deadline+grantGrace {
			taken, _ := p.grants.take(GrantID(g.generation)<<32 | GrantID(uint32(i)))
			p.endGrant(now, taken)
			p.stats.Expired++
		}
	}
}

// Adopt counts a request that an earlier owner granted and an edge reported.
// It fails for a server that the pool does not know. Adopted requests may
// exceed the slots; no new grant follows until they no longer do.
func (p *Pool) Adopt(now time.Duration, name string, rank int, deadline time.Duration) (GrantID, bool) {
	p.advance(now)
	i := p.find(name)
	if i < 0 || rank < 0 || rank >= len(p.ranks) {
		return 0, false
	}
	return p.begin(grant{server: i, rank: rank, customer: len(p.params.Customers), at: now, deadline: deadline}), true
}
