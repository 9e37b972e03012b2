package shift

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

const (
	worldStep     = 20 * time.Millisecond
	worldPeriod   = 500 * time.Millisecond
	worldDeadline = 4 * time.Second
	worldHolders  = 12
)

var worldCaps = []Cap{
	// The requests of the world fill the bytes of the first cap and the
	// concurrency of the second one.
	{Origin: "nordur", Concurrent: 200, BytesPerSecond: 40 << 10, GrowthPerSecond: 60},
	{Origin: "austur", Concurrent: 40, BytesPerSecond: 1 << 20, GrowthPerSecond: 20},
}

// holderPort and granterPort let tests replace methods by broken ones.
type holderPort interface {
	Acquire(now time.Duration, origin int, bytes int64) bool
	Release(now time.Duration, origin int)
	Adopt(origin, requests int)
	Report(now time.Duration) Report
	Apply(now time.Duration, g Grant) bool
	Confirm(now time.Duration) bool
	Limit(now time.Duration, origin int) (concurrent int, bytesPerSecond int64)
}

type granterPort interface {
	Grant(now time.Duration, r Report) (Grant, bool)
}

type worldHolder struct {
	id       host.Incarnation
	port     holderPort
	next     time.Duration // of the next report
	paused   time.Duration // until
	cut      time.Duration // messages are lost until
	demand   int
	released []int // ended requests per origin that it has not noted yet
}

type flight struct {
	end    time.Duration
	origin int
	holder *worldHolder
}

type message struct {
	at  time.Duration
	run func()
}

// world runs holders and successive granters in virtual time with delays,
// loss, duplication, reordering, pauses and crashes, and checks the promises.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	hostile  float64 // scales the rate of disturbances, from 0 to 1
	active   float64 // share of holders with demand; 1 is steady
	holders  []*worldHolder
	granter  *Granter
	port     granterPort
	epoch    uint64
	down     time.Duration // no granter until
	next     host.Incarnation
	flights  []flight
	messages []message
	wrapS    func(*Share) holderPort
	wrapG    func(*Granter) granterPort

	inFlight []int
	bucket   []float64
	granted  [][]sample
	faults   []string
	used     []float64 // integral of inFlight over time, in request seconds
	admitted []int64
}

type sample struct {
	at    time.Duration
	total int
}

func newWorld(rng *rand.Rand, hostile, active float64) *world {
	return &world{
		rng: rng, hostile: hostile, active: active,
		inFlight: make([]int, len(worldCaps)), bucket: make([]float64, len(worldCaps)), granted: make([][]sample, len(worldCaps)),
		used: make([]float64, len(worldCaps)), admitted: make([]int64, len(worldCaps)),
		wrapS: func(s *Share) holderPort { return s }, wrapG: func(g *Granter) granterPort { return g },
	}
}

func (w *world) start() {
	for i, c := range worldCaps {
		w.bucket[i] = float64(c.BytesPerSecond)
	}
	w.replaceGranter(false)
	for range worldHolders {
		w.holders = append(w.holders, w.newHolder())
	}
}

func (w *world) run(length time.Duration) {
	if w.granter == nil {
		w.start()
	}
	for ; w.now < length; w.now += worldStep {
		w.refill()
		w.endFlights()
		w.deliver()
		w.disturb()
		w.checkRates()
		if w.now > w.down && w.covered() {
			w.granter.Settle()
		}
		for _, h := range w.holders {
			w.step(h)
		}
	}
}

func (w *world) newHolder() *worldHolder {
	w.next++
	return &worldHolder{
		id:   w.next,
		port: w.wrapS(NewShare(w.next, []string{worldCaps[0].Origin, worldCaps[1].Origin})),
		next: w.now + time.Duration(w.rng.Int63n(int64(worldPeriod))), released: make([]int, len(worldCaps)),
		demand: w.demand(),
	}
}

// demand is the number of attempts of a holder per step.
func (w *world) demand() int {
	if w.rng.Float64() >= w.active {
		return 0
	}
	return w.rng.Intn(3) + 1
}

func (w *world) replaceGranter(handover bool) {
	w.epoch++
	config := GranterConfig{Epoch: w.epoch, LongestDeadline: worldDeadline, Caps: worldCaps}
	if handover && !w.granter.Learning(w.now) {
		w.granter = Resume(w.now, config, w.granter.State(w.now))
	} else {
		w.granter = NewGranter(w.now, config)
	}
	w.port = w.wrapG(w.granter)
}

// disturb crashes, pauses and cuts off hosts at random.
func (w *world) disturb() {
	p := func(perSecond float64) bool { return w.rng.Float64() < w.hostile*perSecond*worldStep.Seconds() }
	if p(0.05) {
		w.replaceGranter(p(25))
		w.down = w.now + time.Duration(w.rng.Int63n(int64(time.Second)))
	}
	for i, h := range w.holders {
		switch {
		case p(0.02):
			w.crash(i, p(25))
		case p(0.03):
			h.paused = w.now + time.Duration(w.rng.Int63n(int64(12*time.Second)))
		case p(0.02):
			h.cut = w.now + time.Duration(w.rng.Int63n(int64(20*time.Second)))
		}
	}
}

// crash replaces a holder. Its requests stay in flight; the new owner of the
// pool may learn of them.
func (w *world) crash(i int, adopt bool) {
	old, fresh := w.holders[i], w.newHolder()
	w.holders[i] = fresh
	for k := range w.flights {
		if w.flights[k].holder == old {
			w.flights[k].holder = nil
			if adopt {
				w.flights[k].holder = fresh
				fresh.port.Adopt(w.flights[k].origin, 1) // its first report tells of it
			}
		}
	}
}

