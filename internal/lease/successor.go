package lease

import (
	"slices"
	"time"
)

// extendInterval is the mean time between two Extend messages. It is halved while
// an extension is asked for but not yet acknowledged.
const extendInterval = time.Second

// chooseStandby returns the live member best suited as standby, or the zero Ref:
// established hosts come first, then hosts of another failure domain, then the
// order of the members.
func (l *Lessor) chooseStandby() Ref {
	best, bestScore := Ref{}, -1
	for _, m := range l.liveness.live {
		if m.Leaving || m.Ref.ID == l.self.ID || l.inactive(m.Ref, l.primary.epoch) {
			continue
		}
		score := 0
		if l.established(m.Ref) {
			score += 2
		}
		if m.FailureDomain != l.failureDomain {
			score++
		}
		if score > bestScore {
			best, bestScore = m.Ref, score
		}
	}
	return best
}

// established reports whether every host of the region has ref's host in its
// copy of the host list.
func (l *Lessor) established(ref Ref) bool {
	return l.liveness.established(l.now, ref.ID, l.cfg.endedAfter())
}

func (l *Lessor) setSuccessor(ref Ref) {
	p := &l.primary
	p.successor, p.lastStamp, p.nominatedUntil = ref, 0, 0
	p.lastAck, p.lastExtend, p.nextExtend = l.now, 0, l.now
	l.knownEpoch.Successor = ref
}

// chooseSuccessor replaces a successor that is inactive, or unresponsive once its
// nomination has expired. With the store, the successor is the standby that a
// confirmed record names. Without it, it may be another host if no standby of the
// record can act.
func (l *Lessor) chooseSuccessor() {
	p := &l.primary
	if !p.successor.IsZero() && l.successorLost() {
		p.successor = Ref{}
		l.knownEpoch.Successor = Ref{}
	}
	if !p.successor.IsZero() || l.hasStoreAuthority() || l.now >= l.Authority() {
		return
	}
	next := l.chooseStandby()
	if l.pendingWrite != nil && !l.certainlyInactive(l.pendingWrite.record.Standby, p.epoch) {
		next = l.pendingWrite.record.Standby
	}
	if !next.IsZero() && l.standbysCovered(next) && l.established(next) {
		l.setSuccessor(next)
	}
}

func (l *Lessor) successorLost() bool {
	p := &l.primary
	if l.inactive(p.successor, p.epoch) {
		return true
	}
	return l.successorUnresponsive() && (l.now > p.nominatedUntil)
}

func (l *Lessor) successorUnresponsive() bool { return l.now-l.primary.lastAck > l.cfg.SelfCheck }

// sendExtend confirms to the successor that it is the only one, and asks for an
// extension when the store has not confirmed a write in time.
func (l *Lessor) sendExtend() {
	p := &l.primary
	if p.successor.IsZero() || l.now < p.nextExtend || l.successorUnresponsive() {
		return
	}
	p.nextExtend = l.now + l.jitter(extendInterval)
	m := Extend{Epoch: p.epoch, Bounds: l.bounds()}
	if !p.confirmed || l.now-p.confirmedAt > l.cfg.TTL*5/8 {
		m.Through = p.counter
		if !l.extended() {
			p.nextExtend = l.now + extendInterval/2
		}
	}
	m.Stamp, m.Withdraw = l.now, l.unlistedFor() > l.cfg.SelfCheck/2
	if m.Withdraw {
		m.Bounds.LastStamp = 0
	}
	if m.Bounds.LastStamp != 0 {
		p.nominatedUntil = l.now + l.cfg.NominationLimit + l.cfg.Margin
	}
	p.lastExtend = l.now
	l.sendTo(p.successor, Message{Extend: &m})
}

func (l *Lessor) bounds() Bounds {
	p := &l.primary
	b := Bounds{LastStamp: p.lastStamp, Age: l.now - p.lastWriteBound, Counter: p.counter, MaxLease: p.maxLease, Writers: l.writers()}
	if l.handover == nil && !(l.established(p.successor) && l.established(l.self)) {
		// A host that takes over might not query the successor, or the
		// successor might still count this host as ended.
		b.LastStamp = 0
	}
	return b
}

