package confsync

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// BenchmarkSubmitCalls counts, by size of the text, the store calls of submissions
// that change one line, including garbage collection and the reads of three watching
// regions, the written bytes and the size of the head. Times are virtual.
func BenchmarkSubmitCalls(b *testing.B) {
	for _, blocks := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprint("blocks=", blocks), func(b *testing.B) {
			for range b.N {
				measureSubmit(b, blocks)
			}
		})
	}
}

func measureSubmit(b *testing.B, blocks int) {
	const (
		regions        = 3
		changes        = 5
		firstOperation = 2 // number of the first change; operation 1 submits the base
	)
	s := newSim(1, regions, 2)
	s.runUntil(3 * time.Second)
	old := blockText(blocks)
	s.submit(0, newRequest("op-1", 0, old), nil)
	s.runUntil(s.now + 20*time.Second)
	var writes, writtenBytes, reads int
	s.onStoreResult = func(_ string, c StoreCall, _ *StoreResult) {
		if c.Kind == StoreSwap || c.Kind == StoreDelete {
			writes++
			writtenBytes += len(c.Value)
		} else {
			reads++
		}
	}
	calls := s.store.calls
	for i := range changes {
		line := fmt.Sprintf("11.%d.%d.0/24 = ", i*100>>8&255, i*100&255)
		changed := bytes.Replace(old, []byte(line+"east"), []byte(line+"west"), 1)
		if bytes.Equal(changed, old) {
			b.Fatal("the change does not alter the text")
		}
		r := newRequest(fmt.Sprint("op-", i+firstOperation), Revision(i+1), changed)
		r.BaseText = old
		s.submit(0, r, nil)
		s.runUntil(s.now + 10*time.Second)
		old = changed
	}
	if !s.converged() || s.heads[changes+1].Revision != changes+1 {
		b.Fatal("the hosts do not have the last revision")
	}
	b.ReportMetric(float64(writes)/changes, "submit_writes")
	b.ReportMetric(float64(reads)/changes, "submit_reads")
	b.ReportMetric(float64(writtenBytes)/changes, "written_bytes")
	b.ReportMetric(float64(s.store.calls-calls-writes-reads)/changes/regions, "watch_reads_per_region")
	b.ReportMetric(float64(len(mustEncode(s.heads[changes+1]))), "head_bytes")
	if store.MaxValueBytes < len(mustEncode(s.heads[changes+1])) {
		b.Fatal("the head exceeds a value of the store")
	}
}
