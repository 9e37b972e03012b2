package sched

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRefusalGrantsFreedSlots guards against a slot that time has freed and
// that stays idle because the next event is a refusal on arrival.
func TestRefusalGrantsFreedSlots(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 2)
	p.Reserve(0, "s0", 1, 500*ms)
	g.Expect(keysOf(p.Enqueue(0, local(1, 1, 5*sec), nil), Grant)).To(Equal([]uint64{1}))
	g.Expect(p.Enqueue(0, local(2, 1, 5*sec), nil)).To(BeEmpty())
	acts := p.Enqueue(600*ms, local(3, 0, 600*ms), nil)
	g.Expect(keysOf(acts, Refuse)).To(Equal([]uint64{3}))
	g.Expect(keysOf(acts, Grant)).To(Equal([]uint64{2}))
}

// TestWakeAfterFreeing guards against calls that free slots without actions
// and without a sign that a tick would grant them.
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
			g.Expect(p.Enqueue(0, local(1, 1, 5*sec), nil)).To(HaveLen(1))
			g.Expect(p.Enqueue(0, local(2, 1, 5*sec), nil)).To(BeEmpty())
			tc.free(p)
			g.Expect(p.NextWake(0)).To(Equal(ms))
			g.Expect(keysOf(p.Tick(ms, nil), Grant)).To(Equal([]uint64{2}))
		})
	}
}

// TestCustomerWait guards against urgent requests that are refused in a burst
// by the uncertain rate of a customer with few queued requests.
func TestCustomerWait(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		queued int
		since  time.Duration
		rate   float64
		want   time.Duration
	}{
		{"short queue", 3, 0, 1, 0},
		{"queued only lately", 19, 900 * ms, 10, 0},
		{"long queue", 19, 0, 10, 2 * sec},
		{"not served at all", 19, 0, 0, longestRetry},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			r := rankQueue{Rank: Rank{Target: 250 * ms}, flows: make([]flow, 2)}
			r.flows[0] = flow{active: true, queued: tc.queued, activeSince: tc.since, rate: tc.rate}
			NewWithT(t).Expect(r.customerWait(sec, 0)).To(Equal(tc.want))
		})
	}
}

// TestWrongMeanIsCorrected guards against a service time estimate above the
// deadline that refuses every request, so that nothing corrects it.
func TestWrongMeanIsCorrected(t *testing.T) {
	g := NewWithT(t)
	params := testParams(1, 2)
	params.Ranks[0].InitialServiceTime = 2 * sec
	p := NewPool(0, params, rand.New(rand.NewSource(1)))
	g.Expect(keysOf(p.Enqueue(sec, local(1, 0, 2*sec), nil), Refuse)).To(HaveLen(1))
	acts := p.Enqueue(9*sec, local(2, 0, 10*sec), nil)
	g.Expect(keysOf(acts, Grant)).To(Equal([]uint64{2}))
	p.Release(9*sec+40*ms, acts[0].Grant, Result{}, nil)
	g.Expect(keysOf(p.Enqueue(9*sec+50*ms, local(3, 0, 10*sec), nil), Grant)).To(Equal([]uint64{3}))
}

// TestReservedPoolQueues guards against a pool that refuses work as late while
// all its slots are reserved for a time that the work can wait.
func TestReservedPoolQueues(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 1)
	p.Reserve(0, "s0", 1, 500*ms)
	g.Expect(p.Enqueue(0, local(1, 0, sec), nil)).To(BeEmpty())
	acts := p.Enqueue(0, local(2, 0, 300*ms), nil)
	g.Expect(keysOf(acts, Refuse)).To(Equal([]uint64{2}))
	g.Expect(acts[0].Outcome.RetryAfter).To(BeNumerically("<", sec))
	g.Expect(keysOf(p.Tick(500*ms, nil), Grant)).To(Equal([]uint64{1}))
}

// TestReserveKeepsOrder guards against short work of a less urgent rank that
// passes a more urgent rank while a reserve holds that one back.
func TestReserveKeepsOrder(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 4)
	first := p.Enqueue(0, local(1, 0, sec), nil)
	p.ranks[1].reserve, p.ranks[2].reserve = 3.9, 0
	p.ranks[1].Floor, p.ranks[1].floorSlots = 0, 0
	p.ranks[2].Floor, p.ranks[2].floorSlots = 0, 0
	g.Expect(p.Enqueue(0, local(2, 1, 5*sec), nil)).To(BeEmpty())
	g.Expect(p.Enqueue(0, local(3, 2, 60*sec), nil)).To(BeEmpty())
	g.Expect(p.Release(ms, first[0].Grant, Result{}, nil)).To(BeEmpty())
	p.ranks[1].reserve = 0
	g.Expect(keysOf(p.Tick(ms, nil), Grant)).To(Equal([]uint64{2, 3}))
}
