package edge

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// localRetryDelay is the delay between attempts while a pool has no owner. It is
// also the retry-after for a grant of an earlier owner and for a replaced process
// at another host's address, which this host does not try again.
const localRetryDelay = 100 * time.Millisecond

// serveRun serves one request for a backend server.
func (e *Edge) serveRun(w http.ResponseWriter, in *http.Request) {
	if e.beginRequest() {
		w.Header().Set("Connection", "close")
	}
	defer e.endRequest()
	s := e.views.Load()
	r, refusal := e.parse(s, in)
	if refusal == nil {
		refusal = e.checkRefusing()
	}
	if refusal == nil {
		refusal = e.readBody(w, in, r)
	}
	if refusal != nil {
		e.respond(w, r, *refusal)
		return
	}
	if !r.rank.Idempotent && !e.admit(in.Context(), s, w, r) {
		return
	}
	o, answer := e.execute(in.Context(), s, r)
	if answer == nil {
		e.respond(w, r, e.recordOutcome(r, o, nil))
		return
	}
	e.deliver(w, r, answer)
}

// execute makes attempts until one returns an answer or waitToRetry allows no
// further one. After no-server, one in another region needs no waitToRetry. If an
// earlier attempt may have run, a later refusal becomes unknown.
func (e *Edge) execute(ctx context.Context, s *view.Snapshot, r *request) (outcome.Outcome, *answer) {
	e.countRequest(r)
	mayHaveRun, usedFallback := false, false
	for attempt := 1; ; attempt++ {
		routeRequest := RouteRequest{Service: r.service.Name, Rank: r.rank.Name, Origin: r.origin, Remaining: r.remaining(), Forwarded: r.forwarded}
		region, refusal := e.router.Route(s, routeRequest)
		if refusal != nil {
			return mergeUncertainty(*refusal, mayHaveRun), nil
		}
		if other, ok := e.fallbackRegion(s, r); ok && !usedFallback && region == e.cfg.Self.Region {
			region, usedFallback = other, true
		}
		t := e.attemptHedged(ctx, s, r, region, attempt)
		r.lastReason = t.outcome.Reason
		r.servedIn, r.servedBy = region, t.server
		e.router.Result(routeRequest, region, t.outcome)
		if t.answer == nil && !usedFallback && t.outcome.Reason == outcome.ReasonNoServer {
			if _, ok := e.fallbackRegion(s, r); ok {
				continue
			}
		}
		if t.answer != nil || !e.waitToRetry(ctx, r, t.outcome, attempt) {
			return mergeUncertainty(t.outcome, mayHaveRun), t.answer
		}
		mayHaveRun = mayHaveRun || t.outcome.Kind == outcome.Unknown
	}
}

// fallbackRegion returns a random other region that has entry hosts, if the last
// attempt found no usable server, or found no owner and a quarter of the target has
// passed since the arrival: more waiting would put the target at risk. It does not
// use the shares of package route; the other region's shift caps apply.
func (e *Edge) fallbackRegion(s *view.Snapshot, r *request) (string, bool) {
	waited := r.lastReason == outcome.ReasonNoOwner && time.Since(r.arrived) >= r.rank.Target/4
	if r.forwarded || !r.replayable() || !(waited || r.lastReason == outcome.ReasonNoServer) {
		return "", false
	}
	var regions []string
	for name, v := range s.Regions {
		if name != e.cfg.Self.Region && len(v.Hosts) > 0 {
			regions = append(regions, name)
		}
	}
	if len(regions) == 0 {
		return "", false
	}
	return regions[rand.IntN(len(regions))], true
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome outcome.Outcome
	// answer is nil unless outcome.Kind is Done.
	answer *answer
	// server names the backend server, or the entry host of another region.
	server string
}

// attemptOnce makes one attempt in a region.
func (e *Edge) attemptOnce(ctx context.Context, s *view.Snapshot, r *request, region string) attemptResult {
	if region == e.cfg.Self.Region {
		return e.runLocal(ctx, r)
	}
	return e.forward(ctx, s, r, region)
}

// mergeUncertainty turns a not-run outcome into unknown if an earlier attempt may
// have run.
func mergeUncertainty(o outcome.Outcome, mayHaveRun bool) outcome.Outcome {
	if mayHaveRun && o.Kind == outcome.NotRun {
		return outcome.Uncertain(o.Reason)
	}
	return o
}

