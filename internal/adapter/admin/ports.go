// Package admin is the HTTP layer of the administration API. It authenticates
// operators, checks roles and ownership, bounds requests and translates between
// JSON and the interfaces Configurations and State.
package admin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
)

// Errors that implementations of Configurations and State return or wrap. Others,
// except *ConflictError, are reported as internal errors, without their text.
var (
	// ErrNoConfig means that this host has no configuration yet.
	ErrNoConfig = errors.New("admin: no configuration yet")
	// ErrNotFound means that the revision or operation is unknown or no longer
	// retained.
	ErrNotFound = errors.New("admin: not found")
	// ErrUnavailable means that the store cannot be reached, or that a submission was
	// refused, for example because too many are in progress. Nothing was changed. A
	// submission that runs out of time gets ErrUncertain instead.
	ErrUnavailable = errors.New("admin: store unavailable")
	// ErrUncertain means that the store's answer was lost, so the change may have
	// taken effect. Repeating it with the same operation identity shows whether it
	// did.
	ErrUncertain = errors.New("admin: result uncertain")
	// ErrOperationReused means that the operation identity was used for another
	// submission.
	ErrOperationReused = errors.New("admin: operation identity was used for another submission")
)

// ConflictError means that another submission came first. Nothing was changed.
type ConflictError struct {
	// Revision is the number of the accepted revision that follows the base of the
	// refused submission. Later ones may be in force already.
	Revision int64
	// Who is the audit identity of its submitter.
	Who string
}

// Error names the revision that came first and its submitter.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s came first", e.Revision, e.Who)
}

// Revision is an accepted configuration with its number and audit record. Config
// is shared and must not be changed; it is nil if its text is no longer retained.
type Revision struct {
	Number   int64
	Checksum string
	Who      string
	When     time.Time
	Why      string
	Config   *config.Config
}

// Submission is a checked configuration for the store to accept.
type Submission struct {
	Config *config.Config
	// Base is the number of the revision that Config was made from, zero for an
	// empty configuration. Any other submission accepted after it is a conflict.
	Base int64
	// Operation identifies the submission. Repeating an accepted one returns the
	// same result and has no further effect.
	Operation string
	// Who is the audit identity: the names of the token and of the client
	// certificate, if any.
	Who string
	Why string
}

// Configurations reads and submits configurations.
type Configurations interface {
	// Read returns a revision by its number, 0 for the one in force. Errors:
	// ErrNoConfig, ErrNotFound, ErrUnavailable.
	Read(ctx context.Context, number int64) (Revision, error)
	// Submit returns after the store has accepted the configuration; hosts apply it
	// later. Errors: *ConflictError, ErrOperationReused, ErrUnavailable,
	// ErrUncertain. After any error except ErrUncertain this call has not changed
	// the configuration.
	Submit(ctx context.Context, s Submission) (Revision, error)
	// Operation returns the revision that an operation produced. Errors:
	// ErrNoConfig, ErrNotFound, ErrUnavailable.
	Operation(ctx context.Context, operation string) (Revision, error)
}

// State reads the state of the entry hosts and pools of all regions.
type State interface {
	// Fleet returns the entry hosts of all regions without those that do not answer.
	// A region is missing if the one of its hosts that is asked does not answer.
	Fleet(ctx context.Context) ([]FleetHost, error)
	// Caps returns the shift caps with the holders of their shares.
	Caps(ctx context.Context) ([]Cap, error)
	// Queues returns the ranks and queues of a region's pools, or those of all
	// regions if region is empty.
	Queues(ctx context.Context, region string) ([]Queue, error)
	// Drains returns the progress of the drains in force.
	Drains(ctx context.Context) ([]DrainProgress, error)
	// Dump returns the state dump of this host, a value that encodes to JSON.
	Dump(ctx context.Context) (any, error)
}

// FleetHost is an entry host with its roles.
type FleetHost struct {
	host.Info
	// Status is the membership state, for example "live".
	Status string `json:"status"`
	// Lessor is "primary", "standby" or empty.
	Lessor string `json:"lessor,omitempty"`
	// Pools are the pools that the host owns, "service/region".
	Pools []string `json:"pools"`
	// Revision is the configuration revision that the host has applied.
	Revision int64 `json:"revision"`
}

// Cap is a shift cap with its use.
type Cap struct {
	From           string `json:"from"`
	To             string `json:"to"`
	Concurrent     int    `json:"concurrent"`
	BytesPerSecond int64  `json:"bytes_per_second"`
	// Used is the sum of the holders' recent peaks of shifted requests in flight,
	// at most the number that is granted.
	Used    int     `json:"used"`
	Holders []Share `json:"holders"`
}

// Share is the share of a cap that a pool owner holds.
type Share struct {
	Host           host.ID `json:"host"`
	Pool           string  `json:"pool"`
	Concurrent     int     `json:"concurrent"`
	BytesPerSecond int64   `json:"bytes_per_second"`
	// ExpiresInMillis is the time until the share expires unless it is renewed, in
	// milliseconds.
	ExpiresInMillis int64 `json:"expires_in_ms"`
}

// Queue is one rank of one pool. Slots is the number of usable slots of the pool
// less reservations.
type Queue struct {
	Region   string `json:"region"`
	Service  string `json:"service"`
	Rank     string `json:"rank"`
	Slots    int    `json:"slots"`
	Queued   int    `json:"queued"`
	InFlight int    `json:"in_flight"`
	// WaitMillis is the expected wait of a request that arrives now, in milliseconds.
	WaitMillis float64 `json:"wait_ms"`
}

// DrainProgress is the progress of a drain in force.
type DrainProgress struct {
	Kind   config.DrainKind `json:"kind"`
	Target string           `json:"target"`
	Reason string           `json:"reason,omitempty"`
	// InFlight is the number of requests that run on the drain's backend servers.
	InFlight int  `json:"left"`
	Done     bool `json:"done"`
	// EstimatedMillis is the estimated time until the drain is done, in
	// milliseconds.
	EstimatedMillis int64 `json:"estimated_ms"`
}
