package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/quota"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// attempt is one attempt to have a backend server run a request. reply and elapsed
// are set at its end.
type attempt struct {
	decision  decision
	token     quota.Token
	backend   *fleet.Backend // nil if the snapshot does not list the server
	reply     reply
	startTime time.Time
	elapsed   time.Duration
	cancel    context.CancelFunc
}

// end frees the resources of an attempt whose answer is not used.
func (a *attempt) end() {
	a.reply.answer.drop()
	a.cancel()
}

// attemptSet holds the attempts of a request that are in progress.
type attemptSet struct {
	g       *Gateway
	pr      *pendingRequest
	results chan *attempt // read by runAttempts, and then by collectAbandoned
	active  []*attempt
	// anyMayHaveRun is set if the request may have run in an attempt without a usable answer.
	anyMayHaveRun bool
}

// runAttempts tries backend servers until one answers or no further attempt is
// allowed. The returned outcome is a stable identifier for logs and metrics.
func (g *Gateway) runAttempts(ctx context.Context, pr *pendingRequest, budget *retry.Budget) (*Answer, string) {
	attempts := &attemptSet{g: g, pr: pr, results: make(chan *attempt)}
	defer attempts.abandon()
	defer g.returnToken(pr)
	dec, answer, outcome := g.begin(ctx, pr)
	if answer != nil {
		return answer, outcome
	}
	attempts.start(ctx, dec)
	hedge := time.NewTimer(g.hedgeDelay(pr, dec))
	defer hedge.Stop()
	lateHedge := false
	for {
		select {
		case <-ctx.Done():
			attempts.recordRunning()
			return g.answerExpired(ctx, pr)
		case <-pr.request.ending():
			attempts.recordRunning()
			return answerEnded()
		case <-hedge.C:
			second, ok := g.hedge(ctx, pr, budget, lateHedge)
			if ok {
				attempts.start(ctx, second)
			} else if !lateHedge {
				lateHedge = true
				hedge.Reset(lateHedgeDelay(dec))
			}
		case a := <-attempts.results:
			if answer, outcome := attempts.finish(ctx, a, budget); answer != nil {
				return answer, outcome
			}
		}
	}
}

// start starts an attempt with the token of the request.
func (s *attemptSet) start(ctx context.Context, dec decision) {
	a := s.g.startAttempt(ctx, s.pr, dec, s.results)
	s.pr.hasToken = false
	s.active = append(s.active, a)
}

// finish processes an attempt that has ended. It returns the answer to the request, or nil
// if another attempt is in progress, which it starts if necessary and allowed.
func (s *attemptSet) finish(ctx context.Context, a *attempt, budget *retry.Budget) (*Answer, string) {
	s.active = slices.DeleteFunc(s.active, func(b *attempt) bool { return a == b })
	s.g.finishAttempt(s.pr, a)
	if a.reply.answer != nil && !s.g.isReplaceable(s.pr, a, budget) {
		return a.reply.answer, "served"
	}
	s.anyMayHaveRun = s.anyMayHaveRun || a.reply.mayHaveRun
	if len(s.active) > 0 {
		a.end()
		return nil, ""
	}
	if ctx.Err() != nil {
		a.end()
		return s.g.answerExpired(ctx, s.pr)
	}
	if s.pr.request.isEnding() { // a further attempt would be cut
		return s.g.answerFailed(s.pr, a, s.anyMayHaveRun, decision{})
	}
	kind := freshAttempt
	if s.anyMayHaveRun {
		kind = retryAttempt
	}
	dec, ok := s.g.acquireRetry(ctx, s.pr, a, budget, kind)
	if !ok {
		return s.g.answerFailed(s.pr, a, s.anyMayHaveRun, dec)
	}
	a.end()
	s.start(ctx, dec)
	return nil, ""
}

// recordRunning records the attempts that are in progress when the request is answered.
func (s *attemptSet) recordRunning() {
	for _, a := range s.active {
		s.g.recordAttempt(s.pr, a, "running")
	}
}

// abandon cancels the attempts that are in progress.
func (s *attemptSet) abandon() {
	for _, a := range s.active {
		a.cancel()
	}
	s.g.collectAbandoned(s.results, len(s.active))
}

// collectAbandoned reports, in the background, the results of the attempts that are
// still running. A server that did not answer before the deadline is reported as
// timed out; one whose attempt was cancelled is not.
func (g *Gateway) collectAbandoned(results chan *attempt, running int) {
	if running == 0 {
		return
	}
	go func() {
		for ; running > 0; running-- {
			a := <-results
			g.releaseGrant(a)
			a.reply.answer.drop()
		}
	}()
}

// attemptKind is the kind of an attempt by those before it.
type attemptKind int

