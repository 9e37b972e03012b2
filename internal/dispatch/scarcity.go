package dispatch

import (
	"maps"
	"math"
	"time"

	"github.com/galenabeam/galenabeam/internal/fairshare"
)

// scarcity is the part of a pool that divides scarce slots between workspaces and
// schedules the returns of refused callers. It is nil unless Options.Scheduled is set; its
// methods then do nothing.
type scarcity struct {
	shares  *fairshare.Shares
	returns *returns
	// finished and recentlyFinished are the rates of requests that have freed a slot.
	finished, recentlyFinished fairshare.Rate
	// inUseSince is when the first request arrived after a start or a pause, the last one
	// at arrivedAt. ended counts the requests that have freed a slot since, slots is the
	// number of slots of all servers.
	inUse                 bool
	inUseSince, arrivedAt time.Duration
	ended, slots          int
	// nextClaim is the earliest time of the next claim of a limited workspace.
	nextClaim map[workspaceRank]time.Duration
	// yieldedAt is when a request of a rank was last refused in favor of a more urgent one.
	yieldedAt map[int]time.Duration
	// loads are the loads of the regions as of loadsAt.
	loads   map[string]*regionLoad
	loadsAt time.Duration
}

type workspaceRank struct {
	workspace string
	rank      int
}

// regionLoad is the load of the servers of a region.
type regionLoad struct {
	load, slots float64 // in requests, without queues
	// restricted counts the requests in flight, granted by this pool, that are restricted to
	// some regions, and byRank the others.
	restricted float64
	byRank     map[int]float64
}

// moreUrgent returns the number of unrestricted requests of ranks more urgent than a rank.
func (l *regionLoad) moreUrgent(rank int) float64 {
	sum := 0.0
	for other, n := range l.byRank {
		if other < rank {
			sum += n
		}
	}
	return sum
}

const (
	// finishedTimeConstant applies to the rate by which returns are scheduled.
	finishedTimeConstant = 2 * time.Second
	// recentlyFinishedTimeConstant applies to a rate that follows a rise of the capacity
	// sooner, so that no workspace is refused for a share of what it was before.
	recentlyFinishedTimeConstant = 500 * time.Millisecond
	// capacityUnknownTime is the time after a start or a pause from which the rate of freed
	// slots counts as the capacity, even if less requests have ended than there are slots.
	// Until then it says nothing: after a start, the first requests are still running.
	capacityUnknownTime = 2 * time.Second
	// maxLimitedLoad is the load, in requests per slot, up to which a workspace queues whose
	// demand exceeds its share. The queue above it is left to the others, which would
	// otherwise be refused for the load.
	maxLimitedLoad = 1.1
	// claimTolerance is the part of the interval between two claims by which one may be
	// early: returns vary by the way of the messages.
	claimTolerance = 0.5
)

// yieldedTime is the time after a request was refused in favor of a more urgent rank for which
// less urgent ones leave the last free slots to its rank.
const yieldedTime = 200 * time.Millisecond

// maxReturnLoad is the load, in requests per slot, above which a returning caller is refused
// like others. The schedule does not reach it unless slots were lost after it was made.
const maxReturnLoad = 3.0

func newScarcity(enabled bool) *scarcity {
	if !enabled {
		return nil
	}
	return &scarcity{
		shares: fairshare.New(), returns: newReturns(),
		nextClaim: map[workspaceRank]time.Duration{}, yieldedAt: map[int]time.Duration{}, loads: map[string]*regionLoad{}, loadsAt: -maxOccupancyAge - 1,
	}
}

func (c *scarcity) clone() *scarcity {
	if c == nil {
		return nil
	}
	copied := *c
	copied.shares, copied.returns = c.shares.Clone(), c.returns.clone()
	copied.nextClaim, copied.loads = maps.Clone(c.nextClaim), maps.Clone(c.loads)
	copied.yieldedAt = maps.Clone(c.yieldedAt)
	return &copied
}

// arrived counts a request and reports whether it is the return of a refused one at its
// scheduled time.
func (c *scarcity) arrived(now time.Duration, r Request) bool {
	if c == nil {
		return false
	}
	if !c.inUse || now-c.arrivedAt > capacityUnknownTime {
		c.inUse, c.inUseSince, c.ended = true, now, 0
	}
	c.arrivedAt = now
	c.shares.Arrived(now, r.Rank, r.Workspace)
	return !r.SecondAttempt && c.claim(now, r)
}

// claim reports whether the request is the return of a refused one. Requests of a workspace
// that is limited to its share claim promises at the rate of the share at most: new
// requests cannot be told from returns, and a workspace that sends many would otherwise
// claim each of its promises with a new one.
func (c *scarcity) claim(now time.Duration, r Request) bool {
	if _, ok := c.returns.find(now, returnKey(r)); !ok {
		return false
	}
	if share, limited := c.shares.Share(now, r.Rank, r.Workspace, c.capacity(now)); limited {
		key, step := workspaceRank{r.Workspace, r.Rank}, interval(share)
		if now < c.nextClaim[key]-time.Duration(claimTolerance*float64(step)) {
			return false
		}
		c.nextClaim[key] = max(now, c.nextClaim[key]) + step
	}
	return c.returns.claim(now, r)
}

