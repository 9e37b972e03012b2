package fleet

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestApplyEqualsNew guards against a snapshot that drifts from the deployment because it
// is made of changes to earlier ones, and against a change to a published snapshot.
func TestApplyEqualsNew(t *testing.T) {
	domains := map[string]string{"a": "r", "b": "q"}
	rapid.Check(t, func(t *rapid.T) {
		backends, hosts, evacuated := map[string]*Backend{}, map[string]*Host{}, map[string]bool{}
		s := New(0, nil, nil, nil, nil, domains)
		fresh := func() *Snapshot {
			var bs []*Backend
			var hs []*Host
			for _, b := range backends {
				bs = append(bs, b)
			}
			for _, h := range hosts {
				hs = append(hs, h)
			}
			return New(0, nil, bs, hs, cloneMap(evacuated), domains)
		}
		check := func(got, want *Snapshot) {
			g := NewWithT(t)
			g.Expect(got.Backends).To(Equal(want.Backends))
			g.Expect(got.BackendsByService).To(Equal(want.BackendsByService))
			g.Expect(got.Hosts).To(Equal(want.Hosts))
			g.Expect(cloneMap(got.Evacuated)).To(Equal(want.Evacuated))
			g.Expect(got.Regions()).To(Equal(want.Regions()))
			g.Expect(got.Dispatchers("r", "s0")).To(Equal(want.Dispatchers("r", "s0")))
			g.Expect(got.Steer("r", "a")).To(Equal(want.Steer("r", "a")))
		}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			c := Changes{Backends: map[string]*Backend{}, Hosts: map[string]*Host{}, Evacuated: map[string]bool{}}
			for range rapid.IntRange(0, 4).Draw(t, "backends") {
				id := fmt.Sprint("b", rapid.IntRange(0, 6).Draw(t, "id"))
				if c.Backends[id] = nil; rapid.Bool().Draw(t, "present") {
					c.Backends[id] = &Backend{ID: id, Service: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service")), Slots: step + 1}
				}
			}
			for range rapid.IntRange(0, 2).Draw(t, "hosts") {
				name := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "name"))
				domain := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
				if c.Hosts[name] = nil; rapid.Bool().Draw(t, "present") {
					c.Hosts[name] = &Host{Name: name, FailureDomain: domain, Region: domains[domain], FrontAddress: name, Cores: float64(step)}
				}
			}
			if rapid.Bool().Draw(t, "evacuation") {
				c.Evacuated["a"] = rapid.Bool().Draw(t, "evacuated")
			}
			before, unchanged := s, fresh()
			s = s.Apply(uint64(step), c)
			check(before, unchanged)
			for id, b := range c.Backends {
				if backends[id] = b; b == nil {
					delete(backends, id)
				}
			}
			for name, h := range c.Hosts {
				if hosts[name] = h; h == nil {
					delete(hosts, name)
				}
			}
			for domain, is := range c.Evacuated {
				if evacuated[domain] = true; !is {
					delete(evacuated, domain)
				}
			}
			check(s, fresh())
		}
	})
}

// TestApplySharesWhatStays guards against a large fleet in which each host sorts all hosts
// and updates all its pools after each change of one backend server.
func TestApplySharesWhatStays(t *testing.T) {
	g := NewWithT(t)
	var backends []*Backend
	for i := range 4 {
		backends = append(backends, &Backend{ID: fmt.Sprint("b", i), Service: fmt.Sprint("s", i%2)})
	}
	s := New(1, nil, backends, hosts("a", "r", 1, 1), nil, nil)
	order := s.Dispatchers("r", "s0")
	n := s.Apply(2, Changes{Backends: map[string]*Backend{"b0": {ID: "b0", Service: "s0", Slots: 9}}})
	g.Expect(&n.BackendsByService["s1"][0]).To(BeIdenticalTo(&s.BackendsByService["s1"][0]))
	g.Expect(&n.BackendsByService["s0"][0]).NotTo(BeIdenticalTo(&s.BackendsByService["s0"][0]))
	g.Expect(&n.Dispatchers("r", "s0")[0]).To(BeIdenticalTo(&order[0]))
}
