// Package mirror replicates the items of the platform's store to each entry
// host. One host of a region watches the store and the others fetch changes from
// it. If that fails, a host tries the other hosts of its region and then one of
// each other region, at most three in one step, and the store. A host without a
// snapshot knows no other host and reads the store.
package mirror

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Item is a key of the store with its value, or a tombstone if Deleted is set.
// Revision is the store revision of its latest change.
type Item struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

// Batch is a set of changes of the store.
type Batch struct {
	// Revision is the store revision up to which the batch is complete, and Era its era;
	// see Position.
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era,omitempty"`
	// Full reports whether Items holds every mirrored item. Others that are not newer
	// than Revision were removed.
	Full  bool   `json:"full,omitempty"`
	Items []Item `json:"items,omitempty"`
	// Unchanged is set if Items omits removals: the fingerprint of the keys not in
	// Items, by which the receiver detects a missed removal.
	Unchanged *Fingerprint `json:"kept,omitempty"`
	// Direct reports whether the sender reads the store itself. Hosts fetch only from
	// such senders; otherwise two hosts could confirm each other's stale copies.
	Direct bool `json:"direct,omitempty"`
	// Age is how long ago the store confirmed the revision; in nanoseconds in JSON.
	Age time.Duration `json:"age"`
	// DeferRemovals is how long removals of leased items are still deferred after
	// an outage of the store; in nanoseconds in JSON.
	DeferRemovals time.Duration `json:"hold,omitempty"`
}

// Position returns the point in the store's history up to which the batch is complete.
func (b Batch) Position() Position { return Position{b.Era, b.Revision} }

// Fingerprint describes a set of keys.
type Fingerprint struct {
	Count int `json:"n"`
	// Sum is the sum of the xxHash64 values of the keys, modulo 2^64.
	Sum uint64 `json:"sum"`
}

func (f *Fingerprint) add(key string) {
	f.Count++
	f.Sum += xxhash.Sum64String(key)
}

// minHistoryLength is the number of changes that a full history retains at least,
// for hosts that lag behind.
const minHistoryLength = 2048

// Mirror is a copy of the store's items. It is a pure state machine: the caller
// passes monotonic times and serializes access.
type Mirror struct {
	// leasedPrefixes are the prefixes of keys that the store removes when the lease
	// of their writer ends. A lease also ends if its writer is alive but cannot reach
	// the store.
	leasedPrefixes []string
	notNewer       NotNewer // nil if no writer orders its items
	items          map[string]Item
	sorted         []Item // items by ascending key
	era, revision  uint64
	history        []change                  // in the order of arrival
	historyStart   uint64                    // revision after which the history is complete
	deferred       map[string]deferredChange // by key
	untaken        map[string]struct{}       // keys that changed since the last TakeChanges
	// removed holds the leased items that were removed recently in this era.
	removed map[string]removedItem
	// former holds, until formerUntil, the leased items of before the last restore that the
	// store has neither confirmed nor replaced since, the removed ones included.
	former      map[string]Item
	formerUntil time.Duration
}

// change is a change of an item. It has no value: that of a replaced item is of no use, and
// a large item that changes often would use up the memory.
type change struct {
	key      string
	revision uint64
}

// New returns an empty mirror. Items whose key has one of the prefixes are
// leased. notNewer compares leased items after a restore of the store; it may be nil.
func New(notNewer NotNewer, leasedPrefixes ...string) *Mirror {
	return &Mirror{
		leasedPrefixes: leasedPrefixes, notNewer: notNewer, items: map[string]Item{}, deferred: map[string]deferredChange{},
		untaken: map[string]struct{}{}, removed: map[string]removedItem{}, former: map[string]Item{},
	}
}

// Position returns the point in the store's history up to which the mirror is complete.
func (m *Mirror) Position() Position { return Position{m.era, m.revision} }

