package dispatch

// Limits are bounds of the operators that hold over all hosts. A pool keeps a
// part of each, so that pools that decide at once keep the whole.
type Limits struct {
	// ColdOverage and ColdSlack bound the requests that a cold server gets in any
	// second: its cold rate times ColdOverage, plus ColdSlack.
	ColdOverage, ColdSlack float64
	// MaxShift bounds the part of a region's requests that changes its region from
	// one window of 2 s to the next.
	MaxShift float64
}

// DefaultLimits hold where the deployment names none.
var DefaultLimits = Limits{ColdOverage: 1.5, ColdSlack: 5, MaxShift: 0.15}

const (
	// coldPools is the number of pools that may send to a cold server at once: the
	// dispatcher of the server's region and the one that takes over from it.
	coldPools = 2
	// coldMargin is the number of requests a second that is kept below the bound:
	// servers count arrivals, which bunch on the way.
	coldMargin = 1.0
	// maxColdBurst bounds the requests that one pool sends to a cold server at one
	// moment: each of them works for longer than usual.
	maxColdBurst = 2.0
	// shiftPart is the part of MaxShift by which one region may grow. Two regions
	// may grow at once, and the windows of the rule are not those of the pool.
	shiftPart = 0.4
)

// coldBurst returns the requests that one pool may send to a cold server at one
// moment.
func (l Limits) coldBurst() float64 {
	return min(max((l.ColdSlack-coldMargin)/coldPools, 1), maxColdBurst)
}

// poolColdRate returns the requests a second that one pool may send to a cold
// server of a service with a cold rate. In any second a pool sends this rate and
// a burst at most.
func (l Limits) poolColdRate(rate float64) float64 {
	whole := l.ColdOverage * rate
	bursts := coldPools * l.coldBurst()
	return max(min(whole, whole+l.ColdSlack-coldMargin-bursts), 0) / coldPools
}

// shiftStep returns the largest growth of one region's part of the requests from
// one window to the next.
func (l Limits) shiftStep() float64 { return shiftPart * l.MaxShift }
