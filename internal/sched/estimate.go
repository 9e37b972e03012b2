package sched

import (
	"math"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

const (
	// updatePeriod is how often rates and limits are renewed.
	updatePeriod = 100 * time.Millisecond
	// fastRate and slowRate are the time constants of the arrival rates. The
	// greater of both counts, so that a rise is seen soon and a lull of some
	// seconds does not give the slots away.
	fastRate = 500 * time.Millisecond
	slowRate = 4 * time.Second
	// quietTime is the time without an arrival after which none is expected.
	quietTime = 5 * time.Second
	// staleMean is the least time without an observation after which a mean
	// service time refuses no request any more.
	staleMean = time.Second
	// serviceSamples is the number of observations that a service time
	// estimate averages over.
	serviceSamples = 128
	// rateSamples is the least queue of a customer that is judged by its rate.
	rateSamples = 10
	// targetUse is the part of a rank's target that a standing queue may use
	// up. The rest covers the spread of service times and the network.
	targetUse = 0.8
	// fullShare is the part of its share of the slots from which on a rank's
	// queue may persist.
	fullShare = 0.8
	// leastRisk and mostRisk bound the part of more urgent requests that may
	// wait too long for a slot because less urgent work holds the slots.
	leastRisk = 1e-6
	mostRisk  = 3e-4
	// waitUse is the part of a more urgent request's slack that it may wait.
	waitUse = 0.74
	// maxQueued bounds the queue of a rank when estimates are far off.
	maxQueued = 1 << 16
	// shortestRetry and longestRetry bound a refusal's retry-after.
	shortestRetry = 50 * time.Millisecond
	longestRetry  = time.Minute
)

// estimate is what a rank's own observations say.
type estimate struct {
	arrivals   int // since the last update
	arrivedAt  time.Duration
	fast, slow float64
	service    float64 // seconds
	square     float64 // mean square of the service time, seconds squared
	samples    int
	observedAt time.Duration
}

// mean returns the estimated service time.
func (e *estimate) mean() time.Duration { return time.Duration(e.service * float64(time.Second)) }

// least returns the service time that a request is at least given to meet its
// deadline. A mean that has not been confirmed for a while counts as zero: it
// would refuse every request, and nothing would ever correct it.
func (e *estimate) least(now time.Duration) time.Duration {
	if now > e.observedAt+max(staleMean, 4*e.mean()) {
		return 0
	}
	return e.mean()
}

// load returns the slots that all arrivals of the rank would keep busy.
func (e *estimate) load() float64 { return max(e.fast, e.slow) * e.service }

// observeService learns how long a grant kept its slot. That includes the
// messages between owner and edge, during which the slot is not free either.
func (p *Pool) observeService(now time.Duration, g grant, d time.Duration) {
	if d <= 0 {
		return
	}
	r := &p.ranks[g.rank]
	x := d.Seconds()
	r.samples = min(r.samples+1, serviceSamples)
	r.observedAt = now
	if f := &r.flows[g.customer]; f.active {
		// Pays the difference between the slot time charged at the grant and
		// the slot time used, so that long requests do not gain a share.
		f.deficit -= min(max(x/r.service-1, -0.5), 2)
	}
	r.service += (x - r.service) / float64(r.samples)
	r.square += (x*x - r.square) / float64(r.samples)
}

// update renews rates, peaks and limits.
func (p *Pool) update(now time.Duration) {
	dt := now - p.lastUpdate
	if dt > 0 {
		for i := range p.ranks {
			r := &p.ranks[i]
			rate := float64(r.arrivals) / dt.Seconds()
			r.fast += (rate - r.fast) * decay(dt, fastRate)
			// A flood does not count beyond all slots, so that they are not
			// kept free for long after it.
			rate = min(rate, float64(p.slots)/r.service)
			r.slow += (rate - r.slow) * decay(dt, slowRate)
			if r.arrivals > 0 {
				r.arrivedAt, r.arrivals = now, 0
			} else if now > r.arrivedAt+quietTime {
				r.fast, r.slow = 0, 0
			}
			r.updateFlows(dt)
		}
		if now/peakWindow != p.lastUpdate/peakWindow {
			for i := range p.servers {
				s := &p.servers[i]
				s.peakBefore, s.peak = s.peak, s.inFlight
			}
		}
	}
	p.lastUpdate = now
	p.nextUpdate = now + updatePeriod
	p.undealt = p.undealt || p.free > 0
	p.setLimits()
}

func decay(dt, constant time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/constant.Seconds())
}

