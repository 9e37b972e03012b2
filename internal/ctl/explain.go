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

// maxLogLineBytes bounds a line of a log.
const maxLogLineBytes = 1 << 20

// logLine is a line of an entry host's log.
type logLine struct {
	Time, Host, Level, Message string
	fields                     map[string]any
}

// stateMessages are the log messages with -platform that report a change of a host's
// state. Of each, explain prints the host's last line by service and pool; that state
// may have ended before the request. Messages logged only without -platform are left
// out.
var stateMessages = []string{
	"configuration in force", "source of the store's changes", "store does not answer; the last known state stays in force",
	"store answers again", "dispatcher does not answer; asking the next one", "dispatcher changed", "shutting down", "entry host started",
	"knowledge of the pool loaded", "store was restored from an older copy", "changes of an earlier revision ignored",
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
	in.Buffer(nil, maxLogLineBytes)
	var lines []logLine
	for in.Scan() {
		start := strings.IndexByte(in.Text(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(in.Text()[start:]), &fields) != nil {
			continue
		}
		stringField := func(name string) string { s, _ := fields[name].(string); return s }
		lines = append(lines, logLine{Time: stringField("time"), Host: stringField("host"), Level: stringField("level"), Message: stringField("msg"), fields: fields})
	}
	return lines, in.Err()
}

// explain prints the log lines about a request, each followed by the state messages
// that its host logged before.
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
		printHostState(w, lines[:n], l.Host)
	}
	if !found {
		return fmt.Errorf("no line about request %s; successes are left out of the log under load", printable(id))
	}
	return nil
}

// printHostState prints the last line with each state message of a host.
func printHostState(w io.Writer, before []logLine, host string) {
	printed := map[string]bool{}
	var texts []string
	for n := len(before) - 1; n >= 0; n-- {
		l := before[n]
		// A message may concern one service or pool.
		topic := fmt.Sprint(l.Message, l.fields["service"], l.fields["pool"])
		if l.Host != host || printed[topic] || !slices.Contains(stateMessages, l.Message) {
			continue
		}
		printed[topic] = true
		texts = append(texts, fmt.Sprintf("  since %s: %s %s", l.Time, l.Message, formatFields(l.fields)))
	}
	slices.Reverse(texts)
	for _, text := range texts {
		fmt.Fprintln(w, text)
	}
}

// formatFields returns the fields of a log line that not every line has.
func formatFields(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		if !slices.Contains([]string{"time", "host", "level", "msg"}, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
