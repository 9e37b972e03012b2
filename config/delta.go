package config

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// removeKeyword starts the section header of a removed item in the text of a delta.
const removeKeyword = "remove"

// Delta is the difference between two configurations in a form that can be sent
// and applied. Its size depends only on the changed items.
type Delta struct {
	// Set holds the added and changed items, in normal form.
	Set *Config
	// Remove holds the names of removed items, for example
	// "service pay-svc" or "client-blocks 192.0.2.0/24", in printing order.
	Remove []string
}

// MakeDelta returns the delta that turns a into b. Neither needs to be in normal
// form.
func MakeDelta(a, b *Config) Delta {
	a, b = Normalize(a), Normalize(b)
	d := Delta{Set: &Config{}}
	for _, kind := range itemKinds {
		kind.makeDelta(a, b, &d)
	}
	return d
}

// ApplyDelta applies d to base, which must be in normal form, and returns the
// result in normal form. base is not modified; lists without changes are shared
// with it. Removing an item that base does not have gives a trace.NotFound error,
// because the delta was made for another base; a malformed name of a removed item
// gives a trace.BadParameter error. Check is not called: it has passed for the
// submission that the delta was made from.
func ApplyDelta(base *Config, d Delta) (*Config, error) {
	next := *base
	removed := make(map[string][]string)
	for _, item := range d.Remove {
		keyword, _, _ := strings.Cut(item, " ")
		removed[keyword] = append(removed[keyword], item)
	}
	for _, kind := range itemKinds {
		if err := kind.applyDelta(&next, d.Set, removed[kind.name()]); err != nil {
			return nil, trace.Wrap(err)
		}
		delete(removed, kind.name())
	}
	for _, item := range d.Remove {
		if keyword, _, _ := strings.Cut(item, " "); removed[keyword] != nil {
			return nil, trace.NotFound("delta removes [%s], which is of an unknown kind", truncate(item))
		}
	}
	return &next, nil
}

// PrintDelta writes d as INI text: a section [remove KIND NAME] without keys
// for each removed item, then the sections of d.Set as Print writes them. It
// refuses names of removed items with brackets or line breaks, and a d.Set that
// Print refuses.
func PrintDelta(w io.Writer, d Delta) error {
	buffered := bufio.NewWriter(w)
	for _, item := range d.Remove {
		if strings.ContainsAny(item, "[]\r\n") {
			return trace.BadParameter("delta removes %q, which is not a section name", truncate(item))
		}
		fmt.Fprintf(buffered, "[%s %s]\n", removeKeyword, item)
	}
	if err := Print(buffered, d.Set); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(buffered.Flush())
}

// ParseDelta reads text that PrintDelta wrote. It refuses the same texts as
// Parse, except that it accepts [remove KIND NAME]. ApplyDelta checks the names
// of removed items.
func ParseDelta(text []byte) (Delta, error) {
	p := &parser{config: &Config{}, headerLines: make(map[string]int), isDelta: true}
	if err := p.parse(text); err != nil {
		return Delta{}, trace.Wrap(err)
	}
	return Delta{Set: Normalize(p.config), Remove: p.removed}, nil
}

// orderedByName reports whether a binary search by name finds items.
func (k *kindOf[T]) orderedByName() bool { return k.compare == nil || k.compact }

// search returns the index of the item with the names of key and true, or the
// index at which to insert it and false: the end of the list for kinds that are
// not sorted by name.
func (k *kindOf[T]) search(items []T, key *T) (int, bool) {
	if k.orderedByName() {
		return slices.BinarySearchFunc(items, key, func(item T, key *T) int { return k.order(&item, key) })
	}
	printedName := k.printedName(key)
	index := slices.IndexFunc(items, func(item T) bool { return k.printedName(&item) == printedName })
	if index < 0 {
		return len(items), false
	}
	return index, true
}

// makeDelta adds the differences between a and b, both in normal form, to d.
func (k *kindOf[T]) makeDelta(a, b *Config, d *Delta) {
	before, after := k.list(a), k.list(b)
	var set []T
	for len(before) > 0 || len(after) > 0 {
		if len(before) > 0 && len(after) > 0 && k.printedName(&before[0]) == k.printedName(&after[0]) {
			if !k.equal(&before[0], &after[0]) {
				set = append(set, after[0])
			}
			before, after = before[1:], after[1:]
			continue
		}
		if k.orderedByName() && (len(after) == 0 || len(before) > 0 && k.order(&before[0], &after[0]) < 0) {
			d.Remove = append(d.Remove, k.itemName(&before[0]))
			before = before[1:]
			continue
		}
		if !k.orderedByName() {
			// Only ranks are not sorted by name, and there are few of them.
			set = k.deltaByName(before, after, set, d)
			break
		}
		set, after = append(set, after[0]), after[1:]
	}
	k.setList(d.Set, set)
}

// deltaByName is makeDelta for lists that are not sorted by name. It appends the
// added and changed items to set, and the names of removed ones to d.
func (k *kindOf[T]) deltaByName(before, after, set []T, d *Delta) []T {
	for i := range before {
		if _, found := k.search(after, &before[i]); !found {
			d.Remove = append(d.Remove, k.itemName(&before[i]))
		}
	}
	for i := range after {
		if index, found := k.search(before, &after[i]); !found || !k.equal(&before[index], &after[i]) {
			set = append(set, after[i])
		}
	}
	return set
}

// equal reports whether the fields of two items with the same name are equal.
func (k *kindOf[T]) equal(a, b *T) bool {
	for _, f := range k.fields {
		if f.get(a) != f.get(b) {
			return false
		}
	}
	return true
}

// applyDelta replaces the list of next by a copy without the removed items and
// with the items of set. A list without changes stays as it is.
func (k *kindOf[T]) applyDelta(next, set *Config, removed []string) error {
	changed := k.list(set)
	if len(changed)+len(removed) == 0 {
		return nil
	}
	items := slices.Clone(k.list(next))
	for _, name := range removed {
		key, err := k.parseItemName(name)
		if err != nil {
			return trace.Wrap(err)
		}
		index, found := k.search(items, &key)
		if !found {
			return trace.NotFound("delta removes [%s], which the base does not have", truncate(name))
		}
		items = slices.Delete(items, index, index+1)
	}
	for i := range changed {
		if index, found := k.search(items, &changed[i]); found {
			items[index] = changed[i]
		} else {
			items = slices.Insert(items, index, changed[i])
		}
	}
	if !k.orderedByName() {
		slices.SortStableFunc(items, func(a, b T) int { return k.order(&a, &b) })
	}
	if len(items) == 0 {
		items = nil
	}
	k.setList(next, items)
	return nil
}

// parseItemName returns an item with the names in name, for example "link east
// west", and without other values.
func (k *kindOf[T]) parseItemName(name string) (T, error) {
	var key T
	words := strings.Fields(name)
	if len(words) != len(k.names)+1 {
		return key, trace.BadParameter("delta removes [%s]; want [%s]", truncate(name), removeKeyword+" "+strings.Trim(k.header(), "[]"))
	}
	for i, f := range k.names {
		f.set(&key, words[i+1])
		if !f.allowed(&key) {
			return key, trace.BadParameter("delta removes [%s]; %s", truncate(name), f.want)
		}
	}
	return key, nil
}
