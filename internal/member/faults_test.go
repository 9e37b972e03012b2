package member

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/internal/host"
)

// excuseDeaths exempts declarations as gone until t from the check, because hosts
// cannot reach each other.
func (s *sim) excuseDeaths(t time.Duration) {
	for _, n := range s.nodes {
		n.excusedUntil = max(n.excusedUntil, t)
	}
}

// Guards against views that still differ after crashes, restarts, pauses,
// partitions, host list outages, and lost, duplicated and late messages; against
// a return to an earlier incarnation; and against processes that are declared
// gone while they run and are reachable, or count as ended while they run.
func TestViewsAgreeAfterFaultsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := network{
			loss:      rapid.SampledFrom([]float64{0, 0.02, 0.05}).Draw(t, "loss"),
			duplicate: rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "duplicate"),
			late:      rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late"),
			lateDelay: 30 * time.Second, delay: 2 * time.Millisecond,
		}
		s := newSim(rapid.Int64().Draw(t, "seed"), 1, rapid.IntRange(2, 24).Draw(t, "hosts"), net)
		s.runUntil(5 * time.Second)
		pick := func() *simNode { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(*rapid.T) { s.crash(pick()) },
			"restart": func(*rapid.T) {
				n := pick()
				n.removed = false
				s.recordList()
				s.startProcess(n)
			},
			"remove": func(*rapid.T) {
				n := pick()
				s.crash(n)
				n.removed = true
				s.recordList()
			},
			"pause": func(*rapid.T) { s.pause(pick(), 6*time.Second) },
			"list down": func(*rapid.T) {
				s.listDown = !s.listDown
			},
			"partition": func(t *rapid.T) {
				n := pick()
				n.partition = 1 - n.partition
				s.excuseDeaths(s.now + 20*time.Second)
			},
			"run": func(t *rapid.T) {
				s.runUntil(s.now + time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms"))*time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, n := range s.nodes {
					if n.partition != 0 {
						s.excuseDeaths(s.now + 20*time.Second)
					}
				}
				for _, n := range s.nodes {
					for _, o := range s.nodes {
						if n.m != nil && o.m != nil && n.m.Ended(o.info.ID, o.info.Incarnation, o.startedAt) {
							t.Fatalf("%s takes the running %s for ended", n.info.ID, o.info.ID)
						}
					}
				}
				if len(s.falseDeaths) > 0 || len(s.reversals) > 0 {
					t.Fatalf("false deaths %v, reversals %v", s.falseDeaths, s.reversals)
				}
			},
		})
		s.listDown = false
		for _, n := range s.nodes {
			n.partition = 0
		}
		s.excuseDeaths(s.now + 20*time.Second)
		s.runUntil(s.now + 45*time.Second)
		// Messages are still lost, so a suspicion may be open at any given instant.
		for range 10 {
			if len(s.disagreements()) == 0 {
				return
			}
			s.runUntil(s.now + time.Second)
		}
		t.Fatalf("no agreement: %v", s.disagreements())
	})
}

// runFaults runs restarts, pauses, two hosts that cannot reach each other, and a
// partition.
func runFaults(s *sim) {
	s.brokenLinks = map[[2]host.ID]bool{}
	s.runUntil(20 * time.Second)
	for i := range 30 {
		s.crash(s.nodes[i%len(s.nodes)])
		s.runUntil(s.now + 9*time.Second)
		s.startProcess(s.nodes[i%len(s.nodes)])
		s.runUntil(s.now + 3*time.Second)
		s.pause(s.nodes[(i+5)%len(s.nodes)], 3*time.Second)
	}
	s.brokenLinks[[2]host.ID{s.nodes[0].info.ID, s.nodes[1].info.ID}] = true
	s.runUntil(s.now + 120*time.Second)
	for i := range len(s.nodes) / 2 {
		s.nodes[i].partition = 1
	}
	s.excuseDeaths(s.now + 50*time.Second)
	s.runUntil(s.now + 30*time.Second)
	for _, n := range s.nodes {
		n.partition = 0
	}
	s.brokenLinks = nil
	s.runUntil(s.now + 60*time.Second)
}

// Guards against checks that cannot fail: each variant breaks one rule of the
// protocol and must fail the check of that rule.
func TestBrokenVariantsAreCaught(t *testing.T) {
	falseDeath := func(s *sim) bool { return len(s.falseDeaths) > 0 }
	reversal := func(s *sim) bool { return len(s.reversals) > 0 || len(s.falseDeaths) > 0 }
	disagree := func(s *sim) bool { return len(s.disagreements()) > 0 }
	for _, tc := range []struct {
		desc      string
		breakRule func(s *sim)
		fails     func(s *sim) bool
	}{
		{desc: "a process ignores suspicions of itself", fails: falseDeath,
			breakRule: func(s *sim) { s.alterEvent = dropOwnClaims }},
		{desc: "claims about earlier incarnations count as present", fails: reversal,
			breakRule: func(s *sim) { s.alterEvent = raiseToKnownIncarnation }},
		{desc: "others are not asked to probe", fails: falseDeath,
			breakRule: func(s *sim) { s.dropAction = func(a Action) bool { _, ok := a.(SendPingReq); return ok } }},
		{desc: "a suspect gets no time to refute", fails: falseDeath,
			breakRule: func(s *sim) {
				s.cfg.SuspicionTimeout, s.cfg.PingTimeout, s.cfg.ProbeTimeout = 10*time.Millisecond, 3*time.Millisecond, 4*time.Millisecond
			}},
		{desc: "the host list is ignored, so the sides of a partition stay apart", fails: disagree,
			breakRule: func(s *sim) {
				s.alterEvent = func(_ *simNode, ev Event) (Event, bool) {
					l, ok := ev.(ListReceived)
					return ev, !ok || len(l.Hosts) == 0 || s.now < 20*time.Second
				}
			}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			for _, broken := range []bool{false, true} {
				s := newSim(11, 1, 12, network{loss: 0.1, late: 0.01, lateDelay: 20 * time.Second, delay: time.Millisecond})
				if broken {
					tc.breakRule(s)
					for _, n := range s.nodes {
						s.startProcess(n)
					}
				}
				runFaults(s)
				g.Expect(tc.fails(s)).To(Equal(broken), "false deaths %v, reversals %v, disagreements %v",
					s.falseDeaths, s.reversals, s.disagreements())
			}
		})
	}
}

