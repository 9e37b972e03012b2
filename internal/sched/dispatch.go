package sched

import (
	"math"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// originState is what the pool knows about the gate of one origin.
type originState struct {
	queued int
	closed bool // for the rest of the current dispatch
	passed rateEstimate
	// refusedAt is when the gate was last found closed.
	refusedAt time.Duration
	refusals  uint64
}

// rateEstimate counts events per second over the last one to two seconds.
type rateEstimate struct {
	since         time.Duration
	count, before int
}

func (e *rateEstimate) add(now time.Duration) {
	e.roll(now)
	e.count++
}

func (e *rateEstimate) roll(now time.Duration) {
	if now < e.since+time.Second {
		return
	}
	if now < e.since+2*time.Second {
		e.before = e.count
	} else {
		e.before = 0
	}
	e.since, e.count = now, 0
}

// perSecond returns the greater of the last full and the current second.
func (e *rateEstimate) perSecond(now time.Duration) float64 {
	e.roll(now)
	return float64(max(e.count, e.before))
}

// dispatch refuses what is late and grants free slots in order.
func (p *Pool) dispatch(now time.Duration, acts []Action) []Action {
	p.undealt = false
	acts = p.expire(now, acts)
	if p.slots <= 0 && len(p.queued) > 0 && p.noServer() {
		return p.refuseAll(acts)
	}
	p.accrue(now)
	for p.free > 0 && len(p.queued) > 0 {
		rank := p.nextRank()
		if rank < 0 {
			break
		}
		i := p.pick(&p.ranks[rank])
		if i == none {
			break
		}
		req := &p.entries.items[i].req
		if !p.pass(now, req) {
			continue
		}
		r := &p.ranks[rank]
		r.flows[req.Customer].deficit--
		r.flows[req.Customer].served++
		acts = append(acts, p.grantTo(now, i, p.place()))
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

// pass asks the gate. A closed gate closes its origin for this dispatch, so
// that requests of other origins go on.
func (p *Pool) pass(now time.Duration, req *Request) bool {
	if req.Origin == 0 || p.gate == nil {
		return true
	}
	o := &p.origins[req.Origin]
	if p.gate.Acquire(now, req.Origin, req.Bytes) {
		o.passed.add(now)
		return true
	}
	o.closed, o.refusedAt = true, now
	o.refusals++
	return false
}

// gateFull reports whether the gate of the request's origin cannot pass what
// is queued in time. It judges by what the gate passed lately.
func (p *Pool) gateFull(now time.Duration, req *Request) bool {
	o := &p.origins[req.Origin]
	if o.queued == 0 || o.refusals == 0 || now > o.refusedAt+time.Second {
		return false
	}
	ahead := 0
	for q := 0; q <= req.Rank; q++ {
		ahead += p.ranks[q].byOrigin[req.Origin]
	}
	r := &p.ranks[req.Rank]
	left := min(req.Deadline-now, r.queueTime()) - r.mean()
	return float64(ahead+1) > o.passed.perSecond(now)*left.Seconds()
}

// open returns the queued requests of the rank whose origin is not closed.
func (p *Pool) open(r *rankQueue) int {
	n := r.queued
	for o := range p.origins {
		if p.origins[o].closed {
			n -= r.byOrigin[o]
		}
	}
	return n
}

// nextRank returns the rank that gets the next slot, or -1. A rank below its
// floor comes first, then the most urgent rank. While its reserve holds that
// rank back, less urgent ranks wait as well.
func (p *Pool) nextRank() int {
	for i := range p.ranks {
		r := &p.ranks[i]
		if r.queued > 0 && r.belowFloor() && p.open(r) > 0 {
			return i
		}
	}
	for i := range p.ranks {
		if r := &p.ranks[i]; r.queued == 0 || p.open(r) == 0 {
			continue
		}
		if p.allowed(i) {
			return i
		}
		break
	}
	return -1
}

// allowed reports whether the rank may hold one more slot: the slots that are
// free or held by more urgent work then still cover the rank's reserve. A
// reserve of, say, 3.3 slots is kept on average over time.
func (p *Pool) allowed(rank int) bool {
	r := &p.ranks[rank]
	if r.reserve == 0 || float64(r.held+1) <= r.floorSlots {
		return true
	}
	missing := r.reserve - float64(p.left(rank)-1)
	return missing <= 0 || (missing < 1 && r.surplus >= missing*r.service)
}

// left returns the slots that are free or held by more urgent ranks.
func (p *Pool) left(rank int) int {
	n := p.free
	for i := 0; i < rank; i++ {
		n += p.ranks[i].held
	}
	return n
}

// belowFloor reports whether the rank is owed a slot. The credit gives a floor
// of, say, 1.8 slots its fraction over time: a request is granted when the
// credit pays for the slot time that it uses beyond the floor.
func (r *rankQueue) belowFloor() bool {
	beyond := float64(r.held+1) - r.floorSlots
	return beyond <= 0 || (beyond < 1 && r.credit >= beyond*r.service)
}

// accrue integrates the difference between floor and use.
func (p *Pool) accrue(now time.Duration) {
	dt := (now - p.lastAccrue).Seconds()
	p.lastAccrue = now
	if dt <= 0 {
		return
	}
	for i := range p.ranks {
		r := &p.ranks[i]
		bound := 2 * r.service
		if r.queued > 0 && r.reserve > 0 {
			left := min(float64(p.left(i)), math.Ceil(r.reserve))
			r.surplus = min(max(r.surplus+(left-r.reserve)*dt, -bound), bound)
		}
		if r.Floor == 0 || (r.queued == 0 && float64(r.held) < r.floorSlots) {
			continue
		}
		r.credit = min(max(r.credit+(r.floorSlots-float64(r.held))*dt, -bound), bound)
	}
}

// expire refuses queued requests that cannot meet their deadline, and those
// of a standing queue that cannot meet their target: each of them would take
// the slot of a later request that still can.
func (p *Pool) expire(now time.Duration, acts []Action) []Action {
	for rank := range p.ranks {
		r := &p.ranks[rank]
		for {
			at, ok := r.firstLate(now, &p.entries)
			if !ok {
				break
			}
			i := r.late[0]
			e := &p.entries.items[i]
			reason := outcome.ReasonLate
			if now <= at {
				if !p.standing(now, rank) || now+r.mean() <= e.arrived+r.goal() {
					break
				}
				reason = outcome.ReasonQueueFull
			}
			if o := &p.origins[e.req.Origin]; o.refusals > 0 && o.refusedAt >= e.arrived {
				reason = outcome.ReasonShiftCap
			}
			acts = append(acts, p.refusal(e.req.Key, rank, reason))
			p.unqueue(i)
		}
	}
	return acts
}

// refuseAll empties the queues of a pool whose servers have all left, so that
// the requests can go to another region at once.
func (p *Pool) refuseAll(acts []Action) []Action {
	for rank := range p.ranks {
		r := &p.ranks[rank]
		for len(r.late) > 0 {
			i := r.late[0]
			acts = append(acts, p.refusal(p.entries.items[i].req.Key, rank, outcome.ReasonNoServer))
			p.unqueue(i)
		}
	}
	return acts
}

// trim refuses the newest request of the customer with the longest queue by
// weight while the rank holds more than it can serve in time. A customer that
// comes later then finds room for its share.
func (p *Pool) trim(now time.Duration, rank int, acts []Action) []Action {
	r := &p.ranks[rank]
	for r.queued > 1 && p.standing(now, rank) && p.wait(rank, float64(r.queued-1))+r.mean() > r.queueTime() {
		longest := none
		c := r.current
		for n := 0; n < r.active; n++ {
			f := &r.flows[c]
			if longest == none || float64(f.queued)*r.flows[longest].quantum > float64(r.flows[longest].queued)*f.quantum {
				longest = c
			}
			c = f.next
		}
		i := p.newest(&r.flows[longest])
		acts = append(acts, p.refusal(p.entries.items[i].req.Key, rank, outcome.ReasonQueueFull))
		p.unqueue(i)
	}
	return acts
}

func (p *Pool) newest(f *flow) int32 {
	best := none
	for i := range f.subs {
		t := f.subs[i].tail
		if t != none && (best == none || p.entries.items[t].seq > p.entries.items[best].seq) {
			best = t
		}
	}
	return best
}
