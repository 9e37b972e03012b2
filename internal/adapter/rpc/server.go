// Package rpc carries the messages between entry hosts as JSON-RPC 2.0 over
// TCP, one long-lived connection per pair of processes and direction.
package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
)

// Limits of a connection.
const (
	// idleTimeout is the time without input after which a connection is closed.
	idleTimeout = 2 * time.Minute
	// maxConnections bounds the open connections of a server. Further ones are
	// closed at once.
	maxConnections = 4096
)

// HandlerFunc serves one method. The caller gets the text of a returned error, with
// the JSON-RPC code for invalid parameters if trace.IsBadParameter accepts it, else
// for an internal error.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// Server accepts connections of other entry hosts.
type Server struct {
	handlers map[string]HandlerFunc
	tls      *tls.Config

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server without methods. tlsConfig may be nil only where
// the settings allow plain text.
func NewServer(tlsConfig *tls.Config) *Server {
	return &Server{handlers: map[string]HandlerFunc{}, tls: tlsConfig, conns: map[net.Conn]struct{}{}}
}

// Handle registers the handler of a method and replaces an earlier one. It must be
// called before Serve.
func (s *Server) Handle(method string, h HandlerFunc) { s.handlers[method] = h }

// Handle registers a handler whose parameters are decoded from JSON into P, like
// Server.Handle.
func Handle[P, R any](s *Server, method string, h func(context.Context, P) (R, error)) {
	s.Handle(method, func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, trace.BadParameter("method %s: malformed parameters: %v", method, err)
		}
		return h(ctx, p)
	})
}

// Serve accepts connections until l is closed, and then returns nil. Another error of l
// ends it; see package listen.
func (s *Server) Serve(l net.Listener) error {
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return trace.Wrap(err)
		}
		if !s.track(c) {
			_ = c.Close()
			continue
		}
		go s.serveConn(c)
	}
}

// Close ends all connections. The caller closes the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) serveConn(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn := jsonrpc2.NewConn(ctx, newStream(c, idleTimeout, nil), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch)), discardLog())
	<-conn.DisconnectNotify()
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	h, ok := s.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: fmt.Sprintf("unknown method %q", r.Method)}
	}
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "missing parameters"}
	}
	result, err := h(ctx, *r.Params)
	if err != nil {
		code := int64(jsonrpc2.CodeInternalError)
		if trace.IsBadParameter(err) {
			code = jsonrpc2.CodeInvalidParams
		}
		return nil, &jsonrpc2.Error{Code: code, Message: err.Error()}
	}
	return result, nil
}
