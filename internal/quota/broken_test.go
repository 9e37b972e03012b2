package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// brokenCase is a script that finds the absence of one rule.
type brokenCase struct {
	desc   string
	broken fault
	script func(broken fault) *sim
}

var brokenCases = []brokenCase{
	{"a new issuer starts with a full level", issuerStartsFull, restartScript},
	{"two hosts of a region issue at once", twoIssuers, overloadScript},
	{"lent tokens do not expire", tokensDoNotExpire, hoardScript},
	{"given tokens are added several times", transfersRepeated, oneRegionScript},
	{"an item of an earlier era counts in a restored store", restoredItemCounts, restoreScript},
	{"a start level after an item that is not settled", unsettledStartLevel, startLevelScript},
	{"an item is settled at once", settledAtOnce, startLevelScript},
}

// TestCheckerDetectsBrokenRules guards against a checker that misses the absence of a
// rule, and against scripts that fail for another reason.
func TestCheckerDetectsBrokenRules(t *testing.T) {
	for _, c := range brokenCases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := c.script(c.broken)
			t.Log(s.summary())
			g.Expect(s.violation()).NotTo(BeEmpty())
			intact := c.script(noFault)
			t.Log(intact.summary())
			g.Expect(intact.violation()).To(BeEmpty())
		})
	}
}

// scriptLimits are those of the fixed scripts.
var scriptLimits = map[string]Limit{"w": {RatePerSecond: 100, Burst: 100}}

// overload lets 7.5 times the rate arrive at the hosts that accept returns.
func (s *sim) overload(until time.Duration, accept func(*simHost) bool) {
	s.load("w", until, func() (float64, *simHost) { return 7.5 * 100, s.alive(accept) })
}

func anyHost(*simHost) bool { return true }

func overloadScript(broken fault) *sim {
	s := newSimWith(1, 24, testBounds, scriptLimits, broken)
	s.overload(20*time.Second, anyHost)
	s.runUntil(20 * time.Second)
	return s
}

// restartScript restarts the issuers often under overload.
func restartScript(broken fault) *sim {
	s := newSimWith(1, 24, testBounds, scriptLimits, broken)
	s.overload(30*time.Second, anyHost)
	for at := 5 * time.Second; at < 30*time.Second; at += 700 * time.Millisecond {
		s.at(at, func() {
			for _, h := range s.hosts {
				if h.proc != nil && h.proc.term.Holds(h.clock()) {
					h.kill(50 * time.Millisecond)
				}
			}
		})
	}
	s.runUntil(30 * time.Second)
	return s
}

// hoardScript lets one host after another fetch tokens for a high demand that does not
// come, cuts it from all other hosts, and then brings demand to all of them together.
func hoardScript(broken fault) *sim {
	s := newSimWith(1, 60, testBounds, scriptLimits, broken)
	for k, h := range s.hosts[3:] { // the first three are the issuers
		from := 5*time.Second + time.Duration(k)*600*time.Millisecond
		s.at(from, func() {
			s.request(h, "w")
			h.proc.client.cache.accounts["w"].demand = demand{fast: 1000, at: h.clock() + time.Hour} // it does not decay
		})
		s.at(from+500*time.Millisecond, func() { h.group = k + 1 })
	}
	s.at(42*time.Second, func() { s.overload(50*time.Second, anyHost) })
	s.runUntil(50 * time.Second)
	return s
}

// oneRegionScript overloads the hosts of one region, which borrows from the others.
func oneRegionScript(broken fault) *sim {
	s := newSimWith(1, 24, testBounds, scriptLimits, broken)
	s.overload(20*time.Second, func(h *simHost) bool { return h.region == "r0" })
	s.runUntil(20 * time.Second)
	return s
}

// restoreScript restores the store to a copy in which the first host of each region is
// the issuer, although the second one has taken over. Half of the hosts do not notice.
func restoreScript(broken fault) *sim {
	s := newSimWith(1, 24, testBounds, scriptLimits, broken)
	s.runUntil(10 * time.Second)
	old := s.store.copy()
	for _, h := range s.hosts[:3] {
		h.stop(time.Second)
	}
	s.runUntil(18 * time.Second)
	for _, h := range s.hosts {
		h.storeCut = h.rank%2 == 1
	}
	s.store.restore(old, s.now)
	s.overload(30*time.Second, anyHost)
	s.runUntil(30 * time.Second)
	return s
}

// startLevelScript restarts the issuers of a small workspace several times in a window, each
// after it has renewed its lease once.
func startLevelScript(broken fault) *sim {
	b := testBounds
	b.Window = 20 * time.Second
	s := newSimWith(1, 24, b, map[string]Limit{"w": {RatePerSecond: 1, Burst: 1}}, broken)
	for at := 30 * time.Second; at < 50*time.Second; at += 2 * time.Second {
		s.at(at, func() {
			for _, h := range s.hosts[:3] { // the issuers
				h.kill(10 * time.Millisecond)
			}
		})
	}
	s.runUntil(29 * time.Second)
	s.overload(50*time.Second, func(h *simHost) bool { return h.rank > 0 })
	s.runUntil(50 * time.Second)
	return s
}
