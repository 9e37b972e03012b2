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

	"github.com/galenabeam/galenabeam/internal/attribution"
	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/serverhold"
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
	// maxIdleConnsPerServer bounds the idle connections of this host to one server.
	maxIdleConnsPerServer = 8
)

// Errors of answers that are not passed on. The request may have run.
var (
	// errWrongRequest is returned after more than maxStaleAnswers answers to other
	// requests, or after one that cannot be skipped; see readResponse.
	errWrongRequest = errors.New("answer belongs to another request")
	// errUnusable is returned for an answer that attribution.Decide calls Unusable.
	errUnusable = errors.New("answer proves nothing about the request")
	// errBody is returned if the caller's body could not be forwarded completely, which
	// is no failure of the server.
	errBody = errors.New("body of the request did not arrive")
	// errUnwritten is returned if nothing of the request could be written.
	errUnwritten = errors.New("connection was closed before the request was sent")
)

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
	signals     serverSignals
	err         error
}

// serverSignals is what a server said about itself besides its answer.
type serverSignals struct {
	// leaving is set if the server said that it leaves.
	leaving bool
	// pause is the time for which a server that refused the request wants no further
	// requests from this host, 0 if it named none.
	pause time.Duration
}

// upstream sends requests to backend servers and keeps idle connections to them, by
// server.
type upstream struct {
	headers Headers
	// bodies is the budget of all buffered answers.
	bodies memoryBudget
	mu     sync.Mutex
	idle   map[string][]*upstreamConn
}

// upstreamConn is a connection to a backend server. It may be reused while it has
// been idle for less than idleTimeout.
type upstreamConn struct {
	net.Conn
	br          *bufio.Reader
	head        *headReader // below br
	kept        bool        // an earlier request was sent on the connection
	idleSince   time.Time   // when the latest answer was read
	idleTimeout time.Duration
}

func newUpstreamConn(nc net.Conn) *upstreamConn {
	head := &headReader{r: nc}
	return &upstreamConn{Conn: nc, br: bufio.NewReaderSize(head, readBuffer), head: head, idleTimeout: defaultIdleTimeout}
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
	if errors.Is(r.err, errUnwritten) && conn.kept && ctx.Err() == nil {
		// The server has closed the kept connection.
		if conn, connectTime, err = u.dial(ctx, c); err != nil {
			return reply{result: dispatch.Unreachable, err: err}
		}
		r = u.roundTrip(ctx, conn, c)
	}
	r.connectTime = connectTime
	return r
}

// conn returns an idle connection, or a new one and the time to connect.
func (u *upstream) conn(ctx context.Context, c *upstreamCall) (*upstreamConn, time.Duration, error) {
	// Only its identity distinguishes an answer from those of earlier requests.
	if c.id != "" {
		if conn := u.takeIdle(c); conn != nil {
			return conn, 0, nil
		}
	}
	return u.dial(ctx, c)
}

