package report

import (
	"bytes"
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of a plot, in points unless the comment says otherwise.
const (
	plotWidth = 480
	// plotMargin is the height of title and axis together.
	plotMargin = 54
	rowHeight  = 34
	barWidth   = 12
	// axisPadding is the free space beyond the longest bar, as a fraction of the
	// range of the axis.
	axisPadding = 0.04
	// maxLabelLength bounds the label of a row, in characters.
	maxLabelLength = 28
)

var (
	colorBefore = color.RGBA{R: 0x8c, G: 0x96, B: 0xa0, A: 0xff}
	colorAfter  = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
)

// svg returns an svg element that shows the medians of a group as horizontal
// bars, the first row on top. A missing measurement has no bar.
func (g *group) svg() (string, error) {
	p := plot.New()
	p.Title.Text = g.title
	p.Title.Padding = rowHeight / 4
	p.X.Label.Text = g.unit
	count := len(g.rows)
	labels := make([]string, count)
	before, after := make(plotter.Values, count), make(plotter.Values, count)
	for i, r := range g.rows {
		position := count - 1 - i
		labels[position] = shortenLabel(r.name)
		if r.before != nil {
			before[position] = r.before.Median()
		}
		if r.after != nil {
			after[position] = r.after.Median()
		}
	}
	if err := addBars(p, "before", before, colorBefore, barWidth/2); err != nil {
		return "", err
	}
	if err := addBars(p, "after", after, colorAfter, -barWidth/2); err != nil {
		return "", err
	}
	p.NominalY(labels...)
	p.X.Min = min(p.X.Min, 0)
	if p.X.Max <= p.X.Min {
		p.X.Max = p.X.Min + 1
	}
	p.X.Max += (p.X.Max - p.X.Min) * axisPadding
	// The upper margin leaves room for the legend above the first row.
	p.Y.Min, p.Y.Max = -0.6, float64(count)+0.4
	p.Legend.Top = true
	return render(p, plotMargin+vg.Length(count+1)*rowHeight)
}

func addBars(p *plot.Plot, name string, values plotter.Values, fill color.Color, offset vg.Length) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("plot %q: %w", p.Title.Text, err)
	}
	bars.Horizontal, bars.Color, bars.Offset, bars.LineStyle.Width = true, fill, offset, 0
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

func shortenLabel(name string) string {
	if runes := []rune(name); len(runes) > maxLabelLength {
		return string(runes[:maxLabelLength-1]) + "…"
	}
	return name
}

// render returns the svg element without the XML declaration, which HTML does not
// allow.
func render(p *plot.Plot, height vg.Length) (string, error) {
	canvas := vgsvg.New(plotWidth, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	start := bytes.Index(b.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", fmt.Errorf("plot %q: no svg element", p.Title.Text)
	}
	return b.String()[start:], nil
}
