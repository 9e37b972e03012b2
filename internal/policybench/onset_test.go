package policybench

import (
	"testing"
	"time"
)

// BenchmarkUrgentOnset measures whether urgent requests wait for bulk ones: urgent load
// of 0.55 of the slots starts after 29 s of a bulk flood alone. By then the pool expects
// no urgent requests and reserves no slots for them, so that bulk requests can hold all
// slots; utilization_before shows whether they do. urgent_in_time_1s, _5s and _later are
// the shares in time in the first second, in the next four and later; they fall if urgent
// requests wait. No figure fails the run.
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

// onset runs the scenario with a window between two times, in seconds from the
// start of the urgent load.
func onset(dep *deployment, from, to int) *result {
	const start, end = 30 * sec, 70 * sec
	sc := scenario{dep: dep, windowStart: start + time.Duration(from)*sec, windowLength: time.Duration(to-from) * sec}
	sc.prepare = func(m *poolModel, _ *poolPolicy) {
		m.addArrivals(arrivals{rank: 2, slots: 10 * float64(m.slots), from: sec, to: end, flood: true})
		m.addArrivals(arrivals{rank: 0, slots: 0.55 * float64(m.slots), from: start, to: end})
	}
	unloaded := *dep
	unloaded.services = nil
	for _, s := range dep.services {
		s.load = [ranks]float64{}
		unloaded.services = append(unloaded.services, s)
	}
	sc.dep = &unloaded
	return sc.run()
}

// BenchmarkTakeover measures whether a new owner gives bulk work the slots that urgent
// requests need: pools start without observations in a bulk flood. urgent_in_time_1s and
// _10s, of the first second and the next nine, fall if so. No figure fails the run.
func BenchmarkTakeover(b *testing.B) {
	for i := range deployments {
		b.Run(deployments[i].name, func(b *testing.B) {
			for n := 0; n < b.N; n++ {
				sc := scenario{dep: &deployments[i], windowLength: sec}
				sc.prepare = func(m *poolModel, _ *poolPolicy) {
					m.addArrivals(arrivals{rank: 2, slots: 10 * float64(m.slots), to: 10 * sec, flood: true})
				}
				b.ReportMetric(sc.run().rank[0].share(), "urgent_in_time_1s")
				sc.windowStart, sc.windowLength = sec, 9*sec
				res := sc.run()
				b.ReportMetric(res.rank[0].share(), "urgent_in_time_10s")
				b.ReportMetric(res.utilization(), "utilization_10s")
			}
		})
	}
}
