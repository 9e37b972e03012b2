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

// Times of the scenario's events since the start of the load, and of the wait before
// it.
const (
	floodStart  = 3 * time.Second
	replaceTime = 5 * time.Second
	floodEnd    = 7 * time.Second
	loadEnd     = 9 * time.Second
	// readyTimeout bounds the wait of waitReady.
	readyTimeout = 8 * time.Second
	// readyPollInterval is the pause between two requests of that wait.
	readyPollInterval = 50 * time.Millisecond
)

// Options are the outputs of a run. Both are required.
type Options struct {
	// Progress receives one line per second.
	Progress io.Writer
	// Log receives the log of the entry hosts.
	Log io.Writer
}

// Run starts the deployment, runs the scenario under load and returns the result,
// up to then if ctx ends during the load. An error means that the deployment did not
// start, did not accept the configuration or did not serve requests in time.
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
	runScenario(loadCtx, c, l, o.Progress)
	<-finished
	r := evaluate(c, l.results(), c.overloads())
	return &r, nil
}

// waitReady waits until every region serves requests to every service.
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

// waitServed sends requests until one is served in the caller's region, and returns
// an error when ctx ends or the deadline passes.
func waitServed(ctx context.Context, l *load, region int, service string, deadline time.Time) error {
	for {
		before := len(l.results())
		l.running.Add(1)
		l.sendOne(region, 0, service)
		if s := l.results()[before]; s.kind == client.Done && s.region == regionNames[region] {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return trace.LimitExceeded("region %s does not serve %s after %v", regionNames[region], service, readyTimeout)
		}
		time.Sleep(readyPollInterval)
	}
}

// runScenario triggers the events of the run and writes its progress each second
// until ctx ends.
func runScenario(ctx context.Context, c *cluster, l *load, w io.Writer) {
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
		elapsed := time.Since(begun).Round(time.Second)
		note := ""
		switch elapsed {
		case floodStart:
			l.flood.Store(true)
			note = "flood of the least urgent rank starts"
		case replaceTime:
			oldID, newID, err := c.replaceHost(0)
			note = fmt.Sprintf("entry host %s is replaced by %s", oldID, newID)
			if err != nil {
				note = "replacing an entry host failed: " + err.Error()
			}
		case floodEnd:
			l.flood.Store(false)
			note = "flood ends"
		}
		s := l.results()
		writeProgress(w, elapsed, s[seen:], note)
		seen = len(s)
	}
}
