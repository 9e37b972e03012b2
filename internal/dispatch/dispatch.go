// Package dispatch chooses the backend server for each request of one service.
//
// A Pool is a state machine without a clock and is not safe for concurrent use. The
// entry host that dispatches a service in a region, the dispatcher, runs one Pool for
// all requests that enter in the region. A host that is missing from its own snapshot
// uses a fallback pool for its requests while no dispatcher answers.
//
// Acquire takes the usable server with the lowest cost, first among those that are
// expected to answer within the request's objective. The cost is the expected time
// of the answer plus terms for slot time, utilization, failures, distance and whether
// the server holds the object.
//
// A request is never sent to a server that is draining, leaving, evacuated, excluded,
// outside the allowed regions or cold with its rate used up, and never granted if the best
// server is not expected to answer before the deadline, unless that expectation is an
// assumption, old or of few samples and the request serves as a trial; see trialFor. When no other server is
// usable, the limit on shifts between regions and then the exclusion of servers marked
// down are ignored; see Limits.
//
// Pools of one region may dispatch concurrently. Each knows only its own grants in
// the region, so its estimates are then less accurate.
package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// Options are the settings of a pool that do not change.
type Options struct {
	// Region is the region in which the requests enter.
	Region string
	// Shared is set for the pool of a dispatcher, not for the fallback pool of one
	// host. Only shared pools use cold servers, and only those of their own region.
	Shared bool
	// Limits are the operator's, not yet divided between pools.
	Limits Limits
	// Scheduled is set if the deployment has workspaces or quotas: scarce slots are then
	// divided between workspaces, and refused callers return by a schedule.
	Scheduled bool
	// Paced is set if servers that have just started or recovered get their requests at a
	// limited concurrency, which grows with their answers; see also Pool.Paces.
	Paced bool
}

// Pool chooses among the backend servers of one service in all regions, for the
// requests that enter in one region. Unlike a sched.Pool, it spans all regions and
// queues nothing.
type Pool struct {
	opts            Options
	coldRateShare   float64       // this pool's requests per second to each cold server
	restartColdTime time.Duration // how long a server that may have restarted is cold, for this pool only
	servers         map[string]*server
	list            []*server // sorted by ID
	grants          map[uint64]*grant
	lastGrantID     uint64
	trialsInFlight  int // grants that are trials
	// lastPercentAt is when a server last reported a percentage, if percentSeen.
	lastPercentAt time.Duration
	percentSeen   bool
	// occupancy is the result of currentOccupancy as of occupancyAt.
	occupancy   float64
	occupancyAt time.Duration
	classes     map[string]*class
	places      map[string]*place // by region
	// firstChoice are the servers of list that the first pass of choose considers.
	firstChoice      []*server
	leavingMarks     map[string]leavingMark // by ID
	shiftLimiter     shiftLimiter
	requestedObjects []RequestedObject // since the last digest
	// objectCapacity is the number of objects that a server is assumed to hold.
	objectCapacity float64
	// lastRequestByRank is when the last request of each rank arrived for which there
	// was a usable server.
	lastRequestByRank map[int]time.Duration
	// knowledgeChanged is set if, since the last call of Export, an object was requested
	// from a server that was not assumed to hold it.
	knowledgeChanged bool
	scarcity         *scarcity // nil unless Options.Scheduled is set

	requested   bool // a request has arrived, the last one at requestedAt
	requestedAt time.Duration
	paceEvents  []PaceEvent
	// paceSkipped is set if a server was not used for the present request because it is
	// paced, paceIgnored while the request is decided without regard to that.
	paceSkipped, paceIgnored bool
	// fullSkipped is set if a server was not used for the present request because it has no
	// free slot; see needsFreeSlot.
	fullSkipped bool
}

type grant struct {
	server          *server
	key             string
	class           string
	heldObject      bool // the server, cold or not, was assumed to hold the object, or the request has none
	sentAt          time.Duration
	wait            time.Duration
	expectedService time.Duration
	// deadline is when the caller gives up.
	deadline time.Duration
	// reuseDistance is the number of objects that the server was asked for since it
	// was last asked for this one.
	reuseDistance int
	unqueued      bool       // no request waited or ran above the slots when it was sent
	factor        timeFactor // reported by the server before the request was sent
	trial         bool       // it was granted although its estimate was late
	rank          int
	workspace     string
	restricted    bool // the request may be served in some regions only
}

// RequestedObject is an object that was requested from a server not assumed to hold
// it, which now is. Entry hosts send it as JSON under its field names.
type RequestedObject struct {
	Server, Key string
}

