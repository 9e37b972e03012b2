package lease

import (
	"math/rand/v2"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/store"
)

// Lessor is the state machine of one host that elects the primary and, while the
// host is primary, grants leases. It is not safe for concurrent use.
type Lessor struct {
	cfg           Config
	self          Ref
	failureDomain string
	rng           *rand.Rand

	now     time.Duration
	actions []Action

	role       Role
	knownEpoch knownEpoch
	// resignedEpoch is the highest epoch in which this host will not act again.
	resignedEpoch uint64
	leaving       bool
	leavingSince  time.Duration
	stopped       bool

	liveness     liveness
	observed     observation
	storeCalls   storeCalls
	pendingWrite *pendingWrite
	primary      primaryState
	handover     *Message
	nomination   nomination
	// minStamp is the lowest Bounds.LastStamp accepted, so that nominations and
	// handovers from before it have no effect.
	minStamp   time.Duration
	ownAck     extensionAck
	candidate  candidateState
	grantTable grantTable
	stats      Stats
}

// knownEpoch is the highest epoch known, with its primary and, if known, the
// successor that the primary has named.
type knownEpoch struct {
	Epoch              uint64
	Primary, Successor Ref
}

// observation is the newest record known, from a read, a watch or a confirmed
// write.
type observation struct {
	record   Record
	revision store.Revision
	// since is when this revision was first observed.
	since time.Duration
	// lastReadAt is when a read last showed this revision.
	lastReadAt time.Duration
	// absent is set if the store reported that there is no record.
	absent bool
}

// Stats are counters of a Lessor since its start.
type Stats struct {
	StoreReads, StoreWrites, StoreWatches, StoreFailures int64
	Takeovers, Handovers, Resignations, Extensions       int64
	Grants, Refused                                      int64
}

// New returns a follower for the process that info describes. rng is the source
// of jitter and must not be shared with other goroutines.
func New(cfg Config, info host.Info, rng *rand.Rand) *Lessor {
	l := &Lessor{
		cfg: cfg.withDefaults(), self: Ref{ID: info.ID, Incarnation: info.Incarnation}, failureDomain: info.FailureDomain,
		rng: rng, role: Follower, liveness: newLiveness(), grantTable: newTable(),
	}
	return l
}

// Step handles one event and appends the resulting actions to actions. now must
// not decrease between calls.
func (l *Lessor) Step(now time.Duration, event Event, actions []Action) []Action {
	l.now, l.actions = now, actions
	l.liveness.start(now)
	l.checkSelf()
	switch e := event.(type) {
	case Tick:
		l.tick()
	case StoreResult:
		l.storeResult(e)
	case PeerMessage:
		l.peerMessage(e.Message)
	case MembersChanged:
		l.liveness.setMembers(e)
	case ListRead:
		l.liveness.recordListRead(now, l.cfg.SelfCheck, e)
	case ResourcesChanged:
		l.grantTable.setResources(e.Resources)
	case PrimaryReported:
		l.observeEpoch(e.Epoch, e.Primary, Ref{})
		if e.Direct && e.Epoch >= l.knownEpoch.Epoch {
			l.candidate.primarySeen = now
		}
	case RenewReceived:
		l.renewReceived(e)
	case Shutdown:
		l.shutdown()
	}
	actions, l.actions = l.actions, nil
	return actions
}

func (l *Lessor) emit(a Action) { l.actions = append(l.actions, a) }

func (l *Lessor) sendTo(to Ref, m Message) {
	m.From, m.To = l.self, to
	l.emit(Send{Message: m})
}

// jitter returns a random duration, uniform between 0.8 d and 1.2 d.
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
			l.observeEpoch(m.Accepted.Epoch, m.From, Ref{})
		}
	case m.Query != nil:
		l.queryReceived(m.From, *m.Query)
	case m.Answer != nil:
		l.queryAnswerReceived(m.From, *m.Answer)
	case m.Resign != nil:
		l.liveness.recordResignation(m.From, m.Resign.Epoch)
	}
}

