package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestHedgeDelayIsLearned guards against hedges that are sent too early, so that they use
// up the retry budget, or too late, so that a request which takes seven times its time is
// not helped. Load: 200 requests of one class at a server that reports 100 percent.
func TestHedgeDelayIsLearned(t *testing.T) {
	steady := func(int) time.Duration { return 200 * ms }
	for _, c := range []struct {
		desc    string
		percent int
		elapsed func(i int) time.Duration
		least   float64 // of the delay relative to the expected time; 0: none is given
		most    float64
	}{
		{"steady", 100, steady, minHedgeFactor, minHedgeFactor},
		{"3 of 100 take seven times as long", 100, func(i int) time.Duration {
			if i%33 == 0 {
				return 1400 * ms
			}
			return 200 * ms
		}, minHedgeFactor, minHedgeFactor},
		{"uniform from 100 to 300 ms", 100, func(i int) time.Duration { return 100*ms + time.Duration(i*37%200)*ms }, 1.3, 1.6},
		{"one in five takes ten times as long", 100, func(i int) time.Duration {
			if i%5 == 0 {
				return 2 * time.Second
			}
			return 200 * ms
		}, maxHedgeFactor, maxHedgeFactor},
		{"no percentage", 0, steady, 0, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pool("r", backend("a", "r"))
			now := time.Duration(0)
			for i := range 200 {
				observeAt(p, "a", now, c.elapsed(i), c.percent)
				now += c.elapsed(i)
			}
			d := p.Acquire(now, request(now, ""))
			factor := float64(d.HedgeDelay-defaultLocalRoundTrip) / float64(d.Wait+d.Service)
			if c.least == 0 {
				g.Expect(d.HedgeDelay).To(BeZero())
				return
			}
			g.Expect(factor).To(BeNumerically(">=", c.least-1e-6))
			g.Expect(factor).To(BeNumerically("<=", c.most+1e-6))
			r := request(now, "")
			r.NoHedge = true
			g.Expect(p.Acquire(now, r).HedgeDelay).To(BeZero())
		})
	}
}

// TestHedgesKeepTheTail guards against a delay that falls from hedge to hedge, because
// the first attempts that hedges replace are missing from the samples. Load: a tenth of
// the requests takes ten times its time, and each hedge wins.
func TestHedgesKeepTheTail(t *testing.T) {
	g := NewWithT(t)
	h := &hedgeState{}
	for i := range 2000 {
		ratio, limit := 0.5+float64(i*37%100)/100, maxHedgeFactor
		if i%10 == 0 {
			ratio = 10
		}
		if h.factor > 0 {
			limit = h.factor
		}
		if ratio > limit {
			h.record(limit+0.1, true)
		} else {
			h.record(ratio, false)
		}
		h.record(0.1, true) // a hedge that lost
	}
	// With the tail left out, the factor would be about 1.4 and below.
	g.Expect(h.factor).To(BeNumerically(">", 1.45))
}
