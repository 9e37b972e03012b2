package owner

import (
	"context"
	"math/rand"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/invariant"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const server = "tables-1"

func poolConfig(slots int) *config.Config {
	return &config.Config{
		Regions: config.Regions([]string{"a"}, time.Millisecond, time.Millisecond, "north", "south"),
		Ranks:   []config.Rank{{Name: "declaration", Order: 1, Target: time.Second, Deadline: 5 * time.Second, Worth: 1}},
		Services: []config.Service{{Name: "tables", ServiceTime: 10 * time.Millisecond, MaxRequestBytes: 1 << 20, AnswerBytes: 1 << 10,
			EjectShare: 0.5, Warmup: time.Second}},
		BackendServers: []config.BackendServer{{Name: server, Service: "tables", Region: "north", FailureDomain: "a",
			Address: "192.0.2.1:80", Slots: slots, Connections: 10}},
	}
}

// fixture is a pool whose clock is set by the test.
type fixture struct {
	*Pool
	mu  sync.Mutex
	now time.Duration
	// onRead is called at each reading of the clock.
	onRead func()
}

func newFixture(slots int) *fixture {
	f := &fixture{}
	f.Pool = NewPool(poolConfig(slots), "tables", "north", f.read, time.Hour, rand.New(rand.NewSource(1)))
	return f
}

func (f *fixture) read() time.Duration {
	f.mu.Lock()
	now, hook := f.now, f.onRead
	f.mu.Unlock()
	if hook != nil {
		hook()
	}
	return now
}

func (f *fixture) set(now time.Duration, hook func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now, f.onRead = now, hook
}

func key(n uint64) peer.GrantKey { return peer.GrantKey{Edge: 7, Sequence: n} }

func ask(n uint64) peer.Acquire {
	return peer.Acquire{Key: key(n), Service: "tables", Rank: "declaration", Origin: "north", RemainingMillis: 2000}
}

// queue starts an acquire call and waits until the pool has it.
func (f *fixture) queue(g Gomega, ctx context.Context, n uint64) <-chan peer.AcquireReply {
	out := make(chan peer.AcquireReply, 1)
	go func() { out <- f.Acquire(ctx, ask(n)) }()
	g.Eventually(func() bool {
		f.Pool.mu.Lock()
		defer f.Pool.mu.Unlock()
		_, ok := f.waitingKeys[key(n)]
		return ok
	}).Should(BeTrue())
	return out
}

func (f *fixture) records() int {
	f.Pool.mu.Lock()
	defer f.Pool.mu.Unlock()
	return len(f.waiting) + len(f.waitingKeys) + len(f.grants) + len(f.withdrawn) + len(f.adopted)
}

// TestAcquireRefusals guards against a call with invalid names, no time left or
// an ended lease that is granted a slot or leaves a record behind.
func TestAcquireRefusals(t *testing.T) {
	change := func(f func(*peer.Acquire)) peer.Acquire { a := ask(1); f(&a); return a }
	cases := []struct {
		desc string
		call peer.Acquire
		end  time.Duration
		want outcome.Reason
	}{
		{"unknown rank", change(func(a *peer.Acquire) { a.Rank = "x" }), time.Hour, outcome.ReasonNoRank},
		{"unknown origin", change(func(a *peer.Acquire) { a.Origin = "x" }), time.Hour, outcome.ReasonBadRequest},
		{"no time left", change(func(a *peer.Acquire) { a.RemainingMillis = 0 }), time.Hour, outcome.ReasonLate},
		{"lease has ended", ask(1), 0, outcome.ReasonNoOwner},
	}
	for _, c := range cases {
		g := NewWithT(t)
		f := newFixture(1)
		f.SetLeaseEnd(c.end)
		reply := f.Acquire(context.Background(), c.call)
		g.Expect(reply.Granted).To(BeFalse(), c.desc)
		g.Expect(reply.Refusal.Reason).To(Equal(c.want), c.desc)
		g.Expect(f.records()).To(BeZero(), c.desc)
	}
}

// TestLeaseEndsWhileDeciding guards against a slot that is granted after the
// end of the lease, and against one that is both released and granted because
// the lease ends or is renewed between two readings of the clock.
func TestLeaseEndsWhileDeciding(t *testing.T) {
	for read := range 8 {
		for _, renewed := range []bool{false, true} {
			g := NewWithT(t)
			f := newFixture(1)
			load := invariant.NewRegionNotOverloaded()
			load.SetSlots("north", server, 1)
			g.Expect(f.Acquire(context.Background(), ask(1)).Granted).To(BeTrue())
			second, third := f.queue(g, context.Background(), 2), f.queue(g, context.Background(), 3)
			before, after := time.Hour, time.Duration(0)
			if renewed {
				before, after = after, before
			}
			f.SetLeaseEnd(before)
			n := 0
			f.set(0, func() {
				if n++; n == read+1 {
					f.SetLeaseEnd(after)
				}
			})
			f.Release(peer.Release{Key: key(1), Status: peer.ReleaseOK})
			f.set(0, nil)
			f.SetLeaseEnd(time.Hour)
			for _, decided := range []<-chan peer.AcquireReply{second, third} {
				select {
				case reply := <-decided:
					if reply.Granted {
						load.Start(0, server)
					}
				case <-time.After(5 * time.Millisecond):
				}
			}
			g.Expect(load.Err()).NotTo(HaveOccurred(), "reading %d, renewed %t", read, renewed)
			g.Expect(f.InFlight(server)).To(Equal(load.InFlight(server)), "reading %d, renewed %t", read, renewed)
			f.Close()
		}
	}
}

// TestWithdrawal guards against a slot that stays in use, a waiting call that
// never returns, and records that are left behind, when cancels and releases
// arrive early, twice or not at all.
func TestWithdrawal(t *testing.T) {
	cases := []struct {
		desc string
		do   func(g Gomega, f *fixture)
	}{
		{"cancel before the acquire call", func(g Gomega, f *fixture) {
			f.Cancel(key(1))
			g.Expect(f.Acquire(context.Background(), ask(1)).Refusal.Reason).To(Equal(outcome.ReasonCanceled))
		}},
		{"cancel without an acquire call", func(_ Gomega, f *fixture) { f.Cancel(key(1)) }},
		{"cancel of a grant", func(g Gomega, f *fixture) {
			g.Expect(f.Acquire(context.Background(), ask(1)).Granted).To(BeTrue())
			f.Cancel(key(1))
			f.Cancel(key(1))
		}},
		{"caller leaves while the call waits", func(g Gomega, f *fixture) {
			g.Expect(f.Acquire(context.Background(), ask(1)).Granted).To(BeTrue())
			ctx, cancel := context.WithCancel(context.Background())
			waiting := f.queue(g, ctx, 2)
			cancel()
			g.Expect((<-waiting).Refusal.Reason).To(Equal(outcome.ReasonCanceled))
			f.Release(peer.Release{Key: key(1)})
		}},
		{"deadline passes while the call waits", func(g Gomega, f *fixture) {
			g.Expect(f.Acquire(context.Background(), ask(1)).Granted).To(BeTrue())
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			g.Expect((<-f.queue(g, ctx, 2)).Refusal.Reason).To(Equal(outcome.ReasonLate))
			f.Release(peer.Release{Key: key(1)})
		}},
		{"release of unknown grants", func(_ Gomega, f *fixture) {
			f.Release(peer.Release{Key: key(1)})
			f.Release(peer.Release{Key: key(2), Grant: 1 << 40})
		}},
		{"release twice", func(g Gomega, f *fixture) {
			g.Expect(f.Acquire(context.Background(), ask(1)).Granted).To(BeTrue())
			f.Release(peer.Release{Key: key(1)})
			f.Release(peer.Release{Key: key(1)})
		}},
		{"holder of a grant dies", func(g Gomega, f *fixture) {
			g.Expect(f.Acquire(context.Background(), ask(1)).Granted).To(BeTrue())
		}},
		{"pool closes with a waiting call", func(g Gomega, f *fixture) {
			g.Expect(f.Acquire(context.Background(), ask(1)).Granted).To(BeTrue())
			waiting := f.queue(g, context.Background(), 2)
			f.Close()
			g.Expect((<-waiting).Refusal.Reason).To(Equal(outcome.ReasonNoOwner))
			g.Expect(f.Acquire(context.Background(), ask(3)).Refusal.Reason).To(Equal(outcome.ReasonNoOwner))
			f.Cancel(key(2))
		}},
		{"adopted slot is released", func(g Gomega, f *fixture) {
			f.Adopt([]peer.HeldSlot{{Key: key(9), Server: server, Rank: "declaration", Origin: "north", RemainingMillis: 1000}})
			f.Release(peer.Release{Key: key(9)})
		}},
		{"adopted shifted slot is canceled", func(g Gomega, f *fixture) {
			f.Adopt([]peer.HeldSlot{{Key: key(9), Server: server, Rank: "declaration", Origin: "south", RemainingMillis: 1000}})
			f.Cancel(key(9))
		}},
		{"entry host with adopted slots dies", func(g Gomega, f *fixture) {
			f.Adopt([]peer.HeldSlot{{Key: key(9), Server: server, Rank: "gone", Origin: "south", RemainingMillis: 1000},
				{Key: key(10), Server: "gone", Rank: "declaration", Origin: "north", RemainingMillis: 1000}})
		}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(1)
			gate := &countingGate{}
			f.SetGate(gate)
			c.do(g, f)
			for now := time.Second; now <= 20*time.Second; now += time.Second {
				f.set(now, nil)
				f.Tick()
			}
			g.Expect(f.records()).To(BeZero())
			g.Expect(gate.held).To(BeZero())
			g.Expect(f.InFlight(server)).To(BeZero())
		})
	}
}

