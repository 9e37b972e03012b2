package edge

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/peer"
)

// heldSlot is a granted slot that this process uses.
type heldSlot struct {
	service, region, server, rank, origin string
	deadline                              time.Time
}

// nextKey returns the key of a new acquire call.
func (e *Edge) nextKey() peer.GrantKey {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastSequence++
	return peer.GrantKey{Edge: e.cfg.Self.Incarnation, Sequence: e.lastSequence}
}

// reportState describes the reports of held slots that this process has given to
// new owners of a pool.
type reportState struct {
	// query is the latest request for a report. reportGeneration counts these
	// requests without repeats: one for each takeover of the pool.
	query            peer.ReportQuery
	reportGeneration uint64
}

// reportGeneration returns the number of takeovers of a service's pool for which
// this process has reported its slots.
func (e *Edge) reportGeneration(service string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports[service].reportGeneration
}

// addHeldSlot records a granted slot. It returns false if this process has reported
// to a new owner since the acquire call began: the report then lacks the grant,
// which must not be used.
func (e *Edge) addHeldSlot(key peer.GrantKey, h heldSlot, reportGeneration uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reports[h.service].reportGeneration != reportGeneration {
		return false
	}
	e.heldSlots[key] = h
	return true
}

func (e *Edge) removeHeldSlot(key peer.GrantKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.heldSlots, key)
}

// Report returns the slots of a pool that this process holds, for the pool's new
// owner. A grant of the earlier owner that arrives later is not used.
func (e *Edge) Report(q peer.ReportQuery) peer.ReportReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o := e.reports[q.Service]; o.query != q {
		e.reports[q.Service] = reportState{query: q, reportGeneration: o.reportGeneration + 1}
	}
	reply := peer.ReportReply{Incarnation: e.cfg.Self.Incarnation}
	for key, h := range e.heldSlots {
		if h.service != q.Service || h.region != q.Region {
			continue
		}
		reply.Held = append(reply.Held, peer.HeldSlot{Key: key, Server: h.server, Rank: h.rank, Origin: h.origin,
			RemainingMillis: max(0, time.Until(h.deadline).Milliseconds())})
	}
	return reply
}
