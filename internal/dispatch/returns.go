package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minReturnDelay is the least Retry-After of a scheduled return: an earlier one would
	// find the same queue. A caller that cannot wait so long does not return. Without this
	// bound, callers without a promise return at ever shorter times until their deadline.
	minReturnDelay = 300 * time.Millisecond
	// maxReturnDelay is the greatest one. Conditions further ahead are not known.
	maxReturnDelay = 2 * time.Second
	// returnTimeFraction is the fraction of its remaining time that a caller waits.
	returnTimeFraction = 1.0 / 3
	// returnTransit is left for the refusal's way to the caller, whose remaining time is
	// then shorter.
	returnTransit = 30 * time.Millisecond
	// returnWindow is the time after its scheduled time within which a caller is
	// recognized. After it the promise lapses.
	returnWindow = 300 * time.Millisecond
	// duePeriod is the resolution at which due promises are counted.
	duePeriod = 10 * time.Millisecond
	// dueBefore and dueAfter are the times before and after its scheduled time for which a
	// caller is expected. A slot must become free before it arrives; most callers arrive
	// within some milliseconds, and one that does not come must not hold the slot for long.
	dueBefore, dueAfter = 20 * time.Millisecond, 50 * time.Millisecond
	// maxPromises bounds the memory. A promise lasts up to 2.3 s, so that the bound is
	// reached at about 1,780 scheduled returns per second.
	maxPromises = 4096
	// promisedFraction is the fraction of the freed slots that is promised. At 1, a queue
	// of callers that return at random within their windows would grow without bound.
	promisedFraction = 0.9
	// minReturnRate is the rate, in slots per second, that is assumed at least. The pool
	// has measured none at its start.
	minReturnRate = 2.0
	// minRankFraction is the fraction of the freed slots that more urgent ranks must leave
	// for a promise to a rank. Their demand varies by more than a smaller rest.
	minRankFraction = 0.1
	// unpromisedSpread is the fraction of the time that a caller can wait over which the
	// callers without a promise are spread, so that a burst of them does not return as one.
	unpromisedSpread = 1.0 / 3
)

// returns schedules when refused callers come back, and recognizes them. A retried
// request has another identity and connection, so that it is recognized by workspace,
// class and object alone: a new request with the same ones may take the place.
type returns struct {
	promises map[uint64][]promise // by returnKey, ascending by their time
	count    int
	due      map[duePromise]int // number of promises
	// nextByRank is the time of the next slot that is not promised to the rank or a more
	// urgent one.
	nextByRank map[int]time.Duration
	// nextByWorkspace is the time of the next slot of a workspace that is limited to its
	// share, by returnKey without class and object.
	nextByWorkspace map[uint64]time.Duration
	unpromised      uint64 // number of callers without a promise
}

// promise is a place in the schedule.
type promise struct {
	at   time.Duration
	rank int
}

// duePromise groups promises. The time is in units of duePeriod.
type duePromise struct {
	period time.Duration
	rank   int
}

func (p promise) due() duePromise { return duePromise{p.at / duePeriod, p.rank} }

func newReturns() *returns {
	return &returns{promises: map[uint64][]promise{}, due: map[duePromise]int{}, nextByRank: map[int]time.Duration{}, nextByWorkspace: map[uint64]time.Duration{}}
}

func (t *returns) clone() *returns {
	copied := *t
	copied.nextByRank, copied.nextByWorkspace = maps.Clone(t.nextByRank), maps.Clone(t.nextByWorkspace)
	copied.due, copied.promises = maps.Clone(t.due), make(map[uint64][]promise, len(t.promises))
	for k, list := range t.promises {
		copied.promises[k] = slices.Clone(list)
	}
	return &copied
}

// returnKey is a hash, because object keys may be long.
func returnKey(r Request) uint64 {
	return xxhash.Sum64String(r.Workspace + "\x00" + r.Class + "\x00" + r.Key)
}

// claim reports whether the request is the return of a refused one at its scheduled time,
// and ends the promise.
func (t *returns) claim(now time.Duration, r Request) bool {
	k := returnKey(r)
	i, ok := t.find(now, k)
	if ok {
		list := t.promises[k]
		t.remove(list[i])
		t.set(k, slices.Delete(list, i, i+1))
	}
	return ok
}

// find returns the index of the first promise of a key whose window is open.
func (t *returns) find(now time.Duration, k uint64) (int, bool) {
	for i, p := range t.promises[k] {
		if p.at > now {
			break
		}
		if now <= p.at+returnWindow {
			return i, true
		}
	}
	return 0, false
}

// remove takes a promise out of the counts.
func (t *returns) remove(p promise) {
	t.count--
	if t.due[p.due()]--; t.due[p.due()] <= 0 {
		delete(t.due, p.due())
	}
}

