package lease

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// candidateState is the state of a host that is not primary and may search for
// the primary or take over.
type candidateState struct {
	// primarySeen is when this host last had a sign that the primary works.
	primarySeen   time.Duration
	searchStarted bool
	nextRead      time.Duration
	nextRound     time.Duration
	nextResign    time.Duration
	lastRound     uint64
	queryRound    *queryRound
}

// queryRound is one Query to all hosts that may be alive.
type queryRound struct {
	number     uint64
	started    time.Duration
	unanswered map[host.ID]bool
}

func (l *Lessor) followerTick() {
	if l.succeedPrimary() {
		return
	}
	l.announceResignation()
	if l.pendingWrite != nil {
		l.driveWrite()
		return
	}
	if l.observed.record.Standby == l.self || l.nomination.epoch != 0 && l.nomination.epoch == l.knownEpoch.Epoch {
		l.setRole(Standby)
		l.watchRecord()
	} else if !l.nominated() {
		l.setRole(Follower)
	}
	l.searchPrimary()
	switch {
	case l.observed.revision == 0 && l.observed.absent && l.knownEpoch.Epoch == 0:
		l.takeOver(1)
	case l.observed.revision == 0:
	case l.standbyMayTakeOver():
		l.takeOver(1)
	case l.now-l.observed.since > l.cfg.ExtensionLimit+l.cfg.Margin:
		l.replaceUnresponsive()
	default:
		l.queryHosts()
	}
}

// announceResignation informs the live members that this host, although alive, no
// longer acts as primary or standby, until another epoch begins.
func (l *Lessor) announceResignation() {
	c := &l.candidate
	r := l.observed.record
	named := l.knownEpoch.Primary == l.self && l.resignedEpoch >= l.knownEpoch.Epoch ||
		(r.Primary == l.self || r.Standby == l.self) && l.resignedEpoch >= r.Epoch
	if !named || l.now < c.nextResign {
		return
	}
	c.nextResign = l.now + l.jitter(2*l.cfg.WriteEvery)
	for _, m := range l.liveness.live {
		if m.Ref.ID != l.self.ID {
			l.sendTo(m.Ref, Message{Resign: &Resign{Epoch: l.resignedEpoch}})
		}
	}
}

// searchPrimary reads the record while there is no sign of a working primary. The
// first read has a random delay, because a whole fleet may start at once.
func (l *Lessor) searchPrimary() {
	c := &l.candidate
	if !c.searchStarted {
		c.searchStarted = true
		c.nextRead = l.now + time.Duration(l.rng.Int64N(int64(l.searchInterval())))
	}
	// Answers to lease.renew show that the primary works. They are rare in a large
	// region.
	limit := max(l.cfg.TTL, 2*l.cfg.renewPeriod(len(l.liveness.live))) + l.cfg.Margin
	primarySeen := l.knownEpoch.Epoch > 0 && l.now-c.primarySeen <= limit
	if !primarySeen && l.now >= c.nextRead {
		c.nextRead = l.now + l.searchInterval()
		l.getRecord()
	}
}

// replaceUnresponsive takes over from a primary whose extension limit has passed,
// once a read has shown that the record is unchanged.
func (l *Lessor) replaceUnresponsive() {
	if l.observed.lastReadAt-l.observed.since > l.cfg.ExtensionLimit+l.cfg.Margin {
		l.takeOver(epochGap)
		return
	}
	if l.now >= l.candidate.nextRead {
		l.candidate.nextRead = l.now + l.searchInterval()
		l.getRecord()
	}
}

// searchInterval returns the time between two store calls of a host that searches
// for the primary. It grows with the host's position among the members, so that
// the rate of a region grows only with the logarithm of its number of hosts.
func (l *Lessor) searchInterval() time.Duration {
	position := max(l.liveness.position(l.self.ID), 1)
	return l.jitter(l.cfg.WriteEvery * time.Duration(max(position, eagerCandidates)) / eagerCandidates)
}

// standbyMayTakeOver reports whether this host, as the standby that the record
// names, may take over: the record has not changed for longer than the primary's
// authority can last, and no extension that this host acknowledged covers it.
func (l *Lessor) standbyMayTakeOver() bool {
	r := l.observed.record
	if r.Standby != l.self || r.Epoch < l.knownEpoch.Epoch || r.Epoch <= l.resignedEpoch {
		return false
	}
	if l.ownAck.epoch == r.Epoch && l.ownAck.through >= r.Counter && l.cfg.broken != ruleStandbyAck {
		return false
	}
	return l.now-l.observed.since >= l.cfg.TTL+l.cfg.Margin || l.cfg.broken == ruleStandbyWait
}

// epochGap is added to the highest known epoch at a takeover after a round of
// queries or after the extension limit. It leaves room for epochs of successions
// without the store that have ended and that the new primary does not know of.
const epochGap = 1000

