package edge

import (
	"context"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/view"
)

// hedgeQuantile is the latency quantile after which a second attempt starts.
// It makes a hedge of one request in twenty, within the retry budget.
const hedgeQuantile = 0.95

// latencyKey names the requests whose latencies are alike.
type latencyKey struct{ service, rank string }

// latency returns the latencies of a request's kind. The caller holds e.mu.
func (e *Edge) latency(r *request) *retry.Latency {
	key := latencyKey{r.service.Name, r.rank.Name}
	l, ok := e.latencies[key]
	if !ok {
		l = retry.NewLatency(hedgeQuantile)
		e.latencies[key] = l
	}
	return l
}

// hedgeDelay returns when a second attempt may start, or false for a request
// that is not hedged. Only look-ups that this entry host can send again are.
func (e *Edge) hedgeDelay(r *request, number int) (time.Duration, bool) {
	if !r.rank.Hedge || !r.rank.Idempotent || !r.replayable() || r.inherited || number > 1 {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latency(r).HedgeDelay()
}

// mayHedge takes a second attempt from the retry budget.
func (e *Edge) mayHedge(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return retry.DefaultPolicy.AllowHedge(retry.Attempt{Number: 1, Inherited: r.inherited}, r.rank.Idempotent, e.latency(r).Median(), r.left(), e.budget(r))
}

func (e *Edge) observe(r *request, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latency(r).Observe(d)
}

// tryHedged makes an attempt, and a second one when the first is slow and the
// rank allows it. The first answer wins; the other attempt is canceled.
func (e *Edge) tryHedged(ctx context.Context, s *view.Snapshot, r *request, region string, number int) try {
	begun := time.Now()
	delay, hedged := e.hedgeDelay(r, number)
	var t try
	if hedged {
		t = e.race(ctx, s, r, region, delay)
	} else {
		t = e.tryOnce(ctx, s, r, region)
	}
	if t.answer != nil && r.rank.Hedge {
		e.observe(r, time.Since(begun))
	}
	return t
}

// racer is the end of one of two attempts.
type racer struct {
	try
	index  int
	cancel context.CancelFunc
}

// won returns the result that counts. Its context lasts until a streamed answer
// has been delivered.
func (w racer) won() try {
	if w.answer == nil || w.answer.rest == nil {
		w.cancel()
		return w.try
	}
	release := w.answer.release
	w.answer.release = func(status peer.ReleaseStatus) {
		release(status)
		w.cancel()
	}
	return w.try
}

// discard ends an attempt whose answer is not needed.
func (w racer) discard() {
	if w.answer != nil && w.answer.rest != nil {
		_ = w.answer.rest.Close()
		w.answer.release(peer.ReleaseCanceled)
	}
	w.cancel()
}

// race makes an attempt and, after a delay, a second one.
func (e *Edge) race(ctx context.Context, s *view.Snapshot, r *request, region string, delay time.Duration) try {
	results := make(chan racer, 2)
	var cancels [2]context.CancelFunc
	start := func(index int) {
		ctx, cancel := context.WithCancel(ctx)
		cancels[index] = cancel
		go func() { results <- racer{e.tryOnce(ctx, s, r, region), index, cancel} }()
	}
	start(0)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case got := <-results:
		return got.won()
	case <-timer.C:
	}
	if !e.mayHedge(r) {
		return (<-results).won()
	}
	e.count("hedges;service=" + r.service.Name)
	start(1)
	got := <-results
	if got.answer != nil {
		cancels[1-got.index]()
		go func() { (<-results).discard() }()
		return got.won()
	}
	got.cancel()
	last := (<-results).won()
	if last.answer == nil {
		last.outcome = sure(last.outcome, got.outcome.Kind == outcome.Unknown)
	}
	return last
}
