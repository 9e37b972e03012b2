package invariant

import "time"

// leavingGrace is the time after the first signal within which a draining backend
// server may still get new work.
const leavingGrace = 3 * time.Second

// RegionNotOverloaded checks that no backend server is sent more requests at a time
// than it has slots, for example because one slot is granted twice. A region is not
// overloaded if none of its servers is. The sum over a region is not checked:
// requests that outlive the removal of a server or a reduction of its slots would
// count against free slots of other servers.
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

// SetSlots records a server's slots. After a reduction, requests already in flight
// are no violation, but a new start above the slots is.
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

// Start records that one request was sent to a server or granted a slot of it.
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

// InFlight returns the recorded number of requests in flight at a server.
func (c *RegionNotOverloaded) InFlight(server string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[server]; s != nil {
		return s.inFlight
	}
	return 0
}

// NoNewWorkToLeaving checks that a draining backend server gets no new work more
// than 3 s after the first signal of its drain. A sender that has not learned of
// the drain by then violates it.
type NoNewWorkToLeaving struct {
	recorder
	leavingSince map[string]time.Duration
}

// NewNoNewWorkToLeaving returns a checker without draining servers.
func NewNoNewWorkToLeaving() *NoNewWorkToLeaving {
	return &NoNewWorkToLeaving{
		recorder:     recorder{name: "NoNewWorkToLeaving"},
		leavingSince: map[string]time.Duration{},
	}
}

// Leaving records a signal that the server drains. Only the first one counts.
func (c *NoNewWorkToLeaving) Leaving(at time.Duration, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.leavingSince[server]; !ok {
		c.leavingSince[server] = at
	}
}

// LeaveAborted records that the server no longer drains, for example because an
// operator aborted the drain.
func (c *NoNewWorkToLeaving) LeaveAborted(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leavingSince, server)
}

// Start records new work for a server.
func (c *NoNewWorkToLeaving) Start(at time.Duration, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since, ok := c.leavingSince[server]; ok && at > since+leavingGrace {
		c.report(at, "server %q got new work %s after its first leaving signal", server, at-since)
	}
}
