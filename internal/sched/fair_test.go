package sched

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestCustomerShares guards against shares that do not follow the weights, and
// against customers that gain a share by long requests or by arriving first.
func TestCustomerShares(t *testing.T) {
	for _, tc := range []struct {
		desc    string
		weights []int
		service []time.Duration
		want    []float64 // share of the slot time
	}{
		{"equal", []int{1, 1}, []time.Duration{ms, ms}, []float64{0.5, 0.5}},
		{"weighted", []int{3, 1}, []time.Duration{ms, ms}, []float64{0.75, 0.25}},
		{"large weights", []int{100, 1, 99}, []time.Duration{ms, ms, ms}, []float64{0.5, 0.005, 0.495}},
		{"one has longer requests", []int{1, 1}, []time.Duration{2 * ms, ms}, []float64{0.5, 0.5}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			params := testParams(1, 1)
			params.Ranks = []Rank{{Name: "only", Target: time.Hour, Deadline: time.Hour, InitialServiceTime: ms}}
			params.Customers = nil
			for _, w := range tc.weights {
				params.Customers = append(params.Customers, Customer{Name: string(rune('a' + len(params.Customers))), Weight: w})
			}
			p := NewPool(0, params, rand.New(rand.NewSource(1)))
			key := uint64(0)
			enqueue := func(now time.Duration, customer int) []Action {
				key++
				return p.Enqueue(now, Request{Key: key<<8 | uint64(customer), Customer: customer, Deadline: now + time.Hour}, nil)
			}
			acts := enqueue(0, 0)
			for i := 0; i < 200; i++ {
				for c := range tc.weights {
					enqueue(0, c)
				}
			}
			used, total, now := make([]time.Duration, len(tc.weights)), time.Duration(0), time.Duration(0)
			for n := 0; n < 4000; n++ {
				g.Expect(acts).To(HaveLen(1))
				c := int(acts[0].Key & 255)
				used[c] += tc.service[c]
				total += tc.service[c]
				now += tc.service[c]
				acts = p.Release(now, acts[0].Grant, Result{ServiceTime: tc.service[c]}, nil)
				enqueue(now, c)
			}
			for c, want := range tc.want {
				g.Expect(used[c].Seconds()/total.Seconds()).To(BeNumerically("~", want, 0.1*want), "customer %d", c)
			}
		})
	}
}

// TestOtherCustomersAreNotDelayed guards against one customer's flood that
// fills the queue before another customer's request, or makes it wait.
func TestOtherCustomersAreNotDelayed(t *testing.T) {
	g := NewWithT(t)
	p := testPool(4, 4)
	now, key := time.Duration(0), uint64(0)
	type end struct {
		at time.Duration
		id GrantID
	}
	var ends []end
	var sent, waited time.Duration
	asked := uint64(0)
	take := func(acts []Action) {
		for _, a := range acts {
			if a.Key == asked {
				g.Expect(a.Kind).To(Equal(Grant))
				waited, asked = max(waited, now-sent), 0
			}
			if a.Kind == Grant {
				ends = append(ends, end{now + sec, a.Grant})
			}
		}
	}
	for ; now < 60*sec; now += 10 * ms {
		for len(ends) > 0 && ends[0].at <= now {
			id := ends[0].id
			ends = ends[1:]
			take(p.Release(now, id, Result{ServiceTime: sec}, nil))
		}
		for i := 0; i < 5; i++ {
			key++
			take(p.Enqueue(now, Request{Key: key, Rank: 2, Deadline: now + 60*sec}, nil))
		}
		if now%sec == 0 {
			key++
			asked, sent = key, now
			take(p.Enqueue(now, Request{Key: key, Rank: 2, Customer: 1, Deadline: now + 60*sec}, nil))
		}
	}
	g.Expect(waited).To(BeNumerically("<", sec), "16 slots free one every 63 ms on average")
}

// TestEjection guards against an ejected server that comes back with all its
// slots before it has answered, and against ejections that do not get longer.
func TestEjection(t *testing.T) {
	g := NewWithT(t)
	p := testPool(4, 2)
	usable := func(now time.Duration) int { return p.State(now).Servers[0].Usable }
	fail := func(now time.Duration, status Status) {
		id, ok := p.Adopt(now, "s0", 0, now+sec)
		g.Expect(ok).To(BeTrue())
		p.Release(now, id, Result{Status: status}, nil)
	}
	for i := 0; i < badInARow; i++ {
		g.Expect(usable(0)).To(Equal(2))
		fail(0, Failed)
	}
	g.Expect(usable(999 * ms)).To(Equal(0))
	g.Expect(usable(sec)).To(Equal(1), "one slot until the first answer")
	fail(sec, Shed)
	g.Expect(usable(2999 * ms)).To(Equal(0))
	g.Expect(usable(3 * sec)).To(Equal(1))
	fail(3*sec, OK)
	g.Expect(usable(3 * sec)).To(Equal(2))
}

// TestWarmup guards against a new server that gets all slots at once.
func TestWarmup(t *testing.T) {
	g := NewWithT(t)
	p := testPool(1, 4)
	p.Configure(0, testParams(2, 4), nil)
	for _, want := range []struct {
		at     time.Duration
		usable int
	}{{0, 1}, {2 * sec, 1}, {3 * sec, 2}, {9 * sec, 4}, {10 * sec, 4}} {
		g.Expect(p.State(want.at).Servers[1].Usable).To(Equal(want.usable), "at %s", want.at)
		g.Expect(p.State(want.at).Servers[0].Usable).To(Equal(4))
	}
}
