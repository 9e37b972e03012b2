// Package logsink writes log lines without blocking callers and limits their rate.
// It drops lines above the limit or while its queue is full, and logs their number.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the log volume.
const (
	// linesPerSecond limits the lines of one process about failures and changes.
	linesPerSecond = 120
	// routineLinesPerSecond limits the lines of one process about successes.
	routineLinesPerSecond = 60
	// burstLines is the burst of each of the two limits.
	burstLines = 400
	// queueLines bounds the lines that wait for the output.
	queueLines = 512
	// reportPeriod is the time between two reports of dropped lines.
	reportPeriod = time.Second
)

// Sink is an io.Writer for a logger. Each call of Write is one line. It is safe for
// concurrent use.
type Sink struct {
	out          io.Writer
	lines        chan []byte
	limit        *rate.Limiter
	routineLimit *rate.Limiter
	dropped      atomic.Int64 // lines since the last report
	closing      chan struct{}
	stopped      chan struct{}
}

// New returns a sink and starts the goroutine that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerSecond, burstLines),
		routineLimit: rate.NewLimiter(routineLinesPerSecond, burstLines), closing: make(chan struct{}), stopped: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write queues a line or drops it. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) { return s.enqueue(line, s.limit) }

// Routine returns a writer for lines about successes, whose limit is separate so that
// they do not use up that of failures.
func (s *Sink) Routine() io.Writer { return routineWriter{s} }

type routineWriter struct{ s *Sink }

func (w routineWriter) Write(line []byte) (int, error) { return w.s.enqueue(line, w.s.routineLimit) }

// enqueue queues a copy of line, or counts it as dropped if limit is exceeded or the
// queue is full.
func (s *Sink) enqueue(line []byte, limit *rate.Limiter) (int, error) {
	if !limit.Allow() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the sink. It must be called once.
func (s *Sink) Close() {
	close(s.closing)
	<-s.stopped
}

func (s *Sink) run() {
	defer close(s.stopped)
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ticker.C:
			s.report()
		case <-s.closing:
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			s.report()
			return
		}
	}
}

// write writes the line and the lines queued after it in one call.
func (s *Sink) write(line []byte) {
	for len(s.lines) > 0 && len(line) < writeBatchBytes {
		line = append(line, <-s.lines...)
	}
	// There is nowhere to report a failure to write the log.
	_, _ = s.out.Write(line)
}

// writeBatchBytes is the size from which write adds no further line.
const writeBatchBytes = 32 << 10

// report writes the number of lines dropped since the last report, if any.
func (s *Sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		s.write([]byte(fmt.Sprintf(`{"level":"warning","msg":"log lines dropped","lines":%d}`+"\n", n)))
	}
}
