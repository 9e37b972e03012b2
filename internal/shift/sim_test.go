package shift

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

const (
	simStep     = 20 * time.Millisecond
	simPeriod   = 500 * time.Millisecond // between regular reports of a holder
	simDeadline = 4 * time.Second        // LongestDeadline of the granters; requests take up to simStep longer
	simHolders  = 12
)

var simCaps = []Cap{
	// The simulated requests exhaust the bytes of the first cap and the
	// concurrency of the second one.
	{Origin: "nordur", Concurrent: 200, BytesPerSecond: 40 << 10, GrowthPerSecond: 60},
	{Origin: "austur", Concurrent: 40, BytesPerSecond: 1 << 20, GrowthPerSecond: 20},
}

// holderPort has the methods of Share that tests may replace by faulty ones.
type holderPort interface {
	Acquire(now time.Duration, origin int, bytes int64) bool
	Release(now time.Duration, origin int)
	Adopt(origin, requests int)
	Report(now time.Duration) Report
	Apply(now time.Duration, g Grant) bool
	ReportDue(now time.Duration) bool
	Limit(now time.Duration, origin int) (concurrent int, bytesPerSecond int64)
}

// granterPort has the methods of Granter that tests may replace by faulty ones.
type granterPort interface {
	Grant(now time.Duration, r Report) (Grant, bool)
}

type simHolder struct {
	id          host.Incarnation
	port        holderPort
	next        time.Duration // time of the next report
	pausedUntil time.Duration
	cutOffUntil time.Duration // messages of the holder are lost until then
	demand      int           // attempted requests per step
	released    []int         // by origin: ended requests that are not released yet
}

type pendingRequest struct {
	end    time.Duration
	origin int
	holder *simHolder
}

type message struct {
	at  time.Duration
	run func()
}

// simulation runs holders and successive granters in virtual time, with delayed,
// lost, duplicated and reordered messages, pauses and crashes, and checks all
// bounds of the caps.
type simulation struct {
	rng              *rand.Rand
	now              time.Duration
	disturbance      float64 // scales the rate of faults, from 0 to 1
	active           float64 // probability that a holder has demand
	holders          []*simHolder
	granter          *Granter
	port             granterPort
	epoch            uint64
	granterDownUntil time.Duration
	next             host.Incarnation // the newest incarnation
	requests         []pendingRequest
	messages         []message
	wrapShare        func(*Share) holderPort
	wrapGranter      func(*Granter) granterPort

	// All slices but faults are by origin.
	inFlight []int
	bucket   []float64  // bytes
	granted  [][]sample // by time
	faults   []string
	used     []float64 // integral of inFlight over time, in request seconds
	admitted []int64   // bytes
}

// sample is the Granter's maxInFlight of an origin at a time.
type sample struct {
	at          time.Duration
	maxInFlight int
}

func newSimulation(rng *rand.Rand, disturbance, active float64) *simulation {
	return &simulation{
		rng: rng, disturbance: disturbance, active: active,
		inFlight: make([]int, len(simCaps)), bucket: make([]float64, len(simCaps)), granted: make([][]sample, len(simCaps)),
		used: make([]float64, len(simCaps)), admitted: make([]int64, len(simCaps)),
		wrapShare: func(s *Share) holderPort { return s }, wrapGranter: func(g *Granter) granterPort { return g },
	}
}

func (w *simulation) start() {
	for i, c := range simCaps {
		w.bucket[i] = float64(c.BytesPerSecond)
	}
	w.replaceGranter(false)
	for range simHolders {
		w.holders = append(w.holders, w.newHolder())
	}
}

func (w *simulation) run(length time.Duration) {
	if w.granter == nil {
		w.start()
	}
	for ; w.now < length; w.now += simStep {
		w.refill()
		w.endRequests()
		w.deliver()
		w.disturb()
		w.checkRates()
		if w.now > w.granterDownUntil && w.allRequestsReported() {
			w.granter.MarkReportsComplete()
		}
		for _, h := range w.holders {
			w.stepHolder(h)
		}
	}
}

