package lease

import (
	"fmt"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// primaryState is what the primary knows about its own authority and successor.
type primaryState struct {
	epoch    uint64
	becameAt time.Duration
	// confirmedAt is the time just before the store call of the last confirmed
	// write.
	confirmed   bool
	confirmedAt time.Duration
	record      Record
	revision    store.Revision
	// lastWriteBound is not later than the last write by any primary so far. The
	// extension limit counts from it.
	lastWriteBound time.Duration
	// inherited is set while the role came without the store and no write is
	// confirmed yet.
	inherited bool
	// writers came with an inherited role. See Bounds.Writers.
	writers   []Writer
	counter   uint64
	maxLease  time.Duration
	nextWrite time.Duration

	// successor is the only host that may succeed this one without the store.
	successor  Ref
	lastExtend time.Duration
	// nominatedUntil is the latest end of the successor's nomination.
	nominatedUntil time.Duration
	nextExtend     time.Duration
	lastAck        time.Duration
	// lastStamp is the last ExtendAck.Stamp of the successor, zero if none.
	lastStamp time.Duration
	// extension is the highest counter that a successor has acknowledged.
	extension uint64
	acks      map[Ref]standbyAck
}

// standbyAck is an extension that a standby has acknowledged.
type standbyAck struct{ epoch, through uint64 }

// pendingWrite is a write that may or may not have taken effect.
type pendingWrite struct {
	record    Record
	expected  store.Revision
	firstSent time.Duration
	lastSent  time.Duration
	nextSend  time.Duration
	sent      bool
	call      uint64
	tries     int
	// uncertain means that an earlier try may still take effect.
	uncertain bool
	// needsRead means that the record must be read before the next try, because
	// the outcome of the last one or the revision to expect is unknown.
	needsRead bool
}

// Authority returns until when this host may grant leases, on the clock of Step;
// the time may have passed. It is zero if the host is not primary.
func (l *Lessor) Authority() time.Duration {
	if l.role != Primary {
		return 0
	}
	p := &l.primary
	var until time.Duration
	if p.confirmed {
		until = p.confirmedAt + l.cfg.TTL
	}
	if l.extended() {
		until = max(until, p.lastWriteBound+l.cfg.ExtensionLimit)
	}
	if l.cfg.broken == ruleAuthority || l.cfg.broken == ruleExtensionLimit && l.extended() {
		return l.now + l.cfg.TTL
	}
	return until
}

func (l *Lessor) hasStoreAuthority() bool {
	return l.primary.confirmed && l.now < l.primary.confirmedAt+l.cfg.TTL
}

// extended reports whether nobody can replace this host before the extension
// limit: this host is listed; it inherited the role, or a successor has
// acknowledged the extension; and each standby that the record may name now has
// acknowledged it, ended or resigned.
func (l *Lessor) extended() bool {
	p := &l.primary
	if !l.selfListed() && l.cfg.broken != ruleSelfCheck {
		return false
	}
	if !p.inherited && (!p.confirmed || p.extension < p.record.Counter && l.cfg.broken != ruleThrough) {
		return false
	}
	return l.standbysCovered(Ref{})
}

// standbysCovered reports whether no standby of a record that may be in force can
// take over because it sees the record unchanged. It ignores the standby except.
func (l *Lessor) standbysCovered(except Ref) bool {
	p := &l.primary
	if p.confirmed && p.record.Standby != except && !l.standbyCovered(p.record) {
		return false
	}
	return l.pendingWrite == nil || !l.pendingWrite.sent || l.pendingWrite.record.Standby == except || l.standbyCovered(l.pendingWrite.record)
}

func (l *Lessor) standbyCovered(r Record) bool {
	if r.Standby.IsZero() || l.certainlyInactive(r.Standby, r.Epoch) {
		return true
	}
	ack, ok := l.primary.acks[r.Standby]
	return ok && ack.epoch == r.Epoch && (ack.through >= r.Counter || l.cfg.broken == ruleThrough)
}

func (l *Lessor) becomePrimary(epoch uint64, p primaryState) {
	p.epoch, p.becameAt, p.acks = epoch, l.now, map[Ref]standbyAck{}
	p.nextWrite, p.nextExtend = l.now, l.now
	l.primary = p
	l.nomination = nomination{}
	l.candidate.queryRound = nil
	l.knownEpoch = knownEpoch{Epoch: epoch, Primary: l.self}
	if l.pendingWrite != nil && l.pendingWrite.record.Epoch != epoch {
		l.pendingWrite = nil
	}
	l.stats.Takeovers++
	l.grantTable.reset()
	l.grantTable.unclaimedUntil = l.now + p.maxLease
	if l.cfg.broken == ruleWaitForHolders {
		l.grantTable.unclaimedUntil = l.now
	}
	l.role = Primary
	l.emit(RoleChanged{Role: Primary, Epoch: epoch})
}

func (l *Lessor) primaryTick() {
	if l.leaving {
		if l.tryHandover() {
			return
		}
		if l.now-l.leavingSince > l.cfg.HandoverLimit {
			l.stepDown()
			return
		}
	}
	l.chooseSuccessor()
	l.sendExtend()
	l.writeRecord()
}

// writeRecord sends the next write of the record when it is due, or repeats the
// one whose outcome is unknown.
func (l *Lessor) writeRecord() {
	p := &l.primary
	if l.pendingWrite == nil {
		if l.now < p.nextWrite {
			return
		}
		l.pendingWrite = l.nextRecordWrite()
	}
	l.driveWrite()
}

// nextRecordWrite returns the next write of the record. The first write of an
// epoch that began without the store names no standby, so that nobody can replace
// this host by observing the record, whether or not the write takes effect.
func (l *Lessor) nextRecordWrite() *pendingWrite {
	p := &l.primary
	p.counter = max(p.counter, l.observed.record.Counter) + 1
	r := Record{Epoch: max(p.epoch, l.knownEpoch.Epoch), Primary: l.self, Counter: p.counter, Operation: l.nextOperation()}
	r.MaxLease = max(p.maxLease, leasePeriods*l.cfg.renewPeriod(len(l.liveness.live)))
	if !p.inherited {
		r.Standby = p.successor
		if r.Standby.IsZero() {
			r.Standby = l.chooseStandby()
		}
	}
	a := &pendingWrite{record: r, expected: p.revision, nextSend: l.now}
	if !p.confirmed {
		a.expected, a.needsRead = l.observed.revision, l.observed.revision == 0
	}
	return a
}

func (l *Lessor) nextOperation() string {
	l.storeCalls.lastOperation++
	return fmt.Sprintf("%s/%d/%d", l.self.ID, l.self.Incarnation, l.storeCalls.lastOperation)
}

// driveWrite sends or repeats the outstanding write when that is due, or reads the
// record if needsRead.
func (l *Lessor) driveWrite() {
	a := l.pendingWrite
	if a == nil || a.call != 0 || l.now < a.nextSend {
		return
	}
	if a.needsRead {
		l.getRecord()
		return
	}
	if !a.sent {
		a.firstSent = l.now
	}
	a.sent, a.lastSent = true, l.now
	a.tries++
	a.call = l.storeCalls.nextCall()
	l.stats.StoreWrites++
	l.emit(StoreCAS{Call: a.call, Expected: a.expected, Record: a.record})
}

// confirmWrite completes the outstanding write, which took effect not before
// since.
func (l *Lessor) confirmWrite(since time.Duration, revision store.Revision) {
	r := l.pendingWrite.record
	l.pendingWrite = nil
	if revision > l.observed.revision {
		l.observed = observation{record: r, revision: revision, since: l.now}
	}
	if l.role != Primary {
		if l.leaving || r.Epoch <= l.resignedEpoch || r.Epoch <= l.knownEpoch.Epoch {
			l.resignedEpoch = max(l.resignedEpoch, r.Epoch)
			return
		}
		l.becomePrimary(r.Epoch, primaryState{maxLease: r.MaxLease, counter: r.Counter})
	}
	p := &l.primary
	if l.knownEpoch.Epoch <= r.Epoch && p.epoch != r.Epoch {
		p.epoch = r.Epoch
		l.knownEpoch = knownEpoch{Epoch: r.Epoch, Primary: l.self}
		l.emit(RoleChanged{Role: Primary, Epoch: r.Epoch})
	}
	p.confirmed, p.inherited = true, false
	p.confirmedAt = max(p.confirmedAt, since)
	p.lastWriteBound = p.confirmedAt
	p.record, p.revision = r, revision
	p.maxLease, p.writers = r.MaxLease, nil
	p.nextWrite = since + l.jitter(l.cfg.WriteEvery)
	if p.successor.IsZero() && !r.Standby.IsZero() {
		l.setSuccessor(r.Standby)
	}
	if r.Standby.IsZero() && !l.chooseStandby().IsZero() {
		p.nextWrite = l.now
	}
}
