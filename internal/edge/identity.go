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

// resolveTimeout bounds the call to the process that an identity is bound to.
const resolveTimeout = time.Second

// admit records the identity of a non-idempotent request and reports whether the
// request may run. If not, admit has answered the caller.
func (e *Edge) admit(ctx context.Context, s *view.Snapshot, w http.ResponseWriter, r *request) bool {
	e.mu.Lock()
	v := e.ledger.Begin(e.now(), r.id, false)
	stored, isStored := e.storedAnswers[r.id]
	e.mu.Unlock()
	r.ledgerChecked = true
	switch v.Kind {
	case ledger.Run:
		return true
	case ledger.Full:
		e.respond(w, r, outcome.Refuse(outcome.ReasonLedgerFull, time.Second))
	case ledger.Expired:
		r.detail = "the identity is too old to tell whether it ran"
		e.respond(w, r, outcome.Uncertain(outcome.ReasonExpiredID))
	case ledger.Repeat:
		e.count("repeats")
		if isStored {
			e.replay(w, r, stored.status, stored.header, stored.body)
			return false
		}
		e.respond(w, r, repeatOutcome(v.Record))
	case ledger.Foreign:
		e.resolveForeign(ctx, s, w, r)
	}
	return false
}

// repeatOutcome returns the outcome for a repeated identity whose answer is not
// stored.
func repeatOutcome(rec ledger.Record) outcome.Outcome {
	if rec.State == ledger.Ended && rec.Outcome.Kind == outcome.NotRun {
		return rec.Outcome
	}
	return outcome.Uncertain(outcome.ReasonRepeat)
}

// replay sends the caller the stored answer of a request that has run.
func (e *Edge) replay(w http.ResponseWriter, r *request, status int, header http.Header, body []byte) {
	r.outcomeRecorded = true
	e.deliver(w, r, &answer{status: status, header: header.Clone(), buffered: body, length: int64(len(body))})
}

// recordOutcome records the outcome of a non-idempotent request in the ledger and
// stores a small answer for repeats. It returns the outcome to report to the
// caller.
func (e *Edge) recordOutcome(r *request, o outcome.Outcome, a *answer) outcome.Outcome {
	if r.rank.Idempotent || r.outcomeRecorded {
		return o
	}
	r.outcomeRecorded = true
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	o = e.ledger.Finish(now, r.id, o)
	if a != nil && len(a.buffered) <= maxStoredAnswerBytes && r.id.Incarnation == e.cfg.Self.Incarnation {
		e.storedAnswers[r.id] = storedAnswer{status: a.status, header: a.header, body: a.buffered, expiresAt: now + 3*e.cfg.IdentityWindow}
	}
	return o
}

// resolveForeign asks the process that the identity is bound to for the outcome,
// which is unknown if that process has ended, accepts no requests or does not
// answer.
func (e *Edge) resolveForeign(ctx context.Context, s *view.Snapshot, w http.ResponseWriter, r *request) {
	h, ok := hostByIncarnation(s, r.id.Incarnation)
	if !ok {
		e.respond(w, r, outcome.Uncertain(outcome.ReasonHostLost))
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
		e.respond(w, r, outcome.Uncertain(reason))
	case reply.Kind == outcome.Done && reply.Status != 0:
		e.replay(w, r, reply.Status, reply.Header, reply.Body)
	case reply.Kind == outcome.NotRun:
		e.respond(w, r, outcome.Refuse(reply.Reason, 0))
	default:
		e.respond(w, r, outcome.Uncertain(outcome.ReasonRepeat))
	}
}

// hostByIncarnation returns the entry host with an incarnation, if it accepts
// requests.
func hostByIncarnation(s *view.Snapshot, i host.Incarnation) (host.Info, bool) {
	for _, rv := range s.Regions {
		for _, h := range rv.Hosts {
			if h.Incarnation == i {
				return h, true
			}
		}
	}
	return host.Info{}, false
}

// Resolve answers another entry host that received an identity bound to this
// process. An identity that never arrived is recorded as not run, so that it
// never runs.
func (e *Edge) Resolve(q peer.Resolve) peer.ResolveReply {
	id, err := ledger.ParseID(q.RequestID)
	if err != nil {
		return peer.ResolveReply{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := e.ledger.Resolve(e.now(), id)
	reply := peer.ResolveReply{Found: true, Running: rec.State == ledger.Running, Kind: rec.Outcome.Kind, Reason: rec.Outcome.Reason}
	if a, ok := e.storedAnswers[id]; ok {
		reply.Status, reply.Header, reply.Body = a.status, a.header, a.body
	}
	return reply
}

// newIDFor returns a new identity bound to another entry host, under which that
// host serves a forwarded request.
func (e *Edge) newIDFor(h host.Info) (ledger.ID, error) {
	return ledger.NewID(h.Incarnation, h.Incarnation.Window(time.Now(), e.cfg.IdentityWindow), rand.Reader)
}

// markSent records that the request is about to be sent and reports whether it
// may be sent.
func (e *Edge) markSent(r *request) bool {
	if r.rank.Idempotent {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Sent(r.id)
}

// recordAttempt records an attempt that provably did not run, so that the ledger
// allows another one. It ignores other outcomes.
func (e *Edge) recordAttempt(r *request, o outcome.Outcome) {
	if r.rank.Idempotent || o.Kind != outcome.NotRun {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Refused(r.id)
}

// sealRefusal checks a refusal that was decided before the identity was
// recorded. It records the identity as not run, so that a delayed copy of the
// request never runs, and returns unknown if an earlier copy may have run.
func (e *Edge) sealRefusal(r *request, o outcome.Outcome) outcome.Outcome {
	if o.Kind != outcome.NotRun || r.ledgerChecked || r.idText == "" || (r.rank != nil && r.rank.Idempotent) {
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