func (w *simulation) newHolder() *simHolder {
	w.next++
	return &simHolder{
		id:   w.next,
		port: w.wrapShare(NewShare(w.next, []string{simCaps[0].Origin, simCaps[1].Origin})),
		next: w.now + time.Duration(w.rng.Int63n(int64(simPeriod))), released: make([]int, len(simCaps)),
		demand: w.demand(),
	}
}

// demand draws the number of requests that a holder attempts per step.
func (w *simulation) demand() int {
	if w.rng.Float64() >= w.active {
		return 0
	}
	return w.rng.Intn(3) + 1
}

func (w *simulation) replaceGranter(handover bool) {
	w.epoch++
	config := GranterConfig{Epoch: w.epoch, LongestDeadline: simDeadline, Caps: simCaps}
	if handover && !w.granter.Rebuilding(w.now) {
		w.granter = Resume(w.now, config, w.granter.State(w.now))
	} else {
		w.granter = NewGranter(w.now, config)
	}
	w.port = w.wrapGranter(w.granter)
}

// disturb replaces granters and crashes, pauses and cuts off holders at random.
func (w *simulation) disturb() {
	p := func(perSecond float64) bool { return w.rng.Float64() < w.disturbance*perSecond*simStep.Seconds() }
	if p(0.05) {
		w.replaceGranter(p(25))
		w.granterDownUntil = w.now + time.Duration(w.rng.Int63n(int64(time.Second)))
	}
	for i, h := range w.holders {
		switch {
		case p(0.02):
			w.crash(i, p(25))
		case p(0.03):
			h.pausedUntil = w.now + time.Duration(w.rng.Int63n(int64(12*time.Second)))
		case p(0.02):
			h.cutOffUntil = w.now + time.Duration(w.rng.Int63n(int64(20*time.Second)))
		}
	}
}

// crash replaces a holder. Its requests stay in flight; the new holder may adopt
// them.
func (w *simulation) crash(i int, adopt bool) {
	old, fresh := w.holders[i], w.newHolder()
	w.holders[i] = fresh
	for k := range w.requests {
		if w.requests[k].holder == old {
			w.requests[k].holder = nil
			if adopt {
				w.requests[k].holder = fresh
				fresh.port.Adopt(w.requests[k].origin, 1) // its first report includes them
			}
		}
	}
}

func (w *simulation) refill() {
	for i, c := range simCaps {
		rate := float64(c.BytesPerSecond)
		w.used[i] += float64(w.inFlight[i]) * simStep.Seconds()
		w.bucket[i] = min(rate, w.bucket[i]+rate*simStep.Seconds())
	}
}

func (w *simulation) endRequests() {
	kept := w.requests[:0]
	for _, f := range w.requests {
		if f.end > w.now {
			kept = append(kept, f)
			continue
		}
		w.inFlight[f.origin]--
		if f.holder != nil {
			f.holder.released[f.origin]++
		}
	}
	w.requests = kept
}

// send schedules a message for delivery: most within milliseconds, some after
// seconds, some twice, some never.
func (w *simulation) send(h *simHolder, run func()) {
	copies := 1
	delay := func() time.Duration { return time.Duration(w.rng.Int63n(int64(10 * time.Millisecond))) }
	if w.now < h.cutOffUntil || w.rng.Float64() < 0.05*w.disturbance {
		return
	}
	if w.rng.Float64() < 0.05*w.disturbance {
		copies = 2
	}
	if w.rng.Float64() < 0.1*w.disturbance {
		delay = func() time.Duration { return time.Duration(w.rng.Int63n(int64(3 * time.Second))) }
	}
	for range copies {
		w.messages = append(w.messages, message{at: w.now + delay(), run: run})
	}
}

func (w *simulation) deliver() {
	due := w.messages
	w.messages = nil
	for _, m := range due {
		if m.at > w.now {
			w.messages = append(w.messages, m)
			continue
		}
		m.run()
	}
}