// Guards against a process that resumes after a pause and declares a suspected
// member gone before it has read the answers that arrived meanwhile.
func TestPauseEndsNoSuspicion(t *testing.T) {
	for _, tc := range []struct {
		desc       string
		pauseLimit time.Duration
		want       Status
	}{
		{"deadlines are extended by the pause", DefaultConfig().PauseLimit, Suspect},
		{"broken: deadlines are not extended", never, Gone},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			cfg := DefaultConfig()
			cfg.PauseLimit = tc.pauseLimit
			m := New(cfg, host.Info{ID: "a", Incarnation: 1, Region: "r"}, rand.New(rand.NewSource(1)))
			b := Claim{ID: "b", Incarnation: 1, Status: Live, Location: &Location{}}
			m.Step(0, PingReceived{Ping: Ping{Region: "r", From: b}}, nil)
			status := func() Status { v, _ := m.Member("b"); return v.Status }
			for status() == Live {
				m.Step(m.NextWake(), Tick{}, nil)
			}
			g.Expect(status()).To(Equal(Suspect))
			m.Step(m.lastStep+20*time.Second, Tick{}, nil)
			g.Expect(status()).To(Equal(tc.want))
		})
	}
}

// mapClaims applies f to the updates of a message and drops those for which f
// returns false.
func mapClaims(ev Event, f func(Claim) (Claim, bool)) Event {
	each := func(in []Claim) []Claim {
		var out []Claim
		for _, c := range in {
			if c, ok := f(c); ok {
				out = append(out, c)
			}
		}
		return out
	}
	switch e := ev.(type) {
	case PingReceived:
		e.Ping.Updates = each(e.Ping.Updates)
		return e
	case PongReceived:
		e.Pong.Updates = each(e.Pong.Updates)
		return e
	}
	return ev
}

// dropOwnClaims removes the claims about the receiver itself.
func dropOwnClaims(n *simNode, ev Event) (Event, bool) {
	return mapClaims(ev, func(c Claim) (Claim, bool) { return c, c.ID != n.info.ID }), true
}

// raiseToKnownIncarnation makes claims about earlier incarnations look like claims
// about the known one.
func raiseToKnownIncarnation(n *simNode, ev Event) (Event, bool) {
	return mapClaims(ev, func(c Claim) (Claim, bool) {
		if r, ok := n.m.records[c.ID]; ok && r.claim.Incarnation > c.Incarnation {
			c.Incarnation = r.claim.Incarnation
		}
		return c, true
	}), true
}

// Guards against results that depend on the order in which claims arrive or on
// their number: the member must equal the claim of the greatest incarnation,
// refutation and status so far.
func TestClaimsInAnyOrderProperty(t *testing.T) {
	claim := rapid.Custom(func(t *rapid.T) Claim {
		return Claim{
			ID: "b", Incarnation: host.Incarnation(rapid.IntRange(1, 3).Draw(t, "inc")),
			Refutation: uint32(rapid.IntRange(0, 3).Draw(t, "ref")),
			Status:     rapid.SampledFrom([]Status{Joining, Live, Leaving, Suspect, Gone}).Draw(t, "status"),
			Location:   &Location{"d", "10.0.0.2:1", "10.0.0.2:2"},
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultConfig(), host.Info{ID: "a", Incarnation: 9, Region: "r"}, rand.New(rand.NewSource(1)))
		m.Step(0, ListReceived{[]Listed{{ID: "a", Region: "r"}, {ID: "b", Region: "r", State: ListedLive}}}, nil)
		claims := rapid.SliceOfN(claim, 1, 12).Draw(t, "claims")
		fullPrecedence := func(c Claim) int {
			return int(c.Incarnation)*1000 + int(c.Refutation)*10 + c.Status.precedence()
		}
		best := claims[0]
		for _, c := range claims {
			if fullPrecedence(c) > fullPrecedence(best) {
				best = c
			}
			m.Step(0, PingReceived{Ping: Ping{Region: "r", From: c}}, nil)
			got, _ := m.Member("b")
			if got.Status != best.Status || got.Incarnation != best.Incarnation || got.Refutation != best.Refutation {
				t.Fatalf("after %+v: member %+v, want %+v", c, got, best)
			}
		}
	})
}
