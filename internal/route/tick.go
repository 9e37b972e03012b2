package route

import (
	"math"
	"time"
)

const (
	// smoothing is the time constant of the counts of results.
	smoothing = 2 * time.Second
	// stepUp and stepDown bound the change of the spilled share per second. The
	// return is slower, since the caches of the local region have cooled down.
	stepUp   = 0.20
	stepDown = 0.05
	// stepLost bounds the rise per second when the local pool is lost.
	stepLost = 0.50
	// hold is the shortest time between a rise and a return. It exceeds the
	// lag of digests, so that the effect of a rise is seen before it is undone.
	hold = 6 * time.Second
	// bandUp and bandDown are how far the needed spill must be above or below
	// the present one before it is changed.
	bandUp   = 0.01
	bandDown = 0.05
	// reserve is the share of a region's slots that spilled requests leave free.
	reserve = 0.1
	// headroomTime spreads the use of a region's free slots over twice the lag
	// of its digests, so that many hosts do not claim the same slots.
	headroomTime = 4 * time.Second
	// enterWait is the share of the allowed wait from which on requests are
	// spilled; keepWait is the one that spilling aims at.
	enterWait = 0.9
	keepWait  = 0.5
	// drainTime is the time in which a queue above the aim is to be worked off.
	drainTime = 5 * time.Second
	// fullLoad is the utilization that a return aims at.
	fullLoad = 0.95
	// tolerated is the share of refusals that does not count as overload.
	tolerated = 0.01
	// admitFactor is how many more requests are sent to the local pool than it
	// accepted lately. It is large, since only the pool knows which customer's
	// turn it is; refusals here keep a flood from filling the local network.
	admitFactor = 8
	// admitFloor is the share that is sent to the local pool in any case.
	admitFloor = 0.05
)

// Tick moves the control loops by the time since the previous Tick and returns
// the plan to decide by. It is called several times a second.
func (t *Table) Tick(now time.Duration) *Plan {
	dt := time.Duration(0)
	if t.ticked != never {
		dt = min(now-t.ticked, time.Second)
	}
	t.ticked = now
	plan := &Plan{settings: t.settings, entries: make([]planEntry, len(t.cells))}
	for service := range t.settings.Services {
		for rank := range t.settings.Ranks {
			for _, shifted := range []bool{false, true} {
				k := cellKey{service, rank, shifted}
				i := t.settings.cell(k)
				t.move(now, dt, k, &t.cells[i])
				plan.entries[i] = t.entry(now, k, &t.cells[i])
			}
		}
	}
	return plan
}

// move adapts the shares of one cell.
func (t *Table) move(now, dt time.Duration, k cellKey, c *cell) {
	for region := range t.settings.Regions {
		if region != t.settings.Local {
			t.withdraw(now, dt, k, c, region)
		}
	}
	spill, step := c.spill(), stepUp
	need, known := t.need(now, k, c)
	if need == 1 {
		step = stepLost
	}
	switch {
	case !known:
	case need > spill+bandUp:
		t.raise(now, dt, k, c, min(step*dt.Seconds(), need-spill))
	case need < spill-bandDown || need == 0 && spill > 0:
		if c.direction <= 0 || now >= c.lastChange+hold {
			c.lower(now, min(stepDown*dt.Seconds(), spill-need))
		}
	}
	c.history.add(now, c.spill())
	c.throttle(t.settings.Local)
	c.decay(dt)
}

// need estimates the share of requests that the local pool cannot serve in
// time. Its state is compared with the spill at the time when that state was
// measured, so that the effect of later changes is not awaited twice.
func (t *Table) need(now time.Duration, k cellKey, c *cell) (need float64, known bool) {
	local := t.settings.Local
	p := t.pool(local, k.service)
	if now-t.at[p] > MaxDigestAge {
		return 0, false
	}
	if !t.up[p] {
		return 1, true
	}
	ranks := len(t.settings.Ranks)
	view, trend := t.views[p*ranks+k.rank], t.trends[k.service*ranks+k.rank]
	allowed := t.allowedWait(k, local).Seconds()
	wait, refused := view.Wait.Seconds(), c.refusedShare(local)
	if c.spill() == 0 && wait < enterWait*allowed && refused <= tolerated {
		return 0, true
	}
	then := c.history.spillAt(t.at[p] - trendTime/2)
	if wait == 0 && refused <= tolerated {
		return t.needRelaxed(k, c, trend.load, view.Slots, then), true
	}
	// A queue grows by the load beyond 1. Refused requests would add to it.
	load := max(0.1, 1+trend.slope) / max(0.05, 1-refused)
	late := max(0, (wait-keepWait*allowed)/drainTime.Seconds())
	need = min(1, max(0, 1-(1-min(0.5, late))*(1-then)/load))
	if late > 0 {
		need = max(need, c.spill())
	}
	return need, true
}

