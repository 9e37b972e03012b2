package mirror

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// valued returns an item with a value.
func valued(key, value string, rev uint64) Item {
	return Item{Key: key, Value: []byte(value), Revision: rev}
}

// byNumber is a NotNewer for leased items whose values begin with a number.
func byNumber(item, known Item) bool {
	number := func(i Item) int {
		text, _, _ := strings.Cut(string(i.Value), " ")
		n, _ := strconv.Atoi(text)
		return n
	}
	return number(item) <= number(known)
}

// values returns the values of a mirror's items by key.
func values(m *Mirror) map[string]string {
	list := map[string]string{}
	for _, i := range m.Items() {
		list[i.Key] = string(i.Value)
	}
	return list
}

// TestRestoredStore guards against a mirror that ignores a store which was restored from an
// older copy, as its revisions are lower than those that the mirror knows, and against one
// that mixes revisions of two eras.
func TestRestoredStore(t *testing.T) {
	before := Batch{Era: 1, Revision: 90, Full: true, Items: []Item{valued("op/config", "8", 80), valued("op/same", "x", 20)}}
	restored := Batch{Era: 2, Revision: 40, Full: true, Items: []Item{valued("op/config", "9", 40), valued("op/same", "x", 20)}}
	for _, c := range []struct {
		desc    string
		batches []Batch
		want    map[string]string
		at      Position
	}{
		{"a full batch of the later era replaces the items", []Batch{restored}, map[string]string{"op/config": "9", "op/same": "x"}, Position{2, 40}},
		{"changes of the later era without what is before them", []Batch{{Era: 2, Revision: 99, Items: []Item{valued("op/config", "10", 99)}}},
			map[string]string{"op/config": "8", "op/same": "x"}, Position{1, 90}},
		{"a source that still has the earlier era", []Batch{restored, {Era: 1, Revision: 95, Items: []Item{valued("op/config", "7", 95)}}},
			map[string]string{"op/config": "9", "op/same": "x"}, Position{2, 40}},
		{"changes after the restore below the revisions of before", []Batch{restored, {Era: 2, Revision: 42, Items: []Item{valued("op/config", "10", 41), valued("op/same", "y", 42)}}},
			map[string]string{"op/config": "10", "op/same": "y"}, Position{2, 42}},
		{"two restores in a row", []Batch{restored, {Era: 4, Revision: 30, Full: true, Items: []Item{valued("op/config", "11", 30)}}},
			map[string]string{"op/config": "11"}, Position{4, 30}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			m := New(byNumber, "servers/")
			m.Apply(0, before)
			for _, b := range c.batches {
				m.Apply(0, b)
			}
			g.Expect(values(m)).To(Equal(c.want))
			g.Expect(m.Position()).To(Equal(c.at))
		})
	}
}

// TestUnchangedByRestore guards against a host that decodes all entries and the whole
// configuration again after a restore, and so takes servers for cold that no longer are.
func TestUnchangedByRestore(t *testing.T) {
	g := NewWithT(t)
	m := New(byNumber, "servers/")
	m.Apply(0, Batch{Era: 1, Revision: 90, Full: true, Items: []Item{valued("op/config", "8", 80), valued("servers/a", "3", 90), valued("servers/b", "1", 7)}})
	m.TakeChanges()
	changed := m.Apply(0, Batch{Era: 2, Revision: 40, Full: true, Items: []Item{valued("op/config", "8", 30), valued("servers/a", "3", 33), valued("servers/b", "2", 40)}})
	g.Expect(changed).To(BeTrue())
	g.Expect(m.TakeChanges()).To(Equal([]Item{valued("servers/b", "2", 40)}))
}

