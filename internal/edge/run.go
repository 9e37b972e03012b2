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

// ownerChangeRetry is when a request may be tried again after the owner of its
// pool changed.
const ownerChangeRetry = 100 * time.Millisecond

// serveRun serves one request from arrival to its outcome.
func (e *Edge) serveRun(w http.ResponseWriter, in *http.Request) {
	if e.enter() {
		w.Header().Set("Connection", "close")
	}
	defer e.exit()
	s := e.views.Load()
	r, refusal := e.parse(s, in)
	if refusal == nil {
		refusal = e.checkLeaving()
	}
	if refusal == nil {
		refusal = e.readBody(w, in, r)
	}
	if refusal != nil {
		e.finish(w, r, *refusal)
		return
	}
	if !r.rank.Idempotent && !e.begin(in.Context(), s, w, r) {
		return
	}
	o, answer := e.execute(in.Context(), s, r)
	if answer == nil {
		e.finish(w, r, e.settle(r, o, nil))
		return
	}
	e.deliver(w, r, answer)
}

// execute tries to get a whole answer until one arrives, the outcome forbids
// another attempt, or the time or the retry budget is used up. A refusal of a
// later attempt does not undo an earlier one that may have run.
func (e *Edge) execute(ctx context.Context, s *view.Snapshot, r *request) (outcome.Outcome, *answer) {
	e.countRequest(r)
	uncertain, spilled := false, false
	for attempt := 1; ; attempt++ {
		question := RouteRequest{Service: r.service.Name, Rank: r.rank.Name, Origin: r.origin, Left: r.left(), Forwarded: r.forwarded}
		region, refusal := e.router.Route(s, question)
		if refusal != nil {
			return sure(*refusal, uncertain), nil
		}
		if other, ok := e.spillRegion(s, r); ok && !spilled && region == e.cfg.Self.Region {
			region, spilled = other, true
		}
		t := e.tryHedged(ctx, s, r, region, attempt)
		r.unserved = t.outcome.Reason
		r.servedIn, r.servedBy = region, t.server
		e.router.Result(question, region, t.outcome)
		if t.answer == nil && !spilled && t.outcome.Reason == outcome.ReasonNoServer {
			if _, ok := e.spillRegion(s, r); ok {
				continue
			}
		}
		if t.answer != nil || !e.mayRetry(ctx, r, t.outcome, attempt) {
			return sure(t.outcome, uncertain), t.answer
		}
		uncertain = uncertain || t.outcome.Kind == outcome.Unknown
	}
}

