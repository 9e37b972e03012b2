package ctl

import (
	"context"
	"errors"
	"io"

	"github.com/galenabeam/galenabeam/internal/quickstart"
)

// errPromiseBroken sets the exit code. It is not printed: the result lists the
// broken promises.
var errPromiseBroken = errors.New("a promise did not hold; see the result")

func prepareQuickstart(i *invocation) action {
	verbose := i.flags.Bool("v", false, "print the log of the entry hosts")
	return func(ctx context.Context) error {
		options := quickstart.Options{Progress: i.Stderr, Log: io.Discard}
		if *verbose {
			options.Log = i.Stderr
		}
		result, err := quickstart.Run(ctx, options)
		if err != nil {
			return err
		}
		write := result.WriteTable
		if i.asJSON {
			write = result.WriteJSON
		}
		if err := write(i.Stdout); err != nil {
			return err
		}
		if len(result.Broken) > 0 {
			return &reportedError{errPromiseBroken}
		}
		return nil
	}
}
