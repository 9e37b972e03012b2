package confsync

import (
	"errors"
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// never is a time that is not reached.
const never = time.Duration(1<<63 - 1)

// Delays of repeated store calls.
const (
	retryFirst = 50 * time.Millisecond
	retryMax   = 2 * time.Second
	// bootRetryMax is the longest delay of a process that starts and
	// confirmRetryMax of one that has started without the store. Many processes
	// may start during an outage of the store and must not flood its return.
	bootRetryMax    = 8 * time.Second
	confirmRetryMax = time.Minute
)

// caller makes one store call at a time and repeats those that had no effect.
type caller struct {
	rng *rand.Rand
	// seqs numbers calls; machines that share a result channel share it.
	seqs *uint64
	seq  uint64 // of the open call, zero if none
	last StoreCall
	then func(now time.Duration, r StoreResult)
	// tries counts the delays so far; the owner resets it.
	tries int
	// maxDelay bounds the delays.
	maxDelay time.Duration
	retryAt  time.Duration
	retry    func(now time.Duration)
	out      []Action
}

func newCaller(rng *rand.Rand, seqs *uint64) caller {
	return caller{rng: rng, seqs: seqs, retryAt: never, maxDelay: retryMax}
}

// call sends a call whose result goes to then.
func (c *caller) call(k StoreCall, then func(now time.Duration, r StoreResult)) {
	*c.seqs++
	k.Seq = *c.seqs
	c.seq, c.last, c.then = k.Seq, k, then
	c.retryAt = never
	c.out = append(c.out, k)
}

func (c *caller) get(key string, then func(now time.Duration, r StoreResult)) {
	c.call(StoreCall{Kind: StoreGet, Key: key}, then)
}

// later runs f after a jittered delay that doubles with each try.
func (c *caller) later(now time.Duration, f func(now time.Duration)) {
	delay := min(retryFirst<<min(c.tries, 12), c.maxDelay)
	c.tries++
	c.retryAt = now + delay/2 + time.Duration(c.rng.Int63n(int64(delay)))
	c.retry = f
}

// result takes in the result of the open call. It reports false for any other.
func (c *caller) result(now time.Duration, r StoreResult) bool {
	if r.Seq != c.seq || c.seq == 0 {
		return false
	}
	c.seq = 0
	again := errors.Is(r.Err, store.ErrUnavailable)
	if c.last.Kind == StoreGet && r.Err != nil && !errors.Is(r.Err, store.ErrNotFound) {
		again = true
	}
	if again {
		k, then := c.last, c.then
		c.later(now, func(time.Duration) { c.call(k, then) })
		return true
	}
	c.then(now, r)
	return true
}

// tick repeats a call whose delay is over.
func (c *caller) tick(now time.Duration) {
	if now < c.retryAt {
		return
	}
	c.retryAt = never
	f := c.retry
	c.retry = nil
	f(now)
}

// stop abandons the open call and any repetition.
func (c *caller) stop() { c.seq, c.retryAt, c.retry = 0, never, nil }

// take returns the calls to make.
func (c *caller) take(actions []Action) []Action {
	actions = append(actions, c.out...)
	c.out = nil
	return actions
}

// readParts reads the parts in order and hands over their joined content, or
// nil when one is missing or damaged. have gives the content of parts already
// known.
func (c *caller) readParts(now time.Duration, parts []Part, have map[string][]byte, then func(now time.Duration, text []byte)) {
	size := 0
	for _, p := range parts {
		if p.Bytes < 0 || p.Bytes > PartBytes || size > MaxTextBytes {
			then(now, nil)
			return
		}
		size += p.Bytes
	}
	c.readPart(now, parts, 0, have, make([]byte, 0, size), then)
}

func (c *caller) readPart(now time.Duration, parts []Part, i int, have map[string][]byte, text []byte, then func(time.Duration, []byte)) {
	for i < len(parts) && have[parts[i].Key] != nil {
		text = append(text, have[parts[i].Key]...)
		i++
	}
	if i == len(parts) {
		then(now, text)
		return
	}
	c.get(parts[i].Key, func(now time.Duration, r StoreResult) {
		if r.Err != nil || DigestOf(r.Entry.Value) != parts[i].Digest {
			then(now, nil)
			return
		}
		have[parts[i].Key] = r.Entry.Value
		c.readPart(now, parts, i, have, text, then)
	})
}
