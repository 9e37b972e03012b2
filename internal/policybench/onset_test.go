package policybench

import (
	"testing"
	"time"
)

// BenchmarkUrgentOnset starts the urgent load of a pool whose slots are all
// held by bulk work, because no urgent work was to be expected. It reports the
// utilization before the start, and the urgent share in time in the first
// second, the next four and after that.
func BenchmarkUrgentOnset(b *testing.B) {
	for i := range deployments {
		b.Run(deployments[i].name, func(b *testing.B) {
			for n := 0; n < b.N; n++ {
				share := func(from, to int) *result { return onset(&deployments[i], from, to) }
				b.ReportMetric(share(-10, 0).utilization(), "utilization_before")
				b.ReportMetric(share(0, 1).rank[0].share(), "urgent_in_time_1s")
				b.ReportMetric(share(1, 5).rank[0].share(), "urgent_in_time_5s")
				b.ReportMetric(share(5, 30).rank[0].share(), "urgent_in_time_later")
			}
		})
	}
}

// onset runs the scenario and counts from one second to another, relative to
// the start of the urgent load.
func onset(dep *deployment, from, to int) *result {
	const start, end = 30 * sec, 70 * sec
	sc := scenario{dep: dep, settle: start + time.Duration(from)*sec, length: time.Duration(to-from) * sec}
	sc.prepare = func(m *poolModel, _ *pooled) {
		m.feed(arrivals{rank: 2, slots: 10 * float64(m.slots), from: sec, to: end, flood: true})
		m.feed(arrivals{rank: 0, slots: 0.55 * float64(m.slots), from: start, to: end})
	}
	quiet := *dep
	quiet.services = nil
	for _, s := range dep.services {
		s.load = [ranks]float64{}
		quiet.services = append(quiet.services, s)
	}
	sc.dep = &quiet
	return sc.run()
}

// BenchmarkTakeover starts pools without observations in the middle of a bulk
// flood, as after a new owner has taken over, and reports the urgent share in
// time in the first second and the next nine.
func BenchmarkTakeover(b *testing.B) {
	for i := range deployments {
		b.Run(deployments[i].name, func(b *testing.B) {
			for n := 0; n < b.N; n++ {
				sc := scenario{dep: &deployments[i], length: sec}
				sc.prepare = func(m *poolModel, _ *pooled) {
					m.feed(arrivals{rank: 2, slots: 10 * float64(m.slots), to: 10 * sec, flood: true})
				}
				b.ReportMetric(sc.run().rank[0].share(), "urgent_in_time_1s")
				sc.settle, sc.length = sec, 9*sec
				res := sc.run()
				b.ReportMetric(res.rank[0].share(), "urgent_in_time_10s")
				b.ReportMetric(res.utilization(), "utilization_10s")
			}
		})
	}
}
