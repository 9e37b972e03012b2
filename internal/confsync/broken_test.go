package confsync

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/store"
)

// runFaultScenario runs concurrent submissions of three operators under faults and
// single restarts, then a submission while all messages between hosts are lost, then
// a restart of every process.
func runFaultScenario(s *sim) {
	s.lossShare, s.lateShare, s.store.lost, s.store.staleReadShare = 0.3, 0.1, 0.3, 0.1
	for round := range 12 {
		for i := range 3 {
			op := 3*round + i
			s.submit(i, newRequest(fmt.Sprintf("op-%d", op), Revision(len(s.heads)), configText(400, op)), nil)
		}
		s.runUntil(s.now + 5*time.Second)
		s.start(s.nodes[round%len(s.nodes)])
	}
	s.store.lost, s.store.staleReadShare = 0, 0
	s.runUntil(s.now + 40*time.Second)
	// All messages between hosts are lost while the last revision is pushed.
	s.lossShare = 1
	s.submit(0, newRequest("op-last", Revision(len(s.heads)), configText(400, 999)), nil)
	s.runUntil(s.now + 5*time.Second)
	s.lossShare = 0.3
	s.runUntil(s.now + 40*time.Second)
	s.checkVerdicts()
	if !s.converged() {
		s.addViolation("no agreement before the restart")
	}
	for _, key := range s.unreferencedKeys() {
		s.addViolation("garbage %s", key)
	}
	for _, n := range s.nodes {
		s.stop(n)
	}
	s.runUntil(s.now + time.Second)
	for _, n := range s.nodes {
		s.start(n)
	}
	s.runUntil(s.now + 30*time.Second)
	if !s.converged() {
		s.addViolation("no agreement after the restart")
	}
}

// Guards against checks of the simulation that cannot fail: each variant breaks one
// rule, whose check must report a violation.
func TestBrokenVariantsAreCaught(t *testing.T) {
	isHeadWrite := func(c StoreCall) bool { return c.Kind == StoreSwap && c.Key == HeadKey }
	for _, tc := range []struct {
		desc          string
		breakRule     func(s *sim)
		wantViolation string
	}{
		{desc: "a process applies older revisions", wantViolation: "applied revision",
			breakRule: func(s *sim) {
				for _, n := range s.nodes {
					n.applyUnchecked = true
				}
			}},
		{desc: "the head is overwritten without comparison", wantViolation: "written twice or out of order",
			breakRule: func(s *sim) {
				s.alterCall = func(_ string, c StoreCall) StoreCall {
					if isHeadWrite(c) {
						c.Expected = s.store.now(HeadKey).Revision
					}
					return c
				}
			}},
		{desc: "a lost answer counts as a failure", wantViolation: "was told failed",
			breakRule: func(s *sim) {
				s.onStoreResult = func(_ string, c StoreCall, r *StoreResult) {
					if isHeadWrite(c) && errors.Is(r.Err, store.ErrUncertain) {
						r.Err = store.ErrTooLarge
					}
				}
			}},
		{desc: "the heads do not carry the operation identity", wantViolation: "was told accepted",
			breakRule: func(s *sim) {
				s.alterCall = func(op string, c StoreCall) StoreCall {
					if isHeadWrite(c) {
						c.Value = []byte(strings.ReplaceAll(string(c.Value), `"operation":"`+op+`"`, `"operation":"another"`))
					}
					return c
				}
			}},
		{desc: "no revision in pings", wantViolation: "no agreement before",
			breakRule: func(s *sim) { s.noPings = true }},
		{desc: "parts that the head still needs are deleted", wantViolation: "no agreement after",
			breakRule: func(s *sim) {
				s.onStoreResult = func(_ string, c StoreCall, r *StoreResult) {
					if h, err := DecodeHead(c.Value); isHeadWrite(c) && r.Err == nil && err == nil {
						s.store.put(h.Parts[0].Key, nil)
					}
				}
			}},
		{desc: "nothing is collected", wantViolation: "garbage",
			breakRule: func(s *sim) {
				s.alterCall = func(_ string, c StoreCall) StoreCall {
					if c.Kind == StoreDelete {
						c.Key += "-absent"
					}
					return c
				}
			}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(21, 3, 6)
			tc.breakRule(s)
			runFaultScenario(s)
			g.Expect(s.violations).To(ContainElement(ContainSubstring(tc.wantViolation)))
		})
	}
	t.Run("no rule is broken", func(t *testing.T) {
		g := NewWithT(t)
		s := newSim(21, 3, 6)
		runFaultScenario(s)
		g.Expect(s.violations).To(BeEmpty())
		g.Expect(len(s.heads)).To(BeNumerically(">", 8))
	})
}
