package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/internal/connlimit"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// Limits of a caller's connection.
const (
	// maxPipelined bounds the requests of a connection whose answers are queued.
	maxPipelined = 16
	// maxBufferedBody is the size in bytes up to which a body is read before it is
	// forwarded, so that it can be sent again.
	maxBufferedBody = 1 << 20
	// readBuffer is the size in bytes of the read buffer of a connection.
	readBuffer = 4 << 10
	// writeBuffer is the size in bytes of the write buffer of a connection.
	writeBuffer = 4 << 10
	// answerWriteTimeout bounds each write of an answer: the connection of a caller
	// that does not read is closed.
	answerWriteTimeout = 10 * time.Second
	// bodyReadTimeout bounds the wait for the next part of a body.
	bodyReadTimeout = 10 * time.Second
	// lingerTime bounds the time from the last answer of a connection to its close, in
	// which the answer arrives. Some 10 KB arrive in each round trip of a caller in another
	// region.
	lingerTime = 2 * time.Second
)

// defaultLimits apply until a configuration is known.
var defaultLimits = routetable.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20,
	HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Causes of the end of a request's context other than its deadline.
var (
	errCallerLeft = errors.New("caller has disconnected")
	// errConnEnded: an earlier answer ended the connection.
	errConnEnded = errors.New("connection ended with an earlier answer")
)

// Handler answers one request. It must return soon after ctx or r.Ending is done, in the
// second case with an answer.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Answer
	// NeedsBody reports whether the body of a request, which has not been read, is
	// needed to answer it.
	NeedsBody(r *Request) bool
	// Limits returns the limits of callers' requests and connections.
	Limits() routetable.Limits
}

// Front serves callers' HTTP/1.1 connections. Pipelined requests are served
// concurrently and answered in order.
type Front struct {
	handler Handler
	// ConnLimit bounds the connections. It is set before Serve; nil sets no bound.
	ConnLimit *connlimit.Limit

	draining    atomic.Bool
	closingIdle atomic.Bool // set by CloseIdle
	mu          sync.Mutex
	conns       map[*frontConn]struct{}
	// bodies is the budget of all buffered bodies.
	bodies   memoryBudget
	inFlight atomic.Int64 // the result of InFlight
	// lingering is the result of Lingering.
	lingering atomic.Int64
}

// NewFront returns a Front that passes requests to h.
func NewFront(h Handler) *Front { return &Front{handler: h, conns: map[*frontConn]struct{}{}} }

// Serve accepts connections until the listener is closed, and then returns nil. Another
// error of the listener ends it; see package listen.
func (f *Front) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		fc := &frontConn{front: f, nc: c, headerLimit: &io.LimitedReader{R: c}, queue: make(chan *exchange, maxPipelined), idleSince: time.Now()}
		fc.br = bufio.NewReaderSize(fc.headerLimit, readBuffer)
		if !f.ConnLimit.Open(fc) {
			// All connections have requests. The caller's is not read, so it may be sent
			// to another host.
			_ = c.Close()
			continue
		}
		f.mu.Lock()
		f.conns[fc] = struct{}{}
		f.mu.Unlock()
		go fc.serve()
	}
}

// Drain starts the shutdown: each connection is closed after its next answer, once all
// requests read from it are answered. Idle and new connections still accept a request.
func (f *Front) Drain() { f.draining.Store(true) }

// CloseIdle closes each connection as soon as its requests are answered. A request
// that was read only in part is dropped without an answer.
func (f *Front) CloseIdle() {
	f.closingIdle.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.closeIfIdle()
	}
}

// ReleaseAnswers ends the running requests that hold back an answer: one to a later request
// of their connection is ready. Call it repeatedly while a shutdown nears its end. It returns
// the number of requests that it ended.
func (f *Front) ReleaseAnswers() int { return f.endRequests((*frontConn).countHolding) }

// EndRequests ends all running requests, so that their callers get an answer while the host
// can still send one. It returns the number of requests that it ended.
func (f *Front) EndRequests() int {
	return f.endRequests(func(c *frontConn) int { return len(c.open) })
}

