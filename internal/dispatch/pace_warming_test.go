package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// warmingServer is a model of a server with 4 slots that has one slot at its start and one
// more each second. It refuses a request while as many wait as run.
type warmingServer struct {
	startedAt time.Duration
	ends      []time.Duration // of its requests
	refused   int
	// fullAt is when it first ran a request in each of 4 slots, 0 if it has not.
	fullAt time.Duration
}

func (m *warmingServer) slots(now time.Duration) int {
	return min(1+int((now-m.startedAt)/time.Second), 4)
}

// serve returns when a request that arrives now ends, and false if it is refused.
func (m *warmingServer) serve(now, serviceTime time.Duration) (time.Duration, bool) {
	running := m.ends[:0]
	for _, at := range m.ends {
		if at > now {
			running = append(running, at)
		}
	}
	m.ends = running
	slots := m.slots(now)
	if len(m.ends) >= 2*slots {
		m.refused++
		return now + ms, false
	}
	begin := now
	if len(m.ends) >= slots {
		begin = m.ends[len(m.ends)-slots]
	}
	m.ends = append(m.ends, begin+serviceTime)
	if slots == 4 && len(m.ends) >= 4 && m.fullAt == 0 {
		m.fullAt = now
	}
	return begin + serviceTime, true
}

// warmingResult is what a server that warms up costs and yields, summed over
// warmingRuns runs.
type warmingResult struct {
	refused  int           // by the server
	fullUse  time.Duration // from its start until it ran 4 requests; 10 s if it never did
	inTime   int
	requests int
}

const warmingRuns = 20

// warmingRates are requests per second: 0.7 of all slots, 0.8 and nearly all.
var warmingRates = []float64{42, 47, 52}

func playWarmingRuns(paced bool, perSecond float64) warmingResult {
	var sum warmingResult
	for seed := range int64(warmingRuns) {
		r := playWarming(paced, perSecond, seed)
		sum.refused, sum.fullUse = sum.refused+r.refused, sum.fullUse+r.fullUse
		sum.inTime, sum.requests = sum.inTime+r.inTime, sum.requests+r.requests
	}
	return sum
}

// playWarming sends 38 and then the given number of requests per second to three servers of 20 per second, one of which
// starts after 3 s.
func playWarming(paced bool, perSecond float64, seed int64) warmingResult {
	const start, end, serviceTime = 3 * time.Second, 13 * time.Second, 200 * ms
	c := newCrowd(2, false)
	c.rng = rand.New(rand.NewSource(seed))
	if paced {
		c.pool.opts.Paced = true
	}
	m := &warmingServer{startedAt: start}
	r := warmingResult{fullUse: end - start}
	var pending completionHeap
	next := time.Duration(0)
	for now := time.Duration(0); now < end; now += ms {
		rest := pending[:0]
		for _, e := range pending {
			if e.at <= now {
				c.pool.Release(now, e.grant, e.report)
			} else {
				rest = append(rest, e)
			}
		}
		pending = rest
		if now%(200*ms) == 0 {
			c.pool.Maintain(now)
		}
		if now == start {
			c.pool.Update(now, []*fleet.Backend{backend("b0", "r"), backend("b1", "r"), backend("new", "r")}, nil, 5, 3*time.Second)
		}
		for next <= now {
			rate := 38.0
			if now >= start {
				rate = perSecond
				r.requests++
			}
			next += time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
			d := c.pool.Acquire(now, request(now, ""))
			if d.Refused != "" {
				continue
			}
			ends, report := time.Duration(0), Report{Result: Served}
			if d.Server == "new" {
				var ok bool
				if ends, ok = m.serve(now, serviceTime); !ok {
					report.Result = Shed
				}
			} else {
				ends = c.servers[d.Server].serve(now, "", serviceTime, serviceTime)
			}
			report.Elapsed = ends - now
			if report.Result == Served && report.Elapsed <= objective && now >= start {
				r.inTime++
			}
			pending = append(pending, modelCompletion{ends, d.Grant, report})
		}
	}
	r.refused = m.refused
	if m.fullAt > 0 {
		r.fullUse = m.fullAt - start
	}
	return r
}

// TestPaceOfWarmingServer guards against a pace that has no effect or does worse than none
// at a server whose capacity grows over 3 s.
func TestPaceOfWarmingServer(t *testing.T) {
	g := NewWithT(t)
	var all, allPaced warmingResult
	for _, perSecond := range warmingRates {
		without, with := playWarmingRuns(false, perSecond), playWarmingRuns(true, perSecond)
		t.Logf("%v per second: without pacing %+v, with %+v", perSecond, without, with)
		g.Expect(with.refused).To(BeNumerically("<", without.refused))
		// Sums of floating-point numbers, and so single decisions, differ between processors.
		g.Expect(with.inTime).To(BeNumerically(">=", without.inTime-without.requests/500))
		all.refused, allPaced.refused = all.refused+without.refused, allPaced.refused+with.refused
		all.inTime, allPaced.inTime = all.inTime+without.inTime, allPaced.inTime+with.inTime
	}
	g.Expect(allPaced.refused).To(BeNumerically("<=", 0.8*float64(all.refused)))
	g.Expect(allPaced.inTime).To(BeNumerically(">=", all.inTime))
}

// BenchmarkPaceOfWarmingServer reports the refusals of a server whose capacity grows over
// 3 s, and the time until all of its slots are in use, with and without pacing.
func BenchmarkPaceOfWarmingServer(b *testing.B) {
	for _, perSecond := range warmingRates {
		for _, paced := range []bool{false, true} {
			b.Run(fmt.Sprintf("rate=%v/paced=%v", perSecond, paced), func(b *testing.B) {
				var r warmingResult
				for b.Loop() {
					r = playWarmingRuns(paced, perSecond)
				}
				b.ReportMetric(float64(r.refused)/warmingRuns, "refusals")
				b.ReportMetric(float64(r.fullUse.Milliseconds())/warmingRuns, "ms-to-full-use")
				b.ReportMetric(float64(r.inTime)/float64(r.requests), "in-time")
			})
		}
	}
}
