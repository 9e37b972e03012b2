package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/host"
)

// takeoverLimit is the longest time without a primary while the standby lives.
const takeoverLimit = defaultTTL + defaultMargin + 2*time.Second

// newSettledSim returns a region whose primary has a nominated successor.
func newSettledSim(t *testing.T, seed uint64, hosts int) (*sim, *gomega.WithT) {
	g := gomega.NewWithT(t)
	s := newSim(seed, hosts, Config{})
	s.run(60 * time.Second)
	g.Expect(s.failure).To(gomega.BeEmpty())
	g.Expect(s.primary()).NotTo(gomega.BeNil())
	g.Expect(s.primary().lessor.bounds().LastStamp).To(gomega.BeNumerically(">", 0), "successor is not nominated")
	return s, g
}

func (s *sim) index(ref Ref) int { return s.indexByID[ref.ID] }

func (s *sim) holderOf(resource string) *process {
	for _, p := range s.hosts {
		if p.alive && p.holder.Valid(s.clock(p), resource) {
			return p
		}
	}
	return nil
}

// heldResources returns the number of resources that have a valid holder.
func (s *sim) heldResources() int {
	n := 0
	for _, r := range s.resources {
		if s.holderOf(r.Name) != nil {
			n++
		}
	}
	return n
}

// Guards against a region without faults that changes its primary, loses holders
// or calls the store more often than for its writes and watches.
func TestIdleRegionIsStable(t *testing.T) {
	s, g := newSettledSim(t, 1, 12)
	primary, calls := s.primary(), s.reads+s.writes
	s.run(100 * time.Second)
	g.Expect(s.failure).To(gomega.BeEmpty())
	g.Expect(s.primary()).To(gomega.Equal(primary))
	g.Expect(s.heldResources()).To(gomega.Equal(3))
	// One write and one returning watch a second, plus the jitter.
	g.Expect(s.reads + s.writes - calls).To(gomega.BeNumerically("<=", 250))
}

// Guards against a crash of the primary that leaves the region without a primary
// for longer than TTL, margin and 2 s.
func TestPrimaryCrash(t *testing.T) {
	s, g := newSettledSim(t, 2, 12)
	s.crash(s.index(s.primary().ref))
	s.run(takeoverLimit)
	g.Expect(s.primary()).NotTo(gomega.BeNil())
	s.run(5 * time.Second)
	g.Expect(s.failure).To(gomega.BeEmpty())
	g.Expect(s.heldResources()).To(gomega.Equal(3))
}

// Guards against a holder that still uses a resource after a pause of its process,
// during which its lease expired and another host got the resource.
func TestLeaseLapsesWhileHolderIsPaused(t *testing.T) {
	s, g := newSettledSim(t, 3, 12)
	holder := s.holderOf("pool/s0")
	s.pause(s.index(holder.ref), 20*time.Second)
	s.run(10 * time.Second)
	g.Expect(holder.holder.Valid(s.clock(holder), "pool/s0")).To(gomega.BeFalse())
	g.Expect(s.holderOf("pool/s0")).NotTo(gomega.BeNil())
	s.run(30 * time.Second)
	g.Expect(s.failure).To(gomega.BeEmpty())
}

// Guards against a write of the record or a takeover that is repeated or given up
// although its write took effect, because the store's answer was lost.
func TestAnswerLostAfterTheWrite(t *testing.T) {
	s, g := newSettledSim(t, 4, 12)
	primary := s.primary()
	s.faults.loseAnswers = 1
	s.run(time.Minute)
	g.Expect(s.primary()).To(gomega.Equal(primary))
	s.crash(s.index(primary.ref))
	// The lost answer costs one timeout of a second and a read.
	s.run(takeoverLimit)
	g.Expect(s.primary()).NotTo(gomega.BeNil())
	g.Expect(s.failure).To(gomega.BeEmpty())
}

// Guards against two candidates that both take over after primary and standby
// crashed together.
func TestTwoTakeoversRace(t *testing.T) {
	s, g := newSettledSim(t, 5, 12)
	primary := s.primary()
	s.crash(s.index(primary.lessor.primary.successor))
	s.crash(s.index(primary.ref))
	s.recordHostList()
	s.run(s.listLag + s.cfg.endedAfter() + 10*time.Second)
	g.Expect(s.primary()).NotTo(gomega.BeNil())
	s.run(time.Minute)
	g.Expect(s.failure).To(gomega.BeEmpty())
}

// Guards against a region that loses its primary when every host is replaced
// gracefully, one after another, during an hour without the store.
func TestStoreDownWhileEveryHostIsReplaced(t *testing.T) {
	s, g := newSettledSim(t, 6, 12)
	s.faults.storeDown = true
	s.wakeWatchers()
	withoutPrimary := time.Duration(0)
	for minute := range 60 {
		if minute%5 == 2 {
			s.replace(minute / 5)
		}
		for range 60 {
			s.run(time.Second)
			if s.primary() == nil {
				withoutPrimary += time.Second
			}
		}
	}
	g.Expect(s.failure).To(gomega.BeEmpty())
	g.Expect(withoutPrimary).To(gomega.BeNumerically("<=", time.Second), "time without a primary")
	for _, p := range s.hosts {
		g.Expect(p.ref.Incarnation).To(gomega.BeNumerically(">", 1))
	}
	epoch, primary := s.primary().lessor.primary.epoch, s.primary()
	s.faults.storeDown = false
	s.run(time.Minute)
	g.Expect(s.failure).To(gomega.BeEmpty())
	g.Expect(s.primary()).To(gomega.Equal(primary))
	g.Expect(primary.lessor.State().Record.Epoch).To(gomega.Equal(epoch))
}

