package member

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/host"
)

// listAnswer returns an answer of the host list that names the given hosts as
// live.
func listAnswer(ids ...host.ID) ListReceived {
	var l ListReceived
	for _, id := range ids {
		l.Hosts = append(l.Hosts, Listed{ID: id, Region: "r", RPCAddress: string(id) + ":1", State: ListedLive})
	}
	return l
}

func newMachine(id host.ID, inc host.Incarnation) *Machine {
	return New(DefaultConfig(), host.Info{ID: id, Incarnation: inc, Region: "r"}, rand.New(rand.NewSource(1)))
}

// livePing returns a ping of a live process.
func livePing(id host.ID, inc host.Incarnation) PingReceived {
	return PingReceived{Ping: Ping{Region: "r", From: Claim{ID: id, Incarnation: inc, Status: Live, Location: &Location{}}}}
}

// Guards against an incarnation that counts as ended too early, so that two
// primaries would grant at the same time, or never, so that a region would stay
// without a primary.
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
		{"listed", func(m *Machine) { every(m, 0, 60*s, listAnswer("a", "b")) }, false},
		{"missing for less than lag and self-check", func(m *Machine) {
			every(m, 0, 10*s, listAnswer("a", "b"))
			every(m, 10*s, 35*s, listAnswer("a"))
		}, false},
		{"missing for longer than lag and self-check", func(m *Machine) {
			every(m, 0, 10*s, listAnswer("a", "b"))
			every(m, 10*s, 36*s, listAnswer("a"))
		}, true},
		{"missing, with an outage of the list in between", func(m *Machine) {
			every(m, 0, 10*s, listAnswer("a", "b"))
			every(m, 10*s, 15*s, listAnswer("a"))
			every(m, 15*s, 40*s, ListFailed{})
			every(m, 40*s, 60*s, listAnswer("a"))
		}, false},
		{"a list without any host counts as an outage", func(m *Machine) {
			every(m, 0, 10*s, listAnswer("a", "b"))
			every(m, 10*s, 60*s, listAnswer())
		}, false},
		{"a new process that became known just now, not listed yet", func(m *Machine) {
			*m = *newMachine("a", 1)
			every(m, 0, 50*s, listAnswer("a"))
			m.Step(50*s, livePing("b", 5), nil)
			every(m, 50*s, 60*s, listAnswer("a"))
		}, false},
		{"a later incarnation answers", func(m *Machine) {
			every(m, 0, s, listAnswer("a", "b"))
			m.Step(s, livePing("b", 6), nil)
		}, true},
		{"a message of an earlier incarnation arrives late", func(m *Machine) {
			every(m, 0, s, listAnswer("a", "b"))
			m.Step(s, livePing("b", 5), nil)
			m.Step(s, livePing("b", 4), nil)
		}, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			m := newMachine("a", 1)
			m.Step(0, livePing("b", 5), nil)
			tc.run(m)
			NewWithT(t).Expect(m.Ended("b", 5, 0)).To(Equal(tc.want))
		})
	}
}

// Guards against a host that still holds leases although the host list no
// longer names it.
func TestSelfListed(t *testing.T) {
	g := NewWithT(t)
	m := newMachine("a", 1)
	g.Expect(m.SelfListed(0)).To(BeFalse(), "not seen yet")
	m.Step(time.Second, listAnswer("a"), nil)
	g.Expect(m.SelfListed(11 * time.Second)).To(BeTrue())
	m.Step(5*time.Second, listAnswer("b"), nil)
	g.Expect(m.SelfListed(12 * time.Second)).To(BeFalse())
	g.Expect(m.ListAnswering(12 * time.Second)).To(BeTrue())
}

// Guards against hosts that direct work to a host that has announced its shutdown
// or is listed as leaving, and against suspicions of a process that has announced
// its end.
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
			g.Expect(m.Status).To(Equal(Gone), "the announced end needs no probe")
			g.Expect(n.m.Stats().Suspicions).To(BeZero())
		}
	}
	listed := listAnswer(other.info.ID, s.nodes[0].info.ID)
	for i := range listed.Hosts {
		listed.Hosts[i].Region = other.info.Region
	}
	listed.Hosts[0].State = ListedLeaving
	s.feed(s.nodes[0], listed)
	m, _ := s.nodes[0].m.Member(other.info.ID)
	g.Expect(m.Status).To(Equal(Live))
	g.Expect(m.TakesWork()).To(BeFalse())
}

// Guards against a process that continues although a later incarnation runs on
// its host.
func TestSuperseded(t *testing.T) {
	g := NewWithT(t)
	m := newMachine("a", 3)
	g.Expect(m.Step(0, livePing("a", 2), nil)).NotTo(ContainElement(BeAssignableToTypeOf(Superseded{})))
	g.Expect(m.Step(0, livePing("a", 4), nil)).To(ContainElement(Superseded{By: 4}))
	g.Expect(m.Ended("a", 3, 0)).To(BeTrue())
}

// Guards against memory that grows with every replaced host, and against late
// messages that make an ended process a member again.
func TestTombstonesAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := newMachine("a", 1)
	m.cfg.MaxTombstones = 3
	now := time.Duration(0)
	for i := range 10 {
		id := host.ID("host-" + string(rune('a'+i)))
		m.Step(now, livePing(id, 1), nil)
		m.Step(now, PingReceived{Ping: Ping{Region: "r", From: Claim{ID: id, Incarnation: 1, Refutation: 1, Status: Gone}}}, nil)
		for range 30 {
			now += time.Second
			m.Step(now, listAnswer("a"), nil)
		}
		m.Step(now, livePing(id, 1), nil)
		g.Expect(m.Members()).To(HaveLen(1), "a late message changes nothing")
	}
	g.Expect(m.State().Tombstones).To(Equal(3))
	g.Expect(m.records).To(HaveLen(3))
}
