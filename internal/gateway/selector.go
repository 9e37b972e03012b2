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

// RPC methods between entry hosts.
const (
	MethodAcquire = "dispatch.acquire"
	MethodRelease = "dispatch.release"
	MethodDigest  = "dispatch.digest"
)

// Timeouts, periods and rates of dispatchers, digests and saves.
const (
	// acquireTimeout bounds a call of a dispatcher in the same region.
	acquireTimeout = 80 * time.Millisecond
	// unreachableExclusion is how long a dispatcher is not asked after it was
	// unreachable or did not answer within acquireTimeout.
	unreachableExclusion = time.Second
	// unreadyExclusion is how long a dispatcher is not asked after it answered with an
	// error, as it does before its first snapshot.
	unreadyExclusion = 150 * time.Millisecond
	// snapshotWait is how long a dispatcher waits for its first snapshot before it
	// answers with an error.
	snapshotWait = 60 * time.Millisecond
	// maxDispatchers is the greatest number of dispatchers asked for one decision.
	maxDispatchers = 2
	// digestCheckPeriod is the time between two checks for due digests and saves.
	digestCheckPeriod = 200 * time.Millisecond
	// digestRate is the rate, in bytes per second, of a pool's digests to one host
	// above which the time between two digests grows.
	digestRate = 24 << 10
	// maxDigestPeriod is the upper bound of that time.
	maxDigestPeriod = 1200 * time.Millisecond
	// idleDigestPeriod is the shortest time between two digests without content.
	idleDigestPeriod = time.Second
	// poolIdle is the time after its last request for which a pool sends digests and
	// saves its knowledge.
	poolIdle = 2 * time.Second
	// savePeriod is the shortest time between two saves of a pool's knowledge.
	savePeriod = 4 * time.Second
	// saveRate is the rate, in bytes per second, of a pool's saves above which the
	// time between two saves grows.
	saveRate = 1 << 10
	// saveTimeout bounds a save or load; it is also the pause after a failed load.
	saveTimeout = time.Second
	// knowledgeWait bounds the time for which the decisions of a new pool wait for the saved
	// knowledge. A request that is sent to a server without its object takes several times
	// as long, so after a restart of all hosts such requests fill the servers for seconds.
	knowledgeWait = 300 * time.Millisecond
	// knowledgePoll is the time after which a host asks a dispatcher again that still loads
	// its knowledge.
	knowledgePoll = 30 * time.Millisecond
	// loadTries bounds the attempts to load knowledge while the store does not answer.
	loadTries = 5
)

// PeerClient sends RPCs to other entry hosts. Call waits for the result, Notify does
// not. Call returns peer.ErrUnreachable, wrapped, if the host did not answer.
type PeerClient interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Notify(ctx context.Context, address, method string, params any) error
}

// PersistentStore keeps values in the platform's store, where they survive a restart
// of all entry hosts.
type PersistentStore interface {
	// Save stores a value under a name and replaces an earlier one.
	Save(ctx context.Context, name string, value []byte) error
	// Load returns the value of a name, or nil if there is none.
	Load(ctx context.Context, name string) ([]byte, error)
}

// Selector selects a backend server for each request, either from the pools of this
// host or by asking the host that dispatches the service in the region. It queues
// nothing, unlike package sched without -platform.
type Selector struct {
	self            fleet.Host
	limits          dispatch.Limits
	scheduled       bool // the settings call for dispatch.Options.Scheduled
	paced           bool // the settings call for dispatch.Options.Paced
	peerClient      PeerClient
	persistentStore PersistentStore
	log             logrus.FieldLogger
	startTime       time.Time
	snapshot        atomic.Pointer[fleet.Snapshot]
	snapshotReady   chan struct{} // closed when the first snapshot is set

	mu                sync.Mutex
	sharedPools       map[string]*poolState
	fallbackPools     map[string]*poolState
	suspectedUntil    map[string]time.Time
	activeDispatchers map[string]ActiveDispatcher
	// knowledgeWait is the constant of that name, except in tests.
	knowledgeWait time.Duration
	// poolsPrepared is set once preparePools was called.
	poolsPrepared bool
}