func (c *scarcity) granted(now time.Duration, r Request) {
	if c != nil {
		c.shares.Granted(now, r.Rank, r.Workspace)
	}
}

// finish counts a request that has freed a slot. One that was refused by its server had
// none, and a server that fails may do so at any rate. One that was not sent counts neither
// as demand nor as usage of its workspace.
func (c *scarcity) finish(now time.Duration, g *grant, r Report) {
	if c == nil {
		return
	}
	if r.Result == Abandoned && r.Elapsed == 0 {
		c.shares.Withdrawn(now, g.sentAt, g.rank, g.workspace)
	}
	if r.Result == Served || r.Result == TimedOut {
		c.ended++
		c.finished.Add(now, finishedTimeConstant)
		c.recentlyFinished.Add(now, recentlyFinishedTimeConstant)
	}
}

// capacity returns the requests per second that are divided between workspaces, +Inf if
// it is not known yet.
func (c *scarcity) capacity(now time.Duration) float64 {
	if c.ended < c.slots && now-c.inUseSince < capacityUnknownTime {
		return math.Inf(1)
	}
	return max(c.finished.PerSecond(now, finishedTimeConstant), c.recentlyFinished.PerSecond(now, recentlyFinishedTimeConstant))
}

// retryAfter returns the time that the caller of a refused request is to wait. It is no
// promise if the answer would be late again at the latest time that the caller can wait.
func (c *scarcity) retryAfter(now time.Duration, r Request, d Decision) time.Duration {
	if d.Refused == Late && float64(d.Service) > (1-returnTimeFraction)*float64(r.Deadline-now) {
		return c.returns.waitWithoutPromise(maxWait(now, r))
	}
	rates := slotRates{freed: c.finished.PerSecond(now, finishedTimeConstant), share: math.Inf(1)}
	rates.urgent = c.shares.MoreUrgentDemand(now, r.Rank, c.capacity(now))
	if share, limited := c.shares.Share(now, r.Rank, r.Workspace, c.capacity(now)); limited {
		rates.share = share
	}
	return c.returns.schedule(now, r, rates)
}

func (c *scarcity) expire(now time.Duration) {
	if c != nil {
		c.shares.Expire(now)
		c.returns.expire(now)
		for k, at := range c.nextClaim {
			if at <= now {
				delete(c.nextClaim, k)
			}
		}
	}
}

// SetScheduled turns the division of scarce slots and the schedule of returns on or off, as
// Options.Scheduled does. Turning them off drops their state.
func (p *Pool) SetScheduled(on bool) {
	if on != (p.scarcity != nil) {
		p.scarcity = newScarcity(on)
		p.scarcity.setSlots(p.list)
	}
}

// Acquire chooses a server for the request or refuses it; no request is queued in
// the pool. Each grant must be ended with Release.
func (p *Pool) Acquire(now time.Duration, r Request) Decision {
	o, d := p.resolve(now, r)
	if o.refused == "" {
		d.Grant = p.recordGrant(now, r, o.server, o.est)
		p.scarcity.granted(now, r)
	}
	return d
}

// resolve makes the decision of Acquire, and records that the request has arrived but not
// that a server was granted.
func (p *Pool) resolve(now time.Duration, r Request) (outcome, Decision) {
	p.requested, p.requestedAt = true, now
	returned := p.scarcity.arrived(now, r)
	p.updateOccupancy(now)
	defer p.restrictOccupancy(now, r)()
	o := p.decideAtPace(now, r, returned)
	o.returned = returned
	if o.refused == "" {
		return o, p.grantDecision(now, r, o.server, o.est)
	}
	d := p.refuse(now, o.refused, o.server, o.est)
	if p.scarcity != nil && d.Refused != NoServer && !r.SecondAttempt {
		d.RetryAfter = p.scarcity.retryAfter(now, r, d)
	}
	return o, d
}

// setSlots records the number of slots of the servers.
func (c *scarcity) setSlots(list []*server) {
	if c == nil {
		return
	}
	c.slots = 0
	for _, s := range list {
		c.slots += s.slots
	}
}

// aboveShare reports whether a request is refused because its workspace asks for more
// than its share. It is not while the service has slots to spare, so that a share that no
// other workspace uses is not lost.
func (p *Pool) aboveShare(now time.Duration, r Request, s *server) bool {
	if p.scarcity == nil || p.occupancy <= yieldOccupancy || s.load(now) < float64(s.slots) {
		return false
	}
	shares, capacity := p.scarcity.shares, p.scarcity.capacity(now)
	if _, limited := shares.Share(now, r.Rank, r.Workspace, capacity); limited && s.load(now) >= maxLimitedLoad*float64(s.slots) {
		return true
	}
	return shares.Above(now, r.Rank, r.Workspace, capacity)
}

