package policybench

import (
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/sched"
)

// reportPeriod and reportLag are the period of load reports and the time from
// a report to its arrival at the owner.
const (
	reportPeriod = sec
	reportLag    = 500 * ms
)

// report makes a load report of server i. Frozen reports keep their first
// value while the time of the report goes on.
type report func(m *poolModel, i int) sched.LoadReport

var reports = []struct {
	name string
	make func() report
}{
	{"truthful", func() report { return truthful }},
	{"frozen", func() report {
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
	{"zero", func() report {
		return func(m *poolModel, i int) sched.LoadReport { return sched.LoadReport{Healthy: true, At: m.now} }
	}},
	{"swapped", func() report {
		return func(m *poolModel, i int) sched.LoadReport { return truthful(m, (i+1)%len(m.running)) }
	}},
	{"unhealthy", func() report {
		return func(m *poolModel, i int) sched.LoadReport { return sched.LoadReport{At: m.now} }
	}},
	{"high", func() report {
		return func(m *poolModel, i int) sched.LoadReport {
			return sched.LoadReport{InFlight: 100, Healthy: true, At: m.now}
		}
	}},
}

func truthful(m *poolModel, i int) sched.LoadReport {
	return sched.LoadReport{InFlight: m.running[i], Healthy: true, At: m.now}
}

func (p *pooled) reportFrom(i int, r report) {
	m := p.m
	l := r(m, i)
	m.after(reportLag, func() {
		p.pool.ReportLoad(m.now, m.params.Servers[i].Name, l)
		p.act(p.acts[:0])
	})
	m.after(reportPeriod, func() { p.reportFrom(i, r) })
}

// BenchmarkMisleadingLoad compares truthful load reports with reports that are
// frozen, always zero, swapped between servers, always unhealthy or always
// high. The ordinary load is raised by urgent work to 0.85 to 0.95 of the slots.
func BenchmarkMisleadingLoad(b *testing.B) {
	for i := range deployments {
		var base float64
		for _, kind := range reports {
			b.Run(deployments[i].name+"/"+kind.name, func(b *testing.B) {
				for n := 0; n < b.N; n++ {
					sc := scenario{dep: &deployments[i], settle: 20 * sec, length: 60 * sec}
					sc.prepare = func(m *poolModel, p *pooled) {
						make := kind.make()
						for s := range m.params.Servers {
							m.at(time.Duration(s+1)*100*ms, func() { p.reportFrom(s, make) })
						}
						m.feed(arrivals{rank: 0, slots: 0.12 * float64(m.slots), to: sc.settle + sc.length})
					}
					res := sc.run()
					share := res.rank[0].share()
					if kind.name == "truthful" {
						base = share
					}
					b.ReportMetric(share, "urgent_in_time")
					b.ReportMetric(base-share, "below_truthful")
					b.ReportMetric(res.rank[1].share(), "second_in_time")
					b.ReportMetric(float64(res.overloads), "overloads")
					b.ReportMetric(res.utilization(), "utilization")
				}
			})
		}
	}
}
