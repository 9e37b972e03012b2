package mirror

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// MethodFetch fetches changes from another entry host.
const MethodFetch = "mirror.fetch"

// Times of the synchronization.
const (
	// storeWait is how long a watch of the store waits for a change at most. It
	// bounds the time until a silent connection is noticed.
	storeWait = 1500 * time.Millisecond
	// storeWaitPart and maxAgePart bound storeWait and maxAge by the time within
	// which changes must have their effect: a reader that is cut off from the store
	// must be left in time for the change that it missed.
	storeWaitPart, maxAgePart = 0.6, 0.88
	// storePause is the time between two reads of the store by one host.
	storePause = 250 * time.Millisecond
	// storeRetry is the time before the store is asked again after a failure by one
	// of the first maxPeers hosts of a region, restRetry the same for the others.
	// They ask those hosts meanwhile, so that the calls to a store that is down do
	// not grow with the fleet; the store may answer them alone, so they ask too.
	storeRetry, restRetry = 400 * time.Millisecond, 1600 * time.Millisecond
	// peerWait is how long a fetch from another host waits for a change.
	peerWait = 500 * time.Millisecond
	// peerTimeout bounds a fetch from another host in the same region.
	peerTimeout = peerWait + 250*time.Millisecond
	// peerPause is the time between two fetches from a host. Changes that come
	// together, as when hosts restart, are taken over at once.
	peerPause = 100 * time.Millisecond
	// peerSuspect is how long a host that did not answer is left out.
	peerSuspect = 2 * time.Second
	// staleSuspect is how long a host is left out that answered but does not read
	// the store: it may begin to at any moment.
	staleSuspect = 300 * time.Millisecond
	// maxAge is the age of another host's news above which the store is asked, at
	// most.
	maxAge = 2200 * time.Millisecond
	// maxPeers is the number of hosts that are asked before the store.
	maxPeers = 3
	// outageLength is how long the store must have failed for removals of leased
	// items to be doubted.
	outageLength = 500 * time.Millisecond
	// holdTime is how long after an outage leased items may come back. Their
	// writers renew them within two seconds of the store's return.
	holdTime = 2200 * time.Millisecond
	// catchUpTimeout bounds the wait of a fetch by another host.
	catchUpTimeout = time.Second
	// unconfirmedAge is the age told by a host that has never heard from the
	// store.
	unconfirmedAge = time.Hour
)

// Store reads the platform's store.
type Store interface {
	// Fetch returns the changes after a revision. It waits for one until wait
	// is over, and then returns an empty batch. It returns all items if after is
	// 0 or the store has forgotten the changes.
	Fetch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Peer calls other entry hosts.
type Peer interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Source is a host that may be asked for changes.
type Source struct {
	Name, Address string
	// Self tells that the source is this host, which asks the store.
	Self bool
}

// FetchParams asks for the changes after a revision.
type FetchParams struct {
	After uint64 `json:"after"`
	// Wait is how long to wait for a change, in milliseconds.
	Wait int64 `json:"wait_ms"`
}

// Times bound how old the news of a host may be.
type Times struct {
	// StoreWait is how long a watch of the store waits for a change.
	StoreWait time.Duration
	// MaxAge is the age of another host's news above which the store is asked.
	MaxAge time.Duration
}

// TimesFor returns the times with which a change has its effect on every host
// within apply, 0 if there is no such bound.
func TimesFor(apply time.Duration) Times {
	t := Times{StoreWait: storeWait, MaxAge: maxAge}
	if apply > 0 {
		t.StoreWait = min(t.StoreWait, time.Duration(storeWaitPart*float64(apply)))
		t.MaxAge = min(t.MaxAge, time.Duration(maxAgePart*float64(apply)))
	}
	return t
}

// Syncer keeps a Mirror up to date.
type Syncer struct {
	store Store
	peer  Peer
	times Times
	log   logrus.FieldLogger
	// Sources returns the hosts to ask, the first one first. This host is one of
	// them and stands for the store.
	Sources func() []Source
	// Changed is called with the mirror after a change, from one goroutine.
	Changed func(revision uint64, items []Item)

	started time.Time

	mu        sync.Mutex
	mirror    *Mirror
	confirmed time.Time // when the store confirmed the revision
	holdUntil time.Time
	news      chan struct{} // closed at the next change
	// answers holds the answers that were prepared since the last batch, by the
	// revision that they begin after.
	answers map[uint64]*prepared

	failing time.Time // start of the store's present failure
	retryAt time.Time // when the store may be asked again
	// lost tells that no host had a fresh copy in the last step, so that this is
	// logged once.
	lost     bool
	suspects map[string]time.Time
	from     string
	// direct tells that the last news came from the store itself.
	direct bool
}

// NewSyncer returns a syncer of an empty mirror.
func NewSyncer(store Store, peer Peer, m *Mirror, t Times, log logrus.FieldLogger) *Syncer {
	return &Syncer{
		store: store, peer: peer, mirror: m, times: t, log: log, started: time.Now(),
		news: make(chan struct{}), answers: map[uint64]*prepared{}, suspects: map[string]time.Time{},
	}
}

// Age returns how long ago the store confirmed what the mirror contains.
func (s *Syncer) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed.IsZero() {
		return time.Since(s.started)
	}
	return time.Since(s.confirmed)
}

