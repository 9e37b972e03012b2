// Package peer defines the JSON-RPC messages between entry hosts and the port
// through which a process calls another one.
package peer

import (
	"context"
	"errors"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

// Methods of the protocol.
const (
	MethodAcquire = "pool.acquire"
	MethodCancel  = "pool.cancel"
	MethodRelease = "pool.release"
	MethodReport  = "pool.report"
	MethodWitness = "pool.witness"
	MethodResolve = "request.resolve"
)

// ErrUnreachable means that the peer did not answer. The call may have had
// its effect.
var ErrUnreachable = errors.New("peer: unreachable")

// Caller calls a method of the process at an RPC address ("IP:port"). It
// returns an error that wraps ErrUnreachable when no answer came, or the
// peer's own error.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
	// Notify sends a call that has no answer. Delivery is not guaranteed.
	Notify(ctx context.Context, address, method string, params any) error
}

// GrantKey names an acquire call: the calling process and its own sequence
// number.
type GrantKey struct {
	Edge     host.Incarnation `json:"edge"`
	Sequence uint64           `json:"sequence"`
}

// Acquire asks the owner of a pool for a slot.
type Acquire struct {
	Key     GrantKey `json:"key"`
	Service string   `json:"service"`
	Rank    string   `json:"rank"`
	// Customer is the name of a configured customer or empty.
	Customer string `json:"customer,omitempty"`
	// Origin is the region of the caller.
	Origin string `json:"origin"`
	// RemainingMillis is the time until the request's deadline, in milliseconds.
	RemainingMillis int64 `json:"left_ms"`
	// Bytes is the size of the request's body.
	Bytes int64 `json:"bytes"`
	// RequestID is the identity of the request, for traces.
	RequestID string `json:"request_id"`
}

// AcquireReply is the decision on an Acquire.
type AcquireReply struct {
	Granted bool `json:"granted"`
	// Server and Address name the backend server of a grant.
	Server  string `json:"server,omitempty"`
	Address string `json:"address,omitempty"`
	// Grant is the owner's number of the grant, for the release.
	Grant uint64 `json:"grant,omitempty"`
	// Refusal is the outcome when Granted is false.
	Refusal Refusal `json:"refusal,omitzero"`
}

// Refusal is a not-run outcome on the wire.
type Refusal struct {
	Reason           outcome.Reason `json:"reason"`
	RetryAfterMillis int64          `json:"retry_after_ms"`
}

// Cancel withdraws an Acquire, whether it waits or has been granted.
type Cancel struct {
	Service string   `json:"service"`
	Key     GrantKey `json:"key"`
}

// ReleaseStatus tells how the use of a slot ended.
type ReleaseStatus string

// Ends of the use of a slot.
const (
	ReleaseOK       ReleaseStatus = "ok"
	ReleaseShed     ReleaseStatus = "shed"
	ReleaseFailed   ReleaseStatus = "failed"
	ReleaseCanceled ReleaseStatus = "canceled"
)

// Release gives a slot back.
type Release struct {
	Service string        `json:"service"`
	Key     GrantKey      `json:"key"`
	Grant   uint64        `json:"grant"`
	Status  ReleaseStatus `json:"status"`
	// ServiceMicros is the time the backend server took, in microseconds.
	ServiceMicros int64 `json:"service_us"`
	// Draining tells that the backend server announced that it is leaving.
	Draining bool `json:"draining,omitempty"`
}

// Report asks an edge for the slots of a pool that it holds.
type Report struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Owner and Takeover name the new owner and its count of pools taken over.
	Owner    host.Incarnation `json:"owner"`
	Takeover uint64           `json:"takeover"`
}

// HeldSlot is one slot in use by an edge.
type HeldSlot struct {
	Key             GrantKey `json:"key"`
	Server          string   `json:"server"`
	Rank            string   `json:"rank"`
	Origin          string   `json:"origin"`
	RemainingMillis int64    `json:"left_ms"`
}

// Ceiling bounds the slots of a server that a process uses.
type Ceiling struct {
	Server string `json:"server"`
	Slots  int    `json:"slots"`
}

// Witness is the use that an owner makes of its own pool, recorded by another
// host of the region.
type Witness struct {
	Service string           `json:"service"`
	Holder  host.Incarnation `json:"holder"`
	// Sequence orders the records of a holder.
	Sequence uint64    `json:"seq"`
	Ceilings []Ceiling `json:"ceilings"`
}

// ReportReply lists the slots that an edge holds, and what the process knows
// about slots that others hold.
type ReportReply struct {
	Incarnation host.Incarnation `json:"incarnation"`
	Held        []HeldSlot       `json:"held"`
	Witnessed   []Witness        `json:"witnessed,omitempty"`
	// Granted lists the slots that the process granted while it owned the pool
	// and that were not released to it.
	Granted []HeldSlot `json:"granted,omitempty"`
}

// Resolve asks the process that a request identity is bound to for its outcome.
type Resolve struct {
	RequestID string `json:"request_id"`
}

// ResolveReply is what the process knows of the identity.
type ResolveReply struct {
	// Found is false when the identity was never seen or is forgotten.
	Found   bool           `json:"found"`
	Running bool           `json:"running"`
	Kind    outcome.Kind   `json:"kind,omitempty"`
	Reason  outcome.Reason `json:"reason,omitempty"`
	// Status, Header and Body are the stored answer, if it is still held.
	Status int                 `json:"status,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}