// observeEpoch records an epoch that another host or the store reported. A higher
// epoch shows a primary without store authority that it has been replaced. With
// store authority it raises its own epoch instead, because its writes show that
// nobody replaced it.
func (l *Lessor) observeEpoch(epoch uint64, primary, successor Ref) {
	l.liveness.recordIncarnation(l.now, primary)
	l.liveness.recordIncarnation(l.now, successor)
	if epoch == l.knownEpoch.Epoch && primary == l.knownEpoch.Primary && !successor.IsZero() {
		l.knownEpoch.Successor = successor
	}
	if epoch <= l.knownEpoch.Epoch {
		return
	}
	l.knownEpoch = knownEpoch{Epoch: epoch, Primary: primary, Successor: successor}
	if l.nomination.epoch < epoch {
		l.nomination = nomination{}
	}
	if l.role == Primary && primary != l.self && !l.hasStoreAuthority() {
		l.stepDown()
	}
}

// stepDown ends this host's role in its epoch permanently.
func (l *Lessor) stepDown() {
	l.resignedEpoch = max(l.resignedEpoch, l.primary.epoch, l.nomination.epoch)
	l.pendingWrite = nil
	l.primary = primaryState{}
	l.nomination = nomination{}
	l.grantTable.reset()
	l.stats.Resignations++
	l.setRole(Follower)
}

func (l *Lessor) setRole(role Role) {
	if l.role == role {
		return
	}
	l.role = role
	l.emit(RoleChanged{Role: role, Epoch: l.knownEpoch.Epoch})
}

// checkSelf gives up the nomination and the primary role if no read of the host
// list has shown this host within SelfCheck, because others count it as ended
// after endedAfter. It keeps the primary role only if it has store authority, no
// successor may hold a nomination, and the last read of the list came at most
// SelfCheck after the one that last showed this host.
func (l *Lessor) checkSelf() {
	if l.selfListed() || l.cfg.broken == ruleSelfCheck {
		return
	}
	if l.nomination.held {
		l.withdrawNomination()
	}
	missing := l.liveness.lastReadAt-l.liveness.lastListed(l.self.ID) > l.cfg.SelfCheck
	if l.role == Primary && (missing || !l.hasStoreAuthority() || l.now < l.primary.nominatedUntil) {
		l.stepDown()
	}
}

// selfListed reports whether a read of the host list showed this host within the
// last SelfCheck or, if none ever did, this process started within it.
func (l *Lessor) selfListed() bool { return l.unlistedFor() <= l.cfg.SelfCheck }

// unlistedFor returns the time since a read of the host list last showed this
// host, or since the start of this process if none has.
func (l *Lessor) unlistedFor() time.Duration { return l.now - l.liveness.lastListed(l.self.ID) }

func (l *Lessor) shutdown() {
	if l.leaving {
		return
	}
	l.leaving, l.leavingSince = true, l.now
	if l.role != Primary {
		l.nomination = nomination{}
		l.setRole(Follower)
	}
}

// leavingTick repeats the handover or the resignation until its time limit, and
// then stops the Lessor.
func (l *Lessor) leavingTick() {
	l.resignedEpoch = max(l.resignedEpoch, l.knownEpoch.Epoch)
	switch {
	case l.handover != nil && l.now-l.leavingSince < l.cfg.HandoverLimit:
		l.repeatHandover()
	case l.handover == nil && l.now-l.leavingSince < resignDuration:
		if l.knownEpoch.Primary != l.self && !l.knownEpoch.Primary.IsZero() {
			l.sendTo(l.knownEpoch.Primary, Message{Resign: &Resign{Epoch: l.knownEpoch.Epoch}})
		}
	default:
		l.stopped = true
		l.emit(Stopped{})
	}
}

// resignDuration is how long a leaving host repeats its resignation.
const resignDuration = 500 * time.Millisecond
