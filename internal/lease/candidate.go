package lease

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// candidateState is the search for a lessor by a host that is not primary.
type candidateState struct {
	heard     time.Duration
	started   bool
	nextRead  time.Duration
	nextRound time.Duration
	nextTell  time.Duration
	rounds    uint64
	round     *round
}

// round is one lease.query to all hosts that may be alive.
type round struct {
	number  uint64
	started time.Duration
	waiting map[host.ID]bool
}

func (l *Lessor) followerTick() {
	if l.succeed() {
		return
	}
	l.tellResignation()
	if l.attempt != nil {
		l.drive()
		return
	}
	if l.seen.record.Standby == l.self || l.nomination.epoch != 0 && l.nomination.epoch == l.regime.Epoch {
		l.setRole(Standby)
		l.watch()
	} else if !l.nominated() {
		l.setRole(Follower)
	}
	l.search()
	switch {
	case l.seen.revision == 0 && l.seen.absent && l.regime.Epoch == 0:
		l.takeOver(1)
	case l.seen.revision == 0:
	case l.standbyDue():
		l.takeOver(1)
	case l.now-l.seen.at > l.cfg.ExtensionLimit+l.cfg.Margin:
		l.replaceSilent()
	default:
		l.query()
	}
}

// tellResignation makes known that this host, although alive, does not act as
// primary any more, until another epoch begins.
func (l *Lessor) tellResignation() {
	c := &l.candidate
	r := l.seen.record
	named := l.regime.Primary == l.self && l.resigned >= l.regime.Epoch ||
		(r.Primary == l.self || r.Standby == l.self) && l.resigned >= r.Epoch
	if !named || l.now < c.nextTell {
		return
	}
	c.nextTell = l.now + l.jitter(2*l.cfg.RenewEvery)
	for _, m := range l.evidence.live {
		if m.Ref.ID != l.self.ID {
			l.send(m.Ref, Message{Resign: &Resign{Epoch: l.resigned}})
		}
	}
}

// search reads the record while no lessor is heard. The first read has a
// random delay, because a whole fleet may start at once.
func (l *Lessor) search() {
	c := &l.candidate
	if !c.started {
		c.started = true
		c.nextRead = l.now + time.Duration(l.rng.Int64N(int64(l.interval())))
	}
	// In a large region the renewals, by which the lessor is heard, are rare.
	limit := max(l.cfg.TTL, 2*l.cfg.period(len(l.evidence.live))) + l.cfg.Margin
	heard := l.regime.Epoch > 0 && l.now-c.heard <= limit
	if !heard && l.now >= c.nextRead {
		c.nextRead = l.now + l.interval()
		l.get()
	}
}

// replaceSilent takes over from a primary whose extension limit has passed,
// after a read has shown that the record is still the one seen before.
func (l *Lessor) replaceSilent() {
	if l.seen.checked-l.seen.at > l.cfg.ExtensionLimit+l.cfg.Margin {
		l.takeOver(epochGap)
		return
	}
	if l.now >= l.candidate.nextRead {
		l.candidate.nextRead = l.now + l.interval()
		l.get()
	}
}

// interval spreads the calls of the hosts that search for a lessor: few are
// eager, so that the rate in a region grows with the logarithm of its hosts.
func (l *Lessor) interval() time.Duration {
	order := max(l.evidence.order(l.self.ID), 1)
	return l.jitter(l.cfg.RenewEvery * time.Duration(max(order, eagerCandidates)) / eagerCandidates)
}

// standbyDue is the standby's right to take over: the record has not changed
// for longer than the primary's authority can last, and no acknowledged
// extension covers it.
func (l *Lessor) standbyDue() bool {
	r := l.seen.record
	if r.Standby != l.self || r.Epoch < l.regime.Epoch || r.Epoch <= l.resigned {
		return false
	}
	if l.ack.epoch == r.Epoch && l.ack.through >= r.Counter && l.cfg.broken != ruleStandbyAck {
		return false
	}
	return l.now-l.seen.at >= l.cfg.TTL+l.cfg.Margin || l.cfg.broken == ruleStandbyWait
}

// epochGap leaves room for the epochs of successions without the store that
// have ended and of which the new primary has not heard.
const epochGap = 1000

