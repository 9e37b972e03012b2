// Package ctl implements the commands of galenabeamctl, the operators' command
// line. Commands that read or change a deployment use only its administration API,
// which entry hosts serve if galenabeamd runs without -platform. explain-request uses the
// metrics address of entry hosts that run with -platform.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/galenabeam/galenabeam/internal/adapter/admin"
)

// Exit codes of Run.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage means that the command line is wrong; nothing was done.
	ExitUsage = 2
	// ExitConflict means that another change came first; nothing was changed.
	ExitConflict = 3
)

// Env holds the standard streams and environment variables of a command.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Getenv         func(string) string
}

// usageError reports a wrong command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// reportedError is a failure that the command has already printed.
type reportedError struct{ error }

// action runs a command whose flags have been parsed.
type action func(ctx context.Context) error

// command is a command of galenabeamctl. Its name may have two words.
type command struct {
	name, args, summary string
	// json reports whether the command has the flag -json.
	json bool
	// prepare defines the flags and returns the action.
	prepare func(i *invocation) action
}

// invocation is one run of a command.
type invocation struct {
	Env
	flags  *flag.FlagSet
	args   []string
	asJSON bool
}

func commands() []command {
	return []command{
		{"validate", "FILE", "Checks a configuration file. Offline, unless -remote is given.", true, prepareValidate},
		{"submit", "FILE", "Puts a configuration in force and prints its revision.", true, prepareSubmit},
		{"diff", "[OLD] FILE", "Lists the changes to FILE, from the file OLD (offline) or from a revision.", true, prepareDiff},
		{"show", "", "Prints a revision of the configuration, by default the one in force.", true, prepareShow},
		{"status", "", "Prints entry hosts, drains, shift caps and queues.", true, prepareStatus},
		{"dump", "", "Prints the state dump of the entry host as JSON, or only its metrics as text.", false, prepareDump},
		{"drain start", "KIND TARGET", "Drains a backend-server, a failure-domain (REGION/NAME) or a region.", true, prepareDrainStart},
		{"drain list", "", "Lists the drains in force with their progress.", true, prepareDrainList},
		{"drain abort", "KIND TARGET", "Aborts a drain.", true, prepareDrainAbort},
		{"explain", "ID [LOG...]", "Prints what the logs of entry hosts say about a request. Offline; reads standard input if no LOG is given.", false, prepareExplain},
		{"explain-request", "", "Prints where a request would go now and why, without sending it. For entry hosts with -platform.", true, prepareExplainRequest},
		{"call", "", "Sends one request through the system.", true, prepareCall},
		{"report", "BEFORE AFTER", "Writes an HTML page that compares two benchmark or quickstart results.", false, prepareReport},
		{"quickstart", "", "Runs a demonstration on loopback addresses.", true, prepareQuickstart},
	}
}

// Run executes the command line args and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	if len(args) == 0 {
		printOverview(env.Stderr, "")
		return ExitUsage
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		return help(args[1:], env)
	}
	c, rest, found := findCommand(args)
	if !found && isCommandGroup(args[0]) {
		printOverview(env.Stderr, args[0]+" ")
		return ExitUsage
	}
	if !found {
		fmt.Fprintf(env.Stderr, "galenabeamctl: unknown command %q; see galenabeamctl help\n", printable(strings.Join(args[:min(2, len(args))], " ")))
		return ExitUsage
	}
	return c.run(ctx, rest, env)
}

// findCommand returns the command that args start with, and the other arguments.
func findCommand(args []string) (command, []string, bool) {
	for _, c := range commands() {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			return c, args[len(words):], true
		}
	}
	return command{}, nil, false
}

// isCommandGroup reports whether a word is the first of a two-word command name.
func isCommandGroup(word string) bool {
	return slices.ContainsFunc(commands(), func(c command) bool { return strings.HasPrefix(c.name, word+" ") })
}

func (c command) run(ctx context.Context, args []string, env Env) int {
	i, run := c.newInvocation(env)
	err := i.parse(args)
	if errors.Is(err, flag.ErrHelp) {
		c.printUsage(env.Stdout)
		return ExitOK
	}
	if err == nil {
		err = run(ctx)
	}
	return i.finish(c.name, err)
}

// newInvocation returns an invocation with the flags of the command, and its action.
func (c command) newInvocation(env Env) (*invocation, action) {
	i := &invocation{Env: env, flags: flag.NewFlagSet(c.name, flag.ContinueOnError)}
	i.flags.SetOutput(io.Discard)
	if c.json {
		i.flags.BoolVar(&i.asJSON, "json", false, "print the result as JSON")
	}
	return i, c.prepare(i)
}

// parse accepts flags before, between and after the arguments.
func (i *invocation) parse(args []string) error {
	for {
		if err := i.flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return err
			}
			return &usageError{err.Error()}
		}
		if i.flags.NArg() == 0 {
			return nil
		}
		i.args = append(i.args, i.flags.Arg(0))
		args = i.flags.Args()[1:]
	}
}

// requireArgs returns a usage error unless there is one argument for each name.
func (i *invocation) requireArgs(names ...string) error {
	if len(i.args) != len(names) {
		return usagef("want %d arguments (%s), got %d", len(names), strings.Join(names, " "), len(i.args))
	}
	return nil
}

// finish prints an error unless the command has done so, and returns the exit code.
func (i *invocation) finish(name string, err error) int {
	if err == nil {
		return ExitOK
	}
	var reported *reportedError
	if errors.As(err, &reported) {
		return ExitFailed
	}
	code := exitCode(err)
	var p *admin.Problem
	errors.As(err, &p)
	text := "galenabeamctl " + name + ": " + errorText(err)
	if code == ExitUsage {
		text += "\nsee galenabeamctl " + name + " -h"
	}
	fmt.Fprintln(i.Stderr, printable(text))
	if i.asJSON {
		// A failed write is ignored: the exit code and standard error show the failure.
		_ = i.printJSON(failure{Error: errorText(err), ExitCode: code, Problem: p})
	}
	return code
}

// failure is the error of a command as JSON.
type failure struct {
	Error    string         `json:"error"`
	ExitCode int            `json:"exit_code"`
	Problem  *admin.Problem `json:"problem,omitempty"`
}

func exitCode(err error) int {
	var usage *usageError
	var p *admin.Problem
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &p) && codeOf(p) == admin.CodeConflict:
		return ExitConflict
	}
	return ExitFailed
}

func (i *invocation) printJSON(value any) error {
	e := json.NewEncoder(i.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// printTable prints rows of cells in aligned columns.
func (i *invocation) printTable(rows [][]string) error {
	t := tabwriter.NewWriter(i.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for n, cell := range row {
			cells[n] = strings.ReplaceAll(printable(cell), "\t", " ")
		}
		fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	return t.Flush()
}

// printable replaces the control characters in text from other sources, because a
// terminal would interpret them. It keeps line breaks and tabs.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' && r != '\t' {
			return '?'
		}
		return r
	}, s)
}
