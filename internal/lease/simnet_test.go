package lease

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/store"
)

func (s *sim) storeReachable(p *process) bool { return !s.faults.storeDown && !p.storeCut }

// storeCall makes a store call with a timeout of 1 s. With the fault lateWrite,
// reads and writes may reach the store up to 20 s late, mostly after the timeout.
func (s *sim) storeCall(p *process, call uint64, write bool, apply func() StoreResult) {
	if write {
		s.writes++
	} else {
		s.reads++
	}
	s.callsPerSecond[int(s.now/time.Second)]++
	done := false
	finish := func(r StoreResult) {
		if !done {
			done = true
			s.deliver(p, func() { s.step(p, r) })
		}
	}
	if !s.storeReachable(p) {
		s.at(s.delay(), func() { finish(StoreResult{Call: call, Status: StoreUnavailable}) })
		return
	}
	s.at(time.Second, func() { finish(StoreResult{Call: call, Status: StoreUncertain}) })
	requestDelay, answerDelay := s.delay()+s.randomUpTo(s.faults.storeDelay), s.delay()+s.randomUpTo(s.faults.storeDelay)
	if s.chance(s.faults.lateWrite) {
		requestDelay += s.randomUpTo(20 * time.Second)
	}
	answerLost := write && s.chance(s.faults.loseAnswers)
	s.at(requestDelay, func() {
		if !s.storeReachable(p) && !s.chance(0.5) {
			return
		}
		r := apply()
		if !answerLost {
			s.at(answerDelay, func() { finish(r) })
		}
	})
}

func (s *sim) read(call uint64, after store.Revision) StoreResult {
	stale := 0
	if s.faults.stale {
		stale = s.rng.IntN(4)
	}
	entry, err := s.table.Get(s.now, lessorKey, stale)
	if errors.Is(err, store.ErrNotFound) || entry.Revision <= after {
		return StoreResult{Call: call, Status: StoreNotFound}
	}
	var r Record
	_ = json.Unmarshal(entry.Value, &r)
	return StoreResult{Call: call, Record: r, Revision: entry.Revision}
}

func (s *sim) write(a StoreCAS) StoreResult {
	value, _ := json.Marshal(a.Record)
	revision, err := s.table.CompareAndSwap(s.now, lessorKey, a.Expected, value, 0)
	if err != nil {
		return StoreResult{Call: a.Call, Status: StoreConflict}
	}
	s.at(0, s.wakeWatchers)
	return StoreResult{Call: a.Call, Revision: revision}
}

func (s *sim) watch(p *process, a StoreWatch) {
	s.reads++
	s.callsPerSecond[int(s.now/time.Second)]++
	s.at(s.delay(), func() { s.pollWatch(p, a) })
}

func (s *sim) pollWatch(p *process, a StoreWatch) {
	r := StoreResult{Call: a.Call, Status: StoreUnavailable}
	if s.storeReachable(p) {
		if r = s.read(a.Call, a.After); r.Status != StoreOK {
			s.watchers = append(s.watchers, func() { s.pollWatch(p, a) })
			return
		}
	}
	s.at(s.delay(), func() { s.deliver(p, func() { s.step(p, r) }) })
}

func (s *sim) wakeWatchers() {
	watchers := s.watchers
	s.watchers = nil
	for _, w := range watchers {
		w()
	}
}

// connected reports whether two processes can exchange messages.
func connected(a, b *process) bool {
	return a == b || !a.isolated && !b.isolated || a.isolated && b.isolated && a.info.FailureDomain == b.info.FailureDomain
}

// transfer calls f with the process of the host to, subject to the network faults.
func (s *sim) transfer(from *process, to host.ID, f func(p *process)) {
	copies := 1
	if s.chance(s.faults.duplicate) {
		copies = 2
	}
	for range copies {
		d := s.delay()
		if s.chance(s.faults.late) {
			d += s.randomUpTo(30 * time.Second)
		}
		if s.chance(s.faults.loss) && from.ref.ID != to {
			continue
		}
		i, ok := s.indexByID[to]
		if !ok {
			return
		}
		s.at(d, func() {
			if p := s.hosts[i]; p.ref.ID == to && connected(from, p) {
				s.deliver(p, func() { f(p) })
			}
		})
	}
}

func (s *sim) sendMessage(p *process, m Message) {
	text, _ := json.Marshal(m) // round trip through JSON, as on the wire
	var copied Message
	if err := json.Unmarshal(text, &copied); err != nil {
		s.failure = err.Error()
	}
	s.transfer(p, m.To.ID, func(to *process) { s.step(to, PeerMessage{Message: copied}) })
}
