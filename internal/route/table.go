// Package route chooses the region that serves a request. Each entry host
// decides alone, from digests of other regions that lag and from the outcomes
// of its own requests.
//
// A Table is a state machine without locks: its caller serializes Observe,
// Result, Refused and Tick. Tick returns an immutable Plan, whose Decide may
// be called by many goroutines. Times are durations since the monotonic
// origin of the process.
package route

import (
	"math"
	"time"
)

// MaxDigestAge is the age from which on a digest is not used.
const MaxDigestAge = 5 * time.Second

// Settings describes the deployment as seen from one entry host.
type Settings struct {
	// Regions lists all regions; requests, results and digests refer to them by
	// index. Local is the region of this entry host.
	Regions []Region
	Local   int
	// Services and Ranks are referred to by index.
	Services []Service
	Ranks    []Rank
	// Hosts is the number of entry hosts that may send to a region at the same
	// time as this one, itself included, LocalHosts those of this region.
	Hosts, LocalHosts int
}

// Region is a region as seen from the local one.
type Region struct {
	Name string
	// Delay is the one-way delay between it and the local region.
	Delay time.Duration
}

// Service is a service as far as routing needs it.
type Service struct {
	Name string
	// ServiceTime is the expected time to serve one request.
	ServiceTime time.Duration
}

// Rank is a rank as far as routing needs it.
type Rank struct {
	Name string
	// Target is the time within which an answer counts as in time.
	Target time.Duration
}

// View is what a digest or a pool hint tells about one service and rank in
// one region.
type View struct {
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// Free is the number of slots that the rank could use now, Slots the number
	// of usable slots of the pool.
	Free, Slots int
}

// cellKey selects a control loop. Requests whose origin is another region have
// their own, since caps apply to them in the local region too.
type cellKey struct {
	service, rank int
	shifted       bool
}

// counter is an exponentially decaying count.
type counter struct{ sent, accepted float64 }

// cell is the control loop of one service, rank and kind of origin.
type cell struct {
	offered counter   // accepted is unused
	results []counter // per region
	refused float64   // by this host, without being sent
	shares  []float64 // share of requests sent to each other region
	admit   float64   // share of the requests for the local region that is sent there

	direction  int // of the last change of the spill: 1 up, -1 down
	reversals  int
	lastChange time.Duration
	history    history
}

// trend follows the wait of a pool for one rank.
type trend struct {
	at    time.Duration
	wait  time.Duration
	slope float64 // smoothed change of the wait, in seconds per second
	load  float64 // smoothed share of the slots in use, zero if unknown
}

// trendTime is the time constant of slopes.
const trendTime = time.Second

// observe adds a view measured at time at.
func (t *trend) observe(at time.Duration, view View) {
	elapsed := at - t.at
	if elapsed <= 0 {
		return
	}
	load := 0.0
	if view.Slots > 0 {
		load = float64(view.Slots-view.Free) / float64(view.Slots)
	}
	if elapsed > MaxDigestAge {
		*t = trend{at: at, wait: view.Wait, load: load}
		return
	}
	part := 1 - math.Exp(-elapsed.Seconds()/trendTime.Seconds())
	t.slope += (float64(view.Wait-t.wait)/float64(elapsed) - t.slope) * part
	t.load += (load - t.load) * part
	t.at, t.wait = at, view.Wait
}

// history has the spill of a cell in the recent past.
type history struct {
	at    [64]time.Duration
	spill [64]float64
	next  int
}

// historyStep is the distance of the entries of a history. All entries
// together reach back further than MaxDigestAge.
const historyStep = 100 * time.Millisecond

func (h *history) add(now time.Duration, spill float64) {
	last := (h.next + len(h.at) - 1) % len(h.at)
	if now-h.at[last] < historyStep && h.next > 0 {
		return
	}
	h.at[h.next%len(h.at)], h.spill[h.next%len(h.at)] = now, spill
	h.next++
}