const (
	// freshAttempt is one before which the request has certainly not run.
	freshAttempt attemptKind = iota
	// retryAttempt follows an attempt that may have run.
	retryAttempt
	// hedgeAttempt runs beside another one.
	hedgeAttempt
)

// acquire selects a backend server for the next attempt of a request.
func (g *Gateway) acquire(ctx context.Context, pr *pendingRequest, kind attemptKind) decision {
	for range maxUnsentAttempts { // here a bound on decisions; nothing is sent
		held := g.holds.held()
		dec := g.selector.Acquire(ctx, g.acquireParams(pr, kind, held))
		if dec.Refused != "" {
			if len(held) > 0 {
				g.setHeldRetryAfter(pr, &dec)
			}
			return dec
		}
		// In this host's snapshot, which may differ from the dispatcher's, the server may
		// be missing, draining, evacuated, or of another service or region.
		snapshot := g.snapshot.Load()
		b := snapshot.Backends[dec.Server]
		if b != nil && !b.Draining && !snapshot.Evacuated[b.FailureDomain] && b.Service == pr.service && routetable.AllowsRegion(pr.regions, b.Region) {
			var allowed bool
			if allowed, dec.trial = g.holds.begin(b); allowed {
				return dec
			}
		}
		g.selector.Release(dec, dispatch.Report{Result: dispatch.Abandoned})
		pr.exclude = append(pr.exclude, dec.Server)
	}
	// The log entry names this host, whose snapshot did not allow the servers.
	return decision{Decision: dispatch.Decision{Refused: dispatch.NoServer, RetryAfter: retryAfterUnconfigured}, decidedBy: "self"}
}

// acquireParams returns what a pool needs to know about the next attempt of a request. held
// are the servers that this host sends no requests. A hedge is no trial: it would take the
// trial of its class although it is sent only if its answer is expected in time.
func (g *Gateway) acquireParams(pr *pendingRequest, kind attemptKind, held []string) AcquireParams {
	return AcquireParams{
		Service: pr.service, Class: pr.route.Name, Key: g.requestAffinity(pr),
		SecondAttempt: kind != freshAttempt,
		Host:          g.cfg.Self.Name, FailureDomain: g.cfg.Self.FailureDomain,
		Rank: pr.rank, Workspace: pr.workspaceName(), Bytes: max(pr.request.Length, int64(len(pr.request.Body))),
		ObjectiveMillis: toMillis(time.Until(pr.objective)), RemainingMillis: toMillis(g.timeLeft(pr)),
		NoTrial: kind == hedgeAttempt || g.endsBefore(pr.deadline), NoHedge: !mayHedge(pr),
		Exclude: slices.Concat(pr.exclude, held), Allowed: pr.regions,
	}
}

// setHeldRetryAfter sets the Retry-After of a refusal to when the first server may get
// requests again, if all servers that the request may be sent to asked for a pause.
func (g *Gateway) setHeldRetryAfter(pr *pendingRequest, dec *decision) {
	s := g.snapshot.Load()
	var usable []*fleet.Backend
	for _, b := range s.BackendsByService[pr.service] {
		if !b.Draining && !s.Evacuated[b.FailureDomain] && routetable.AllowsRegion(pr.regions, b.Region) && !slices.Contains(pr.exclude, b.ID) {
			usable = append(usable, b)
		}
	}
	if wait, all := g.holds.wait(usable); all && wait > 0 {
		dec.RetryAfter = wait
	}
}

// releaseUnused gives back the grant of a decision for which nothing is sent.
func (g *Gateway) releaseUnused(dec decision) {
	g.selector.Release(dec, dispatch.Report{Result: dispatch.Abandoned})
	if b := g.snapshot.Load().Backends[dec.Server]; b != nil && dec.trial {
		g.holds.endTrial(b)
	}
}

