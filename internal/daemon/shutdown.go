package daemon

import (
	"context"
	"time"

	"github.com/galenabeam/galenabeam/internal/drain"
	"github.com/galenabeam/galenabeam/internal/edge"
)

const (
	// lookupGrace is added to the time to live of look-up answers before the
	// host refuses callers. It covers the delay to callers.
	lookupGrace = 200 * time.Millisecond
	// shutdownTick separates two looks at the requests and roles that are left.
	shutdownTick = 20 * time.Millisecond
	// closeTimeout bounds the closing of idle connections of callers.
	closeTimeout = time.Second
)

// waitShutdown waits for the end of ctx and then shuts down without cutting a
// request, step by step as drain.Shutdown decides. Closing the force channel
// or the shutdown limit ends requests with their truthful outcome.
func (d *Daemon) waitShutdown(ctx, stop context.Context) error {
	select {
	case <-ctx.Done():
	case <-stop.Done():
		return nil
	}
	s := drain.NewShutdown(d.control.Now(), edge.DefaultLookupTTL+lookupGrace, d.opts.ShutdownLimit)
	force := d.opts.Force
	ticker := time.NewTicker(shutdownTick)
	defer ticker.Stop()
	for {
		s.Observe(d.edge.Active(), d.roles())
		for _, step := range s.Next(d.control.Now(), nil) {
			d.shutdownStep(step)
			if step == drain.Exit {
				return nil
			}
		}
		select {
		case <-stop.Done():
			return nil
		case <-force:
			force = nil
			s.Signal()
		case <-ticker.C:
		}
	}
}

// roles returns whether other hosts have still to take over from this one.
func (d *Daemon) roles() int {
	select {
	case <-d.control.Released():
		return 0
	default:
		return 1
	}
}

func (d *Daemon) shutdownStep(step drain.Step) {
	switch step {
	case drain.Withdraw:
		d.log.Info("shutting down")
		d.edge.Leave()
	case drain.HandOver:
		d.control.Leave()
	case drain.Refuse:
		d.edge.Refuse()
	case drain.EndRequests:
		d.log.WithField("active", d.edge.Active()).Warn("shutdown ends before requests and roles are done")
		d.endRequests()
	case drain.Exit:
		if d.roles() > 0 {
			d.log.Warn("shutdown ended with leases held")
		}
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := d.http.Shutdown(ctx); err != nil {
			d.log.WithField("active", d.edge.Active()).Warn("shutdown cut requests")
		}
	}
}
