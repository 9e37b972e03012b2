package lease

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// brokenCase checks that the invariant checks detect the absence of one rule.
type brokenCase struct {
	desc string
	rule rule
	// firstSeed is the seed of the first random script. simulate, if set, is
	// used instead of random scripts.
	firstSeed uint64
	simulate  func(cfg Config) *sim
}

// maxPassingScripts is the number of random scripts that may pass before one must
// detect the broken rule.
const maxPassingScripts = 40

var brokenCases = []brokenCase{
	{desc: "authority is not checked before a grant", rule: ruleAuthority, firstSeed: 7},
	{desc: "the standby does not wait for TTL and margin", rule: ruleStandbyWait, firstSeed: 1},
	{desc: "the standby ignores the extension it acknowledged", rule: ruleStandbyAck, firstSeed: 11},
	{desc: "an abandoned region is taken over without a round of queries", rule: ruleQuery, simulate: queryScript},
	{desc: "a primary keeps granting after its handover", rule: ruleHandoverStop, firstSeed: 56},
	{desc: "a lost answer counts as success", rule: ruleReadBack, firstSeed: 5},
	{desc: "a new primary does not wait for holders it does not know", rule: ruleWaitForHolders, firstSeed: 74},
	{desc: "an unresponsive holder loses its resource before its lease expires", rule: ruleUnresponsiveHolder, firstSeed: 2},
	{desc: "an extension covers writes beyond its counter", rule: ruleThrough, simulate: throughScript},
	{desc: "the validity of a lease counts from the arrival of the answer", rule: ruleHolderLimit, firstSeed: 9},
	{desc: "a host that is not listed keeps acting", rule: ruleSelfCheck, firstSeed: 21},
	{desc: "authority without the store has no limit", rule: ruleExtensionLimit, simulate: extensionScript},
}

// Guards against invariant checks that miss a violation. Without one rule of the
// protocol some script must fail; the same script passes with the rule.
func TestChecksDetectBrokenRules(t *testing.T) {
	for _, c := range brokenCases {
		t.Run(c.desc, func(t *testing.T) {
			g := gomega.NewWithT(t)
			simulate := c.simulate
			if simulate == nil {
				simulate = func(cfg Config) *sim { return c.findFailure(cfg) }
			}
			g.Expect(simulate(Config{broken: c.rule}).failure).NotTo(gomega.BeEmpty(), "no invariant check failed")
		})
	}
}

// findFailure returns the simulation of the first random script that fails. That
// script must pass with all rules; if it does not, the result has no failure.
func (c brokenCase) findFailure(cfg Config) *sim {
	for seed := c.firstSeed; ; seed++ {
		s := randomScript(seed).simulate(cfg, 12)
		if s.failure == "" && seed < c.firstSeed+maxPassingScripts {
			continue
		}
		if intact := randomScript(seed).simulate(Config{}, 12); intact.failure != "" {
			intact.failure = ""
			return intact
		}
		return s
	}
}

// throughScript lets the primary write beyond an extension and then disconnects
// it from the store and all hosts from each other.
func throughScript(cfg Config) *sim {
	s := newSim(1, 12, cfg)
	s.run(60 * time.Second)
	primary := s.primary()
	primary.storeCut = true
	s.run(15 * time.Second)
	primary.storeCut = false
	s.run(15 * time.Second)
	primary.storeCut, s.faults.loss = true, 1
	s.run(15 * time.Second)
	return s
}

// extensionScript disconnects the primary from the store for longer than the
// extension limit.
func extensionScript(cfg Config) *sim {
	cfg.ExtensionLimit = shortLimits.ExtensionLimit
	s := newSim(1, 12, cfg)
	s.run(60 * time.Second)
	s.primary().storeCut = true
	s.run(cfg.ExtensionLimit + 30*time.Second)
	return s
}

// queryScript hands the role over twice without the store, so that the record
// names two hosts that have ended. Then the store returns, but the primary cannot
// write to it, and a restarted host receives no messages.
func queryScript(cfg Config) *sim {
	s := newSim(1, 12, cfg)
	s.run(60 * time.Second)
	s.faults.storeDown = true
	for range 2 {
		s.replace(s.index(s.primary().ref))
		s.run(60 * time.Second)
	}
	if s.primary() == nil {
		return s
	}
	s.primary().storeCut = true
	s.faults.storeDown = false
	s.faults.loss = 1
	for i, p := range s.hosts {
		if p != s.primary() && p.ref.Incarnation == 1 {
			s.restart(i)
			break
		}
	}
	s.run(60 * time.Second)
	return s
}

// Guards against fixed scripts that fail for another reason than the broken rule.
func TestScriptsPassWithAllRules(t *testing.T) {
	for _, c := range brokenCases {
		if c.simulate != nil {
			t.Run(c.desc, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := c.simulate(Config{})
				g.Expect(s.failure).To(gomega.BeEmpty())
				g.Expect(s.now).To(gomega.BeNumerically(">", 100*time.Second))
			})
		}
	}
}

// Guards against a holder that applies a late answer of an earlier primary after
// it has learned of a newer one.
func TestHolderIgnoresAnswerOfLowerEpoch(t *testing.T) {
	for _, broken := range []rule{ruleNone, ruleFencing} {
		g := gomega.NewWithT(t)
		h := NewHolder(Ref{ID: "a", Incarnation: 1})
		h.broken = broken
		old := h.Request(0)
		h.ObservePrimary(2, Ref{ID: "new", Incarnation: 1})
		h.Answer(time.Millisecond, RenewAnswer{
			Seq: old.Seq, Epoch: 1, Primary: Ref{ID: "old", Incarnation: 1}, Valid: time.Second,
			Grants: []Grant{{Resource: Resource{Name: "pool/s"}}},
		})
		g.Expect(h.Valid(2*time.Millisecond, "pool/s")).To(gomega.Equal(broken == ruleFencing))
	}
}
