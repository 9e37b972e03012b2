package invariant

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

const sec = time.Second

// TestCheckers guards against a checker that misses a violation, so that the tests
// that use it cannot fail, or that reports an allowed sequence of events.
func TestCheckers(t *testing.T) {
	late := outcome.Refuse(outcome.ReasonLate, 0)
	for _, tc := range []struct {
		desc       string
		violations int
		newChecker func() Checker
	}{
		{"a lower cap does not count against requests in flight", 0, capChecker(func(c *CapNeverExceeded) {
			c.Start(0, "a>b", 10)
			c.Start(0, "a>b", 10)
			c.SetCap(sec, "a>b", Cap{Concurrent: 1, BytesPerSecond: 100})
			c.End(sec, "a>b")
			c.End(sec, "a>b")
			c.Start(sec, "a>b", 10)
		})},
		{"a start above the concurrent cap", 1, capChecker(func(c *CapNeverExceeded) {
			c.Start(0, "a>b", 1)
			c.Start(0, "a>b", 1)
			c.Start(0, "a>b", 1)
		})},
		{"bytes above the bucket", 1, capChecker(func(c *CapNeverExceeded) {
			c.Start(0, "a>b", 100)
			c.Start(sec/2, "a>b", 51)
		})},
		{"bytes within the refilled bucket", 0, capChecker(func(c *CapNeverExceeded) {
			c.Start(0, "a>b", 100)
			c.Start(sec/2, "a>b", 50)
		})},
		{"an increase above the growth", 1, capChecker(func(c *CapNeverExceeded) {
			c.SetCap(0, "a>b", Cap{Concurrent: 9, BytesPerSecond: 100, GrowthPerSecond: 1})
			c.Start(0, "a>b", 1)
			c.Start(sec/2, "a>b", 1)
		})},
		{"an increase within the growth", 0, capChecker(func(c *CapNeverExceeded) {
			c.SetCap(0, "a>b", Cap{Concurrent: 9, BytesPerSecond: 100, GrowthPerSecond: 1})
			c.Start(0, "a>b", 1)
			c.Start(sec, "a>b", 1)
		})},
		{"a pair without a cap", 2, capChecker(func(c *CapNeverExceeded) { c.Start(0, "b>a", 1) })},
		{"an end without a start", 1, capChecker(func(c *CapNeverExceeded) { c.End(0, "a>b") })},

		{"slots used and freed", 0, overloadChecker(func(c *RegionNotOverloaded) {
			c.Start(0, "s1")
			c.End(0, "s1")
			c.Start(0, "s1")
		})},
		{"a start above the slots of a server", 1, overloadChecker(func(c *RegionNotOverloaded) {
			c.Start(0, "s1")
			c.Start(0, "s1")
		})},
		{"requests in flight at a removed server", 0, overloadChecker(func(c *RegionNotOverloaded) {
			c.Start(0, "s1")
			c.SetSlots("r", "s1", 0)
			c.Start(0, "s2")
		})},
		{"a start above slots that shrank", 1, overloadChecker(func(c *RegionNotOverloaded) {
			c.Start(0, "s2")
			c.SetSlots("r", "s2", 0)
			c.Start(0, "s2")
		})},
		{"an unknown server", 1, overloadChecker(func(c *RegionNotOverloaded) { c.Start(0, "s9") })},

		{"new work within the grace time", 0, leavingChecker(func(c *NoNewWorkToLeaving) { c.Start(3*sec, "s") })},
		{"new work after the first signal's grace time", 1, leavingChecker(func(c *NoNewWorkToLeaving) {
			c.Leaving(2*sec, "s")
			c.Start(3*sec+1, "s")
		})},
		{"new work after an aborted drain", 0, leavingChecker(func(c *NoNewWorkToLeaving) {
			c.LeaveAborted("s")
			c.Start(9*sec, "s")
		})},

		{"two operations", 0, func() Checker {
			c := NewAtMostOnce()
			c.Run(0, "1", "s1")
			c.Run(0, "2", "s1")
			return c
		}},
		{"one operation at two servers", 1, func() Checker {
			c := NewAtMostOnce()
			c.Run(0, "1", "s1")
			c.Run(0, "1", "s2")
			return c
		}},

		{"not-run without a run", 0, func() Checker {
			c := NewNotRunIsTrue()
			c.Answer(0, "1", late)
			c.Run(0, "2")
			c.Answer(0, "2", outcome.Success())
			return c
		}},
		{"a run after not-run", 1, func() Checker {
			c := NewNotRunIsTrue()
			c.Answer(0, "1", late)
			c.Run(1, "1")
			return c
		}},
		{"not-run after a run", 1, func() Checker {
			c := NewNotRunIsTrue()
			c.Run(0, "1")
			c.Answer(1, "1", late)
			return c
		}},

		{"own complete answers", 0, answerChecker("one", "two")},
		{"answers to each other's request", 2, answerChecker("two", "one")},
		{"a truncated answer", 1, answerChecker("on", "two")},
		{"an answer that no server sent", 1, func() Checker {
			c := NewWholeOwnAnswer()
			c.Received(0, "1", []byte("one"))
			return c
		}},

		{"a shutdown after the last answer", 0, shutdownChecker(func(c *ShutdownCutsNothing) {
			c.ShutdownStarted("h")
			c.Answered("h", "1")
		})},
		{"a shutdown with a request in flight", 1, shutdownChecker(func(c *ShutdownCutsNothing) { c.ShutdownStarted("h") })},
		{"a connection broken during a shutdown", 1, shutdownChecker(func(c *ShutdownCutsNothing) {
			c.ShutdownStarted("h")
			c.ConnectionBroken(0, "h", "1")
		})},
		{"a crash", 0, shutdownChecker(func(c *ShutdownCutsNothing) {})},

		{"revisions in order and in time", 0, configChecker(func(c *ConfigNeverReverts) { c.Applied(sec, "p", 2) })},
		{"an older revision", 1, configChecker(func(c *ConfigNeverReverts) {
			c.Applied(sec, "p", 2)
			c.Applied(sec, "p", 1)
		})},
		{"a process that lacks an accepted revision", 1, configChecker(func(c *ConfigNeverReverts) {})},
		{"an unreachable process", 0, configChecker(func(c *ConfigNeverReverts) { c.Unreachable("p") })},
		{"an accepted revision below an accepted one", 1, configChecker(func(c *ConfigNeverReverts) {
			c.Applied(sec, "p", 2)
			c.Accepted(sec, 1)
		})},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			c := tc.newChecker()
			g.Expect(c.Count()).To(Equal(tc.violations), "%v", c.Violations())
			g.Expect(FirstError(c) != nil).To(Equal(tc.violations > 0))
		})
	}
}

