package edge

import (
	"context"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/retry"
)

// retryBurst is the maximum number of extra attempts that a budget holds.
const retryBurst = 10

// maxOwnerWait bounds how long after its arrival a request is tried again while its
// pool has no owner. At the shortest period of lease.renew, it exceeds the validity
// of a lease plus the time for the new assignment. These attempts add no load to
// backend servers and do not use the retry budget. They count for Policy.MaxAttempts
// only when a later one fails, and only the first attempt is hedged.
const maxOwnerWait = 4 * time.Second

// budget returns the retry budget of the request's service. The caller holds
// e.mu.
func (e *Edge) budget(r *request) *retry.Budget {
	b, ok := e.budgets[r.service.Name]
	if !ok {
		b = retry.NewBudget(r.service.RetryShare, retryBurst)
		e.budgets[r.service.Name] = b
	}
	return b
}

// countRequest adds a request to its service's retry budget.
func (e *Edge) countRequest(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(r).CountRequest()
}

// waitToRetry reports whether to make another attempt, and waits before that.
func (e *Edge) waitToRetry(ctx context.Context, r *request, o outcome.Outcome, attempt int) bool {
	if !r.replayable() {
		return false
	}
	if o.Reason == outcome.ReasonNoOwner && time.Since(r.arrived) < maxOwnerWait {
		return pause(ctx, localRetryDelay) && r.remaining() > 0
	}
	e.mu.Lock()
	d := retry.DefaultPolicy.Decide(retry.Attempt{Number: attempt, Inherited: r.inherited}, o, r.rank.Idempotent, r.remaining(), e.budget(r))
	e.mu.Unlock()
	if !d.Retry {
		return false
	}
	e.count("retries;service=" + r.service.Name)
	return pause(ctx, d.After)
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
