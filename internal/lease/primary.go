package lease

import (
	"fmt"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// primaryState is what the primary knows about its own authority.
type primaryState struct {
	epoch uint64
	since time.Duration
	// confirmedAt is the time just before the last confirmed renewing call.
	confirmed   bool
	confirmedAt time.Duration
	record      Record
	revision    store.Revision
	// anchor is not later than the last write by any primary so far; the
	// extension limit counts from it.
	anchor time.Duration
	// inherited: the role came without the store, and no write is confirmed yet.
	inherited bool
	// writers came with the role, see Bounds.
	writers   []Writer
	counter   uint64
	maxLease  time.Duration
	nextRenew time.Duration

	// successor is the only host that may follow without the store.
	successor  Ref
	lastAffirm time.Duration
	// armedUntil is how long the successor may hold its nomination.
	armedUntil time.Duration
	nextAffirm time.Duration
	lastAck    time.Duration
	echo       time.Duration
	// extension is the highest counter that a successor has acknowledged.
	extension uint64
	acks      map[Ref]acknowledged
}

// acknowledged is an extension that a successor has acknowledged.
type acknowledged struct{ epoch, through uint64 }

// attempt is a write that may or may not have taken effect.
type attempt struct {
	record    Record
	expected  store.Revision
	firstSent time.Duration
	lastSent  time.Duration
	nextSend  time.Duration
	sent      bool
	call      uint64
	tries     int
	// doubtful: an earlier try may still take effect.
	doubtful bool
	// read: the record must be read before the next try.
	read bool
}

// Authority returns until when this host may grant; zero if it is not primary.
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
		until = max(until, p.anchor+l.cfg.ExtensionLimit)
	}
	if l.cfg.broken == ruleAuthority || l.cfg.broken == ruleExtensionLimit && l.extended() {
		return l.now + l.cfg.TTL
	}
	return until
}

func (l *Lessor) storeAuthority() bool {
	return l.primary.confirmed && l.now < l.primary.confirmedAt+l.cfg.TTL
}

// extended tells whether nobody can replace this host before the extension
// limit: a successor has acknowledged the extension, and so has each standby
// that the record may name at present, unless it has ended or resigned.
func (l *Lessor) extended() bool {
	p := &l.primary
	if !l.selfListed() && l.cfg.broken != ruleSelfCheck {
		return false
	}
	if !p.inherited && (!p.confirmed || p.extension < p.record.Counter && l.cfg.broken != ruleThrough) {
		return false
	}
	return l.covered(Ref{})
}

// covered tells whether no standby of a record that may be in force can take
// over by its own observation. The standby except is not considered.
func (l *Lessor) covered(except Ref) bool {
	p := &l.primary
	if p.confirmed && p.record.Standby != except && !l.coversRecord(p.record) {
		return false
	}
	return l.attempt == nil || !l.attempt.sent || l.attempt.record.Standby == except || l.coversRecord(l.attempt.record)
}

func (l *Lessor) coversRecord(r Record) bool {
	if r.Standby.IsZero() || l.outOf(r.Standby, r.Epoch) {
		return true
	}
	ack, ok := l.primary.acks[r.Standby]
	return ok && ack.epoch == r.Epoch && (ack.through >= r.Counter || l.cfg.broken == ruleThrough)
}

// become makes this host primary of epoch.
func (l *Lessor) become(epoch uint64, p primaryState) {
	p.epoch, p.since, p.acks = epoch, l.now, map[Ref]acknowledged{}
	p.nextRenew, p.nextAffirm = l.now, l.now
	l.primary = p
	l.nomination = nomination{}
	l.candidate.round = nil
	l.regime = regime{Epoch: epoch, Primary: l.self}
	if l.attempt != nil && l.attempt.record.Epoch != epoch {
		l.attempt = nil
	}
	l.counts.Takeovers++
	l.table.reset()
	l.table.waitUntil = l.now + p.maxLease
	if l.cfg.broken == ruleWaitOut {
		l.table.waitUntil = l.now
	}
	l.role = Primary
	l.emit(RoleChanged{Role: Primary, Epoch: epoch})
}

