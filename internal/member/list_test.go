package member

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/host"
)

func listOf(ids ...host.ID) ListReceived {
	var l ListReceived
	for _, id := range ids {
		l.Hosts = append(l.Hosts, Listed{ID: id, Region: "r", RPCAddress: string(id) + ":1", State: ListedLive})
	}
	return l
}

func machine(id host.ID, inc host.Incarnation) *Machine {
	return New(DefaultConfig(), host.Info{ID: id, Incarnation: inc, Region: "r"}, rand.New(rand.NewSource(1)))
}

func alive(id host.ID, inc host.Incarnation) PingReceived {
	return PingReceived{Ping: Ping{Region: "r", From: Claim{ID: id, Incarnation: inc, Status: Live, Place: &Place{}}}}
}

// Guards against an incarnation that counts as ended too early, which would
// let two lessors grant at once, or never, which would leave a region without.
func TestEnded(t *testing.T) {
	s := time.Second
	// every feeds the same event each second in [from, to).
	every := func(m *Machine, from, to time.Duration, ev Event) {
		for at := from; at < to; at += s {
			m.Step(at, ev, nil)
		}
	}
	for _, tc := range []struct {
		desc string
		run  func(m *Machine)
		want bool
	}{
		{"listed", func(m *Machine) { every(m, 0, 60*s, listOf("a", "b")) }, false},
		{"missing for less than lag and self-check", func(m *Machine) {
			every(m, 0, 10*s, listOf("a", "b"))
			every(m, 10*s, 35*s, listOf("a"))
		}, false},
		{"missing for longer", func(m *Machine) {
			every(m, 0, 10*s, listOf("a", "b"))
			every(m, 10*s, 36*s, listOf("a"))
		}, true},
		{"missing, with an outage of the list between", func(m *Machine) {
			every(m, 0, 10*s, listOf("a", "b"))
			every(m, 10*s, 15*s, listOf("a"))
			every(m, 15*s, 40*s, ListFailed{})
			every(m, 40*s, 60*s, listOf("a"))
		}, false},
		{"a list that names nobody is an outage", func(m *Machine) {
			every(m, 0, 10*s, listOf("a", "b"))
			every(m, 10*s, 60*s, listOf())
		}, false},
		{"a new process heard of just now, not listed yet", func(m *Machine) {
			*m = *machine("a", 1)
			every(m, 0, 50*s, listOf("a"))
			m.Step(50*s, alive("b", 5), nil)
			every(m, 50*s, 60*s, listOf("a"))
		}, false},
		{"a later incarnation answers", func(m *Machine) {
			every(m, 0, s, listOf("a", "b"))
			m.Step(s, alive("b", 6), nil)
		}, true},
		{"an earlier incarnation is heard late", func(m *Machine) {
			every(m, 0, s, listOf("a", "b"))
			m.Step(s, alive("b", 5), nil)
			m.Step(s, alive("b", 4), nil)
		}, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			m := machine("a", 1)
			m.Step(0, alive("b", 5), nil)
			tc.run(m)
			NewWithT(t).Expect(m.Ended("b", 5, 0)).To(Equal(tc.want))
		})
	}
}

// Guards against a host that keeps leases while the platform does not list it.
func TestSelfListed(t *testing.T) {
	g := NewWithT(t)
	m := machine("a", 1)
	g.Expect(m.SelfListed(0)).To(BeFalse(), "not seen yet")
	m.Step(time.Second, listOf("a"), nil)
	g.Expect(m.SelfListed(11 * time.Second)).To(BeTrue())
	m.Step(5*time.Second, listOf("b"), nil)
	g.Expect(m.SelfListed(12 * time.Second)).To(BeFalse())
	g.Expect(m.ListAnswering(12 * time.Second)).To(BeTrue())
}

// Guards against hosts that give work to a host that is leaving, by its own
// announcement, by the platform's list, or while it is suspect.
func TestLeavingTakesNoWork(t *testing.T) {
	g := NewWithT(t)
	s := newSim(3, 1, 8, network{delay: time.Millisecond})
	s.runUntil(15 * time.Second)
	leaver, other := s.nodes[2], s.nodes[5]
	s.feed(leaver, Leave{})
	s.runUntil(18 * time.Second)
	for _, n := range s.nodes {
		m, _ := n.m.Member(leaver.info.ID)
		g.Expect(m.TakesWork()).To(BeFalse())
	}
	s.feed(leaver, Stop{})
	s.crash(leaver)
	s.runUntil(20 * time.Second)
	for _, n := range s.nodes {
		if n.m != nil {
			m, _ := n.m.Member(leaver.info.ID)
			g.Expect(m.Status).To(Equal(Gone), "the goodbye makes probes unnecessary")
			g.Expect(n.m.Stats().Suspicions).To(BeZero())
		}
	}
	listed := listOf(other.info.ID, s.nodes[0].info.ID)
	for i := range listed.Hosts {
		listed.Hosts[i].Region = other.info.Region
	}
	listed.Hosts[0].State = ListedLeaving
	s.feed(s.nodes[0], listed)
	m, _ := s.nodes[0].m.Member(other.info.ID)
	g.Expect(m.Status).To(Equal(Live))
	g.Expect(m.TakesWork()).To(BeFalse())
}

// Guards against a process that goes on after its host runs a later one.
func TestSuperseded(t *testing.T) {
	g := NewWithT(t)
	m := machine("a", 3)
	g.Expect(m.Step(0, alive("a", 2), nil)).NotTo(ContainElement(BeAssignableToTypeOf(Superseded{})))
	g.Expect(m.Step(0, alive("a", 4), nil)).To(ContainElement(Superseded{By: 4}))
	g.Expect(m.Ended("a", 3, 0)).To(BeTrue())
}

// Guards against memory that grows with every host that was ever replaced, and
// against late messages that bring an ended process back.
func TestForgottenAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := machine("a", 1)
	m.cfg.MaxForgotten = 3
	now := time.Duration(0)
	for i := range 10 {
		id := host.ID("host-" + string(rune('a'+i)))
		m.Step(now, alive(id, 1), nil)
		m.Step(now, PingReceived{Ping: Ping{Region: "r", From: Claim{ID: id, Incarnation: 1, Refutation: 1, Status: Gone}}}, nil)
		for range 30 {
			now += time.Second
			m.Step(now, listOf("a"), nil)
		}
		m.Step(now, alive(id, 1), nil)
		g.Expect(m.Members()).To(HaveLen(1), "a late message changes nothing")
	}
	g.Expect(m.State().Forgotten).To(Equal(3))
	g.Expect(m.records).To(HaveLen(3))
}
