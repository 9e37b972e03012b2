package fairshare

import (
	"math"
	"time"
)

// Rate is the average rate of events, in which the weight of an event decays with its
// age. The zero Rate has seen none; a time constant must be given with each call.
type Rate struct {
	count float64 // decayed number of events
	at    time.Duration
}

// Add counts an event.
func (r *Rate) Add(now, timeConstant time.Duration) {
	r.count, r.at = r.Count(now, timeConstant)+1, max(now, r.at)
}

// Remove takes back an event that was counted at a time.
func (r *Rate) Remove(now, addedAt, timeConstant time.Duration) {
	weight := math.Exp(-float64(now-addedAt) / float64(timeConstant))
	r.count, r.at = max(r.Count(now, timeConstant)-weight, 0), max(now, r.at)
}

// Count returns the decayed number of events, which at a constant rate is the number
// in one time constant.
func (r *Rate) Count(now, timeConstant time.Duration) float64 {
	if r.count == 0 || now <= r.at {
		return r.count
	}
	return r.count * math.Exp(-float64(now-r.at)/float64(timeConstant))
}

// PerSecond returns the average rate in events per second.
func (r *Rate) PerSecond(now, timeConstant time.Duration) float64 {
	return r.Count(now, timeConstant) / timeConstant.Seconds()
}