// endRequests ends those that run of the first open requests of each connection. count returns
// the number of these first requests; it is called with the connection's lock held.
func (f *Front) endRequests(count func(*frontConn) int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := 0
	for c := range f.conns {
		c.mu.Lock()
		for _, ex := range c.open[:count(c)] {
			if !ex.answered() && !ex.request.isEnding() {
				ex.end()
				ended++
			}
		}
		c.mu.Unlock()
	}
	return ended
}

// InFlight returns the number of requests that were read, completely or up to 1 MiB of
// their bodies, and whose answers are not written yet.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

// Lingering returns the number of connections whose last answer may not have arrived yet.
func (f *Front) Lingering() int64 { return f.lingering.Load() }

// exchange is a request and its answer.
type exchange struct {
	request *Request // nil if it could not be read completely
	answer  *Answer
	end     context.CancelFunc // of request.Ending
	done    chan struct{}      // closed when answer is set
	written chan struct{}      // closed when the answer is written or dropped
}

func newExchange() *exchange {
	return &exchange{done: make(chan struct{}), written: make(chan struct{})}
}

// answered reports whether the answer is known.
func (ex *exchange) answered() bool {
	select {
	case <-ex.done:
		return true
	default:
		return false
	}
}

// frontConn is a connection of a caller. One goroutine reads requests, another
// writes answers, and each request is served by its own.
type frontConn struct {
	front       *Front
	nc          net.Conn
	headerLimit *io.LimitedReader // bounds the bytes read for a header
	br          *bufio.Reader
	queue       chan *exchange

	mu        sync.Mutex
	open      []*exchange // requests whose answers are not completed, in their order
	reading   bool        // a request arrives
	closing   bool        // an answer demanded the end of the connection
	finished  bool        // no further request is accepted
	idleSince time.Time   // when the connection was accepted or its latest answer completed

	// lingerTimer closes the connection after lingerTime. It is nil until the sending side
	// is closed.
	lingerTimer *time.Timer
}

// closeIfIdle ends the connection if all requests read are answered. A read deadline
// in the past wakes the reader. Flag and deadline are set under the lock, so that
// the reader cannot set a later deadline in between.
func (c *frontConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfIdleLocked()
}

// closeIfIdleLocked is closeIfIdle for callers that hold c.mu.
func (c *frontConn) closeIfIdleLocked() {
	if len(c.open) == 0 && c.lingerTimer == nil {
		c.finished = true
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseIdle implements connlimit.Conn.
func (c *frontConn) CloseIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 || c.reading {
		return false
	}
	c.closeIfIdleLocked()
	return true
}

// beginReading records that a request arrives, and reports whether the connection accepts
// it.
func (c *frontConn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return false
	}
	c.reading = true
	c.front.ConnLimit.Busy(c)
	return true
}

// countHolding returns the number of open requests before the last one with an answer to
// write, 0 if there is none. The caller holds c.mu.
func (c *frontConn) countHolding() int {
	for i, ex := range slices.Backward(c.open) {
		if ex.answered() && !ex.answer.Abort {
			return i
		}
	}
	return 0
}

// expectRequest sets the read deadline for the first byte of the next request and
// reports whether the connection accepts one.
func (c *frontConn) expectRequest(idleTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return false
	}
	c.reading = false
	if len(c.open) == 0 {
		c.front.ConnLimit.Idle(c)
	}
	left := idleTimeout
	if len(c.open) == 0 {
		left -= time.Since(c.idleSince)
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(max(left, time.Millisecond)))
	return true
}

// admit adds a request that was read to the open ones, unless the connection accepts no
// further request, and reports whether it did.
func (c *frontConn) admit(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return false
	}
	c.open = append(c.open, ex)
	c.front.inFlight.Add(1)
	return true
}

// completeAnswer removes the first open request, whose answer was written or dropped.
// endsConn is true if the connection ends with it.
func (c *frontConn) completeAnswer(endsConn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = slices.Delete(c.open, 0, 1)
	c.front.inFlight.Add(-1)
	c.idleSince = time.Now()
	if endsConn {
		c.finished = true
	}
	if len(c.open) == 0 && !c.reading && !c.finished {
		c.front.ConnLimit.Idle(c)
	}
	if c.front.closingIdle.Load() {
		c.closeIfIdleLocked()
	}
}

