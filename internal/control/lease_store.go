package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/store"
)

// storeCall reads the lessor's record. Zero timeout means no time limit.
func (c *Control) storeCall(call uint64, timeout time.Duration, f func(context.Context) (store.Entry, error)) {
	c.async(func() {
		ctx, cancel := c.callContext(timeout)
		defer cancel()
		e, err := f(ctx)
		r := lease.StoreResult{Call: call, Err: storeError(err), Revision: e.Revision}
		if err == nil {
			if err := json.Unmarshal(e.Value, &r.Record); err != nil {
				r.Err = lease.StoreUnavailable
				c.count("store.malformed_records")
			}
		}
		c.post(func(now time.Duration) {
			c.noteStore(err)
			c.stepLessor(now, r)
		})
	})
}

func (c *Control) storeCAS(a lease.StoreCAS) {
	value, err := json.Marshal(a.Record)
	if err != nil {
		panic(err) // the record holds only names, numbers and durations
	}
	c.async(func() {
		ctx, cancel := c.callContext(storeTimeout)
		defer cancel()
		revision, err := c.Store.CompareAndSwap(ctx, c.leases.key, a.Expected, value, 0)
		c.post(func(now time.Duration) {
			c.noteStore(err)
			c.stepLessor(now, lease.StoreResult{Call: a.Call, Err: storeError(err), Record: a.Record, Revision: revision})
		})
	})
}

// storeError maps an error of the store port. A write that ended in any other
// way may have taken effect.
func storeError(err error) lease.StoreError {
	switch {
	case err == nil:
		return lease.StoreOK
	case errors.Is(err, store.ErrNotFound):
		return lease.StoreNotFound
	case errors.Is(err, store.ErrConflict):
		return lease.StoreConflict
	case errors.Is(err, store.ErrUnavailable):
		return lease.StoreUnavailable
	default:
		return lease.StoreUncertain
	}
}

// callContext bounds a call and ends it with the control goroutine. Zero means
// no time limit.
func (c *Control) callContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout == 0 {
		return context.WithCancel(c.ctx)
	}
	return context.WithTimeout(c.ctx, timeout)
}

// noteStore counts failed calls of the store and tells when it went out of
// reach and came back.
func (c *Control) noteStore(err error) {
	if errors.Is(err, context.Canceled) {
		return // the call ended with this process or its role
	}
	reachable := err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict)
	if !reachable {
		c.count("store.failures")
	}
	if reachable == !c.storeLost {
		return
	}
	c.storeLost = !reachable
	if c.storeLost {
		c.Log.WithError(err).Warn("store out of reach")
		return
	}
	c.Log.Info("store in reach again")
}
