package dispatch

import "time"

// estimateGain is the weight of a sample in the moving averages of service times and
// answer sizes.
const estimateGain = 0.1

// slownessGain is the weight of a sample in the average of a server's slowness.
const slownessGain = 0.3

// Bounds of one sample of a server's slowness, so that no outlier dominates the average.
const (
	minSlowness = 0.3
	maxSlowness = 20.0
)

// class holds moving averages for one class of requests: the service time of a
// request whose object the server does not hold (miss) or holds (hit), and the
// size of the answers.
type class struct {
	missAverage, hitAverage   time.Duration
	missObserved, hitObserved bool
	// missSamples and hitSamples count the observations in the averages; see averageWith.
	missSamples, hitSamples int
	// missConfirmedAt and hitConfirmedAt are the times of the last observations.
	missConfirmedAt, hitConfirmedAt time.Duration
	answerBytes                     int64
	trials                          trialState
	hedge                           hedgeState
}

// class returns the class of that name and creates it if needed. Until a service
// time is observed, it is assumed as a fraction of the largest timeToObjective given
// so far.
func (p *Pool) class(className string, timeToObjective time.Duration) *class {
	c := p.classes[className]
	if c == nil {
		c = &class{}
		p.classes[className] = c
	}
	if timeToObjective > 0 {
		if !c.missObserved {
			c.missAverage = max(c.missAverage, time.Duration(assumedMissRatio*float64(timeToObjective)))
		}
		if !c.hitObserved {
			c.hitAverage = max(c.hitAverage, time.Duration(assumedHitRatio*float64(timeToObjective)))
		}
	}
	return c
}

// missTime returns the service time without the object, never below hitTime. An observed
// time takes precedence over an assumed one.
func (c *class) missTime() time.Duration {
	if c.missObserved && !c.hitObserved {
		return c.missAverage
	}
	return max(c.missAverage, c.hitAverage)
}

// hitTime returns the service time with the object, never above missTime. An observed
// time takes precedence over an assumed one.
func (c *class) hitTime() time.Duration {
	if c.hitObserved && !c.missObserved {
		return c.hitAverage
	}
	return min(c.missAverage, c.hitAverage)
}

// costlyFetchRatio is the ratio of missTime to hitTime above which a fetch is costly.
const costlyFetchRatio = 1.5

// fetchIsCostly reports whether requests are known to take much longer at a server that does
// not hold their object.
func (c *class) fetchIsCostly() bool {
	return c.missObserved && c.hitObserved && float64(c.missTime()) > costlyFetchRatio*float64(c.hitTime())
}

// observeServiceTime adds a served request to the moving averages, unless it may have
// waited in the server's queue: its elapsed time is then not the service time. What the
// server's reported percentage explains is left out first, and then its slowness, so that
// the averages hold for a server at 100 percent and nothing counts twice. answer is the
// report that came with the answer.
func (c *class) observeServiceTime(g *grant, s *server, elapsed time.Duration, answer timeFactor) {
	if !g.unqueued || elapsed <= 0 {
		return
	}
	now := g.sentAt + elapsed
	elapsed = g.usualTime(elapsed, answer)
	if g.expectedService > 0 && !g.trial { // the estimate of a trial is no measure
		c.observeSlowness(g, s, now, elapsed)
	}
	normalized := time.Duration(float64(elapsed) / s.slowness)
	if typical := c.observedTime(g.heldObject); typical > 0 && (g.trial || g.reportsPercent()) {
		normalized = min(normalized, time.Duration(maxSampleRatio*float64(typical)))
	}
	if g.heldObject {
		replace := !c.hitObserved || g.replacesEstimate(c.hitConfirmedAt)
		c.hitAverage, c.hitSamples = averageWith(c.hitAverage, c.hitSamples, normalized, replace, g.trial)
		c.hitObserved, c.hitConfirmedAt = true, now
	} else {
		replace := !c.missObserved || g.replacesEstimate(c.missConfirmedAt)
		c.missAverage, c.missSamples = averageWith(c.missAverage, c.missSamples, normalized, replace, g.trial)
		c.missObserved, c.missConfirmedAt = true, now
	}
	c.trials.timeouts, c.trials.failures = 0, 0
}