// takeOver starts a write that makes this host primary. It is repeated until
// it has taken effect or another write has made it impossible.
func (l *Lessor) takeOver(gap uint64) {
	r := Record{
		Epoch: max(l.regime.Epoch, l.seen.record.Epoch) + gap, Primary: l.self, Counter: l.seen.record.Counter + 1,
		Operation: l.operation(), MaxLease: max(l.seen.record.MaxLease, leasePeriods*l.cfg.period(len(l.evidence.live))),
	}
	l.attempt = &attempt{record: r, expected: l.seen.revision, nextSend: l.now}
	l.drive()
}

// abandoned tells whether nobody can act in the highest epoch known nor in
// the record, as far as this host knows, and the record does not change.
func (l *Lessor) abandoned() bool {
	r := l.seen.record
	if l.now-l.seen.at < l.cfg.TTL+l.cfg.Margin || !l.knowsAll() {
		return false
	}
	gone := func(ref Ref, epoch uint64) bool { return ref == l.self || l.over(ref, epoch) }
	return gone(l.regime.Primary, l.regime.Epoch) && gone(l.regime.Successor, l.regime.Epoch) &&
		gone(r.Primary, r.Epoch) && gone(r.Standby, r.Epoch)
}

// query asks all hosts that may be alive for a higher epoch, before a
// takeover of an abandoned region. The hosts that answer accept no nomination
// from before their answer for Quiet, so that no nomination escapes the round.
func (l *Lessor) query() {
	c := &l.candidate
	if !l.abandoned() {
		c.round = nil
		return
	}
	if l.cfg.broken == ruleQuery {
		l.takeOver(epochGap)
		return
	}
	if c.round != nil && l.now-c.round.started < l.cfg.QueryWindow || l.now < c.nextRound {
		return
	}
	c.rounds++
	c.nextRound = l.now + 2*l.interval()
	c.round = &round{number: c.rounds, started: l.now, waiting: map[host.ID]bool{}}
	for _, id := range l.possiblyAlive() {
		c.round.waiting[id] = true
		l.send(Ref{ID: id}, Message{Query: &Query{Round: c.rounds}})
	}
	l.finishRound()
}

// knowsAll tells whether this host has read the list long enough to know
// every host that may hold a nomination, and is itself in it.
func (l *Lessor) knowsAll() bool {
	e := &l.evidence
	return e.read && e.lastRead-e.firstRead > l.cfg.goneAfter() && l.now-e.lastRead <= l.cfg.SelfCheck && l.selfListed()
}

// possiblyAlive lists the other hosts that are not missing from the list for
// long enough to count as ended, in a fixed order.
func (l *Lessor) possiblyAlive() []host.ID {
	var ids []host.ID
	for _, id := range sortedKeys(l.evidence.listed) {
		if id != l.self.ID && !l.evidence.missing(id, l.cfg.goneAfter()) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (l *Lessor) queryReceived(from Ref, q Query) {
	answer := QueryAnswer{Round: q.Round, Epoch: l.regime.Epoch, Primary: l.regime.Primary, Successor: l.regime.Successor}
	if l.nominated() {
		answer.Successor = l.self
	} else if l.regime.Successor == l.self && l.seen.record.Standby != l.self {
		answer.Successor = Ref{}
	}
	if l.regime.Primary == l.self && l.role != Primary && l.attempt == nil {
		l.resigned = max(l.resigned, l.regime.Epoch)
	}
	answer.Resigned = l.resigned
	if l.role != Primary && !l.nominated() {
		l.nomination.armed = false
		l.minEcho = max(l.minEcho, l.now+l.cfg.Quiet)
	}
	l.send(from, Message{Answer: &answer})
}

func (l *Lessor) answerReceived(from Ref, a QueryAnswer) {
	l.evidence.resign(from, a.Resigned)
	l.learn(a.Epoch, a.Primary, a.Successor)
	r := l.candidate.round
	if r == nil || r.number != a.Round || l.now-r.started >= l.cfg.QueryWindow {
		return
	}
	if a.Epoch >= l.regime.Epoch && (a.Successor == from || a.Primary == from && a.Resigned < a.Epoch) {
		l.candidate.round = nil // the sender can still act in this epoch
		return
	}
	delete(r.waiting, from.ID)
	l.finishRound()
}

func (l *Lessor) finishRound() {
	r := l.candidate.round
	if r == nil || len(r.waiting) > 0 || l.role == Primary || l.attempt != nil || l.leaving {
		return
	}
	l.candidate.round = nil
	if l.abandoned() {
		l.takeOver(epochGap)
	}
}
