package dispatch

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// explainedEvents is a random sequence of events for two pools, of which only one is asked
// for explanations.
type explainedEvents struct {
	rng            *rand.Rand
	now            time.Duration
	asked, other   *Pool
	adopt          *Pool // may be nil
	grants         []uint64
	refusals       map[string]int // of Acquire, by the condition that led to it
	excluded       map[Exclusion]int
	trials         int
	returned       int
	pacesIgnored   int
	secondPasses   int
	wrongFirst     string // a grant that was not the first of the list
	wrongDecisions string // a decision that was not predicted
}

func newExplainedEvents(seed int64) *explainedEvents {
	e := &explainedEvents{rng: rand.New(rand.NewSource(seed)), refusals: map[string]int{}, excluded: map[Exclusion]int{}}
	o := Options{Region: "r", Shared: true, Limits: DefaultLimits, Scheduled: seed%2 == 0, Paced: seed%3 == 0}
	e.asked, e.other = New(o), New(o)
	if seed%4 == 0 {
		e.adopt = New(o)
		e.adopt.Import(0, Knowledge{Classes: []ClassTimes{{Class: "c", MissMillis: 90, HitMillis: 40}}})
	}
	e.update()
	return e
}

func (e *explainedEvents) update() {
	n := 3 + e.rng.Intn(4)
	far := 0
	if e.rng.Intn(3) == 0 {
		far = maxForeignCandidates + 2
	}
	draining, evacuated, cold := e.rng.Intn(20), e.rng.Intn(3) == 0, e.rng.Intn(12)
	list := func() []*fleet.Backend {
		var list []*fleet.Backend
		for i := range n + far {
			b := backend(fmt.Sprint("b", i), []string{"r", "r", "q"}[i%3])
			if i >= n {
				b = backend(fmt.Sprint("b", i), "s")
			}
			b.Slots, b.Draining = 1+i%3, i == draining
			if i == cold {
				b.ColdUntil = e.now + time.Second
			}
			list = append(list, b)
		}
		return list
	}
	domains := map[string]bool{"q-a": evacuated}
	e.asked.Update(e.now, list(), domains, 5, time.Second)
	e.other.Update(e.now, list(), domains, 5, time.Second)
}

func (e *explainedEvents) request() Request {
	r := request(e.now, []string{"", "k1", "k2", "k3"}[e.rng.Intn(4)])
	r.Class, r.Host, r.Workspace = []string{"c", "c", "d"}[e.rng.Intn(3)], "h", []string{"v", "v", "w"}[e.rng.Intn(3)]
	r.Rank, r.NoHedge, r.SecondAttempt, r.NoTrial = e.rng.Intn(3), e.rng.Intn(3) == 0, e.rng.Intn(8) == 0, e.rng.Intn(4) == 0
	r.Bytes = []int64{0, 100, 100 << 10}[e.rng.Intn(3)]
	r.Deadline = e.now + time.Duration(100+e.rng.Intn(2000))*ms
	r.Objective = min(r.Deadline, e.now+time.Duration(50+e.rng.Intn(600))*ms)
	switch e.rng.Intn(10) {
	case 0:
		r.Exclude = []string{"b0", "b1"}
	case 1:
		r.Allowed = []string{"q"}
	}
	return r
}

// acquire compares the decisions of both pools with the prediction.
func (e *explainedEvents) acquire() {
	r := e.request()
	x := e.asked.Explain(e.now, r, e.adopt)
	if e.adopt != nil {
		e.asked.AdoptTimes(e.adopt, r.Class)
		e.other.AdoptTimes(e.adopt, r.Class)
	}
	got, want := e.asked.Acquire(e.now, r), e.other.Acquire(e.now, r)
	predicted := x.Decision
	predicted.Grant = want.Grant
	if got != want || predicted != want {
		e.wrongDecisions = fmt.Sprintf("at %v: %+v, without Explain %+v, predicted %+v", e.now, got, want, predicted)
	}
	if got.Refused != "" {
		e.refusals[x.Because]++
	} else {
		e.grants = append(e.grants, got.Grant)
		if first := x.Servers[0]; first.Server != got.Server || first.Excluded != "" {
			e.wrongFirst = fmt.Sprintf("at %v: %s granted, %+v listed first", e.now, got.Server, first)
		}
	}
	for reason, n := range x.Excluded {
		e.excluded[reason] += n
	}
	count := func(n *int, is bool) {
		if is {
			*n++
		}
	}
	count(&e.trials, x.Trial)
	count(&e.returned, x.Returned)
	count(&e.pacesIgnored, x.Candidates.PaceIgnored)
	count(&e.secondPasses, x.Candidates.AllRegions)
}

