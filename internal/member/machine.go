package member

import (
	"encoding/json"
	"math/rand"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// never is a time that Step does not reach.
const never = time.Duration(1<<63 - 1)

// record is the state of another host of the region.
type record struct {
	claim Claim
	// announcedLeaving is set once the incarnation has announced its shutdown.
	announcedLeaving bool
	// listed and listedLeaving are the host's state in the latest answer of the
	// host list.
	listed, listedLeaving bool
	// tombstone marks a record kept only to recognize late messages.
	tombstone bool
	// ownSuspicion is set once a probe by this host has raised or confirmed the
	// suspicion.
	ownSuspicion bool
	// firstSeenAt is the time at which this incarnation became known or, as long
	// as none is known, the host.
	firstSeenAt time.Duration
	// lastListedAt is the latest time at which the host list named the host,
	// negative if it never did.
	lastListedAt time.Duration
	// suspectUntil is the end of the suspicion, reprobeAt the time of the next
	// repeated probe.
	suspectUntil, reprobeAt time.Duration
}

// Machine is the membership of one region as seen by one process. It is not
// safe for concurrent use.
type Machine struct {
	cfg  Config
	self host.Info
	rng  *rand.Rand

	ownClaim   Claim
	superseded host.Incarnation // highest later incarnation of this host, or zero
	stopped    bool

	records     map[host.ID]*record
	ids         []host.ID // keys of records, sorted
	activeCount int       // number of records that are not tombstones

	probeOrder []host.ID // members in the order of their probes; shuffled each round
	probePos   int       // index of the next probe in probeOrder

	started   bool
	startedAt time.Duration
	lastStep  time.Duration
	nextProbe time.Duration
	suspects  []host.ID // sorted by id
	calls     []call    // in order of seq
	seq       uint64    // sequence number of the latest call

	updateQueue []queuedUpdate
	digest      uint64
	// digestChangedAt is the time of the latest change of digest.
	digestChangedAt time.Duration
	extra           json.RawMessage

	// suppressUpdates is set while the answer to a sync is applied: the region
	// already knows these claims, so they are not sent on.
	suppressUpdates bool
	lastSyncAt      time.Duration
	synced          bool // a first sync was answered or this host is alone in the list

	hostList    hostListState
	stats       Stats
	stepActions []Action // result of the current Step
}

// New returns the membership of a process that knows no other member yet.
func New(cfg Config, self host.Info, rng *rand.Rand) *Machine {
	m := &Machine{cfg: cfg, self: self, rng: rng, records: make(map[host.ID]*record)}
	m.ownClaim = Claim{
		ID: self.ID, Incarnation: self.Incarnation, Status: Joining,
		Location: &Location{self.FailureDomain, self.RPCAddress, self.HTTPAddress},
	}
	m.hostList.continuousSince, m.hostList.answeredAt, m.hostList.selfSeenAt = never, -1, -1
	return m
}

// Step processes one event at time now, runs the timers that are due and appends
// the resulting actions to actions. now counts from any fixed origin and must not
// decrease.
func (m *Machine) Step(now time.Duration, ev Event, actions []Action) []Action {
	if m.stopped {
		return actions
	}
	m.stepActions = actions
	m.start(now)
	m.compensatePause(now)
	m.handleEvent(now, ev)
	m.runTimers(now)
	m.lastStep = now
	actions, m.stepActions = m.stepActions, nil
	return actions
}

func (m *Machine) start(now time.Duration) {
	if m.started {
		return
	}
	m.started = true
	m.lastStep, m.startedAt = now, now
	// A random phase keeps hosts that start together from probing together.
	m.nextProbe = now + time.Duration(m.rng.Int63n(int64(m.cfg.ProbePeriod)))
	m.lastSyncAt = now - m.cfg.SyncPeriod
}

// compensatePause extends the deadlines of other members by the time for which a
// due timer did not run, if above Config.PauseLimit: their answers may have arrived
// meanwhile and not been read yet.
func (m *Machine) compensatePause(now time.Duration) {
	delay := now - max(m.NextWake(), m.lastStep)
	if delay <= m.cfg.PauseLimit {
		return
	}
	m.stats.Pauses++
	for i := range m.calls {
		m.calls[i].deadline += delay
	}
	for _, id := range m.suspects {
		r := m.records[id]
		r.suspectUntil += delay
		r.reprobeAt += delay
	}
	m.nextProbe += delay
}

func (m *Machine) handleEvent(now time.Duration, ev Event) {
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
		m.announceStatus(Leaving)
	case Stop:
		m.announceStatus(Gone)
		m.stopped = true
	}
}

