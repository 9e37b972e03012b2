package dispatch

// Limits are set by the operator. Each pool applies them on its own: a shared pool of a
// cold server's region may send at most half of the server's limit. The total may exceed
// it if three pools grant at once or one does not count the server as cold.
type Limits struct {
	// ColdOverage and ColdSlack limit the requests that a cold server gets in any
	// second to the service's cold rate times ColdOverage, plus ColdSlack.
	ColdOverage, ColdSlack float64
	// MaxShift is the intended maximum increase, between consecutive windows of 2 s, of
	// the fraction of a pool's grants that go to other regions; each region may gain
	// 0.4*MaxShift. It is not enforced with fewer than 30 grants in either window, or if
	// no server within it is usable.
	MaxShift float64
}

// DefaultLimits apply where the deployment sets none.
var DefaultLimits = Limits{ColdOverage: 1.5, ColdSlack: 5, MaxShift: 0.15}

const (
	// coldPools is the number of shared pools of a region that are assumed to grant
	// at the same time: those of the first two hosts in the order of
	// fleet.Snapshot.Dispatchers. A third may grant if a host reaches neither.
	coldPools = 2
	// coldRateMargin is the distance to the bound in requests per second: servers
	// count arrivals, which bunch up in transit.
	coldRateMargin = 1.0
	// maxColdBurst bounds the requests that one pool sends to a cold server at
	// once: each takes longer there than usual.
	maxColdBurst = 2.0
	// regionShiftFraction is the fraction of MaxShift by which the share of one
	// region may grow. Two regions may grow at once (three exceed MaxShift), and the
	// windows in which the bound must hold are not aligned with those of the pool.
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
