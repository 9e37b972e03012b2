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

// driver applies random events to a pool and checks every action.
type driver struct {
	pool            *Pool
	draw            func(n int) int // uniform in [0, n)
	breakRule       func(*driver)   // corrupts the pool before each event; nil for none
	params          Params
	now             time.Duration
	key             uint64
	pending         map[uint64]Request
	grants          []openGrant
	heldSlots       []int
	reserved        map[string]time.Duration
	gate            *testGate
	overloadChecker *invariant.RegionNotOverloaded
	leavingChecker  *invariant.NoNewWorkToLeaving
	capChecker      *invariant.CapNeverExceeded
	markedDraining  map[string]bool
	faults          []string
}

// openGrant is a grant that was not released yet.
type openGrant struct {
	id           GrantID
	server       string
	rank, origin int
	deadline     time.Duration
}

func newDriver(draw func(n int) int, breakRule func(*driver)) *driver {
	d := &driver{
		draw: draw, breakRule: breakRule, pending: map[uint64]Request{}, heldSlots: make([]int, 3),
		reserved: map[string]time.Duration{}, markedDraining: map[string]bool{},
		gate:            &testGate{limit: map[int]int{1: 2, 2: 1}, used: map[int]int{}},
		overloadChecker: invariant.NewRegionNotOverloaded(), leavingChecker: invariant.NewNoNewWorkToLeaving(),
		capChecker: invariant.NewCapNeverExceeded(),
	}
	for origin, n := range d.gate.limit {
		d.capChecker.SetCap(0, fmt.Sprint(origin), invariant.Cap{Concurrent: n, BytesPerSecond: math.MaxInt32})
	}
	d.params = testParams(3, 3)
	d.pool = NewPool(0, d.params, rand.New(rand.NewSource(1)))
	d.pool.SetGate(d.gate)
	d.setSlots()
	return d
}

func (d *driver) addFault(check, format string, args ...any) {
	d.faults = append(d.faults, check+": "+fmt.Sprintf(format, args...))
}

// setSlots tells the overload checker how many slots each server has now.
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
		d.overloadChecker.SetSlots("here", name, slots[name])
	}
}

func (d *driver) randomServer() string { return fmt.Sprintf("s%d", d.draw(5)) }

// step applies one random event.
func (d *driver) step() {
	d.now += time.Duration(d.draw(50)) * ms
	d.endExpired()
	d.setSlots()
	if d.breakRule != nil {
		d.breakRule(d)
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
		name, draining := d.randomServer(), d.draw(3) == 0
		if d.pool.findServer(name) >= 0 {
			d.setDraining(name, draining)
		}
		acts = d.pool.SetDraining(d.now, name, draining, nil)
	case 13:
		d.pool.ReportLoad(d.now, d.randomServer(), LoadReport{InFlight: d.draw(6), Healthy: d.draw(4) > 0, At: d.now})
		acts = d.tickIfDue()
	case 14:
		name := d.randomServer()
		if d.pool.findServer(name) >= 0 {
			d.reserved[name] = d.now + 300*ms
			d.setSlots()
		}
		d.pool.Reserve(d.now, name, 1, d.now+300*ms)
		acts = d.tickIfDue()
	default:
		acts = d.cancelOrReconfigure()
	}
	d.checkActions(acts)
}

// cancelOrReconfigure cancels a request or applies another configuration.
func (d *driver) cancelOrReconfigure() []Action {
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
			d.setDraining(name, false)
			delete(d.reserved, name)
		}
	}
	d.setSlots()
	return d.pool.Configure(d.now, d.params, nil)
}

// tickIfDue ticks the pool if NextWake asks for it within a millisecond.
func (d *driver) tickIfDue() []Action {
	if d.pool.NextWake(d.now) > d.now+ms {
		return nil
	}
	return d.pool.Tick(d.now, nil)
}

