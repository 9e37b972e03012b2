package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// The tests of this file play loads in virtual time against servers with slots,
// first-in-first-out queues and objects that they hold. They answer patterns of
// the heaviest days: a flood of the least urgent rank, and a restart under load.

// modelServer runs requests in their order.
type modelServer struct {
	free  []time.Duration // when each slot is free
	holds map[string]bool
}

// serve returns when a request that arrives now ends.
func (m *modelServer) serve(now time.Duration, key string, cold, warm time.Duration) time.Duration {
	first := 0
	for i, at := range m.free {
		if at < m.free[first] {
			first = i
		}
	}
	work := cold
	if m.holds[key] {
		work = warm
	}
	end := max(now, m.free[first]) + work
	m.free[first] = end
	m.holds[key] = true
	return end
}

type modelEnd struct {
	at     time.Duration
	grant  uint64
	report Report
}

type modelEnds []modelEnd

func (h modelEnds) Len() int           { return len(h) }
func (h modelEnds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h modelEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *modelEnds) Push(x any)        { *h = append(*h, x.(modelEnd)) }
func (h *modelEnds) Pop() any          { o := *h; x := o[len(o)-1]; *h = o[:len(o)-1]; return x }

// model plays requests against a pool.
type model struct {
	pool    *Pool
	servers map[string]*modelServer
	ends    modelEnds
	rng     *rand.Rand
	inTime  map[int]int
	total   map[int]int
}

const modelCold, modelWarm = 640 * ms, 192 * ms

func newModel(servers int) *model {
	m := &model{servers: map[string]*modelServer{}, rng: rand.New(rand.NewSource(1)), inTime: map[int]int{}, total: map[int]int{}}
	var list []*fleet.Backend
	for i := range servers {
		b := backend(fmt.Sprint("b", i), "r")
		list = append(list, b)
		m.servers[b.ID] = &modelServer{free: make([]time.Duration, b.Slots), holds: map[string]bool{}}
	}
	m.pool = pool("r", list...)
	return m
}

// play sends requests of a rank at a rate from one moment to another, mixed with
// those of other calls in step.
func (m *model) play(from, to time.Duration, rates map[int]float64, objects int) {
	next := map[int]time.Duration{}
	for rank := range rates {
		next[rank] = from
	}
	for now := from; now < to; now += ms {
		for len(m.ends) > 0 && m.ends[0].at <= now {
			e := heap.Pop(&m.ends).(modelEnd)
			m.pool.Release(e.at, e.grant, e.report)
		}
		if now%(200*ms) == 0 {
			m.pool.Maintain(now)
		}
		for rank := 0; rank < 3; rank++ {
			for rates[rank] > 0 && next[rank] <= now {
				next[rank] += time.Duration(m.rng.ExpFloat64() / rates[rank] * float64(time.Second))
				m.send(now, rank, objects)
			}
		}
	}
}

func (m *model) send(now time.Duration, rank, objects int) {
	m.total[rank]++
	key := fmt.Sprint(m.rng.Intn(objects))
	r := request(now, key)
	r.Rank, r.Class = rank, fmt.Sprint("rank", rank)
	d := m.pool.Acquire(now, r)
	if d.Refused != "" {
		return
	}
	end := m.servers[d.Server].serve(now, r.Class+key, modelCold, modelWarm)
	if end-now <= objective {
		m.inTime[rank]++
	}
	heap.Push(&m.ends, modelEnd{end, d.Grant, Report{Result: Served, Elapsed: end - now}})
}

func (m *model) share(rank int) float64 { return float64(m.inTime[rank]) / float64(m.total[rank]) }

func (m *model) reset() { clear(m.inTime); clear(m.total) }

// TestFloodOfLeastUrgentRank guards against urgent requests that wait behind a
// flood of a less urgent rank: at three times what the slots can take, nine of
// ten urgent requests are answered in time, as in the calm before.
func TestFloodOfLeastUrgentRank(t *testing.T) {
	g := NewWithT(t)
	m := newModel(8) // 32 slots, 166 warm requests a second
	m.play(0, 8*time.Second, map[int]float64{0: 60, 2: 20}, 16)
	m.reset()
	m.play(8*time.Second, 16*time.Second, map[int]float64{0: 60, 2: 500}, 16)
	g.Expect(m.share(0)).To(BeNumerically(">=", 0.9))
	g.Expect(m.inTime[2]).To(BeNumerically(">", 0), "the flood keeps what is left")
}

// TestRestartUnderLoad guards against a dispatcher that, after a restart of all
// hosts at 0.7 of what the slots can take warm, sends requests to servers that do
// not hold their objects and never recovers: with the knowledge of the one before
// it, most requests are in time at once; without it, after some seconds.
func TestRestartUnderLoad(t *testing.T) {
	for _, c := range []struct {
		desc      string
		knowledge bool
		from      time.Duration
	}{{"with knowledge, at once", true, 0}, {"without knowledge, after 12 s", false, 12 * time.Second}} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			m := newModel(8)
			load := map[int]float64{0: 115}
			m.play(0, 10*time.Second, load, 48)
			k, _ := m.pool.Export()
			backends := []*fleet.Backend{}
			for i := range 8 {
				backends = append(backends, backend(fmt.Sprint("b", i), "r"))
			}
			m.pool, m.ends = pool("r", backends...), nil
			if c.knowledge {
				m.pool.Import(10*time.Second, k)
			}
			m.play(10*time.Second, 10*time.Second+c.from, load, 48)
			m.reset()
			m.play(10*time.Second+c.from, 14*time.Second+c.from, load, 48)
			g.Expect(m.share(0)).To(BeNumerically(">=", 0.75))
		})
	}
}