// maxWriters is the largest number of Bounds.Writers. At worst, the loss of a
// writer makes a successor step down unnecessarily.
const maxWriters = 16

func (l *Lessor) writers() []Writer {
	p := &l.primary
	w := slices.Clone(p.writers)
	if p.confirmed {
		w = append(w, Writer{Primary: l.self, Epoch: p.record.Epoch})
	}
	if a := l.pendingWrite; a != nil && (a.uncertain || a.call != 0) {
		w = append(w, Writer{Primary: l.self, Epoch: a.record.Epoch})
	}
	return w[max(0, len(w)-maxWriters):]
}

func (l *Lessor) ackReceived(from Ref, a ExtendAck) {
	p := &l.primary
	if l.handover != nil && l.handover.To == from {
		p.lastStamp = max(p.lastStamp, a.Stamp)
		return
	}
	if l.role != Primary || a.Epoch != p.epoch {
		return
	}
	if from == p.successor {
		p.lastAck = l.now
		p.lastStamp = max(p.lastStamp, a.Stamp)
		if a.Withdrawn && a.ExtendStamp+l.cfg.NominationLimit+l.cfg.Margin > p.nominatedUntil {
			p.nominatedUntil = 0
		}
	}
	if from == p.successor {
		p.extension = max(p.extension, a.Through)
	}
	if a.Through > p.acks[from].through || p.acks[from].epoch != a.Epoch {
		p.acks[from] = standbyAck{epoch: a.Epoch, through: a.Through}
		if a.Through > 0 {
			l.stats.Extensions++
		}
	}
}

// tryHandover passes the role to the successor if nobody else can act.
func (l *Lessor) tryHandover() bool {
	p := &l.primary
	if p.successor.IsZero() || l.bounds().LastStamp == 0 || l.now >= l.Authority() || !l.standbysCovered(p.successor) {
		return false
	}
	h := Handover{Epoch: max(p.epoch, l.knownEpoch.Epoch) + 1, Bounds: l.bounds(), Assignments: l.grantTable.assignments(l.now)}
	message := Message{From: l.self, To: p.successor, Handover: &h}
	if l.cfg.broken == ruleHandoverStop {
		l.emit(Send{Message: message})
		return false
	}
	l.stats.Handovers++
	bounds := *p
	l.stepDown()
	// bounds needs these values to repeat the handover.
	l.primary.lastWriteBound, l.primary.lastStamp, l.primary.counter, l.primary.maxLease = bounds.lastWriteBound, bounds.lastStamp, bounds.counter, bounds.maxLease
	l.primary.writers = h.Bounds.Writers
	l.handover = &message
	l.emit(Send{Message: message})
	return true
}

func (l *Lessor) repeatHandover() {
	h := *l.handover.Handover
	h.Bounds = l.bounds()
	message := *l.handover
	message.Handover = &h
	l.emit(Send{Message: message})
}

// nomination is the right to succeed the primary without the store.
type nomination struct {
	epoch   uint64
	primary Ref
	held    bool
	until   time.Duration
	// lastWriteBound is a time on this host's clock that is not after the last
	// confirmed write of the record.
	lastWriteBound time.Duration
	counter        uint64
	maxLease       time.Duration
	writers        []Writer
}

// extensionAck is the extension that this host has acknowledged as standby.
type extensionAck struct{ epoch, through uint64 }

