package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/internal/routetable"
)

// Limits of a connection of a caller.
const (
	// maxPipelined bounds the requests of a connection that are served at once.
	maxPipelined = 16
	// wholeBody is the size up to which a body is read before it is sent on, so
	// that it can be sent again.
	wholeBody = 1 << 20
	// readBuffer and writeBuffer are the sizes of a connection's buffers.
	readBuffer, writeBuffer = 4 << 10, 4 << 10
	// answerWriteTimeout ends a connection whose caller does not read.
	answerWriteTimeout = 10 * time.Second
	// bodyReadTimeout bounds the time between two pieces of a body.
	bodyReadTimeout = 10 * time.Second
)

// defaultLimits hold until a configuration is known.
var defaultLimits = routetable.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20,
	HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Handler answers one request. It must return soon after ctx is done.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Answer
	// Limits returns what callers may send.
	Limits() routetable.Limits
}

// Front serves callers' connections. Requests that a caller sends before the
// first is answered are served at once and answered in their order.
type Front struct {
	handler Handler

	draining atomic.Bool
	closing  atomic.Bool // idle connections are closed
	mu       sync.Mutex
	conns    map[*frontConn]struct{}
	open     atomic.Int64 // requests without a written answer
}

// NewFront returns a server without connections.
func NewFront(h Handler) *Front { return &Front{handler: h, conns: map[*frontConn]struct{}{}} }

// Serve accepts connections until the listener is closed.
func (f *Front) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() || strings.Contains(err.Error(), "too many open files") {
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		fc := &frontConn{front: f, nc: c, limited: &io.LimitedReader{R: c}, queue: make(chan *exchange, maxPipelined)}
		fc.br = bufio.NewReaderSize(fc.limited, readBuffer)
		f.mu.Lock()
		f.conns[fc] = struct{}{}
		f.mu.Unlock()
		go fc.serve()
	}
}

// acceptPause is the wait after the process ran out of descriptors.
const acceptPause = 20 * time.Millisecond

// Drain makes the answers in progress the last ones of their connections.
func (f *Front) Drain() { f.draining.Store(true) }

// CloseIdle ends connections on which no request is in progress, and others when
// their answers are written.
func (f *Front) CloseIdle() {
	f.closing.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.finish()
	}
}

// Open returns the number of requests whose answers are not written yet.
func (f *Front) Open() int64 { return f.open.Load() }

// exchange is a request and its answer.
type exchange struct {
	request *Request
	answer  *Answer
	done    chan struct{} // closed when answer is set
	written chan struct{} // closed when the answer was written or given up
}

type frontConn struct {
	front   *Front
	nc      net.Conn
	limited *io.LimitedReader
	br      *bufio.Reader
	queue   chan *exchange

	mu       sync.Mutex
	pending  int
	finished bool // no further request is taken
	last     time.Time
}

// finish ends the connection if no request is in progress. The deadline wakes
// its reader; both are set under the lock, so that the reader cannot set a later
// deadline in between.
func (c *frontConn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishIdle()
}

// finishIdle is finish for callers that hold the lock.
func (c *frontConn) finishIdle() {
	if c.pending == 0 {
		c.finished = true
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// expectRequest sets the time until which the next request must begin. It
// returns false if the connection takes no further request.
func (c *frontConn) expectRequest(limits routetable.Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return false
	}
	idle := limits.IdleTimeout
	if c.pending == 0 && !c.last.IsZero() {
		idle -= time.Since(c.last)
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(max(idle, time.Millisecond)))
	return true
}

// admit counts a request that was read. It returns false if the connection
// takes no further request.
func (c *frontConn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return false
	}
	c.pending++
	c.front.open.Add(1)
	return true
}

// settle counts an answer. last tells that the connection ends with it.
func (c *frontConn) settle(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.front.open.Add(-1)
	c.last = time.Now()
	if last {
		c.finished = true
	}
	if c.front.closing.Load() {
		c.finishIdle()
	}
}

// closes tells whether the answer about to be written is the last one: the host
// drains and no other request was read.
func (c *frontConn) closes(a *Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Close || c.front.draining.Load() && c.pending == 1 {
		c.finished = true
		return true
	}
	return false
}

func (c *frontConn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers(cancel)
	}()
	c.readRequests(ctx)
	if c.unanswered() {
		// The caller left: nobody waits for the answers.
		cancel()
	}
	close(c.queue)
	<-written
	cancel()
	_ = c.nc.Close()
	c.front.mu.Lock()
	delete(c.front.conns, c)
	c.front.mu.Unlock()
}

func (c *frontConn) unanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0 && !c.finished
}

