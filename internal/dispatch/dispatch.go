// Package dispatch chooses the backend server for each request of one service.
//
// A Pool is the pure state machine behind that choice: it takes the time, an
// event and returns a decision. It has no locks and reads no clock; its caller
// serializes access. The entry host that dispatches a service in a region runs
// one Pool for all requests that enter in the region; every entry host also runs
// one for itself, which it uses while no dispatcher answers. Dispatching is not
// exclusive: two pools that dispatch at once cost accuracy, never a promise,
// because each keeps its share of every limit that holds over all hosts.
package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// Reason tells why a request was refused.
type Reason string

// Reasons of a refusal. All of them mean that the request has not run.
const (
	// NoServer: no backend server of the service may be used.
	NoServer Reason = "no_server"
	// Overload: the request would be answered too late to be worth the slot.
	Overload Reason = "overload"
	// Late: no backend server can answer before the deadline.
	Late Reason = "late"
)

// Request is what the choice depends on. Times are on the pool's clock.
type Request struct {
	// Class groups requests that take similarly long, usually by route.
	Class string
	// Key names the object that the request is about; "" if there is none.
	Key string
	// Host is the entry host that sends the request, Domain its failure domain.
	Host, Domain string
	// Rank is the rank; 0 is the most urgent.
	Rank int
	// Bytes is the size of the body.
	Bytes int64
	// Objective is when the answer loses most of its worth, Deadline when the
	// caller gives up.
	Objective, Deadline time.Duration
	// Exclude lists backend servers that were tried already.
	Exclude []string
	// Allowed lists the regions that may serve; empty allows all.
	Allowed []string
}

// Decision is the answer to a Request: a server, or the reason of a refusal.
type Decision struct {
	Grant  uint64
	Server string
	// Warm tells that the server is believed to hold the object of the request.
	Warm bool
	// Wait and Service are the expected time in the server's queue and at work.
	Wait, Service time.Duration
	// Load is the number of requests at the server, Busy the part of the service's
	// slots that was taken.
	Load, Busy float64
	Refused    Reason
	// RetryAfter is when the request is likely to be accepted.
	RetryAfter time.Duration
}

// Result tells how a granted request ended.
type Result int

// Results of a granted request.
const (
	// Served: the server ran the request and its answer arrived whole.
	Served Result = iota
	// Failed: the server answered with a failure, or its answer was unusable.
	Failed
	// Shed: the server refused the request before running it.
	Shed
	// Unreachable: no connection to the server could be made.
	Unreachable
	// Misdirected: another server has the address now.
	Misdirected
	// TimedOut: no answer came in the time that the request had.
	TimedOut
	// Abandoned: the caller left, or another attempt answered first.
	Abandoned
)

// Load is what a backend server tells of itself with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Report ends a grant.
type Report struct {
	Result Result
	// Elapsed is the time from sending the request to the end of the answer.
	Elapsed time.Duration
	// Connect is the time that a new connection took; 0 if one was reused.
	Connect time.Duration
	// Load is nil if the server did not tell.
	Load *Load
	// Bytes is the size of the answer.
	Bytes int64
}

// Options are the limits of a pool.
type Options struct {
	// Region is where the requests enter.
	Region string
	// Shared tells that the pool sees all requests that enter in the region.
	// A pool of a single host does not use cold servers.
	Shared bool
	// Limits are the operators' bounds that hold over all hosts.
	Limits Limits
}

// Pool chooses backend servers of one service.
type Pool struct {
	opts     Options
	coldRate float64 // of this pool, in requests a second for each cold server
	coldFor  time.Duration
	servers  map[string]*server
	list     []*server // the servers in the order of their IDs
	grants   map[uint64]*grant
	next     uint64
	// busy is the part of the service's slots that is taken, from 0 to 1.
	busy    float64
	busyAt  time.Duration
	classes map[string]*class
	far     map[string]time.Duration // measured round trips by region
	evac    map[string]bool
	shifts  shifts
	warmed  []Warmth
	// keep is the number of objects that servers are believed to hold.
	keep float64
	// ranks holds when each rank sent its last request.
	ranks map[int]time.Duration
	// learnt tells that the knowledge changed since the last export.
	learnt bool
}

type grant struct {
	server *server
	key    string
	class  string
	warm   bool
	sent   time.Duration
	wait   time.Duration
	expect time.Duration
	// deadline is when the caller gives up.
	deadline time.Duration
	// age is the number of objects that the server was asked for since it was
	// asked for this one.
	age   int
	alone bool // no request waited or ran above the slots when it was sent
}

// Warmth tells that a server was given its first request about an object.
type Warmth struct {
	Server, Key string
}

// New returns an empty pool; Update fills it.
func New(o Options) *Pool {
	return &Pool{
		opts: o, servers: map[string]*server{}, grants: map[uint64]*grant{},
		classes: map[string]*class{}, far: map[string]time.Duration{},
		shifts: shifts{home: o.Region, step: o.Limits.shiftStep()}, keep: firstKeep, ranks: map[int]time.Duration{},
	}
}

