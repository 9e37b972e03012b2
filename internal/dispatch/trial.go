package dispatch

import "time"

// A trial is a request that is granted although its estimate says that it is late,
// because that estimate is an assumption or has not been confirmed lately. Trials go
// only to servers with a free slot.
const (
	// maxTrialShare is the share of the slots of all usable servers that trials of
	// classes without an observed service time may take at once. A class that takes 1.6 s
	// sends about 230 requests in its first second to 320 slots, which all must fit; the
	// rest stays free for classes whose times are known.
	maxTrialShare = 0.8
	// minTrialTimeRatio is the time to the deadline, as a fraction of the time to the
	// objective, from which such a trial is likely to show the service time. A request
	// with less time is tried at the rate of trialInterval.
	minTrialTimeRatio = 0.5
	// estimateMaxAge is the time since the last observation from which an estimate no
	// longer refuses a request without a trial. Disturbances of servers last for some
	// seconds, and a class in use is observed many times within it.
	estimateMaxAge = 5 * time.Second
	// trialInterval is the shortest time between two trials of a class with an estimate
	// that is older. At most one slot per class is then at risk for a timeout of 1 s.
	trialInterval = time.Second
	// maxTrialTimeouts bounds the count of timeouts by which the trials are reduced, so
	// that the shift is defined for any count.
	maxTrialTimeouts = 30
)

// trialPermission is the result of trialFor.
type trialPermission int

const (
	// noTrial means that the estimate decides.
	noTrial trialPermission = iota
	// trialsExhausted means that a trial would be allowed if fewer were in flight.
	trialsExhausted
	trialAllowed
)

// trialState is a class's record of its trials.
type trialState struct {
	// timeouts counts trials that timed out since a service time was last observed.
	timeouts int
	// next is the earliest time of a trial at the rate of trialInterval, 0 if not set.
	next time.Duration
}

// acquireTrial returns a server with a free slot to which the late request is sent as a
// trial, or nil if the estimate decides, and the reason for the refusal then. best is
// the server with the best estimate est.
func (p *Pool) acquireTrial(now time.Duration, r Request, c *class, best *server, est estimate) (*server, estimate, Reason) {
	if r.NoTrial {
		return nil, est, Late
	}
	if best.load(now) >= float64(best.slots) {
		if c.observed(est.holdsObject) {
			return nil, est, Late // because of its queue, whatever the age of the estimate
		}
		free, freeEst := p.choose(now, r, c, freeServers)
		if free == nil {
			return nil, est, Overload // what is known is that no slot is free
		}
		best, est = free, freeEst
	}
	if r.Deadline-now-deadlineMargin <= best.place.roundTrip {
		return nil, est, Late
	}
	switch p.trialFor(now, r, c, est.holdsObject) {
	case trialAllowed:
		return best, est, ""
	case trialsExhausted:
		return nil, est, Overload
	}
	return nil, est, Late
}

// trialFor decides on a trial of a request that its estimate calls late, and records
// one that is allowed at the rate of trialInterval.
func (p *Pool) trialFor(now time.Duration, r Request, c *class, holdsObject bool) trialPermission {
	observed, confirmedAt := c.observed(holdsObject), c.missConfirmedAt
	if holdsObject {
		confirmedAt = c.hitConfirmedAt
	}
	if !observed && float64(r.Deadline-now) >= minTrialTimeRatio*float64(r.Objective-now) {
		switch {
		case p.trialsInFlight < p.maxTrials(now, c):
			return trialAllowed
		case c.trials.timeouts > 0:
			return noTrial
		}
		return trialsExhausted
	}
	if !observed && c.trials.next == 0 {
		c.trials.next = now + trialInterval
	}
	if observed && now-confirmedAt < estimateMaxAge || now < c.trials.next {
		return noTrial
	}
	c.trials.next = now + trialInterval
	return trialAllowed
}

// maxTrials returns how many trials may be in flight for one more of a class without an
// observed service time. Each trial that timed out halves it: the class may take longer
// than its requests have.
func (p *Pool) maxTrials(now time.Duration, c *class) int {
	slots := 0
	for _, s := range p.list {
		if !s.draining && !s.replaced && !s.leaving(now) && !s.evacuated && s.available(now) {
			slots += s.slots
		}
	}
	return max(int(maxTrialShare*float64(slots))>>min(c.trials.timeouts, maxTrialTimeouts), 1)
}

// observed reports whether the service time with or without the object was observed.
func (c *class) observed(holdsObject bool) bool {
	if holdsObject {
		return c.hitObserved
	}
	return c.missObserved
}

// recordTrialTimeout records a trial that timed out. It says less about the server than
// the timeout of another request, as the class may take longer, so the server is not
// marked down.
func (p *Pool) recordTrialTimeout(now time.Duration, g *grant) {
	p.class(g.class, 0).trials.timeouts++
	g.server.recordOutcome(now, 1)
}
