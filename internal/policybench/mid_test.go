package policybench

import "testing"

// BenchmarkFloodSecond floods every pool with ten times the work of the second
// rank that its slots can serve.
func BenchmarkFloodSecond(b *testing.B) {
	for i := range deployments {
		b.Run(deployments[i].name, func(b *testing.B) {
			for n := 0; n < b.N; n++ {
				sc := scenario{dep: &deployments[i], floodRank: 1, times: 10, settle: 20 * sec, length: 60 * sec}
				res := sc.run()
				b.ReportMetric(res.rank[0].share(), "urgent_in_time")
				b.ReportMetric(res.worst, "urgent_in_time_worst_pool")
				floor := min(works[2].floor*float64(res.slotTime), float64(res.offered[2]))
				b.ReportMetric(min(float64(res.rank[2].held)/floor, 1), "bulk_floor_kept")
				b.ReportMetric(ratio(float64(res.ownInTime), float64(res.ownSent)), "others_second_in_time")
				b.ReportMetric(ratio(float64(res.rank[1].inTime), float64(res.rank[1].done)), "second_done_in_time")
				b.ReportMetric(float64(res.refusals.ValueAtQuantile(99))/1000, "refusal_ms_p99")
				b.ReportMetric(res.utilization(), "utilization")
				b.ReportMetric(float64(res.overloads), "overloads")
			}
		})
	}
}