func (d *driver) setDraining(name string, draining bool) {
	if d.markedDraining[name] = draining; draining {
		// The pool grants nothing at all after the signal.
		d.leavingChecker.Leaving(-time.Hour, name)
	} else {
		d.leavingChecker.LeaveAborted(name)
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
	d.endGrant(i)
	res := Result{Status: OK, ServiceTime: time.Duration(1+d.draw(60)) * ms}
	if d.draw(4) == 0 {
		res.Status = Status(d.draw(4))
	}
	return d.pool.Release(d.now, h.id, res, nil)
}

func (d *driver) endGrant(i int) {
	h := d.grants[i]
	d.grants = append(d.grants[:i], d.grants[i+1:]...)
	d.heldSlots[h.rank]--
	d.overloadChecker.End(d.now, h.server)
	if h.origin != 0 {
		d.capChecker.End(d.now, fmt.Sprint(h.origin))
	}
}

// endExpired ends the grants whose deadline has passed by more than grantGrace:
// the servers have stopped these requests, and the pool may reuse the slots.
func (d *driver) endExpired() {
	for i := len(d.grants) - 1; i >= 0; i-- {
		if d.now > d.grants[i].deadline+grantGrace {
			d.endGrant(i)
		}
	}
}

// checkActions checks that each request gets one action, that gated grants have
// passed the gate, and the rules of recordGrant and checkIdle.
func (d *driver) checkActions(acts []Action) {
	for _, a := range acts {
		req, ok := d.pending[a.Key]
		if !ok {
			d.addFault("once", "second answer to %d", a.Key)
			continue
		}
		delete(d.pending, a.Key)
		if a.Kind == Grant {
			d.recordGrant(a, req)
		}
	}
	if d.pool.gate != nil {
		for _, h := range d.grants {
			if h.origin != 0 && d.gate.used[h.origin] == 0 {
				d.addFault("gate", "grant of origin %d that the gate did not admit", h.origin)
			}
		}
	}
	if len(d.pool.queued) != len(d.pending) {
		d.addFault("once", "%d queued, %d without an answer", len(d.pool.queued), len(d.pending))
	}
	d.checkIdle()
}

// recordGrant passes the grant to the checkers and checks that no more urgent
// local request is queued.
func (d *driver) recordGrant(a Action, req Request) {
	name := d.pool.ServerName(a.Server)
	d.overloadChecker.Start(d.now, name)
	d.leavingChecker.Start(d.now, name)
	if req.Origin != 0 {
		d.capChecker.Start(d.now, fmt.Sprint(req.Origin), req.Bytes)
	}
	d.heldSlots[req.Rank]++
	d.grants = append(d.grants, openGrant{a.Grant, name, req.Rank, req.Origin, req.Deadline})
	if float64(d.heldSlots[req.Rank]) < d.params.Ranks[req.Rank].Floor*float64(d.pool.slots)+1 {
		return // a rank below its floor goes before more urgent ranks
	}
	for _, other := range d.pending {
		// Gated requests may have to wait while less urgent ones go on.
		if _, queued := d.pool.queued[other.Key]; queued && other.Rank < req.Rank && other.Origin == 0 {
			d.addFault("order", "rank %d granted while %d of rank %d waits", req.Rank, other.Key, other.Rank)
			return
		}
	}
}

// checkIdle adds a fault for slots that stay free while local requests are
// queued and no urgent reserve applies.
func (d *driver) checkIdle() {
	freeSlots := 0
	for i := range d.pool.servers {
		freeSlots += d.pool.servers[i].freeSlots()
	}
	for i := range d.pool.ranks {
		r := &d.pool.ranks[i]
		if freeSlots > 0 && r.queuedByOrigin[0] > 0 && r.urgentReserve == 0 {
			d.addFault("idle", "%d free slots with %d queued of rank %d", freeSlots, r.queuedByOrigin[0], i)
		}
		if r.queued > 0 && r.urgentReserve > 0 {
			return // less urgent ranks wait while the urgent reserve holds this one back
		}
	}
}

// firstProblem returns the first violation of a checker or the first fault, or
// "".
func (d *driver) firstProblem() string {
	if err := invariant.FirstError(d.overloadChecker, d.leavingChecker, d.capChecker); err != nil {
		return err.Error()
	}
	if len(d.faults) > 0 {
		return d.faults[0]
	}
	return ""
}

// TestRandomEvents guards against any sequence of events that overloads a
// server, grants slots of a draining one, exceeds a gate, answers a request
// twice or never, serves ranks out of order or leaves usable slots idle.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, nil)
		for n := rapid.IntRange(1, 150).Draw(t, "steps"); n > 0; n-- {
			d.step()
			if p := d.firstProblem(); p != "" {
				t.Fatal(p)
			}
		}
	})
}

