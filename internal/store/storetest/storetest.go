// Package storetest contains the contract tests of store.Store for every
// implementation, including its behavior under faults of the service.
package storetest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/store"
)

// Times of the contract. The timeouts leave room for a busy machine.
const (
	// shortTimeout is the timeout of calls that must end early, and a delay that
	// calls must tolerate.
	shortTimeout = 300 * time.Millisecond
	// longTimeout is the timeout of calls that must succeed, and the length of
	// delays and leases that must not end during a test.
	longTimeout = 10 * time.Second
	// leaseTTL is the TTL of a lease that a test waits out.
	leaseTTL = time.Second
)

// Fixture is an implementation under test with the stand-in that it calls.
type Fixture struct {
	Service *fakestore.Service
	// Open returns an instance of the implementation for the named client.
	Open func(client string) store.Store
}

// Run runs the contract tests. open is called once per case and returns a new
// service each time.
func Run(t *testing.T, open func(t *testing.T) Fixture) {
	for _, c := range contract {
		t.Run(c.desc, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			f := open(t)
			c.run(gomega.NewWithT(t), ctx, f, f.Open("a"))
		})
	}
	for _, c := range faultCases {
		t.Run(c.desc, func(t *testing.T) { c.check(t, open(t)) })
	}
}

type contractCase struct {
	desc string
	run  func(g *gomega.WithT, ctx context.Context, f Fixture, s store.Store)
}