// Guards against a primary that has lost store and standby but keeps its authority
// beyond TTL, against holders that keep their leases 3 s longer, and against a
// region that does not recover when the store returns.
func TestStoreDownAndStandbyDead(t *testing.T) {
	s, g := newSettledSim(t, 7, 12)
	s.faults.storeDown = true
	s.crash(s.index(s.primary().lessor.primary.successor))
	s.run(defaultTTL)
	g.Expect(s.primary()).To(gomega.BeNil())
	s.run(3 * time.Second)
	g.Expect(s.heldResources()).To(gomega.BeZero())
	s.faults.storeDown = false
	s.run(takeoverLimit)
	g.Expect(s.primary()).NotTo(gomega.BeNil())
	s.run(5 * time.Second)
	g.Expect(s.heldResources()).To(gomega.Equal(3))
	g.Expect(s.failure).To(gomega.BeEmpty())
}

// Guards against a region that stays without a primary and holders when the
// primary's failure domain is lost together with the store. The standby must
// succeed within 10 s of the host list showing that the primary has ended.
func TestFailureDomainLostTogetherWithStore(t *testing.T) {
	s, g := newSettledSim(t, 8, 12)
	domain := s.primary().info.FailureDomain
	s.faults.storeDown = true
	for i, p := range s.hosts {
		if p.info.FailureDomain == domain {
			s.crash(i)
		}
	}
	s.recordHostList()
	s.run(s.listLag + s.cfg.endedAfter() + 10*time.Second)
	g.Expect(s.primary()).NotTo(gomega.BeNil())
	g.Expect(s.heldResources()).To(gomega.Equal(3))
	s.faults.storeDown = false
	s.run(time.Minute)
	g.Expect(s.failure).To(gomega.BeEmpty())
	g.Expect(s.primary().lessor.hasStoreAuthority()).To(gomega.BeTrue())
}

// Guards against a graceful replacement of the primary that leaves a resource
// without a holder for longer than 1 s, in which a release and one lease.renew
// fit.
func TestGracefulReplacement(t *testing.T) {
	s, g := newSettledSim(t, 9, 12)
	for range 3 {
		s.replace(s.index(s.primary().ref))
		gap, longest := 0, 0
		for range 300 {
			s.run(100 * time.Millisecond)
			gap++
			if s.heldResources() == 3 {
				gap = 0
			}
			longest = max(longest, gap)
		}
		g.Expect(s.primary()).NotTo(gomega.BeNil())
		g.Expect(longest).To(gomega.BeNumerically("<=", 10), "tenths of a second with a resource not held")
		s.run(30 * time.Second)
	}
	g.Expect(s.failure).To(gomega.BeEmpty())
}

// Guards against a successor that takes its primary for ended because another
// primary of the same epoch number has ended.
func TestNominationOfAnotherPrimaryWithTheSameEpoch(t *testing.T) {
	g := gomega.NewWithT(t)
	old, present := Ref{ID: "old", Incarnation: 1}, Ref{ID: "present", Incarnation: 1}
	l := New(Config{}, host.Info{ID: "self", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	extend := func(now time.Duration, from Ref, lastStamp time.Duration) {
		l.Step(now, PeerMessage{Message: Message{From: from, To: l.self, Extend: &Extend{Epoch: 2, Bounds: Bounds{LastStamp: lastStamp}}}}, nil)
	}
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		l.Step(now, ListRead{Hosts: []host.ID{"self", "present"}}, nil)
	}
	extend(time.Minute, old, 0)
	extend(time.Minute, present, time.Minute)
	g.Expect(l.nominated()).To(gomega.BeTrue())
	l.Step(time.Minute, MembersChanged{Ended: []Ref{old}}, nil)
	l.Step(time.Minute, Tick{}, nil)
	g.Expect(l.Role()).To(gomega.Equal(Standby))
}

// Guards against authority beyond the extension limit, and against a region
// that stays without a primary when the store returns after the limit.
func TestExtensionLimit(t *testing.T) {
	s, g := newSettledSim(t, 10, 6)
	s.tickPeriod = time.Second
	s.faults.storeDown = true
	s.run(defaultExtensionLimit - 2*time.Second)
	g.Expect(s.primary()).NotTo(gomega.BeNil())
	s.run(2 * time.Second)
	g.Expect(s.primary()).To(gomega.BeNil())
	s.faults.storeDown = false
	s.run(takeoverLimit)
	g.Expect(s.primary()).NotTo(gomega.BeNil())
	g.Expect(s.failure).To(gomega.BeEmpty())
}