// ActiveDispatcher describes who made the latest decision for requests of a service
// that entered at this host.
type ActiveDispatcher struct {
	// Name is the name of another host, "self" if this host decides from its shared
	// pool, or "alone" if it decides from its fallback pool.
	Name string
	// Self is set if Name is "self" or "alone".
	Self bool
	// Since is the time of the latest change.
	Since time.Time
}

// poolState is the pool of a service with the times of its last uses. Times are on
// the selector's clock.
type poolState struct {
	pool *dispatch.Pool
	// snapshot is the one that the pool was last updated with.
	snapshot   *fleet.Snapshot
	lastUsed   time.Duration
	lastDigest time.Duration
	// minDigestInterval is the shortest time until the next digest; it grows with the
	// size of the last one.
	minDigestInterval time.Duration
	// nextSave is the earliest time of the next save of the pool's knowledge.
	nextSave time.Duration
	// saveUnchanged is set if the next save must not wait for a change.
	saveUnchanged bool
	// knowledgeDue is when decisions no longer wait for the saved knowledge: the zero value
	// once it is loaded, or if the first attempt to load it failed.
	knowledgeDue time.Duration
}

// NewSelector returns a Selector for the host self without a snapshot.
func NewSelector(self fleet.Host, limits dispatch.Limits, peerClient PeerClient, persistentStore PersistentStore, log logrus.FieldLogger) *Selector {
	return &Selector{
		self: self, limits: limits, peerClient: peerClient, persistentStore: persistentStore, log: log, startTime: time.Now(), knowledgeWait: knowledgeWait,
		snapshotReady: make(chan struct{}), sharedPools: map[string]*poolState{}, fallbackPools: map[string]*poolState{}, suspectedUntil: map[string]time.Time{}, activeDispatchers: map[string]ActiveDispatcher{},
	}
}

// Schedule lets all pools divide scarce slots between workspaces and schedule the returns
// of refused callers; see dispatch.Options.Scheduled. It must be called before any other
// method.
func (sel *Selector) Schedule() { sel.scheduled = true }

// Pace lets all pools pace servers that have just started or recovered; see
// dispatch.Options.Paced. It must be called before any other method.
func (sel *Selector) Pace() { sel.paced = true }

// SetSnapshot replaces the current snapshot and updates all pools with it.
func (sel *Selector) SetSnapshot(s *fleet.Snapshot) {
	if sel.snapshot.Swap(s) == nil {
		close(sel.snapshotReady)
	}
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if !sel.poolsPrepared && len(s.BackendsByService) > 0 && s.Hosts[sel.self.Name] != nil {
		sel.poolsPrepared = true
		sel.preparePools(s)
	}
	for name, ps := range sel.sharedPools {
		sel.updatePool(name, ps, s)
	}
	for name, ps := range sel.fallbackPools {
		sel.updatePool(name, ps, s)
	}
}

// changesPool reports whether a snapshot differs, for the pool of a service, from the one
// that the pool was last updated with.
func changesPool(service string, old, s *fleet.Snapshot) bool {
	if old == nil || old.Table != s.Table || !maps.Equal(old.Evacuated, s.Evacuated) {
		return true
	}
	a, b := old.BackendsByService[service], s.BackendsByService[service]
	return len(a) != len(b) || len(a) > 0 && &a[0] != &b[0]
}

func (sel *Selector) now() time.Duration { return time.Since(sel.startTime) }

// Now returns the time on the selector's clock, which starts at zero in
// NewSelector. Snapshots use it for the times until which servers are cold.
func (sel *Selector) Now() time.Duration { return sel.now() }

// poolKind is the kind of a pool by the hosts whose requests it dispatches.
type poolKind int

const (
	// sharedPool dispatches the requests for which hosts of the region, this one
	// included, chose this host as dispatcher.
	sharedPool poolKind = iota
	// fallbackPool dispatches requests of this host while no dispatcher answers and the
	// snapshot does not list this host, which otherwise chooses itself.
	fallbackPool
)

