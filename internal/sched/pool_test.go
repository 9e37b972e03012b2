package sched

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// testParams returns three ranks and two customers of equal weight.
func testParams(servers, slots int) Params {
	p := Params{
		Service: "svc", Region: "here", Origins: []string{"here", "there", "far"}, EjectShare: 0.5, Warmup: 10 * sec,
		Ranks: []Rank{
			{Name: "urgent", Target: 250 * ms, Deadline: sec, InitialServiceTime: 40 * ms},
			{Name: "normal", Target: sec, Deadline: 5 * sec, Floor: 0.1, InitialServiceTime: 100 * ms},
			{Name: "bulk", Target: 30 * sec, Deadline: 60 * sec, Floor: 0.05, InitialServiceTime: 1200 * ms},
		},
		Customers: []Customer{{"a", 1}, {"b", 1}},
	}
	for i := 0; i < servers; i++ {
		p.Servers = append(p.Servers, Server{Name: fmt.Sprintf("s%d", i), Slots: slots})
	}
	return p
}

func testPool(servers, slots int) *Pool {
	return NewPool(0, testParams(servers, slots), rand.New(rand.NewSource(1)))
}

func localRequest(key uint64, rank int, deadline time.Duration) Request {
	return Request{Key: key, Rank: rank, Deadline: deadline}
}

func keysOf(acts []Action, kind Kind) []uint64 {
	keys := []uint64{}
	for _, a := range acts {
		if a.Kind == kind {
			keys = append(keys, a.Key)
		}
	}
	return keys
}

// TestGrantOrder guards against less urgent work that is granted before urgent
// work, and against customers that are served in order of arrival instead of by
// weight.
func TestGrantOrder(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 1)
	acts := p.Enqueue(0, localRequest(1, 0, sec), nil)
	g.Expect(keysOf(acts, Grant)).To(Equal([]uint64{1}))
	for key := uint64(2); key < 5; key++ {
		p.Enqueue(0, localRequest(key, 1, 5*sec), nil)
	}
	p.Enqueue(0, Request{Key: 5, Rank: 1, Customer: 1, Deadline: 5 * sec}, nil)
	p.Enqueue(0, localRequest(6, 0, sec), nil)
	order := []uint64{}
	for now := 10 * ms; len(acts) > 0; now += 10 * ms {
		acts = p.Release(now, acts[0].Grant, Result{ServiceTime: 10 * ms}, nil)
		order = append(order, keysOf(acts, Grant)...)
	}
	g.Expect(order).To(Equal([]uint64{6, 2, 5, 3, 4}))
	g.Expect(p.Idle()).To(BeTrue())
}

// TestRefusalOfLateWork guards against work that is queued although it cannot
// be served in time, and against refused requests that all retry at the same
// time.
func TestRefusalOfLateWork(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 1)
	p.Enqueue(0, localRequest(1, 0, sec), nil)
	acts := p.Enqueue(0, localRequest(2, 1, 100*ms), nil)
	g.Expect(acts).To(HaveLen(1))
	g.Expect(acts[0].Outcome.Reason).To(Equal(outcome.ReasonLate))
	g.Expect(acts[0].Outcome.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(p.Enqueue(0, localRequest(3, 1, 300*ms), nil)).To(BeEmpty())
	g.Expect(p.NextWake(0)).To(BeNumerically("<=", 200*ms))
	g.Expect(p.Tick(199*ms, nil)).To(BeEmpty())
	g.Expect(keysOf(p.Tick(201*ms, nil), Refuse)).To(Equal([]uint64{3}))
	spread := map[time.Duration]bool{}
	for key := uint64(10); key < 20; key++ {
		spread[p.Enqueue(sec, localRequest(key, 1, sec), nil)[0].Outcome.RetryAfter] = true
	}
	g.Expect(len(spread)).To(BeNumerically(">", 5))
	g.Expect(p.Enqueue(sec, localRequest(1, 7, 2*sec), nil)[0].Outcome.Reason).To(Equal(outcome.ReasonNoRank))
}

