// Package route chooses the region that serves a request. Each entry host
// decides independently, from delayed digests of other regions and from the
// outcomes of its own requests.
//
// A Table is not safe for concurrent use.
// Table.Tick returns an immutable Plan, which many goroutines may use at once.
// Times are durations since the monotonic origin of the process.
//
// The spill of a service and rank is the share of its requests that this host
// shifts to other regions.
package route

import (
	"math"
	"time"
)

// MaxDigestAge is the age beyond which a digest is ignored.
const MaxDigestAge = 5 * time.Second

// Settings describes the deployment as seen from one entry host.
type Settings struct {
	// Regions lists all regions; requests, results and digests refer to them by
	// index. Local is the index of this entry host's region.
	Regions []Region
	Local   int
	// Services and Ranks are referred to by index, too.
	Services []Service
	Ranks    []Rank
	// Hosts is the number of entry hosts that may send to another region at the
	// same time, including this one. LocalHosts is the number of entry hosts of
	// the local region.
	Hosts, LocalHosts int
}

// Region describes a region as seen from the local region.
type Region struct {
	Name string
	// Delay is the one-way network delay between the region and the local one.
	Delay time.Duration
}

// Service holds the properties of a service that routing needs.
type Service struct {
	Name string
	// ServiceTime is the expected time to serve one request.
	ServiceTime time.Duration
}

// Rank holds the properties of a rank that routing needs.
type Rank struct {
	Name string
	// Target is the response time within which an answer counts as in time.
	Target time.Duration
}

// View is the state of one pool for one rank, as reported by a digest.
type View struct {
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// Free is the number of slots that the rank could use now. Slots is the
	// number of configured slots of the pool, or 0 if it is unknown.
	Free, Slots int
}

// loopKey identifies a control loop. Requests that originate in another region
// have separate loops, since caps apply to them in the local region too.
type loopKey struct {
	service, rank int
	shifted       bool
}

// resultCounts are exponentially decaying counts of requests sent and accepted.
type resultCounts struct{ sent, accepted float64 }

// controlLoop is the state of one control loop.
type controlLoop struct {
	offered    resultCounts   // accepted is unused
	results    []resultCounts // by region
	refused    float64        // decaying count of the requests that Decide refused
	shares     []float64      // by region: share of requests sent there; zero for the local region
	admitShare float64        // share of the requests for the local region that Decide does not advise to refuse

	direction  int // of the last change of the spill: 1 for an increase, -1 for a decrease
	reversals  int
	lastChange time.Duration
	history    spillHistory
}

// poolTrend tracks the wait and the load of a pool for one rank.
type poolTrend struct {
	at    time.Duration
	wait  time.Duration
	slope float64 // smoothed change of the wait, in seconds per second
	load  float64 // smoothed utilization of the slots, 0 to 1; zero if unknown
}

// trendTimeConstant is the time constant of the smoothing in poolTrend.
const trendTimeConstant = time.Second

// observe adds a view measured at time at.
func (t *poolTrend) observe(at time.Duration, view View) {
	elapsed := at - t.at
	if elapsed <= 0 {
		return
	}
	load := 0.0
	if view.Slots > 0 {
		load = float64(view.Slots-view.Free) / float64(view.Slots)
	}
	if elapsed > MaxDigestAge {
		*t = poolTrend{at: at, wait: view.Wait, load: load}
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/trendTimeConstant.Seconds())
	t.slope += (float64(view.Wait-t.wait)/float64(elapsed) - t.slope) * weight
	t.load += (load - t.load) * weight
	t.at, t.wait = at, view.Wait
}

// spillHistory is a ring buffer of a control loop's recent spill.
type spillHistory struct {
	at    [64]time.Duration
	spill [64]float64
	next  int
}

// historyInterval is the minimum time between entries of a spillHistory. The
// whole history covers more than MaxDigestAge.
const historyInterval = 100 * time.Millisecond

func (h *spillHistory) add(now time.Duration, spill float64) {
	last := (h.next + len(h.at) - 1) % len(h.at)
	if now-h.at[last] < historyInterval && h.next > 0 {
		return
	}
	h.at[h.next%len(h.at)], h.spill[h.next%len(h.at)] = now, spill
	h.next++
}

