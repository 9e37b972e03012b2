package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// ErrLeaseEnded is returned by a Registrar if the lease no longer exists.
var ErrLeaseEnded = errors.New("lease has ended")

// Timing of a host's registration.
const (
	// maxRegistrationTTL bounds how long a registration outlives its host.
	maxRegistrationTTL = 5 * time.Second
	// minRegistrationTTL leaves time for a few renewals.
	minRegistrationTTL = 1500 * time.Millisecond
	// recoveryMargin is subtracted from the time within which ended hosts must be
	// gone after an outage of the store: a lease that the store paused during the
	// outage runs on for its whole TTL.
	recoveryMargin = 500 * time.Millisecond
	// renewFraction is the renewal interval as a fraction of the TTL. A lease
	// outlives one failed renewal and, from a TTL of 2.5 s on, one that hangs for
	// registrationCallTimeout.
	renewFraction = 0.4
	// registrationRetryDelay is the delay before the first retry of a failed
	// registration or renewal. It doubles with each further failure.
	registrationRetryDelay = 500 * time.Millisecond
	// maxRegistrationRetryDelay bounds the delay: a host is registered again within
	// 2 s of the store's return, plus up to registrationCallTimeout if a call hung.
	maxRegistrationRetryDelay = 1500 * time.Millisecond
	// registrationCallTimeout bounds the store calls of one step.
	registrationCallTimeout = time.Second
)

// Lease identifies a lease. A store that was restored from an older copy may have lost the
// leases of its earlier eras and may give their IDs to others; see Position.
type Lease struct {
	ID  int64 // 0 if there is none
	Era uint64
}

// Registrar writes leased items to the platform's store. Its methods return ErrLeaseEnded
// if the store no longer has the lease, or has a later era than the lease.
type Registrar interface {
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease restarts the TTL of a lease.
	RenewLease(ctx context.Context, lease Lease) error
	// RevokeLease ends a lease and removes its items.
	RevokeLease(ctx context.Context, lease Lease) error
	// Put writes an item that is removed when the lease ends.
	Put(ctx context.Context, key string, value []byte, lease Lease) error
}

// RegistrationTTL returns a lease TTL short enough for registrations of ended hosts to
// expire within recovery after an outage of the store, at least 1.5 s, so a recovery
// below 2 s cannot be met. For 0 it returns the longest TTL, 5 s.
func RegistrationTTL(recovery time.Duration) time.Duration {
	if recovery == 0 {
		return maxRegistrationTTL
	}
	return min(max(recovery-recoveryMargin, minRegistrationTTL), maxRegistrationTTL)
}

// Registration keeps a leased item, such as a host's entry, in the store.
type Registration struct {
	store Registrar
	key   string
	value []byte
	ttl   time.Duration
	log   logrus.FieldLogger
	// Listed reports whether this host's copy of the store has the item. Set it
	// before Run.
	Listed       func() bool
	lease        Lease
	registeredAt time.Time
	retryDelay   time.Duration // before the next attempt, 0 after a success
	checkNow     chan struct{}
}

// NewRegistration returns a registration; Run writes the item.
func NewRegistration(store Registrar, key string, value []byte, ttl time.Duration, log logrus.FieldLogger) *Registration {
	return &Registration{store: store, key: key, value: value, ttl: ttl, log: log, checkNow: make(chan struct{}, 1)}
}

// Check makes Run renew the lease now, and write the item again if the lease has ended. It
// does not block.
func (r *Registration) Check() {
	select {
	case r.checkNow <- struct{}{}:
	default: // a check is pending
	}
}

func (r *Registration) renewInterval() time.Duration {
	return time.Duration(renewFraction * float64(r.ttl))
}

// Run writes the item and renews its lease until ctx is done, and then revokes the
// lease. It always returns nil.
func (r *Registration) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := r.step(ctx)
		select {
		case <-ctx.Done():
		case <-r.checkNow:
		case <-time.After(pause):
		}
	}
	if r.lease.ID == 0 {
		return nil
	}
	revokeCtx, cancel := context.WithTimeout(context.Background(), registrationCallTimeout)
	defer cancel()
	if err := r.store.RevokeLease(revokeCtx, r.lease); err != nil {
		r.log.WithError(err).Warn("failed to remove the registration; it expires with its lease")
	}
	return nil
}

// backOff returns the delay before the next attempt. It logs only the first of a
// series of failures.
func (r *Registration) backOff(message string, err error) time.Duration {
	if r.retryDelay == 0 {
		r.log.WithError(err).Warn(message)
	}
	r.retryDelay = min(max(2*r.retryDelay, registrationRetryDelay), maxRegistrationRetryDelay)
	return r.retryDelay
}

// step renews the lease, or registers if there is none, and returns the time until
// the next step.
func (r *Registration) step(ctx context.Context) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, registrationCallTimeout)
	defer cancel()
	if r.lease.ID != 0 {
		err := r.store.RenewLease(callCtx, r.lease)
		switch {
		case ctx.Err() != nil:
			return 0
		case errors.Is(err, ErrLeaseEnded):
			r.log.Warn("registration lease has ended; registering again")
			r.lease = Lease{}
		case err != nil:
			return r.backOff("failed to renew the registration", err)
		case time.Since(r.registeredAt) > r.ttl && !r.Listed():
			// The lease is valid, but the store may have removed the item.
			r.lease = Lease{}
		default:
			r.retryDelay = 0
			return r.renewInterval()
		}
	}
	lease, err := r.store.GrantLease(callCtx, r.ttl)
	if err == nil {
		err = r.store.Put(callCtx, r.key, r.value, lease)
	}
	if err != nil {
		return r.backOff("failed to register the host", err)
	}
	r.lease, r.registeredAt, r.retryDelay = lease, time.Now(), 0
	r.log.WithFields(logrus.Fields{"lease": lease.ID, "era": lease.Era}).Info("host registered")
	return r.renewInterval()
}