func (l *Lessor) extendReceived(from Ref, e Extend) {
	if e.Epoch < l.knownEpoch.Epoch || l.role == Primary && e.Epoch <= l.primary.epoch {
		return
	}
	if l.leaving || e.Epoch <= l.resignedEpoch {
		l.sendTo(from, Message{Resign: &Resign{Epoch: e.Epoch}})
		return
	}
	l.observeEpoch(e.Epoch, from, l.self)
	l.candidate.primarySeen = l.now
	if l.nomination.epoch != e.Epoch || l.nomination.primary != from {
		l.nomination = nomination{epoch: e.Epoch, primary: from}
	}
	l.extendNomination(e.Bounds)
	answer := ExtendAck{Epoch: e.Epoch, Stamp: l.now + 1, ExtendStamp: e.Stamp, Withdrawn: e.Withdraw}
	if e.Withdraw {
		l.withdrawNomination()
	}
	if a := l.pendingWrite; a != nil && a.call == 0 && !a.uncertain {
		l.pendingWrite = nil
	}
	if e.Through > 0 && (l.pendingWrite == nil || l.cfg.broken == ruleStandbyAck) {
		l.ownAck = extensionAck{epoch: e.Epoch, through: max(e.Through, l.ownAck.throughIn(e.Epoch))}
		answer.Through = l.ownAck.through
	}
	l.setRole(Standby)
	l.sendTo(from, Message{Ack: &answer})
}

// throughIn returns the highest counter acknowledged in epoch.
func (a extensionAck) throughIn(epoch uint64) uint64 {
	if a.epoch == epoch {
		return a.through
	}
	return 0
}

// extendNomination extends the nomination if the primary has received a recent
// enough stamp of this host and this host is established in the host list.
func (l *Lessor) extendNomination(b Bounds) {
	n := &l.nomination
	n.counter = max(n.counter, b.Counter)
	n.maxLease = max(n.maxLease, b.MaxLease)
	n.writers = b.Writers
	if b.LastStamp == 0 || b.LastStamp < l.minStamp || !l.selfListed() || !l.established(l.self) {
		return
	}
	n.held = true
	n.until = max(n.until, b.LastStamp+l.cfg.NominationLimit)
	n.lastWriteBound = max(n.lastWriteBound, b.LastStamp-b.Age)
}

func (l *Lessor) handoverReceived(from Ref, h Handover) {
	if l.role == Primary && l.primary.epoch == h.Epoch {
		l.sendTo(from, Message{Accepted: &Accepted{Epoch: h.Epoch}})
		return
	}
	if l.leaving || l.role == Primary || h.Epoch <= l.knownEpoch.Epoch || h.Epoch <= l.resignedEpoch {
		return
	}
	b := h.Bounds
	if b.LastStamp == 0 || b.LastStamp < l.minStamp || !l.selfListed() || !l.established(l.self) {
		l.sendTo(from, Message{Ack: &ExtendAck{Epoch: h.Epoch, Stamp: l.now + 1}})
		return
	}
	l.sendTo(from, Message{Accepted: &Accepted{Epoch: h.Epoch}})
	l.becomePrimary(h.Epoch, primaryState{inherited: true, lastWriteBound: b.LastStamp - b.Age, counter: b.Counter, maxLease: b.MaxLease, writers: b.Writers})
	l.grantTable.adopt(h.Assignments, l.now+b.MaxLease)
	l.grantTable.unclaimedUntil = l.now
}

// nominated reports whether this host may still succeed the primary without the
// store.
func (l *Lessor) nominated() bool { return l.nomination.held && l.now < l.nomination.until }

// withdrawNomination gives up the right to succeed the primary without the store.
// Earlier stamps give no right again.
func (l *Lessor) withdrawNomination() {
	l.nomination.held, l.nomination.until = false, 0
	l.minStamp = max(l.minStamp, l.now+1)
}

// succeedPrimary makes this host primary without the store if the primary has
// ended or resigned. It reports whether it did.
func (l *Lessor) succeedPrimary() bool {
	n := l.nomination
	switch {
	case !l.nominated() || n.epoch != l.knownEpoch.Epoch || !l.inactive(n.primary, n.epoch):
		return false
	case !l.selfListed() || l.now >= n.lastWriteBound+l.cfg.ExtensionLimit:
		return false
	}
	l.becomePrimary(n.epoch+1, primaryState{inherited: true, lastWriteBound: n.lastWriteBound, counter: n.counter, maxLease: n.maxLease, writers: n.writers})
	return true
}
