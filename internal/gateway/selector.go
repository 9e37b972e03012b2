package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
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

func (sel *Selector) now() time.Duration { return time.Since(sel.startTime) }

// Now returns the time on the selector's clock, which starts at zero in
// NewSelector. Snapshots use it for the times until which servers are cold.
func (sel *Selector) Now() time.Duration { return sel.now() }

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
