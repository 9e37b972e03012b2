package confsync

import (
	"bytes"
	"fmt"
	"testing"
)

// blockText returns a configuration text with a number of client blocks.
func blockText(blocks int) []byte {
	var b bytes.Buffer
	b.WriteString("[client-blocks]\n")
	for i := range blocks {
		fmt.Fprintf(&b, "%d.%d.%d.0/24 = east\n", 11+i>>16, i>>8&255, i&255)
	}
	return b.Bytes()
}

// BenchmarkApplyStep measures the work of a replica on the text for a revision
// that changes one line: applying the delta and checking the checksum. Parsing
// the text is not included.
func BenchmarkApplyStep(b *testing.B) {
	for _, blocks := range []int{100_000, 400_000, 1_600_000} {
		b.Run(fmt.Sprint("blocks=", blocks), func(b *testing.B) {
			old := blockText(blocks)
			text := bytes.Replace(old, []byte("11.0.1.0/24 = east"), []byte("11.0.1.0/24 = west"), 1)
			delta, ok := Diff(old, text)
			if !ok {
				b.Fatal("no delta")
			}
			step := Step{Revision: 1_000_000, Checksum: ChecksumOf(text), Delta: delta, Audit: Audit{Operation: "op-1000000", Who: "operator", Why: "move a block"}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := delta.Apply(old, step.Checksum); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text_bytes")
			b.ReportMetric(float64(len(mustEncode(Push{step}))), "push_bytes")
		})
	}
}
