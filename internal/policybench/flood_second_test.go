package policybench

import "testing"

// BenchmarkFloodSecond measures whether a customer's flood of the second rank, ten times
// what the slots can serve, makes urgent requests late (urgent_in_time falls), takes the
// floor of bulk work (bulk_floor_kept) or the share of other customers
// (others_second_in_time), or is refused too late (refusal_ms_p99 rises). No figure
// fails the run.
func BenchmarkFloodSecond(b *testing.B) {
	for i := range deployments {
		b.Run(deployments[i].name, func(b *testing.B) {
			for n := 0; n < b.N; n++ {
				sc := scenario{dep: &deployments[i], floodRank: 1, floodLoad: 10, windowStart: 20 * sec, windowLength: 60 * sec}
				res := sc.run()
				b.ReportMetric(res.rank[0].share(), "urgent_in_time")
				b.ReportMetric(res.worstUrgentShare, "urgent_in_time_worst_pool")
				floor := min(rankModels[2].floor*float64(res.capacity), float64(res.offered[2]))
				b.ReportMetric(min(float64(res.rank[2].slotUse)/floor, 1), "bulk_floor_kept")
				b.ReportMetric(ratio(float64(res.ordinaryInTime), float64(res.ordinarySent)), "others_second_in_time")
				b.ReportMetric(ratio(float64(res.rank[1].inTime), float64(res.rank[1].answered)), "second_done_in_time")
				b.ReportMetric(float64(res.refusals.ValueAtQuantile(99))/1000, "refusal_ms_p99")
				b.ReportMetric(res.utilization(), "utilization")
				b.ReportMetric(float64(res.overloads), "overloads")
			}
		})
	}
}
