package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
)

// Limits of the connections to backend servers.
const (
	// connectTimeout bounds a new connection. It holds a round trip between
	// regions and one repetition of a lost packet.
	connectTimeout = 500 * time.Millisecond
	// idleDefault is how long an idle connection is used if the server does not
	// tell when it closes it.
	idleDefault = 8 * time.Second
	// idleMargin is kept before the server's own idle timeout.
	idleMargin = 1500 * time.Millisecond
	// idleOnce is how long a connection may have been idle for a request that
	// must not run twice: a connection that the server forgot loses it.
	idleOnce = 1500 * time.Millisecond
	// wholeAnswer is the size up to which an answer is read before it is passed
	// on, so that an incomplete one can be replaced.
	wholeAnswer = 1 << 20
	// maxStray is the number of answers to earlier requests that are skipped.
	maxStray = 2
	// mostIdle bounds the idle connections of this host to one server.
	mostIdle = 8
)

// errNotOwn tells that an answer belongs to another request.
var errNotOwn = errors.New("answer belongs to another request")

// call is one attempt at a backend server.
type call struct {
	backend  *fleet.Backend
	request  *Request
	header   http.Header
	id       string
	deadline time.Time
	// repeatable tells that the request may run more than once.
	repeatable bool
	// maxIdle bounds the idle connections to the server.
	maxIdle int
}

// reply is the end of an attempt.
type reply struct {
	result dispatch.Result
	// ran is false only if the request has certainly not run.
	ran bool
	// answer is the server's answer, nil if there is none to pass on.
	answer  *Answer
	load    *dispatch.Load
	connect time.Duration
	err     error
}

// upstream holds the connections to backend servers.
type upstream struct {
	headers Headers
	mu      sync.Mutex
	idle    map[string][]*upstreamConn
}

type upstreamConn struct {
	net.Conn
	br      *bufio.Reader
	since   time.Time // start of the idle time
	timeout time.Duration
}

func newUpstream(h Headers) *upstream {
	return &upstream{headers: h, idle: map[string][]*upstreamConn{}}
}

// do sends a request and reads the answer. It returns when the answer is whole
// or, for a large one, when its beginning has arrived.
func (u *upstream) do(ctx context.Context, c *call) reply {
	conn, connect, err := u.conn(ctx, c)
	if err != nil {
		if ctx.Err() != nil {
			return reply{result: dispatch.Abandoned, err: err}
		}
		return reply{result: dispatch.Unreachable, err: err}
	}
	r := u.exchange(ctx, conn, c)
	r.connect = connect
	return r
}

// conn returns an idle connection or a new one.
func (u *upstream) conn(ctx context.Context, c *call) (*upstreamConn, time.Duration, error) {
	if conn := u.reuse(c); conn != nil {
		return conn, 0, nil
	}
	start := time.Now()
	dialer := net.Dialer{Timeout: connectTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", c.backend.Address)
	if err != nil {
		return nil, 0, err
	}
	return &upstreamConn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), timeout: idleDefault}, time.Since(start), nil
}

func (u *upstream) reuse(c *call) *upstreamConn {
	for {
		u.mu.Lock()
		list := u.idle[c.backend.ID]
		if len(list) == 0 {
			u.mu.Unlock()
			return nil
		}
		conn := list[len(list)-1]
		u.idle[c.backend.ID] = list[:len(list)-1]
		u.mu.Unlock()
		limit := conn.timeout
		if !c.repeatable {
			limit = min(limit, idleOnce)
		}
		if time.Since(conn.since) < limit && conn.quiet() {
			return conn
		}
		_ = conn.Close()
	}
}

// quiet tells whether the connection is open and no bytes wait on it. Bytes that
// arrive without a request belong to no request.
func (c *upstreamConn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// keep holds an idle connection for the next request to the server.
func (u *upstream) keep(id string, conn *upstreamConn, most int) {
	_ = conn.SetDeadline(time.Time{})
	conn.since = time.Now()
	u.mu.Lock()
	if len(u.idle[id]) < most {
		u.idle[id] = append(u.idle[id], conn)
		conn = nil
	}
	u.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// prune closes connections to servers that are gone and those that are about to
// be closed by the server.
func (u *upstream) prune(known map[string]*fleet.Backend) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if known[id] != nil && time.Since(c.since) < c.timeout {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(u.idle, id)
			continue
		}
		u.idle[id] = kept
	}
}

// exchange sends the request on the connection and reads its answer.
func (u *upstream) exchange(ctx context.Context, conn *upstreamConn, c *call) reply {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	sent := make(chan error, 1)
	head, err := u.head(c)
	if err != nil {
		stop()
		_ = conn.Close()
		return reply{result: dispatch.Abandoned, err: err}
	}
	if len(c.request.Body)+len(head) <= readBuffer && c.request.Rest == nil {
		sent <- writeRequest(conn, head, c.request)
	} else {
		// A server may answer before it has read a long body.
		go func() { sent <- writeRequest(conn, head, c.request) }()
	}
	resp, err := u.readResponse(conn, c)
	if err != nil {
		stop()
		_ = conn.Close()
		return broken(ctx, err)
	}
	return u.read(ctx, conn, c, resp, sent, stop)
}