// TestGrantsOnlyUsableSlots guards against grants to servers that are draining
// or ejected, that lost slots, or whose slots unresponsive entry hosts may still
// use, and against usable slots that are not granted.
func TestGrantsOnlyUsableSlots(t *testing.T) {
	fill := func(p *Pool, now time.Duration) (granted int) {
		for key := uint64(100); key < 120; key++ {
			granted += len(keysOf(p.Enqueue(now, localRequest(key, 0, now+sec), nil), Grant))
		}
		return granted
	}
	for _, tc := range []struct {
		desc string
		do   func(p *Pool)
		want int
	}{
		{"all slots", func(p *Pool) {}, 4},
		{"draining", func(p *Pool) { p.SetDraining(0, "s0", true, nil) }, 2},
		{"drained by configuration", func(p *Pool) {
			params := testParams(2, 2)
			params.Draining = []string{"s1"}
			p.Configure(0, params, nil)
			p.SetDraining(0, "s1", false, nil)
		}, 2},
		{"draining mark cleared", func(p *Pool) {
			p.SetDraining(0, "s0", true, nil)
			p.SetDraining(0, "s0", false, nil)
		}, 4},
		{"reserved", func(p *Pool) { p.Reserve(0, "s0", 1, 2*sec) }, 3},
		{"reservation replaced", func(p *Pool) { p.Reserve(0, "s0", 2, 2*sec); p.Reserve(0, "s0", 0, 2*sec) }, 4},
		{"reservation ended", func(p *Pool) { p.Reserve(0, "s0", 1, sec) }, 4},
		{"adopted", func(p *Pool) { p.Adopt(0, "s0", 1, 3*sec); p.Adopt(0, "s0", 1, 3*sec); p.Adopt(0, "s0", 1, 3*sec) }, 2},
		{"adopted grant expired", func(p *Pool) { p.Adopt(-2*sec, "s0", 1, -sec); p.Tick(sec, nil) }, 4},
		{"slots shrank", func(p *Pool) { p.Configure(0, testParams(2, 1), nil) }, 2},
		{"server added, warm-up running", func(p *Pool) { p.Configure(0, testParams(3, 2), nil) }, 5},
		{"server removed", func(p *Pool) { p.Configure(0, testParams(1, 2), nil) }, 2},
		{"one unhealthy", func(p *Pool) { p.ReportLoad(sec, "s0", LoadReport{At: sec}) }, 2},
		{"all unhealthy, bounded by the eject share", func(p *Pool) {
			p.ReportLoad(sec, "s0", LoadReport{At: sec})
			p.ReportLoad(sec, "s1", LoadReport{At: sec})
		}, 2},
		{"old unhealthy report", func(p *Pool) { p.ReportLoad(sec, "s0", LoadReport{At: -9 * sec}) }, 4},
		{"reported work of other callers", func(p *Pool) { p.ReportLoad(sec, "s0", LoadReport{Healthy: true, InFlight: 1, At: sec}) }, 3},
		{"report above the slots is ignored", func(p *Pool) { p.ReportLoad(sec, "s0", LoadReport{Healthy: true, InFlight: 9, At: sec}) }, 4},
		{"report below own work", func(p *Pool) { p.ReportLoad(sec, "s0", LoadReport{Healthy: true, At: sec}) }, 4},
		{"shed in a row", func(p *Pool) { reportSheds(p, 3) }, 2},
		{"shed twice", func(p *Pool) { reportSheds(p, 2) }, 4},
		{"answer says draining", func(p *Pool) {
			a := p.Enqueue(0, localRequest(1, 0, sec), nil)
			p.Release(0, a[0].Grant, Result{Draining: true}, nil)
		}, 2},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			p := testPool(2, 2)
			tc.do(p)
			NewWithT(t).Expect(fill(p, sec)).To(Equal(tc.want), "%+v", p.State(sec))
		})
	}
}

// reportSheds reports n consecutive requests that server s0 shed, so late that an
// ejection lasts until the test fills the pool.
func reportSheds(p *Pool, n int) {
	for n > 0 {
		id, _ := p.Adopt(999*ms, "s0", 0, 2*sec)
		p.Release(999*ms, id, Result{Status: Shed}, nil)
		n--
	}
}

