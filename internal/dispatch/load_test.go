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

// The tests of this file run the load patterns of the heaviest days, a flood of the
// least urgent rank and a restart under load, in virtual time against model servers.

// modelServer runs requests in the order of their arrival and never evicts objects.
type modelServer struct {
	slotFreeAt []time.Duration // when each slot becomes free
	objects    map[string]bool
}

// serve queues a request that arrives now and returns when it ends. missTime and
// hitTime are its service times without and with the object held.
func (m *modelServer) serve(now time.Duration, key string, missTime, hitTime time.Duration) time.Duration {
	first := 0
	for i, at := range m.slotFreeAt {
		if at < m.slotFreeAt[first] {
			first = i
		}
	}
	work := missTime
	if m.objects[key] {
		work = hitTime
	}
	end := max(now, m.slotFreeAt[first]) + work
	m.slotFreeAt[first] = end
	m.objects[key] = true
	return end
}

type modelCompletion struct {
	at     time.Duration
	grant  uint64
	report Report
}

type completionHeap []modelCompletion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(modelCompletion)) }
func (h *completionHeap) Pop() any          { o := *h; x := o[len(o)-1]; *h = o[:len(o)-1]; return x }

// model sends requests to model servers as its pool decides. inTime and total
// count the requests by rank.
type model struct {
	pool        *Pool
	servers     map[string]*modelServer
	completions completionHeap
	rng         *rand.Rand
	inTime      map[int]int
	total       map[int]int
}

const (
	modelMissTime = 640 * ms
	modelHitTime  = 192 * ms
)

func newModel(servers int) *model {
	m := &model{servers: map[string]*modelServer{}, rng: rand.New(rand.NewSource(1)), inTime: map[int]int{}, total: map[int]int{}}
	var list []*fleet.Backend
	for i := range servers {
		b := backend(fmt.Sprint("b", i), "r")
		list = append(list, b)
		m.servers[b.ID] = &modelServer{slotFreeAt: make([]time.Duration, b.Slots), objects: map[string]bool{}}
	}
	m.pool = pool("r", list...)
	return m
}

// play sends requests from one moment to another. rates are in requests per second
// by rank, and each request is about one of the given number of objects.
func (m *model) play(from, to time.Duration, rates map[int]float64, objects int) {
	next := map[int]time.Duration{}
	for rank := range rates {
		next[rank] = from
	}
	for now := from; now < to; now += ms {
		for len(m.completions) > 0 && m.completions[0].at <= now {
			e := heap.Pop(&m.completions).(modelCompletion)
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
	end := m.servers[d.Server].serve(now, r.Class+key, modelMissTime, modelHitTime)
	if end-now <= objective {
		m.inTime[rank]++
	}
	heap.Push(&m.completions, modelCompletion{end, d.Grant, Report{Result: Served, Elapsed: end - now}})
}

func (m *model) inTimeShare(rank int) float64 {
	return float64(m.inTime[rank]) / float64(m.total[rank])
}

func (m *model) resetCounts() { clear(m.inTime); clear(m.total) }

// TestFloodOfLeastUrgentRank guards against urgent requests that wait behind a
// flood of a less urgent rank: at three times the load that the slots can take,
// nine of ten urgent requests are still answered in time.
func TestFloodOfLeastUrgentRank(t *testing.T) {
	g := NewWithT(t)
	m := newModel(8) // 32 slots, 166 hits a second
	m.play(0, 8*time.Second, map[int]float64{0: 60, 2: 20}, 16)
	m.resetCounts()
	m.play(8*time.Second, 16*time.Second, map[int]float64{0: 60, 2: 500}, 16)
	g.Expect(m.inTimeShare(0)).To(BeNumerically(">=", 0.9))
	g.Expect(m.inTime[2]).To(BeNumerically(">", 0), "the flood keeps what is left")
}

// TestRestartUnderLoad guards against a dispatcher that never recovers from a
// restart of all hosts at 0.7 of the rate of hits that the servers can take, because
// it sends requests to servers that do not hold their objects. With the knowledge of
// the previous dispatcher, three of four requests are in time at once; without it,
// after 12 s.
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
			m.pool, m.completions = pool("r", backends...), nil
			if c.knowledge {
				m.pool.Import(10*time.Second, k)
			}
			m.play(10*time.Second, 10*time.Second+c.from, load, 48)
			m.resetCounts()
			m.play(10*time.Second+c.from, 14*time.Second+c.from, load, 48)
			g.Expect(m.inTimeShare(0)).To(BeNumerically(">=", 0.75))
		})
	}
}
