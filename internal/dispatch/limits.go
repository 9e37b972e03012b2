package dispatch

// Limits are operator-set bounds that hold over all hosts. Each pool that may send
// to cold servers takes a fixed fraction of their bound, so that coldPools pools
// that decide concurrently do not exceed it.
type Limits struct {
	// ColdOverage and ColdSlack bound the requests that a cold server gets in any
	// second: its cold rate times ColdOverage, plus ColdSlack.
	ColdOverage, ColdSlack float64
	// MaxShift bounds the growth, from one window of 2 s to the next, of the fraction
	// of a region's requests that other regions serve. The bound is soft: it does
	// not apply to a request for which no server within it is usable, however full
	// those servers are.
	MaxShift float64
}

// DefaultLimits apply where the deployment sets none.
var DefaultLimits = Limits{ColdOverage: 1.5, ColdSlack: 5, MaxShift: 0.15}

const (
	// coldPools is the number of shared pools of a region that are assumed to grant
	// at the same time: those of the first two hosts in the order of
	// fleet.Snapshot.Dispatchers. Nothing prevents a third.
	coldPools = 2
	// coldRateMargin is the distance to the bound in requests per second: servers
	// count arrivals, which bunch up in transit.
	coldRateMargin = 1.0
	// maxColdBurst bounds the requests that one pool sends to a cold server at
	// once: each takes longer there than usual.
	maxColdBurst = 2.0
	// regionShiftFraction is the fraction of MaxShift by which the share of one
	// region may grow. Two regions may grow at once, and the windows by which the
	// bound is checked are not aligned with those of the pool.
	regionShiftFraction = 0.4
)

// coldBurst returns the number of requests that one pool may send to a cold server
// at once.
func (l Limits) coldBurst() float64 {
	return min(max((l.ColdSlack-coldRateMargin)/coldPools, 1), maxColdBurst)
}

// poolColdRate returns the requests per second that one pool may send to a cold
// server of a service whose cold rate is rate. In any second a pool sends at most
// this rate plus one burst.
func (l Limits) poolColdRate(rate float64) float64 {
	totalRate := l.ColdOverage * rate
	bursts := coldPools * l.coldBurst()
	return max(min(totalRate, totalRate+l.ColdSlack-coldRateMargin-bursts), 0) / coldPools
}

// maxRegionGrowth returns the largest growth of one region's share of the requests
// from one window to the next.
func (l Limits) maxRegionGrowth() float64 { return regionShiftFraction * l.MaxShift }
