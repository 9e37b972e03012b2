package sched

import (
	"math"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

const (
	// updatePeriod is the interval at which estimates and reserves are recomputed.
	updatePeriod = 100 * time.Millisecond
	// fastTimeConstant is the time constant of the fast arrival rate, which
	// detects a rise soon. The greater of the fast and the slow rate counts.
	fastTimeConstant = 500 * time.Millisecond
	// slowTimeConstant is the time constant of the slow arrival rate, which
	// keeps a rank's slots through a lull of some seconds.
	slowTimeConstant = 4 * time.Second
	// quietTime is the time without an arrival after which both rates are zero.
	quietTime = 5 * time.Second
	// staleMeanAfter is the minimum time without an observation after which a
	// mean service time no longer causes refusals.
	staleMeanAfter = time.Second
	// serviceTimeSamples is the number of observations that a mean covers.
	serviceTimeSamples = 128
	// minQueueForRate is the shortest queue of a customer whose wait is estimated
	// from its grant rate.
	minQueueForRate = 10
	// targetFraction is the fraction of a rank's target that a standing queue
	// may use. The rest covers the spread of service times and the network.
	targetFraction = 0.8
	// standingLoadFraction is the offered load, as a fraction of the slots that
	// a rank can expect, above which its queue counts as standing.
	standingLoadFraction = 0.8
	// minLateRisk and maxLateRisk bound the tolerated fraction of more urgent
	// requests that wait too long because less urgent work holds the slots.
	minLateRisk = 1e-6
	maxLateRisk = 3e-4
	// waitFraction is the fraction of a more urgent request's slack, the target
	// less 1.5 mean service times, that it may spend waiting.
	waitFraction = 0.74
	// maxQueuedPerRank bounds the queue of a rank when estimates are far off.
	maxQueuedPerRank = 1 << 16
	// minRefusalWait is the lower bound of the expected wait from which the
	// retry-after of a refusal is computed; see retryAfter.
	minRefusalWait = 50 * time.Millisecond
	// maxWait is the upper bound of all wait estimates.
	maxWait = time.Minute
)

// rankEstimate holds estimates from the observations of one rank.
type rankEstimate struct {
	arrivals           int // since the last update
	lastArrival        time.Duration
	fastRate, slowRate float64 // arrivals per second
	meanService        float64 // mean service time, seconds
	square             float64 // mean square of the service time, seconds squared
	samples            int
	lastObservation    time.Duration
}

// meanServiceTime returns the estimated mean service time.
func (e *rankEstimate) meanServiceTime() time.Duration {
	return time.Duration(e.meanService * float64(time.Second))
}

// minServiceTime returns the service time that a request is assumed to need at
// least: the mean, or zero if the mean was not observed recently. A mean that is
// too high would refuse every request, and no observation would ever correct it.
func (e *rankEstimate) minServiceTime(now time.Duration) time.Duration {
	if now > e.lastObservation+max(staleMeanAfter, 4*e.meanServiceTime()) {
		return 0
	}
	return e.meanServiceTime()
}

// offeredLoad returns the number of slots that all arrivals of the rank would
// keep busy.
func (e *rankEstimate) offeredLoad() float64 { return max(e.fastRate, e.slowRate) * e.meanService }

// observeService updates the service time estimate with the time that a grant
// held its slot. That includes the messages between owner and entry host, as the
// slot is not free meanwhile.
func (p *Pool) observeService(now time.Duration, g grant, d time.Duration) {
	if d <= 0 {
		return
	}
	r := &p.ranks[g.rank]
	x := d.Seconds()
	r.samples = min(r.samples+1, serviceTimeSamples)
	r.lastObservation = now
	if f := &r.flows[g.customer]; f.active {
		// The grant was charged the mean; charge the difference, so that long
		// requests do not gain a share.
		f.deficit -= min(max(x/r.meanService-1, -0.5), 2)
	}
	r.meanService += (x - r.meanService) / float64(r.samples)
	r.square += (x*x - r.square) / float64(r.samples)
}

// updateEstimates recomputes arrival rates, grant rates, peaks and urgent
// reserves.
func (p *Pool) updateEstimates(now time.Duration) {
	dt := now - p.lastUpdate
	if dt > 0 {
		for i := range p.ranks {
			r := &p.ranks[i]
			rate := float64(r.arrivals) / dt.Seconds()
			r.fastRate += (rate - r.fastRate) * smoothingWeight(dt, fastTimeConstant)
			// The slow rate counts arrivals only up to what all slots can serve, so
			// that a flood does not keep slots free long after its end.
			rate = min(rate, float64(p.slots)/r.meanService)
			r.slowRate += (rate - r.slowRate) * smoothingWeight(dt, slowTimeConstant)
			if r.arrivals > 0 {
				r.lastArrival, r.arrivals = now, 0
			} else if now > r.lastArrival+quietTime {
				r.fastRate, r.slowRate = 0, 0
			}
			r.updateFlows(dt)
		}
		if now/peakWindow != p.lastUpdate/peakWindow {
			for i := range p.servers {
				s := &p.servers[i]
				s.previousPeak, s.peakInFlight = s.peakInFlight, s.inFlight
			}
		}
	}
	p.lastUpdate = now
	p.nextUpdate = now + updatePeriod
	p.schedulePending = p.schedulePending || p.freeSlots > 0
	p.setUrgentReserves()
}

// smoothingWeight returns the weight of an observation over dt in an exponential
// moving average with the given time constant.
func smoothingWeight(dt, constant time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/constant.Seconds())
}