// dial returns a new connection and the time to connect.
func (u *upstream) dial(ctx context.Context, c *upstreamCall) (*upstreamConn, time.Duration, error) {
	start := time.Now()
	dialer := net.Dialer{Timeout: connectTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", c.backend.Address)
	if err != nil {
		return nil, 0, err
	}
	return newUpstreamConn(nc), time.Since(start), nil
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
	conn.idleSince, conn.kept = time.Now(), true
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

// closeIdle closes the idle connections to a server.
func (u *upstream) closeIdle(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[id] {
		_ = c.Close()
	}
	delete(u.idle, id)
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
		n, err := writeRequest(conn, requestHead, c.request)
		if err != nil && n == 0 {
			stop()
			_ = conn.Close()
			r := c.failedReply(ctx, errUnwritten)
			r.mayHaveRun = false
			return r
		}
		writeResult <- err
	} else {
		// In the background, as a server may answer before it has read a long body.
		go func() {
			_, err := writeRequest(conn, requestHead, c.request)
			writeResult <- err
		}()
	}
	var signals serverSignals
	resp, verdict, err := u.readResponse(conn, c, &signals)
	if err != nil {
		stop()
		_ = conn.Close()
		r := c.failedReply(ctx, err)
		r.signals = signals
		return r
	}
	r := u.readAnswer(ctx, conn, c, resp, verdict, writeResult, stop)
	r.signals = signals
	return r
}

// failedReply returns the reply to a request for which there was a connection but no
// usable answer; it may not have been sent. The state of ctx and of the caller's body
// decides whether it failed, timed out or was abandoned.
func (c *upstreamCall) failedReply(ctx context.Context, err error) reply {
	r := reply{result: dispatch.Failed, mayHaveRun: true, err: err}
	switch {
	case ctx.Err() == nil && c.request.Rest != nil && c.request.Rest.failure() != nil:
		r.result, r.err = dispatch.Abandoned, errBody
	case ctx.Err() != nil && !time.Now().Before(c.deadline):
		// ctx may have been canceled because of the deadline before it expired itself.
		r.result = dispatch.TimedOut
	case ctx.Err() != nil:
		r.result = dispatch.Abandoned
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

// writeRequest writes the request and returns the number of bytes written of a request
// without Rest. It closes the connection if a streamed body cannot be forwarded
// completely, also when the caller broke off. An error alone does not end the attempt:
// the server may have answered already.
func writeRequest(conn net.Conn, head []byte, r *Request) (int64, error) {
	buffers := net.Buffers{head}
	if r.Rest == nil {
		if len(r.Body) > 0 {
			buffers = append(buffers, r.Body)
		}
		return buffers.WriteTo(conn)
	}
	if _, err := conn.Write(head); err != nil {
		return 0, err
	}
	body := io.MultiReader(bytes.NewReader(r.Body), r.Rest)
	if r.Length < 0 {
		err := writeChunks(conn, body)
		if err != nil {
			_ = conn.Close()
		}
		return 0, err
	}
	n, err := io.Copy(conn, body)
	if err == nil && n != r.Length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		_ = conn.Close()
	}
	return 0, err
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

// readResponse reads the head of the answer to the request and decides on its use, which
// is PassOn, Refused or Misdirected. It skips up to maxStaleAnswers answers to other
// requests.
func (u *upstream) readResponse(conn *upstreamConn, c *upstreamCall, signals *serverSignals) (*http.Response, attribution.Verdict, error) {
	for range maxStaleAnswers + 1 {
		resp, err := conn.readHead(c.request.HTTP)
		if err != nil {
			return nil, attribution.Unusable, err
		}
		a := u.answerOf(conn, c, resp)
		verdict := attribution.Decide(a)
		u.readSignals(resp, a.Identity, signals)
		if verdict == attribution.Unusable {
			return nil, verdict, errUnusable
		}
		if verdict != attribution.Skip {
			return resp, verdict, nil
		}
		if err := conn.discardBody(resp); err != nil {
			return nil, verdict, err
		}
		if resp.Close || endsWithConnection(resp) {
			break
		}
	}
	return nil, attribution.Unusable, errWrongRequest
}

// answerOf returns what decides on the use of an answer to the request.
func (u *upstream) answerOf(conn *upstreamConn, c *upstreamCall, resp *http.Response) attribution.Answer {
	a := attribution.Answer{
		Status: resp.StatusCode, NotRun: resp.Header.Get(u.headers.NotRun) != "", Signed: resp.Header.Get(u.headers.Signature) != "",
		Kept: conn.kept, Repeatable: c.repeatable, Identity: attribution.Other,
	}
	switch id := resp.Header.Get(u.headers.RequestID); {
	case id == "":
		a.Identity = attribution.Missing
	case id == c.id:
		a.Identity = attribution.Own
	}
	return a
}

// readSignals adds what an answer says about its server. Another server may have sent
// an answer with status 421. A pause counts only from the request's own answer, as an
// earlier one that is sent once more says nothing new.
func (u *upstream) readSignals(resp *http.Response, identity attribution.Identity, signals *serverSignals) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if v := resp.Header.Get(u.headers.Leaving); v != "" && v != "0" {
		signals.leaving = true
	}
	if resp.StatusCode == http.StatusServiceUnavailable && identity == attribution.Own {
		signals.pause = parseRetryAfter(resp.Header.Get("Retry-After"))
	}
}

// parseRetryAfter returns the time of a Retry-After header in seconds, at most
// serverhold.MaxRetryAfter, or 0 if it is malformed.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, serverhold.MaxRetryAfter.Seconds()) * float64(time.Second))
}

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readAnswer reads the body of an answer, up to maxBufferedAnswer bytes, and classifies
// the answer. A refusal counts only if it is complete. An answer that ends with the
// connection is complete unless the connection is reset.
func (u *upstream) readAnswer(ctx context.Context, conn *upstreamConn, c *upstreamCall, resp *http.Response, verdict attribution.Verdict, writeResult chan error, stop func() bool) reply {
	r := reply{result: dispatch.Served, mayHaveRun: true, load: parseLoad(resp.Header.Get(u.headers.Load))}
	if verdict == attribution.Refused || verdict == attribution.Misdirected {
		if err := conn.discardBody(resp); err != nil {
			stop()
			_ = conn.Close()
			return c.failedReply(ctx, err)
		}
		r.result, r.mayHaveRun = dispatch.Shed, false
		if verdict == attribution.Misdirected {
			r.result = dispatch.Misdirected
		}
		u.releaseConn(conn, c, resp, writeResult, stop)
		return r
	}
	body, ended, reserved, err := u.bodies.readUpTo(resp.Body, resp.ContentLength, maxBufferedAnswer)
	if err != nil {
		u.bodies.give(reserved)
		stop()
		_ = conn.Close()
		return c.failedReply(ctx, err)
	}
	if resp.StatusCode >= 500 {
		r.result = dispatch.Failed
	}
	header := resp.Header
	stripHopByHop(header)
	r.answer = &Answer{Status: resp.StatusCode, Header: header, Body: body}
	if ended {
		u.releaseConn(conn, c, resp, writeResult, stop)
		if reserved > 0 {
			r.answer.Done = func(bool) { u.bodies.give(reserved) }
		}
		return r
	}
	r.answer.Rest, r.answer.Length = resp.Body, resp.ContentLength
	r.answer.Done = func(complete bool) {
		u.bodies.give(reserved)
		if complete {
			u.releaseConn(conn, c, resp, writeResult, stop)
			return
		}
		stop()
		_ = conn.Close()
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
	if !stop() || !bodySent || resp.Close || endsWithConnection(resp) || conn.br.Buffered() > 0 {
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
