// Package control runs the control state of an entry host in one goroutine. It
// feeds events to the state machines of membership, leases and configuration,
// carries out their actions, and publishes a new snapshot for traffic after
// each change.
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

// Options are what a Control works with.
type Options struct {
	Self     host.Info
	Views    *view.Publisher
	Slots    *owner.Slots
	Peers    peer.Caller
	HostList member.HostList
	Store    store.Store
	Edge     Edge
	Router   Router
	Backends Backends
	Log      *logrus.Entry
	Metrics  metrics.Registry
	// Seed starts the random source of the decisions.
	Seed int64
}

// Edge is the part of this process that serves callers.
type Edge interface {
	// Report returns the slots of a pool that this process holds.
	Report(peer.Report) peer.ReportReply
	// Expire forgets request identities that need not be kept.
	Expire()
}

// Router chooses regions for requests. Control tells it what it knows of them.
type Router interface {
	// Configure puts a configuration in force, with the number of entry hosts
	// of all regions and of this one.
	Configure(now time.Duration, c *config.Config, hosts, localHosts int)
	// Observe takes over a region's digest that was made at a time.
	Observe(at time.Duration, d peer.RegionDigest)
	// Tick moves the control loops by the time since the last call.
	Tick(now time.Duration)
}

// Control owns the control state. Run must be called once.
type Control struct {
	Options
	start time.Time
	rng   *rand.Rand
	// events holds closures that run in the control goroutine.
	events chan func(now time.Duration)
	done   chan struct{}
	// released is closed when a leaving process holds nothing any more.
	released chan struct{}
	calls    sync.WaitGroup

	// The fields below belong to the control goroutine.
	ctx       context.Context // ends with the control goroutine
	member    *member.Machine
	leases    leases
	digests   digests
	closing   []*owner.Pool
	takeovers map[string]*takeover
	// previous names the owner of a pool before the present one.
	previous     map[string]lease.Ref
	firstSeen    map[lease.Ref]time.Duration
	departed     map[lease.Ref]time.Duration
	expired      time.Duration
	leaseStopped bool
	// superseded tells that a later run of this host has started.
	superseded bool
	// storeLost tells that the last call of the store failed.
	storeLost      bool
	pings          map[uint64]chan member.Pong
	pingReqs       map[uint64]chan member.PingReqAnswer
	nextCall       uint64
	listed         []member.Listed
	listedBackends []member.Listed
	leaving        map[string]map[string]bool // by backend server and source
	polled         time.Duration
	config         *config.Config
	revision       uint64
	steering       steering
	routerSize     routerSize
	replica        replica
	caps           caps
	dirty          bool
}

// Limits of the control goroutine.
const (
	eventBuffer = 1024
	// maxSleep bounds the time between two rounds, so that pools are ticked.
	maxSleep = 100 * time.Millisecond
	// listPeriod separates two reads of the platform's host list.
	listPeriod  = time.Second
	listTimeout = 2 * time.Second
)

// New returns a Control that has not started.
func New(o Options) *Control {
	rng := newRand(o.Seed)
	return &Control{
		Options: o, start: time.Now(), rng: rng,
		events: make(chan func(time.Duration), eventBuffer), done: make(chan struct{}),
		released: make(chan struct{}),
		member:   member.New(member.DefaultConfig(), o.Self, rng),
		pings:    map[uint64]chan member.Pong{}, pingReqs: map[uint64]chan member.PingReqAnswer{},
		leases: newLeases(o.Self, o.Seed), takeovers: map[string]*takeover{},
		digests: digests{byRegion: map[string]knownDigest{}, pools: map[string]knownPool{}, used: map[string]bool{}},
		leaving: map[string]map[string]bool{}, previous: map[string]lease.Ref{},
		firstSeen: map[lease.Ref]time.Duration{}, departed: map[lease.Ref]time.Duration{},
		replica: replica{machine: confsync.NewReplica(newRand(o.Seed)), pushes: map[uint64]chan confsync.PushAnswer{},
			pulls: map[uint64]chan confsync.PullAnswer{}},
		steering: steering{table: steer.NewTable(o.Self.Region)},
		dirty:    true,
	}
}