func (w *world) refill() {
	for i, c := range worldCaps {
		rate := float64(c.BytesPerSecond)
		w.used[i] += float64(w.inFlight[i]) * worldStep.Seconds()
		w.bucket[i] = min(rate, w.bucket[i]+rate*worldStep.Seconds())
	}
}

func (w *world) endFlights() {
	kept := w.flights[:0]
	for _, f := range w.flights {
		if f.end > w.now {
			kept = append(kept, f)
			continue
		}
		w.inFlight[f.origin]--
		if f.holder != nil {
			f.holder.released[f.origin]++
		}
	}
	w.flights = kept
}

// send delivers a message later: most within milliseconds, some after seconds,
// some twice, some never.
func (w *world) send(h *worldHolder, run func()) {
	copies := 1
	delay := func() time.Duration { return time.Duration(w.rng.Int63n(int64(10 * time.Millisecond))) }
	if w.now < h.cut || w.rng.Float64() < 0.05*w.hostile {
		return
	}
	if w.rng.Float64() < 0.05*w.hostile {
		copies = 2
	}
	if w.rng.Float64() < 0.1*w.hostile {
		delay = func() time.Duration { return time.Duration(w.rng.Int63n(int64(3 * time.Second))) }
	}
	for range copies {
		w.messages = append(w.messages, message{at: w.now + delay(), run: run})
	}
}

func (w *world) deliver() {
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

func (w *world) step(h *worldHolder) {
	if w.now < h.paused {
		return
	}
	for origin := range h.released {
		for ; h.released[origin] > 0; h.released[origin]-- {
			h.port.Release(w.now, origin)
		}
	}
	if w.now >= h.next {
		h.next = w.now + worldPeriod
		if w.rng.Intn(10) == 0 {
			h.demand = w.demand()
		}
		report := h.port.Report(w.now)
		w.send(h, func() { w.renew(h, report) })
	}
	for range h.demand {
		w.attempt(h, w.rng.Intn(len(worldCaps)))
	}
}

func (w *world) renew(h *worldHolder, report Report) {
	if w.now < w.down {
		return
	}
	grant, ok := w.port.Grant(w.now, report)
	if !ok {
		return
	}
	w.checkGrowth()
	w.send(h, func() {
		if w.now >= h.paused {
			h.port.Apply(w.now, grant)
			if h.port.Confirm(w.now) {
				confirm := h.port.Report(w.now)
				w.send(h, func() { w.renew(h, confirm) })
			}
		} else {
			w.messages = append(w.messages, message{at: h.paused, run: func() { h.port.Apply(w.now, grant) }})
		}
	})
}

func (w *world) attempt(h *worldHolder, origin int) {
	bytes := w.rng.Int63n(4000) + 1
	if !h.port.Acquire(w.now, origin, bytes) {
		return
	}
	length := worldDeadline
	if w.rng.Intn(4) > 0 {
		length = time.Duration(w.rng.Int63n(int64(worldDeadline))) + worldStep
	}
	w.flights = append(w.flights, flight{end: w.now + length, origin: origin, holder: h})
	w.inFlight[origin]++
	w.admitted[origin] += bytes
	w.bucket[origin] -= float64(bytes)
	if w.inFlight[origin] > worldCaps[origin].Concurrent {
		w.fault("concurrent", origin)
	}
	if w.bucket[origin] < -1e-3 {
		w.fault("bytes", origin)
	}
}

// covered tells whether all requests in flight belong to holders that have
// reported to the granter.
func (w *world) covered() bool {
	for _, f := range w.flights {
		if f.holder == nil {
			return false
		}
	}
	for _, h := range w.holders {
		if !w.granter.Reported(h.id) {
			return false
		}
	}
	return true
}

// checkRates checks that the rates in force never add up to more than the cap.
func (w *world) checkRates() {
	for origin, c := range worldCaps {
		var sum int64
		for _, h := range w.holders {
			_, rate := h.port.Limit(w.now, origin)
			sum += rate
		}
		if sum > c.BytesPerSecond {
			w.fault("rates", origin)
		}
	}
}

func (w *world) fault(what string, origin int) {
	w.faults = append(w.faults, fmt.Sprintf("%v: %s of %s", w.now, what, worldCaps[origin].Origin))
}

// checkGrowth checks that all shares together rise within one second by no
// more than the growth and one saved-up step above what was granted before,
// by this granter or an earlier one.
func (w *world) checkGrowth() {
	for i, c := range worldCaps {
		limits, total := w.granter.limits(i), w.granter.total(i)
		samples := append(w.granted[i], sample{at: w.now, total: total})
		for len(samples) > 1 && samples[0].at < w.now-levelMemory-time.Second {
			samples = samples[1:]
		}
		w.granted[i] = samples
		before := 0
		for _, s := range samples {
			if s.at <= w.now-time.Second {
				before = max(before, s.total)
			}
		}
		step := max(1, c.GrowthPerSecond*growthStep.Seconds())
		settled := len(samples) > 1 && samples[0].at <= w.now-time.Second
		if settled && !w.granter.Learning(w.now) && float64(limits-before) > c.GrowthPerSecond+step+1e-6 {
			w.fault(fmt.Sprintf("growth from %d to %d", before, limits), i)
		}
	}
}
