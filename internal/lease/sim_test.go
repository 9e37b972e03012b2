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

// sim simulates one region in virtual time. table holds the record.
type sim struct {
	now            time.Duration
	seq            int
	queue          simQueue
	rng            *rand.Rand
	cfg            Config
	table          *fakestore.Table
	hosts          []*process
	indexByID      map[host.ID]int
	hostLists      []hostList
	resources      []Resource
	watchers       []func()
	faults         simFaults
	failure        string
	reads          int
	writes         int
	callsPerSecond map[int]int
	// listLag is the largest age of a host list that a process reads.
	listLag time.Duration
	// tickPeriod, membersPeriod and listPeriod are the times between two Tick,
	// MembersChanged and ListRead events of a process.
	tickPeriod, membersPeriod, listPeriod time.Duration
	// skipChecks turns off the invariant checks after each event, for benchmarks.
	skipChecks bool
}

// simFaults are the faults in force. The float64 fields are probabilities per
// message or store call.
type simFaults struct {
	storeDown              bool
	storeDelay             time.Duration
	loseAnswers, lateWrite float64
	loss, duplicate, late  float64
	listDown               bool
	stale                  bool
}

// hostList is the host list since a time.
type hostList struct {
	at  time.Duration
	ids []host.ID
}

// process is one process of the daemon on a host. Its clock is origin ahead of the
// simulation's.
type process struct {
	info         host.Info
	ref          Ref
	lessor       *Lessor
	holder       *Holder
	origin       time.Duration
	alive        bool
	leaving      bool
	storeCut     bool // from the store
	isolated     bool // from the other failure domain and the list
	pausedUntil  time.Duration
	started      time.Duration
	lastAnswerAt time.Duration
	target       Ref // where renewals are sent, since targetSince
	targetSince  time.Duration
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// simTrace, if set, is called with every event and action.
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
		indexByID: map[host.ID]int{}, callsPerSecond: map[int]int{}, listLag: defaultListLag - 2*time.Second,
		tickPeriod: TickPeriod, membersPeriod: time.Second, listPeriod: 2 * time.Second,
	}
	for i := range 3 {
		s.resources = append(s.resources, Resource{Name: fmt.Sprintf("pool/s%d", i)})
	}
	for i := range hosts {
		s.hosts = append(s.hosts, nil)
		s.startHost(i, host.ID(fmt.Sprintf("h%02d", i)), 1)
	}
	s.recordHostList()
	return s
}

// at schedules run after the delay d.
func (s *sim) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, run: run})
}

// run advances the time by d and checks the invariants after each event. It stops
// at the first failure.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end && s.failure == "" {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		if !s.skipChecks {
			s.checkInvariants()
		}
	}
	s.now = max(s.now, end)
}

func (s *sim) startHost(i int, id host.ID, incarnation host.Incarnation) {
	info := host.Info{ID: id, Incarnation: incarnation, FailureDomain: fmt.Sprintf("d%d", i%2)}
	p := &process{info: info, ref: Ref{ID: id, Incarnation: incarnation}, alive: true, started: s.now, lastAnswerAt: -time.Hour}
	p.origin = time.Duration(s.rng.Int64N(int64(time.Hour)))
	p.lessor = New(s.cfg, info, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	p.holder = NewHolder(p.ref)
	p.holder.broken = s.cfg.broken
	s.hosts[i], s.indexByID[id] = p, i
	s.step(p, ResourcesChanged{Resources: s.resources})
	s.startPeriodic(p, &s.tickPeriod, func() { s.step(p, Tick{}) })
	s.startPeriodic(p, &s.membersPeriod, func() { s.step(p, s.membersFor(p)) })
	s.startPeriodic(p, &s.listPeriod, func() { s.readList(p) })
	s.at(s.delay(), func() { s.renewLoop(p) })
	s.at(s.randomUpTo(3*time.Second), s.recordHostList)
}

// startPeriodic calls run every period while the process lives, first after a
// random part of the period. A pause delays one call and drops the others.
func (s *sim) startPeriodic(p *process, period *time.Duration, run func()) {
	s.at(s.randomUpTo(*period), func() { s.repeat(p, period, run) })
}

func (s *sim) repeat(p *process, period *time.Duration, run func()) {
	if !p.alive {
		return
	}
	if s.now < p.pausedUntil {
		s.at(p.pausedUntil-s.now+s.randomUpTo(*period), func() { s.repeat(p, period, run) })
		return
	}
	run()
	s.at(*period, func() { s.repeat(p, period, run) })
}

// deliver calls f, after the end of p's pause if p is paused. It drops f if p has
// ended.
func (s *sim) deliver(p *process, f func()) {
	switch {
	case !p.alive:
	case s.now < p.pausedUntil:
		s.at(p.pausedUntil-s.now+s.randomUpTo(time.Millisecond), func() { s.deliver(p, f) })
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

func (s *sim) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}
func (s *sim) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }
func (s *sim) delay() time.Duration  { return time.Millisecond + s.randomUpTo(4*time.Millisecond) }

// renewLoop does what the control goroutine does for the holder.
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
		p.target, p.targetSince = to, now
	}
	if to.IsZero() || now-max(p.lastAnswerAt, p.targetSince) > max(2*time.Second, 2*p.holder.Period()) {
		to = s.hosts[s.rng.IntN(len(s.hosts))].ref
	}
	request := p.holder.Request(now)
	s.transfer(p, to.ID, func(lessor *process) {
		for _, a := range lessor.lessor.Step(s.clock(lessor), RenewReceived{Request: request}, nil) {
			if reply, ok := a.(Reply); ok {
				s.transfer(lessor, p.ref.ID, func(back *process) {
					if back == p {
						s.applyAnswer(p, reply.Answer, lessor.ref)
					}
				})
			} else {
				s.perform(lessor, a)
			}
		}
	})
}