// Run synchronizes until ctx is done.
func (s *Syncer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := s.step(ctx)
		s.expire()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// step asks sources until one answers and returns the time until the next step.
func (s *Syncer) step(ctx context.Context) time.Duration {
	asked, stored := 0, false
	sources := s.Sources()
	retry := storeRetry
	if slices.IndexFunc(sources, func(src Source) bool { return src.Self }) >= maxPeers {
		retry = restRetry
	}
	for _, src := range sources {
		if ctx.Err() != nil || asked >= maxPeers {
			break
		}
		if src.Self {
			if stored = true; s.tryStore(ctx, retry) {
				return storePause
			}
			continue
		}
		if time.Now().Before(s.suspects[src.Name]) {
			continue
		}
		asked++
		err := s.fetchPeer(ctx, src)
		if err == nil {
			s.lost = false
			s.setDirect(false)
			return peerPause
		}
		if ctx.Err() != nil {
			break
		}
		s.suspect(src.Name, err)
		if !s.lost {
			s.log.WithError(err).WithField("peer", src.Name).Warn("host has no fresh copy of the store")
		}
	}
	if !stored && s.tryStore(ctx, retry) {
		return storePause
	}
	s.lost = true
	s.setDirect(false)
	return storeRetry
}

// tryStore asks the store unless it failed a short time ago.
func (s *Syncer) tryStore(ctx context.Context, retry time.Duration) bool {
	if time.Now().Before(s.retryAt) {
		return false
	}
	if s.fetchStore(ctx) {
		s.lost = false
		return true
	}
	// The pause between two steps is part of the time.
	s.retryAt = time.Now().Add(retry - storeRetry)
	return false
}

func (s *Syncer) suspect(name string, err error) {
	pause := peerSuspect
	if errors.Is(err, errStale) {
		pause = staleSuspect
	}
	s.suspects[name] = time.Now().Add(pause)
}

// setDirect notes whether this host reads the store itself. Hosts that wait for
// its news are told at once when it does no longer.
func (s *Syncer) setDirect(direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if direct == s.direct {
		return
	}
	s.direct = direct
	if !direct {
		close(s.news)
		s.news = make(chan struct{})
	}
}

// errStale tells that a host cannot reach the store or has not heard from it for
// too long.
var errStale = errors.New("copy is too old")

func (s *Syncer) fetchPeer(ctx context.Context, src Source) error {
	cctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	b, err := s.ask(cctx, src, FetchParams{After: s.revision(), Wait: peerWait.Milliseconds()})
	if err == nil && !s.complete(b) {
		b, err = s.ask(cctx, src, FetchParams{})
	}
	if err != nil {
		return err
	}
	s.take(b, time.Now().Add(-b.Age), src.Name)
	return nil
}

// ask fetches a batch from a host. It returns errStale if the host does not read
// the store or has not heard from it for too long.
func (s *Syncer) ask(ctx context.Context, src Source, p FetchParams) (Batch, error) {
	var a Answer
	if err := s.peer.Call(ctx, src.Address, MethodFetch, p, &a); err != nil {
		return Batch{}, err
	}
	if !a.Direct || a.Age > s.times.MaxAge {
		return Batch{}, errStale
	}
	return a.unpack()
}

// fetchStore asks the store and tells whether it answered.
func (s *Syncer) fetchStore(ctx context.Context) bool {
	b, err := s.store.Fetch(ctx, s.revision(), s.times.StoreWait)
	now := time.Now()
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		if s.failing.IsZero() {
			s.failing = now
			s.log.WithError(err).Warn("store does not answer; the last known state stays in force")
		}
		return false
	}
	if !s.failing.IsZero() {
		away := now.Sub(s.failing)
		s.failing = time.Time{}
		if away > outageLength {
			s.mu.Lock()
			s.holdUntil = now.Add(holdTime)
			s.mu.Unlock()
		}
		s.log.WithField("away_ms", away.Milliseconds()).Info("store answers again")
	}
	s.mu.Lock()
	b.Hold = max(s.holdUntil.Sub(now), 0)
	s.mu.Unlock()
	s.take(b, now, "store")
	s.setDirect(true)
	return true
}

