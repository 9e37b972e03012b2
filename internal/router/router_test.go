package router

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/examples/deployments"
	"github.com/galenabeam/galenabeam/internal/edge"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// newDigest returns the digest of a region with one pool of the given usable slots
// and of free slots for each rank.
func newDigest(region, service string, sequence uint64, slots, free int) peer.RegionDigest {
	p := peer.PoolDigest{Service: service, Slots: slots}
	for _, r := range []string{"lookup", "declaration", "manifest"} {
		p.Ranks = append(p.Ranks, peer.RankDigest{Rank: r, FreeSlots: free})
	}
	return peer.RegionDigest{Region: region, Epoch: 1, Sequence: sequence, Pools: []peer.PoolDigest{p}}
}

// TestRegionChoice guards against requests that use inter-region links before
// the local pools have owners or while these have free slots, that stay in a
// region without usable servers, and that are forwarded twice.
func TestRegionChoice(t *testing.T) {
	g := NewWithT(t)
	c := deployments.Hagtal()
	service, local, other := "talnabrunnur", "sudvestur", "nordur"
	r := New(local)
	routeOne := func(forwarded bool) string {
		region, refusal := r.Route(nil, edge.RouteRequest{Service: service, Rank: c.Ranks[0].Name, Origin: local, Remaining: time.Second, Forwarded: forwarded})
		g.Expect(refusal).To(BeNil())
		return region
	}
	countRemote := func() (n int) {
		for range 1000 {
			if routeOne(false) != local {
				n++
			}
		}
		return n
	}
	g.Expect(routeOne(false)).To(Equal(local), "without a configuration")
	r.Configure(0, c, 24, 8)
	now := time.Duration(0)
	// advance moves the clock by some seconds, with one digest of each region
	// and ten ticks a second.
	advance := func(seconds, localSlots int) {
		for range seconds {
			now += time.Second
			r.Observe(now, newDigest(local, service, uint64(now), localSlots, localSlots))
			r.Observe(now, newDigest(other, service, uint64(now), 28, 20))
			for range 10 {
				r.Tick(now)
			}
		}
	}
	advance(3, 0)
	g.Expect(countRemote()).To(BeZero(), "owners are still being chosen")
	advance(3, 28)
	g.Expect(countRemote()).To(BeZero(), "the local pool has free slots")
	advance(30, 0)
	g.Expect(countRemote()).To(BeNumerically(">", 500), "no local server is usable")
	g.Expect(routeOne(true)).To(Equal(local), "a forwarded request")
}

// TestLacksCapacity guards against outcomes unrelated to a region's capacity
// that change the share of requests sent there.
func TestLacksCapacity(t *testing.T) {
	cases := []struct {
		desc string
		o    outcome.Outcome
		want bool
	}{
		{"done", outcome.Success(), false},
		{"queue full", outcome.Refuse(outcome.ReasonQueueFull, 0), true},
		{"bad request", outcome.Refuse(outcome.ReasonBadRequest, 0), false},
		{"broken", outcome.Uncertain(outcome.ReasonBroken), false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) { NewWithT(t).Expect(lacksCapacity(c.o)).To(Equal(c.want)) })
	}
}
