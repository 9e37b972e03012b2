// Package control runs the control state of an entry host in one goroutine. It
// feeds events to the state machines of membership, leases and configuration,
// executes their actions, and publishes a new snapshot for the request path
// after each change. It serves galenabeamd without -platform.
package control

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/owner"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/steer"
	"github.com/galenabeam/galenabeam/internal/store"
	"github.com/galenabeam/galenabeam/internal/view"
)

// Options holds the identity, dependencies and random seed of a Control. All
// fields except Seed must be set; New does not check this.
type Options struct {
	Self     host.Info
	Views    *view.Publisher
	Slots    *owner.SlotClient
	Peers    peer.Client
	HostList member.HostList
	Store    store.Store
	Edge     Edge
	Router   Router
	Backends Backends
	Log      *logrus.Entry
	Metrics  metrics.Registry
	// Seed initializes the random sources.
	Seed int64
}

// Edge is the part of this process that serves callers. Its methods are called
// from the control goroutine.
type Edge interface {
	// Report returns the slots of a pool that this process holds.
	Report(peer.ReportQuery) peer.ReportReply
	// Expire removes request identities and answers whose retention has ended.
	Expire()
}

// Router selects regions for requests. Its methods are called from the control
// goroutine, with times on the clock of Control.Now.
type Router interface {
	// Configure applies a configuration, with the number of entry hosts of all
	// regions and of this one.
	Configure(now time.Duration, c *config.Config, hosts, localHosts int)
	// Observe applies a region's digest that was created at the given time.
	Observe(at time.Duration, d peer.RegionDigest)
	// Tick advances the control loops to now.
	Tick(now time.Duration)
}

// Control owns the control state. Run must be called exactly once; the other
// exported methods may be called from any goroutine.
type Control struct {
	Options
	start time.Time
	rng   *rand.Rand
	// events holds closures that run in the control goroutine.
	events chan func(now time.Duration)
	done   chan struct{}
	// released is the channel of Released.
	released chan struct{}
	// calls counts the running goroutines of async.
	calls sync.WaitGroup

	// The fields below are owned by the control goroutine.

	ctx         context.Context // parent of outgoing calls except pings; canceled when Run ends
	member      *member.Machine
	leases      leases
	digests     digests
	closedPools []*owner.Pool        // no longer owned, with open grants
	takeovers   map[string]*takeover // by service
	// previousOwner holds the owner of a pool before the current one, by service.
	previousOwner map[string]lease.Ref
	// firstSeen holds the time at which this process first observed a process.
	firstSeen map[lease.Ref]time.Duration
	// departed holds the time until which requests of gone processes may be in
	// progress.
	departed   map[lease.Ref]time.Duration
	lastExpiry time.Duration
	// awaitsPoolRelease is set when the lessor has stopped, and cleared once
	// released is closed.
	awaitsPoolRelease bool
	// superseded reports whether a later process of this host has started.
	superseded bool
	// storeUnreachable is set if the last store call of the replica or the lessor
	// failed with an error other than ErrNotFound and ErrConflict.
	storeUnreachable bool
	pendingPings     map[uint64]chan member.Pong
	pendingPingReqs  map[uint64]chan member.PingReqAnswer
	lastCall         uint64
	listedHosts      []member.Listed
	listedBackends   []member.Listed
	listFailing      bool                       // the latest read of the host list failed
	listFailingSince time.Duration              // the first failure since the latest success
	draining         map[string]map[string]bool // by backend server and source
	lastLoadPoll     time.Duration
	config           *config.Config
	revision         uint64
	steering         steering
	routerSize       routerSize
	replica          replica
	caps             caps
	dirty            bool // a new snapshot is to be published
}

// Limits of the control goroutine.
const (
	// eventBuffer is the capacity of Control.events, in closures.
	eventBuffer = 1024
	// maxTickDelay bounds the time between two ticks, so that pools are ticked
	// regularly.
	maxTickDelay = 100 * time.Millisecond
	// listPeriod is the pause between two reads of Options.HostList.
	listPeriod = time.Second
	// listTimeout bounds one read.
	listTimeout = 2 * time.Second
)

// New returns a Control that is not running.
func New(o Options) *Control {
	rng := newRand(o.Seed)
	return &Control{
		Options: o, start: time.Now(), rng: rng,
		events: make(chan func(time.Duration), eventBuffer), done: make(chan struct{}),
		released:     make(chan struct{}),
		member:       member.New(member.DefaultConfig(), o.Self, rng),
		pendingPings: map[uint64]chan member.Pong{}, pendingPingReqs: map[uint64]chan member.PingReqAnswer{},
		leases: newLeases(o.Self, o.Seed), takeovers: map[string]*takeover{},
		digests:  digests{byRegion: map[string]receivedDigest{}, pools: map[string]poolReport{}, fresh: map[string]bool{}},
		draining: map[string]map[string]bool{}, previousOwner: map[string]lease.Ref{},
		firstSeen: map[lease.Ref]time.Duration{}, departed: map[lease.Ref]time.Duration{},
		replica: replica{machine: confsync.NewReplica(newRand(o.Seed)), pushes: map[uint64]chan confsync.PushAnswer{},
			pulls: map[uint64]chan confsync.PullAnswer{}},
		steering: steering{table: steer.NewTable(o.Self.Region)},
		dirty:    true,
	}
}

// Leave starts the shutdown and does not wait for its end: this process announces
// that it is leaving, which removes it from lookup answers, hands over its lease
// role and releases its pools.
func (c *Control) Leave() {
	c.post(func(now time.Duration) {
		c.stepMember(now, member.Leave{})
		c.leases.holder.Leave()
		c.leases.nextRenewal = now
		c.stepLessor(now, lease.Shutdown{})
	})
}

