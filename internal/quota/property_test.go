package quota

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scriptEnd is the length of a random script.
const scriptEnd = 60 * time.Second

// script is a random load with random failures.
type script struct {
	seed   uint64
	hosts  int
	limits map[string]Limit
	bounds Bounds
	loss   float64
	faults int
}

func drawScript(t *rapid.T) script {
	large := rapid.Float64Range(20, 150).Draw(t, "rate")
	return script{
		seed: rapid.Uint64().Draw(t, "seed"), hosts: rapid.IntRange(24, 48).Draw(t, "hosts"),
		limits: map[string]Limit{
			"large": {large, large * rapid.Float64Range(0, 2).Draw(t, "burst")}, "small": {2, 2}, "tiny": {0.05, 0},
		},
		bounds: Bounds{
			Window:  time.Duration(rapid.IntRange(2, 10).Draw(t, "window")) * time.Second,
			Overage: rapid.Float64Range(0, 0.3).Draw(t, "overage"), Slack: float64(rapid.IntRange(0, 20).Draw(t, "slack")),
		},
		loss:   rapid.Float64Range(0, 0.05).Draw(t, "loss"),
		faults: rapid.IntRange(0, 60).Draw(t, "faults"),
	}
}

// simulate runs a script with one rule broken.
func (c script) simulate(broken fault) *sim {
	s := newSimWith(c.seed, c.hosts, c.bounds, c.limits, broken)
	s.loss = c.loss
	for _, h := range s.hosts {
		h.clockRate = 1 + maxClockError*(2*s.rng.Float64()-1)
	}
	for range c.faults {
		s.at(time.Duration(s.rng.Int64N(int64(scriptEnd))), s.randomFault)
	}
	for _, name := range slices.Sorted(maps.Keys(c.limits)) {
		l := c.limits[name]
		factor := 0.5 + 7*s.rng.Float64()
		focus := s.hosts[s.rng.IntN(len(s.hosts))]
		s.load(name, scriptEnd, func() (float64, *simHost) {
			// Half of the demand is at one host, which changes.
			if s.rng.IntN(100) == 0 {
				focus = s.hosts[s.rng.IntN(len(s.hosts))]
			}
			if s.rng.IntN(2) == 0 {
				return factor * l.RatePerSecond, focus
			}
			return factor * l.RatePerSecond, s.hosts[s.rng.IntN(len(s.hosts))]
		})
	}
	s.runUntil(scriptEnd + time.Second)
	return s
}

// randomFault disturbs the deployment: hosts, links or the store. Issuers are hit more
// often than other hosts.
func (s *sim) randomFault() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.rng.IntN(2) == 0 {
		h = s.hosts[s.rng.IntN(3)]
		for _, x := range s.hosts {
			if x.region == h.region && x.proc != nil && x.proc.term.Holds(x.clock()) {
				h = x
			}
		}
	}
	length := time.Duration(s.rng.ExpFloat64() * float64(3*time.Second))
	switch s.rng.IntN(9) {
	case 0:
		h.kill(length / 2)
	case 1:
		h.stop(length / 2)
	case 2:
		h.frozenUntil = s.now + length
	case 3:
		h.storeCut = true
		s.after(3*length, func() { h.storeCut = false })
	case 4:
		for _, x := range s.hosts {
			x.group = s.rng.IntN(2)
		}
		s.after(2*length, func() {
			for _, x := range s.hosts {
				x.group = 0
			}
		})
	case 5:
		s.store.down = true
		s.after(3*length, func() { s.store.down = false })
	case 6:
		old := s.store.copy()
		s.after(2*length, func() { s.store.restore(old, s.now) })
	case 7:
		// A region's issuer changes hands by a shutdown, and the store is restored to
		// a copy from before.
		old := s.store.copy()
		h.stop(100 * time.Millisecond)
		s.after(2*time.Second+length/4, func() { s.store.restore(old, s.now) })
	case 8:
		for _, x := range s.hosts {
			x.kill(time.Duration(s.rng.Int64N(int64(length + 1))))
		}
	}
}

// TestLimitHoldsInAnyWindow guards against more attempts than the limit in some window,
// whatever fails.
func TestLimitHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScript(t).simulate(noFault)
		if v := s.violation(); v != "" {
			t.Fatal(v)
		}
	})
}
