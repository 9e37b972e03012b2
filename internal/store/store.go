// Package store is the port to the platform's key-value service. The service
// offers compare-and-swap, leases and watches, answers in milliseconds, holds
// values of up to MaxValueBytes and counts every call, a waiting watch as one.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Errors of a store. Adapters wrap them; compare with errors.Is.
var (
	// ErrNotFound: the key has no value.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict: the key's revision is not the expected one. The write had no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable: the call did not reach the service. A write had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUncertain: the answer was lost. A write may or may not have taken effect.
	ErrUncertain = errors.New("store: result uncertain")
	// ErrTooLarge: the value exceeds MaxValueBytes. The write had no effect.
	ErrTooLarge = errors.New("store: value too large")
	// ErrLeaseNotFound: the lease has expired or never existed.
	ErrLeaseNotFound = errors.New("store: lease not found")
)

// Revision numbers the writes of the service. Each successful write gets a
// higher revision than all writes before it. Zero stands for an absent key.
type Revision int64

// LeaseID names a lease. Zero means no lease.
type LeaseID int64

// Entry is a value with the revision of the write that stored it.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Store is the platform's key-value service. Implementations are safe for
// concurrent use. Every method returns when ctx ends.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's present revision is expected,
	// where zero expects an absent key, and returns the new revision. With a
	// lease the entry disappears when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes key if its present revision is expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits until the key has a revision greater than after and returns
	// its entry. It returns ErrNotFound when the key is deleted while waiting.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
	// GrantLease creates a lease that ends after ttl without renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its ttl, or returns ErrLeaseNotFound.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and removes its entries.
	RevokeLease(ctx context.Context, id LeaseID) error
}
