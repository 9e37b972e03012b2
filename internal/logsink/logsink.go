// Package logsink writes log lines without blocking their callers and bounds
// their volume: when lines come faster than the bound or than the output takes
// them, the surplus is dropped and counted in a line of its own.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the volume.
const (
	// linesPerSecond bounds the lines on failures and changes of one process,
	// routinePerSecond those on what went well.
	linesPerSecond, routinePerSecond = 120, 60
	// burstLines may be written at once.
	burstLines = 400
	// queueLines is the number of lines that wait for the output.
	queueLines = 512
	// reportPeriod is the time between two reports of dropped lines.
	reportPeriod = time.Second
)

// Sink is an io.Writer for a logger. Each Write is one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	routine *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	stopped chan struct{}
}

// New returns a sink and starts its writer.
func New(out io.Writer) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerSecond, burstLines),
		routine: rate.NewLimiter(routinePerSecond, burstLines), done: make(chan struct{}), stopped: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write queues a line or drops it. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) { return s.queue(line, s.limit) }

// Routine returns a writer for lines on what went well. They have a bound of
// their own, so that they never take the place of failures.
func (s *Sink) Routine() io.Writer { return routineWriter{s} }

type routineWriter struct{ s *Sink }

func (w routineWriter) Write(line []byte) (int, error) { return w.s.queue(line, w.s.routine) }

func (s *Sink) queue(line []byte, limit *rate.Limiter) (int, error) {
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

// Close writes the queued lines and stops.
func (s *Sink) Close() {
	close(s.done)
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
		case <-s.done:
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			s.report()
			return
		}
	}
}

// write writes the line and those that wait behind it in one call.
func (s *Sink) write(line []byte) {
	for len(s.lines) > 0 && len(line) < maxWrite {
		line = append(line, <-s.lines...)
	}
	// There is nowhere to report that the log cannot be written.
	_, _ = s.out.Write(line)
}

// maxWrite bounds the bytes of one write.
const maxWrite = 32 << 10

func (s *Sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		s.write([]byte(fmt.Sprintf(`{"level":"warning","msg":"log lines dropped","lines":%d}`+"\n", n)))
	}
}
