package member

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// codecSampleInterval is the number of messages of which the encoding and
// decoding of one is timed.
const codecSampleInterval = 16

// network holds the probabilities of faults and the delays of the simulated
// network.
type network struct {
	loss, duplicate, late float64
	delay, lateDelay      time.Duration
}

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
	info         host.Info
	m            *Machine // nil while no process runs
	wake         time.Duration
	paused       bool
	removed      bool    // from the host list
	backlog      []Event // events that arrived during a pause
	partition    int     // hosts of different partitions cannot reach each other
	startedAt    time.Duration
	excusedUntil time.Duration                // false deaths until SuspicionTimeout after it are not reported
	seen         map[host.ID]host.Incarnation // latest incarnation seen of each host
}

type simCall struct {
	from *simNode
	run  *Machine
	seq  uint64
}

// sim runs Machines in virtual time over a simulated faulty network.
type sim struct {
	cfg             Config
	net             network
	rng             *rand.Rand
	now             time.Duration
	events          simHeap
	eventSeq        int
	nodes           []*simNode
	byAddr          map[string]*simNode
	byID            map[host.ID]*simNode
	calls           map[uint64]simCall
	lastCall        uint64
	lastIncarnation host.Incarnation

	// alterEvent may alter an event or, by false, drop it, to model a broken
	// variant.
	alterEvent func(n *simNode, ev Event) (Event, bool)
	// dropAction reports whether an action is discarded, to model a broken
	// variant.
	dropAction func(a Action) bool

	// brokenLinks contains the pairs of hosts that cannot reach each other.
	brokenLinks map[[2]host.ID]bool

	listLag     time.Duration
	listDown    bool
	listHistory []listing

	measuring   bool
	messages    int
	bytes       int
	stepTime    time.Duration // wall-clock time spent in Step while measuring
	codecTime   time.Duration
	falseDeaths []string                    // reachable running processes that were declared gone
	reversals   []string                    // changes of a host's view to an earlier incarnation
	detected    map[host.ID][]time.Duration // times at which hosts declared an ended process gone
}

// listing is the content of the host list, by region, from time at on.
type listing struct {
	at    time.Duration
	hosts map[string][]Listed
}

func newSim(seed int64, regions, perRegion int, net network) *sim {
	s := &sim{
		cfg: DefaultConfig(), net: net, rng: rand.New(rand.NewSource(seed)),
		byAddr: map[string]*simNode{}, byID: map[host.ID]*simNode{}, calls: map[uint64]simCall{},
		listLag: 15 * time.Second, detected: map[host.ID][]time.Duration{},
	}
	for r := range regions {
		for i := range perRegion {
			n := &simNode{info: host.Info{
				ID: host.ID(fmt.Sprintf("host-%02d-%04d", r, i)), Region: fmt.Sprintf("region-%02d", r),
				FailureDomain: fmt.Sprintf("domain-%d", i%2),
				RPCAddress:    fmt.Sprintf("10.%d.%d.%d:7100", r, i/250, i%250),
				HTTPAddress:   fmt.Sprintf("10.%d.%d.%d:8080", r, i/250, i%250),
			}}
			s.nodes = append(s.nodes, n)
			s.byAddr[n.info.RPCAddress] = n
			s.byID[n.info.ID] = n
		}
	}
	s.recordList()
	for _, n := range s.nodes {
		s.startProcess(n)
	}
	return s
}

// at schedules run for time t.
func (s *sim) at(t time.Duration, run func()) {
	s.eventSeq++
	heap.Push(&s.events, simEvent{t, s.eventSeq, run})
}

func (s *sim) runUntil(t time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= t {
		ev := heap.Pop(&s.events).(simEvent)
		s.now = ev.at
		ev.run()
	}
	s.now = t
}

// recordList appends the current list, all hosts but the removed ones, to
// listHistory.
func (s *sim) recordList() {
	hosts := map[string][]Listed{}
	for _, n := range s.nodes {
		if !n.removed {
			hosts[n.info.Region] = append(hosts[n.info.Region], Listed{ID: n.info.ID, Region: n.info.Region, FailureDomain: n.info.FailureDomain,
				RPCAddress: n.info.RPCAddress, HTTPAddress: n.info.HTTPAddress, State: ListedLive})
		}
	}
	s.listHistory = append(s.listHistory, listing{s.now, hosts})
}

func (s *sim) startProcess(n *simNode) {
	s.lastIncarnation++
	n.info.Incarnation = s.lastIncarnation
	n.m = New(s.cfg, n.info, rand.New(rand.NewSource(s.rng.Int63())))
	n.paused, n.backlog, n.wake = false, nil, never
	n.excusedUntil, n.startedAt = s.now+2*time.Second, s.now
	n.seen = map[host.ID]host.Incarnation{}
	run := n.m
	s.feed(n, Tick{})
	s.pollList(n, run)
}

func (s *sim) crash(n *simNode) { n.m = nil }

// pollList feeds the process an answer of the host list, of a random age up to
// listLag, every two seconds.
func (s *sim) pollList(n *simNode, run *Machine) {
	if n.m != run {
		return
	}
	if s.listDown {
		s.feed(n, ListFailed{})
	} else {
		asOf := s.now - time.Duration(s.rng.Int63n(int64(s.listLag)+1))
		l := s.listHistory[0]
		for _, h := range s.listHistory {
			if h.at <= asOf {
				l = h
			}
		}
		s.feed(n, ListReceived{l.hosts[n.info.Region]})
	}
	s.at(s.now+2*time.Second, func() { s.pollList(n, run) })
}

