package dispatch

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/serverhold"
)

// Release ends a grant and records how its request ended. It ignores an unknown
// grant: one of another pool, or one that was released or has expired.
func (p *Pool) Release(now time.Duration, id uint64, r Report) {
	g := p.grants[id]
	if g == nil {
		return
	}
	p.removeGrant(now, id, g)
	s := g.server
	p.scarcity.finish(now, g, r)
	if r.Leaving && r.StartedAtMillis == s.startedAtMillis {
		p.markLeaving(s.id, leavingMark{startedAtMillis: s.startedAtMillis, until: now + serverhold.LeavingTime, reported: true})
	}
	if r.Connect > 0 {
		p.observeConnectTime(s.region, r.Connect)
	}
	if r.Load != nil {
		s.reportedLoad, s.reportedAt = r.Load.Running+r.Load.Waiting, now
		p.recordFactor(now, s, answerFactor(now, r.Load))
	}
	p.applyReport(now, g, r)
}

// applyReport updates the state of the server and the averages of the class.
func (p *Pool) applyReport(now time.Duration, g *grant, r Report) {
	s := g.server
	key := objectKey(g.class, g.key)
	p.observePace(now, g, r)
	p.recordTrialFailure(g, r)
	p.class(g.class, 0).observeHedgeRatio(g, r)
	switch r.Result {
	case Served:
		wasDown := s.downUntil > 0
		s.recordSuccess(now)
		if wasDown && s.mayHaveRestarted {
			// The server may have restarted while it was unavailable: this pool treats it
			// as cold for restartColdTime, or until Update brings another incarnation.
			s.mayHaveRestarted = false
			s.coldUntil = max(s.coldUntil, now+p.restartColdTime)
			s.clearObjects()
		}
		if wasDown {
			p.startPacing(now, s, paceRecovered)
		}
		p.class(g.class, 0).observeAnswerBytes(r.Bytes)
		elapsed, answer := r.Elapsed-s.place.roundTrip, answerFactor(now, r.Load)
		p.observeObjectCapacity(g, p.class(g.class, 0), g.usualTime(elapsed, answer))
		p.class(g.class, 0).observeServiceTime(g, s, elapsed, answer)
	case Failed:
		s.recordFailure(now, false)
		s.removeObject(key)
	case Shed:
		// The request did not run: the server holds the same objects as before.
		s.recordShed(now)
		if !g.heldObject {
			s.removeObject(key)
		}
	case Unreachable:
		s.recordFailure(now, true)
		s.removeObject(key)
	case Misdirected:
		s.replaced = true
	case TimedOut:
		if g.trial {
			p.recordTrialTimeout(now, g)
			break
		}
		s.recordTimeout(now)
	case Abandoned:
		if !g.heldObject {
			s.removeObject(key)
		}
	}
}

// observeObjectCapacity adjusts the assumed object capacity by the service time of
// a request whose object the server was assumed to hold: a time close to that of a
// miss shows that the server had evicted the object.
func (p *Pool) observeObjectCapacity(g *grant, c *class, elapsed time.Duration) {
	if !g.heldObject || !g.unqueued || g.key == "" || !c.missObserved || !c.hitObserved || g.server.slowness > 1.5 {
		return
	}
	reloaded := float64(elapsed) > reloadTimeRatio*float64(c.missTime())
	switch {
	case reloaded && float64(g.reuseDistance) < p.objectCapacity && float64(g.reuseDistance) >= p.objectCapacity/2:
		p.objectCapacity = max(p.objectCapacity-objectCapacityDecrease, minObjectCapacity)
	case !reloaded && float64(g.reuseDistance) >= p.objectCapacity-2:
		p.objectCapacity = min(p.objectCapacity+objectCapacityIncrease, maxObjectCapacity)
	}
}

// removeGrant takes a grant out of the pool and out of the load of its server.
func (p *Pool) removeGrant(now time.Duration, id uint64, g *grant) {
	delete(p.grants, id)
	p.countTrial(g, -1)
	p.countOccupied(now, g.server, -1)
	g.server.removeGrant(now, g)
}

// Grants returns the number of grants that have not ended.
func (p *Pool) Grants() int { return len(p.grants) }

// expireGrants drops grants that are not reported by grantExpiryMargin after the
// deadline: their host has ended, or its report was lost.
func (p *Pool) expireGrants(now time.Duration) {
	for id, g := range p.grants {
		if now > g.deadline+grantExpiryMargin {
			p.removeGrant(now, id, g)
		}
	}
}

// grantExpiryMargin is how long after the deadline a report may still arrive.
const grantExpiryMargin = 500 * time.Millisecond
