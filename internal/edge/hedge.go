package edge

import (
	"context"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/view"
)

// hedgeQuantile is the latency quantile after which a second attempt starts. At
// 0.95, one request in twenty is hedged, within the retry budget.
const hedgeQuantile = 0.95

// latencyKey identifies a latency estimate: one for each service and rank.
type latencyKey struct{ service, rank string }

// latency returns the latency estimate for a request. The caller holds e.mu.
func (e *Edge) latency(r *request) *retry.Latency {
	key := latencyKey{r.service.Name, r.rank.Name}
	l, ok := e.latencies[key]
	if !ok {
		l = retry.NewLatency(hedgeQuantile)
		e.latencies[key] = l
	}
	return l
}

// hedgeDelay returns the delay before a second attempt, or false if the request
// is not hedged. Only the first attempt of an idempotent request of a hedged rank,
// with a buffered body and no attempt header, is hedged.
func (e *Edge) hedgeDelay(r *request, number int) (time.Duration, bool) {
	if !r.rank.Hedge || !r.rank.Idempotent || !r.replayable() || r.inherited || number > 1 {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latency(r).HedgeDelay()
}

// takeHedge takes a second attempt from the retry budget and reports whether it
// may be made. It does not count for Policy.MaxAttempts.
func (e *Edge) takeHedge(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return retry.DefaultPolicy.AllowHedge(retry.Attempt{Number: 1, Inherited: r.inherited}, r.rank.Idempotent, e.latency(r).Median(), r.remaining(), e.budget(r))
}

// observeLatency adds the time from the start of an attempt to the first answer,
// its own or its hedge's, to the latency estimate.
func (e *Edge) observeLatency(r *request, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latency(r).Observe(d)
}

// attemptHedged makes an attempt, hedged if hedgeDelay allows it.
func (e *Edge) attemptHedged(ctx context.Context, s *view.Snapshot, r *request, region string, number int) attemptResult {
	started := time.Now()
	delay, hedged := e.hedgeDelay(r, number)
	var t attemptResult
	if hedged {
		t = e.race(ctx, s, r, region, delay)
	} else {
		t = e.attemptOnce(ctx, s, r, region)
	}
	if t.answer != nil && r.rank.Hedge {
		e.observeLatency(r, time.Since(started))
	}
	return t
}

// raceResult is the result of one of two concurrent attempts.
type raceResult struct {
	attemptResult
	index  int
	cancel context.CancelFunc
}

// accept returns the result of the attempt that is used. Its context is canceled at
// once, or after delivery if the answer is streamed.
func (w raceResult) accept() attemptResult {
	if w.answer == nil || w.answer.rest == nil {
		w.cancel()
		return w.attemptResult
	}
	release := w.answer.release
	w.answer.release = func(status peer.ReleaseStatus) {
		release(status)
		w.cancel()
	}
	return w.attemptResult
}

// discard cancels an attempt whose answer is not used.
func (w raceResult) discard() {
	if w.answer != nil && w.answer.rest != nil {
		_ = w.answer.rest.Close()
		w.answer.release(peer.ReleaseCanceled)
	}
	w.cancel()
}

// race makes an attempt and, if it has not ended after delay and the retry budget
// allows it, a second one. It returns the first answer and cancels the other
// attempt.
func (e *Edge) race(ctx context.Context, s *view.Snapshot, r *request, region string, delay time.Duration) attemptResult {
	results := make(chan raceResult, 2)
	var cancels [2]context.CancelFunc
	start := func(index int) {
		ctx, cancel := context.WithCancel(ctx)
		cancels[index] = cancel
		go func() { results <- raceResult{e.attemptOnce(ctx, s, r, region), index, cancel} }()
	}
	start(0)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case got := <-results:
		return got.accept()
	case <-timer.C:
	}
	if !e.takeHedge(r) {
		return (<-results).accept()
	}
	e.count("hedges;service=" + r.service.Name)
	start(1)
	got := <-results
	if got.answer != nil {
		cancels[1-got.index]()
		go func() { (<-results).discard() }()
		return got.accept()
	}
	got.cancel()
	other := (<-results).accept()
	if other.answer == nil {
		other.outcome = mergeUncertainty(other.outcome, got.outcome.Kind == outcome.Unknown)
	}
	return other
}
