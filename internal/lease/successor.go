package lease

import (
	"slices"
	"time"
)

// affirmEvery is the time between two Extend messages.
const affirmEvery = time.Second

// pick chooses a standby: established hosts first, then another failure
// domain, then the order of the members.
func (l *Lessor) pick() Ref {
	best, bestScore := Ref{}, -1
	for _, m := range l.evidence.live {
		if m.Leaving || m.Ref.ID == l.self.ID || l.over(m.Ref, l.primary.epoch) {
			continue
		}
		score := 0
		if l.established(m.Ref) {
			score += 2
		}
		if m.FailureDomain != l.domain {
			score++
		}
		if score > bestScore {
			best, bestScore = m.Ref, score
		}
	}
	return best
}

// established tells whether every host of the region has the host in its list.
func (l *Lessor) established(ref Ref) bool {
	return l.evidence.established(l.now, ref.ID, l.cfg.goneAfter())
}

func (l *Lessor) name(ref Ref) {
	p := &l.primary
	p.successor, p.echo, p.armedUntil = ref, 0, 0
	p.lastAck, p.lastAffirm, p.nextAffirm = l.now, 0, l.now
	l.regime.Successor = ref
}

// chooseSuccessor replaces a successor that is over. A silent one is replaced
// only after its nomination has run out. With the store, the successor is the
// standby that a confirmed record names; without it, it may be another host,
// if no standby of the record can act.
func (l *Lessor) chooseSuccessor() {
	p := &l.primary
	if !p.successor.IsZero() && l.successorOver() {
		p.successor = Ref{}
		l.regime.Successor = Ref{}
	}
	if !p.successor.IsZero() || l.storeAuthority() || l.now >= l.Authority() {
		return
	}
	next := l.pick()
	if l.attempt != nil && !l.outOf(l.attempt.record.Standby, p.epoch) {
		next = l.attempt.record.Standby
	}
	if !next.IsZero() && l.covered(next) && l.established(next) {
		l.name(next)
	}
}

func (l *Lessor) successorOver() bool {
	p := &l.primary
	if l.over(p.successor, p.epoch) {
		return true
	}
	return l.silent() && (l.now > p.armedUntil)
}

func (l *Lessor) silent() bool { return l.now-l.primary.lastAck > l.cfg.SelfCheck }

// affirm tells the successor that it is the only one, and asks for an
// extension when the store has not confirmed a renewal in time.
func (l *Lessor) affirm() {
	p := &l.primary
	if p.successor.IsZero() || l.now < p.nextAffirm || l.silent() {
		return
	}
	p.nextAffirm = l.now + l.jitter(affirmEvery)
	m := Extend{Epoch: p.epoch, Bounds: l.bounds()}
	if !p.confirmed || l.now-p.confirmedAt > l.cfg.TTL*5/8 {
		m.Through = p.counter
		if !l.extended() {
			p.nextAffirm = l.now + affirmEvery/2
		}
	}
	m.Stamp, m.Disarm = l.now, l.unlisted() > l.cfg.SelfCheck/2
	if m.Disarm {
		m.Bounds.Echo = 0
	}
	if m.Bounds.Echo != 0 {
		p.armedUntil = l.now + l.cfg.NominationLimit + l.cfg.Margin
	}
	p.lastAffirm = l.now
	l.send(p.successor, Message{Extend: &m})
}

func (l *Lessor) bounds() Bounds {
	p := &l.primary
	b := Bounds{Echo: p.echo, Age: l.now - p.anchor, Counter: p.counter, MaxLease: p.maxLease, Writers: l.writers()}
	if l.handover == nil && !(l.established(p.successor) && l.established(l.self)) {
		// Not every host would ask the successor before a takeover, or the
		// successor may still count this host as ended.
		b.Echo = 0
	}
	return b
}

// maxWriters bounds Bounds.Writers. A writer that is dropped can only make a
// successor step down without need.
const maxWriters = 16

func (l *Lessor) writers() []Writer {
	p := &l.primary
	w := slices.Clone(p.writers)
	if p.confirmed {
		w = append(w, Writer{Primary: l.self, Epoch: p.record.Epoch})
	}
	if a := l.attempt; a != nil && (a.doubtful || a.call != 0) {
		w = append(w, Writer{Primary: l.self, Epoch: a.record.Epoch})
	}
	return w[max(0, len(w)-maxWriters):]
}

func (l *Lessor) ackReceived(from Ref, a ExtendAck) {
	p := &l.primary
	if l.handover != nil && l.handover.To == from {
		p.echo = max(p.echo, a.Stamp)
		return
	}
	if l.role != Primary || a.Epoch != p.epoch {
		return
	}
	if from == p.successor {
		p.lastAck = l.now
		p.echo = max(p.echo, a.Stamp)
		if a.Disarmed && a.Asked+l.cfg.NominationLimit+l.cfg.Margin > p.armedUntil {
			p.armedUntil = 0
		}
	}
	if from == p.successor {
		p.extension = max(p.extension, a.Through)
	}
	if a.Through > p.acks[from].through || p.acks[from].epoch != a.Epoch {
		p.acks[from] = acknowledged{epoch: a.Epoch, through: a.Through}
		if a.Through > 0 {
			l.counts.Extensions++
		}
	}
}

