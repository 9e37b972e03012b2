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

func (c *scarcity) clone() *scarcity {
	if c == nil {
		return nil
	}
	copied := *c
	copied.shares, copied.returns = c.shares.Clone(), c.returns.clone()
	return &copied
}

// arrived counts a request and reports whether it is the return of a refused one at its
// scheduled time.
func (c *scarcity) arrived(now time.Duration, r Request) bool {
	if c == nil {
		return false
	}
	c.shares.Arrived(now, r.Rank, r.Workspace)
	return !r.Hedge && c.returns.claim(now, r)
}

func (c *scarcity) granted(now time.Duration, r Request) {
	if c != nil {
		c.shares.Granted(now, r.Rank, r.Workspace)
	}
}

// ended counts a request that has freed a slot. One that was refused by its server or not
// sent had none.
func (c *scarcity) ended(now time.Duration, result Result) {
	if c == nil || result != Served && result != Failed && result != TimedOut {
		return
	}
	c.finished.Add(now, finishedTimeConstant)
	c.recentlyFinished.Add(now, recentlyFinishedTimeConstant)
}

// capacity returns the requests per second that are divided between workspaces.
func (c *scarcity) capacity(now time.Duration) float64 {
	return max(c.finished.PerSecond(now, finishedTimeConstant), c.recentlyFinished.PerSecond(now, recentlyFinishedTimeConstant))
}

// retryAfter returns the time that the caller of a refused request is to wait.
func (c *scarcity) retryAfter(now time.Duration, r Request) time.Duration {
	rates := slotRates{freed: c.finished.PerSecond(now, finishedTimeConstant), share: math.Inf(1)}
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
	o := p.decideAtPace(now, r, returned)
	o.returned = returned
	if o.refused == "" {
		return o, p.grantDecision(now, r, o.server, o.est)
	}
	d := p.refuse(now, o.refused, o.server, o.est)
	if p.scarcity != nil && d.Refused != NoServer && !r.Hedge {
		d.RetryAfter = p.scarcity.retryAfter(now, r)
	}
	return o, d
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
