package owner

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/sched"
)

// Service returns the name of the pool's service.
func (p *Pool) Service() string { return p.service }

// State returns a snapshot for the state dump.
func (p *Pool) State() sched.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.State(p.clock())
}

// Usable returns the slots of the pool's servers that are not leaving.
func (p *Pool) Usable() int {
	n := 0
	for _, s := range p.State().Servers {
		if !s.Leaving && !s.Removed {
			n += s.Slots
		}
	}
	return n
}

// Headroom returns the headroom by rank, for hints and region digests.
func (p *Pool) Headroom() []sched.RankHeadroom {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Headroom(p.clock())
}

// Idle tells whether the pool has neither waiting calls nor grants.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Idle() && len(p.adopted) == 0
}

// SetLeaving marks a backend server as leaving, or takes the mark back.
func (p *Pool) SetLeaving(server string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acts = p.sched.SetLeaving(p.clock(), server, leaving, p.acts[:0])
	p.perform()
}

// ReportLoad records a backend server's own report.
func (p *Pool) ReportLoad(server string, inFlight int, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.sched.ReportLoad(now, server, sched.LoadReport{InFlight: inFlight, Healthy: healthy, At: now})
	p.arm()
}

// Reserve keeps the slots of a server that silent edges may still use from
// being granted until a time. It replaces the server's earlier reservation.
func (p *Pool) Reserve(server string, slots int, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.Reserve(p.clock(), server, slots, until)
	p.arm()
}

// Adopt counts the slots that an edge holds from an earlier owner, so that the
// edge's release finds them.
func (p *Pool) Adopt(held []peer.HeldSlot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for _, h := range held {
		_, known := p.grants[h.Key]
		_, ended := p.withdrawn[h.Key]
		if known || ended {
			continue
		}
		rank, ok := p.index.ranks[h.Rank]
		if !ok {
			rank = len(p.index.rankNames) - 1
		}
		deadline := now + time.Duration(h.RemainingMillis)*time.Millisecond
		if g, ok := p.sched.Adopt(now, h.Server, rank, deadline); ok {
			p.grants[h.Key] = granted{id: g, held: h, until: deadline}
			p.adoptShifted(h, now)
		}
	}
}

// adoptShifted counts a request of another region against the gate. The caller
// holds p.mu.
func (p *Pool) adoptShifted(h peer.HeldSlot, now time.Duration) {
	origin := p.index.origins[h.Origin]
	if origin == 0 || p.gate == nil {
		return
	}
	p.gate.Adopt(origin)
	p.adopted[h.Key] = adoption{origin: origin, until: now + time.Duration(h.RemainingMillis)*time.Millisecond}
}

// endAdoption ends the use of the gate by an adopted request. The caller holds
// p.mu.
func (p *Pool) endAdoption(key peer.GrantKey) {
	if a, ok := p.adopted[key]; ok {
		delete(p.adopted, key)
		p.gate.Release(p.clock(), a.origin)
	}
}

// InFlight returns the granted requests of a backend server.
func (p *Pool) InFlight(server string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.InFlight(server)
}

// Granted lists the slots that the pool has granted and that were not released.
func (p *Pool) Granted() []peer.HeldSlot {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	var out []peer.HeldSlot
	for _, g := range p.grants {
		h := g.held
		h.RemainingMillis = max(0, (g.until - now).Milliseconds())
		out = append(out, h)
	}
	return out
}