func (s *sim) applyAnswer(p *process, a RenewAnswer, from Ref) {
	c := p.holder.Answer(s.clock(p), a)
	if !a.Refused {
		p.lastAnswerAt = s.clock(p)
		s.step(p, PrimaryReported{Epoch: a.Epoch, Primary: from, Direct: true})
	}
	if c.RenewAtOnce {
		s.renew(p)
	}
	for _, name := range c.Release {
		s.at(s.randomUpTo(300*time.Millisecond), func() {
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
		if other.alive && s.now >= other.pausedUntil && connected(p, other) {
			m.Members = append(m.Members, Member{Ref: other.ref, FailureDomain: other.info.FailureDomain, Leaving: other.leaving})
		}
	}
	return m
}

// recordHostList adds the present host list to the history: the hosts that live,
// respond and are not isolated.
func (s *sim) recordHostList() {
	var ids []host.ID
	for _, p := range s.hosts {
		if p.alive && s.now >= p.pausedUntil && !p.isolated {
			ids = append(ids, p.ref.ID)
		}
	}
	s.hostLists = append(s.hostLists, hostList{at: s.now, ids: ids})
	if len(s.hostLists) > 200 {
		s.hostLists = s.hostLists[100:]
	}
}

func (s *sim) readList(p *process) {
	if s.faults.listDown || p.isolated {
		return
	}
	asOf := s.now - s.randomUpTo(s.listLag)
	var ids []host.ID
	for _, state := range s.hostLists {
		if state.at <= asOf || ids == nil {
			ids = state.ids
		}
	}
	s.step(p, ListRead{Hosts: slices.Clone(ids)})
}

// checkInvariants fails the simulation when two processes have authority as primary
// or a valid lease of the same resource.
func (s *sim) checkInvariants() {
	var primary *process
	for _, p := range s.hosts {
		if p.alive && hasAuthority(p.lessor, s.clock(p)) {
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

// hasAuthority reports whether l would grant leases now.
func hasAuthority(l *Lessor, now time.Duration) bool {
	stepTime := l.now
	l.now = now
	defer func() { l.now = stepTime }()
	return l.role == Primary && now < l.Authority()
}

func (s *sim) primary() *process {
	for _, p := range s.hosts {
		if p.alive && hasAuthority(p.lessor, s.clock(p)) {
			return p
		}
	}
	return nil
}

func (s *sim) crash(i int) {
	s.hosts[i].alive = false
	s.at(s.randomUpTo(8*time.Second), s.recordHostList)
}

// restart ends the process of a host and starts a newer incarnation.
func (s *sim) restart(i int) {
	p := s.hosts[i]
	if p.alive {
		s.crash(i)
	}
	s.startHost(i, p.ref.ID, p.ref.Incarnation+1)
}

func (s *sim) pause(i int, d time.Duration) {
	s.hosts[i].pausedUntil = s.now + d
	s.at(5*time.Second, s.recordHostList)
	s.at(d+s.randomUpTo(time.Second), s.recordHostList)
}

// replace shuts a host down gracefully and restarts it 12 s later.
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
