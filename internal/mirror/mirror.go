// Package mirror keeps a copy of the items of the platform's store on each
// entry host. One host of a region watches the store; the others fetch changes
// from it, and any host turns to the store when no such host has fresh news.
package mirror

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Item is a key of the store with its value, or the note that it was removed.
type Item struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

// Batch is a set of changes.
type Batch struct {
	// Revision is the revision of the store up to which the batch is complete.
	Revision uint64 `json:"revision"`
	// Full tells that Items holds every item, so that others were removed.
	Full  bool   `json:"full,omitempty"`
	Items []Item `json:"items,omitempty"`
	// Kept is set if Items holds no removals: it describes the other items, so
	// that the receiver can tell whether one of its own was removed.
	Kept *Fingerprint `json:"kept,omitempty"`
	// Direct tells that the batch comes from a host that reads the store itself.
	// Hosts follow only such hosts, so that none confirms its own news.
	Direct bool `json:"direct,omitempty"`
	// Age is how long ago the store confirmed the revision.
	Age time.Duration `json:"age"`
	// Hold is how long removals of leased items are still doubted because the
	// store was away.
	Hold time.Duration `json:"hold,omitempty"`
}

// Fingerprint describes a set of keys.
type Fingerprint struct {
	Count int `json:"n"`
	// Sum is the sum of the hashes of the keys.
	Sum uint64 `json:"sum"`
}

func (f *Fingerprint) add(key string) {
	f.Count++
	f.Sum += xxhash.Sum64String(key)
}

// historyLength is the number of changes that are kept at least for hosts that
// lag.
const historyLength = 2048

// Mirror is the copy. It is a pure state machine: times are monotonic, and the
// caller serializes access.
type Mirror struct {
	// Leased are the prefixes of keys that are removed when their writer cannot
	// reach the store.
	leased   []string
	items    map[string]Item
	sorted   []Item // the items in the order of their keys
	revision uint64
	history  []Item // in the order of arrival
	since    uint64 // revision after which the history is complete
	held     map[string]heldItem
}

type heldItem struct {
	until   time.Duration
	removed Item
}

// New returns an empty mirror. Keys with one of the prefixes are leased.
func New(leased ...string) *Mirror {
	return &Mirror{leased: leased, items: map[string]Item{}, held: map[string]heldItem{}}
}

// Revision returns the revision of the store that the mirror contains.
func (m *Mirror) Revision() uint64 { return m.revision }

// Items returns all present items in the order of their keys.
func (m *Mirror) Items() []Item { return append([]Item{}, m.sorted...) }

// set makes an item present.
func (m *Mirror) set(i Item) {
	m.items[i.Key] = i
	at, known := m.find(i.Key)
	if known {
		m.sorted[at] = i
		return
	}
	m.sorted = slices.Insert(m.sorted, at, i)
}

// unset makes an item absent.
func (m *Mirror) unset(key string) {
	delete(m.items, key)
	if at, known := m.find(key); known {
		m.sorted = slices.Delete(m.sorted, at, at+1)
	}
}

func (m *Mirror) find(key string) (int, bool) {
	return slices.BinarySearchFunc(m.sorted, key, func(i Item, key string) int { return strings.Compare(i.Key, key) })
}

// Get returns the item of a key.
func (m *Mirror) Get(key string) (Item, bool) { i, ok := m.items[key]; return i, ok }

// Apply takes over a batch and tells whether an item changed. A batch of an
// earlier revision is ignored.
func (m *Mirror) Apply(now time.Duration, b Batch) bool {
	if b.Revision < m.revision {
		return false
	}
	changed := false
	if b.Full {
		changed = m.removeMissing(now, b)
	}
	for _, i := range b.Items {
		if m.applyItem(now, i, b.Hold) {
			changed = true
		}
	}
	if b.Full || b.Kept != nil {
		m.restartHistory(b)
	}
	m.revision = b.Revision
	return changed
}

