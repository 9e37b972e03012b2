package confsync

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkConfigSpread measures the distribution of 32,000 changes a day, with 5% of
// the messages between hosts lost, 55 ms from each other region to the store and one
// watcher per region. The times to all hosts count from the acceptance by the store,
// mean_submit_seconds from the submission to its verdict. A text of 64 KB suffices
// because the deltas do not depend on its size. The run fails if a revision does not
// reach all hosts or the simulation finds a violation.
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
	s.submit(0, newRequest("first", 0, configText(lines, 0)), nil)
	s.runUntil(settle)
	if !s.converged() {
		b.Fatalf("no agreement on the first revision: %v", s.processesAt)
	}
	s.lossShare = 0.05
	s.countBytes, s.store.calls = true, 0
	verdictTime := time.Duration(0) // sum of the times until a verdict
	for i := range changes {
		region := i % regions
		req := newRequest(fmt.Sprintf("change-%d", i), Revision(i+1), configText(lines, 70*i+1))
		req.BaseText = s.regions[region][0].r.Text()
		submittedAt := s.now
		s.submit(region, req, func(Submitted) { verdictTime += s.now - submittedAt })
		s.runUntil(s.now + period)
	}
	elapsed := (changes * period).Seconds()
	calls, sentBytes := s.store.calls, s.sentBytes
	s.runUntil(s.now + 10*time.Second)
	worst, sum := time.Duration(0), time.Duration(0)
	for r := Revision(2); r <= changes+1; r++ {
		reachedAt, ok := s.everywhereAt[r]
		if !ok {
			b.Fatalf("revision %d is not everywhere: %d of %d", r, s.processesReached[r], len(s.nodes))
		}
		worst, sum = max(worst, reachedAt-s.acceptedAt[r]), sum+reachedAt-s.acceptedAt[r]
	}
	if len(s.violations) > 0 {
		b.Fatal(s.violations)
	}
	b.ReportMetric(worst.Seconds(), "seconds_to_all")
	b.ReportMetric(sum.Seconds()/changes, "mean_seconds_to_all")
	b.ReportMetric(verdictTime.Seconds()/changes, "mean_submit_seconds")
	b.ReportMetric(float64(calls)/elapsed, "store_calls_per_s")
	b.ReportMetric(float64(sentBytes)/elapsed/float64(len(s.nodes)), "bytes_per_host_s")
}

// BenchmarkApplyDelta measures the time to apply a small change to a text. It
// grows with the text because of the checksum.
func BenchmarkApplyDelta(b *testing.B) {
	for _, lines := range []int{1100, 17000, 270000} {
		old, changed := configText(lines, 1), configText(lines, lines/2)
		b.Run(fmt.Sprintf("%dKB", len(old)>>10), func(b *testing.B) {
			delta, _ := Diff(old, changed)
			checksum := ChecksumOf(changed)
			for b.Loop() {
				if _, err := delta.Apply(old, checksum); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(delta.size()), "delta_bytes")
		})
	}
}
