package lease

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// brokenCase shows that the checkers notice the absence of one rule.
type brokenCase struct {
	desc string
	rule rule
	// first is the first seed of drawn scripts; play is used instead if set.
	first uint64
	play  func(cfg Config) *sim
}

// seeds is how many drawn scripts may pass before a broken rule must show.
const seeds = 40

var brokenCases = []brokenCase{
	{desc: "authority is not checked before a grant", rule: ruleAuthority, first: 7},
	{desc: "the standby does not wait for TTL and margin", rule: ruleStandbyWait, first: 1},
	{desc: "the standby ignores the extension it acknowledged", rule: ruleStandbyAck, first: 11},
	{desc: "a takeover without lease.query", rule: ruleQuery, play: queryScript},
	{desc: "a primary goes on after its handover", rule: ruleHandoverStop, first: 56},
	{desc: "a lost answer counts as success", rule: ruleReadBack, first: 5},
	{desc: "a new primary does not wait for silent holders", rule: ruleWaitOut, first: 74},
	{desc: "a silent holder loses its resource before the limit", rule: ruleSilentHolder, first: 2},
	{desc: "an extension covers writes beyond its counter", rule: ruleThrough, play: throughScript},
	{desc: "the holder's limit counts from the answer", rule: ruleHolderLimit, first: 9},
	{desc: "a host that is not listed goes on", rule: ruleSelfCheck, first: 21},
	{desc: "an extension without limit", rule: ruleExtensionLimit, play: extensionScript},
}

// Guards against checkers that cannot see a fault: each rule is needed, and
// the same script passes with the rule in force.
func TestBrokenRules(t *testing.T) {
	for _, c := range brokenCases {
		t.Run(c.desc, func(t *testing.T) {
			g := gomega.NewWithT(t)
			play := c.play
			if play == nil {
				play = func(cfg Config) *sim { return c.search(cfg) }
			}
			g.Expect(play(Config{broken: c.rule}).failure).NotTo(gomega.BeEmpty(), "the checkers notice nothing")
		})
	}
}

// search plays drawn scripts until one fails; the one that fails passes with
// the rule in force.
func (c brokenCase) search(cfg Config) *sim {
	for seed := c.first; ; seed++ {
		s := randomScript(seed).play(cfg, 12)
		if s.failure == "" && seed < c.first+seeds {
			continue
		}
		if intact := randomScript(seed).play(Config{}, 12); intact.failure != "" {
			intact.failure = ""
			return intact
		}
		return s
	}
}

// throughScript lets the primary renew beyond an extension and then cuts it
// off from the store and the standby.
func throughScript(cfg Config) *sim {
	s := newSim(1, 12, cfg)
	s.run(60 * time.Second)
	primary := s.primary()
	primary.cut = true
	s.run(15 * time.Second)
	primary.cut = false
	s.run(15 * time.Second)
	primary.cut, s.faults.loss = true, 1
	s.run(15 * time.Second)
	return s
}

// extensionScript cuts the primary off from the store beyond the limit.
func extensionScript(cfg Config) *sim {
	cfg.ExtensionLimit = shortLimits.ExtensionLimit
	s := newSim(1, 12, cfg)
	s.run(60 * time.Second)
	s.primary().cut = true
	s.run(cfg.ExtensionLimit + 30*time.Second)
	return s
}

// queryScript hands the role over twice without the store, so that the record
// names two hosts that have ended. The primary cannot write to the store, and
// a new host hears nobody.
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
	s.primary().cut = true
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

// Guards against scripts that fail for another reason than the broken rule.
func TestScriptsPassWithAllRules(t *testing.T) {
	for _, c := range brokenCases {
		if c.play != nil {
			t.Run(c.desc, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := c.play(Config{})
				g.Expect(s.failure).To(gomega.BeEmpty())
				g.Expect(s.now).To(gomega.BeNumerically(">", 100*time.Second))
			})
		}
	}
}

// Guards against a holder that follows a predecessor's answers after it has
// heard of a newer lessor.
func TestHolderFencing(t *testing.T) {
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