// pause delays the process's events by d, as if the operating system had stopped
// it.
func (s *sim) pause(n *simNode, d time.Duration) {
	if n.m == nil || n.paused {
		return
	}
	run := n.m
	n.paused = true
	n.excusedUntil = s.now + d + 2*time.Second
	s.at(s.now+d, func() {
		if n.m != run {
			return
		}
		n.paused = false
		backlog := n.backlog
		n.backlog = nil
		s.feed(n, Tick{})
		for _, ev := range backlog {
			s.feed(n, ev)
		}
	})
}

func (s *sim) feed(n *simNode, ev Event) {
	if n.m == nil {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, ev)
		return
	}
	if s.alterEvent != nil {
		var ok bool
		if ev, ok = s.alterEvent(n, ev); !ok {
			return
		}
	}
	run := n.m
	start := time.Time{}
	if s.measuring {
		start = time.Now()
	}
	actions := run.Step(s.now, ev, nil)
	if s.measuring {
		s.stepTime += time.Since(start)
	}
	for _, a := range actions {
		if s.dropAction == nil || !s.dropAction(a) {
			s.execute(n, run, a)
		}
	}
	if w := run.NextWake(); w != n.wake && w < never {
		n.wake = w
		s.at(w, func() {
			if n.m == run && n.wake == w {
				s.feed(n, Tick{})
			}
		})
	}
}

func (s *sim) execute(n *simNode, run *Machine, a Action) {
	switch a := a.(type) {
	case SendPing:
		s.send(n, a.To.RPCAddress, a.Ping, func(to *simNode) {
			s.feed(to, PingReceived{s.newCall(n, run, a.Seq), a.Ping})
		})
	case SendPingReq:
		s.send(n, a.To.RPCAddress, a.Request, func(to *simNode) {
			s.feed(to, PingReqReceived{s.newCall(n, run, a.Seq), a.Request})
		})
	case AnswerPing:
		s.reply(n, a.Call, a.Pong, func(seq uint64) Event { return PongReceived{seq, a.Pong} })
	case AnswerPingReq:
		s.reply(n, a.Call, a.Answer, func(seq uint64) Event { return PingReqAnswered{seq, a.Answer} })
	case Changed:
		s.checkChange(n, a)
	}
}

func (s *sim) newCall(n *simNode, run *Machine, seq uint64) uint64 {
	s.lastCall++
	s.calls[s.lastCall] = simCall{n, run, seq}
	return s.lastCall
}

func (s *sim) reply(n *simNode, id uint64, msg any, ev func(seq uint64) Event) {
	c, ok := s.calls[id]
	if !ok {
		return
	}
	delete(s.calls, id)
	s.send(n, c.from.info.RPCAddress, msg, func(to *simNode) {
		if to.m == c.run && c.seq != 0 {
			s.feed(to, ev(c.seq))
		}
	})
}

func (s *sim) send(from *simNode, addr string, msg any, deliver func(to *simNode)) {
	if s.measuring {
		start := time.Now()
		b, _ := json.Marshal(msg)
		if s.messages%codecSampleInterval == 0 {
			_ = json.Unmarshal(b, reflect.New(reflect.TypeOf(msg)).Interface())
			s.codecTime += codecSampleInterval * time.Since(start)
		}
		s.messages++
		s.bytes += len(b)
	}
	copies := 1
	if s.rng.Float64() < s.net.duplicate {
		copies = 2
	}
	to := s.byAddr[addr]
	for range copies {
		if s.rng.Float64() < s.net.loss {
			continue
		}
		d := s.net.delay + time.Duration(s.rng.Int63n(int64(s.net.delay)+1))
		if s.rng.Float64() < s.net.late {
			d += time.Duration(s.rng.Int63n(int64(s.net.lateDelay)))
		}
		s.at(s.now+d, func() {
			if from.partition == to.partition && !s.brokenLinks[[2]host.ID{from.info.ID, to.info.ID}] && !s.brokenLinks[[2]host.ID{to.info.ID, from.info.ID}] {
				deliver(to)
			}
		})
	}
}

// checkChange compares each change of a host's view with the simulated state.
func (s *sim) checkChange(n *simNode, c Changed) {
	m := c.Member
	if m.Incarnation < n.seen[m.ID] {
		s.reversals = append(s.reversals, fmt.Sprintf("%v: %s saw %s go back to incarnation %d", s.now, n.info.ID, m.ID, m.Incarnation))
	}
	n.seen[m.ID] = m.Incarnation
	if m.Status != Gone || m.ID == n.info.ID {
		return
	}
	t := s.byID[m.ID]
	if t.m == nil || t.info.Incarnation != m.Incarnation {
		s.detected[m.ID] = append(s.detected[m.ID], s.now)
		return
	}
	if s.now > t.excusedUntil+s.cfg.SuspicionTimeout && s.now > n.excusedUntil+s.cfg.SuspicionTimeout && t.m.ownClaim.Status != Gone {
		s.falseDeaths = append(s.falseDeaths, fmt.Sprintf("%v: %s declared the running %s gone", s.now, n.info.ID, m.ID))
	}
}

// disagreements lists views that differ from the simulated state.
func (s *sim) disagreements() []string {
	var out []string
	for _, n := range s.nodes {
		if n.m == nil {
			continue
		}
		for _, t := range s.nodes {
			if t == n || t.info.Region != n.info.Region {
				continue
			}
			m, known := n.m.Member(t.info.ID)
			switch {
			case t.m == nil && known && m.TakesWork():
				out = append(out, fmt.Sprintf("%s sees ended %s as %s", n.info.ID, t.info.ID, m.Status))
			case t.m != nil && (!known || m.Status != Live || m.Incarnation != t.info.Incarnation):
				out = append(out, fmt.Sprintf("%s sees live %s/%d as %s/%d", n.info.ID, t.info.ID, t.info.Incarnation, m.Status, m.Incarnation))
			}
		}
	}
	return out
}