// spillAt returns the spill at an earlier time, the oldest known one if that
// is too long ago.
func (h *history) spillAt(at time.Duration) float64 {
	spill := 0.0
	for i := h.next - 1; i >= 0 && i >= h.next-len(h.at); i-- {
		spill = h.spill[i%len(h.at)]
		if h.at[i%len(h.at)] <= at {
			break
		}
	}
	return spill
}

// Table holds the views of all regions and the control loops of this host.
type Table struct {
	settings Settings
	views    []View          // by region, service and rank
	at       []time.Duration // when a view was measured, by region and service
	up       []bool          // by region and service
	trends   []trend         // of the local region, by service and rank
	cells    []cell
	ticked   time.Duration
}

// never is the age of views that were not observed yet.
const never = time.Duration(math.MinInt64 / 2)

// NewTable returns a table without views. Until the first Tick after local
// views arrive, everything is served locally.
func NewTable(settings Settings) *Table {
	pools := len(settings.Regions) * len(settings.Services)
	t := &Table{
		settings: settings,
		views:    make([]View, pools*len(settings.Ranks)),
		at:       make([]time.Duration, pools),
		up:       make([]bool, pools),
		trends:   make([]trend, len(settings.Services)*len(settings.Ranks)),
		cells:    make([]cell, 2*len(settings.Services)*len(settings.Ranks)),
		ticked:   never,
	}
	for i := range t.at {
		t.at[i] = never
	}
	for i := range t.cells {
		t.cells[i] = cell{
			results: make([]counter, len(settings.Regions)),
			shares:  make([]float64, len(settings.Regions)),
			admit:   1,
		}
	}
	return t
}

func (t *Table) pool(region, service int) int { return region*len(t.settings.Services) + service }

func (s *Settings) cell(k cellKey) int {
	i := 2 * (k.service*len(s.Ranks) + k.rank)
	if k.shifted {
		i++
	}
	return i
}

// Observe takes over a digest or a hint about the pool of a service in a
// region: one view per rank, measured at time at. up is false when the pool
// has no owner or no usable server. Older observations are ignored.
func (t *Table) Observe(region, service int, at time.Duration, up bool, views []View) {
	p := t.pool(region, service)
	if at < t.at[p] {
		return
	}
	t.at[p], t.up[p] = at, up
	ranks := len(t.settings.Ranks)
	copy(t.views[p*ranks:(p+1)*ranks], views)
	if region == t.settings.Local {
		for rank, view := range views {
			t.trends[service*ranks+rank].observe(at, view)
		}
	}
}

// Lost marks all pools of a region as lost until newer observations arrive.
func (t *Table) Lost(region int, at time.Duration) {
	for service := range t.settings.Services {
		p := t.pool(region, service)
		if at >= t.at[p] {
			t.at[p], t.up[p] = at, false
		}
	}
}

// RecordResult notes whether a region accepted a request that was sent there.
// Refusals are not-run outcomes for lack of capacity: late, queue-full,
// shift-cap, no-owner, no-server and busy.
func (t *Table) RecordResult(r Request, region int, accepted bool) {
	c := &t.cells[t.settings.cell(r.key())]
	c.offered.sent++
	c.results[region].sent++
	if accepted {
		c.results[region].accepted++
	}
}

// RecordRefusal notes that Decide refused a request.
func (t *Table) RecordRefusal(r Request) {
	c := &t.cells[t.settings.cell(r.key())]
	c.offered.sent++
	c.refused++
}

// Shares returns the share of requests of a service and rank with local origin
// that goes to each region, the local one included.
func (t *Table) Shares(service, rank int) []float64 {
	c := &t.cells[t.settings.cell(cellKey{service: service, rank: rank})]
	shares := append([]float64(nil), c.shares...)
	shares[t.settings.Local] = 1 - c.spill()
	return shares
}

// Reversals returns how often the spill of a service and rank with local
// origin has changed its direction.
func (t *Table) Reversals(service, rank int) int {
	return t.cells[t.settings.cell(cellKey{service: service, rank: rank})].reversals
}