// Update takes over the backend servers of the service from a snapshot.
// coldRate and coldFor are the service's cold limit and cold time.
func (p *Pool) Update(now time.Duration, list []*fleet.Backend, evacuated map[string]bool, coldRate float64, coldFor time.Duration) {
	p.coldRate, p.coldFor, p.evac = p.opts.Limits.poolColdRate(coldRate), coldFor, evacuated
	seen := make(map[string]bool, len(list))
	for _, b := range list {
		seen[b.ID] = true
		s := p.servers[b.ID]
		if s == nil || s.born != b.Born || s.address != b.Address {
			s = newServer(now, b)
			p.servers[b.ID] = s
		}
		s.domain, s.region, s.slots, s.draining = b.Domain, b.Region, max(b.Slots, 1), b.Draining
		s.coldUntil = max(s.coldUntil, b.ColdUntil)
	}
	p.list = p.list[:0]
	for id, s := range p.servers {
		if !seen[id] {
			delete(p.servers, id)
			continue
		}
		p.list = append(p.list, s)
	}
	slices.SortFunc(p.list, func(a, b *server) int { return strings.Compare(a.id, b.id) })
	p.rankForeign()
}

// Acquire decides on a request at time now.
func (p *Pool) Acquire(now time.Duration, r Request) Decision {
	c := p.class(r.Class, r.Objective-now)
	if now-p.busyAt > occupancyAge {
		p.busy, p.busyAt = p.occupancy(now), now
	}
	best, choice := p.choose(now, r, c, healthyServers)
	if best == nil {
		// A server that is believed to be down is better than none.
		best, choice = p.choose(now, r, c, anyServer)
	}
	if best != nil && p.yields(now, r, best) {
		return p.refuse(now, Overload, best, choice)
	}
	if best != nil && p.overloaded(now, best, choice) {
		// While many slots are free, another server may load the object. Without
		// them that would take the slot from several requests that find theirs
		// loaded, so the request is refused.
		if p.busy > spareOccupancy {
			return p.refuse(now, Overload, best, choice)
		}
		if best, choice = p.choose(now, r, c, freeServers); best == nil {
			return p.refuse(now, Overload, nil, choice)
		}
	}
	switch {
	case best == nil:
		return p.refuse(now, NoServer, nil, choice)
	case choice.finish > r.Deadline-now-deadlineMargin:
		return p.refuse(now, Late, best, choice)
	}
	return p.grant(now, r, best, choice)
}

// yields tells whether a request would wait in front of more urgent ones: the
// service is nearly full, the server has no free slot, and a more urgent rank
// has sent requests lately.
func (p *Pool) yields(now time.Duration, r Request, s *server) bool {
	urgent := false
	for rank, at := range p.ranks {
		urgent = urgent || rank < r.Rank && now-at <= rankTime
	}
	p.ranks[r.Rank] = now
	return urgent && p.busy > yieldOccupancy && s.load(now) >= float64(s.slots)
}

// overloaded tells whether a request at the server would miss its objective and
// make others wait.
func (p *Pool) overloaded(now time.Duration, s *server, o option) bool {
	return !o.inTime && s.load(now) > lateLoad*float64(s.slots)
}

// occupancyAge is how long the occupancy of the service is used.
const occupancyAge = 20 * time.Millisecond

// Limits of the answer to a refused request.
const (
	// retryNoServer is when to come back while there is no server.
	retryNoServer = 300 * time.Millisecond
	// retryOverload is when to come back after a refusal for lack of slots. The
	// answer will be late in any case; it is likelier once a burst has passed.
	retryOverload = 700 * time.Millisecond
	// maxRetry bounds the time after which to come back.
	maxRetry = 2 * time.Second
	// deadlineMargin is kept for the way back to the caller.
	deadlineMargin = 20 * time.Millisecond
)

// refuse returns the refusal of a request. s is the server that would have been
// the best, nil if there was none.
func (p *Pool) refuse(now time.Duration, reason Reason, s *server, o option) Decision {
	d := Decision{Refused: reason, Wait: o.wait, Service: o.service, Busy: p.busy, RetryAfter: retryNoServer}
	if s != nil {
		d.Load = s.load(now)
	}
	if reason != NoServer {
		d.RetryAfter = min(max(o.wait, retryOverload), maxRetry)
	}
	return d
}

