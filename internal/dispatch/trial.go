package dispatch

import (
	"slices"
	"time"
)

// A trial is a request that is granted although its estimate says that it is late,
// because that estimate is an assumption, has few samples or has not been confirmed lately. Trials go
// only to servers with a free slot.
const (
	// maxTrialShare is the share of the slots of all usable servers that trials of
	// classes without an observed service time may take at once. A class that takes 1.6 s
	// sends about 230 requests in its first second to 320 slots, which all must fit; the
	// rest stays free for classes whose times are known.
	maxTrialShare = 0.8
	// failuresPerHalving is the number of failed or abandoned trials, without an observed
	// time in between, that halves the trials of a class. A failure says less about the
	// class than a timeout does, as the server may be at fault.
	failuresPerHalving = 8
	// confirmedSamples is the number of observations from which an estimate that began with
	// a trial refuses requests without another one. Less may be the time of one request that
	// met a disturbance.
	confirmedSamples = 3
	// minTrialTimeRatio is the time to the deadline, as a fraction of the time to the
	// objective, from which such a trial is likely to show the service time. A request
	// with less time is tried at the rate of trialInterval.
	minTrialTimeRatio = 0.5
	// estimateMaxAge is the time since the last observation from which an estimate no
	// longer refuses a request without a trial. Disturbances of servers last for some
	// seconds, and a class in use is observed many times within it.
	estimateMaxAge = 5 * time.Second
	// trialInterval is the time from the last trial of a class to one that is allowed in any
	// case: of a class with an estimate that is older or has few samples, and of one that has
	// no estimate but too many trials in flight. At most one slot per class is then at risk
	// for a timeout of 1 s.
	trialInterval = time.Second
	// maxTrialHalvings bounds the halvings of the number of trials, so that the shift is
	// defined for any count.
	maxTrialHalvings = 30
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
	inFlight int // grants of the class that are trials
	// timeouts counts trials that timed out since a service time was last observed,
	// failures those that failed or were abandoned after they had been sent.
	timeouts, failures int
	// next is the earliest time of a trial at the rate of trialInterval, 0 if not set.
	next time.Duration
}

// decideLate decides a request whose answer is expected after its deadline at the best
// server: it is granted as a trial or refused.
func (p *Pool) decideLate(now time.Duration, r Request, c *class, best *server, est estimate) outcome {
	s, trialEst, reason := p.acquireTrial(now, r, c, best, est)
	switch {
	case s != nil:
		trialEst.trial = true
		return outcome{server: s, est: trialEst}
	case p.fullSkipped:
		return p.refuseLargeBody(now, r, est)
	}
	return refusal(reason, becauseLate, best, est)
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
			return nil, est, Late
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
// the time of one that is allowed.
func (p *Pool) trialFor(now time.Duration, r Request, c *class, holdsObject bool) trialPermission {
	observed := c.observed(holdsObject)
	denied := noTrial
	if !observed && float64(r.Deadline-now) >= minTrialTimeRatio*float64(r.Objective-now) {
		if c.trials.inFlight < p.maxClassTrials(now, r, c) && p.trialsInFlight < p.maxTrials(now, nil) {
			c.trials.next = now + trialInterval
			return trialAllowed
		}
		if c.trials.halvings() == 0 {
			denied = trialsExhausted
		}
	}
	if !observed && c.trials.next == 0 {
		c.trials.next = now + trialInterval
	}
	if observed && c.confirmed(now, holdsObject) || now < c.trials.next {
		return denied
	}
	c.trials.next = now + trialInterval
	return trialAllowed
}

// maxTrials returns how many trials of classes without an observed service time may be in
// flight at servers of the allowed regions; nil allows all. Each region's pool sends trials
// to the servers of all regions, so that it counts a part of the slots of other regions.
// There are as many fallback pools as hosts, and none knows of the trials of others.
func (p *Pool) maxTrials(now time.Duration, allowed []string) int {
	if !p.opts.Shared {
		return 1
	}
	regions := map[string]bool{p.opts.Region: true}
	own, foreign := 0, 0
	for _, s := range p.list {
		regions[s.region] = true
		if len(allowed) > 0 && !slices.Contains(allowed, s.region) || !s.takesRequests(now) {
			continue
		}
		if s.place.foreign {
			foreign += s.slots
		} else {
			own += s.slots
		}
	}
	return max(int(maxTrialShare*(float64(own)+float64(foreign)/float64(len(regions)))), 1)
}

// maxClassTrials returns how many of them may be of one class. Each trial that timed out
// halves it, as the class may take longer than its requests have, and so do several that
// failed or were abandoned.
func (p *Pool) maxClassTrials(now time.Duration, r Request, c *class) int {
	return max(p.maxTrials(now, r.Allowed)>>c.trials.halvings(), 1)
}

func (t trialState) halvings() int {
	return min(t.timeouts+t.failures/failuresPerHalving, maxTrialHalvings)
}

// confirmed reports whether an observed service time refuses requests without a trial.
func (c *class) confirmed(now time.Duration, holdsObject bool) bool {
	samples, confirmedAt := c.missSamples, c.missConfirmedAt
	if holdsObject {
		samples, confirmedAt = c.hitSamples, c.hitConfirmedAt
	}
	return samples >= confirmedSamples && now-confirmedAt < estimateMaxAge
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

// recordTrialFailure records a trial that failed, or that was sent and then abandoned.
func (p *Pool) recordTrialFailure(g *grant, r Report) {
	if g.trial && (r.Result == Failed || r.Result == Abandoned && r.Elapsed > 0) {
		p.class(g.class, 0).trials.failures++
	}
}

// countTrial adds n trials in flight of the grant's class.
func (p *Pool) countTrial(g *grant, n int) {
	if g.trial {
		p.trialsInFlight += n
		p.class(g.class, 0).trials.inFlight += n
	}
}
