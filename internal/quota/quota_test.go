package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// TestBudgetIsWithinLimit guards against caps, start levels, tokens of earlier issuers and safe shares
// that together exceed the limit, for any limit, bounds and number of regions and hosts.
func TestBudgetIsWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			Window:  time.Duration(rapid.Float64Range(0.5, 60).Draw(t, "window") * float64(time.Second)),
			Overage: rapid.Float64Range(0, 1).Draw(t, "overage"), Slack: rapid.Float64Range(0, 50).Draw(t, "slack"),
		}
		l := Limit{rapid.Float64Range(0.01, 2000).Draw(t, "rate"), rapid.Float64Range(0, 2000).Draw(t, "burst")}
		regions, hosts := rapid.IntRange(1, 35).Draw(t, "regions"), rapid.IntRange(1, 500).Draw(t, "hosts")
		sum := l.RatePerSecond * (b.Window + b.Validity(l)).Seconds()
		for index := range regions {
			sum += b.regionCap(l, regions, index) + b.startLevel(l, regions)
		}
		sum += float64(hosts * b.SafeShare(l, regions, hosts))
		if sum > b.Max(l)*(1+1e-9) {
			t.Fatalf("%v of %v", sum, b.Max(l))
		}
	})
}

// TestRegionCaps guards against a small workspace that no region can serve, and against a
// surplus that nobody uses.
func TestRegionCaps(t *testing.T) {
	for _, c := range []struct {
		desc   string
		bounds Bounds
		limit  Limit
		want   []float64 // caps of three regions
		safe   int       // share of each of 33 hosts
	}{
		{"large: safe shares have 0.8 of the surplus", testBounds, Limit{652, 652}, []float64{222.339, 222.339, 222.339}, 2},
		{"small: issuers have all of the surplus", testBounds, Limit{8, 8}, []float64{8.333, 8.333, 8.333}, 0},
		{"no slack", Bounds{Window: 5 * time.Second, Overage: 0.1}, Limit{8, 2}, []float64{1, 1, 0}, 0},
		{"no overage: the slack covers tokens of earlier issuers", Bounds{Window: 5 * time.Second, Slack: 20}, Limit{100, 100}, []float64{33.333, 33.333, 33.333}, 0},
		{"no request is allowed", Bounds{Window: 5 * time.Second, Overage: 0.1}, Limit{0.01, 0.1}, []float64{0, 0, 0}, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			for index, want := range c.want {
				g.Expect(c.bounds.regionCap(c.limit, 3, index)).To(BeNumerically("~", want, 0.001))
			}
			g.Expect(c.bounds.SafeShare(c.limit, 3, 33)).To(Equal(c.safe))
		})
	}
}

func newTestIssuer(l Limit) *Issuer {
	i := NewIssuer(IssuerOptions{Bounds: testBounds, Regions: 3, Term: 7})
	i.SetLimits(0, map[string]Limit{"w": l})
	return i
}

func lendOne(i *Issuer, now time.Duration, w Want) []Loan {
	w.Workspace = "w"
	return i.Lend(now, LendRequest{Host: "h", Term: 7, Wants: []Want{w}}).Loans
}

// TestIssuerMintsOnlyBelowCap guards against tokens that are minted while those lent before
// may still be used.
func TestIssuerMintsOnlyBelowCap(t *testing.T) {
	g := NewWithT(t)
	i := newTestIssuer(Limit{300, 300})
	g.Expect(lendOne(i, 0, Want{Tokens: 5, Urgent: 5})[0].Empty).To(BeTrue(), "a new issuer has none")
	level, limit, _ := i.Level(time.Minute, "w")
	g.Expect(level).To(Equal(int(limit)))
	lent := lendOne(i, time.Minute, Want{Tokens: 1000, Urgent: 1000})
	g.Expect(lent[0].Tokens).To(Equal(level))
	level, _, _ = i.Level(time.Minute+400*time.Millisecond, "w")
	g.Expect(level).To(BeZero(), "all tokens are outstanding")
	level, _, _ = i.Level(time.Minute+600*time.Millisecond, "w")
	g.Expect(level).To(BeNumerically("~", 9, 1), "minted in the 100 ms since they have expired")
	lendOne(i, time.Minute+600*time.Millisecond, Want{Uses: []Use{{Loan: lent[0].ID, Returned: 50}}})
	level, _, _ = i.Level(time.Minute+600*time.Millisecond, "w")
	g.Expect(level).To(BeNumerically("~", 9, 1), "expired tokens cannot be returned")
}

