package fakestore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// Faults are the faults that a Service injects. The zero value injects none.
type Faults struct {
	// Down refuses every call and ends waiting watches.
	Down bool `json:"down"`
	// Delay is added to each call: half of it before a write takes effect, half
	// after. For a watch, the second half follows the end of the wait.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of writes from now on that take effect but return
	// store.ErrUncertain. A negative number means all of them.
	LoseAnswers int `json:"lose_answers"`
	// Stale is the lag of reads, in writes to the key and not in time. SetFaults
	// limits it to 0 to 15.
	Stale int `json:"stale"`
}

// Service is a running stand-in, safe for concurrent use. Each client uses a handle
// of its own, see Client.
type Service struct {
	start time.Time

	mu      sync.Mutex
	table   *Table
	faults  Faults
	cutOff  map[string]bool
	counter counter
	// changed is closed and replaced when entries, faults or cut-off clients
	// change.
	changed chan struct{}
}

// New returns an empty, healthy service.
func New() *Service {
	return &Service{start: time.Now(), table: NewTable(), cutOff: map[string]bool{}, changed: make(chan struct{})}
}

// Client returns a handle for the named client.
func (s *Service) Client(name string) store.Store { return &client{service: s, name: name} }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Stale = min(max(f.Stale, 0), historyLength-1)
	s.faults = f
	s.wakeWatches()
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetCut cuts the named client off, so that its calls fail as if the service were
// down, or connects it again.
func (s *Service) SetCut(client string, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[client] = cutOff
	s.wakeWatches()
}

// Counts returns the counts of calls since the start.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter.total
}

// Rates returns the call rates over the last span, rounded down to whole seconds and
// limited to the range from one second to two minutes.
func (s *Service) Rates(span time.Duration) Rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter.rates(s.now(), span)
}

// now returns the time since the start, which is the time of the table.
func (s *Service) now() time.Duration { return time.Since(s.start) }

// wakeWatches makes all waiting watches poll again. The caller holds mu.
func (s *Service) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuses reports whether calls of the client fail now. The caller holds mu.
func (s *Service) refuses(client string) bool { return s.faults.Down || s.cutOff[client] }

// beginCall counts a call and waits for the first half of the delay.
func (s *Service) beginCall(ctx context.Context, client string, write, watch bool) error {
	s.mu.Lock()
	if s.refuses(client) {
		s.counter.total.Refused++
		s.mu.Unlock()
		return store.ErrUnavailable
	}
	s.counter.count(s.now(), write, watch)
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := sleep(ctx, delay/2); err != nil {
		return interruptedError(write, err)
	}
	return nil
}

// endCall waits for the second half of the delay.
func (s *Service) endCall(ctx context.Context, client string, write bool) error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := sleep(ctx, delay-delay/2); err != nil {
		return interruptedError(write, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(client) {
		return lostCallError(write)
	}
	return nil
}

// write performs a write between the two halves of the delay. Faults.LoseAnswers skips
// the second half, and applies only to a write that takes effect: the service would
// answer any other, such as a conflict, at once.
func (s *Service) write(ctx context.Context, client string, apply func(now time.Duration) error) error {
	if err := s.beginCall(ctx, client, true, false); err != nil {
		return err
	}
	s.mu.Lock()
	if s.refuses(client) {
		s.mu.Unlock()
		return store.ErrUncertain
	}
	err := apply(s.now())
	lost := false
	if err == nil {
		lost = s.loseAnswer()
		s.wakeWatches()
	}
	s.mu.Unlock()
	if lost {
		return store.ErrUncertain
	}
	if endErr := s.endCall(ctx, client, true); endErr != nil {
		return endErr
	}
	return err
}

// loseAnswer reports whether the answer of a write is to be lost, and counts
// it. The caller holds mu.
func (s *Service) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	s.counter.total.LostAnswers++
	return true
}

// lostCallError returns the error of a call whose connection broke after it was
// sent. Only a write can have had an effect.
func lostCallError(write bool) error {
	if write {
		return store.ErrUncertain
	}
	return store.ErrUnavailable
}

// interruptedError returns the error of a call that its context ended.
func interruptedError(write bool, cause error) error {
	return fmt.Errorf("%w: %w", lostCallError(write), cause)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
