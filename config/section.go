package config

import (
	"bufio"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// section is a kind without its item type.
type section interface {
	name() string
	isCompact() bool
	write(w *bufio.Writer, c *Config)
	// read adds the item of one section, or the items of a compact section.
	read(c *Config, b *block, problems *Problems)
	checkItems(c *Config, problems *Problems)
	normalize(from, to *Config)
	diff(a, b *Config) []Change
	delta(a, b *Config, d *Delta)
	apply(next, set *Config, removed []string) error
}

// sections lists all kinds in printing order.
var sections = []section{
	&deploymentKind, &regionKind, &linkKind, &rankKind, &serviceKind,
	&customerKind, &shiftCapKind, &drainKind, &backendServerKind, &clientBlockKind,
}

func init() {
	// The deployment's name is a field of Config itself.
	deploymentKind.items = nil
}

func (k *kind[T]) name() string    { return k.word }
func (k *kind[T]) isCompact() bool { return k.compact }

// list returns the items of c.
func (k *kind[T]) list(c *Config) []T {
	if k.items != nil {
		return *k.items(c)
	}
	if c.Deployment == "" {
		return nil
	}
	return any([]deploymentItem{{Name: c.Deployment}}).([]T)
}

// setList replaces the items of c.
func (k *kind[T]) setList(c *Config, items []T) {
	if k.items != nil {
		*k.items(c) = items
		return
	}
	c.Deployment = ""
	if len(items) > 0 {
		c.Deployment = any(items[0]).(deploymentItem).Name
	}
}

// label returns the item's section name, or a compact item's key.
func (k *kind[T]) label(item *T) string {
	if k.compact {
		return k.names[0].get(item)
	}
	parts := []string{k.word}
	for _, f := range k.names {
		parts = append(parts, f.get(item))
	}
	return strings.Join(parts, " ")
}

// itemName is the label as error messages and changes show it.
func (k *kind[T]) itemName(item *T) string {
	if k.compact {
		return k.word + " " + k.label(item)
	}
	return k.label(item)
}

func (k *kind[T]) order(a, b *T) int {
	if k.less != nil {
		return k.less(a, b)
	}
	for _, f := range k.names {
		if order := cmp.Compare(f.get(a), f.get(b)); order != 0 {
			return order
		}
	}
	return 0
}

func (k *kind[T]) normalize(from, to *Config) {
	items := slices.Clone(k.list(from))
	slices.SortStableFunc(items, func(a, b T) int { return k.order(&a, &b) })
	if len(items) == 0 {
		items = nil
	}
	k.setList(to, items)
}

func (k *kind[T]) write(w *bufio.Writer, c *Config) {
	items := k.list(c)
	if k.compact {
		k.writeCompact(w, items)
		return
	}
	for i := range items {
		item := &items[i]
		fmt.Fprintf(w, "[%s]\n", k.label(item))
		for _, f := range k.fields {
			if value := f.get(item); value != "" || !f.optional {
				fmt.Fprintf(w, "%s = %s\n", f.key, value)
			}
		}
		w.WriteByte('\n')
	}
}

func (k *kind[T]) writeCompact(w *bufio.Writer, items []T) {
	if len(items) == 0 {
		return
	}
	fmt.Fprintf(w, "[%s]\n", k.word)
	for i := range items {
		w.WriteString(k.label(&items[i]))
		w.WriteString(" = ")
		w.WriteString(k.fields[0].get(&items[i]))
		w.WriteByte('\n')
	}
}

// checkItems reports names and values outside their ranges, duplicate names
// and lists that are too long.
func (k *kind[T]) checkItems(c *Config, problems *Problems) {
	items := k.list(c)
	if len(items) > k.max {
		problems.addf(k.word, "", "", "%d items; want at most %d", len(items), k.max)
	}
	seen := make(map[string]struct{}, len(items))
	for i := range items {
		item := &items[i]
		label := k.label(item)
		if _, found := seen[label]; found {
			problems.addf(k.itemName(item), "", "", "duplicate name")
		}
		seen[label] = struct{}{}
		k.checkItem(item, 0, problems)
	}
}

func (k *kind[T]) checkItem(item *T, line int, problems *Problems) {
	for _, list := range [][]field[T]{k.names, k.fields} {
		for _, f := range list {
			if !f.ok(item) {
				problems.add(Problem{Line: line, Item: k.itemName(item), Key: f.key, Value: f.get(item), Message: f.want})
			}
		}
	}
}
