package config

import (
	"fmt"
	"strings"
)

// read adds the items of a block to c and reports what it cannot use.
func (k *kind[T]) read(c *Config, b *block, problems *Problems) {
	if k.compact {
		k.readCompact(c, b, problems)
		return
	}
	if len(b.names) != len(k.names) {
		problems.add(Problem{Line: b.line, Item: clip(b.header), Message: "want a section header " + k.header()})
		return
	}
	var item T
	for i, f := range k.names {
		f.set(&item, b.names[i])
	}
	faults := len(problems.List) + problems.More
	k.readFields(&item, b, problems)
	if len(problems.List)+problems.More == faults {
		k.checkItem(&item, b.line, problems)
	}
	k.setList(c, append(k.list(c), item))
}

// header returns the form of the section's header.
func (k *kind[T]) header() string {
	parts := []string{k.word}
	for _, f := range k.names {
		parts = append(parts, strings.ToUpper(f.key))
	}
	return "[" + strings.Join(parts, " ") + "]"
}

func (k *kind[T]) readFields(item *T, b *block, problems *Problems) {
	found := make(map[string]bool, len(k.fields))
	for _, e := range b.entries(problems) {
		f := k.field(e.key)
		if f == nil {
			problems.add(Problem{Line: e.line, Item: clip(b.header), Key: clip(e.key), Value: e.value,
				Message: "unknown key; want one of " + k.keyNames()})
			continue
		}
		found[e.key] = true
		if !f.set(item, e.value) || !f.ok(item) {
			problems.add(Problem{Line: e.line, Item: clip(b.header), Key: e.key, Value: e.value, Message: f.want})
		}
	}
	for _, f := range k.fields {
		if !found[f.key] && !f.optional {
			problems.add(Problem{Line: b.line, Item: clip(b.header), Message: fmt.Sprintf("key %s is missing; %s", f.key, f.want)})
		}
	}
}

func (k *kind[T]) field(key string) *field[T] {
	for i := range k.fields {
		if k.fields[i].key == key {
			return &k.fields[i]
		}
	}
	return nil
}

func (k *kind[T]) keyNames() string {
	names := make([]string, 0, len(k.fields))
	for _, f := range k.fields {
		names = append(names, f.key)
	}
	return strings.Join(names, ", ")
}

func (k *kind[T]) readCompact(c *Config, b *block, problems *Problems) {
	if len(b.names) != 0 {
		problems.add(Problem{Line: b.line, Item: clip(b.header), Message: "want a section header [" + k.word + "]"})
		return
	}
	items := k.list(c)
	// Millions of items share few values; copies of the strings keep neither
	// the text nor a value for each item alive.
	values := make(map[string]string)
	for _, e := range b.entries(problems) {
		value, found := values[e.value]
		if !found {
			value = strings.Clone(e.value)
			values[value] = value
		}
		var item T
		k.names[0].set(&item, strings.Clone(e.key))
		k.fields[0].set(&item, value)
		k.checkItem(&item, e.line, problems)
		items = append(items, item)
	}
	k.setList(c, items)
}
