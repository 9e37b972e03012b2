package dispatch

// Limits are the operator's bounds for all hosts of the deployment. Pools share no
// counts for them.
//
// Each pool keeps strictly to its part of the bound on a cold server. Only shared
// pools of the server's own region may send to it, and each takes a fixed half, so
// that the bound holds over all hosts while at most two such pools grant at once and
// both count the server as cold. A third may grant if a host reaches neither of the
// first two dispatchers. Of a server that may have restarted only the pool that saw it
// fail knows that it is cold.
//
// MaxShift is soft and applies to each pool by itself.
type Limits struct {
	// ColdOverage and ColdSlack bound the requests that a cold server gets in any
	// second: the service's cold rate times ColdOverage, plus ColdSlack.
	ColdOverage, ColdSlack float64
	// MaxShift bounds the growth, from one window of 2 s to the next, of the fraction
	// of a pool's grants that go to other regions. Each region's fraction may grow by
	// 0.4*MaxShift, so those of three regions together by 1.2*MaxShift. The bound does
	// not apply while either window has fewer than 30 grants, nor to a request for
	// which no server within it is usable; full servers are usable.
	MaxShift float64
}

// DefaultLimits apply where the deployment sets none.
var DefaultLimits = Limits{ColdOverage: 1.5, ColdSlack: 5, MaxShift: 0.15}

const (
	// coldPools is the number of shared pools of a region that are assumed to grant
	// at the same time: those of the first two hosts in the order of
	// fleet.Snapshot.Dispatchers. Nothing prevents a third; see Limits.
	coldPools = 2
	// coldRateMargin is the distance to the bound in requests per second: servers
	// count arrivals, which bunch up in transit.
	coldRateMargin = 1.0
	// maxColdBurst bounds the requests that one pool sends to a cold server at
	// once: each takes longer there than usual.
	maxColdBurst = 2.0
	// regionShiftFraction is the fraction of MaxShift by which the share of one
	// region may grow. Two regions may grow at once, and the windows in which the
	// bound must hold are not aligned with those of the pool.
	regionShiftFraction = 0.4
)

// coldBurst returns the number of requests that one pool may send to a cold server
// at once.
func (l Limits) coldBurst() float64 {
	return min(max((l.ColdSlack-coldRateMargin)/coldPools, 1), maxColdBurst)
}

// poolColdRate returns the requests per second that one pool may send to a cold
// server of a service whose cold rate is rate. In any second a pool sends at most
// this rate plus one burst. It is 0, and cold servers get no requests, if rate is 0
// or if ColdOverage*rate is at most 3-ColdSlack.
func (l Limits) poolColdRate(rate float64) float64 {
	totalRate := l.ColdOverage * rate
	bursts := coldPools * l.coldBurst()
	return max(min(totalRate, totalRate+l.ColdSlack-coldRateMargin-bursts), 0) / coldPools
}

// maxRegionGrowth returns the largest growth of one region's share of the requests
// from one window to the next.
func (l Limits) maxRegionGrowth() float64 { return regionShiftFraction * l.MaxShift }
