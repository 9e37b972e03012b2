// Package storetest is the contract that every implementation of the port
// store.Store passes, including its behavior while the service is at fault.
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

// Times of the contract. Short bounds calls that must end early; long bounds
// calls that must succeed. Both leave room for a busy machine.
const (
	short    = 300 * time.Millisecond
	long     = 10 * time.Second
	leaseTTL = time.Second
)

// Fixture is an implementation under test with the service behind it.
type Fixture struct {
	Service *fakestore.Service
	// Open returns the implementation for the named client.
	Open func(client string) store.Store
}

// Run runs the contract. Open is called once per case for a fresh service.
func Run(t *testing.T, open func(t *testing.T) Fixture) {
	for _, c := range contract {
		t.Run(c.desc, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), long)
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
		seen := watch(ctx, f.Open("b"), "/k", 0)
		first, err := s.CompareAndSwap(ctx, "/k", 0, []byte("1"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect((<-seen).Revision).To(gomega.Equal(first))
		again, err := s.Watch(ctx, "/k", 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again.Revision).To(gomega.Equal(first))
		gone := watch(ctx, f.Open("b"), "/k", first)
		g.Expect(s.Delete(ctx, "/k", first)).To(gomega.Succeed())
		g.Expect((<-gone).err).To(gomega.MatchError(store.ErrNotFound))
	}},
	{"guards against a watch that outlives its context", func(g *gomega.WithT, ctx context.Context, _ Fixture, s store.Store) {
		brief, cancel := context.WithTimeout(ctx, short)
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
		g.Expect((<-watch(ctx, f.Open("b"), "/k", first)).err).To(gomega.MatchError(store.ErrNotFound))
		g.Expect(s.RenewLease(ctx, id)).To(gomega.MatchError(store.ErrLeaseNotFound))
		_, err = s.CompareAndSwap(ctx, "/k", 0, []byte("2"), id)
		g.Expect(err).To(gomega.MatchError(store.ErrLeaseNotFound))
	}},
	{"guards against a revoked lease that keeps its entries", func(g *gomega.WithT, ctx context.Context, _ Fixture, s store.Store) {
		id, err := s.GrantLease(ctx, long)
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
		brief, cancel := context.WithTimeout(ctx, long)
		gone := watch(brief, s, "/other", 0)
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

type result struct {
	store.Entry
	err error
}

func watch(ctx context.Context, s store.Store, key string, after store.Revision) <-chan result {
	results := make(chan result, 1)
	go func() {
		entry, err := s.Watch(ctx, key, after)
		results <- result{entry, err}
	}()
	return results
}

// faultCase describes the errors under a fault and the write's true effect.
type faultCase struct {
	desc    string
	faults  fakestore.Faults
	cut     bool
	timeout time.Duration
	read    error
	write   error
	applied bool
	value   string
}

var faultCases = []faultCase{
	{desc: "down: a read fails and a write has no effect", faults: fakestore.Faults{Down: true}, timeout: long,
		read: store.ErrUnavailable, write: store.ErrUnavailable},
	{desc: "cut: only the chosen client fails", cut: true, timeout: long,
		read: store.ErrUnavailable, write: store.ErrUnavailable},
	{desc: "lost answer: the write took effect and reports that it is uncertain", faults: fakestore.Faults{LoseAnswers: 1}, timeout: long,
		write: store.ErrUncertain, applied: true, value: "old"},
	{desc: "slow: calls succeed within the timeout", faults: fakestore.Faults{Delay: short}, timeout: long,
		applied: true, value: "old"},
	{desc: "slower than the timeout: a sent write is uncertain, never reported as without effect", faults: fakestore.Faults{Delay: long}, timeout: short,
		read: store.ErrUnavailable, write: store.ErrUncertain},
	{desc: "stale: a read answers from the past, a write still compares with the present", faults: fakestore.Faults{Stale: 1}, timeout: long,
		applied: true, value: "older"},
}

func (c faultCase) check(t *testing.T, f Fixture) {
	g := gomega.NewWithT(t)
	s, other := f.Open("a"), f.Open("b")
	first, err := s.CompareAndSwap(t.Context(), "/k", 0, []byte("older"), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := s.CompareAndSwap(t.Context(), "/k", first, []byte("old"), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	f.Service.SetFaults(c.faults)
	f.Service.SetCut("a", c.cut)
	ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
	defer cancel()
	entry, err := s.Get(ctx, "/k")
	g.Expect(matches(err, c.read)).To(gomega.BeTrue(), "read: %v", err)
	g.Expect(string(entry.Value)).To(gomega.Equal(c.value))
	ctx, cancel = context.WithTimeout(t.Context(), c.timeout)
	defer cancel()
	_, err = s.CompareAndSwap(ctx, "/k", second, []byte("new"), 0)
	g.Expect(matches(err, c.write)).To(gomega.BeTrue(), "write: %v", err)

	f.Service.SetFaults(fakestore.Faults{})
	entry, err = other.Get(t.Context(), "/k")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(entry.Value) == "new").To(gomega.Equal(c.applied))
}

func matches(err, want error) bool {
	if want == nil {
		return err == nil
	}
	return errors.Is(err, want)
}