func broken(ctx context.Context, err error) reply {
	r := reply{result: dispatch.Failed, ran: true, err: err}
	if ctx.Err() != nil {
		r.result = dispatch.Abandoned
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			r.result = dispatch.TimedOut
		}
	}
	return r
}

// head formats the header of the request.
func (u *upstream) head(c *call) ([]byte, error) {
	var b bytes.Buffer
	r := c.request.HTTP
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, target(r), r.Host)
	left := time.Until(c.deadline).Milliseconds()
	if left <= 0 {
		return nil, context.DeadlineExceeded
	}
	c.header.Set(u.headers.Deadline, strconv.FormatInt(left, 10))
	c.header.Set(u.headers.ExpectInstance, c.backend.ID)
	switch {
	case c.request.Rest != nil && c.request.Length < 0:
		c.header.Set("Transfer-Encoding", "chunked")
	case c.request.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		c.header.Set("Content-Length", strconv.FormatInt(max(c.request.Length, 0), 10))
	}
	if err := c.header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// target returns the path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func writeRequest(conn net.Conn, head []byte, r *Request) error {
	buffers := net.Buffers{head}
	if r.Rest == nil {
		if len(r.Body) > 0 {
			buffers = append(buffers, r.Body)
		}
		_, err := buffers.WriteTo(conn)
		return err
	}
	if _, err := conn.Write(head); err != nil {
		return err
	}
	body := io.MultiReader(newBytesReader(r.Body), r.Rest)
	if r.Length >= 0 {
		n, err := io.Copy(conn, body)
		if err == nil && n != r.Length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			_ = conn.Close()
		}
		return err
	}
	if err := writeChunks(conn, body); err != nil {
		_ = conn.Close()
		return err
	}
	return nil
}

func writeChunks(conn net.Conn, body io.Reader) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			frame := fmt.Appendf(nil, "%x\r\n", n)
			frame = append(append(frame, buf[:n]...), '\r', '\n')
			if _, werr := conn.Write(frame); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, werr := io.WriteString(conn, "0\r\n\r\n")
			return werr
		}
		if err != nil {
			return err
		}
	}
}

func newBytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// readResponse reads the header of the answer to the request. It skips answers
// to earlier requests on the connection and interim answers.
func (u *upstream) readResponse(conn *upstreamConn, c *call) (*http.Response, error) {
	for stray := 0; ; {
		resp, err := http.ReadResponse(conn.br, c.request.HTTP)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if id := resp.Header.Get(u.headers.RequestID); id == c.id || id == "" && resp.StatusCode >= 400 {
			return resp, nil
		}
		if stray++; stray > maxStray {
			return nil, errNotOwn
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, errNotOwn
		}
	}
}

// read reads the body and classifies the answer.
func (u *upstream) read(ctx context.Context, conn *upstreamConn, c *call, resp *http.Response, sent chan error, stop func() bool) reply {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswer))
	if err != nil {
		stop()
		_ = conn.Close()
		return broken(ctx, err)
	}
	r := u.classify(resp)
	if r.result == dispatch.Served && resp.StatusCode < 300 && resp.Header.Get(u.headers.Signature) == "" {
		stop()
		_ = conn.Close()
		return reply{result: dispatch.Failed, ran: true, err: errors.New("answer without signature")}
	}
	if !r.ran {
		u.release(conn, c, resp, sent, stop)
		return r
	}
	header := resp.Header
	stripHopByHop(header)
	r.answer = &Answer{Status: resp.StatusCode, Header: header, Body: body}
	if len(body) < wholeAnswer || resp.ContentLength == int64(len(body)) {
		u.release(conn, c, resp, sent, stop)
		return r
	}
	r.answer.Rest, r.answer.Length = resp.Body, resp.ContentLength
	r.answer.Done = func(complete bool) {
		if complete {
			u.release(conn, c, resp, sent, stop)
			return
		}
		stop()
		_ = conn.Close()
	}
	return r
}

// classify tells what an answer says about the execution of the request.
func (u *upstream) classify(resp *http.Response) reply {
	r := reply{result: dispatch.Served, ran: true, load: parseLoad(resp.Header.Get(u.headers.Load))}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		r.result, r.ran = dispatch.Misdirected, false
	case resp.Header.Get(u.headers.NotRun) != "":
		r.result, r.ran = dispatch.Shed, false
	case resp.StatusCode >= 500:
		r.result = dispatch.Failed
	}
	return r
}

// release keeps the connection for another request if the server has read the
// whole body and announced that it keeps the connection.
func (u *upstream) release(conn *upstreamConn, c *call, resp *http.Response, sent chan error, stop func() bool) {
	whole := false
	select {
	case err := <-sent:
		whole = err == nil
	default:
	}
	if !stop() || !whole || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || conn.br.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	conn.timeout = idleDefault
	if seconds, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		conn.timeout = min(idleDefault, seconds-idleMargin)
	}
	if conn.timeout <= 0 {
		_ = conn.Close()
		return
	}
	u.keep(c.backend.ID, conn, c.maxIdle)
}

// keepAlive parses the timeout of a Keep-Alive header.
func keepAlive(value string) (time.Duration, bool) {
	for _, part := range strings.Split(value, ",") {
		name, seconds, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(seconds))
		if err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// parseLoad parses "running,waiting,slots".
func parseLoad(value string) *dispatch.Load {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	return &dispatch.Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}