func (l *Lessor) primaryTick() {
	if l.leaving {
		if l.tryHandover() {
			return
		}
		if l.now-l.leaveAt > l.cfg.HandoverLimit {
			l.stepDown()
			return
		}
	}
	l.chooseSuccessor()
	l.affirm()
	l.renew()
}

// renew sends the next write, or repeats the one whose end is unknown.
func (l *Lessor) renew() {
	p := &l.primary
	if l.attempt == nil {
		if l.now < p.nextRenew {
			return
		}
		l.attempt = l.nextRenewal()
	}
	l.drive()
}

// nextRenewal builds the next write. The first write of an epoch that began
// without the store names no standby: nobody can then replace this host by
// observing the record, whether or not the write takes effect.
func (l *Lessor) nextRenewal() *attempt {
	p := &l.primary
	p.counter = max(p.counter, l.seen.record.Counter) + 1
	r := Record{Epoch: max(p.epoch, l.regime.Epoch), Primary: l.self, Counter: p.counter, Operation: l.operation()}
	r.MaxLease = max(p.maxLease, leasePeriods*l.cfg.period(len(l.evidence.live)))
	if !p.inherited {
		r.Standby = p.successor
		if r.Standby.IsZero() {
			r.Standby = l.pick()
		}
	}
	a := &attempt{record: r, expected: p.revision, nextSend: l.now}
	if !p.confirmed {
		a.expected, a.read = l.seen.revision, l.seen.revision == 0
	}
	return a
}

func (l *Lessor) operation() string {
	l.calls.operations++
	return fmt.Sprintf("%s/%d/%d", l.self.ID, l.self.Incarnation, l.calls.operations)
}

// drive advances the outstanding write: it reads the record back when the end
// of a try is unknown, and repeats the write otherwise.
func (l *Lessor) drive() {
	a := l.attempt
	if a == nil || a.call != 0 || l.now < a.nextSend {
		return
	}
	if a.read {
		l.get()
		return
	}
	if !a.sent {
		a.firstSent = l.now
	}
	a.sent, a.lastSent = true, l.now
	a.tries++
	a.call = l.calls.next()
	l.counts.StoreWrites++
	l.emit(StoreCAS{Call: a.call, Expected: a.expected, Record: a.record})
}

// confirm ends the outstanding write: it took effect, not before at.
func (l *Lessor) confirm(at time.Duration, revision store.Revision) {
	r := l.attempt.record
	l.attempt = nil
	if revision > l.seen.revision {
		l.seen = observation{record: r, revision: revision, at: l.now}
	}
	if l.role != Primary {
		if l.leaving || r.Epoch <= l.resigned || r.Epoch <= l.regime.Epoch {
			l.resigned = max(l.resigned, r.Epoch)
			return
		}
		l.become(r.Epoch, primaryState{maxLease: r.MaxLease, counter: r.Counter})
	}
	p := &l.primary
	if l.regime.Epoch <= r.Epoch && p.epoch != r.Epoch {
		p.epoch = r.Epoch
		l.regime = regime{Epoch: r.Epoch, Primary: l.self}
		l.emit(RoleChanged{Role: Primary, Epoch: r.Epoch})
	}
	p.confirmed, p.inherited = true, false
	p.confirmedAt = max(p.confirmedAt, at)
	p.anchor = p.confirmedAt
	p.record, p.revision = r, revision
	p.maxLease, p.writers = r.MaxLease, nil
	p.nextRenew = at + l.jitter(l.cfg.RenewEvery)
	if p.successor.IsZero() && !r.Standby.IsZero() {
		l.name(r.Standby)
	}
	if r.Standby.IsZero() && !l.pick().IsZero() {
		p.nextRenew = l.now
	}
}
