package admin

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// metricPrefix starts the name of every exposed metric.
const metricPrefix = "galenabeam_"

// quantiles are exposed for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// family holds the lines of all series of one name.
type family struct {
	name, kind string
	lines      []string
}

// Exposition returns the metrics of a registry in Prometheus' text format, sorted
// by name. A registered name may end in labels, for example
// "queue.length;rank=lookup". Timers, which count nanoseconds, are exposed in
// seconds. If several types share an exposed name, only the series of the type
// whose registered name sorts first are included.
func Exposition(registry metrics.Registry) []byte {
	metricsByName := make(map[string]any)
	var names []string
	registry.Each(func(name string, metric any) {
		metricsByName[name] = metric
		names = append(names, name)
	})
	slices.Sort(names)
	families := make(map[string]*family)
	for _, name := range names {
		base, labels := splitName(name)
		addMetric(families, base, labels, metricsByName[name])
	}
	var order []*family
	for _, f := range families {
		order = append(order, f)
	}
	slices.SortFunc(order, func(a, b *family) int { return strings.Compare(a.name, b.name) })
	var b bytes.Buffer
	for _, f := range order {
		fmt.Fprintf(&b, "# TYPE %s %s\n", f.name, f.kind)
		for _, line := range f.lines {
			b.WriteString(line)
			b.WriteByte('\n')
		}
	}
	return b.Bytes()
}

func addMetric(families map[string]*family, name string, labels []string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		addValue(families, name+"_total", "counter", labels, float64(m.Count()))
	case metrics.Meter:
		addValue(families, name+"_total", "counter", labels, float64(m.Snapshot().Count()))
	case metrics.Gauge:
		addValue(families, name, "gauge", labels, float64(m.Value()))
	case metrics.GaugeFloat64:
		addValue(families, name, "gauge", labels, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		addSummary(families, name, labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	case metrics.Timer:
		s := m.Snapshot()
		addSummary(families, name+"_seconds", labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1/float64(time.Second))
	}
}

// familyOf returns the family of a name, or nil if it has another type.
func familyOf(families map[string]*family, name, kind string) *family {
	f := families[name]
	if f == nil {
		f = &family{name: name, kind: kind}
		families[name] = f
	}
	if f.kind != kind {
		return nil
	}
	return f
}

func addValue(families map[string]*family, name, kind string, labels []string, value float64) {
	if f := familyOf(families, name, kind); f != nil {
		f.lines = append(f.lines, formatSeries(name, labels, value))
	}
}

// addSummary adds a summary whose values and sum are multiplied by scale.
func addSummary(families map[string]*family, name string, labels []string, values []float64, sum float64, count int64, scale float64) {
	f := familyOf(families, name, "summary")
	if f == nil {
		return
	}
	for i, q := range quantiles {
		label := `quantile="` + strconv.FormatFloat(q, 'g', -1, 64) + `"`
		f.lines = append(f.lines, formatSeries(name, append(slices.Clone(labels), label), values[i]*scale))
	}
	f.lines = append(f.lines, formatSeries(name+"_sum", labels, sum*scale), formatSeries(name+"_count", labels, float64(count)))
}

func formatSeries(name string, labels []string, value float64) string {
	if len(labels) > 0 {
		name += "{" + strings.Join(labels, ",") + "}"
	}
	return name + " " + strconv.FormatFloat(value, 'g', -1, 64)
}

// splitName splits a registered name into the exposed name and the labels.
func splitName(registered string) (string, []string) {
	parts := strings.Split(registered, ";")
	var labels []string
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		// The text format escapes only these three characters in values.
		value = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(strings.ToValidUTF8(value, "?"))
		labels = append(labels, sanitize(key)+`="`+value+`"`)
	}
	return metricPrefix + sanitize(parts[0]), labels
}

// sanitize replaces characters that are invalid in names of metrics and labels.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		if (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9') || r == '_' {
			return r
		}
		return '_'
	}, name)
}
