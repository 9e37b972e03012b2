package route

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	modelStep    = 10 * time.Millisecond
	modelTick    = 100 * time.Millisecond
	modelHosts   = 8 // per region
	modelSlots   = 88
	modelService = 50 * time.Millisecond
	modelTarget  = 600 * time.Millisecond
)

// chooser decides where a request goes and learns how it went.
type chooser interface {
	decide(r Request) int // region, or -1 for a refusal
	result(r Request, region int, accepted bool)
	observe(region int, at time.Duration, up bool, view View)
	tick(now time.Duration)
}

// product is the chooser of this package.
type product struct {
	table *Table
	plan  *Plan
	rng   *rand.Rand
}

func newProduct(regions, local int, seed uint64) *product {
	s := Settings{
		Local: local, Hosts: modelHosts * (regions - 1), LocalHosts: modelHosts,
		Services: []Service{{"mottaka", modelService}}, Ranks: []Rank{{"declarations", modelTarget}},
	}
	for i := range regions {
		r := Region{Name: string(rune('a' + i))}
		if i != local {
			r.Delay = 55 * time.Millisecond
		}
		s.Regions = append(s.Regions, r)
	}
	p := &product{table: NewTable(s), rng: rand.New(rand.NewPCG(seed, 1))}
	p.tick(0)
	return p
}

func (p *product) decide(r Request) int {
	d := p.plan.Decide(r, p.rng)
	if d.Refused() {
		p.table.RecordRefusal(r)
		return -1
	}
	return d.Region
}

func (p *product) result(r Request, region int, accepted bool) {
	p.table.RecordResult(r, region, accepted)
}

func (p *product) observe(region int, at time.Duration, up bool, view View) {
	p.table.Observe(region, 0, at, up, []View{view})
}

func (p *product) tick(now time.Duration) { p.plan = p.table.Tick(now) }

// naive sends every request to the region with the shortest wait that it
// knows of.
type naive struct {
	waits []time.Duration
	delay []time.Duration
}

func newNaive(regions, local int) *naive {
	n := &naive{waits: make([]time.Duration, regions), delay: make([]time.Duration, regions)}
	for i := range regions {
		if i != local {
			n.delay[i] = 110 * time.Millisecond
		}
	}
	return n
}

func (n *naive) decide(Request) int {
	best := 0
	for i := range n.waits {
		if n.waits[i]+n.delay[i] < n.waits[best]+n.delay[best] {
			best = i
		}
	}
	return best
}

func (n *naive) result(Request, int, bool) {}

func (n *naive) observe(region int, _ time.Duration, up bool, view View) {
	n.waits[region] = view.Wait
	if !up {
		n.waits[region] = time.Hour
	}
}

func (n *naive) tick(time.Duration) {}

// model has one pool per region as a queue, and hosts that see its state with
// a lag.
type model struct {
	rng      *rand.Rand
	now, lag time.Duration
	load     []float64 // offered by the callers of a region, relative to its capacity
	down     []bool
	blind    []bool // no digests leave the region
	queue    []float64
	hosts    [][]chooser
	history  [][]View // by region, one per tick

	offered, inTime int
	sent            [][]int // from, to in the present second
	spill           []float64
	spills          [][]float64 // by second, of each region
}

func newModel(lag time.Duration, load []float64, build func(local int, seed uint64) chooser) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(1, 2)), lag: lag, load: load, down: make([]bool, len(load)), blind: make([]bool, len(load)),
		queue: make([]float64, len(load)), history: make([][]View, len(load)),
	}
	for region := range load {
		var hosts []chooser
		for i := range modelHosts {
			hosts = append(hosts, build(region, uint64(region*modelHosts+i)))
		}
		m.hosts = append(m.hosts, hosts)
	}
	return m
}

func (m *model) capacity() float64 { return modelSlots / modelService.Seconds() }

func (m *model) run(length time.Duration) {
	for end := m.now + length; m.now < end; m.now += modelStep {
		if m.now%time.Second == 0 {
			m.closeSecond()
		}
		if m.now%modelTick == 0 {
			m.spread()
		}
		for region := range m.load {
			m.arrivals(region)
			m.queue[region] -= min(m.queue[region], modelSlots) / modelService.Seconds() * modelStep.Seconds()
		}
	}
}

func (m *model) closeSecond() {
	m.spill = make([]float64, len(m.load))
	for from, row := range m.sent {
		all, away := 0, 0
		for to, n := range row {
			all += n
			if to != from {
				away += n
			}
		}
		m.spill[from] = float64(away) / float64(max(1, all))
	}
	m.spills = append(m.spills, m.spill)
	m.sent = make([][]int, len(m.load))
	for i := range m.sent {
		m.sent[i] = make([]int, len(m.load))
	}
}

// spread records the views and shows the lagging ones to all hosts.
func (m *model) spread() {
	for region, q := range m.queue {
		wait := max(0, q-modelSlots) / m.capacity()
		view := View{Wait: time.Duration(wait * float64(time.Second)), Free: int(max(0, modelSlots-q)), Slots: modelSlots}
		m.history[region] = append(m.history[region], view)
		late := len(m.history[region]) - 1 - int(m.lag/modelTick)
		if late < 0 || m.blind[region] {
			continue
		}
		for _, hosts := range m.hosts {
			for _, h := range hosts {
				h.observe(region, m.now-m.lag, !m.down[region], m.history[region][late])
			}
		}
	}
	for _, hosts := range m.hosts {
		for _, h := range hosts {
			h.tick(m.now)
		}
	}
}

func (m *model) arrivals(region int) {
	perHost := m.load[region] * m.capacity() / modelHosts * modelStep.Seconds()
	for _, h := range m.hosts[region] {
		for range poisson(m.rng, perHost) {
			m.offered++
			r := Request{Remaining: modelTarget}
			to := h.decide(r)
			if to < 0 {
				m.sent[region][region]++ // refused here
				continue
			}
			m.sent[region][to]++
			wait := max(0, m.queue[to]-modelSlots) / m.capacity()
			total := time.Duration(wait*float64(time.Second)) + modelService
			if to != region {
				total += 110 * time.Millisecond
			}
			accepted := !m.down[to] && total <= r.Remaining
			h.result(r, to, accepted)
			if accepted {
				m.queue[to]++
				if total <= modelTarget {
					m.inTime++
				}
			}
		}
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		p *= rng.Float64()
		n++
	}
	return n
}

// reversals counts changes of direction of at least amplitude in a series.
func reversals(series []float64, amplitude float64) int {
	count, direction := 0, 0
	extreme := series[0]
	for _, v := range series {
		switch {
		case direction >= 0 && v > extreme, direction <= 0 && v < extreme:
			if direction == 0 && math.Abs(v-extreme) >= amplitude {
				direction = 1
				if v < extreme {
					direction = -1
				}
			}
			if direction != 0 {
				extreme = v
			}
		case direction > 0 && v <= extreme-amplitude, direction < 0 && v >= extreme+amplitude:
			count++
			direction, extreme = -direction, v
		}
	}
	return count
}

// column returns the spill of one region by second, from a second on.
func (m *model) column(region, from int) []float64 {
	var series []float64
	for _, s := range m.spills[from:] {
		series = append(series, s[region])
	}
	return series
}
