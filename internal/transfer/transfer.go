// Package transfer bounds calls by the time without progress. A bound on a whole call
// would fail on each attempt to move a large body over a slow link, although the link
// works; a bound on the time without progress still detects a silent peer early.
package transfer

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Causes of the end of a call; see Cause.
var (
	// ErrIdle reports that no data moved for Limits.First or Limits.Idle.
	ErrIdle = errors.New("no data arrived in time")
	// ErrTooSlow reports that data moved, but the call did not end within Limits.Total.
	ErrTooSlow = errors.New("transfer did not end in time")
)

// Limits bound a call. All must be above 0.
type Limits struct {
	// First bounds the time until the first progress, Idle the time without progress
	// from then on.
	First, Idle time.Duration
	// Total bounds the whole call, so that a peer that sends a little now and then does
	// not hold it for good.
	Total time.Duration
}

// Monitor ends the context of one call when a limit is exceeded. Its methods are safe
// for concurrent use.
type Monitor struct {
	limits  Limits
	started time.Time
	cancel  context.CancelCauseFunc
	// first and latest are the times of the first and the latest progress, in
	// nanoseconds since started, 0 if there was none.
	first, latest atomic.Int64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// NewMonitor returns a context for a call that starts now, and its monitor, which
// FromContext returns as well. The caller stops the monitor when the call has ended.
func NewMonitor(ctx context.Context, limits Limits) (context.Context, *Monitor) {
	callCtx, cancel := context.WithCancelCause(ctx)
	m := &Monitor{limits: limits, started: time.Now(), cancel: cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(min(limits.First, limits.Total), m.check)
	return context.WithValue(callCtx, monitorKey{}, m), m
}

type monitorKey struct{}

// FromContext returns the monitor of the call with this context, nil if it has none.
func FromContext(ctx context.Context) *Monitor {
	m, _ := ctx.Value(monitorKey{}).(*Monitor)
	return m
}

// Cause returns the limit that ended the call with this context, ErrIdle or ErrTooSlow,
// nil if none did.
func Cause(ctx context.Context) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrIdle) || errors.Is(cause, ErrTooSlow) {
		return cause
	}
	return nil
}

// Progress reports that data has moved.
func (m *Monitor) Progress() {
	elapsed := max(int64(time.Since(m.started)), 1)
	m.first.CompareAndSwap(0, elapsed)
	m.latest.Store(elapsed)
}

// Began returns the time of the first progress, of the start of the call if there was
// none.
func (m *Monitor) Began() time.Time { return m.started.Add(time.Duration(m.first.Load())) }

// Stop ends the context without a cause of its own.
func (m *Monitor) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
	m.cancel(nil)
}

// check ends the context if a limit is exceeded, and otherwise runs again when the
// next one may be.
func (m *Monitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	elapsed, allowedUntil := time.Since(m.started), m.limits.First
	if last := time.Duration(m.latest.Load()); last > 0 {
		allowedUntil = last + m.limits.Idle
	}
	switch {
	case elapsed >= m.limits.Total:
		m.cancel(ErrTooSlow)
	case elapsed >= allowedUntil:
		m.cancel(ErrIdle)
	default:
		m.timer.Reset(min(allowedUntil, m.limits.Total) - elapsed)
	}
}

// Reader returns a reader of r that reports progress when data was read.
func (m *Monitor) Reader(r io.Reader) io.Reader { return monitoredReader{r, m} }

type monitoredReader struct {
	io.Reader
	monitor *Monitor
}

func (r monitoredReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.monitor.Progress()
	}
	return n, err
}
