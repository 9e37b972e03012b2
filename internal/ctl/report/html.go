package report

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
)

// Page holds two results of the same kind to compare.
type Page struct {
	Title string
	// Names are the sources of Before and After, for example file names.
	Names         [2]string
	Before, After *Result
}

// section is one group with its plot and table.
type section struct {
	Title, Unit string
	Plot        template.HTML
	Rows        []tableRow
}

// tableRow holds the formatted cells of one row.
type tableRow struct{ Name, Before, After, Change string }

// pageData is the input of the template.
type pageData struct {
	Page
	Sections []section
}

// pageTemplate loads nothing and runs no script; its Content-Security-Policy
// enforces this.
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<meta name="viewport" content="width=device-width">
<title>{{.Title}}</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222; }
section { display: flex; flex-wrap: wrap; gap: 2em; align-items: flex-start; border-top: 1px solid #ddd; padding: 1em 0; }
table { border-collapse: collapse; }
th, td { padding: .25em .75em; border-bottom: 1px solid #ddd; text-align: right; font-variant-numeric: tabular-nums; }
th:first-child, td:first-child { text-align: left; }
caption { text-align: left; font-weight: bold; padding-bottom: .5em; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
<p>Before: {{index .Names 0}}. After: {{index .Names 1}}. Source: {{.Before.Kind}}. A figure of several runs is their median, followed by the lowest and highest.</p>
{{with .Before.Notes}}<p>Notes on before:</p><ul>{{range .}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{with .After.Notes}}<p>Notes on after:</p><ul>{{range .}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{range .Sections}}<section>
<div>{{.Plot}}</div>
<table>
<caption>{{.Title}} ({{.Unit}})</caption>
<tr><th></th><th>before</th><th>after</th><th>change</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Before}}</td><td>{{.After}}</td><td>{{.Change}}</td></tr>
{{end}}</table>
</section>
{{end}}</body>
</html>
`))

// Write writes a self-contained HTML page with a plot and a table for each
// group. The error is ErrDifferentKinds if the kinds of the results differ.
func Write(w io.Writer, p Page) error {
	if p.Before.Kind != p.After.Kind {
		return fmt.Errorf("%w: before is a %s result, after a %s result", ErrDifferentKinds, p.Before.Kind, p.After.Kind)
	}
	data := pageData{Page: p}
	for _, g := range compare(p.Before, p.After) {
		svg, err := g.svg()
		if err != nil {
			return err
		}
		// The plot escapes all text that it draws.
		s := section{Title: g.title, Unit: g.unit, Plot: template.HTML(svg)}
		for _, r := range g.rows {
			s.Rows = append(s.Rows, tableRow{r.name, formatMeasurement(r.before), formatMeasurement(r.after), formatChange(r.before, r.after)})
		}
		data.Sections = append(data.Sections, s)
	}
	return pageTemplate.Execute(w, data)
}

// formatMeasurement returns the median of a measurement, with the lowest and
// highest value if there are several runs, or "none" for a missing measurement.
func formatMeasurement(m *Measurement) string {
	if m == nil {
		return "none"
	}
	text := formatNumber(m.Median())
	if len(m.Values) > 1 {
		low, high := math.Inf(1), math.Inf(-1)
		for _, value := range m.Values {
			low, high = min(low, value), max(high, value)
		}
		text += fmt.Sprintf(" (%s to %s)", formatNumber(low), formatNumber(high))
	}
	return text
}

// formatNumber returns a value with four significant digits, or a whole number
// below 1e15 with all digits.
func formatNumber(value float64) string {
	if value == math.Trunc(value) && math.Abs(value) < 1e15 {
		return strconv.FormatFloat(value, 'f', -1, 64)
	}
	digits := 3 - int(math.Floor(math.Log10(math.Abs(value))))
	if digits < 0 || digits > 9 {
		return strconv.FormatFloat(value, 'g', 4, 64)
	}
	return strconv.FormatFloat(value, 'f', digits, 64)
}

// formatChange returns the change of the median as a percentage of before, "from 0"
// if only before is zero, or nothing if a measurement is missing.
func formatChange(before, after *Measurement) string {
	if before == nil || after == nil {
		return ""
	}
	a, b := before.Median(), after.Median()
	switch {
	case a == b:
		return "0%"
	case a == 0:
		return "from 0"
	}
	return fmt.Sprintf("%+.1f%%", (b-a)/math.Abs(a)*100)
}
