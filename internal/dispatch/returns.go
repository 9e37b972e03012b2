package dispatch

import (
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
	// maxPromises bounds the memory. It is reached at 1,700
	// scheduled returns per second.
	maxPromises = 4096
	// promisedFraction is the fraction of the freed slots that is promised. At 1, a queue
	// of callers that return at random within their windows would grow without bound.
	promisedFraction = 0.9
	// minReturnRate is the rate, in slots per second, that is assumed at least. The pool
	// has measured none at its start.
	minReturnRate = 2.0
	// unpromisedSpread is the fraction of the time that a caller can wait over which the
	// callers without a promise are spread, so that a burst of them does not return as one.
	unpromisedSpread = 1.0 / 3
)

// returns schedules when refused callers come back, and recognizes them. A retried
// request has another identity and connection, so that it is recognized by workspace,
// class and object alone: a new request with the same ones may take the place.
type returns struct {
	promises map[uint64][]time.Duration // times of return by returnKey, ascending
	count    int
	// nextByRank is the time of the next slot that is not promised to the rank or a more
	// urgent one.
	nextByRank map[int]time.Duration
	// nextByWorkspace is the time of the next slot of a workspace that is limited to its
	// share, by returnKey without class and object.
	nextByWorkspace map[uint64]time.Duration
	unpromised      uint64 // number of callers without a promise
}

func newReturns() *returns {
	return &returns{promises: map[uint64][]time.Duration{}, nextByRank: map[int]time.Duration{}, nextByWorkspace: map[uint64]time.Duration{}}
}

func (t *returns) clone() *returns {
	copied := *t
	copied.nextByRank, copied.nextByWorkspace = maps.Clone(t.nextByRank), maps.Clone(t.nextByWorkspace)
	copied.promises = make(map[uint64][]time.Duration, len(t.promises))
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
	list := t.promises[k]
	for i, at := range list {
		if at > now {
			return false
		}
		if now <= at+returnWindow {
			t.set(k, slices.Delete(list, i, i+1))
			t.count--
			return true
		}
	}
	return false
}

func (t *returns) set(k uint64, list []time.Duration) {
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
	// share is the rate for the request's workspace, +Inf if it is not limited.
	share float64
}

// schedule returns the time that a refused caller is to wait. A caller that the schedule
// has no room for within the time that it can wait gets no promise, and the end of that
// time less a part that spreads such callers.
func (t *returns) schedule(now time.Duration, r Request, rates slotRates) time.Duration {
	limit := time.Duration(float64(r.Deadline-now-returnTransit) * returnTimeFraction)
	limit = min(limit, maxReturnDelay)
	earliest := now + minReturnDelay
	workspace := xxhash.Sum64String(r.Workspace)
	at := max(earliest, t.nextFor(r.Rank))
	limited := !math.IsInf(rates.share, 1)
	if limited {
		at = max(at, t.nextByWorkspace[workspace])
	}
	if at > now+limit || t.count >= maxPromises {
		return t.waitWithoutPromise(limit)
	}
	wait := roundUp(at-now, time.Millisecond)
	t.promise(returnKey(r), now+wait)
	t.advance(r.Rank, earliest, interval(max(promisedFraction*rates.freed, minReturnRate)))
	if limited {
		t.nextByWorkspace[workspace] = at + interval(rates.share)
	}
	return wait
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

func (t *returns) promise(k uint64, at time.Duration) {
	list := t.promises[k]
	i, _ := slices.BinarySearch(list, at)
	t.promises[k] = slices.Insert(list, i, at)
	t.count++
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
		before := len(list)
		kept := slices.DeleteFunc(list, func(at time.Duration) bool { return now > at+returnWindow })
		t.count -= before - len(kept)
		t.set(k, kept)
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
