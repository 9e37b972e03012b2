package sched

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/internal/invariant"
)

// driver feeds a pool random events and checks every action.
type driver struct {
	pool     *Pool
	draw     func(n int) int // uniform in [0, n)
	sabotage func(*driver)   // breaks a rule before each event; nil for none
	params   Params
	now      time.Duration
	key      uint64
	pending  map[uint64]Request
	grants   []heldGrant
	held     []int
	reserved map[string]time.Duration
	gate     *testGate
	load     *invariant.RegionNotOverloaded
	leaving  *invariant.NoNewWorkToLeaving
	caps     *invariant.CapNeverExceeded
	left     map[string]bool
	faults   []string
}

type heldGrant struct {
	id           GrantID
	server       string
	rank, origin int
	deadline     time.Duration
}

func newDriver(draw func(n int) int, sabotage func(*driver)) *driver {
	d := &driver{
		draw: draw, sabotage: sabotage, pending: map[uint64]Request{}, held: make([]int, 3),
		reserved: map[string]time.Duration{}, left: map[string]bool{},
		gate: &testGate{open: map[int]int{1: 2, 2: 1}, used: map[int]int{}},
		load: invariant.NewRegionNotOverloaded(), leaving: invariant.NewNoNewWorkToLeaving(),
		caps: invariant.NewCapNeverExceeded(),
	}
	for origin, n := range d.gate.open {
		d.caps.SetCap(0, fmt.Sprint(origin), invariant.Cap{Concurrent: n, BytesPerSecond: math.MaxInt32})
	}
	d.params = testParams(3, 3)
	d.pool = NewPool(0, d.params, rand.New(rand.NewSource(1)))
	d.pool.SetGate(d.gate)
	d.setSlots()
	return d
}

func (d *driver) fault(check, format string, args ...any) {
	d.faults = append(d.faults, check+": "+fmt.Sprintf(format, args...))
}

func (d *driver) setSlots() {
	slots := map[string]int{}
	for _, s := range d.params.Servers {
		slots[s.Name] = s.Slots
		if till, ok := d.reserved[s.Name]; ok && d.now < till {
			slots[s.Name] = max(0, s.Slots-1)
		}
	}
	for i := 0; i < 5; i++ {
		name := fmt.Sprintf("s%d", i)
		d.load.SetSlots("here", name, slots[name])
	}
}

func (d *driver) server() string { return fmt.Sprintf("s%d", d.draw(5)) }

// step applies one random event.
func (d *driver) step() {
	d.now += time.Duration(d.draw(50)) * ms
	d.endExpired()
	d.setSlots()
	if d.sabotage != nil {
		d.sabotage(d)
	}
	var acts []Action
	switch d.draw(16) {
	case 0, 1, 2, 3, 4, 5, 6:
		acts = d.enqueue()
	case 7, 8, 9, 10:
		acts = d.release()
	case 11:
		acts = d.pool.Tick(d.now, nil)
	case 12:
		name, leaves := d.server(), d.draw(3) == 0
		if d.pool.find(name) >= 0 {
			d.mark(name, leaves)
		}
		acts = d.pool.SetLeaving(d.now, name, leaves, nil)
	case 13:
		d.pool.ReportLoad(d.now, d.server(), LoadReport{InFlight: d.draw(6), Healthy: d.draw(4) > 0, At: d.now})
		acts = d.wake()
	case 14:
		name := d.server()
		if d.pool.find(name) >= 0 {
			d.reserved[name] = d.now + 300*ms
			d.setSlots()
		}
		d.pool.Reserve(d.now, name, 1, d.now+300*ms)
		acts = d.wake()
	default:
		acts = d.rare()
	}
	d.check(acts)
}

// rare withdraws a request or changes the configuration.
func (d *driver) rare() []Action {
	if d.draw(2) == 0 {
		key := d.key - uint64(d.draw(6))
		delete(d.pending, key)
		return d.pool.Cancel(d.now, key, nil)
	}
	before := map[string]bool{}
	for _, s := range d.params.Servers {
		before[s.Name] = true
	}
	d.params = testParams(1+d.draw(5), 1+d.draw(4))
	for i := 0; i < 5; i++ {
		if name := fmt.Sprintf("s%d", i); i >= len(d.params.Servers) || !before[name] {
			d.mark(name, false)
			delete(d.reserved, name)
		}
	}
	d.setSlots()
	return d.pool.Configure(d.now, d.params, nil)
}

