// Package owner runs the schedulers of the pools that this process owns and
// connects edges to the owners of pools. The scheduler decides; this package
// adds the lock, the waiting and the clock.
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

// Pool is one owned pool. It is safe for concurrent use.
type Pool struct {
	service, region string
	clock           func() time.Duration
	// limit is the end of the lease on the pool, on clock. It is checked before
	// every grant, so that a process that was paused grants nothing.
	limit atomic.Int64

	mu      sync.Mutex
	sched   *sched.Pool
	index   index
	acts    []sched.Action
	next    uint64
	waiting map[uint64]*waiter
	keys    map[peer.GrantKey]uint64
	grants  map[peer.GrantKey]granted
	gate    Gate
	// adopted holds the shifted requests of an earlier owner, which the
	// scheduler does not count against the gate.
	adopted map[peer.GrantKey]adoption
	// withdrawn holds cancels and releases that arrived before the acquire call
	// or the report that they belong to: calls are handled concurrently.
	withdrawn map[peer.GrantKey]time.Duration
	nextPrune time.Duration
	closed    bool
	timer     *time.Timer
	wake      time.Duration // when the timer fires
}

// minSleep bounds how often a pool wakes by itself.
const minSleep = time.Millisecond

// Times of the records of grants.
const (
	// grantKeep is how long after its deadline a grant is remembered. It
	// exceeds the time after which the scheduler takes the slot back.
	grantKeep = 2 * time.Second
	// prunePeriod separates searches for records that are no longer needed.
	prunePeriod = time.Second
)

// adoption is a shifted request that an earlier owner granted.
type adoption struct {
	origin int
	// until is when the request has ended at the latest.
	until time.Duration
}

// withdrawnTime is how long a cancel or release waits for what it belongs to.
const withdrawnTime = 5 * time.Second

// waiter is an acquire call that the scheduler has not decided.
type waiter struct {
	key          peer.GrantKey
	rank, origin string
	deadline     time.Duration
	decided      chan peer.AcquireReply // buffered, receives once
}

// granted is a slot in use.
type granted struct {
	id   sched.GrantID
	held peer.HeldSlot
	// until is the deadline of the request.
	until time.Duration
}

// index maps the names of messages to the scheduler's numbers.
type index struct {
	ranks, customers, origins map[string]int
	rankNames                 []string
	addresses                 map[string]string
	answerBytes               int64
}

// NewPool returns the pool of a service in a region under a configuration.
// clock is the monotonic time of the process, limit the end of the lease.
func NewPool(c *config.Config, service, region string, clock func() time.Duration, limit time.Duration, rng *rand.Rand) *Pool {
	params := sched.ParamsFor(c, service, region)
	p := &Pool{
		service: service, region: region, clock: clock,
		sched: sched.NewPool(clock(), params, rng), index: newIndex(c, params),
		waiting: map[uint64]*waiter{}, keys: map[peer.GrantKey]uint64{}, grants: map[peer.GrantKey]granted{},
		withdrawn: map[peer.GrantKey]time.Duration{}, adopted: map[peer.GrantKey]adoption{},
	}
	p.SetLimit(limit)
	return p
}

// SetLimit sets the end of the lease on the pool.
func (p *Pool) SetLimit(limit time.Duration) { p.limit.Store(int64(limit)) }

// valid tells whether the lease on the pool is still held.
func (p *Pool) valid() bool { return p.clock() < time.Duration(p.limit.Load()) }