type countingGate struct{ held int }

func (c *countingGate) Acquire(time.Duration, int, int64) bool { c.held++; return true }
func (c *countingGate) Release(time.Duration, int)             { c.held-- }
func (c *countingGate) Adopt(int)                              { c.held++ }

// TestAdoption guards against a new owner that grants slots which entry hosts
// still use, and against a slot counted twice because it is reported twice.
func TestAdoption(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1)
	held := []peer.HeldSlot{{Key: key(9), Server: server, Rank: "declaration", Origin: "north", RemainingMillis: 1000}}
	f.Adopt(held)
	f.Adopt(held)
	g.Expect(f.InFlight(server)).To(Equal(1))
	waiting := f.queue(g, context.Background(), 1)
	g.Expect(waiting).NotTo(Receive())
	f.Release(peer.Release{Key: key(9), Status: peer.ReleaseOK})
	g.Expect((<-waiting).Granted).To(BeTrue())
	g.Expect(f.InFlight(server)).To(Equal(1))
}

// clientFunc is a peer.Client that handles each call by a function.
type clientFunc func(method string, params, result any) error

func (f clientFunc) Call(_ context.Context, _, method string, params, result any) error {
	return f(method, params, result)
}
func (f clientFunc) Notify(_ context.Context, _, method string, params any) error {
	return f(method, params, nil)
}

