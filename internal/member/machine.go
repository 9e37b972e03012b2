package member

import (
	"encoding/json"
	"math/rand"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// never is a time that is not reached.
const never = time.Duration(1<<63 - 1)

// record is what this host keeps about another host of the region.
type record struct {
	claim Claim
	// left is set once the incarnation has announced its shutdown.
	left bool
	// listed and listedLeaving repeat the latest answer of the host list.
	listed, listedLeaving bool
	// forgotten records are kept only to recognize late messages.
	forgotten bool
	// observed is set if this host's own probe caused the suspicion.
	observed bool
	// metAt is the first time this incarnation was heard of.
	metAt time.Duration
	// listedAt is the latest time at which the host list named the host.
	listedAt time.Duration
	// suspectUntil ends the suspicion; reprobeAt is the next repeated probe.
	suspectUntil, reprobeAt time.Duration
}

// Machine is the membership of one region as seen by one process. It is not
// safe for concurrent use.
type Machine struct {
	cfg  Config
	self host.Info
	rng  *rand.Rand

	own        Claim
	superseded host.Incarnation
	stopped    bool

	records map[host.ID]*record
	ids     []host.ID // keys of records in order
	active  int       // records that are not forgotten

	ring    []host.ID // order of probes
	ringPos int

	started   bool
	startedAt time.Duration
	lastStep  time.Duration
	nextProbe time.Duration
	suspects  []host.ID // in order of id
	calls     []call    // in order of seq
	seq       uint64

	queue  []queued
	digest uint64
	// digestAt is the latest change of digest.
	digestAt time.Duration
	extra    json.RawMessage

	// muted is set while claims are taken in that the region knows already.
	muted    bool
	lastSync time.Duration
	synced   bool

	list  listView
	stats Stats
	out   []Action
}

// New returns the membership of a process that starts now and knows nobody.
func New(cfg Config, self host.Info, rng *rand.Rand) *Machine {
	m := &Machine{cfg: cfg, self: self, rng: rng, records: make(map[host.ID]*record)}
	m.own = Claim{
		ID: self.ID, Incarnation: self.Incarnation, Status: Joining,
		Place: &Place{self.FailureDomain, self.RPCAddress, self.HTTPAddress},
	}
	m.list.coverSince, m.list.answeredAt, m.list.selfAt = never, -1, -1
	return m
}

// Step feeds one event at time now, which never decreases, and appends the
// resulting actions to actions.
func (m *Machine) Step(now time.Duration, ev Event, actions []Action) []Action {
	if m.stopped {
		return actions
	}
	m.out = actions
	m.start(now)
	m.allowPause(now)
	m.handle(now, ev)
	m.runTimers(now)
	m.lastStep = now
	actions, m.out = m.out, nil
	return actions
}

func (m *Machine) start(now time.Duration) {
	if m.started {
		return
	}
	m.started = true
	m.lastStep, m.startedAt = now, now
	// Random phases keep hosts that start together from probing together.
	m.nextProbe = now + time.Duration(m.rng.Int63n(int64(m.cfg.ProbePeriod)))
	m.lastSync = now - m.cfg.SyncPeriod
}

// allowPause extends deadlines of others when this process did not run at the
// time its own timer was due: their answers may be waiting to be read.
func (m *Machine) allowPause(now time.Duration) {
	late := now - max(m.NextWake(), m.lastStep)
	if late <= m.cfg.PauseLimit {
		return
	}
	m.stats.Pauses++
	for i := range m.calls {
		m.calls[i].deadline += late
	}
	for _, id := range m.suspects {
		r := m.records[id]
		r.suspectUntil += late
		r.reprobeAt += late
	}
	m.nextProbe += late
}

func (m *Machine) handle(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case Tick:
	case PingReceived:
		m.pingReceived(now, e)
	case PongReceived:
		m.pongReceived(now, e)
	case PingReqReceived:
		m.pingReqReceived(now, e)
	case PingReqAnswered:
		m.pingReqAnswered(now, e)
	case CallFailed:
		m.callFailed(now, e.Seq)
	case ListReceived:
		m.listReceived(now, e.Hosts)
	case ListFailed:
		m.stats.ListFailures++
	case SetExtra:
		m.extra = e.Extra
	case Leave:
		m.announce(Leaving)
	case Stop:
		m.announce(Gone)
		m.stopped = true
	}
}