// observedTime returns the observed service time with or without the object, 0 if there
// is none.
func (c *class) observedTime(holdsObject bool) time.Duration {
	switch {
	case !c.observed(holdsObject):
		return 0
	case holdsObject:
		return c.hitTime()
	}
	return c.missTime()
}

// observeAnswerBytes adds the size of an answer in bytes to the moving average.
func (c *class) observeAnswerBytes(n int64) {
	if c.answerBytes == 0 {
		c.answerBytes = n
		return
	}
	c.answerBytes += int64(estimateGain * float64(n-c.answerBytes))
}

func (c *class) observeSlowness(g *grant, s *server, now, elapsed time.Duration) {
	if !c.missObserved || !c.hitObserved {
		return
	}
	typical := c.missTime()
	if g.heldObject {
		typical = c.hitTime()
	}
	if typical <= 0 {
		return
	}
	limit, gain := maxSlowness, slownessGain
	if g.reportsPercent() {
		limit, gain = maxSampleRatio, reportedSlownessGain
	}
	ratio := min(max(float64(elapsed)/float64(typical), minSlowness), limit)
	s.slowness += (ratio - s.slowness) * gain
	s.slownessAt = now
}

// replacesEstimate reports whether the time of the request replaces an estimate that was
// last confirmed at a time: a trial replaces the one that it was granted against, as the
// moving average would need many trials to reach the present time.
func (g *grant) replacesEstimate(confirmedAt time.Duration) bool {
	return g.trial && confirmedAt <= g.sentAt
}

// averageWith returns a moving average and its number of samples with one more sample. The
// first trials count equally: they are sent together, and the first to end may be an outlier.
// A first sample that is no trial confirms what was expected of it.
func averageWith(average time.Duration, samples int, sample time.Duration, replace, trial bool) (time.Duration, int) {
	if replace && trial {
		return sample, 1
	}
	if replace {
		return sample, confirmedSamples
	}
	gain := estimateGain
	if trial {
		gain = max(gain, 1/float64(samples+1))
	}
	return average + time.Duration(gain*float64(sample-average)), samples + 1
}

// Maintain is to be called a few times a second. It lets the slowness of idle servers
// decay towards 1, marks servers with overdue requests as down and drops grants that
// are not reported in time.
func (p *Pool) Maintain(now time.Duration) {
	for _, s := range p.servers {
		if s.inflight == 0 && now > s.slownessAt {
			s.slowness = 1 + (s.slowness-1)*decay(now-s.slownessAt, slownessTimeConstant)
			s.slownessAt = now
		}
	}
	p.markStalledServers(now)
	p.expireGrants(now)
	p.expireLeavingMarks(now)
	p.scarcity.expire(now)
	for _, s := range p.list {
		p.updatePacing(now, s)
	}
}

// A request without an answer is overdue after stallFactor times its expected
// time, but not before minStallTime; the round trip is added to either.
const (
	stallFactor  = 4
	minStallTime = 600 * time.Millisecond
)

// markStalledServers counts each overdue request once per call and marks a server
// down at maxOverdueObservations.
func (p *Pool) markStalledServers(now time.Duration) {
	for _, g := range p.grants {
		limit := max(stallFactor*(g.wait+g.expectedService), minStallTime)
		if g.sentAt >= 0 && now-g.sentAt > limit+g.server.place.roundTrip && !g.server.isDown() {
			g.server.unanswered++
			if g.server.unanswered >= maxOverdueObservations {
				g.server.markDown(now)
			}
		}
	}
}

// maxOverdueObservations is the count of timeouts and observations of overdue
// requests, one per request and check, since the last Served or Shed one at which an
// observation marks the server down.
const maxOverdueObservations = 6

func (s *server) isDown() bool { return s.downUntil > 0 }