// spillRegion returns another region for a request whose local pool has no
// usable server, or no owner for so long that waiting longer would put the
// request's target at risk. The other region's caps on shifts apply.
func (e *Edge) spillRegion(s *view.Snapshot, r *request) (string, bool) {
	waited := r.unserved == outcome.ReasonNoOwner && time.Since(r.arrived) >= r.rank.Target/4
	if r.forwarded || !r.replayable() || !(waited || r.unserved == outcome.ReasonNoServer) {
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

// try is the end of one attempt.
type try struct {
	outcome outcome.Outcome
	// answer is nil unless the outcome is done.
	answer *answer
	// server names the backend server, or the entry host of another region.
	server string
}

// tryOnce makes one attempt in a region.
func (e *Edge) tryOnce(ctx context.Context, s *view.Snapshot, r *request, region string) try {
	if region == e.cfg.Self.Region {
		return e.runHere(ctx, r)
	}
	return e.forward(ctx, s, r, region)
}

// sure turns not-run into unknown when an earlier attempt may have run.
func sure(o outcome.Outcome, uncertain bool) outcome.Outcome {
	if uncertain && o.Kind == outcome.NotRun {
		return outcome.Uncertain(o.Reason)
	}
	return o
}

// runHere gets a slot in this region and sends the request to its server.
func (e *Edge) runHere(ctx context.Context, r *request) try {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	key := e.nextKey()
	generation := e.generation(r.service.Name)
	reply := e.slots.Acquire(ctx, peer.Acquire{Key: key, Service: r.service.Name, Rank: r.rank.Name, Customer: r.customer,
		Origin: r.origin, RemainingMillis: r.left().Milliseconds(), Bytes: max(0, r.contentLength), RequestID: r.idText})
	if !reply.Granted {
		cancel()
		return try{outcome: outcome.Refuse(reply.Refusal.Reason, time.Duration(reply.Refusal.RetryAfterMillis)*time.Millisecond)}
	}
	held := heldSlot{service: r.service.Name, region: e.cfg.Self.Region, server: reply.Server, rank: r.rank.Name, origin: r.origin, deadline: r.deadline}
	if !e.hold(key, held, generation) {
		cancel()
		e.count("grants.outdated")
		// The grant may be the new owner's, which then counts it as in use.
		e.slots.Release(peer.Release{Service: r.service.Name, Key: key, Grant: reply.Grant, Status: peer.ReleaseCanceled})
		return try{outcome: outcome.Refuse(outcome.ReasonNoOwner, ownerChangeRetry)}
	}
	if !r.rank.Idempotent {
		// The work is finished even when the caller goes away, so that a
		// repeated call can be told its outcome.
		cancel()
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	}
	begun := time.Now()
	got := e.send(ctx, r, reply.Server, reply.Address)
	release := func(status peer.ReleaseStatus) {
		cancel()
		e.drop(key)
		e.slots.Release(peer.Release{Service: r.service.Name, Key: key, Grant: reply.Grant, Status: status,
			ServiceMicros: time.Since(begun).Microseconds(), Draining: got.Draining})
	}
	if got.Response == nil {
		release(releaseStatus(r, got))
		return try{outcome: got.Outcome, server: reply.Server}
	}
	a, err := readAnswer(got.Response, release)
	if err != nil {
		return try{outcome: outcome.Uncertain(outcome.ReasonIncomplete), server: reply.Server}
	}
	return try{outcome: outcome.Success(), answer: a, server: reply.Server}
}

// send makes one attempt at a backend server.
func (e *Edge) send(ctx context.Context, r *request, server, address string) backend.Answer {
	if r.left() <= 0 {
		return backend.Answer{Outcome: outcome.Refuse(outcome.ReasonLate, 0)}
	}
	if !e.sending(r) {
		return backend.Answer{Outcome: outcome.Uncertain(outcome.ReasonRepeat)}
	}
	got := e.backends.Do(ctx, backend.Request{Address: address, Method: r.method, Path: r.path, Header: r.header.Clone(), Body: r.body(),
		ContentLength: r.contentLength, RequestID: r.idText, Left: r.left(), MaxConns: e.views.Load().MaxConns(server), Idempotent: r.rank.Idempotent})
	e.sent(r, got.Outcome)
	return got
}

// body returns a reader of the whole body, or nil when there is none.
func (r *request) body() io.Reader {
	if r.stream != nil {
		return r.stream
	}
	if len(r.buffered) == 0 {
		return nil
	}
	return bytes.NewReader(r.buffered)
}

// releaseStatus tells the scheduler about an attempt without an answer.
func releaseStatus(r *request, a backend.Answer) peer.ReleaseStatus {
	switch {
	case a.Shed:
		return peer.ReleaseShed
	case r.stream != nil && r.stream.stuck.Load():
		return peer.ReleaseCanceled
	case a.Outcome.Reason == outcome.ReasonCanceled || a.Outcome.Reason == outcome.ReasonLate:
		return peer.ReleaseCanceled
	default:
		return peer.ReleaseFailed
	}
}

// forward sends the request to an entry host of another region, which serves
// it under an identity bound to its own incarnation.
func (e *Edge) forward(ctx context.Context, s *view.Snapshot, r *request, region string) try {
	hosts := s.Regions[region].Hosts
	if len(hosts) == 0 {
		return try{outcome: outcome.Refuse(outcome.ReasonBusy, 0)}
	}
	h := hosts[rand.IntN(len(hosts))]
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	if !r.rank.Idempotent {
		cancel()
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	}
	id, err := e.derive(h)
	if err != nil || !e.sending(r) {
		cancel()
		return try{outcome: outcome.Uncertain(outcome.ReasonInternalError), server: string(h.ID)}
	}
	header := r.header.Clone()
	header.Set(httpapi.HeaderOrigin, r.origin)
	header.Set(httpapi.HeaderAttempt, "1")
	if r.trace {
		header.Set(headerTrace, "1")
	}
	got := e.backends.Do(ctx, backend.Request{Address: h.HTTPAddress, Method: r.method, Path: httpapi.PathRun + r.service.Name + r.path, Header: header,
		Body: r.body(), ContentLength: r.contentLength, RequestID: id.String(), Left: r.left(), Idempotent: r.rank.Idempotent})
	o, a := e.forwarded(got)
	e.sent(r, o)
	if a == nil {
		cancel()
		return try{outcome: o, server: string(h.ID)}
	}
	if a.rest == nil {
		cancel()
	} else {
		a.release = func(peer.ReleaseStatus) { cancel() }
	}
	return try{outcome: o, answer: a, server: string(h.ID)}
}

// forwarded reads the outcome and the answer of a forwarded request. When the
// process that got it cannot run its identity, because another one ran at its
// address before, then nobody did: the identity was sent to no other process.
func (e *Edge) forwarded(got backend.Answer) (outcome.Outcome, *answer) {
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
			o = outcome.Refuse(outcome.ReasonHostLost, ownerChangeRetry)
		}
		return o, nil
	}
	a, err := readAnswer(got.Response, func(peer.ReleaseStatus) {})
	if err != nil {
		return outcome.Uncertain(outcome.ReasonIncomplete), nil
	}
	return outcome.Success(), a
}
