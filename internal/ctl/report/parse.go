package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/galenabeam/galenabeam/internal/quickstart"
)

// maxLineBytes bounds a line of benchmark output.
const maxLineBytes = 1 << 20

// processorSuffix matches the number of processors that the testing package
// appends to the name of a benchmark when it is not 1.
var processorSuffix = regexp.MustCompile(`-[0-9]+$`)

// benchmarkLine is one line of benchmark output.
type benchmarkLine struct {
	name string
	// fields alternate between a value and its unit.
	fields []string
}

// parseBenchmarks reads the output of go test -bench. Other lines are skipped.
func parseBenchmarks(text []byte) (*Result, error) {
	var lines []benchmarkLine
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || len(fields)%2 != 0 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		if _, err := strconv.ParseUint(fields[1], 10, 64); err != nil {
			continue
		}
		lines = append(lines, benchmarkLine{fields[0], fields[2:]})
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	suffix := commonSuffix(lines)
	r := &Result{Kind: KindBenchmark}
	for _, line := range lines {
		group, name, _ := strings.Cut(strings.TrimSuffix(line.name, suffix), "/")
		for i := 0; i < len(line.fields); i += 2 {
			value, err := strconv.ParseFloat(line.fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %q is not a number", line.name, line.fields[i])
			}
			// The page lists values that cannot be compared as notes.
			if math.IsNaN(value) || math.IsInf(value, 0) {
				r.Notes = append(r.Notes, fmt.Sprintf("%s: %s %s", line.name, line.fields[i], line.fields[i+1]))
				continue
			}
			r.add(Key{group, line.fields[i+1], name}, value)
		}
	}
	return r, nil
}

// commonSuffix returns the processor suffix that all names share, or an empty
// string. With one processor the testing package appends none, so a number that
// only some names end in is their own.
func commonSuffix(lines []benchmarkLine) string {
	common := ""
	for i, line := range lines {
		s := processorSuffix.FindString(line.name)
		if s == "" || i > 0 && s != common {
			return ""
		}
		common = s
	}
	return common
}

// parseQuickstart reads the JSON result of a quickstart.
func parseQuickstart(text []byte) (*Result, error) {
	var result quickstart.Result
	if err := json.Unmarshal(text, &result); err != nil {
		return nil, err
	}
	r := &Result{Kind: KindQuickstart, Notes: result.Broken}
	for _, measure := range []struct {
		group, unit string
		value       func(quickstart.RankResult) float64
	}{
		{"Requests offered", "requests", func(q quickstart.RankResult) float64 { return float64(q.Offered) }},
		{"Requests done", "requests", func(q quickstart.RankResult) float64 { return float64(q.Done) }},
		{"Done within the target", "requests", func(q quickstart.RankResult) float64 { return float64(q.InTime) }},
		{"Share of the offered done within the target", "share", inTimeShare},
		{"Not run", "requests", func(q quickstart.RankResult) float64 { return float64(q.NotRun) }},
		{"Outcome unknown", "requests", func(q quickstart.RankResult) float64 { return float64(q.Unknown) }},
		{"Ran more than once", "requests", func(q quickstart.RankResult) float64 { return float64(q.Duplicates) }},
		{"Answers cut", "requests", func(q quickstart.RankResult) float64 { return float64(q.Cut) }},
		{"Latency, median", "ms", func(q quickstart.RankResult) float64 { return q.P50 }},
		{"Latency, 99th percentile", "ms", func(q quickstart.RankResult) float64 { return q.P99 }},
	} {
		for _, rank := range result.Ranks {
			r.add(Key{measure.group, measure.unit, rank.Rank}, measure.value(rank))
		}
	}
	return r, nil
}

func inTimeShare(q quickstart.RankResult) float64 {
	if q.Offered == 0 {
		return 0
	}
	return float64(q.InTime) / float64(q.Offered)
}
