package lease

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/host"
)

const lessorKey = "/regions/test/lessor"

// sim runs one region in virtual time against the fake store's table.
type sim struct {
	now       time.Duration
	seq       int
	queue     simQueue
	rng       *rand.Rand
	cfg       Config
	table     *fakestore.Table
	hosts     []*process
	ids       map[host.ID]int
	list      []listState
	resources []Resource
	watchers  []func()
	faults    simFaults
	failure   string
	reads     int
	writes    int
	perSecond map[int]int
	// lag is the largest age of a host list.
	lag time.Duration
	// tick, members and listing are the times between Ticks, MembersChanged and
	// ListRead of a process.
	tick, members, listing time.Duration
	// unchecked leaves out the checks after each event, for benchmarks.
	unchecked bool
}

// simFaults are the disturbances in force.
type simFaults struct {
	storeDown              bool
	storeDelay             time.Duration
	loseAnswers, lateWrite float64
	loss, duplicate, late  float64
	listDown               bool
	stale                  bool
}

type listState struct {
	at  time.Duration
	ids []host.ID
}

// process is one run of the daemon on a host. Its clock has its own origin.
type process struct {
	info     host.Info
	ref      Ref
	lessor   *Lessor
	holder   *Holder
	origin   time.Duration
	alive    bool
	leaving  bool
	cut      bool // from the store
	isolated bool // from the other failure domain and the list
	paused   time.Duration
	started  time.Duration
	heard    time.Duration
	target   Ref // the lessor asked, since targetAt
	targetAt time.Duration
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// simTrace, if set, sees every event and action.
var simTrace func(s *sim, p *process, what string, x any)

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].seq-q[j].seq) < 0
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(seed uint64, hosts int, cfg Config) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg.withDefaults(), table: fakestore.NewTable(),
		ids: map[host.ID]int{}, perSecond: map[int]int{}, lag: defaultListLag - 2*time.Second,
		tick: TickPeriod, members: time.Second, listing: 2 * time.Second,
	}
	for i := range 3 {
		s.resources = append(s.resources, Resource{Name: fmt.Sprintf("pool/s%d", i)})
	}
	for i := range hosts {
		s.hosts = append(s.hosts, nil)
		s.startHost(i, host.ID(fmt.Sprintf("h%02d", i)), 1)
	}
	s.noteList()
	return s
}

func (s *sim) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, run: run})
}

// run processes events for d and checks the invariants after each.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end && s.failure == "" {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		if !s.unchecked {
			s.check()
		}
	}
	s.now = max(s.now, end)
}