// capChecker builds a checker with a cap of 2 requests and 100 B/s on "a>b".
func capChecker(feed func(*CapNeverExceeded)) func() Checker {
	return func() Checker {
		c := NewCapNeverExceeded()
		c.SetCap(0, "a>b", Cap{Concurrent: 2, BytesPerSecond: 100})
		feed(c)
		return c
	}
}

// overloadChecker builds a checker with servers s1 and s2 of one slot each.
func overloadChecker(feed func(*RegionNotOverloaded)) func() Checker {
	return func() Checker {
		c := NewRegionNotOverloaded()
		c.SetSlots("r", "s1", 1)
		c.SetSlots("r", "s2", 1)
		feed(c)
		return c
	}
}

// leavingChecker builds a checker whose server s drains since 0.
func leavingChecker(feed func(*NoNewWorkToLeaving)) func() Checker {
	return func() Checker {
		c := NewNoNewWorkToLeaving()
		c.Leaving(0, "s")
		feed(c)
		return c
	}
}

// answerChecker builds a checker with the answers that the callers of requests 1
// and 2 receive; "one" and "two" were sent.
func answerChecker(first, second string) func() Checker {
	return func() Checker {
		c := NewWholeOwnAnswer()
		c.Sent("1", []byte("one"))
		c.Sent("2", []byte("two"))
		c.Received(0, "1", []byte(first))
		c.Received(0, "2", []byte(second))
		return c
	}
}

// shutdownChecker builds a checker whose host h has request 1 in flight and exits
// after 1 s.
func shutdownChecker(feed func(*ShutdownCutsNothing)) func() Checker {
	return func() Checker {
		c := NewShutdownCutsNothing()
		c.Accept("h", "1")
		feed(c)
		c.Exited(sec, "h")
		return c
	}
}

// configChecker builds a checker whose process p has applied revision 1 when
// revision 2 is accepted at 0, and checks it after the limit of 2 s.
func configChecker(feed func(*ConfigNeverReverts)) func() Checker {
	return func() Checker {
		c := NewConfigNeverReverts(2 * sec)
		c.Reachable(0, "p")
		c.Applied(0, "p", 1)
		c.Accepted(0, 2)
		feed(c)
		c.Check(2*sec + 1)
		return c
	}
}
