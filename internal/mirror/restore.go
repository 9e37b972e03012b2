package mirror

import (
	"bytes"
	"time"
)

// restore replaces the items by a full batch of a later era and reports whether an item
// changed. The copy from which the store was restored is older than what the mirror knows,
// and writers write their items again: the removal of items that the batch lacks is
// deferred by b.DeferRemovals.
func (m *Mirror) restore(now time.Duration, b Batch) bool {
	m.era = b.Era
	clear(m.deferred)
	m.history = nil
	present := make(map[string]bool, len(b.Items))
	changed := false
	for _, i := range b.Items {
		if i.Deleted {
			continue
		}
		present[i.Key] = true
		if known, ok := m.items[i.Key]; ok && bytes.Equal(known.Value, i.Value) {
			m.replace(i)
			continue
		}
		m.set(i)
		changed = true
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
