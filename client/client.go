// Package client is the callers' library of galenabeam. It asks the system
// which entry hosts to use, sends requests to them under an identity of their
// own, and retries only where that is safe. It never hands over an answer that
// was cut short or that belongs to another request.
package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

// Kind is what is known about the execution of a request.
type Kind = outcome.Kind

// Kinds of outcomes.
const (
	// Done: a backend server ran the request and the answer is whole.
	Done = outcome.Done
	// NotRun: no backend server ran the request and none ever will.
	NotRun = outcome.NotRun
	// Unknown: the request may have run.
	Unknown = outcome.Unknown
)

// Errors of Do and Lookup. Compare with errors.Is.
var (
	// ErrBadRequest: the request is incomplete or malformed; nothing was sent.
	ErrBadRequest = errors.New("client: bad request")
	// ErrNoHosts: no entry host answered the look-up; nothing was sent.
	ErrNoHosts = errors.New("client: no entry host answered the look-up")
)

// Defaults of Config.
const (
	DefaultTimeout       = 10 * time.Second
	DefaultMaxAnswer     = 64 << 20
	defaultLookupTimeout = 2 * time.Second
	dialTimeout          = time.Second
	maxIdlePerHost       = 64
	// answerGrace is how long after the deadline an answer is waited for, so
	// that a refusal made at the deadline still arrives.
	answerGrace = 250 * time.Millisecond
)

// Config sets up a Client.
type Config struct {
	// Entries are addresses ("IP:port") of entry hosts to ask first. One that
	// answers is enough; more allow for failures.
	Entries []string
	// Customer names the customer that requests belong to.
	Customer string
	// LocalIP is the address to connect from, for machines with several.
	LocalIP string
	// MaxAnswerBytes bounds the body of an answer. Zero means DefaultMaxAnswer.
	MaxAnswerBytes int64
}

// Client sends requests through entry hosts. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client

	mu     sync.Mutex
	cache  map[string]cachedLookup
	seeds  []string
	failed map[string]time.Time
}

type cachedLookup struct {
	answer httpapi.LookupAnswer
	at     time.Time
	until  time.Time
}

// New returns a Client, or an error that wraps ErrBadRequest when the
// configuration is unusable.
func New(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 {
		return nil, fmt.Errorf("%w: no entry host addresses", ErrBadRequest)
	}
	for _, a := range cfg.Entries {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("%w: entry host address %q: %v", ErrBadRequest, a, err)
		}
	}
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = DefaultMaxAnswer
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if cfg.LocalIP != "" {
		ip := net.ParseIP(cfg.LocalIP)
		if ip == nil {
			return nil, fmt.Errorf("%w: local address %q is not an IP number", ErrBadRequest, cfg.LocalIP)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}, cache: map[string]cachedLookup{},
		seeds: cfg.Entries, failed: map[string]time.Time{}}, nil
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one piece of work.
type Request struct {
	Service string
	Rank    string
	// Method is the HTTP method. Empty means GET for idempotent work without a
	// body, and POST otherwise.
	Method string
	// Path is the path with query on the backend server, starting with "/".
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is the time until the deadline, after which no work is started.
	// Do returns shortly after it. Zero means DefaultTimeout.
	Timeout time.Duration
	// Idempotent tells that the work may run more than once. Only then is a
	// request with an unknown outcome tried again.
	Idempotent bool
}

func (r *Request) check() error {
	switch {
	case r.Service == "":
		return fmt.Errorf("%w: no service", ErrBadRequest)
	case r.Rank == "":
		return fmt.Errorf("%w: no rank", ErrBadRequest)
	case r.Path != "" && r.Path[0] != '/':
		return fmt.Errorf("%w: path %q does not start with a slash", ErrBadRequest, r.Path)
	case r.Timeout < 0:
		return fmt.Errorf("%w: negative timeout", ErrBadRequest)
	}
	return nil
}

// Result is how a request ended.
type Result struct {
	Kind   Kind
	Reason string
	// RetryAfter is when a request that was not run may be tried again.
	RetryAfter time.Duration
	// Status, Header and Body are the backend server's whole answer. They are
	// set only when Kind is Done.
	Status int
	Header http.Header
	Body   []byte
	// ID is the identity of the last attempt.
	ID string
	// Attempts is the number of times that the request was sent.
	Attempts int
}

// Do sends a request and waits for its outcome. An error means that nothing
// was sent; everything else is told by the Result.
func (c *Client) Do(ctx context.Context, r Request) (*Result, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	if r.Timeout == 0 {
		r.Timeout = DefaultTimeout
	}
	deadline := time.Now().Add(r.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	return c.run(ctx, &r, deadline)
}
