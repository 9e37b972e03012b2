package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// pacedPool returns a pool in use with two servers of 4 slots, whose class is known to
// take 100 ms and whose round trip is 0.
func pacedPool(region string) *Pool {
	p := New(Options{Region: region, Shared: true, Limits: DefaultLimits, Paced: true})
	p.Update(0, pacedServers(), nil, 5, 3*time.Second)
	c := p.class("c", 0)
	c.missAverage, c.hitAverage, c.missObserved, c.hitObserved = 100*ms, 100*ms, true, true
	for _, region := range []string{"r", "q"} {
		p.place(region).roundTrip, p.place(region).measured = 0, true
	}
	d := p.Acquire(0, request(0, ""))
	p.Release(100*ms, d.Grant, Report{Result: Served, Elapsed: 100 * ms})
	return p
}

func pacedServers(more ...*fleet.Backend) []*fleet.Backend {
	return append([]*fleet.Backend{backend("a", "r"), backend("b", "r")}, more...)
}

// join adds the server "new".
func join(p *Pool, now time.Duration, change func(*fleet.Backend)) *server {
	b := backend("new", "r")
	if change != nil {
		change(b)
	}
	p.Update(now, pacedServers(b), nil, 5, 3*time.Second)
	return p.servers["new"]
}

// fill sends requests until the server gets no further one, and returns their grants.
func fill(p *Pool, now time.Duration, id string, n int) []uint64 {
	var grants, others []uint64
	for range n {
		d := p.Acquire(now, request(now, ""))
		if d.Server == id {
			grants = append(grants, d.Grant)
		} else {
			others = append(others, d.Grant)
		}
	}
	for _, id := range others {
		p.Release(now, id, Report{Result: Abandoned})
	}
	return grants
}

func answer(p *Pool, now time.Duration, grants []uint64, result Result, elapsed time.Duration) {
	for _, id := range grants {
		p.Release(now, id, Report{Result: result, Elapsed: elapsed})
	}
}

// TestJoinedServerGetsPace guards against a flood of a server that has just joined, and
// against one that is left idle: its concurrency doubles with each round of answers until
// it has all of its slots.
func TestJoinedServerGetsPace(t *testing.T) {
	g := NewWithT(t)
	p := pacedPool("r")
	now := time.Second
	join(p, now, nil)
	for _, want := range []int{1, 2, 4} {
		grants := fill(p, now, "new", 12)
		g.Expect(grants).To(HaveLen(want))
		now += 100 * ms
		answer(p, now, grants, Served, 100*ms)
	}
	g.Expect(p.PacedServers()).To(BeZero())
	events := p.PaceEvents()
	g.Expect(events).To(HaveLen(2))
	g.Expect(events[0]).To(Equal(PaceEvent{Server: "new", Reason: paceJoined, Limit: 1}))
	g.Expect(events[1]).To(Equal(PaceEvent{Server: "new", Ended: true, Reason: paceFull, Limit: 5, After: 300 * ms}))
	g.Expect(p.PaceEvents()).To(BeEmpty())
}

// TestPaceStarts guards against servers that are paced although they have run for long, and
// against ones that start or recover without a pace.
func TestPaceStarts(t *testing.T) {
	for _, c := range []struct {
		desc string
		play func(p *Pool) (now time.Duration)
		want string
	}{
		{"joins a pool in use", func(p *Pool) time.Duration { join(p, time.Second, nil); return time.Second }, paceJoined},
		{"joins a pool out of use", func(p *Pool) time.Duration { join(p, time.Minute, nil); return time.Minute }, ""},
		{"joins cold", func(p *Pool) time.Duration {
			join(p, time.Second, func(b *fleet.Backend) { b.ColdUntil = 2 * time.Second })
			p.Maintain(1900 * ms)
			return 1900 * ms
		}, ""},
		{"is no longer cold", func(p *Pool) time.Duration {
			join(p, time.Second, func(b *fleet.Backend) { b.ColdUntil = 2 * time.Second })
			p.Maintain(1900 * ms)
			p.Maintain(2000 * ms)
			return 2000 * ms
		}, paceWarm},
		{"restarts under its ID", func(p *Pool) time.Duration {
			list := pacedServers(backend("new", "r"))
			list[0].StartedAtMillis = 7
			p.Update(time.Second, list[:2], nil, 5, 3*time.Second)
			return time.Second
		}, paceJoined},
		{"responds again", func(p *Pool) time.Duration {
			p.servers["a"].markDown(time.Second)
			d := p.grantTo("a")
			p.Release(2*time.Second, d, Report{Result: Served, Elapsed: 100 * ms})
			return 2 * time.Second
		}, paceRecovered},
		{"responds again, and may have restarted", func(p *Pool) time.Duration {
			s := p.servers["a"]
			s.markDown(time.Second)
			s.mayHaveRestarted = true
			d := p.grantTo("a")
			p.Release(2*time.Second, d, Report{Result: Served, Elapsed: 100 * ms})
			if s.pacing.limit != 0 || !s.cold(2*time.Second) {
				panic("the cold limit comes first")
			}
			p.Maintain(4 * time.Second)
			p.Maintain(5 * time.Second)
			return 5 * time.Second
		}, paceWarm},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pacedPool("r")
			g.Expect(p.PacedServers()).To(BeZero(), "the first servers have run for long")
			c.play(p)
			if c.want == "" {
				g.Expect(p.PacedServers()).To(BeZero())
				g.Expect(p.PaceEvents()).To(BeEmpty())
				return
			}
			g.Expect(p.PacedServers()).To(Equal(1))
			events := p.PaceEvents()
			g.Expect(events).To(HaveLen(1))
			g.Expect(events[0].Reason).To(Equal(c.want))
		})
	}
}

