// Package control runs the control state of an entry host in one goroutine. It
// feeds events to the state machines of membership, leases and configuration,
// carries out their actions, and publishes a new snapshot for traffic after
// each change.
package control

import (
	"context"
	"encoding/json"
	"math/rand"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/owner"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// Options are what a Control works with.
type Options struct {
	Self     host.Info
	Views    *view.Publisher
	Slots    *owner.Slots
	Peers    peer.Caller
	HostList member.HostList
	Log      *logrus.Entry
	Metrics  metrics.Registry
	// Seed starts the random source of the decisions.
	Seed int64
}

// Control owns the control state. Run must be called once.
type Control struct {
	Options
	start time.Time
	rng   *rand.Rand
	// events holds closures that run in the control goroutine.
	events chan func(now time.Duration)
	done   chan struct{}
	calls  sync.WaitGroup

	// The fields below belong to the control goroutine.
	member   *member.Machine
	pings    map[uint64]chan member.Pong
	pingReqs map[uint64]chan member.PingReqAnswer
	nextCall uint64
	listed   []member.Listed
	config   *config.Config
	revision uint64
	dirty    bool
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
	rng := rand.New(rand.NewSource(o.Seed))
	return &Control{
		Options: o, start: time.Now(), rng: rng,
		events: make(chan func(time.Duration), eventBuffer), done: make(chan struct{}),
		member: member.New(member.DefaultConfig(), o.Self, rng),
		pings:  map[uint64]chan member.Pong{}, pingReqs: map[uint64]chan member.PingReqAnswer{},
		dirty: true,
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

// Run executes the control goroutine until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	defer c.calls.Wait()
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
			c.tickPools()
			timer.Reset(c.sleep(now))
		}
		if c.dirty {
			c.dirty = false
			c.publish()
		}
	}
}

func (c *Control) sleep(now time.Duration) time.Duration {
	return max(time.Millisecond, min(maxSleep, c.member.NextWake()-now))
}

func (c *Control) tickPools() {
	for _, p := range c.Slots.Pools() {
		p.Tick()
	}
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
			c.listed = hosts
			c.stepMember(now, member.ListReceived{Hosts: hosts})
		})
		select {
		case <-ctx.Done():
		case <-time.After(listPeriod):
		}
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

// SetConfig puts a configuration in force.
func (c *Control) SetConfig(cfg *config.Config, revision uint64) {
	c.post(func(time.Duration) {
		c.config, c.revision, c.dirty = cfg, revision, true
	})
}

func (c *Control) count(name string) { metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1) }

// extra is what hosts tell each other in membership messages.
type extra struct {
	Revision uint64 `json:"rev"`
}

func (c *Control) encodeExtra() json.RawMessage {
	b, err := json.Marshal(extra{Revision: c.revision})
	if err != nil {
		panic(err) // a struct of numbers always encodes
	}
	return b
}
