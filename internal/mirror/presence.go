package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// ErrLeaseEnded tells that a lease has ended.
var ErrLeaseEnded = errors.New("lease has ended")

// Times of a host's registration.
const (
	// maxPresenceTTL bounds how long the registration outlives its host, and
	// minPresenceTTL is what a few renewals need.
	maxPresenceTTL, minPresenceTTL = 5 * time.Second, 1500 * time.Millisecond
	// contactMargin is kept below the time after an outage of the store within
	// which ended hosts must be gone: leases may have paused meanwhile.
	contactMargin = 500 * time.Millisecond
	// presenceRenewPart is the time between two renewals as a part of the TTL: a
	// lease outlives a renewal that fails.
	presenceRenewPart = 0.4
	// presenceRetry is the time before a failed registration is tried again. It
	// doubles up to maxPresenceRetry, so that a host is back within two seconds of
	// the store's return.
	presenceRetry, maxPresenceRetry = 500 * time.Millisecond, 1500 * time.Millisecond
	// presenceTimeout bounds a call.
	presenceTimeout = time.Second
)

// Registrar writes leased items to the platform's store.
type Registrar interface {
	// Grant starts a lease and returns its number.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew extends a lease. It returns ErrLeaseEnded if there is none.
	Renew(ctx context.Context, lease int64) error
	// End ends a lease and removes its items.
	End(ctx context.Context, lease int64) error
	// Put writes an item that lives as long as the lease.
	Put(ctx context.Context, key string, value []byte, lease int64) error
}

// PresenceTTL returns the time that a registration may outlive its host so that
// ended hosts are gone within contact after an outage of the store; 0 is no bound.
func PresenceTTL(contact time.Duration) time.Duration {
	if contact == 0 {
		return maxPresenceTTL
	}
	return min(max(contact-contactMargin, minPresenceTTL), maxPresenceTTL)
}

// Presence keeps a host registered in the store.
type Presence struct {
	store Registrar
	key   string
	value []byte
	ttl   time.Duration
	log   logrus.FieldLogger
	// Listed tells whether the item is present in the copy of the store.
	Listed func() bool
	lease  int64
	since  time.Time
	retry  time.Duration // before the next try, 0 after a success
}

// NewPresence returns the registration of an item that is not written yet.
func NewPresence(store Registrar, key string, value []byte, ttl time.Duration, log logrus.FieldLogger) *Presence {
	return &Presence{store: store, key: key, value: value, ttl: ttl, log: log}
}

// renewal is the time between two renewals.
func (p *Presence) renewal() time.Duration { return time.Duration(presenceRenewPart * float64(p.ttl)) }

// Run registers and renews until ctx is done, and then removes the item.
func (p *Presence) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := p.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	if p.lease == 0 {
		return nil
	}
	ectx, cancel := context.WithTimeout(context.Background(), presenceTimeout)
	defer cancel()
	if err := p.store.End(ectx, p.lease); err != nil {
		p.log.WithError(err).Warn("registration not removed; it ends with its lease")
	}
	return nil
}

// backOff returns the time until the next try and logs the first failure.
func (p *Presence) backOff(message string, err error) time.Duration {
	if p.retry == 0 {
		p.log.WithError(err).Warn(message)
	}
	p.retry = min(max(2*p.retry, presenceRetry), maxPresenceRetry)
	return p.retry
}

func (p *Presence) step(ctx context.Context) time.Duration {
	cctx, cancel := context.WithTimeout(ctx, presenceTimeout)
	defer cancel()
	if p.lease != 0 {
		err := p.store.Renew(cctx, p.lease)
		switch {
		case ctx.Err() != nil:
			return 0
		case errors.Is(err, ErrLeaseEnded):
			p.log.Warn("registration lapsed; registering again")
			p.lease = 0
		case err != nil:
			return p.backOff("registration not renewed", err)
		case time.Since(p.since) > p.ttl && !p.Listed():
			// The store took the item away although its lease lives.
			p.lease = 0
		default:
			p.retry = 0
			return p.renewal()
		}
	}
	lease, err := p.store.Grant(cctx, p.ttl)
	if err == nil {
		err = p.store.Put(cctx, p.key, p.value, lease)
	}
	if err != nil {
		return p.backOff("host not registered", err)
	}
	p.lease, p.since, p.retry = lease, time.Now(), 0
	p.log.WithField("lease", lease).Info("host registered")
	return p.renewal()
}
