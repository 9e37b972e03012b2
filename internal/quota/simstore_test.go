package quota

import (
	"maps"
	"time"
)

// simStore is the platform's store: issuers' items with leases, and eras.
type simStore struct {
	down bool
	era  uint64
	// hosts are those that have registered since they started.
	hosts map[string]bool
	storeContent
}

// storeContent is what a copy of the store holds.
type storeContent struct {
	revision  uint64
	lastLease int
	items     map[string]simItem
	leases    map[int]time.Duration // ends
}

type simItem struct {
	Item
	lease int
}

func newSimStore() *simStore {
	return &simStore{hosts: map[string]bool{}, storeContent: storeContent{items: map[string]simItem{}, leases: map[int]time.Duration{}}}
}

func (c storeContent) copy() storeContent {
	c.items, c.leases = maps.Clone(c.items), maps.Clone(c.leases)
	return c
}

// restore replaces the content by a copy and begins a new era. Leases of the copy run on.
func (s *simStore) restore(old storeContent, now time.Duration) {
	s.storeContent = old.copy()
	s.era++
	for id := range s.leases {
		s.leases[id] = max(s.leases[id], now+LeaseTTL/2)
	}
}

func (s *simStore) expire(now time.Duration) {
	for id, end := range s.leases {
		if end < now {
			s.end(id)
		}
	}
}

func (s *simStore) end(lease int) {
	delete(s.leases, lease)
	for region, i := range s.items {
		if i.lease == lease {
			s.revision++
			delete(s.items, region)
		}
	}
}

// write creates a lease and writes an item if it has the expected revision.
func (s *simStore) write(now time.Duration, region string, c Call, host string, incarnation int64) (lease int, r Result) {
	s.expire(now)
	if s.down || s.era != c.Era {
		return 0, Unknown
	}
	if s.items[region].Revision != c.Revision {
		return 0, Conflict
	}
	s.lastLease++
	s.revision++
	s.leases[s.lastLease] = now + LeaseTTL
	s.items[region] = simItem{Item{Host: host, Incarnation: incarnation, Era: c.Era, Revision: s.revision}, s.lastLease}
	return s.lastLease, Succeeded
}

// settle writes an item again under its lease if it has the expected revision.
func (s *simStore) settle(now time.Duration, region string, c Call, lease int) Result {
	s.expire(now)
	if s.down || s.era != c.Era {
		return Unknown
	}
	if _, ok := s.leases[lease]; !ok || s.items[region].Revision != c.Revision {
		return Conflict
	}
	s.revision++
	i := s.items[region]
	i.Revision, i.Settled, i.lease = s.revision, c.Settled, lease
	s.items[region] = i
	return Succeeded
}

func (s *simStore) renew(now time.Duration, lease int, era uint64) Result {
	s.expire(now)
	if s.down || s.era != era {
		return Unknown
	}
	if _, ok := s.leases[lease]; !ok {
		return Conflict
	}
	s.leases[lease] = now + LeaseTTL
	return Succeeded
}
