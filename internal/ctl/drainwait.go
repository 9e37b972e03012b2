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
	// maxListingDelay is how long a new drain may be missing from the list: a
	// revision takes effect on every entry host within this time.
	maxListingDelay = 10 * time.Second
	// maxReadFailures is the number of consecutive failed reads that end the wait.
	maxReadFailures = 5
)

// drainWaiter polls the progress of one drain until it is done.
type drainWaiter struct {
	client            *apiClient
	kind              config.DrainKind
	target            string
	interval, timeout time.Duration
	output            io.Writer

	listed       bool
	readFailures int
	lastLine     string
}

// wait returns the last progress of the drain once it is done. A wait that ends
// early does not abort the drain.
func (w *drainWaiter) wait(ctx context.Context) (*admin.DrainProgress, error) {
	if w.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.timeout)
		defer cancel()
	}
	begin := time.Now()
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		d, err := w.readProgress(ctx)
		switch {
		case d != nil && d.Done:
			return d, nil
		case ctx.Err() != nil:
			return nil, fmt.Errorf("stopped waiting: %w; the drain goes on", ctx.Err())
		case err != nil:
			return nil, err
		case d == nil && w.readFailures == 0 && w.listed:
			return nil, errors.New("the drain was aborted")
		case d == nil && w.readFailures == 0 && !w.listed && time.Since(begin) > maxListingDelay:
			return nil, fmt.Errorf("the drain is not listed after %s; see galenabeamctl drain list", maxListingDelay)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// readProgress reads the progress once. It returns nil without an error if the
// drain is not listed, or after a read failure that may be temporary: an entry host
// may restart during the drain.
func (w *drainWaiter) readProgress(ctx context.Context) (*admin.DrainProgress, error) {
	drains, err := w.client.drains(ctx)
	if err != nil {
		w.readFailures++
		if w.readFailures >= maxReadFailures || permanent(err) {
			return nil, fmt.Errorf("the drain goes on, but its progress cannot be read: %w", err)
		}
		w.print(errorText(err))
		return nil, nil
	}
	w.readFailures = 0
	position := slices.IndexFunc(drains, func(d admin.DrainProgress) bool { return d.Kind == w.kind && d.Target == w.target })
	if position < 0 {
		return nil, nil
	}
	w.listed = true
	d := drains[position]
	w.print(fmt.Sprintf("%s %s: %d requests left, end %s", d.Kind, d.Target, d.InFlight, formatEnd(d)))
	return &d, nil
}

// permanent reports whether the API would refuse a repeated request as well.
func permanent(err error) bool {
	var p *admin.Problem
	return errors.As(err, &p) && p.Status < http.StatusInternalServerError && p.Status != http.StatusTooManyRequests
}

// print writes a line unless it equals the previous one.
func (w *drainWaiter) print(line string) {
	if line != w.lastLine {
		fmt.Fprintln(w.output, printable(line))
	}
	w.lastLine = line
}