// updateFlows renews the rate at which each queued customer is served.
func (r *rankQueue) updateFlows(dt time.Duration) {
	weight := decay(dt, r.Target)
	c := r.current
	for n := 0; n < r.active; n++ {
		f := &r.flows[c]
		rate := float64(f.served) / dt.Seconds()
		if f.rate == 0 {
			f.rate = rate
		}
		f.rate += (rate - f.rate) * weight
		f.served = 0
		c = f.next
	}
}

// setLimits decides how many slots each rank leaves to more urgent ranks. A rank
// whose requests keep a slot for longer than a more urgent rank can wait leaves
// the fewest slots with which the more urgent work still gets a slot in time.
// Without arrivals of more urgent work nothing is left free.
func (p *Pool) setLimits() {
	for i := range p.ranks {
		r := &p.ranks[i]
		r.floorSlots = r.Floor * float64(p.slots)
		r.reserve = 0
		load, rate, square, worth := 0.0, 0.0, 0.0, 0.0
		for q := 0; q < i; q++ {
			u := &p.ranks[q]
			load += u.load()
			rate += max(u.fast, u.slow)
			square += max(u.fast, u.slow) * u.square
			worth += max(u.fast, u.slow) * u.Worth
			wait := waitUse * (u.Target.Seconds() - 1.5*u.service)
			if load < 0.01 || wait <= 0 || r.service <= wait {
				continue
			}
			freed := max(0, float64(p.slots)-load) / r.service * wait / 2
			// With less spread than an exponential distribution, waits are
			// shorter by half of one plus the squared coefficient of variation.
			service := load / rate
			spread := min(max(square/rate/(service*service), 1), 4) / 2
			// A slot left free costs the work that it could do, and saves
			// the worth of the requests that would otherwise be late.
			risk := min(max(r.Worth/r.service/max(worth, 1e-9), leastRisk), mostRisk)
			need := slotsFor(load, service*spread, wait, freed, risk, p.slots)
			// One slot stays open to less urgent work, except in a pool of one.
			need = min(need+p.between(q, i, wait), float64(max(1, p.slots-1)))
			r.reserve = max(r.reserve, need)
		}
	}
}

// between returns the slots that the ranks between q and i are expected to
// hold, on average over a wait of rank q, and at least what their floors give
// them. They use the same slots as rank q.
func (p *Pool) between(q, i int, wait float64) float64 {
	held := 0.0
	for m := q + 1; m < i; m++ {
		r := &p.ranks[m]
		kept := r.load() * (1 - min(1, wait/(2*r.service)))
		held += max(kept, min(r.load(), r.Floor*float64(p.slots)))
	}
	return held
}

// slotsFor returns the fewest slots with which work of an offered load and a
// mean service time waits longer than wait with a probability of at most
// risk. Freed is the mean number of slots that other work frees within
// wait. It is the Erlang C formula, P(W > t) = C exp(-(slots-load) t/service),
// where freed slots count like slots in the exponent.
func slotsFor(load, service, wait, freed, risk float64, most int) float64 {
	before := 1.0
	blocking := 1.0 // Erlang B, by recursion over the number of slots
	for n := 1; n < most; n++ {
		blocking = load * blocking / (float64(n) + load*blocking)
		spare := float64(n) - load
		if spare+freed <= 0 {
			continue
		}
		queued := 1.0
		if spare > 0 {
			queued = float64(n) * blocking / (float64(n) - load*(1-blocking))
		}
		late := queued * math.Exp(-(spare+freed)*wait/service)
		if late <= risk {
			return float64(n) - fraction(late, before, risk)
		}
		before = late
	}
	return float64(most)
}

// fraction interpolates, in the logarithm, the part of the last slot that is
// not needed to reach the risk.
func fraction(late, before, risk float64) float64 {
	if before <= risk || late <= 0 {
		return 0
	}
	return math.Log(risk/late) / math.Log(before/late)
}

// share returns the slots that a rank can expect to be served by.
func (p *Pool) share(rank int) float64 {
	r := &p.ranks[rank]
	left := float64(p.slots)
	for i := range p.ranks {
		o := &p.ranks[i]
		switch {
		case i < rank:
			left -= o.load()
		case i > rank:
			left -= p.blocked(r, o)
		}
	}
	return max(min(left, float64(p.slots)-r.reserve), r.floorSlots)
}

