// Package owner runs the schedulers of the pools that this process owns, and
// sends the acquire and release calls of this entry host to the owners of pools.
// Package sched makes the decisions; this package adds locking, timers, calls
// that wait for a decision, and the check of the lease on each pool, so that at
// most one process of the region grants a pool's slots.
package owner

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/sched"
)

// Pool is a pool of backend servers that this process owns: those of one service
// in one region. It is safe for concurrent use.
type Pool struct {
	service, region string
	clock           func() time.Duration
	// leaseEnd is the end of the lease on the pool, on clock. It is checked before
	// every grant, as the process may have been paused past it.
	leaseEnd atomic.Int64

	mu          sync.Mutex
	sched       *sched.Pool
	nameIndex   nameIndex
	actions     []sched.Action           // of the latest call of sched, reused
	lastKey     uint64                   // the newest sched.Request.Key
	waiting     map[uint64]*waiter       // by sched.Request.Key
	waitingKeys map[peer.GrantKey]uint64 // the keys of waiting
	grants      map[peer.GrantKey]grantRecord
	gate        Gate // nil if there is none
	// adopted has the shifted requests that an earlier owner granted. The
	// scheduler does not count them against the gate.
	adopted map[peer.GrantKey]adoption
	// withdrawn has the cancels and releases that arrived before the acquire
	// call or report that they belong to, since calls are handled concurrently.
	// The value is when the entry expires.
	withdrawn map[peer.GrantKey]time.Duration
	nextPrune time.Duration
	closed    bool
	timer     *time.Timer
	wakeAt    time.Duration // when the timer fires
}

// minTimerDelay is the shortest delay of a pool's timer, which bounds how often a pool
// wakes by itself.
const minTimerDelay = time.Millisecond

const (
	// grantRetention is how long a grant is kept after its deadline. The scheduler
	// frees the slot earlier.
	grantRetention = 2 * time.Second
	// prunePeriod is the shortest time between two deletions of expired records.
	prunePeriod = time.Second
)

// adoption is a shifted request that an earlier owner granted.
type adoption struct {
	origin int
	// until is the deadline of the request.
	until time.Duration
}

// withdrawnRetention is how long a cancel or release waits for the acquire call or
// report that it belongs to.
const withdrawnRetention = 5 * time.Second

// waiter is an acquire call that waits for the scheduler's decision.
type waiter struct {
	key          peer.GrantKey
	rank, origin string
	deadline     time.Duration
	decided      chan peer.AcquireReply // buffered, receives once
}

// grantRecord is a grant that has not been released.
type grantRecord struct {
	id   sched.GrantID
	held peer.HeldSlot
	// until is the deadline of the request.
	until time.Duration
}

// nameIndex maps the names in messages to the scheduler's indices.
type nameIndex struct {
	ranks, customers, origins map[string]int
	rankNames                 []string
	addresses                 map[string]string // by backend server
	answerBytes               int64             // usual answer size of the service
}

// NewPool returns the pool of a service in a region under a configuration.
// clock returns the monotonic time of the process; leaseEnd is the end of the
// lease on the pool, on that clock.
func NewPool(c *config.Config, service, region string, clock func() time.Duration, leaseEnd time.Duration, rng *rand.Rand) *Pool {
	params := sched.ParamsFor(c, service, region)
	p := &Pool{
		service: service, region: region, clock: clock,
		sched: sched.NewPool(clock(), params, rng), nameIndex: newNameIndex(c, params),
		waiting: map[uint64]*waiter{}, waitingKeys: map[peer.GrantKey]uint64{}, grants: map[peer.GrantKey]grantRecord{},
		withdrawn: map[peer.GrantKey]time.Duration{}, adopted: map[peer.GrantKey]adoption{},
	}
	p.SetLeaseEnd(leaseEnd)
	return p
}

// SetLeaseEnd sets the end of the lease on the pool, on the pool's clock.
func (p *Pool) SetLeaseEnd(leaseEnd time.Duration) { p.leaseEnd.Store(int64(leaseEnd)) }

// leaseValid reports whether the lease on the pool has not ended.
func (p *Pool) leaseValid() bool { return p.clock() < time.Duration(p.leaseEnd.Load()) }

func newNameIndex(c *config.Config, p sched.Params) nameIndex {
	x := nameIndex{ranks: map[string]int{}, customers: map[string]int{}, origins: map[string]int{}, addresses: map[string]string{}}
	for i, r := range p.Ranks {
		x.ranks[r.Name] = i
		x.rankNames = append(x.rankNames, r.Name)
	}
	for i, cu := range p.Customers {
		x.customers[cu.Name] = i
	}
	for i, o := range p.Origins {
		x.origins[o] = i
	}
	for _, b := range c.BackendServers {
		x.addresses[b.Name] = b.Address
	}
	for _, s := range c.Services {
		if s.Name == p.Service {
			x.answerBytes = s.AnswerBytes
		}
	}
	return x
}