// announce states a final change of this process and tells a few members at once.
func (m *Machine) announce(s Status) {
	if m.own.Status.order() >= s.order() {
		return
	}
	m.own.Status = s
	m.own.Refutation++
	m.enqueue(m.self.ID)
	for _, id := range m.choose(m.cfg.IndirectProbes, m.self.ID) {
		m.sendPing(id, 0, false)
	}
}

// NextWake returns the time at which Step is next due without an event.
func (m *Machine) NextWake() time.Duration {
	if m.stopped {
		return never
	}
	next := m.nextProbe
	for _, c := range m.calls {
		next = min(next, c.deadline)
	}
	for _, id := range m.suspects {
		r := m.records[id]
		next = min(next, r.suspectUntil, r.reprobeAt)
	}
	return next
}

func (m *Machine) runTimers(now time.Duration) {
	m.expireCalls(now)
	m.runSuspicions(now)
	if now >= m.nextProbe && !m.stopped {
		m.probeNext(now)
		m.nextProbe += m.cfg.ProbePeriod
		if m.nextProbe <= now {
			m.nextProbe = now + m.cfg.ProbePeriod
		}
	}
}

// runSuspicions ends suspicions whose time is over and repeats probes of the
// members that this host suspects itself.
func (m *Machine) runSuspicions(now time.Duration) {
	for _, id := range slices.Clone(m.suspects) {
		r := m.records[id]
		switch {
		case now >= r.suspectUntil && r.observed:
			c := Claim{ID: id, Incarnation: r.claim.Incarnation, Refutation: r.claim.Refutation, Status: Gone}
			m.stats.Deaths++
			m.adopt(now, r, c)
		case now >= r.suspectUntil:
			// The host that raised the suspicion has neither confirmed it nor
			// spread a refutation, so this host looks for itself.
			r.suspectUntil = now + 3*m.cfg.SuspicionTimeout
			m.probe(now, id)
		case now >= r.reprobeAt:
			r.reprobeAt = now + m.cfg.ProbePeriod
			m.probe(now, id)
		}
	}
}

// Members returns the other known processes of the region, and this one, in
// order of their host ids. Processes that have ended and left the list are
// not included.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, m.active+1)
	self := m.selfMember()
	placed := false
	for _, id := range m.ids {
		if !placed && id > m.self.ID {
			out, placed = append(out, self), true
		}
		if r := m.records[id]; !r.forgotten {
			out = append(out, m.view(r))
		}
	}
	if !placed {
		out = append(out, self)
	}
	return out
}

// Member returns what is known about the host, if anything.
func (m *Machine) Member(id host.ID) (Member, bool) {
	if id == m.self.ID {
		return m.selfMember(), true
	}
	r, ok := m.records[id]
	if !ok || r.forgotten {
		return Member{}, false
	}
	return m.view(r), true
}

func (m *Machine) selfMember() Member {
	return Member{
		Info: m.self, Status: m.own.Status, Refutation: m.own.Refutation,
		Leaving: m.own.Status == Leaving || m.own.Status == Gone || m.list.selfLeaving,
		Listed:  m.list.selfListed,
	}
}

func (m *Machine) view(r *record) Member {
	return Member{
		Info: m.info(r), Status: r.claim.Status, Refutation: r.claim.Refutation,
		Leaving: r.left || r.listedLeaving, Listed: r.listed,
	}
}

func (m *Machine) info(r *record) host.Info {
	p := r.claim.Place
	return host.Info{
		ID: r.claim.ID, Incarnation: r.claim.Incarnation, Region: m.self.Region,
		FailureDomain: p.FailureDomain, RPCAddress: p.RPCAddress, HTTPAddress: p.HTTPAddress,
	}
}

// Self returns this process.
func (m *Machine) Self() Member { return m.selfMember() }

// Stats returns the counters since the start.
func (m *Machine) Stats() Stats { return m.stats }

// State is the complete state for status pages and dumps.
type State struct {
	Members    []Member         `json:"members"`
	Superseded host.Incarnation `json:"superseded_by,omitempty"`
	Suspected  int              `json:"suspected"`
	Queued     int              `json:"queued_updates"`
	Calls      int              `json:"open_calls"`
	Forgotten  int              `json:"forgotten"`
	List       ListStatus       `json:"host_list"`
	Stats      Stats            `json:"stats"`
}

// State returns a copy of the complete state as of the last Step.
func (m *Machine) State() State {
	return State{
		Members: m.Members(), Superseded: m.superseded, Suspected: len(m.suspects),
		Queued: len(m.queue), Calls: len(m.calls), Forgotten: len(m.ids) - m.active,
		List: m.listStatus(), Stats: m.stats,
	}
}
