package route

import (
	"math"
	"time"
)

const (
	// resultTimeConstant is the time constant of the decaying counts of results.
	resultTimeConstant = 2 * time.Second
	// maxRisePerSecond bounds the increase of the spill per second.
	maxRisePerSecond = 0.20
	// maxReturnPerSecond bounds the decrease of the spill per second. It is
	// lower than that of an increase, because caches of local backend servers may be cold.
	maxReturnPerSecond = 0.05
	// maxRisePerSecondLost bounds the increase of the spill per second while the
	// local pool cannot serve requests.
	maxRisePerSecondLost = 0.50
	// minReturnDelay is the minimum time between an increase and a decrease. It
	// exceeds the lag of digests, so that the effect of an increase is seen first.
	minReturnDelay = 6 * time.Second
	// deadbandUp is how far the needed spill must exceed the current one before
	// the spill increases.
	deadbandUp = 0.01
	// deadbandDown is how far the needed spill must be below the current one
	// before the spill decreases, unless no spill is needed.
	deadbandDown = 0.05
	// spillReserve is the fraction of a region's slots that spilled requests
	// leave free.
	spillReserve = 0.1
	// headroomTime is the time over which the use of a region's free slots is
	// spread. It is twice the lag of digests, so that many hosts do not use the
	// same slots.
	headroomTime = 4 * time.Second
	// spillStartWait is the fraction of the allowed wait at which spilling
	// starts.
	spillStartWait = 0.9
	// spillSetpointWait is the fraction of the allowed wait at which spilling
	// aims to keep the local wait.
	spillSetpointWait = 0.5
	// backlogClearTime is the time in which the queue beyond the setpoint is to
	// be served.
	backlogClearTime = 5 * time.Second
	// returnUtilization is the utilization of the local pool up to which spilled
	// requests return.
	returnUtilization = 0.95
	// toleratedRefusals is the share of refusals that does not count as overload.
	toleratedRefusals = 0.01
	// admitFactor times the requests that the local pool accepted lately is the
	// number beyond which Decide advises a refusal. It is large, since only the pool
	// knows which customer is served next. The router sends the request to the pool
	// all the same; the advice counts as a refusal, which raises the spill.
	admitFactor = 8
	// minAdmitShare is the lower bound of controlLoop.admitShare.
	minAdmitShare = 0.05
)

// Tick advances the control loops by the time since the previous Tick and
// returns a new plan. It is called several times a second.
func (t *Table) Tick(now time.Duration) *Plan {
	dt := time.Duration(0)
	if t.lastTick != never {
		dt = min(now-t.lastTick, time.Second)
	}
	t.lastTick = now
	plan := &Plan{settings: t.settings, entries: make([]planEntry, len(t.loops))}
	for service := range t.settings.Services {
		for rank := range t.settings.Ranks {
			for _, shifted := range []bool{false, true} {
				k := loopKey{service, rank, shifted}
				i := t.settings.loopIndex(k)
				t.update(now, dt, k, &t.loops[i])
				plan.entries[i] = t.newPlanEntry(now, k, &t.loops[i])
			}
		}
	}
	return plan
}

// update advances one control loop by dt.
func (t *Table) update(now, dt time.Duration, k loopKey, c *controlLoop) {
	for region := range t.settings.Regions {
		if region != t.settings.Local {
			t.reduceShare(now, dt, k, c, region)
		}
	}
	spill, step := c.spill(), maxRisePerSecond
	need, known := t.neededSpill(now, k, c)
	if need == 1 {
		step = maxRisePerSecondLost
	}
	switch {
	case !known:
	case need > spill+deadbandUp:
		t.raiseSpill(now, dt, k, c, min(step*dt.Seconds(), need-spill))
	case need < spill-deadbandDown || need == 0 && spill > 0:
		if c.direction <= 0 || now >= c.lastChange+minReturnDelay {
			c.lowerSpill(now, min(maxReturnPerSecond*dt.Seconds(), spill-need))
		}
	}
	c.history.add(now, c.spill())
	c.updateAdmitShare(t.settings.Local)
	c.decay(dt)
}

