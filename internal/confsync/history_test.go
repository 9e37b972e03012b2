package confsync

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a history that grows without bound, loses recent revisions, or
// leaves the parts of large deltas in the store.
func TestHistoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := newSim(9, 1, 1)
	s.store.delay, s.lanDelay = 0, 50*time.Microsecond
	large := func(n int) []byte {
		return []byte(fmt.Sprintf("%d\n", n) + string(configText(400, 399)) + string(configText(600, n)))
	}
	const revisions = HistoryRevisions + 20
	for i := range revisions {
		txt := configText(3, i)
		if i == 5 {
			txt = large(i)
		}
		s.submit(0, newRequest(fmt.Sprintf("op-%d", i), Revision(i), txt), nil)
		s.runUntil(s.now + 20*time.Millisecond)
		if i == 6 {
			g.Expect(s.heads[6].DeltaParts).NotTo(BeEmpty(), "the large delta is stored in parts")
		}
	}
	s.runUntil(s.now + 5*time.Second)
	g.Expect(len(s.heads)).To(Equal(revisions))
	s.checkVerdicts()
	g.Expect(s.violations).To(BeEmpty())
	g.Expect(s.converged()).To(BeTrue())
	archived := 0
	for r := Revision(1); r < revisions; r++ {
		value := s.store.now(HistoryKey(r)).Value
		if value == nil {
			continue
		}
		archived++
		h, err := DecodeHead(value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h).To(Equal(s.heads[r]))
		g.Expect(r).To(BeNumerically(">=", revisions-HistoryRevisions))
	}
	g.Expect(archived).To(Equal(HistoryRevisions))
	g.Expect(s.store.now(s.heads[6].DeltaParts[0].Key).Value).To(BeNil(), "the parts of the large delta are deleted")
}
