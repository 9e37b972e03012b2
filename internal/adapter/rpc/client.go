package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/transfer"
)

// dialTimeout bounds the setup of a connection. It exceeds three inter-region
// round trips.
const dialTimeout = 2 * time.Second

// Client implements peer.Client. It keeps one connection per address and connects
// again on the next call after a connection has ended.
type Client struct {
	dial DialFunc

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

type clientConn struct {
	ready chan struct{} // closed when conn or err is set
	conn  *jsonrpc2.Conn
	err   error
	// unanswered is the number of consecutive calls that ended at their deadline or at a
	// limit of their monitor.
	unanswered atomic.Int32

	mu sync.Mutex
	// monitors are those of the calls in progress that have one.
	monitors map[*transfer.Monitor]struct{}
}

var _ peer.Client = (*Client)(nil)

// DialFunc connects to an address. It may complete a TLS handshake.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client. A nil dial connects in plain text.
func NewClient(dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Client{dial: dial, conns: map[string]*clientConn{}}
}

// Call implements peer.Client. It reports progress to the transfer.Monitor of ctx, if
// there is one, whenever data arrives on the connection, also that of other answers. A
// client that makes such calls should make no others.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	if m := transfer.FromContext(ctx); m != nil {
		conn.addMonitor(m)
		defer conn.removeMonitor(m)
	}
	err = conn.conn.Call(ctx, method, params, result)
	if cause := transfer.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	conn.observe(err)
	return classify(err, address, method)
}

func (cc *clientConn) addMonitor(m *transfer.Monitor) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.monitors == nil {
		cc.monitors = map[*transfer.Monitor]struct{}{}
	}
	cc.monitors[m] = struct{}{}
}

func (cc *clientConn) removeMonitor(m *transfer.Monitor) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	delete(cc.monitors, m)
}

// reportProgress is called when data has arrived.
func (cc *clientConn) reportProgress() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for m := range cc.monitors {
		m.Progress()
	}
}

// maxUnansweredCalls is the number of consecutive calls that end at their deadline or
// at a limit of their monitor after which a connection is closed: the peer may be unreachable although the
// connection was not reset.
const maxUnansweredCalls = 2

// observe counts consecutive unanswered calls and closes the connection at the
// maximum.
func (cc *clientConn) observe(err error) {
	if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, transfer.ErrIdle) && !errors.Is(err, transfer.ErrTooSlow) {
		cc.unanswered.Store(0)
		return
	}
	if cc.unanswered.Add(1) >= maxUnansweredCalls {
		_ = cc.conn.Close()
	}
}

// Notify implements peer.Client.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	return classify(conn.conn.Notify(ctx, method, params), address, method)
}

func classify(err error, address, method string) error {
	if err == nil {
		return nil
	}
	var answer *jsonrpc2.Error
	if errors.As(err, &answer) {
		if answer.Code == jsonrpc2.CodeInvalidParams {
			return trace.BadParameter("%s at %s: %s", method, address, answer.Message)
		}
		return trace.Errorf("%s at %s: %s", method, address, answer.Message)
	}
	return fmt.Errorf("%w: %s at %s: %v", peer.ErrUnreachable, method, address, err)
}

// Close ends all connections. Calls in progress and later ones fail with an error
// that wraps peer.ErrUnreachable.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns, c.closed = map[string]*clientConn{}, true
	c.mu.Unlock()
	for _, cc := range conns {
		<-cc.ready
		if cc.conn != nil {
			_ = cc.conn.Close()
		}
	}
}

func (c *Client) conn(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, fmt.Errorf("%w: client is closed", peer.ErrUnreachable)
	}
	cc, ok := c.conns[address]
	if !ok {
		cc = &clientConn{ready: make(chan struct{})}
		c.conns[address] = cc
		go c.connect(address, cc)
	}
	c.mu.Unlock()
	select {
	case <-cc.ready:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: connecting to %s: %v", peer.ErrUnreachable, address, context.Cause(ctx))
	}
	if cc.err != nil {
		return nil, fmt.Errorf("%w: connecting to %s: %v", peer.ErrUnreachable, address, cc.err)
	}
	return cc, nil
}

func (c *Client) connect(address string, cc *clientConn) {
	defer close(cc.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := c.dial(ctx, "tcp", address)
	if err != nil {
		cc.err = err
		c.removeConn(address, cc)
		return
	}
	cc.conn = jsonrpc2.NewConn(context.Background(), newStream(nc, 0, cc.reportProgress), ignoreRequests{}, discardLog())
	go func() {
		<-cc.conn.DisconnectNotify()
		c.removeConn(address, cc)
	}()
}

func (c *Client) removeConn(address string, cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == cc {
		delete(c.conns, address)
	}
}

// ignoreRequests ignores requests of the server: only clients call.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
