package config

import "fmt"

// ChangeOp tells what a Change does to an item.
type ChangeOp string

// Operations of changes.
const (
	ChangeAdd    ChangeOp = "add"
	ChangeRemove ChangeOp = "remove"
	ChangeSet    ChangeOp = "set"
)

// Change is one difference between two configurations.
type Change struct {
	Op ChangeOp `json:"op"`
	// Kind is the kind of item as in its section's header, for example "service".
	Kind string `json:"kind"`
	// Item is the name of the item's section, for example "service pay-svc".
	Item string `json:"item"`
	// Key, Old and New are set for ChangeSet only.
	Key string `json:"key,omitempty"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch c.Op {
	case ChangeAdd:
		return "+ [" + c.Item + "]"
	case ChangeRemove:
		return "- [" + c.Item + "]"
	default:
		return fmt.Sprintf("~ [%s] %s: %s -> %s", c.Item, c.Key, c.Old, c.New)
	}
}

// Diff returns the changes that lead from a to b, in the order in which Print
// writes the items. Equal normal forms give no changes.
func Diff(a, b *Config) []Change {
	a, b = Normalize(a), Normalize(b)
	var changes []Change
	for _, s := range sections {
		changes = append(changes, s.diff(a, b)...)
	}
	return changes
}

func (k *kind[T]) diff(a, b *Config) []Change {
	before, after := k.list(a), k.list(b)
	index := make(map[string]int, len(before))
	for i := range before {
		index[k.label(&before[i])] = i
	}
	var changes []Change
	kept := make([]bool, len(before))
	for i := range after {
		item := &after[i]
		j, found := index[k.label(item)]
		if !found {
			changes = append(changes, Change{Op: ChangeAdd, Kind: k.word, Item: k.itemName(item)})
			continue
		}
		kept[j] = true
		changes = k.diffItem(changes, &before[j], item)
	}
	for i := range before {
		if !kept[i] {
			changes = append(changes, Change{Op: ChangeRemove, Kind: k.word, Item: k.itemName(&before[i])})
		}
	}
	return changes
}

func (k *kind[T]) diffItem(changes []Change, before, after *T) []Change {
	for _, f := range k.fields {
		if was, is := f.get(before), f.get(after); was != is {
			changes = append(changes, Change{Op: ChangeSet, Kind: k.word, Item: k.itemName(after), Key: f.key, Old: was, New: is})
		}
	}
	return changes
}
