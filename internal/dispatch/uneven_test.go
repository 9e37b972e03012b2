package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
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
	// hedgeDelay returns the delay of the hedge; nil: no hedges are sent.
	hedgeDelay       func(Decision) time.Duration
	events           unevenEvents
	requests, hedges int
	latencies        []time.Duration
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

// unevenEvent is something that happens in an unevenModel.
type unevenEvent struct {
	at time.Duration
	do func(now time.Duration)
}

type unevenEvents []unevenEvent

func (h unevenEvents) Len() int           { return len(h) }
func (h unevenEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h unevenEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *unevenEvents) Push(x any)        { *h = append(*h, x.(unevenEvent)) }
func (h *unevenEvents) Pop() any          { o := *h; x := o[len(o)-1]; *h = o[:len(o)-1]; return x }

func (m *unevenModel) schedule(at time.Duration, do func(now time.Duration)) {
	heap.Push(&m.events, unevenEvent{at, do})
}

// play sends requests for a time and records the latencies of those after the first 5 s.
func (m *unevenModel) play(length time.Duration, rate float64) {
	for now := time.Duration(0); now < length; now += time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second)) {
		for len(m.events) > 0 && m.events[0].at <= now {
			e := heap.Pop(&m.events).(unevenEvent)
			e.do(e.at)
		}
		m.requests++
		r := request(now, "")
		r.NoHedge = m.noHedge
		if d := m.pool.Acquire(now, r); d.Refused == "" {
			m.start(now, &unevenRequest{request: r, startedAt: now}, d)
		}
	}
}

// unevenRequest is a request of an unevenModel with its running attempts.
type unevenRequest struct {
	request   Request
	startedAt time.Duration
	done      bool
	running   []unevenAttempt
}

type unevenAttempt struct {
	grant  uint64
	sentAt time.Duration
}

// start sends an attempt to the server of a grant, and schedules its end and, for the
// first one, the hedge. A cancelled attempt still takes its slot at the model server.
func (m *unevenModel) start(now time.Duration, q *unevenRequest, d Decision) {
	work := time.Duration(float64(unevenWork) * (0.8 + 0.4*m.rng.Float64()))
	if m.rng.Float64() < m.tailShare {
		work *= 7
	}
	s := m.servers[d.Server]
	q.running = append(q.running, unevenAttempt{d.Grant, now})
	m.schedule(s.serve(now, work)+defaultLocalRoundTrip, func(end time.Duration) { m.end(end, q, d.Grant, s) })
	if m.hedgeDelay != nil && len(q.running) == 1 {
		m.schedule(now+m.hedgeDelay(d), func(at time.Duration) { m.hedge(at, q, d.Server) })
	}
}

// hedge sends a second attempt if the first one still runs, within a budget of one in
// ten requests.
func (m *unevenModel) hedge(now time.Duration, q *unevenRequest, first string) {
	if q.done || 10*m.hedges >= m.requests {
		return
	}
	r := q.request
	r.Exclude = []string{first}
	d := m.pool.Acquire(now, r)
	if d.Refused != "" {
		return
	}
	m.hedges++
	m.start(now, q, d)
}

// end ends a request with the answer to one attempt and cancels the other one.
func (m *unevenModel) end(now time.Duration, q *unevenRequest, grant uint64, s *unevenServer) {
	if q.done {
		return
	}
	q.done = true
	for _, a := range q.running {
		report := Report{Result: Abandoned, Elapsed: now - a.sentAt}
		if a.grant == grant {
			report.Result, report.Load = Served, &Load{Slots: 4}
			if m.report {
				report.Load.Percent = int(100 * s.factor(now))
			}
		}
		m.pool.Release(now, a.grant, report)
	}
	if q.startedAt >= 5*time.Second {
		m.latencies = append(m.latencies, now-q.startedAt)
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

// fixedHedgeDelay is the delay that the entry hosts use without a learned one.
func fixedHedgeDelay(d Decision) time.Duration {
	return time.Duration(1.5*float64(d.Wait+d.Service)) + 40*ms
}

func learnedHedgeDelay(d Decision) time.Duration {
	if d.HedgeDelay > 0 {
		return d.HedgeDelay
	}
	return fixedHedgeDelay(d)
}

// playHedges plays the load of TestUnevenServers with a tail and returns the 0.99
// quantile of the latencies in seconds and the hedges per request.
func playHedges(seed int64, delay func(Decision) time.Duration) (q99, hedgeShare float64) {
	m := newUnevenModel(40, seed, true)
	m.tailShare, m.hedgeDelay = 0.03, delay
	m.play(25*time.Second, 250)
	slices.Sort(m.latencies)
	return m.latencies[len(m.latencies)*99/100].Seconds(), float64(m.hedges) / float64(m.requests)
}

// TestLearnedHedgesHelp guards against hedges with a learned delay that do not help
// requests which take seven times their time, or that are sent for many others.
func TestLearnedHedgesHelp(t *testing.T) {
	g := NewWithT(t)
	without, _ := playHedges(1, nil)
	with, hedgeShare := playHedges(1, learnedHedgeDelay)
	g.Expect(with).To(BeNumerically("<", 0.9*without))
	g.Expect(hedgeShare).To(BeNumerically("<", 0.09))
}

// BenchmarkHedges reports the 0.99 quantile of the latencies and the hedges per request.
func BenchmarkHedges(b *testing.B) {
	for _, c := range []struct {
		desc  string
		delay func(Decision) time.Duration
	}{{"none", nil}, {"fixed", fixedHedgeDelay}, {"learned", learnedHedgeDelay}} {
		b.Run(c.desc, func(b *testing.B) {
			q99, hedges, n := 0.0, 0.0, 0
			for b.Loop() {
				q, h := playHedges(int64(n), c.delay)
				q99, hedges, n = q99+q, hedges+h, n+1
			}
			b.ReportMetric(1000*q99/float64(n), "q99-ms")
			b.ReportMetric(hedges/float64(n), "hedges/request")
		})
	}
}