// TestRestoreKeepsItems guards against a fleet that drops servers, other hosts and
// evacuations which the restored copy lacks although their writers are about to write them
// again, and against one that keeps them for good.
func TestRestoreKeepsItems(t *testing.T) {
	const deferral = 2 * time.Second
	known := map[string]string{"op/evacuate/a": "{}", "servers/a": "1", "servers/b": "1"}
	restored := Batch{Era: 2, Revision: 5, Full: true, Items: []Item{valued("servers/b", "1", 3)}, DeferRemovals: deferral}
	for _, c := range []struct {
		desc    string
		next    Batch
		at      time.Duration
		want    map[string]string
		settled bool
	}{
		{"until the deferral is over", Batch{Era: 2, Revision: 5}, deferral - 1, known, false},
		{"not longer", Batch{Era: 2, Revision: 5}, deferral, map[string]string{"servers/b": "1"}, false},
		{"written again", Batch{Era: 2, Revision: 7, Items: []Item{valued("op/evacuate/a", "{}", 6), valued("servers/a", "2", 7)}}, deferral,
			map[string]string{"op/evacuate/a": "{}", "servers/a": "2", "servers/b": "1"}, false},
		{"removed after the restore", Batch{Era: 2, Revision: 7, Items: []Item{del("op/evacuate/a", 7)}}, 0, map[string]string{"servers/a": "1", "servers/b": "1"}, false},
		{"a second restore that has them", Batch{Era: 3, Revision: 4, Full: true, Items: []Item{valued("op/evacuate/a", "{}", 2), valued("servers/a", "1", 3), valued("servers/b", "1", 3)}}, deferral, known, false},
		{"a source whose deferral is over", Batch{Era: 2, Revision: 5}, 0, map[string]string{"servers/b": "1"}, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			m := New(byNumber, "servers/")
			m.Apply(0, Batch{Era: 1, Revision: 9, Full: true, Items: []Item{valued("op/evacuate/a", "{}", 9), valued("servers/a", "1", 8), valued("servers/b", "1", 3)}})
			b := restored
			if c.settled {
				b.DeferRemovals = 0
			}
			m.Apply(0, b)
			m.Apply(0, c.next)
			m.ApplyDeferred(c.at)
			NewWithT(t).Expect(values(m)).To(Equal(c.want))
		})
	}
}

// TestOlderValuesOfRestore guards against requests to servers that are leaving or gone,
// because a restored store shows them as they were before.
func TestOlderValuesOfRestore(t *testing.T) {
	known := map[string]string{"servers/gone": "3 ready", "servers/leaving": "3 ready"}
	left := map[string]string{"servers/leaving": "4 draining"}
	restored := []Item{valued("servers/gone", "3 ready", 3), valued("servers/leaving", "3 ready", 3)}
	for _, c := range []struct {
		desc  string
		after []Batch // after the restore
		at    time.Duration
		want  map[string]string
	}{
		{"older values do not count", nil, formerItemTime - 1, left},
		{"values that nobody replaces count in the end", nil, formerItemTime, known},
		{"newer values count at once", []Batch{{Era: 2, Revision: 6, Items: []Item{valued("servers/gone", "5 ready", 5), valued("servers/leaving", "5 draining", 6)}}}, 0,
			map[string]string{"servers/gone": "5 ready", "servers/leaving": "5 draining"}},
		{"all lost values are written again in their order", []Batch{
			{Era: 2, Revision: 6, Items: []Item{valued("servers/leaving", "3 ready", 6)}}, {Era: 2, Revision: 7, Items: []Item{valued("servers/leaving", "4 draining", 7), del("servers/gone", 7)}},
		}, formerItemTime, left},
		{"the store removes what is not written again", []Batch{{Era: 2, Revision: 7, Items: []Item{del("servers/gone", 6), del("servers/leaving", 7)}}}, formerItemTime, map[string]string{}},
		{"a full read after the store has removed them", []Batch{{Era: 2, Revision: 7, Full: true}}, formerItemTime, map[string]string{}},
		{"a value that is written again after the restore", []Batch{{Era: 2, Revision: 6, Items: []Item{del("servers/gone", 5)}}, {Era: 2, Revision: 7, Items: []Item{valued("servers/gone", "3 ready", 7)}}}, formerItemTime - 1, left},
		{"a second restore", []Batch{{Era: 3, Revision: 4, Full: true, Items: restored}}, formerItemTime - 1, left},
	} {
		t.Run(c.desc, func(t *testing.T) {
			m := New(byNumber, "servers/")
			m.Apply(0, Batch{Era: 1, Revision: 5, Full: true, Items: restored})
			m.Apply(0, Batch{Era: 1, Revision: 20, Items: []Item{valued("servers/leaving", "4 draining", 19), del("servers/gone", 20)}})
			m.Apply(0, Batch{Era: 2, Revision: 4, Full: true, Items: restored, DeferRemovals: time.Second})
			for _, b := range c.after {
				m.Apply(0, b)
			}
			m.ApplyDeferred(c.at)
			NewWithT(t).Expect(values(m)).To(Equal(c.want))
		})
	}
}

