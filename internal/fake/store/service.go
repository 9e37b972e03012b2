package fakestore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// Faults are the disturbances in force. The zero value is a healthy service.
type Faults struct {
	// Down refuses every call and ends waiting watches.
	Down bool `json:"down"`
	// Delay is added to each call: half before a write takes effect, half after.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of following writes that take effect but
	// report store.ErrUncertain. Negative loses all answers of writes.
	LoseAnswers int `json:"lose_answers"`
	// Stale makes reads answer with the entry of that many writes ago, at
	// most 15.
	Stale int `json:"stale"`
}

// Service is the key-value service. Open a handle for each client.
type Service struct {
	origin time.Time

	mu      sync.Mutex
	table   *Table
	faults  Faults
	cut     map[string]bool
	counter counter
	// changed is closed and replaced at each change of entries or faults.
	changed chan struct{}
}

// New returns an empty, healthy service.
func New() *Service {
	return &Service{origin: time.Now(), table: NewTable(), cut: map[string]bool{}, changed: make(chan struct{})}
}

// Client returns a handle for the named client.
func (s *Service) Client(name string) store.Store { return &client{service: s, name: name} }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Stale = min(max(f.Stale, 0), historyLength-1)
	s.faults = f
	s.broadcast()
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetCut separates the named client from the service, or connects it again.
func (s *Service) SetCut(client string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[client] = cut
	s.broadcast()
}

// Counts returns the calls since the start.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter.total
}

// Rates returns the call rates over the last span, at most two minutes.
func (s *Service) Rates(span time.Duration) Rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter.rates(s.now(), span)
}

func (s *Service) now() time.Duration { return time.Since(s.origin) }

func (s *Service) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuses tells whether a call of the client fails now. The caller holds mu.
func (s *Service) refuses(client string) bool { return s.faults.Down || s.cut[client] }

// begin counts a call and waits for the first half of the delay.
func (s *Service) begin(ctx context.Context, client string, write, watch bool) error {
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
		return interrupted(write, err)
	}
	return nil
}

// end waits for the second half of the delay.
func (s *Service) end(ctx context.Context, client string, write bool) error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := sleep(ctx, delay-delay/2); err != nil {
		return interrupted(write, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(client) {
		return broken(write)
	}
	return nil
}

// write performs a write between the two halves of the delay. A write that
// has no effect always has an answer, as the service would send it at once.
func (s *Service) write(ctx context.Context, client string, apply func(now time.Duration) error) error {
	if err := s.begin(ctx, client, true, false); err != nil {
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
		s.broadcast()
	}
	s.mu.Unlock()
	if lost {
		return store.ErrUncertain
	}
	if endErr := s.end(ctx, client, true); endErr != nil {
		return endErr
	}
	return err
}

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

// broken is the error of a call whose connection broke after it was sent.
// Only a write can have had an effect.
func broken(write bool) error {
	if write {
		return store.ErrUncertain
	}
	return store.ErrUnavailable
}

func interrupted(write bool, cause error) error { return fmt.Errorf("%w: %w", broken(write), cause) }

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