// TestOwnerUnreachable guards against a slot that stays in use because the
// owner's answer was lost, and against a release that is lost because its first
// message did not arrive or went to an earlier owner.
func TestOwnerUnreachable(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	count := map[string]int{}
	counted := func(method string) func() int {
		return func() int { mu.Lock(); defer mu.Unlock(); return count[method] }
	}
	views := &view.Publisher{}
	s := NewSlotClient(7, views, clientFunc(func(method string, _, result any) error {
		mu.Lock()
		defer mu.Unlock()
		if count[method]++; method == peer.MethodCancel {
			return nil
		}
		if count[method] == 1 {
			return peer.ErrUnreachable
		}
		*result.(*bool) = count[method] > 2 // an earlier owner answers in between
		return nil
	}))
	g.Expect(s.Acquire(context.Background(), ask(1)).Refusal.Reason).To(Equal(outcome.ReasonNoOwner), "no owner is known")
	views.Publish(view.New(nil, 1, map[string]view.Pool{"tables": {Owner: host.Info{Incarnation: 8, RPCAddress: "192.0.2.9:1"}}}, nil, nil))
	reply := s.Acquire(context.Background(), ask(1))
	g.Expect(reply.Granted).To(BeFalse())
	g.Expect(reply.Refusal.Reason).To(Equal(outcome.ReasonNoOwner))
	g.Eventually(counted(peer.MethodCancel)).Should(Equal(1))
	s.Release(peer.Release{Service: "tables", Key: key(1)})
	g.Eventually(counted(peer.MethodRelease)).WithTimeout(5 * time.Second).Should(Equal(3))
}

// TestUnusedPoolIsRecorded guards against a takeover that reserves a whole pool
// because its crashed owner used none of its slots and had no ceilings recorded.
func TestUnusedPoolIsRecorded(t *testing.T) {
	g := NewWithT(t)
	recorded := make(chan peer.UsageRecord, 1)
	views := &view.Publisher{}
	views.Publish(view.New(nil, 1, nil, map[string]view.RegionView{"north": {Hosts: []host.Info{{Incarnation: 7}, {Incarnation: 8}}}}, nil))
	s := NewSlotClient(7, views, clientFunc(func(method string, params, result any) error {
		if w, ok := params.(peer.UsageRecord); ok && method == peer.MethodRecordUsage {
			recorded <- w
			*result.(*bool) = true
		}
		return nil
	}))
	s.AddPool("tables", newFixture(2).Pool)
	var w peer.UsageRecord
	g.Eventually(recorded).Should(Receive(&w))
	g.Expect(w).To(Equal(peer.UsageRecord{Service: "tables", Holder: 7, Sequence: 1}))
}
