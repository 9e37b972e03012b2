package workspace

import (
	"iter"
	"maps"
)

// All returns the workspaces in no particular order.
func (s *Set) All() iter.Seq[*Workspace] {
	if s == nil {
		return func(func(*Workspace) bool) {}
	}
	return maps.Values(s.byName)
}
