package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// Methods between entry hosts.
const (
	MethodAcquire = "dispatch.acquire"
	MethodRelease = "dispatch.release"
	MethodDigest  = "dispatch.digest"
)

// Times of the dispatch between hosts.
const (
	// acquireTimeout bounds the answer of a dispatcher in the same region.
	acquireTimeout = 80 * time.Millisecond
	// suspectTime is how long a dispatcher that did not answer is left out.
	suspectTime = time.Second
	// unreadyTime is how long a dispatcher is left out that answered but knows no
	// deployment yet, and viewWait how long it waits for it before it says so.
	unreadyTime, viewWait = 150 * time.Millisecond, 60 * time.Millisecond
	// maxDispatchers is the number of dispatchers that are asked in turn.
	maxDispatchers = 2
	// digestPeriod is the time between two digests to other regions.
	digestPeriod = 200 * time.Millisecond
	// digestRate is the bytes a second above which a pool's digests to one host
	// come less often, and maxDigestPeriod the longest time between two.
	digestRate, maxDigestPeriod = 24 << 10, 1200 * time.Millisecond
	// idleDigest is the time between two digests without a change.
	idleDigest = time.Second
	// poolIdle is how long after its last request a pool sends digests.
	poolIdle = 2 * time.Second
	// savePeriod is the time between two saves of a pool's knowledge, and
	// saveRate the bytes a second above which the time grows.
	savePeriod = 4 * time.Second
	saveRate   = 1 << 10
	// saveTimeout bounds a save or load.
	saveTimeout = time.Second
	// loadTries is how often a load is tried while the store does not answer.
	loadTries = 5
)

// Caller calls other entry hosts.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Notify(ctx context.Context, address, method string, params any) error
}

// PersistentStore keeps values beyond the life of all entry hosts.
type PersistentStore interface {
	// Save keeps a value under a name.
	Save(ctx context.Context, name string, value []byte) error
	// Load returns the value of a name, nil if there is none.
	Load(ctx context.Context, name string) ([]byte, error)
}

// AcquireParams asks a dispatcher for a backend server. Times are in
// milliseconds from now.
type AcquireParams struct {
	Service   string   `json:"service"`
	Class     string   `json:"class"`
	Key       string   `json:"key,omitempty"`
	Host      string   `json:"host"`
	Domain    string   `json:"domain"`
	Priority  int      `json:"priority"`
	Bytes     int64    `json:"bytes,omitempty"`
	Objective float64  `json:"objective_ms"`
	Left      float64  `json:"left_ms"`
	Exclude   []string `json:"exclude,omitempty"`
	Allowed   []string `json:"allowed,omitempty"`
}

// ReleaseParams ends a grant.
type ReleaseParams struct {
	Service string          `json:"service"`
	Grant   uint64          `json:"grant"`
	Process int64           `json:"process"`
	Report  dispatch.Report `json:"report"`
}

// AcquireResult is a dispatcher's decision.
type AcquireResult struct {
	// Process is the incarnation that gave the grant.
	Process  int64             `json:"process"`
	Decision dispatch.Decision `json:"decision"`
}

// Scheduler decides where requests go: by the pools of this host, or by asking the
// host that dispatches the service in the region.
type Scheduler struct {
	self    fleet.Host
	limits  dispatch.Limits
	caller  Caller
	keeper  PersistentStore
	log     logrus.FieldLogger
	started time.Time
	view    atomic.Pointer[fleet.Snapshot]
	viewed  chan struct{} // closed when the first snapshot is in force

	mu       sync.Mutex
	shared   map[string]*poolState
	alone    map[string]*poolState
	suspects map[string]time.Time
	deciders map[string]Decider
}

// Decider tells who decided last on the requests of a service that entered here.
type Decider struct {
	// Name is the deciding host, "alone" if this host decided without the others.
	Name string
	// Self tells that this host decides, for itself or for the region.
	Self bool
	// Since is when the decider changed last.
	Since time.Time
}

type poolState struct {
	pool     *dispatch.Pool
	used     time.Duration
	digested time.Duration
	// digestPeriod is the time between two digests, by their size.
	digestPeriod time.Duration
	// next is when the knowledge may be saved again.
	next time.Duration
}

