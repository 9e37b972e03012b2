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
	// connectTimeout bounds the connect to a server. It allows for a slow round trip
	// between regions, but not for the retransmission of a lost SYN, which Linux by
	// default sends after 1 s.
	connectTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection may be reused, unless the
	// server announces an idle timeout that is, less idleTimeoutMargin, shorter.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that a server announces.
	idleTimeoutMargin = 1500 * time.Millisecond
	// nonRepeatableIdleTimeout bounds the idle time of a connection for a request that
	// must not run twice, which is lost if the server has dropped the connection.
	nonRepeatableIdleTimeout = 1500 * time.Millisecond
	// maxBufferedAnswer is the size in bytes up to which an answer is read before it
	// is passed on, so that an incomplete one can be replaced.
	maxBufferedAnswer = 1 << 20
	// maxStaleAnswers is the number of answers to earlier requests that are skipped
	// before the connection is given up.
	maxStaleAnswers = 2
	// maxIdleConnsPerServer bounds the idle connections of this host to one server.
	maxIdleConnsPerServer = 8
)

// errWrongRequest is returned after more than maxStaleAnswers answers that lack the id
// of the request, or after one that cannot be skipped; see readResponse.
var errWrongRequest = errors.New("answer belongs to another request")

// upstreamCall describes one attempt to send a request to a backend server.
type upstreamCall struct {
	backend  *fleet.Backend
	request  *Request
	header   http.Header
	id       string
	deadline time.Time
	// repeatable is set if the request may run more than once.
	repeatable bool
	// maxIdleConns bounds the idle connections to the server.
	maxIdleConns int
}

// reply is the result of an upstreamCall.
type reply struct {
	result dispatch.Result
	// mayHaveRun is false only if the request has certainly not run.
	mayHaveRun bool
	// answer is the server's answer, nil if there is none to pass on.
	answer      *Answer
	load        *dispatch.Load
	connectTime time.Duration
	err         error
}

// upstream sends requests to backend servers and keeps idle connections to them, by
// server.
type upstream struct {
	headers Headers
	mu      sync.Mutex
	idle    map[string][]*upstreamConn
}

// upstreamConn is a connection to a backend server. It may be reused while it has
// been idle for less than idleTimeout.
type upstreamConn struct {
	net.Conn
	br          *bufio.Reader
	idleSince   time.Time // when the latest answer was read
	idleTimeout time.Duration
}

func newUpstream(h Headers) *upstream {
	return &upstream{headers: h, idle: map[string][]*upstreamConn{}}
}

// do sends a request and reads the answer. It returns when the answer is complete
// or, for a large one, when its first maxBufferedAnswer bytes have arrived.
func (u *upstream) do(ctx context.Context, c *upstreamCall) reply {
	conn, connectTime, err := u.conn(ctx, c)
	if err != nil {
		if ctx.Err() != nil {
			return reply{result: dispatch.Abandoned, err: err}
		}
		return reply{result: dispatch.Unreachable, err: err}
	}
	r := u.roundTrip(ctx, conn, c)
	r.connectTime = connectTime
	return r
}

// conn returns an idle connection, or a new one and the time to connect.
func (u *upstream) conn(ctx context.Context, c *upstreamCall) (*upstreamConn, time.Duration, error) {
	if conn := u.takeIdle(c); conn != nil {
		return conn, 0, nil
	}
	start := time.Now()
	dialer := net.Dialer{Timeout: connectTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", c.backend.Address)
	if err != nil {
		return nil, 0, err
	}
	return &upstreamConn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), idleTimeout: defaultIdleTimeout}, time.Since(start), nil
}

// takeIdle returns an idle connection that may carry the request, or nil, and closes
// the unusable ones that it finds.
func (u *upstream) takeIdle(c *upstreamCall) *upstreamConn {
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
		limit := conn.idleTimeout
		if !c.repeatable {
			limit = min(limit, nonRepeatableIdleTimeout)
		}
		if time.Since(conn.idleSince) < limit && conn.isReusable() {
			return conn
		}
		_ = conn.Close()
	}
}

