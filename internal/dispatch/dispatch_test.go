package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/serverhold"
)

const (
	ms        = time.Millisecond
	objective = 500 * ms
	deadline  = 3 * time.Second
)

func backend(id, region string) *fleet.Backend {
	return &fleet.Backend{ID: id, Service: "s", Address: "x:1", FailureDomain: region + "-a", Region: region, Slots: 4}
}

func pool(region string, list ...*fleet.Backend) *Pool {
	p := New(Options{Region: region, Shared: true, Limits: DefaultLimits})
	p.Update(0, list, nil, 5, 3*time.Second)
	return p
}

func request(now time.Duration, key string) Request {
	return Request{Class: "c", Key: key, FailureDomain: "r-a", Objective: now + objective, Deadline: now + deadline}
}

// TestUnusableServerGetsNoWork guards against requests granted to a server that
// must not get any.
func TestUnusableServerGetsNoWork(t *testing.T) {
	for _, c := range []struct {
		desc    string
		change  func(*fleet.Backend)
		evac    map[string]bool
		request func(*Request)
		report  *Report
	}{
		{desc: "draining", change: func(b *fleet.Backend) { b.Draining = true }},
		{desc: "evacuated domain", evac: map[string]bool{"r-a": true}},
		{desc: "excluded by the request", request: func(r *Request) { r.Exclude = []string{"a"} }},
		{desc: "region not allowed", request: func(r *Request) { r.Allowed = []string{"q"} }},
		{desc: "another server has its address", report: &Report{Result: Misdirected}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			a := backend("a", "r")
			p := pool("r", a)
			if c.report != nil {
				d := p.Acquire(0, request(0, "k"))
				p.Release(0, d.Grant, *c.report)
			}
			if c.change != nil {
				c.change(a)
			}
			p.Update(0, []*fleet.Backend{a}, c.evac, 5, time.Second)
			r := request(0, "k")
			if c.request != nil {
				c.request(&r)
			}
			d := p.Acquire(0, r)
			NewWithT(t).Expect(d.Refused).To(Equal(NoServer))
			NewWithT(t).Expect(d.RetryAfter).To(BeNumerically(">", 0))
		})
	}
}

// TestColdLimit guards against a cold server that gets more requests in a second
// than rate, overage and slack allow while two pools of its region dispatch at once
// and pools of other regions and of single hosts know the server.
func TestColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 5.0
		limits := Limits{
			ColdOverage: rapid.SampledFrom([]float64{1, 1.2, 1.5, 2}).Draw(t, "overage"),
			ColdSlack:   rapid.SampledFrom([]float64{0, 2, 5, 8}).Draw(t, "slack"),
		}
		cold := backend("a", "r")
		cold.ColdUntil = 10 * time.Second
		var pools []*Pool
		for _, o := range []Options{{Region: "r", Shared: true}, {Region: "r", Shared: true}, {Region: "q", Shared: true}, {Region: "r"}} {
			o.Limits = limits
			pools = append(pools, New(o))
		}
		for _, p := range pools {
			p.Update(0, []*fleet.Backend{cold}, nil, rate, 3*time.Second)
		}
		var sent []time.Duration
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "step")) * ms
			p := pools[rapid.IntRange(0, 3).Draw(t, "pool")]
			if d := p.Acquire(now, request(now, "")); d.Refused == "" && now < cold.ColdUntil {
				sent = append(sent, now)
				p.Release(now, d.Grant, Report{Result: Served, Elapsed: ms})
			}
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < sent[i]+time.Second {
					n++
				}
			}
			if float64(n) > rate*limits.ColdOverage+limits.ColdSlack {
				t.Fatalf("%d requests in the second from %v", n, sent[i])
			}
		}
	})
}