// wake ticks the pool when it asks for it at once.
func (d *driver) wake() []Action {
	if d.pool.NextWake(d.now) > d.now+ms {
		return nil
	}
	return d.pool.Tick(d.now, nil)
}

func (d *driver) mark(name string, leaves bool) {
	if d.left[name] = leaves; leaves {
		// The pool promises no grant at all after the signal.
		d.leaving.Leaving(-time.Hour, name)
	} else {
		d.leaving.Stays(name)
	}
}

func (d *driver) enqueue() []Action {
	d.key++
	req := Request{Key: d.key, Rank: d.draw(3), Customer: d.draw(3), Origin: d.draw(3)}
	req.Deadline = d.now + d.params.Ranks[req.Rank].Deadline/time.Duration(1+d.draw(3))
	d.pending[req.Key] = req
	return d.pool.Enqueue(d.now, req, nil)
}

func (d *driver) release() []Action {
	if len(d.grants) == 0 {
		return nil
	}
	i := d.draw(len(d.grants))
	h := d.grants[i]
	d.end(i)
	res := Result{Status: OK, ServiceTime: time.Duration(1+d.draw(60)) * ms}
	if d.draw(4) == 0 {
		res.Status = Status(d.draw(4))
	}
	return d.pool.Release(d.now, h.id, res, nil)
}

func (d *driver) end(i int) {
	h := d.grants[i]
	d.grants = append(d.grants[:i], d.grants[i+1:]...)
	d.held[h.rank]--
	d.load.End(d.now, h.server)
	if h.origin != 0 {
		d.caps.End(d.now, fmt.Sprint(h.origin))
	}
}

// endExpired ends the requests whose deadline has passed by the grace: the
// servers have stopped them, and the pool may use their slots again.
func (d *driver) endExpired() {
	for i := len(d.grants) - 1; i >= 0; i-- {
		if d.now > d.grants[i].deadline+grantGrace {
			d.end(i)
		}
	}
}

func (d *driver) check(acts []Action) {
	for _, a := range acts {
		req, ok := d.pending[a.Key]
		if !ok {
			d.fault("once", "second answer to %d", a.Key)
			continue
		}
		delete(d.pending, a.Key)
		if a.Kind == Grant {
			d.granted(a, req)
		}
	}
	if d.pool.gate != nil {
		for _, h := range d.grants {
			if h.origin != 0 && d.gate.used[h.origin] == 0 {
				d.fault("gate", "grant of origin %d without its gate", h.origin)
			}
		}
	}
	if len(d.pool.queued) != len(d.pending) {
		d.fault("once", "%d queued, %d without an answer", len(d.pool.queued), len(d.pending))
	}
	d.checkIdle()
}

func (d *driver) granted(a Action, req Request) {
	name := d.pool.ServerName(a.Server)
	d.load.Start(d.now, name)
	d.leaving.Start(d.now, name)
	if req.Origin != 0 {
		d.caps.Start(d.now, fmt.Sprint(req.Origin), req.Bytes)
	}
	d.held[req.Rank]++
	d.grants = append(d.grants, heldGrant{a.Grant, name, req.Rank, req.Origin, req.Deadline})
	if float64(d.held[req.Rank]) < d.params.Ranks[req.Rank].Floor*float64(d.pool.slots)+1 {
		return // work within its floor goes ahead of more urgent work
	}
	for _, other := range d.pending {
		// Gated requests may have to wait while less urgent ones go on.
		if _, queued := d.pool.queued[other.Key]; queued && other.Rank < req.Rank && other.Origin == 0 {
			d.fault("order", "rank %d granted while %d of rank %d waits", req.Rank, other.Key, other.Rank)
			return
		}
	}
}