// announceStatus raises the status of this process to Leaving or Gone and sends
// it to a few members at once.
func (m *Machine) announceStatus(s Status) {
	if m.ownClaim.Status.precedence() >= s.precedence() {
		return
	}
	m.ownClaim.Status = s
	m.ownClaim.Refutation++
	m.enqueueUpdate(m.self.ID)
	for _, id := range m.randomMembers(m.cfg.IndirectProbes, m.self.ID) {
		m.sendPing(id, 0, false)
	}
}

// NextWake returns the time at which the caller must feed Tick if no event comes
// earlier.
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

// runSuspicions repeats the probes of members that this host suspects itself, and
// declares them gone when the suspicion expires.
func (m *Machine) runSuspicions(now time.Duration) {
	for _, id := range slices.Clone(m.suspects) {
		r := m.records[id]
		switch {
		case now >= r.suspectUntil && r.ownSuspicion:
			c := Claim{ID: id, Incarnation: r.claim.Incarnation, Refutation: r.claim.Refutation, Status: Gone}
			m.stats.Deaths++
			m.replaceClaim(now, r, c)
		case now >= r.suspectUntil:
			// The host that raised the suspicion has neither confirmed it nor
			// spread a refutation, so this host probes the member itself.
			r.suspectUntil = now + 3*m.cfg.SuspicionTimeout
			m.probe(now, id)
		case now >= r.reprobeAt:
			r.reprobeAt = now + m.cfg.ProbePeriod
			m.probe(now, id)
		}
	}
}

// Members returns this process and the other known ones of the region in order of
// their host ids, without tombstones.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, m.activeCount+1)
	self := m.selfMember()
	placed := false
	for _, id := range m.ids {
		if !placed && id > m.self.ID {
			out, placed = append(out, self), true
		}
		if r := m.records[id]; !r.tombstone {
			out = append(out, m.memberOf(r))
		}
	}
	if !placed {
		out = append(out, self)
	}
	return out
}

// Member returns the process on the host. It returns false for unknown hosts and
// tombstones.
func (m *Machine) Member(id host.ID) (Member, bool) {
	if id == m.self.ID {
		return m.selfMember(), true
	}
	r, ok := m.records[id]
	if !ok || r.tombstone {
		return Member{}, false
	}
	return m.memberOf(r), true
}

func (m *Machine) selfMember() Member {
	return Member{
		Info: m.self, Status: m.ownClaim.Status, Refutation: m.ownClaim.Refutation,
		Leaving: m.ownClaim.Status == Leaving || m.ownClaim.Status == Gone || m.hostList.selfLeaving,
		Listed:  m.hostList.selfListed,
	}
}

func (m *Machine) memberOf(r *record) Member {
	return Member{
		Info: m.hostInfo(r), Status: r.claim.Status, Refutation: r.claim.Refutation,
		Leaving: r.announcedLeaving || r.listedLeaving, Listed: r.listed,
	}
}

func (m *Machine) hostInfo(r *record) host.Info {
	p := r.claim.Location
	return host.Info{
		ID: r.claim.ID, Incarnation: r.claim.Incarnation, Region: m.self.Region,
		FailureDomain: p.FailureDomain, RPCAddress: p.RPCAddress, HTTPAddress: p.HTTPAddress,
	}
}

// Self returns this process as a member.
func (m *Machine) Self() Member { return m.selfMember() }

// Stats returns the counters since the start.
func (m *Machine) Stats() Stats { return m.stats }

// State is a summary of a Machine for the state dump.
type State struct {
	Members []Member `json:"members"`
	// Superseded is the highest later incarnation of this host, if one is known.
	Superseded host.Incarnation `json:"superseded_by,omitempty"`
	Suspected  int              `json:"suspected"`      // number of suspected members
	Queued     int              `json:"queued_updates"` // updates to piggyback on messages
	Calls      int              `json:"open_calls"`     // requests without an answer yet
	Tombstones int              `json:"forgotten"`      // see Config.MaxTombstones
	List       ListStatus       `json:"host_list"`
	Stats      Stats            `json:"stats"`
}

// State returns the summary as of the latest Step.
func (m *Machine) State() State {
	return State{
		Members: m.Members(), Superseded: m.superseded, Suspected: len(m.suspects),
		Queued: len(m.updateQueue), Calls: len(m.calls), Tombstones: len(m.ids) - m.activeCount,
		List: m.listStatus(), Stats: m.stats,
	}
}