// TestReportsOfEarlierTerm guards against reports about loans of an earlier issuer, whose
// numbers the present one uses again, that make it mint or lend what hosts still hold.
func TestReportsOfEarlierTerm(t *testing.T) {
	g := NewWithT(t)
	i := newTestIssuer(Limit{300, 300})
	lent := lendOne(i, time.Minute, Want{Tokens: 1000, Urgent: 1000})[0]
	i.Lend(time.Minute, LendRequest{Host: "h", Term: 6, Wants: []Want{{Workspace: "w", Uses: []Use{{Loan: lent.ID, Returned: 50, Spent: 20}}}}})
	g.Expect(i.workspaces["w"].ledger.outstanding).To(Equal(lent.Tokens))
	level, _, _ := i.Level(time.Minute, "w")
	g.Expect(level).To(BeZero())
	lendOne(i, time.Minute, Want{Uses: []Use{{Loan: lent.ID, Returned: 50, Spent: 20}}})
	level, _, _ = i.Level(time.Minute, "w")
	g.Expect(level).To(Equal(50))
	lendOne(i, time.Minute, Want{Uses: []Use{{Loan: lent.ID, Returned: 1000}}})
	level, _, _ = i.Level(time.Minute, "w")
	g.Expect(level).To(Equal(lent.Tokens-20), "no more than was lent")
}

// TestTransfersKeepTheirExpiry guards against tokens of another region that are used after
// that region's issuer has stopped counting them.
func TestTransfersKeepTheirExpiry(t *testing.T) {
	g := NewWithT(t)
	sender, asker := newTestIssuer(Limit{300, 300}), newTestIssuer(Limit{300, 300})
	transfers := sender.Transfer(time.Minute, []Want{{Workspace: "w", Tokens: 40}})
	g.Expect(transfers[0].Tokens).To(Equal(40))
	level, limit, _ := sender.Level(time.Minute, "w")
	g.Expect(level).To(Equal(int(limit)-40), "subtracted before the answer")
	lendOne(asker, time.Minute, Want{Tokens: 1000, Urgent: 1000})
	asker.Receive(time.Minute+60*time.Millisecond, time.Minute-55*time.Millisecond, "r1", transfers)
	loans := lendOne(asker, time.Minute+100*time.Millisecond, Want{Tokens: 30, Urgent: 30})
	g.Expect(loans[0].Tokens).To(Equal(30))
	w := NewTokenCache()
	w.Take(time.Minute, "w")
	w.Receive(time.Minute+101*time.Millisecond, time.Minute+99*time.Millisecond, "r0", true, LendRequest{}, LendReply{Term: 7, Loans: loans})
	g.Expect(w.Left(time.Minute+400*time.Millisecond, "w")).To(Equal(30))
	g.Expect(w.Left(time.Minute+445*time.Millisecond, "w")).To(BeZero())
	lendOne(asker, time.Minute+200*time.Millisecond, Want{Uses: []Use{{Loan: loans[0].ID, Returned: 30}}})
	level, _, _ = asker.Level(time.Minute+420*time.Millisecond, "w")
	g.Expect(level).To(Equal(10 + 30))
	level, _, _ = asker.Level(time.Minute+440*time.Millisecond, "w")
	g.Expect(level).To(BeZero())
	g.Expect(asker.Transfer(time.Minute+200*time.Millisecond, []Want{{Workspace: "w", Tokens: 1000}})[0].Tokens).To(BeNumerically("<", 40), "borrowed tokens are not passed on")
}

// TestPromises guards against refused callers that all return at the same time or before
// there are tokens.
func TestPromises(t *testing.T) {
	g := NewWithT(t)
	i := newTestIssuer(Limit{30, 30})
	i.workspaces["w"].fullLevel = 0
	w := NewTokenCache()
	w.Take(0, "w")
	reply := i.Lend(0, LendRequest{Wants: []Want{{Workspace: "w", Tokens: 2, Urgent: 2}}})
	w.Receive(0, 0, "r", true, LendRequest{}, LendReply{Term: 7, Loans: reply.Loans})
	g.Expect(reply.Loans[0].Elsewhere).To(BeTrue(), "other regions were not asked yet")
	w.SetUsedUp(0, []Want{{Workspace: "w"}})
	last := time.Duration(0)
	for range 20 {
		verdict, after := w.UsedUp(0, "w")
		g.Expect(verdict).To(Equal(UsedUp))
		g.Expect(after).To(BeNumerically(">=", 100*time.Millisecond))
		g.Expect(after - last).To(BeNumerically("~", 101*time.Millisecond, 2*time.Millisecond))
		last = after
	}
	for range 100 {
		_, after := w.UsedUp(0, "w")
		g.Expect(after).To(BeNumerically("<=", retryHorizon))
	}
}

