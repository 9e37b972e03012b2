package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// TestFullAllowedRegion guards against a request that waits in front of a more urgent rank
// in a full region, as new request or as return, because other regions, which may not serve
// it, are idle.
func TestFullAllowedRegion(t *testing.T) {
	for _, c := range []struct {
		desc     string
		inFlight int // of 4 slots
		returns  bool
		want     Reason
	}{
		{"new request, full region", 4, false, Overload},
		{"return, full region", 4, true, Overload},
		{"new request, free slot", 3, false, ""},
		{"return, free slot", 3, true, ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			now := 10 * time.Second
			p := fullPool(now, 4, c.inFlight)
			list := []*fleet.Backend{backend("a", "r")}
			for i := range 4 {
				list = append(list, backend(fmt.Sprint("q", i), "q"))
			}
			p.Update(now, list, nil, 5, 3*time.Second)
			p.occupancy, p.occupancyAt = p.currentOccupancy(now), now
			p.lastRequestByRank[0] = now
			r := workspaceRequest(now, "w", "k")
			r.Rank, r.Allowed = 1, []string{"r"}
			if c.returns {
				p.scarcity.returns.promise(returnKey(r), promise{now, r.Rank})
			}
			g.Expect(p.Acquire(now, r).Refused).To(Equal(c.want))
		})
	}
}

// TestRegionFullOfOthers guards against the refusal of a request that is restricted to a region
// because requests that may be served in other regions, which have room, have taken its slots.
func TestRegionFullOfOthers(t *testing.T) {
	for _, c := range []struct {
		desc       string
		rank       int // of the requests in flight
		restricted bool
		elsewhere  int // slots taken in the other region, of 16
		want       Reason
	}{
		{"unrestricted ones of the same rank", 1, false, 0, ""},
		{"unrestricted ones of a less urgent rank", 2, false, 0, ""},
		{"unrestricted ones of a more urgent rank", 0, false, 0, Overload},
		{"restricted ones", 1, true, 0, Overload},
		{"the other region is full as well", 1, false, 16, Overload},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			now := 10 * time.Second
			p := fullPool(now, 4, 0)
			list := []*fleet.Backend{backend("a", "r"), backend("q", "q")}
			list[0].Slots, list[1].Slots = 4, 16
			p.Update(now, list, nil, 5, 3*time.Second)
			r := workspaceRequest(now, "w", "")
			for range 4 {
				r.Rank, r.Allowed = c.rank, nil
				if c.restricted {
					r.Allowed = []string{"r"}
				}
				p.grant(now, r, p.servers["a"], estimate{service: 200 * ms})
			}
			for range c.elsewhere {
				p.grant(now, request(now, ""), p.servers["q"], estimate{service: 200 * ms})
			}
			p.occupancy, p.occupancyAt = p.currentOccupancy(now), now
			p.lastRequestByRank[0] = now
			r = workspaceRequest(now, "w", "k")
			r.Rank, r.Allowed = 1, []string{"r"}
			g.Expect(p.Acquire(now, r).Refused).To(Equal(c.want))
		})
	}
}
