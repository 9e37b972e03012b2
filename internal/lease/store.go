package lease

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// calls numbers the store calls and remembers which wait for their result.
type calls struct {
	last       uint64
	operations uint64
	get, watch uint64
	nextGet    time.Duration
	nextWatch  time.Duration
}

func (c *calls) next() uint64 {
	c.last++
	return c.last
}

// get reads the record, one call at a time.
func (l *Lessor) get() {
	if l.calls.get != 0 || l.now < l.calls.nextGet {
		return
	}
	l.calls.get = l.calls.next()
	l.counts.StoreReads++
	l.emit(StoreGet{Call: l.calls.get})
}

// watch keeps one watch on the record.
func (l *Lessor) watch() {
	if l.calls.watch != 0 || l.now < l.calls.nextWatch {
		return
	}
	l.calls.watch = l.calls.next()
	l.counts.StoreWatches++
	l.emit(StoreWatch{Call: l.calls.watch, After: l.seen.revision})
}

func (l *Lessor) storeResult(r StoreResult) {
	if r.Err == StoreUnavailable || r.Err == StoreUncertain {
		l.counts.StoreFailures++
	}
	switch {
	case r.Call == 0:
	case l.attempt != nil && r.Call == l.attempt.call:
		l.writeResult(r)
	case r.Call == l.calls.get:
		l.calls.get = 0
		l.readResult(r)
	case r.Call == l.calls.watch:
		l.calls.watch = 0
		l.watchResult(r)
	}
}

func (l *Lessor) writeResult(r StoreResult) {
	a := l.attempt
	a.call = 0
	a.doubtful = a.doubtful || r.Err == StoreUncertain
	switch r.Err {
	case StoreOK:
		l.confirm(a.lastSent, r.Revision)
	case StoreUnavailable:
		a.nextSend = l.now + l.jitter(l.cfg.RenewEvery)
	case StoreUncertain:
		a.read = true
		a.nextSend = l.now + l.jitter(l.cfg.RenewEvery/10)
		if l.cfg.broken == ruleReadBack {
			l.confirm(a.lastSent, r.Revision)
		}
	default:
		a.read = true
		a.nextSend = l.now
		l.drive()
	}
}

func (l *Lessor) readResult(r StoreResult) {
	switch r.Err {
	case StoreOK:
		l.observe(r.Record, r.Revision)
		if r.Revision == l.seen.revision {
			l.seen.checked = l.now
		}
	case StoreNotFound:
		l.seen.absent = l.seen.revision == 0
	default:
		l.calls.nextGet = l.now + l.jitter(l.cfg.RenewEvery)
		return
	}
	l.calls.nextGet = l.now
	if l.attempt != nil && l.attempt.read {
		l.resolve()
	}
}

func (l *Lessor) watchResult(r StoreResult) {
	if r.Err == StoreOK {
		l.observe(r.Record, r.Revision)
		l.calls.nextWatch = l.now
		return
	}
	l.calls.nextWatch = l.now + l.jitter(l.cfg.RenewEvery)
}

// observe takes note of a record that is newer than all seen before. A read
// that answers from the past changes nothing. The outstanding write took
// effect if the record carries its operation identity; its authority then
// counts from the first try.
func (l *Lessor) observe(r Record, revision store.Revision) {
	if revision <= l.seen.revision {
		return
	}
	if l.attempt != nil && r.Operation == l.attempt.record.Operation {
		l.confirm(l.attempt.firstSent, revision)
		return
	}
	l.seen = observation{record: r, revision: revision, at: l.now}
	l.candidate.heard = l.now
	l.learn(r.Epoch, r.Primary, r.Standby)
	if r.Primary == l.self && l.role != Primary && l.attempt == nil {
		l.resigned = max(l.resigned, r.Epoch)
	}
}

// resolve decides on the outstanding write after the record was read and did
// not carry its operation identity.
func (l *Lessor) resolve() {
	a := l.attempt
	switch {
	case l.role != Primary && l.seen.revision > a.expected:
		l.attempt = nil // another write came first: this one can never take effect
		return
	case l.role == Primary && l.seen.revision > 0 && l.replacedBy(l.seen.record):
		l.stepDown()
		return
	case l.role == Primary:
		a.expected = l.seen.revision
	}
	a.read = false
	a.nextSend = max(a.nextSend, l.now)
	if a.tries > 1 {
		a.nextSend = l.now + l.jitter(l.cfg.RenewEvery/2)
	}
}

// replacedBy tells whether the record shows that another host became primary.
// A record older than those of the known writers is a read from the past.
func (l *Lessor) replacedBy(r Record) bool {
	lowest := l.primary.epoch
	for _, w := range l.primary.writers {
		if w == (Writer{Primary: r.Primary, Epoch: r.Epoch}) {
			return false
		}
		lowest = min(lowest, w.Epoch)
	}
	return r.Primary != l.self && r.Epoch >= lowest
}
