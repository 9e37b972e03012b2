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

// TestMain fixes the seed of the property tests, so that CI runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestDecide guards against retries of non-idempotent work that may have run,
// retries by several layers, retries past the deadline, and retries of refusals
// that signal overload.
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
		{"not-run is retried at once", first, shed, false, time.Second, Decision{Retry: true}},
		{"the third attempt waits", Attempt{Number: 2}, shed, false, time.Second, Decision{true, 20 * time.Millisecond}},
		{"attempts are bounded", Attempt{Number: 3}, shed, false, time.Second, Decision{}},
		{"another layer retries", Attempt{Number: 1, Inherited: true}, shed, false, time.Second, Decision{}},
		{"the deadline has passed", first, shed, false, 0, Decision{}},
		{"the retry waits for retry-after", first, outcome.Refuse(outcome.ReasonNoOwner, time.Second), false, 2 * time.Second, Decision{true, time.Second}},
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

// TestHedge guards against a second run of non-idempotent work by a hedge, hedges
// by several layers or beyond the attempt limit or budget, and hedges that cannot
// answer before the deadline.
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

// excessAttempts simulates requests that all fail and returns the number of extra
// attempts beyond share*requests + burst.
func excessAttempts(rt *rapid.T, p Policy, decide func(Attempt, *Budget) bool) float64 {
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

// TestBudgetBoundsExtraAttempts guards against retries and hedges that multiply
// load when every request fails. The last lines show that a rule that ignores
// the budget is detected.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	shed := outcome.Refuse(outcome.ReasonShed, 0)
	manyAttempts := Policy{MaxAttempts: 50}
	rapid.Check(t, func(rt *rapid.T) {
		excess := excessAttempts(rt, manyAttempts, func(a Attempt, b *Budget) bool {
			if a.Number%2 == 0 {
				return manyAttempts.AllowHedge(a, true, 0, time.Second, b)
			}
			return manyAttempts.Decide(a, shed, true, time.Second, b).Retry
		})
		if excess > 1e-6 {
			rt.Fatalf("%g extra attempts beyond the budget", excess)
		}
	})
	ignoresBudget := rapid.Custom(func(rt *rapid.T) float64 {
		return excessAttempts(rt, manyAttempts, func(a Attempt, _ *Budget) bool {
			return manyAttempts.Decide(a, shed, true, time.Second, NewBudget(1, 1)).Retry
		})
	})
	NewWithT(t).Expect(ignoresBudget.Example(1)).To(BeNumerically(">", 1e-6), "the check must detect a rule that ignores the budget")
}

// TestLatencyAgainstSortedList guards against estimates that differ by more than
// 2% from the exact quantiles, and against hedging before anything was observed.
func TestLatencyAgainstSortedList(t *testing.T) {
	g := NewWithT(t)
	l := NewLatency(0.95)
	_, ok := l.HedgeDelay()
	g.Expect(ok).To(BeFalse())
	rng := rand.New(rand.NewSource(1))
	exact := make([]float64, observationsPerEstimate)
	for i := range exact {
		exact[i] = math.Exp(rng.NormFloat64()) * float64(5*time.Millisecond)
		l.Observe(time.Duration(exact[i]))
	}
	slices.Sort(exact)
	delay, ok := l.HedgeDelay()
	g.Expect(ok).To(BeTrue())
	g.Expect(float64(delay)).To(BeNumerically("~", exact[observationsPerEstimate*95/100-1], 0.02*exact[observationsPerEstimate*95/100]))
	g.Expect(float64(l.Median())).To(BeNumerically("~", exact[observationsPerEstimate/2-1], 0.02*exact[observationsPerEstimate/2]))
}