// pool returns the pool of a service, marks it as used, and creates it if
// necessary. The caller holds sel.mu.
func (sel *Selector) pool(kind poolKind, service string) *poolState {
	pools := sel.sharedPools
	if kind == fallbackPool {
		pools = sel.fallbackPools
	}
	ps := pools[service]
	if ps == nil {
		ps = &poolState{pool: dispatch.New(dispatch.Options{Region: sel.self.Region, Shared: kind == sharedPool, Limits: sel.limits, Scheduled: sel.scheduled, Paced: sel.paced})}
		pools[service] = ps
		if s := sel.snapshot.Load(); s != nil {
			sel.updatePool(service, ps, s)
		}
		if kind == sharedPool {
			ps.nextSave, ps.knowledgeDue = sel.now()+savePeriod, sel.now()+sel.knowledgeWait
			go sel.loadKnowledge(service, ps)
		}
	}
	ps.lastUsed = sel.now()
	return ps
}

// adoptTimes gives the pool that decides the service times of a class that this host's
// pool of the other kind observed. A host uses its fallback pool until its snapshot lists
// it and again after it has left, and would otherwise start with assumptions each time. The
// caller holds sel.mu.
func (sel *Selector) adoptTimes(kind poolKind, service, class string) {
	to, from := sel.sharedPools[service], sel.fallbackPools[service]
	if kind == fallbackPool {
		to, from = from, to
	}
	if to != nil && from != nil {
		to.pool.AdoptTimes(from.pool, class)
	}
}

// updatePool applies a snapshot to the pool of a service. The caller holds sel.mu.
func (sel *Selector) updatePool(service string, ps *poolState, s *fleet.Snapshot) {
	if !changesPool(service, ps.snapshot, s) {
		return
	}
	ps.snapshot = s
	var rate float64
	var restartColdTime time.Duration
	if s.Table != nil {
		spec := s.Table.Services[service]
		rate, restartColdTime = spec.ColdRate, spec.ColdStart
		ps.pool.SetScheduled(sel.scheduled || s.Table.Workspaces.Len() > 0)
	}
	ps.pool.Update(sel.now(), s.BackendsByService[service], s.Evacuated, rate, restartColdTime)
}

// decision is a dispatch decision together with its origin.
type decision struct {
	dispatch.Decision
	service string
	// dispatcher is the host that made the decision, nil for this host.
	dispatcher *fleet.Host
	// incarnation is the dispatcher's, if it is another host.
	incarnation int64
	// localPool is the pool that made the decision, if on this host.
	localPool *poolState
	// decidedBy names the origin in the log: another host, "self" or "alone" for the
	// shared or fallback pool of this host, or "none" if no pool decided. It is also
	// "self" if this host's snapshot allowed none of the servers that a host chose.
	decidedBy string
	// trial is set if the request is the first one to its server after a pause.
	trial bool
}

// expectedTime returns the expected time in the server's queue and of service,
// without the round trip.
func (dec decision) expectedTime() time.Duration { return dec.Wait + dec.Service }

// Acquire selects a backend server for a request or refuses it. SetSnapshot must have
// been called before. It asks the dispatchers before this host in their order, with
// at most two calls of up to 80 ms. If none answers, the shared pool of this host
// decides, or its fallback pool if the snapshot does not list it.
func (sel *Selector) Acquire(ctx context.Context, p AcquireParams) decision {
	dec := sel.acquire(ctx, p)
	sel.recordDispatcher(p.Service, dec)
	return dec
}

// recordDispatcher records and logs a change of the active dispatcher of a service.
func (sel *Selector) recordDispatcher(service string, dec decision) {
	if dec.decidedBy == "none" {
		return
	}
	sel.mu.Lock()
	before := sel.activeDispatchers[service]
	changed := before.Name != dec.decidedBy
	if changed {
		sel.activeDispatchers[service] = ActiveDispatcher{Name: dec.decidedBy, Self: dec.dispatcher == nil, Since: time.Now()}
	}
	sel.mu.Unlock()
	if changed {
		sel.log.WithFields(logrus.Fields{
			"service": service, "dispatcher": dec.decidedBy, "before": before.Name, "view_revision": sel.snapshot.Load().Revision,
		}).Info("dispatcher changed")
	}
}

