package confsync

import (
	"errors"
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// never is the time of an event that is not scheduled.
const never = time.Duration(1<<63 - 1)

// Delays of repeated store calls. The actual delay is between half and one and a
// half times the value.
const (
	// retryMinDelay is the first delay, which doubles with each repetition.
	retryMinDelay = 50 * time.Millisecond
	// retryMaxDelay is the maximum delay of submissions and watches.
	retryMaxDelay = 2 * time.Second
	// bootRetryMaxDelay is the maximum delay of a starting process. Many may start
	// during an outage of the store and must not overload it when it returns.
	bootRetryMaxDelay = 8 * time.Second
	// confirmRetryMaxDelay is that of a process that started without the store, for
	// the same reason.
	confirmRetryMaxDelay = time.Minute
)

// storeClient makes one store call at a time. It repeats a get after any error but
// store.ErrNotFound, and any call after store.ErrUnavailable.
type storeClient struct {
	rng *rand.Rand
	// seqCounter is the sequence number of the last call, shared by the clients whose
	// results arrive through the same Step.
	seqCounter *uint64
	openSeq    uint64 // of the open call, zero if none
	lastCall   StoreCall
	onResult   func(now time.Duration, r StoreResult) // receives the result of lastCall
	// retries is the number of delays since the embedding type last reset it.
	retries       int
	maxRetryDelay time.Duration
	retryAt       time.Duration
	retry         func(now time.Duration) // runs at retryAt
	out           []Action                // calls that Step has not returned yet
}

func newStoreClient(rng *rand.Rand, seqCounter *uint64) storeClient {
	return storeClient{rng: rng, seqCounter: seqCounter, retryAt: never, maxRetryDelay: retryMaxDelay}
}

// call makes a call and abandons an open one.
func (c *storeClient) call(k StoreCall, onResult func(now time.Duration, r StoreResult)) {
	*c.seqCounter++
	k.Seq = *c.seqCounter
	c.openSeq, c.lastCall, c.onResult = k.Seq, k, onResult
	c.retryAt = never
	c.out = append(c.out, k)
}

func (c *storeClient) get(key string, onResult func(now time.Duration, r StoreResult)) {
	c.call(StoreCall{Kind: StoreGet, Key: key}, onResult)
}

// retryLater runs f after a jittered delay that doubles with each use.
func (c *storeClient) retryLater(now time.Duration, f func(now time.Duration)) {
	delay := min(retryMinDelay<<min(c.retries, 12), c.maxRetryDelay)
	c.retries++
	c.retryAt = now + delay/2 + time.Duration(c.rng.Int63n(int64(delay)))
	c.retry = f
}

// handleResult processes the result of the open call, and returns false if r
// belongs to another call.
func (c *storeClient) handleResult(now time.Duration, r StoreResult) bool {
	if r.Seq != c.openSeq || c.openSeq == 0 {
		return false
	}
	c.openSeq = 0
	retryable := errors.Is(r.Err, store.ErrUnavailable)
	if c.lastCall.Kind == StoreGet && r.Err != nil && !errors.Is(r.Err, store.ErrNotFound) {
		retryable = true
	}
	if retryable {
		k, onResult := c.lastCall, c.onResult
		c.retryLater(now, func(time.Duration) { c.call(k, onResult) })
		return true
	}
	c.onResult(now, r)
	return true
}

// tick runs the scheduled retry if it is due.
func (c *storeClient) tick(now time.Duration) {
	if now < c.retryAt {
		return
	}
	c.retryAt = never
	f := c.retry
	c.retry = nil
	f(now)
}

// stop abandons the open call and the scheduled retry.
func (c *storeClient) stop() { c.openSeq, c.retryAt, c.retry = 0, never, nil }

// appendCalls moves the calls to make to actions.
func (c *storeClient) appendCalls(actions []Action) []Action {
	actions = append(actions, c.out...)
	c.out = nil
	return actions
}

// readParts passes the joined content of the parts to then, or nil if one is missing
// or damaged. cached contains the content of known parts by key.
func (c *storeClient) readParts(now time.Duration, parts []Part, cached map[string][]byte, then func(now time.Duration, text []byte)) {
	size := 0
	for _, p := range parts {
		if p.Bytes < 0 || p.Bytes > PartBytes || size > MaxStoredTextBytes {
			then(now, nil)
			return
		}
		size += p.Bytes
	}
	c.readPart(now, parts, 0, cached, make([]byte, 0, size), then)
}

func (c *storeClient) readPart(now time.Duration, parts []Part, i int, cached map[string][]byte, text []byte, then func(time.Duration, []byte)) {
	for i < len(parts) && cached[parts[i].Key] != nil {
		text = append(text, cached[parts[i].Key]...)
		i++
	}
	if i == len(parts) {
		then(now, text)
		return
	}
	c.get(parts[i].Key, func(now time.Duration, r StoreResult) {
		if r.Err != nil || ChecksumOf(r.Entry.Value) != parts[i].Checksum {
			then(now, nil)
			return
		}
		cached[parts[i].Key] = r.Entry.Value
		c.readPart(now, parts, i, cached, text, then)
	})
}