// isReusable reports whether the connection is open and has no unread bytes. Bytes
// that arrive while it is idle belong to no request.
func (c *upstreamConn) isReusable() bool {
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

// putIdle stores a connection for the next request to the server, or closes it if
// limit connections are stored.
func (u *upstream) putIdle(id string, conn *upstreamConn, limit int) {
	_ = conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	u.mu.Lock()
	if len(u.idle[id]) < limit {
		u.idle[id] = append(u.idle[id], conn)
		conn = nil
	}
	u.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// prune closes idle connections to servers that are not known any more and those
// whose idle timeout has passed, because the server is about to close them.
func (u *upstream) prune(known map[string]*fleet.Backend) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if known[id] != nil && time.Since(c.idleSince) < c.idleTimeout {
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

// roundTrip sends the request on the connection and reads its answer. It stores or
// closes the connection, at the latest when the answer is done.
func (u *upstream) roundTrip(ctx context.Context, conn *upstreamConn, c *upstreamCall) reply {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	writeResult := make(chan error, 1)
	requestHead, err := u.requestHead(c)
	if err != nil {
		stop()
		_ = conn.Close()
		return reply{result: dispatch.Abandoned, err: err}
	}
	if len(c.request.Body)+len(requestHead) <= readBuffer && c.request.Rest == nil {
		writeResult <- writeRequest(conn, requestHead, c.request)
	} else {
		// In the background, as a server may answer before it has read a long body.
		go func() { writeResult <- writeRequest(conn, requestHead, c.request) }()
	}
	resp, err := u.readResponse(conn, c)
	if err != nil {
		stop()
		_ = conn.Close()
		return failedReply(ctx, err)
	}
	return u.readAnswer(ctx, conn, c, resp, writeResult, stop)
}

// failedReply returns the reply to a request for which there was a connection but no
// complete answer; it may not have been sent. The state of ctx decides whether it
// failed, timed out or was abandoned.
func failedReply(ctx context.Context, err error) reply {
	r := reply{result: dispatch.Failed, mayHaveRun: true, err: err}
	if ctx.Err() != nil {
		r.result = dispatch.Abandoned
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			r.result = dispatch.TimedOut
		}
	}
	return r
}

// requestHead formats the request line and header. It returns
// context.DeadlineExceeded if less than a millisecond is left.
func (u *upstream) requestHead(c *upstreamCall) ([]byte, error) {
	var b bytes.Buffer
	r := c.request.HTTP
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, requestURI(r), r.Host)
	remaining := time.Until(c.deadline).Milliseconds()
	if remaining <= 0 {
		return nil, context.DeadlineExceeded
	}
	c.header.Set(u.headers.Deadline, strconv.FormatInt(remaining, 10))
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

// requestURI returns the path and query as the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// writeRequest writes the request. It closes the connection if a streamed body cannot
// be forwarded completely, also when the caller broke off. An error alone does not end
// the attempt: the server may have answered already.
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

// readResponse reads the header of the answer to the request. It skips interim
// answers and up to maxStaleAnswers answers to earlier requests on the connection. An
// answer without an id counts as one of these unless its status is 400 or above.
func (u *upstream) readResponse(conn *upstreamConn, c *upstreamCall) (*http.Response, error) {
	for stale := 0; ; {
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
		if stale++; stale > maxStaleAnswers {
			return nil, errWrongRequest
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, errWrongRequest
		}
	}
}

// readAnswer reads the body of an answer, up to maxBufferedAnswer bytes, and
// classifies the answer. Answers with a status below 300 must carry a signature. An
// answer that ends with the connection counts as complete.
func (u *upstream) readAnswer(ctx context.Context, conn *upstreamConn, c *upstreamCall, resp *http.Response, writeResult chan error, stop func() bool) reply {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer))
	if err != nil {
		stop()
		_ = conn.Close()
		return failedReply(ctx, err)
	}
	r := u.classify(resp)
	if r.result == dispatch.Served && resp.StatusCode < 300 && resp.Header.Get(u.headers.Signature) == "" {
		stop()
		_ = conn.Close()
		return reply{result: dispatch.Failed, mayHaveRun: true, err: errors.New("answer without signature")}
	}
	if !r.mayHaveRun {
		u.releaseConn(conn, c, resp, writeResult, stop)
		return r
	}
	header := resp.Header
	stripHopByHop(header)
	r.answer = &Answer{Status: resp.StatusCode, Header: header, Body: body}
	if len(body) < maxBufferedAnswer || resp.ContentLength == int64(len(body)) {
		u.releaseConn(conn, c, resp, writeResult, stop)
		return r
	}
	r.answer.Rest, r.answer.Length = resp.Body, resp.ContentLength
	r.answer.Done = func(complete bool) {
		if complete {
			u.releaseConn(conn, c, resp, writeResult, stop)
			return
		}
		stop()
		_ = conn.Close()
	}
	return r
}

// classify derives from an answer whether and how the request ran.
func (u *upstream) classify(resp *http.Response) reply {
	r := reply{result: dispatch.Served, mayHaveRun: true, load: parseLoad(resp.Header.Get(u.headers.Load))}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		r.result, r.mayHaveRun = dispatch.Misdirected, false
	case resp.Header.Get(u.headers.NotRun) != "":
		r.result, r.mayHaveRun = dispatch.Shed, false
	case resp.StatusCode >= 500:
		r.result = dispatch.Failed
	}
	return r
}

// releaseConn stores the connection for reuse if the request was written completely
// and the server keeps the connection open, and otherwise closes it.
func (u *upstream) releaseConn(conn *upstreamConn, c *upstreamCall, resp *http.Response, writeResult chan error, stop func() bool) {
	bodySent := false
	select {
	case err := <-writeResult:
		bodySent = err == nil
	default:
	}
	if !stop() || !bodySent || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || conn.br.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	conn.idleTimeout = defaultIdleTimeout
	if timeout, ok := parseKeepAlive(resp.Header.Get("Keep-Alive")); ok {
		conn.idleTimeout = min(defaultIdleTimeout, timeout-idleTimeoutMargin)
	}
	if conn.idleTimeout <= 0 {
		_ = conn.Close()
		return
	}
	u.putIdle(c.backend.ID, conn, c.maxIdleConns)
}

// parseKeepAlive returns the timeout of a Keep-Alive header, if there is one.
func parseKeepAlive(value string) (time.Duration, bool) {
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

// parseLoad parses "running,waiting,slots". It returns nil for malformed values.
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
