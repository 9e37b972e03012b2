package dispatch

import "time"

// leavingMark records that an incarnation of a server said that it leaves. The pool keeps
// it apart from the server: it outlives the server's entry in the store, which may come
// back. It ends with the incarnation, or with its time if the server has said so by
// mistake.
type leavingMark struct {
	startedAtMillis int64
	until           time.Duration
	// reported is set if a request of this pool learned it, which other pools are told.
	reported bool
}

// leaving reports whether the server said that it leaves.
func (s *server) leaving(now time.Duration) bool { return now < s.leavingUntil }

// markLeaving records that the incarnation of a server said that it leaves.
func (p *Pool) markLeaving(id string, m leavingMark) {
	if old, ok := p.leavingMarks[id]; ok && old.startedAtMillis == m.startedAtMillis {
		m.until, m.reported = max(m.until, old.until), m.reported || old.reported
	}
	p.leavingMarks[id] = m
	p.applyLeavingMark(id)
}

// applyLeavingMark sets leavingUntil of a server, if the pool has it.
func (p *Pool) applyLeavingMark(id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.leavingUntil = 0
	if m, ok := p.leavingMarks[id]; ok && m.startedAtMillis == s.startedAtMillis {
		s.leavingUntil = m.until
	}
}

// expireLeavingMarks drops the marks whose time is over.
func (p *Pool) expireLeavingMarks(now time.Duration) {
	for id, m := range p.leavingMarks {
		if now >= m.until {
			delete(p.leavingMarks, id)
		}
	}
}
