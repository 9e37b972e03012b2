package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/store"
)

// readLessorRecord reads the lessor's record with read. A timeout of 0 means
// no time limit.
func (c *Control) readLessorRecord(call uint64, timeout time.Duration, read func(context.Context) (store.Entry, error)) {
	c.async(func() {
		ctx, cancel := c.callContext(timeout)
		defer cancel()
		e, err := read(ctx)
		r := lease.StoreResult{Call: call, Status: storeError(err), Revision: e.Revision}
		if err == nil {
			if err := json.Unmarshal(e.Value, &r.Record); err != nil {
				r.Status = lease.StoreUnavailable
				c.count("store.malformed_records")
			}
		}
		c.post(func(now time.Duration) {
			c.recordStoreResult(err)
			c.stepLessor(now, r)
		})
	})
}

// swapLessorRecord writes the lessor's record if its revision is the expected
// one.
func (c *Control) swapLessorRecord(a lease.StoreCAS) {
	value, err := json.Marshal(a.Record)
	if err != nil {
		panic(err) // the record holds only names, numbers and durations
	}
	c.async(func() {
		ctx, cancel := c.callContext(storeTimeout)
		defer cancel()
		revision, err := c.Store.CompareAndSwap(ctx, c.leases.lessorKey, a.Expected, value, 0)
		c.post(func(now time.Duration) {
			c.recordStoreResult(err)
			c.stepLessor(now, lease.StoreResult{Call: a.Call, Status: storeError(err), Record: a.Record, Revision: revision})
		})
	})
}

// storeError converts an error of package store. A write that failed with an
// error of any other kind may have taken effect.
func storeError(err error) lease.StoreStatus {
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

// callContext returns a context that is canceled after timeout and when the
// control goroutine ends. A timeout of 0 means no time limit.
func (c *Control) callContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout == 0 {
		return context.WithCancel(c.ctx)
	}
	return context.WithTimeout(c.ctx, timeout)
}

// recordStoreResult counts failed calls to the store, and logs the first failure
// and the next success. Any error except ErrNotFound and ErrConflict is a failure,
// so a refusal is also logged as "store out of reach".
func (c *Control) recordStoreResult(err error) {
	if errors.Is(err, context.Canceled) {
		return // canceled because this process or its role ended
	}
	reachable := err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict)
	if !reachable {
		c.count("store.failures")
	}
	if reachable == !c.storeUnreachable {
		return
	}
	c.storeUnreachable = !reachable
	if c.storeUnreachable {
		c.Log.WithError(err).Warn("store out of reach")
		return
	}
	c.Log.Info("store in reach again")
}
