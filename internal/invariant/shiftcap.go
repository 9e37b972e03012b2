package invariant

import "time"

// Cap is the limit on a shift from one region to another.
type Cap struct {
	Concurrent int
	// BytesPerSecond is the rate of a token bucket with a depth of one second.
	BytesPerSecond int64
	// GrowthPerSecond bounds the rise of concurrent requests. Zero or less
	// leaves the rise unchecked.
	GrowthPerSecond float64
}

// CapNeverExceeded checks that a shift of traffic stays within its cap at any
// instant. A pair is the name of a direction, for example "nordur>austur".
type CapNeverExceeded struct {
	recorder
	pairs map[string]*shifted
}

type shifted struct {
	limit    Cap
	inFlight int
	// level is what the token bucket has been charged and not yet paid back.
	level     float64
	leveledAt time.Duration
	// reach is the highest number of concurrent requests that growth allows.
	reach     float64
	reachedAt time.Duration
}

// NewCapNeverExceeded returns a checker where every cap is zero.
func NewCapNeverExceeded() *CapNeverExceeded {
	return &CapNeverExceeded{
		recorder: recorder{name: "CapNeverExceeded"},
		pairs:    map[string]*shifted{},
	}
}

func (c *CapNeverExceeded) pair(name string) *shifted {
	p := c.pairs[name]
	if p == nil {
		p = &shifted{}
		c.pairs[name] = p
	}
	return p
}

// SetCap records the cap in force from now on. A lower cap makes no violation
// of requests already in flight, only of later starts.
func (c *CapNeverExceeded) SetCap(at time.Duration, pair string, limit Cap) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pair(pair)
	p.drain(at)
	p.grow(at)
	p.limit = limit
}

// Start records that a shifted request got a slot. Bytes are those of the
// request and of the answer size that is charged for it.
func (c *CapNeverExceeded) Start(at time.Duration, pair string, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pair(pair)
	p.drain(at)
	p.grow(at)
	p.inFlight++
	if p.inFlight > p.limit.Concurrent {
		c.report(at, "%s has %d in flight with a cap of %d", pair, p.inFlight, p.limit.Concurrent)
	}
	if p.limit.GrowthPerSecond > 0 && float64(p.inFlight) > p.reach+roundingSlack {
		c.report(at, "%s rose to %d when its growth allows %.2f", pair, p.inFlight, p.reach)
	}
	p.level += float64(bytes)
	if depth := float64(p.limit.BytesPerSecond); p.level > depth+roundingSlack {
		c.report(at, "%s charged %.0f bytes with a bucket of %.0f", pair, p.level, depth)
	}
}

// roundingSlack absorbs the rounding of durations to float seconds.
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
	p.grow(at)
	p.inFlight--
}

// drain pays back the token bucket at the rate in force so far.
func (p *shifted) drain(at time.Duration) {
	p.level = max(0, p.level-(at-p.leveledAt).Seconds()*float64(p.limit.BytesPerSecond))
	p.leveledAt = at
}

// grow raises the reach over time, up to one second of growth above the
// requests in flight, but to at least one request.
func (p *shifted) grow(at time.Duration) {
	step := max(1, p.limit.GrowthPerSecond)
	p.reach += (at - p.reachedAt).Seconds() * p.limit.GrowthPerSecond
	p.reach = max(p.reach, 1)
	p.reach = min(p.reach, max(float64(p.inFlight)+step, 1))
	p.reachedAt = at
}