// requestAffinity returns a request's affinity key, or "" if its route uses none.
func (g *Gateway) requestAffinity(pr *pendingRequest) string {
	if !pr.route.Affinity {
		return ""
	}
	return pr.affinityKey
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// startAttempt sends the request to the server of the decision, and the attempt to
// results at its end.
func (g *Gateway) startAttempt(ctx context.Context, pr *pendingRequest, dec decision, results chan<- *attempt) *attempt {
	actx, cancel := context.WithCancel(ctx)
	snapshot := g.snapshot.Load()
	b := snapshot.Backends[dec.Server]
	a := &attempt{decision: dec, token: pr.token, backend: b, cancel: cancel, startTime: time.Now()}
	pr.exclude = append(pr.exclude, dec.Server)
	header := pr.request.HTTP.Header.Clone()
	stripHopByHop(header)
	g.setWorkspaceHeaders(pr, header)
	c := &upstreamCall{backend: b, request: pr.request, header: header, id: pr.id, deadline: pr.deadline, repeatable: pr.route.Kind.Repeatable(), maxIdleConns: idleConnLimit(snapshot, pr.service)}
	if g.needsToken(pr) {
		name := pr.workspace.Name
		c.ready = func() bool { return g.quotas.renew(name, &a.token) }
	}
	go func() {
		if b == nil {
			a.reply = reply{result: dispatch.Misdirected, err: errors.New("backend server is not in the current snapshot")}
		} else {
			a.reply = g.upstream.do(actx, c)
		}
		a.elapsed = time.Since(a.startTime)
		results <- a
	}()
	return a
}

// idleConnLimit returns the number of idle connections that this host may hold to a
// server of a service: all hosts together hold at most half of those that the server
// accepts, but each may hold one.
func idleConnLimit(s *fleet.Snapshot, service string) int {
	limit := maxIdleConnsPerServer
	if s.Table != nil {
		if maxConnections := s.Table.Services[service].MaxConnections; maxConnections > 0 {
			limit = min(limit, maxConnections/(2*max(len(s.Hosts), 1)))
		}
	}
	return max(limit, 1)
}

// recordAttempt adds an attempt to the log entry of its request.
func (g *Gateway) recordAttempt(pr *pendingRequest, a *attempt, result string) {
	failureDomain := ""
	if b := g.snapshot.Load().Backends[a.decision.Server]; b != nil {
		failureDomain = b.FailureDomain
	}
	pr.attemptRecords = append(pr.attemptRecords, attemptRecord{
		Server: a.decision.Server, FailureDomain: failureDomain, DecidedBy: a.decision.decidedBy, HoldsObject: a.decision.HoldsObject,
		Load: a.decision.Load, Busy: a.decision.Busy, Wait: toMillis(a.decision.Wait),
		Service: toMillis(a.decision.Service), Took: toMillis(time.Since(a.startTime)), Result: result,
	})
}

// finishAttempt counts, records and reports an attempt that has ended. One at a server
// missing from the snapshot counts as sent.
func (g *Gateway) finishAttempt(pr *pendingRequest, a *attempt) {
	if a.reply.mayHaveRun || a.reply.result == dispatch.Shed || a.reply.result == dispatch.Misdirected {
		pr.sentAttempts++
	} else {
		pr.unsentAttempts++
	}
	g.keepToken(pr, a)
	g.recordAttempt(pr, a, resultText(a.reply))
	region := ""
	if b := g.snapshot.Load().Backends[a.decision.Server]; b != nil {
		region = b.Region
	}
	g.cfg.Metrics.attempt(pr.service, region, resultNames[a.reply.result], a.elapsed)
	g.releaseGrant(a)
}

// releaseGrant releases the grant of an attempt, reports how the attempt ended, and
// records what its server said about itself.
func (g *Gateway) releaseGrant(a *attempt) {
	startedAt := int64(0)
	if b := a.backend; b != nil {
		startedAt = b.StartedAtMillis
		g.holds.observe(b, a.reply.signals)
		if a.decision.trial {
			g.holds.endTrial(b)
		}
		if a.reply.signals.leaving {
			g.upstream.closeIdle(serverOf(b))
		}
	}
	g.recordBound(a)
	elapsed := a.elapsed - a.reply.connectTime
	if a.reply.result == dispatch.Abandoned && !a.reply.mayHaveRun {
		elapsed = 0 // it was not sent
	}
	bytes := int64(0)
	if a.reply.answer != nil {
		bytes = int64(len(a.reply.answer.Body))
	}
	g.selector.Release(a.decision, dispatch.Report{
		Bytes: bytes, Result: a.reply.result, Elapsed: elapsed, Connect: a.reply.connectTime, Load: a.reply.load,
		Leaving: a.reply.signals.leaving, StartedAtMillis: startedAt,
	})
}

// recordBound logs and counts an answer that exceeded a bound.
func (g *Gateway) recordBound(a *attempt) {
	var exceeded *boundError
	if a.backend == nil || !errors.As(a.reply.err, &exceeded) {
		return
	}
	g.cfg.Metrics.exceeded(exceeded.bound)
	g.cfg.Log.WithFields(logrus.Fields{
		"server": a.backend.ID, "address": a.backend.Address, "service": a.backend.Service, "bound": exceeded.bound,
	}).Warn("answer of a backend server exceeds a bound; connection closed")
}

// isReplaceable reports whether another attempt may replace a server's answer. Answers
// with a status below 500 and that of the last possible attempt are passed on.
func (g *Gateway) isReplaceable(pr *pendingRequest, a *attempt, budget *retry.Budget) bool {
	if a.reply.answer.Status < 500 || !pr.route.Kind.Repeatable() || pr.request.Rest != nil || g.keyRevoked(pr) {
		return false
	}
	return pr.sentAttempts < pr.route.MaxAttempts && time.Until(pr.deadline) > a.decision.Service && g.hasBudget(budget)
}

func (g *Gateway) hasBudget(b *retry.Budget) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return b.CanTake()
}

