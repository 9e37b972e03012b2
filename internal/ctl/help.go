package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const exitCodes = "exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict: another change came first"

func help(args []string, env Env) int {
	if len(args) == 0 {
		printOverview(env.Stdout, "")
		return ExitOK
	}
	if c, _, found := findCommand(args); found {
		c.printUsage(env.Stdout)
		return ExitOK
	}
	if len(args) == 1 && isCommandGroup(args[0]) {
		printOverview(env.Stdout, args[0]+" ")
		return ExitOK
	}
	fmt.Fprintf(env.Stderr, "galenabeamctl: unknown command %q\n", printable(strings.Join(args, " ")))
	return ExitUsage
}

// printOverview prints the commands whose names start with a prefix.
func printOverview(w io.Writer, prefix string) {
	fmt.Fprintln(w, "usage: galenabeamctl COMMAND [flags] [arguments]")
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		if !strings.HasPrefix(c.name, prefix) {
			continue
		}
		fmt.Fprintf(t, "  %s\t%s\n", strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	fmt.Fprintf(t, "  help [COMMAND]\tPrints this overview, or the flags of a command as COMMAND -h does.\n")
	// Output is to a terminal or a buffer; a failure shows as missing text.
	_ = t.Flush()
	fmt.Fprintln(w)
	fmt.Fprintln(w, exitCodes)
}

func (c command) printUsage(w io.Writer) {
	fmt.Fprintln(w, "usage:", strings.TrimSpace("galenabeamctl "+c.name+" [flags] "+c.args))
	fmt.Fprintln(w)
	fmt.Fprintln(w, c.summary)
	fmt.Fprintln(w)
	// Defaults from the environment are left out.
	i, _ := c.newInvocation(Env{Getenv: func(string) string { return "" }})
	i.flags.SetOutput(w)
	i.flags.PrintDefaults()
	fmt.Fprintln(w)
	fmt.Fprintln(w, exitCodes)
}
