package fairshare

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestAllocationIsMaxMin guards against a division that gives more than the capacity or
// less than it, or that lowers one share for the sake of a larger one.
func TestAllocationIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 100).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 20000).Draw(t, "capacity")
		a := allocate(capacity, demands)
		demanded, served := 0.0, 0.0
		for _, d := range demands {
			demanded += d
			served += a.share(d)
		}
		if want := min(capacity, demanded); math.Abs(served-want) > 1e-6*max(want, 1) {
			t.Fatalf("served %v of %v", served, want)
		}
		for _, d := range demands {
			share := a.share(d)
			if share > d || share < minServedRatio*min(capacity/demanded, 1)*d*(1-1e-9) {
				t.Fatalf("share %v of the demand %v", share, d)
			}
			for _, other := range demands {
				// A share above this one is raised by the minimum only.
				if share < d && a.share(other) > share+1e-9 && a.share(other) > a.minRatio*other+1e-9 {
					t.Fatalf("%v gets %v, but %v gets %v", d, share, other, a.share(other))
				}
			}
		}
	})
}

// load is a random sequence of requests on a capacity of which each granted one uses a
// part, as if there were no queue and no free slot.
type load struct {
	s        *Shares
	rng      *rand.Rand
	capacity float64
	granted  map[string]int
	arrived  map[string]int
}

func newLoad(capacity float64) *load {
	return &load{s: New(), rng: rand.New(rand.NewSource(1)), capacity: capacity, granted: map[string]int{}, arrived: map[string]int{}}
}

func (l *load) play(from, to time.Duration, rates map[string]float64, rank func(string) int) {
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	slices.Sort(names)
	for now := from; now < to; now += time.Millisecond {
		for _, name := range names {
			if l.rng.Float64() >= rates[name]/1000 {
				continue
			}
			l.arrived[name]++
			l.s.Arrived(now, rank(name), name)
			if !l.s.Above(now, rank(name), name, l.capacity) {
				l.s.Granted(now, rank(name), name)
				l.granted[name]++
			}
		}
	}
}

func sameRank(string) int { return 0 }

// TestHotWorkspaceIsRefusedFirst guards against small workspaces that are refused because
// of one at 7.5 times its rate: 87 workspaces of 1 request per second and one of 300 share
// 130 per second.
func TestHotWorkspaceIsRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	rates := map[string]float64{"hot": 300}
	for i := range 87 {
		rates[fmt.Sprint("w", i)] = 1
	}
	l := newLoad(130)
	l.play(0, 10*time.Second, rates, sameRank)
	l.arrived, l.granted = map[string]int{}, map[string]int{}
	l.play(10*time.Second, 40*time.Second, rates, sameRank)
	for name := range rates {
		if name != "hot" {
			// Random arrivals exceed the level for moments.
			g.Expect(l.granted[name]).To(BeNumerically(">=", 0.95*float64(l.arrived[name])), name)
		}
	}
	g.Expect(float64(l.granted["hot"])/30).To(BeNumerically("~", 43, 4), "what the others leave")
}

// TestLargestIsServedToo guards against a workspace far above its rate that is served less
// than a quarter as often as all: the others ask for all but 2 of 100 requests per second.
func TestLargestIsServedToo(t *testing.T) {
	g := NewWithT(t)
	rates := map[string]float64{"hot": 300}
	for i := range 49 {
		rates[fmt.Sprint("w", i)] = 2
	}
	l := newLoad(100)
	l.play(0, 10*time.Second, rates, sameRank)
	l.arrived, l.granted = map[string]int{}, map[string]int{}
	l.play(10*time.Second, 30*time.Second, rates, sameRank)
	arrived, granted := 0, 0
	for name := range rates {
		arrived, granted = arrived+l.arrived[name], granted+l.granted[name]
	}
	all := float64(granted) / float64(arrived)
	for name := range rates {
		g.Expect(float64(l.granted[name])/float64(l.arrived[name])).To(BeNumerically(">=", all/4), name)
	}
	// A workspace that sends less than its share for a moment leaves a free slot, which ends
	// the scarcity in a pool; here it is lost.
	g.Expect(float64(granted) / 20).To(And(BeNumerically(">=", 80), BeNumerically("<=", 105)))
}

// TestSmallShares guards against shares below one request per time constant that are
// exceeded by a multiple or never granted: 100 workspaces share 10 requests per second.
func TestSmallShares(t *testing.T) {
	g := NewWithT(t)
	rates := map[string]float64{}
	for i := range 100 {
		rates[fmt.Sprint("w", i)] = 3
	}
	l := newLoad(10)
	l.play(0, 60*time.Second, rates, sameRank)
	sum := 0
	for name := range rates {
		sum += l.granted[name]
		g.Expect(l.granted[name]).To(BeNumerically(">=", 4), name)
	}
	g.Expect(float64(sum) / 60).To(BeNumerically("~", 10, 1.5))
}

// TestMoreUrgentRankFirst guards against an urgent workspace that is refused for the share
// of a less urgent one, and against a rank that a single workspace has for itself.
func TestMoreUrgentRankFirst(t *testing.T) {
	g := NewWithT(t)
	rank := func(name string) int {
		if name[0] == 'u' {
			return 0
		}
		return 1
	}
	l := newLoad(100)
	rates := map[string]float64{"u1": 60, "u2": 20, "a": 50, "b": 50}
	l.play(0, 10*time.Second, rates, rank)
	l.arrived, l.granted = map[string]int{}, map[string]int{}
	l.play(10*time.Second, 30*time.Second, rates, rank)
	g.Expect(l.granted["u1"]).To(Equal(l.arrived["u1"]))
	g.Expect(l.granted["u2"]).To(Equal(l.arrived["u2"]))
	g.Expect(float64(l.granted["a"]+l.granted["b"]) / 20).To(BeNumerically("~", 20, 5))

	alone := newLoad(10)
	alone.play(0, 5*time.Second, map[string]float64{"u1": 100}, rank)
	g.Expect(alone.granted["u1"]).To(Equal(alone.arrived["u1"]), "there is none to share with")
}

// TestWithdrawnRequests guards against requests that are taken back later and still count,
// or that reduce the count of others.
func TestWithdrawnRequests(t *testing.T) {
	g := NewWithT(t)
	var r Rate
	r.Add(0, time.Second)
	r.Add(0, time.Second)
	r.Remove(500*time.Millisecond, 0, time.Second)
	g.Expect(r.Count(time.Second, time.Second)).To(BeNumerically("~", math.Exp(-1), 1e-9))
	r.Remove(time.Second, time.Second, time.Second)
	g.Expect(r.Count(time.Second, time.Second)).To(BeZero())
}

// TestMemory guards against workspaces without recent requests that stay, and against a
// number of workspaces without a bound.
func TestMemory(t *testing.T) {
	g := NewWithT(t)
	s := New()
	for i := range maxWorkspaces + 10 {
		s.Arrived(0, 0, fmt.Sprint(i))
	}
	g.Expect(s.Len()).To(Equal(maxWorkspaces))
	g.Expect(s.Above(0, 0, "unknown", 0)).To(BeFalse())
	s.Expire(time.Minute)
	g.Expect(s.Len()).To(BeZero())
}

// BenchmarkAbove measures a decision, with the division of the capacity that it causes
// now and then, against the number of workspaces.
func BenchmarkAbove(b *testing.B) {
	for _, n := range []int{88, 5000, 50000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New()
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("w", i)
			}
			b.ReportAllocs()
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += 100 * time.Microsecond
				s.Arrived(now, 0, names[i%n])
				s.Above(now, 0, names[i%n], 2000)
			}
		})
	}
}