// acquireRetry selects a server for another attempt after a failed one. It reports
// false if none is allowed or possible.
func (g *Gateway) acquireRetry(ctx context.Context, pr *pendingRequest, a *attempt, budget *retry.Budget, kind attemptKind) (decision, bool) {
	if pr.request.Rest != nil || a.reply.mayHaveRun && !pr.route.Kind.Repeatable() {
		return decision{}, false
	}
	if pr.sentAttempts >= pr.route.MaxAttempts || pr.unsentAttempts > maxUnsentAttempts || g.keyRevoked(pr) {
		return decision{}, false
	}
	if !pr.hasToken {
		if answer, _ := g.takeToken(ctx, pr); answer != nil {
			return decision{}, false
		}
	}
	if pr.sentAttempts > 0 && !g.takeBudget(pr.service, budget) {
		pr.budgetEmpty = true
		return decision{}, false
	}
	dec := g.acquire(ctx, pr, kind)
	if dec.Refused == "" && !g.renewToken(pr) {
		g.releaseUnused(dec)
		return dec, false
	}
	return dec, dec.Refused == ""
}

// answerRefused answers a request that was refused before the first attempt.
func (g *Gateway) answerRefused(ctx context.Context, pr *pendingRequest, dec decision) (*Answer, string) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return answerAbandoned(ctx)
	}
	pr.attemptRecords = append(pr.attemptRecords, attemptRecord{DecidedBy: dec.decidedBy, Load: dec.Load, Busy: dec.Busy, Wait: toMillis(dec.Wait), Service: toMillis(dec.Service), Result: string(dec.Refused)})
	if dec.Refused == dispatch.Late && g.endsBefore(pr.deadline) {
		return refusalByShutdown()
	}
	return refusal(dec.RetryAfter, string(dec.Refused)), string(dec.Refused)
}

// answerAbandoned answers a request whose caller gets no answer, because it has
// disconnected or an earlier answer has ended the connection.
func answerAbandoned(ctx context.Context) (*Answer, string) {
	if errors.Is(context.Cause(ctx), errConnEnded) {
		return &Answer{Abort: true}, "connection_ended"
	}
	return &Answer{Abort: true}, "caller_left"
}

// answerExpired answers a request whose deadline has passed with 504, and ends the
// connection if the caller gets no answer. The request may have run.
func (g *Gateway) answerExpired(ctx context.Context, pr *pendingRequest) (*Answer, string) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return answerAbandoned(ctx)
	}
	return failure(http.StatusGatewayTimeout, "no answer within the time of the request"), "timeout"
}

// answerEnded answers a request that runs when the host ends with 504, and returns its
// outcome. The request may have run.
func answerEnded() (*Answer, string) {
	return failure(http.StatusGatewayTimeout, "host has shut down before the answer arrived"), "host_ended"
}

// answerFailed answers a request after its last attempt failed: with the error
// answer of that attempt, if there is one; with 413, if the body is too large, or the end
// of the connection, if it broke off; with 502, if an attempt may have run it; with 401, if
// no workspace holds its key anymore; and otherwise with a refusal.
func (g *Gateway) answerFailed(pr *pendingRequest, a *attempt, mayHaveRun bool, dec decision) (*Answer, string) {
	if a.reply.answer != nil {
		return a.reply.answer, "served"
	}
	if pr.request.Rest != nil && errors.Is(pr.request.Rest.failure(), errBodyTooLarge) {
		return closeAfter(failure(http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())), "too_large"
	}
	if errors.Is(a.reply.err, errBody) {
		return &Answer{Abort: true}, "body_broken"
	}
	if mayHaveRun {
		return failure(http.StatusBadGateway, "backend server broke off"), "broken"
	}
	// A key that another workspace holds now is valid: the caller may repeat the request.
	if g.keyRevoked(pr) && g.workspaces().ByKey(pr.apiKey) == nil && !pr.route.Public {
		return g.unauthorized()
	}
	retryAfter := retryAfterShed
	if a.reply.result == dispatch.Shed && a.decision.Wait == 0 {
		retryAfter = retryAfterShedFreeSlot
	}
	return refusal(max(dec.RetryAfter, retryAfter), "no backend server took the request"), "shed"
}

const (
	// retryAfterShed is the least Retry-After when no attempt ran the request: the
	// servers refused it, were unreachable or had been replaced.
	retryAfterShed = 100 * time.Millisecond
	// retryAfterShedFreeSlot replaces it if the last server refused although no wait
	// was expected: waiting does not help, and another server may answer in time.
	retryAfterShedFreeSlot = 20 * time.Millisecond
)
