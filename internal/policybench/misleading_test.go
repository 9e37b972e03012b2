package policybench

import (
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/sched"
)

const (
	reportPeriod = sec      // of the load reports of a server
	reportLag    = 500 * ms // from a report to its arrival at the owner
)

// loadReporter returns a load report of server i. A frozen report repeats the
// highest number of requests in flight of the first 12 s, with the current time.
type loadReporter func(m *poolModel, i int) sched.LoadReport

var loadReporters = []struct {
	name string
	make func() loadReporter
}{
	{"truthful", func() loadReporter { return truthful }},
	{"frozen", func() loadReporter {
		first := map[int]int{}
		return func(m *poolModel, i int) sched.LoadReport {
			l := truthful(m, i)
			if m.now < 12*sec {
				first[i] = max(first[i], l.InFlight)
			} else {
				l.InFlight = first[i]
			}
			return l
		}
	}},
	{"zero", func() loadReporter {
		return func(m *poolModel, i int) sched.LoadReport { return sched.LoadReport{Healthy: true, At: m.now} }
	}},
	{"swapped", func() loadReporter {
		return func(m *poolModel, i int) sched.LoadReport { return truthful(m, (i+1)%len(m.running)) }
	}},
	{"unhealthy", func() loadReporter {
		return func(m *poolModel, i int) sched.LoadReport { return sched.LoadReport{At: m.now} }
	}},
	{"high", func() loadReporter {
		return func(m *poolModel, i int) sched.LoadReport {
			return sched.LoadReport{InFlight: 100, Healthy: true, At: m.now}
		}
	}},
}

func truthful(m *poolModel, i int) sched.LoadReport {
	return sched.LoadReport{InFlight: m.running[i], Healthy: true, At: m.now}
}

// sendReports sends a report of server i to the owner every reportPeriod.
func (p *poolPolicy) sendReports(i int, r loadReporter) {
	m := p.m
	l := r(m, i)
	m.after(reportLag, func() {
		p.pool.ReportLoad(m.now, m.params.Servers[i].Name, l)
		p.apply(p.actions[:0])
	})
	m.after(reportPeriod, func() { p.sendReports(i, r) })
}

// BenchmarkMisleadingLoad measures whether owners trust wrong load reports (frozen, zero,
// swapped between servers, unhealthy or high) so that urgent requests are late:
// below_truthful then rises, which needs the sub-benchmark truthful in the same run. No
// figure fails the run. Additional urgent work of 0.12 of the slots raises the offered
// load from 0.74-0.77 of the slots to 0.86-0.89.
func BenchmarkMisleadingLoad(b *testing.B) {
	for i := range deployments {
		var truthfulShare float64
		for _, kind := range loadReporters {
			b.Run(deployments[i].name+"/"+kind.name, func(b *testing.B) {
				for n := 0; n < b.N; n++ {
					sc := scenario{dep: &deployments[i], windowStart: 20 * sec, windowLength: 60 * sec}
					sc.prepare = func(m *poolModel, p *poolPolicy) {
						make := kind.make()
						for s := range m.params.Servers {
							m.at(time.Duration(s+1)*100*ms, func() { p.sendReports(s, make) })
						}
						m.addArrivals(arrivals{rank: 0, slots: 0.12 * float64(m.slots), to: sc.windowStart + sc.windowLength})
					}
					res := sc.run()
					share := res.rank[0].share()
					if kind.name == "truthful" {
						truthfulShare = share
					}
					b.ReportMetric(share, "urgent_in_time")
					b.ReportMetric(truthfulShare-share, "below_truthful")
					b.ReportMetric(res.rank[1].share(), "second_in_time")
					b.ReportMetric(float64(res.overloads), "overloads")
					b.ReportMetric(res.utilization(), "utilization")
				}
			})
		}
	}
}
