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

// codecSample is the share of messages whose encoding and decoding is timed.
const codecSample = 16

// network describes the faults of the simulated network.
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
	info      host.Info
	m         *Machine // nil while no process runs
	wake      time.Duration
	paused    bool
	removed   bool // from the platform's list
	backlog   []Event
	side      int // hosts with different sides lose contact
	startedAt time.Duration
	blamable  time.Duration // before this time a false death is excusable
	seen      map[host.ID]host.Incarnation
}

type simCall struct {
	from *simNode
	run  *Machine
	seq  uint64
}

// sim runs Machines in virtual time over a faulty network.
type sim struct {
	cfg    Config
	net    network
	rng    *rand.Rand
	now    time.Duration
	events simHeap
	order  int
	nodes  []*simNode
	byAddr map[string]*simNode
	byID   map[host.ID]*simNode
	calls  map[uint64]simCall
	call   uint64
	inc    host.Incarnation

	// mangle may alter or drop an event, to model a broken variant.
	mangle func(n *simNode, ev Event) (Event, bool)
	// drop tells whether an action is swallowed, to model a broken variant.
	drop func(a Action) bool

	// cut lists pairs of hosts that cannot reach each other.
	cut map[[2]host.ID]bool

	listLag  time.Duration
	listDown bool
	history  []listing

	count       bool
	messages    int
	bytes       int
	stepTime    time.Duration // wall-clock time spent in Step while counting
	codecTime   time.Duration
	falseDeaths []string
	reversals   []string
	detected    map[host.ID][]time.Duration // times at which hosts saw the death
}

// listing is the platform's true list, by region, from a time on.
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
	s.relist()
	for _, n := range s.nodes {
		s.startProcess(n)
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

// relist records a change of the platform's list: all hosts but the removed ones.
func (s *sim) relist() {
	hosts := map[string][]Listed{}
	for _, n := range s.nodes {
		if !n.removed {
			hosts[n.info.Region] = append(hosts[n.info.Region], Listed{ID: n.info.ID, Region: n.info.Region, FailureDomain: n.info.FailureDomain,
				RPCAddress: n.info.RPCAddress, HTTPAddress: n.info.HTTPAddress, State: ListedLive})
		}
	}
	s.history = append(s.history, listing{s.now, hosts})
}

func (s *sim) startProcess(n *simNode) {
	s.inc++
	n.info.Incarnation = s.inc
	n.m = New(s.cfg, n.info, rand.New(rand.NewSource(s.rng.Int63())))
	n.paused, n.backlog, n.wake = false, nil, never
	n.blamable, n.startedAt = s.now+2*time.Second, s.now
	n.seen = map[host.ID]host.Incarnation{}
	run := n.m
	s.feed(n, Tick{})
	s.pollList(n, run)
}

func (s *sim) crash(n *simNode) { n.m = nil }

// pollList gives the process an answer of random age every two seconds.
func (s *sim) pollList(n *simNode, run *Machine) {
	if n.m != run {
		return
	}
	if s.listDown {
		s.feed(n, ListFailed{})
	} else {
		asOf := s.now - time.Duration(s.rng.Int63n(int64(s.listLag)+1))
		l := s.history[0]
		for _, h := range s.history {
			if h.at <= asOf {
				l = h
			}
		}
		s.feed(n, ListReceived{l.hosts[n.info.Region]})
	}
	s.at(s.now+2*time.Second, func() { s.pollList(n, run) })
}

func (s *sim) pause(n *simNode, d time.Duration) {
	if n.m == nil || n.paused {
		return
	}
	run := n.m
	n.paused = true
	n.blamable = s.now + d + 2*time.Second
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
	if s.mangle != nil {
		var ok bool
		if ev, ok = s.mangle(n, ev); !ok {
			return
		}
	}
	run := n.m
	start := time.Time{}
	if s.count {
		start = time.Now()
	}
	actions := run.Step(s.now, ev, nil)
	if s.count {
		s.stepTime += time.Since(start)
	}
	for _, a := range actions {
		if s.drop == nil || !s.drop(a) {
			s.act(n, run, a)
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

func (s *sim) act(n *simNode, run *Machine, a Action) {
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
		s.changed(n, a)
	}
}

func (s *sim) newCall(n *simNode, run *Machine, seq uint64) uint64 {
	s.call++
	s.calls[s.call] = simCall{n, run, seq}
	return s.call
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
	if s.count {
		start := time.Now()
		b, _ := json.Marshal(msg)
		if s.messages%codecSample == 0 {
			_ = json.Unmarshal(b, reflect.New(reflect.TypeOf(msg)).Interface())
			s.codecTime += codecSample * time.Since(start)
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
			if from.side == to.side && !s.cut[[2]host.ID{from.info.ID, to.info.ID}] && !s.cut[[2]host.ID{to.info.ID, from.info.ID}] {
				deliver(to)
			}
		})
	}
}

// changed checks every change of a view against the truth.
func (s *sim) changed(n *simNode, c Changed) {
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
	if s.now > t.blamable+s.cfg.SuspicionTimeout && s.now > n.blamable+s.cfg.SuspicionTimeout && t.m.own.Status != Gone {
		s.falseDeaths = append(s.falseDeaths, fmt.Sprintf("%v: %s took %s for gone", s.now, n.info.ID, m.ID))
	}
}

// disagreements lists views that differ from the truth.
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
