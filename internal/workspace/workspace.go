// Package workspace holds the workspaces of a configuration and finds the one that
// holds a key. A Set is immutable: request goroutines read it without locks.
package workspace

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// MaxKeyBytes is the size in bytes of the longest key.
const MaxKeyBytes = 4 << 10

// Workspace is a customer of the operator.
type Workspace struct {
	// Name is unique. It is sent to backend servers as the value of a header.
	Name string
	// Rank replaces the rank of a request's route if HasRank is set.
	Rank    int
	HasRank bool
	// Regions lists the regions that may serve the workspace; empty allows all.
	Regions []string
	// RatePerSecond and Burst are the quota: requests per second and requests. A rate
	// of 0 means that there is none.
	RatePerSecond, Burst float64
}

// Definition is a workspace with the keys that it holds.
type Definition struct {
	Workspace
	Keys []string
}

// Set is the workspaces of a configuration. A nil Set has none.
type Set struct {
	byKey  map[string]*Workspace
	byName map[string]*Workspace
}

// Errors that NewSet wraps. Their texts name workspaces and never contain a key.
var (
	ErrName     = errors.New("workspace name is empty or no header value")
	ErrRepeated = errors.New("workspace name is repeated")
	ErrKey      = fmt.Errorf("key is empty or longer than %d bytes", MaxKeyBytes)
	ErrSharedBy = errors.New("key is held by two workspaces")
	ErrQuota    = errors.New("rate or burst is negative")
)

// NewSet returns the set of the workspaces. A workspace may list a key twice. The error
// wraps one of the errors of this package.
func NewSet(list []Definition) (*Set, error) {
	keys := 0
	for i := range list {
		keys += len(list[i].Keys)
	}
	s := &Set{byKey: make(map[string]*Workspace, keys), byName: make(map[string]*Workspace, len(list))}
	workspaces := make([]Workspace, len(list))
	for i := range list {
		workspaces[i] = list[i].Workspace
		if err := s.add(&workspaces[i], list[i].Keys); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Set) add(w *Workspace, keys []string) error {
	switch {
	case !validName(w.Name):
		return fmt.Errorf("%w: %q", ErrName, w.Name)
	case s.byName[w.Name] != nil:
		return fmt.Errorf("%w: %q", ErrRepeated, w.Name)
	case !validAmount(w.RatePerSecond) || !validAmount(w.Burst):
		return fmt.Errorf("workspace %q: %w", w.Name, ErrQuota)
	}
	s.byName[w.Name] = w
	for _, key := range keys {
		if !ValidKey(key) {
			return fmt.Errorf("workspace %q: %w", w.Name, ErrKey)
		}
		if holder := s.byKey[key]; holder != nil && holder != w {
			return fmt.Errorf("%w: %q and %q", ErrSharedBy, holder.Name, w.Name)
		}
		s.byKey[key] = w
	}
	return nil
}

// ValidKey reports whether a workspace can hold the key.
func ValidKey(key string) bool { return key != "" && len(key) <= MaxKeyBytes }

// validName reports whether a header can have the name as its value without a change.
func validName(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && strings.IndexFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f }) < 0
}

func validAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// ByKey returns the workspace that holds the key, nil if there is none.
func (s *Set) ByKey(key string) *Workspace {
	if s == nil {
		return nil
	}
	return s.byKey[key]
}

// ByName returns the workspace of the name, nil if there is none.
func (s *Set) ByName(name string) *Workspace {
	if s == nil {
		return nil
	}
	return s.byName[name]
}

// Len returns the number of workspaces.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}

// String implements fmt.Stringer. It keeps the keys out of formatted text.
func (s *Set) String() string { return fmt.Sprintf("%d workspaces", s.Len()) }

// GoString implements fmt.GoStringer, for the same reason.
func (s *Set) GoString() string { return s.String() }

// KeyChanges returns how many keys s has that old has not, and the reverse. A key that
// moved to another workspace counts as both.
func (s *Set) KeyChanges(old *Set) (added, removed int) {
	return s.keysNotIn(old), old.keysNotIn(s)
}

// keysNotIn returns the number of keys of s that other lacks or has for another workspace.
func (s *Set) keysNotIn(other *Set) int {
	if s == nil {
		return 0
	}
	n := 0
	for key, w := range s.byKey {
		if holder := other.ByKey(key); holder == nil || holder.Name != w.Name {
			n++
		}
	}
	return n
}
