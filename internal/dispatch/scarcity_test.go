package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// flashCrowd plays a steady load of 100 callers per second on 160 slots per second, and
// 400 further callers within 100 ms, 3 s later.
func flashCrowd(scheduled bool) *crowd {
	c := newCrowd(8, scheduled)
	c.addRate(0, 10*time.Second, "steady", 0, 100, 3*time.Second)
	for i := range 400 {
		c.add(4*time.Second+time.Duration(i)*ms/4, "crowd", 0, 3*time.Second)
	}
	if !scheduled {
		c.constantRetryAfter = 700 * ms
	}
	c.play(0, 14*time.Second)
	return c
}

// TestRefusedCallersDoNotReturnAtOnce guards against a flood of 400 callers that is
// refused within 100 ms and comes back as one wave. The baseline is a Retry-After of
// 700 ms for all.
func TestRefusedCallersDoNotReturnAtOnce(t *testing.T) {
	g := NewWithT(t)
	baseline, c := flashCrowd(false), flashCrowd(true)
	t.Logf("largest return in %v: %d, baseline %d; answered of the crowd: %d, baseline %d",
		returnBin, c.largestReturn(), baseline.largestReturn(), c.count("crowd").answered, baseline.count("crowd").answered)
	g.Expect(c.largestReturn()).To(BeNumerically("<=", baseline.largestReturn()/3))
	g.Expect(c.count("crowd").answered).To(BeNumerically(">", baseline.count("crowd").answered))
	g.Expect(c.count("steady").answered).To(BeNumerically(">=", baseline.count("steady").answered-10))
}

// TestPromisedCallerIsServed guards against callers that are refused a second time
// although they come back at the scheduled time and the slots are enough for them: 120
// callers within 60 ms, after a steady load of 80 per second on 160 slots per second.
func TestPromisedCallerIsServed(t *testing.T) {
	g := NewWithT(t)
	c := newCrowd(8, true)
	c.addRate(0, 8*time.Second, "steady", 0, 80, 8*time.Second)
	for i := range 120 {
		c.add(4*time.Second+time.Duration(i)*ms/2, fmt.Sprint("w", i), 0, 8*time.Second)
	}
	c.play(0, 12*time.Second)
	g.Expect(c.returned).To(BeNumerically(">", 30))
	g.Expect(c.refusedAgain).To(BeZero())
	g.Expect(c.totals().answered).To(Equal(c.totals().callers))
}

// TestHotWorkspace guards against a workspace at 7.5 times its rate that takes the slots
// of the 87 others: it usually has a third of 110 callers per second, on 160 slots per
// second.
func TestHotWorkspace(t *testing.T) {
	g := NewWithT(t)
	play := func(scheduled bool) *crowd {
		c := newCrowd(8, scheduled)
		const usual = 110.0
		c.addRate(0, 5*time.Second, "hot", 0, usual/3, 3*time.Second)
		c.addRate(5*time.Second, 15*time.Second, "hot", 0, 7.5*usual/3, 3*time.Second)
		for i := range 87 {
			c.addRate(0, 15*time.Second, fmt.Sprint("w", i), 0, usual*2/3/87, 3*time.Second)
		}
		c.play(0, 20*time.Second)
		return c
	}
	others := func(c *crowd) float64 {
		sum, hot := c.totals(), c.count("hot")
		return float64(sum.answered-hot.answered) / float64(sum.callers-hot.callers)
	}
	baseline, c := play(false), play(true)
	t.Logf("answered of the others: %.3f, baseline %.3f; of the hot one: %d, baseline %d of %d",
		others(c), others(baseline), c.count("hot").answered, baseline.count("hot").answered, c.count("hot").callers)
	g.Expect(others(c)).To(BeNumerically(">=", 0.97))
	g.Expect(c.totals().answered).To(BeNumerically(">=", 0.97*float64(baseline.totals().answered)), "no slot is lost")
	checkServedRatio(g, c)
}

// checkServedRatio checks that no workspace is served less than a quarter as often as all,
// by attempts.
func checkServedRatio(g Gomega, c *crowd) {
	sum := c.totals()
	for name, n := range c.counts {
		g.Expect(float64(n.granted)/float64(n.attempts)).To(BeNumerically(">=", 0.25*float64(sum.granted)/float64(sum.attempts)), "%s: %+v", name, *n)
	}
}

