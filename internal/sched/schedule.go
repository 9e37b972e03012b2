package sched

import (
	"math"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// originState is the number of queued requests of one origin, and what the gate
// admitted and refused of them.
type originState struct {
	queued     int
	closed     bool // the gate refused a request in the current call of schedule
	passedRate rateCounter
	// lastRefusal is when the gate last refused a request.
	lastRefusal time.Duration
	refusals    uint64
}

// rateCounter counts events per second over the last one to two seconds.
type rateCounter struct {
	windowStart          time.Duration
	count, previousCount int
}

func (e *rateCounter) add(now time.Duration) {
	e.rollWindow(now)
	e.count++
}

func (e *rateCounter) rollWindow(now time.Duration) {
	if now < e.windowStart+time.Second {
		return
	}
	if now < e.windowStart+2*time.Second {
		e.previousCount = e.count
	} else {
		e.previousCount = 0
	}
	e.windowStart, e.count = now, 0
}

// perSecond returns the greater count of the last full and the current second.
func (e *rateCounter) perSecond(now time.Duration) float64 {
	e.rollWindow(now)
	return float64(max(e.count, e.previousCount))
}

// schedule refuses queued requests that refuseExpired selects, or all of them if no
// server takes requests, and grants free slots in the order of nextRank and
// nextEntry.
func (p *Pool) schedule(now time.Duration, acts []Action) []Action {
	p.schedulePending = false
	acts = p.refuseExpired(now, acts)
	if p.slots <= 0 && len(p.queued) > 0 && p.noServer() {
		return p.refuseAll(acts)
	}
	p.accrue(now)
	for p.freeSlots > 0 && len(p.queued) > 0 {
		rank := p.nextRank()
		if rank < 0 {
			break
		}
		i := p.nextEntry(&p.ranks[rank])
		if i == none {
			break
		}
		req := &p.entries.items[i].req
		if !p.passGate(now, req) {
			continue
		}
		r := &p.ranks[rank]
		r.flows[req.Customer].deficit--
		r.flows[req.Customer].grantsSinceUpdate++
		acts = append(acts, p.grantSlot(now, i, p.chooseServer()))
	}
	for o := range p.origins {
		p.origins[o].closed = false
	}
	for i := range p.ranks {
		if p.ranks[i].queued == 0 {
			p.ranks[i].lastEmpty = now
		}
	}
	return acts
}

// passGate reports whether the gate admits the request. A refusal closes the
// request's origin for the rest of this call of schedule, so that requests of
// other origins are not blocked.
func (p *Pool) passGate(now time.Duration, req *Request) bool {
	if req.Origin == 0 || p.gate == nil {
		return true
	}
	o := &p.origins[req.Origin]
	if p.gate.Acquire(now, req.Origin, req.Bytes) {
		o.passedRate.add(now)
		return true
	}
	o.closed, o.lastRefusal = true, now
	o.refusals++
	return false
}

// gateTooSlow reports whether the gate, at its recent rate for this origin, cannot
// admit the request and those queued at its own and more urgent ranks in time. It
// returns false if the origin has none queued or the gate refused none of it within
// the last second.
func (p *Pool) gateTooSlow(now time.Duration, req *Request) bool {
	o := &p.origins[req.Origin]
	if o.queued == 0 || o.refusals == 0 || now > o.lastRefusal+time.Second {
		return false
	}
	ahead := 0
	for q := 0; q <= req.Rank; q++ {
		ahead += p.ranks[q].queuedByOrigin[req.Origin]
	}
	r := &p.ranks[req.Rank]
	timeLeft := min(req.Deadline-now, r.maxSojournTime()) - r.meanServiceTime()
	return float64(ahead+1) > o.passedRate.perSecond(now)*timeLeft.Seconds()
}

// openQueued returns the number of queued requests of the rank whose origin is
// not closed.
func (p *Pool) openQueued(r *rankQueue) int {
	n := r.queued
	for o := range p.origins {
		if p.origins[o].closed {
			n -= r.queuedByOrigin[o]
		}
	}
	return n
}

// nextRank returns the rank that gets the next slot, or -1. A rank below its
// floor comes first, then the most urgent rank with queued requests. While its
// urgent reserve holds that rank back, less urgent ranks wait as well.
func (p *Pool) nextRank() int {
	for i := range p.ranks {
		r := &p.ranks[i]
		if r.queued > 0 && r.belowFloor() && p.openQueued(r) > 0 {
			return i
		}
	}
	for i := range p.ranks {
		if r := &p.ranks[i]; r.queued == 0 || p.openQueued(r) == 0 {
			continue
		}
		if p.mayTakeSlot(i) {
			return i
		}
		break
	}
	return -1
}

// mayTakeSlot reports whether the rank may hold one more slot: either its floor
// covers the slot, or the slots then free or held by more urgent ranks still cover
// its urgent reserve. A fractional reserve, say 3.3 slots, is met on average.
func (p *Pool) mayTakeSlot(rank int) bool {
	r := &p.ranks[rank]
	if r.urgentReserve == 0 || float64(r.heldSlots+1) <= r.floorSlots {
		return true
	}
	missing := r.urgentReserve - float64(p.freeOrMoreUrgent(rank)-1)
	return missing <= 0 || (missing < 1 && r.reserveSurplus >= missing*r.meanService)
}

// freeOrMoreUrgent returns the number of slots that are free or held by more
// urgent ranks.
func (p *Pool) freeOrMoreUrgent(rank int) int {
	n := p.freeSlots
	for i := 0; i < rank; i++ {
		n += p.ranks[i].heldSlots
	}
	return n
}

// belowFloor reports whether the floor entitles the rank to one more slot. A
// fractional floor, say 1.8 slots, is met on average: a request is granted when the
// credit covers the slot time that it is expected to use beyond the floor.
func (r *rankQueue) belowFloor() bool {
	beyond := float64(r.heldSlots+1) - r.floorSlots
	return beyond <= 0 || (beyond < 1 && r.floorCredit >= beyond*r.meanService)
}

// accrue adds the slot time since the last call by which each rank is below its
// floor (floor credit), and by which the slots left to more urgent ranks exceed its
// urgent reserve (reserve surplus).
func (p *Pool) accrue(now time.Duration) {
	dt := (now - p.lastAccrue).Seconds()
	p.lastAccrue = now
	if dt <= 0 {
		return
	}
	for i := range p.ranks {
		r := &p.ranks[i]
		bound := 2 * r.meanService
		if r.queued > 0 && r.urgentReserve > 0 {
			freeOrMoreUrgent := min(float64(p.freeOrMoreUrgent(i)), math.Ceil(r.urgentReserve))
			r.reserveSurplus = min(max(r.reserveSurplus+(freeOrMoreUrgent-r.urgentReserve)*dt, -bound), bound)
		}
		if r.Floor == 0 || (r.queued == 0 && float64(r.heldSlots) < r.floorSlots) {
			continue
		}
		r.floorCredit = min(max(r.floorCredit+(r.floorSlots-float64(r.heldSlots))*dt, -bound), bound)
	}
}

// refuseExpired refuses queued requests that cannot meet their deadline, and those
// of a standing queue that cannot meet their target: each of them would take a
// slot from a later request that still can. The reason is late or, for the
// target, queue-full; it is shift-cap in both cases if the gate has refused a
// request of the same origin since this one arrived.
func (p *Pool) refuseExpired(now time.Duration, acts []Action) []Action {
	for rank := range p.ranks {
		r := &p.ranks[rank]
		for {
			expiry, ok := r.nextExpiry(now, &p.entries)
			if !ok {
				break
			}
			i := r.deadlineHeap[0]
			e := &p.entries.items[i]
			reason := outcome.ReasonLate
			if now <= expiry {
				if !p.hasStandingQueue(now, rank) || now+r.meanServiceTime() <= e.arrivedAt+r.effectiveTarget() {
					break
				}
				reason = outcome.ReasonQueueFull
			}
			if o := &p.origins[e.req.Origin]; o.refusals > 0 && o.lastRefusal >= e.arrivedAt {
				reason = outcome.ReasonShiftCap
			}
			acts = append(acts, p.recordRefusal(e.req.Key, rank, reason))
			p.unqueue(i)
		}
	}
	return acts
}

// refuseAll refuses all queued requests with reason no-server, so that they can go
// to another region without delay.
func (p *Pool) refuseAll(acts []Action) []Action {
	for rank := range p.ranks {
		r := &p.ranks[rank]
		for len(r.deadlineHeap) > 0 {
			i := r.deadlineHeap[0]
			acts = append(acts, p.recordRefusal(p.entries.items[i].req.Key, rank, outcome.ReasonNoServer))
			p.unqueue(i)
		}
	}
	return acts
}

// trimQueue shortens a standing queue that is too long for maxSojournTime: it
// refuses the newest request of the customer with the longest queue relative to
// its weight, which leaves room for the share of customers that arrive later.
func (p *Pool) trimQueue(now time.Duration, rank int, acts []Action) []Action {
	r := &p.ranks[rank]
	for r.queued > 1 && p.hasStandingQueue(now, rank) && p.expectedWait(rank, float64(r.queued-1))+r.meanServiceTime() > r.maxSojournTime() {
		longestFlow := none
		c := r.currentFlow
		for n := 0; n < r.active; n++ {
			f := &r.flows[c]
			if longestFlow == none || float64(f.queued)*r.flows[longestFlow].quantum > float64(r.flows[longestFlow].queued)*f.quantum {
				longestFlow = c
			}
			c = f.next
		}
		i := p.newestEntry(&r.flows[longestFlow])
		acts = append(acts, p.recordRefusal(p.entries.items[i].req.Key, rank, outcome.ReasonQueueFull))
		p.unqueue(i)
	}
	return acts
}

// newestEntry returns the flow's last queued entry, or none.
func (p *Pool) newestEntry(f *flow) int32 {
	best := none
	for i := range f.subQueues {
		t := f.subQueues[i].tail
		if t != none && (best == none || p.entries.items[t].seq > p.entries.items[best].seq) {
			best = t
		}
	}
	return best
}
