// Package peer defines the JSON-RPC messages between entry hosts and the
// interface through which a process calls another one.
package peer

import (
	"context"
	"errors"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

// Methods of pools and requests.
const (
	MethodAcquire     = "pool.acquire"
	MethodCancel      = "pool.cancel"
	MethodRelease     = "pool.release"
	MethodReport      = "pool.report"
	MethodRecordUsage = "pool.witness"
	MethodResolve     = "request.resolve"
)

// ErrUnreachable means that the peer did not answer. It may still have executed
// the call.
var ErrUnreachable = errors.New("peer: unreachable")

// Client calls methods of the process at an RPC address ("IP:port").
type Client interface {
	// Call stores the answer in result. It returns an error that wraps
	// ErrUnreachable if there was no answer, or the peer's own error.
	Call(ctx context.Context, address, method string, params, result any) error
	// Notify sends a call that has no answer. Delivery is not guaranteed.
	Notify(ctx context.Context, address, method string, params any) error
}

// GrantKey identifies an Acquire, and the slot that it gets, by the calling process
// and that process's sequence number.
type GrantKey struct {
	Edge     host.Incarnation `json:"edge"`
	Sequence uint64           `json:"sequence"`
}

// Acquire asks the owner of a pool for a slot.
type Acquire struct {
	Key     GrantKey `json:"key"`
	Service string   `json:"service"`
	Rank    string   `json:"rank"`
	// Customer is the name that the caller gave, or empty. Names that are not
	// configured count as one customer.
	Customer string `json:"customer,omitempty"`
	// Origin is the region of the caller.
	Origin string `json:"origin"`
	// RemainingMillis is the time until the request's deadline, in milliseconds.
	RemainingMillis int64 `json:"left_ms"`
	// Bytes is the size of the request's body, or 0 if it is unknown.
	Bytes int64 `json:"bytes"`
	// RequestID identifies the request in traces.
	RequestID string `json:"request_id"`
}

// AcquireReply is the decision on an Acquire.
type AcquireReply struct {
	Granted bool `json:"granted"`
	// Server and Address are the name and the address of the granted backend
	// server.
	Server  string `json:"server,omitempty"`
	Address string `json:"address,omitempty"`
	// Grant is the owner's number of the grant; Release repeats it.
	Grant uint64 `json:"grant,omitempty"`
	// Refusal is the reason if Granted is false.
	Refusal Refusal `json:"refusal,omitzero"`
}

// Refusal is a not-run outcome in a message. RetryAfterMillis is the delay before a
// later attempt, in milliseconds, or 0 if there is none.
type Refusal struct {
	Reason           outcome.Reason `json:"reason"`
	RetryAfterMillis int64          `json:"retry_after_ms"`
}

// Cancel withdraws an Acquire that is queued or granted.
type Cancel struct {
	Service string   `json:"service"`
	Key     GrantKey `json:"key"`
}

// ReleaseStatus is the way in which the use of a slot ended.
type ReleaseStatus string

// Release statuses.
const (
	ReleaseOK       ReleaseStatus = "ok"
	ReleaseShed     ReleaseStatus = "shed"
	ReleaseFailed   ReleaseStatus = "failed"
	ReleaseCanceled ReleaseStatus = "canceled"
)

// Release returns a slot to the owner of the pool.
type Release struct {
	Service string        `json:"service"`
	Key     GrantKey      `json:"key"`
	Grant   uint64        `json:"grant"`
	Status  ReleaseStatus `json:"status"`
	// ServiceMicros is the time the backend server took, in microseconds.
	ServiceMicros int64 `json:"service_us"`
	// Draining reports whether the backend server announced that it is draining.
	Draining bool `json:"draining,omitempty"`
}

// ReportQuery asks an entry host for the slots of a pool that it holds. The new
// owner of the pool sends it during a takeover; the answer is a ReportReply.
type ReportQuery struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Owner is the new owner, Takeover its number of pools taken over so far;
	// together they identify the takeover.
	Owner    host.Incarnation `json:"owner"`
	Takeover uint64           `json:"takeover"`
}

// HeldSlot is one slot that an edge holds. RemainingMillis is the time until the
// request's deadline, in milliseconds, or 0 if it has passed.
type HeldSlot struct {
	Key             GrantKey `json:"key"`
	Server          string   `json:"server"`
	Rank            string   `json:"rank"`
	Origin          string   `json:"origin"`
	RemainingMillis int64    `json:"left_ms"`
}

// Ceiling is the maximum number of a server's slots that a process uses at once.
type Ceiling struct {
	Server string `json:"server"`
	Slots  int    `json:"slots"`
}

// UsageRecord is stored by the owner of a pool on other hosts of the region before
// it uses slots that it grants to itself. After a crash of the owner, the next
// owner gets the ceilings from those hosts.
type UsageRecord struct {
	Service string           `json:"service"`
	Holder  host.Incarnation `json:"holder"`
	// Sequence orders the records of a holder; a higher one replaces a lower one.
	Sequence uint64    `json:"seq"`
	Ceilings []Ceiling `json:"ceilings"`
}

// ReportReply contains the slots that an entry host holds, and what it knows about
// slots of other hosts.
type ReportReply struct {
	Incarnation  host.Incarnation `json:"incarnation"`
	Held         []HeldSlot       `json:"held"`
	UsageRecords []UsageRecord    `json:"witnessed,omitempty"`
	// Granted are the slots that the host granted while it owned the pool and
	// that were not released to it.
	Granted []HeldSlot `json:"granted,omitempty"`
}

// Resolve asks the process that a request identity is bound to for the outcome of
// the request.
type Resolve struct {
	RequestID string `json:"request_id"`
}

// ResolveReply is the state of the request, as the process knows it.
type ResolveReply struct {
	// Found is false if the identity is malformed; all other fields are then
	// empty. An identity that was never seen and could still arrive is found as
	// not run, an expired one or one of another process as unknown.
	Found bool `json:"found"`
	// Running reports whether the request still runs; Kind and Reason are then
	// empty.
	Running bool           `json:"running"`
	Kind    outcome.Kind   `json:"kind,omitempty"`
	Reason  outcome.Reason `json:"reason,omitempty"`
	// Status, Header and Body are the stored answer, if it is still available.
	Status int                 `json:"status,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}
