// Package report writes an HTML page with plots and tables that compares two
// results, before and after a change. A result is the output of Go benchmarks or
// of galenabeamctl quickstart -json.
package report

import (
	"bytes"
	"errors"
	"slices"
)

// Errors of Parse and Write.
var (
	// ErrNoFigures means that the text holds no figure of a benchmark or quickstart.
	ErrNoFigures = errors.New("holds neither benchmark lines nor the JSON result of a quickstart")
	// ErrDifferentKinds means that one result is of benchmarks, the other of a
	// quickstart.
	ErrDifferentKinds = errors.New("the two results are of different kinds")
)

// Kind is the source of the figures of a result.
type Kind string

// Kinds of results.
const (
	KindBenchmark  Kind = "benchmark"
	KindQuickstart Kind = "quickstart"
)

// Key identifies a figure. Figures with the same Group and Unit share a plot.
type Key struct {
	// Group is the benchmark's name before the first slash, or the title of a
	// quickstart's measure.
	Group string
	// Unit is a unit, or the name of a custom metric.
	Unit string
	// Name is the benchmark's name after the first slash, or the rank.
	Name string
}

// Figure is a quantity that was measured in one or more runs.
type Figure struct {
	Key
	// Values are the values of the runs, in the order of the text.
	Values []float64
}

// Median returns the median of the runs.
func (f *Figure) Median() float64 {
	sorted := slices.Sorted(slices.Values(f.Values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Result holds the figures of one text: those of benchmarks in the order of the
// text, those of a quickstart by measure and then in the order of the ranks.
type Result struct {
	Kind    Kind
	Figures []*Figure
	// Notes list the promises that a quickstart broke, or the benchmark values that
	// cannot be compared because they are NaN or infinite.
	Notes []string
	index map[Key]*Figure
}

// add appends a value to the figure with the key. Each value of a key is one run.
func (r *Result) add(key Key, value float64) {
	f := r.index[key]
	if f == nil {
		f = &Figure{Key: key}
		if r.index == nil {
			r.index = make(map[Key]*Figure)
		}
		r.index[key] = f
		r.Figures = append(r.Figures, f)
	}
	f.Values = append(f.Values, value)
}

// Parse reads a result. Text that starts with a brace is of a quickstart, other
// text of benchmarks. The error is ErrNoFigures if the text has no figures.
func Parse(text []byte) (*Result, error) {
	parse := parseBenchmarks
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		parse = parseQuickstart
	}
	r, err := parse(text)
	if err != nil {
		return nil, err
	}
	if len(r.Figures) == 0 {
		return nil, ErrNoFigures
	}
	return r, nil
}

// row compares one figure. A figure that a result does not have is nil.
type row struct {
	name          string
	before, after *Figure
}

// group holds the figures that share a plot and a table.
type group struct {
	title, unit string
	rows        []row
}

// compare pairs the figures of two results by key. Their order is that of before,
// followed by the figures that only after has.
func compare(before, after *Result) []*group {
	type groupKey struct{ group, unit string }
	index := make(map[groupKey]*group)
	var groups []*group
	insert := func(key Key) {
		k := groupKey{key.Group, key.Unit}
		g := index[k]
		if g == nil {
			g = &group{title: key.Group, unit: key.Unit}
			index[k] = g
			groups = append(groups, g)
		}
		g.rows = append(g.rows, row{key.Name, before.index[key], after.index[key]})
	}
	for _, f := range before.Figures {
		insert(f.Key)
	}
	for _, f := range after.Figures {
		if before.index[f.Key] == nil {
			insert(f.Key)
		}
	}
	return groups
}
