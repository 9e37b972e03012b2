package shift

import (
	"math"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

const (
	// DefaultValidity is how long a share is valid by default.
	DefaultValidity = 2 * time.Second
	// growthBurst is the time whose growth may be saved up and granted at once.
	growthBurst = 500 * time.Millisecond
	// growthAhead is the time whose growth may be granted ahead of its use.
	growthAhead = 500 * time.Millisecond
	// peakWindow is how long a peak of the concurrency may be granted again
	// without the bound on growth, also after a change of a pool's owner. The
	// backend servers' caches are assumed to last that long.
	peakWindow = 10 * time.Second
)

// GranterConfig configures a Granter.
type GranterConfig struct {
	// Epoch is the epoch in which the granter's host is primary.
	Epoch uint64
	// Validity is how long shares are valid; zero means DefaultValidity. It must
	// not be shorter than that of earlier granters.
	Validity time.Duration
	// LongestDeadline bounds the time from the grant of a slot to its release; no
	// default.
	LongestDeadline time.Duration
	// Caps has the caps of all origins; see SetCaps. It must list every origin from
	// the start, because reports on origins that the granter does not know are not
	// counted.
	Caps []Cap
}

// Granter divides the caps among the holders, on the region's primary. It is not
// safe for concurrent use.
type Granter struct {
	config          GranterConfig
	started         time.Duration
	holders         []*account // sorted by incarnation
	origins         []*originState
	reportsComplete bool
	stats           GranterStats
}

// account is what the granter knows of one holder.
type account struct {
	holder     host.Incarnation
	number     uint64        // of the newest report
	reportedAt time.Duration // when the newest report arrived
	answer     Grant         // to the newest report
	// rebuilt is set once the holder has reported a share that it was granted in
	// this epoch.
	rebuilt bool
	origins []originAccount // same order as Granter.origins
}

// originAccount has the two shares of one cap of which a holder uses one: the
// share that it reported and the one granted in answer.
type originAccount struct {
	reported OriginReport
	granted  OriginGrant
}

// originState is the state of one cap.
type originState struct {
	cap Cap
	// rebuilt is the concurrency, rebuiltBytes the rate in bytes per second, that
	// rebuilt holders kept from the earlier granter.
	rebuilt        int
	rebuiltBytes   int64
	growthCredit   float64 // growth that may be granted now, in requests
	growthCreditAt time.Duration
	peaks          []peakSample // by time, with falling peaks
}

// peakSample is a concurrency that all holders together used.
type peakSample struct {
	at   time.Duration
	peak int
}

// NewGranter returns a granter that takes over at now; no earlier granter may
// answer a report that arrives later. Until the shares of the earlier one and the
// requests under them have ended, the new granter collects reports and grants only
// what holders already have.
func NewGranter(now time.Duration, config GranterConfig) *Granter {
	if config.Validity <= 0 {
		config.Validity = DefaultValidity
	}
	g := &Granter{config: config, started: now}
	g.SetCaps(now, config.Caps)
	return g
}

// SetCaps replaces the caps. A lowered cap takes effect once each holder has
// renewed its share or the share has expired. Origins that are not listed get a
// cap of zero. New origins are added, but a Share has only those given to NewShare.
func (g *Granter) SetCaps(now time.Duration, caps []Cap) {
	for _, o := range g.origins {
		o.cap = Cap{Origin: o.cap.Origin}
	}
	for _, c := range caps {
		i := g.originIndex(c.Origin)
		if i < 0 {
			g.origins = append(g.origins, &originState{growthCreditAt: now})
			for _, a := range g.holders {
				a.origins = append(a.origins, originAccount{})
			}
			i = len(g.origins) - 1
		}
		g.origins[i].cap = c
	}
}

// originIndex returns the index of an origin, or -1 if it is unknown.
func (g *Granter) originIndex(origin string) int {
	return slices.IndexFunc(g.origins, func(o *originState) bool { return o.cap.Origin == origin })
}

// Grant answers a report with the holder's new share. It returns false for a
// report older than one already answered, and for one with a later epoch, which
// means that this granter has been replaced. A repeated report gets the same
// answer.
func (g *Granter) Grant(now time.Duration, r Report) (Grant, bool) {
	if r.Epoch > g.config.Epoch {
		g.stats.Ignored++
		return Grant{}, false
	}
	g.dropInactiveHolders(now)
	a, known := g.account(r.Holder)
	if known && r.Number <= a.number {
		g.stats.Ignored++
		return a.answer, r.Number == a.number
	}
	g.recordReport(now, a, r)
	a.answer = Grant{Holder: r.Holder, Answers: r.Number, Epoch: g.config.Epoch, Validity: g.config.Validity}
	a.answer.Keep = g.rebuilding(now) && !a.rebuilt
	for i, o := range g.origins {
		e := &a.origins[i]
		granted := OriginGrant{Origin: o.cap.Origin}
		if a.answer.Keep {
			granted.Concurrent = min(e.reported.Concurrent, o.cap.Concurrent)
			granted.BytesPerSecond = min(e.reported.BytesPerSecond, o.cap.BytesPerSecond)
		} else {
			granted.Concurrent = g.concurrent(now, i, a)
			granted.BytesPerSecond = g.decideBytes(now, i, a)
		}
		e.granted = granted
		if e.granted.Concurrent > 0 || e.granted.BytesPerSecond > 0 {
			a.answer.Origins = append(a.answer.Origins, e.granted)
		}
	}
	g.stats.Granted++
	return a.answer, true
}

// account returns the account of a holder and whether it existed; a missing one
// is added.
func (g *Granter) account(holder host.Incarnation) (*account, bool) {
	if a, ok := g.findAccount(holder); ok {
		return a, true
	}
	a := &account{holder: holder, origins: make([]originAccount, len(g.origins))}
	i := slices.IndexFunc(g.holders, func(b *account) bool { return b.holder > holder })
	if i < 0 {
		i = len(g.holders)
	}
	g.holders = slices.Insert(g.holders, i, a)
	return a, false
}

// recordReport replaces the account by the report. Grants that answer earlier
// reports are void, so the reported share is the one in force.
func (g *Granter) recordReport(now time.Duration, a *account, r Report) {
	first := !a.rebuilt && r.Epoch == g.config.Epoch
	a.rebuilt = a.rebuilt || first
	first = first && g.rebuilding(now)
	a.number, a.reportedAt = r.Number, now
	for i, o := range g.origins {
		e := &a.origins[i]
		*e = originAccount{granted: OriginGrant{Origin: o.cap.Origin}}
		if k := slices.IndexFunc(r.Origins, func(or OriginReport) bool { return or.Origin == o.cap.Origin }); k >= 0 {
			e.reported = r.Origins[k]
		}
		if first {
			// Only shares are added, because adopted requests may be counted in
			// another holder's share already.
			o.rebuilt += e.reported.Concurrent
			o.rebuiltBytes += e.reported.BytesPerSecond
		}
		// Peaks of holders at different times may add up to more than was ever
		// granted.
		o.recordPeak(now, min(g.peakSum(i), g.limitSum(i)))
	}
}

// rebuilding reports whether holders that have not reported yet may have shares
// of an earlier granter, or requests in flight under them.
func (g *Granter) rebuilding(now time.Duration) bool {
	if g.reportsComplete {
		return now < g.started+g.config.Validity
	}
	return now < g.started+g.config.Validity+g.config.LongestDeadline
}

// dropInactiveHolders deletes holders whose shares have expired and whose requests
// have ended. An unresponsive holder's bytes are free once its share has expired.
func (g *Granter) dropInactiveHolders(now time.Duration) {
	g.holders = slices.DeleteFunc(g.holders, func(a *account) bool {
		return now >= a.reportedAt+g.config.Validity+g.config.LongestDeadline
	})
	for _, a := range g.holders {
		if now < a.reportedAt+g.config.Validity {
			continue
		}
		for i := range a.origins {
			e := &a.origins[i]
			e.reported.BytesPerSecond, e.granted.BytesPerSecond = 0, 0
			e.reported.Demand, e.reported.DemandMargin, e.reported.DemandBytesPerSecond, e.reported.Peak = nil, nil, 0, 0
		}
	}
}

// concurrent returns the most requests that the holder may have in flight: the
// larger of the share that it reported and the one granted since, or the
// requests in flight under an earlier and larger share.
func (e *originAccount) concurrent() int { return max(e.concurrencyLimit(), e.reported.InUse) }

// concurrencyLimit returns the larger concurrency of the two shares.
func (e *originAccount) concurrencyLimit() int {
	return max(e.reported.Concurrent, e.granted.Concurrent)
}

// byteRate returns the larger rate of the two shares, in bytes per second.
func (e *originAccount) byteRate() int64 {
	return max(e.reported.BytesPerSecond, e.granted.BytesPerSecond)
}

// maxInFlight returns the most requests that all holders together may have in
// flight.
func (g *Granter) maxInFlight(origin int) int {
	sum := 0
	for _, a := range g.holders {
		sum += a.origins[origin].concurrent()
	}
	return sum
}

// usedByOthers sums what all holders but a may use. While accounts are being
// rebuilt, it skips holders that are not rebuilt yet: they use shares of the
// earlier granter, which originState.rebuilt does not contain.
func (g *Granter) usedByOthers(now time.Duration, origin int, a *account) (concurrent int, byteRate int64) {
	rebuilding := g.rebuilding(now)
	for _, h := range g.holders {
		if h != a && (h.rebuilt || !rebuilding) {
			concurrent += h.origins[origin].concurrent()
			byteRate += h.origins[origin].byteRate()
		}
	}
	return concurrent, byteRate
}

// demands returns the demands of all holders, and the index of a among them.
func (g *Granter) demands(a *account, demandOf func(*account) int64) (demands []int64, self int) {
	demands = make([]int64, len(g.holders))
	for i, h := range g.holders {
		demands[i] = demandOf(h)
		if h == a {
			self = i
		}
	}
	return demands, self
}

// limitSum returns the sum of the shares of concurrency.
func (g *Granter) limitSum(origin int) int {
	sum := 0
	for _, a := range g.holders {
		sum += a.origins[origin].concurrencyLimit()
	}
	return sum
}

// peakSum returns the sum of the peaks that holders reported.
func (g *Granter) peakSum(origin int) int {
	sum := 0
	for _, a := range g.holders {
		sum += a.origins[origin].reported.Peak
	}
	return sum
}

// concurrent decides the share of concurrency of a holder that has just reported.
func (g *Granter) concurrent(now time.Duration, origin int, a *account) int {
	o := g.origins[origin]
	e := &a.origins[origin]
	usedByOthers, _ := g.usedByOthers(now, origin, a)
	total, peak := usedByOthers+e.concurrent(), o.peak(now)
	o.accrueGrowth(now, total, peak)
	ceiling := o.ceiling(total, peak)
	if g.rebuilding(now) {
		ceiling = min(ceiling, o.rebuilt)
	}
	share := min(g.fairShare(origin, a, ceiling), max(0, ceiling-usedByOthers))
	// Growth up to the recent peak costs no credit; see peakWindow.
	if rise := usedByOthers + max(e.concurrent(), share) - max(total, peak); rise > 0 {
		o.growthCredit -= float64(rise)
	}
	return share
}

// fairShare returns the holder's share of a total concurrency. The total is divided
// among the demands of each rank by max-min fairness, the most urgent rank first,
// and the rest in the same order among the margins for fluctuations until the next
// report.
func (g *Granter) fairShare(origin int, a *account, total int) int {
	remaining, share := int64(total), int64(0)
	for _, byRank := range []func(*OriginReport) []int{demandByRank, marginByRank} {
		for rank := range MaxRanks {
			demands, self := g.demands(a, func(h *account) int64 { return demandAt(byRank(&h.origins[origin].reported), rank) })
			shares := divide(remaining, demands)
			share += shares[self]
			for _, p := range shares {
				remaining -= p
			}
		}
	}
	return int(share)
}

func demandByRank(r *OriginReport) []int { return r.Demand }

func marginByRank(r *OriginReport) []int { return r.DemandMargin }

// demandAt returns the demand of a rank, which is zero beyond the end of byRank.
func demandAt(byRank []int, rank int) int64 {
	if rank >= len(byRank) {
		return 0
	}
	return int64(max(0, byRank[rank]))
}

// decideBytes decides the share of bytes per second of a holder that has just
// reported.
func (g *Granter) decideBytes(now time.Duration, origin int, a *account) int64 {
	o := g.origins[origin]
	ceiling := o.cap.BytesPerSecond
	if g.rebuilding(now) {
		ceiling = min(ceiling, o.rebuiltBytes)
	}
	_, usedByOthers := g.usedByOthers(now, origin, a)
	demands, self := g.demands(a, func(h *account) int64 { return h.origins[origin].reported.DemandBytesPerSecond })
	return min(divideSpare(ceiling, demands)[self], max(0, ceiling-usedByOthers))
}

// accrueGrowth adds the growth since the last call to the credit. The credit is
// at most the growth of growthBurst, or one request if that is more, and is not
// positive while earlier growth is unused.
func (o *originState) accrueGrowth(now time.Duration, total, peak int) {
	depth := max(1, o.cap.GrowthPerSecond*growthBurst.Seconds())
	o.growthCredit = min(depth, o.growthCredit+o.cap.GrowthPerSecond*(now-o.growthCreditAt).Seconds())
	o.growthCreditAt = now
	if total >= o.aheadLimit(peak) {
		o.growthCredit = min(o.growthCredit, 0)
	}
}

// aheadLimit returns the concurrency up to which growth may be granted ahead of
// its use.
func (o *originState) aheadLimit(peak int) int {
	return peak + int(math.Ceil(o.cap.GrowthPerSecond*growthAhead.Seconds()))
}

// ceiling returns the bound on the sum of all shares: the cap, and above the
// recent peak no more than the lower of aheadLimit and total plus the growth
// credit.
func (o *originState) ceiling(total, peak int) int {
	grown := min(total+int(max(0, o.growthCredit)), o.aheadLimit(peak))
	return min(o.cap.Concurrent, max(peak, grown))
}

// recordPeak adds a sample and deletes earlier ones that are not higher, because
// they no longer decide the peak.
func (o *originState) recordPeak(now time.Duration, peak int) {
	for len(o.peaks) > 0 && o.peaks[len(o.peaks)-1].peak <= peak {
		o.peaks = o.peaks[:len(o.peaks)-1]
	}
	o.peaks = append(o.peaks, peakSample{at: now, peak: peak})
}

// peak returns the highest concurrency in use within the last peakWindow.
func (o *originState) peak(now time.Duration) int {
	for len(o.peaks) > 0 && o.peaks[0].at+peakWindow < now {
		o.peaks = o.peaks[1:]
	}
	if len(o.peaks) == 0 {
		return 0
	}
	return o.peaks[0].peak
}
