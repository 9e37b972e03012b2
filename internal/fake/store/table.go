// Package fakestore is an in-memory stand-in for the platform's key-value
// service, with faults that can be set while it runs. Table is the data model
// without locks or clock, for simulations in virtual time. Service adds
// clients, watches, call counting and faults. Handler serves it over HTTP.
package fakestore

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// historyLength bounds the past values kept per key for stale reads.
const historyLength = 16

// Table holds entries and leases. It is not safe for concurrent use. Times
// are durations since an arbitrary origin; leases end by the time given to
// each call.
type Table struct {
	revision store.Revision
	keys     map[string]*record
	leases   map[store.LeaseID]*lease
	nextID   store.LeaseID
}

// record is the history of one key. An element without a value marks a deletion.
type record struct {
	versions []version
	lease    store.LeaseID
}

type version struct {
	entry   store.Entry
	present bool
}

type lease struct {
	ttl  time.Duration
	ends time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{keys: map[string]*record{}, leases: map[store.LeaseID]*lease{}}
}

// Get returns the entry of key as it was stale writes to that key ago, or
// store.ErrNotFound. Zero reads the present entry.
func (t *Table) Get(now time.Duration, key string, stale int) (store.Entry, error) {
	t.expire(now)
	r := t.keys[key]
	if r == nil || len(r.versions) <= stale {
		return store.Entry{}, store.ErrNotFound
	}
	v := r.versions[len(r.versions)-1-stale]
	if !v.present {
		return store.Entry{}, store.ErrNotFound
	}
	entry := v.entry
	entry.Value = append([]byte(nil), entry.Value...)
	return entry, nil
}

// CompareAndSwap is the write of store.Store.
func (t *Table) CompareAndSwap(now time.Duration, key string, expected store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	t.expire(now)
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	if id != 0 && t.leases[id] == nil {
		return 0, store.ErrLeaseNotFound
	}
	if t.current(key) != expected {
		return 0, store.ErrConflict
	}
	t.put(key, version{entry: store.Entry{Key: key, Value: append([]byte(nil), value...)}, present: true})
	t.keys[key].lease = id
	return t.revision, nil
}

// Delete removes key if its present revision is expected.
func (t *Table) Delete(now time.Duration, key string, expected store.Revision) error {
	t.expire(now)
	switch current := t.current(key); {
	case current == 0:
		return store.ErrNotFound
	case current != expected:
		return store.ErrConflict
	}
	t.put(key, version{})
	return nil
}

// GrantLease creates a lease that ends after ttl without renewal.
func (t *Table) GrantLease(now, ttl time.Duration) store.LeaseID {
	t.nextID++
	t.leases[t.nextID] = &lease{ttl: ttl, ends: now + ttl}
	return t.nextID
}

// RenewLease extends a lease by its ttl.
func (t *Table) RenewLease(now time.Duration, id store.LeaseID) error {
	t.expire(now)
	l := t.leases[id]
	if l == nil {
		return store.ErrLeaseNotFound
	}
	l.ends = now + l.ttl
	return nil
}

// RevokeLease ends a lease and removes its entries.
func (t *Table) RevokeLease(now time.Duration, id store.LeaseID) error {
	t.expire(now)
	if t.leases[id] == nil {
		return store.ErrLeaseNotFound
	}
	t.end(id)
	return nil
}

// NextExpiry returns the earliest end of a lease, and false without leases.
func (t *Table) NextExpiry() (time.Duration, bool) {
	var earliest time.Duration
	found := false
	for _, l := range t.leases {
		if !found || l.ends < earliest {
			earliest, found = l.ends, true
		}
	}
	return earliest, found
}

func (t *Table) current(key string) store.Revision {
	r := t.keys[key]
	if r == nil || !r.versions[len(r.versions)-1].present {
		return 0
	}
	return r.versions[len(r.versions)-1].entry.Revision
}

func (t *Table) put(key string, v version) {
	t.revision++
	v.entry.Revision = t.revision
	r := t.keys[key]
	if r == nil {
		r = &record{}
		t.keys[key] = r
	}
	r.lease = 0
	r.versions = append(r.versions, v)
	if len(r.versions) > historyLength {
		r.versions = r.versions[1:]
	}
}

func (t *Table) expire(now time.Duration) {
	for id, l := range t.leases {
		if now >= l.ends {
			t.end(id)
		}
	}
}

func (t *Table) end(id store.LeaseID) {
	delete(t.leases, id)
	for key, r := range t.keys {
		if r.lease == id {
			t.put(key, version{})
		}
	}
}