// TestFreshIssuer guards against a caller within its quota that is told that it is used up,
// and against one above it that is not told, after an issuer has started without tokens.
func TestFreshIssuer(t *testing.T) {
	g := NewWithT(t)
	i := newTestIssuer(Limit{30, 30})
	limit, rate := i.workspaces["w"].cap, i.workspaces["w"].rate
	for k := range 100 {
		full := limit - float64(k) + rate*float64(k)/1000 // a full level, at one request each millisecond
		loan := lendOne(i, time.Duration(k)*time.Millisecond, Want{Tokens: 1, Urgent: 1, Demand: 1})[0]
		if loan.Tokens == 0 {
			g.Expect(loan.Empty).To(BeTrue())
			g.Expect(loan.Fresh).To(Equal(full >= 1), "request %d with a cap of %v", k, limit)
		}
	}
}

// TestUnknownWorkspace guards against a caller that is told that its quota is used up while
// the issuer has an older configuration.
func TestUnknownWorkspace(t *testing.T) {
	g := NewWithT(t)
	c := NewClient("r", NewSafeShares(0, testBounds, 1))
	c.SetIssuers([]string{"r"})
	c.Request(0, 1, "new", Limit{100, 100}, time.Second)
	m := c.Messages(0)[0]
	c.Answered(0, m.ID, newTestIssuer(Limit{30, 30}).Lend(0, LendRequest{Wants: m.Wants}))
	c.Messages(0)
	r := c.Resolved()[0]
	g.Expect(r.Verdict).To(Equal(NoIssuer))
	g.Expect(r.RetryAfter).To(BeNumerically("~", unknownRetry, 2*time.Millisecond))
}

// TestTokensOfAttempts guards against a token that two attempts use, and one that is used
// again although its issuer takes it to be spent.
func TestTokensOfAttempts(t *testing.T) {
	g := NewWithT(t)
	w := NewTokenCache()
	w.Take(0, "w")
	w.Receive(0, 0, "r", true, LendRequest{}, LendReply{Term: 1, Loans: []Loan{{Workspace: "w", ID: 1, Tokens: 1, ValidMicros: 500000}}})
	token, ok := w.Take(0, "w")
	g.Expect(ok).To(BeTrue())
	_, ok = w.Take(0, "w")
	g.Expect(ok).To(BeFalse())
	w.Untake(1, token)
	w.Untake(1, token)
	g.Expect(w.Left(1, "w")).To(Equal(1))
	token, _ = w.Take(1, "w")
	g.Expect(w.Reuse(1, token)).To(BeTrue())
	g.Expect(w.Reuse(500*time.Millisecond, token)).To(BeFalse(), "expired")
	w.Wait(2, "w", 1)
	g.Expect(w.UrgentWants(2, "r")[0].Uses).To(Equal([]Use{{Loan: 1, Spent: 1}}))
	g.Expect(w.Reuse(3, token)).To(BeFalse(), "reported as spent")
	w.Untake(3, token)
	g.Expect(w.Left(3, "w")).To(BeZero())
}

// TestIdleHostSendsNothing guards against messages and timers of hosts without requests.
func TestIdleHostSendsNothing(t *testing.T) {
	g := NewWithT(t)
	c := NewClient("r", NewSafeShares(0, testBounds, 1))
	c.SetIssuers([]string{"r"})
	g.Expect(c.Messages(0)).To(BeEmpty())
	_, again := c.NextAt(0)
	g.Expect(again).To(BeFalse())
	c.Request(0, 1, "w", Limit{1, 1}, time.Second)
	first := c.Messages(0)
	g.Expect(first).To(HaveLen(1))
	c.Answered(0, first[0].ID, LendReply{Loans: []Loan{{Workspace: "w", ID: 1, Tokens: 2, ValidMicros: 500000}}})
	now, messages := time.Duration(0), 0
	for now < time.Minute {
		next, again := c.NextAt(now)
		if !again {
			break
		}
		now = max(next, now+1)
		for _, m := range c.Messages(now) {
			messages++
			c.Answered(now, m.ID, LendReply{})
		}
	}
	g.Expect(now).To(BeNumerically("<", 5*time.Second))
	g.Expect(messages).To(BeNumerically("<", 3))
}