// checkIdle reports slots that stay free while local work waits and no more
// urgent work is expected.
func (d *driver) checkIdle() {
	free := 0
	for i := range d.pool.servers {
		free += d.pool.servers[i].free()
	}
	for i := range d.pool.ranks {
		r := &d.pool.ranks[i]
		if free > 0 && r.byOrigin[0] > 0 && r.reserve == 0 {
			d.fault("idle", "%d free slots with %d queued of rank %d", free, r.byOrigin[0], i)
		}
		if r.queued > 0 && r.reserve > 0 {
			return // less urgent ranks wait while a reserve holds this one back
		}
	}
}

func (d *driver) problem() string {
	if err := invariant.FirstError(d.load, d.leaving, d.caps); err != nil {
		return err.Error()
	}
	if len(d.faults) > 0 {
		return d.faults[0]
	}
	return ""
}

// TestRandomEvents guards against any order of events that overloads a server,
// sends work to a leaving one, exceeds a gate, answers a request twice or
// never, serves ranks out of order or leaves usable slots idle.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, nil)
		for n := rapid.IntRange(1, 150).Draw(t, "steps"); n > 0; n-- {
			d.step()
			if p := d.problem(); p != "" {
				t.Fatal(p)
			}
		}
	})
}

// TestChecksTrip guards against checks that a broken rule does not trip.
func TestChecksTrip(t *testing.T) {
	for _, tc := range []struct {
		want     string
		sabotage func(*driver)
	}{
		{"RegionNotOverloaded", func(d *driver) {
			if s := &d.pool.servers[0]; s.free() == 0 && s.usable <= s.Slots {
				s.usable++
				d.pool.free += s.free()
			}
		}},
		{"NoNewWorkToLeaving", func(d *driver) {
			for i := range d.pool.servers {
				d.pool.servers[i].signaled = false
			}
			d.pool.refresh(d.now)
		}},
		{"CapNeverExceeded", func(d *driver) { d.pool.gate = nil }},
		{"once", func(d *driver) { delete(d.pending, d.key) }},
		{"order", func(d *driver) {
			d.pool.ranks[2].floorSlots = 100
		}},
		{"idle", func(d *driver) { d.pool.free = 0 }},
	} {
		t.Run(tc.want, func(t *testing.T) {
			d := newDriver(rand.New(rand.NewSource(1)).Intn, tc.sabotage)
			for n := 0; n < 20000 && d.problem() == ""; n++ {
				d.step()
			}
			NewWithT(t).Expect(strings.Contains(d.problem(), tc.want)).To(BeTrue(), d.problem())
		})
	}
}

// TestLikeFIFO compares a pool with one rank and one customer to a naive first
// in, first out queue over the same slots: the order of grants is the same.
func TestLikeFIFO(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := testParams(2, 2)
		params.Ranks = []Rank{{Name: "only", Target: time.Hour, Deadline: time.Hour, InitialServiceTime: ms}}
		p := NewPool(0, params, rand.New(rand.NewSource(1)))
		var grants []GrantID
		var queue, order, naive []uint64
		used := 0
		take := func(acts []Action) {
			for _, a := range acts {
				grants, order = append(grants, a.Grant), append(order, a.Key)
			}
			for used < 4 && len(queue) > 0 {
				naive, queue, used = append(naive, queue[0]), queue[1:], used+1
			}
		}
		for n := uint64(1); n < 200; n++ {
			now := time.Duration(n) * ms
			if rapid.Bool().Draw(t, "arrival") {
				queue = append(queue, n)
				take(p.Enqueue(now, local(n, 0, time.Hour), nil))
			} else if len(grants) > 0 {
				i := rapid.IntRange(0, len(grants)-1).Draw(t, "grant")
				id := grants[i]
				grants, used = append(grants[:i], grants[i+1:]...), used-1
				take(p.Release(now, id, Result{ServiceTime: ms}, nil))
			}
			if fmt.Sprint(order) != fmt.Sprint(naive) {
				t.Fatalf("granted %v, first in first out %v", order, naive)
			}
		}
	})
}