// New returns an empty pool; Update fills it.
func New(o Options) *Pool {
	return &Pool{
		opts: o, servers: map[string]*server{}, grants: map[uint64]*grant{},
		classes: map[string]*class{}, places: map[string]*place{}, leavingMarks: map[string]leavingMark{},
		shiftLimiter:   shiftLimiter{ownRegion: o.Region, maxGrowth: o.Limits.maxRegionGrowth()},
		objectCapacity: initialObjectCapacity, lastRequestByRank: map[int]time.Duration{},
		scarcity: newScarcity(o.Scheduled),
	}
}

// Update sets the backend servers of the service from a snapshot. It keeps the
// state of a server whose incarnation and address are unchanged. evacuated contains
// the evacuated failure domains and must not be changed later. serviceColdRate is
// the service's cold rate in requests per second, from which Limits gives the bound
// for a cold server; if it is 0, cold servers get no requests. restartColdTime is
// how long a server that may have restarted counts as cold.
func (p *Pool) Update(now time.Duration, list []*fleet.Backend, evacuated map[string]bool, serviceColdRate float64, restartColdTime time.Duration) {
	p.coldRateShare, p.restartColdTime = p.opts.Limits.poolColdRate(serviceColdRate), restartColdTime
	seen := make(map[string]bool, len(list))
	var joined []*server
	for _, b := range list {
		seen[b.ID] = true
		s := p.servers[b.ID]
		if s == nil || s.startedAtMillis != b.StartedAtMillis || s.address != b.Address {
			s = newServer(now, b)
			p.servers[b.ID] = s
			p.applyLeavingMark(b.ID)
			joined = append(joined, s)
		}
		s.failureDomain, s.region, s.slots, s.draining = b.FailureDomain, b.Region, max(b.Slots, 1), b.Draining
		s.evacuated, s.place = evacuated[b.FailureDomain], p.place(b.Region)
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
	p.orderForeignServers()
	p.scarcity.setSlots(p.list)
	for _, s := range joined {
		p.paceJoinedServer(now, s)
	}
}

// decide chooses a server for the request or refuses it. returned is set for the return
// of a refused caller at its scheduled time: it is not refused for the load of the servers
// or the share of its workspace.
func (p *Pool) decide(now time.Duration, r Request, returned bool) outcome {
	c := p.class(r.Class, r.Objective-now)
	p.fullSkipped = false
	best, est := p.choose(now, r, c, healthyServers)
	if best == nil {
		// A server that is marked down is better than none.
		best, est = p.choose(now, r, c, anyServer)
	}
	if best == nil && p.fullSkipped {
		return p.refuseLargeBody(now, r, est)
	}
	if best != nil && returned {
		best, est, returned = p.serverForReturn(now, r, c, best, est)
	}
	if best != nil {
		if because := p.yieldsToUrgent(now, r, best); because != "" {
			return refusal(Overload, because, best, est)
		}
	}
	if best != nil && !returned && p.yieldsToReturns(now, r) {
		return refusal(Overload, becauseReturns, best, est)
	}
	if best != nil && !returned && p.aboveShare(now, r, best) {
		return refusal(Overload, becauseShare, best, est)
	}
	if best != nil && p.overloaded(now, best, est) {
		// While many slots are free, take a server with a free one, even if it has to
		// fetch the object or the answer will be late. While few are free, a fetch would
		// take slot time from several requests whose objects are held already.
		returned = returned && best.load(now) <= maxReturnLoad*float64(best.slots)
		if p.occupancy > spareOccupancy && !returned {
			return refusal(Overload, becauseBusy, best, est)
		}
		free, freeEst := p.choose(now, r, c, freeServers)
		switch {
		case free != nil:
			best, est = free, freeEst
		case !returned:
			return refusal(Overload, becauseNoFreeSlot, nil, freeEst)
		}
	}
	switch {
	case best == nil:
		return refusal(NoServer, becauseNoServer, nil, est)
	case est.finish > r.Deadline-now-deadlineMargin:
		return p.decideLate(now, r, c, best, est)
	}
	return outcome{server: best, est: est}
}

// yieldsToUrgent reports why a request is refused in favor of more urgent ones, "" if it is
// not: the service is nearly full, and either the server has no free slot and a more urgent
// rank has sent requests lately, or see scarcity.leavesSlot. It records the rank of the
// request.
func (p *Pool) yieldsToUrgent(now time.Duration, r Request, s *server) (because string) {
	p.lastRequestByRank[r.Rank] = now
	switch {
	case p.occupancy <= yieldOccupancy:
		return ""
	case s.load(now) >= float64(s.slots) && p.moreUrgentActive(now, r.Rank):
		p.scarcity.noteYielded(now, r.Rank)
		return becauseUrgent
	case p.scarcity.leavesSlot(now, r.Rank):
		return becauseLeavesSlot
	}
	return ""
}

// moreUrgentActive reports whether a more urgent rank has sent requests lately.
func (p *Pool) moreUrgentActive(now time.Duration, rank int) bool {
	for other, at := range p.lastRequestByRank {
		if other < rank && now-at <= rankActiveTime {
			return true
		}
	}
	return false
}

// overloaded reports whether a request does not count as in time at a server whose
// load per slot exceeds maxLateLoad.
func (p *Pool) overloaded(now time.Duration, s *server, est estimate) bool {
	return !est.countsAsInTime && s.load(now) > maxLateLoad*float64(s.slots)
}

// maxOccupancyAge is how long a computed occupancy of the service is used.
const maxOccupancyAge = 20 * time.Millisecond

func (p *Pool) updateOccupancy(now time.Duration) {
	if now-p.occupancyAt > maxOccupancyAge {
		p.occupancy, p.occupancyAt = p.currentOccupancy(now), now
	}
}

// Times after which a refused request may be retried, and the margin before its
// deadline.
const (
	// noServerRetryAfter is the time to the retry after NoServer.
	noServerRetryAfter = 300 * time.Millisecond
	// overloadRetryAfter is the least time to the retry after Overload or Late. The
	// answer will be late in any case; a grant is likelier once a burst has passed.
	overloadRetryAfter = 700 * time.Millisecond
	// maxRetryAfter bounds the time to the retry.
	maxRetryAfter = 2 * time.Second
	// deadlineMargin is the time reserved for the answer's way back to the caller.
	deadlineMargin = 20 * time.Millisecond
)

// refuse returns a refusal. s is the best server, nil if there was none, and est its
// estimate.
func (p *Pool) refuse(now time.Duration, reason Reason, s *server, est estimate) Decision {
	d := Decision{Refused: reason, Wait: est.wait, Service: est.service, Busy: p.occupancy, RetryAfter: noServerRetryAfter}
	if s != nil {
		d.Load = s.load(now)
	}
	if reason != NoServer {
		d.RetryAfter = min(max(est.wait, overloadRetryAfter), maxRetryAfter)
	}
	return d
}

// grant returns the decision for a server and records that it was granted.
func (p *Pool) grant(now time.Duration, r Request, s *server, est estimate) Decision {
	d := p.grantDecision(now, r, s, est)
	d.Grant = p.recordGrant(now, r, s, est)
	return d
}

// grantDecision returns the decision for a server, without the grant's number.
func (p *Pool) grantDecision(now time.Duration, r Request, s *server, est estimate) Decision {
	return Decision{
		Server: s.id, HoldsObject: est.holdsObject, Wait: est.wait, Service: est.service, Load: s.load(now), Busy: p.occupancy,
		HedgeDelay: p.hedgeDelay(now, r, s, est),
	}
}

// recordGrant records that a server was granted, and returns the grant's number.
func (p *Pool) recordGrant(now time.Duration, r Request, s *server, est estimate) uint64 {
	p.lastGrantID++
	g := &grant{
		server: s, key: r.Key, class: r.Class, rank: r.Rank, workspace: r.Workspace, heldObject: est.holdsObject, sentAt: now, wait: est.wait,
		expectedService: est.service, deadline: r.Deadline, unqueued: s.load(now) < float64(s.slots), trial: est.trial, factor: s.reportedFactor,
		restricted: len(r.Allowed) > 0,
	}
	p.grants[p.lastGrantID] = g
	p.countOccupied(now, s, 1)
	p.countTrial(g, 1)
	s.inflight++
	s.tried = true
	if s.place.foreign {
		s.lastRequestByHost[r.Host] = now
	}
	s.expectedWork += est.service
	s.updateUtilization(now)
	if s.cold(now) {
		s.takeColdToken(now, p.coldRateShare, p.opts.Limits.coldBurst())
	}
	if key := objectKey(r.Class, r.Key); key != "" {
		g.reuseDistance = s.reuseDistanceOf(key)
		if s.recordUse(key, now, int(p.objectCapacity)) {
			p.knowledgeChanged = true
			p.requestedObjects = append(p.requestedObjects, RequestedObject{Server: s.id, Key: key})
		}
	}
	p.shiftLimiter.record(now, s.region)
	return p.lastGrantID
}

// objectKey returns the key of an object that is unique among all classes, "" if
// there is no object.
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

// currentOccupancy returns the fraction of slots that is taken, from 0 to 1, over
// the servers of all regions that take requests and are expected to answer. Cold
// servers count; servers that refused a request lately do not.
func (p *Pool) currentOccupancy(now time.Duration) float64 {
	load, slots := 0.0, 0.0
	for _, s := range p.list {
		if s.takesRequests(now) {
			load += min(s.load(now), float64(s.slots))
			slots += float64(s.slots)
		}
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}
