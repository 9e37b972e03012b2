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

// digest describes a region whose pool of a service has usable slots, or none.
func digest(region, service string, sequence uint64, slots, free int) peer.RegionDigest {
	p := peer.PoolDigest{Service: service, Slots: slots}
	for _, r := range []string{"lookup", "declaration", "manifest"} {
		p.Ranks = append(p.Ranks, peer.RankDigest{Rank: r, FreeSlots: free})
	}
	return peer.RegionDigest{Region: region, Epoch: 1, Sequence: sequence, Pools: []peer.PoolDigest{p}}
}

// TestRouter guards against requests that use links between regions while a
// region starts, that stay in a region without usable servers, and that are
// forwarded twice.
func TestRouter(t *testing.T) {
	g := NewWithT(t)
	c := deployments.Hagtal()
	service, local, other := "talnabrunnur", "sudvestur", "nordur"
	r := New(local)
	ask := func(forwarded bool) string {
		region, refusal := r.Route(nil, edge.RouteRequest{Service: service, Rank: c.Ranks[0].Name, Origin: local, Left: time.Second, Forwarded: forwarded})
		g.Expect(refusal).To(BeNil())
		return region
	}
	away := func() (n int) {
		for range 1000 {
			if ask(false) != local {
				n++
			}
		}
		return n
	}
	g.Expect(ask(false)).To(Equal(local), "without a configuration")
	r.Configure(0, c, 24, 8)
	now := time.Duration(0)
	// run lets time pass with digests each second.
	run := func(seconds, localSlots int) {
		for range seconds {
			now += time.Second
			r.Observe(now, digest(local, service, uint64(now), localSlots, localSlots))
			r.Observe(now, digest(other, service, uint64(now), 28, 20))
			for range 10 {
				r.Tick(now)
			}
		}
	}
	run(3, 0)
	g.Expect(away()).To(BeZero(), "owners are still being chosen")
	run(3, 28)
	g.Expect(away()).To(BeZero(), "the local pool has free slots")
	run(30, 0)
	g.Expect(away()).To(BeNumerically(">", 500), "no local server is usable")
	g.Expect(ask(true)).To(Equal(local), "a forwarded request")
}

// TestLacksCapacity guards against outcomes that say nothing about a region's
// capacity but change what is sent there.
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
