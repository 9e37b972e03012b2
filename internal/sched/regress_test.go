package sched

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRefusalGrantsFreedSlots guards against a slot that becomes free with time
// but stays idle because the next event is a refusal on arrival.
func TestRefusalGrantsFreedSlots(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 2)
	p.Reserve(0, "s0", 1, 500*ms)
	g.Expect(keysOf(p.Enqueue(0, localRequest(1, 1, 5*sec), nil), Grant)).To(Equal([]uint64{1}))
	g.Expect(p.Enqueue(0, localRequest(2, 1, 5*sec), nil)).To(BeEmpty())
	acts := p.Enqueue(600*ms, localRequest(3, 0, 600*ms), nil)
	g.Expect(keysOf(acts, Refuse)).To(Equal([]uint64{3}))
	g.Expect(keysOf(acts, Grant)).To(Equal([]uint64{2}))
}

// TestWakeAfterFreeing guards against calls that free slots but return no
// actions, after which NextWake does not ask for the tick that grants the
// slots.
func TestWakeAfterFreeing(t *testing.T) {
	for _, tc := range []struct {
		desc        string
		block, free func(p *Pool)
	}{
		{"reservation taken back",
			func(p *Pool) { p.Reserve(0, "s1", 1, sec) },
			func(p *Pool) { p.Reserve(0, "s1", 0, sec) }},
		{"healthy again",
			func(p *Pool) { p.ReportLoad(0, "s1", LoadReport{At: 0}) },
			func(p *Pool) { p.ReportLoad(0, "s1", LoadReport{Healthy: true, At: 0}) }},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := testPool(2, 1)
			tc.block(p)
			g.Expect(p.Enqueue(0, localRequest(1, 1, 5*sec), nil)).To(HaveLen(1))
			g.Expect(p.Enqueue(0, localRequest(2, 1, 5*sec), nil)).To(BeEmpty())
			tc.free(p)
			g.Expect(p.NextWake(0)).To(Equal(ms))
			g.Expect(keysOf(p.Tick(ms, nil), Grant)).To(Equal([]uint64{2}))
		})
	}
}

// TestCustomerWait guards against urgent requests that are refused in a burst
// because the grant rate of a customer with few queued requests is too
// uncertain.
func TestCustomerWait(t *testing.T) {
	for _, tc := range []struct {
		desc      string
		queued    int
		since     time.Duration
		grantRate float64
		want      time.Duration
	}{
		{"short queue", 3, 0, 1, 0},
		{"queued only lately", 19, 900 * ms, 10, 0},
		{"long queue", 19, 0, 10, 2 * sec},
		{"not served at all", 19, 0, 0, maxWait},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			r := rankQueue{Rank: Rank{Target: 250 * ms}, flows: make([]flow, 2)}
			r.flows[0] = flow{active: true, queued: tc.queued, activeSince: tc.since, grantRate: tc.grantRate}
			NewWithT(t).Expect(r.customerWait(sec, 0)).To(Equal(tc.want))
		})
	}
}

// TestWrongMeanIsCorrected guards against a service time estimate above the
// deadline that refuses every request, so that no observation ever corrects it.
func TestWrongMeanIsCorrected(t *testing.T) {
	g := NewWithT(t)
	params := testParams(1, 2)
	params.Ranks[0].InitialServiceTime = 2 * sec
	p := NewPool(0, params, rand.New(rand.NewSource(1)))
	g.Expect(keysOf(p.Enqueue(sec, localRequest(1, 0, 2*sec), nil), Refuse)).To(HaveLen(1))
	acts := p.Enqueue(9*sec, localRequest(2, 0, 10*sec), nil)
	g.Expect(keysOf(acts, Grant)).To(Equal([]uint64{2}))
	p.Release(9*sec+40*ms, acts[0].Grant, Result{}, nil)
	g.Expect(keysOf(p.Enqueue(9*sec+50*ms, localRequest(3, 0, 10*sec), nil), Grant)).To(Equal([]uint64{3}))
}

// TestReservedPoolQueues guards against a pool that refuses work as late while
// all its slots are reserved, although the work can wait for the end of the
// reservation.
func TestReservedPoolQueues(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 1)
	p.Reserve(0, "s0", 1, 500*ms)
	g.Expect(p.Enqueue(0, localRequest(1, 0, sec), nil)).To(BeEmpty())
	acts := p.Enqueue(0, localRequest(2, 0, 300*ms), nil)
	g.Expect(keysOf(acts, Refuse)).To(Equal([]uint64{2}))
	g.Expect(acts[0].Outcome.RetryAfter).To(BeNumerically("<", sec))
	g.Expect(keysOf(p.Tick(500*ms, nil), Grant)).To(Equal([]uint64{1}))
}

// TestReserveKeepsOrder guards against short work of a less urgent rank that is
// granted before a more urgent rank that its urgent reserve holds back.
func TestReserveKeepsOrder(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 4)
	first := p.Enqueue(0, localRequest(1, 0, sec), nil)
	p.ranks[1].urgentReserve, p.ranks[2].urgentReserve = 3.9, 0
	p.ranks[1].Floor, p.ranks[1].floorSlots = 0, 0
	p.ranks[2].Floor, p.ranks[2].floorSlots = 0, 0
	g.Expect(p.Enqueue(0, localRequest(2, 1, 5*sec), nil)).To(BeEmpty())
	g.Expect(p.Enqueue(0, localRequest(3, 2, 60*sec), nil)).To(BeEmpty())
	g.Expect(p.Release(ms, first[0].Grant, Result{}, nil)).To(BeEmpty())
	p.ranks[1].urgentReserve = 0
	g.Expect(keysOf(p.Tick(ms, nil), Grant)).To(Equal([]uint64{2, 3}))
}