// fullPool returns a scheduled pool with one server whose class takes 200 ms,
// and with the given number of requests of the workspace "hot" in flight, sent within the
// last 200 ms.
func fullPool(now time.Duration, slots, inFlight int) *Pool {
	p := New(Options{Region: "r", Shared: true, Limits: DefaultLimits, Scheduled: true})
	b := backend("a", "r")
	b.Slots = slots
	p.Update(0, []*fleet.Backend{b}, nil, 5, 3*time.Second)
	c := p.class("c", 0)
	c.missAverage, c.hitAverage, c.missObserved, c.hitObserved = 200*ms, 200*ms, true, true
	// It ends 20 requests per second.
	for at := now - 6*time.Second; at < now; at += 50 * ms {
		r := request(at, "")
		r.Workspace = "hot"
		p.scarcity.arrived(at, r)
		p.scarcity.granted(at, r)
		p.scarcity.finish(at, &grant{}, Report{Result: Served})
	}
	for range inFlight {
		p.grant(now, request(now, ""), p.servers["a"], estimate{service: 200 * ms})
	}
	p.occupancy, p.occupancyAt = p.currentOccupancy(now), now
	return p
}

func workspaceRequest(now time.Duration, workspace, key string) Request {
	r := request(now, key)
	r.Workspace = workspace
	return r
}

// TestAboveShareIsRefusedFirst guards against a small workspace that is refused because
// another one has filled the slots, and against refusals while there is a free slot.
func TestAboveShareIsRefusedFirst(t *testing.T) {
	for _, c := range []struct {
		desc, workspace string
		slots, inFlight int
		want            Reason
	}{
		{"small workspace, no free slot", "small", 4, 4, ""},
		{"hot workspace, no free slot", "hot", 4, 4, Overload},
		{"hot workspace, slots to spare", "hot", 4, 3, ""},
		{"hot workspace, one free slot of many", "hot", 20, 19, ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			now := 10 * time.Second
			p := fullPool(now, c.slots, c.inFlight)
			for range 20 {
				p.scarcity.arrived(now, workspaceRequest(now, "hot", ""))
			}
			p.scarcity.arrived(now, workspaceRequest(now, "small", ""))
			g.Expect(p.Acquire(now, workspaceRequest(now, c.workspace, "")).Refused).To(Equal(c.want))
		})
	}
}

// TestReturnPassesOverload guards against a caller that comes back at the scheduled time to
// a full service and is refused again, and against one that then displaces a more urgent
// rank or is granted too late for its deadline.
func TestReturnPassesOverload(t *testing.T) {
	for _, c := range []struct {
		desc     string
		change   func(p *Pool, now time.Duration, r *Request)
		inFlight int
		want     Reason
	}{
		{"returns", nil, 10, ""},
		{"a new caller", func(_ *Pool, _ time.Duration, r *Request) { r.Key = "other" }, 10, Overload},
		{"a second attempt", func(_ *Pool, _ time.Duration, r *Request) { r.SecondAttempt = true }, 10, Overload},
		{"slots were lost", nil, 13, Overload},
		{"a more urgent rank is active", func(p *Pool, now time.Duration, r *Request) { p.lastRequestByRank[0], r.Rank = now, 1 }, 10, Overload},
		{"its deadline is near", func(_ *Pool, now time.Duration, r *Request) { r.Deadline = now + 250*ms }, 10, Late},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			now := 10 * time.Second
			p := fullPool(now, 4, c.inFlight)
			d := p.Acquire(now, workspaceRequest(now, "w", "k"))
			g.Expect(d.Refused).To(Equal(Overload))
			now += d.RetryAfter + 5*ms
			p.occupancyAt = now // all slots are still taken
			r := workspaceRequest(now, "w", "k")
			if c.change != nil {
				c.change(p, now, &r)
			}
			g.Expect(p.Acquire(now, r).Refused).To(Equal(c.want))
		})
	}
}

// TestUnsentAttemptTakesBackItsUsage guards against a workspace that is refused for the
// usage of hedges that were granted and not sent.
func TestUnsentAttemptTakesBackItsUsage(t *testing.T) {
	for _, c := range []struct {
		desc   string
		report Report
		want   bool
	}{
		{"not sent", Report{Result: Abandoned}, false},
		{"sent, then abandoned", Report{Result: Abandoned, Elapsed: 50 * ms}, true},
		{"served", Report{Result: Served, Elapsed: 50 * ms}, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := New(Options{Region: "r", Shared: true, Limits: DefaultLimits, Scheduled: true})
			p.Update(0, backends(20), nil, 5, 3*time.Second)
			now := time.Second
			for range 50 {
				r := workspaceRequest(now, "w", "")
				r.SecondAttempt = true
				p.Release(now, p.Acquire(now, r).Grant, c.report)
			}
			for range 20 {
				p.scarcity.arrived(now, workspaceRequest(now, "w", ""))
				p.scarcity.arrived(now, workspaceRequest(now, "x", ""))
			}
			g.Expect(p.scarcity.shares.Above(now, 0, "w", 10)).To(Equal(c.want))
		})
	}
}

