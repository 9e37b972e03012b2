// Package outcome defines the typed result of a request.
package outcome

import "time"

// Kind is what is known about the execution of a request.
type Kind string

// Kinds of outcomes.
const (
	// Done means that a backend server ran the request and the answer is complete.
	Done Kind = "done"
	// NotRun means that no backend server ran the request and, unless its rank is
	// idempotent, that none will run it under the same identity. Entry hosts do not
	// record identities of idempotent ranks.
	NotRun Kind = "not-run"
	// Unknown means that the request may have run.
	Unknown Kind = "unknown"
)

// Reason is a stable identifier of why a request ended as it did. Each one has a
// row in docs/OPERATIONS.md.
type Reason string

// Reasons of outcomes.
const (
	ReasonOK            Reason = "ok"
	ReasonLate          Reason = "late"           // the deadline cannot be met
	ReasonQueueFull     Reason = "queue-full"     // the queue already holds all work that can be served in time
	ReasonNoOwner       Reason = "no-owner"       // the pool's owner is unknown, does not answer or may not grant at present
	ReasonNoServer      Reason = "no-server"      // the pool has no usable backend server
	ReasonNoConfig      Reason = "no-config"      // the entry host has no configuration yet
	ReasonShiftCap      Reason = "shift-cap"      // a cap on shifts of traffic between regions is used up
	ReasonBusy          Reason = "busy"           // no entry host is available in the chosen region or for a lookup; in package route, advice that the local pool is overloaded
	ReasonLeaving       Reason = "leaving"        // the entry host is shutting down
	ReasonBadRequest    Reason = "bad-request"    // malformed request
	ReasonTooLarge      Reason = "too-large"      // the body exceeds the limit of the service or of the entry host
	ReasonNoService     Reason = "no-service"     // the service is not configured
	ReasonNoRank        Reason = "no-rank"        // the rank is not configured
	ReasonForeignID     Reason = "foreign-id"     // the identity is bound to another incarnation
	ReasonExpiredID     Reason = "expired-id"     // the identity's window has passed
	ReasonRepeat        Reason = "repeat"         // the identity was used before
	ReasonLedgerFull    Reason = "ledger-full"    // no room to record the identity
	ReasonShed          Reason = "shed"           // the backend server refused before starting
	ReasonConnect       Reason = "connect"        // no connection to the backend server, or from the client to the entry host
	ReasonBroken        Reason = "broken"         // the connection broke after the request was sent
	ReasonTimeout       Reason = "timeout"        // the deadline passed while the request was running
	ReasonCanceled      Reason = "canceled"       // the caller disconnected or canceled the request
	ReasonHostLost      Reason = "host-lost"      // the entry host bound to the identity has ended or is unreachable
	ReasonIncomplete    Reason = "incomplete"     // the answer was truncated
	ReasonWrongRequest  Reason = "wrong-request"  // the answer belongs to another request
	ReasonInternalError Reason = "internal-error" // an entry host error, before the request was sent or in the search for the outcome of a repeat
)

// Outcome is the result of one request.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is the delay after which the client may retry a refused request
	// under a new identity. Zero means that no delay is known; the reason then says
	// whether a retry may help.
	RetryAfter time.Duration
}

// Refuse returns a NotRun outcome; see Outcome.RetryAfter for a retryAfter of
// zero.
func Refuse(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// Uncertain returns an Unknown outcome.
func Uncertain(reason Reason) Outcome {
	return Outcome{Kind: Unknown, Reason: reason}
}

// Success returns a Done outcome.
func Success() Outcome { return Outcome{Kind: Done, Reason: ReasonOK} }
