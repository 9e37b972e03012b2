// Package store defines the interface to an external key-value service that
// galenabeamd uses without -platform. The service offers compare-and-swap, leases
// and watches, answers in milliseconds, stores values of up to MaxValueBytes and
// counts every call, a waiting watch as one. It is not the store of package platform.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the maximum size of a value that the service accepts.
const MaxValueBytes = 1 << 20

// Errors of a store. Implementations may wrap them; compare with errors.Is.
var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key's revision is not the expected one. The write
	// had no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the service refused the call or did not get it, or
	// that a read got no answer. A write had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUncertain means that the answer was lost. A write may or may not have
	// taken effect.
	ErrUncertain = errors.New("store: result uncertain")
	// ErrTooLarge means that the value exceeds MaxValueBytes. The write had no
	// effect.
	ErrTooLarge = errors.New("store: value too large")
	// ErrLeaseNotFound means that the lease has expired, was revoked or never
	// existed.
	ErrLeaseNotFound = errors.New("store: lease not found")
)

// Revision is the store revision, the number of a write to the service. Each
// successful write gets a higher one than all writes before it. Zero stands for an
// absent key.
type Revision int64

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Entry is a value with the revision of the write that stored it.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Store is a client of the key-value service. Implementations are safe for
// concurrent use. Every method returns when ctx ends.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's current revision is expected, where
	// zero expects an absent key, and returns the new revision. An entry with a
	// lease is removed when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes key if its current revision is expected. Otherwise it returns
	// ErrNotFound or ErrConflict.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits until the key has a revision greater than after and returns its
	// entry. With after above zero it returns ErrNotFound once the key is absent.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
	// GrantLease creates a lease that ends when it is not renewed for ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease to its ttl from now, or returns ErrLeaseNotFound.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and removes its entries, or returns
	// ErrLeaseNotFound.
	RevokeLease(ctx context.Context, id LeaseID) error
}