func (w *simulation) stepHolder(h *simHolder) {
	if w.now < h.pausedUntil {
		return
	}
	for origin := range h.released {
		for ; h.released[origin] > 0; h.released[origin]-- {
			h.port.Release(w.now, origin)
		}
	}
	if w.now >= h.next {
		h.next = w.now + simPeriod
		if w.rng.Intn(10) == 0 {
			h.demand = w.demand()
		}
		report := h.port.Report(w.now)
		w.send(h, func() { w.renew(h, report) })
	}
	for range h.demand {
		w.attempt(h, w.rng.Intn(len(simCaps)))
	}
}

func (w *simulation) renew(h *simHolder, report Report) {
	if w.now < w.granterDownUntil {
		return
	}
	grant, ok := w.port.Grant(w.now, report)
	if !ok {
		return
	}
	w.checkGrowth()
	w.send(h, func() {
		if w.now >= h.pausedUntil {
			h.port.Apply(w.now, grant)
			if h.port.ReportDue(w.now) {
				confirm := h.port.Report(w.now)
				w.send(h, func() { w.renew(h, confirm) })
			}
		} else {
			w.messages = append(w.messages, message{at: h.pausedUntil, run: func() { h.port.Apply(w.now, grant) }})
		}
	})
}

func (w *simulation) attempt(h *simHolder, origin int) {
	bytes := w.rng.Int63n(4000) + 1
	if !h.port.Acquire(w.now, origin, bytes) {
		return
	}
	length := simDeadline
	if w.rng.Intn(4) > 0 {
		length = time.Duration(w.rng.Int63n(int64(simDeadline))) + simStep
	}
	w.requests = append(w.requests, pendingRequest{end: w.now + length, origin: origin, holder: h})
	w.inFlight[origin]++
	w.admitted[origin] += bytes
	w.bucket[origin] -= float64(bytes)
	if w.inFlight[origin] > simCaps[origin].Concurrent {
		w.recordFault("concurrent", origin)
	}
	if w.bucket[origin] < -1e-3 {
		w.recordFault("bytes", origin)
	}
}

// allRequestsReported reports whether all requests in flight belong to holders
// that have reported to the granter.
func (w *simulation) allRequestsReported() bool {
	for _, f := range w.requests {
		if f.holder == nil {
			return false
		}
	}
	for _, h := range w.holders {
		if !w.granter.HasReported(h.id) {
			return false
		}
	}
	return true
}

// checkRates checks that the rates in force never add up to more than the cap.
func (w *simulation) checkRates() {
	for origin, c := range simCaps {
		var sum int64
		for _, h := range w.holders {
			_, rate := h.port.Limit(w.now, origin)
			sum += rate
		}
		if sum > c.BytesPerSecond {
			w.recordFault("rates", origin)
		}
	}
}

func (w *simulation) recordFault(what string, origin int) {
	w.faults = append(w.faults, fmt.Sprintf("%v: %s of %s", w.now, what, simCaps[origin].Origin))
}

// checkGrowth checks that all shares together rise within one second by at most
// the growth of one second and one growthBurst above the highest earlier sample,
// which may be of an earlier granter.
func (w *simulation) checkGrowth() {
	for i, c := range simCaps {
		limitSum, maxInFlight := w.granter.limitSum(i), w.granter.maxInFlight(i)
		samples := append(w.granted[i], sample{at: w.now, maxInFlight: maxInFlight})
		for len(samples) > 1 && samples[0].at < w.now-peakWindow-time.Second {
			samples = samples[1:]
		}
		w.granted[i] = samples
		before := 0
		for _, s := range samples {
			if s.at <= w.now-time.Second {
				before = max(before, s.maxInFlight)
			}
		}
		step := max(1, c.GrowthPerSecond*growthBurst.Seconds())
		settled := len(samples) > 1 && samples[0].at <= w.now-time.Second
		if settled && !w.granter.Rebuilding(w.now) && float64(limitSum-before) > c.GrowthPerSecond+step+1e-6 {
			w.recordFault(fmt.Sprintf("growth from %d to %d", before, limitSum), i)
		}
	}
}
