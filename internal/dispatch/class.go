package dispatch

import "time"

// estimateGain is the weight of a new observation of a service time.
const estimateGain = 0.1

// slownessGain is the weight of a new observation of a server's slowness.
const slownessGain = 0.3

// Bounds of a server's slowness, so that one odd answer does not decide.
const minSlowness, maxSlowness = 0.3, 20.0

// class holds the service times of requests that take similarly long.
type class struct {
	coldTime, warmTime time.Duration
	coldSeen, warmSeen bool
	answerBytes        int64
}

// class returns the class by name. left is the time to the objective of the
// request that asks, from which the first estimate follows.
func (p *Pool) class(name string, left time.Duration) *class {
	c := p.classes[name]
	if c == nil {
		c = &class{}
		p.classes[name] = c
	}
	if left > 0 {
		if !c.coldSeen {
			c.coldTime = max(c.coldTime, time.Duration(assumedCold*float64(left)))
		}
		if !c.warmSeen {
			c.warmTime = max(c.warmTime, time.Duration(assumedWarm*float64(left)))
		}
	}
	return c
}

func (c *class) cold() time.Duration { return max(c.coldTime, c.warmTime) }
func (c *class) warm() time.Duration { return min(c.coldTime, c.warmTime) }

// observe learns from a served request. Requests that may have waited in the
// server's queue tell nothing about its service time.
func (c *class) observe(g *grant, s *server, elapsed time.Duration) {
	if !g.alone || elapsed <= 0 {
		return
	}
	now := g.sent + elapsed
	if g.expect > 0 {
		c.observeSlowness(g, s, now, elapsed)
	}
	normal := time.Duration(float64(elapsed) / s.slowness)
	if g.warm {
		c.warmTime, c.warmSeen = blend(c.warmTime, normal, c.warmSeen), true
	} else {
		c.coldTime, c.coldSeen = blend(c.coldTime, normal, c.coldSeen), true
	}
}

// observeBytes learns the size of the answers.
func (c *class) observeBytes(n int64) {
	if c.answerBytes == 0 {
		c.answerBytes = n
		return
	}
	c.answerBytes += int64(estimateGain * float64(n-c.answerBytes))
}

func (c *class) observeSlowness(g *grant, s *server, now, elapsed time.Duration) {
	if !c.coldSeen || !c.warmSeen {
		return
	}
	typical := c.cold()
	if g.warm {
		typical = c.warm()
	}
	if typical <= 0 {
		return
	}
	ratio := min(max(float64(elapsed)/float64(typical), minSlowness), maxSlowness)
	s.slowness += (ratio - s.slowness) * slownessGain
	s.slownessAt = now
}

func blend(old, observed time.Duration, seen bool) time.Duration {
	if !seen {
		return observed
	}
	return old + time.Duration(estimateGain*float64(observed-old))
}

// Maintain is called a few times a second. It lets slow servers be trusted again,
// finds servers that do not answer and drops grants of ended hosts.
func (p *Pool) Maintain(now time.Duration) {
	for _, s := range p.servers {
		if s.inflight == 0 && now > s.slownessAt {
			s.slowness = 1 + (s.slowness-1)*decay(now-s.slownessAt, slownessTime)
			s.slownessAt = now
		}
	}
	p.markStalled(now)
	p.expire(now)
}

// Limits after which a request without an answer tells that its server stalls.
const (
	stallFactor = 4
	stallLeast  = 600 * time.Millisecond
)

// markStalled counts requests that take far longer than expected, once each.
func (p *Pool) markStalled(now time.Duration) {
	for _, g := range p.grants {
		limit := max(stallFactor*(g.wait+g.expect), stallLeast)
		if g.sent >= 0 && now-g.sent > limit+p.roundTrip(g.server.region) && !g.server.isDown() {
			g.server.missed++
			if g.server.missed >= stallLimit {
				g.server.down(now)
			}
		}
	}
}

// stallLimit is the number of observations of overdue requests, one for each
// request and call of Relax, after which a server counts as down.
const stallLimit = 6

func (s *server) isDown() bool { return s.downUntil > 0 }
