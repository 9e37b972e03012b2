package fleet

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func hosts(domain, region string, cores ...float64) []*Host {
	var list []*Host
	for i, c := range cores {
		name := fmt.Sprintf("%s-%d", domain, i)
		list = append(list, &Host{Name: name, FailureDomain: domain, Region: region, FrontAddress: name, PeerAddress: "peer-" + name, Cores: c})
	}
	return list
}

func snapshot(lists ...[]*Host) *Snapshot {
	var all []*Host
	for _, l := range lists {
		all = append(all, l...)
	}
	return New(1, nil, nil, all, nil, nil)
}

// TestSteer guards against callers that are sent to another region although their
// own has hosts, and against small hosts that serve a domain's callers while large
// ones are idle.
func TestSteer(t *testing.T) {
	for _, c := range []struct {
		desc string
		view *Snapshot
		want []string
	}{
		{"hosts of the domain", snapshot(hosts("a", "r", 1, 1), hosts("b", "r", 1)), []string{"a-0", "a-1"}},
		{"one host in the domain: others of the region too", snapshot(hosts("a", "r", 1), hosts("b", "r", 1)), []string{"a-0", "b-0"}},
		{"no host in the region", snapshot(hosts("z", "q", 1, 1)), []string{"z-0", "z-1"}},
		{"large hosts only", snapshot(hosts("a", "r", 0.8, 0.8, 0.1, 0.1)), []string{"a-0", "a-1"}},
		{"a single large host is not enough", snapshot(hosts("a", "r", 0.8, 0.1)), []string{"a-0", "a-1"}},
		{"large hosts with too few of the cores", snapshot(hosts("a", "r", 0.2, 0.2, 0.09, 0.09, 0.09, 0.09, 0.09, 0.09, 0.09, 0.09, 0.09, 0.09, 0.09)), []string{
			"a-0", "a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7", "a-8", "a-9", "a-10", "a-11", "a-12"}},
		{"no host at all", snapshot(), nil},
	} {
		t.Run(c.desc, func(t *testing.T) { NewWithT(t).Expect(c.view.Steer("r", "a")).To(ConsistOf(c.want)) })
	}
}

// TestSteerReturnsNoMoreThanMaxAddresses guards against answers that grow with the
// number of hosts: callers take no more than maxAddresses from one.
func TestSteerReturnsNoMoreThanMaxAddresses(t *testing.T) {
	NewWithT(t).Expect(snapshot(hosts("a", "r", make([]float64, 100)...)).Steer("r", "a")).To(HaveLen(maxAddresses))
}

// TestDispatchers guards against a small host that dispatches all requests of a
// region and delays them, and against hosts that disagree on the dispatcher because
// their snapshots list the hosts in another order.
func TestDispatchers(t *testing.T) {
	g := NewWithT(t)
	all := append(hosts("a", "r", 0.1, 0.1, 0.8), hosts("b", "q", 0.9)...)
	s := snapshot(all)
	order := s.Dispatchers("r", "svc")
	g.Expect(order).To(HaveLen(3))
	g.Expect(order[0].Name).To(Equal("a-2"))
	reversed := []*Host{all[3], all[2], all[1], all[0]}
	g.Expect(snapshot(reversed).Dispatchers("r", "svc")).To(Equal(order))
	g.Expect(s.Regions()).To(Equal([]string{"q", "r"}))
}
