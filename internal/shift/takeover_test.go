package shift

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var takeoverCap = []Cap{{Origin: "austur", Concurrent: 10, BytesPerSecond: 1000, GrowthPerSecond: 1000}}

func takeoverConfig(epoch uint64) GranterConfig {
	return GranterConfig{Epoch: epoch, LongestDeadline: time.Second, Caps: takeoverCap}
}

// want sends a report of a holder that asks for the whole cap.
func want(now time.Duration, s *Share) Report {
	for range 20 {
		s.Acquire(now, 0, 1000)
	}
	s.Waiting(0, 0, 20)
	return s.Report(now)
}

// Guards against a share that a new granter renews from a delayed report after
// the earlier granter gave it to another holder.
func TestDelayedReportDoesNotReviveAShare(t *testing.T) {
	g := NewWithT(t)
	first, now := NewGranter(-time.Hour, takeoverConfig(1)), time.Duration(0)
	a, b := NewShare(1, []string{"austur"}), NewShare(2, []string{"austur"})
	grant, _ := first.Grant(now, want(now, a))
	g.Expect(a.Apply(now, grant)).To(BeTrue())
	g.Expect(grant.Origins).To(Equal([]OriginGrant{{"austur", 10, 1000}}))
	now = DefaultValidity - time.Millisecond
	delayed := a.Report(now)
	now = DefaultValidity + time.Second
	grant, _ = first.Grant(now, want(now, b))
	g.Expect(b.Apply(now, grant)).To(BeTrue())
	g.Expect(grant.Origins).To(Equal([]OriginGrant{{"austur", 10, 1000}}))

	second := NewGranter(now, takeoverConfig(2))
	grant, ok := second.Grant(now, delayed)
	g.Expect(ok).To(BeTrue())
	a.Apply(now, grant)
	limit, rate := a.Limit(now, 0)
	g.Expect(limit).To(BeZero())
	g.Expect(rate).To(BeZero())
}

// Guards against a successor that interrupts the shares in use, or waits
// although its predecessor handed over its accounts.
func TestHandoverKeepsShares(t *testing.T) {
	g := NewWithT(t)
	first := NewGranter(-time.Hour, takeoverConfig(1))
	a, b := NewShare(1, []string{"austur"}), NewShare(2, []string{"austur"})
	grant, _ := first.Grant(0, want(0, a))
	a.Apply(0, grant)
	second := Resume(time.Millisecond, takeoverConfig(2), first.State(time.Millisecond))
	g.Expect(second.Learning(time.Millisecond)).To(BeFalse())
	grant, _ = second.Grant(2*time.Millisecond, want(time.Millisecond, b))
	g.Expect(grant.Origins).To(BeEmpty(), "the cap is in use")
	now := time.Second
	grant, _ = second.Grant(now, a.Report(now))
	g.Expect(a.Apply(now, grant)).To(BeTrue())
	_, ok := first.Grant(now, a.Report(now))
	g.Expect(ok).To(BeFalse(), "the predecessor sees the later epoch and stops")
	now += DefaultValidity + time.Second
	grant, _ = second.Grant(now, want(now, b))
	g.Expect(grant.Origins).NotTo(BeEmpty(), "the share of a silent holder is free at last")
}

// Guards against bulk work of one pool that takes the cap from urgent work of
// another.
func TestUrgentDemandComesFirst(t *testing.T) {
	g := NewWithT(t)
	granter := NewGranter(-time.Hour, takeoverConfig(1))
	bulk, urgent := NewShare(1, []string{"austur"}), NewShare(2, []string{"austur"})
	var now time.Duration
	for range 6 {
		for range 20 {
			bulk.AcquireRank(now, 0, 2, 1)
			if urgent.InUse(0) < 6 {
				urgent.AcquireRank(now, 0, 0, 1)
			}
		}
		for bulk.InUse(0) > 0 {
			bulk.ReleaseRank(now, 0, 2)
		}
		for _, s := range []*Share{bulk, urgent} {
			grant, _ := granter.Grant(now, s.Report(now))
			s.Apply(now, grant)
		}
		now += 500 * time.Millisecond
	}
	g.Expect(urgent.InUse(0)).To(Equal(6))
	limit, _ := bulk.Limit(now, 0)
	g.Expect(limit).To(BeNumerically("<=", 4))
}

// Guards against freed parts of a share that lie idle until the holder's next
// regular report, and against demand that the extra report forgets.
func TestConfirmFreesAtOnce(t *testing.T) {
	g := NewWithT(t)
	granter := NewGranter(-time.Hour, takeoverConfig(1))
	a, b := NewShare(1, []string{"austur"}), NewShare(2, []string{"austur"})
	grant, _ := granter.Grant(0, want(0, a))
	a.Apply(0, grant)
	now := 500 * time.Millisecond
	grant, _ = granter.Grant(now, want(now, b))
	g.Expect(b.Apply(now, grant)).To(BeTrue())
	limit, _ := b.Limit(now, 0)
	g.Expect(limit).To(BeZero(), "the share of a is in force")
	before := a.Report(now)
	grant, _ = granter.Grant(now, before)
	a.Apply(now, grant)
	g.Expect(a.Confirm(now)).To(BeTrue())
	confirm := a.Report(now + time.Millisecond)
	g.Expect(confirm.Origins[0].Want).To(Equal(before.Origins[0].Want))
	grant, _ = granter.Grant(now+time.Millisecond, confirm)
	a.Apply(now+time.Millisecond, grant)
	g.Expect(a.Confirm(now)).To(BeFalse(), "one extra report for each regular one")
	now += 2 * time.Millisecond
	grant, _ = granter.Grant(now, b.Report(now))
	g.Expect(grant.Origins[0].Concurrent).To(BeNumerically(">", 0))
}

// fastestRise returns by how much the requests in flight of an origin exceed,
// at worst, the most of 10 s that ended one second before.
func fastestRise(w *world, origin int, length time.Duration) int {
	var series []int
	worst := 0
	for w.now < length {
		w.run(w.now + worldStep)
		series = append(series, w.inFlight[origin])
		before := 0
		now := len(series) - 1
		for i := max(0, now-int((levelMemory+time.Second)/worldStep)); i <= now-int(time.Second/worldStep); i++ {
			before = max(before, series[i])
		}
		worst = max(worst, series[now]-before)
	}
	return worst
}

// Guards against caches that are filled too fast: requests in flight rise by
// the growth and one step of half a second's worth within a second, as seen
// from outside.
func TestGrowthOfRequestsInFlight(t *testing.T) {
	g := NewWithT(t)
	const origin = 1 // bounded by concurrency
	c := worldCaps[origin]
	bound := c.GrowthPerSecond * (1 + growthStep.Seconds())
	w := newWorld(rand.New(rand.NewSource(1)), 0, 1)
	g.Expect(float64(fastestRise(w, origin, 30*time.Second))).To(BeNumerically("<=", bound))
	g.Expect(w.inFlight[origin]).To(BeNumerically(">", bound), "the check needs a rise")
	broken := newWorld(rand.New(rand.NewSource(1)), 0, 1)
	broken.wrapG = func(g *Granter) granterPort { return ignoresGrowth{g} }
	g.Expect(float64(fastestRise(broken, origin, 30*time.Second))).To(BeNumerically(">", bound))
}