// TestSafeShares guards against safe shares that together exceed their part of the limit,
// also if the processes restart.
func TestSafeShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, l := testBounds, Limit{100, 1000}
		hosts := rapid.IntRange(24, 110).Draw(t, "hosts")
		restart := rapid.Float64Range(0, 0.001).Draw(t, "restart")
		rate := rapid.Float64Range(0.99, 1.01).Draw(t, "clock")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		// The rule of the checker for the safe shares alone.
		share := b.SafeShare(l, 3, hosts)
		c := checker{bounds: Bounds{Window: b.Window, Slack: float64(share)}, limits: []limitChange{{}}}
		s := NewSafeShares(0, b, 3)
		s.SetHosts(hosts)
		for now := time.Duration(0); now < 2*time.Minute; now += 10 * time.Millisecond {
			clock := time.Duration(rate * float64(now))
			if rng.Float64() < restart {
				s = NewSafeShares(clock, b, 3)
				s.SetHosts(hosts)
			}
			s.SetConfirmed(clock)
			if s.Take(clock, "w", l) {
				c.attempt(now)
			}
		}
		if share > 0 && restart == 0 && len(c.attempts) == 0 {
			t.Fatal("the share is not used")
		}
		if v := c.violation(); v != "" {
			t.Fatal(v)
		}
	})
}

// TestSafeShareNeedsHosts guards against safe shares for the few hosts that were known just
// after a restart of all hosts, when the store has been away since.
func TestSafeShareNeedsHosts(t *testing.T) {
	b, l := testBounds, Limit{652, 652}
	for _, c := range []struct {
		desc      string
		confirmed time.Duration // after the start
		want      bool
	}{
		{"confirmed after it has settled", safeShareSettle, true},
		{"confirmed before", safeShareSettle - 1, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := NewSafeShares(time.Hour, b, 3)
			s.SetHosts(3)
			s.SetConfirmed(time.Hour + c.confirmed)
			NewWithT(t).Expect(s.Take(time.Hour+time.Minute, "w", l)).To(Equal(c.want))
		})
	}
}

// TestSafeSharesForget guards against memory that grows with each workspace that had a
// limit, and against a workspace that gets a further request by being removed and added.
func TestSafeSharesForget(t *testing.T) {
	g := NewWithT(t)
	l := Limit{652, 652}
	s := NewSafeShares(0, testBounds, 3)
	s.SetHosts(3)
	now := time.Minute
	s.SetConfirmed(now)
	g.Expect(s.Take(now, "w", l)).To(BeTrue())
	g.Expect(s.Take(now, "kept", l)).To(BeTrue())
	s.SetLimits(now, map[string]Limit{"kept": l})
	g.Expect(s.Take(now, "w", l)).To(BeFalse())
	now += 2 * testBounds.Window
	s.SetLimits(now, map[string]Limit{"kept": l})
	g.Expect(s.last).To(HaveLen(1))
	g.Expect(s.last).To(HaveKey("kept"))
}

// TestLevelsFollowLimits guards against levels of workspaces that have no limit any more,
// and against more of them than are shown.
func TestLevelsFollowLimits(t *testing.T) {
	g := NewWithT(t)
	limits := map[string]Limit{"a": {30, 30}}
	for k := range 2 * MaxLevels {
		limits[fmt.Sprint("w", k)] = Limit{30, 30}
	}
	i := NewIssuer(IssuerOptions{Bounds: testBounds, Regions: 3})
	i.SetLimits(0, limits)
	g.Expect(i.Levels(time.Minute)).To(HaveLen(MaxLevels))
	g.Expect(i.Levels(time.Minute)).To(HaveKey("a"))
	i.SetLimits(time.Minute, map[string]Limit{"b": {30, 30}})
	g.Expect(i.Levels(time.Minute)).To(HaveLen(1))
	g.Expect(i.Levels(time.Minute)).To(HaveKey("b"))
}

// TestRegionsMintWholeRate guards against the part of a small workspace's rate that nobody
// mints because some regions have no cap, and against more than the rate.
func TestRegionsMintWholeRate(t *testing.T) {
	for _, c := range []struct {
		desc    string
		bounds  Bounds
		limit   Limit
		regions int
	}{
		{"all regions have a cap", testBounds, Limit{652, 652}, 3},
		{"25 of 35 regions have a cap", testBounds, Limit{5, 5}, 35},
		{"2 of 3 regions have a cap", Bounds{Window: 5 * time.Second, Overage: 0.1}, Limit{8, 2}, 3},
	} {
		t.Run(c.desc, func(t *testing.T) {
			sum := 0.0
			for index := range c.regions {
				i := NewIssuer(IssuerOptions{Bounds: c.bounds, Regions: c.regions, Index: index})
				i.SetLimits(0, map[string]Limit{"w": c.limit})
				sum += i.workspaces["w"].rate
			}
			NewWithT(t).Expect(sum).To(BeNumerically("~", c.limit.RatePerSecond/(1+maxClockError), 1e-6))
		})
	}
}
