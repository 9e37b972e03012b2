package config

import (
	"fmt"
	"strings"
)

// maxProblems bounds the problems listed in one report. The rest is counted.
const maxProblems = 100

// Problem is one fault of a configuration.
type Problem struct {
	// Line is the line of the text, or zero when the fault has no single line.
	Line int
	// Item names the offending item as its section is printed, for example
	// "service pay-svc".
	Item string
	// Key is the offending key, or empty when the fault concerns the item.
	Key string
	// Value is the refused value.
	Value string
	// Message tells what is wrong and what is allowed.
	Message string
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Item != "" {
		fmt.Fprintf(&b, "[%s] ", p.Item)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s = %s", p.Key, clip(p.Value))
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems is the error that Parse and Check return. It lists every fault
// found, up to a limit.
type Problems struct {
	List []Problem
	// More is the number of faults that the list leaves out.
	More int
}

// Error returns one line for each problem.
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

// err returns nil when there is no problem.
func (p *Problems) err() error {
	if len(p.List) == 0 {
		return nil
	}
	return p
}

// clip bounds a value that is quoted in a message.
func clip(s string) string {
	const limit = 80
	s = strings.ToValidUTF8(s, "?")
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}
