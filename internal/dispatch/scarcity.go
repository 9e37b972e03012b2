package dispatch

import (
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
	// finished and recentlyFinished are the rates of requests that have ended at a server.
	finished, recentlyFinished fairshare.Rate
}

const (
	// finishedTimeConstant applies to the rate by which returns are scheduled.
	finishedTimeConstant = 2 * time.Second
	// recentlyFinishedTimeConstant applies to a rate that follows a rise of the capacity
	// sooner, so that no workspace is refused for a share of what it was before.
	recentlyFinishedTimeConstant = 500 * time.Millisecond
)

// maxReturnLoad is the load, in requests per slot, above which a returning caller is refused
// like others. The schedule does not reach it unless slots were lost after it was made.
const maxReturnLoad = 3.0

func newScarcity(enabled bool) *scarcity {
	if !enabled {
		return nil
	}
	return &scarcity{shares: fairshare.New(), returns: newReturns()}
}

// arrived counts a request and reports whether it is the return of a refused one at its
// scheduled time.
func (c *scarcity) arrived(now time.Duration, r Request) bool {
	if c == nil {
		return false
	}
	c.shares.Arrived(now, r.Rank, r.Workspace)
	return !r.SecondAttempt && c.returns.claim(now, r)
}

func (c *scarcity) granted(now time.Duration, r Request) {
	if c != nil {
		c.shares.Granted(now, r.Rank, r.Workspace)
	}
}

// ended counts a request that has freed a slot. One that was refused by its server had
// none, and one that was not sent counts neither as demand nor as usage of its workspace.
func (c *scarcity) ended(now time.Duration, g *grant, r Report) {
	if c == nil {
		return
	}
	if r.Result == Abandoned && r.Elapsed == 0 {
		c.shares.Withdrawn(now, g.sentAt, g.rank, g.workspace)
	}
	if r.Result == Served || r.Result == Failed || r.Result == TimedOut {
		c.finished.Add(now, finishedTimeConstant)
		c.recentlyFinished.Add(now, recentlyFinishedTimeConstant)
	}
}

// capacity returns the requests per second that are divided between workspaces.
func (c *scarcity) capacity(now time.Duration) float64 {
	return max(c.finished.PerSecond(now, finishedTimeConstant), c.recentlyFinished.PerSecond(now, recentlyFinishedTimeConstant))
}

// retryAfter returns the time that the caller of a refused request is to wait.
func (c *scarcity) retryAfter(now time.Duration, r Request) time.Duration {
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
	}
}

// SetScheduled turns the division of scarce slots and the schedule of returns on or off, as
// Options.Scheduled does. Turning them off drops their state.
func (p *Pool) SetScheduled(on bool) {
	if on != (p.scarcity != nil) {
		p.scarcity = newScarcity(on)
	}
}

// Acquire chooses a server for the request or refuses it; no request is queued in
// the pool. Each grant must be ended with Release.
func (p *Pool) Acquire(now time.Duration, r Request) Decision {
	p.requested, p.requestedAt = true, now
	d := p.decideAtPace(now, r, p.scarcity.arrived(now, r))
	switch {
	case d.Refused == "":
		p.scarcity.granted(now, r)
	case p.scarcity != nil && d.Refused != NoServer && !r.SecondAttempt:
		d.RetryAfter = p.scarcity.retryAfter(now, r)
	}
	return d
}

// aboveShare reports whether a request is refused because its workspace asks for more
// than its share. It is not while the service has slots to spare, so that a share that no
// other workspace uses is not lost.
func (p *Pool) aboveShare(now time.Duration, r Request, s *server) bool {
	if p.scarcity == nil || p.occupancy <= yieldOccupancy || s.load(now) < float64(s.slots) {
		return false
	}
	return p.scarcity.shares.Above(now, r.Rank, r.Workspace, p.scarcity.capacity(now))
}

// yieldsToReturns reports whether a request is refused in favor of refused callers that
// are due to return. It applies while a more urgent rank is active: its requests and those
// of new callers would otherwise take all slots that become free, and a return, which does
// not queue then, would find none.
func (p *Pool) yieldsToReturns(now time.Duration, r Request) bool {
	return p.scarcity != nil && p.occupancy > yieldOccupancy && p.scarcity.returns.anyDue(now) && p.moreUrgentActive(now, r.Rank)
}

// freeServerForReturn returns a server with a free slot for a return whose best server has
// none while a more urgent rank is active: only in a queue would it be ahead of that rank.
func (p *Pool) freeServerForReturn(now time.Duration, r Request, c *class, returned bool) (*server, estimate) {
	if !returned {
		return nil, estimate{}
	}
	return p.choose(now, r, c, freeServers)
}
