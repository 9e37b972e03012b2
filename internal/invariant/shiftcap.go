package invariant

import "time"

// Cap is the limit on the traffic shifted from one region to another.
type Cap struct {
	// Concurrent bounds the shifted requests in flight.
	Concurrent int
	// BytesPerSecond is the rate of a token bucket whose depth is the rate over
	// one second.
	BytesPerSecond int64
	// GrowthPerSecond bounds the increase of concurrent requests per second. It
	// is not checked if it is zero or less.
	GrowthPerSecond float64
}

// CapNeverExceeded checks that a shift of traffic stays within its cap at any
// time, in concurrent requests, bytes and growth. A pair names the regions that it
// is shifted from and to, for example "nordur>austur".
type CapNeverExceeded struct {
	recorder
	pairs map[string]*pairState
}

// pairState is the shift between one pair of regions.
type pairState struct {
	limit    Cap
	inFlight int
	// used is the number of bytes taken from the token bucket and not yet
	// refilled.
	used       float64
	refilledAt time.Duration
	// growthLimit is the highest number of concurrent requests that
	// GrowthPerSecond allows.
	growthLimit   float64
	growthLimitAt time.Duration
}

// NewCapNeverExceeded returns a checker in which every cap is zero.
func NewCapNeverExceeded() *CapNeverExceeded {
	return &CapNeverExceeded{
		recorder: recorder{name: "CapNeverExceeded"},
		pairs:    map[string]*pairState{},
	}
}

func (c *CapNeverExceeded) pair(name string) *pairState {
	p := c.pairs[name]
	if p == nil {
		p = &pairState{}
		c.pairs[name] = p
	}
	return p
}

// SetCap records the cap that applies from now on. After a reduction, requests
// already in flight are no violation, only later starts.
func (c *CapNeverExceeded) SetCap(at time.Duration, pair string, limit Cap) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pair(pair)
	p.refill(at)
	p.raiseGrowthLimit(at)
	p.limit = limit
}

// Start records that a shifted request was granted a slot. bytes is the size of
// the request plus the answer size that is charged for it.
func (c *CapNeverExceeded) Start(at time.Duration, pair string, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pair(pair)
	p.refill(at)
	p.raiseGrowthLimit(at)
	p.inFlight++
	if p.inFlight > p.limit.Concurrent {
		c.report(at, "%s has %d in flight with a cap of %d", pair, p.inFlight, p.limit.Concurrent)
	}
	if p.limit.GrowthPerSecond > 0 && float64(p.inFlight) > p.growthLimit+roundingSlack {
		c.report(at, "%s rose to %d when its growth allows %.2f", pair, p.inFlight, p.growthLimit)
	}
	p.used += float64(bytes)
	if depth := float64(p.limit.BytesPerSecond); p.used > depth+roundingSlack {
		c.report(at, "%s charged %.0f bytes with a bucket of %.0f", pair, p.used, depth)
	}
}

// roundingSlack allows for the rounding of durations to float seconds, in requests
// and in bytes.
const roundingSlack = 1e-3

// End records that a shifted request released its slot.
func (c *CapNeverExceeded) End(at time.Duration, pair string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pair(pair)
	if p.inFlight == 0 {
		c.report(at, "end without start for %s", pair)
		return
	}
	p.raiseGrowthLimit(at)
	p.inFlight--
}

// refill refills the token bucket at the rate that applied until now.
func (p *pairState) refill(at time.Duration) {
	p.used = max(0, p.used-(at-p.refilledAt).Seconds()*float64(p.limit.BytesPerSecond))
	p.refilledAt = at
}

// raiseGrowthLimit raises the growth limit over time. The limit is at least one
// request, and exceeds the requests in flight by at most one second of growth or,
// if that is more, one request.
func (p *pairState) raiseGrowthLimit(at time.Duration) {
	step := max(1, p.limit.GrowthPerSecond)
	p.growthLimit += (at - p.growthLimitAt).Seconds() * p.limit.GrowthPerSecond
	p.growthLimit = max(p.growthLimit, 1)
	p.growthLimit = min(p.growthLimit, max(float64(p.inFlight)+step, 1))
	p.growthLimitAt = at
}
