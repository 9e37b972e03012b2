package edge

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/peer"
)

// heldSlot is a granted slot in use by this process.
type heldSlot struct {
	service, region, server, rank, origin string
	deadline                              time.Time
}

// nextKey returns the key of a new acquire call.
func (e *Edge) nextKey() peer.GrantKey {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	return peer.GrantKey{Edge: e.cfg.Self.Incarnation, Sequence: e.next}
}

// ownership is the state of a pool's ownership as this edge has confirmed it.
type ownership struct {
	// report is the latest report given to a new owner, generation their number.
	report     peer.Report
	generation uint64
}

// generation returns the number of owners of a service's pool that this
// process has reported to.
func (e *Edge) generation(service string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owners[service].generation
}

// hold notes a granted slot. It returns false when a new owner has had this
// process's report since the acquire call began: the earlier owner's grant is
// then not in the report and must not be used.
func (e *Edge) hold(key peer.GrantKey, h heldSlot, generation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owners[h.service].generation != generation {
		return false
	}
	e.held[key] = h
	return true
}

func (e *Edge) drop(key peer.GrantKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, key)
}

// Report answers a new owner of a pool with the slots that this process holds.
func (e *Edge) Report(r peer.Report) peer.ReportReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o := e.owners[r.Service]; o.report != r {
		e.owners[r.Service] = ownership{report: r, generation: o.generation + 1}
	}
	reply := peer.ReportReply{Incarnation: e.cfg.Self.Incarnation}
	for key, h := range e.held {
		if h.service != r.Service || h.region != r.Region {
			continue
		}
		reply.Held = append(reply.Held, peer.HeldSlot{Key: key, Server: h.server, Rank: h.rank, Origin: h.origin,
			RemainingMillis: max(0, time.Until(h.deadline).Milliseconds())})
	}
	return reply
}
