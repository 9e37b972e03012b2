// Command galenabeamctl is the operators' command line of galenabeam.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/galenabeam/galenabeam/internal/quickstart"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprintln(stderr, "usage: galenabeamctl COMMAND [flags]; commands: quickstart")
		return exitUsage
	}
	if args[0] != "quickstart" {
		fmt.Fprintf(stderr, "galenabeamctl: unknown command %q\n", args[0])
		return exitUsage
	}
	return runQuickstart(ctx, args[1:], stdout, stderr)
}

func runQuickstart(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("quickstart", flag.ContinueOnError)
	fs.SetOutput(stderr)
	asJSON := fs.Bool("json", false, "print the result as one JSON object")
	verbose := fs.Bool("v", false, "print the log of the entry hosts")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	o := quickstart.Options{Progress: stderr, Log: io.Discard}
	if *verbose {
		o.Log = stderr
	}
	result, err := quickstart.Run(ctx, o)
	if err != nil {
		fmt.Fprintln(stderr, "quickstart:", err)
		return exitFailed
	}
	write := result.WriteTable
	if *asJSON {
		write = result.WriteJSON
	}
	if err := write(stdout); err != nil || len(result.Broken) > 0 {
		return exitFailed
	}
	return exitOK
}
