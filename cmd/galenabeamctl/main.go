// Command galenabeamctl is the operators' command line of galenabeam.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/galenabeam/galenabeam/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.Run(ctx, os.Args[1:], ctl.Env{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv,
	}))
}
