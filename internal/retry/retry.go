// Package retry decides whether a request gets another attempt: a retry after
// a failure or a hedge while the first attempt is still running.
//
// Both draw on one budget per service, so that extra attempts stay a share of
// the requests when everything fails at once. Only the first layer that a
// request reaches makes extra attempts. The package has no locks and reads no
// clock; its caller serializes access.
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

// Stats counts requests and the extra attempts asked for.
type Stats struct {
	Requests, Granted, Denied int64
}

// NewBudget returns a budget of share (0 to 1) extra attempts per request that
// saves at most burst attempts. It starts full.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// NewEmptyBudget returns a budget that starts empty, for processes that may be
// started again and again while others count with their share.
func NewEmptyBudget(share, burst float64) *Budget { return &Budget{share: share, burst: burst} }

// CountRequest counts one request, not an extra attempt.
func (b *Budget) CountRequest() {
	b.stats.Requests++
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Take takes one extra attempt from the budget if there is one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		b.stats.Denied++
		return false
	}
	b.tokens--
	b.stats.Granted++
	return true
}

// CanTake tells whether Take would succeed. It counts nothing.
func (b *Budget) CanTake() bool { return b.tokens >= 1 }

// Tokens returns the further attempts that are allowed now.
func (b *Budget) Tokens() float64 { return b.tokens }

// Stats returns the present counts.
func (b *Budget) Stats() Stats { return b.stats }

// Attempt tells which attempt of a request is meant.
type Attempt struct {
	// Number is 1 for the first attempt of this layer.
	Number int
	// Inherited is set when the request arrived with an attempt header, so
	// that an earlier layer already makes the extra attempts.
	Inherited bool
}

// Policy sets the limits of extra attempts of one service.
type Policy struct {
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts int
	// Backoff is the pause before the third attempt; it doubles with each one
	// after that. The second attempt goes to another backend server at once.
	Backoff time.Duration
}

// DefaultPolicy is used for services without settings of their own.
var DefaultPolicy = Policy{MaxAttempts: 3, Backoff: 20 * time.Millisecond}

// Decision answers Decide.
type Decision struct {
	Retry bool
	// After is the pause before the next attempt, which uses a new identity.
	After time.Duration
}

// Decide tells whether to retry after attempt ended with result. left is the
// time until the deadline. Not-run requests and idempotent work are retried if
// another backend server may do better. Refusals for lack of capacity are not
// retried, since that adds load where there is too much of it.
func (p Policy) Decide(attempt Attempt, result outcome.Outcome, idempotent bool, left time.Duration, budget *Budget) Decision {
	if attempt.Inherited || attempt.Number >= p.MaxAttempts || !retryable(result, idempotent) {
		return Decision{}
	}
	after := max(p.pause(attempt.Number), result.RetryAfter)
	if after >= left || !budget.Take() {
		return Decision{}
	}
	return Decision{Retry: true, After: after}
}

func (p Policy) pause(number int) time.Duration {
	if number < 2 {
		return 0
	}
	return p.Backoff << min(number-2, 16)
}

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

// AllowHedge tells whether to start another attempt while earlier ones run. The
// caller asks once the delay of Latency.HedgeDelay has passed, only for ranks
// that allow hedges. typical is the latency that the new attempt is likely to
// take; it must fit into the time left.
func (p Policy) AllowHedge(attempt Attempt, idempotent bool, typical, left time.Duration, budget *Budget) bool {
	if attempt.Inherited || !idempotent || attempt.Number >= p.MaxAttempts || typical >= left {
		return false
	}
	return budget.Take()
}