// TestShortRegion guards against workspaces that get nothing in a region with less than
// half of the slots that its 88 workspaces ask for, of which it then loses a further half.
func TestShortRegion(t *testing.T) {
	g := NewWithT(t)
	c := newCrowd(8, true)
	for i := range 88 {
		rate := 3.0
		if i%10 == 0 {
			rate = 12
		}
		c.addRate(0, 30*time.Second, fmt.Sprint("w", i), 0, rate, 3*time.Second)
	}
	c.play(0, 15*time.Second)
	checkServedRatio(g, c)
	before := c.totals().granted
	c.counts = map[string]*workspaceCount{}
	c.setServers(15*time.Second, 4)
	c.play(15*time.Second, 30*time.Second)
	checkServedRatio(g, c)
	g.Expect(c.totals().granted).To(BeNumerically(">=", 0.4*float64(before)), "the slots that are left are used")
	g.Expect(c.longestWait).To(BeNumerically("<", 2*objective))
}

// TestRankComesBeforeShare guards against urgent requests that are refused for the share
// of a less urgent rank: one workspace asks for three quarters of the slots at rank 0, and
// ten for more than all of them at rank 1.
func TestRankComesBeforeShare(t *testing.T) {
	g := NewWithT(t)
	c := newCrowd(8, true)
	c.addRate(0, 15*time.Second, "urgent", 0, 100, 3*time.Second)
	c.addRate(0, 15*time.Second, "urgent too", 0, 20, 3*time.Second)
	for i := range 10 {
		c.addRate(3*time.Second, 15*time.Second, fmt.Sprint("w", i), 1, 30, 3*time.Second)
	}
	c.play(0, 18*time.Second)
	for _, name := range []string{"urgent", "urgent too"} {
		n := c.count(name)
		g.Expect(n.answered).To(BeNumerically(">=", 0.97*float64(n.callers)), "%s: %+v", name, *n)
	}
	g.Expect(c.totals().answered).To(BeNumerically(">", c.count("urgent").answered+c.count("urgent too").answered+300), "the rest of the slots is used")
}

// TestPromiseToLessUrgentRank guards against promises to a rank that are broken because
// more urgent ranks or new callers take the slots: rank 0 asks for a part of 160 slots per
// second, and rank 1 for more than the rest.
func TestPromiseToLessUrgentRank(t *testing.T) {
	for _, c := range []struct {
		desc    string
		urgent  float64 // requests per second
		refused float64 // largest fraction of the promised returns
	}{
		{"half of the slots are left", 80, 0.2},
		{"a third is left", 100, 0.3},
		{"a fifth is left", 130, 0.45},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			load := newCrowd(8, true)
			load.addRate(0, 15*time.Second, "urgent", 0, c.urgent, 6*time.Second)
			load.addRate(3*time.Second, 15*time.Second, "w", 1, 100, 6*time.Second)
			load.play(0, 20*time.Second)
			t.Logf("promised %d, refused again %d, answered %+v", load.promised[1], load.promisedRefused[1], *load.count("w"))
			g.Expect(load.promised[1]).To(BeNumerically(">", 200))
			g.Expect(load.promisedRefused[1]).To(BeNumerically("<=", c.refused*float64(load.promised[1])))
			g.Expect(load.count("urgent").answered).To(Equal(load.count("urgent").callers))
		})
	}
}

// TestSmallWorkspaceBesideHotOne guards against a workspace below its share that is refused
// because one at five times the capacity fills the queues, or claims the promises of its
// callers with new requests, which look the same if they have no object.
func TestSmallWorkspaceBesideHotOne(t *testing.T) {
	for _, c := range []struct {
		desc   string
		noKeys bool
	}{
		{"64 objects", false},
		{"no objects", true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			load := newCrowd(2, true)
			load.noKeys = c.noKeys
			load.addRate(0, 20*time.Second, "hot", 0, 200, 950*ms)
			load.addRate(0, 20*time.Second, "small", 0, 10, 850*ms)
			load.play(0, 22*time.Second)
			hot, small := load.count("hot"), load.count("small")
			t.Logf("hot %+v, small %+v", *hot, *small)
			g.Expect(small.answered).To(BeNumerically(">=", 0.85*float64(small.callers)))
			g.Expect(hot.answered+small.answered).To(BeNumerically(">=", 760), "of 800 that the slots take in 20 s")
		})
	}
}

