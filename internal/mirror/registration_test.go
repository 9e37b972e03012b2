package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// scriptedRegistrar counts calls and returns the errors that the test sets.
type scriptedRegistrar struct {
	renewErr, grantErr    error
	leases, puts, revokes int
	ttl                   time.Duration
}

func (r *scriptedRegistrar) GrantLease(_ context.Context, ttl time.Duration) (Lease, error) {
	r.leases++
	r.ttl = ttl
	return Lease{ID: int64(r.leases)}, r.grantErr
}
func (r *scriptedRegistrar) RenewLease(context.Context, Lease) error  { return r.renewErr }
func (r *scriptedRegistrar) RevokeLease(context.Context, Lease) error { r.revokes++; return nil }
func (r *scriptedRegistrar) Put(context.Context, string, []byte, Lease) error {
	r.puts++
	return nil
}

// TestLiveHostStaysRegistered guards against a live host whose entry is missing from
// the store because its lease ended or its item was removed.
func TestLiveHostStaysRegistered(t *testing.T) {
	for _, c := range []struct {
		desc       string
		renewErr   error
		listed     bool
		wantLeases int
	}{
		{"renewed", nil, true, 1},
		{"lease ended", ErrLeaseEnded, true, 2},
		{"store unavailable: the lease may still be valid", errUnavailable, true, 1},
		{"item removed although the lease is valid", nil, false, 2},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			r := &scriptedRegistrar{}
			p := NewRegistration(r, "hosts/a", nil, RegistrationTTL(0), quietLog())
			p.Listed = func() bool { return c.listed }
			p.step(context.Background())
			p.registeredAt = time.Now().Add(-2 * p.ttl)
			r.renewErr = c.renewErr
			p.step(context.Background())
			g.Expect(r.leases).To(Equal(c.wantLeases))
			g.Expect(r.puts).To(Equal(c.wantLeases))
		})
	}
}

// TestPausedLeaseEndsInTime guards against a directory that still lists an ended
// host when the recovery time after an outage of the store is over: a lease that
// paused during the outage runs on for its whole TTL.
func TestPausedLeaseEndsInTime(t *testing.T) {
	g := NewWithT(t)
	const recovery = 4 * time.Second
	r := &scriptedRegistrar{}
	p := NewRegistration(r, "hosts/a", nil, RegistrationTTL(recovery), quietLog())
	p.step(context.Background())
	g.Expect(r.ttl).To(BeNumerically("<", recovery))
	// One renewal may fail and be retried before the lease ends.
	g.Expect(p.renewInterval() + registrationCallTimeout + registrationRetryDelay).To(BeNumerically("<", r.ttl))
}

// TestRegistrationBacksOff guards against hosts that all retry their registration
// twice a second while the store is down, and against a host that is still not
// registered 2 s after the store's return.
func TestRegistrationBacksOff(t *testing.T) {
	g := NewWithT(t)
	r := &scriptedRegistrar{grantErr: errUnavailable}
	p := NewRegistration(r, "hosts/a", nil, RegistrationTTL(0), quietLog())
	var pauses []time.Duration
	for range 4 {
		pauses = append(pauses, p.step(context.Background()))
	}
	g.Expect(pauses).To(Equal([]time.Duration{registrationRetryDelay, 2 * registrationRetryDelay, maxRegistrationRetryDelay, maxRegistrationRetryDelay}))
	g.Expect(maxRegistrationRetryDelay).To(BeNumerically("<", 2*time.Second))
	r.grantErr = nil
	p.step(context.Background())
	r.renewErr = errUnavailable
	g.Expect(p.step(context.Background())).To(Equal(registrationRetryDelay))
}

// TestCheckRegistersAtOnce guards against a host that is missing from the directory until its
// next renewal, because a restored store has lost its lease.
func TestCheckRegistersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &scriptedRegistrar{}
		p := NewRegistration(r, "hosts/a", nil, RegistrationTTL(0), quietLog())
		p.Listed = func() bool { return true }
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- p.Run(ctx) }()
		synctest.Wait()
		g.Expect(r.puts).To(Equal(1))
		r.renewErr = ErrLeaseEnded
		p.Check()
		p.Check()
		synctest.Wait()
		g.Expect(r.puts).To(BeNumerically(">=", 2))
		cancel()
		g.Expect(<-ended).To(Succeed())
	})
}
