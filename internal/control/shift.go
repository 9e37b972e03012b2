package control

import (
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/shift"
)

// shiftGate limits shifts into this region to this process's share of the shift
// caps. All pools of the process share it; it is safe for concurrent use.
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

// applyGrant applies a grant of the primary. It reports whether the next report
// is due at once because part of the share has become free for other holders.
func (g *shiftGate) applyGrant(now time.Duration, grant shift.Grant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.Apply(now, grant)
	return g.share.ReportDue(now)
}

// caps is the state of shift caps in the control goroutine.
type caps struct {
	// gate is nil until a configuration has been applied.
	gate *shiftGate
	// granter divides the caps among pool owners. It is nil unless this process
	// is the primary.
	granter *shift.Granter
	epoch   uint64
	// primarySince is the time at which this process became primary in epoch.
	primarySince time.Duration
}

// origins returns the other regions in the order of the configuration, as
// sched.ParamsFor does.
func (c *Control) origins() []string {
	var out []string
	for _, r := range c.config.Regions {
		if r.Name != c.Self.Region {
			out = append(out, r.Name)
		}
	}
	return out
}

// setCaps applies the shift caps of the current configuration. The gate keeps the
// regions of the first configuration.
func (c *Control) setCaps(now time.Duration) {
	if c.caps.gate == nil {
		c.caps.gate = &shiftGate{share: shift.NewShare(c.Self.Incarnation, c.origins())}
	}
	if c.caps.granter != nil {
		c.caps.granter.SetCaps(now, c.configuredCaps())
	}
}

// configuredCaps returns the cap on shifts from each other region into this
// one. It is zero for a region without a configured cap.
func (c *Control) configuredCaps() []shift.Cap {
	var out []shift.Cap
	for _, name := range c.origins() {
		shiftCap := shift.Cap{Origin: name}
		for _, s := range c.config.ShiftCaps {
			if s.From == name && s.To == c.Self.Region {
				shiftCap.Concurrent, shiftCap.BytesPerSecond, shiftCap.GrowthPerSecond = s.Concurrent, s.BytesPerSecond, s.GrowthPerSecond
			}
		}
		out = append(out, shiftCap)
	}
	return out
}

// updateGranter creates a granter when this process becomes the primary
// of a new epoch, and removes it when this process is no longer the primary.
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
		c.caps.epoch, c.caps.primarySince = epoch, now
		c.caps.granter = shift.NewGranter(now, shift.GranterConfig{Epoch: epoch, LongestDeadline: c.longestDeadline(), Caps: c.configuredCaps()})
	}
}

// endRebuilding lets a new granter stop collecting reports early once the
// owners of all pools have completed their takeovers and reported the shifted
// requests in flight.
func (c *Control) endRebuilding(now time.Duration) {
	g := c.caps.granter
	if g == nil || !g.Rebuilding(now) {
		return
	}
	holders := c.leases.lessor.State().Holders
	for _, s := range c.config.Services {
		holder, leased := holders[poolPrefix+s.Name]
		report := c.digests.pools[s.Name]
		if !leased || report.owner != holder.Incarnation || !report.digest.Settled || now-report.receivedAt > maxPoolReportAge || !g.HasReported(holder.Incarnation) {
			return
		}
	}
	g.MarkReportsComplete()
}

// grantShares returns the grant for a holder's report, or nil if there is none.
// A primary without authority grants nothing.
func (c *Control) grantShares(now time.Duration, r *shift.Report) *shift.Grant {
	if r == nil || c.caps.granter == nil || now >= c.leases.lessor.Authority() {
		return nil
	}
	if g, ok := c.caps.granter.Grant(now, *r); ok {
		return &g
	}
	return nil
}

// reportShares returns the report for the next renewal, or nil if no
// configuration has been applied.
func (c *Control) reportShares(now time.Duration) *shift.Report {
	if c.caps.gate == nil {
		return nil
	}
	r := c.caps.gate.report(now)
	return &r
}