func (s *Syncer) complete(b Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Complete(b)
}

func (s *Syncer) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Revision()
}

// take applies a batch and tells whoever waits for changes.
func (s *Syncer) take(b Batch, confirmed time.Time, from string) {
	s.mu.Lock()
	if from != s.from {
		s.log.WithFields(logrus.Fields{"from": from, "before": s.from, "revision": b.Revision}).Info("source of the store's changes")
		s.from = from
	}
	if b.Revision >= s.mirror.Revision() && confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	if b.Hold > 0 {
		if until := time.Now().Add(b.Hold); until.After(s.holdUntil) {
			s.holdUntil = until
		}
	}
	clear(s.answers)
	s.finish(s.mirror.Apply(time.Since(s.started), b))
}

func (s *Syncer) expire() {
	s.mu.Lock()
	if s.mirror.Held() > 0 {
		clear(s.answers)
	}
	s.finish(s.mirror.Expire(time.Since(s.started)))
}

// finish publishes a change and unlocks.
func (s *Syncer) finish(changed bool) {
	if !changed {
		s.mu.Unlock()
		return
	}
	close(s.news)
	s.news = make(chan struct{})
	revision, items := s.mirror.Revision(), s.mirror.Items()
	s.mu.Unlock()
	s.Changed(revision, items)
}

// HandleFetch serves MethodFetch: it waits for a change after the revision.
func (s *Syncer) HandleFetch(ctx context.Context, p FetchParams) (Answer, error) {
	wait := min(time.Duration(p.Wait)*time.Millisecond, catchUpTimeout)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		from, meta, news := s.newsAfter(p.After)
		b := from.batch
		if expired || !meta.Direct || (len(b.Items) > 0 || b.Kept != nil) && b.Revision > p.After {
			a, err := from.answer()
			a.Age, a.Hold, a.Direct = meta.Age, meta.Hold, meta.Direct
			return a, err
		}
		select {
		case <-news:
		case <-timer.C:
			// The age must be that of the answer, not of the question.
			expired = true
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
}

// newsAfter returns the changes after a revision, how fresh they are, and a
// channel that is closed at the next change.
func (s *Syncer) newsAfter(after uint64) (*prepared, Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.answers[after]
	if p == nil {
		p = &prepared{batch: s.mirror.Since(after)}
		s.answers[after] = p
	}
	meta := Batch{Age: unconfirmedAge, Hold: max(time.Until(s.holdUntil), 0), Direct: s.direct}
	if !s.confirmed.IsZero() {
		meta.Age = time.Since(s.confirmed)
	}
	return p, meta, s.news
}
