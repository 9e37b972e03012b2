package edge

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/ledger"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// resolveTimeout bounds the question to the process an identity is bound to.
const resolveTimeout = time.Second

// begin records the identity of a non-idempotent request. It returns true when
// the request may run; otherwise the caller has been answered.
func (e *Edge) begin(ctx context.Context, s *view.Snapshot, w http.ResponseWriter, r *request) bool {
	e.mu.Lock()
	v := e.ledger.Begin(e.now(), r.id, false)
	kept, haveKept := e.answers[r.id]
	e.mu.Unlock()
	r.begun = true
	switch v.Kind {
	case ledger.Run:
		return true
	case ledger.Full:
		e.finish(w, r, outcome.Refuse(outcome.ReasonLedgerFull, time.Second))
	case ledger.Expired:
		r.detail = "the identity is too old to tell whether it ran"
		e.finish(w, r, outcome.Uncertain(outcome.ReasonExpiredID))
	case ledger.Repeat:
		e.count("repeats")
		if haveKept {
			e.replay(w, r, kept.status, kept.header, kept.body)
			return false
		}
		e.finish(w, r, repeated(v.Record))
	case ledger.Foreign:
		e.resolveElsewhere(ctx, s, w, r)
	}
	return false
}

// repeated is the outcome of a request whose identity was used before and
// whose answer is not kept.
func repeated(rec ledger.Record) outcome.Outcome {
	if rec.State == ledger.Ended && rec.Outcome.Kind == outcome.NotRun {
		return rec.Outcome
	}
	return outcome.Uncertain(outcome.ReasonRepeat)
}

// replay returns the kept answer of a request that has run before.
func (e *Edge) replay(w http.ResponseWriter, r *request, status int, header http.Header, body []byte) {
	r.settled = true
	e.deliver(w, r, &answer{status: status, header: header.Clone(), buffered: body, length: int64(len(body))})
}

// settle records the outcome of a non-idempotent request and keeps a small
// answer for repeated calls. It returns the outcome that may be told.
func (e *Edge) settle(r *request, o outcome.Outcome, a *answer) outcome.Outcome {
	if r.rank.Idempotent || r.settled {
		return o
	}
	r.settled = true
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	o = e.ledger.Finish(now, r.id, o)
	if a != nil && len(a.buffered) <= keepBytes && r.id.Incarnation == e.cfg.Self.Incarnation {
		e.answers[r.id] = storedAnswer{status: a.status, header: a.header, body: a.buffered, until: now + 3*e.cfg.IdentityWindow}
	}
	return o
}

// resolveElsewhere asks the process that the identity is bound to. When that
// process has ended or does not answer, nobody can tell whether it ran.
func (e *Edge) resolveElsewhere(ctx context.Context, s *view.Snapshot, w http.ResponseWriter, r *request) {
	h, ok := findIncarnation(s, r.id.Incarnation)
	if !ok {
		e.finish(w, r, outcome.Uncertain(outcome.ReasonHostLost))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	var reply peer.ResolveReply
	err := e.peers.Call(ctx, h.RPCAddress, peer.MethodResolve, peer.Resolve{RequestID: r.idText}, &reply)
	switch {
	case err != nil:
		reason := outcome.ReasonInternalError
		if errors.Is(err, peer.ErrUnreachable) {
			reason = outcome.ReasonHostLost
		}
		e.finish(w, r, outcome.Uncertain(reason))
	case reply.Kind == outcome.Done && reply.Status != 0:
		e.replay(w, r, reply.Status, reply.Header, reply.Body)
	case reply.Kind == outcome.NotRun:
		e.finish(w, r, outcome.Refuse(reply.Reason, 0))
	default:
		e.finish(w, r, outcome.Uncertain(outcome.ReasonRepeat))
	}
}

// findIncarnation returns the live entry host with an incarnation.
func findIncarnation(s *view.Snapshot, i host.Incarnation) (host.Info, bool) {
	for _, rv := range s.Regions {
		for _, h := range rv.Hosts {
			if h.Incarnation == i {
				return h, true
			}
		}
	}
	return host.Info{}, false
}

// Resolve answers another entry host that was given an identity bound to this
// process. An identity that never arrived is sealed, so that it never runs.
func (e *Edge) Resolve(q peer.Resolve) peer.ResolveReply {
	id, err := ledger.ParseID(q.RequestID)
	if err != nil {
		return peer.ResolveReply{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := e.ledger.Resolve(e.now(), id)
	reply := peer.ResolveReply{Found: true, Running: rec.State == ledger.Running, Kind: rec.Outcome.Kind, Reason: rec.Outcome.Reason}
	if a, ok := e.answers[id]; ok {
		reply.Status, reply.Header, reply.Body = a.status, a.header, a.body
	}
	return reply
}

// derive returns the identity under which another entry host serves the request.
func (e *Edge) derive(h host.Info) (ledger.ID, error) {
	return ledger.NewID(h.Incarnation, h.Incarnation.Window(time.Now(), e.cfg.IdentityWindow), rand.Reader)
}

// sending notes that bytes of the request are about to go out. It returns
// false when they must not.
func (e *Edge) sending(r *request) bool {
	if r.rank.Idempotent {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Sent(r.id)
}

// sent notes how an attempt ended. An attempt that provably did not start may
// be followed by another one.
func (e *Edge) sent(r *request, o outcome.Outcome) {
	if r.rank.Idempotent || o.Kind != outcome.NotRun {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Refused(r.id)
}

// vouch checks a refusal that was decided before the identity was recorded. It
// seals the identity, so that a delayed copy of the request never runs, and
// turns the refusal into unknown where an earlier copy may have run.
func (e *Edge) vouch(r *request, o outcome.Outcome) outcome.Outcome {
	if o.Kind != outcome.NotRun || r.begun || r.idText == "" || (r.rank != nil && r.rank.Idempotent) {
		return o
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := e.ledger.Resolve(e.now(), r.id)
	if rec.State == ledger.Ended && rec.Outcome.Kind == outcome.NotRun {
		return o
	}
	return outcome.Uncertain(outcome.ReasonRepeat)
}
