package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestStartLevels guards against start levels that leave a small workspace too little for
// bursts, or take the only token of a region.
func TestStartLevels(t *testing.T) {
	slack10 := Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 10}
	for _, c := range []struct {
		desc    string
		bounds  Bounds
		limit   Limit
		regions int
		want    float64
	}{
		{"a token and the rate of 0.1 s", testBounds, Limit{3, 3}, 3, 1.1},
		{"half of what the surplus exceeds minBurstSurplus", testBounds, Limit{100, 100}, 3, 2.833},
		{"safe shares have 0.8 of the surplus", testBounds, Limit{300, 300}, 3, 0},
		{"small slack", slack10, Limit{8, 8}, 3, 0},
		{"some regions have no cap", testBounds, Limit{5, 5}, 35, 0},
		{"a cap of 1 remains", testBounds, Limit{3, 0}, 19, 0.0526},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			level := c.bounds.startLevel(c.limit, c.regions)
			g.Expect(level).To(BeNumerically("~", c.want, 0.001))
			g.Expect(c.bounds.regionCap(c.limit, c.regions, 0)).To(BeNumerically(">=", 1))
			i := NewIssuer(IssuerOptions{Bounds: c.bounds, Regions: c.regions, StartLevel: true})
			i.SetLimits(time.Hour, map[string]Limit{"w": c.limit})
			g.Expect(i.workspaces["w"].level).To(BeNumerically("~", level, 1e-9))
			i.SetLimits(time.Hour, map[string]Limit{"w": c.limit, "later": c.limit})
			g.Expect(i.workspaces["later"].level).To(BeZero(), "not among the first limits")
		})
	}
}

// TestStartsApart guards against two starts with a start level that are W apart, but not
// W + t: both count in a window that begins t after the first one, because tokens that were
// lent until then are used in it.
func TestStartsApart(t *testing.T) {
	l := Limit{30, 30}
	for _, c := range []struct {
		desc  string
		apart time.Duration
		holds bool
	}{
		{"W apart", time.Duration(settleMargin * float64(testBounds.Window)), false},
		{"the settle time apart", testBounds.SettleTime(), true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			spent := attemptsAroundStarts(l, time.Duration(float64(c.apart)/(1+maxClockError)))
			t.Logf("%d attempts of %v", spent, testBounds.Max(l))
			NewWithT(t).Expect(float64(spent) <= testBounds.Max(l)).To(Equal(c.holds))
		})
	}
}

// attemptsAroundStarts returns the greatest number of attempts in a window if the issuers of
// three regions lend their full levels and restart, hosts use no token until the first ones
// expire, and the issuers restart again a time after the first restart. Clocks are fast by
// maxClockError, and issuers have a start level each time.
func attemptsAroundStarts(l Limit, apart time.Duration) int {
	issuers := make([]*Issuer, 3)
	clock := func(at time.Duration) time.Duration {
		return time.Hour + time.Duration((1+maxClockError)*float64(at))
	}
	start := func(at, from time.Duration) {
		for k := range issuers {
			issuers[k] = NewIssuer(IssuerOptions{Bounds: testBounds, Regions: 3, Index: k, MintFrom: from, StartLevel: true})
			issuers[k].SetLimits(clock(at), map[string]Limit{"w": l})
		}
	}
	lend := func(at time.Duration, report bool) int {
		n := 0
		for _, i := range issuers {
			for _, loan := range i.Lend(clock(at), LendRequest{Wants: []Want{{Workspace: "w", Tokens: 100, Urgent: 100}}}).Loans {
				n += loan.Tokens
				if report {
					i.workspaces["w"].settle(clock(at), []Use{{Loan: loan.ID, Spent: loan.Tokens}})
				}
			}
		}
		return n
	}
	start(0, clock(-time.Minute))
	spent := lend(0, false)
	start(time.Millisecond, clock(time.Millisecond))
	begin := holderTime(testBounds.Validity(l)) // by a host's clock of the exact rate
	second := time.Millisecond + apart
	for at := time.Millisecond; at <= begin+testBounds.Window; at += time.Millisecond {
		if at >= second && at < second+time.Millisecond {
			start(at, clock(at))
		}
		spent += lend(at, at >= begin)
	}
	return spent
}