// readRequests reads until the caller or the connection ends.
func (c *frontConn) readRequests(ctx context.Context) {
	for {
		limits := c.front.handler.Limits()
		if !c.awaitRequest(limits) {
			return
		}
		ex, refused := c.readRequest(limits)
		if ex == nil && refused == nil {
			return
		}
		if refused != nil {
			ex = &exchange{answer: refused, done: make(chan struct{}), written: make(chan struct{})}
			close(ex.done)
		}
		if !c.admit() {
			return
		}
		if refused == nil {
			go c.run(ctx, ex)
		}
		c.queue <- ex
		if refused != nil {
			// The rest of the bytes cannot be told apart from a request.
			<-ex.written
			return
		}
		if ex.request.Rest != nil {
			<-ex.written
			if !ex.request.Rest.ended.Load() {
				// Whoever sends the body on may still read it: the connection
				// ends with the answer.
				return
			}
		}
	}
}

func (c *frontConn) run(ctx context.Context, ex *exchange) {
	ex.answer = c.front.handler.Serve(ctx, ex.request)
	close(ex.done)
}

// awaitRequest waits for the first byte of a request. It returns false when the
// caller left, was idle for too long, or the connection takes no more requests.
func (c *frontConn) awaitRequest(limits routetable.Limits) bool {
	for {
		c.limited.N = limits.HeaderBytes + readBuffer
		if !c.expectRequest(limits) {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			return false
		}
		c.mu.Lock()
		expired := c.pending == 0 && (c.finished || c.last.IsZero() || time.Since(c.last) >= limits.IdleTimeout)
		if expired {
			c.finished = true
		}
		c.mu.Unlock()
		if expired {
			return false
		}
	}
}

// readRequest reads one request. It returns an answer instead if the request
// cannot be served, and nil for both if the caller left.
func (c *frontConn) readRequest(limits routetable.Limits) (*exchange, *Answer) {
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	hr, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, c.badHeader(err)
	}
	c.limited.N = 1 << 62
	r := &Request{HTTP: hr, Received: time.Now(), Length: hr.ContentLength}
	if hr.Header.Get("Host") == "" && hr.Host == "" {
		return nil, last(failure(http.StatusBadRequest, "missing Host header"))
	}
	if hr.ContentLength > limits.BodyBytes {
		return nil, last(failure(http.StatusRequestEntityTooLarge, "body exceeds the limit of the configuration"))
	}
	if refused, ok := c.readBody(r, limits); !ok || refused != nil {
		return nil, refused
	}
	return &exchange{request: r, done: make(chan struct{}), written: make(chan struct{})}, nil
}

func last(a *Answer) *Answer { a.Close = true; return a }

// badHeader answers a header that could not be read.
func (c *frontConn) badHeader(err error) *Answer {
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		return last(failure(http.StatusRequestTimeout, "header did not arrive in time"))
	case c.limited.N <= 0:
		return last(failure(http.StatusRequestHeaderFieldsTooLarge, "header exceeds the limit of the configuration"))
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne):
		return nil
	}
	return last(failure(http.StatusBadRequest, "malformed request"))
}

// readBody reads a body of moderate size whole and the beginning of a larger one.
func (c *frontConn) readBody(r *Request, limits routetable.Limits) (*Answer, bool) {
	if r.HTTP.ContentLength == 0 {
		return nil, true
	}
	if strings.EqualFold(r.HTTP.Header.Get("Expect"), "100-continue") && c.br.Buffered() == 0 {
		c.invite()
	}
	body := &timedReader{conn: c.nc, r: r.HTTP.Body}
	size := int64(wholeBody)
	if r.HTTP.ContentLength > 0 {
		size = min(size, r.HTTP.ContentLength)
	}
	var err error
	r.Body, err = io.ReadAll(io.LimitReader(body, size))
	if err != nil {
		return c.badBody(err), false
	}
	if r.HTTP.ContentLength > 0 && int64(len(r.Body)) == r.HTTP.ContentLength {
		return nil, true
	}
	if int64(len(r.Body)) < wholeBody {
		r.Length = int64(len(r.Body))
		return nil, true
	}
	r.Rest = &restReader{r: io.LimitReader(body, limits.BodyBytes-int64(len(r.Body))+1)}
	return nil, true
}

// badBody answers a body that could not be read.
func (c *frontConn) badBody(err error) *Answer {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return last(failure(http.StatusRequestTimeout, "body did not arrive in time"))
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &ne) {
		return nil
	}
	return last(failure(http.StatusBadRequest, "malformed body"))
}

// invite tells a caller that waits before it sends its body to go on. Earlier
// answers must be written first.
func (c *frontConn) invite() {
	for {
		c.mu.Lock()
		pending := c.pending
		c.mu.Unlock()
		if pending == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
}

// timedReader bounds the time between two pieces of a body.
type timedReader struct {
	conn net.Conn
	r    io.Reader
}

func (t *timedReader) Read(p []byte) (int, error) {
	_ = t.conn.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	return t.r.Read(p)
}

// restReader reads the part of a large body that is not held. One goroutine
// reads; any may ask whether the end was reached.
type restReader struct {
	r     io.Reader
	ended atomic.Bool
}

func (b *restReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}
