package config

import (
	"fmt"
	"strings"
)

// maxProblems bounds Problems.List and so the size of the report. Further problems
// are only counted.
const maxProblems = 100

// Problem is one error found in a configuration or its text.
type Problem struct {
	// Line is the line number in the text, from 1, or zero if the problem does
	// not concern a single line.
	Line int
	// Item is the name of the invalid item's section, for example
	// "service pay-svc".
	Item string
	// Key is the invalid key, or empty if the problem concerns the whole item.
	Key string
	// Value is the refused value.
	Value string
	// Message says what is wrong and what is allowed.
	Message string
}

// String formats the problem, with a long Value truncated.
func (p Problem) String() string {
	// One line, unless a Config that was not parsed has a line feed in a name or value.
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Item != "" {
		fmt.Fprintf(&b, "[%s] ", p.Item)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s = %s", p.Key, truncate(p.Value))
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems is the error with which Parse, Check and Print report all problems
// that they found.
type Problems struct {
	// List has the first 100 problems.
	List []Problem
	// More is the number of problems that List omits.
	More int
}

// Error returns a summary, the problems in List and the number of omitted ones,
// each on a new line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List)+2)
	lines = append(lines, fmt.Sprintf("configuration refused, %d problem(s):", len(p.List)+p.More))
	for _, problem := range p.List {
		lines = append(lines, problem.String())
	}
	if p.More > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", p.More))
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(problem Problem) {
	if len(p.List) >= maxProblems {
		p.More++
		return
	}
	p.List = append(p.List, problem)
}

func (p *Problems) addf(item, key, value, format string, args ...any) {
	p.add(Problem{Item: item, Key: key, Value: value, Message: fmt.Sprintf(format, args...)})
}

// err returns p as an error, or nil if there are no problems.
func (p *Problems) err() error {
	if len(p.List) == 0 {
		return nil
	}
	return p
}

// truncate shortens a value that is quoted in a message, and makes it valid UTF-8.
func truncate(s string) string {
	const maxBytes = 80
	s = strings.ToValidUTF8(s, "?")
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "") + "..."
}