// updateFlows recomputes the grant rate of each customer with queued requests.
func (r *rankQueue) updateFlows(dt time.Duration) {
	weight := smoothingWeight(dt, r.Target)
	c := r.currentFlow
	for n := 0; n < r.active; n++ {
		f := &r.flows[c]
		grantRate := float64(f.grantsSinceUpdate) / dt.Seconds()
		if f.grantRate == 0 {
			f.grantRate = grantRate
		}
		f.grantRate += (grantRate - f.grantRate) * weight
		f.grantsSinceUpdate = 0
		c = f.next
	}
}

// setUrgentReserves sets each rank's floor slots and its urgent reserve: the slots
// that must stay free or be held by more urgent ranks when the rank takes one. It
// applies to a rank whose requests hold a slot for longer than a more urgent rank
// can wait, and is the fewest slots with which the more urgent work still gets a
// slot in time. Without arrivals of more urgent work it is zero.
func (p *Pool) setUrgentReserves() {
	for i := range p.ranks {
		r := &p.ranks[i]
		r.floorSlots = r.Floor * float64(p.slots)
		r.urgentReserve = 0
		offeredLoad, rate, square, worthRate := 0.0, 0.0, 0.0, 0.0
		for q := 0; q < i; q++ {
			u := &p.ranks[q]
			offeredLoad += u.offeredLoad()
			rate += max(u.fastRate, u.slowRate)
			square += max(u.fastRate, u.slowRate) * u.square
			worthRate += max(u.fastRate, u.slowRate) * u.Worth
			wait := waitFraction * (u.Target.Seconds() - 1.5*u.meanService)
			if offeredLoad < 0.01 || wait <= 0 || r.meanService <= wait {
				continue
			}
			freed := max(0, float64(p.slots)-offeredLoad) / r.meanService * wait / 2
			// Waits scale with half of one plus the squared coefficient of
			// variation of service times: 1 for an exponential distribution, less
			// for a narrower one.
			meanService := offeredLoad / rate
			spread := min(max(square/rate/(meanService*meanService), 1), 4) / 2
			// A slot left free costs the worth of the work that it could do and
			// saves the worth of the requests that would otherwise be late.
			risk := min(max(r.Worth/r.meanService/max(worthRate, 1e-9), minLateRisk), maxLateRisk)
			need := requiredSlots(offeredLoad, meanService*spread, wait, freed, risk, p.slots)
			// One slot stays available to less urgent work, except in a pool of one.
			need = min(need+p.slotsBetween(q, i, wait), float64(max(1, p.slots-1)))
			r.urgentReserve = max(r.urgentReserve, need)
		}
	}
}