// TestServerHoldingObjectComesFirst guards against requests that make a second
// server fetch an object that another could serve in time, and against refusals while
// a server with free slots could fetch it.
func TestServerHoldingObjectComesFirst(t *testing.T) {
	g := NewWithT(t)
	var list []*fleet.Backend
	for i := range 8 {
		list = append(list, backend(fmt.Sprint("b", i), "r"))
	}
	p := pool("r", list...)
	for _, s := range p.list {
		s.tried = true // none has just joined
	}
	first := p.Acquire(0, request(0, "k"))
	g.Expect(first.HoldsObject).To(BeFalse())
	p.Release(600*ms, first.Grant, Report{Result: Served, Elapsed: 600 * ms})
	for range 3 {
		d := p.Acquire(time.Second, request(time.Second, "k"))
		g.Expect(d.Server).To(Equal(first.Server))
		g.Expect(d.HoldsObject).To(BeTrue())
	}
	// The server's queue is too long: a server with free slots fetches the object.
	for i := range 20 {
		now := time.Second + time.Duration(i)*ms
		g.Expect(p.Acquire(now, request(now, "k")).Refused).To(BeEmpty())
	}
	holders := 0
	for _, s := range p.list {
		if s.holds(objectKey("c", "k")) {
			holders++
		}
	}
	g.Expect(holders).To(BeNumerically(">", 1))
}

// TestKnowledgeOutlivesTheDispatcher guards against a new dispatcher that sends
// requests to servers that do not hold their objects, and against one that uses the
// objects of a server's earlier incarnation.
func TestKnowledgeOutlivesTheDispatcher(t *testing.T) {
	g := NewWithT(t)
	list := []*fleet.Backend{backend("a", "r"), backend("b", "r"), backend("c", "r")}
	p := pool("r", list...)
	held := map[string]string{}
	for i := range 12 {
		key := fmt.Sprint("k", i)
		d := p.Acquire(0, request(0, key))
		held[key] = d.Server
		p.Release(0, d.Grant, Report{Result: Served, Elapsed: 600 * ms})
	}
	k, changed := p.Export()
	g.Expect(changed).To(BeTrue())
	_, changed = p.Export()
	g.Expect(changed).To(BeFalse())

	next := pool("r", list...)
	next.Import(0, k)
	for key, server := range held {
		d := next.Acquire(time.Minute, request(time.Minute, key))
		g.Expect(d.Server).To(Equal(server), key)
		g.Expect(d.HoldsObject).To(BeTrue(), key)
		next.Release(time.Minute, d.Grant, Report{Result: Served, Elapsed: 200 * ms})
	}

	reborn := []*fleet.Backend{backend("a", "r"), backend("b", "r"), backend("c", "r")}
	for _, b := range reborn {
		b.StartedAtMillis = 7
	}
	again := pool("r", reborn...)
	again.Import(0, k)
	d := again.Acquire(0, request(0, "k0"))
	g.Expect(d.HoldsObject).To(BeFalse())
}

// TestJoinedServerIsTried guards against servers that join and get no request
// because others hold the objects.
func TestJoinedServerIsTried(t *testing.T) {
	g := NewWithT(t)
	list := []*fleet.Backend{backend("a", "r"), backend("b", "r")}
	p := pool("r", list...)
	for i := range 50 {
		now := time.Duration(i) * 10 * ms
		d := p.Acquire(now, request(now, fmt.Sprint(i%4)))
		p.Release(now, d.Grant, Report{Result: Served, Elapsed: 100 * ms})
	}
	list = append(list, backend("new", "r"))
	p.Update(time.Second, list, nil, 5, 3*time.Second)
	tried := false
	for i := range 200 {
		now := time.Second + time.Duration(i)*10*ms
		d := p.Acquire(now, request(now, fmt.Sprint(i%4)))
		tried = tried || d.Server == "new"
		p.Release(now, d.Grant, Report{Result: Served, Elapsed: 100 * ms})
	}
	g.Expect(tried).To(BeTrue())
}

