package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ending is how a server ends its connection, and which side of the gateway sees it first.
type ending int

const (
	// endsAfterRequest: the server reads the request to its end and then closes.
	endsAfterRequest ending = iota
	// halfCloses: the server closes its sending side and then reads the request to its end.
	halfCloses
	// resetAfterRequest: the connection is reset after the request was written.
	resetAfterRequest
	// resetSeenByWriter: the connection is reset while the request is written. The writer
	// gets the error of the socket, and the reader then an end of stream.
	resetSeenByWriter
	// resetSeenByReader: the same, but the reader gets the error first.
	resetSeenByReader
	// closesEarly: the server closes both directions before it has read the request. The
	// reader gets an end of stream, and the writer then an error.
	closesEarly
	// halfClosesUnread: the server closes its sending side and reads nothing further.
	halfClosesUnread
)

// severedConn is a connection to a server that reads part of a request, answers, and ends
// the connection. It gives the calls of reader and writer a fixed order. Before that, it
// answers warmups requests without a body.
type severedConn struct {
	net.Conn // nil: other methods must not be called
	answer   string
	end      ending
	accepts  int // bytes of the request that are read before the answer
	warmups  int

	mu       sync.Mutex
	changed  *sync.Cond
	unread   []byte // of the answers
	severed  bool   // the answer was sent, and the end follows
	accepted int
	atEnd    bool // the reader got the end or the error of the connection
	failed   bool // the writer got an error
	written  bool // the request was written completely
	closed   bool
	received bytes.Buffer
	// isWhole reports whether the bytes received are a complete request.
	isWhole func(received []byte) bool
}

func newSeveredConn(answer string, end ending, accepts, warmups int, isWhole func([]byte) bool) *severedConn {
	c := &severedConn{answer: answer, end: end, accepts: accepts, warmups: warmups, isWhole: isWhole}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func opError(op string, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, errno)}
}

func (c *severedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case len(c.unread) > 0:
			n := copy(p, c.unread)
			c.unread = c.unread[n:]
			return n, nil
		case !c.severed:
		case c.end == resetSeenByReader || c.end == resetAfterRequest && c.written:
			c.atEnd = true
			return 0, opError("read", syscall.ECONNRESET)
		case c.end == halfCloses || c.end == closesEarly || c.end == halfClosesUnread,
			c.end == endsAfterRequest && c.written,
			c.end == resetSeenByWriter && c.failed:
			c.atEnd = true
			return 0, io.EOF
		}
		c.changed.Wait()
	}
}

func (c *severedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	if c.warmups > 0 {
		c.warmups--
		c.unread = append(c.unread, "HTTP/1.1 200 X\r\nX-Id: warm\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"...)
		return len(p), nil
	}
	n := 0
	for {
		if c.closed {
			return n, net.ErrClosed
		}
		readsAll := c.end == endsAfterRequest || c.end == resetAfterRequest || c.end == halfCloses && c.atEnd
		take := len(p) - n
		if !readsAll {
			take = min(take, c.accepts-c.accepted)
		}
		c.received.Write(p[n : n+take])
		c.accepted += take
		n += take
		if c.accepted >= c.accepts && !c.severed {
			c.severed = true
			c.unread = append(c.unread, c.answer...)
		}
		c.written = c.isWhole(c.received.Bytes())
		if n == len(p) {
			return n, nil
		}
		c.changed.Broadcast()
		switch {
		case c.end == resetSeenByWriter:
			c.failed = true
			return n, opError("write", syscall.ECONNRESET)
		case (c.end == resetSeenByReader || c.end == closesEarly) && c.atEnd:
			c.failed = true
			return n, opError("write", syscall.EPIPE)
		case c.end == halfCloses && c.atEnd:
			continue
		}
		c.changed.Wait()
	}
}

func (c *severedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return nil
}

func (c *severedConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *severedConn) SetDeadline(time.Time) error     { return nil }
func (c *severedConn) SetReadDeadline(time.Time) error { return nil }

// dialOnce makes the gateway use conn for its only connection.
func (f *fixture) dialOnce(conn net.Conn) {
	var once sync.Once
	f.g.upstream.dialContext = func(context.Context, string, string) (net.Conn, error) {
		first := false
		once.Do(func() { first = true })
		if !first {
			return nil, errors.New("second connection")
		}
		return conn, nil
	}
}

// upload is a request body as a caller sends it.
type upload struct {
	desc string
	size int
	// chunked is set if the body is sent without its length.
	chunked bool
	// inline is set if the gateway writes the body before it reads the answer.
	inline bool
}

// uploads are bodies for each way of the gateway to write one.
var uploads = []upload{
	{desc: "small body", size: 2 << 10, inline: true},
	{desc: "body above the read buffer", size: 64 << 10},
	{desc: "streamed body", size: maxBufferedBody + 64<<10},
	{desc: "streamed body of unknown length", size: maxBufferedBody + 64<<10, chunked: true},
}

// send writes a request with the body. It stops when the connection ends.
func (u upload) send(w io.Writer, path, deadlineMillis string) {
	framing := fmt.Sprintf("Content-Length: %d", u.size)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: x\r\nX-Id: p\r\nX-Deadline: %s\r\n%s\r\n\r\n", path, deadlineMillis, framing)
	const chunk = 32 << 10
	for left := u.size; left > 0; left -= chunk {
		part := strings.Repeat("u", min(left, chunk))
		if u.chunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if _, err := io.WriteString(w, part); err != nil {
			return
		}
	}
	if u.chunked {
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

// isWhole reports whether the bytes that a server received are a request with the whole
// body.
func (u upload) isWhole(received []byte) bool {
	_, body, ok := bytes.Cut(received, []byte("\r\n\r\n"))
	if u.chunked {
		return ok && bytes.HasSuffix(body, []byte("\r\n0\r\n\r\n"))
	}
	return ok && len(body) == u.size
}