func (p *Pool) grant(now time.Duration, r Request, s *server, c option) Decision {
	p.next++
	load := s.load(now)
	g := &grant{
		server: s, key: r.Key, class: r.Class, warm: c.warm, sent: now, wait: c.wait,
		expect: c.service, deadline: r.Deadline, alone: load < float64(s.slots),
	}
	p.grants[p.next] = g
	s.inflight++
	s.tried = true
	if s.region != p.opts.Region {
		s.senders[r.Host] = now
	}
	s.expected += c.service
	s.use(now)
	if s.cold(now) {
		s.takeCold(now, p.coldRate, p.opts.Limits.coldBurst())
	}
	if key := objectKey(r.Class, r.Key); key != "" {
		g.age = s.ageOf(key)
		if s.touch(key, now, int(p.keep)) {
			p.learnt = true
			p.warmed = append(p.warmed, Warmth{Server: s.id, Key: key})
		}
	}
	p.shifts.count(now, s.region)
	return Decision{Grant: p.next, Server: s.id, Warm: c.warm, Wait: c.wait, Service: c.service, Load: load, Busy: p.busy}
}

// objectKey names an object among all classes; "" if there is none.
func objectKey(class, key string) string {
	if key == "" {
		return ""
	}
	return class + "\x00" + key
}

func splitObjectKey(k string) (class, key string) {
	class, key, _ = strings.Cut(k, "\x00")
	return class, key
}

// occupancy returns the part of the usable servers' slots that is taken.
func (p *Pool) occupancy(now time.Duration) float64 {
	load, slots := 0.0, 0.0
	for _, s := range p.list {
		if !s.draining && !s.gone && !p.evac[s.domain] && s.available(now) {
			load += min(s.load(now), float64(s.slots))
			slots += float64(s.slots)
		}
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}

// Release ends a grant. A grant that is not known, because another pool gave it
// or it was released before, is ignored.
func (p *Pool) Release(now time.Duration, id uint64, r Report) {
	g := p.grants[id]
	if g == nil {
		return
	}
	delete(p.grants, id)
	s := g.server
	s.end(now, g)
	if r.Connect > 0 {
		p.measured(s.region, r.Connect)
	}
	if r.Load != nil {
		s.reported, s.reportedAt = r.Load.Running+r.Load.Waiting, now
	}
	p.learn(now, g, r)
}

// learn updates what the pool believes of the server and the class.
func (p *Pool) learn(now time.Duration, g *grant, r Report) {
	s := g.server
	key := objectKey(g.class, g.key)
	switch r.Result {
	case Served:
		wasDown := s.downUntil > 0
		s.succeeded(now)
		if wasDown && s.restarted {
			// The server was away and may have started again: treat it as cold
			// until its registration tells more.
			s.restarted = false
			s.coldUntil = max(s.coldUntil, now+p.coldFor)
			s.forgetKeys()
		}
		p.class(g.class, 0).observeBytes(r.Bytes)
		p.observeKeep(g, p.class(g.class, 0), r.Elapsed-p.roundTrip(s.region))
		p.class(g.class, 0).observe(g, s, r.Elapsed-p.roundTrip(s.region))
	case Failed:
		s.failed(now, false)
		s.drop(key)
	case Shed:
		// The server still holds what it held.
		s.shed(now)
		if !g.warm {
			s.drop(key)
		}
	case Unreachable:
		s.failed(now, true)
		s.drop(key)
	case Misdirected:
		s.gone = true
	case TimedOut:
		s.overdue(now)
	case Abandoned:
		if !g.warm {
			s.drop(key)
		}
	}
}

// observeKeep learns how many objects a server holds from a request that it was
// believed to hold the object of.
func (p *Pool) observeKeep(g *grant, c *class, elapsed time.Duration) {
	if !g.warm || !g.alone || g.key == "" || !c.coldSeen || !c.warmSeen || g.server.slowness > 1.5 {
		return
	}
	forgotten := float64(elapsed) > forgottenTime*float64(c.cold())
	switch {
	case forgotten && float64(g.age) < p.keep && float64(g.age) >= p.keep/2:
		p.keep = max(p.keep-keepDown, minKeep)
	case !forgotten && float64(g.age) >= p.keep-2:
		p.keep = min(p.keep+keepUp, maxKeep)
	}
}

// measured takes the time of a new connection as the round trip to a region.
func (p *Pool) measured(region string, connect time.Duration) {
	old, ok := p.far[region]
	if !ok || connect < old {
		p.far[region] = connect
		return
	}
	p.far[region] = old + (connect-old)/16
}

func (p *Pool) roundTrip(region string) time.Duration {
	if d, ok := p.far[region]; ok {
		return d
	}
	if region == p.opts.Region {
		return defaultNear
	}
	return defaultFar
}

// Grants returns the number of requests in flight.
func (p *Pool) Grants() int { return len(p.grants) }

// expire drops grants whose deadline has passed: the host that held them has
// ended without a report.
func (p *Pool) expire(now time.Duration) {
	for id, g := range p.grants {
		if now > g.deadline+expireMargin {
			delete(p.grants, id)
			g.server.end(now, g)
		}
	}
}

// expireMargin is how long after the deadline a report may still arrive.
const expireMargin = 500 * time.Millisecond
