package config

import "fmt"

// ChangeOp is the operation of a Change on an item.
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
	// Kind is the first word of the item's section header, for example "service".
	Kind string `json:"kind"`
	// Item is the name of the item's section, for example "service pay-svc".
	Item string `json:"item"`
	// Key is the changed key, Old and New are its values as printed. They are set
	// for ChangeSet only.
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

// Diff returns the changes that turn a into b, grouped by kind in the order of
// Print; in each group the removed items come last. Configurations with equal normal
// forms have no changes.
func Diff(a, b *Config) []Change {
	a, b = Normalize(a), Normalize(b)
	var changes []Change
	for _, kind := range itemKinds {
		changes = append(changes, kind.diff(a, b)...)
	}
	return changes
}

func (k *kindOf[T]) diff(a, b *Config) []Change {
	before, after := k.list(a), k.list(b)
	indexByName := make(map[string]int, len(before))
	for i := range before {
		indexByName[k.printedName(&before[i])] = i
	}
	var changes []Change
	retained := make([]bool, len(before))
	for i := range after {
		item := &after[i]
		j, found := indexByName[k.printedName(item)]
		if !found {
			changes = append(changes, Change{Op: ChangeAdd, Kind: k.keyword, Item: k.itemName(item)})
			continue
		}
		retained[j] = true
		changes = k.diffItem(changes, &before[j], item)
	}
	for i := range before {
		if !retained[i] {
			changes = append(changes, Change{Op: ChangeRemove, Kind: k.keyword, Item: k.itemName(&before[i])})
		}
	}
	return changes
}

// diffItem appends a change for each field that differs between before and after.
func (k *kindOf[T]) diffItem(changes []Change, before, after *T) []Change {
	for _, f := range k.fields {
		if oldValue, newValue := f.get(before), f.get(after); oldValue != newValue {
			changes = append(changes, Change{Op: ChangeSet, Kind: k.keyword, Item: k.itemName(after), Key: f.key, Old: oldValue, New: newValue})
		}
	}
	return changes
}