// ActiveDispatchers returns the active dispatchers by service.
func (sel *Selector) ActiveDispatchers() map[string]ActiveDispatcher {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return maps.Clone(sel.activeDispatchers)
}

func (sel *Selector) acquire(ctx context.Context, p AcquireParams) decision {
	hosts := sel.snapshot.Load().Dispatchers(sel.self.Region, p.Service)
	for i, asked := sel.nextDispatcher(hosts, 0, 0), 0; i >= 0; i = sel.nextDispatcher(hosts, i+1, asked) {
		h := hosts[i]
		if h.Name == sel.self.Name {
			return sel.acquireLocally(sharedPool, sel.awaitKnowledge(ctx, p), "self")
		}
		asked++
		dec, err := sel.askDispatcher(ctx, h, p)
		if err == nil {
			return dec
		}
		if ctx.Err() != nil {
			// The deadline has passed or the caller has disconnected.
			return decision{Decision: dispatch.Decision{Refused: dispatch.Late, RetryAfter: retryAfterShed}, decidedBy: "none"}
		}
		sel.markSuspected(h.Name, err)
	}
	return sel.acquireLocally(fallbackPool, p, "alone")
}

// nextDispatcher returns the index of the first host from the given index on that decides
// next, after a number of others were asked: this host, or another one that may be asked. It
// returns -1 if there is none, so that the fallback pool decides.
func (sel *Selector) nextDispatcher(hosts []*fleet.Host, from, asked int) int {
	for i := from; i < len(hosts); i++ {
		name := hosts[i].Name
		if name == sel.self.Name || asked < maxDispatchers && !sel.isSuspected(name) {
			return i
		}
	}
	return -1
}

// askDispatcher asks a host for a decision, and again while it loads its knowledge.
func (sel *Selector) askDispatcher(ctx context.Context, h *fleet.Host, p AcquireParams) (decision, error) {
	var r AcquireResult
	giveUp := time.Now().Add(sel.knowledgeWait)
	for {
		r = AcquireResult{}
		actx, cancel := context.WithTimeout(ctx, acquireTimeout)
		err := sel.peerClient.Call(actx, h.PeerAddress, MethodAcquire, p, &r)
		cancel()
		if err != nil {
			return decision{}, err
		}
		if !r.Loading {
			break
		}
		if time.Now().After(giveUp) || !sleep(ctx, knowledgePoll) {
			return decision{}, errNoSnapshot
		}
		p = p.after(knowledgePoll)
	}
	return decision{Decision: r.Decision, service: p.Service, dispatcher: h, incarnation: r.DispatcherIncarnation, decidedBy: h.Name}, nil
}

// isSuspected reports whether a dispatcher is excluded because of an earlier error.
func (sel *Selector) isSuspected(name string) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	until, ok := sel.suspectedUntil[name]
	return ok && time.Now().Before(until)
}

// markSuspected excludes a dispatcher, which did not answer or answered with an
// error, for a time that depends on err. The message is the same for both, and also
// if this host decides next.
func (sel *Selector) markSuspected(name string, err error) {
	sel.mu.Lock()
	until, known := sel.suspectedUntil[name]
	newlySuspected := !known || time.Now().After(until)
	exclusion := unreachableExclusion
	if !errors.Is(err, peer.ErrUnreachable) {
		exclusion = unreadyExclusion
	}
	sel.suspectedUntil[name] = time.Now().Add(exclusion)
	sel.mu.Unlock()
	if newlySuspected {
		sel.log.WithError(err).WithField("peer", name).Warn("dispatcher does not answer; asking the next one")
	}
}

func (sel *Selector) acquireLocally(kind poolKind, p AcquireParams, decidedBy string) decision {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	ps := sel.pool(kind, p.Service)
	sel.adoptTimes(kind, p.Service, p.Class)
	return decision{Decision: ps.pool.Acquire(sel.now(), sel.poolRequest(p)), service: p.Service, localPool: ps, decidedBy: decidedBy}
}

