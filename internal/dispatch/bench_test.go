package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// BenchmarkAcquire measures a decision against the number of backend servers.
func BenchmarkAcquire(b *testing.B) {
	for _, servers := range []int{22, 106, 288, 1800} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			p := New(Options{Region: "r0", Shared: true, Limits: DefaultLimits})
			var list []*fleet.Backend
			for i := range servers {
				region := fmt.Sprintf("r%d", i%3)
				list = append(list, &fleet.Backend{ID: fmt.Sprintf("i-%d", i), FailureDomain: region + "a", Region: region, Slots: 4})
			}
			p.Update(0, list, nil, 5, time.Second)
			now := time.Duration(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 3 * time.Millisecond
				d := p.Acquire(now, Request{Class: "c", Key: fmt.Sprint(i % 234), FailureDomain: "r0a", Objective: now + 500*time.Millisecond, Deadline: now + 3*time.Second})
				p.Release(now, d.Grant, Report{Result: Served, Elapsed: 200 * time.Millisecond})
			}
		})
	}
}

// BenchmarkExplain measures an explanation, during which the pool decides nothing, with the
// servers and workspaces of an installation and of the design scale.
func BenchmarkExplain(b *testing.B) {
	for _, c := range []struct {
		desc                string
		servers, workspaces int
	}{{"installation", 234, 88}, {"design scale", 6000, 50_000}} {
		b.Run(c.desc, func(b *testing.B) {
			p := New(Options{Region: "r0", Shared: true, Limits: DefaultLimits, Scheduled: true})
			var list []*fleet.Backend
			for i := range c.servers {
				region := fmt.Sprintf("r%d", i%3)
				list = append(list, &fleet.Backend{ID: fmt.Sprintf("i-%d", i), FailureDomain: region + "a", Region: region, Slots: 4})
			}
			p.Update(0, list, nil, 5, time.Second)
			now := time.Second
			for i := range c.workspaces {
				r := Request{Class: "c", Workspace: fmt.Sprint("w", i), FailureDomain: "r0a", Objective: now + 500*time.Millisecond, Deadline: now + 3*time.Second}
				p.Release(now, p.Acquire(now, r).Grant, Report{Result: Served, Elapsed: 200 * time.Millisecond})
			}
			r := Request{Class: "c", Key: "k", Workspace: "w0", FailureDomain: "r0a", Objective: now + 500*time.Millisecond, Deadline: now + 3*time.Second}
			b.ReportAllocs()
			for b.Loop() {
				p.Explain(now, r, nil)
			}
		})
	}
}
