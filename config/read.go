package config

import (
	"fmt"
	"strings"
)

// readBlock adds the items of a block to c and reports problems.
func (k *kindOf[T]) readBlock(c *Config, b *block, problems *Problems) {
	if k.compact {
		k.readCompact(c, b, problems)
		return
	}
	if len(b.names) != len(k.names) {
		problems.add(Problem{Line: b.line, Item: truncate(b.header), Message: "want a section header " + k.header()})
		return
	}
	var item T
	for i, f := range k.names {
		f.set(&item, b.names[i])
	}
	problemsBefore := len(problems.List) + problems.More
	k.readFields(&item, b, problems)
	if len(problems.List)+problems.More == problemsBefore {
		k.checkItem(&item, b.line, problems)
	}
	k.setList(c, append(k.list(c), item))
}

// header returns the form of the section header, for example "[link FROM TO]".
func (k *kindOf[T]) header() string {
	words := []string{k.keyword}
	for _, f := range k.names {
		words = append(words, strings.ToUpper(f.key))
	}
	return "[" + strings.Join(words, " ") + "]"
}

// readFields sets the fields of item from the lines of the block. Keys that occur
// with an invalid value do not count as missing.
func (k *kindOf[T]) readFields(item *T, b *block, problems *Problems) {
	present := make(map[string]bool, len(k.fields))
	for _, e := range b.entries(problems) {
		f := k.field(e.key)
		if f == nil {
			problems.add(Problem{Line: e.line, Item: truncate(b.header), Key: truncate(e.key), Value: e.value,
				Message: "unknown key; want one of " + k.keyNames()})
			continue
		}
		present[e.key] = true
		if !f.set(item, e.value) || !f.allowed(item) {
			problems.add(Problem{Line: e.line, Item: truncate(b.header), Key: e.key, Value: e.value, Message: f.want})
		}
	}
	for _, f := range k.fields {
		if !present[f.key] && !f.optional {
			problems.add(Problem{Line: b.line, Item: truncate(b.header), Message: fmt.Sprintf("key %s is missing; %s", f.key, f.want)})
		}
	}
}

func (k *kindOf[T]) field(key string) *field[T] {
	for i := range k.fields {
		if k.fields[i].key == key {
			return &k.fields[i]
		}
	}
	return nil
}

func (k *kindOf[T]) keyNames() string {
	names := make([]string, 0, len(k.fields))
	for _, f := range k.fields {
		names = append(names, f.key)
	}
	return strings.Join(names, ", ")
}

// readCompact adds one item for each line of the block.
func (k *kindOf[T]) readCompact(c *Config, b *block, problems *Problems) {
	if len(b.names) != 0 {
		problems.add(Problem{Line: b.line, Item: truncate(b.header), Message: "want a section header [" + k.keyword + "]"})
		return
	}
	items := k.list(c)
	// Millions of items share few values. Interned clones keep neither the text nor a
	// value for each item in memory.
	interned := make(map[string]string)
	for _, e := range b.entries(problems) {
		value, found := interned[e.value]
		if !found {
			value = strings.Clone(e.value)
			interned[value] = value
		}
		var item T
		k.names[0].set(&item, strings.Clone(e.key))
		k.fields[0].set(&item, value)
		k.checkItem(&item, e.line, problems)
		items = append(items, item)
	}
	k.setList(c, items)
}