// startScript lets issuers restart, some of them at once, and has bursts of demand between
// calm times, so that levels are full when a burst begins.
func startScript(seed uint64, b Bounds, l Limit, pause time.Duration, broken fault) *sim {
	s := newSimWith(seed, 9, b, map[string]Limit{"w": l}, broken)
	for _, h := range s.hosts {
		h.clockRate = 1 + maxClockError*(2*s.rng.Float64()-1)
	}
	// Levels are full after 8 s in most cases, and a burst fills a window.
	cycle := 8*time.Second + b.Window
	end := 3 * cycle
	calm := func() bool { return s.now%cycle < 8*time.Second }
	var restart func()
	restart = func() {
		region, down := s.rng.IntN(4), time.Duration(s.rng.Int64N(int64(50*time.Millisecond)))
		for _, h := range s.hosts {
			if h.rank == 0 && h.proc != nil && (region == 3 || h.region == simRegions[region]) && (!calm() || s.rng.IntN(5) == 0) {
				h.kill(down)
			}
		}
		s.after(time.Duration(s.rng.ExpFloat64()*float64(pause)), restart)
	}
	s.after(b.Window, restart)
	if s.rng.IntN(3) == 0 {
		s.at(time.Duration(s.rng.Int64N(int64(end))), func() {
			old := s.store.copy()
			s.after(2*time.Second, func() { s.store.restore(old, s.now) })
		})
	}
	s.load("w", end, func() (float64, *simHost) {
		if calm() {
			return 100, nil
		}
		return 30 * l.RatePerSecond, s.alive(func(h *simHost) bool { return h.rank > 0 })
	})
	s.runUntil(end)
	return s
}

// TestStartLevelsInAnyWindow guards against more attempts than the limit around restarts of
// issuers, for workspaces to which a few tokens matter.
func TestStartLevelsInAnyWindow(t *testing.T) {
	starts, worst := 0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			Window:  time.Duration(rapid.Float64Range(1, 25).Draw(t, "window") * float64(time.Second)),
			Overage: rapid.Float64Range(0, 0.1).Draw(t, "overage"), Slack: rapid.Float64Range(16, 24).Draw(t, "slack"),
		}
		rate := rapid.Float64Range(0.5, 4).Draw(t, "rate")
		pause := time.Duration(rapid.Float64Range(0.5, 3).Draw(t, "pause") * float64(time.Second))
		s := startScript(rapid.Uint64().Draw(t, "seed"), b, Limit{rate, rate}, pause, noFault)
		starts += s.startLevels
		worst = max(worst, s.checkers["w"].worst())
		if v := s.violation(); v != "" {
			t.Fatal(v)
		}
	})
	t.Logf("%d starts with a start level, worst window %.3f", starts, worst)
	NewWithT(t).Expect(starts).To(BeNumerically(">", 50))
}

// TestSmallWorkspacesAfterRestart guards against workspaces of a few requests per second that
// get nothing in the first second after all hosts have restarted.
func TestSmallWorkspacesAfterRestart(t *testing.T) {
	for _, c := range []struct {
		rate, least float64
	}{{3, 0.7}, {10, 0.75}, {100, 0.8}, {300, 0.8}} {
		t.Run(fmt.Sprint(c.rate, " requests per second"), func(t *testing.T) {
			before, after := servedAfterRestart(c.rate, noStartLevel), servedAfterRestart(c.rate, noFault)
			t.Logf("served in 0.5 s and 1 s without start levels %.3f, with them %.3f", before, after)
			NewWithT(t).Expect(after[1]).To(BeNumerically(">=", c.least))
		})
	}
}

// servedAfterRestart returns the served parts of the demand in the first 0.5 s and the first
// second after all hosts have restarted.
func servedAfterRestart(rate float64, f fault) (part [2]float64) {
	limits := map[string]Limit{}
	for k := range 5 {
		limits[fmt.Sprint("w", k)] = Limit{rate, rate}
	}
	var served, asked [2]int
	for seed := range uint64(20) {
		s := newSimWith(seed, loadHosts, testBounds, limits, f)
		s.runUntil(loadWarmUp)
		for _, h := range s.hosts {
			h.kill(2 * time.Second)
		}
		began := loadWarmUp + 2*time.Second
		for _, name := range slices.Sorted(maps.Keys(limits)) {
			s.load(name, began+time.Second, func() (float64, *simHost) { return 0.9 * rate, s.alive(anyHost) })
		}
		s.runUntil(began)
		clear(s.asked)
		clear(s.served)
		for k := range part {
			s.runUntil(began + time.Duration(k+1)*500*time.Millisecond)
			for name := range limits {
				served[k] += s.served[name]
				asked[k] += s.asked[name]
			}
		}
	}
	for k := range part {
		part[k] = float64(served[k]) / float64(asked[k])
	}
	return part
}
