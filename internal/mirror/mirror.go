// Package mirror keeps a copy of the items of the platform's store on each
// entry host. One host of a region watches the store; the others fetch changes
// from it, and any host turns to the store when no such host has fresh news.
package mirror

import (
	"sort"
	"strings"
	"time"
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
	// Direct tells that the batch comes from a host that reads the store itself.
	// Hosts follow only such hosts, so that none confirms its own news.
	Direct bool `json:"direct,omitempty"`
	// Age is how long ago the store confirmed the revision.
	Age time.Duration `json:"age"`
	// Hold is how long removals of leased items are still doubted because the
	// store was away.
	Hold time.Duration `json:"hold,omitempty"`
}

// historyLength is the number of changes that are kept for hosts that lag.
const historyLength = 2048

// Mirror is the copy. It is a pure state machine: times are monotonic, and the
// caller serializes access.
type Mirror struct {
	// Leased are the prefixes of keys that are removed when their writer cannot
	// reach the store.
	leased   []string
	items    map[string]Item
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
func (m *Mirror) Items() []Item {
	list := make([]Item, 0, len(m.items))
	for _, i := range m.items {
		list = append(list, i)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	return list
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
	if b.Full {
		// The history has a gap before a full batch.
		m.history, m.since = nil, b.Revision
	}
	m.revision = b.Revision
	return changed
}

func (m *Mirror) removeMissing(now time.Duration, b Batch) bool {
	present := make(map[string]bool, len(b.Items))
	for _, i := range b.Items {
		present[i.Key] = !i.Deleted
	}
	changed := false
	for key := range m.items {
		if !present[key] && m.remove(now, Item{Key: key, Revision: b.Revision, Deleted: true}, b.Hold) {
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
	if i.Deleted {
		return ok && m.remove(now, i, hold)
	}
	delete(m.held, i.Key)
	m.items[i.Key] = i
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
	delete(m.items, i.Key)
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
	if len(m.history) > historyLength {
		dropped := len(m.history) - historyLength
		for _, old := range m.history[:dropped] {
			m.since = max(m.since, old.Revision)
		}
		m.history = append([]Item(nil), m.history[dropped:]...)
	}
}

// Expire removes held items whose time is over and tells whether there were any.
func (m *Mirror) Expire(now time.Duration) bool {
	changed := false
	for key, h := range m.held {
		if now >= h.until {
			delete(m.items, key)
			delete(m.held, key)
			changed = true
		}
	}
	return changed
}

// Held returns the number of items whose removal is doubted.
func (m *Mirror) Held() int { return len(m.held) }

// Since returns what changed after a revision.
func (m *Mirror) Since(after uint64) Batch {
	b := Batch{Revision: m.revision}
	if after < m.since || after == 0 {
		b.Full = true
		for _, i := range m.Items() {
			if _, gone := m.held[i.Key]; !gone {
				b.Items = append(b.Items, i)
			}
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