// TestFollowersConvergeOverRestores guards against hosts that differ from the store for good
// after restores, whichever of them reads the store, follows a host of another era or is cut
// off, and against receivers that are not told of all changes.
func TestFollowersConvergeOverRestores(t *testing.T) {
	type state struct {
		rev   uint64
		items map[string]Item
	}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		clone := func(s state) state {
			c := state{s.rev, map[string]Item{}}
			for k, i := range s.items {
				c.items[k] = i
			}
			return c
		}
		store, era, number := state{1, map[string]Item{}}, uint64(0), 0
		copies := []state{clone(store)}
		var history []Item // of the era
		now := time.Duration(0)
		hosts := []*Mirror{New(byNumber, "leased/"), New(byNumber, "leased/"), New(byNumber, "leased/")}
		told := []map[string]string{{}, {}, {}}
		take := func(n int) {
			for _, i := range hosts[n].TakeChanges() {
				if told[n][i.Key] = string(i.Value); i.Deleted {
					delete(told[n], i.Key)
				}
			}
			g.Expect(told[n]).To(Equal(values(hosts[n])))
		}
		read := func(n int) {
			m, b := hosts[n], Batch{Era: era, Revision: store.rev}
			if at := m.Position(); at.Era == era && at.Revision > 0 {
				for _, i := range history {
					if i.Revision > at.Revision {
						b.Items = append(b.Items, i)
					}
				}
			} else {
				b.Full, b.DeferRemovals = true, time.Second
				for _, i := range store.items {
					b.Items = append(b.Items, i)
				}
			}
			m.Apply(now, b)
			take(n)
		}
		follow := func(n, source int) {
			if hosts[source].Position().Era < hosts[n].Position().Era {
				return // rejected by the syncer
			}
			b := hosts[source].ChangesSince(hosts[n].Position())
			if !hosts[n].CompleteWith(b) {
				b = hosts[source].ChangesSince(Position{})
			}
			hosts[n].Apply(now, b)
			take(n)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				copies = append(copies, clone(store))
			case 1:
				store = clone(rapid.SampledFrom(copies).Draw(t, "copy"))
				copies = []state{clone(store)}
				era++
				history = nil
			case 2:
				now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
				hosts[n].ApplyDeferred(now)
				take(n)
			case 3:
				read(n)
			case 4:
				follow(n, rapid.IntRange(0, len(hosts)-1).Draw(t, "source"))
			case 5:
				hosts[n], told[n] = New(byNumber, "leased/"), map[string]string{}
			default:
				store.rev++
				number++
				key := fmt.Sprint(rapid.SampledFrom([]string{"op/", "leased/"}).Draw(t, "prefix"), rapid.IntRange(0, 3).Draw(t, "key"))
				i := valued(key, fmt.Sprint(number), store.rev)
				if store.items[key] = i; rapid.IntRange(0, 2).Draw(t, "removal") == 0 {
					delete(store.items, key)
					i = del(key, store.rev)
				}
				history = append(history, i)
			}
		}
		read(0)
		for n := 1; n < len(hosts); n++ {
			follow(n, 0)
		}
		now += formerItemTime
		want := map[string]string{}
		for k, i := range store.items {
			want[k] = string(i.Value)
		}
		for n, m := range hosts {
			m.ApplyDeferred(now)
			take(n)
			g.Expect(values(m)).To(Equal(want), "host %d", n)
		}
	})
}

