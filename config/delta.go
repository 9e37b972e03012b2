package config

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// removeWord starts the section header of a removed item in a delta's text.
const removeWord = "remove"

// Delta is the difference between two configurations in a form that can be
// sent and applied. Its size depends on the changes only.
type Delta struct {
	// Set holds the added and changed items, in normal form.
	Set *Config
	// Remove holds the section names of removed items, for example
	// "service pay-svc" or "client-blocks 192.0.2.0/24", in printing order.
	Remove []string
}

// MakeDelta returns the delta that leads from a to b.
func MakeDelta(a, b *Config) Delta {
	a, b = Normalize(a), Normalize(b)
	d := Delta{Set: &Config{}}
	for _, s := range sections {
		s.delta(a, b, &d)
	}
	return d
}

// ApplyDelta returns base, which is in normal form, with the changes of d, in
// normal form. Unchanged lists are shared with base. Removing an item that
// base does not have is an error, because the delta was made for another base.
// The result is not checked: the submission was.
func ApplyDelta(base *Config, d Delta) (*Config, error) {
	next := *base
	removed := make(map[string][]string)
	for _, item := range d.Remove {
		word, _, _ := strings.Cut(item, " ")
		removed[word] = append(removed[word], item)
	}
	for _, s := range sections {
		if err := s.apply(&next, d.Set, removed[s.name()]); err != nil {
			return nil, trace.Wrap(err)
		}
		delete(removed, s.name())
	}
	for _, item := range d.Remove {
		if word, _, _ := strings.Cut(item, " "); removed[word] != nil {
			return nil, trace.NotFound("delta removes [%s], which is of no known kind", clip(item))
		}
	}
	return &next, nil
}

// PrintDelta writes d as INI text: a section [remove KIND NAME] without keys
// for each removed item, then the sections of set items as Print writes them.
func PrintDelta(w io.Writer, d Delta) error {
	buffered := bufio.NewWriter(w)
	for _, item := range d.Remove {
		if strings.ContainsAny(item, "[]\r\n") {
			return trace.BadParameter("delta removes %q, which is no section name", clip(item))
		}
		fmt.Fprintf(buffered, "[%s %s]\n", removeWord, item)
	}
	if err := Print(buffered, d.Set); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(buffered.Flush())
}

// ParseDelta reads text that PrintDelta wrote. It refuses what Parse refuses.
func ParseDelta(text []byte) (Delta, error) {
	p := &parser{config: &Config{}, seen: make(map[string]int), delta: true}
	if err := p.parse(text); err != nil {
		return Delta{}, trace.Wrap(err)
	}
	return Delta{Set: Normalize(p.config), Remove: p.removed}, nil
}

// ordered tells whether items are ordered by their names alone, so that they
// can be found by binary search.
func (k *kind[T]) ordered() bool { return k.less == nil || k.compact }

// find returns the position of the item with the names of key in a sorted
// list, or where it belongs.
func (k *kind[T]) find(items []T, key *T) (int, bool) {
	if k.ordered() {
		return slices.BinarySearchFunc(items, key, func(item T, key *T) int { return k.order(&item, key) })
	}
	label := k.label(key)
	at := slices.IndexFunc(items, func(item T) bool { return k.label(&item) == label })
	if at < 0 {
		return len(items), false
	}
	return at, true
}

func (k *kind[T]) delta(a, b *Config, d *Delta) {
	before, after := k.list(a), k.list(b)
	var set []T
	for len(before) > 0 || len(after) > 0 {
		if len(before) > 0 && len(after) > 0 && k.label(&before[0]) == k.label(&after[0]) {
			if !k.equal(&before[0], &after[0]) {
				set = append(set, after[0])
			}
			before, after = before[1:], after[1:]
			continue
		}
		if k.ordered() && (len(after) == 0 || len(before) > 0 && k.order(&before[0], &after[0]) < 0) {
			d.Remove = append(d.Remove, k.itemName(&before[0]))
			before = before[1:]
			continue
		}
		if !k.ordered() {
			// Few items, in another order: compare the rest by name.
			set = k.deltaByName(before, after, set, d)
			break
		}
		set, after = append(set, after[0]), after[1:]
	}
	k.setList(d.Set, set)
}

func (k *kind[T]) deltaByName(before, after, set []T, d *Delta) []T {
	for i := range before {
		if _, found := k.find(after, &before[i]); !found {
			d.Remove = append(d.Remove, k.itemName(&before[i]))
		}
	}
	for i := range after {
		if at, found := k.find(before, &after[i]); !found || !k.equal(&before[at], &after[i]) {
			set = append(set, after[i])
		}
	}
	return set
}

func (k *kind[T]) equal(a, b *T) bool {
	for _, f := range k.fields {
		if f.get(a) != f.get(b) {
			return false
		}
	}
	return true
}

func (k *kind[T]) apply(next, set *Config, removed []string) error {
	added := k.list(set)
	if len(added)+len(removed) == 0 {
		return nil
	}
	items := slices.Clone(k.list(next))
	for _, name := range removed {
		key, err := k.parseItemName(name)
		if err != nil {
			return trace.Wrap(err)
		}
		at, found := k.find(items, &key)
		if !found {
			return trace.NotFound("delta removes [%s], which the base does not have", clip(name))
		}
		items = slices.Delete(items, at, at+1)
	}
	for i := range added {
		if at, found := k.find(items, &added[i]); found {
			items[at] = added[i]
		} else {
			items = slices.Insert(items, at, added[i])
		}
	}
	if !k.ordered() {
		slices.SortStableFunc(items, func(a, b T) int { return k.order(&a, &b) })
	}
	if len(items) == 0 {
		items = nil
	}
	k.setList(next, items)
	return nil
}

// parseItemName returns an item that has the names only.
func (k *kind[T]) parseItemName(name string) (T, error) {
	var key T
	words := strings.Fields(name)
	if len(words) != len(k.names)+1 {
		return key, trace.BadParameter("delta removes [%s]; want [%s]", clip(name), removeWord+" "+strings.Trim(k.header(), "[]"))
	}
	for i, f := range k.names {
		f.set(&key, words[i+1])
		if !f.ok(&key) {
			return key, trace.BadParameter("delta removes [%s]; %s", clip(name), f.want)
		}
	}
	return key, nil
}
