package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// unevenStep is how often the service times of model servers may change.
const unevenStep = 100 * ms

// unevenServer is a model server whose service times change with time.
type unevenServer struct {
	slotFreeAt []time.Duration
	factors    []float64 // by unevenStep
}

// factor returns the service time relative to the usual one at a time.
func (u *unevenServer) factor(at time.Duration) float64 {
	return u.factors[int(at/unevenStep)%len(u.factors)]
}

// serve queues a request and returns when it ends. work is its time at factor 1.
func (u *unevenServer) serve(now, work time.Duration) time.Duration {
	first := 0
	for i, at := range u.slotFreeAt {
		if at < u.slotFreeAt[first] {
			first = i
		}
	}
	at := max(now, u.slotFreeAt[first])
	for work > 0 {
		step := min(unevenStep-at%unevenStep, time.Duration(float64(work)*u.factor(at))+1)
		work -= time.Duration(float64(step) / u.factor(at))
		at += step
	}
	u.slotFreeAt[first] = at
	return at
}

// unevenModel sends requests to uneven servers as its pool decides.
type unevenModel struct {
	pool    *Pool
	servers map[string]*unevenServer
	rng     *rand.Rand
	// report is whether the servers report their percentages.
	report bool
	// tailShare is the share of requests that take seven times their time.
	tailShare float64
	noHedge   bool
	latencies []time.Duration
}

const unevenWork = 200 * ms

// newUnevenModel returns a model of servers with four slots each. The times of each
// change at a quarter of the steps, ten a second, to a factor from 0.6 to 4.
func newUnevenModel(servers int, seed int64, report bool) *unevenModel {
	m := &unevenModel{pool: pool("r", backends(servers)...), servers: map[string]*unevenServer{}, rng: rand.New(rand.NewSource(seed)), report: report}
	for i := range servers {
		u := &unevenServer{slotFreeAt: make([]time.Duration, 4), factors: make([]float64, 400)}
		for j := range u.factors {
			if j == 0 || m.rng.Float64() < 0.25 {
				u.factors[j] = []float64{0.6, 0.8, 1, 1, 1.2, 2, 4}[m.rng.Intn(7)]
			} else {
				u.factors[j] = u.factors[j-1]
			}
		}
		m.servers[fmt.Sprint("b", i)] = u
	}
	return m
}

// play sends requests for a time and records the latencies of those after the first 5 s.
func (m *unevenModel) play(length time.Duration, rate float64) {
	var completions completionHeap
	for now := time.Duration(0); now < length; now += time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second)) {
		for len(completions) > 0 && completions[0].at <= now {
			e := heap.Pop(&completions).(modelCompletion)
			m.pool.Release(e.at, e.grant, e.report)
		}
		r := request(now, "")
		r.NoHedge = m.noHedge
		d := m.pool.Acquire(now, r)
		if d.Refused != "" {
			continue
		}
		work := time.Duration(float64(unevenWork) * (0.8 + 0.4*m.rng.Float64()))
		if m.rng.Float64() < m.tailShare {
			work *= 7
		}
		s := m.servers[d.Server]
		end := s.serve(now, work) + defaultLocalRoundTrip
		load := &Load{Slots: 4}
		if m.report {
			load.Percent = int(100 * s.factor(end))
		}
		heap.Push(&completions, modelCompletion{end, d.Grant, Report{Result: Served, Elapsed: end - now, Load: load}})
		if now >= 5*time.Second {
			m.latencies = append(m.latencies, end-now)
		}
	}
}

func (m *unevenModel) mean() float64 {
	sum := 0.0
	for _, l := range m.latencies {
		sum += l.Seconds()
	}
	return sum / float64(len(m.latencies))
}

// unevenRatio plays the same load with and without reported percentages and returns the
// ratio of the mean latencies.
func unevenRatio(seed int64, tailShare float64, noHedge bool) float64 {
	var means [2]float64
	for i, report := range []bool{true, false} {
		m := newUnevenModel(40, seed, report)
		m.tailShare, m.noHedge = tailShare, noHedge
		m.play(25*time.Second, 250)
		means[i] = m.mean()
	}
	return means[0] / means[1]
}

// TestUnevenServers guards against reported percentages that make the choice of servers
// worse than without them. Load: 250 requests a second at 40 servers of four slots, whose
// service times may change ten times a second, with and without 3 of 100 requests that
// take seven times their time.
func TestUnevenServers(t *testing.T) {
	for _, tail := range []float64{0, 0.03} {
		for _, noHedge := range []bool{false, true} {
			t.Run(fmt.Sprint("tail ", tail, " no hedge ", noHedge), func(t *testing.T) {
				for seed := range int64(3) {
					NewWithT(t).Expect(unevenRatio(seed, tail, noHedge)).To(BeNumerically("<", 0.95), "seed %d", seed)
				}
			})
		}
	}
}

// BenchmarkUnevenServers reports the mean latency with reported percentages, relative to
// the one without, under the load of TestUnevenServers.
func BenchmarkUnevenServers(b *testing.B) {
	for _, tail := range []float64{0, 0.03} {
		for _, noHedge := range []bool{false, true} {
			b.Run(fmt.Sprint("tail=", tail, "/no_hedge=", noHedge), func(b *testing.B) {
				sum, n := 0.0, 0
				for b.Loop() {
					sum += unevenRatio(int64(n), tail, noHedge)
					n++
				}
				b.ReportMetric(sum/float64(n), "latency-ratio")
			})
		}
	}
}
