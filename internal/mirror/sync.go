package mirror

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/transfer"
)

// MethodFetch is the RPC method that fetches changes from another entry host. It
// takes FetchParams and returns an Answer.
const MethodFetch = "mirror.fetch"

// Timing of the synchronization.
const (
	// maxStoreWait bounds the wait of a watch for a change, and so how long an
	// unresponsive connection goes unnoticed.
	maxStoreWait = 1500 * time.Millisecond
	// storeWaitFraction bounds the wait of a watch as a fraction of the time within
	// which changes must take effect on every host.
	storeWaitFraction = 0.6
	// maxAgeFraction bounds the age of a peer's copy as a fraction of the same time. A
	// peer whose store call hangs still reports that it reads the store; beyond this
	// age hosts fetch elsewhere, so that changes take effect in time.
	maxAgeFraction = 0.88
	// storePause is the pause between two reads of the store by one host, in a region of
	// at most pauseHosts hosts.
	storePause = 250 * time.Millisecond
	// maxStorePause bounds the longer pause in larger regions, where all hosts apply each
	// batch of changes and more servers write.
	maxStorePause = 500 * time.Millisecond
	// pauseHosts is the number of hosts from which the pause grows in proportion.
	pauseHosts = 50
	// storeRetryDelay is the delay before one of the first maxPeers hosts of a region,
	// or a host that is not listed, retries a failed store call. It is also the pause
	// after a step that found no source. If a peer has answered in the step of the
	// failed call, the retry may come 300 ms earlier; see tryStore.
	storeRetryDelay = 400 * time.Millisecond
	// followerRetryDelay is the same delay for the other hosts, so that the calls to
	// a failed store grow less with the fleet. They call it at all because it may be
	// reachable from them alone.
	followerRetryDelay = 1600 * time.Millisecond
	// peerWait is how long a fetch from another host waits for a change.
	peerWait = 500 * time.Millisecond
	// peerTimeout bounds the time until the answer of another host begins, and the time
	// without progress from then on.
	peerTimeout = peerWait + 250*time.Millisecond
	// maxPeerTransferTime bounds a whole fetch from another host. The largest message
	// between hosts, 4 MiB, takes 3.4 s over a link of 10 Mbit/s.
	maxPeerTransferTime = 4 * time.Second
	// peerPause is the pause between two fetches from a peer. It batches changes that
	// arrive together, as when hosts restart.
	peerPause = 100 * time.Millisecond
	// peerSuspectTime is how long a peer whose fetch failed is skipped.
	peerSuspectTime = 2 * time.Second
	// stalePeerSuspectTime is the same for errStale. It is shorter because the peer
	// may start to read the store at any moment.
	stalePeerSuspectTime = 300 * time.Millisecond
	// maxPeerAge bounds the age of a peer's copy that is accepted.
	maxPeerAge = 2200 * time.Millisecond
	// maxPeers bounds the peers that one step tries. Suspected ones do not count.
	maxPeers = 3
	// minOutageLength is the length above which an outage of the store defers the
	// removals of leased items.
	minOutageLength = 500 * time.Millisecond
	// removalDeferral is how long after an outage removals of leased items are
	// deferred. Writers usually renew their items within 2 s of the store's return;
	// see maxRegistrationRetryDelay.
	removalDeferral = 2200 * time.Millisecond
	// maxFetchWait bounds how long HandleFetch waits for a change.
	maxFetchWait = time.Second
	// neverConfirmedAge is the age that HandleFetch reports while the store has never
	// confirmed the copy.
	neverConfirmedAge = time.Hour
)

// Store reads the platform's store.
type Store interface {
	// Fetch returns the changes after a position. It waits up to wait for a change
	// and then returns an empty batch. It returns a full batch without waiting if
	// after.Revision is 0, the store has compacted the changes, or it has another era.
	Fetch(ctx context.Context, after Position, wait time.Duration) (Batch, error)
}

// PeerClient calls RPC methods of other entry hosts. It reports the arrival of data to
// the transfer.Monitor of ctx.
type PeerClient interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Source is a host from which changes may be fetched.
type Source struct {
	Name, Address string
	// Self reports whether the source is this host; it then stands for the store.
	Self bool
}

