package member

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/internal/host"
)

// excuse marks deaths until t as caused by a real loss of contact.
func (s *sim) excuse(t time.Duration) {
	for _, n := range s.nodes {
		n.blamable = max(n.blamable, t)
	}
}

// Guards against views that never agree again after crashes, restarts, pauses,
// partitions, host list outages, loss, duplication and late messages, against
// steps back to an earlier incarnation, and against deaths without a cause.
func TestFaultsProperty(t *testing.T) {
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
				s.relist()
				s.startProcess(n)
			},
			"remove": func(*rapid.T) {
				n := pick()
				s.crash(n)
				n.removed = true
				s.relist()
			},
			"pause": func(*rapid.T) { s.pause(pick(), 6*time.Second) },
			"list down": func(*rapid.T) {
				s.listDown = !s.listDown
			},
			"partition": func(t *rapid.T) {
				n := pick()
				n.side = 1 - n.side
				s.excuse(s.now + 20*time.Second)
			},
			"run": func(t *rapid.T) {
				s.runUntil(s.now + time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms"))*time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, n := range s.nodes {
					if n.side != 0 {
						s.excuse(s.now + 20*time.Second)
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
			n.side = 0
		}
		s.excuse(s.now + 20*time.Second)
		s.runUntil(s.now + 45*time.Second)
		// The loss goes on, so a suspicion may be open at any one instant.
		for range 10 {
			if len(s.disagreements()) == 0 {
				return
			}
			s.runUntil(s.now + time.Second)
		}
		t.Fatalf("no agreement: %v", s.disagreements())
	})
}

// scenario runs restarts, pauses, a broken pair of hosts and a partition.
func scenario(s *sim) {
	s.cut = map[[2]host.ID]bool{}
	s.runUntil(20 * time.Second)
	for i := range 30 {
		s.crash(s.nodes[i%len(s.nodes)])
		s.runUntil(s.now + 9*time.Second)
		s.startProcess(s.nodes[i%len(s.nodes)])
		s.runUntil(s.now + 3*time.Second)
		s.pause(s.nodes[(i+5)%len(s.nodes)], 3*time.Second)
	}
	s.cut[[2]host.ID{s.nodes[0].info.ID, s.nodes[1].info.ID}] = true
	s.runUntil(s.now + 120*time.Second)
	for i := range len(s.nodes) / 2 {
		s.nodes[i].side = 1
	}
	s.excuse(s.now + 50*time.Second)
	s.runUntil(s.now + 30*time.Second)
	for _, n := range s.nodes {
		n.side = 0
	}
	s.cut = nil
	s.runUntil(s.now + 60*time.Second)
}

// Guards against checks that cannot fail: each variant breaks one rule of the
// protocol and must trip the check that stands for the rule.
func TestBrokenVariantsAreCaught(t *testing.T) {
	falseDeath := func(s *sim) bool { return len(s.falseDeaths) > 0 }
	stepBack := func(s *sim) bool { return len(s.reversals) > 0 || len(s.falseDeaths) > 0 }
	disagree := func(s *sim) bool { return len(s.disagreements()) > 0 }
	for _, tc := range []struct {
		desc   string
		breakf func(s *sim)
		trips  func(s *sim) bool
	}{
		{desc: "a process ignores suspicions of itself", trips: falseDeath,
			breakf: func(s *sim) { s.mangle = withoutOwnClaims }},
		{desc: "claims about earlier incarnations count as present", trips: stepBack,
			breakf: func(s *sim) { s.mangle = presentIncarnation }},
		{desc: "others are not asked to probe", trips: falseDeath,
			breakf: func(s *sim) { s.drop = func(a Action) bool { _, ok := a.(SendPingReq); return ok } }},
		{desc: "a suspect gets no time to refute", trips: falseDeath,
			breakf: func(s *sim) {
				s.cfg.SuspicionTimeout, s.cfg.PingTimeout, s.cfg.ProbeTimeout = 10*time.Millisecond, 3*time.Millisecond, 4*time.Millisecond
			}},
		{desc: "the host list is ignored, so sides that parted stay apart", trips: disagree,
			breakf: func(s *sim) {
				s.mangle = func(_ *simNode, ev Event) (Event, bool) {
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
					tc.breakf(s)
					for _, n := range s.nodes {
						s.startProcess(n)
					}
				}
				scenario(s)
				g.Expect(tc.trips(s)).To(Equal(broken), "false deaths %v, reversals %v, disagreements %v",
					s.falseDeaths, s.reversals, s.disagreements())
			}
		})
	}
}

// Guards against a process that was paused and, on waking, takes a suspected
// member for gone before it reads the answers that arrived meanwhile.
func TestPauseEndsNoSuspicion(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		limit time.Duration
		want  Status
	}{
		{"the pause is allowed for", DefaultConfig().PauseLimit, Suspect},
		{"broken: timers are trusted", never, Gone},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			cfg := DefaultConfig()
			cfg.PauseLimit = tc.limit
			m := New(cfg, host.Info{ID: "a", Incarnation: 1, Region: "r"}, rand.New(rand.NewSource(1)))
			b := Claim{ID: "b", Incarnation: 1, Status: Live, Place: &Place{}}
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

// mapClaims applies f to all claims of a message.
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

func withoutOwnClaims(n *simNode, ev Event) (Event, bool) {
	return mapClaims(ev, func(c Claim) (Claim, bool) { return c, c.ID != n.info.ID }), true
}

func presentIncarnation(n *simNode, ev Event) (Event, bool) {
	return mapClaims(ev, func(c Claim) (Claim, bool) {
		if r, ok := n.m.records[c.ID]; ok && r.claim.Incarnation > c.Incarnation {
			c.Incarnation = r.claim.Incarnation
		}
		return c, true
	}), true
}

// Guards against results that depend on the order or the number of times in
// which claims arrive, by comparison with the greatest claim of a naive model.
func TestClaimsInAnyOrderProperty(t *testing.T) {
	claim := rapid.Custom(func(t *rapid.T) Claim {
		return Claim{
			ID: "b", Incarnation: host.Incarnation(rapid.IntRange(1, 3).Draw(t, "inc")),
			Refutation: uint32(rapid.IntRange(0, 3).Draw(t, "ref")),
			Status:     rapid.SampledFrom([]Status{Joining, Live, Leaving, Suspect, Gone}).Draw(t, "status"),
			Place:      &Place{"d", "10.0.0.2:1", "10.0.0.2:2"},
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultConfig(), host.Info{ID: "a", Incarnation: 9, Region: "r"}, rand.New(rand.NewSource(1)))
		m.Step(0, ListReceived{[]Listed{{ID: "a", Region: "r"}, {ID: "b", Region: "r", State: ListedLive}}}, nil)
		claims := rapid.SliceOfN(claim, 1, 12).Draw(t, "claims")
		weight := func(c Claim) int {
			return int(c.Incarnation)*1000 + int(c.Refutation)*10 + c.Status.order()
		}
		best := claims[0]
		for _, c := range claims {
			if weight(c) > weight(best) {
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