// runLocal acquires a slot in this region and sends the request to its server.
func (e *Edge) runLocal(ctx context.Context, r *request) attemptResult {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	key := e.nextKey()
	reportGeneration := e.reportGeneration(r.service.Name)
	reply := e.slots.Acquire(ctx, peer.Acquire{Key: key, Service: r.service.Name, Rank: r.rank.Name, Customer: r.customer,
		Origin: r.origin, RemainingMillis: r.remaining().Milliseconds(), Bytes: max(0, r.contentLength), RequestID: r.idText})
	if !reply.Granted {
		cancel()
		return attemptResult{outcome: outcome.Refuse(reply.Refusal.Reason, time.Duration(reply.Refusal.RetryAfterMillis)*time.Millisecond)}
	}
	slot := heldSlot{service: r.service.Name, region: e.cfg.Self.Region, server: reply.Server, rank: r.rank.Name, origin: r.origin, deadline: r.deadline}
	if !e.addHeldSlot(key, slot, reportGeneration) {
		cancel()
		e.count("grants.outdated")
		// The grant may come from the new owner, which counts the slot as in use
		// until it is released.
		e.slots.Release(peer.Release{Service: r.service.Name, Key: key, Grant: reply.Grant, Status: peer.ReleaseCanceled})
		return attemptResult{outcome: outcome.Refuse(outcome.ReasonNoOwner, localRetryDelay)}
	}
	if !r.rank.Idempotent {
		// Continue if the caller disconnects, so that a repeat can be answered with
		// the outcome.
		cancel()
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	}
	started := time.Now()
	got := e.send(ctx, r, reply.Server, reply.Address)
	release := func(status peer.ReleaseStatus) {
		cancel()
		elapsed := time.Since(started)
		free := func() {
			e.removeHeldSlot(key)
			e.slots.Release(peer.Release{Service: r.service.Name, Key: key, Grant: reply.Grant, Status: status,
				ServiceMicros: elapsed.Microseconds(), Draining: got.Draining})
		}
		if got.Ended == nil {
			free()
			return
		}
		// The server still holds the slot until it notices that nobody waits for the
		// answer; a grant in between would exceed its slots.
		go func() {
			<-got.Ended
			free()
		}()
	}
	if got.Response == nil {
		release(statusWithoutAnswer(r, got))
		return attemptResult{outcome: got.Outcome, server: reply.Server}
	}
	a, err := readAnswer(got.Response, release)
	if err != nil {
		return attemptResult{outcome: outcome.Uncertain(outcome.ReasonIncomplete), server: reply.Server}
	}
	return attemptResult{outcome: outcome.Success(), answer: a, server: reply.Server}
}

// send sends the request to a backend server once.
func (e *Edge) send(ctx context.Context, r *request, server, address string) backend.Answer {
	if r.remaining() <= 0 {
		return backend.Answer{Outcome: outcome.Refuse(outcome.ReasonLate, 0)}
	}
	if !e.markSent(r) {
		return backend.Answer{Outcome: outcome.Uncertain(outcome.ReasonRepeat)}
	}
	got := e.backends.Do(ctx, backend.Request{Address: address, Method: r.method, Path: r.path, Header: r.header.Clone(), Body: r.body(),
		ContentLength: r.contentLength, RequestID: r.idText, Remaining: r.remaining(), MaxConns: e.views.Load().MaxConns(server), Idempotent: r.rank.Idempotent})
	e.recordAttempt(r, got.Outcome)
	return got
}

// body returns a reader for the complete body, or nil if there is none. A
// streamed body can be read only once.
func (r *request) body() io.Reader {
	if r.stream != nil {
		return r.stream
	}
	if len(r.buffered) == 0 {
		return nil
	}
	return bytes.NewReader(r.buffered)
}

// statusWithoutAnswer returns the release status for an attempt that got no
// answer.
func statusWithoutAnswer(r *request, a backend.Answer) peer.ReleaseStatus {
	switch {
	case a.Shed:
		return peer.ReleaseShed
	case r.stream != nil && r.stream.callerStalled.Load():
		return peer.ReleaseCanceled
	case a.Outcome.Reason == outcome.ReasonCanceled || a.Outcome.Reason == outcome.ReasonLate:
		return peer.ReleaseCanceled
	default:
		return peer.ReleaseFailed
	}
}

// forward sends the request to an entry host of another region, under a new
// identity bound to that host's incarnation.
func (e *Edge) forward(ctx context.Context, s *view.Snapshot, r *request, region string) attemptResult {
	hosts := s.Regions[region].Hosts
	if len(hosts) == 0 {
		return attemptResult{outcome: outcome.Refuse(outcome.ReasonBusy, 0)}
	}
	h := hosts[rand.IntN(len(hosts))]
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	if !r.rank.Idempotent {
		cancel()
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	}
	id, err := e.newIDFor(h)
	if err != nil || !e.markSent(r) {
		cancel()
		return attemptResult{outcome: outcome.Uncertain(outcome.ReasonInternalError), server: string(h.ID)}
	}
	header := r.header.Clone()
	header.Set(httpapi.HeaderOrigin, r.origin)
	header.Set(httpapi.HeaderAttempt, "1")
	if r.trace {
		header.Set(headerTrace, "1")
	}
	got := e.backends.Do(ctx, backend.Request{Address: h.HTTPAddress, Method: r.method, Path: httpapi.PathRun + r.service.Name + r.path, Header: header,
		Body: r.body(), ContentLength: r.contentLength, RequestID: id.String(), Remaining: r.remaining(), Idempotent: r.rank.Idempotent})
	o, a := e.readForwarded(got)
	e.recordAttempt(r, o)
	if a == nil {
		cancel()
		return attemptResult{outcome: o, server: string(h.ID)}
	}
	if a.rest == nil {
		cancel()
	} else {
		a.release = func(peer.ReleaseStatus) { cancel() }
	}
	return attemptResult{outcome: o, answer: a, server: string(h.ID)}
}

// readForwarded returns the outcome and the answer of a forwarded request.
// Host-lost means that another process now has the address of the host that the
// identity is bound to. The identity was sent nowhere else, so that the request did
// not run.
func (e *Edge) readForwarded(got backend.Answer) (outcome.Outcome, *answer) {
	if got.Response == nil {
		return got.Outcome, nil
	}
	o, ok := httpapi.ReadOutcome(got.Response.Header)
	if !ok || o.Kind != outcome.Done {
		_ = got.Response.Body.Close()
		if !ok {
			o = outcome.Uncertain(outcome.ReasonBroken)
		}
		if o.Kind == outcome.Unknown && o.Reason == outcome.ReasonHostLost {
			o = outcome.Refuse(outcome.ReasonHostLost, localRetryDelay)
		}
		return o, nil
	}
	a, err := readAnswer(got.Response, func(peer.ReleaseStatus) {})
	if err != nil {
		return outcome.Uncertain(outcome.ReasonIncomplete), nil
	}
	return outcome.Success(), a
}
