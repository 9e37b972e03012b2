package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// acquireWithoutOptions decides as a pool did before Options.Scheduled existed.
func acquireWithoutOptions(p *Pool, now time.Duration, r Request) Decision {
	c := p.class(r.Class, r.Objective-now)
	if now-p.occupancyAt > maxOccupancyAge {
		p.occupancy, p.occupancyAt = p.currentOccupancy(now), now
	}
	best, est := p.choose(now, r, c, healthyServers)
	if best == nil {
		best, est = p.choose(now, r, c, anyServer)
	}
	if best != nil && p.yieldsToUrgent(now, r, best) != "" {
		return p.refuse(now, Overload, best, est)
	}
	if best != nil && p.overloaded(now, best, est) {
		if p.occupancy > spareOccupancy {
			return p.refuse(now, Overload, best, est)
		}
		if best, est = p.choose(now, r, c, freeServers); best == nil {
			return p.refuse(now, Overload, nil, est)
		}
	}
	switch {
	case best == nil:
		return p.refuse(now, NoServer, nil, est)
	case est.finish > r.Deadline-now-deadlineMargin:
		return p.refuse(now, Late, best, est)
	}
	return p.grant(now, r, best, est)
}

// TestUnchangedWithoutOptions guards against other decisions for deployments that have
// neither workspaces nor quotas and whose servers report no percentage, also for large bodies.
func TestUnchangedWithoutOptions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backends := func(n int) []*fleet.Backend {
			var list []*fleet.Backend
			for i := range n {
				b := backend(fmt.Sprint("b", i), []string{"r", "r", "q"}[i%3])
				b.Slots = 1 + i%3
				list = append(list, b)
			}
			return list
		}
		n := rapid.IntRange(1, 6).Draw(t, "servers")
		before, after := pool("r", backends(n)...), pool("r", backends(n)...)
		now := time.Duration(0)
		var grants []uint64
		for range 150 {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "step")) * ms
			switch rapid.SampledFrom([]string{"acquire", "acquire", "acquire", "release", "maintain", "update"}).Draw(t, "event") {
			case "acquire":
				r := request(now, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")))
				r.Rank = rapid.IntRange(0, 2).Draw(t, "rank")
				r.Bytes = rapid.SampledFrom([]int64{0, largeBodyBytes - 1, largeBodyBytes, 2 * largeBodyBytes}).Draw(t, "bytes")
				want := acquireWithoutOptions(before, now, r)
				r.Workspace, r.SecondAttempt = rapid.SampledFrom([]string{"", "v", "w"}).Draw(t, "workspace"), rapid.Bool().Draw(t, "second")
				got := after.Acquire(now, r)
				if got != want {
					t.Fatalf("at %v: %+v, before %+v", now, got, want)
				}
				if got.Refused == "" {
					grants = append(grants, got.Grant)
				}
			case "release":
				if len(grants) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(grants)-1).Draw(t, "grant")
				report := Report{
					Result:  rapid.SampledFrom([]Result{Served, Served, Served, Failed, Shed, Unreachable, TimedOut, Abandoned}).Draw(t, "result"),
					Elapsed: time.Duration(rapid.IntRange(1, 900).Draw(t, "elapsed")) * ms,
				}
				if rapid.Bool().Draw(t, "load reported") {
					report.Load = &Load{Running: rapid.IntRange(0, 4).Draw(t, "running"), Slots: 2} // three values
				}
				before.Release(now, grants[i], report)
				after.Release(now, grants[i], report)
				grants = append(grants[:i], grants[i+1:]...)
			case "maintain":
				before.Maintain(now)
				after.Maintain(now)
			case "update":
				n := rapid.IntRange(1, 6).Draw(t, "servers")
				before.Update(now, backends(n), nil, 5, time.Second)
				after.Update(now, backends(n), nil, 5, time.Second)
			}
		}
	})
}
