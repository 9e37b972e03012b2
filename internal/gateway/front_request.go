package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/internal/requesttarget"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// readRequest reads one request. It returns an answer instead if the request cannot
// be served, and nil for both if the caller disconnected.
func (c *frontConn) readRequest(limits routetable.Limits) (*exchange, *Answer) {
	c.headerLimit.N = limits.HeaderBytes + readBuffer - int64(c.br.Buffered())
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	hr, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, c.headerErrorAnswer(err)
	}
	c.headerLimit.N = 1 << 62
	r := &Request{HTTP: hr, Target: requesttarget.Parse(hr.RequestURI), Received: time.Now(), Length: hr.ContentLength}
	if hr.Header.Get("Host") == "" && hr.Host == "" {
		return nil, closeAfter(failure(http.StatusBadRequest, "missing Host header"))
	}
	if hr.ContentLength > limits.BodyBytes {
		return nil, closeAfter(failure(http.StatusRequestEntityTooLarge, errBodyTooLarge.Error()))
	}
	if c.leavesBody(r) {
		r.Rest = &restReader{r: c.bodyReader(r), left: limits.BodyBytes}
	} else if errorAnswer, ok := c.readBody(r, limits); !ok || errorAnswer != nil {
		return nil, errorAnswer
	}
	ex := newExchange()
	ex.request = r
	r.Ending, ex.end = context.WithCancel(context.Background())
	return ex, nil
}

// closeAfter makes the connection end with the answer a.
func closeAfter(a *Answer) *Answer { a.Close = true; return a }

// headerErrorAnswer returns the answer to a request whose header could not be read,
// or nil if the caller disconnected.
func (c *frontConn) headerErrorAnswer(err error) *Answer {
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		return closeAfter(failure(http.StatusRequestTimeout, "header did not arrive in time"))
	case c.headerLimit.N <= 0:
		return closeAfter(failure(http.StatusRequestHeaderFieldsTooLarge, "header exceeds the limit of the configuration"))
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne):
		return nil
	}
	return closeAfter(failure(http.StatusBadRequest, "malformed request"))
}

// leavesBody reports whether a request is served before its body is read, because the body
// is not needed. A caller that waits for an interim answer is sent that first: without it,
// the caller may or may not send the body, and the connection could not be kept.
func (c *frontConn) leavesBody(r *Request) bool {
	return r.Length != 0 && r.HTTP.Header.Get("Expect") == "" && !c.front.handler.NeedsBody(r)
}

func (c *frontConn) bodyReader(r *Request) io.Reader {
	return &timedReader{conn: c.nc, r: r.HTTP.Body}
}

// readBody reads up to maxBufferedBody bytes of a body, less if the memory for bodies is
// used up, and leaves the rest of a larger one in r.Rest. It returns false if the request
// cannot be served, with no answer if the caller disconnected.
func (c *frontConn) readBody(r *Request, limits routetable.Limits) (*Answer, bool) {
	if r.HTTP.ContentLength == 0 {
		return nil, true
	}
	if strings.EqualFold(r.HTTP.Header.Get("Expect"), "100-continue") && c.br.Buffered() == 0 {
		c.sendContinue()
	}
	body := c.bodyReader(r)
	var ended bool
	var err error
	r.Body, ended, r.reserved, err = c.front.bodies.readUpTo(body, r.HTTP.ContentLength, maxBufferedBody)
	if err != nil {
		c.front.bodies.give(r.reserved)
		return c.bodyErrorAnswer(err), false
	}
	if int64(len(r.Body)) > limits.BodyBytes {
		c.front.bodies.give(r.reserved)
		return closeAfter(failure(http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())), false
	}
	if ended {
		r.Length = int64(len(r.Body))
		return nil, true
	}
	r.Rest = &restReader{r: body, left: limits.BodyBytes - int64(len(r.Body))}
	return nil, true
}

// bodyErrorAnswer returns the answer to a request whose body could not be read, or
// nil if the caller disconnected.
func (c *frontConn) bodyErrorAnswer(err error) *Answer {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return closeAfter(failure(http.StatusRequestTimeout, "body did not arrive in time"))
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &ne) {
		return nil
	}
	return closeAfter(failure(http.StatusBadRequest, "malformed body"))
}

// sendContinue sends an interim 100 Continue answer once all earlier answers are
// written.
func (c *frontConn) sendContinue() {
	for {
		c.mu.Lock()
		open := len(c.open)
		c.mu.Unlock()
		if open == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
}

// timedReader sets a new read deadline before each read of a body.
type timedReader struct {
	conn net.Conn
	r    io.Reader
}

func (t *timedReader) Read(p []byte) (int, error) {
	_ = t.conn.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	return t.r.Read(p)
}

// errBodyTooLarge ends a body of unknown length that exceeds the limit.
var errBodyTooLarge = errors.New("body exceeds the limit of the configuration")

// restReader reads the part of a large body that is not buffered. Only one goroutine
// may read; any goroutine may call reachedEnd and failure.
type restReader struct {
	r    io.Reader
	left int64 // bytes that the limit of the configuration leaves
	// end is the error that ended the body, io.EOF at its proper end.
	end atomic.Pointer[error]
}

// reachedEnd reports whether the body was read to its proper end.
func (b *restReader) reachedEnd() bool {
	err := b.end.Load()
	return err != nil && errors.Is(*err, io.EOF)
}

// failure returns the error that cut off the body, nil if there is none.
func (b *restReader) failure() error {
	if err := b.end.Load(); err != nil && !errors.Is(*err, io.EOF) {
		return *err
	}
	return nil
}

// skip drops up to maxBufferedBody bytes of a body that nothing else reads, so that its
// connection can be kept.
func (b *restReader) skip() {
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxBufferedBody+1)) // an error is in b.end
}

func (b *restReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left -= int64(n); b.left < 0 {
		n, err = 0, errBodyTooLarge
	}
	if err != nil {
		b.end.CompareAndSwap(nil, &err)
	}
	return n, err
}
