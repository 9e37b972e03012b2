package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// injectFault applies the fault of the given kind to the host with index i, or to
// the whole region. d is the duration or size of some faults.
func (s *sim) injectFault(kind, i int, d time.Duration) {
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
		p.storeCut = !p.storeCut
	case 10:
		s.isolate(p.info.FailureDomain, !p.isolated)
	case 11:
		s.faults.stale = true
	case 12:
		s.faults = simFaults{}
	case 13:
		s.injectAt(s.primary(), func(i int) { s.injectFault(s.rng.IntN(4), i, d) })
	}
}

// injectAt calls f with the host index of p, if there is such a process.
func (s *sim) injectAt(p *process, f func(i int)) {
	if p != nil {
		f(s.index(p.ref))
	}
}

// isolate separates a failure domain from the rest, the store and the host list,
// or ends the separation.
func (s *sim) isolate(domain string, isolated bool) {
	for _, p := range s.hosts {
		if p.info.FailureDomain == domain {
			p.isolated, p.storeCut = isolated, isolated
		}
	}
	s.at(s.randomUpTo(3*time.Second), s.recordHostList)
	s.at(0, s.wakeWatchers)
}

// endFaults ends all faults and restarts crashed hosts. It waits for the end of
// pauses.
func (s *sim) endFaults() {
	s.faults = simFaults{}
	for _, p := range s.hosts {
		p.storeCut, p.isolated = false, false
		if p.alive && p.pausedUntil > s.now {
			s.run(p.pausedUntil - s.now)
		}
	}
	for i, p := range s.hosts {
		if !p.alive {
			s.restart(i)
		}
	}
	s.recordHostList()
	s.wakeWatchers()
}

// faultKinds is the number of kinds that injectFault knows.
const faultKinds = 14

// allFaults are all kinds of faults. storeAndNetwork are those that end no host
// and leave the host list as it is.
var (
	allFaults       = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}
	storeAndNetwork = []int{4, 5, 6, 7, 9, 11, 12}
)

// script is a random sequence of faults, each followed by a wait. Seconds and Wait
// are in seconds.
type script struct {
	Seed  uint64
	Steps []struct {
		Kind, Host, Seconds, Wait int
	}
}

func (c script) simulate(cfg Config, hosts int) *sim {
	s := newSim(c.Seed, hosts, cfg)
	s.run(time.Duration(c.Seed%40) * time.Second)
	for _, step := range c.Steps {
		s.injectFault(step.Kind, step.Host%hosts, time.Duration(step.Seconds)*time.Second)
		s.run(time.Duration(step.Wait) * time.Second)
	}
	return s
}

// randomScript returns the script of a seed, generated without rapid.
func randomScript(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 77))
	c := script{Seed: seed}
	for range 1 + r.IntN(25) {
		c.Steps = append(c.Steps, struct{ Kind, Host, Seconds, Wait int }{
			r.IntN(faultKinds), r.IntN(12), 1 + r.IntN(90), r.IntN(45),
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

// shortLimits makes the extension limit expire within a script.
var shortLimits = Config{ExtensionLimit: 3 * time.Minute}

// Guards against two primaries with authority or two valid holders of a resource
// during random sequences of faults, and against a region without a primary after
// the faults.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		cfg := Config{}
		if rapid.Bool().Draw(t, "short limits") {
			cfg = shortLimits
		}
		s := drawScript(t, allFaults).simulate(cfg, 12)
		g.Expect(s.failure).To(gomega.BeEmpty())
		s.endFaults()
		s.run(s.recoveryTime())
		g.Expect(s.failure).To(gomega.BeEmpty())
		g.Expect(s.primary()).NotTo(gomega.BeNil(), "no primary after the faults ended")
	})
}

// Guards against the failures of TestModel in a small region, where the same hosts
// get and lose the primary role repeatedly.
func TestModelSmallRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		s := drawScript(t, allFaults).simulate(shortLimits, 5)
		s.endFaults()
		s.run(s.recoveryTime())
		g.Expect(s.failure).To(gomega.BeEmpty())
		g.Expect(s.primary()).NotTo(gomega.BeNil(), "no primary after the faults ended")
	})
}

// Guards against a region without a primary for longer than TTL, margin and
// 2 s after faults of the store and the network have ended.
func TestModelStoreAndNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		s := drawScript(t, storeAndNetwork).simulate(Config{}, 12)
		s.endFaults()
		s.run(takeoverLimit)
		g.Expect(s.failure).To(gomega.BeEmpty())
		g.Expect(s.primary()).NotTo(gomega.BeNil(), "no primary after the faults ended")
	})
}

// recoveryTime returns the time within which a region without faults must have a
// primary even if primary and standby have ended. A candidate must query all hosts
// and read the host list for long enough twice, as it may itself have been missing.
func (s *sim) recoveryTime() time.Duration {
	return takeoverLimit + 2*s.cfg.endedAfter() + s.cfg.NominationHoldOff + 10*time.Second
}
