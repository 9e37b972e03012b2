package member

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a region that does not find itself, against deaths caused by
// message loss alone, and against late detection.
func TestRegionFormsAndDetects(t *testing.T) {
	g := NewWithT(t)
	s := newSim(1, 1, 40, network{loss: 0.05, delay: time.Millisecond})
	s.runUntil(30 * time.Second)
	g.Expect(s.disagreements()).To(BeEmpty())
	s.crash(s.nodes[7])
	s.runUntil(60 * time.Second)
	g.Expect(s.disagreements()).To(BeEmpty())
	g.Expect(s.falseDeaths).To(BeEmpty())
	g.Expect(s.detected[s.nodes[7].info.ID]).To(HaveLen(39))
	s.startProcess(s.nodes[7])
	s.runUntil(90 * time.Second)
	g.Expect(s.disagreements()).To(BeEmpty())
	g.Expect(s.falseDeaths).To(BeEmpty())
}

// Guards against a host that took a process for joining for over a minute: the
// update that it is live was lost, and the summaries did not show it.
func TestSummaryTellsStates(t *testing.T) {
	g := NewWithT(t)
	of := func(s Status) uint64 { return presence(Claim{ID: "a", Incarnation: 1, Status: s}, s == Leaving) }
	g.Expect(of(Joining)).NotTo(Equal(of(Live)))
	g.Expect(of(Leaving)).NotTo(Equal(of(Live)))
	g.Expect(of(Gone)).NotTo(Equal(of(Live)))
	g.Expect(of(Suspect)).To(Equal(of(Live)), "a suspicion would make all hosts exchange their state")
}
