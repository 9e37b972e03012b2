package mirror

import (
	"bytes"
	"iter"
	"time"
)

const (
	// formerItemTime is how long after a restore of the store the mirror prefers what it
	// knew to older values of the restored copy. Within it, writers that still exist have
	// written their items again, and the store has removed those of the others.
	formerItemTime = 15 * time.Second
	// removalMemory is how long the values of removed leased items are remembered. A
	// restore may bring back an item that was removed since the copy was made.
	removalMemory = time.Minute
)

// NotNewer reports whether an item says no more than known does: both have the same
// key, and their common writer wrote item before known, or they are the same.
type NotNewer func(item, known Item) bool

// deferredChange is a change of the store that the mirror applies later: a removal, or an
// older value after a restore.
type deferredChange struct {
	dueAt time.Duration
	item  Item
}

// removedItem is the last value of an item that was removed.
type removedItem struct {
	item      Item
	removedAt time.Duration
}

// restore replaces the items by a full batch of a later era and reports whether an item
// changed. The copy from which the store was restored is older than what the mirror knows,
// and writers write their items again. Until then the mirror keeps items that the batch
// lacks, for b.DeferRemovals, and those whose values in the batch are not newer.
func (m *Mirror) restore(now time.Duration, b Batch) bool {
	m.rememberFormer(now)
	m.era = b.Era
	clear(m.deferred)
	clear(m.removed)
	m.history = nil
	present := make(map[string]bool, len(b.Items))
	changed := false
	for _, i := range b.Items {
		if i.Deleted {
			continue
		}
		present[i.Key] = true
		if known, ok := m.items[i.Key]; ok && bytes.Equal(known.Value, i.Value) {
			m.confirm(i)
		} else if m.write(i) {
			changed = true
		}
	}
	for key, i := range m.items {
		if present[key] {
			continue
		}
		// Any write of the new era replaces the item.
		i.Revision = 0
		m.replace(i)
		if m.remove(now, Item{Key: key, Revision: b.Revision, Deleted: true}, b.DeferRemovals) {
			changed = true
		}
	}
	m.resetHistory(b)
	m.revision = b.Revision
	return changed
}

// rememberFormer makes the known items, and those that were removed recently, former ones.
func (m *Mirror) rememberFormer(now time.Duration) {
	if now >= m.formerUntil {
		clear(m.former)
	}
	for key, r := range m.removed {
		if now < r.removedAt+removalMemory {
			m.former[key] = r.item
		}
	}
	for key, i := range m.items {
		if m.notNewer != nil && m.isLeased(key) {
			m.former[key] = i
		}
	}
	m.formerUntil = now + formerItemTime
}

// write sets an item to a value of the store and reports whether it changed. It defers a
// value that is not newer than the former one.
func (m *Mirror) write(i Item) bool {
	known, present := m.items[i.Key]
	former, ok := m.former[i.Key]
	switch {
	case ok && present && bytes.Equal(known.Value, i.Value):
		m.confirm(i)
		return false
	case ok && m.notNewer(i, former):
		m.deferred[i.Key] = deferredChange{dueAt: m.formerUntil, item: i}
		if present {
			// A later write of the same era must not look older than the item that stays.
			known.Revision = i.Revision
			m.replace(known)
		}
		return false
	}
	delete(m.former, i.Key)
	delete(m.deferred, i.Key)
	m.set(i)
	return true
}

// confirm sets an item to the value that it has already, at another revision.
func (m *Mirror) confirm(i Item) {
	delete(m.former, i.Key)
	delete(m.deferred, i.Key)
	m.replace(i)
}

// expireFormer forgets former and removed items whose time is over.
func (m *Mirror) expireFormer(now time.Duration) {
	if now >= m.formerUntil {
		clear(m.former)
	}
	for key, r := range m.removed {
		if now >= r.removedAt+removalMemory {
			delete(m.removed, key)
		}
	}
}

// stored yields the items as the store has them, regardless of deferred changes.
func (m *Mirror) stored() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for _, i := range m.sorted {
			if c, deferred := m.deferred[i.Key]; deferred {
				i = c.item
			}
			if !i.Deleted && !yield(i) {
				return
			}
		}
		for key, c := range m.deferred {
			if _, present := m.items[key]; !present && !c.item.Deleted && !yield(c.item) {
				return
			}
		}
	}
}
