package mirror

import (
	"fmt"
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
