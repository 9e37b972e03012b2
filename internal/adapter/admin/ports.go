// Package admin is the HTTP layer of the administration API. It authenticates
// operators, checks roles and ownership, bounds requests and translates between
// JSON and the ports below.
package admin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
)

// Errors that implementations of the ports wrap. Other errors are reported as
// internal errors, without their text.
var (
	// ErrNoConfig: this host has no configuration yet.
	ErrNoConfig = errors.New("admin: no configuration yet")
	// ErrNotFound: the revision is not known, or no longer kept.
	ErrNotFound = errors.New("admin: not found")
	// ErrUnavailable: the store cannot be reached. Nothing was changed.
	ErrUnavailable = errors.New("admin: store unavailable")
	// ErrUncertain: the store's answer was lost. A repeat with the same
	// operation identity tells whether the change took effect.
	ErrUncertain = errors.New("admin: result uncertain")
	// ErrOperationReused: the operation identity was used for another text.
	ErrOperationReused = errors.New("admin: operation identity was used for another submission")
)

// ConflictError reports that another submission came first. Nothing was changed.
type ConflictError struct {
	// Revision is the revision in force.
	Revision int64
	// Who submitted it.
	Who string
}

// Error names the revision that came first.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s came first", e.Revision, e.Who)
}

// Revision is an accepted configuration. Config is shared and must not be
// changed.
type Revision struct {
	Number int64
	Digest string
	Who    string
	When   time.Time
	Why    string
	Config *config.Config
}

// Submission is a checked configuration to put in force.
type Submission struct {
	Config *config.Config
	// Base is the revision that Config was made from. The submission conflicts
	// with any other revision that came after it.
	Base int64
	// Operation identifies the submission. A repeat of an accepted one has
	// its result again and no further effect.
	Operation string
	// Who is the audit identity: the name of the token, and of the client
	// certificate if there is one.
	Who string
	Why string
}

// Configurations reads and submits configurations.
type Configurations interface {
	// Read returns a revision, the one in force for number zero. Errors:
	// ErrNoConfig, ErrNotFound, ErrUnavailable.
	Read(ctx context.Context, number int64) (Revision, error)
	// Submit puts a configuration in force. Errors: *ConflictError,
	// ErrOperationReused, ErrUnavailable, ErrUncertain.
	Submit(ctx context.Context, s Submission) (Revision, error)
	// Operation returns the revision that an operation produced, or ErrNotFound.
	Operation(ctx context.Context, operation string) (Revision, error)
}

// State shows what the fleet does.
type State interface {
	Fleet(ctx context.Context) ([]FleetHost, error)
	// Caps returns the shift caps with the holders of their shares.
	Caps(ctx context.Context) ([]Cap, error)
	// Queues returns the ranks and queues of a region's pools, of all regions
	// for an empty name.
	Queues(ctx context.Context, region string) ([]Queue, error)
	// Drains returns the progress of the drains in force.
	Drains(ctx context.Context) ([]DrainProgress, error)
	// Dump returns a value that encodes to JSON: all control state of this host.
	Dump(ctx context.Context) (any, error)
}

// FleetHost is an entry host as membership knows it.
type FleetHost struct {
	host.Info
	// Status is the membership state, for example "live".
	Status string `json:"status"`
	// Lessor is "primary", "standby" or empty.
	Lessor string `json:"lessor,omitempty"`
	// Pools are the pools that the host owns, "service/region".
	Pools []string `json:"pools"`
	// Revision is the configuration that the host has applied.
	Revision int64 `json:"revision"`
}

// Cap is a shift cap with its use.
type Cap struct {
	From           string `json:"from"`
	To             string `json:"to"`
	Concurrent     int    `json:"concurrent"`
	BytesPerSecond int64  `json:"bytes_per_second"`
	// Used is the number of shifted requests that hold a slot.
	Used    int     `json:"used"`
	Holders []Share `json:"holders"`
}

// Share is the part of a cap that a pool owner holds.
type Share struct {
	Host           host.ID `json:"host"`
	Pool           string  `json:"pool"`
	Concurrent     int     `json:"concurrent"`
	BytesPerSecond int64   `json:"bytes_per_second"`
	// ExpiresInMs is the time until the share ends without renewal.
	ExpiresInMs int64 `json:"expires_in_ms"`
}

// Queue is one rank of one pool.
type Queue struct {
	Region   string `json:"region"`
	Service  string `json:"service"`
	Rank     string `json:"rank"`
	Slots    int    `json:"slots"`
	Queued   int    `json:"queued"`
	InFlight int    `json:"in_flight"`
	// WaitMs is the expected wait of a request that arrives now.
	WaitMs float64 `json:"wait_ms"`
}

// DrainProgress is a drain in force.
type DrainProgress struct {
	Kind   config.DrainKind `json:"kind"`
	Target string           `json:"target"`
	Reason string           `json:"reason,omitempty"`
	// Left is the number of requests that still run on the target.
	Left int  `json:"left"`
	Done bool `json:"done"`
	// EstimatedMs is the time until the drain is done.
	EstimatedMs int64 `json:"estimated_ms"`
}
