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

// Sizes of a plot, in points.
const (
	plotWidth = 480
	// plotMargin is the height of title and axis.
	plotMargin = 54
	rowHeight  = 34
	barWidth   = 12
	// spareWidth is the share of the axis that no bar reaches.
	spareWidth = 0.04
	// maxLabel bounds the characters of a row's label.
	maxLabel = 28
)

var (
	colorBefore = color.RGBA{R: 0x8c, G: 0x96, B: 0xa0, A: 0xff}
	colorAfter  = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
)

// svg draws a group as horizontal bars, the first row on top, and returns an
// svg element. A missing figure has no bar.
func (g *group) svg() (string, error) {
	p := plot.New()
	p.Title.Text = g.title
	p.Title.Padding = rowHeight / 4
	p.X.Label.Text = g.unit
	count := len(g.rows)
	labels := make([]string, count)
	before, after := make(plotter.Values, count), make(plotter.Values, count)
	for i, r := range g.rows {
		at := count - 1 - i
		labels[at] = label(r.name)
		if r.before != nil {
			before[at] = r.before.Median()
		}
		if r.after != nil {
			after[at] = r.after.Median()
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
	p.X.Max += (p.X.Max - p.X.Min) * spareWidth
	// The legend stands above the first row.
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

func label(name string) string {
	if runes := []rune(name); len(runes) > maxLabel {
		return string(runes[:maxLabel-1]) + "…"
	}
	return name
}

// render returns the svg element without the XML declaration, which must not
// stand inside an HTML page.
func render(p *plot.Plot, height vg.Length) (string, error) {
	canvas := vgsvg.New(plotWidth, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	at := bytes.Index(b.Bytes(), []byte("<svg"))
	if at < 0 {
		return "", fmt.Errorf("plot %q: no svg element", p.Title.Text)
	}
	return b.String()[at:], nil
}