// Configure applies a new configuration.
func (p *Pool) Configure(c *config.Config) {
	params := sched.ParamsFor(c, p.service, p.region)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nameIndex = newNameIndex(c, params)
	p.actions = p.sched.Configure(p.clock(), params, p.actions[:0])
	p.performActions()
}

// Gate admits shifted requests, which are those of other regions' callers,
// within this process's share of the shift caps, which all its pools use.
type Gate interface {
	sched.Gate
	// Adopt counts a request that an earlier owner of the pool granted and that
	// may still be in flight. origin is the scheduler's index of its region.
	Adopt(origin int)
}

// SetGate sets the gate for shifted requests. Without a gate, they are neither
// limited nor counted.
func (p *Pool) SetGate(g Gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate = g
	p.sched.SetGate(g)
}

// Acquire waits until the scheduler grants or refuses a slot, or ctx ends. When
// ctx ends, the call is withdrawn, no grant remains, and the answer is a refusal.
func (p *Pool) Acquire(ctx context.Context, a peer.Acquire) peer.AcquireReply {
	w, reply := p.enqueue(a)
	if w == nil {
		return reply
	}
	select {
	case reply = <-w.decided:
		return reply
	case <-ctx.Done():
		p.Cancel(a.Key)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return refused(outcome.ReasonLate, 0)
		}
		return refused(outcome.ReasonCanceled, 0)
	}
}

func refused(reason outcome.Reason, retryAfter time.Duration) peer.AcquireReply {
	return peer.AcquireReply{Refusal: peer.Refusal{Reason: reason, RetryAfterMillis: retryAfter.Milliseconds()}}
}

// noOwnerRetryAfter is the retry-after of refusals with reason no-owner: the owner
// of the pool has changed, does not answer or may not grant.
const noOwnerRetryAfter = 200 * time.Millisecond

// enqueue passes an acquire call to the scheduler. The waiter is nil if the call
// is refused before that; the answer then says why.
func (p *Pool) enqueue(a peer.Acquire) (*waiter, peer.AcquireReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.leaseValid() {
		return nil, refused(outcome.ReasonNoOwner, noOwnerRetryAfter)
	}
	rank, ok := p.nameIndex.ranks[a.Rank]
	if !ok {
		return nil, refused(outcome.ReasonNoRank, 0)
	}
	customer, ok := p.nameIndex.customers[a.Customer]
	if !ok {
		customer = len(p.nameIndex.customers)
	}
	origin, ok := p.nameIndex.origins[a.Origin]
	if !ok {
		return nil, refused(outcome.ReasonBadRequest, 0)
	}
	if _, ok := p.withdrawn[a.Key]; ok {
		delete(p.withdrawn, a.Key)
		return nil, refused(outcome.ReasonCanceled, 0)
	}
	now := p.clock()
	p.lastKey++
	deadline := now + time.Duration(a.RemainingMillis)*time.Millisecond
	w := &waiter{key: a.Key, rank: a.Rank, origin: a.Origin, deadline: deadline, decided: make(chan peer.AcquireReply, 1)}
	p.waiting[p.lastKey], p.waitingKeys[a.Key] = w, p.lastKey
	p.actions = p.sched.Enqueue(now, sched.Request{Key: p.lastKey, Rank: rank, Customer: customer, Origin: origin,
		Deadline: deadline, Bytes: a.Bytes + p.nameIndex.answerBytes}, p.actions[:0])
	p.performActions()
	return w, peer.AcquireReply{}
}

// armTimer sets the timer to the scheduler's next wake time. A timer that is due
// earlier stays, because moving it for each request costs more than a call
// without effect. The caller holds p.mu.
func (p *Pool) armTimer() {
	now := p.clock()
	if p.closed && p.sched.Idle() {
		if p.timer != nil {
			p.timer.Stop()
		}
		return
	}
	next := max(p.sched.NextWake(now), now+minTimerDelay)
	switch {
	case p.timer == nil:
		p.timer = time.AfterFunc(next-now, p.Tick)
	case next < p.wakeAt || p.wakeAt <= now:
		p.timer.Reset(next - now)
	default:
		return
	}
	p.wakeAt = next
}

