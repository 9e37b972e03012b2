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

// scenario runs races of three operators under faults, then a quiet time, then
// a restart of every process.
func scenario(s *sim) {
	s.loss, s.late, s.store.lost, s.store.past = 0.3, 0.1, 0.3, 0.1
	for round := range 12 {
		for i := range 3 {
			op := 3*round + i
			s.submit(i, request(fmt.Sprintf("op-%d", op), Revision(len(s.heads)), text(400, op)), nil)
		}
		s.runUntil(s.now + 5*time.Second)
		s.start(s.nodes[round%len(s.nodes)])
	}
	s.store.lost, s.store.past = 0, 0
	s.runUntil(s.now + 40*time.Second)
	// The hosts are out of contact while the last revision is pushed.
	s.loss = 1
	s.submit(0, request("op-last", Revision(len(s.heads)), text(400, 999)), nil)
	s.runUntil(s.now + 5*time.Second)
	s.loss = 0.3
	s.runUntil(s.now + 40*time.Second)
	s.checkVerdicts()
	if !s.agreed() {
		s.violation("no agreement before the restart")
	}
	for _, key := range s.garbage() {
		s.violation("garbage %s", key)
	}
	for _, n := range s.nodes {
		s.stop(n)
	}
	s.runUntil(s.now + time.Second)
	for _, n := range s.nodes {
		s.start(n)
	}
	s.runUntil(s.now + 30*time.Second)
	if !s.agreed() {
		s.violation("no agreement after the restart")
	}
}

// Guards against checks that cannot fail: each variant breaks one rule and
// must trip the check that stands for it.
func TestBrokenVariantsAreCaught(t *testing.T) {
	onHead := func(c StoreCall) bool { return c.Kind == StoreSwap && c.Key == HeadKey }
	for _, tc := range []struct {
		desc   string
		breakf func(s *sim)
		trips  string
	}{
		{desc: "a process applies whatever arrives", trips: "applied revision",
			breakf: func(s *sim) {
				for _, n := range s.nodes {
					n.naive = true
				}
			}},
		{desc: "the head is overwritten without comparison", trips: "written twice or out of order",
			breakf: func(s *sim) {
				s.mangle = func(_ string, c StoreCall) StoreCall {
					if onHead(c) {
						c.Expected = s.store.now(HeadKey).Revision
					}
					return c
				}
			}},
		{desc: "a lost answer counts as a failure", trips: "was told failed",
			breakf: func(s *sim) {
				s.onStore = func(_ string, c StoreCall, r *StoreResult) {
					if onHead(c) && errors.Is(r.Err, store.ErrUncertain) {
						r.Err = store.ErrTooLarge
					}
				}
			}},
		{desc: "the heads do not carry the operation identity", trips: "was told accepted",
			breakf: func(s *sim) {
				s.mangle = func(op string, c StoreCall) StoreCall {
					if onHead(c) {
						c.Value = []byte(strings.ReplaceAll(string(c.Value), `"operation":"`+op+`"`, `"operation":"another"`))
					}
					return c
				}
			}},
		{desc: "no revision in pings", trips: "no agreement before",
			breakf: func(s *sim) { s.noPings = true }},
		{desc: "parts that the head still needs are deleted", trips: "no agreement after",
			breakf: func(s *sim) {
				s.onStore = func(_ string, c StoreCall, r *StoreResult) {
					if h, err := DecodeHead(c.Value); onHead(c) && r.Err == nil && err == nil {
						s.store.put(h.Parts[0].Key, nil)
					}
				}
			}},
		{desc: "nothing is collected", trips: "garbage",
			breakf: func(s *sim) {
				s.mangle = func(_ string, c StoreCall) StoreCall {
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
			tc.breakf(s)
			scenario(s)
			g.Expect(s.faults).To(ContainElement(ContainSubstring(tc.trips)))
		})
	}
	t.Run("no rule is broken", func(t *testing.T) {
		g := NewWithT(t)
		s := newSim(21, 3, 6)
		scenario(s)
		g.Expect(s.faults).To(BeEmpty())
		g.Expect(len(s.heads)).To(BeNumerically(">", 8))
	})
}
