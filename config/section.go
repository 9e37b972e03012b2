package config

import (
	"bufio"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// itemKind is a kindOf without its type parameter, so that one list can hold all.
type itemKind interface {
	// name returns kindOf.keyword.
	name() string
	// isCompact reports whether one section has all items, one on each line.
	isCompact() bool
	// write prints the items of c; errors show when w is flushed.
	write(w *bufio.Writer, c *Config)
	// readBlock adds the item of one section, or the items of a compact section, to c.
	readBlock(c *Config, b *block, problems *Problems)
	checkItems(c *Config, problems *Problems)
	// normalize stores the sorted items of from in to.
	normalize(from, to *Config)
	// diff, makeDelta and applyDelta take configurations in normal form.
	diff(a, b *Config) []Change
	makeDelta(a, b *Config, d *Delta)
	applyDelta(next, set *Config, removed []string) error
}

// itemKinds lists all kinds in the order in which they are printed.
var itemKinds = []itemKind{
	&deploymentKind, &regionKind, &linkKind, &rankKind, &serviceKind,
	&customerKind, &shiftCapKind, &drainKind, &backendServerKind, &clientBlockKind,
}

func init() {
	// Config has no list of deployments. list and setList use Config.Deployment.
	deploymentKind.items = nil
}

func (k *kindOf[T]) name() string    { return k.keyword }
func (k *kindOf[T]) isCompact() bool { return k.compact }

// list returns the items of c. The deployment is one item if it has a name.
func (k *kindOf[T]) list(c *Config) []T {
	if k.items != nil {
		return *k.items(c)
	}
	if c.Deployment == "" {
		return nil
	}
	return any([]deploymentItem{{Name: c.Deployment}}).([]T)
}

// setList replaces the items of c.
func (k *kindOf[T]) setList(c *Config, items []T) {
	if k.items != nil {
		*k.items(c) = items
		return
	}
	c.Deployment = ""
	if len(items) > 0 {
		c.Deployment = any(items[0]).(deploymentItem).Name
	}
}

// printedName returns the words of the item's section header, or the key of the
// line of a compact item. It is unique within the kind.
func (k *kindOf[T]) printedName(item *T) string {
	if k.compact {
		return k.names[0].get(item)
	}
	words := []string{k.keyword}
	for _, f := range k.names {
		words = append(words, f.get(item))
	}
	return strings.Join(words, " ")
}

// itemName returns the name of the item in problems, changes and deltas. It
// starts with the keyword and is unique among all kinds.
func (k *kindOf[T]) itemName(item *T) string {
	if k.compact {
		return k.keyword + " " + k.printedName(item)
	}
	return k.printedName(item)
}

// order is negative, zero or positive as a comes before, with or after b in normal
// form.
func (k *kindOf[T]) order(a, b *T) int {
	if k.compare != nil {
		return k.compare(a, b)
	}
	for _, f := range k.names {
		if order := cmp.Compare(f.get(a), f.get(b)); order != 0 {
			return order
		}
	}
	return 0
}

func (k *kindOf[T]) normalize(from, to *Config) {
	items := slices.Clone(k.list(from))
	slices.SortStableFunc(items, func(a, b T) int { return k.order(&a, &b) })
	if len(items) == 0 {
		items = nil
	}
	k.setList(to, items)
}

func (k *kindOf[T]) write(w *bufio.Writer, c *Config) {
	items := k.list(c)
	if k.compact {
		k.writeCompact(w, items)
		return
	}
	for i := range items {
		item := &items[i]
		fmt.Fprintf(w, "[%s]\n", k.printedName(item))
		for _, f := range k.fields {
			if value := f.get(item); value != "" || !f.optional {
				fmt.Fprintf(w, "%s = %s\n", f.key, value)
			}
		}
		w.WriteByte('\n')
	}
}

func (k *kindOf[T]) writeCompact(w *bufio.Writer, items []T) {
	if len(items) == 0 {
		return
	}
	fmt.Fprintf(w, "[%s]\n", k.keyword)
	for i := range items {
		w.WriteString(k.printedName(&items[i]))
		w.WriteString(" = ")
		w.WriteString(k.fields[0].get(&items[i]))
		w.WriteByte('\n')
	}
}

// checkItems reports invalid names and values, duplicate names and a list with
// more than max items.
func (k *kindOf[T]) checkItems(c *Config, problems *Problems) {
	items := k.list(c)
	if len(items) > k.max {
		problems.addf(k.keyword, "", "", "%d items; want at most %d", len(items), k.max)
	}
	seen := make(map[string]struct{}, len(items))
	for i := range items {
		item := &items[i]
		printedName := k.printedName(item)
		if _, found := seen[printedName]; found {
			problems.addf(k.itemName(item), "", "", "duplicate name")
		}
		seen[printedName] = struct{}{}
		k.checkItem(item, 0, problems)
	}
}

// checkItem reports invalid names and values of an item. line is its line number
// in the text, or zero.
func (k *kindOf[T]) checkItem(item *T, line int, problems *Problems) {
	for _, list := range [][]field[T]{k.names, k.fields} {
		for _, f := range list {
			if !f.allowed(item) {
				problems.add(Problem{Line: line, Item: k.itemName(item), Key: f.key, Value: f.get(item), Message: f.want})
			}
		}
	}
}