// TestDownServer guards against requests that keep going to a server that does
// not answer, and against a server that is never tried again.
func TestDownServer(t *testing.T) {
	for _, c := range []struct {
		desc   string
		result Result
		times  int
	}{
		{"refuses connections", Unreachable, 1},
		{"does not answer", TimedOut, maxConsecutiveTimeouts},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pool("r", backend("a", "r"), backend("b", "r"))
			first := p.Acquire(0, request(0, "k"))
			p.Release(0, first.Grant, Report{Result: c.result})
			for range c.times - 1 {
				d := p.grantTo(first.Server)
				p.Release(0, d, Report{Result: c.result})
			}
			for range 3 {
				d := p.Acquire(ms, request(ms, "k"))
				g.Expect(d.Server).NotTo(Equal(first.Server))
				p.Release(ms, d.Grant, Report{Result: Served, Elapsed: 100 * ms})
			}
			later := 2 * maxBackoff
			r := request(later, "k2")
			r.Exclude = []string{"a"}
			if first.Server == "a" {
				r.Exclude = []string{"b"}
			}
			g.Expect(p.Acquire(later, r).Server).To(Equal(first.Server))
		})
	}
}

// grantTo grants a request to the given server and returns the grant.
func (p *Pool) grantTo(id string) uint64 {
	return p.grant(0, request(0, "k"), p.servers[id], estimate{}).Grant
}

// TestRequestPastDeadlineIsRefused guards against requests that are granted
// although no server can answer before their deadline.
func TestRequestPastDeadlineIsRefused(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backend("a", "r"))
	r := request(0, "k")
	r.Deadline = 100 * ms
	d := p.Acquire(0, r)
	g.Expect(d.Refused).To(Equal(Late))
	g.Expect(p.Grants()).To(BeZero())
}

// TestGrantsOfEndedHostExpire guards against slots that stay taken because the host
// that held the grant has ended without a report.
func TestGrantsOfEndedHostExpire(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backend("a", "r"))
	p.Acquire(0, request(0, "k"))
	p.Maintain(deadline)
	g.Expect(p.Grants()).To(Equal(1))
	p.Maintain(deadline + grantExpiryMargin + ms)
	g.Expect(p.Grants()).To(BeZero())
	g.Expect(p.list[0].inflight).To(BeZero())
	g.Expect(p.list[0].expectedWork).To(BeZero())
}

// TestShiftBound guards against requests that move to another region faster than
// MaxShift allows: a burst fills the region's own server, and from one window to the
// next the share granted elsewhere must grow by less than the bound.
func TestShiftBound(t *testing.T) {
	for _, bound := range []float64{0.05, 0.15, 0.3} {
		t.Run(fmt.Sprint(bound), func(t *testing.T) { checkShiftBound(t, bound) })
	}
}

func checkShiftBound(t *testing.T, bound float64) {
	g := NewWithT(t)
	list := []*fleet.Backend{backend("near", "r")}
	for i := range 10 {
		list = append(list, backend(fmt.Sprint("far", i), "q"))
	}
	limits := DefaultLimits
	limits.MaxShift = bound
	p := New(Options{Region: "r", Shared: true, Limits: limits})
	p.Update(0, list, nil, 5, 3*time.Second)
	type sample struct {
		at  time.Duration
		far bool
	}
	var samples []sample
	release := map[time.Duration][]uint64{}
	for now := time.Duration(0); now < 12*time.Second; now += 10 * ms {
		for _, id := range release[now] {
			p.Release(now, id, Report{Result: Served, Elapsed: 100 * ms})
		}
		if now%(200*ms) == 0 {
			p.Maintain(now)
		}
		requests := 1
		if now >= 5*time.Second {
			requests = 3
		} else if now%(50*ms) != 0 {
			continue
		}
		for range requests {
			d := p.Acquire(now, request(now, ""))
			if d.Refused == "" {
				samples = append(samples, sample{now, d.Server != "near"})
				at := now + 100*ms
				release[at] = append(release[at], d.Grant)
			}
		}
	}
	farShare := func(from time.Duration) (far float64, n int) {
		for _, s := range samples {
			if s.at >= from && s.at < from+shiftWindow {
				n++
				if s.far {
					far++
				}
			}
		}
		return far / float64(max(n, 1)), n
	}
	for from := 2 * time.Second; from < 8*time.Second; from += 250 * ms {
		before, n := farShare(from)
		after, m := farShare(from + shiftWindow)
		if n >= minShiftRequests && m >= minShiftRequests {
			g.Expect(after-before).To(BeNumerically("<", bound), "from %v", from)
		}
	}
}

