package owner

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/sched"
)

// State returns a snapshot for the state dump.
func (p *Pool) State() sched.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.State(p.clock())
}

// Headroom returns the headroom by rank, for hints and region digests.
func (p *Pool) Headroom() []sched.RankHeadroom {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Headroom(p.clock())
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
	p.sched.ReportLoad(now, server, sched.Load{InFlight: inFlight, Healthy: healthy, At: now})
}

// ReserveAll keeps every slot of the pool from being granted until a time: an
// earlier owner may have granted them to edges that have not reported yet.
func (p *Pool) ReserveAll(servers map[string]int, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, slots := range servers {
		p.sched.Reserve(p.clock(), name, slots, until)
	}
}

// Adopt counts the slots that an edge holds from an earlier owner, so that the
// edge's release finds them.
func (p *Pool) Adopt(held []peer.HeldSlot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for _, h := range held {
		if _, known := p.grants[h.Key]; known {
			continue
		}
		rank, ok := p.index.ranks[h.Rank]
		if !ok {
			rank = len(p.index.rankNames) - 1
		}
		if g, ok := p.sched.Adopt(now, h.Server, rank, now+time.Duration(h.LeftMillis)*time.Millisecond); ok {
			p.grants[h.Key] = g
		}
	}
}

// InFlight returns the granted requests of a backend server.
func (p *Pool) InFlight(server string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.InFlight(server)
}
