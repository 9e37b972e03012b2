package mirror

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Items returns a copy of all items, sorted by key.
func (m *Mirror) Items() []Item { return append([]Item{}, m.sorted...) }

// put returns an item and del the tombstone of a key.
func put(key string, rev uint64) Item { return Item{Key: key, Value: []byte(key), Revision: rev} }
func del(key string, rev uint64) Item { return Item{Key: key, Revision: rev, Deleted: true} }

// keys returns the keys of a mirror's items in order.
func keys(m *Mirror) []string {
	list := []string{}
	for _, i := range m.Items() {
		list = append(list, i.Key)
	}
	return list
}

// TestDeferredRemovals guards against live servers that are dropped after an outage of
// the store because their leases ended meanwhile, and against ended servers that stay
// in use after the deferral.
func TestDeferredRemovals(t *testing.T) {
	const deferral = 2 * time.Second
	for _, c := range []struct {
		desc   string
		second Batch
		third  Batch
		at     time.Duration
		want   []string
	}{
		{"removal after an outage is deferred", Batch{Revision: 5, Items: []Item{del("servers/a", 5)}, DeferRemovals: deferral}, Batch{Revision: 5}, deferral - 1, []string{"op/x", "servers/a"}},
		{"removal applies after the deferral", Batch{Revision: 5, Items: []Item{del("servers/a", 5)}, DeferRemovals: deferral}, Batch{Revision: 5}, deferral, []string{"op/x"}},
		{"a server that registers again stays", Batch{Revision: 5, Items: []Item{del("servers/a", 5)}, DeferRemovals: deferral}, Batch{Revision: 6, Items: []Item{put("servers/a", 6)}}, deferral, []string{"op/x", "servers/a"}},
		{"without an outage the removal applies at once", Batch{Revision: 5, Items: []Item{del("servers/a", 5)}}, Batch{Revision: 5}, 0, []string{"op/x"}},
		{"removal of an operator's key is never deferred", Batch{Revision: 5, Items: []Item{del("op/x", 5)}, DeferRemovals: deferral}, Batch{Revision: 5}, 0, []string{"servers/a"}},
		{"missing from a full read after an outage", Batch{Revision: 5, Full: true, Items: []Item{put("op/x", 1)}, DeferRemovals: deferral}, Batch{Revision: 5}, deferral - 1, []string{"op/x", "servers/a"}},
		{"still missing after the deferral", Batch{Revision: 5, Full: true, Items: []Item{put("op/x", 1)}, DeferRemovals: deferral}, Batch{Revision: 5}, deferral, []string{"op/x"}},
		{"a later full read has it again", Batch{Revision: 5, Full: true, Items: []Item{put("op/x", 1)}, DeferRemovals: deferral}, Batch{Revision: 7, Full: true, Items: []Item{put("op/x", 1), put("servers/a", 6)}}, deferral, []string{"op/x", "servers/a"}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			m := New(nil, "servers/")
			m.Apply(0, Batch{Revision: 4, Full: true, Items: []Item{put("op/x", 1), put("servers/a", 2)}})
			m.Apply(0, c.second)
			m.Apply(0, c.third)
			m.ApplyDeferred(c.at)
			NewWithT(t).Expect(keys(m)).To(Equal(c.want))
		})
	}
}

// TestLaggingSourceRevertsNothing guards against a source that lags behind: neither
// a batch of an earlier revision nor an earlier item in a later batch may undo a
// change.
func TestLaggingSourceRevertsNothing(t *testing.T) {
	g := NewWithT(t)
	m := New(nil)
	m.Apply(0, Batch{Revision: 9, Full: true, Items: []Item{put("op/config", 9)}})
	g.Expect(m.Apply(0, Batch{Revision: 8, Full: true, Items: []Item{put("op/config", 3)}})).To(BeFalse())
	g.Expect(m.Apply(0, Batch{Revision: 10, Items: []Item{put("op/config", 3)}})).To(BeFalse())
	i, _ := m.Get("op/config")
	g.Expect(i.Revision).To(Equal(uint64(9)))
}

// TestFollowersConverge guards against a follower that misses changes: with random
// changes and fetches, the first one of an empty mirror, it must end with the items of
// its source.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		source, follower := New(nil), New(nil)
		rev := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			rev++
			key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
			item := put(key, rev)
			if rapid.Bool().Draw(t, "removal") {
				item = del(key, rev)
			}
			source.Apply(0, Batch{Revision: rev, Items: []Item{item}})
			if rapid.IntRange(0, 3).Draw(t, "fetch") == 0 {
				follower.Apply(0, source.ChangesSince(follower.Position()))
			}
		}
		follower.Apply(0, source.ChangesSince(follower.Position()))
		g.Expect(follower.Items()).To(Equal(source.Items()))
	})
}

// TestGapInHistory guards against a mirror that misses removals because its source
// has restarted from a full read and does not know them, and because pages of a full
// read hold items newer than its revision.
func TestGapInHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		store, source, follower := New(nil), New(nil), New(nil)
		fetch := func() {
			b := source.ChangesSince(follower.Position())
			if !follower.CompleteWith(b) {
				b = source.ChangesSince(Position{})
			}
			follower.Apply(0, b)
		}
		rev := uint64(0)
		change := func() {
			rev++
			item := put(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key")), rev)
			if rapid.Bool().Draw(t, "removal") {
				item = del(item.Key, rev)
			}
			store.Apply(0, Batch{Revision: rev, Items: []Item{item}})
		}
		// readAll makes a full read with one change between its pages.
		readAll := func(m *Mirror) {
			at := rev
			change()
			b := store.ChangesSince(Position{})
			b.Revision = at
			m.Apply(0, b)
		}
		change()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				source = New(nil)
				readAll(source)
			case 1:
				readAll(follower)
			case 2:
				source.Apply(0, store.ChangesSince(source.Position()))
			case 3:
				fetch()
			default:
				change()
			}
		}
		source.Apply(0, store.ChangesSince(source.Position()))
		fetch()
		g.Expect(follower.Items()).To(Equal(store.Items()))
	})
}