// TestObjectCapacityIsLearned guards against servers that are assumed to hold
// objects which they have evicted: a server that holds 8 objects is asked for 16 in
// turn.
func TestObjectCapacityIsLearned(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", backend("a", "r"))
	const capacity = 8
	var recent []string
	now := time.Duration(0)
	for i := range 600 {
		now += 100 * ms
		key := fmt.Sprint("k", i%16)
		elapsed := 600 * ms
		for n, k := range recent {
			if k == key {
				elapsed = 200 * ms
				recent = append(recent[:n], recent[n+1:]...)
				break
			}
		}
		if recent = append(recent, key); len(recent) > capacity {
			recent = recent[1:]
		}
		d := p.Acquire(now, request(now, key))
		p.Release(now, d.Grant, Report{Result: Served, Elapsed: elapsed})
	}
	g.Expect(p.objectCapacity).To(BeNumerically("<", 16))
}

// TestLargeBodiesStayInDomain guards against large bodies that keep crossing failure
// domains because a server of another one holds their object, and against a server
// at its object capacity that evicts other objects to prevent that.
func TestLargeBodiesStayInDomain(t *testing.T) {
	g := NewWithT(t)
	near, far := backend("near", "r"), backend("far", "r")
	far.FailureDomain = "r-b"
	p := pool("r", near, far)
	far0 := p.servers["far"]
	for i := range 6 {
		far0.recordUse(objectKey("c", fmt.Sprint(i)), 0, 64)
	}
	far0.tried, p.servers["near"].tried = true, true
	sendLarge := func(now time.Duration, key string) string {
		r := request(now, key)
		r.Bytes = 60 << 10
		d := p.Acquire(now, r)
		p.Release(now, d.Grant, Report{Result: Served, Elapsed: 600 * ms})
		return d.Server
	}
	g.Expect(sendLarge(time.Second, "0")).To(Equal("near"))
	for i := range 64 {
		p.servers["near"].recordUse(objectKey("c", fmt.Sprint("other", i)), time.Second, int(p.objectCapacity))
	}
	g.Expect(sendLarge(2*time.Second, "1")).To(Equal("far"))
}

// TestRequestsWithoutObjectSpread guards against requests without an object that
// all go to the same server while others are free.
func TestRequestsWithoutObjectSpread(t *testing.T) {
	g := NewWithT(t)
	var list []*fleet.Backend
	for i := range 6 {
		list = append(list, backend(fmt.Sprint("b", i), "r"))
	}
	p := pool("r", list...)
	count := map[string]int{}
	for i := range 12 {
		count[p.Acquire(time.Duration(i)*ms, request(time.Duration(i)*ms, "")).Server]++
	}
	for _, n := range count {
		g.Expect(n).To(Equal(2))
	}
	g.Expect(count).To(HaveLen(6))
}