// NewScheduler returns the desk of a host. limits hold over all hosts.
func NewScheduler(self fleet.Host, limits dispatch.Limits, caller Caller, keeper PersistentStore, log logrus.FieldLogger) *Scheduler {
	return &Scheduler{
		self: self, limits: limits, caller: caller, keeper: keeper, log: log, started: time.Now(),
		viewed: make(chan struct{}), shared: map[string]*poolState{}, alone: map[string]*poolState{}, suspects: map[string]time.Time{}, deciders: map[string]Decider{},
	}
}

// SetView makes a snapshot the one in force.
func (d *Scheduler) SetView(s *fleet.Snapshot) {
	if d.view.Swap(s) == nil {
		close(d.viewed)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, ps := range d.shared {
		d.refresh(name, ps, s)
	}
	for name, ps := range d.alone {
		d.refresh(name, ps, s)
	}
}

func (d *Scheduler) now() time.Duration { return time.Since(d.started) }

// Now returns the clock of the pools, which snapshots use for cold servers.
func (d *Scheduler) Now() time.Duration { return d.now() }

// poolKind tells whose requests a pool decides on.
type poolKind int

const (
	// sharedPools decide for all hosts of the region.
	sharedPools poolKind = iota
	// ownPools decide for this host while no dispatcher answers.
	ownPools
)

// pool returns the state of a service's pool. The caller holds the lock.
func (d *Scheduler) pool(kind poolKind, service string) *poolState {
	pools := d.shared
	if kind == ownPools {
		pools = d.alone
	}
	ps := pools[service]
	if ps == nil {
		ps = &poolState{pool: dispatch.New(dispatch.Options{Region: d.self.Region, Shared: kind == sharedPools, Limits: d.limits})}
		pools[service] = ps
		if s := d.view.Load(); s != nil {
			d.refresh(service, ps, s)
		}
		if kind == sharedPools {
			ps.next = d.now() + savePeriod
			go d.load(service, ps)
		}
	}
	ps.used = d.now()
	return ps
}

func (d *Scheduler) refresh(service string, ps *poolState, s *fleet.Snapshot) {
	var rate float64
	var coldFor time.Duration
	if s.Table != nil {
		spec := s.Table.Services[service]
		rate, coldFor = spec.ColdRate, spec.ColdStart
	}
	ps.pool.Update(d.now(), s.BackendsByService[service], s.Evacuated, rate, coldFor)
}

// ticket is a decision and the pool that made it.
type ticket struct {
	dispatch.Decision
	service string
	// host made the decision; nil is this host.
	host    *fleet.Host
	process int64
	local   *poolState
	// by tells who decided, for the log.
	by string
}

// expected is the time that the server is likely to take.
func (t ticket) expected() time.Duration { return t.Wait + t.Service }

// Acquire decides on a request. It never waits for longer than the dispatchers
// may take to answer: without one, this host decides alone.
func (d *Scheduler) Acquire(ctx context.Context, p AcquireParams) ticket {
	t := d.acquire(ctx, p)
	d.noteDecider(p.Service, t)
	return t
}

// noteDecider logs and remembers a change of the host that decides.
func (d *Scheduler) noteDecider(service string, t ticket) {
	if t.by == "none" {
		return
	}
	d.mu.Lock()
	before := d.deciders[service]
	changed := before.Name != t.by
	if changed {
		d.deciders[service] = Decider{Name: t.by, Self: t.host == nil, Since: time.Now()}
	}
	d.mu.Unlock()
	if changed {
		d.log.WithFields(logrus.Fields{
			"service": service, "dispatcher": t.by, "before": before.Name, "view_revision": d.view.Load().Revision,
		}).Info("dispatcher changed")
	}
}

// Deciders returns who decided last, by service.
func (d *Scheduler) Deciders() map[string]Decider {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.deciders)
}

func (d *Scheduler) acquire(ctx context.Context, p AcquireParams) ticket {
	s := d.view.Load()
	asked := 0
	for _, h := range s.Dispatchers(d.self.Region, p.Service) {
		if h.Name == d.self.Name {
			return d.acquireHere(sharedPools, p, "self")
		}
		if asked >= maxDispatchers || d.suspected(h.Name) {
			continue
		}
		asked++
		t, err := d.ask(ctx, h, p)
		if err == nil {
			return t
		}
		if ctx.Err() != nil {
			return ticket{Decision: dispatch.Decision{Refused: dispatch.Late}, by: "none"}
		}
		d.suspect(h.Name, err)
	}
	return d.acquireHere(ownPools, p, "alone")
}

