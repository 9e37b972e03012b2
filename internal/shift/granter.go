package shift

import (
	"math"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

const (
	// DefaultValidity is the time limit of shares.
	DefaultValidity = 2 * time.Second
	// growthStep bounds the growth that is saved up for one raise.
	growthStep = 500 * time.Millisecond
	// headroom is how much growth may be granted ahead of its use.
	headroom = 500 * time.Millisecond
	// levelMemory is how long a level that was in use counts as warm. A pool
	// that changes its owner gets back to it without growing anew.
	levelMemory = 10 * time.Second
)

// GranterConfig sets up a Granter.
type GranterConfig struct {
	Epoch uint64
	// Validity is the time limit of shares; zero means DefaultValidity. It must
	// not be shorter than that of earlier granters.
	Validity time.Duration
	// LongestDeadline bounds the time from the grant of a slot to its release.
	LongestDeadline time.Duration
	Caps            []Cap
}

// Granter is the lessor side: it divides the caps among the holders. It is
// not safe for concurrent use.
type Granter struct {
	config  GranterConfig
	started time.Duration
	holders []*account // sorted by incarnation
	origins []*originState
	settled bool
	stats   GranterStats
}

type account struct {
	holder   host.Incarnation
	number   uint64
	lastHeld time.Duration // when the newest report arrived
	answer   Grant
	// learned is set once the holder has reported a share of this granter.
	learned bool
	origins []entry // same order as Granter.origins
}

// entry is what a holder may use of one cap.
type entry struct {
	reported OriginReport
	granted  OriginGrant
}

type originState struct {
	cap Cap
	// learned is the concurrency, learnedBytes the rate that learned holders
	// kept when this granter took over.
	learned      int
	learnedBytes int64
	credit       float64 // growth that may be granted now, in requests
	creditAt     time.Duration
	levels       []levelSample
}

type levelSample struct {
	at    time.Duration
	level int
}

// NewGranter returns a granter that takes over at now. No earlier granter may
// answer a report that arrives after now. Until the shares of the earlier one
// have run out, it divides only what holders report to have.
func NewGranter(now time.Duration, config GranterConfig) *Granter {
	if config.Validity <= 0 {
		config.Validity = DefaultValidity
	}
	g := &Granter{config: config, started: now}
	g.SetCaps(now, config.Caps)
	return g
}

// SetCaps replaces the caps. A lowered cap holds once the holders have renewed
// or the time limit of their shares has passed. All origins of a deployment
// must be listed from the start; caps of unknown origins are added.
func (g *Granter) SetCaps(now time.Duration, caps []Cap) {
	for _, o := range g.origins {
		o.cap = Cap{Origin: o.cap.Origin}
	}
	for _, c := range caps {
		i := g.index(c.Origin)
		if i < 0 {
			g.origins = append(g.origins, &originState{creditAt: now})
			for _, a := range g.holders {
				a.origins = append(a.origins, entry{})
			}
			i = len(g.origins) - 1
		}
		g.origins[i].cap = c
	}
}

func (g *Granter) index(origin string) int {
	return slices.IndexFunc(g.origins, func(o *originState) bool { return o.cap.Origin == origin })
}

// Grant answers a report with the holder's new share. It returns false for a
// report that is older than one already answered, and for one that has seen a
// later epoch, which means that this granter has been replaced.
func (g *Granter) Grant(now time.Duration, r Report) (Grant, bool) {
	if r.Epoch > g.config.Epoch {
		g.stats.Ignored++
		return Grant{}, false
	}
	g.forget(now)
	a, known := g.account(r.Holder)
	if known && r.Number <= a.number {
		g.stats.Ignored++
		return a.answer, r.Number == a.number
	}
	g.record(now, a, r)
	a.answer = Grant{Holder: r.Holder, Answers: r.Number, Epoch: g.config.Epoch, Validity: g.config.Validity}
	a.answer.Keep = g.learning(now) && !a.learned
	for i, o := range g.origins {
		e := &a.origins[i]
		granted := OriginGrant{Origin: o.cap.Origin}
		if a.answer.Keep {
			granted.Concurrent = min(e.reported.Concurrent, o.cap.Concurrent)
			granted.BytesPerSecond = min(e.reported.BytesPerSecond, o.cap.BytesPerSecond)
		} else {
			granted.Concurrent = g.concurrent(now, i, a)
			granted.BytesPerSecond = g.bytes(now, i, a)
		}
		e.granted = granted
		if e.granted.Concurrent > 0 || e.granted.BytesPerSecond > 0 {
			a.answer.Origins = append(a.answer.Origins, e.granted)
		}
	}
	g.stats.Granted++
	return a.answer, true
}

// account finds or adds the account of a holder.
func (g *Granter) account(holder host.Incarnation) (*account, bool) {
	if a, ok := g.find(holder); ok {
		return a, true
	}
	a := &account{holder: holder, origins: make([]entry, len(g.origins))}
	i := slices.IndexFunc(g.holders, func(b *account) bool { return b.holder > holder })
	if i < 0 {
		i = len(g.holders)
	}
	g.holders = slices.Insert(g.holders, i, a)
	return a, false
}

// record takes over what the report says. Grants that answer earlier reports
// are void, so that the reported share is the one in force.
func (g *Granter) record(now time.Duration, a *account, r Report) {
	first := !a.learned && r.Epoch == g.config.Epoch
	a.learned = a.learned || first
	first = first && g.learning(now)
	a.number, a.lastHeld = r.Number, now
	for i, o := range g.origins {
		e := &a.origins[i]
		*e = entry{granted: OriginGrant{Origin: o.cap.Origin}}
		if k := slices.IndexFunc(r.Origins, func(or OriginReport) bool { return or.Origin == o.cap.Origin }); k >= 0 {
			e.reported = r.Origins[k]
		}
		if first {
			// Adopted requests may be counted in another holder's share already.
			o.learned += e.reported.Concurrent
			o.learnedBytes += e.reported.BytesPerSecond
		}
		// Peaks of holders at different times may add up to more than was ever
		// granted.
		o.noteLevel(now, min(g.peaks(i), g.limits(i)))
	}
}

// learning tells whether holders that have not reported yet may have shares
// of an earlier granter, or requests in flight under them.
func (g *Granter) learning(now time.Duration) bool {
	if g.settled {
		return now < g.started+g.config.Validity
	}
	return now < g.started+g.config.Validity+g.config.LongestDeadline
}

// forget drops holders whose shares and requests have ended. The bytes of a
// silent holder are free as soon as its time limit has passed.
func (g *Granter) forget(now time.Duration) {
	g.holders = slices.DeleteFunc(g.holders, func(a *account) bool {
		return now >= a.lastHeld+g.config.Validity+g.config.LongestDeadline
	})
	for _, a := range g.holders {
		if now < a.lastHeld+g.config.Validity {
			continue
		}
		for i := range a.origins {
			e := &a.origins[i]
			e.reported.BytesPerSecond, e.granted.BytesPerSecond = 0, 0
			e.reported.Want, e.reported.Room, e.reported.WantBytesPerSecond, e.reported.Peak = nil, nil, 0, 0
		}
	}
}

// concurrent is the most requests that the holder may have in flight: those of
// the share that it reported or of the one granted since, or those in flight
// from a larger share before.
func (e *entry) concurrent() int { return max(e.limit(), e.reported.InUse) }

func (e *entry) limit() int { return max(e.reported.Concurrent, e.granted.Concurrent) }

func (e *entry) bytes() int64 { return max(e.reported.BytesPerSecond, e.granted.BytesPerSecond) }

func (g *Granter) total(origin int) int {
	sum := 0
	for _, a := range g.holders {
		sum += a.origins[origin].concurrent()
	}
	return sum
}

// others sums what all other holders may use. While learning, holders that
// are not learned yet use shares of the earlier granter, which learned does
// not contain.
func (g *Granter) others(now time.Duration, origin int, a *account) (concurrent int, bytes int64) {
	learning := g.learning(now)
	for _, h := range g.holders {
		if h != a && (h.learned || !learning) {
			concurrent += h.origins[origin].concurrent()
			bytes += h.origins[origin].bytes()
		}
	}
	return concurrent, bytes
}

// wants lists the demands of the holders, with the index of a.
func (g *Granter) wants(a *account, want func(*account) int64) (wants []int64, self int) {
	wants = make([]int64, len(g.holders))
	for i, h := range g.holders {
		wants[i] = want(h)
		if h == a {
			self = i
		}
	}
	return wants, self
}

func (g *Granter) limits(origin int) int {
	sum := 0
	for _, a := range g.holders {
		sum += a.origins[origin].limit()
	}
	return sum
}

func (g *Granter) peaks(origin int) int {
	sum := 0
	for _, a := range g.holders {
		sum += a.origins[origin].reported.Peak
	}
	return sum
}

// concurrent decides the share of concurrency of a holder that has just
// reported.
func (g *Granter) concurrent(now time.Duration, origin int, a *account) int {
	o := g.origins[origin]
	e := &a.origins[origin]
	others, _ := g.others(now, origin, a)
	total, level := others+e.concurrent(), o.level(now)
	o.accrue(now, total, level)
	ceiling := o.ceiling(total, level)
	if g.learning(now) {
		ceiling = min(ceiling, o.learned)
	}
	share := min(g.fair(origin, a, ceiling), max(0, ceiling-others))
	// Growth up to the level lately in use is free, since its caches are warm.
	if rise := others + max(e.concurrent(), share) - max(total, level); rise > 0 {
		o.credit -= float64(rise)
	}
	return share
}

// fair is the holder's part of a concurrency: the demand of the most urgent
// rank comes first, and is divided by max-min fairness. What is left is given
// out in the same order as room for fluctuations until the next report.
func (g *Granter) fair(origin int, a *account, total int) int {
	left, part := int64(total), int64(0)
	for _, list := range []func(*OriginReport) []int{wanted, room} {
		for rank := range MaxRanks {
			wants, self := g.wants(a, func(h *account) int64 { return at(list(&h.origins[origin].reported), rank) })
			parts := divide(left, wants)
			part += parts[self]
			for _, p := range parts {
				left -= p
			}
		}
	}
	return int(part)
}

func wanted(r *OriginReport) []int { return r.Want }

func room(r *OriginReport) []int { return r.Room }

func at(list []int, rank int) int64 {
	if rank >= len(list) {
		return 0
	}
	return int64(max(0, list[rank]))
}

func (g *Granter) bytes(now time.Duration, origin int, a *account) int64 {
	o := g.origins[origin]
	ceiling := o.cap.BytesPerSecond
	if g.learning(now) {
		ceiling = min(ceiling, o.learnedBytes)
	}
	_, others := g.others(now, origin, a)
	wants, self := g.wants(a, func(h *account) int64 { return h.origins[origin].reported.WantBytesPerSecond })
	return min(divideSpare(ceiling, wants)[self], max(0, ceiling-others))
}

// accrue saves up growth, at most growthStep's worth or one request, and none
// while earlier growth is unused.
func (o *originState) accrue(now time.Duration, total, level int) {
	depth := max(1, o.cap.GrowthPerSecond*growthStep.Seconds())
	o.credit = min(depth, o.credit+o.cap.GrowthPerSecond*(now-o.creditAt).Seconds())
	o.creditAt = now
	if total >= o.ahead(level) {
		o.credit = min(o.credit, 0)
	}
}

// ahead is the most that may be granted above the level lately in use.
func (o *originState) ahead(level int) int {
	return level + int(math.Ceil(o.cap.GrowthPerSecond*headroom.Seconds()))
}

// ceiling is what all shares together may be now: the cap, and above the level
// lately in use no more than the growth since.
func (o *originState) ceiling(total, level int) int {
	grown := min(total+int(max(0, o.credit)), o.ahead(level))
	return min(o.cap.Concurrent, max(level, grown))
}

func (o *originState) noteLevel(now time.Duration, level int) {
	for len(o.levels) > 0 && o.levels[len(o.levels)-1].level <= level {
		o.levels = o.levels[:len(o.levels)-1]
	}
	o.levels = append(o.levels, levelSample{at: now, level: level})
}

// level is the highest use in the last levelMemory. The samples have falling
// levels.
func (o *originState) level(now time.Duration) int {
	for len(o.levels) > 0 && o.levels[0].at+levelMemory < now {
		o.levels = o.levels[1:]
	}
	if len(o.levels) == 0 {
		return 0
	}
	return o.levels[0].level
}
