package shift

import (
	"encoding/json"
	"flag"
	"math/rand"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of property tests, so that every run gives the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against caps that are exceeded when messages are delayed, lost or
// duplicated and holders and granters pause or crash.
func TestCapNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		disturbance := rapid.Float64Range(0.1, 1).Draw(rt, "hostile")
		w := newSimulation(rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed"))), disturbance, rapid.Float64Range(0.1, 1).Draw(rt, "active"))
		w.run(60 * time.Second)
		if len(w.faults) > 0 {
			rt.Fatalf("%d faults, first: %s", len(w.faults), w.faults[0])
		}
	})
}

// Guards against a granter that keeps the caps by granting too little: with
// reliable messages the holders use at least 0.9 of a cap when their demand
// exceeds it.
func TestCapIsUsed(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(rand.New(rand.NewSource(1)), 0, 1)
	w.run(10 * time.Second)
	clear(w.used)
	clear(w.admitted)
	w.run(40 * time.Second)
	g.Expect(w.faults).To(BeEmpty())
	bytes, concurrent := float64(w.admitted[0])/30, w.used[1]/30
	g.Expect(bytes).To(BeNumerically(">=", 0.9*float64(simCaps[0].BytesPerSecond)))
	g.Expect(concurrent).To(BeNumerically(">=", 0.9*float64(simCaps[1].Concurrent)))
}

type ignoresExpiry struct{ *Share }

func (b ignoresExpiry) Acquire(now time.Duration, origin int, bytes int64) bool {
	if b.number > 0 {
		b.expires = now + time.Hour
	}
	return b.Share.Acquire(now, origin, bytes)
}

type validFromAnswer struct{ *Share }

func (b validFromAnswer) Apply(now time.Duration, g Grant) bool {
	b.sentAt = now
	return b.Share.Apply(now, g)
}

type appliesOldGrants struct{ *Share }

func (b appliesOldGrants) Apply(now time.Duration, g Grant) bool {
	newest := b.number
	b.number = g.Answers
	defer func() { b.number = newest }()
	return b.Share.Apply(now, g)
}

type startsWithFullBucket struct{ *Share }

func (b startsWithFullBucket) Apply(now time.Duration, g Grant) bool {
	ok := b.Share.Apply(now, g)
	for i := range b.origins {
		b.origins[i].tokens = float64(b.origins[i].rate)
	}
	return ok
}

type freesReportedShares struct{ *Granter }

func (b freesReportedShares) Grant(now time.Duration, r Report) (Grant, bool) {
	grant, ok := b.Granter.Grant(now, r)
	for _, a := range b.holders {
		for i := range a.origins {
			a.origins[i].reported.Concurrent, a.origins[i].reported.InUse = 0, 0
			a.origins[i].reported.BytesPerSecond = 0
		}
	}
	return grant, ok
}

type ignoresRequests struct{ *Granter }

func (b ignoresRequests) Grant(now time.Duration, r Report) (Grant, bool) {
	b.config.LongestDeadline = 0
	b.started = now - time.Hour
	return b.Granter.Grant(now, r)
}

type skipsRebuilding struct{ *Granter }

func (b skipsRebuilding) Grant(now time.Duration, r Report) (Grant, bool) {
	b.started = now - time.Hour
	return b.Granter.Grant(now, r)
}

type ignoresGrowth struct{ *Granter }

func (b ignoresGrowth) Grant(now time.Duration, r Report) (Grant, bool) {
	for _, o := range b.origins {
		o.recordPeak(now, o.cap.Concurrent)
	}
	return b.Granter.Grant(now, r)
}

