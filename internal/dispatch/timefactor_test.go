package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// observeAt sends a request at a time to the server and ends it with a report of its
// percentage, 0 for none.
func observeAt(p *Pool, id string, at, elapsed time.Duration, percent int) {
	s := p.servers[id]
	s.tried = true
	est := p.estimate(at, request(at, ""), p.class("c", objective), s, "", 0)
	d := p.grant(at, request(at, ""), s, est)
	p.Release(at+elapsed, d.Grant, Report{Result: Served, Elapsed: elapsed + defaultLocalRoundTrip, Load: &Load{Slots: 4, Percent: percent}})
}

// serviceAt returns the service time expected at a server.
func serviceAt(p *Pool, id string, at time.Duration) time.Duration {
	return p.estimate(at, request(at, ""), p.class("c", 0), p.servers[id], "", 0).service
}

// TestReportedTime guards against a reported percentage that is not used, that misleads
// after it is old, or that excludes or favors a server without bound.
func TestReportedTime(t *testing.T) {
	for _, c := range []struct {
		desc    string
		percent int
		age     time.Duration
		least   float64 // of the expected service time, relative to that without a report
		most    float64
	}{
		{"none", 0, 0, 1, 1},
		{"slow, new", 300, 0, 2.9, 3},
		{"slow, half a second old", 300, 500 * ms, 1.6, 1.8},
		{"slow, three seconds old", 300, 3 * time.Second, 1, 1.05},
		{"very slow", 10_000, 0, maxTimeFactor, maxTimeFactor},
		{"fast", 10, 0, minTimeFactor, minTimeFactor},
		{"fast, two seconds old", 10, 2 * time.Second, 0.99, 1},
		{"absurd", 10_001, 0, 1, 1},
		{"negative", -100, 0, 1, 1},
		{"greatest integer", math.MaxInt, 0, 1, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pool("r", backend("a", "r"), backend("b", "r"))
			observeAt(p, "b", 0, 200*ms, 0)
			d := p.Acquire(time.Second, request(time.Second, ""))
			// A refusal tells the load as well, and is no service time.
			p.Release(time.Second, d.Grant, Report{Result: Shed, Load: &Load{Slots: 4, Percent: c.percent}})
			now := time.Second + c.age
			ratio := float64(serviceAt(p, d.Server, now)) / float64(200*ms)
			g.Expect(ratio).To(BeNumerically(">=", c.least-1e-6))
			g.Expect(ratio).To(BeNumerically("<=", c.most+1e-6))
		})
	}
}

// TestReportedTimeCountsOnce guards against a slow server whose time is counted both by
// its report and by its slowness or the average of the class. Load: a server that takes
// and reports three times its time, next to one at 100 percent.
func TestReportedTimeCountsOnce(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backend("slow", "r"), backend("usual", "r"))
	class := p.class("c", objective)
	class.missAverage, class.missObserved = 600*ms, true // slowness needs both
	now := time.Duration(0)
	for range 100 {
		observeAt(p, "usual", now, 200*ms, 100)
		observeAt(p, "slow", now, 600*ms, 300)
		now += 600 * ms
	}
	g.Expect(class.hitTime()).To(BeNumerically("~", 200*ms, 10*ms))
	g.Expect(p.servers["slow"].slowness).To(BeNumerically("~", 1, 0.1))
	g.Expect(serviceAt(p, "slow", now)).To(BeNumerically("~", 600*ms, 60*ms))
	g.Expect(serviceAt(p, "usual", now)).To(BeNumerically("~", 200*ms, 20*ms))
}

// TestWrongReport guards against a server that keeps reporting a short time but takes
// its usual one: the report must not attract requests for good.
func TestWrongReport(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backend("wrong", "r"), backend("usual", "r"))
	class := p.class("c", objective)
	class.missAverage, class.missObserved = 600*ms, true
	now := time.Duration(0)
	for range 200 {
		observeAt(p, "usual", now, 200*ms, 100)
		observeAt(p, "wrong", now, 200*ms, 10)
		now += 200 * ms
	}
	g.Expect(serviceAt(p, "wrong", now)).To(BeNumerically("~", 200*ms, 20*ms))
}

// TestTailChangesNoEstimate guards against single requests that take far longer than
// others and make their server look slow. Load: 3 of 100 requests take seven times their
// time, at a server that reports 100 percent.
func TestTailChangesNoEstimate(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backend("a", "r"))
	class := p.class("c", objective)
	class.missAverage, class.missObserved = 600*ms, true
	now := time.Duration(0)
	for i := range 400 {
		elapsed := 200 * ms
		if i%33 == 16 {
			elapsed *= 7
		}
		observeAt(p, "a", now, elapsed, 100)
		now += elapsed
		g.Expect(serviceAt(p, "a", now)).To(BeNumerically("<", 320*ms), "after request %d", i)
	}
}

// TestServerThatLooksIdle guards against all hosts sending their requests to the one
// server that looks idle. Load: 100 requests at once at 80 servers of four slots, of
// which one reports no request and 10 percent and the others one request and 100 percent.
func TestServerThatLooksIdle(t *testing.T) {
	for _, noHedge := range []bool{false, true} {
		t.Run(fmt.Sprint("no hedge ", noHedge), func(t *testing.T) {
			g := NewWithT(t)
			p := pool("r", backends(80)...)
			for _, s := range p.list {
				observeAt(p, s.id, 0, 200*ms, 100)
			}
			now := time.Second
			for _, s := range p.list {
				s.reportedLoad, s.reportedAt, s.reportedFactor = 1, now, timeFactor{factor: 1, at: now}
				if s.id == "b7" {
					s.reportedLoad, s.reportedFactor.factor = 0, minTimeFactor
				}
			}
			count := map[string]int{}
			for range 100 {
				r := request(now, "")
				r.NoHedge = noHedge
				count[p.Acquire(now, r).Server]++
			}
			g.Expect(count["b7"]).To(BeNumerically(">", 0))
			for id, n := range count {
				g.Expect(n).To(BeNumerically("<=", 5), id) // its slots, and one that waits
			}
			g.Expect(len(count)).To(BeNumerically(">=", 20))
		})
	}
}

// TestUnhedgedRequestsAvoidSlowServers guards against requests that cannot be hedged and
// are chosen a server for as carelessly as others: a server that was used lately but is
// fast comes before an idle one that is slower. Without reports nothing changes.
func TestUnhedgedRequestsAvoidSlowServers(t *testing.T) {
	for _, c := range []struct {
		desc    string
		percent int
		noHedge bool
		want    string
	}{
		{"can be hedged", 140, false, "idle"},
		{"cannot be hedged", 140, true, "fast"},
		{"cannot be hedged, no reports", 0, true, "idle"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			p := pool("r", backend("fast", "r"), backend("idle", "r"))
			p.servers["fast"].tried, p.servers["idle"].tried = true, true
			observeAt(p, "fast", 0, 200*ms, min(c.percent, 100))
			observeAt(p, "idle", 0, 200*ms*time.Duration(max(c.percent, 100))/100, c.percent)
			now := 280 * ms
			if c.percent > 0 {
				p.servers["idle"].reportedFactor = timeFactor{factor: float64(c.percent) / 100, at: now}
			}
			p.servers["fast"].lastUtilization, p.servers["fast"].lastUtilizationAt = 1, now
			p.servers["idle"].lastUtilization, p.servers["idle"].lastUtilizationAt = 0, now
			r := request(now, "")
			r.NoHedge = c.noHedge
			NewWithT(t).Expect(p.Acquire(now, r).Server).To(Equal(c.want))
		})
	}
}