// needRelaxed estimates the needed spill when the local pool has no queue and
// the given load: what it can take beyond that is returned, by all hosts of
// the region together.
func (t *Table) needRelaxed(k cellKey, c *cell, load float64, slots int, then float64) float64 {
	offered := t.busy(k, c) * float64(max(1, t.settings.LocalHosts)) / float64(max(1, slots))
	if slots == 0 || offered == 0 {
		return 0
	}
	return min(1, max(0, then-(fullLoad-load)/offered))
}

// busy is the number of slots that the requests of this host use.
func (t *Table) busy(k cellKey, c *cell) float64 {
	return c.offered.sent / smoothing.Seconds() * t.settings.Services[k.service].ServiceTime.Seconds()
}

// refusedShare is the share of the requests for the local pool that were
// refused lately, there or by this host.
func (c *cell) refusedShare(local int) float64 {
	sent := c.results[local].sent + c.refused
	if sent < 1 {
		return 0
	}
	return 1 - c.results[local].accepted/sent
}

// allowedWait is the wait in a region with which the target is just met.
func (t *Table) allowedWait(k cellKey, region int) time.Duration {
	s := &t.settings
	return max(0, s.Ranks[k.rank].Target-s.Services[k.service].ServiceTime-2*s.Regions[region].Delay)
}

// usable tells whether a region other than the local one may be sent requests.
func (t *Table) usable(now time.Duration, k cellKey, region int) bool {
	p := t.pool(region, k.service)
	return now-t.at[p] <= MaxDigestAge && t.up[p] && t.allowedWait(k, region) > 0
}

// withdraw reduces what is sent to a region that is lost, unknown, full or
// that refuses requests.
func (t *Table) withdraw(now, dt time.Duration, k cellKey, c *cell, region int) {
	if !t.usable(now, k, region) {
		c.shares[region] = 0
		return
	}
	if room := t.room(now, k, region); room < 0 {
		c.shares[region] = max(0, c.shares[region]+room*t.claim(dt, k, c))
	}
	if r := &c.results[region]; r.sent > 1 && r.accepted < (1-tolerated)*r.sent {
		ratio := r.accepted / r.sent
		c.shares[region] *= 1 - (1-ratio)*min(1, dt.Seconds()/smoothing.Seconds())
	}
}

// claim is the share of this host's requests that corresponds to its part of
// one free slot in another region.
func (t *Table) claim(dt time.Duration, k cellKey, c *cell) float64 {
	return dt.Seconds() / headroomTime.Seconds() / float64(max(1, t.settings.Hosts)) / max(t.busy(k, c), 1e-3)
}

// raise adds wanted to the shares of the regions that have free slots, in
// proportion to these. Each host takes only its part of the free slots.
func (t *Table) raise(now, dt time.Duration, k cellKey, c *cell, wanted float64) {
	free, claim := 0.0, t.claim(dt, k, c)
	for region := range t.settings.Regions {
		free += max(0, t.room(now, k, region))
	}
	if free == 0 {
		return
	}
	for region := range t.settings.Regions {
		slots := max(0, t.room(now, k, region))
		c.shares[region] += min(wanted*slots/free, slots*claim)
	}
	c.turn(now, 1)
}

// room returns how many more slots of another region the rank could use.
// It is negative when the region serves more than it should.
func (t *Table) room(now time.Duration, k cellKey, region int) float64 {
	if region == t.settings.Local || !t.usable(now, k, region) {
		return 0
	}
	view := t.views[t.pool(region, k.service)*len(t.settings.Ranks)+k.rank]
	queued := min(2, float64(view.Wait)/float64(t.allowedWait(k, region)))
	return float64(view.Free) - (reserve+queued)*float64(max(view.Slots, view.Free))
}

// lower returns a share of requests to the local region.
func (c *cell) lower(now time.Duration, by float64) {
	factor := max(0, 1-by/c.spill())
	for region := range c.shares {
		c.shares[region] *= factor
		if c.shares[region] < 1e-4 {
			c.shares[region] = 0
		}
	}
	c.turn(now, -1)
}

// turn notes the direction of a change.
func (c *cell) turn(now time.Duration, direction int) {
	if c.direction != 0 && c.direction != direction {
		c.reversals++
	}
	c.direction, c.lastChange = direction, now
}

// throttle sets the share of requests that is worth sending to the local pool:
// somewhat more than it accepted lately.
func (c *cell) throttle(local int) {
	c.admit = 1
	if sent := c.results[local].sent + c.refused; sent > 1 {
		c.admit = min(1, max(admitFloor, (admitFactor*c.results[local].accepted+1)/sent))
	}
}

func (c *cell) decay(dt time.Duration) {
	factor := math.Exp(-dt.Seconds() / smoothing.Seconds())
	c.offered.sent *= factor
	c.refused *= factor
	for i := range c.results {
		c.results[i].sent *= factor
		c.results[i].accepted *= factor
	}
}

func (c *cell) spill() float64 {
	sum := 0.0
	for _, s := range c.shares {
		sum += s
	}
	return sum
}
