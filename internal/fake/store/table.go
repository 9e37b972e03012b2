// Package fakestore is an in-memory stand-in for the key-value service of package
// store, which galenabeamd uses without -platform. Table is the data model without
// locks or clock, for simulations in virtual time. Service adds clients, watches,
// counts of calls and faults that can be set while it runs. Its Handler serves it
// over the HTTP protocol of package storewire.
package fakestore

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// historyLength bounds the versions of a key, the current one included, that are
// retained for stale reads.
const historyLength = 16

// Table holds entries and leases. It is not safe for concurrent use. Times are
// durations since an arbitrary origin; a call with a time ends the leases that have
// expired by then, except GrantLease.
type Table struct {
	revision store.Revision
	records  map[string]*record
	leases   map[store.LeaseID]*lease
	lastID   store.LeaseID
}

// record is the history of one key, oldest version first, and the lease of its
// entry.
type record struct {
	versions []version
	lease    store.LeaseID
}

// version is an entry, or a deletion of the key if present is false.
type version struct {
	entry   store.Entry
	present bool
}

type lease struct {
	ttl     time.Duration
	expires time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[string]*record{}, leases: map[store.LeaseID]*lease{}}
}

// Get returns the entry that key had stale writes to it ago, or store.ErrNotFound.
// With zero it reads the current entry.
func (t *Table) Get(now time.Duration, key string, stale int) (store.Entry, error) {
	t.endExpired(now)
	r := t.records[key]
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

// CompareAndSwap writes value as store.Store does.
func (t *Table) CompareAndSwap(now time.Duration, key string, expected store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	t.endExpired(now)
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
	t.records[key].lease = id
	return t.revision, nil
}

// Delete removes key if its current revision is expected. Otherwise it returns
// store.ErrNotFound or store.ErrConflict.
func (t *Table) Delete(now time.Duration, key string, expected store.Revision) error {
	t.endExpired(now)
	switch current := t.current(key); {
	case current == 0:
		return store.ErrNotFound
	case current != expected:
		return store.ErrConflict
	}
	t.put(key, version{})
	return nil
}

// GrantLease creates a lease that ends when it is not renewed for ttl.
func (t *Table) GrantLease(now, ttl time.Duration) store.LeaseID {
	t.lastID++
	t.leases[t.lastID] = &lease{ttl: ttl, expires: now + ttl}
	return t.lastID
}

// RenewLease extends a lease to its ttl from now, or returns
// store.ErrLeaseNotFound.
func (t *Table) RenewLease(now time.Duration, id store.LeaseID) error {
	t.endExpired(now)
	l := t.leases[id]
	if l == nil {
		return store.ErrLeaseNotFound
	}
	l.expires = now + l.ttl
	return nil
}

// RevokeLease ends a lease and removes its entries, or returns
// store.ErrLeaseNotFound.
func (t *Table) RevokeLease(now time.Duration, id store.LeaseID) error {
	t.endExpired(now)
	if t.leases[id] == nil {
		return store.ErrLeaseNotFound
	}
	t.endLease(id)
	return nil
}

// NextExpiry returns the time at which the first lease expires, or false if
// there are no leases.
func (t *Table) NextExpiry() (time.Duration, bool) {
	var earliest time.Duration
	found := false
	for _, l := range t.leases {
		if !found || l.expires < earliest {
			earliest, found = l.expires, true
		}
	}
	return earliest, found
}

// current returns the revision of key, or zero if the key is absent.
func (t *Table) current(key string) store.Revision {
	r := t.records[key]
	if r == nil || !r.versions[len(r.versions)-1].present {
		return 0
	}
	return r.versions[len(r.versions)-1].entry.Revision
}

// put adds a version of key with the next revision and without a lease.
func (t *Table) put(key string, v version) {
	t.revision++
	v.entry.Revision = t.revision
	r := t.records[key]
	if r == nil {
		r = &record{}
		t.records[key] = r
	}
	r.lease = 0
	r.versions = append(r.versions, v)
	if len(r.versions) > historyLength {
		r.versions = r.versions[1:]
	}
}

// endExpired ends the leases that have expired by now.
func (t *Table) endExpired(now time.Duration) {
	for id, l := range t.leases {
		if now >= l.expires {
			t.endLease(id)
		}
	}
}

// endLease removes a lease and its entries.
func (t *Table) endLease(id store.LeaseID) {
	delete(t.leases, id)
	for key, r := range t.records {
		if r.lease == id {
			t.put(key, version{})
		}
	}
}
