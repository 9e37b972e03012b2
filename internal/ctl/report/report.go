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
	// ErrNoMeasurements means that the text holds no measurement.
	ErrNoMeasurements = errors.New("holds neither benchmark lines nor the JSON result of a quickstart")
	// ErrDifferentKinds means that Page.Before and After differ in Kind.
	ErrDifferentKinds = errors.New("the two results are of different kinds")
)

// Kind is the source of the measurements of a result.
type Kind string

// Kinds of results.
const (
	KindBenchmark  Kind = "benchmark"
	KindQuickstart Kind = "quickstart"
)

// Key identifies a measurement. Those with the same Group and Unit share a plot.
type Key struct {
	// Group is the benchmark's name before the first slash, or the title of a
	// quickstart's measure.
	Group string
	// Unit is a unit, or the name of a custom metric.
	Unit string
	// Name is the benchmark's name after the first slash, or the rank.
	Name string
}

// Measurement is a quantity that was measured in one or more runs.
type Measurement struct {
	Key
	// Values are the values of the runs, in the order of the text.
	Values []float64
}

// Median returns the median of the runs.
func (m *Measurement) Median() float64 {
	sorted := slices.Sorted(slices.Values(m.Values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Result holds the measurements of one text: those of benchmarks in its order,
// those of a quickstart by measure and then by rank.
type Result struct {
	Kind         Kind
	Measurements []*Measurement
	// Notes list the promises that a quickstart broke, or the benchmark values that
	// cannot be compared because they are NaN or infinite.
	Notes []string
	index map[Key]*Measurement
}

// add appends a value to the measurement with the key. Each value of a key is one run.
func (r *Result) add(key Key, value float64) {
	m := r.index[key]
	if m == nil {
		m = &Measurement{Key: key}
		if r.index == nil {
			r.index = make(map[Key]*Measurement)
		}
		r.index[key] = m
		r.Measurements = append(r.Measurements, m)
	}
	m.Values = append(m.Values, value)
}

// Parse reads a result. Text that starts with a brace is of a quickstart, other
// text of benchmarks. The error is ErrNoMeasurements if the text has none.
func Parse(text []byte) (*Result, error) {
	parse := parseBenchmarks
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		parse = parseQuickstart
	}
	r, err := parse(text)
	if err != nil {
		return nil, err
	}
	if len(r.Measurements) == 0 {
		return nil, ErrNoMeasurements
	}
	return r, nil
}

// row compares one measurement, which is nil if a result lacks it.
type row struct {
	name          string
	before, after *Measurement
}

// group holds the measurements that share a plot and a table.
type group struct {
	title, unit string
	rows        []row
}

// compare pairs the measurements of two results by key, in the order of before,
// followed by those that only after has.
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
	for _, m := range before.Measurements {
		insert(m.Key)
	}
	for _, m := range after.Measurements {
		if before.index[m.Key] == nil {
			insert(m.Key)
		}
	}
	return groups
}
