package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// disturb applies one drawn fault. Hosts are chosen by index.
func (s *sim) disturb(kind, i int, d time.Duration) {
	p := s.hosts[i]
	switch kind {
	case 0:
		s.restart(i)
	case 1:
		s.crash(i)
		s.at(d, func() {
			if s.hosts[i] == p {
				s.restart(i)
			}
		})
	case 2:
		s.pause(i, d)
	case 3:
		if p.alive && !p.leaving {
			s.replace(i)
		}
	case 4:
		s.faults.storeDown = !s.faults.storeDown
	case 5:
		s.faults.storeDelay = d / 20
	case 6:
		s.faults.loseAnswers, s.faults.lateWrite = 0.5, 0.2
	case 7:
		s.faults.loss, s.faults.duplicate, s.faults.late = 0.2, 0.1, 0.05
	case 8:
		s.faults.listDown = !s.faults.listDown
	case 9:
		p.cut = !p.cut
	case 10:
		s.isolate(p.info.FailureDomain, !p.isolated)
	case 11:
		s.faults.stale = true
	case 12:
		s.faults = simFaults{}
	case 13:
		s.target(s.primary(), func(i int) { s.disturb(s.rng.IntN(4), i, d) })
	}
}

func (s *sim) target(p *process, f func(i int)) {
	if p != nil {
		f(s.index(p.ref))
	}
}

// isolate separates a failure domain from the rest, the store and the list.
func (s *sim) isolate(domain string, isolated bool) {
	for _, p := range s.hosts {
		if p.info.FailureDomain == domain {
			p.isolated, p.cut = isolated, isolated
		}
	}
	s.at(s.upTo(3*time.Second), s.noteList)
	s.at(0, s.wakeWatchers)
}

// heal ends all faults, the pauses by waiting for their end.
func (s *sim) heal() {
	s.faults = simFaults{}
	for _, p := range s.hosts {
		p.cut, p.isolated = false, false
		if p.alive && p.paused > s.now {
			s.run(p.paused - s.now)
		}
	}
	for i, p := range s.hosts {
		if !p.alive {
			s.restart(i)
		}
	}
	s.noteList()
	s.wakeWatchers()
}

const disturbances = 14

// allFaults are all kinds of faults; storeAndNetwork are those that end no
// host and do not touch the host list.
var (
	allFaults       = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}
	storeAndNetwork = []int{4, 5, 6, 7, 9, 11, 12}
)

// script is a drawn sequence of faults and waits.
type script struct {
	Seed  uint64
	Steps []struct {
		Kind, Host, Seconds, Wait int
	}
}

func (c script) play(cfg Config, hosts int) *sim {
	s := newSim(c.Seed, hosts, cfg)
	s.run(time.Duration(c.Seed%40) * time.Second)
	for _, step := range c.Steps {
		s.disturb(step.Kind, step.Host%hosts, time.Duration(step.Seconds)*time.Second)
		s.run(time.Duration(step.Wait) * time.Second)
	}
	return s
}

// randomScript draws a script without rapid, for a fixed seed.
func randomScript(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 77))
	c := script{Seed: seed}
	for range 1 + r.IntN(25) {
		c.Steps = append(c.Steps, struct{ Kind, Host, Seconds, Wait int }{
			r.IntN(disturbances), r.IntN(12), 1 + r.IntN(90), r.IntN(45),
		})
	}
	c.Steps = c.Steps[:min(len(c.Steps), 12)]
	return c
}

func drawScript(t *rapid.T, kinds []int) script {
	c := script{Seed: rapid.Uint64Range(0, 1<<40).Draw(t, "seed")}
	for range rapid.IntRange(1, 14).Draw(t, "steps") {
		c.Steps = append(c.Steps, struct{ Kind, Host, Seconds, Wait int }{
			rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.IntRange(0, 59).Draw(t, "host"),
			rapid.IntRange(1, 90).Draw(t, "seconds"), rapid.IntRange(0, 45).Draw(t, "wait"),
		})
	}
	return c
}

// shortLimits make the long limits of the protocol expire within a script.
var shortLimits = Config{ExtensionLimit: 3 * time.Minute}

// Guards against two valid primaries or two valid holders under any drawn
// sequence of faults, and against a region that stays without a primary.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		cfg := Config{}
		if rapid.Bool().Draw(t, "short limits") {
			cfg = shortLimits
		}
		s := drawScript(t, allFaults).play(cfg, 12)
		g.Expect(s.failure).To(gomega.BeEmpty())
		s.heal()
		s.run(s.recovery())
		g.Expect(s.failure).To(gomega.BeEmpty())
		g.Expect(s.primary()).NotTo(gomega.BeNil(), "no primary after the faults ended")
	})
}

// Guards against faults that need few hosts: in a small region the same hosts
// hold and lose the role again and again.
func TestModelSmallRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		s := drawScript(t, allFaults).play(shortLimits, 5)
		s.heal()
		s.run(s.recovery())
		g.Expect(s.failure).To(gomega.BeEmpty())
		g.Expect(s.primary()).NotTo(gomega.BeNil(), "no primary after the faults ended")
	})
}

// Guards against a region without a primary for longer than TTL, margin and
// 2 s after faults of the store and the network have ended.
func TestModelStoreAndNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		s := drawScript(t, storeAndNetwork).play(Config{}, 12)
		s.heal()
		s.run(prompt)
		g.Expect(s.failure).To(gomega.BeEmpty())
		g.Expect(s.primary()).NotTo(gomega.BeNil(), "no primary after the faults ended")
	})
}

// recovery is the time in which a healed region must have a primary when both
// primary and standby may have ended: the time to read the host list for long
// enough twice, because a candidate may itself have been missing, and to ask
// all hosts.
func (s *sim) recovery() time.Duration {
	return prompt + 2*s.cfg.endedAfter() + s.cfg.NominationHoldOff + 10*time.Second
}
