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
	at   time.Duration
	seq  int
	fire func()
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
	id             host.ID
	region         int
	watcher        bool
	r              *Replica // nil while no process runs
	wakeAt         time.Duration
	applied        Revision // last revision applied by this process
	applyUnchecked bool     // broken variant: applies older revisions as well
}

// sim runs Replicas and Submissions in virtual time and records violations of
// their invariants.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	lastSeq   int
	events    simHeap
	store     *simStore
	nodes     []*simNode
	byID      map[host.ID]*simNode
	regions   [][]*simNode
	peers     [][]host.ID
	lossShare float64 // fraction of messages between hosts that are lost
	lateShare float64 // fraction of messages between hosts delayed by up to 20 s
	noPings   bool
	lanDelay  time.Duration // minimum delay between hosts, and to the store in its region
	wanDelay  time.Duration // delay to the store from other regions

	countBytes     bool              // whether send adds to sentBytes
	sentBytes      int               // in JSON, between hosts
	heads          map[Revision]Head // of the store, by revision
	violations     []string          // violations of invariants
	verdictsByOp   map[string][]Submitted
	submitAttempts map[string]int   // by operation identity
	processesAt    map[Revision]int // number of processes by current revision
	// processesReached is the number of processes that have reached a revision or a
	// later one. acceptedAt and everywhereAt are the times at which the store and
	// the last process reached it.
	processesReached         map[Revision]int
	acceptedAt, everywhereAt map[Revision]time.Duration

	// alterCall, if set, alters a store call of a submission, to model a broken
	// variant. onStoreResult, if set, receives each call with its result, which it may
	// alter for the same purpose.
	alterCall     func(operation string, c StoreCall) StoreCall
	onStoreResult func(operation string, c StoreCall, r *StoreResult)
}

