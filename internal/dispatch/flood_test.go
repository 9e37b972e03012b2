package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestMiddleRankInFlood guards against a flood of the least urgent rank, at twice the
// capacity, that takes the slots of a middle one while a more urgent rank is active: the two
// others need 0.8 of the slots.
func TestMiddleRankInFlood(t *testing.T) {
	for _, c := range []struct {
		servers int
		least   float64 // of the middle rank's callers that are answered
	}{{4, 0.75}, {8, 0.85}, {32, 0.9}} { // with fewer slots, arrivals vary by more than the rest
		t.Run(fmt.Sprint(c.servers, " servers"), func(t *testing.T) {
			g := NewWithT(t)
			crowd := newCrowd(c.servers, true)
			capacity := float64(c.servers) * 20
			for rank, load := range []float64{0.4, 0.4, 2} {
				crowd.addRate(0, 10*time.Second, fmt.Sprint("rank ", rank), rank, load*capacity, 3*time.Second)
			}
			crowd.play(0, 14*time.Second)
			answered := func(name string) float64 {
				n := crowd.count(name)
				return float64(n.answered) / float64(n.callers)
			}
			t.Logf("answered: %.3f, %.3f, %.3f", answered("rank 0"), answered("rank 1"), answered("rank 2"))
			g.Expect(answered("rank 0")).To(BeNumerically(">=", 0.99))
			g.Expect(answered("rank 1")).To(BeNumerically(">=", c.least))
			g.Expect(crowd.totals().answered).To(BeNumerically(">=", int(0.85*10*capacity)), "slots are not left idle")
		})
	}
}

// TestBacklogAfterOutage guards against requests that miss their objectives because of a
// backlog that is late already: after 1.5 s without an entry host, 165 callers arrive within
// 100 ms, beside 110 new ones per second, on 160 slots per second.
func TestBacklogAfterOutage(t *testing.T) {
	g := NewWithT(t)
	c := newCrowd(8, true)
	c.addRate(0, 4*time.Second, "before", 0, 110, 3*time.Second)
	for i := range 165 {
		c.addLate(5500*ms+time.Duration(i)*100*ms/165, "backlog", 2500*ms)
	}
	c.addRate(5500*ms, 7*time.Second, "new", 0, 110, 3*time.Second)
	c.play(0, 10*time.Second)
	n, backlog := c.count("new"), c.count("backlog")
	t.Logf("new: %d of %d in time; backlog: %d of %d answered", n.inTime, n.callers, backlog.answered, backlog.callers)
	g.Expect(float64(n.inTime) / float64(n.callers)).To(BeNumerically(">=", 0.9))
	g.Expect(float64(backlog.answered) / float64(backlog.callers)).To(BeNumerically(">=", 0.5))
}
