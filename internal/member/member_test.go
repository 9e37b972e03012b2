package member

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against hosts that start together and do not find each other, against
// processes declared gone because of message loss alone, and against late
// detection of a crash.
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

// Guards against a host that saw a live process as joining for over a minute: the
// update was lost, and the digests did not differ, so no sync followed.
func TestDigestDistinguishesStatuses(t *testing.T) {
	g := NewWithT(t)
	term := func(s Status) uint64 { return digestTerm(Claim{ID: "a", Incarnation: 1, Status: s}, s == Leaving) }
	g.Expect(term(Joining)).NotTo(Equal(term(Live)))
	g.Expect(term(Leaving)).NotTo(Equal(term(Live)))
	g.Expect(term(Gone)).NotTo(Equal(term(Live)))
	g.Expect(term(Suspect)).To(Equal(term(Live)), "otherwise each suspicion would cause syncs between all hosts")
}
