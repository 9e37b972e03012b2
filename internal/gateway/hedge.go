package gateway

import (
	"context"
	"time"

	"github.com/galenabeam/galenabeam/internal/retry"
)

// mayHedge reports whether a second attempt may be sent while the first one runs.
func mayHedge(pr *pendingRequest) bool {
	return pr.route.Kind.Repeatable() && pr.route.MaxAttempts >= 2 && pr.request.Rest == nil
}

// lateHedgeDelay returns the time from a hedge that was not sent to the next try.
func lateHedgeDelay(dec decision) time.Duration {
	if dec.HedgeDelay > 0 {
		return max(time.Duration(lateHedgeFactor*float64(dec.expectedTime()))-dec.HedgeDelay, hedgeBaseDelay)
	}
	return time.Duration((lateHedgeFactor - hedgeFactor) * float64(dec.expectedTime()))
}

// hedgeDelay returns the time from the first attempt to the hedge, learned by the
// dispatcher or a fixed multiple of the expected time, which is after the
// deadline if the request must not be hedged.
func (g *Gateway) hedgeDelay(pr *pendingRequest, dec decision) time.Duration {
	if !mayHedge(pr) {
		return time.Until(pr.deadline) + time.Second
	}
	if dec.HedgeDelay > 0 {
		return dec.HedgeDelay
	}
	return time.Duration(hedgeFactor*float64(dec.expectedTime())) + hedgeBaseDelay
}

// hedge selects a server for a second attempt while the first one runs. It reports
// false if attempts or retry budget are used up, no server is granted, or the answer
// is not expected before the objective, or the workspace has no token. A late hedge has
// until the deadline, but needs an occupancy of at most lateHedgeMaxOccupancy.
func (g *Gateway) hedge(ctx context.Context, pr *pendingRequest, budget *retry.Budget, late bool) (decision, bool) {
	if pr.sentAttempts+1 >= pr.route.MaxAttempts || g.keyRevoked(pr) || !g.hasHedgeBudget(pr, budget) || !g.tryToken(pr) {
		return decision{}, false
	}
	dec := g.acquire(ctx, pr, hedgeAttempt)
	if dec.Refused != "" {
		g.returnToken(pr)
		return dec, false
	}
	remaining := time.Until(pr.objective)
	if late {
		remaining = time.Until(pr.deadline)
	}
	if dec.expectedTime() > remaining || late && dec.Busy > lateHedgeMaxOccupancy || !g.renewToken(pr) || !g.takeBudget(pr.service, budget) {
		g.releaseUnused(dec)
		g.returnToken(pr)
		return dec, false
	}
	return dec, true
}

// hasHedgeBudget reports whether the retry budget allows a hedge, before a server is
// granted for it. It counts a denied one.
func (g *Gateway) hasHedgeBudget(pr *pendingRequest, b *retry.Budget) bool {
	if g.hasBudget(b) {
		return true
	}
	g.cfg.Metrics.retry(pr.service, false)
	return false
}
