package fakestore

import (
	"context"
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// client is the handle of one client. It implements store.Store.
type client struct {
	service *Service
	name    string
}

func (c *client) Get(ctx context.Context, key string) (store.Entry, error) {
	s := c.service
	if err := s.beginCall(ctx, c.name, false, false); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	entry, err := s.table.Get(s.now(), key, s.faults.Stale)
	s.mu.Unlock()
	if endErr := s.endCall(ctx, c.name, false); endErr != nil {
		return store.Entry{}, endErr
	}
	return entry, err
}

func (c *client) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	var revision store.Revision
	err := c.service.write(ctx, c.name, func(now time.Duration) (err error) {
		revision, err = c.service.table.CompareAndSwap(now, key, expected, value, lease)
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

func (c *client) Delete(ctx context.Context, key string, expected store.Revision) error {
	return c.service.write(ctx, c.name, func(now time.Duration) error {
		return c.service.table.Delete(now, key, expected)
	})
}

func (c *client) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	s := c.service
	if err := s.beginCall(ctx, c.name, false, true); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	s.counter.total.Waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.counter.total.Waiting--
		s.mu.Unlock()
	}()
	for {
		entry, done, next, err := c.poll(key, after)
		if done {
			if endErr := s.endCall(ctx, c.name, false); endErr != nil {
				return store.Entry{}, endErr
			}
			return entry, err
		}
		if err := next.await(ctx); err != nil {
			return store.Entry{}, interruptedError(false, err)
		}
	}
}

// poll reads the key for a watch. It returns true if the watch ends with the result,
// or else the events to wait for before the next poll.
func (c *client) poll(key string, after store.Revision) (store.Entry, bool, wakeup, error) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(c.name) {
		return store.Entry{}, true, wakeup{}, store.ErrUnavailable
	}
	entry, err := s.table.Get(s.now(), key, s.faults.Stale)
	switch {
	case err == nil && entry.Revision > after:
		return entry, true, wakeup{}, nil
	case errors.Is(err, store.ErrNotFound) && after > 0 && s.faults.Stale == 0:
		return store.Entry{}, true, wakeup{}, err
	}
	next := wakeup{changed: s.changed}
	if expires, ok := s.table.NextExpiry(); ok {
		next.hasExpiry, next.expiresIn = true, expires-s.now()
	}
	return store.Entry{}, false, next, nil
}

// wakeup holds the events that a watch waits for: a change of an entry or the
// faults, and the earliest expiry of a lease.
type wakeup struct {
	changed   <-chan struct{}
	hasExpiry bool
	expiresIn time.Duration
}

// await waits for one of the events, or returns the error of ctx.
func (w wakeup) await(ctx context.Context) error {
	var expiry <-chan time.Time
	if w.hasExpiry {
		timer := time.NewTimer(w.expiresIn)
		defer timer.Stop()
		expiry = timer.C
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.changed:
	case <-expiry:
	}
	return nil
}

func (c *client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	err := c.service.write(ctx, c.name, func(now time.Duration) error {
		id = c.service.table.GrantLease(now, ttl)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

func (c *client) RenewLease(ctx context.Context, id store.LeaseID) error {
	return c.service.write(ctx, c.name, func(now time.Duration) error {
		return c.service.table.RenewLease(now, id)
	})
}

func (c *client) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return c.service.write(ctx, c.name, func(now time.Duration) error {
		return c.service.table.RevokeLease(now, id)
	})
}
