package confsync

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkConfigSpread measures the spread of 32,000 changes a day, with 5% of
// the messages lost, 55 ms between regions and one watcher per region. Time
// counts from the moment at which the store has the revision. The text has
// 64 KB: deltas do not depend on its size.
func BenchmarkConfigSpread(b *testing.B) {
	for _, tc := range []struct{ hosts, regions int }{{24, 3}, {200, 8}, {1000, 15}, {6200, 35}} {
		b.Run(fmt.Sprint(tc.hosts), func(b *testing.B) {
			for range b.N {
				measureSpread(b, tc.hosts/tc.regions, tc.regions)
			}
		})
	}
}

func measureSpread(b *testing.B, perRegion, regions int) {
	const (
		lines   = 1100
		changes = 15
		period  = 24 * time.Hour / 32000
		settle  = 20 * time.Second
	)
	s := newSim(3, regions, perRegion)
	s.lanDelay = 500 * time.Microsecond
	s.runUntil(2 * time.Second)
	s.submit(0, request("first", 0, text(lines, 0)), nil)
	s.runUntil(settle)
	if !s.agreed() {
		b.Fatalf("no agreement on the first revision: %v", s.inForce)
	}
	s.loss = 0.05
	s.count, s.store.calls = true, 0
	submitted := time.Duration(0) // sum of the times until a verdict
	for i := range changes {
		region := i % regions
		req := request(fmt.Sprintf("change-%d", i), Revision(i+1), text(lines, 70*i+1))
		req.BaseText = s.regions[region][0].r.Text()
		begun := s.now
		s.submit(region, req, func(Submitted) { submitted += s.now - begun })
		s.runUntil(s.now + period)
	}
	elapsed := (changes * period).Seconds()
	calls, bytes := s.store.calls, s.bytes
	s.runUntil(s.now + 10*time.Second)
	worst, sum := time.Duration(0), time.Duration(0)
	for r := Revision(2); r <= changes+1; r++ {
		at, ok := s.everywhereAt[r]
		if !ok {
			b.Fatalf("revision %d is not everywhere: %d of %d", r, s.reached[r], len(s.nodes))
		}
		worst, sum = max(worst, at-s.acceptedAt[r]), sum+at-s.acceptedAt[r]
	}
	if len(s.faults) > 0 {
		b.Fatal(s.faults)
	}
	b.ReportMetric(worst.Seconds(), "seconds_to_all")
	b.ReportMetric(sum.Seconds()/changes, "mean_seconds_to_all")
	b.ReportMetric(submitted.Seconds()/changes, "mean_submit_seconds")
	b.ReportMetric(float64(calls)/elapsed, "store_calls_per_s")
	b.ReportMetric(float64(bytes)/elapsed/float64(len(s.nodes)), "bytes_per_host_s")
}

// BenchmarkApplyDelta measures how long a process takes to bring a small change
// of a text in force, which grows with the text because of its checksum.
func BenchmarkApplyDelta(b *testing.B) {
	for _, lines := range []int{1100, 17000, 270000} {
		old, changed := text(lines, 1), text(lines, lines/2)
		b.Run(fmt.Sprintf("%dKB", len(old)>>10), func(b *testing.B) {
			delta, _ := Diff(old, changed)
			digest := DigestOf(changed)
			for b.Loop() {
				if _, err := delta.Apply(old, digest); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(delta.size()), "delta_bytes")
		})
	}
}