// TestChecksDetectBrokenRules guards against checks of TestRandomEvents that
// pass although the rule that they check is broken.
func TestChecksDetectBrokenRules(t *testing.T) {
	for _, tc := range []struct {
		want      string
		breakRule func(*driver)
	}{
		{"RegionNotOverloaded", func(d *driver) {
			if s := &d.pool.servers[0]; s.freeSlots() == 0 && s.usableSlots <= s.Slots {
				s.usableSlots++
				d.pool.freeSlots += s.freeSlots()
			}
		}},
		{"NoNewWorkToLeaving", func(d *driver) {
			for i := range d.pool.servers {
				d.pool.servers[i].announcedDraining = false
			}
			d.pool.refreshServers(d.now)
		}},
		{"CapNeverExceeded", func(d *driver) { d.pool.gate = nil }},
		{"once", func(d *driver) { delete(d.pending, d.key) }},
		{"order", func(d *driver) {
			d.pool.ranks[2].floorSlots = 100
		}},
		{"idle", func(d *driver) { d.pool.freeSlots = 0 }},
	} {
		t.Run(tc.want, func(t *testing.T) {
			d := newDriver(rand.New(rand.NewSource(1)).Intn, tc.breakRule)
			for n := 0; n < 20000 && d.firstProblem() == ""; n++ {
				d.step()
			}
			NewWithT(t).Expect(strings.Contains(d.firstProblem(), tc.want)).To(BeTrue(), d.firstProblem())
		})
	}
}

// TestOneCustomerIsFIFO guards against a pool with one rank and one customer
// that grants in another order than a plain FIFO queue over the same slots.
func TestOneCustomerIsFIFO(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := testParams(2, 2)
		params.Ranks = []Rank{{Name: "only", Target: time.Hour, Deadline: time.Hour, InitialServiceTime: ms}}
		p := NewPool(0, params, rand.New(rand.NewSource(1)))
		var grants []GrantID
		var queue, order, fifoOrder []uint64
		used := 0
		recordGrants := func(acts []Action) {
			for _, a := range acts {
				grants, order = append(grants, a.Grant), append(order, a.Key)
			}
			for used < 4 && len(queue) > 0 {
				fifoOrder, queue, used = append(fifoOrder, queue[0]), queue[1:], used+1
			}
		}
		for n := uint64(1); n < 200; n++ {
			now := time.Duration(n) * ms
			if rapid.Bool().Draw(t, "arrival") {
				queue = append(queue, n)
				recordGrants(p.Enqueue(now, localRequest(n, 0, time.Hour), nil))
			} else if len(grants) > 0 {
				i := rapid.IntRange(0, len(grants)-1).Draw(t, "grant")
				id := grants[i]
				grants, used = append(grants[:i], grants[i+1:]...), used-1
				recordGrants(p.Release(now, id, Result{ServiceTime: ms}, nil))
			}
			if fmt.Sprint(order) != fmt.Sprint(fifoOrder) {
				t.Fatalf("granted %v, first in first out %v", order, fifoOrder)
			}
		}
	})
}
