package mirror

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// simStore is a store in virtual time that the hosts of a simulation read.
type simStore struct {
	mu          sync.Mutex
	rev, era    uint64
	items       map[string]Item
	events      []Item
	compactedTo uint64
	copies      []simCopy
	down        bool
	refused     map[int]bool // hosts that get no answer
	// disturbedUntil is the end of the latest disturbance, in the future while one lasts.
	disturbedUntil time.Time
}

type simCopy struct {
	madeAt time.Time
	rev    uint64
	items  map[string]Item
}

// put writes an item, or removes it if value is empty, and reports whether the store is up.
func (s *simStore) put(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.rev++
	i := Item{Key: key, Value: []byte(value), Revision: s.rev, Deleted: value == ""}
	if s.items[key] = i; i.Deleted {
		delete(s.items, key)
	}
	s.events = append(s.events, i)
	return true
}

// restore brings the store back from a copy that is at most age old.
func (s *simStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := max(slices.IndexFunc(s.copies, func(c simCopy) bool { return time.Since(c.madeAt) <= age }), 0)
	c := s.copies[n]
	s.rev, s.items, s.events, s.compactedTo = c.rev, maps.Clone(c.items), nil, c.rev
	s.copies = s.copies[:n+1]
	s.era++
}

// fetch answers a host as package platform does.
func (s *simStore) fetch(ctx context.Context, host int, after Position, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for deadline := time.Now().Add(wait); ; time.Sleep(simStoreDelay) {
		s.mu.Lock()
		switch {
		case s.down || s.refused[host] || s.era != era:
			s.mu.Unlock()
			time.Sleep(simStoreDelay)
			return Batch{}, errUnavailable
		case after.Revision == 0 || after.Era != s.era || after.Revision < s.compactedTo || after.Revision > s.rev:
			b := Batch{Era: s.era, Revision: s.rev, Full: true, Items: slices.Collect(maps.Values(s.items))}
			s.mu.Unlock()
			time.Sleep(simStoreDelay)
			b.Age = simStoreDelay
			return b, nil
		}
		b := Batch{Era: s.era, Revision: s.rev}
		for _, e := range s.events {
			if e.Revision > after.Revision {
				b.Items = append(b.Items, e)
			}
		}
		s.mu.Unlock()
		if len(b.Items) > 0 || time.Now().After(deadline) {
			return b, nil
		}
		if ctx.Err() != nil {
			return Batch{}, ctx.Err()
		}
	}
}