// TestUnknownCapacityRefusesNobody guards against workspaces that are refused for a share of
// a capacity of 0, as no request has ended yet: after a start, and after a pause.
func TestUnknownCapacityRefusesNobody(t *testing.T) {
	granted := func(p *Pool, now time.Duration) int {
		n := 0
		for i := range 30 {
			d := p.Acquire(now+time.Duration(i)*5*ms, workspaceRequest(now+time.Duration(i)*5*ms, fmt.Sprint("w", i%3), ""))
			if d.Refused == "" {
				n++
			}
		}
		return n
	}
	newPool := func(scheduled bool) *Pool {
		p := New(Options{Region: "r", Shared: true, Limits: DefaultLimits, Scheduled: scheduled})
		p.Update(0, backends(2), nil, 5, 3*time.Second)
		c := p.class("c", 0)
		c.missAverage, c.hitAverage, c.missObserved, c.hitObserved = 200*ms, 200*ms, true, true
		return p
	}
	for _, c := range []struct {
		desc string
		at   time.Duration
	}{
		{"after a start", 0},
		{"after a pause", time.Minute},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			before, after := newPool(false), newPool(true)
			if c.at > 0 {
				d := after.Acquire(0, workspaceRequest(0, "w0", ""))
				after.Release(200*ms, d.Grant, Report{Result: Served, Elapsed: 200 * ms})
			}
			g.Expect(granted(after, c.at)).To(Equal(granted(before, c.at)))
		})
	}
}

// TestFailuresFreeNoSlots guards against a server that fails at once and so raises the rate
// at which callers are told to return.
func TestFailuresFreeNoSlots(t *testing.T) {
	for _, c := range []struct {
		result Result
		want   bool
	}{
		{Served, true}, {TimedOut, true}, {Failed, false}, {Shed, false}, {Unreachable, false}, {Misdirected, false}, {Abandoned, false},
	} {
		t.Run(fmt.Sprint(c.result), func(t *testing.T) {
			g := NewWithT(t)
			p := New(Options{Region: "r", Shared: true, Limits: DefaultLimits, Scheduled: true})
			p.Update(0, backends(2), nil, 5, 3*time.Second)
			d := p.Acquire(0, workspaceRequest(0, "w", ""))
			p.Release(2*ms, d.Grant, Report{Result: c.result, Elapsed: 2 * ms})
			g.Expect(p.scarcity.finished.Count(2*ms, finishedTimeConstant) > 0).To(Equal(c.want))
		})
	}
}

// TestLateRefusalMakesNoPromise guards against a promise that cannot be kept, as the caller
// has too little time left when it returns.
func TestLateRefusalMakesNoPromise(t *testing.T) {
	for _, c := range []struct {
		desc     string
		service  time.Duration
		timeLeft time.Duration
		want     int // promises
	}{
		{"longer than the time left", 1200 * ms, 1100 * ms, 0},
		{"because of the queue", 650 * ms, 1100 * ms, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			now := 10 * time.Second
			p := fullPool(now, 4, 6)
			class := p.class("c", 0)
			class.missAverage, class.hitAverage = c.service, c.service
			class.missSamples, class.hitSamples = confirmedSamples, confirmedSamples
			class.missConfirmedAt, class.hitConfirmedAt = now, now
			r := workspaceRequest(now, "w", "k")
			r.Objective, r.Deadline = now+c.timeLeft, now+c.timeLeft
			g.Expect(p.Acquire(now, r).Refused).To(Equal(Late))
			g.Expect(p.scarcity.returns.count).To(Equal(c.want))
		})
	}
}

// TestNewRequestsYieldToDueReturns guards against a new request that takes the last free slot
// from a return that is due, and against one that yields to a less urgent rank.
func TestNewRequestsYieldToDueReturns(t *testing.T) {
	for _, c := range []struct {
		desc       string
		rank       int // of the new request
		dueRank    int
		dueIn      time.Duration
		activeRank int
		want       Reason
	}{
		{"of the same rank", 1, 1, 0, 0, Overload},
		{"of a more urgent rank", 2, 1, 0, 0, Overload},
		{"of a less urgent rank", 1, 2, 0, 0, ""},
		{"not yet due", 1, 1, 100 * ms, 0, ""},
		{"overdue", 1, 1, -100 * ms, 0, ""},
		{"no more urgent rank is active", 1, 1, 0, 1, ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			now := 10 * time.Second
			p := fullPool(now, 20, 19)
			p.lastRequestByRank[c.activeRank] = now
			p.scarcity.returns.promise(1, promise{now + c.dueIn, c.dueRank})
			r := workspaceRequest(now, "w", "k")
			r.Rank = c.rank
			g.Expect(p.Acquire(now, r).Refused).To(Equal(c.want))
		})
	}
}
