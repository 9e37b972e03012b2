package retry

import (
	"flag"
	"math"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// TestMain fixes the seed of property tests, so that CI gives the same verdict
// every time.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against retries of work that may have run, across layers, past the
// deadline, and of refusals that tell of too much load.
func TestDecide(t *testing.T) {
	shed := outcome.Refuse(outcome.ReasonShed, 0)
	broken := outcome.Uncertain(outcome.ReasonBroken)
	first := Attempt{Number: 1}
	for _, tc := range []struct {
		desc       string
		attempt    Attempt
		result     outcome.Outcome
		idempotent bool
		left       time.Duration
		want       Decision
	}{
		{"not-run is retried at once elsewhere", first, shed, false, time.Second, Decision{Retry: true}},
		{"the third attempt waits", Attempt{Number: 2}, shed, false, time.Second, Decision{true, 20 * time.Millisecond}},
		{"attempts are bounded", Attempt{Number: 3}, shed, false, time.Second, Decision{}},
		{"another layer retries", Attempt{Number: 1, Inherited: true}, shed, false, time.Second, Decision{}},
		{"the deadline has passed", first, shed, false, 0, Decision{}},
		{"retry-after is kept", first, outcome.Refuse(outcome.ReasonNoOwner, time.Second), false, 2 * time.Second, Decision{true, time.Second}},
		{"retry-after exceeds the deadline", first, outcome.Refuse(outcome.ReasonNoOwner, time.Second), false, time.Second, Decision{}},
		{"unknown is not retried", first, broken, false, time.Second, Decision{}},
		{"unknown idempotent work is retried", first, broken, true, time.Second, Decision{Retry: true}},
		{"a full queue is not retried", first, outcome.Refuse(outcome.ReasonQueueFull, 0), true, time.Second, Decision{}},
		{"a cap is not retried", first, outcome.Refuse(outcome.ReasonShiftCap, 0), true, time.Second, Decision{}},
		{"success is not retried", first, outcome.Success(), true, time.Second, Decision{}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			got := DefaultPolicy.Decide(tc.attempt, tc.result, tc.idempotent, tc.left, NewBudget(0.1, 10))
			NewWithT(t).Expect(got).To(Equal(tc.want))
		})
	}
}

// Guards against a second run of non-idempotent work by a hedge and against
// hedges that cannot answer in time.
func TestHedge(t *testing.T) {
	g := NewWithT(t)
	hedge := func(a Attempt, idempotent bool, left time.Duration, b *Budget) bool {
		return DefaultPolicy.AllowHedge(a, idempotent, time.Millisecond, left, b)
	}
	g.Expect(hedge(Attempt{Number: 1}, true, time.Second, NewBudget(0.1, 1))).To(BeTrue())
	g.Expect(hedge(Attempt{Number: 1}, false, time.Second, NewBudget(0.1, 1))).To(BeFalse())
	g.Expect(hedge(Attempt{Number: 1, Inherited: true}, true, time.Second, NewBudget(0.1, 1))).To(BeFalse())
	g.Expect(hedge(Attempt{Number: 3}, true, time.Second, NewBudget(0.1, 1))).To(BeFalse())
	g.Expect(hedge(Attempt{Number: 1}, true, time.Millisecond, NewBudget(0.1, 1))).To(BeFalse())
	g.Expect(hedge(Attempt{Number: 1}, true, time.Second, NewBudget(0.1, 0))).To(BeFalse())
}

// storm sends requests of which all fail and returns the extra attempts in
// excess of share*requests + burst.
func storm(rt *rapid.T, p Policy, decide func(Attempt, *Budget) bool) float64 {
	share, burst := rapid.Float64Range(0, 0.5).Draw(rt, "share"), rapid.Float64Range(0, 20).Draw(rt, "burst")
	b := NewBudget(share, burst)
	requests, extra := rapid.IntRange(1, 300).Draw(rt, "requests"), 0
	for range requests {
		b.CountRequest()
		for n := 1; n < 50 && decide(Attempt{Number: n}, b); n++ {
			extra++
		}
	}
	return float64(extra) - share*float64(requests) - burst
}

// Guards against retries that multiply load when every request fails.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	shed := outcome.Refuse(outcome.ReasonShed, 0)
	patient := Policy{MaxAttempts: 50}
	rapid.Check(t, func(rt *rapid.T) {
		excess := storm(rt, patient, func(a Attempt, b *Budget) bool {
			if a.Number%2 == 0 {
				return patient.AllowHedge(a, true, 0, time.Second, b)
			}
			return patient.Decide(a, shed, true, time.Second, b).Retry
		})
		if excess > 1e-6 {
			rt.Fatalf("%g extra attempts beyond the budget", excess)
		}
	})
	ignoresBudget := rapid.Custom(func(rt *rapid.T) float64 {
		return storm(rt, patient, func(a Attempt, _ *Budget) bool {
			return patient.Decide(a, shed, true, time.Second, NewBudget(1, 1)).Retry
		})
	})
	NewWithT(t).Expect(ignoresBudget.Example(1)).To(BeNumerically(">", 1e-6), "the check must trip on a broken rule")
}

// Guards against an estimate that strays from the exact quantile, and against
// hedging before anything was observed.
func TestLatencyAgainstSortedList(t *testing.T) {
	g := NewWithT(t)
	l := NewLatency(0.95)
	_, ok := l.HedgeDelay()
	g.Expect(ok).To(BeFalse())
	rng := rand.New(rand.NewSource(1))
	exact := make([]float64, latencyBlock)
	for i := range exact {
		exact[i] = math.Exp(rng.NormFloat64()) * float64(5*time.Millisecond)
		l.Observe(time.Duration(exact[i]))
	}
	slices.Sort(exact)
	delay, ok := l.HedgeDelay()
	g.Expect(ok).To(BeTrue())
	g.Expect(float64(delay)).To(BeNumerically("~", exact[latencyBlock*95/100-1], 0.02*exact[latencyBlock*95/100]))
	g.Expect(float64(l.Median())).To(BeNumerically("~", exact[latencyBlock/2-1], 0.02*exact[latencyBlock/2]))
}
