package control

import (
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/shift"
)

// shiftGate is this process's share of the caps on shifts into its region. All
// pools of the process use it, from traffic and control.
type shiftGate struct {
	mu    sync.Mutex
	share *shift.Share
}

// Acquire implements sched.Gate. Origin 0 is this region.
func (g *shiftGate) Acquire(now time.Duration, origin int, bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share.Acquire(now, origin-1, bytes)
}

// Release implements sched.Gate.
func (g *shiftGate) Release(now time.Duration, origin int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.Release(now, origin-1)
}

// Adopt implements owner.Gate.
func (g *shiftGate) Adopt(origin int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.Adopt(origin-1, 1)
}

func (g *shiftGate) report(now time.Duration) shift.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share.Report(now)
}

// apply puts a grant in force. It returns true when a report is to follow at
// once, because part of the share has become free for others.
func (g *shiftGate) apply(now time.Duration, grant shift.Grant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.Apply(now, grant)
	return g.share.Confirm(now)
}

// caps is the state of shift caps in the control goroutine.
type caps struct {
	gate *shiftGate
	// granter divides the caps while this process is the primary lessor.
	granter *shift.Granter
	epoch   uint64
	// since is when this process became the primary lessor of the epoch.
	since time.Duration
}

// origins returns the other regions in the order of the configuration, which is
// that of the scheduler.
func (c *Control) origins() []string {
	var out []string
	for _, r := range c.config.Regions {
		if r.Name != c.Self.Region {
			out = append(out, r.Name)
		}
	}
	return out
}

// setCaps puts the caps of a configuration in force.
func (c *Control) setCaps(now time.Duration) {
	if c.caps.gate == nil {
		c.caps.gate = &shiftGate{share: shift.NewShare(c.Self.Incarnation, c.origins())}
	}
	if c.caps.granter != nil {
		c.caps.granter.SetCaps(now, c.configuredCaps())
	}
}

func (c *Control) configuredCaps() []shift.Cap {
	var out []shift.Cap
	for _, name := range c.origins() {
		limit := shift.Cap{Origin: name}
		for _, s := range c.config.ShiftCaps {
			if s.From == name && s.To == c.Self.Region {
				limit.Concurrent, limit.BytesPerSecond, limit.GrowthPerSecond = s.Concurrent, s.BytesPerSecond, s.GrowthPerSecond
			}
		}
		out = append(out, limit)
	}
	return out
}

// updateGranter starts a granter when this process becomes the primary lessor
// of a new epoch, and drops it when it ceases to be.
func (c *Control) updateGranter(now time.Duration) {
	if c.config == nil {
		return
	}
	epoch := c.leases.lessor.State().Epoch
	if c.leases.lessor.Role() != lease.Primary {
		c.caps.granter = nil
		return
	}
	if c.caps.granter == nil || c.caps.epoch != epoch {
		c.caps.epoch, c.caps.since = epoch, now
		c.caps.granter = shift.NewGranter(now, shift.GranterConfig{Epoch: epoch, LongestDeadline: c.longestDeadline(), Caps: c.configuredCaps()})
	}
}

// settleGranter ends the wait of a new granter once the owners of all pools
// have reported the shifted requests in flight.
func (c *Control) settleGranter(now time.Duration) {
	g := c.caps.granter
	if g == nil || !g.Learning(now) {
		return
	}
	holders := c.leases.lessor.State().Holders
	for _, s := range c.config.Services {
		holder, held := holders[poolPrefix+s.Name]
		known := c.digests.pools[s.Name]
		if !held || known.owner != holder.Incarnation || !known.digest.Settled || now-known.at > poolReportLimit || !g.Reported(holder.Incarnation) {
			return
		}
	}
	g.Settle()
}

// grantShares answers a holder's report. A lessor without authority grants
// nothing.
func (c *Control) grantShares(now time.Duration, r *shift.Report) *shift.Grant {
	if r == nil || c.caps.granter == nil || now >= c.leases.lessor.Authority() {
		return nil
	}
	if g, ok := c.caps.granter.Grant(now, *r); ok {
		return &g
	}
	return nil
}

// reportShares returns the report for the next renewal, or nil while there is
// no configuration.
func (c *Control) reportShares(now time.Duration) *shift.Report {
	if c.caps.gate == nil {
		return nil
	}
	r := c.caps.gate.report(now)
	return &r
}
