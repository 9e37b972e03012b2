package policybench

import (
	"math/rand"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/sched"
)

// BenchmarkDecision measures the time in which an owner admits, schedules and releases a
// request, as its queue grows or under refused requests: ns/op of "queued" and "flood"
// above that of "free" shows it. No figure fails the run. "free" grants on arrival,
// "queued" starts with 120 less urgent requests, "flood" also adds nine bulk requests,
// which are refused, to each served one. The pool is the largest of the modelled
// deployments, 8 servers of 4 slots each.
func BenchmarkDecision(b *testing.B) {
	for _, tc := range []struct {
		name    string
		backlog int
		refused int
	}{{"free", 0, 0}, {"queued", 60, 0}, {"flood", 60, 9}} {
		b.Run(tc.name, func(b *testing.B) { benchmarkDecision(b, tc.backlog, tc.refused) })
	}
}

func benchmarkDecision(b *testing.B, backlog, refused int) {
	params := deployments[0].services[0].params(0)
	pool := sched.NewPool(0, params, rand.New(rand.NewSource(1)))
	var key uint64
	now := time.Duration(0)
	grants := make([]sched.GrantID, 0, 1024)
	actions := make([]sched.Action, 0, 64)
	collectGrants := func() {
		for _, a := range actions {
			if a.Kind == sched.Grant {
				grants = append(grants, a.Grant)
			}
		}
	}
	enqueue := func(rank int) {
		key++
		actions = pool.Enqueue(now, sched.Request{Key: key, Rank: rank, Customer: int(key % customers),
			Deadline: now + rankModels[rank].deadline}, actions[:0])
		collectGrants()
	}
	release := func() {
		id := grants[0]
		copy(grants, grants[1:])
		grants = grants[:len(grants)-1]
		actions = pool.Release(now, id, sched.Result{ServiceTime: 40 * ms}, actions[:0])
		collectGrants()
	}
	for i := 0; i < backlog; i++ {
		now += 20 * ms
		enqueue(1)
		enqueue(2)
	}
	step := func() {
		now += ms
		enqueue(0)
		if len(grants) > 0 {
			release()
		}
	}
	for i := 0; i < 10000; i++ {
		step()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		step()
		for n := 0; n < refused; n++ {
			enqueue(2)
		}
	}
}
