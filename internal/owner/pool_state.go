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

// ConfiguredSlots returns the number of undrained slots of the pool: all slots of
// its servers that are neither draining nor removed, including those that
// ejections, warm-ups, load reports and reservations withhold.
func (p *Pool) ConfiguredSlots() int {
	n := 0
	for _, s := range p.State().Servers {
		if !s.TakesNoWork && !s.Removed {
			n += s.Slots
		}
	}
	return n
}

// Headroom returns the headroom of each rank, for the pool's digest.
func (p *Pool) Headroom() []sched.RankHeadroom {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Headroom(p.clock())
}

// Idle reports whether the pool has neither waiting calls nor grants, adopted ones
// included.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Idle() && len(p.adopted) == 0
}

// SetDraining marks a backend server as draining or clears the mark; see
// sched.Pool.SetDraining.
func (p *Pool) SetDraining(server string, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.actions = p.sched.SetDraining(p.clock(), server, draining, p.actions[:0])
	p.performActions()
}

// ReportLoad records the load that a backend server reports about itself.
func (p *Pool) ReportLoad(server string, inFlight int, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.sched.ReportLoad(now, server, sched.LoadReport{InFlight: inFlight, Healthy: healthy, At: now})
	p.armTimer()
}

// Reserve withholds slots of a server that unresponsive entry hosts may still use
// until the given time, on the pool's clock. It replaces the server's earlier
// reservation.
func (p *Pool) Reserve(server string, slots int, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.Reserve(p.clock(), server, slots, until)
	p.armTimer()
}

// Adopt counts the slots that an earlier owner granted to an entry host and that
// the host still uses, so that its releases free them. Slots that are known already
// or whose release has arrived are skipped. A slot of an unknown rank counts for
// the least urgent one.
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
		rank, ok := p.nameIndex.ranks[h.Rank]
		if !ok {
			rank = len(p.nameIndex.rankNames) - 1
		}
		deadline := now + time.Duration(h.RemainingMillis)*time.Millisecond
		if g, ok := p.sched.Adopt(now, h.Server, rank, deadline); ok {
			p.grants[h.Key] = grantRecord{id: g, held: h, until: deadline}
			p.adoptShifted(h, now)
		}
	}
}

// adoptShifted counts an adopted request of another region against the gate. An
// unknown region counts as the pool's own. The caller holds p.mu.
func (p *Pool) adoptShifted(h peer.HeldSlot, now time.Duration) {
	origin := p.nameIndex.origins[h.Origin]
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

// InFlight returns the number of granted requests of a backend server.
func (p *Pool) InFlight(server string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.InFlight(server)
}

// Granted returns the slots that the pool has granted or adopted and that have
// not been released, in no particular order.
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
