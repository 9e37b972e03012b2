package sched

import (
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// Request is a request for a slot.
type Request struct {
	// Key identifies the request at this pool's owner. A repeated key replaces
	// the queued request, so that each key gets exactly one action.
	Key uint64
	// Rank is an index into Params.Ranks, Customer into Params.Customers. A
	// customer out of range shares one queue of weight 1 with all such.
	Rank, Customer int
	// Origin is an index into Params.Origins; 0 is never gated.
	Origin int
	// Deadline is the time, on the clock of now, when the answer is due.
	Deadline time.Duration
	// Bytes is what the request charges to a shift cap.
	Bytes int64
}

// Kind tells what an Action is.
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
	// Server is the index of the server of a grant, see Pool.ServerName.
	Server int
	Grant  GrantID
	// Outcome is the reason of a refusal.
	Outcome outcome.Outcome
}

// Status is how a granted request ended.
type Status int

// Statuses of granted requests.
const (
	// OK means that the server answered.
	OK Status = iota
	// Shed means that the server refused before it started.
	Shed
	// Failed means that the server could not be reached or broke off.
	Failed
	// Canceled means that the grant ended for a reason unrelated to the server.
	Canceled
)

// Result is what the holder of a grant observed.
type Result struct {
	Status Status
	// ServiceTime is the time from sending the request to the end of the
	// answer. Zero means that it is not known.
	ServiceTime time.Duration
	// Draining tells that the server's answer said that it is leaving.
	Draining bool
}

// Gate decides whether a request from another region may use a slot.
type Gate interface {
	// Acquire takes a part of the cap on shifts from origin, if one is left.
	Acquire(now time.Duration, origin int, bytes int64) bool
	// Release ends the use of a part taken by Acquire.
	Release(now time.Duration, origin int)
}

// Pool schedules the slots of one pool.
type Pool struct {
	params  Params
	rng     *rand.Rand
	gate    Gate
	entries entrySlab
	queued  map[uint64]int32
	seq     uint64
	ranks   []rankQueue
	origins []originState
	servers []server
	grants  grantSlab

	slots      int // usable slots less reservations
	free       int // slots that can be granted now
	inFlight   int
	undealt    bool          // slots may have become free since the last dispatch
	nextChange time.Duration // when a server's usable slots change by themselves
	nextUpdate time.Duration // when estimates and limits are renewed
	lastUpdate time.Duration
	lastAccrue time.Duration
	stats      Stats
}

// NewPool returns a pool whose servers are warm and idle.
func NewPool(now time.Duration, params Params, rng *rand.Rand) *Pool {
	p := &Pool{rng: rng, queued: map[uint64]int32{}, lastUpdate: now, lastAccrue: now}
	p.apply(now, params, true)
	return p
}

// SetGate sets the gate that shifted requests pass. Without a gate, shifted
// requests are scheduled like local ones.
func (p *Pool) SetGate(g Gate) { p.gate = g }

// Enqueue asks for a slot. The answer is a Grant or Refuse action with the
// request's key, now or from a later call.
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
		acts = append(acts, p.refusal(req.Key, req.Rank, reason))
		if p.undealt {
			acts = p.dispatch(now, acts)
		}
		return acts
	}
	p.push(now, req)
	acts = p.dispatch(now, acts)
	return p.trim(now, req.Rank, acts)
}

// Cancel withdraws a queued request. It makes no action for the key. A key
// that is not queued is ignored.
func (p *Pool) Cancel(now time.Duration, key uint64, acts []Action) []Action {
	p.advance(now)
	if i, ok := p.queued[key]; ok {
		p.stats.Canceled++
		p.unqueue(i)
	}
	return p.dispatch(now, acts)
}

// Release ends a grant. A grant that has ended before is ignored.
func (p *Pool) Release(now time.Duration, id GrantID, res Result, acts []Action) []Action {
	p.advance(now)
	g, ok := p.grants.take(id)
	if !ok {
		p.stats.StaleReleases++
		return acts
	}
	p.endGrant(now, g)
	p.observe(now, g, res)
	return p.dispatch(now, acts)
}

// Tick refuses queued requests that can no longer be served in time, ends
// grants whose deadline has long passed, and grants what time has freed. The
// owner calls it at NextWake.
func (p *Pool) Tick(now time.Duration, acts []Action) []Action {
	p.advance(now)
	p.expireGrants(now)
	return p.dispatch(now, acts)
}

// tickPeriod is the longest time between ticks of a pool with work.
const tickPeriod = 100 * time.Millisecond

// gatePoll is how often a closed gate is asked again.
const gatePoll = 10 * time.Millisecond

// NextWake returns when Tick has something to do. An idle pool returns a time
// one hour ahead.
func (p *Pool) NextWake(now time.Duration) time.Duration {
	if p.Idle() {
		return max(min(now+time.Hour, p.nextChange), now+time.Millisecond)
	}
	wake := min(now+tickPeriod, p.nextChange)
	if p.undealt {
		wake = now
	}
	for i := range p.ranks {
		r := &p.ranks[i]
		if at, ok := r.firstLate(now, &p.entries); ok {
			wake = min(wake, at)
		}
		if p.gate != nil && r.queued > r.byOrigin[0] && p.free > 0 {
			wake = min(wake, now+gatePoll)
		}
	}
	return max(wake, now+time.Millisecond)
}

// Idle reports whether the pool has neither queued requests nor grants.
func (p *Pool) Idle() bool { return p.inFlight == 0 && len(p.queued) == 0 }

// advance brings time-driven state up to date.
func (p *Pool) advance(now time.Duration) {
	if now >= p.nextUpdate {
		p.update(now)
	}
	if now >= p.nextChange {
		p.refresh(now)
	}
}

func refuse(key uint64, o outcome.Outcome) Action {
	return Action{Kind: Refuse, Key: key, Outcome: o}
}

func (p *Pool) refusal(key uint64, rank int, reason outcome.Reason) Action {
	p.stats.Refused++
	p.ranks[rank].refused++
	return refuse(key, outcome.Refuse(reason, p.retryAfter(rank)))
}
