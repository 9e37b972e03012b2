package quota

import (
	"math"
	"time"
)

// Time constants of demand estimates.
const (
	// fastTime is short, because demand may move from one region to another within a
	// second.
	fastTime = 250 * time.Millisecond
	// slowTime is for workspaces of few requests, for which a fast estimate says little.
	slowTime = 2 * time.Second
)

// demand estimates a rate of requests from counts.
type demand struct {
	fast, slow float64 // requests per second
	at         time.Duration
}

// add counts n requests that arrived just before now.
func (d *demand) add(now time.Duration, n int) {
	d.decay(now)
	d.fast += float64(n) / fastTime.Seconds()
	d.slow += float64(n) / slowTime.Seconds()
}

func (d *demand) decay(now time.Duration) {
	if now <= d.at {
		return
	}
	if d.slow > 0 {
		passed := float64(now - d.at)
		d.fast *= math.Exp(-passed / float64(fastTime))
		d.slow *= math.Exp(-passed / float64(slowTime))
	}
	d.at = now
}

// expect returns the number of requests expected in the time after now. The fast estimate
// counts less one request, because a single one does not mean that more follow. The slow
// one counts up to that request: above, it would go on after demand has moved away.
func (d *demand) expect(now, within time.Duration) float64 {
	d.decay(now)
	const one = float64(time.Second) / float64(fastTime)
	return max(d.fast-one, min(d.slow, one)) * within.Seconds()
}
