package route

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// TestMain fixes the seed of the property tests, so that CI runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	modelLag      = 2 * time.Second
	settleSeconds = 30 // time until the spill has settled
)

func newTableModel(load ...float64) *model {
	return newModel(modelLag, load, func(local int, seed uint64) router { return newTableRouter(len(load), local, seed) })
}

func newNaiveModel(load ...float64) *model {
	return newModel(modelLag, load, func(local int, _ uint64) router { return newNaiveRouter(len(load), local) })
}

var modelLoads = []struct {
	desc string
	load []float64
}{
	{"one region has half too much", []float64{1.5, 0.5, 0.6}},
	{"one region has a little too much", []float64{1.1, 0.8, 0.8}},
	{"more than all regions can serve", []float64{3, 0.3, 0.3}},
	{"all regions are busy", []float64{0.9, 0.9, 0.9}},
	{"two regions have too much", []float64{1.4, 1.2, 0.2}},
}

// Guards against spill that oscillates between regions, since digests show the
// effect of a change only after their lag, and against fewer requests served in
// time than with naive routing or than 95% of those that the capacity allows.
func TestNoOscillation(t *testing.T) {
	for _, tc := range modelLoads {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			m := newTableModel(tc.load...)
			m.run(3 * time.Minute)
			for region := range tc.load {
				g.Expect(reversals(m.spillSeries(region, settleSeconds), 0.1)).To(BeZero())
			}
			capacity, offered := float64(len(tc.load)), 0.0
			for _, l := range tc.load {
				offered += l
			}
			inTime := float64(m.inTime) / float64(m.offered)
			g.Expect(inTime).To(BeNumerically(">=", 0.95*min(1, capacity/offered)))
			n := newNaiveModel(tc.load...)
			n.run(3 * time.Minute)
			g.Expect(inTime).To(BeNumerically(">=", float64(n.inTime)/float64(n.offered)))
		})
	}
}

// Guards against a test for oscillation that detects none: naive routing must
// fail it.
func TestNaiveRoutingOscillates(t *testing.T) {
	m := newNaiveModel(1.5, 0.5, 0.6)
	m.run(3 * time.Minute)
	NewWithT(t).Expect(reversals(m.spillSeries(0, settleSeconds), 0.1)).To(BeNumerically(">=", 10))
}

// Guards against a return of all spill to a recovered region in one step, and
// against spill that never returns.
func TestReturnIsRamped(t *testing.T) {
	g := NewWithT(t)
	m := newTableModel(1.6, 0.4, 0.4)
	m.run(time.Minute)
	m.load[0] = 0.5
	m.run(time.Minute)
	series := m.spillSeries(0, 1)
	g.Expect(series[55]).To(BeNumerically(">", 0.3))
	g.Expect(series[len(series)-1]).To(BeNumerically("<", 0.01))
	const noise = 0.06 // sampling noise of the share, at about 900 requests a second
	for i := 1; i < len(series); i++ {
		g.Expect(series[i-1] - series[i]).To(BeNumerically("<=", maxReturnPerSecond+noise))
		g.Expect(series[i] - series[i-1]).To(BeNumerically("<=", maxRisePerSecond+noise))
	}
}

// Guards against requests sent to a region whose digests are too old. When no
// other region has a recent digest, no request may cross a link.
func TestOldDigestsAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	m := newTableModel(1.6, 0.4, 0.4)
	m.run(time.Minute)
	m.digestsLost[1], m.digestsLost[2] = true, true
	m.run(MaxDigestAge + 2*time.Second)
	m.run(20 * time.Second)
	series := m.spillSeries(0, 1)
	g.Expect(series[len(series)-19:]).To(HaveEach(0.0))
}

// Guards against requests that are still sent to a lost local pool, against all
// of its load moving to the other regions in one step, and against spill that
// does not return after the pool has recovered.
func TestLostPoolSpillsInSteps(t *testing.T) {
	g := NewWithT(t)
	m := newTableModel(0.6, 0.4, 0.4)
	m.run(20 * time.Second)
	m.down[0] = true
	m.run(30 * time.Second)
	series := m.spillSeries(0, 1)
	g.Expect(series[len(series)-1]).To(BeNumerically(">=", 0.95))
	for i := 1; i < len(series); i++ {
		g.Expect(series[i] - series[i-1]).To(BeNumerically("<=", maxRisePerSecondLost+0.06))
	}
	m.down[0] = false
	m.run(2 * time.Minute)
	g.Expect(m.spillSeries(0, 1)[len(m.spillBySecond)-2]).To(BeNumerically("<", 0.01))
}

// newSpillingTable returns a table of three regions and its plan, which sends half
// of the requests to region 1.
func newSpillingTable(localUp bool) (*Table, *Plan) {
	p := newTableRouter(3, 0, 1)
	p.table.Observe(0, 0, time.Second, localUp, []View{{Wait: time.Second, Slots: 88}})
	p.table.Observe(1, 0, time.Second, true, []View{{Wait: 100 * time.Millisecond, Free: 44, Slots: 88}})
	p.table.loops[0].shares[1] = 0.5
	p.table.lastTick = time.Second // no time passes
	return p.table, p.table.Tick(time.Second)
}