// blocked returns the slots that less urgent work takes from the rank, on
// average over the time of its target: held slots that are not freed by then
// count in full, and the floor counts while it has work.
func (p *Pool) blocked(r, less *rankQueue) float64 {
	kept := 1 - min(1, r.Target.Seconds()/(2*less.service))
	blocked := float64(less.held) * kept
	if less.queued > 0 {
		blocked = max(blocked, less.floorSlots)
	}
	return blocked
}

// wait estimates how long a request of the rank waits behind ahead requests
// of its own rank.
func (p *Pool) wait(rank int, ahead float64) time.Duration {
	r := &p.ranks[rank]
	if r.queued == 0 && p.free > 0 && p.allowed(rank) {
		return 0
	}
	if p.slots <= 0 {
		// Reservations, ejections or warm-up end at the next change.
		return min(longestRetry, max(0, p.nextChange-p.lastUpdate))
	}
	work := (ahead + 1) * r.service
	for q := 0; q < rank; q++ {
		work += float64(p.ranks[q].queued) * p.ranks[q].service
	}
	share := p.share(rank)
	if share*longestRetry.Seconds() <= work {
		return longestRetry
	}
	return time.Duration(work / share * float64(time.Second))
}

// ahead returns how many requests of the rank are served before the next one
// of a customer. A customer waits for others only by their weight.
func (r *rankQueue) ahead(customer int) float64 {
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

// customerWait estimates the wait from the rate at which the customer has been
// served while it had a queue. Customers that arrive later and weigh more take
// share from the queue, which a count of the requests ahead does not show. The
// rate of a customer with a short queue is too uncertain to refuse by.
func (r *rankQueue) customerWait(now time.Duration, customer int) time.Duration {
	if customer < 0 || customer >= len(r.flows) {
		customer = len(r.flows) - 1
	}
	f := &r.flows[customer]
	if f.queued < rateSamples || now-f.activeSince < r.Target {
		return 0
	}
	if f.rate*longestRetry.Seconds() <= float64(f.queued+1) {
		return longestRetry
	}
	return time.Duration(float64(f.queued+1) / f.rate * float64(time.Second))
}

// admission returns why a request is refused on arrival, or "".
func (p *Pool) admission(now time.Duration, req *Request) outcome.Reason {
	r := &p.ranks[req.Rank]
	if p.slots <= 0 && p.noServer() {
		return outcome.ReasonNoServer
	}
	wait := max(p.wait(req.Rank, r.ahead(req.Customer)), r.customerWait(now, req.Customer))
	if now+wait+r.least(now) > req.Deadline {
		return outcome.ReasonLate
	}
	if r.queued >= maxQueued || (p.standing(now, req.Rank) && wait+r.mean() > r.queueTime()) {
		return outcome.ReasonQueueFull
	}
	if req.Origin != 0 && p.gate != nil && p.gateFull(now, req) {
		return outcome.ReasonShiftCap
	}
	return ""
}

// standing reports whether the rank has had a queue for a quarter of its target
// and gets nearly as much work as its share of the slots serves, or more. Other
// queues come from a burst or a stall, drain by themselves, and may use the whole
// deadline. A standing queue is cut to what the target allows, because it would
// make every request of the rank late.
func (p *Pool) standing(now time.Duration, rank int) bool {
	r := &p.ranks[rank]
	if r.queued == 0 || now-r.lastEmpty <= r.Target/4 || p.slots <= 0 {
		return false
	}
	return r.load() > fullShare*p.share(rank)
}

// goal is the time within which requests of a standing queue are to be
// answered: the target, or more when even requests without a wait miss it.
func (r *rankQueue) goal() time.Duration { return max(r.Target, 2*r.mean()) }

// queueTime is the longest time from arrival to answer in a standing queue.
func (r *rankQueue) queueTime() time.Duration {
	return time.Duration(targetUse * float64(r.goal()))
}

// noServer reports whether no server can become usable without a change from
// outside.
func (p *Pool) noServer() bool {
	for i := range p.servers {
		s := &p.servers[i]
		if !s.leaves() && s.Slots > 0 {
			return false
		}
	}
	return true
}

// retryAfter spreads retries over the expected time until capacity returns.
func (p *Pool) retryAfter(rank int) time.Duration {
	r := &p.ranks[rank]
	expected := p.wait(rank, float64(r.queued))
	expected = min(max(expected, shortestRetry), longestRetry)
	return expected/2 + time.Duration(p.rng.Int63n(int64(expected)))
}
