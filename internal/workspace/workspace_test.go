package workspace

import (
	"fmt"
	"math"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func define(name string, keys ...string) Definition {
	return Definition{Workspace: Workspace{Name: name}, Keys: keys}
}

// TestByKey guards against requests that belong to another workspace than the holder of
// their key, and against a nil set that fails.
func TestByKey(t *testing.T) {
	g := NewWithT(t)
	a := Definition{Workspace: Workspace{Name: "a", Rank: 0, HasRank: true, Regions: []string{"r"}, RatePerSecond: 5, Burst: 7}, Keys: []string{"k1", "k2", "k1"}}
	s, err := NewSet([]Definition{a, define("b", "k3"), define("none")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Len()).To(Equal(3))
	g.Expect(*s.ByKey("k1")).To(Equal(a.Workspace))
	g.Expect(s.ByKey("k2")).To(BeIdenticalTo(s.ByName("a")))
	g.Expect(s.ByKey("k3").Name).To(Equal("b"))
	for _, unknown := range []string{"", "k", "K1", "k1 ", "a"} {
		g.Expect(s.ByKey(unknown)).To(BeNil(), unknown)
	}
	g.Expect(s.ByName("none")).NotTo(BeNil())
	g.Expect(s.ByName("c")).To(BeNil())

	var disabled *Set
	g.Expect(disabled.Len()).To(BeZero())
	g.Expect(disabled.ByKey("k1")).To(BeNil())
	g.Expect(disabled.ByName("a")).To(BeNil())
}

// TestNewSetRefuses guards against an ambiguous or unusable definition, and against a key
// in the text of an error.
func TestNewSetRefuses(t *testing.T) {
	quota := func(rate, burst float64) Definition {
		return Definition{Workspace: Workspace{Name: "a", RatePerSecond: rate, Burst: burst}}
	}
	const secret = "secret-key"
	for _, c := range []struct {
		desc string
		list []Definition
		want error
	}{
		{"key of two workspaces", []Definition{define("a", secret), define("b", "other", secret)}, ErrSharedBy},
		{"empty key", []Definition{define("a", secret, "")}, ErrKey},
		{"long key", []Definition{define("a", strings.Repeat(secret, MaxKeyBytes/len(secret)+1))}, ErrKey},
		{"empty name", []Definition{define("", secret)}, ErrName},
		{"line break in a name", []Definition{define("a\r\nX: y", secret)}, ErrName},
		{"space at the end of a name", []Definition{define("a ", secret)}, ErrName},
		{"repeated name", []Definition{define("a", secret), define("a")}, ErrRepeated},
		{"negative rate", []Definition{quota(-1, 0)}, ErrQuota},
		{"negative burst", []Definition{quota(1, -0.5)}, ErrQuota},
		{"rate is not a number", []Definition{quota(math.NaN(), 0)}, ErrQuota},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s, err := NewSet(c.list)
			g.Expect(s).To(BeNil())
			g.Expect(err).To(MatchError(c.want))
			g.Expect(err.Error()).NotTo(ContainSubstring(secret))
		})
	}
	_, err := NewSet([]Definition{define("a", strings.Repeat("k", MaxKeyBytes))})
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), "the longest key is valid")
}

// TestTextHasNoKey guards against keys in logs of a value that contains a set.
func TestTextHasNoKey(t *testing.T) {
	g := NewWithT(t)
	s, err := NewSet([]Definition{define("a", "secret-key")})
	g.Expect(err).NotTo(HaveOccurred())
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		g.Expect(fmt.Sprintf(format, s)).To(Equal("1 workspaces"))
		g.Expect(fmt.Sprintf(format, struct{ Set *Set }{s})).NotTo(ContainSubstring("secret-key"))
	}
}

// TestKeyChanges guards against wrong counts of added and removed keys in the log.
func TestKeyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// holders maps each key to the name of its workspace, "" for none.
		holders := func(label string) (map[string]string, *Set) {
			names := []string{"", "a", "b"}
			of := map[string]string{}
			keys := map[string][]string{}
			for _, key := range []string{"1", "2", "3", "4"} {
				of[key] = rapid.SampledFrom(names).Draw(t, label+key)
				keys[of[key]] = append(keys[of[key]], key)
			}
			s, err := NewSet([]Definition{define("a", keys["a"]...), define("b", keys["b"]...)})
			if err != nil {
				t.Fatal(err)
			}
			return of, s
		}
		before, old := holders("before")
		after, s := holders("after")
		wantAdded, wantRemoved := 0, 0
		for key, holder := range after {
			if holder == before[key] {
				continue
			}
			if holder != "" {
				wantAdded++
			}
			if before[key] != "" {
				wantRemoved++
			}
		}
		if added, removed := s.KeyChanges(old); added != wantAdded || removed != wantRemoved {
			t.Fatalf("got %d, %d, want %d, %d", added, removed, wantAdded, wantRemoved)
		}
	})
	s, err := NewSet([]Definition{define("a", "1", "2")})
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	added, removed := s.KeyChanges(nil)
	g.Expect([]int{added, removed}).To(Equal([]int{2, 0}))
	added, removed = (*Set)(nil).KeyChanges(s)
	g.Expect([]int{added, removed}).To(Equal([]int{0, 2}))
}

// manyWorkspaces returns definitions with two keys each.
func manyWorkspaces(n int) []Definition {
	list := make([]Definition, n)
	for i := range list {
		list[i] = define(fmt.Sprint("workspace", i), fmt.Sprintf("key-%016d-a", i), fmt.Sprintf("key-%016d-b", i))
	}
	return list
}

// BenchmarkNewSet measures the time and memory for the design scale of 50,000 workspaces.
func BenchmarkNewSet(b *testing.B) {
	list := manyWorkspaces(50_000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewSet(list); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkByKey measures a lookup among the keys of 50,000 workspaces.
func BenchmarkByKey(b *testing.B) {
	list := manyWorkspaces(50_000)
	s, err := NewSet(list)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if s.ByKey(list[i%len(list)].Keys[1]) == nil {
			b.Fatal("key not found")
		}
	}
}