func newSim(seed int64, regions, perRegion int) *sim {
	s := &sim{
		rng: rand.New(rand.NewSource(seed)), byID: map[host.ID]*simNode{}, heads: map[Revision]Head{},
		verdictsByOp: map[string][]Submitted{}, submitAttempts: map[string]int{}, processesAt: map[Revision]int{},
		processesReached: map[Revision]int{}, acceptedAt: map[Revision]time.Duration{}, everywhereAt: map[Revision]time.Duration{},
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

// schedule runs an event at time t; events of the same time run in order.
func (s *sim) schedule(t time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.events, simEvent{t, s.lastSeq, run})
}

func (s *sim) runUntil(t time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= t {
		ev := heap.Pop(&s.events).(simEvent)
		s.now = ev.at
		ev.fire()
	}
	s.now = t
}

func (s *sim) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// start replaces the process of a host by a new one.
func (s *sim) start(n *simNode) {
	s.stop(n)
	n.r, n.wakeAt, n.applied = NewReplica(rand.New(rand.NewSource(s.rng.Int63()))), never, 0
	process := n.r
	s.feed(n, SetPeers{slices.DeleteFunc(slices.Clone(s.peers[n.region]), func(id host.ID) bool { return id == n.id })})
	s.feed(n, SetWatcher{n.watcher})
	s.schedule(s.now+time.Duration(s.rng.Int63n(int64(time.Second))), func() { s.ping(n, process) })
}

// stop ends the process of a host without notice, as a crash does.
func (s *sim) stop(n *simNode) {
	if n.r != nil && n.applied != 0 {
		s.processesAt[n.applied]--
	}
	n.r = nil
}

// ping exchanges revisions with a random host of the region every second while
// process runs.
func (s *sim) ping(n *simNode, process *Replica) {
	if n.r != process {
		return
	}
	s.schedule(s.now+time.Second, func() { s.ping(n, process) })
	region := s.regions[n.region]
	to := region[s.rng.Intn(len(region))]
	if s.noPings || to == n {
		return
	}
	ping := PeerRevision{n.id, process.Revision()}
	s.send(n, to, ping, func() {
		s.feed(to, ping)
		if to.r != nil {
			pong := PeerRevision{to.id, to.r.Revision()}
			s.send(to, n, pong, func() { s.feed(n, pong) })
		}
	})
}

// feed steps the process of a host, if any, with an event and carries out the
// actions.
func (s *sim) feed(n *simNode, ev Event) {
	if n.r == nil {
		return
	}
	process := n.r
	if n.applyUnchecked {
		s.applyOlderPush(n, ev)
	}
	for _, a := range process.Step(s.now, ev, nil) {
		s.perform(n, process, a)
	}
	if w := process.NextWake(); w != n.wakeAt {
		n.wakeAt = w
		if w < never {
			s.schedule(max(w, s.now), func() {
				if n.r == process && n.wakeAt == w {
					n.wakeAt = never
					s.feed(n, Tick{})
				}
			})
		}
	}
}

func (s *sim) perform(n *simNode, process *Replica, a Action) {
	ifRunning := func(ev Event) func() {
		return func() {
			if n.r == process {
				s.feed(n, ev)
			}
		}
	}
	switch a := a.(type) {
	case Apply:
		s.applied(n, a)
	case StoreCall:
		s.store.call(a, s.storeLinkDelay(n.region), func(r StoreResult) { ifRunning(r)() })
	case SendPush:
		to := s.byID[a.To]
		s.send(n, to, a.Push, func() {
			s.deliverRequest(n, to, PushReceived{From: n.id, Push: a.Push}, func(x Action) {
				s.send(to, n, x.(AnswerPush).Answer, ifRunning(PushAnswered{a.Seq, x.(AnswerPush).Answer}))
			})
		})
	case SendPull:
		to := s.byID[a.To]
		s.send(n, to, a.Pull, func() {
			s.deliverRequest(n, to, PullReceived{Pull: a.Pull}, func(x Action) {
				s.send(to, n, x.(AnswerPull).Answer, ifRunning(PullAnswered{a.Seq, x.(AnswerPull).Answer}))
			})
		})
	}
}

// deliverRequest steps the process of a host with a request and passes the
// answer to answer.
func (s *sim) deliverRequest(_, to *simNode, ev Event, answer func(Action)) {
	if to.r == nil {
		return
	}
	process := to.r
	if to.applyUnchecked {
		s.applyOlderPush(to, ev)
	}
	for _, a := range process.Step(s.now, ev, nil) {
		switch a.(type) {
		case AnswerPush, AnswerPull:
			answer(a)
		default:
			s.perform(to, process, a)
		}
	}
	s.feed(to, Tick{})
}

// storeLinkDelay returns the one-way delay between a region and the store, which
// is in region 0.
func (s *sim) storeLinkDelay(region int) time.Duration {
	if region == 0 {
		return s.lanDelay
	}
	return s.wanDelay
}

// send delivers a message after a random delay, or loses it.
func (s *sim) send(_, _ *simNode, msg any, deliver func()) {
	if s.countBytes {
		b, _ := json.Marshal(msg)
		s.sentBytes += len(b)
	}
	if s.rng.Float64() < s.lossShare {
		return
	}
	d := s.lanDelay + time.Duration(s.rng.Int63n(int64(s.lanDelay)))
	if s.rng.Float64() < s.lateShare {
		d += time.Duration(s.rng.Int63n(int64(20 * time.Second)))
	}
	s.schedule(s.now+d, deliver)
}

// applied checks a revision that a process applies.
func (s *sim) applied(n *simNode, a Apply) {
	if a.Revision <= n.applied {
		s.addViolation("%s applied revision %d after %d", n.id, a.Revision, n.applied)
	}
	if h, ok := s.heads[a.Revision]; !ok || h.Checksum != a.Checksum || ChecksumOf(a.Text) != a.Checksum {
		s.addViolation("%s applied a text that is not revision %d", n.id, a.Revision)
	}
	if n.applied != 0 {
		s.processesAt[n.applied]--
	}
	for r := n.applied + 1; r <= a.Revision; r++ {
		if s.processesReached[r]++; s.processesReached[r] == len(s.nodes) {
			s.everywhereAt[r] = s.now
		}
	}
	n.applied = a.Revision
	s.processesAt[a.Revision]++
}

// applyOlderPush applies an older pushed revision, to model a broken variant.
func (s *sim) applyOlderPush(n *simNode, ev Event) {
	if p, ok := ev.(PushReceived); ok && p.Push.Revision < n.applied {
		s.applied(n, Apply{Revision: p.Push.Revision})
	}
}

// checkHead checks that the heads written to the store are consecutive and that
// each operation is accepted once.
func (s *sim) checkHead(value []byte) {
	h, err := DecodeHead(value)
	if err != nil {
		s.addViolation("the store got a damaged head: %v", err)
		return
	}
	if _, twice := s.heads[h.Revision]; twice || (h.Revision > 1 && s.heads[h.Revision-1].Checksum != h.Previous) {
		s.addViolation("revision %d was written twice or out of order", h.Revision)
	}
	for _, other := range s.heads {
		if other.Operation == h.Operation {
			s.addViolation("operation %s was applied twice", h.Operation)
		}
	}
	s.heads[h.Revision] = h
	s.acceptedAt[h.Revision] = s.now
}

// submit runs a submission from a host of the given region and passes its verdict
// to done.
func (s *sim) submit(region int, req Request, done func(Submitted)) {
	s.submitAttempts[req.Operation]++
	sub := NewSubmission(req, rand.New(rand.NewSource(s.rng.Int63())))
	var feed func(ev Event)
	feed = func(ev Event) {
		for _, a := range sub.Step(s.now, ev, nil) {
			switch a := a.(type) {
			case StoreCall:
				if s.alterCall != nil {
					a = s.alterCall(req.Operation, a)
				}
				s.store.call(a, s.storeLinkDelay(region), func(r StoreResult) {
					if s.onStoreResult != nil {
						s.onStoreResult(req.Operation, a, &r)
					}
					feed(r)
				})
			case Submitted:
				s.verdictsByOp[req.Operation] = append(s.verdictsByOp[req.Operation], a)
				if done != nil {
					done(a)
				}
			}
		}
		if w := sub.NextWake(); w < never {
			s.schedule(max(w, s.now), func() {
				if sub.NextWake() == w {
					feed(Tick{})
				}
			})
		}
	}
	feed(Tick{})
}

// checkVerdicts compares the verdicts of the submissions with the heads in the
// store.
func (s *sim) checkVerdicts() {
	inStore := map[string]Revision{}
	for r, h := range s.heads {
		inStore[h.Operation] = r
	}
	for op, verdicts := range s.verdictsByOp {
		for _, v := range verdicts {
			r, ok := inStore[op]
			switch {
			case v.Verdict == Accepted && (!ok || r != v.Revision):
				s.addViolation("%s was told accepted as %d, the store has %d", op, v.Revision, r)
			// The verdict of an attempt on another base does not concern the accepted one.
			case (v.Verdict == Conflict && r == v.Winner.Revision || v.Verdict == Failed && s.submitAttempts[op] == 1) && ok:
				s.addViolation("%s was told %s, the store has it as %d", op, v.Verdict, r)
			case v.Verdict == Conflict && s.heads[v.Winner.Revision].Operation != v.Winner.Operation:
				s.addViolation("%s was told of the wrong winner %v", op, v.Winner)
			}
		}
	}
}

// converged reports whether all running processes have the latest revision.
func (s *sim) converged() bool {
	running := 0
	for _, n := range s.nodes {
		if n.r != nil {
			running++
		}
	}
	return s.processesAt[Revision(len(s.heads))] == running
}