// restartHistory begins the history anew after a batch that names no removals.
// Items that are newer than the batch belong to it: when the store reports them
// again they are known already.
func (m *Mirror) restartHistory(b Batch) {
	m.history, m.since = nil, b.Revision
	for _, i := range b.Items {
		if i.Revision > b.Revision {
			m.remember(i)
		}
	}
}

func (m *Mirror) removeMissing(now time.Duration, b Batch) bool {
	present := make(map[string]bool, len(b.Items))
	for _, i := range b.Items {
		present[i.Key] = !i.Deleted
	}
	changed := false
	for key, i := range m.items {
		// Pages of a full read are not a snapshot: an item may be newer than the batch.
		if !present[key] && i.Revision <= b.Revision && m.remove(now, Item{Key: key, Revision: b.Revision, Deleted: true}, b.Hold) {
			changed = true
		}
	}
	return changed
}

func (m *Mirror) applyItem(now time.Duration, i Item, hold time.Duration) bool {
	old, ok := m.items[i.Key]
	if ok && old.Revision >= i.Revision {
		return false
	}
	if i.Deleted && !ok {
		// A full read may have come after the removal; hosts that fetch from this
		// one have the item still.
		m.remember(i)
		return false
	}
	if i.Deleted {
		return m.remove(now, i, hold)
	}
	delete(m.held, i.Key)
	m.set(i)
	m.remember(i)
	return true
}

// remove removes an item, or notes its removal until the hold is over.
func (m *Mirror) remove(now time.Duration, i Item, hold time.Duration) bool {
	if hold > 0 && m.isLeased(i.Key) {
		if _, known := m.held[i.Key]; !known {
			m.held[i.Key] = heldItem{until: now + hold, removed: i}
		}
		m.remember(i)
		return false
	}
	m.unset(i.Key)
	delete(m.held, i.Key)
	m.remember(i)
	return true
}

func (m *Mirror) isLeased(key string) bool {
	for _, prefix := range m.leased {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (m *Mirror) remember(i Item) {
	m.history = append(m.history, i)
	// The rest is moved once in historyLength changes.
	if len(m.history) >= 2*historyLength {
		dropped := len(m.history) - historyLength
		for _, old := range m.history[:dropped] {
			m.since = max(m.since, old.Revision)
		}
		kept := copy(m.history, m.history[dropped:])
		clear(m.history[kept:])
		m.history = m.history[:kept]
	}
}

// Complete tells whether a batch makes the mirror complete. It does not if the
// batch names no removals and an item of the mirror is missing from it.
func (m *Mirror) Complete(b Batch) bool {
	if b.Kept == nil {
		return true
	}
	listed := make(map[string]bool, len(b.Items))
	for _, i := range b.Items {
		listed[i.Key] = true
	}
	own := Fingerprint{}
	for key, i := range m.items {
		if _, gone := m.held[key]; !gone && !listed[key] && i.Revision <= b.Revision {
			own.add(key)
		}
	}
	return own == *b.Kept
}

// Expire removes held items whose time is over and tells whether there were any.
func (m *Mirror) Expire(now time.Duration) bool {
	changed := false
	for key, h := range m.held {
		if now >= h.until {
			m.unset(key)
			delete(m.held, key)
			changed = true
		}
	}
	return changed
}

// Held returns the number of items whose removal is doubted.
func (m *Mirror) Held() int { return len(m.held) }

// Since returns what changed after a revision: all items for revision 0, the
// items that are newer with a fingerprint of the others if the history does not
// reach back to the revision.
func (m *Mirror) Since(after uint64) Batch {
	b := Batch{Revision: m.revision}
	if after < m.since || after == 0 {
		b.Full = after == 0
		kept := Fingerprint{}
		for _, i := range m.sorted {
			if _, gone := m.held[i.Key]; gone {
				continue
			}
			if b.Full || i.Revision > after {
				b.Items = append(b.Items, i)
			} else {
				kept.add(i.Key)
			}
		}
		if !b.Full {
			b.Kept = &kept
		}
		return b
	}
	for _, i := range m.history {
		if i.Revision > after {
			b.Items = append(b.Items, i)
		}
	}
	return b
}