// spillAt returns the spill at an earlier time, or the oldest recorded spill if
// the history does not reach back that far.
func (h *spillHistory) spillAt(at time.Duration) float64 {
	spill := 0.0
	for i := h.next - 1; i >= 0 && i >= h.next-len(h.at); i-- {
		spill = h.spill[i%len(h.at)]
		if h.at[i%len(h.at)] <= at {
			break
		}
	}
	return spill
}

// Table holds the latest views of all pools and the control loops of this host.
type Table struct {
	settings   Settings
	views      []View          // by region, service and rank
	observedAt []time.Duration // when the views were measured, by region and service
	up         []bool          // whether the pool can serve requests, by region and service
	trends     []poolTrend     // of the local region, by service and rank
	loops      []controlLoop
	lastTick   time.Duration
}

// never stands for the time of an event that has not happened.
const never = time.Duration(math.MinInt64 / 2)

// NewTable returns a table without views. Until the first Tick after a view of
// the local pool arrives, plans send its requests to the local region.
func NewTable(settings Settings) *Table {
	pools := len(settings.Regions) * len(settings.Services)
	t := &Table{
		settings:   settings,
		views:      make([]View, pools*len(settings.Ranks)),
		observedAt: make([]time.Duration, pools),
		up:         make([]bool, pools),
		trends:     make([]poolTrend, len(settings.Services)*len(settings.Ranks)),
		loops:      make([]controlLoop, 2*len(settings.Services)*len(settings.Ranks)),
		lastTick:   never,
	}
	for i := range t.observedAt {
		t.observedAt[i] = never
	}
	for i := range t.loops {
		t.loops[i] = controlLoop{
			results:    make([]resultCounts, len(settings.Regions)),
			shares:     make([]float64, len(settings.Regions)),
			admitShare: 1,
		}
	}
	return t
}

func (t *Table) pool(region, service int) int { return region*len(t.settings.Services) + service }

func (s *Settings) loopIndex(k loopKey) int {
	i := 2 * (k.service*len(s.Ranks) + k.rank)
	if k.shifted {
		i++
	}
	return i
}

// Observe records the digest of the pool of a service in a region: one view per
// rank, measured at time at. up is false if the pool has no owner or no usable
// backend server. Observe ignores digests that are older than the recorded one.
func (t *Table) Observe(region, service int, at time.Duration, up bool, views []View) {
	p := t.pool(region, service)
	if at < t.observedAt[p] {
		return
	}
	t.observedAt[p], t.up[p] = at, up
	ranks := len(t.settings.Ranks)
	copy(t.views[p*ranks:(p+1)*ranks], views)
	if region == t.settings.Local {
		for rank, view := range views {
			t.trends[service*ranks+rank].observe(at, view)
		}
	}
}

// MarkRegionLost marks all pools of a region as unable to serve requests until
// newer observations arrive.
func (t *Table) MarkRegionLost(region int, at time.Duration) {
	// Not called by entry hosts: a lost region's digests exceed MaxDigestAge.
	for service := range t.settings.Services {
		p := t.pool(region, service)
		if at >= t.observedAt[p] {
			t.observedAt[p], t.up[p] = at, false
		}
	}
}

// RecordResult records whether a region accepted a request that was sent to it.
// Only not-run outcomes for lack of capacity count as refusals: late,
// queue-full, shift-cap, no-owner, no-server and busy.
func (t *Table) RecordResult(r Request, region int, accepted bool) {
	c := &t.loops[t.settings.loopIndex(r.key())]
	c.offered.sent++
	c.results[region].sent++
	if accepted {
		c.results[region].accepted++
	}
}

// RecordRefusal records that Plan.Decide refused a request, whether or not the
// request is then sent to the local pool after all.
func (t *Table) RecordRefusal(r Request) {
	c := &t.loops[t.settings.loopIndex(r.key())]
	c.offered.sent++
	c.refused++
}

// Shares returns, by region, the share of the requests of a service and rank with
// local origin that is sent there. The local region is included.
func (t *Table) Shares(service, rank int) []float64 {
	c := &t.loops[t.settings.loopIndex(loopKey{service: service, rank: rank})]
	shares := append([]float64(nil), c.shares...)
	shares[t.settings.Local] = 1 - c.spill()
	return shares
}

// Reversals returns how many times the spill of a service and rank with local
// origin has changed direction.
func (t *Table) Reversals(service, rank int) int {
	return t.loops[t.settings.loopIndex(loopKey{service: service, rank: rank})].reversals
}
