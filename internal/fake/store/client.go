package fakestore

import (
	"context"
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// client is one client's handle. It implements store.Store.
type client struct {
	service *Service
	name    string
}

func (c *client) Get(ctx context.Context, key string) (store.Entry, error) {
	s := c.service
	if err := s.begin(ctx, c.name, false, false); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	entry, err := s.table.Get(s.now(), key, s.faults.Stale)
	s.mu.Unlock()
	if endErr := s.end(ctx, c.name, false); endErr != nil {
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
	if err := s.begin(ctx, c.name, false, true); err != nil {
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
		entry, done, wait, err := c.poll(key, after)
		if done {
			if endErr := s.end(ctx, c.name, false); endErr != nil {
				return store.Entry{}, endErr
			}
			return entry, err
		}
		if err := wait.until(ctx); err != nil {
			return store.Entry{}, interrupted(false, err)
		}
	}
}

// poll reads the key for a watch and returns what to wait for otherwise.
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
	wait := wakeup{changed: s.changed}
	if ends, ok := s.table.NextExpiry(); ok {
		wait.timed, wait.in = true, ends-s.now()
	}
	return store.Entry{}, false, wait, nil
}

// wakeup is what a watch waits for: a change, or the end of a lease.
type wakeup struct {
	changed <-chan struct{}
	timed   bool
	in      time.Duration
}

func (w wakeup) until(ctx context.Context) error {
	var expiry <-chan time.Time
	if w.timed {
		timer := time.NewTimer(w.in)
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