// TestManyForeignServers guards against decisions that take longer with each
// server of other regions, and against a request that is refused because all
// candidates are excluded although other servers are free.
func TestManyForeignServers(t *testing.T) {
	g := NewWithT(t)
	var list []*fleet.Backend
	for i := range 5 * maxForeignCandidates {
		list = append(list, backend(fmt.Sprint("far", i), "q"))
	}
	p := pool("r", list...)
	for _, s := range p.list {
		if s.position < maxForeignCandidates {
			s.lastFailureRate = 0.5 // any other server would be the better choice
		}
	}
	used := map[string]bool{}
	for i := range 2 * maxForeignCandidates {
		d := p.Acquire(0, request(0, fmt.Sprint("k", i)))
		g.Expect(d.Refused).To(BeEmpty())
		g.Expect(p.servers[d.Server].position).To(BeNumerically("<", maxForeignCandidates))
		used[d.Server] = true
	}
	var all []string
	for _, s := range p.list {
		if s.position < maxForeignCandidates {
			all = append(all, s.id)
		}
	}
	r := request(0, "last")
	r.Exclude = all
	d := p.Acquire(0, r)
	g.Expect(d.Refused).To(BeEmpty())
	g.Expect(used).NotTo(HaveKey(d.Server))
}

// TestLeavingServerGetsNoGrant guards against grants for a server whose answer said that
// it leaves, by the pool that learned it and by those that it tells, and against a mark
// that outlives the incarnation or empties a pool for good.
func TestLeavingServerGetsNoGrant(t *testing.T) {
	g := NewWithT(t)
	backends := func(startedAt int64) []*fleet.Backend {
		return []*fleet.Backend{{ID: "s", Service: "x", Address: "a", FailureDomain: "d", Region: "r", Slots: 4, StartedAtMillis: startedAt}}
	}
	pool := func(region string) *Pool {
		p := New(Options{Region: region, Shared: true, Limits: DefaultLimits})
		p.Update(0, backends(1), nil, 5, time.Second)
		return p
	}
	request := func(now time.Duration) Request {
		return Request{Class: "c", Host: "h", FailureDomain: "d", Objective: now + time.Second, Deadline: now + 2*time.Second}
	}
	home, successor, remote := pool("r"), pool("r"), pool("q")
	d := home.Acquire(time.Second, request(time.Second))
	g.Expect(d.Refused).To(BeEmpty())
	home.Release(time.Second, d.Grant, Report{Result: Served, Elapsed: 10 * time.Millisecond, Leaving: true, StartedAtMillis: 1})
	digest := home.Digest(2 * time.Second)
	g.Expect(digest.Leaving).To(HaveLen(1))
	successor.Merge(2*time.Second, digest)
	remote.Merge(2*time.Second, digest)
	for desc, p := range map[string]*Pool{"home": home, "successor": successor, "other region": remote} {
		g.Expect(p.Acquire(3*time.Second, request(3*time.Second)).Refused).To(Equal(NoServer), desc)
		g.Expect(p.Dump(3 * time.Second)["s"].Leaving).To(BeTrue(), desc)
		end := time.Second + serverhold.LeavingTime
		g.Expect(p.Acquire(end-time.Second, request(end-time.Second)).Refused).To(Equal(NoServer), desc)
		g.Expect(p.Acquire(end, request(end)).Refused).To(BeEmpty(), desc)
	}
	g.Expect(successor.Digest(3*time.Second).Leaving).To(BeEmpty(), "marks are not passed on further")
	home.Update(4*time.Second, nil, nil, 5, time.Second) // the entry is away
	home.Update(5*time.Second, backends(1), nil, 5, time.Second)
	g.Expect(home.Acquire(6*time.Second, request(6*time.Second)).Refused).To(Equal(NoServer), "the mark outlives the entry")
	home.Update(4*time.Second, backends(2), nil, 5, time.Second)
	g.Expect(home.Acquire(5*time.Second, request(5*time.Second)).Refused).To(BeEmpty(), "another incarnation")
	late := pool("r")
	d = late.Acquire(time.Second, request(time.Second))
	late.Release(time.Second, d.Grant, Report{Result: Served, Leaving: true, StartedAtMillis: 9})
	g.Expect(late.Acquire(2*time.Second, request(2*time.Second)).Refused).To(BeEmpty(), "said by another incarnation")
}