// takeOver starts a write that makes this host primary. It is repeated until it
// takes effect, another write makes that impossible, an Extend withdraws it or the
// host leaves.
func (l *Lessor) takeOver(gap uint64) {
	r := Record{
		Epoch: max(l.knownEpoch.Epoch, l.observed.record.Epoch) + gap, Primary: l.self, Counter: l.observed.record.Counter + 1,
		Operation: l.nextOperation(), MaxLease: max(l.observed.record.MaxLease, leasePeriods*l.cfg.renewPeriod(len(l.liveness.live))),
	}
	l.pendingWrite = &pendingWrite{record: r, expected: l.observed.revision, nextSend: l.now}
	l.driveWrite()
}

// abandoned reports whether, as far as this host knows, nobody else can act in
// the highest known epoch or in the epoch of the record, and the record has not
// changed for TTL and Margin. It is false unless this host knows all hosts.
func (l *Lessor) abandoned() bool {
	r := l.observed.record
	if l.now-l.observed.since < l.cfg.TTL+l.cfg.Margin || !l.knowsAllHosts() {
		return false
	}
	selfOrInactive := func(ref Ref, epoch uint64) bool { return ref == l.self || l.inactive(ref, epoch) }
	return selfOrInactive(l.knownEpoch.Primary, l.knownEpoch.Epoch) && selfOrInactive(l.knownEpoch.Successor, l.knownEpoch.Epoch) &&
		selfOrInactive(r.Primary, r.Epoch) && selfOrInactive(r.Standby, r.Epoch)
}

// queryHosts asks all hosts that may be alive for a higher epoch, before the
// takeover of an abandoned region. A host that answers and is neither primary nor
// nominated accepts no nomination for NominationHoldOff, so that no nomination
// goes unnoticed.
func (l *Lessor) queryHosts() {
	c := &l.candidate
	if !l.abandoned() {
		c.queryRound = nil
		return
	}
	if l.cfg.broken == ruleQuery {
		l.takeOver(epochGap)
		return
	}
	if c.queryRound != nil && l.now-c.queryRound.started < l.cfg.QueryWindow || l.now < c.nextRound {
		return
	}
	c.lastRound++
	c.nextRound = l.now + 2*l.searchInterval()
	c.queryRound = &queryRound{number: c.lastRound, started: l.now, unanswered: map[host.ID]bool{}}
	for _, id := range l.possiblyAlive() {
		c.queryRound.unanswered[id] = true
		l.sendTo(Ref{ID: id}, Message{Query: &Query{Round: c.lastRound}})
	}
	l.finishRound()
}

// knowsAllHosts reports whether this host has read the list long enough to know
// every host that may have a nomination, and is itself listed.
func (l *Lessor) knowsAllHosts() bool {
	lv := &l.liveness
	return lv.listRead && lv.lastReadAt-lv.firstReadAt > l.cfg.endedAfter() && l.now-lv.lastReadAt <= l.cfg.SelfCheck && l.selfListed()
}

// possiblyAlive returns the other hosts that have not been missing from the list
// for long enough to count as ended, sorted by ID.
func (l *Lessor) possiblyAlive() []host.ID {
	var ids []host.ID
	for _, id := range sortedKeys(l.liveness.listed) {
		if id != l.self.ID && !l.liveness.hostMissing(id, l.cfg.endedAfter()) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (l *Lessor) queryReceived(from Ref, q Query) {
	answer := QueryAnswer{Round: q.Round, Epoch: l.knownEpoch.Epoch, Primary: l.knownEpoch.Primary, Successor: l.knownEpoch.Successor}
	if l.nominated() {
		answer.Successor = l.self
	} else if l.knownEpoch.Successor == l.self && l.observed.record.Standby != l.self {
		answer.Successor = Ref{}
	}
	if l.knownEpoch.Primary == l.self && l.role != Primary && l.pendingWrite == nil {
		l.resignedEpoch = max(l.resignedEpoch, l.knownEpoch.Epoch)
	}
	answer.Resigned = l.resignedEpoch
	if l.role != Primary && !l.nominated() {
		l.nomination.held = false
		l.minStamp = max(l.minStamp, l.now+l.cfg.NominationHoldOff)
	}
	l.sendTo(from, Message{Answer: &answer})
}

func (l *Lessor) queryAnswerReceived(from Ref, a QueryAnswer) {
	l.liveness.recordResignation(from, a.Resigned)
	l.observeEpoch(a.Epoch, a.Primary, a.Successor)
	r := l.candidate.queryRound
	if r == nil || r.number != a.Round || l.now-r.started >= l.cfg.QueryWindow {
		return
	}
	if a.Epoch >= l.knownEpoch.Epoch && (a.Successor == from || a.Primary == from && a.Resigned < a.Epoch) {
		l.candidate.queryRound = nil // the sender can still act in this epoch
		return
	}
	delete(r.unanswered, from.ID)
	l.finishRound()
}

func (l *Lessor) finishRound() {
	r := l.candidate.queryRound
	if r == nil || len(r.unanswered) > 0 || l.role == Primary || l.pendingWrite != nil || l.leaving {
		return
	}
	l.candidate.queryRound = nil
	if l.abandoned() {
		l.takeOver(epochGap)
	}
}