// Released returns a channel that is closed when a leaving process has neither
// a lease role nor a pool.
func (c *Control) Released() <-chan struct{} { return c.released }

// checkReleased closes the released channel once the lessor has stopped and this
// process has no pool.
func (c *Control) checkReleased() {
	if c.awaitsPoolRelease && len(c.Slots.Pools()) == 0 {
		c.awaitsPoolRelease = false
		close(c.released)
	}
}

// Now returns the monotonic time since New. All times of the control state are
// on this clock.
func (c *Control) Now() time.Duration { return time.Since(c.start) }

// post queues f for execution in the control goroutine. It blocks while the
// queue is full, and returns false if the control goroutine has ended.
func (c *Control) post(f func(now time.Duration)) bool {
	select {
	case c.events <- f:
		return true
	case <-c.done:
		return false
	}
}

// errSuperseded is returned by Run when a later process of this host has started.
// This process must then end, because each of the two would answer requests about
// the other's leases.
var errSuperseded = trace.AlreadyExists("a later run of this host has started")

// Run executes the control loop until ctx ends, and then returns nil. It returns
// an error if a later process of this host has started.
func (c *Control) Run(ctx context.Context) error {
	callCtx, stopCalls := context.WithCancel(context.Background())
	c.ctx = callCtx
	defer c.calls.Wait()
	defer stopCalls()
	defer close(c.done)
	go c.pollHostList(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.stepMember(c.Now(), member.Stop{})
			return nil
		case f := <-c.events:
			f(c.Now())
		case <-timer.C:
			now := c.Now()
			c.stepMember(now, member.Tick{})
			c.tickLeases(now)
			c.tickTakeovers(now)
			c.stepReplica(now, confsync.Tick{})
			c.sendDigests(now)
			c.expireDigests(now)
			c.endRebuilding(now)
			c.pollBackends(now)
			c.Router.Tick(now)
			c.tickPools()
			c.expireIdentities(now)
			c.checkReleased()
			timer.Reset(c.tickDelay(now))
		}
		if c.superseded {
			return errSuperseded
		}
		if c.dirty {
			c.dirty = false
			now := c.Now()
			c.updateLessorMembers(now)
			c.updateReplica(now)
			c.updateGranter(now)
			c.stepMember(now, c.extraEvent())
			c.publish()
		}
	}
}

// tickDelay returns the time until the next tick.
func (c *Control) tickDelay(now time.Duration) time.Duration {
	return max(time.Millisecond, min(maxTickDelay, c.member.NextWake()-now))
}

// tickPools ticks all pools. Pools that this process no longer owns are retained
// until their grants have ended, because these count against shift caps and are
// reported to the next owner.
func (c *Control) tickPools() {
	for _, p := range c.Slots.Pools() {
		p.Tick()
	}
	open := c.closedPools[:0]
	for _, p := range c.closedPools {
		p.Tick()
		if !p.Idle() {
			open = append(open, p)
		}
	}
	c.closedPools = open
}

// pollHostList reads the host list every listPeriod until ctx ends.
func (c *Control) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		hosts, err := c.HostList.Hosts(callCtx)
		cancel()
		c.post(func(now time.Duration) {
			c.logHostList(now, err)
			if err != nil {
				c.count("host_list.failures")
				c.stepMember(now, member.ListFailed{})
				return
			}
			c.setHostList(hosts)
			c.stepMember(now, member.ListReceived{Hosts: c.listedHosts})
			c.stepLessor(now, c.listReadEvent())
		})
		select {
		case <-ctx.Done():
		case <-time.After(listPeriod):
		}
	}
}

// logHostList logs the first failure of the host list after a success, and the first
// success after a failure.
func (c *Control) logHostList(now time.Duration, err error) {
	switch {
	case err != nil && !c.listFailing:
		c.listFailing, c.listFailingSince = true, now
		c.Log.WithError(err).Warn("host list does not answer; the last known hosts stay")
	case err == nil && c.listFailing:
		c.listFailing = false
		c.Log.WithField("away_ms", (now - c.listFailingSince).Milliseconds()).Info("host list answers again")
	}
}

// setHostList stores an answer of the host list.
func (c *Control) setHostList(hosts []member.Listed) {
	c.listedHosts, c.listedBackends = nil, nil
	for _, h := range hosts {
		if h.Kind == member.ListedBackendServer {
			c.listedBackends = append(c.listedBackends, h)
			continue
		}
		c.listedHosts = append(c.listedHosts, h)
	}
}

// listReadEvent returns the lessor's event with the listed hosts of the region.
func (c *Control) listReadEvent() lease.ListRead {
	var ev lease.ListRead
	for _, h := range c.listedHosts {
		if h.Region == c.Self.Region {
			ev.Hosts = append(ev.Hosts, h.ID)
		}
	}
	return ev
}

// expirePeriod is the time between two removals of expired request identities.
const expirePeriod = 5 * time.Second

func (c *Control) expireIdentities(now time.Duration) {
	if now-c.lastExpiry >= expirePeriod {
		c.lastExpiry = now
		c.Edge.Expire()
	}
}

// async runs f in a goroutine that Run waits for before it returns.
func (c *Control) async(f func()) {
	c.calls.Add(1)
	go func() {
		defer c.calls.Done()
		f()
	}()
}

func (c *Control) count(name string) { metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1) }

func newRand(seed int64) *rand.Rand { return rand.New(rand.NewSource(seed)) }