// TestSourceOfEarlierEra guards against a host that returns to the state of before a restore,
// or believes its copy confirmed, because it follows a host that has not seen the restore.
func TestSourceOfEarlierEra(t *testing.T) {
	g := NewWithT(t)
	n := network{}
	ctx := context.Background()
	behind := newHost(n, "behind", &scriptedStore{batch: Batch{Era: 1, Revision: 90, Full: true, Items: []Item{valued("op/config", "8", 90)}}}, "behind")
	behind.step(ctx)
	ahead := &scriptedStore{batch: Batch{Era: 2, Revision: 40, Full: true, Items: []Item{valued("op/config", "9", 40)}}}
	s := newHost(n, "host", ahead, "host")
	s.step(ctx)
	confirmed := s.confirmed
	s.Sources = func() []Source { return []Source{{Name: "behind", Address: "behind"}} }
	ahead.err = errUnavailable
	s.step(ctx)
	g.Expect(values(s.mirror)).To(Equal(map[string]string{"op/config": "9"}))
	g.Expect(s.confirmed).To(Equal(confirmed))
	g.Expect(s.suspects).To(HaveKey("behind"))

	behind.Sources = func() []Source { return []Source{{Name: "host", Address: "host"}} }
	s.setDirect(true)
	for _, p := range []FetchParams{{Era: 1, After: 90, WaitMillis: 900}, {Era: 3, After: 1, WaitMillis: 900}} {
		start := time.Now()
		_, err := s.HandleFetch(ctx, p)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond), "no wait for a change of another era")
	}
	behind.step(ctx)
	g.Expect(values(behind.mirror)).To(Equal(map[string]string{"op/config": "9"}))
	g.Expect(behind.source).To(Equal("host"))
}

// TestRestoreIsReportedOnce guards against a host that does not write its own items again
// after a restore, or does so after each answer.
func TestRestoreIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	store := &scriptedStore{batch: Batch{Era: 4, Revision: 9, Full: true}}
	s := newHost(network{}, "a", store, "a")
	restored := 0
	s.Restored = func() { restored++ }
	s.step(context.Background())
	g.Expect(restored).To(BeZero(), "the first copy")
	store.batch = Batch{Era: 5, Revision: 3, Full: true}
	s.step(context.Background())
	s.step(context.Background())
	g.Expect(restored).To(Equal(1))
	g.Expect(time.Until(s.deferUntil)).To(BeNumerically("~", removalDeferral, time.Second))
}

// TestFullAnswerIsShared guards against a reader that packs all items once for each host of
// its region after a restore, as each continues from another revision.
func TestFullAnswerIsShared(t *testing.T) {
	g := NewWithT(t)
	var list []Item
	for i := range 2 * minPackedItems {
		list = append(list, valued(fmt.Sprint("servers/", i), "1", uint64(i+1)))
	}
	s := newHost(network{}, "a", &scriptedStore{batch: Batch{Era: 2, Revision: 40, Full: true, Items: list}}, "a")
	s.step(context.Background())
	var packed []byte
	for _, p := range []FetchParams{{}, {Era: 1, After: 90}, {Era: 1, After: 91}, {Era: 0, After: 70}} {
		a, err := s.HandleFetch(context.Background(), p)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.Full).To(BeTrue())
		if packed == nil {
			packed = a.Packed
		}
		g.Expect(&a.Packed[0]).To(BeIdenticalTo(&packed[0]))
	}
}