// TestPaceFollowsAnswers guards against a limit that does not follow a server whose answers
// slow down, that a single round of bad answers takes to 1, or that grows without answers.
func TestPaceFollowsAnswers(t *testing.T) {
	for _, c := range []struct {
		desc    string
		result  Result
		elapsed time.Duration
		want    float64
	}{
		{"in time", Served, 140 * ms, 2},
		{"late, but not twice", Served, 190 * ms, 2},
		{"more than twice the time", Served, 210 * ms, 1},
		{"refused", Shed, ms, 1},
		{"not answered", TimedOut, 3 * time.Second, 1},
		{"failed", Failed, 50 * ms, 2},
		{"abandoned", Abandoned, 50 * ms, 2},
		{"abandoned after more than twice the time", Abandoned, 210 * ms, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pacedPool("r")
			s := join(p, time.Second, nil)
			s.pacing.limit = 2
			grants := fill(p, time.Second, "new", 12)
			g.Expect(grants).To(HaveLen(2))
			answer(p, time.Second+c.elapsed, grants[:1], c.result, c.elapsed)
			g.Expect(s.pacing.limit).To(Equal(c.want))
		})
	}

	g := NewWithT(t)
	p := pacedPool("r")
	s := join(p, time.Second, nil)
	s.pacing.limit, s.slots = 8, 16
	grants := fill(p, time.Second, "new", 40)
	g.Expect(grants).To(HaveLen(8))
	answer(p, 1300*ms, grants, Served, 300*ms)
	g.Expect(s.pacing.limit).To(Equal(4.0), "the requests of one round halve once")
}

// TestPaceEndsWhenCold guards against a server that becomes cold while it is paced and whose
// pacing starts a second time without an end in the log.
func TestPaceEndsWhenCold(t *testing.T) {
	g := NewWithT(t)
	p := pacedPool("r")
	s := join(p, time.Second, nil)
	s.coldUntil = 4 * time.Second
	for now := time.Second; now < 10*time.Second; now += 200 * ms {
		p.Maintain(now)
	}
	var reasons []string
	for i, e := range p.PaceEvents() {
		g.Expect(e.Ended).To(Equal(i%2 == 1))
		reasons = append(reasons, e.Reason)
	}
	g.Expect(reasons).To(Equal([]string{paceJoined, paceCold, paceWarm, paceTimeUp}))
}

// TestPacingStopsWithReports guards against one report of a percentage that lets the pool
// pace servers for good.
func TestPacingStopsWithReports(t *testing.T) {
	g := NewWithT(t)
	p := pool("r", pacedServers()...)
	d := p.Acquire(0, request(0, ""))
	p.Release(100*ms, d.Grant, Report{Result: Served, Elapsed: 100 * ms, Load: &Load{Running: 1, Slots: 4, Percent: 100}})
	g.Expect(p.Paces(100 * ms)).To(BeTrue())
	now := time.Minute
	p.Acquire(now, request(now, ""))
	g.Expect(p.Paces(now)).To(BeFalse())
	join(p, now, nil)
	g.Expect(p.PacedServers()).To(BeZero())
}

// TestServerThatNeverAnswers guards against several requests that are lost at a server that
// has just joined and does not answer, and against a pace without end.
func TestServerThatNeverAnswers(t *testing.T) {
	g := NewWithT(t)
	p := pacedPool("r")
	start := time.Second
	join(p, start, nil)
	lost := 0
	for now := start; now < start+maxPaceTime; now += 10 * ms {
		if now%(200*ms) == 0 {
			p.Maintain(now)
		}
		d := p.Acquire(now, request(now, ""))
		g.Expect(d.Refused).To(BeEmpty())
		if d.Server == "new" {
			lost++
			continue // never reported; the grant expires
		}
		p.Release(now, d.Grant, Report{Result: Served, Elapsed: 100 * ms})
	}
	g.Expect(lost).To(BeNumerically("<=", 2), "one in each 3.5 s, the time of a request and a margin")
	p.Maintain(start + maxPaceTime)
	g.Expect(p.PacedServers()).To(BeZero())
	events := p.PaceEvents()
	g.Expect(events[len(events)-1].Reason).To(Equal(paceTimeUp))
}

