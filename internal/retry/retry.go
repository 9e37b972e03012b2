// Package retry decides whether a request gets another attempt: a retry after
// a failure or a hedge while the first attempt is still running.
//
// Both draw on one budget per service, which limits extra attempts to a share of
// the requests even when every request fails. Only the first layer that a request
// reaches makes them. With -platform, package gateway uses only Budget and decides
// itself. The package has no locks and reads no clock; its caller serializes access.
package retry

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// Budget bounds extra attempts to a share of requests plus a burst.
type Budget struct {
	share, burst, tokens float64
	stats                Stats
}

// Stats counts requests and the extra attempts that Take granted and denied.
type Stats struct {
	Requests, Granted, Denied int64
}

// NewBudget returns a budget that gains share (0 to 1) extra attempts per request
// and holds at most burst attempts. It starts full.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// NewEmptyBudget returns a budget that starts empty, for processes that share a
// limit with others: a burst at each of many restarts would exceed it.
func NewEmptyBudget(share, burst float64) *Budget { return &Budget{share: share, burst: burst} }

// CountRequest counts one request and adds its share to the budget. Extra attempts
// are not counted as requests.
func (b *Budget) CountRequest() {
	b.stats.Requests++
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Take takes one extra attempt from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		b.stats.Denied++
		return false
	}
	b.tokens--
	b.stats.Granted++
	return true
}

// CanTake reports whether Take would succeed. It changes neither budget nor counts.
func (b *Budget) CanTake() bool { return b.tokens >= 1 }

// Tokens returns the number of extra attempts in the budget, fractions included.
func (b *Budget) Tokens() float64 { return b.tokens }

// Stats returns the counts since the budget was created.
func (b *Budget) Stats() Stats { return b.stats }

// Attempt identifies the latest attempt of a request.
type Attempt struct {
	// Number is 1 for the first attempt of this layer.
	Number int
	// Inherited is set if the request arrived with an attempt header. Only an
	// earlier layer then makes extra attempts.
	Inherited bool
}

// Policy limits the attempts of each request of a service.
type Policy struct {
	// MaxAttempts is the Attempt.Number from which on Decide allows no other attempt.
	MaxAttempts int
	// Backoff is the delay before the third attempt; it doubles with each later
	// one. The second attempt has no backoff. Each attempt may go to the same
	// backend server again.
	Backoff time.Duration
}

// DefaultPolicy applies to all services without -platform.
var DefaultPolicy = Policy{MaxAttempts: 3, Backoff: 20 * time.Millisecond}

// Decision is the result of Policy.Decide.
type Decision struct {
	Retry bool
	// After is the delay before the next attempt.
	After time.Duration
}

// Decide returns whether and when to retry after attempt ended with result, and
// takes a granted retry from the budget. left is the time until the deadline.
// A non-idempotent request is retried only if it did not run. Refusals for overload
// (late, queue-full, shift-cap) are not retried, because a retry adds load to an
// overloaded pool. An owner's no-server refusal is retried only if its retry-after,
// usually 30 s to 90 s, is below left.
func (p Policy) Decide(attempt Attempt, result outcome.Outcome, idempotent bool, left time.Duration, budget *Budget) Decision {
	if attempt.Inherited || attempt.Number >= p.MaxAttempts || !retryable(result, idempotent) {
		return Decision{}
	}
	after := max(p.backoff(attempt.Number), result.RetryAfter)
	if after >= left || !budget.Take() {
		return Decision{}
	}
	return Decision{Retry: true, After: after}
}

// backoff returns the delay before the attempt after the given one.
func (p Policy) backoff(number int) time.Duration {
	if number < 2 {
		return 0
	}
	return p.Backoff << min(number-2, 16)
}

// retryable reports whether another attempt may succeed without running
// non-idempotent work twice.
func retryable(result outcome.Outcome, idempotent bool) bool {
	switch result.Kind {
	case outcome.NotRun:
		switch result.Reason {
		case outcome.ReasonShed, outcome.ReasonConnect, outcome.ReasonNoOwner, outcome.ReasonNoServer:
			return true
		}
	case outcome.Unknown:
		switch result.Reason {
		case outcome.ReasonShed, outcome.ReasonConnect, outcome.ReasonBroken, outcome.ReasonIncomplete,
			outcome.ReasonWrongRequest, outcome.ReasonHostLost:
			return idempotent
		}
	}
	return false
}

// AllowHedge reports whether to start another attempt while earlier ones run, and
// takes an allowed one from the budget. The caller checks that the rank allows
// hedges and that Latency.HedgeDelay has passed. typical, the expected latency of
// the new attempt, must be less than left, the time until the deadline.
func (p Policy) AllowHedge(attempt Attempt, idempotent bool, typical, left time.Duration, budget *Budget) bool {
	if attempt.Inherited || !idempotent || attempt.Number >= p.MaxAttempts || typical >= left {
		return false
	}
	return budget.Take()
}