// Leave starts the shutdown: this process takes no new work, hands over its
// role and gives up its pools.
func (c *Control) Leave() {
	c.post(func(now time.Duration) {
		c.stepMember(now, member.Leave{})
		c.leases.holder.Leave()
		c.leases.due = now
		c.stepLessor(now, lease.Shutdown{})
	})
}

// Released is closed when a leaving process holds no role and no pool.
func (c *Control) Released() <-chan struct{} { return c.released }

// checkReleased closes the released channel once nothing is held any more.
func (c *Control) checkReleased() {
	if c.leaseStopped && len(c.Slots.Pools()) == 0 {
		c.leaseStopped = false
		close(c.released)
	}
}

// Now returns the monotonic time of the process since New.
func (c *Control) Now() time.Duration { return time.Since(c.start) }

// post hands a closure to the control goroutine. It returns false when that
// has ended.
func (c *Control) post(f func(now time.Duration)) bool {
	select {
	case c.events <- f:
		return true
	case <-c.done:
		return false
	}
}

// errSuperseded ends a process whose host runs a later one: two processes of a
// host would answer for each other's leases.
var errSuperseded = trace.AlreadyExists("a later run of this host has started")

// Run executes the control goroutine until ctx ends.
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
			c.settleGranter(now)
			c.pollBackends(now)
			c.Router.Tick(now)
			c.tickPools()
			c.expire(now)
			c.checkReleased()
			timer.Reset(c.sleep(now))
		}
		if c.superseded {
			return errSuperseded
		}
		if c.dirty {
			c.dirty = false
			now := c.Now()
			c.leaseMembers(now)
			c.updateReplica(now)
			c.updateGranter(now)
			c.stepMember(now, c.extraEvent())
			c.publish()
		}
	}
}

func (c *Control) sleep(now time.Duration) time.Duration {
	return max(time.Millisecond, min(maxSleep, c.member.NextWake()-now))
}

// tickPools lets pools act on the passing of time. Pools that were given up are
// kept until their grants have ended, because they count against shift caps.
func (c *Control) tickPools() {
	for _, p := range c.Slots.Pools() {
		p.Tick()
	}
	kept := c.closing[:0]
	for _, p := range c.closing {
		p.Tick()
		if !p.Idle() {
			kept = append(kept, p)
		}
	}
	c.closing = kept
}

// pollHostList reads the platform's list of hosts.
func (c *Control) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		hosts, err := c.HostList.Hosts(callCtx)
		cancel()
		c.post(func(now time.Duration) {
			if err != nil {
				c.count("host_list.failures")
				c.stepMember(now, member.ListFailed{})
				return
			}
			c.setListed(hosts)
			c.stepMember(now, member.ListReceived{Hosts: c.listed})
			c.stepLessor(now, c.listRead())
		})
		select {
		case <-ctx.Done():
		case <-time.After(listPeriod):
		}
	}
}

// setListed takes over an answer of the platform's list.
func (c *Control) setListed(hosts []member.Listed) {
	c.listed, c.listedBackends = nil, nil
	for _, h := range hosts {
		if h.Kind == member.ListedBackendServer {
			c.listedBackends = append(c.listedBackends, h)
			continue
		}
		c.listed = append(c.listed, h)
	}
}

// listRead tells the lessor which hosts of the region are listed.
func (c *Control) listRead() lease.ListRead {
	var ev lease.ListRead
	for _, h := range c.listed {
		if h.Region == c.Self.Region {
			ev.Hosts = append(ev.Hosts, h.ID)
		}
	}
	return ev
}

// expirePeriod separates two rounds of forgetting request identities.
const expirePeriod = 5 * time.Second

func (c *Control) expire(now time.Duration) {
	if now-c.expired >= expirePeriod {
		c.expired = now
		c.Edge.Expire()
	}
}

// async runs a call outside the control goroutine.
func (c *Control) async(f func()) {
	c.calls.Add(1)
	go func() {
		defer c.calls.Done()
		f()
	}()
}

func (c *Control) count(name string) { metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1) }

// newRand returns a random source of decisions.
func newRand(seed int64) *rand.Rand { return rand.New(rand.NewSource(seed)) }
