package shift

import (
	"math"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

const (
	// MaxRanks is the number of ranks whose demand is counted separately. Further
	// ranks count as the last one.
	MaxRanks = 8
	// demandDivisor bounds the demand beyond the peak that a rank may report
	// because of refusals: the peak divided by demandDivisor, plus demandStep
	// slots. The number of refusals is no measure of demand, since a waiting
	// request is refused many times.
	demandDivisor = 4
	demandStep    = 2
	// usedFraction is the fraction of its share that a holder must use on average
	// for refusals to count as demand. Otherwise they count as margin, since the
	// share suffices on average.
	usedFraction = 0.9
	// demandBytesPerSecondStep is the rate by which the reported demand for bytes
	// may exceed four times the admitted rate.
	demandBytesPerSecondStep = 64 << 10
	// minMeasurePeriod is the shortest period over which demand is measured, so
	// that reports in quick succession do not give excessive rates.
	minMeasurePeriod = 100 * time.Millisecond
	// bucketDepth is the time in which an empty token bucket of bytes fills.
	bucketDepth = time.Second
)

// Share is what a pool owner, the holder, may use of the caps. It admits the
// shifted requests of all pools that the process owns and measures their demand.
// It is not safe for concurrent use.
type Share struct {
	holder  host.Incarnation
	origins []originShare
	number  uint64        // of the newest report
	sentAt  time.Duration // of the newest report
	// measuredAt is the time of the newest report that measured the demand.
	measuredAt time.Duration
	// freed is set if part of the share has become free for other holders since
	// the newest report; see ReportDue.
	freed   bool
	epoch   uint64        // of the newest grant
	expires time.Duration // of the share in force
	stats   ShareStats
}

// ShareStats counts the requests and grants of a holder.
type ShareStats struct {
	// Acquired counts admitted requests. OverConcurrent, OverBytes and Expired
	// count denied requests by the reason: no slot in the share, too few tokens
	// in the bucket of bytes, share expired.
	Acquired, OverConcurrent, OverBytes, Expired int64
	// Applied and Ignored count grants.
	Applied, Ignored int64
}

// originShare is the share of the cap of one origin.
type originShare struct {
	name             string
	limit            int   // requests in flight
	rate             int64 // bytes per second
	inUse, peak      int   // requests in flight, now and at most since the newest measurement
	ranks            [MaxRanks]rankUse
	tokens           float64 // bytes; negative after larger answers than declared
	refilledAt       time.Duration
	admitted, denied int64        // bytes since the newest measurement
	largestDenied    int64        // bytes of the largest request denied since the newest measurement
	lastMeasured     OriginReport // the demand by the newest measurement
}

// rankUse is the use and demand of one rank since the newest measurement.
type rankUse struct {
	inUse, peak, refused int // requests in flight, now and at most; refusals
	waiting              int // slots
	// slotSeconds is the integral of inUse over time.
	slotSeconds float64
	advancedAt  time.Duration
}

// advance adds the use up to now to slotSeconds.
func (u *rankUse) advance(now time.Duration) {
	if now > u.advancedAt {
		u.slotSeconds += float64(u.inUse) * (now - u.advancedAt).Seconds()
		u.advancedAt = now
	}
}

// NewShare returns the Share of the pool owner holder, which admits nothing before
// the first grant. origins has the names of the other regions; the methods refer
// to them by index.
func NewShare(holder host.Incarnation, origins []string) *Share {
	s := &Share{holder: holder, origins: make([]originShare, len(origins))}
	for i, name := range origins {
		s.origins[i].name = name
	}
	return s
}

// Acquire is AcquireRank for the most urgent rank.
func (s *Share) Acquire(now time.Duration, origin int, bytes int64) bool {
	return s.AcquireRank(now, origin, 0, bytes)
}

// AcquireRank takes one slot and bytes from the share of an origin for a request
// that is about to be granted. It returns false if the share is exhausted or has
// expired. bytes is the body length plus the usual answer size. rank is 0 for the
// most urgent rank; the granter satisfies the demand of urgent ranks first.
func (s *Share) AcquireRank(now time.Duration, origin, rank int, bytes int64) bool {
	o := &s.origins[origin]
	use := &o.ranks[min(rank, MaxRanks-1)]
	if now >= s.expires || o.inUse >= o.limit {
		if now >= s.expires {
			s.stats.Expired++
		} else {
			s.stats.OverConcurrent++
		}
		use.refused++
		o.recordDenied(bytes)
		return false
	}
	o.refill(now)
	if o.tokens < float64(bytes) {
		s.stats.OverBytes++
		o.recordDenied(bytes)
		return false
	}
	o.tokens -= float64(bytes)
	o.admitted += bytes
	o.inUse++
	o.peak = max(o.peak, o.inUse)
	use.advance(now)
	use.inUse++
	use.peak = max(use.peak, use.inUse)
	s.stats.Acquired++
	return true
}

// recordDenied counts the bytes of a request that was not admitted as demand.
func (o *originShare) recordDenied(bytes int64) {
	o.denied += bytes
	o.largestDenied = max(o.largestDenied, bytes)
}

// Release is ReleaseRank for the most urgent rank.
func (s *Share) Release(now time.Duration, origin int) { s.ReleaseRank(now, origin, 0) }

// ReleaseRank returns the slot of a request that has ended. It panics if the
// origin and rank have no request in flight.
func (s *Share) ReleaseRank(now time.Duration, origin, rank int) {
	o := &s.origins[origin]
	use := &o.ranks[min(rank, MaxRanks-1)]
	if o.inUse == 0 || use.inUse == 0 {
		panic("shift: release without acquire")
	}
	use.advance(now)
	s.freed = s.freed || o.inUse > o.limit && now < s.expires
	o.inUse--
	use.inUse--
}

// SetWaiting sets how many more slots of an origin's share a rank could use, for
// the next measurement. Without it, the reported demand rises beyond the share only
// in small steps.
func (s *Share) SetWaiting(origin, rank, slots int) {
	// Not called by entry hosts.
	s.origins[origin].ranks[min(rank, MaxRanks-1)].waiting = slots
}

// Charge takes bytes from an origin's bucket for an answer larger than declared. A
// negative balance denies later requests until it is refilled.
func (s *Share) Charge(now time.Duration, origin int, bytes int64) {
	o := &s.origins[origin]
	o.refill(min(now, s.expires))
	o.tokens -= float64(bytes)
}

// Adopt counts requests in flight that an earlier owner of the pool granted. They
// may exceed the share. They are released as requests of the most urgent rank.
func (s *Share) Adopt(origin, requests int) {
	o := &s.origins[origin]
	o.inUse += requests
	o.peak = max(o.peak, o.inUse)
	o.ranks[0].inUse += requests
}

// refill adds the tokens for the time since the last call. The depth is
// proportional to the rate, so that the buckets of all holders together never
// contain more than the bucket of the cap.
func (o *originShare) refill(now time.Duration) {
	if now > o.refilledAt {
		o.tokens += float64(o.rate) * (now - o.refilledAt).Seconds()
		o.refilledAt = now
	}
	o.tokens = min(o.tokens, float64(o.rate)*bucketDepth.Seconds())
}

// expire sets the shares to zero once they have expired. Unused tokens are lost.
func (s *Share) expire(now time.Duration) {
	if now < s.expires {
		return
	}
	for i := range s.origins {
		o := &s.origins[i]
		o.refill(s.expires)
		o.limit, o.rate = 0, 0
		o.tokens = min(o.tokens, 0)
		o.refilledAt = now
	}
}

// Report returns the next report, which the caller sends at once, to one host. It
// voids all grants that answer earlier reports. A report that follows a
// measurement within 100 ms repeats its demand.
func (s *Share) Report(now time.Duration) Report {
	s.expire(now)
	period := now - s.measuredAt
	measure := s.number == 0 || period >= minMeasurePeriod
	if s.number == 0 {
		period = time.Second
	}
	if measure {
		s.measuredAt = now
	}
	s.number++
	s.sentAt, s.freed = now, false
	report := Report{Holder: s.holder, Number: s.number, Epoch: s.epoch}
	for i := range s.origins {
		o := &s.origins[i]
		if measure {
			o.measure(now, period)
		}
		r := o.lastMeasured
		r.Origin, r.Concurrent, r.BytesPerSecond, r.InUse = o.name, o.limit, o.rate, o.inUse
		r.Peak = max(r.Peak, o.inUse)
		if r.Concurrent > 0 || r.BytesPerSecond > 0 || r.Peak > 0 || len(r.Demand) > 0 || r.DemandBytesPerSecond > 0 {
			report.Origins = append(report.Origins, r)
		}
	}
	return report
}

// ReportDue reports whether the caller should report again at once, because part
// of the share has become free for other holders since the newest report: a grant
// has lowered the share, or a request beyond a lowered share has ended. It is
// called after Apply and ReleaseRank. If such reports are sent, it returns true at
// most ten times a second, besides once after each report that measures demand.
func (s *Share) ReportDue(now time.Duration) bool {
	return s.freed && (s.sentAt == s.measuredAt || now-s.sentAt >= minMeasurePeriod)
}

// measure stores the demand since the last measurement in lastMeasured and
// starts the next one.
func (o *originShare) measure(now, period time.Duration) {
	rate := int64(float64(o.admitted+o.denied) / period.Seconds())
	admittedRate := int64(float64(o.admitted) / period.Seconds())
	// The bucket must be deep enough for the largest request, which would never be
	// admitted otherwise. The demand falls slowly, because large requests are rare.
	bytes := max(min(rate, 4*admittedRate+demandBytesPerSecondStep), o.largestDenied, o.lastMeasured.DemandBytesPerSecond*3/4)
	o.lastMeasured = OriginReport{Peak: o.peak, DemandBytesPerSecond: bytes}
	o.lastMeasured.Demand, o.lastMeasured.DemandMargin = o.demand(now, period)
	o.peak, o.admitted, o.denied, o.largestDenied = o.inUse, 0, 0, 0
}

// demand returns the mean demand by rank and the margin for fluctuations, without
// trailing ranks that have no demand, and resets the counts of all ranks.
func (o *originShare) demand(now, period time.Duration) (demand, margin []int) {
	var demands, margins [MaxRanks]int
	rankCount, mean := 0, 0.0
	for i := range o.ranks {
		o.ranks[i].advance(now)
		mean += o.ranks[i].slotSeconds / period.Seconds()
	}
	shareUsed := mean >= usedFraction*float64(o.limit)
	for i := range o.ranks {
		use := &o.ranks[i]
		demands[i] = min(use.peak, int(math.Ceil(use.slotSeconds/period.Seconds())))
		margins[i] = use.peak - demands[i]
		if use.refused > 0 {
			extra := max(use.waiting, min(use.refused, use.peak/demandDivisor+demandStep))
			if shareUsed {
				demands[i] += extra
			} else {
				margins[i] += extra
			}
		}
		if use.peak > 0 || use.refused > 0 {
			rankCount = i + 1
			margins[i]++
		}
		use.peak, use.refused, use.waiting, use.slotSeconds = use.inUse, 0, 0, 0
	}
	if rankCount == 0 {
		return nil, nil
	}
	return append(demand, demands[:rankCount]...), append(margin, margins[:rankCount]...)
}

// Apply replaces the share by that of a grant and returns true. It ignores a grant
// and returns false if it is for another holder, of an earlier epoch, in answer to
// any report but the newest, or expired.
func (s *Share) Apply(now time.Duration, g Grant) bool {
	expires := s.sentAt + g.Validity
	if g.Holder != s.holder || g.Epoch < s.epoch || g.Answers != s.number || now >= expires {
		s.stats.Ignored++
		return false
	}
	s.expire(now)
	s.epoch, s.expires = g.Epoch, expires
	measured := s.sentAt == s.measuredAt
	for i := range s.origins {
		o := &s.origins[i]
		o.refill(now)
		limit, rate := o.limit, o.rate
		o.limit, o.rate = 0, 0
		if k := slices.IndexFunc(g.Origins, func(og OriginGrant) bool { return og.Origin == o.name }); k >= 0 {
			o.limit, o.rate = g.Origins[k].Concurrent, g.Origins[k].BytesPerSecond
		}
		if g.Keep {
			o.limit, o.rate = min(o.limit, limit), min(o.rate, rate)
		}
		s.freed = s.freed || measured && (o.limit < limit || o.rate < rate)
		o.refill(now)
	}
	s.stats.Applied++
	return true
}

// InUse returns the number of shifted requests of an origin in flight.
func (s *Share) InUse(origin int) int { return s.origins[origin].inUse }

// Limit returns the share of an origin that is in force, or zeros if it has
// expired.
func (s *Share) Limit(now time.Duration, origin int) (concurrent int, bytesPerSecond int64) {
	if now >= s.expires {
		return 0, 0
	}
	return s.origins[origin].limit, s.origins[origin].rate
}

// Stats returns the counts since the Share was created.
func (s *Share) Stats() ShareStats { return s.stats }
