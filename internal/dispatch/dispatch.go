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
// assumption or old and the request serves as a trial; see trialFor. When no other server is
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
	"github.com/galenabeam/galenabeam/internal/serverhold"
)

// Reason is why a request was refused.
type Reason string

// Reasons of a refusal. All of them mean that the request has not run.
const (
	// NoServer means that no backend server is usable for the request.
	NoServer Reason = "no_server"
	// Overload means that the request would miss its objective at the best server,
	// that this server is busy, and that few slots of the service are free or no usable
	// server has one. It also means that the request would queue at a full server while
	// a more urgent rank is active, or that nothing is observed of its class and that
	// no slot is free or as many trials are in flight as are allowed. It takes precedence over Late.
	Overload Reason = "overload"
	// Late means that the best server is not expected to answer at least 20 ms before
	// the deadline and that the request is no trial, or that the request ended before a pool could decide.
	Late Reason = "late"
)

// Request describes a request for which a server is to be chosen. Times are on the
// pool's clock.
type Request struct {
	// Class is the name of the request's route, whose requests have similar service
	// times.
	Class string
	// Workspace is the name of the request's workspace; "" if it has none.
	Workspace string
	// Key identifies the object that the request is about; "" if there is none.
	Key string
	// Host is the entry host that sends the request, FailureDomain is that host's.
	Host, FailureDomain string
	// The rank of the request; 0 is the most urgent.
	Rank int
	// Bytes is the size of the request body, or of its buffered part if the size is
	// not known.
	Bytes int64
	// Objective is the time up to which an answer has its full worth, Deadline the
	// time at which the caller gives up. An answer between them has lost most of its
	// worth.
	Objective, Deadline time.Duration
	// NoHedge is set if no hedge can be sent, as the request must not run twice.
	NoHedge bool
	// NoTrial is set if the request must not be a trial: its host ends at the deadline
	// and would cut an answer that takes longer.
	NoTrial bool
	// Exclude lists the backend servers that must not be chosen: those of earlier
	// attempts of the request, and those that the snapshot of its host did not allow.
	Exclude []string
	// Allowed lists the regions that may serve; empty allows all.
	Allowed []string
	// Hedge is set for an attempt beside another one. Its refusal reaches no caller, so
	// that no return is scheduled.
	Hedge bool
}

// Decision is a granted server or, if Refused is set, a refusal. Entry hosts send it
// as JSON under its field names or tags, with durations in nanoseconds.
type Decision struct {
	// Grant identifies the grant in the pool, for Release.
	Grant uint64
	// Server is the ID of the backend server.
	Server string
	// HoldsObject reports whether no object has to be loaded: the server is assumed to
	// hold it, or the request has none.
	HoldsObject bool `json:"Warm"`
	// Wait is the expected time in the server's queue, Service the expected service
	// time. A refusal has those of the best server, 0 if there was none.
	Wait, Service time.Duration
	// Load is the number of requests at that server, Busy the fraction of the
	// service's slots that was taken, from 0 to 1.
	Load, Busy float64
	Refused    Reason
	// RetryAfter is the delay to ask of the caller of a refused request: a constant
	// for NoServer, otherwise the expected wait, from 0.7 s to 2 s, or a time of the
	// schedule of returns if Options.Scheduled is set. It is 0 for a grant, and if the
	// request ended before a pool could decide.
	RetryAfter time.Duration
	// HedgeDelay is the time from sending the request to its hedge. It is 0 if the pool
	// has learned none or the servers do not report percentages.
	HedgeDelay time.Duration `json:",omitempty"`
}

// Result is how a granted request ended.
type Result int

// Results of a granted request. Entry hosts send them as numbers.
const (
	// Served means that the server ran the request and its answer arrived complete,
	// or a large one's buffered part did.
	Served Result = iota
	// Failed means that the server answered with a failure, closed the connection
	// before its answer was complete, or gave an unusable answer.
	Failed
	// Shed means that the server refused the request before running it.
	Shed
	// Unreachable means that no connection to the server could be made.
	Unreachable
	// Misdirected means that another server has the address now, or that the entry
	// host does not know the server.
	Misdirected
	// TimedOut means that the request was sent but no complete answer, nor a large
	// one's buffered part, arrived in the time that it had.
	TimedOut
	// Abandoned means that the request was not sent or its answer not awaited: the
	// entry host did not use the grant, the caller disconnected, another attempt
	// answered first, or the deadline passed before the request was sent.
	Abandoned
)

