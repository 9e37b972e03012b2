package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
)

const (
	// appearTime is how long a new drain may be missing from the list: a
	// revision is in force everywhere within this time.
	appearTime = 10 * time.Second
	// waitFailures is the number of failed looks in a row that end the wait.
	waitFailures = 5
)

// waiter follows one drain until it is done.
type waiter struct {
	client            *apiClient
	kind              config.DrainKind
	target            string
	interval, timeout time.Duration
	progress          io.Writer

	seen     bool
	failures int
	last     string
}

// wait returns the last progress of a drain that is done. The drain goes on
// when the wait ends early.
func (w *waiter) wait(ctx context.Context) (*admin.DrainProgress, error) {
	if w.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.timeout)
		defer cancel()
	}
	begin := time.Now()
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		d, err := w.look(ctx)
		switch {
		case d != nil && d.Done:
			return d, nil
		case ctx.Err() != nil:
			return nil, fmt.Errorf("stopped waiting: %w; the drain goes on", ctx.Err())
		case err != nil:
			return nil, err
		case d == nil && w.failures == 0 && w.seen:
			return nil, errors.New("the drain was aborted")
		case d == nil && w.failures == 0 && !w.seen && time.Since(begin) > appearTime:
			return nil, fmt.Errorf("the drain is not listed after %s; see galenabeamctl drain list", appearTime)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// look reads the progress once, nil while it is not known. It tolerates some
// failures, because an entry host may restart during the drain.
func (w *waiter) look(ctx context.Context) (*admin.DrainProgress, error) {
	drains, err := w.client.drains(ctx)
	if err != nil {
		w.failures++
		if w.failures >= waitFailures || permanent(err) {
			return nil, fmt.Errorf("the drain goes on, but its progress cannot be read: %w", err)
		}
		w.print(message(err))
		return nil, nil
	}
	w.failures = 0
	at := slices.IndexFunc(drains, func(d admin.DrainProgress) bool { return d.Kind == w.kind && d.Target == w.target })
	if at < 0 {
		return nil, nil
	}
	w.seen = true
	d := drains[at]
	w.print(fmt.Sprintf("%s %s: %d requests left, end %s", d.Kind, d.Target, d.Left, estimate(d)))
	return &d, nil
}

// permanent tells that a repeat is refused as well.
func permanent(err error) bool {
	var p *admin.Problem
	return errors.As(err, &p) && p.Status < http.StatusInternalServerError && p.Status != http.StatusTooManyRequests
}

// print writes a line that differs from the last one.
func (w *waiter) print(line string) {
	if line != w.last {
		fmt.Fprintln(w.progress, printable(line))
	}
	w.last = line
}
