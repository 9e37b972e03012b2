package policybench

import (
	"math"
	"sync"
	"testing"
	"time"
)

// scenario is one run of all pools of a deployment.
type scenario struct {
	dep       *deployment
	floodRank int
	times     float64 // offered load of the flooded rank in multiples of all slots
	settle    time.Duration
	length    time.Duration
	naive     bool
	prepare   func(m *poolModel, p *pooled)
}

// result is the sum over the pools of a deployment.
type result struct {
	tally
	slotTime  time.Duration // slots times length
	offered   [ranks]time.Duration
	overloads int
	worst     float64 // urgent share in time at the worst pool
	pools     []*poolModel
}

// run simulates each pool with its own seed. Pools do not interact.
func (sc scenario) run() *result {
	res := &result{worst: 1}
	res.reset(sc.settle, sc.settle+sc.length, sc.floodRank)
	for i := range sc.dep.services {
		for region := 0; region < regions; region++ {
			svc := &sc.dep.services[i]
			m := newPoolModel(sc.dep, svc, region, int64(1+10*i+region))
			m.tally.reset(sc.settle, sc.settle+sc.length, sc.floodRank)
			if sc.naive {
				newNaive(m)
			} else if p := newPooled(m); sc.prepare != nil {
				sc.prepare(m, p)
			}
			sc.feed(m, svc)
			res.pools = append(res.pools, m)
		}
	}
	var wg sync.WaitGroup
	for _, m := range res.pools {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.run(sc.settle + sc.length + 2*works[2].deadline)
		}()
	}
	wg.Wait()
	for i, m := range res.pools {
		res.add(&m.tally)
		res.overloads += m.load.Count()
		slotTime := time.Duration(m.slots) * sc.length
		res.slotTime += slotTime
		svc := &sc.dep.services[i/regions]
		for r := range works {
			res.offered[r] += time.Duration(svc.load[r] * float64(slotTime))
		}
		res.worst = min(res.worst, m.tally.rank[0].share())
	}
	return res
}

func (sc scenario) feed(m *poolModel, svc *service) {
	end := sc.settle + sc.length
	for r := range works {
		m.feed(arrivals{rank: r, slots: svc.load[r] * float64(m.slots), to: end})
	}
	if sc.times > 0 {
		extra := sc.times - svc.load[sc.floodRank]
		m.feed(arrivals{rank: sc.floodRank, slots: extra * float64(m.slots), from: sc.settle, to: end, flood: true})
	}
}

func floorShare() (sum float64) {
	for _, w := range works {
		sum += w.floor
	}
	return sum
}

// BenchmarkFloodLeastUrgent floods every pool with ten times the bulk work
// that its slots can serve.
func BenchmarkFloodLeastUrgent(b *testing.B) {
	for i := range deployments {
		b.Run(deployments[i].name, func(b *testing.B) {
			for n := 0; n < b.N; n++ {
				sc := scenario{dep: &deployments[i], floodRank: 2, times: 10, settle: 20 * sec, length: 120 * sec}
				res := sc.run()
				sc.naive = true
				base := sc.run()
				b.ReportMetric(res.rank[0].share(), "urgent_in_time")
				b.ReportMetric(res.worst, "urgent_in_time_worst_pool")
				b.ReportMetric(res.rank[1].share(), "second_in_time")
				kept := res.rank[0].inTime + res.rank[1].inTime
				b.ReportMetric(ratio(float64(kept), float64(res.rank[0].sent+res.rank[1].sent)), "other_kept")
				b.ReportMetric(res.utilization(), "utilization")
				b.ReportMetric(res.busy(), "server_busy")
				b.ReportMetric(float64(res.overloads), "overloads")
				b.ReportMetric(float64(res.latency.ValueAtQuantile(50))/1000, "urgent_ms_p50")
				b.ReportMetric(float64(res.latency.ValueAtQuantile(99.9))/1000, "urgent_ms_p999")
				b.ReportMetric(ratio(float64(res.ownInTime), float64(res.ownSent)), "others_bulk_in_time")
				b.ReportMetric(base.rank[0].share(), "naive_urgent_in_time")
				for _, m := range res.pools {
					b.Log(m.params.Service, m.slots, m.tally.rank[0].share(), m.tally.rank[1].share(), m.utilization())
				}
			}
		})
	}
}

// BenchmarkFloodMostUrgent floods every pool with three times the urgent work
// that its slots can serve.
func BenchmarkFloodMostUrgent(b *testing.B) {
	for i := range deployments {
		b.Run(deployments[i].name, func(b *testing.B) {
			for n := 0; n < b.N; n++ {
				sc := scenario{dep: &deployments[i], floodRank: 0, times: 3, settle: 20 * sec, length: 40 * sec}
				res := sc.run()
				sc.naive = true
				base := sc.run()
				goodput := func(r *result) float64 {
					return float64(r.rank[0].heldInTime) / ((1 - floorShare()) * float64(r.slotTime))
				}
				b.ReportMetric(goodput(res), "urgent_goodput")
				b.ReportMetric(goodput(base), "naive_urgent_goodput")
				kept, floors := 0.0, 0.0
				for r := 1; r < ranks; r++ {
					floor := math.Min(works[r].floor*float64(res.slotTime), float64(res.offered[r]))
					kept += math.Min(float64(res.rank[r].held), floor)
					floors += floor
				}
				b.ReportMetric(kept/floors, "other_kept")
				b.ReportMetric(float64(res.refusals.ValueAtQuantile(99))/1000, "refusal_ms_p99")
				b.ReportMetric(res.utilization(), "utilization")
				b.ReportMetric(float64(res.overloads), "overloads")
				b.ReportMetric(ratio(float64(res.rank[0].inTime), float64(res.rank[0].done)), "urgent_done_in_time")
			}
		})
	}
}

func (r *result) utilization() float64 { return held(&r.tally, r.slotTime) }

func (m *poolModel) utilization() float64 {
	return held(&m.tally, time.Duration(m.slots)*(m.tally.to-m.tally.from))
}

func held(t *tally, slotTime time.Duration) float64 {
	sum := time.Duration(0)
	for i := range t.rank {
		sum += t.rank[i].held
	}
	return float64(sum) / float64(slotTime)
}

// busy is the share of slot time that servers worked, without the messages
// between owner, entry host and server.
func (r *result) busy() float64 {
	sum := time.Duration(0)
	for i := range r.rank {
		sum += r.rank[i].busy
	}
	return float64(sum) / float64(r.slotTime)
}
