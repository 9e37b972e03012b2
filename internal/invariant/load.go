package invariant

import "time"

// leavingGrace is the time after the first signal within which a leaving
// backend server may still get new work.
const leavingGrace = 3 * time.Second

// RegionNotOverloaded checks that no decision to send work exceeds the slots
// of a backend server. A region whose servers are all within their slots is
// not overloaded. The sum over a region is not checked by itself: requests
// that outlive a removal or a cut of slots would count against free slots of
// the region's other servers.
type RegionNotOverloaded struct {
	recorder
	servers map[string]*serverLoad
}

type serverLoad struct {
	region          string
	slots, inFlight int
}

// NewRegionNotOverloaded returns a checker without servers.
func NewRegionNotOverloaded() *RegionNotOverloaded {
	return &RegionNotOverloaded{
		recorder: recorder{name: "RegionNotOverloaded"},
		servers:  map[string]*serverLoad{},
	}
}

// SetSlots records a server's slots. Work in flight above a lower number is
// no violation; a new start above it is.
func (c *RegionNotOverloaded) SetSlots(region, server string, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[server]
	if s == nil {
		s = &serverLoad{region: region}
		c.servers[server] = s
	}
	s.slots = slots
}

// Start records that one request was sent to, or granted a slot of, a server.
func (c *RegionNotOverloaded) Start(at time.Duration, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[server]
	if s == nil {
		c.report(at, "work for unknown server %q", server)
		return
	}
	s.inFlight++
	if s.inFlight > s.slots {
		c.report(at, "server %q of region %q has %d in flight with %d slots", server, s.region, s.inFlight, s.slots)
	}
}

// End records that a started request ended.
func (c *RegionNotOverloaded) End(at time.Duration, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[server]
	if s == nil || s.inFlight == 0 {
		c.report(at, "end without start at server %q", server)
		return
	}
	s.inFlight--
}

// InFlight returns the recorded requests in flight at a server.
func (c *RegionNotOverloaded) InFlight(server string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[server]; s != nil {
		return s.inFlight
	}
	return 0
}

// NoNewWorkToLeaving checks that a leaving backend server gets no new work
// later than 3 s after the first signal.
type NoNewWorkToLeaving struct {
	recorder
	since map[string]time.Duration
}

// NewNoNewWorkToLeaving returns a checker without leaving servers.
func NewNoNewWorkToLeaving() *NoNewWorkToLeaving {
	return &NoNewWorkToLeaving{
		recorder: recorder{name: "NoNewWorkToLeaving"},
		since:    map[string]time.Duration{},
	}
}

// Leaving records a signal that the server leaves. Only the first one counts.
func (c *NoNewWorkToLeaving) Leaving(at time.Duration, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.since[server]; !ok {
		c.since[server] = at
	}
}

// LeaveAborted records that the server no longer leaves, for example after an
// operator aborted the drain.
func (c *NoNewWorkToLeaving) LeaveAborted(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.since, server)
}

// Start records new work for a server.
func (c *NoNewWorkToLeaving) Start(at time.Duration, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since, ok := c.since[server]; ok && at > since+leavingGrace {
		c.report(at, "server %q got new work %s after its first leaving signal", server, at-since)
	}
}
