package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
)

// maxLogLine bounds a log line that explain reads.
const maxLogLine = 1 << 20

// logLine is a line of an entry host's log.
type logLine struct {
	Time, Host, Level, Message string
	fields                     map[string]any
}

// beliefs are the messages by which a host tells that it believes something
// else from now on. The last one of each kind was in force.
var beliefs = []string{
	"configuration in force", "source of the store's changes", "store does not answer; the last known state stays in force",
	"store answers again", "dispatcher does not answer; asking the next one", "dispatcher changed", "shutting down", "entry host started",
	"knowledge of the pool loaded",
}

func prepareExplain(i *invocation) action {
	return func(context.Context) error {
		if len(i.args) == 0 {
			return usagef("explain needs the ID of a request")
		}
		var lines []logLine
		files := i.args[1:]
		if len(files) == 0 {
			read, err := readLog(i.Stdin)
			if err != nil {
				return err
			}
			lines = read
		}
		for _, name := range files {
			f, err := os.Open(name)
			if err != nil {
				return err
			}
			read, err := readLog(f)
			_ = f.Close()
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			lines = append(lines, read...)
		}
		return explain(i.Stdout, i.args[0], lines)
	}
}

// readLog reads the JSON objects of a log. Text before an object, such as the
// time and host that a collector adds, and lines without one are skipped.
func readLog(r io.Reader) ([]logLine, error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLogLine)
	var lines []logLine
	for in.Scan() {
		at := strings.IndexByte(in.Text(), '{')
		if at < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(in.Text()[at:]), &fields) != nil {
			continue
		}
		text := func(name string) string { s, _ := fields[name].(string); return s }
		lines = append(lines, logLine{Time: text("time"), Host: text("host"), Level: text("level"), Message: text("msg"), fields: fields})
	}
	return lines, in.Err()
}

// explain prints what the hosts logged of a request, with what each believed.
func explain(w io.Writer, id string, lines []logLine) error {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].Time < lines[b].Time })
	found := false
	for n, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		found = true
		fmt.Fprintf(w, "%s %s: %s: outcome %v, status %v after %v ms, %v ms left\n", l.Time, l.Host, l.Message,
			l.fields["outcome"], l.fields["status"], l.fields["took_ms"], l.fields["left_ms"])
		fmt.Fprintf(w, "  route %v, service %v, object %q, configuration %v, view %v of %v ms ago\n", l.fields["route"], l.fields["service"],
			l.fields["key"], l.fields["config_version"], l.fields["view_revision"], l.fields["view_age_ms"])
		attempts, _ := l.fields["attempts"].([]any)
		for number, a := range attempts {
			if f, ok := a.(map[string]any); ok {
				fmt.Fprintf(w, "  attempt %d, decided by %v: server %v (warm %v, %v requests there, %v of all slots taken), expected wait %v ms and service %v ms; %v after %v ms\n",
					number+1, f["by"], f["server"], f["warm"], f["load"], f["busy"], f["wait_ms"], f["service_ms"], f["result"], f["took_ms"])
			}
		}
		if l.fields["retry_budget_empty"] == true {
			fmt.Fprintln(w, "  the retry budget of the service allowed no further attempt")
		}
		printBeliefs(w, lines[:n], l.Host)
	}
	if !found {
		return fmt.Errorf("no line about request %s; successes are left out of the log under load", printable(id))
	}
	return nil
}

// printBeliefs prints the last line of each belief that a host logged before.
func printBeliefs(w io.Writer, before []logLine, host string) {
	seen := map[string]bool{}
	var list []string
	for n := len(before) - 1; n >= 0; n-- {
		l := before[n]
		// A belief may be about one service or pool.
		about := fmt.Sprint(l.Message, l.fields["service"], l.fields["pool"])
		if l.Host != host || seen[about] || !slices.Contains(beliefs, l.Message) {
			continue
		}
		seen[about] = true
		list = append(list, fmt.Sprintf("  since %s: %s %s", l.Time, l.Message, details(l.fields)))
	}
	slices.Reverse(list)
	for _, line := range list {
		fmt.Fprintln(w, line)
	}
}

// details formats the fields of a line that are not in every line.
func details(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		if !slices.Contains([]string{"time", "host", "level", "msg"}, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
