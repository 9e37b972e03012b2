package sched

import (
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// Request asks for a slot.
type Request struct {
	// Key identifies the request at this pool's owner. A repeated key replaces
	// the queued request, so that each key gets exactly one action.
	Key uint64
	// Rank is an index into Params.Ranks, Customer into Params.Customers. All
	// customers out of range share one queue of weight 1 for each rank.
	Rank, Customer int
	// Origin is an index into Params.Origins. Requests of origin 0, the pool's own
	// region, are not subject to the gate.
	Origin int
	// Deadline is when the answer is due, on the clock of the now arguments.
	Deadline time.Duration
	// Bytes is the number of bytes that the request charges to a shift cap: its
	// body plus the usual size of an answer.
	Bytes int64
}

// Kind distinguishes grants from refusals.
type Kind int

// Kinds of actions.
const (
	Grant Kind = iota + 1
	Refuse
)

// GrantID identifies a granted slot. An identifier is not reused.
type GrantID uint64

// Action is a decision on the request with Key.
type Action struct {
	Kind Kind
	Key  uint64
	// Server is the index of the server of a grant; see Pool.ServerName.
	Server int
	Grant  GrantID
	// Outcome is the outcome of a refused request.
	Outcome outcome.Outcome
}

// Status is how a granted request ended.
type Status int

// Statuses of granted requests.
const (
	// OK means that the server gave a complete and usable answer.
	OK Status = iota
	// Shed means that the server refused before it started.
	Shed
	// Failed means that the server could not be reached or gave no complete and
	// usable answer.
	Failed
	// Canceled means that the grant ended for a reason unrelated to the server.
	Canceled
)

// Result is what the holder of a grant reports at its end.
type Result struct {
	Status Status
	// ServiceTime is the time from sending the request to the end of the
	// answer. Zero means unknown.
	ServiceTime time.Duration
	// Draining is set if the answer said that the server takes no new requests.
	Draining bool
}

// Gate decides whether a request from another region may use a slot. All pools of
// a process share one gate, which holds the process's share of the shift caps
// into its region.
type Gate interface {
	// Acquire admits a request of the given bytes from an origin. It returns false
	// if the process's share of the origin's cap has no free slot or too few bytes,
	// or has expired, even if the whole cap is not used up.
	Acquire(now time.Duration, origin int, bytes int64) bool
	// Release ends a request that Acquire admitted.
	Release(now time.Duration, origin int)
}

// Pool is the scheduler of one pool.
type Pool struct {
	params  Params
	rng     *rand.Rand
	gate    Gate
	entries entrySlab
	queued  map[uint64]int32 // entry index by request key
	seq     uint64           // sequence number of the latest entry
	ranks   []rankQueue
	origins []originState
	servers []server
	grants  grantSlab

	slots           int           // usable slots of all servers less reservations
	freeSlots       int           // slots that can be granted now
	inFlight        int           // open grants
	schedulePending bool          // slots may have become free since the last call of schedule
	nextRefresh     time.Duration // when a server's usable slots next change without a call
	nextUpdate      time.Duration // when estimates and reserves are next recomputed
	lastUpdate      time.Duration
	lastAccrue      time.Duration
	stats           Stats
}

// NewPool returns a pool without grants. All slots of its servers are usable at
// once, even if a warm-up was running at an earlier owner.
func NewPool(now time.Duration, params Params, rng *rand.Rand) *Pool {
	p := &Pool{rng: rng, queued: map[uint64]int32{}, lastUpdate: now, lastAccrue: now}
	p.applyParams(now, params, true)
	return p
}

// SetGate sets the gate for requests of other origins. Without a gate (nil), they
// are scheduled like local ones.
func (p *Pool) SetGate(g Gate) { p.gate = g }

// Enqueue asks for a slot. This or a later call returns a Grant or Refuse action
// with the request's key.
func (p *Pool) Enqueue(now time.Duration, req Request, acts []Action) []Action {
	p.advance(now)
	if req.Rank < 0 || req.Rank >= len(p.ranks) {
		return append(acts, refuse(req.Key, outcome.Refuse(outcome.ReasonNoRank, 0)))
	}
	if old, ok := p.queued[req.Key]; ok {
		p.unqueue(old)
	}
	if req.Origin < 0 || req.Origin >= len(p.origins) {
		req.Origin = len(p.origins) - 1
	}
	r := &p.ranks[req.Rank]
	r.arrivals++
	p.stats.Arrivals++
	if reason := p.admission(now, &req); reason != "" {
		acts = append(acts, p.recordRefusal(req.Key, req.Rank, reason))
		if p.schedulePending {
			acts = p.schedule(now, acts)
		}
		return acts
	}
	p.push(now, req)
	acts = p.schedule(now, acts)
	return p.trimQueue(now, req.Rank, acts)
}

// Cancel withdraws a queued request without an action for its key. It ignores a
// key that is not queued.
func (p *Pool) Cancel(now time.Duration, key uint64, acts []Action) []Action {
	p.advance(now)
	if i, ok := p.queued[key]; ok {
		p.stats.Canceled++
		p.unqueue(i)
	}
	return p.schedule(now, acts)
}

// Release ends a grant. A grant that has already ended is ignored.
func (p *Pool) Release(now time.Duration, id GrantID, res Result, acts []Action) []Action {
	p.advance(now)
	g, ok := p.grants.take(id)
	if !ok {
		p.stats.StaleReleases++
		return acts
	}
	p.endGrant(now, g)
	p.observe(now, g, res)
	return p.schedule(now, acts)
}

// Tick refuses queued requests that can no longer be served in time, ends
// grants whose deadline passed more than 1 s ago, and grants slots
// that have become free with time. The owner calls it at the time of NextWake.
func (p *Pool) Tick(now time.Duration, acts []Action) []Action {
	p.advance(now)
	p.expireGrants(now)
	return p.schedule(now, acts)
}

// tickPeriod is the longest time between ticks of a pool with work.
const tickPeriod = 100 * time.Millisecond

// gatePollPeriod is the interval at which queued requests are offered to the gate
// again, which does not report when it could admit them.
const gatePollPeriod = 10 * time.Millisecond

// NextWake returns when Tick next has something to do: at least one millisecond
// ahead, and at most one hour ahead for an idle pool or 100 ms otherwise.
func (p *Pool) NextWake(now time.Duration) time.Duration {
	if p.Idle() {
		return max(min(now+time.Hour, p.nextRefresh), now+time.Millisecond)
	}
	wake := min(now+tickPeriod, p.nextRefresh)
	if p.schedulePending {
		wake = now
	}
	for i := range p.ranks {
		r := &p.ranks[i]
		if expiry, ok := r.nextExpiry(now, &p.entries); ok {
			wake = min(wake, expiry)
		}
		if p.gate != nil && r.queued > r.queuedByOrigin[0] && p.freeSlots > 0 {
			wake = min(wake, now+gatePollPeriod)
		}
	}
	return max(wake, now+time.Millisecond)
}

// Idle reports whether the pool has neither queued requests nor grants.
func (p *Pool) Idle() bool { return p.inFlight == 0 && len(p.queued) == 0 }

// advance recomputes estimates and usable slots if they are due.
func (p *Pool) advance(now time.Duration) {
	if now >= p.nextUpdate {
		p.updateEstimates(now)
	}
	if now >= p.nextRefresh {
		p.refreshServers(now)
	}
}

func refuse(key uint64, o outcome.Outcome) Action {
	return Action{Kind: Refuse, Key: key, Outcome: o}
}

// recordRefusal counts a refusal and returns its action.
func (p *Pool) recordRefusal(key uint64, rank int, reason outcome.Reason) Action {
	p.stats.Refused++
	p.ranks[rank].refused++
	return refuse(key, outcome.Refuse(reason, p.retryAfter(rank)))
}
