// Package storewire defines the HTTP and JSON format of the service that package
// store defines, shared by its client, package storehttp, and its stand-in. The
// README.md of internal/adapter/storehttp lists the calls.
package storewire

import "github.com/galenabeam/galenabeam/internal/store"

// Paths, query parameters and headers.
const (
	PathKey      = "/v1/key"
	PathLease    = "/v1/lease"
	ParamKey     = "key"
	ParamExpect  = "expected"
	ParamAfter   = "after"
	ParamWait    = "wait_ms"
	ParamLease   = "lease"
	HeaderClient = "Store-Client"
)

// Limits of a message.
const (
	// MaxBodyBytes is the maximum size of a body, in which a value is encoded as
	// base64 and grows by a third. 64 KiB remain for the other fields.
	MaxBodyBytes = store.MaxValueBytes*4/3 + 64<<10
	// MaxWaitMs is the longest wait of a watch in milliseconds. It replaces a greater
	// value of ParamWait.
	MaxWaitMs = 60_000
)

// Code identifies the error of an error answer. Its values are stable.
type Code string

// Codes of error answers.
const (
	CodeNotFound      Code = "not-found"
	CodeConflict      Code = "conflict"
	CodeTooLarge      Code = "too-large"
	CodeLeaseNotFound Code = "lease-not-found"
	CodeUnavailable   Code = "unavailable"
	CodeBadRequest    Code = "bad-request"
)

// Errors maps codes to the errors of package store.
var Errors = map[Code]error{
	CodeNotFound:      store.ErrNotFound,
	CodeConflict:      store.ErrConflict,
	CodeTooLarge:      store.ErrTooLarge,
	CodeLeaseNotFound: store.ErrLeaseNotFound,
	CodeUnavailable:   store.ErrUnavailable,
}

// Entry is the body of the answer to a read or a watch.
type Entry struct {
	Key      string         `json:"key"`
	Value    []byte         `json:"value"`
	Revision store.Revision `json:"revision"`
}

// SwapRequest is the body of a compare-and-swap request.
type SwapRequest struct {
	Expected store.Revision `json:"expected"`
	Value    []byte         `json:"value"`
	Lease    store.LeaseID  `json:"lease,omitempty"`
}

// SwapAnswer is the body of the answer to a compare-and-swap.
type SwapAnswer struct {
	Revision store.Revision `json:"revision"`
}

// LeaseRequest is the body of a request for a new lease.
type LeaseRequest struct {
	TTLMs int64 `json:"ttl_ms"`
}

// LeaseAnswer is the body of the answer to a LeaseRequest.
type LeaseAnswer struct {
	Lease store.LeaseID `json:"lease"`
}

// Failure is the body of every error answer.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}
