package report_test

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/ctl/report"
)

const quickstartJSON = `{"ranks":[{"rank":"lookup","offered":100,"done":99,"in_time":90,"p50_ms":1.5,"p99_ms":12.25}],"broken":["at most once: 1"]}`

// TestParse guards against measurements that are lost, misread or merged under a wrong
// name, above all when the number of processors is part of a benchmark's name.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		desc, text string
		err        string
		key        report.Key
		median     float64
		notes      int
	}{
		{"suffix of processors", "BenchmarkA/x/24-8 10 5 ns/op\nBenchmarkB-8 1 2 B/op\n", "", report.Key{Group: "BenchmarkA", Unit: "ns/op", Name: "x/24"}, 5, 0},
		{"number in a name", "BenchmarkA/x-24 10 5 ns/op\nBenchmarkB 1 2 B/op\n", "", report.Key{Group: "BenchmarkA", Unit: "ns/op", Name: "x-24"}, 5, 0},
		{"custom metric", "goos: linux\nBenchmarkA-8\t1\t5 ns/op\t0.25 overloads\nPASS\n", "", report.Key{Group: "BenchmarkA", Unit: "overloads"}, 0.25, 0},
		{"odd number of runs", "BenchmarkA 1 9 ns/op\nBenchmarkA 1 2 ns/op\nBenchmarkA 1 4 ns/op\n", "", report.Key{Group: "BenchmarkA", Unit: "ns/op"}, 4, 0},
		{"even number of runs", "BenchmarkA 1 9 ns/op\nBenchmarkA 1 2 ns/op\n", "", report.Key{Group: "BenchmarkA", Unit: "ns/op"}, 5.5, 0},
		{"not a number", "BenchmarkA 1 NaN share 3 ns/op\n", "", report.Key{Group: "BenchmarkA", Unit: "ns/op"}, 3, 1},
		{"malformed value", "BenchmarkA 1 x ns/op\n", `"x" is not a number`, report.Key{}, 0, 0},
		{"quickstart", quickstartJSON, "", report.Key{Group: "Share of the offered done within the target", Unit: "share", Name: "lookup"}, 0.9, 1},
		{"other JSON", `{"a":1}`, "neither", report.Key{}, 0, 0},
		{"malformed JSON", `{"ranks":`, "JSON", report.Key{}, 0, 0},
		{"other text", "PASS\n", "neither", report.Key{}, 0, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			r, err := report.Parse([]byte(c.text))
			if c.err != "" {
				g.Expect(err).To(MatchError(ContainSubstring(c.err)))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Notes).To(HaveLen(c.notes))
			for _, m := range r.Measurements {
				if m.Key == c.key {
					g.Expect(m.Median()).To(Equal(c.median))
					return
				}
			}
			t.Errorf("no measurement %+v", c.key)
		})
	}
}

func writePage(g *WithT, before, after string) (string, error) {
	p := report.Page{Title: "<b>title", Names: [2]string{"a", "b"}}
	var err error
	p.Before, err = report.Parse([]byte(before))
	g.Expect(err).NotTo(HaveOccurred())
	p.After, err = report.Parse([]byte(after))
	g.Expect(err).NotTo(HaveOccurred())
	var b bytes.Buffer
	err = report.Write(&b, p)
	return b.String(), err
}

// TestWrite guards against measurements that are missing from the page, plots that a
// browser cannot read, and names that act as markup.
func TestWrite(t *testing.T) {
	for _, c := range []struct {
		desc, before, after string
		want                []string
		plots               int
	}{
		{"changed, new and removed measurements", "BenchmarkA/x 1 200 ns/op\nBenchmarkA/y 1 0 ns/op\nBenchmarkOld 1 1 ns/op\n",
			"BenchmarkA/x 1 150 ns/op\nBenchmarkA/y 1 3 ns/op\nBenchmarkNew 1 0.12345 share\n",
			[]string{"<td>x</td><td>200</td><td>150</td><td>-25.0%</td>", "<td>y</td><td>0</td><td>3</td><td>from 0</td>",
				"<td>1</td><td>none</td>", "<td>none</td><td>0.1235</td>"}, 3},
		{"several runs", "BenchmarkA 1 1 ns/op\nBenchmarkA 1 2 ns/op\nBenchmarkA 1 4 ns/op\n", "BenchmarkA 1 2 ns/op\n", []string{"<td>2 (1 to 4)</td><td>2</td><td>0%</td>"}, 1},
		{"negative and large values", "BenchmarkA 1 -0.0001 gain 1e18 size\n", "BenchmarkA 1 -2 gain 2e18 size\n", []string{"-0.0001000", "&#43;100.0%"}, 2},
		{"markup in names", "BenchmarkA/<script> 1 1 ns/op\n", "BenchmarkA/<script> 1 1 ns/op\n", []string{"&lt;script&gt;", "&lt;b&gt;title"}, 1},
		{"quickstart", quickstartJSON, quickstartJSON, []string{"<td>lookup</td><td>12.25</td>", "<li>at most once: 1</li>"}, 10},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			html, err := writePage(g, c.before, c.after)
			g.Expect(err).NotTo(HaveOccurred())
			for _, want := range c.want {
				g.Expect(html).To(ContainSubstring(want))
			}
			g.Expect(html).NotTo(Or(ContainSubstring("<script"), ContainSubstring("<?xml"), ContainSubstring("NaN"), ContainSubstring("Inf")))
			plots := 0
			for rest := html; strings.Contains(rest, "<svg"); plots++ {
				rest = rest[strings.Index(rest, "<svg"):]
				end := strings.Index(rest, "</svg>") + len("</svg>")
				g.Expect(wellFormed(rest[:end])).To(Succeed())
				rest = rest[end:]
			}
			g.Expect(plots).To(Equal(c.plots))
			again, _ := writePage(g, c.before, c.after)
			g.Expect(again).To(Equal(html))
		})
	}
	_, err := writePage(NewWithT(t), quickstartJSON, "BenchmarkA 1 1 ns/op\n")
	NewWithT(t).Expect(err).To(MatchError(report.ErrDifferentKinds))
}

func wellFormed(text string) error {
	decoder := xml.NewDecoder(strings.NewReader(text))
	for {
		if _, err := decoder.Token(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}