func newIndex(c *config.Config, p sched.Params) index {
	x := index{ranks: map[string]int{}, customers: map[string]int{}, origins: map[string]int{}, addresses: map[string]string{}}
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

// Configure puts a new configuration in force.
func (p *Pool) Configure(c *config.Config) {
	params := sched.ParamsFor(c, p.service, p.region)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index = newIndex(c, params)
	p.acts = p.sched.Configure(p.clock(), params, p.acts[:0])
	p.perform()
}

// Gate is the gate for shifted requests.
type Gate interface {
	sched.Gate
	// Adopt counts a request that an earlier owner of the pool has granted.
	Adopt(origin int)
}

// SetGate sets the gate for shifted requests.
func (p *Pool) SetGate(g Gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate = g
	p.sched.SetGate(g)
}

// Acquire waits for a slot until it is decided or ctx ends. When ctx ends, the
// call is withdrawn and nothing is granted.
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

// leaseRetry is when an edge may ask again after the owner of a pool changed.
const leaseRetry = 200 * time.Millisecond

func (p *Pool) enqueue(a peer.Acquire) (*waiter, peer.AcquireReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.valid() {
		return nil, refused(outcome.ReasonNoOwner, leaseRetry)
	}
	rank, ok := p.index.ranks[a.Rank]
	if !ok {
		return nil, refused(outcome.ReasonNoRank, 0)
	}
	customer, ok := p.index.customers[a.Customer]
	if !ok {
		customer = len(p.index.customers)
	}
	origin, ok := p.index.origins[a.Origin]
	if !ok {
		return nil, refused(outcome.ReasonBadRequest, 0)
	}
	if _, ok := p.withdrawn[a.Key]; ok {
		delete(p.withdrawn, a.Key)
		return nil, refused(outcome.ReasonCanceled, 0)
	}
	now := p.clock()
	p.next++
	deadline := now + time.Duration(a.RemainingMillis)*time.Millisecond
	w := &waiter{key: a.Key, rank: a.Rank, origin: a.Origin, deadline: deadline, decided: make(chan peer.AcquireReply, 1)}
	p.waiting[p.next], p.keys[a.Key] = w, p.next
	p.acts = p.sched.Enqueue(now, sched.Request{Key: p.next, Rank: rank, Customer: customer, Origin: origin,
		Deadline: deadline, Bytes: a.Bytes + p.index.answerBytes}, p.acts[:0])
	p.perform()
	return w, peer.AcquireReply{}
}

// arm sets the timer to the time at which the scheduler wants to be called. A
// timer that is due earlier stays, because moving it for each request costs
// more than a call without effect. The caller holds p.mu.
func (p *Pool) arm() {
	now := p.clock()
	if p.closed && p.sched.Idle() {
		if p.timer != nil {
			p.timer.Stop()
		}
		return
	}
	next := max(p.sched.NextWake(now), now+minSleep)
	switch {
	case p.timer == nil:
		p.timer = time.AfterFunc(next-now, p.Tick)
	case next < p.wake || p.wake <= now:
		p.timer.Reset(next - now)
	default:
		return
	}
	p.wake = next
}

// perform carries out the scheduler's actions. The caller holds p.mu. A grant
// made after the end of the lease is taken back, which may cause further ones.
// The lease is checked once for each action: it may end or be renewed at any
// moment, and a slot that was taken back must not be granted as well.
func (p *Pool) perform() {
	defer p.arm()
	for i := 0; i < len(p.acts); i++ {
		act := p.acts[i]
		w, waits := p.waiting[act.Key]
		valid := p.valid()
		if act.Kind == sched.Grant && (!waits || !valid) {
			p.acts = p.sched.Release(p.clock(), act.Grant, sched.Result{Status: sched.Canceled}, p.acts)
		}
		if !waits {
			continue
		}
		delete(p.waiting, act.Key)
		delete(p.keys, w.key)
		switch {
		case act.Kind == sched.Refuse:
			w.decided <- refused(act.Outcome.Reason, act.Outcome.RetryAfter)
		case !valid:
			w.decided <- refused(outcome.ReasonNoOwner, leaseRetry)
		default:
			name := p.sched.ServerName(act.Server)
			p.grants[w.key] = granted{id: act.Grant, until: w.deadline, held: peer.HeldSlot{Key: w.key, Server: name, Rank: w.rank, Origin: w.origin}}
			w.decided <- peer.AcquireReply{Granted: true, Server: name, Address: p.index.addresses[name], Grant: uint64(act.Grant)}
		}
	}
}

// Cancel withdraws an acquire call, whether it waits or has been granted.
func (p *Pool) Cancel(key peer.GrantKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acts = p.acts[:0]
	_, waits := p.keys[key]
	_, holds := p.grants[key]
	if !waits && !holds {
		now := p.clock()
		p.prune(now)
		p.withdrawn[key] = now + withdrawnTime
		return
	}
	if k, ok := p.keys[key]; ok {
		delete(p.keys, key)
		delete(p.waiting, k)
		p.acts = p.sched.Cancel(p.clock(), k, p.acts)
	}
	if g, ok := p.grants[key]; ok {
		delete(p.grants, key)
		p.endAdoption(key)
		p.acts = p.sched.Release(p.clock(), g.id, sched.Result{Status: sched.Canceled}, p.acts)
	}
	p.perform()
}

// Release ends the use of a slot. A release of a grant that is not known yet
// may overtake the report that tells of it and is remembered for a while.
func (p *Pool) Release(r peer.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.grants[r.Key]
	if !ok {
		p.withdrawn[r.Key] = p.clock() + withdrawnTime
		return
	}
	delete(p.grants, r.Key)
	p.endAdoption(r.Key)
	p.acts = p.sched.Release(p.clock(), g.id, sched.Result{Status: status(r.Status),
		ServiceTime: time.Duration(r.ServiceMicros) * time.Microsecond, Draining: r.Draining}, p.acts[:0])
	p.perform()
}

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

// Tick lets the scheduler act on the passing of time. The pool calls it by
// itself when it is due.
func (p *Pool) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.prune(now)
	p.acts = p.sched.Tick(now, p.acts[:0])
	p.perform()
}

// prune forgets cancels whose acquire call did not come and grants whose holder
// went silent, and ends adopted requests that have passed their deadline. The
// caller holds p.mu.
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
		if now > g.until+grantKeep {
			delete(p.grants, key)
		}
	}
}

// Close refuses all waiting calls, because another process owns the pool now.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for k, w := range p.waiting {
		w.decided <- refused(outcome.ReasonNoOwner, leaseRetry)
		delete(p.waiting, k)
		delete(p.keys, w.key)
	}
	p.arm()
}