func (d *Scheduler) ask(ctx context.Context, h *fleet.Host, p AcquireParams) (ticket, error) {
	actx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var r AcquireResult
	if err := d.caller.Call(actx, h.Peer, MethodAcquire, p, &r); err != nil {
		return ticket{}, err
	}
	return ticket{Decision: r.Decision, service: p.Service, host: h, process: r.Process, by: h.Name}, nil
}

func (d *Scheduler) suspected(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.suspects[name]
	return ok && time.Now().Before(until)
}

func (d *Scheduler) suspect(name string, err error) {
	d.mu.Lock()
	until, known := d.suspects[name]
	fresh := !known || time.Now().After(until)
	pause := suspectTime
	if !errors.Is(err, peer.ErrUnreachable) {
		pause = unreadyTime
	}
	d.suspects[name] = time.Now().Add(pause)
	d.mu.Unlock()
	if fresh {
		d.log.WithError(err).WithField("peer", name).Warn("dispatcher does not answer; asking the next one")
	}
}

func (d *Scheduler) acquireHere(kind poolKind, p AcquireParams, by string) ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	ps := d.pool(kind, p.Service)
	return ticket{Decision: ps.pool.Acquire(d.now(), d.request(p)), service: p.Service, local: ps, by: by}
}

func (d *Scheduler) request(p AcquireParams) dispatch.Request {
	now := d.now()
	return dispatch.Request{
		Class: p.Class, Key: p.Key, Host: p.Host, Domain: p.Domain, Rank: p.Priority, Bytes: p.Bytes,
		Objective: now + millis(p.Objective), Deadline: now + millis(p.Left),
		Exclude: p.Exclude, Allowed: p.Allowed,
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Release ends the grant of a ticket.
func (d *Scheduler) Release(t ticket, r dispatch.Report) {
	if t.Refused != "" {
		return
	}
	if t.host == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		t.local.pool.Release(d.now(), t.Grant, r)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	p := ReleaseParams{Service: t.service, Grant: t.Grant, Process: t.process, Report: r}
	if err := d.caller.Notify(ctx, t.host.Peer, MethodRelease, p); err != nil {
		// The dispatcher drops the grant at its deadline.
		d.log.WithError(err).WithField("peer", t.host.Name).Debug("grant not released")
	}
}

// HandleAcquire serves MethodAcquire.
func (d *Scheduler) HandleAcquire(ctx context.Context, p AcquireParams) (AcquireResult, error) {
	timer := time.NewTimer(viewWait)
	defer timer.Stop()
	select {
	case <-d.viewed:
	case <-timer.C:
		return AcquireResult{}, errNoView
	case <-ctx.Done():
		return AcquireResult{}, ctx.Err()
	}
	t := d.acquireHere(sharedPools, p, "self")
	return AcquireResult{Process: d.self.Incarnation, Decision: t.Decision}, nil
}

// errNoView tells that a host knows no deployment yet.
var errNoView = errors.New("no configuration is known yet")

// HandleRelease serves MethodRelease.
func (d *Scheduler) HandleRelease(_ context.Context, p ReleaseParams) (struct{}, error) {
	if p.Process != d.self.Incarnation {
		return struct{}{}, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if ps := d.shared[p.Service]; ps != nil {
		ps.pool.Release(d.now(), p.Grant, p.Report)
	}
	return struct{}{}, nil
}

// HandleDigest serves MethodDigest.
func (d *Scheduler) HandleDigest(_ context.Context, g dispatch.Digest) (struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	used := time.Duration(0)
	if ps := d.shared[g.Service]; ps != nil {
		used = ps.used
	}
	ps := d.pool(sharedPools, g.Service)
	ps.used = used
	ps.pool.Merge(d.now(), g)
	return struct{}{}, nil
}

// Dump returns the state of the pools for the state dump.
func (d *Scheduler) Dump() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := map[string]map[string]any{"shared": {}, "alone": {}}
	for service, ps := range d.shared {
		state["shared"][service] = ps.pool.Dump(d.now())
	}
	for service, ps := range d.alone {
		state["alone"][service] = ps.pool.Dump(d.now())
	}
	raw, err := json.Marshal(state)
	if err != nil {
		d.log.WithError(err).Error("state dump failed")
		return nil
	}
	return raw
}
