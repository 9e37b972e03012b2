// Package backend sends requests to backend servers over HTTP and classifies what
// is known about their execution, for galenabeamd without -platform.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/requesttarget"
)

// Limits of the connections to one backend server.
const (
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// defaultMaxConns bounds the connections if Request.MaxConns is zero.
	defaultMaxConns = 32
)

// Request is one attempt to run a request on a backend server.
type Request struct {
	// Address is the server's "IP:port".
	Address string
	Method  string
	// Path is the path with query, starting with "/".
	Path   string
	Header http.Header
	// Body is read at most once; nil means none. ContentLength is in bytes, -1 if
	// unknown.
	Body          io.Reader
	ContentLength int64
	RequestID     string
	// Remaining is the time until the deadline. It is sent in milliseconds, as 1 if
	// it is shorter or negative.
	Remaining time.Duration
	// MaxConns bounds the connections of this process to the server; 0 means
	// 32. The first call for an address sets the bound for all later ones; a first
	// call by Client.Load sets 32.
	MaxConns int
	// Idempotent allows net/http to repeat a request without a body on another
	// connection if the server closed a reused one: of any method if nothing was
	// written, else GET, HEAD, OPTIONS, TRACE or one with an Idempotency-Key.
	Idempotent bool
}

// Answer is the result of an attempt. Response is nil unless Outcome.Kind is
// Done. The caller must read and close its body.
type Answer struct {
	Outcome  outcome.Outcome
	Response *http.Response
	// Shed reports whether the server refused the request before starting it.
	Shed bool
	// Draining reports whether the server announced that it is draining: it takes
	// no new requests.
	Draining bool
	// Ended is closed when the server has noticed that a request was abandoned, which
	// may still hold a slot until then, or after 500 ms. It is nil if the request does
	// not run any more.
	Ended <-chan struct{}
}

// Client holds connections to backend servers. It is safe for concurrent use.
type Client struct {
	local      net.Addr // to connect from; nil for any
	mu         sync.RWMutex
	transports map[string]*http.Transport
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{transports: map[string]*http.Transport{}} }

// NewClientFrom returns a client that connects from ip, for hosts with several
// addresses. Other entry hosts recognize a forwarded request by its source address.
func NewClientFrom(ip net.IP) *Client {
	c := NewClient()
	c.local = &net.TCPAddr{IP: ip}
	return c
}

// Close closes idle connections; those in use stay open.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
	c.transports = map[string]*http.Transport{}
}

func (c *Client) transport(address string, maxConns int) *http.Transport {
	c.mu.RLock()
	t, ok := c.transports[address]
	c.mu.RUnlock()
	if ok {
		return t
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok = c.transports[address]; ok {
		return t
	}
	if maxConns <= 0 {
		maxConns = defaultMaxConns
	}
	t = &http.Transport{
		DialContext:            dialServer(&net.Dialer{Timeout: dialTimeout, LocalAddr: c.local}),
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	c.transports[address] = t
	return t
}

// onceBody hides from net/http that a body is empty, so that the transport never
// repeats the request on another connection.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// Do sends the request and waits for the header of the answer. ctx carries the
// deadline and the caller's cancellation; its end also stops the reading of the
// answer's body.
func (c *Client) Do(ctx context.Context, r Request) Answer {
	var sent atomic.Bool
	var conn atomic.Pointer[serverConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*serverConn); ok {
				c.inFlight.Store(true)
				conn.Store(c)
			}
		},
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	})
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return Answer{Outcome: outcome.Refuse(outcome.ReasonBadRequest, 0)}
	}
	resp, err := c.transport(r.Address, r.MaxConns).RoundTrip(req)
	if err != nil {
		a := Answer{Outcome: outcomeWithoutAnswer(ctx, err, sent.Load())}
		if c := conn.Load(); c != nil && sent.Load() && c.inFlight.Load() {
			a.Ended = c.ended
		}
		return a
	}
	return classifyAnswer(resp, r.RequestID)
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, nil)
	if err != nil {
		return nil, err
	}
	if path := requesttarget.Parse(r.Path).Path; !strings.HasPrefix(path, "//") {
		// The path is sent as it is. net/http would send one that begins with "//" as an
		// absolute URL.
		req.URL.Opaque = path
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	req.Header.Set(httpapi.HeaderRequestID, r.RequestID)
	req.Header.Set(httpapi.HeaderDeadline, strconv.FormatInt(max(1, r.Remaining.Milliseconds()), 10))
	if r.Body != nil {
		req.Body, req.ContentLength = onceBody{r.Body}, r.ContentLength
	} else if !r.Idempotent {
		req.Body = onceBody{http.NoBody}
	}
	return req, nil
}

// outcomeWithoutAnswer classifies an attempt that got no answer. Only a request of
// which nothing was written has certainly not run; its reason is late also if the
// caller canceled it.
func outcomeWithoutAnswer(ctx context.Context, err error, sent bool) outcome.Outcome {
	if !sent {
		if ctx.Err() != nil {
			return outcome.Refuse(outcome.ReasonLate, 0)
		}
		return outcome.Refuse(outcome.ReasonConnect, 0)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.Uncertain(outcome.ReasonTimeout)
	case errors.Is(err, context.Canceled):
		return outcome.Uncertain(outcome.ReasonCanceled)
	default:
		return outcome.Uncertain(outcome.ReasonBroken)
	}
}

// classifyAnswer checks that the answer belongs to the request and determines the
// outcome. If the backend server returns a request identity, it must be id. A refusal
// without one may be that of an earlier request on the connection, sent once more, and
// proves nothing.
func classifyAnswer(resp *http.Response, id string) Answer {
	a := Answer{Draining: resp.Header.Get(httpapi.HeaderDraining) != ""}
	refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(httpapi.HeaderNotStarted) != ""
	if returned := resp.Header.Get(httpapi.HeaderRequestID); returned != id && (returned != "" || refused) {
		_ = resp.Body.Close()
		a.Outcome = outcome.Uncertain(outcome.ReasonWrongRequest)
		return a
	}
	if refused {
		_ = resp.Body.Close()
		a.Shed = true
		a.Outcome = outcome.Refuse(outcome.ReasonShed, 0)
		return a
	}
	if endsWithConnection(resp) {
		_ = resp.Body.Close()
		a.Outcome = outcome.Uncertain(outcome.ReasonIncomplete)
		return a
	}
	a.Outcome, a.Response = outcome.Success(), resp
	return a
}

// endsWithConnection reports whether only the end of the connection marks the end
// of the body. Such a body cannot be distinguished from a truncated one.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}