func (sel *Selector) poolRequest(p AcquireParams) dispatch.Request {
	now := sel.now()
	return dispatch.Request{
		Class: p.Class, Key: p.Key, Workspace: p.Workspace, Host: p.Host, FailureDomain: p.FailureDomain, Rank: p.Rank, Bytes: p.Bytes,
		Objective: now + fromMillis(p.ObjectiveMillis), Deadline: now + fromMillis(p.RemainingMillis), NoTrial: p.NoTrial, NoHedge: p.NoHedge,
		Exclude: p.Exclude, Allowed: p.Allowed, SecondAttempt: p.SecondAttempt,
	}
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Release releases the grant of a decision and reports how the request ended. It
// does nothing for refusals.
func (sel *Selector) Release(dec decision, r dispatch.Report) {
	if dec.Refused != "" {
		return
	}
	if dec.dispatcher == nil {
		sel.mu.Lock()
		defer sel.mu.Unlock()
		dec.localPool.pool.Release(sel.now(), dec.Grant, r)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	p := ReleaseParams{Service: dec.service, Grant: dec.Grant, DispatcherIncarnation: dec.incarnation, Report: r}
	if err := sel.peerClient.Notify(ctx, dec.dispatcher.PeerAddress, MethodRelease, p); err != nil {
		// The dispatcher drops the grant soon after its deadline.
		sel.log.WithError(err).WithField("peer", dec.dispatcher.Name).Debug("failed to release a grant")
	}
}

// HandleAcquire serves MethodAcquire. It waits up to 60 ms for the first snapshot and
// then returns an error.
func (sel *Selector) HandleAcquire(ctx context.Context, p AcquireParams) (AcquireResult, error) {
	timer := time.NewTimer(snapshotWait)
	defer timer.Stop()
	select {
	case <-sel.snapshotReady:
	case <-timer.C:
		return AcquireResult{}, errNoSnapshot
	case <-ctx.Done():
		return AcquireResult{}, ctx.Err()
	}
	if sel.isLoading(p) {
		refused := dispatch.Decision{Refused: dispatch.NoServer, RetryAfter: retryAfterUnconfigured}
		return AcquireResult{DispatcherIncarnation: sel.self.Incarnation, Decision: refused, Loading: true}, nil
	}
	dec := sel.acquireLocally(sharedPool, p, "self")
	return AcquireResult{DispatcherIncarnation: sel.self.Incarnation, Decision: dec.Decision}, nil
}

// errNoSnapshot is returned by a dispatcher without a snapshot, and so without a
// configuration.
var errNoSnapshot = errors.New("no configuration is known yet")

// HandleRelease serves MethodRelease. It ignores grants of an earlier process.
func (sel *Selector) HandleRelease(_ context.Context, p ReleaseParams) (struct{}, error) {
	if p.DispatcherIncarnation != sel.self.Incarnation {
		return struct{}{}, nil
	}
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if ps := sel.sharedPools[p.Service]; ps != nil {
		ps.pool.Release(sel.now(), p.Grant, p.Report)
	}
	return struct{}{}, nil
}

// HandleDigest serves MethodDigest. A digest does not count as use of the pool, so that
// it alone causes no digests or saves.
func (sel *Selector) HandleDigest(_ context.Context, g dispatch.Digest) (struct{}, error) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	lastUsed := time.Duration(0)
	if ps := sel.sharedPools[g.Service]; ps != nil {
		lastUsed = ps.lastUsed
	}
	ps := sel.pool(sharedPool, g.Service)
	ps.lastUsed = lastUsed
	ps.pool.Merge(sel.now(), g)
	return struct{}{}, nil
}

// Dump returns the state of the backend servers as JSON, by service and ID: under
// "shared" in the shared pools, under "alone" in the fallback pools. It returns nil if
// the state cannot be encoded.
func (sel *Selector) Dump() json.RawMessage {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	state := map[string]map[string]any{"shared": {}, "alone": {}}
	for service, ps := range sel.sharedPools {
		state["shared"][service] = ps.pool.Dump(sel.now())
	}
	for service, ps := range sel.fallbackPools {
		state["alone"][service] = ps.pool.Dump(sel.now())
	}
	raw, err := json.Marshal(state)
	if err != nil {
		sel.log.WithError(err).Error("failed to encode the state of the pools")
		return nil
	}
	return raw
}