// neededSpill estimates the share of requests that the local pool cannot serve
// in time. It compares the state of the pool with the spill at the time of its
// measurement, so that a change is not repeated before its effect shows. known is
// false without a recent view of the local pool.
func (t *Table) neededSpill(now time.Duration, k loopKey, c *controlLoop) (need float64, known bool) {
	local := t.settings.Local
	p := t.pool(local, k.service)
	if now-t.observedAt[p] > MaxDigestAge {
		return 0, false
	}
	if !t.up[p] {
		return 1, true
	}
	ranks := len(t.settings.Ranks)
	view, trend := t.views[p*ranks+k.rank], t.trends[k.service*ranks+k.rank]
	allowed := t.allowedWait(k, local).Seconds()
	wait, refused := view.Wait.Seconds(), c.refusedShare(local)
	if c.spill() == 0 && wait < spillStartWait*allowed && refused <= toleratedRefusals {
		return 0, true
	}
	pastSpill := c.history.spillAt(t.observedAt[p] - trendTimeConstant/2)
	if wait == 0 && refused <= toleratedRefusals {
		return t.neededSpillNoQueue(k, c, trend.load, view.Slots, pastSpill), true
	}
	// The queue grows by the load in excess of 1. Refused requests count as load,
	// although they are not queued.
	load := max(0.1, 1+trend.slope) / max(0.05, 1-refused)
	backlogRate := max(0, (wait-spillSetpointWait*allowed)/backlogClearTime.Seconds())
	need = min(1, max(0, 1-(1-min(0.5, backlogRate))*(1-pastSpill)/load))
	if backlogRate > 0 {
		need = max(need, c.spill())
	}
	return need, true
}

// neededSpillNoQueue estimates the needed spill when the local pool has no queue
// and the utilization load: all hosts of the region together return the requests
// that raise it to returnUtilization. pastSpill is the spill when load was
// measured.
func (t *Table) neededSpillNoQueue(k loopKey, c *controlLoop, load float64, slots int, pastSpill float64) float64 {
	offered := t.offeredLoad(k, c) * float64(max(1, t.settings.LocalHosts)) / float64(max(1, slots))
	if slots == 0 || offered == 0 {
		return 0
	}
	return min(1, max(0, pastSpill-(returnUtilization-load)/offered))
}

// offeredLoad returns the number of slots that the requests of this host would
// keep busy, wherever they are served.
func (t *Table) offeredLoad(k loopKey, c *controlLoop) float64 {
	return c.offered.sent / resultTimeConstant.Seconds() * t.settings.Services[k.service].ServiceTime.Seconds()
}

// refusedShare returns the share of the requests for the local pool that were
// refused lately, by the pool or by Decide.
func (c *controlLoop) refusedShare(local int) float64 {
	sent := c.results[local].sent + c.refused
	if sent < 1 {
		return 0
	}
	return 1 - c.results[local].accepted/sent
}

// allowedWait returns the longest wait in a region with which a request still
// meets its target.
func (t *Table) allowedWait(k loopKey, region int) time.Duration {
	s := &t.settings
	return max(0, s.Ranks[k.rank].Target-s.Services[k.service].ServiceTime-2*s.Regions[region].Delay)
}

// usable reports whether requests may be sent to a region other than the local
// one.
func (t *Table) usable(now time.Duration, k loopKey, region int) bool {
	p := t.pool(region, k.service)
	return now-t.observedAt[p] <= MaxDigestAge && t.up[p] && t.allowedWait(k, region) > 0
}