// closesAfter reports whether the connection ends with the next answer, and then lets
// it accept no further request: the answer or an earlier one demands it, or the host is
// shutting down. The connection does not end while other requests that were read are
// unanswered: backend servers may run them.
func (c *frontConn) closesAfter(a *Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || a.Close
	if len(c.open) == 1 && (c.closing || c.front.draining.Load()) {
		c.finished = true
		return true
	}
	return false
}

func (c *frontConn) serve() {
	ctx, cancel := context.WithCancelCause(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers(cancel)
	}()
	c.readRequests(ctx)
	if c.hasUnanswered() {
		// The caller has disconnected or closed its sending side, and is assumed not to
		// wait for the answers.
		cancel(errCallerLeft)
	}
	close(c.queue)
	<-written
	cancel(nil)
	c.linger()
	_ = c.nc.Close()
	c.front.ConnLimit.Close(c)
	c.front.mu.Lock()
	delete(c.front.conns, c)
	c.front.mu.Unlock()
}

// closeWrite closes the sending side of the connection, unless it is closed. The caller
// finds the end of the connection behind the last answer.
func (c *frontConn) closeWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingerTimer != nil {
		return
	}
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		_ = c.nc.Close()
		return
	}
	c.finished = true
	c.front.lingering.Add(1)
	c.lingerTimer = time.AfterFunc(lingerTime, func() { _ = c.nc.Close() })
}

// linger drops what the caller still sends until it has closed the connection, or
// lingerTime is over. A connection that is closed with unread bytes is reset, and the part
// of the last answer that has not arrived is lost.
func (c *frontConn) linger() {
	if c.lingerTimer == nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.nc) // ends with an error, at the latest when the timer closes it
	c.lingerTimer.Stop()
	c.front.lingering.Add(-1)
}

// hasUnanswered reports whether this host has not ended the connection and answers
// are outstanding.
func (c *frontConn) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0 && !c.finished
}

// readRequests reads requests and starts serving them until the caller disconnects
// or the connection accepts no more.
func (c *frontConn) readRequests(ctx context.Context) {
	for {
		if !c.awaitRequest() {
			return
		}
		// The limits in force when the request arrives apply, however long the connection was
		// idle before.
		ex, errorAnswer := c.readRequest(c.front.handler.Limits())
		if ex == nil && errorAnswer == nil {
			return
		}
		if errorAnswer != nil {
			ex = newExchange()
			ex.answer = errorAnswer
			close(ex.done)
		}
		if !c.admit(ex) {
			return
		}
		if errorAnswer == nil {
			go c.serveRequest(ctx, ex)
		}
		c.queue <- ex
		if errorAnswer != nil {
			// The unread part of the request cannot be distinguished from a new one.
			<-ex.written
			return
		}
		if ex.request.Rest != nil {
			<-ex.written
			if ex.answer.SkipBody {
				ex.request.Rest.skip()
			}
			if !ex.request.Rest.reachedEnd() {
				// The goroutine that forwards the body may still read it, so the
				// connection ends with this answer.
				c.closeWrite()
				return
			}
		}
	}
}

func (c *frontConn) serveRequest(ctx context.Context, ex *exchange) {
	ex.answer = c.front.handler.Serve(ctx, ex.request)
	close(ex.done)
}

// awaitRequest waits for the first byte of a request. It returns false if the caller
// disconnected, the idle timeout in force at that time passed, or no more requests are
// accepted.
func (c *frontConn) awaitRequest() bool {
	for {
		c.headerLimit.N = readBuffer // readRequest bounds the header
		if !c.expectRequest(c.front.handler.Limits().IdleTimeout) {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return c.beginReading()
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			return false
		}
		if c.expire(c.front.handler.Limits().IdleTimeout) {
			return false
		}
	}
}

// expire lets the connection accept no further request if it has been idle for idleTimeout
// or accepts none already, and reports whether it did.
func (c *frontConn) expire(idleTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 || !c.finished && time.Since(c.idleSince) < idleTimeout {
		return false
	}
	c.finished = true
	return true
}
