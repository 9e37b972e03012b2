package routetable

import (
	"testing"

	. "github.com/onsi/gomega"
)

func newTable(t *testing.T) *Table {
	t.Helper()
	routes := []Route{
		{Name: "all", Host: "a.example", Prefix: "/", Services: []WeightedService{{"s", 1}}},
		{Name: "shop", Host: "A.example", Prefix: "/shop/", Services: []WeightedService{{"s", 1}}},
		{Name: "cart", Host: "a.example", Prefix: "/shop/cart/", Services: []WeightedService{{"s", 1}}},
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

// TestAllowsRegion guards against requests that are served outside the regions of
// their route.
func TestAllowsRegion(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&Route{}).AllowsRegion("x")).To(BeTrue())
	g.Expect((&Route{Regions: []string{"x", "y"}}).AllowsRegion("y")).To(BeTrue())
	g.Expect((&Route{Regions: []string{"x", "y"}}).AllowsRegion("z")).To(BeFalse())
}