// yieldsToReturns reports whether a request is refused in favor of refused callers of its
// rank, or of a more urgent one, that are due to return. It applies while a more urgent rank
// is active: its requests and those of new callers would otherwise take all slots that become
// free, and a return, which does not queue then, would find none.
func (p *Pool) yieldsToReturns(now time.Duration, r Request) bool {
	return p.scarcity != nil && p.occupancy > yieldOccupancy && p.moreUrgentActive(now, r.Rank) && p.scarcity.returns.anyDue(now, r.Rank)
}

// serverForReturn returns the server for the return of a refused caller and whether it is
// still decided as a return: not if it would wait while a more urgent rank is active, as it
// would then be ahead of that rank. It prefers a server with a free slot then.
func (p *Pool) serverForReturn(now time.Duration, r Request, c *class, best *server, est estimate) (*server, estimate, bool) {
	if best.load(now) < float64(best.slots) || !p.moreUrgentActive(now, r.Rank) {
		return best, est, true
	}
	if free, freeEst := p.choose(now, r, c, freeServers); free != nil && (freeEst.holdsObject || !c.fetchIsCostly()) {
		return free, freeEst, true
	}
	return best, est, false
}

// noteYielded records that a request of a rank was refused in favor of a more urgent one.
func (c *scarcity) noteYielded(now time.Duration, rank int) {
	if c != nil {
		c.yieldedAt[rank] = now
	}
}

// leavesSlot reports whether a request is refused although its server has a free slot, because
// requests of a more urgent rank have just been refused for want of one. Without it, a rank
// between an active one and a flood of the least urgent one competes with the flood for each
// slot that becomes free: neither of them may queue.
func (c *scarcity) leavesSlot(now time.Duration, rank int) bool {
	if c == nil {
		return false
	}
	for other, at := range c.yieldedAt {
		if other < rank && now-at <= yieldedTime {
			return true
		}
	}
	return false
}

// countOccupied adjusts the occupancy by a request that is about to start at a server or has
// ended there (n is -1), so that it holds until it is computed again. Otherwise a flood of
// requests, however little urgent, passes in between and fills the queues. Only pools that
// divide scarce slots do so.
func (p *Pool) countOccupied(now time.Duration, s *server, n float64) {
	if p.scarcity == nil || p.scarcity.slots == 0 || !s.takesRequests(now) {
		return
	}
	load, slots := s.load(now), float64(s.slots)
	if n > 0 && load < slots || n < 0 && load <= slots {
		p.occupancy += n / float64(p.scarcity.slots)
	}
}

// restrictOccupancy sets the occupancy for a request that is restricted to some regions, and
// returns a function that restores it. Only pools that divide scarce slots do so. It is that
// of those regions, as far as the request must yield to what takes their slots: requests of
// more urgent ranks and those that are restricted as well. The others find slots in other
// regions if the service has any.
func (p *Pool) restrictOccupancy(now time.Duration, r Request) (restore func()) {
	if p.scarcity == nil || len(r.Allowed) == 0 {
		return func() {}
	}
	if c := p.scarcity; now-c.loadsAt > maxOccupancyAge {
		c.loadsAt = now
		p.updateRegionLoads(now)
	}
	all := p.occupancy
	p.occupancy = p.occupancyOf(r)
	return func() { p.occupancy = all }
}

// occupancyOf returns the occupancy of the regions that may serve a request; see
// restrictOccupancy.
func (p *Pool) occupancyOf(r Request) float64 {
	var load, slots, yieldedTo float64
	for _, region := range r.Allowed {
		l := p.scarcity.loads[region]
		if l == nil {
			continue
		}
		load, slots = load+l.load, slots+l.slots
		yieldedTo += min(l.restricted+l.moreUrgent(r.Rank), l.slots)
	}
	if slots == 0 {
		return 0
	}
	return max(min(load/slots, p.occupancy), yieldedTo/slots)
}

// updateRegionLoads sets the loads of the regions.
func (p *Pool) updateRegionLoads(now time.Duration) {
	loads := p.scarcity.loads
	clear(loads)
	load := func(region string) *regionLoad {
		if loads[region] == nil {
			loads[region] = &regionLoad{byRank: map[int]float64{}}
		}
		return loads[region]
	}
	for _, s := range p.list {
		if s.takesRequests(now) {
			l := load(s.region)
			l.load, l.slots = l.load+min(s.load(now), float64(s.slots)), l.slots+float64(s.slots)
		}
	}
	for _, g := range p.grants {
		if l := load(g.server.region); g.restricted {
			l.restricted++
		} else {
			l.byRank[g.rank]++
		}
	}
}