// TestStartFetchesItemsOnce guards against hosts that start together, read all
// items from the store and then fetch all of them again from the first reader,
// whose history starts a few revisions later.
func TestStartFetchesItemsOnce(t *testing.T) {
	g := NewWithT(t)
	const servers = 1000
	var list []Item
	for i := range servers {
		list = append(list, Item{Key: fmt.Sprint("servers/i-", i), Value: make([]byte, 250), Revision: uint64(i + 1)})
	}
	follower, reader := New(nil), New(nil)
	follower.Apply(0, Batch{Revision: servers, Full: true, Items: list})
	reader.Apply(0, Batch{Revision: servers + 1, Full: true, Items: append(list, put("hosts/a", servers+1))})
	b := reader.ChangesSince(follower.Position())
	g.Expect(b.Full).To(BeFalse())
	g.Expect(b.Items).To(HaveLen(1))
	g.Expect(follower.CompleteWith(b)).To(BeTrue())
	follower.Apply(0, b)
	g.Expect(follower.Items()).To(Equal(reader.Items()))
}

// TestFullHistoryIsCheap guards against a host that moves its whole history on each
// change once it is full: the registration of 3,000 servers then took a third of a
// second of processor time on every host.
func TestFullHistoryIsCheap(t *testing.T) {
	g := NewWithT(t)
	const changes, items = 4 * minHistoryLength, 500
	m := New(nil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for rev := uint64(1); rev <= changes; rev++ {
		m.Apply(0, Batch{Revision: rev, Items: []Item{put(fmt.Sprint("k", rev%items), rev)}})
	}
	runtime.ReadMemStats(&after)
	g.Expect((after.TotalAlloc-before.TotalAlloc)/changes).To(BeNumerically("<", 2<<10), "bytes a change")
	// The newest part is retained; hosts that lag further get a fingerprint.
	g.Expect(len(m.history)).To(And(BeNumerically(">=", minHistoryLength), BeNumerically("<=", 2*minHistoryLength)))
	g.Expect(m.ChangesSince(Position{Revision: changes - minHistoryLength}).Items).To(HaveLen(items), "each item once")
	g.Expect(m.ChangesSince(Position{Revision: changes - minHistoryLength}).Unchanged).To(BeNil())
	g.Expect(m.ChangesSince(Position{Revision: 1}).Unchanged).NotTo(BeNil())
}

// TestLargeItemChangesOften guards against a history of a configuration's versions that
// uses up a host's memory, and against answers that contain all of them, which exceed the
// bound of a message between hosts.
func TestLargeItemChangesOften(t *testing.T) {
	g := NewWithT(t)
	const versions, valueBytes = 100, 1 << 20
	m := New(nil)
	m.Apply(0, Batch{Revision: 1, Full: true})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for rev := uint64(2); rev < 2+versions; rev++ {
		m.Apply(0, Batch{Revision: rev, Items: []Item{{Key: "op/config", Value: make([]byte, valueBytes), Revision: rev}}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	g.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 4*valueBytes))
	b := m.ChangesSince(Position{Revision: 1})
	g.Expect(b.Unchanged).To(BeNil(), "the history is complete")
	g.Expect(b.Items).To(HaveLen(1))
	g.Expect(b.Items[0].Revision).To(Equal(m.Position().Revision))
}

// TestTakeChanges guards against receivers whose state differs from the mirror because a
// change or a removal, deferred or not, is missing from what they are told.
func TestTakeChanges(t *testing.T) {
	g := NewWithT(t)
	m := New(nil, "leased/")
	told := map[string]uint64{}
	take := func() {
		for _, i := range m.TakeChanges() {
			if told[i.Key] = i.Revision; i.Deleted {
				delete(told, i.Key)
			}
		}
		held := map[string]uint64{}
		for _, i := range m.Items() {
			held[i.Key] = i.Revision
		}
		g.Expect(told).To(Equal(held))
	}
	m.Apply(0, Batch{Revision: 3, Full: true, Items: []Item{put("a", 1), put("leased/b", 2), put("c", 3)}})
	take()
	m.Apply(0, Batch{Revision: 5, Items: []Item{put("a", 4), {Key: "c", Revision: 5, Deleted: true}}})
	take()
	m.Apply(0, Batch{Revision: 6, Items: []Item{put("c", 6)}, DeferRemovals: time.Second})
	m.Apply(0, Batch{Revision: 7, Items: []Item{{Key: "leased/b", Revision: 7, Deleted: true}}, DeferRemovals: time.Second})
	take()
	g.Expect(told).To(HaveKey("leased/b"))
	m.ApplyDeferred(2 * time.Second)
	take()
	g.Expect(told).NotTo(HaveKey("leased/b"))
	m.Apply(0, Batch{Revision: 9, Full: true, Items: []Item{put("d", 9)}})
	take()
	g.Expect(m.TakeChanges()).To(BeEmpty())
}
