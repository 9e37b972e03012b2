package shift

import (
	"math"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

const (
	// MaxRanks bounds the ranks that demand is told apart by. More ranks count
	// as the last one.
	MaxRanks = 8
	// wantPart and wantStep bound how far beyond its peak a rank may ask in one
	// report: by a part of the peak and some requests. Waiting requests are
	// refused many times, so that their number says little.
	wantPart = 4
	wantStep = 2
	// usedPart is the part of its share that a holder must use on average to ask
	// for more before others get room. A holder that uses less lacks slots, not a
	// larger share.
	usedPart = 0.9
	// wantBytesStep bounds the same for bytes per second, which may grow by four.
	wantBytesStep = 64 << 10
	// minPeriod bounds the rates that are computed from reports in quick succession.
	minPeriod = 100 * time.Millisecond
	// bucketDepth is the time in which the token bucket of bytes fills.
	bucketDepth = time.Second
)

// Share is the holder side: what a pool owner may use of the caps. It is not
// safe for concurrent use.
type Share struct {
	holder  host.Incarnation
	origins []originShare
	number  uint64
	sentAt  time.Duration // of the newest report
	// measuredAt is the time of the newest report that measured the demand.
	measuredAt time.Duration
	lowered    bool // by the newest grant, which answers a measuring report
	epoch      uint64
	expires    time.Duration
	stats      ShareStats
}

// ShareStats counts what a holder did with its shares.
type ShareStats struct {
	Acquired, OverConcurrent, OverBytes, Expired int64
	Applied, Ignored                             int64
}

type originShare struct {
	name             string
	limit            int
	rate             int64
	inUse, peak      int
	ranks            [MaxRanks]rankUse
	tokens           float64 // bytes; negative after larger answers than declared
	filledAt         time.Duration
	admitted, denied int64        // bytes since the previous report
	largest          int64        // largest request denied since the previous report, bytes
	last             OriginReport // the newest measured one
}

// rankUse is the use and demand of one rank.
type rankUse struct {
	inUse, peak, refused int
	waiting              int // slots
	// area is the integral of inUse since the previous report, in seconds.
	area float64
	at   time.Duration
}

// advance adds the use up to now to the area.
func (u *rankUse) advance(now time.Duration) {
	if now > u.at {
		u.area += float64(u.inUse) * (now - u.at).Seconds()
		u.at = now
	}
}

// NewShare returns the holder side of the pool owner with the given
// incarnation. origins names the other regions; Acquire refers to them by
// index.
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

// AcquireRank takes one slot and bytes from the share of an origin for a
// request that is about to be granted. It returns false if the share is used
// up or its time limit has passed. bytes is the body length plus the usual
// answer size. rank is 0 for the most urgent rank; demand of urgent ranks is
// satisfied first when the lessor divides the cap.
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
		o.deny(bytes)
		return false
	}
	o.fill(now)
	if o.tokens < float64(bytes) {
		s.stats.OverBytes++
		o.deny(bytes)
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

// deny notes the bytes of a request that was not admitted.
func (o *originShare) deny(bytes int64) {
	o.denied += bytes
	o.largest = max(o.largest, bytes)
}

// Release is ReleaseRank for the most urgent rank.
func (s *Share) Release(now time.Duration, origin int) { s.ReleaseRank(now, origin, 0) }

// ReleaseRank returns the slot of a request that has ended.
func (s *Share) ReleaseRank(now time.Duration, origin, rank int) {
	o := &s.origins[origin]
	use := &o.ranks[min(rank, MaxRanks-1)]
	if o.inUse == 0 || use.inUse == 0 {
		panic("shift: release without acquire")
	}
	use.advance(now)
	s.lowered = s.lowered || o.inUse > o.limit && now < s.expires
	o.inUse--
	use.inUse--
}

// Waiting tells how many more slots of an origin's share a rank could use, for
// the next report. Without it, demand beyond the share is found in small
// steps.
func (s *Share) Waiting(origin, rank, slots int) {
	s.origins[origin].ranks[min(rank, MaxRanks-1)].waiting = slots
}

// Charge adds bytes to an origin's debt, for an answer that was larger than
// declared. Later admissions pay for it.
func (s *Share) Charge(now time.Duration, origin int, bytes int64) {
	o := &s.origins[origin]
	o.fill(min(now, s.expires))
	o.tokens -= float64(bytes)
}

// Adopt counts requests that an earlier owner of a pool had granted and that
// are still in flight. They may exceed the share and are released as requests
// of the most urgent rank.
func (s *Share) Adopt(origin, requests int) {
	o := &s.origins[origin]
	o.inUse += requests
	o.peak = max(o.peak, o.inUse)
	o.ranks[0].inUse += requests
}

// fill adds the tokens since the last call. The depth follows the rate, so
// that the buckets of all holders together never hold more than the cap's.
func (o *originShare) fill(now time.Duration) {
	if now > o.filledAt {
		o.tokens += float64(o.rate) * (now - o.filledAt).Seconds()
		o.filledAt = now
	}
	o.tokens = min(o.tokens, float64(o.rate)*bucketDepth.Seconds())
}

// expire ends the shares whose time limit has passed. Tokens do not outlive
// their share.
func (s *Share) expire(now time.Duration) {
	if now < s.expires {
		return
	}
	for i := range s.origins {
		o := &s.origins[i]
		o.fill(s.expires)
		o.limit, o.rate = 0, 0
		o.tokens = min(o.tokens, 0)
		o.filledAt = now
	}
}

// Report returns the next report. The caller sends it to one lessor, at once.
// It voids all grants that answer earlier reports. Reports in quick succession
// repeat the demand of the one before.
func (s *Share) Report(now time.Duration) Report {
	s.expire(now)
	period := now - s.measuredAt
	measure := s.number == 0 || period >= minPeriod
	if s.number == 0 {
		period = time.Second
	}
	if measure {
		s.measuredAt = now
	}
	s.number++
	s.sentAt, s.lowered = now, false
	report := Report{Holder: s.holder, Number: s.number, Epoch: s.epoch}
	for i := range s.origins {
		o := &s.origins[i]
		if measure {
			o.measure(now, period)
		}
		r := o.last
		r.Origin, r.Concurrent, r.BytesPerSecond, r.InUse = o.name, o.limit, o.rate, o.inUse
		r.Peak = max(r.Peak, o.inUse)
		if r.Concurrent > 0 || r.BytesPerSecond > 0 || r.Peak > 0 || len(r.Want) > 0 || r.WantBytesPerSecond > 0 {
			report.Origins = append(report.Origins, r)
		}
	}
	return report
}

// Confirm tells whether part of the share has become free for other holders
// since the newest report: a grant has lowered the share, or a request beyond a
// lowered share has ended. A report sent at once passes it on. The caller asks
// after Apply and ReleaseRank; it is true at most ten times a second, besides
// once after each report that measures the demand.
func (s *Share) Confirm(now time.Duration) bool {
	return s.lowered && (s.sentAt == s.measuredAt || now-s.sentAt >= minPeriod)
}

// measure takes the demand since it was last measured.
func (o *originShare) measure(now, period time.Duration) {
	rate := int64(float64(o.admitted+o.denied) / period.Seconds())
	known := int64(float64(o.admitted) / period.Seconds())
	// A bucket must hold the largest request, or it could never pass. Demand
	// falls slowly, since large requests are rare.
	bytes := max(min(rate, 4*known+wantBytesStep), o.largest, o.last.WantBytesPerSecond*3/4)
	o.last = OriginReport{Peak: o.peak, WantBytesPerSecond: bytes}
	o.last.Want, o.last.Room = o.want(now, period)
	o.peak, o.admitted, o.denied, o.largest = o.inUse, 0, 0, 0
}

// want returns the mean demand by rank and the room for fluctuations, without
// ranks at the end that want nothing, and starts counting anew.
func (o *originShare) want(now, period time.Duration) (want, room []int) {
	var wants, rooms [MaxRanks]int
	count, mean := 0, 0.0
	for i := range o.ranks {
		o.ranks[i].advance(now)
		mean += o.ranks[i].area / period.Seconds()
	}
	used := mean >= usedPart*float64(o.limit)
	for i := range o.ranks {
		use := &o.ranks[i]
		wants[i] = min(use.peak, int(math.Ceil(use.area/period.Seconds())))
		rooms[i] = use.peak - wants[i]
		if use.refused > 0 {
			more := max(use.waiting, min(use.refused, use.peak/wantPart+wantStep))
			if used {
				wants[i] += more
			} else {
				rooms[i] += more
			}
		}
		if use.peak > 0 || use.refused > 0 {
			count = i + 1
			rooms[i]++
		}
		use.peak, use.refused, use.waiting, use.area = use.inUse, 0, 0, 0
	}
	if count == 0 {
		return nil, nil
	}
	return append(want, wants[:count]...), append(room, rooms[:count]...)
}

// Apply puts a grant into force and returns true, or ignores it. It ignores
// grants for another holder, of an earlier epoch, and answers to any report
// but the newest.
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
		o.fill(now)
		limit, rate := o.limit, o.rate
		o.limit, o.rate = 0, 0
		if k := slices.IndexFunc(g.Origins, func(og OriginGrant) bool { return og.Origin == o.name }); k >= 0 {
			o.limit, o.rate = g.Origins[k].Concurrent, g.Origins[k].BytesPerSecond
		}
		if g.Keep {
			o.limit, o.rate = min(o.limit, limit), min(o.rate, rate)
		}
		s.lowered = s.lowered || measured && (o.limit < limit || o.rate < rate)
		o.fill(now)
	}
	s.stats.Applied++
	return true
}

// InUse returns the shifted requests in flight of an origin.
func (s *Share) InUse(origin int) int { return s.origins[origin].inUse }

// Limit returns the share of an origin that is in force.
func (s *Share) Limit(now time.Duration, origin int) (concurrent int, bytesPerSecond int64) {
	if now >= s.expires {
		return 0, 0
	}
	return s.origins[origin].limit, s.origins[origin].rate
}

// Stats returns the present counts.
func (s *Share) Stats() ShareStats { return s.stats }