// reduceShare reduces the share of a region that is full or refuses requests. It
// sets the share to zero if the region is lost, has no recent digest or is too
// far away to meet the target.
func (t *Table) reduceShare(now, dt time.Duration, k loopKey, c *controlLoop, region int) {
	if !t.usable(now, k, region) {
		c.shares[region] = 0
		return
	}
	if spare := t.spareSlots(now, k, region); spare < 0 {
		c.shares[region] = max(0, c.shares[region]+spare*t.sharePerSlot(dt, k, c))
	}
	if r := &c.results[region]; r.sent > 1 && r.accepted < (1-toleratedRefusals)*r.sent {
		ratio := r.accepted / r.sent
		c.shares[region] *= 1 - (1-ratio)*min(1, dt.Seconds()/resultTimeConstant.Seconds())
	}
}

// sharePerSlot returns the share of this host's requests that it may add during
// dt for each free slot of another region. The hosts divide each slot evenly.
func (t *Table) sharePerSlot(dt time.Duration, k loopKey, c *controlLoop) float64 {
	return dt.Seconds() / headroomTime.Seconds() / float64(max(1, t.settings.Hosts)) / max(t.offeredLoad(k, c), 1e-3)
}

// raiseSpill adds up to wanted to the shares of the regions with spare slots, in
// proportion to these. Each host uses only its fraction of the spare slots.
func (t *Table) raiseSpill(now, dt time.Duration, k loopKey, c *controlLoop, wanted float64) {
	totalSpare, sharePerSlot := 0.0, t.sharePerSlot(dt, k, c)
	for region := range t.settings.Regions {
		totalSpare += max(0, t.spareSlots(now, k, region))
	}
	if totalSpare == 0 {
		return
	}
	for region := range t.settings.Regions {
		spare := max(0, t.spareSlots(now, k, region))
		c.shares[region] += min(wanted*spare/totalSpare, spare*sharePerSlot)
	}
	c.recordChange(now, 1)
}

// spareSlots returns how many more slots of another region the rank may use. It
// falls as the wait grows, is negative if fewer slots are free than spillReserve
// and the wait require, and is zero for the local region and unusable ones.
func (t *Table) spareSlots(now time.Duration, k loopKey, region int) float64 {
	if region == t.settings.Local || !t.usable(now, k, region) {
		return 0
	}
	view := t.views[t.pool(region, k.service)*len(t.settings.Ranks)+k.rank]
	queuedFraction := min(2, float64(view.Wait)/float64(t.allowedWait(k, region)))
	return float64(view.Free) - (spillReserve+queuedFraction)*float64(max(view.Slots, view.Free))
}

// lowerSpill reduces the spill by the given share of requests, in proportion to
// the shares of the regions.
func (c *controlLoop) lowerSpill(now time.Duration, by float64) {
	factor := max(0, 1-by/c.spill())
	for region := range c.shares {
		c.shares[region] *= factor
		if c.shares[region] < 1e-4 {
			c.shares[region] = 0
		}
	}
	c.recordChange(now, -1)
}

// recordChange records a change of the spill and its direction.
func (c *controlLoop) recordChange(now time.Duration, direction int) {
	if c.direction != 0 && c.direction != direction {
		c.reversals++
	}
	c.direction, c.lastChange = direction, now
}

// updateAdmitShare sets the share of the requests for the local pool that Decide
// does not advise to refuse; see admitFactor.
func (c *controlLoop) updateAdmitShare(local int) {
	c.admitShare = 1
	if sent := c.results[local].sent + c.refused; sent > 1 {
		c.admitShare = min(1, max(minAdmitShare, (admitFactor*c.results[local].accepted+1)/sent))
	}
}

func (c *controlLoop) decay(dt time.Duration) {
	factor := math.Exp(-dt.Seconds() / resultTimeConstant.Seconds())
	c.offered.sent *= factor
	c.refused *= factor
	for i := range c.results {
		c.results[i].sent *= factor
		c.results[i].accepted *= factor
	}
}

func (c *controlLoop) spill() float64 {
	sum := 0.0
	for _, s := range c.shares {
		sum += s
	}
	return sum
}