// tryHandover passes the role to the successor if nobody else can act.
func (l *Lessor) tryHandover() bool {
	p := &l.primary
	if p.successor.IsZero() || l.bounds().Echo == 0 || l.now >= l.Authority() || !l.covered(p.successor) {
		return false
	}
	h := Handover{Epoch: max(p.epoch, l.regime.Epoch) + 1, Bounds: l.bounds(), Assignments: l.table.assignments(l.now)}
	message := Message{From: l.self, To: p.successor, Handover: &h}
	if l.cfg.broken == ruleHandoverStop {
		l.emit(Send{Message: message})
		return false
	}
	l.counts.Handovers++
	bounds := *p
	l.stepDown()
	// The anchor and the echo are still needed to repeat the handover.
	l.primary.anchor, l.primary.echo, l.primary.counter, l.primary.maxLease = bounds.anchor, bounds.echo, bounds.counter, bounds.maxLease
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

// nomination is the right to follow the primary without the store.
type nomination struct {
	epoch   uint64
	primary Ref
	armed   bool
	until   time.Duration
	// anchor is not later, on this host's clock, than the last renewal.
	anchor   time.Duration
	counter  uint64
	maxLease time.Duration
	writers  []Writer
}

// ackState is the extension that this host has acknowledged as standby.
type ackState struct{ epoch, through uint64 }

func (l *Lessor) extendReceived(from Ref, e Extend) {
	if e.Epoch < l.regime.Epoch || l.role == Primary && e.Epoch <= l.primary.epoch {
		return
	}
	if l.leaving || e.Epoch <= l.resigned {
		l.send(from, Message{Resign: &Resign{Epoch: e.Epoch}})
		return
	}
	l.learn(e.Epoch, from, l.self)
	l.candidate.heard = l.now
	if l.nomination.epoch != e.Epoch || l.nomination.primary != from {
		l.nomination = nomination{epoch: e.Epoch, primary: from}
	}
	l.arm(e.Bounds)
	answer := ExtendAck{Epoch: e.Epoch, Stamp: l.now + 1, Asked: e.Stamp, Disarmed: e.Disarm}
	if e.Disarm {
		l.disarm()
	}
	if a := l.attempt; a != nil && a.call == 0 && !a.doubtful {
		l.attempt = nil
	}
	if e.Through > 0 && (l.attempt == nil || l.cfg.broken == ruleStandbyAck) {
		l.ack = ackState{epoch: e.Epoch, through: max(e.Through, l.ack.of(e.Epoch))}
		answer.Through = l.ack.through
	}
	l.setRole(Standby)
	l.send(from, Message{Ack: &answer})
}

func (a ackState) of(epoch uint64) uint64 {
	if a.epoch == epoch {
		return a.through
	}
	return 0
}

// arm extends the nomination if the primary sent it after this host's stamp.
func (l *Lessor) arm(b Bounds) {
	n := &l.nomination
	n.counter = max(n.counter, b.Counter)
	n.maxLease = max(n.maxLease, b.MaxLease)
	n.writers = b.Writers
	if b.Echo == 0 || b.Echo < l.minEcho || !l.selfListed() || !l.established(l.self) {
		return
	}
	n.armed = true
	n.until = max(n.until, b.Echo+l.cfg.NominationLimit)
	n.anchor = max(n.anchor, b.Echo-b.Age)
}

func (l *Lessor) handoverReceived(from Ref, h Handover) {
	if l.role == Primary && l.primary.epoch == h.Epoch {
		l.send(from, Message{Accepted: &Accepted{Epoch: h.Epoch}})
		return
	}
	if l.leaving || l.role == Primary || h.Epoch <= l.regime.Epoch || h.Epoch <= l.resigned {
		return
	}
	b := h.Bounds
	if b.Echo == 0 || b.Echo < l.minEcho || !l.selfListed() || !l.established(l.self) {
		l.send(from, Message{Ack: &ExtendAck{Epoch: h.Epoch, Stamp: l.now + 1}})
		return
	}
	l.send(from, Message{Accepted: &Accepted{Epoch: h.Epoch}})
	l.become(h.Epoch, primaryState{inherited: true, anchor: b.Echo - b.Age, counter: b.Counter, maxLease: b.MaxLease, writers: b.Writers})
	l.table.adopt(h.Assignments, l.now+b.MaxLease)
	l.table.waitUntil = l.now
}

// nominated tells whether this host may still follow without the store.
func (l *Lessor) nominated() bool { return l.nomination.armed && l.now < l.nomination.until }

// disarm gives up the right to follow without the store.
func (l *Lessor) disarm() {
	l.nomination.armed, l.nomination.until = false, 0
	l.minEcho = max(l.minEcho, l.now+1)
}

// succeed follows a primary that has certainly ended, without the store.
func (l *Lessor) succeed() bool {
	n := l.nomination
	switch {
	case !l.nominated() || n.epoch != l.regime.Epoch || !l.over(n.primary, n.epoch):
		return false
	case !l.selfListed() || l.now >= n.anchor+l.cfg.ExtensionLimit:
		return false
	}
	l.become(n.epoch+1, primaryState{inherited: true, anchor: n.anchor, counter: n.counter, maxLease: n.maxLease, writers: n.writers})
	return true
}
