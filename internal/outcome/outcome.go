// Package outcome defines the typed result of a request.
package outcome

import "time"

// Kind is what is known about the execution of a request.
type Kind string

// Kinds of outcomes.
const (
	// Done means that a backend server ran the request and answered, with any
	// status. The body of a streamed answer may still be truncated.
	Done Kind = "done"
	// NotRun means that no backend server ran the request. For a rank that is not
	// idempotent, whose identities are recorded, none will run it later under the
	// same request identity.
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
	ReasonQueueFull     Reason = "queue-full"     // the queue holds all work that can be served in time
	ReasonNoOwner       Reason = "no-owner"       // the pool's owner is unknown, does not answer or may not grant at present
	ReasonNoServer      Reason = "no-server"      // all backend servers of the pool are draining, removed or without slots
	ReasonNoConfig      Reason = "no-config"      // the entry host has no configuration yet
	ReasonShiftCap      Reason = "shift-cap"      // a cap on shifts of traffic between regions is used up
	ReasonBusy          Reason = "busy"           // no entry host is available, or the local pool is overloaded
	ReasonLeaving       Reason = "leaving"        // the entry host is shutting down
	ReasonBadRequest    Reason = "bad-request"    // malformed request, or a body that is incomplete or too slow
	ReasonTooLarge      Reason = "too-large"      // the body exceeds the limit of the service or of the entry host; if part of it was sent, the reason is broken
	ReasonNoService     Reason = "no-service"     // the service is not configured
	ReasonNoRank        Reason = "no-rank"        // the rank is not configured
	ReasonForeignID     Reason = "foreign-id"     // the identity is bound to another incarnation; callers get host-lost or repeat instead
	ReasonExpiredID     Reason = "expired-id"     // the identity's window has passed or has not begun
	ReasonRepeat        Reason = "repeat"         // the identity was used before, or was recorded as not run
	ReasonLedgerFull    Reason = "ledger-full"    // no room to record the identity
	ReasonShed          Reason = "shed"           // the backend server refused before starting
	ReasonConnect       Reason = "connect"        // no connection to the backend server; in package client, none to the entry host
	ReasonBroken        Reason = "broken"         // the request was sent, at least in part, and no valid answer header came
	ReasonTimeout       Reason = "timeout"        // the deadline passed after the request was sent, at least in part
	ReasonCanceled      Reason = "canceled"       // the caller disconnected or canceled the request
	ReasonHostLost      Reason = "host-lost"      // the process that the identity is bound to has ended, accepts no requests or is unreachable
	ReasonIncomplete    Reason = "incomplete"     // the answer was truncated, only the end of the connection marked its end, or the client's limit is exceeded
	ReasonWrongRequest  Reason = "wrong-request"  // the answer belongs to another request
	ReasonInternalError Reason = "internal-error" // a fault of the entry host, before the request was sent or in finding the outcome of a repeat
)

// Outcome is the result of one request.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is the delay after which the caller may retry a refused request
	// under a new identity. If it is zero, none is known; whether a retry may help
	// depends on the reason.
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
