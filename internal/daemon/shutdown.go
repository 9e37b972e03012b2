package daemon

import (
	"context"
	"time"

	"github.com/galenabeam/galenabeam/internal/drain"
	"github.com/galenabeam/galenabeam/internal/edge"
)

const (
	// lookupGrace is added to the time to live of lookup answers before the host
	// refuses new requests. It covers the network delay to callers, but not the time
	// until all hosts know that this one is leaving.
	lookupGrace = 200 * time.Millisecond
	// shutdownPollInterval is the time between two checks of what is left.
	shutdownPollInterval = 20 * time.Millisecond
	// closeTimeout bounds the final wait for callers' HTTP connections to become idle
	// and close. Those that do not are closed then.
	closeTimeout = time.Second
)

// waitShutdown waits for the end of ctx, then shuts down in the steps of
// drain.Shutdown. Only if Options.Force is closed or the shutdown limit is reached, it
// cancels the requests in flight. Their callers get the outcome if it can be sent
// before the process exits.
func (d *Daemon) waitShutdown(ctx, groupCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
		return nil
	}
	steps := drain.NewShutdown(d.control.Now(), edge.DefaultLookupTTL+lookupGrace, d.opts.ShutdownLimit)
	force := d.opts.Force
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		steps.Observe(d.edge.InFlight(), d.unreleasedRoles())
		for _, step := range steps.Next(d.control.Now(), nil) {
			d.runShutdownStep(step)
			if step == drain.Exit {
				return nil
			}
		}
		select {
		case <-groupCtx.Done():
			return nil
		case <-force:
			force = nil
			steps.Signal()
		case <-ticker.C:
		}
	}
}

// unreleasedRoles returns 1 while this process still has or hands over its lease
// role, or has a pool, otherwise 0.
func (d *Daemon) unreleasedRoles() int {
	select {
	case <-d.control.Released():
		return 0
	default:
		return 1
	}
}

// runShutdownStep executes a step. EndRequests logs its warning also if no request is
// in flight and only roles are left. "shutdown cut requests" is logged if connections
// are not idle after closeTimeout: those of new callers without a request and of
// lookups, too, which "active" leaves out.
func (d *Daemon) runShutdownStep(step drain.Step) {
	switch step {
	case drain.Withdraw:
		d.log.Info("shutting down")
		d.edge.Leave()
	case drain.HandOver:
		d.control.Leave()
	case drain.Refuse:
		d.edge.Refuse()
	case drain.EndRequests:
		d.log.WithField("active", d.edge.InFlight()).Warn("graceful shutdown incomplete; canceling the remaining requests")
		d.endRequests()
	case drain.Exit:
		if d.unreleasedRoles() > 0 {
			d.log.Warn("shutdown ended with leases held")
		}
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := d.http.Shutdown(ctx); err != nil {
			d.log.WithField("active", d.edge.InFlight()).Warn("shutdown cut requests")
		}
	}
}