// TestPacedServerIsBetterThanNone guards against requests that are refused, sent to a
// server marked down or shifted beyond the bound because the only other server is paced.
func TestPacedServerIsBetterThanNone(t *testing.T) {
	for _, c := range []struct {
		desc   string
		others func(p *Pool, now time.Duration)
	}{
		{"others draining", func(p *Pool, _ time.Duration) { p.servers["a"].draining, p.servers["b"].draining = true, true }},
		{"others down", func(p *Pool, now time.Duration) { p.servers["a"].markDown(now); p.servers["b"].markDown(now) }},
		{"others full", func(p *Pool, _ time.Duration) {
			for _, id := range []string{"a", "b"} {
				for range 40 {
					p.grantTo(id)
				}
			}
		}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pacedPool("r")
			now := time.Second
			join(p, now, nil)
			c.others(p, now)
			for range 4 {
				d := p.Acquire(now, request(now, ""))
				g.Expect(d.Refused).To(BeEmpty())
				g.Expect(d.Server).To(Equal("new"))
			}
		})
	}
}

// TestColdLimitBeforePace guards against a pace that lets more requests through to a cold
// server than the cold limit.
func TestColdLimitBeforePace(t *testing.T) {
	g := NewWithT(t)
	p := pacedPool("r")
	s := join(p, time.Second, func(b *fleet.Backend) { b.ColdUntil = 5 * time.Second })
	s.coldTokens, s.coldTokensAt = 0, time.Second
	p.servers["a"].draining, p.servers["b"].draining = true, true
	g.Expect(p.Acquire(time.Second, request(time.Second, "")).Refused).To(Equal(NoServer))
}

// TestPaceOfAllRegions guards against a server that each region floods on its own, and
// against a region that does not use the server and holds back the others.
func TestPaceOfAllRegions(t *testing.T) {
	g := NewWithT(t)
	home, remote := pacedPool("r"), pacedPool("q")
	now := time.Second
	home.Acquire(now, request(now, ""))
	remote.Acquire(now, request(now, ""))
	near, far := join(home, now, nil), join(remote, now, nil)
	near.pacing.limit, far.pacing.limit = 4, 3
	g.Expect(remote.Digest(now).Pace).To(BeEmpty(), "not in use there")
	for range 2 {
		home.grant(now, request(now, ""), near, estimate{})
	}
	remote.grant(now, request(now, ""), far, estimate{})
	d := remote.Digest(now)
	g.Expect(d.Pace).To(Equal(map[string]int{"new": 3}))
	home.Merge(now, d)
	g.Expect(home.hasPaceRoom(now, near)).To(BeFalse(), "3 in flight at the smaller limit of 3")
	g.Expect(home.hasPaceRoom(now+maxForeignLimitAge+ms, near)).To(BeTrue(), "that limit is too old")
	d.Pace = nil
	home.Merge(now, d)
	g.Expect(home.hasPaceRoom(now, near)).To(BeTrue(), "the other pool has ended it")
}

// TestPaceProperties checks, in random sequences, that a pace never causes a refusal and
// that the pool grants no more than the limit while others have room.
func TestPaceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pacedPool("r")
		now := time.Second
		join(p, now, nil)
		var grants []uint64
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "step")) * ms
			if rapid.Bool().Draw(t, "acquire") || len(grants) == 0 {
				s := p.servers["new"]
				room := p.hasPaceRoom(now, s)
				r := request(now, "")
				othersFree := p.usable(now, r, p.servers["a"], freeServers) || p.usable(now, r, p.servers["b"], freeServers)
				d := p.Acquire(now, r)
				if d.Refused == "" {
					grants = append(grants, d.Grant)
				}
				if !room && othersFree && d.Server == "new" {
					t.Fatalf("at %v: granted beyond the limit %v", now, s.pacing.limit)
				}
				if d.Refused != "" && d.Refused != Late && s.load(now) < float64(s.slots) && s.available(now) && !s.cold(now) {
					t.Fatalf("at %v: refused with a free slot: %+v", now, d)
				}
				continue
			}
			i := rapid.IntRange(0, len(grants)-1).Draw(t, "grant")
			result := rapid.SampledFrom([]Result{Served, Served, Served, Shed, TimedOut}).Draw(t, "result")
			p.Release(now, grants[i], Report{Result: result, Elapsed: 100 * ms})
			grants = append(grants[:i], grants[i+1:]...)
		}
	})
}
