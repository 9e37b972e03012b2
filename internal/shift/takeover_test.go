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

// reportFullDemand returns the report of a holder whose demand is the whole cap.
func reportFullDemand(now time.Duration, s *Share) Report {
	for range 20 {
		s.Acquire(now, 0, 1000)
	}
	s.SetWaiting(0, 0, 20)
	return s.Report(now)
}

// Guards against a share that is in use twice: a new granter renews it from a
// delayed report although it had expired and the earlier granter had granted it
// to another holder.
func TestDelayedReportDoesNotRestoreShare(t *testing.T) {
	g := NewWithT(t)
	first, now := NewGranter(-time.Hour, takeoverConfig(1)), time.Duration(0)
	a, b := NewShare(1, []string{"austur"}), NewShare(2, []string{"austur"})
	grant, _ := first.Grant(now, reportFullDemand(now, a))
	g.Expect(a.Apply(now, grant)).To(BeTrue())
	g.Expect(grant.Origins).To(Equal([]OriginGrant{{"austur", 10, 1000}}))
	now = DefaultValidity - time.Millisecond
	delayed := a.Report(now)
	now = DefaultValidity + time.Second
	grant, _ = first.Grant(now, reportFullDemand(now, b))
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

// Guards against a successor that, although it resumes from its predecessor's
// state, interrupts the shares in use or waits for them to expire.
func TestHandoverKeepsShares(t *testing.T) {
	g := NewWithT(t)
	first := NewGranter(-time.Hour, takeoverConfig(1))
	a, b := NewShare(1, []string{"austur"}), NewShare(2, []string{"austur"})
	grant, _ := first.Grant(0, reportFullDemand(0, a))
	a.Apply(0, grant)
	second := Resume(time.Millisecond, takeoverConfig(2), first.State(time.Millisecond))
	g.Expect(second.Rebuilding(time.Millisecond)).To(BeFalse())
	grant, _ = second.Grant(2*time.Millisecond, reportFullDemand(time.Millisecond, b))
	g.Expect(grant.Origins).To(BeEmpty(), "the cap is in use")
	now := time.Second
	grant, _ = second.Grant(now, a.Report(now))
	g.Expect(a.Apply(now, grant)).To(BeTrue())
	_, ok := first.Grant(now, a.Report(now))
	g.Expect(ok).To(BeFalse(), "the predecessor sees the later epoch and stops")
	now += DefaultValidity + time.Second
	grant, _ = second.Grant(now, reportFullDemand(now, b))
	g.Expect(grant.Origins).NotTo(BeEmpty(), "the share of an unresponsive holder has expired")
}

// Guards against bulk demand of one pool that displaces urgent demand of another
// when the cap is divided.
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

// Guards against freed concurrency that other holders cannot get before the next
// regular report, and against an extra report that resets the demand.
func TestFreedShareIsReportedAtOnce(t *testing.T) {
	g := NewWithT(t)
	granter := NewGranter(-time.Hour, takeoverConfig(1))
	a, b := NewShare(1, []string{"austur"}), NewShare(2, []string{"austur"})
	grant, _ := granter.Grant(0, reportFullDemand(0, a))
	a.Apply(0, grant)
	now := 500 * time.Millisecond
	grant, _ = granter.Grant(now, reportFullDemand(now, b))
	g.Expect(b.Apply(now, grant)).To(BeTrue())
	limit, _ := b.Limit(now, 0)
	g.Expect(limit).To(BeZero(), "the share of a is in force")
	before := a.Report(now)
	grant, _ = granter.Grant(now, before)
	a.Apply(now, grant)
	g.Expect(a.ReportDue(now)).To(BeTrue())
	confirm := a.Report(now + time.Millisecond)
	g.Expect(confirm.Origins[0].Demand).To(Equal(before.Origins[0].Demand))
	grant, _ = granter.Grant(now+time.Millisecond, confirm)
	a.Apply(now+time.Millisecond, grant)
	g.Expect(a.ReportDue(now)).To(BeFalse(), "one extra report for each regular one")
	now += 2 * time.Millisecond
	grant, _ = granter.Grant(now, b.Report(now))
	g.Expect(grant.Origins[0].Concurrent).To(BeNumerically(">", 0))
}

// fastestRise returns the largest difference between the requests in flight of
// an origin and their maximum over the peakWindow that ended one second before.
func fastestRise(w *simulation, origin int, length time.Duration) int {
	var series []int
	worst := 0
	for w.now < length {
		w.run(w.now + simStep)
		series = append(series, w.inFlight[origin])
		before := 0
		now := len(series) - 1
		for i := max(0, now-int((peakWindow+time.Second)/simStep)); i <= now-int(time.Second/simStep); i++ {
			before = max(before, series[i])
		}
		worst = max(worst, series[now]-before)
	}
	return worst
}

// Guards against load that rises faster than backend servers can fill their
// caches: within one second, requests in flight rise by no more than the growth of
// one second and one growthBurst. The test counts them without the granter.
func TestGrowthIsBounded(t *testing.T) {
	g := NewWithT(t)
	const origin = 1 // bounded by concurrency
	c := simCaps[origin]
	bound := c.GrowthPerSecond * (1 + growthBurst.Seconds())
	w := newSimulation(rand.New(rand.NewSource(1)), 0, 1)
	g.Expect(float64(fastestRise(w, origin, 30*time.Second))).To(BeNumerically("<=", bound))
	g.Expect(w.inFlight[origin]).To(BeNumerically(">", bound), "the check needs a rise")
	broken := newSimulation(rand.New(rand.NewSource(1)), 0, 1)
	broken.wrapGranter = func(g *Granter) granterPort { return ignoresGrowth{g} }
	g.Expect(float64(fastestRise(broken, origin, 30*time.Second))).To(BeNumerically(">", bound))
}
