package routetable

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func newTable(t *testing.T) *Table {
	t.Helper()
	routes := []Route{
		{Name: "all", Host: "a.example", Prefix: "/", Services: []WeightedService{{"s", 1}}},
		{Name: "shop", Host: "A.example", Prefix: "/shop/", Services: []WeightedService{{"s", 1}}},
		{Name: "cart", Host: "a.example", Prefix: "/shop/cart/", Services: []WeightedService{{"s", 1}}},
		{Name: "old cart", Host: "a.example", Prefix: "/shop/cart/", Services: []WeightedService{{"s", 1}}},
		{Name: "town", Host: "a.example", Prefix: "/bæir/", Services: []WeightedService{{"s", 1}}},
		{Name: "encoded", Host: "a.example", Prefix: "/a%2fb/%7Ec/", Services: []WeightedService{{"s", 1}}},
		{Name: "other", Host: "b.example", Prefix: "/x/", Services: []WeightedService{{"s", 1}}},
	}
	tab, err := New(1, Limits{}, []Service{{Name: "s"}}, routes)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

// TestLookup guards against requests that reach the service of a shorter prefix
// or of another host name.
func TestLookup(t *testing.T) {
	tab := newTable(t)
	for _, c := range []struct{ desc, host, path, want string }{
		{"longest prefix", "a.example", "/shop/cart/7", "cart"},
		{"shorter prefix", "a.example", "/shop/list", "shop"},
		{"prefix is a whole segment", "a.example", "/shopping/", "all"},
		{"host in other case and with a port", "A.EXAMPLE:8080", "/shop/", "shop"},
		{"encoded slash", "a.example", "/shop%2Fcart/7", "all"},
		{"encoded slash at the end of a prefix", "a.example", "/shop/cart%2F7", "shop"},
		{"encoded slash in lower case", "a.example", "/shop/cart%2f7", "shop"},
		{"encoded percent sign", "a.example", "/shop/cart%252F7", "shop"},
		{"encoded letters", "a.example", "/%73hop/c%61rt/7", "cart"},
		{"encoded letters beyond ASCII", "a.example", "/b%C3%A6ir/7", "town"},
		{"letters beyond ASCII", "a.example", "/bæir/7", "town"},
		{"encoded slash in a prefix", "a.example", "/a%2Fb/~c/7", "encoded"},
		{"cut percent-encoding", "a.example", "/shop/%2", "shop"},
		{"many slashes", "a.example", strings.Repeat("/", 10000), "all"},
		{"empty path", "a.example", "", ""},
		{"not a path", "a.example", "*", ""},
		{"prefix without its slash", "a.example", "/shop", "all"},
		{"no prefix", "b.example", "/y/", ""},
		{"no host", "c.example", "/", ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			got := ""
			if r := tab.Lookup(c.host, c.path); r != nil {
				got = r.Name
			}
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

// TestLookupFindsLongestPrefix guards against an index that finds another route than a search
// through all of them.
func TestLookupFindsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab", "", "%2F", "a%2Fb"})
		join := func(segments []string) string { return "/" + strings.Join(append(segments, ""), "/") }
		routes := []Route{}
		for _, segments := range rapid.SliceOfN(rapid.SliceOfN(segment, 0, 3), 0, 8).Draw(t, "prefixes") {
			routes = append(routes, Route{Host: "h", Prefix: join(segments), Services: []WeightedService{{"s", 1}}})
		}
		tab, err := New(1, Limits{}, []Service{{Name: "s"}}, routes)
		if err != nil {
			t.Fatal(err)
		}
		path := strings.TrimSuffix(join(rapid.SliceOfN(segment, 0, 5).Draw(t, "path")), "/")
		var want *Route
		for i, r := range routes {
			if strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = &routes[i]
			}
		}
		if got := tab.Lookup("h", path); got != want {
			t.Fatalf("path %q: got %v, want %v", path, got, want)
		}
	})
}

// TestPick guards against a traffic split that does not follow its weights, and
// against a service of weight 0 that is picked.
func TestPick(t *testing.T) {
	g := NewWithT(t)
	r := &Route{Services: []WeightedService{{"a", 90}, {"none", 0}, {"b", 10}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	g.Expect(count).To(Equal(map[string]int{"a": 900, "b": 100}))
	g.Expect(r.PickService(0.9999999999999999)).To(Equal("b"))
}

// TestNewRefuses guards against a configuration with routes that match no path or
// have no service for their requests.
func TestNewRefuses(t *testing.T) {
	for _, c := range []struct {
		desc  string
		route Route
		want  error
	}{
		{"unknown service", Route{Prefix: "/a/", Services: []WeightedService{{"t", 1}}}, ErrUnknownService},
		{"no weight", Route{Prefix: "/a/", Services: []WeightedService{{"s", 0}}}, ErrNoService},
		{"no service", Route{Prefix: "/a/"}, ErrNoService},
		{"prefix without its last slash", Route{Prefix: "/a", Services: []WeightedService{{"s", 1}}}, ErrPrefix},
		{"prefix without its first slash", Route{Prefix: "a/", Services: []WeightedService{{"s", 1}}}, ErrPrefix},
	} {
		t.Run(c.desc, func(t *testing.T) {
			_, err := New(1, Limits{}, []Service{{Name: "s"}}, []Route{c.route})
			NewWithT(t).Expect(err).To(MatchError(c.want))
		})
	}
}

// TestAllowsRegion guards against requests that are served outside the regions that
// they are allowed in.
func TestAllowsRegion(t *testing.T) {
	g := NewWithT(t)
	g.Expect(AllowsRegion(nil, "x")).To(BeTrue())
	g.Expect(AllowsRegion([]string{"x", "y"}, "y")).To(BeTrue())
	g.Expect(AllowsRegion([]string{"x", "y"}, "z")).To(BeFalse())
}