var contract = []contractCase{
	{"guards against a write over a value that another client changed", func(g *gomega.WithT, ctx context.Context, f Fixture, s store.Store) {
		_, err := s.Get(ctx, "/k")
		g.Expect(err).To(gomega.MatchError(store.ErrNotFound))
		first, err := s.CompareAndSwap(ctx, "/k", 0, []byte("1"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.Open("b").CompareAndSwap(ctx, "/k", 0, []byte("2"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrConflict))
		second, err := f.Open("b").CompareAndSwap(ctx, "/k", first, []byte("3"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(second).To(gomega.BeNumerically(">", first))
		entry, err := s.Get(ctx, "/k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entry).To(gomega.Equal(store.Entry{Key: "/k", Value: []byte("3"), Revision: second}))
	}},
	{"guards against a delete of a newer value", func(g *gomega.WithT, ctx context.Context, _ Fixture, s store.Store) {
		g.Expect(s.Delete(ctx, "/k", 1)).To(gomega.MatchError(store.ErrNotFound))
		first, err := s.CompareAndSwap(ctx, "/k", 0, []byte("1"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		second, err := s.CompareAndSwap(ctx, "/k", first, []byte("2"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.Delete(ctx, "/k", first)).To(gomega.MatchError(store.ErrConflict))
		g.Expect(s.Delete(ctx, "/k", second)).To(gomega.Succeed())
		third, err := s.CompareAndSwap(ctx, "/k", 0, []byte("4"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(third).To(gomega.BeNumerically(">", second))
	}},
	{"guards against a value above the size limit", func(g *gomega.WithT, ctx context.Context, _ Fixture, s store.Store) {
		_, err := s.CompareAndSwap(ctx, "/k", 0, make([]byte, store.MaxValueBytes), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		entry, err := s.Get(ctx, "/k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entry.Value).To(gomega.HaveLen(store.MaxValueBytes))
		_, err = s.CompareAndSwap(ctx, "/big", 0, make([]byte, store.MaxValueBytes+1), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrTooLarge))
	}},
	{"guards against a watch that misses a change or a deletion", func(g *gomega.WithT, ctx context.Context, f Fixture, s store.Store) {
		seen := startWatch(ctx, f.Open("b"), "/k", 0)
		first, err := s.CompareAndSwap(ctx, "/k", 0, []byte("1"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect((<-seen).Revision).To(gomega.Equal(first))
		again, err := s.Watch(ctx, "/k", 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again.Revision).To(gomega.Equal(first))
		gone := startWatch(ctx, f.Open("b"), "/k", first)
		g.Expect(s.Delete(ctx, "/k", first)).To(gomega.Succeed())
		g.Expect((<-gone).err).To(gomega.MatchError(store.ErrNotFound))
	}},
	{"guards against a watch that outlives its context", func(g *gomega.WithT, ctx context.Context, _ Fixture, s store.Store) {
		brief, cancel := context.WithTimeout(ctx, shortTimeout)
		defer cancel()
		_, err := s.Watch(brief, "/k", 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnavailable))
	}},
	{"guards against entries that outlive their lease", func(g *gomega.WithT, ctx context.Context, f Fixture, s store.Store) {
		id, err := s.GrantLease(ctx, leaseTTL)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		first, err := s.CompareAndSwap(ctx, "/k", 0, []byte("1"), id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.RenewLease(ctx, id)).To(gomega.Succeed())
		g.Expect((<-startWatch(ctx, f.Open("b"), "/k", first)).err).To(gomega.MatchError(store.ErrNotFound))
		g.Expect(s.RenewLease(ctx, id)).To(gomega.MatchError(store.ErrLeaseNotFound))
		_, err = s.CompareAndSwap(ctx, "/k", 0, []byte("2"), id)
		g.Expect(err).To(gomega.MatchError(store.ErrLeaseNotFound))
	}},
	{"guards against a revoked lease that keeps its entries", func(g *gomega.WithT, ctx context.Context, _ Fixture, s store.Store) {
		id, err := s.GrantLease(ctx, longTimeout)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = s.CompareAndSwap(ctx, "/k", 0, []byte("1"), id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.RevokeLease(ctx, id)).To(gomega.Succeed())
		_, err = s.Get(ctx, "/k")
		g.Expect(err).To(gomega.MatchError(store.ErrNotFound))
		g.Expect(s.RevokeLease(ctx, id)).To(gomega.MatchError(store.ErrLeaseNotFound))
	}},
	{"guards against calls that are not counted", func(g *gomega.WithT, ctx context.Context, f Fixture, s store.Store) {
		before := f.Service.Counts()
		brief, cancel := context.WithTimeout(ctx, longTimeout)
		gone := startWatch(brief, s, "/other", 0)
		g.Eventually(func() int64 { return f.Service.Counts().Waiting }).Should(gomega.Equal(int64(1)))
		_, _ = s.Get(ctx, "/k")
		_, _ = s.CompareAndSwap(ctx, "/k", 0, nil, 0)
		counts := f.Service.Counts()
		g.Expect(counts.Reads - before.Reads).To(gomega.Equal(int64(2)))
		g.Expect(counts.Writes - before.Writes).To(gomega.Equal(int64(1)))
		rates := f.Service.Rates(time.Minute)
		g.Expect(rates.ReadsPerSecond).To(gomega.BeNumerically("~", 2.0/60, 1e-9))
		cancel()
		<-gone
		g.Eventually(func() int64 { return f.Service.Counts().Waiting }).Should(gomega.BeZero())
	}},
}

type watchResult struct {
	store.Entry
	err error
}

// startWatch runs a watch in a goroutine and returns the channel of its result.
func startWatch(ctx context.Context, s store.Store, key string, after store.Revision) <-chan watchResult {
	results := make(chan watchResult, 1)
	go func() {
		entry, err := s.Watch(ctx, key, after)
		results <- watchResult{entry, err}
	}()
	return results
}

// faultCase lists the expected errors of a read and a write under a fault, whether
// the write takes effect, and the value that the read returns.
type faultCase struct {
	desc         string
	faults       fakestore.Faults
	clientCut    bool
	timeout      time.Duration
	readErr      error
	writeErr     error
	writeApplied bool
	readValue    string
}

var faultCases = []faultCase{
	{desc: "service down: a read fails and a write has no effect", faults: fakestore.Faults{Down: true}, timeout: longTimeout,
		readErr: store.ErrUnavailable, writeErr: store.ErrUnavailable},
	{desc: "client cut off: only this client's calls fail", clientCut: true, timeout: longTimeout,
		readErr: store.ErrUnavailable, writeErr: store.ErrUnavailable},
	{desc: "lost answer: the write takes effect and returns ErrUncertain", faults: fakestore.Faults{LoseAnswers: 1}, timeout: longTimeout,
		writeErr: store.ErrUncertain, writeApplied: true, readValue: "old"},
	{desc: "slow: calls succeed within the timeout", faults: fakestore.Faults{Delay: shortTimeout}, timeout: longTimeout,
		writeApplied: true, readValue: "old"},
	{desc: "slower than the timeout: a sent write returns ErrUncertain, never ErrUnavailable", faults: fakestore.Faults{Delay: longTimeout}, timeout: shortTimeout,
		readErr: store.ErrUnavailable, writeErr: store.ErrUncertain},
	{desc: "stale: a read returns an older value, a write still compares with the current one", faults: fakestore.Faults{Stale: 1}, timeout: longTimeout,
		writeApplied: true, readValue: "older"},
}

// check runs a read and a write of client a under the fault, and then reads the
// actual value as client b.
func (c faultCase) check(t *testing.T, f Fixture) {
	g := gomega.NewWithT(t)
	s, other := f.Open("a"), f.Open("b")
	first, err := s.CompareAndSwap(t.Context(), "/k", 0, []byte("older"), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := s.CompareAndSwap(t.Context(), "/k", first, []byte("old"), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	f.Service.SetFaults(c.faults)
	f.Service.SetCut("a", c.clientCut)
	ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
	defer cancel()
	entry, err := s.Get(ctx, "/k")
	g.Expect(errorIs(err, c.readErr)).To(gomega.BeTrue(), "read: %v", err)
	g.Expect(string(entry.Value)).To(gomega.Equal(c.readValue))
	ctx, cancel = context.WithTimeout(t.Context(), c.timeout)
	defer cancel()
	_, err = s.CompareAndSwap(ctx, "/k", second, []byte("new"), 0)
	g.Expect(errorIs(err, c.writeErr)).To(gomega.BeTrue(), "write: %v", err)

	f.Service.SetFaults(fakestore.Faults{})
	entry, err = other.Get(t.Context(), "/k")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(entry.Value) == "new").To(gomega.Equal(c.writeApplied))
}

// errorIs reports whether err is want, where nil means no error.
func errorIs(err, want error) bool {
	if want == nil {
		return err == nil
	}
	return errors.Is(err, want)
}
