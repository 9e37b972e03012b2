package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxAbandonWait bounds the wait for a server to notice that a request was abandoned.
const maxAbandonWait = 500 * time.Millisecond

// serverConn is a connection to a backend server. If it is closed while a request is
// in flight, it first closes only the sending direction: the server then notices that
// the request was abandoned, and its reaction shows when the request's slot is free.
type serverConn struct {
	*net.TCPConn
	// inFlight is set from the sending of a request to the first bytes of its answer.
	inFlight  atomic.Bool
	abandoned atomic.Bool
	endOnce   sync.Once
	// ended is closed when the connection is closed in both directions.
	ended chan struct{}
}

// dialServer returns a dial function for connections of type *serverConn.
func dialServer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		return &serverConn{TCPConn: tcp, ended: make(chan struct{})}, nil
	}
}

// Read implements net.Conn. After the request was abandoned, any result of a read
// ends the connection: the server has answered, or it has closed its side.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.abandoned.Load() {
		c.end()
		return 0, net.ErrClosed
	}
	c.inFlight.Store(false)
	return n, err
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	if !c.inFlight.Load() {
		c.end()
		return nil
	}
	if c.abandoned.Swap(true) {
		return nil
	}
	if err := c.CloseWrite(); err != nil {
		c.end()
		return nil
	}
	// The transport may not be reading.
	time.AfterFunc(maxAbandonWait, c.end)
	return nil
}

func (c *serverConn) end() {
	c.endOnce.Do(func() {
		_ = c.TCPConn.Close()
		close(c.ended)
	})
}