// slotsBetween returns the slots that the ranks between q and i are expected to
// hold, on average over a wait of rank q in seconds, but for each rank at least
// the lesser of its floor and its offered load. Rank q shares its slots with them.
func (p *Pool) slotsBetween(q, i int, wait float64) float64 {
	heldSlots := 0.0
	for m := q + 1; m < i; m++ {
		r := &p.ranks[m]
		stillHeld := r.offeredLoad() * (1 - min(1, wait/(2*r.meanService)))
		heldSlots += max(stillHeld, min(r.offeredLoad(), r.Floor*float64(p.slots)))
	}
	return heldSlots
}

// requiredSlots returns the fewest slots, at most maxSlots, with which work of
// an offered load and a mean service time waits longer than wait with a
// probability of at most risk. freed is the mean number of slots that other
// work frees within wait. Times are in seconds. It uses the Erlang C formula,
// P(W > t) = C exp(-(slots-load) t/service), where freed slots count like slots
// in the exponent.
func requiredSlots(load, service, wait, freed, risk float64, maxSlots int) float64 {
	previousProbability := 1.0
	blocking := 1.0 // Erlang B, by recursion over the number of slots
	for n := 1; n < maxSlots; n++ {
		blocking = load * blocking / (float64(n) + load*blocking)
		spare := float64(n) - load
		if spare+freed <= 0 {
			continue
		}
		queued := 1.0
		if spare > 0 {
			queued = float64(n) * blocking / (float64(n) - load*(1-blocking))
		}
		lateProbability := queued * math.Exp(-(spare+freed)*wait/service)
		if lateProbability <= risk {
			return float64(n) - unneededFraction(lateProbability, previousProbability, risk)
		}
		previousProbability = lateProbability
	}
	return float64(maxSlots)
}

// unneededFraction returns the fraction of the last slot that is not needed to
// reach the risk, by interpolation of the logarithms.
func unneededFraction(lateProbability, previousProbability, risk float64) float64 {
	if previousProbability <= risk || lateProbability <= 0 {
		return 0
	}
	return math.Log(risk/lateProbability) / math.Log(previousProbability/lateProbability)
}

// expectedSlots returns the number of slots that a rank can expect to get.
func (p *Pool) expectedSlots(rank int) float64 {
	r := &p.ranks[rank]
	available := float64(p.slots)
	for i := range p.ranks {
		o := &p.ranks[i]
		switch {
		case i < rank:
			available -= o.offeredLoad()
		case i > rank:
			available -= p.blockedSlots(r, o)
		}
	}
	return max(min(available, float64(p.slots)-r.urgentReserve), r.floorSlots)
}

// blockedSlots returns the slots that less urgent work takes from rank r, on
// average over r's target (almost all of those held for much longer than that),
// but at least the floor of a less urgent rank with queued requests.
func (p *Pool) blockedSlots(r, lessUrgent *rankQueue) float64 {
	heldFraction := 1 - min(1, r.Target.Seconds()/(2*lessUrgent.meanService))
	blockedSlots := float64(lessUrgent.heldSlots) * heldFraction
	if lessUrgent.queued > 0 {
		blockedSlots = max(blockedSlots, lessUrgent.floorSlots)
	}
	return blockedSlots
}

// expectedWait estimates how long a request waits for a slot behind ahead requests
// of its own rank and all queued ones of more urgent ranks.
func (p *Pool) expectedWait(rank int, ahead float64) time.Duration {
	r := &p.ranks[rank]
	if r.queued == 0 && p.freeSlots > 0 && p.mayTakeSlot(rank) {
		return 0
	}
	if p.slots <= 0 {
		// Reservations, ejections and warm-up steps end at the next refresh.
		return min(maxWait, max(0, p.nextRefresh-p.lastUpdate))
	}
	work := (ahead + 1) * r.meanService
	for q := 0; q < rank; q++ {
		work += float64(p.ranks[q].queued) * p.ranks[q].meanService
	}
	expectedSlots := p.expectedSlots(rank)
	if expectedSlots*maxWait.Seconds() <= work {
		return maxWait
	}
	return time.Duration(work / expectedSlots * float64(time.Second))
}

