package quota

import (
	"fmt"
	"math"
	"time"
)

// checker checks the rule for one workspace: the attempts of all hosts in any window.
type checker struct {
	bounds   Bounds
	attempts []time.Duration
	limits   []limitChange
}

// limitChange is a limit that is in force on some host from a time on.
type limitChange struct {
	from  time.Duration
	limit Limit
}

// applyTime is the time within which a changed limit takes effect on all hosts.
const applyTime = 4 * time.Second

func (c *checker) attempt(now time.Duration) { c.attempts = append(c.attempts, now) }

// allowed returns the greatest number of attempts in the window from a time: that of the
// highest limit in force on some host in it.
func (c *checker) allowed(from time.Duration) float64 {
	highest := 0.0
	for k, l := range c.limits {
		until := time.Duration(math.MaxInt64)
		if k+1 < len(c.limits) {
			until = c.limits[k+1].from + applyTime
		}
		if l.from <= from+c.bounds.Window && until >= from {
			highest = max(highest, c.bounds.Max(l.limit))
		}
	}
	return highest
}

// worst returns the greatest ratio of the attempts in a window to what is allowed in it.
func (c *checker) worst() float64 {
	worst, end := 0.0, 0
	for begin, from := range c.attempts {
		for end < len(c.attempts) && c.attempts[end] <= from+c.bounds.Window {
			end++
		}
		worst = max(worst, float64(end-begin)/c.allowed(from))
	}
	return worst
}

// violation describes the worst window, "" if the rule holds.
func (c *checker) violation() string {
	if w := c.worst(); w > 1 {
		return fmt.Sprintf("a window has %.3f of the allowed attempts", w)
	}
	return ""
}