func (e *explainedEvents) release() {
	if len(e.grants) == 0 {
		return
	}
	i := e.rng.Intn(len(e.grants))
	results := []Result{Served, Served, Served, Served, Served, Failed, Shed, Unreachable, Misdirected, TimedOut, Abandoned}
	r := Report{Result: results[e.rng.Intn(len(results))], Elapsed: time.Duration(1+e.rng.Intn(500)) * ms, Leaving: e.rng.Intn(60) == 0}
	if e.rng.Intn(2) == 0 {
		r.Load = &Load{Running: e.rng.Intn(4), Waiting: e.rng.Intn(3), Slots: 2, Percent: e.rng.Intn(300)}
	}
	e.asked.Release(e.now, e.grants[i], r)
	e.other.Release(e.now, e.grants[i], r)
	e.grants = append(e.grants[:i], e.grants[i+1:]...)
}

func (e *explainedEvents) step() {
	e.now += time.Duration(e.rng.Intn(15)) * ms
	switch n := e.rng.Intn(100); {
	case n < 60:
		e.acquire()
	case n < 94:
		e.release()
	case n < 96:
		e.asked.Maintain(e.now)
		e.other.Maintain(e.now)
	case n < 98:
		d := Digest{Region: "q", InFlight: map[string]int{"b0": 1, "b2": e.rng.Intn(4)}, Pace: map[string]int{"b1": e.rng.Intn(3)}}
		e.asked.Merge(e.now, d)
		e.other.Merge(e.now, d)
	default:
		e.update()
	}
	for range e.rng.Intn(3) {
		e.asked.Explain(e.now, e.request(), e.adopt)
	}
}

// TestExplain guards against an explanation that changes the state of the pool, that differs
// from what Acquire then decides, or that lists another server first than the granted one.
func TestExplain(t *testing.T) {
	g := NewWithT(t)
	refusals, excluded := map[string]int{}, map[Exclusion]int{}
	trials, returned, pacesIgnored, secondPasses := 0, 0, 0, 0
	for seed := range int64(120) {
		e := newExplainedEvents(seed)
		for range 300 {
			e.step()
			g.Expect(e.wrongDecisions).To(BeEmpty(), "seed %d", seed)
			g.Expect(e.wrongFirst).To(BeEmpty(), "seed %d", seed)
		}
		g.Expect(reflect.DeepEqual(e.asked, e.other)).To(BeTrue(), "state of the pools, seed %d", seed)
		for because, n := range e.refusals {
			refusals[because] += n
		}
		for reason, n := range e.excluded {
			excluded[reason] += n
		}
		trials, returned = trials+e.trials, returned+e.returned
		pacesIgnored, secondPasses = pacesIgnored+e.pacesIgnored, secondPasses+e.secondPasses
	}
	// The sequences must reach all kinds of decisions.
	for _, because := range []string{becauseUrgent, becauseLeavesSlot, becauseReturns, becauseShare, becauseBusy, becauseNoFreeSlot, becauseLargeBody, becauseNoServer, becauseLate} {
		g.Expect(refusals[because]).To(BeNumerically(">", 0), because)
	}
	for _, reason := range []Exclusion{
		ExcludedDraining, ExcludedReplaced, ExcludedLeaving, ExcludedEvacuated, ExcludedByHost, ExcludedRegion, ExcludedCold, ExcludedFull,
		ExcludedRefused, ExcludedDown, ExcludedPaced, ExcludedShift, ExcludedPosition,
	} {
		g.Expect(excluded[reason]).To(BeNumerically(">", 0), string(reason))
	}
	g.Expect([]int{trials, returned, pacesIgnored, secondPasses}).NotTo(ContainElement(0), "trials, returns, ignored paces, second passes")
}

// TestExplainInputs guards against an explanation that leaves out the age of its inputs, or
// that lists more servers than an operator can read without counting the others.
func TestExplainInputs(t *testing.T) {
	g := NewWithT(t)
	var list []*fleet.Backend
	for i := range 15 {
		b := backend(fmt.Sprintf("b%02d", i), "r")
		b.Draining = i >= 12
		list = append(list, b)
	}
	p := pool("r", list...)
	p.Import(0, Knowledge{Classes: []ClassTimes{{Class: "c", MissMillis: 400, HitMillis: 100}}})
	p.Merge(100*ms, Digest{Region: "q", InFlight: map[string]int{"b00": 2}})
	d := p.Acquire(200*ms, request(200*ms, "k"))
	p.Release(300*ms, d.Grant, Report{Result: Served, Elapsed: 100 * ms, Load: &Load{Running: 1, Slots: 4}})
	x := p.Explain(600*ms, request(600*ms, "k"), nil)
	g.Expect(x.Server).To(Equal(d.Server), "the server that holds the object")
	g.Expect(x.Servers).To(HaveLen(maxExplainedServers))
	g.Expect(x.Considered).To(Equal(12))
	g.Expect(x.Excluded).To(Equal(map[Exclusion]int{ExcludedDraining: 3}))
	g.Expect(x.DigestAgeMillis).To(Equal(map[string]float64{"q": 500}))
	g.Expect(x.Servers[0].HoldsObject).To(BeTrue())
	g.Expect(*x.Servers[0].LoadReportAgeMillis).To(Equal(300.0))
	g.Expect(x.Servers[1].LoadReportAgeMillis).To(BeNil())
}
