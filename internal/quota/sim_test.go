package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the simulated deployment.
const (
	simDomainDelay = time.Millisecond
	simRegionDelay = 55 * time.Millisecond
	simStoreDelay  = 3 * time.Millisecond
	simMirrorTime  = 300 * time.Millisecond
	simRPCTimeout  = 80 * time.Millisecond
	simFarTimeout  = 200 * time.Millisecond
)

var simRegions = []string{"r0", "r1", "r2"}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fault is a rule of the protocol that a simulation breaks, to test the checker.
type fault int

const (
	noFault fault = iota
	issuerStartsFull
	twoIssuers
	tokensDoNotExpire
	transfersRepeated
	restoredItemCounts
	// unsettledStartLevel gives each process that takes over a start level, settledAtOnce
	// settles items at once.
	unsettledStartLevel
	settledAtOnce
	// noStartLevel breaks no rule.
	noStartLevel
)

// sim is a deployment in virtual time.
type sim struct {
	rng      *rand.Rand
	now      time.Duration
	events   simEvents
	seq      int
	bounds   Bounds
	limits   map[string]Limit
	store    *simStore
	hosts    []*simHost
	loss     float64
	fault    fault
	checkers map[string]*checker
	asked    map[string]int
	served   map[string]int
	// owed counts the requests that a single token bucket of the limit would admit.
	owed     map[string]int
	buckets  map[string]*bucket
	verdicts map[Verdict]int
	messages int
	wants    int
	// noWaitAtStart is set if requests do not wait for issuers that start.
	noWaitAtStart bool
	// startLevels counts the issuers that had a start level.
	startLevels int
	// traffic is measured by host if it is not nil.
	traffic map[string]*traffic
}

// traffic counts the messages that a host got as an issuer, and their bytes with those of
// its answers.
type traffic struct{ messages, wants, received, sent int }

// simHost is a host with its clock; proc is its process, nil while there is none.
type simHost struct {
	sim         *sim
	name        string
	region      string
	rank        int
	group       int // hosts of different groups do not reach each other
	storeCut    bool
	frozenUntil time.Duration
	clockRate   float64
	incarnation int64
	proc        *simProc
}

func newSim(seed uint64, hosts int, limits map[string]Limit) *sim {
	return newSimWith(seed, hosts, testBounds, limits, noFault)
}

func newSimWith(seed uint64, hosts int, bounds Bounds, limits map[string]Limit, broken fault) *sim {
	s := &sim{
		fault: broken,
		rng:   rand.New(rand.NewPCG(seed, 1)), bounds: bounds, limits: limits, store: newSimStore(),
		checkers: map[string]*checker{}, asked: map[string]int{}, served: map[string]int{}, owed: map[string]int{}, buckets: map[string]*bucket{}, verdicts: map[Verdict]int{},
	}
	for name, l := range limits {
		s.checkers[name] = &checker{bounds: s.bounds, limits: []limitChange{{0, l}}}
	}
	for n := range hosts {
		h := &simHost{sim: s, name: fmt.Sprint("h", n), region: simRegions[n%3], rank: n / 3, clockRate: 1}
		s.hosts = append(s.hosts, h)
		h.start()
	}
	return s
}

func (s *sim) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{max(t, s.now), s.seq, run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// runUntil runs the events up to a time.
func (s *sim) runUntil(t time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= t {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = t
}

// clock returns a host's clock, which runs fast or slow.
func (h *simHost) clock() time.Duration {
	return time.Hour + time.Duration(h.clockRate*float64(h.sim.now))
}

// request is a request of a workspace that arrives at a host.
func (s *sim) request(h *simHost, workspace string) {
	s.asked[workspace]++
	if s.buckets[workspace] == nil {
		s.buckets[workspace] = &bucket{level: s.limits[workspace].Burst}
	}
	if s.buckets[workspace].take(s.now, s.limits[workspace]) {
		s.owed[workspace]++
	}
	p := h.proc
	if p == nil {
		return
	}
	p.on(func() {
		p.nextID++
		id := uint64(slices.Index(s.hosts, h))<<40 | uint64(h.incarnation)<<24 | p.nextID
		pendingWorkspaces[id] = workspace
		r := p.client.Request(h.clock(), id, workspace, s.limits[workspace], h.clock()+time.Second)
		if r.Verdict != Waiting {
			s.decided(r)
			return
		}
		p.poll()
	})
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) take(now time.Duration, l Limit) bool {
	b.level = min(b.level+l.RatePerSecond*(now-b.at).Seconds(), l.Burst)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// pendingWorkspaces holds the workspaces of requests without a decision, by ID.
var pendingWorkspaces = map[uint64]string{}

func (s *sim) decided(r Resolution) {
	workspace := pendingWorkspaces[r.ID]
	delete(pendingWorkspaces, r.ID)
	s.verdicts[r.Verdict]++
	if r.Verdict != Granted {
		return
	}
	s.served[workspace]++
	s.checkers[workspace].attempt(s.now)
}

// load lets requests of a workspace arrive at random times. rate returns the requests per
// second and a function that picks a host.
func (s *sim) load(workspace string, until time.Duration, rate func() (float64, *simHost)) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		perSecond, h := rate()
		if h != nil {
			s.request(h, workspace)
		}
		s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

func (s *sim) violation() string {
	for _, name := range slices.Sorted(maps.Keys(s.checkers)) {
		c := s.checkers[name]
		if v := c.violation(); v != "" {
			return name + ": " + v
		}
	}
	return ""
}