// FetchParams are the parameters of MethodFetch: it returns the changes after a revision
// of an era; see Position.
type FetchParams struct {
	Era   uint64 `json:"era,omitempty"`
	After uint64 `json:"after"`
	// WaitMillis is the longest wait for a change, in milliseconds.
	WaitMillis int64 `json:"wait_ms"`
}

// Timing bounds how old a host's copy of the store may be.
type Timing struct {
	// StoreWait is the longest wait of a watch of the store for a change.
	StoreWait time.Duration
	// MaxAge is the greatest age of a peer's copy that is accepted.
	MaxAge time.Duration
}

// TimingFor returns the timing with which a change takes effect on every host
// within deadline. A deadline of 0 sets no bound.
func TimingFor(deadline time.Duration) Timing {
	t := Timing{StoreWait: maxStoreWait, MaxAge: maxPeerAge}
	if deadline > 0 {
		t.StoreWait = min(t.StoreWait, time.Duration(storeWaitFraction*float64(deadline)))
		t.MaxAge = min(t.MaxAge, time.Duration(maxAgeFraction*float64(deadline)))
	}
	return t
}

// Syncer keeps a Mirror up to date from the store or from other hosts. Its
// methods except Run are safe for concurrent use.
type Syncer struct {
	store      Store
	peerClient PeerClient
	timing     Timing
	log        logrus.FieldLogger
	// Sources returns the hosts to fetch from, in order of preference. The entry of
	// this host stands for the store; without one, the store comes last.
	Sources func() []Source
	// Seeds are hosts to fetch from while the sources have no fresh copy shortly after the
	// start of this process, so that the hosts of a fleet that starts do not call the store
	// again and again until they know who reads it. A host among them reads the store.
	Seeds []Source
	// Changed is called after each change, from the goroutine of Run, with the mirror's
	// revision and the items that changed since the last call; see Mirror.TakeChanges.
	Changed func(revision uint64, changes []Item)
	// Restored, if set, is called after Changed when the copy has reached a new era: the
	// store was restored from an older copy, and what this host has written may be gone.
	Restored func()

	started time.Time

	mu         sync.Mutex
	mirror     *Mirror
	confirmed  time.Time     // when the store last confirmed the copy
	published  time.Time     // the same of the copy that Changed has got
	deferUntil time.Time     // end of the deferral of removals
	updated    chan struct{} // closed at the next change, or when direct becomes false
	// answers caches answers until the mirror may change, by the position after which
	// they start.
	answers map[Position]*sharedAnswer

	// failingSince is the first failure of this host's store calls since the last success
	// or the last batch from another host, zero if none.
	failingSince time.Time
	retryAt      time.Time // earliest next call of the store
	// noFreshSource reports whether the last step found no fresh source. Failed peers
	// are then not logged, so that an outage does not repeat their lines.
	noFreshSource bool
	suspects      map[string]time.Time // end of the skip time by the peer's name
	source        string               // of the last batch: "store" or a peer's name
	stats         Stats
	ignoring      bool // whether the last batch was ignored
	// direct reports whether the last step got an answer of the store.
	direct bool
}

// NewSyncer returns a syncer for m, which must be empty. The caller sets Sources
// and Changed before Run.
func NewSyncer(store Store, peerClient PeerClient, m *Mirror, t Timing, log logrus.FieldLogger) *Syncer {
	return &Syncer{
		store: store, peerClient: peerClient, mirror: m, timing: t, log: log, started: time.Now(),
		updated: make(chan struct{}), answers: map[Position]*sharedAnswer{}, suspects: map[string]time.Time{},
	}
}

// Age returns the time since the store last confirmed the copy that Changed has got, or
// since the creation of the syncer if it never did. While Changed runs, it is still that
// of the copy before: a user that finds nothing there may conclude nothing from it.
func (s *Syncer) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.published.IsZero() {
		return time.Since(s.started)
	}
	return time.Since(s.published)
}

// Run synchronizes until ctx is done and returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := s.step(ctx)
		s.applyDeferred()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// step tries the sources in order until one succeeds and returns the time until
