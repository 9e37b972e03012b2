package confsync

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/store"
)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simHeap []simEvent

func (h simHeap) Len() int      { return len(h) }
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *simHeap) Push(x any) { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simNode is one host with the process that runs on it, if any.
type simNode struct {
	id      host.ID
	region  int
	watcher bool
	r       *Replica // nil while no process runs
	wake    time.Duration
	applied Revision // last one, of this process
	naive   bool     // applies whatever arrives: a broken variant
}

// sim runs Replicas and Submissions in virtual time.
type sim struct {
	rng      *rand.Rand
	now      time.Duration
	order    int
	events   simHeap
	store    *simStore
	nodes    []*simNode
	byID     map[host.ID]*simNode
	regions  [][]*simNode
	peers    [][]host.ID
	loss     float64
	late     float64
	noPings  bool
	lanDelay time.Duration
	wanDelay time.Duration

	count   bool
	bytes   int
	heads   map[Revision]Head // of the store, by revision
	faults  []string          // violations of invariants
	verdict map[string][]Submitted
	runs    map[string]int   // submissions per operation identity
	inForce map[Revision]int // processes per revision
	// reached counts the processes that have a revision or a later one,
	// acceptedAt and everywhereAt are when the store and all processes had it.
	reached                  map[Revision]int
	acceptedAt, everywhereAt map[Revision]time.Duration

	// mangle may alter a store call of a submission, onStore its result:
	// broken variants.
	mangle  func(operation string, c StoreCall) StoreCall
	onStore func(operation string, c StoreCall, r *StoreResult)
}

func newSim(seed int64, regions, perRegion int) *sim {
	s := &sim{
		rng: rand.New(rand.NewSource(seed)), byID: map[host.ID]*simNode{}, heads: map[Revision]Head{},
		verdict: map[string][]Submitted{}, runs: map[string]int{}, inForce: map[Revision]int{},
		reached: map[Revision]int{}, acceptedAt: map[Revision]time.Duration{}, everywhereAt: map[Revision]time.Duration{},
		lanDelay: time.Millisecond, wanDelay: 55 * time.Millisecond,
	}
	s.store = &simStore{s: s, versions: map[string][]store.Entry{}, delay: 4 * time.Millisecond}
	s.regions, s.peers = make([][]*simNode, regions), make([][]host.ID, regions)
	for r := range regions {
		for i := range perRegion {
			n := &simNode{id: host.ID(fmt.Sprintf("host-%02d-%04d", r, i)), region: r, watcher: i == 0}
			s.nodes, s.regions[r] = append(s.nodes, n), append(s.regions[r], n)
			s.peers[r] = append(s.peers[r], n.id)
			s.byID[n.id] = n
		}
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *sim) at(t time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{t, s.order, run})
}

func (s *sim) runUntil(t time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= t {
		ev := heap.Pop(&s.events).(simEvent)
		s.now = ev.at
		ev.run()
	}
	s.now = t
}

func (s *sim) violation(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *sim) start(n *simNode) {
	s.stop(n)
	n.r, n.wake, n.applied = NewReplica(rand.New(rand.NewSource(s.rng.Int63()))), never, 0
	run := n.r
	s.feed(n, SetPeers{slices.DeleteFunc(slices.Clone(s.peers[n.region]), func(id host.ID) bool { return id == n.id })})
	s.feed(n, SetWatcher{n.watcher})
	s.at(s.now+time.Duration(s.rng.Int63n(int64(time.Second))), func() { s.ping(n, run) })
}

func (s *sim) stop(n *simNode) {
	if n.r != nil && n.applied != 0 {
		s.inForce[n.applied]--
	}
	n.r = nil
}

// ping exchanges revisions with a random host of the region every second.
func (s *sim) ping(n *simNode, run *Replica) {
	if n.r != run {
		return
	}
	s.at(s.now+time.Second, func() { s.ping(n, run) })
	region := s.regions[n.region]
	to := region[s.rng.Intn(len(region))]
	if s.noPings || to == n {
		return
	}
	ping := PeerRevision{n.id, run.Revision()}
	s.send(n, to, ping, func() {
		s.feed(to, ping)
		if to.r != nil {
			pong := PeerRevision{to.id, to.r.Revision()}
			s.send(to, n, pong, func() { s.feed(n, pong) })
		}
	})
}

func (s *sim) feed(n *simNode, ev Event) {
	if n.r == nil {
		return
	}
	run := n.r
	if n.naive {
		s.applyNaively(n, ev)
	}
	for _, a := range run.Step(s.now, ev, nil) {
		s.act(n, run, a)
	}
	if w := run.NextWake(); w != n.wake {
		n.wake = w
		if w < never {
			s.at(max(w, s.now), func() {
				if n.r == run && n.wake == w {
					n.wake = never
					s.feed(n, Tick{})
				}
			})
		}
	}
}

func (s *sim) act(n *simNode, run *Replica, a Action) {
	alive := func(ev Event) func() {
		return func() {
			if n.r == run {
				s.feed(n, ev)
			}
		}
	}
	switch a := a.(type) {
	case Apply:
		s.applied(n, a)
	case StoreCall:
		s.store.call(a, s.link(n.region), func(r StoreResult) { alive(r)() })
	case SendPush:
		to := s.byID[a.To]
		s.send(n, to, a.Push, func() {
			s.exchange(n, to, PushReceived{From: n.id, Push: a.Push}, func(x Action) {
				s.send(to, n, x.(AnswerPush).Answer, alive(PushAnswered{a.Seq, x.(AnswerPush).Answer}))
			})
		})
	case SendPull:
		to := s.byID[a.To]
		s.send(n, to, a.Pull, func() {
			s.exchange(n, to, PullReceived{Pull: a.Pull}, func(x Action) {
				s.send(to, n, x.(AnswerPull).Answer, alive(PullAnswered{a.Seq, x.(AnswerPull).Answer}))
			})
		})
	}
}

// exchange feeds a request and hands over its answer.
func (s *sim) exchange(_, to *simNode, ev Event, answer func(Action)) {
	if to.r == nil {
		return
	}
	run := to.r
	if to.naive {
		s.applyNaively(to, ev)
	}
	for _, a := range run.Step(s.now, ev, nil) {
		switch a.(type) {
		case AnswerPush, AnswerPull:
			answer(a)
		default:
			s.act(to, run, a)
		}
	}
	s.feed(to, Tick{})
}

func (s *sim) link(region int) time.Duration {
	if region == 0 {
		return s.lanDelay
	}
	return s.wanDelay
}

func (s *sim) send(_, _ *simNode, msg any, deliver func()) {
	if s.count {
		b, _ := json.Marshal(msg)
		s.bytes += len(b)
	}
	if s.rng.Float64() < s.loss {
		return
	}
	d := s.lanDelay + time.Duration(s.rng.Int63n(int64(s.lanDelay)))
	if s.rng.Float64() < s.late {
		d += time.Duration(s.rng.Int63n(int64(20 * time.Second)))
	}
	s.at(s.now+d, deliver)
}

// applied checks what a process puts in force.
func (s *sim) applied(n *simNode, a Apply) {
	if a.Revision <= n.applied {
		s.violation("%s applied revision %d after %d", n.id, a.Revision, n.applied)
	}
	if h, ok := s.heads[a.Revision]; !ok || h.Digest != a.Digest || DigestOf(a.Text) != a.Digest {
		s.violation("%s applied a text that is not revision %d", n.id, a.Revision)
	}
	if n.applied != 0 {
		s.inForce[n.applied]--
	}
	for r := n.applied + 1; r <= a.Revision; r++ {
		if s.reached[r]++; s.reached[r] == len(s.nodes) {
			s.everywhereAt[r] = s.now
		}
	}
	n.applied = a.Revision
	s.inForce[a.Revision]++
}

func (s *sim) applyNaively(n *simNode, ev Event) {
	if p, ok := ev.(PushReceived); ok && p.Push.Revision < n.applied {
		s.applied(n, Apply{Revision: p.Push.Revision})
	}
}

// committedHead checks the order of revisions in the store.
func (s *sim) committedHead(value []byte) {
	h, err := DecodeHead(value)
	if err != nil {
		s.violation("the store got a damaged head: %v", err)
		return
	}
	if _, twice := s.heads[h.Revision]; twice || (h.Revision > 1 && s.heads[h.Revision-1].Digest != h.Previous) {
		s.violation("revision %d was written twice or out of order", h.Revision)
	}
	for _, other := range s.heads {
		if other.Operation == h.Operation {
			s.violation("operation %s was applied twice", h.Operation)
		}
	}
	s.heads[h.Revision] = h
	s.acceptedAt[h.Revision] = s.now
}

// submit runs a submission from a host of the given region.
func (s *sim) submit(region int, req Request, done func(Submitted)) {
	s.runs[req.Operation]++
	sub := NewSubmission(req, rand.New(rand.NewSource(s.rng.Int63())))
	var feed func(ev Event)
	feed = func(ev Event) {
		for _, a := range sub.Step(s.now, ev, nil) {
			switch a := a.(type) {
			case StoreCall:
				if s.mangle != nil {
					a = s.mangle(req.Operation, a)
				}
				s.store.call(a, s.link(region), func(r StoreResult) {
					if s.onStore != nil {
						s.onStore(req.Operation, a, &r)
					}
					feed(r)
				})
			case Submitted:
				s.verdict[req.Operation] = append(s.verdict[req.Operation], a)
				if done != nil {
					done(a)
				}
			}
		}
		if w := sub.NextWake(); w < never {
			s.at(max(w, s.now), func() {
				if sub.NextWake() == w {
					feed(Tick{})
				}
			})
		}
	}
	feed(Tick{})
}

// checkVerdicts compares what submitters were told with the store.
func (s *sim) checkVerdicts() {
	inStore := map[string]Revision{}
	for r, h := range s.heads {
		inStore[h.Operation] = r
	}
	for op, verdicts := range s.verdict {
		for _, v := range verdicts {
			r, ok := inStore[op]
			switch {
			case v.Verdict == Accepted && (!ok || r != v.Revision):
				s.violation("%s was told accepted as %d, the store has %d", op, v.Revision, r)
			// A run on another base says nothing about the run that was accepted.
			case (v.Verdict == Conflict && r == v.Winner.Revision || v.Verdict == Failed && s.runs[op] == 1) && ok:
				s.violation("%s was told %s, the store has it as %d", op, v.Verdict, r)
			case v.Verdict == Conflict && s.heads[v.Winner.Revision].Operation != v.Winner.Operation:
				s.violation("%s was told of the wrong winner %v", op, v.Winner)
			}
		}
	}
}

// agreed tells whether all running processes have the latest revision.
func (s *sim) agreed() bool {
	running := 0
	for _, n := range s.nodes {
		if n.r != nil {
			running++
		}
	}
	return s.inForce[Revision(len(s.heads))] == running
}
