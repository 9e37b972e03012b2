package quickstart

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/client"
)

// Phases of the run, from its start.
const (
	floodStart  = 3 * time.Second
	replaceTime = 5 * time.Second
	floodEnd    = 7 * time.Second
	loadEnd     = 9 * time.Second
	// readyTimeout bounds the wait for the first served request.
	readyTimeout = 8 * time.Second
	readyPause   = 50 * time.Millisecond
)

// Options of a run.
type Options struct {
	// Progress receives one line per second.
	Progress io.Writer
	// Log receives the log of the entry hosts.
	Log io.Writer
}

// Run starts the deployment, offers the load, and returns the result. When ctx
// ends early, it returns the result so far.
func Run(ctx context.Context, o Options) (*Result, error) {
	log := logrus.New()
	log.SetOutput(o.Log)
	c, err := startCluster(log)
	defer c.close()
	if err != nil {
		return nil, err
	}
	if err := c.submit(ctx); err != nil {
		return nil, err
	}
	if err := waitReady(ctx, c); err != nil {
		return nil, err
	}
	l, err := newLoad(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, loadEnd)
	defer stopLoad()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.run(loadCtx)
	}()
	direct(loadCtx, c, l, o.Progress)
	<-finished
	r := evaluate(c, l.results(), c.overloads())
	return &r, nil
}

// waitReady waits until every region serves requests.
func waitReady(ctx context.Context, c *cluster) error {
	l, err := newLoad(c)
	if err != nil {
		return trace.Wrap(err)
	}
	deadline := time.Now().Add(readyTimeout)
	for region := range regionNames {
		for _, service := range serviceNames {
			if err := waitServed(ctx, l, region, service, deadline); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitServed sends requests until one is served in the caller's region.
func waitServed(ctx context.Context, l *load, region int, service string, deadline time.Time) error {
	for {
		before := len(l.results())
		l.running.Add(1)
		l.one(region, 0, service)
		if s := l.results()[before]; s.kind == client.Done && s.region == regionNames[region] {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return trace.LimitExceeded("region %s does not serve %s after %v", regionNames[region], service, readyTimeout)
		}
		time.Sleep(readyPause)
	}
}

// direct causes the events of the run and reports progress each second.
func direct(ctx context.Context, c *cluster, l *load, w io.Writer) {
	begun := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	seen := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		at := time.Since(begun).Round(time.Second)
		note := ""
		switch at {
		case floodStart:
			l.flood.Store(true)
			note = "flood of the least urgent rank starts"
		case replaceTime:
			old, fresh, err := c.replaceHost(0)
			note = fmt.Sprintf("entry host %s is replaced by %s", old, fresh)
			if err != nil {
				note = "replacing an entry host failed: " + err.Error()
			}
		case floodEnd:
			l.flood.Store(false)
			note = "flood ends"
		}
		s := l.results()
		progress(w, at, s[seen:], note)
		seen = len(s)
	}
}