// TestLastServerDrains guards against requests that wait until their deadline
// at a pool without servers, although other regions could serve them.
func TestLastServerDrains(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 1)
	p.Enqueue(0, localRequest(1, 0, sec), nil)
	p.Enqueue(0, localRequest(2, 0, sec), nil)
	p.Enqueue(0, localRequest(3, 2, 60*sec), nil)
	acts := p.SetDraining(0, "s0", true, nil)
	g.Expect(keysOf(acts, Refuse)).To(ConsistOf(uint64(2), uint64(3)))
	g.Expect(acts[0].Outcome.Reason).To(Equal(outcome.ReasonNoServer))
	g.Expect(p.Enqueue(0, localRequest(4, 0, sec), nil)[0].Outcome.Reason).To(Equal(outcome.ReasonNoServer))
	g.Expect(p.InFlight("s0")).To(Equal(1))
}

// testGate admits up to limit concurrent requests of each origin.
type testGate struct{ limit, used map[int]int }

func (g *testGate) Acquire(_ time.Duration, origin int, _ int64) bool {
	if g.used[origin] >= g.limit[origin] {
		return false
	}
	g.used[origin]++
	return true
}

func (g *testGate) Release(_ time.Duration, origin int) { g.used[origin]-- }

// TestGate guards against a closed gate that blocks other origins, and against
// requests that are queued although the gate cannot admit them in time.
func TestGate(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 4)
	gate := &testGate{limit: map[int]int{1: 1}, used: map[int]int{}}
	p.SetGate(gate)
	from := func(key uint64, origin int) []Action {
		return p.Enqueue(0, Request{Key: key, Origin: origin, Deadline: sec}, nil)
	}
	first := from(1, 1)
	g.Expect(keysOf(first, Grant)).To(Equal([]uint64{1}))
	g.Expect(from(2, 1)).To(BeEmpty())
	g.Expect(keysOf(from(3, 0), Grant)).To(Equal([]uint64{3}))
	g.Expect(from(4, 2)).To(BeEmpty())
	g.Expect(from(5, 2)[0].Outcome.Reason).To(Equal(outcome.ReasonShiftCap))
	g.Expect(p.NextWake(0)).To(BeNumerically("<=", 10*ms))
	g.Expect(keysOf(p.Release(10*ms, first[0].Grant, Result{}, nil), Grant)).To(Equal([]uint64{2}))
	g.Expect(p.Release(10*ms, first[0].Grant, Result{}, nil)).To(BeEmpty(), "a repeated release")
	g.Expect(gate.used[1]).To(Equal(1))
	g.Expect(p.Tick(sec, nil)[0].Outcome.Reason).To(Equal(outcome.ReasonShiftCap))
}

// TestConfigureKeepsQueue guards against requests that a new revision loses or
// reorders, and against customers whose queues are exchanged when their indexes
// change.
func TestConfigureKeepsQueue(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 1)
	firstGrant := p.Enqueue(0, localRequest(1, 0, sec), nil)
	p.Enqueue(0, localRequest(2, 0, sec), nil)
	p.Enqueue(0, Request{Key: 3, Customer: 1, Deadline: sec}, nil)
	p.Enqueue(0, localRequest(4, 2, 60*sec), nil)
	params := testParams(1, 1)
	params.Ranks = params.Ranks[:2]
	params.Customers = []Customer{{"z", 1}, {"b", 9}}
	acts := p.Configure(0, params, nil)
	g.Expect(keysOf(acts, Refuse)).To(Equal([]uint64{4}))
	g.Expect(acts[0].Outcome.Reason).To(Equal(outcome.ReasonNoRank))
	g.Expect(p.InFlight("s0")).To(Equal(1))
	g.Expect(keysOf(p.Release(0, firstGrant[0].Grant, Result{}, nil), Grant)).To(Equal([]uint64{3}))
	g.Expect(p.Headroom(0)).To(HaveLen(2))
}