// Guards against requests that are sent where their deadline cannot be met,
// forwarded twice, or refused with the same retry-after for all.
func TestDecide(t *testing.T) {
	for _, tc := range []struct {
		desc    string
		localUp bool
		request Request
		want    []float64 // share per region
		reason  outcome.Reason
	}{
		{"half is sent to region 1", true, Request{Remaining: time.Second}, []float64{0.5, 0.5, 0}, ""},
		{"wait, service and delay exceed the deadline", true, Request{Remaining: 259 * time.Millisecond}, []float64{1, 0, 0}, ""},
		{"wait, service and delay meet the deadline", true, Request{Remaining: 261 * time.Millisecond}, []float64{0.5, 0.5, 0}, ""},
		{"forwarded requests stay in the local region", true, Request{Remaining: time.Second, Forwarded: true}, []float64{1, 0, 0}, ""},
		{"shifted requests have shares of their own", true, Request{Remaining: time.Second, Shifted: true}, []float64{1, 0, 0}, ""},
		{"the deadline has passed", true, Request{}, []float64{0, 0, 0}, outcome.ReasonLate},
		{"the local pool is lost", false, Request{Remaining: time.Second}, []float64{0, 0.5, 0}, outcome.ReasonNoOwner},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			_, plan := newSpillingTable(tc.localUp)
			rng := rand.New(rand.NewPCG(1, 2))
			const n = 20_000
			counts := make([]float64, 3)
			least, most := time.Hour, time.Duration(0)
			for range n {
				d := plan.Decide(tc.request, rng)
				if !d.Refused() {
					counts[d.Region]++
					continue
				}
				g.Expect(d.Refusal.Kind).To(Equal(outcome.NotRun))
				g.Expect(d.Refusal.Reason).To(Equal(tc.reason))
				least, most = min(least, d.Refusal.RetryAfter), max(most, d.Refusal.RetryAfter)
			}
			for region, want := range tc.want {
				g.Expect(math.Abs(counts[region]/n - want)).To(BeNumerically("<", 0.02))
			}
			if tc.reason == outcome.ReasonNoOwner {
				g.Expect(least).To(BeNumerically("~", retryAfterNoOwner/2, retryAfterNoOwner/20))
				g.Expect(most).To(BeNumerically("~", retryAfterNoOwner*3/2, retryAfterNoOwner/20))
			}
		})
	}
}

// Guards against allocations in Decide and RecordResult, which run for each attempt.
func TestDecideDoesNotAllocate(t *testing.T) {
	table, plan := newSpillingTable(true)
	rng := rand.New(rand.NewPCG(1, 2))
	r := Request{Remaining: time.Second}
	allocs := testing.AllocsPerRun(1000, func() {
		d := plan.Decide(r, rng)
		table.RecordResult(r, d.Region, true)
	})
	NewWithT(t).Expect(allocs).To(BeZero())
}

// BenchmarkDecide measures one decision of a plan that spills.
func BenchmarkDecide(b *testing.B) {
	_, plan := newSpillingTable(true)
	rng := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		plan.Decide(Request{Remaining: time.Second}, rng)
	}
}

// Guards against negative shares and against shares that do not add up to 1, for
// any sequence of digests and results.
func TestSharesStayInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newTableRouter(3, 0, 1)
		var now time.Duration
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond
			region := rapid.IntRange(0, 2).Draw(rt, "region")
			view := View{
				Wait:  time.Duration(rapid.IntRange(0, 5000).Draw(rt, "wait")) * time.Millisecond,
				Free:  rapid.IntRange(0, 100).Draw(rt, "free"),
				Slots: rapid.IntRange(0, 100).Draw(rt, "slots"),
			}
			p.table.Observe(region, 0, now-time.Duration(rapid.IntRange(0, 6000).Draw(rt, "lag"))*time.Millisecond,
				rapid.Bool().Draw(rt, "up"), []View{view})
			for range rapid.IntRange(0, 20).Draw(rt, "requests") {
				p.table.RecordResult(Request{}, region, rapid.Bool().Draw(rt, "accepted"))
			}
			p.tick(now)
			sum := 0.0
			for _, share := range p.table.Shares(0, 0) {
				if share < 0 || math.IsNaN(share) {
					rt.Fatalf("share %g", share)
				}
				sum += share
			}
			if math.Abs(sum-1) > 1e-9 {
				rt.Fatalf("shares add up to %g", sum)
			}
		}
	})
}

// BenchmarkSpill simulates three regions with digests that lag by 2 s. It measures the
// share of requests in time and the reversals of the spill, with this package and with
// naive routing.
func BenchmarkSpill(b *testing.B) {
	for _, tc := range modelLoads {
		b.Run(tc.desc, func(b *testing.B) {
			for b.Loop() {
				m, n := newTableModel(tc.load...), newNaiveModel(tc.load...)
				m.run(3 * time.Minute)
				n.run(3 * time.Minute)
				b.ReportMetric(float64(m.inTime)/float64(m.offered), "in_time")
				b.ReportMetric(float64(n.inTime)/float64(n.offered), "naive_in_time")
				b.ReportMetric(float64(reversals(m.spillSeries(0, settleSeconds), 0.1)), "reversals")
				b.ReportMetric(float64(reversals(n.spillSeries(0, settleSeconds), 0.1)), "naive_reversals")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
