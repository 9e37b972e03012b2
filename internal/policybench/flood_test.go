package policybench

import (
	"math"
	"sync"
	"testing"
	"time"
)

// scenario is a simulation of all pools of a deployment. Requests sent in the
// window count.
type scenario struct {
	dep          *deployment
	floodRank    int
	floodLoad    float64 // offered load of the flooded rank, in multiples of all slots; 0 for no flood
	windowStart  time.Duration
	windowLength time.Duration
	naive        bool
	prepare      func(m *poolModel, p *poolPolicy)
}

// result sums up the pools of a deployment.
type result struct {
	stats
	capacity         time.Duration // slots times the length of the window
	offered          [ranks]time.Duration
	overloads        int
	worstUrgentShare float64 // share of urgent requests in time at the worst pool
	pools            []*poolModel
}

// run simulates each pool with its own seed. Pools do not interact.
func (sc scenario) run() *result {
	res := &result{worstUrgentShare: 1}
	res.reset(sc.windowStart, sc.windowStart+sc.windowLength, sc.floodRank)
	for i := range sc.dep.services {
		for region := 0; region < regions; region++ {
			svc := &sc.dep.services[i]
			m := newPoolModel(sc.dep, svc, region, int64(1+10*i+region))
			m.stats.reset(sc.windowStart, sc.windowStart+sc.windowLength, sc.floodRank)
			if sc.naive {
				newNaivePolicy(m)
			} else if p := newPoolPolicy(m); sc.prepare != nil {
				sc.prepare(m, p)
			}
			sc.addArrivals(m, svc)
			res.pools = append(res.pools, m)
		}
	}
	var wg sync.WaitGroup
	for _, m := range res.pools {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.run(sc.windowStart + sc.windowLength + 2*rankModels[2].deadline)
		}()
	}
	wg.Wait()
	for i, m := range res.pools {
		res.add(&m.stats)
		res.overloads += m.load.Count()
		capacity := time.Duration(m.slots) * sc.windowLength
		res.capacity += capacity
		svc := &sc.dep.services[i/regions]
		for r := range rankModels {
			res.offered[r] += time.Duration(svc.load[r] * float64(capacity))
		}
		res.worstUrgentShare = min(res.worstUrgentShare, m.stats.rank[0].share())
	}
	return res
}

func (sc scenario) addArrivals(m *poolModel, svc *service) {
	end := sc.windowStart + sc.windowLength
	for r := range rankModels {
		m.addArrivals(arrivals{rank: r, slots: svc.load[r] * float64(m.slots), to: end})
	}
	if sc.floodLoad > 0 {
		extra := sc.floodLoad - svc.load[sc.floodRank]
		m.addArrivals(arrivals{rank: sc.floodRank, slots: extra * float64(m.slots), from: sc.windowStart, to: end, flood: true})
	}
}

// floorShare returns the sum of the floors, as a fraction of the slots.
func floorShare() (sum float64) {
	for _, model := range rankModels {
		sum += model.floor
	}
	return sum
}

// BenchmarkFloodLeastUrgent measures whether a customer's flood of bulk work, ten times
// what the slots can serve, makes more urgent ranks late (urgent_in_time, second_in_time
// fall) or the bulk work of other customers (others_bulk_in_time), or leaves slots
// unused (utilization). No figure fails the run.
func BenchmarkFloodLeastUrgent(b *testing.B) {
	for i := range deployments {
		b.Run(deployments[i].name, func(b *testing.B) {
			for n := 0; n < b.N; n++ {
				sc := scenario{dep: &deployments[i], floodRank: 2, floodLoad: 10, windowStart: 20 * sec, windowLength: 120 * sec}
				res := sc.run()
				sc.naive = true
				baseline := sc.run()
				b.ReportMetric(res.rank[0].share(), "urgent_in_time")
				b.ReportMetric(res.worstUrgentShare, "urgent_in_time_worst_pool")
				b.ReportMetric(res.rank[1].share(), "second_in_time")
				kept := res.rank[0].inTime + res.rank[1].inTime
				b.ReportMetric(ratio(float64(kept), float64(res.rank[0].sent+res.rank[1].sent)), "other_kept")
				b.ReportMetric(res.utilization(), "utilization")
				b.ReportMetric(res.serverBusy(), "server_busy")
				b.ReportMetric(float64(res.overloads), "overloads")
				b.ReportMetric(float64(res.latency.ValueAtQuantile(50))/1000, "urgent_ms_p50")
				b.ReportMetric(float64(res.latency.ValueAtQuantile(99.9))/1000, "urgent_ms_p999")
				b.ReportMetric(ratio(float64(res.ordinaryInTime), float64(res.ordinarySent)), "others_bulk_in_time")
				b.ReportMetric(baseline.rank[0].share(), "naive_urgent_in_time")
				for _, m := range res.pools {
					b.Log(m.params.Service, m.slots, m.stats.rank[0].share(), m.stats.rank[1].share(), m.utilization())
				}
			}
		})
	}
}

// BenchmarkFloodMostUrgent measures whether a flood of urgent work, three times what the
// slots can serve, takes the floors of the other ranks (other_kept falls) or has slots
// serve urgent requests that are already late (urgent_goodput, urgent_done_in_time). No
// figure fails the run.
func BenchmarkFloodMostUrgent(b *testing.B) {
	for i := range deployments {
		b.Run(deployments[i].name, func(b *testing.B) {
			for n := 0; n < b.N; n++ {
				sc := scenario{dep: &deployments[i], floodRank: 0, floodLoad: 3, windowStart: 20 * sec, windowLength: 40 * sec}
				res := sc.run()
				sc.naive = true
				baseline := sc.run()
				goodput := func(r *result) float64 {
					return float64(r.rank[0].slotUseInTime) / ((1 - floorShare()) * float64(r.capacity))
				}
				b.ReportMetric(goodput(res), "urgent_goodput")
				b.ReportMetric(goodput(baseline), "naive_urgent_goodput")
				kept, floors := 0.0, 0.0
				for r := 1; r < ranks; r++ {
					floor := math.Min(rankModels[r].floor*float64(res.capacity), float64(res.offered[r]))
					kept += math.Min(float64(res.rank[r].slotUse), floor)
					floors += floor
				}
				b.ReportMetric(kept/floors, "other_kept")
				b.ReportMetric(float64(res.refusals.ValueAtQuantile(99))/1000, "refusal_ms_p99")
				b.ReportMetric(res.utilization(), "utilization")
				b.ReportMetric(float64(res.overloads), "overloads")
				b.ReportMetric(ratio(float64(res.rank[0].inTime), float64(res.rank[0].answered)), "urgent_done_in_time")
			}
		})
	}
}

func (r *result) utilization() float64 { return slotUse(&r.stats, r.capacity) }

func (m *poolModel) utilization() float64 {
	return slotUse(&m.stats, time.Duration(m.slots)*(m.stats.to-m.stats.from))
}

// slotUse returns the fraction of the capacity in which requests used slots.
func slotUse(s *stats, capacity time.Duration) float64 {
	sum := time.Duration(0)
	for i := range s.rank {
		sum += s.rank[i].slotUse
	}
	return float64(sum) / float64(capacity)
}

// serverBusy returns the fraction of the capacity in which servers worked. Unlike
// utilization, it excludes the messages between owner, entry host and server.
func (r *result) serverBusy() float64 {
	sum := time.Duration(0)
	for i := range r.rank {
		sum += r.rank[i].serverBusy
	}
	return float64(sum) / float64(r.capacity)
}
