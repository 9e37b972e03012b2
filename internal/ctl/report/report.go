// Package report turns two results, before and after a change, into one HTML
// page with plots. A result is the output of Go benchmarks or of galenabeamctl
// quickstart -json.
package report

import (
	"bytes"
	"errors"
	"slices"
)

// Errors of Parse and Write.
var (
	// ErrNoFigures: the text is neither benchmark output nor a quickstart's result.
	ErrNoFigures = errors.New("holds neither benchmark lines nor the JSON result of a quickstart")
	// ErrKinds: a benchmark result cannot be compared with a quickstart's.
	ErrKinds = errors.New("the two results are of different kinds")
)

// Kind tells where figures come from.
type Kind string

// Kinds of results.
const (
	KindBenchmark  Kind = "benchmark"
	KindQuickstart Kind = "quickstart"
)

// Key names a figure. Figures with the same Group and Unit share a plot.
type Key struct {
	// Group is the benchmark's name without its sub-benchmarks.
	Group string
	// Unit is the unit or the custom metric.
	Unit string
	// Name is the rest of the benchmark's name, or the rank.
	Name string
}

// Figure is one measured value.
type Figure struct {
	Key
	// Values are the values of all runs, in their order.
	Values []float64
}

// Median returns the median of the runs.
func (f *Figure) Median() float64 {
	sorted := slices.Sorted(slices.Values(f.Values))
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}

// Result holds the figures of one text in their order.
type Result struct {
	Kind    Kind
	Figures []*Figure
	// Notes are remarks about the result, for example broken promises.
	Notes []string
	index map[Key]*Figure
}

// add records one value. Values of the same key are runs of the same figure.
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

// Parse reads a result. The kind follows from the text.
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

// row compares one figure. A missing side is nil.
type row struct {
	name          string
	before, after *Figure
}

// group is what one plot and one table show.
type group struct {
	title, unit string
	rows        []row
}

// compare joins two results. The order is that of before, followed by what
// only after has.
func compare(before, after *Result) []*group {
	type groupKey struct{ group, unit string }
	index := make(map[groupKey]*group)
	var groups []*group
	insert := func(key Key) {
		at := groupKey{key.Group, key.Unit}
		g := index[at]
		if g == nil {
			g = &group{title: key.Group, unit: key.Unit}
			index[at] = g
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