// TakeChanges returns the items that changed since the last call, sorted by key. Removed
// ones are tombstones.
func (m *Mirror) TakeChanges() []Item {
	changes := make([]Item, 0, len(m.untaken))
	for key := range m.untaken {
		i, present := m.items[key]
		if !present {
			i = Item{Key: key, Revision: m.revision, Deleted: true}
		}
		changes = append(changes, i)
	}
	clear(m.untaken)
	slices.SortFunc(changes, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return changes
}

func (m *Mirror) set(i Item) {
	m.untaken[i.Key] = struct{}{}
	m.replace(i)
}

// replace is set for an item that did not change for those who call TakeChanges.
func (m *Mirror) replace(i Item) {
	m.items[i.Key] = i
	at, known := m.find(i.Key)
	if known {
		m.sorted[at] = i
		return
	}
	m.sorted = slices.Insert(m.sorted, at, i)
}

func (m *Mirror) unset(key string) {
	delete(m.items, key)
	m.untaken[key] = struct{}{}
	if at, known := m.find(key); known {
		m.sorted = slices.Delete(m.sorted, at, at+1)
	}
}

// find returns the index of a key in sorted, or its insertion point and false.
func (m *Mirror) find(key string) (int, bool) {
	return slices.BinarySearchFunc(m.sorted, key, func(i Item, key string) int { return strings.Compare(i.Key, key) })
}

// Get returns the item of a key and reports whether there is one.
func (m *Mirror) Get(key string) (Item, bool) { i, ok := m.items[key]; return i, ok }

// Apply merges a batch into the mirror and reports whether an item changed. It ignores a
// batch of an earlier position, and changes that continue another era than the mirror's.
func (m *Mirror) Apply(now time.Duration, b Batch) bool {
	empty := m.revision == 0
	if b.Position().Before(m.Position()) || b.Era != m.era && !b.Full && !empty {
		return false
	}
	if b.Era != m.era && !empty {
		return m.restore(now, b)
	}
	m.era = b.Era
	changed := false
	if b.Full {
		changed = m.removeMissing(now, b)
	}
	for _, i := range b.Items {
		if m.applyItem(now, i, m.deferral(i.Key, b)) {
			changed = true
		}
	}
	if b.Full || b.Unchanged != nil {
		m.resetHistory(b)
	}
	m.revision = b.Revision
	return changed
}

// resetHistory restarts the history after a full batch or one that omits removals.
// It records the items newer than the batch, because Apply does not record them when
// the store reports them a second time.
func (m *Mirror) resetHistory(b Batch) {
	m.history, m.historyStart = nil, b.Revision
	for _, i := range b.Items {
		if i.Revision > b.Revision {
			m.appendHistory(i)
		}
	}
}

// removeMissing removes the items that a full batch lacks and reports whether an
// item changed.
func (m *Mirror) removeMissing(now time.Duration, b Batch) bool {
	present := make(map[string]bool, len(b.Items))
	for _, i := range b.Items {
		present[i.Key] = !i.Deleted
	}
	changed := false
	for key, i := range m.items {
		// An item may be newer than the batch: the pages of a full read are not a
		// snapshot.
		if !present[key] && i.Revision <= b.Revision && m.remove(now, Item{Key: key, Revision: b.Revision, Deleted: true}, m.deferral(key, b)) {
			changed = true
		}
	}
	for key, c := range m.deferred {
		if _, known := m.items[key]; !known && !present[key] && c.item.Revision <= b.Revision {
			delete(m.deferred, key) // an older value of a restored copy
		}
	}
	return changed
}

// applyItem merges a change and reports whether an item changed.
func (m *Mirror) applyItem(now time.Duration, i Item, deferral time.Duration) bool {
	old, present := m.items[i.Key]
	if present && old.Revision >= i.Revision {
		return false
	}
	if i.Deleted && !present {
		delete(m.deferred, i.Key)
		// The last full read may have come after the removal, but hosts that fetch from
		// this one may still hold the item.
		m.appendHistory(i)
		return false
	}
	if i.Deleted {
		return m.remove(now, i, deferral)
	}
	m.appendHistory(i)
	delete(m.removed, i.Key)
	return m.write(i)
}

// remove removes an item and returns true, or defers that if deferral is not 0. The earliest
// of several removals counts.
func (m *Mirror) remove(now time.Duration, i Item, deferral time.Duration) bool {
	m.appendHistory(i)
	if deferral > 0 {
		if c, deferred := m.deferred[i.Key]; !deferred || !c.item.Deleted {
			m.deferred[i.Key] = deferredChange{dueAt: now + deferral, item: i}
		}
		return false
	}
	m.drop(now, i.Key)
	return true
}

// drop removes an item and its deferred change, and remembers its value if it is leased.
func (m *Mirror) drop(now time.Duration, key string) {
	if m.notNewer != nil && m.isLeased(key) {
		m.removed[key] = removedItem{m.items[key], now}
	}
	m.unset(key)
	delete(m.deferred, key)
}

// deferral returns how long the removal of a key by a batch is deferred.
func (m *Mirror) deferral(key string, b Batch) time.Duration {
	if m.isLeased(key) {
		return b.DeferRemovals
	}
	return 0
}

func (m *Mirror) isLeased(key string) bool {
	for _, prefix := range m.leasedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// appendHistory records a change and trims the history to minHistoryLength.
func (m *Mirror) appendHistory(i Item) {
	m.history = append(m.history, change{i.Key, i.Revision})
	// Trimming at twice the length moves entries only once per minHistoryLength
	// changes.
	if len(m.history) >= 2*minHistoryLength {
		dropped := len(m.history) - minHistoryLength
		for _, old := range m.history[:dropped] {
			m.historyStart = max(m.historyStart, old.revision)
		}
		retained := copy(m.history, m.history[dropped:])
		clear(m.history[retained:])
		m.history = m.history[:retained]
	}
}

// CompleteWith reports whether the mirror is complete once b is applied, that is,
// whether its keys that b does not list match b.Unchanged, if set.
func (m *Mirror) CompleteWith(b Batch) bool {
	if b.Full || b.Era != m.era {
		return b.Full
	}
	if b.Unchanged == nil {
		return true
	}
	listed := make(map[string]bool, len(b.Items))
	for _, i := range b.Items {
		listed[i.Key] = true
	}
	unlisted := Fingerprint{}
	for i := range m.stored() {
		if !listed[i.Key] && i.Revision <= b.Revision {
			unlisted.add(i.Key)
		}
	}
	return unlisted == *b.Unchanged
}

// ApplyDeferred applies the deferred changes that are due at now and reports
// whether there were any.
func (m *Mirror) ApplyDeferred(now time.Duration) bool {
	m.expireFormer(now)
	changed := false
	for key, c := range m.deferred {
		if now < c.dueAt {
			continue
		}
		changed = true
		if c.item.Deleted {
			m.drop(now, key)
			continue
		}
		delete(m.deferred, key)
		m.set(c.item)
	}
	return changed
}

// Deferred returns the number of items whose change is deferred.
func (m *Mirror) Deferred() int { return len(m.deferred) }

// ChangesSince returns the changes after a position. For revision 0 and for an earlier era
// it returns a full batch, for a later era an empty one, which the receiver ignores. If the
// history does not reach back to the position, it returns the newer items and the
// fingerprint of the others.
func (m *Mirror) ChangesSince(position Position) Batch {
	b := Batch{Era: m.era, Revision: m.revision}
	if position.Era > m.era {
		return b
	}
	after := position.Revision
	if position.Era < m.era {
		after = 0
	}
	if after < m.historyStart || after == 0 {
		b.Full = after == 0
		unchanged := Fingerprint{}
		for i := range m.stored() {
			if b.Full || i.Revision > after {
				b.Items = append(b.Items, i)
			} else {
				unchanged.add(i.Key)
			}
		}
		if !b.Full {
			b.Unchanged = &unchanged
		}
		return b
	}
	// The latest position of each key: an item that changed several times is listed once.
	latest := map[string]int{}
	for n, c := range m.history {
		if c.revision > after {
			latest[c.key] = n
		}
	}
	for _, n := range slices.Sorted(maps.Values(latest)) {
		b.Items = append(b.Items, m.current(m.history[n]))
	}
	return b
}

// current returns the item that a change of the history led to in the store, or its
// tombstone.
func (m *Mirror) current(c change) Item {
	if d, deferred := m.deferred[c.key]; deferred {
		return d.item
	}
	if i, present := m.items[c.key]; present {
		return i
	}
	return Item{Key: c.key, Revision: c.revision, Deleted: true}
}