// anyDue reports whether a caller of a rank, or of a more urgent one, is expected to return
// about now.
func (t *returns) anyDue(now time.Duration, rank int) bool {
	first, last := (now-dueAfter)/duePeriod, (now+dueBefore)/duePeriod
	for d := range t.due {
		if d.rank <= rank && d.period >= first && d.period <= last {
			return true
		}
	}
	return false
}

func (t *returns) set(k uint64, list []promise) {
	if len(list) == 0 {
		delete(t.promises, k)
		return
	}
	t.promises[k] = list
}

// slotRates are the rates in slots per second at which returns are scheduled.
type slotRates struct {
	// freed is the rate at which slots become free.
	freed float64
	// urgent is the part of it that the demand of more urgent ranks takes.
	urgent float64
	// share is the rate for the request's workspace, +Inf if it is not limited.
	share float64
}

// schedule returns the time that a refused caller is to wait. A caller that the schedule
// has no room for within the time that it can wait gets no promise, and the end of that
// time less a part that spreads such callers.
func (t *returns) schedule(now time.Duration, r Request, rates slotRates) time.Duration {
	limit := maxWait(now, r)
	earliest := now + minReturnDelay
	workspace := xxhash.Sum64String(r.Workspace)
	at := max(earliest, t.nextFor(r.Rank))
	left := rates.freed - rates.urgent
	if rates.urgent > 0 && left < minRankFraction*rates.freed {
		return t.waitWithoutPromise(limit)
	}
	limited := !math.IsInf(rates.share, 1)
	if limited {
		at = max(at, t.nextByWorkspace[workspace])
	}
	if at > now+limit || t.count >= maxPromises {
		return t.waitWithoutPromise(limit)
	}
	wait := roundUp(at-now, time.Millisecond)
	t.promise(returnKey(r), promise{now + wait, r.Rank})
	t.advance(r.Rank, earliest, interval(max(promisedFraction*left, minReturnRate)))
	if limited {
		t.nextByWorkspace[workspace] = at + interval(rates.share)
	}
	return wait
}

// maxWait returns the longest time for which the caller of a request waits.
func maxWait(now time.Duration, r Request) time.Duration {
	return min(time.Duration(float64(r.Deadline-now-returnTransit)*returnTimeFraction), maxReturnDelay)
}

// interval returns the time between two slots, at most maxReturnDelay.
func interval(perSecond float64) time.Duration {
	return time.Duration(min(1/perSecond, maxReturnDelay.Seconds()) * float64(time.Second))
}

// roundUp rounds up to the resolution of Retry-After.
func roundUp(d, unit time.Duration) time.Duration { return (d + unit - 1) / unit * unit }

// nextFor returns the next slot for a rank: that of the least urgent rank that is not
// less urgent than it.
func (t *returns) nextFor(rank int) time.Duration {
	next := time.Duration(0)
	for other, at := range t.nextByRank {
		if other <= rank {
			next = max(next, at)
		}
	}
	return next
}

// advance takes a slot from a rank and from all less urgent ones. Slots before earliest
// are not scheduled.
func (t *returns) advance(rank int, earliest, step time.Duration) {
	t.nextByRank[rank] = t.nextFor(rank)
	for other, at := range t.nextByRank {
		if other >= rank {
			t.nextByRank[other] = max(at, earliest) + step
		}
	}
}

func (t *returns) promise(k uint64, p promise) {
	list := t.promises[k]
	i, _ := slices.BinarySearchFunc(list, p, func(a, b promise) int { return cmp.Compare(a.at, b.at) })
	t.promises[k] = slices.Insert(list, i, p)
	t.count++
	t.due[p.due()]++
}

// waitWithoutPromise returns a time in the last part of limit, but not less than
// minReturnDelay. It spreads callers evenly: the multiples of the golden ratio, without
// their whole part, leave no large gap at any number of callers.
func (t *returns) waitWithoutPromise(limit time.Duration) time.Duration {
	t.unpromised++
	_, part := math.Modf(float64(t.unpromised) * (math.Phi - 1))
	return max(time.Duration(float64(limit)*(1-unpromisedSpread*part)), minReturnDelay)
}

// expire drops lapsed promises and times that have passed.
func (t *returns) expire(now time.Duration) {
	for k, list := range t.promises {
		lapsed := 0
		for lapsed < len(list) && now > list[lapsed].at+returnWindow {
			t.remove(list[lapsed])
			lapsed++
		}
		t.set(k, slices.Delete(list, 0, lapsed))
	}
	for rank, at := range t.nextByRank {
		if at <= now {
			delete(t.nextByRank, rank)
		}
	}
	for k, at := range t.nextByWorkspace {
		if at <= now {
			delete(t.nextByWorkspace, k)
		}
	}
}