// Load is the load that a backend server reports with an answer: the requests that
// it runs, those that wait in its queue, and its slots.
type Load struct {
	Running, Waiting, Slots int
	// Percent is the time that work now takes on its machine, in percent of the usual
	// time; 0 if not reported. Values outside 1 to 10,000 are ignored.
	Percent int `json:",omitempty"`
}

// Report describes how a granted request ended. Entry hosts send it as JSON under
// its field names, with durations in nanoseconds.
type Report struct {
	Result Result
	// Elapsed is the time from sending the request to the end of the answer, or of
	// its buffered part if it is large.
	Elapsed time.Duration
	// Connect is the time to open a connection; 0 if an open one was reused.
	Connect time.Duration
	// Load is nil if the server did not report it.
	Load *Load
	// Bytes is the size of the answer, or of its buffered part if it is large; 0 if
	// there is none.
	Bytes int64
	// Leaving is set if the server said that it leaves. StartedAtMillis is the start of
	// the incarnation that said so.
	Leaving         bool  `json:",omitempty"`
	StartedAtMillis int64 `json:",omitempty"`
}

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
	// limited concurrency, which grows with their answers; see also EnablePacing.
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

	paced       bool // Options.Paced or EnablePacing
	requested   bool // a request has arrived, the last one at requestedAt
	requestedAt time.Duration
	paceEvents  []PaceEvent
	// paceSkipped is set if a server was not used for the present request because it is
	// paced, paceIgnored while the request is decided without regard to that.
	paceSkipped, paceIgnored bool
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
		scarcity: newScarcity(o.Scheduled), paced: o.Paced,
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
	for _, s := range joined {
		p.paceJoinedServer(now, s)
	}
}

// decide chooses a server for the request or refuses it. returned is set for the return
// of a refused caller at its scheduled time: it is not refused for the load of the servers
// or the share of its workspace.
func (p *Pool) decide(now time.Duration, r Request, returned bool) outcome {
	c := p.class(r.Class, r.Objective-now)
	if now-p.occupancyAt > maxOccupancyAge {
		p.occupancy, p.occupancyAt = p.currentOccupancy(now), now
	}
	best, est := p.choose(now, r, c, healthyServers)
	if best == nil {
		// A server that is marked down is better than none.
		best, est = p.choose(now, r, c, anyServer)
	}
	if best != nil && p.yieldsToUrgent(now, r, best) {
		return refusal(Overload, becauseUrgent, best, est)
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
		s, trialEst, reason := p.acquireTrial(now, r, c, best, est)
		if s == nil {
			return refusal(reason, becauseLate, best, est)
		}
		trialEst.trial = true
		return outcome{server: s, est: trialEst}
	}
	return outcome{server: best, est: est}
}

// yieldsToUrgent reports whether a request is refused in favor of more urgent
// ones: the service is nearly full, the server has no free slot, and a more urgent
// rank has sent requests lately. It records the rank of the request.
func (p *Pool) yieldsToUrgent(now time.Duration, r Request, s *server) bool {
	urgent := false
	for rank, at := range p.lastRequestByRank {
		urgent = urgent || rank < r.Rank && now-at <= rankActiveTime
	}
	p.lastRequestByRank[r.Rank] = now
	return urgent && p.occupancy > yieldOccupancy && s.load(now) >= float64(s.slots)
}

// overloaded reports whether a request does not count as in time at a server whose
// load per slot exceeds maxLateLoad.
func (p *Pool) overloaded(now time.Duration, s *server, est estimate) bool {
	return !est.countsAsInTime && s.load(now) > maxLateLoad*float64(s.slots)
}

// maxOccupancyAge is how long a computed occupancy of the service is used.
const maxOccupancyAge = 20 * time.Millisecond

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
		server: s, key: r.Key, class: r.Class, heldObject: est.holdsObject, sentAt: now, wait: est.wait,
		expectedService: est.service, deadline: r.Deadline, unqueued: s.load(now) < float64(s.slots), trial: est.trial, factor: s.reportedFactor,
	}
	p.grants[p.lastGrantID] = g
	if g.trial {
		p.trialsInFlight++
	}
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
		if !s.draining && !s.replaced && !s.leaving(now) && !s.evacuated && s.available(now) {
			load += min(s.load(now), float64(s.slots))
			slots += float64(s.slots)
		}
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}