// performActions carries out the scheduler's actions. A grant made after the end
// of the lease is released, which may append further actions. The lease may end
// or be renewed at any moment, so it is checked only once for each action: a slot
// that was released must not be granted as well. The caller holds p.mu.
func (p *Pool) performActions() {
	defer p.armTimer()
	for i := 0; i < len(p.actions); i++ {
		action := p.actions[i]
		w, waits := p.waiting[action.Key]
		leaseValid := p.leaseValid()
		if action.Kind == sched.Grant && (!waits || !leaseValid) {
			p.actions = p.sched.Release(p.clock(), action.Grant, sched.Result{Status: sched.Canceled}, p.actions)
		}
		if !waits {
			continue
		}
		delete(p.waiting, action.Key)
		delete(p.waitingKeys, w.key)
		switch {
		case action.Kind == sched.Refuse:
			w.decided <- refused(action.Outcome.Reason, action.Outcome.RetryAfter)
		case !leaseValid:
			w.decided <- refused(outcome.ReasonNoOwner, noOwnerRetryAfter)
		default:
			name := p.sched.ServerName(action.Server)
			p.grants[w.key] = grantRecord{id: action.Grant, until: w.deadline, held: peer.HeldSlot{Key: w.key, Server: name, Rank: w.rank, Origin: w.origin}}
			w.decided <- peer.AcquireReply{Granted: true, Server: name, Address: p.nameIndex.addresses[name], Grant: uint64(action.Grant)}
		}
	}
}

// Cancel withdraws an acquire call, whether it waits or has been granted. A
// cancel that arrives before its acquire call is kept for 5 s.
func (p *Pool) Cancel(key peer.GrantKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.actions = p.actions[:0]
	_, waits := p.waitingKeys[key]
	_, holds := p.grants[key]
	if !waits && !holds {
		now := p.clock()
		p.prune(now)
		p.withdrawn[key] = now + withdrawnRetention
		return
	}
	if k, ok := p.waitingKeys[key]; ok {
		delete(p.waitingKeys, key)
		delete(p.waiting, k)
		p.actions = p.sched.Cancel(p.clock(), k, p.actions)
	}
	if g, ok := p.grants[key]; ok {
		delete(p.grants, key)
		p.endAdoption(key)
		p.actions = p.sched.Release(p.clock(), g.id, sched.Result{Status: sched.Canceled}, p.actions)
	}
	p.performActions()
}

// Release returns a slot to the pool. The release of an unknown grant is kept for
// 5 s, as it may arrive before the report from which a new
// owner adopts the grant.
func (p *Pool) Release(r peer.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.grants[r.Key]
	if !ok {
		p.withdrawn[r.Key] = p.clock() + withdrawnRetention
		return
	}
	delete(p.grants, r.Key)
	p.endAdoption(r.Key)
	p.actions = p.sched.Release(p.clock(), g.id, sched.Result{Status: status(r.Status),
		ServiceTime: time.Duration(r.ServiceMicros) * time.Microsecond, Draining: r.Draining}, p.actions[:0])
	p.performActions()
}

// status converts the status of a release message for the scheduler.
func status(s peer.ReleaseStatus) sched.Status {
	switch s {
	case peer.ReleaseOK:
		return sched.OK
	case peer.ReleaseShed:
		return sched.Shed
	case peer.ReleaseCanceled:
		return sched.Canceled
	default:
		return sched.Failed
	}
}

// Tick deletes expired records and carries out the scheduler's actions that are
// due. The pool's timer calls it.
func (p *Pool) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.prune(now)
	p.actions = p.sched.Tick(now, p.actions[:0])
	p.performActions()
}

// prune deletes cancels and releases whose acquire call or report did not arrive
// and grants not released after their deadline, and ends the use of the gate by
// adopted requests that have passed their deadline. The caller holds p.mu.
func (p *Pool) prune(now time.Duration) {
	if now < p.nextPrune {
		return
	}
	p.nextPrune = now + prunePeriod
	for key, until := range p.withdrawn {
		if now > until {
			delete(p.withdrawn, key)
		}
	}
	for key, a := range p.adopted {
		if now > a.until {
			p.endAdoption(key)
		}
	}
	for key, g := range p.grants {
		if now > g.until+grantRetention {
			delete(p.grants, key)
		}
	}
}

// Close refuses all waiting and later acquire calls with reason no-owner, because
// this process no longer owns the pool. Releases are still accepted.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for k, w := range p.waiting {
		w.decided <- refused(outcome.ReasonNoOwner, noOwnerRetryAfter)
		delete(p.waiting, k)
		delete(p.waitingKeys, w.key)
	}
	p.armTimer()
}