// requestsAhead returns how many requests of the rank are served before the next
// one of a customer, which waits for others only in proportion to their weights.
func (r *rankQueue) requestsAhead(customer int) float64 {
	if customer < 0 || customer >= len(r.flows) {
		customer = len(r.flows) - 1
	}
	f := &r.flows[customer]
	weight := r.activeWeight
	if !f.active {
		weight += f.quantum
	}
	return min(float64(r.queued), float64(f.queued+1)*weight/f.quantum-1)
}

// customerWait estimates the wait from the rate of the customer's grants while it
// had queued requests. Unlike a count of the requests ahead, it shows the share
// that customers of a greater weight take when they arrive later. It returns zero
// for a short or recent queue, whose rate is too uncertain to refuse by.
func (r *rankQueue) customerWait(now time.Duration, customer int) time.Duration {
	if customer < 0 || customer >= len(r.flows) {
		customer = len(r.flows) - 1
	}
	f := &r.flows[customer]
	if f.queued < minQueueForRate || now-f.activeSince < r.Target {
		return 0
	}
	if f.grantRate*maxWait.Seconds() <= float64(f.queued+1) {
		return maxWait
	}
	return time.Duration(float64(f.queued+1) / f.grantRate * float64(time.Second))
}

// admission returns why a request is refused on arrival, or "".
func (p *Pool) admission(now time.Duration, req *Request) outcome.Reason {
	r := &p.ranks[req.Rank]
	if p.slots <= 0 && p.noServer() {
		return outcome.ReasonNoServer
	}
	expectedWait := max(p.expectedWait(req.Rank, r.requestsAhead(req.Customer)), r.customerWait(now, req.Customer))
	if now+expectedWait+r.minServiceTime(now) > req.Deadline {
		return outcome.ReasonLate
	}
	if r.queued >= maxQueuedPerRank || (p.hasStandingQueue(now, req.Rank) && expectedWait+r.meanServiceTime() > r.maxSojournTime()) {
		return outcome.ReasonQueueFull
	}
	if req.Origin != 0 && p.gate != nil && p.gateTooSlow(now, req) {
		return outcome.ReasonShiftCap
	}
	return ""
}

// hasStandingQueue reports whether the rank has had a queue for more than a
// quarter of its target and its offered load is near or above the slots that it
// can expect. A standing queue would make every request of the rank late, so it
// is cut to what the target allows. Other queues come from a burst or a stall,
// shrink by themselves, and may use the whole deadline.
func (p *Pool) hasStandingQueue(now time.Duration, rank int) bool {
	r := &p.ranks[rank]
	if r.queued == 0 || now-r.lastEmpty <= r.Target/4 || p.slots <= 0 {
		return false
	}
	return r.offeredLoad() > standingLoadFraction*p.expectedSlots(rank)
}

// effectiveTarget is the time within which requests of a standing queue are to
// be answered: the target, but at least twice the mean service time, since even
// requests without a wait could otherwise miss it.
func (r *rankQueue) effectiveTarget() time.Duration { return max(r.Target, 2*r.meanServiceTime()) }

// maxSojournTime is the longest time from arrival to answer in a standing
// queue.
func (r *rankQueue) maxSojournTime() time.Duration {
	return time.Duration(targetFraction * float64(r.effectiveTarget()))
}

// noServer reports whether no server can become usable without a call to
// Configure or SetDraining.
func (p *Pool) noServer() bool {
	for i := range p.servers {
		s := &p.servers[i]
		if !s.takesNoWork() && s.Slots > 0 {
			return false
		}
	}
	return true
}

// retryAfter returns a random time from 0.5 to 1.5 times the expected wait at the
// end of the rank's queue, bounded by minRefusalWait and maxWait, so from 25 ms to
// 90 s. The random factor prevents refused requests from all returning at once.
func (p *Pool) retryAfter(rank int) time.Duration {
	r := &p.ranks[rank]
	expected := p.expectedWait(rank, float64(r.queued))
	expected = min(max(expected, minRefusalWait), maxWait)
	return expected/2 + time.Duration(p.rng.Int63n(int64(expected)))
}