// Release ends a grant and records how its request ended. It ignores an unknown
// grant: one of another pool, or one that was released or has expired.
func (p *Pool) Release(now time.Duration, id uint64, r Report) {
	g := p.grants[id]
	if g == nil {
		return
	}
	p.removeGrant(now, id, g)
	s := g.server
	p.scarcity.ended(now, r.Result)
	if r.Leaving && r.StartedAtMillis == s.startedAtMillis {
		p.markLeaving(s.id, leavingMark{startedAtMillis: s.startedAtMillis, until: now + serverhold.LeavingTime, reported: true})
	}
	if r.Connect > 0 {
		p.observeConnectTime(s.region, r.Connect)
	}
	if r.Load != nil {
		s.reportedLoad, s.reportedAt = r.Load.Running+r.Load.Waiting, now
		p.recordFactor(now, s, answerFactor(now, r.Load))
	}
	p.applyReport(now, g, r)
}

// applyReport updates the state of the server and the averages of the class.
func (p *Pool) applyReport(now time.Duration, g *grant, r Report) {
	s := g.server
	key := objectKey(g.class, g.key)
	p.observePace(now, g, r)
	p.class(g.class, 0).observeHedgeRatio(g, r)
	switch r.Result {
	case Served:
		wasDown := s.downUntil > 0
		s.recordSuccess(now)
		if wasDown && s.mayHaveRestarted {
			// The server may have restarted while it was unavailable: this pool treats it
			// as cold for restartColdTime, or until Update brings another incarnation.
			s.mayHaveRestarted = false
			s.coldUntil = max(s.coldUntil, now+p.restartColdTime)
			s.clearObjects()
		}
		if wasDown {
			p.startPacing(now, s, paceRecovered)
		}
		p.class(g.class, 0).observeAnswerBytes(r.Bytes)
		elapsed, answer := r.Elapsed-s.place.roundTrip, answerFactor(now, r.Load)
		p.observeObjectCapacity(g, p.class(g.class, 0), g.usualTime(elapsed, answer))
		p.class(g.class, 0).observeServiceTime(g, s, elapsed, answer)
	case Failed:
		s.recordFailure(now, false)
		s.removeObject(key)
	case Shed:
		// The request did not run: the server holds the same objects as before.
		s.recordShed(now)
		if !g.heldObject {
			s.removeObject(key)
		}
	case Unreachable:
		s.recordFailure(now, true)
		s.removeObject(key)
	case Misdirected:
		s.replaced = true
	case TimedOut:
		if g.trial {
			p.recordTrialTimeout(now, g)
			break
		}
		s.recordTimeout(now)
	case Abandoned:
		if !g.heldObject {
			s.removeObject(key)
		}
	}
}

// observeObjectCapacity adjusts the assumed object capacity by the service time of
// a request whose object the server was assumed to hold: a time close to that of a
// miss shows that the server had evicted the object.
func (p *Pool) observeObjectCapacity(g *grant, c *class, elapsed time.Duration) {
	if !g.heldObject || !g.unqueued || g.key == "" || !c.missObserved || !c.hitObserved || g.server.slowness > 1.5 {
		return
	}
	reloaded := float64(elapsed) > reloadTimeRatio*float64(c.missTime())
	switch {
	case reloaded && float64(g.reuseDistance) < p.objectCapacity && float64(g.reuseDistance) >= p.objectCapacity/2:
		p.objectCapacity = max(p.objectCapacity-objectCapacityDecrease, minObjectCapacity)
	case !reloaded && float64(g.reuseDistance) >= p.objectCapacity-2:
		p.objectCapacity = min(p.objectCapacity+objectCapacityIncrease, maxObjectCapacity)
	}
}

// removeGrant takes a grant out of the pool and out of the load of its server.
func (p *Pool) removeGrant(now time.Duration, id uint64, g *grant) {
	delete(p.grants, id)
	if g.trial {
		p.trialsInFlight--
	}
	g.server.removeGrant(now, g)
}

// Grants returns the number of grants that have not ended.
func (p *Pool) Grants() int { return len(p.grants) }

// expireGrants drops grants that are not reported by grantExpiryMargin after the
// deadline: their host has ended, or its report was lost.
func (p *Pool) expireGrants(now time.Duration) {
	for id, g := range p.grants {
		if now > g.deadline+grantExpiryMargin {
			p.removeGrant(now, id, g)
		}
	}
}

// grantExpiryMargin is how long after the deadline a report may still arrive.
const grantExpiryMargin = 500 * time.Millisecond
