package mirror

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func put(key string, rev uint64) Item { return Item{Key: key, Value: []byte(key), Revision: rev} }
func del(key string, rev uint64) Item { return Item{Key: key, Revision: rev, Deleted: true} }

func keys(m *Mirror) []string {
	list := []string{}
	for _, i := range m.Items() {
		list = append(list, i.Key)
	}
	return list
}

// TestLapsedItems guards against servers that are dropped because the store was
// away, and against servers that have gone and are still used.
func TestLapsedItems(t *testing.T) {
	const hold = 2 * time.Second
	for _, c := range []struct {
		desc   string
		second Batch
		third  Batch
		at     time.Duration
		want   []string
	}{
		{"removal after an outage is doubted", Batch{Revision: 5, Items: []Item{del("servers/a", 5)}, Hold: hold}, Batch{Revision: 5}, hold - 1, []string{"op/x", "servers/a"}},
		{"removal is believed after the hold", Batch{Revision: 5, Items: []Item{del("servers/a", 5)}, Hold: hold}, Batch{Revision: 5}, hold, []string{"op/x"}},
		{"a server that comes back stays", Batch{Revision: 5, Items: []Item{del("servers/a", 5)}, Hold: hold}, Batch{Revision: 6, Items: []Item{put("servers/a", 6)}}, hold, []string{"op/x", "servers/a"}},
		{"without an outage it is gone at once", Batch{Revision: 5, Items: []Item{del("servers/a", 5)}}, Batch{Revision: 5}, 0, []string{"op/x"}},
		{"the operator's keys are never doubted", Batch{Revision: 5, Items: []Item{del("op/x", 5)}, Hold: hold}, Batch{Revision: 5}, 0, []string{"servers/a"}},
		{"missing from a full read after an outage", Batch{Revision: 5, Full: true, Items: []Item{put("op/x", 1)}, Hold: hold}, Batch{Revision: 5}, hold - 1, []string{"op/x", "servers/a"}},
		{"still missing after the hold", Batch{Revision: 5, Full: true, Items: []Item{put("op/x", 1)}, Hold: hold}, Batch{Revision: 5}, hold, []string{"op/x"}},
		{"a full read brings it back", Batch{Revision: 5, Full: true, Items: []Item{put("op/x", 1)}, Hold: hold}, Batch{Revision: 7, Full: true, Items: []Item{put("op/x", 1), put("servers/a", 6)}}, hold, []string{"op/x", "servers/a"}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			m := New("servers/")
			m.Apply(0, Batch{Revision: 4, Full: true, Items: []Item{put("op/x", 1), put("servers/a", 2)}})
			m.Apply(0, c.second)
			m.Apply(0, c.third)
			m.Expire(c.at)
			NewWithT(t).Expect(keys(m)).To(Equal(c.want))
		})
	}
}

// TestNeverBack guards against a source that lags: neither a batch of an earlier
// revision nor an earlier item of a later batch may undo a change.
func TestNeverBack(t *testing.T) {
	g := NewWithT(t)
	m := New()
	m.Apply(0, Batch{Revision: 9, Full: true, Items: []Item{put("op/config", 9)}})
	g.Expect(m.Apply(0, Batch{Revision: 8, Full: true, Items: []Item{put("op/config", 3)}})).To(BeFalse())
	g.Expect(m.Apply(0, Batch{Revision: 10, Items: []Item{put("op/config", 3)}})).To(BeFalse())
	i, _ := m.Get("op/config")
	g.Expect(i.Revision).To(Equal(uint64(9)))
}

// TestFollowers checks with random histories that a mirror which fetches changes
// from another one at random moments, also from before its history, ends with
// the same items.
func TestFollowers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		source, follower := New(), New()
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
				follower.Apply(0, source.Since(follower.Revision()))
			}
		}
		follower.Apply(0, source.Since(follower.Revision()))
		g.Expect(follower.Items()).To(Equal(source.Items()))
	})
}

// TestGapInHistory checks with random histories that a mirror ends with the items
// of the store when its source has read everything anew in between, so that it
// cannot name the removals, and when pages of a full read hold items that are
// newer than its revision.
func TestGapInHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		store, source, follower := New(), New(), New()
		fetch := func() {
			b := source.Since(follower.Revision())
			if !follower.Complete(b) {
				b = source.Since(0)
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
		// readAll reads all items; one change happens between its pages.
		readAll := func(m *Mirror) {
			at := rev
			change()
			b := store.Since(0)
			b.Revision = at
			m.Apply(0, b)
		}
		change()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				source = New()
				readAll(source)
			case 1:
				readAll(follower)
			case 2:
				source.Apply(0, store.Since(source.Revision()))
			case 3:
				fetch()
			default:
				change()
			}
		}
		source.Apply(0, store.Since(source.Revision()))
		fetch()
		g.Expect(follower.Items()).To(Equal(store.Items()))
	})
}

// TestStartCopiesOnce guards against hosts that start together, read all items
// from the store and then get all of them once more from the first reader, whose
// history begins a few revisions later.
func TestStartCopiesOnce(t *testing.T) {
	g := NewWithT(t)
	const servers = 1000
	var list []Item
	for i := range servers {
		list = append(list, Item{Key: fmt.Sprint("servers/i-", i), Value: make([]byte, 250), Revision: uint64(i + 1)})
	}
	follower, reader := New(), New()
	follower.Apply(0, Batch{Revision: servers, Full: true, Items: list})
	reader.Apply(0, Batch{Revision: servers + 1, Full: true, Items: append(list, put("hosts/a", servers+1))})
	b := reader.Since(follower.Revision())
	g.Expect(b.Full).To(BeFalse())
	g.Expect(b.Items).To(HaveLen(1))
	g.Expect(follower.Complete(b)).To(BeTrue())
	follower.Apply(0, b)
	g.Expect(follower.Items()).To(Equal(reader.Items()))
}

// TestHistoryCostsLittle guards against a host that moves its whole history with
// each change once that is full: 3,000 servers that registered took a third of a
// second of processor time on every host.
func TestHistoryCostsLittle(t *testing.T) {
	g := NewWithT(t)
	const changes = 4 * historyLength
	m := New()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for rev := uint64(1); rev <= changes; rev++ {
		m.Apply(0, Batch{Revision: rev, Items: []Item{put(fmt.Sprint("k", rev%500), rev)}})
	}
	runtime.ReadMemStats(&after)
	g.Expect((after.TotalAlloc-before.TotalAlloc)/changes).To(BeNumerically("<", 2<<10), "bytes a change")
	// What is kept is the newest part, and hosts that lag further are told so.
	g.Expect(m.Since(changes - historyLength).Items).To(HaveLen(historyLength))
	g.Expect(m.Since(changes - historyLength).Kept).To(BeNil())
	g.Expect(m.Since(1).Kept).NotTo(BeNil())
}
