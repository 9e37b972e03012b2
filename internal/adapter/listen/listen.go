// Package listen makes the listeners of a process outlive failures to accept a
// connection.
package listen

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// minPause is the pause after the first of a series of failures, in which the
	// process may get the resource that it lacks. It doubles with each further one.
	minPause = 5 * time.Millisecond
	// maxPause bounds it. Callers allow a second for a new connection.
	maxPause = 100 * time.Millisecond
)

// Retry returns a listener whose Accept fails only once the listener is closed. Other
// failures concern one connection, or a lack of descriptors or memory that may end at any
// moment, and must not end the connections that the process serves. The first of a
// series is logged.
func Retry(l net.Listener, log logrus.FieldLogger) net.Listener {
	return &retrying{Listener: l, log: log, closed: make(chan struct{})}
}

type retrying struct {
	net.Listener
	log       logrus.FieldLogger
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener. The error wraps net.ErrClosed.
func (r *retrying) Accept() (net.Conn, error) {
	started, failures := time.Now(), 0
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		c, err := r.Listener.Accept()
		if err == nil {
			if failures > 0 {
				r.log.WithFields(logrus.Fields{"listener": r.Addr().String(), "failures": failures, "after_ms": time.Since(started).Milliseconds()}).
					Info("connections are accepted again")
			}
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if failures++; failures == 1 {
			started = time.Now()
			r.log.WithError(err).WithField("listener", r.Addr().String()).Error("failed to accept a connection; retrying")
		}
		select {
		case <-time.After(pause):
		case <-r.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener. It also ends a pause of Accept.
func (r *retrying) Close() error {
	r.closeOnce.Do(func() { close(r.closed) })
	return r.Listener.Close()
}