func (s *sim) startHost(i int, id host.ID, incarnation host.Incarnation) {
	info := host.Info{ID: id, Incarnation: incarnation, FailureDomain: fmt.Sprintf("d%d", i%2)}
	p := &process{info: info, ref: Ref{ID: id, Incarnation: incarnation}, alive: true, started: s.now, heard: -time.Hour}
	p.origin = time.Duration(s.rng.Int64N(int64(time.Hour)))
	p.lessor = New(s.cfg, info, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	p.holder = NewHolder(p.ref)
	p.holder.broken = s.cfg.broken
	s.hosts[i], s.ids[id] = p, i
	s.step(p, ResourcesChanged{Resources: s.resources})
	s.every(p, &s.tick, func() { s.step(p, Tick{}) })
	s.every(p, &s.members, func() { s.step(p, s.membersFor(p)) })
	s.every(p, &s.listing, func() { s.readList(p) })
	s.at(s.delay(), func() { s.renewLoop(p) })
	s.at(s.upTo(3*time.Second), s.noteList)
}

// every repeats run while the process lives. A paused process catches up once.
func (s *sim) every(p *process, period *time.Duration, run func()) {
	s.at(s.upTo(*period), func() { s.repeat(p, period, run) })
}

func (s *sim) repeat(p *process, period *time.Duration, run func()) {
	if !p.alive {
		return
	}
	if s.now < p.paused {
		s.at(p.paused-s.now+s.upTo(*period), func() { s.repeat(p, period, run) })
		return
	}
	run()
	s.at(*period, func() { s.repeat(p, period, run) })
}

// deliver runs f in the process, after its pause if it is paused.
func (s *sim) deliver(p *process, f func()) {
	switch {
	case !p.alive:
	case s.now < p.paused:
		s.at(p.paused-s.now+s.upTo(time.Millisecond), func() { s.deliver(p, f) })
	default:
		f()
	}
}

func (s *sim) clock(p *process) time.Duration { return s.now + p.origin }

func (s *sim) step(p *process, e Event) {
	if simTrace != nil {
		simTrace(s, p, "event", e)
	}
	for _, a := range p.lessor.Step(s.clock(p), e, nil) {
		s.perform(p, a)
	}
}

func (s *sim) perform(p *process, a Action) {
	if simTrace != nil {
		simTrace(s, p, "action", a)
	}
	switch a := a.(type) {
	case StoreGet:
		s.storeCall(p, a.Call, false, func() StoreResult { return s.read(a.Call, 0) })
	case StoreWatch:
		s.watch(p, a)
	case StoreCAS:
		s.storeCall(p, a.Call, true, func() StoreResult { return s.write(a) })
	case Send:
		s.sendMessage(p, a.Message)
	}
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }
func (s *sim) chance(p float64) bool              { return p > 0 && s.rng.Float64() < p }
func (s *sim) delay() time.Duration               { return time.Millisecond + s.upTo(4*time.Millisecond) }

// renewLoop is the holder's part of the control goroutine.
func (s *sim) renewLoop(p *process) {
	s.deliver(p, func() {
		s.renew(p)
		s.at(p.holder.Period(), func() { s.renewLoop(p) })
	})
}

func (s *sim) renew(p *process) {
	now := s.clock(p)
	to, _ := p.holder.Primary()
	if to != p.target {
		p.target, p.targetAt = to, now
	}
	if to.IsZero() || now-max(p.heard, p.targetAt) > max(2*time.Second, 2*p.holder.Period()) {
		to = s.hosts[s.rng.IntN(len(s.hosts))].ref
	}
	request := p.holder.Request(now)
	s.transfer(p, to.ID, func(lessor *process) {
		for _, a := range lessor.lessor.Step(s.clock(lessor), RenewReceived{Request: request}, nil) {
			if reply, ok := a.(Reply); ok {
				s.transfer(lessor, p.ref.ID, func(back *process) {
					if back == p {
						s.answered(p, reply.Answer, lessor.ref)
					}
				})
			} else {
				s.perform(lessor, a)
			}
		}
	})
}

func (s *sim) answered(p *process, a RenewAnswer, from Ref) {
	c := p.holder.Answer(s.clock(p), a)
	if !a.Refused {
		p.heard = s.clock(p)
		s.step(p, PrimaryReported{Epoch: a.Epoch, Primary: from, Direct: true})
	}
	if c.RenewAtOnce {
		s.renew(p)
	}
	for _, name := range c.Release {
		s.at(s.upTo(300*time.Millisecond), func() {
			s.deliver(p, func() {
				p.holder.Release(name)
				s.renew(p)
			})
		})
	}
}

func (s *sim) membersFor(p *process) MembersChanged {
	var m MembersChanged
	for _, other := range s.hosts {
		if other.alive && s.now >= other.paused && connected(p, other) {
			m.Members = append(m.Members, Member{Ref: other.ref, FailureDomain: other.info.FailureDomain, Leaving: other.leaving})
		}
	}
	return m
}

// noteList records the platform's list: hosts that live and respond.
func (s *sim) noteList() {
	var ids []host.ID
	for _, p := range s.hosts {
		if p.alive && s.now >= p.paused && !p.isolated {
			ids = append(ids, p.ref.ID)
		}
	}
	s.list = append(s.list, listState{at: s.now, ids: ids})
	if len(s.list) > 200 {
		s.list = s.list[100:]
	}
}

func (s *sim) readList(p *process) {
	if s.faults.listDown || p.isolated {
		return
	}
	asOf := s.now - s.upTo(s.lag)
	var ids []host.ID
	for _, state := range s.list {
		if state.at <= asOf || ids == nil {
			ids = state.ids
		}
	}
	s.step(p, ListRead{Hosts: slices.Clone(ids)})
}

// check fails the simulation when two processes believe in the same right.
func (s *sim) check() {
	var primary *process
	for _, p := range s.hosts {
		if p.alive && believes(p.lessor, s.clock(p)) {
			if primary != nil {
				s.failure = fmt.Sprintf("%v: %v (epoch %d) and %v (epoch %d) are primary", s.now, primary.ref, primary.lessor.primary.epoch, p.ref, p.lessor.primary.epoch)
			}
			primary = p
		}
	}
	for _, r := range s.resources {
		var holder *process
		for _, p := range s.hosts {
			if p.alive && p.holder.Valid(s.clock(p), r.Name) {
				if holder != nil {
					s.failure = fmt.Sprintf("%v: %v and %v hold %s", s.now, holder.ref, p.ref, r.Name)
				}
				holder = p
			}
		}
	}
}

// believes tells whether the lessor would grant now.
func believes(l *Lessor, now time.Duration) bool {
	last := l.now
	l.now = now
	defer func() { l.now = last }()
	return l.role == Primary && now < l.Authority()
}

func (s *sim) primary() *process {
	for _, p := range s.hosts {
		if p.alive && believes(p.lessor, s.clock(p)) {
			return p
		}
	}
	return nil
}

func (s *sim) crash(i int) {
	s.hosts[i].alive = false
	s.at(s.upTo(8*time.Second), s.noteList)
}

// restart begins a newer incarnation on the same host.
func (s *sim) restart(i int) {
	p := s.hosts[i]
	if p.alive {
		s.crash(i)
	}
	s.startHost(i, p.ref.ID, p.ref.Incarnation+1)
}

func (s *sim) pause(i int, d time.Duration) {
	s.hosts[i].paused = s.now + d
	s.at(5*time.Second, s.noteList)
	s.at(d+s.upTo(time.Second), s.noteList)
}

// replace shuts a host down gracefully and starts its successor.
func (s *sim) replace(i int) {
	p := s.hosts[i]
	p.leaving = true
	p.holder.Leave()
	s.step(p, Shutdown{})
	s.at(12*time.Second, func() {
		if s.hosts[i] == p && p.alive {
			s.restart(i)
		}
	})
}
