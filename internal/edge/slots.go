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

func (e *Edge) hold(key peer.GrantKey, h heldSlot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[key] = h
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
	reply := peer.ReportReply{Incarnation: e.cfg.Self.Incarnation}
	for key, h := range e.held {
		if h.service != r.Service || h.region != r.Region {
			continue
		}
		reply.Held = append(reply.Held, peer.HeldSlot{Key: key, Server: h.server, Rank: h.rank, Origin: h.origin,
			LeftMillis: max(0, time.Until(h.deadline).Milliseconds())})
	}
	return reply
}
