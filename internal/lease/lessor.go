package lease

import (
	"math/rand/v2"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/store"
)

// Lessor is one host's part in granting leases. It is not safe for concurrent use.
type Lessor struct {
	cfg    Config
	self   Ref
	domain string
	rng    *rand.Rand

	now time.Duration
	out []Action

	role     Role
	regime   regime
	resigned uint64
	leaving  bool
	leaveAt  time.Duration
	stopped  bool

	evidence   evidence
	seen       observation
	calls      calls
	attempt    *attempt
	primary    primaryState
	handover   *Message
	nomination nomination
	// minEcho is the lowest Bounds.Echo that is accepted, so that nominations
	// and handovers from before it have no effect.
	minEcho   time.Duration
	ack       ackState
	candidate candidateState
	table     table
	counts    Counts
}

// regime is the highest epoch known, with its primary and, if known, the
// successor that the primary has named.
type regime struct {
	Epoch              uint64
	Primary, Successor Ref
}

// observation is the newest record read from the store.
type observation struct {
	record   Record
	revision store.Revision
	// at is when this revision was first seen.
	at time.Duration
	// checked is when a read last showed this revision.
	checked time.Duration
	// absent: the store has said that there is no record.
	absent bool
}

// Counts are the metrics of a Lessor since its start.
type Counts struct {
	StoreReads, StoreWrites, StoreWatches, StoreFailures int64
	Takeovers, Handovers, Resignations, Extensions       int64
	Grants, Refused                                      int64
}

// New returns a follower. The info names this process; rng gives jitter.
func New(cfg Config, info host.Info, rng *rand.Rand) *Lessor {
	l := &Lessor{
		cfg: cfg.withDefaults(), self: Ref{ID: info.ID, Incarnation: info.Incarnation}, domain: info.FailureDomain,
		rng: rng, role: Follower, evidence: newEvidence(), table: newTable(),
	}
	return l
}

// Step handles one event and appends the resulting actions to out. The time
// never decreases between calls.
func (l *Lessor) Step(now time.Duration, event Event, out []Action) []Action {
	l.now, l.out = now, out
	l.evidence.start(now)
	l.checkSelf()
	switch e := event.(type) {
	case Tick:
		l.tick()
	case StoreResult:
		l.storeResult(e)
	case PeerMessage:
		l.peerMessage(e.Message)
	case MembersChanged:
		l.evidence.members(e)
	case ListRead:
		l.evidence.listRead(now, l.cfg.SelfCheck, e)
	case ResourcesChanged:
		l.table.setResources(e.Resources)
	case PrimaryReported:
		l.learn(e.Epoch, e.Primary, Ref{})
		if e.Direct && e.Epoch >= l.regime.Epoch {
			l.candidate.heard = now
		}
	case RenewReceived:
		l.renewReceived(e)
	case Shutdown:
		l.shutdown()
	}
	out, l.out = l.out, nil
	return out
}

func (l *Lessor) emit(a Action) { l.out = append(l.out, a) }

func (l *Lessor) send(to Ref, m Message) {
	m.From, m.To = l.self, to
	l.emit(Send{Message: m})
}

// jitter spreads d evenly over 0.8 d to 1.2 d.
func (l *Lessor) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(l.rng.Int64N(int64(d*2/5)+1))
}

func (l *Lessor) tick() {
	if l.stopped {
		return
	}
	switch {
	case l.role == Primary:
		l.primaryTick()
	case l.leaving:
		l.leavingTick()
	default:
		l.followerTick()
	}
}

func (l *Lessor) peerMessage(m Message) {
	if m.To.ID != l.self.ID || (m.To.Incarnation != 0 && m.To.Incarnation != l.self.Incarnation) {
		return
	}
	switch {
	case m.Extend != nil:
		l.extendReceived(m.From, *m.Extend)
	case m.Ack != nil:
		l.ackReceived(m.From, *m.Ack)
	case m.Handover != nil:
		l.handoverReceived(m.From, *m.Handover)
	case m.Accepted != nil:
		if l.handover != nil && l.handover.To == m.From && l.handover.Handover.Epoch == m.Accepted.Epoch {
			l.handover = nil
			l.learn(m.Accepted.Epoch, m.From, Ref{})
		}
	case m.Query != nil:
		l.queryReceived(m.From, *m.Query)
	case m.Answer != nil:
		l.answerReceived(m.From, *m.Answer)
	case m.Resign != nil:
		l.evidence.resign(m.From, m.Resign.Epoch)
	}
}

// learn takes note of an epoch. A primary without the store that hears of a
// higher epoch has been replaced; with the store it raises its own epoch,
// because its writes show that nobody replaced it.
func (l *Lessor) learn(epoch uint64, primary, successor Ref) {
	l.evidence.meet(l.now, primary)
	l.evidence.meet(l.now, successor)
	if epoch == l.regime.Epoch && primary == l.regime.Primary && !successor.IsZero() {
		l.regime.Successor = successor
	}
	if epoch <= l.regime.Epoch {
		return
	}
	l.regime = regime{Epoch: epoch, Primary: primary, Successor: successor}
	if l.nomination.epoch < epoch {
		l.nomination = nomination{}
	}
	if l.role == Primary && primary != l.self && !l.storeAuthority() {
		l.stepDown()
	}
}

// stepDown ends this host's part in its epoch for good.
func (l *Lessor) stepDown() {
	l.resigned = max(l.resigned, l.primary.epoch, l.nomination.epoch)
	l.attempt = nil
	l.primary = primaryState{}
	l.nomination = nomination{}
	l.table.reset()
	l.counts.Resignations++
	l.setRole(Follower)
}

func (l *Lessor) setRole(role Role) {
	if l.role == role {
		return
	}
	l.role = role
	l.emit(RoleChanged{Role: role, Epoch: l.regime.Epoch})
}

// checkSelf drops what a host may not keep that is not in the host list,
// because others count it as ended after goneAfter.
func (l *Lessor) checkSelf() {
	if l.selfListed() || l.cfg.broken == ruleSelfCheck {
		return
	}
	if l.nomination.armed {
		l.disarm()
	}
	missing := l.evidence.lastRead-l.evidence.lastListed(l.self.ID) > l.cfg.SelfCheck
	if l.role == Primary && (missing || !l.storeAuthority() || l.now < l.primary.armedUntil) {
		l.stepDown()
	}
}

// selfListed tells whether a recent read of the host list showed this host.
func (l *Lessor) selfListed() bool { return l.unlisted() <= l.cfg.SelfCheck }

// unlisted is the time since a read of the host list showed this host.
func (l *Lessor) unlisted() time.Duration { return l.now - l.evidence.lastListed(l.self.ID) }

func (l *Lessor) shutdown() {
	if l.leaving {
		return
	}
	l.leaving, l.leaveAt = true, l.now
	if l.role != Primary {
		l.nomination = nomination{}
		l.setRole(Follower)
	}
}

// leavingTick repeats the handover, or the resignation, for a while.
func (l *Lessor) leavingTick() {
	l.resigned = max(l.resigned, l.regime.Epoch)
	switch {
	case l.handover != nil && l.now-l.leaveAt < l.cfg.HandoverLimit:
		l.repeatHandover()
	case l.handover == nil && l.now-l.leaveAt < resignTime:
		if l.regime.Primary != l.self && !l.regime.Primary.IsZero() {
			l.send(l.regime.Primary, Message{Resign: &Resign{Epoch: l.regime.Epoch}})
		}
	default:
		l.stopped = true
		l.emit(Stopped{})
	}
}

// resignTime is how long a leaving host repeats its resignation.
const resignTime = 500 * time.Millisecond