// Guards against checks of the simulation that detect nothing: each rule that a
// holder or granter breaks must cause the fault of the matching check.
func TestCheckersDetectBrokenRules(t *testing.T) {
	share := func(f func(*Share) holderPort) func(*simulation) { return func(w *simulation) { w.wrapShare = f } }
	granter := func(f func(*Granter) granterPort) func(*simulation) { return func(w *simulation) { w.wrapGranter = f } }
	for _, tc := range []struct {
		desc, fault string
		breakRule   func(*simulation)
	}{
		{"the holder ignores the expiry of its share", "concurrent", share(func(s *Share) holderPort { return ignoresExpiry{s} })},
		{"the validity counts from the answer", "concurrent", share(func(s *Share) holderPort { return validFromAnswer{s} })},
		{"answers to older reports are applied", "concurrent", share(func(s *Share) holderPort { return appliesOldGrants{s} })},
		{"buckets start full", "bytes", share(func(s *Share) holderPort { return startsWithFullBucket{s} })},
		{"reclaimed shares are free at once", "concurrent", granter(func(g *Granter) granterPort { return freesReportedShares{g} })},
		{"reclaimed rates are free at once", "rates", granter(func(g *Granter) granterPort { return freesReportedShares{g} })},
		{"requests of unresponsive holders are not counted", "concurrent", granter(func(g *Granter) granterPort { return ignoresRequests{g} })},
		{"a new granter does not rebuild its accounts", "concurrent", granter(func(g *Granter) granterPort { return skipsRebuilding{g} })},
		{"growth is not bounded", "growth", granter(func(g *Granter) granterPort { return ignoresGrowth{g} })},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			found := false
			for seed := int64(1); seed <= 200 && !found; seed++ {
				w := newSimulation(rand.New(rand.NewSource(seed)), float64(seed%10+1)/10, float64(seed%7+1)/7)
				tc.breakRule(w)
				w.run(60 * time.Second)
				for _, f := range w.faults {
					found = found || strings.Contains(f, tc.fault)
				}
			}
			NewWithT(t).Expect(found).To(BeTrue())
		})
	}
}

// Guards against shares that exceed the total or a demand, or leave a demand unmet
// while some of the total is left, and against a share smaller than both its
// demand and an equal division.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.Int64Range(-5, 1000).Draw(rt, "total")
		demands := rapid.SliceOfN(rapid.Int64Range(0, 300), 1, 14).Draw(rt, "wants")
		var sum, demanded int64
		parts := divide(total, demands)
		for i, p := range parts {
			sum, demanded = sum+p, demanded+demands[i]
			if p < 0 || p > demands[i] || p < min(demands[i], max(0, total)/int64(len(demands))) {
				rt.Fatalf("part %d of want %d", p, demands[i])
			}
		}
		if sum != min(max(0, total), demanded) {
			rt.Fatalf("parts %v add up to %d", parts, sum)
		}
	})
}

// Guards against messages that lose a field in their JSON form.
func TestMessagesSurviveJSON(t *testing.T) {
	g := NewWithT(t)
	report := Report{Holder: 1 << 62, Number: 2, Epoch: 3, Origins: []OriginReport{{"austur", 1, 2, 3, 4, []int{5, 0, 1}, []int{1, 0, 2}, 6}}}
	grant := Grant{Holder: 1 << 62, Answers: 2, Epoch: 3, Validity: DefaultValidity, Origins: []OriginGrant{{"austur", 1, 2}}}
	var r Report
	var got Grant
	text, err := json.Marshal(report)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Unmarshal(text, &r)).To(Succeed())
	g.Expect(r).To(Equal(report))
	text, err = json.Marshal(grant)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Unmarshal(text, &got)).To(Succeed())
	g.Expect(got).To(Equal(grant))
}

// Guards against answers larger than declared that are not charged to the bucket,
// so that the cap on bytes is exceeded.
func TestLargerAnswersAreCharged(t *testing.T) {
	g := NewWithT(t)
	s := NewShare(1, []string{"austur"})
	r := s.Report(0)
	g.Expect(s.Apply(0, Grant{Holder: 1, Answers: r.Number, Epoch: 1, Validity: time.Minute,
		Origins: []OriginGrant{{"austur", 10, 1000}}})).To(BeTrue())
	g.Expect(s.Acquire(0, 0, 1)).To(BeFalse(), "a new share starts with an empty bucket")
	g.Expect(s.Acquire(time.Second, 0, 1000)).To(BeTrue())
	s.Charge(time.Second, 0, 2000)
	g.Expect(s.Acquire(3*time.Second, 0, 1)).To(BeFalse())
	g.Expect(s.Acquire(3*time.Second+time.Millisecond, 0, 1)).To(BeTrue())
	g.Expect(s.InUse(0)).To(Equal(2))
	g.Expect(func() { s.Release(0, 0); s.Release(0, 0); s.Release(0, 0) }).To(Panic())
}
