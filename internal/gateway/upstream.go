package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/galenabeam/galenabeam/internal/boottime"
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
	// ready is asked after the connect whether the request may still be sent; nil if it
	// always may.
	ready func() bool
}

// errTokenExpired means that the token of an attempt expired during the connect, and that
// there is no other.
var errTokenExpired = errors.New("the token of the attempt expired before it was sent")

func (c *upstreamCall) mayStart() bool { return c.ready == nil || c.ready() }

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
// incarnation: a server that starts again under its ID may run at another address.
type upstream struct {
	headers Headers
	// dialContext connects to an address.
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// now returns the time by which answers are left unread; see maxUnreadTime. It counts
	// time in which this host was suspended and read nothing.
	now func() time.Time
	// bodies is the budget of all buffered answers.
	bodies memoryBudget
	mu     sync.Mutex
	idle   map[serverhold.Server][]*upstreamConn
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
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &upstream{headers: h, dialContext: dialer.DialContext, now: bootTime, idle: map[serverhold.Server][]*upstreamConn{}}
}

// bootTime returns boottime.Now as a time.
func bootTime() time.Time { return time.Unix(0, boottime.Now().Nanoseconds()) }

// do sends a request and reads the answer. It returns when the answer is complete
// or, for a large one, when its first maxBufferedAnswer bytes have arrived.
func (u *upstream) do(ctx context.Context, c *upstreamCall) reply {
	conn, connectTime, err := u.conn(ctx, c)
	if err != nil {
		if ctx.Err() != nil {
			return reply{result: dispatch.Abandoned, err: err}
		}
		return unconnected(err)
	}
	if !c.mayStart() {
		u.putIdle(serverOf(c.backend), conn, c.maxIdleConns)
		return reply{result: dispatch.Abandoned, err: errTokenExpired, connectTime: connectTime}
	}
	r := u.roundTrip(ctx, conn, c)
	if errors.Is(r.err, errUnwritten) && conn.kept && ctx.Err() == nil {
		// The server has closed the kept connection.
		if conn, connectTime, err = u.dial(ctx, c); err != nil {
			return unconnected(err)
		}
		if !c.mayStart() {
			u.putIdle(serverOf(c.backend), conn, c.maxIdleConns)
			return reply{result: dispatch.Abandoned, err: errTokenExpired, connectTime: connectTime}
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

// unconnected returns the reply to a call for which no connection could be made. A
// server is not to blame if this host lacks the resources for it.
func unconnected(err error) reply {
	if isLocalShortage(err) {
		return reply{result: dispatch.Abandoned, err: err}
	}
	return reply{result: dispatch.Unreachable, err: err}
}

// isLocalShortage reports whether a connection failed because this host has no free
// descriptor, memory or local port.
func isLocalShortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// dial returns a new connection and the time to connect. If this host has no resources
// for one, it gives up the idle ones.
func (u *upstream) dial(ctx context.Context, c *upstreamCall) (*upstreamConn, time.Duration, error) {
	start := time.Now()
	nc, err := u.dialContext(ctx, "tcp", c.backend.Address)
	if err != nil && isLocalShortage(err) && u.closeAllIdle() {
		nc, err = u.dialContext(ctx, "tcp", c.backend.Address)
	}
	if err != nil {
		return nil, 0, err
	}
	return newUpstreamConn(nc), time.Since(start), nil
}

// takeIdle returns an idle connection that may carry the request, or nil, and closes
// the unusable ones that it finds.
func (u *upstream) takeIdle(c *upstreamCall) *upstreamConn {
	server := serverOf(c.backend)
	for {
		u.mu.Lock()
		list := u.idle[server]
		if len(list) == 0 {
			u.mu.Unlock()
			return nil
		}
		conn := list[len(list)-1]
		u.idle[server] = list[:len(list)-1]
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
func (u *upstream) putIdle(server serverhold.Server, conn *upstreamConn, limit int) {
	_ = conn.SetDeadline(time.Time{})
	conn.idleSince, conn.kept = time.Now(), true
	u.mu.Lock()
	if len(u.idle[server]) < limit {
		u.idle[server] = append(u.idle[server], conn)
		conn = nil
	}
	u.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// prune closes idle connections to incarnations of servers that are not known any more
// and those whose idle timeout has passed, because the server is about to close them.
func (u *upstream) prune(known map[string]*fleet.Backend) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for server, list := range u.idle {
		b := known[server.ID]
		isKnown := b != nil && serverOf(b) == server
		kept := list[:0]
		for _, c := range list {
			if isKnown && time.Since(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(u.idle, server)
			continue
		}
		u.idle[server] = kept
	}
}

// closeIdle closes the idle connections to a server and to earlier incarnations of it.
func (u *upstream) closeIdle(server serverhold.Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for other, list := range u.idle {
		if other.ID != server.ID || other.StartedAtMillis > server.StartedAtMillis {
			continue
		}
		for _, c := range list {
			_ = c.Close()
		}
		delete(u.idle, other)
	}
}

// closeAllIdle closes all idle connections and reports whether there were any.
func (u *upstream) closeAllIdle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	found := false
	for _, list := range u.idle {
		for _, c := range list {
			_ = c.Close()
			found = true
		}
	}
	clear(u.idle)
	return found
}
