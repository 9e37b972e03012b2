package quickstart

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/galenabeam/galenabeam/client"
)

// RankResult counts the outcomes of one rank's requests.
type RankResult struct {
	Rank    string `json:"rank"`
	Offered int    `json:"offered"`
	Done    int    `json:"done"`
	// InTime counts the done requests answered within the rank's target.
	InTime  int `json:"in_time"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Duplicates counts requests of non-idempotent ranks that ran more than once.
	Duplicates int `json:"duplicates"`
	// Cut counts incomplete answers.
	Cut int `json:"cut"`
	// P50 and P99 are quantiles of the latency of done requests, in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// Result is the result of a run.
type Result struct {
	Ranks []RankResult `json:"ranks"`
	// Broken has a text with a count for each promise that did not hold. It is
	// empty, not nil, if all held.
	Broken []string `json:"broken"`
}

// The latency histograms range from 1 microsecond to 60 s with 3 significant decimal
// digits. Longer latencies count as 60 s.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// evaluate computes the result from the samples and checks the promises.
func evaluate(c *cluster, samples []sample, overloads int) Result {
	r := Result{Broken: []string{}}
	histograms := make([]*hdrhistogram.Histogram, len(rankNames))
	for i, name := range rankNames {
		r.Ranks = append(r.Ranks, RankResult{Rank: name})
		histograms[i] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	}
	crossed, falseNotRun, falseNotRunExample := 0, 0, ""
	for _, s := range samples {
		row := &r.Ranks[s.rank]
		row.Offered++
		runs := c.runs(s.work)
		if !workloads[s.rank].idempotent && runs > 1 {
			row.Duplicates++
		}
		switch s.kind {
		case client.Done:
			row.Done++
			if s.latency <= c.config.Ranks[s.rank].Target {
				row.InTime++
			}
			_ = histograms[s.rank].RecordValue(min(maxLatencyMicros, s.latency.Microseconds()))
		case client.NotRun:
			row.NotRun++
			if runs > 0 {
				falseNotRun++
				falseNotRunExample = s.work + ", told " + s.reason
			}
		default:
			row.Unknown++
		}
		if s.cut {
			row.Cut++
		}
		if s.crossed {
			crossed++
		}
	}
	for i := range r.Ranks {
		r.Ranks[i].P50 = float64(histograms[i].ValueAtQuantile(50)) / 1000
		r.Ranks[i].P99 = float64(histograms[i].ValueAtQuantile(99)) / 1000
	}
	r.checkPromises(crossed, falseNotRun, falseNotRunExample, overloads)
	return r
}

// checkPromises adds a line to Broken for each promise that did not hold.
func (r *Result) checkPromises(crossed, falseNotRun int, falseNotRunExample string, overloads int) {
	addViolation := func(n int, promise string) {
		if n > 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("%s: %d", promise, n))
		}
	}
	duplicates, cut := 0, 0
	for _, row := range r.Ranks {
		duplicates += row.Duplicates
		cut += row.Cut
	}
	addViolation(duplicates, "at most once: work that ran more than once")
	addViolation(cut+crossed, "whole own answer: answers cut or crossed")
	addViolation(falseNotRun, "not run is true: work that ran although told not run ("+falseNotRunExample+")")
	addViolation(overloads, "no overload: requests beyond a backend server's slots")
}

// WriteTable writes the result to w as a text table with one row per rank, followed
// by the broken promises.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rank\toffered\tdone\tin time\tnot run\tunknown\tduplicates\tcut\tp50 ms\tp99 ms\t")
	for _, row := range r.Ranks {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", row.Rank, row.Offered, row.Done, row.InTime, row.NotRun,
			row.Unknown, row.Duplicates, row.Cut, row.P50, row.P99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.Broken) == 0 {
		_, err := fmt.Fprintln(w, "all promises held")
		return err
	}
	for _, b := range r.Broken {
		if _, err := fmt.Fprintln(w, "BROKEN", b); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the result to w as one indented JSON object.
func (r *Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// writeProgress writes a line with the outcomes of the samples since the last line.
func writeProgress(w io.Writer, elapsed time.Duration, samples []sample, note string) {
	done := make([]int, len(rankNames))
	refused := make([]map[string]int, len(rankNames))
	for i := range refused {
		refused[i] = map[string]int{}
	}
	for _, s := range samples {
		if s.kind == client.Done {
			done[s.rank]++
		} else {
			refused[s.rank][s.reason]++
		}
	}
	fmt.Fprintf(w, "%4.0fs ", elapsed.Seconds())
	for i, name := range rankNames {
		fmt.Fprintf(w, " %s %d done", name, done[i])
		for _, reason := range slices.Sorted(maps.Keys(refused[i])) {
			fmt.Fprintf(w, ", %d %s", refused[i][reason], reason)
		}
		fmt.Fprint(w, ";")
	}
	fmt.Fprintln(w, "", note)
}