// the next step.
func (s *Syncer) step(ctx context.Context) time.Duration {
	tried, triedStore := 0, false
	sources := s.Sources()
	retry := storeRetryDelay
	if slices.IndexFunc(sources, func(src Source) bool { return src.Self }) >= maxPeers {
		retry = followerRetryDelay
	}
	for _, src := range sources {
		if ctx.Err() != nil || tried >= maxPeers {
			break
		}
		if src.Self {
			if triedStore = true; s.tryStore(ctx, retry) {
				return pauseAfterRead(len(sources))
			}
			continue
		}
		if time.Now().Before(s.suspects[src.Name]) {
			continue
		}
		if tried > 0 && !triedStore && s.copyTooOld() && !time.Now().Before(s.retryAt) {
			// Each further peer may be silent for peerTimeout, and changes are due.
			break
		}
		tried++
		err := s.fetchPeer(ctx, src)
		if err == nil {
			s.noFreshSource = false
			s.setDirect(false)
			return peerPause
		}
		if ctx.Err() != nil {
			break
		}
		s.suspect(src.Name, err)
		if !s.noFreshSource {
			// Logged for any error, also if the peer is unreachable.
			s.log.WithError(err).WithField("peer", src.Name).Warn("host has no fresh copy of the store")
		}
	}
	if !triedStore && s.mayUseSeeds() && s.fetchSeeds(ctx) {
		s.noFreshSource = false
		s.setDirect(false)
		return peerPause
	}
	if !triedStore && s.tryStore(ctx, retry) {
		return storePause
	}
	s.noFreshSource = true
	s.setDirect(false)
	return storeRetryDelay
}

// copyTooOld reports whether other hosts would not accept the copy of this host.
func (s *Syncer) copyTooOld() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.confirmed.IsZero() && time.Since(s.confirmed) > s.timing.MaxAge
}

// pauseAfterRead returns the pause after a read of the store by the host that reads it
// for a region.
func pauseAfterRead(hosts int) time.Duration {
	return min(max(storePause, storePause*time.Duration(hosts)/pauseHosts), maxStorePause)
}

// tryStore calls the store, except before retryAt, and reports whether that succeeded.
func (s *Syncer) tryStore(ctx context.Context, retry time.Duration) bool {
	if time.Now().Before(s.retryAt) {
		return false
	}
	if s.fetchStore(ctx) {
		s.noFreshSource = false
		return true
	}
	// The pause until the next step counts towards retry. It is storeRetryDelay, or
	// only peerPause if a peer has answered in this step.
	s.retryAt = time.Now().Add(retry - storeRetryDelay)
	return false
}

// suspect skips a peer for a time that depends on err.
func (s *Syncer) suspect(name string, err error) {
	pause := peerSuspectTime
	if errors.Is(err, errStale) {
		pause = stalePeerSuspectTime
	}
	s.suspects[name] = time.Now().Add(pause)
}

// setDirect sets direct. When it becomes false, pending fetches of other hosts return
// at once.
func (s *Syncer) setDirect(direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if direct == s.direct {
		return
	}
	s.direct = direct
	if !direct {
		close(s.updated)
		s.updated = make(chan struct{})
	}
}

// errStale reports a peer that does not read the store, or whose copy is older
// than Timing.MaxAge or of an earlier era than this host's.
var errStale = errors.New("peer does not read the store or its copy is too old")

// fetchPeer fetches and applies the changes of a peer. It fetches all items if a
// removal may be missing from the changes.
func (s *Syncer) fetchPeer(ctx context.Context, src Source) error {
	at := s.position()
	b, confirmed, err := s.fetchFrom(ctx, src, FetchParams{Era: at.Era, After: at.Revision, WaitMillis: peerWait.Milliseconds()})
	if err == nil && !s.complete(b) {
		b, confirmed, err = s.fetchFrom(ctx, src, FetchParams{})
	}
	if err != nil {
		return err
	}
	// The store answers others. A later failure of this host's calls, which it does not
	// make meanwhile, is another outage.
	s.failingSince = time.Time{}
	s.applyBatch(b, confirmed, src.Name)
	return nil
}

