package lease

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// storeCalls numbers the store calls and tracks the outstanding ones; zero means
// none.
type storeCalls struct {
	lastCall      uint64
	lastOperation uint64
	// getRecord and watchRecord are the numbers of the outstanding calls.
	getRecord, watchRecord uint64
	nextGet                time.Duration
	nextWatch              time.Duration
}

func (c *storeCalls) nextCall() uint64 {
	c.lastCall++
	return c.lastCall
}

// getRecord reads the record unless a read is outstanding or the next one is not
// due.
func (l *Lessor) getRecord() {
	if l.storeCalls.getRecord != 0 || l.now < l.storeCalls.nextGet {
		return
	}
	l.storeCalls.getRecord = l.storeCalls.nextCall()
	l.stats.StoreReads++
	l.emit(StoreGet{Call: l.storeCalls.getRecord})
}

// watchRecord keeps one watch on the record outstanding, with a delay after a
// failure.
func (l *Lessor) watchRecord() {
	if l.storeCalls.watchRecord != 0 || l.now < l.storeCalls.nextWatch {
		return
	}
	l.storeCalls.watchRecord = l.storeCalls.nextCall()
	l.stats.StoreWatches++
	l.emit(StoreWatch{Call: l.storeCalls.watchRecord, After: l.observed.revision})
}

func (l *Lessor) storeResult(r StoreResult) {
	if r.Status == StoreUnavailable || r.Status == StoreUncertain {
		l.stats.StoreFailures++
	}
	switch {
	case r.Call == 0:
	case l.pendingWrite != nil && r.Call == l.pendingWrite.call:
		l.writeResult(r)
	case r.Call == l.storeCalls.getRecord:
		l.storeCalls.getRecord = 0
		l.readResult(r)
	case r.Call == l.storeCalls.watchRecord:
		l.storeCalls.watchRecord = 0
		l.watchResult(r)
	}
}

func (l *Lessor) writeResult(r StoreResult) {
	a := l.pendingWrite
	a.call = 0
	a.uncertain = a.uncertain || r.Status == StoreUncertain
	switch r.Status {
	case StoreOK:
		l.confirmWrite(a.lastSent, r.Revision)
	case StoreUnavailable:
		a.nextSend = l.now + l.jitter(l.cfg.WriteEvery)
	case StoreUncertain:
		a.needsRead = true
		a.nextSend = l.now + l.jitter(l.cfg.WriteEvery/10)
		if l.cfg.broken == ruleReadBack {
			l.confirmWrite(a.lastSent, r.Revision)
		}
	default:
		a.needsRead = true
		a.nextSend = l.now
		l.driveWrite()
	}
}

func (l *Lessor) readResult(r StoreResult) {
	switch r.Status {
	case StoreOK:
		l.observeRecord(r.Record, r.Revision)
		if r.Revision == l.observed.revision {
			l.observed.lastReadAt = l.now
		}
	case StoreNotFound:
		l.observed.absent = l.observed.revision == 0
	default:
		l.storeCalls.nextGet = l.now + l.jitter(l.cfg.WriteEvery)
		return
	}
	l.storeCalls.nextGet = l.now
	if l.pendingWrite != nil && l.pendingWrite.needsRead {
		l.resolveWrite()
	}
}

func (l *Lessor) watchResult(r StoreResult) {
	if r.Status == StoreOK {
		l.observeRecord(r.Record, r.Revision)
		l.storeCalls.nextWatch = l.now
		return
	}
	l.storeCalls.nextWatch = l.now + l.jitter(l.cfg.WriteEvery)
}

// observeRecord stores a record that is newer than all observed before; a stale
// read changes nothing. If the record has the operation identity of the
// outstanding write, that write took effect; as any try may have done so, its
// authority counts from the first.
func (l *Lessor) observeRecord(r Record, revision store.Revision) {
	if revision <= l.observed.revision {
		return
	}
	if l.pendingWrite != nil && r.Operation == l.pendingWrite.record.Operation {
		l.confirmWrite(l.pendingWrite.firstSent, revision)
		return
	}
	l.observed = observation{record: r, revision: revision, since: l.now}
	l.candidate.primarySeen = l.now
	l.observeEpoch(r.Epoch, r.Primary, r.Standby)
	if r.Primary == l.self && l.role != Primary && l.pendingWrite == nil {
		l.resignedEpoch = max(l.resignedEpoch, r.Epoch)
	}
}

// resolveWrite drops or repeats the outstanding write after a read has shown that
// the record does not have its operation identity.
func (l *Lessor) resolveWrite() {
	a := l.pendingWrite
	switch {
	case l.role != Primary && l.observed.revision > a.expected:
		l.pendingWrite = nil // another write came first, so this one can no longer take effect
		return
	case l.role == Primary && l.observed.revision > 0 && l.replacedBy(l.observed.record):
		l.stepDown()
		return
	case l.role == Primary:
		a.expected = l.observed.revision
	}
	a.needsRead = false
	a.nextSend = max(a.nextSend, l.now)
	if a.tries > 1 {
		a.nextSend = l.now + l.jitter(l.cfg.WriteEvery/2)
	}
}

// replacedBy reports whether the record shows that another host became primary.
// A record with a lower epoch than all known writers is a stale read.
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