// fetchFrom fetches a batch from a peer, and returns when the store confirmed it. It may
// return errStale.
func (s *Syncer) fetchFrom(ctx context.Context, src Source, p FetchParams) (Batch, time.Time, error) {
	callCtx, monitor := transfer.NewMonitor(ctx, transfer.Limits{First: peerTimeout, Idle: peerTimeout, Total: maxPeerTransferTime})
	defer monitor.Stop()
	var a Answer
	if err := s.peerClient.Call(callCtx, src.Address, MethodFetch, p, &a); err != nil {
		return Batch{}, time.Time{}, err
	}
	if !a.Direct || a.Age > s.timing.MaxAge || a.Era < s.position().Era {
		return Batch{}, time.Time{}, errStale
	}
	b, err := a.unpack()
	return b, monitor.Began().Add(-b.Age), err
}

// fetchStore fetches and applies the changes of the store and reports whether that
// succeeded. The first failure after a success is logged as no answer, also if the
// store answered with an error; changes may still come from peers.
func (s *Syncer) fetchStore(ctx context.Context) bool {
	at := s.position()
	b, err := s.store.Fetch(ctx, at, s.timing.StoreWait)
	now := time.Now()
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		if s.failingSince.IsZero() {
			s.failingSince = now
			s.log.WithError(err).Warn("store does not answer; the last known state stays in force")
		}
		return false
	}
	if !s.failingSince.IsZero() {
		outage := now.Sub(s.failingSince)
		s.failingSince = time.Time{}
		if outage > minOutageLength {
			s.mu.Lock()
			s.deferUntil = now.Add(removalDeferral)
			s.mu.Unlock()
		}
		s.log.WithField("away_ms", outage.Milliseconds()).Info("store answers again")
	}
	s.mu.Lock()
	if at.Revision > 0 && b.Era > at.Era {
		// The restored copy may lack items that their writers are about to write again.
		s.deferUntil = now.Add(removalDeferral)
	}
	b.DeferRemovals = max(s.deferUntil.Sub(now), 0)
	s.mu.Unlock()
	s.applyBatch(b, now.Add(-b.Age), "store")
	s.setDirect(true)
	return true
}

func (s *Syncer) complete(b Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.CompleteWith(b)
}

func (s *Syncer) position() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Position()
}

// applyBatch applies a batch whose position the store confirmed at the given time.
func (s *Syncer) applyBatch(b Batch, confirmed time.Time, source string) {
	s.mu.Lock()
	if source != s.source {
		s.log.WithFields(logrus.Fields{"from": source, "before": s.source, "revision": b.Revision}).Info("source of the store's changes")
		s.source = source
	}
	s.recordBatch(b, source)
	if b.DeferRemovals > 0 {
		if until := time.Now().Add(b.DeferRemovals); until.After(s.deferUntil) {
			s.deferUntil = until
		}
	}
	clear(s.answers)
	before := s.mirror.Position()
	changed := s.mirror.Apply(time.Since(s.started), b)
	after := s.mirror.Position()
	if after == b.Position() && confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	published := s.confirmed
	s.publishAndUnlock(changed)
	s.mu.Lock()
	s.published = published
	s.mu.Unlock()
	if before.Revision > 0 && after.Era > before.Era && s.Restored != nil {
		s.Restored()
	}
}

func (s *Syncer) applyDeferred() {
	s.mu.Lock()
	if s.mirror.Deferred() > 0 {
		clear(s.answers)
	}
	s.publishAndUnlock(s.mirror.ApplyDeferred(time.Since(s.started)))
}

// publishAndUnlock unlocks s.mu. After a change it also ends the waits of
// HandleFetch and calls Changed.
func (s *Syncer) publishAndUnlock(changed bool) {
	if !changed {
		s.mu.Unlock()
		return
	}
	close(s.updated)
	s.updated = make(chan struct{})
	revision, changes := s.mirror.Position().Revision, s.mirror.TakeChanges()
	s.mu.Unlock()
	s.Changed(revision, changes)
}
