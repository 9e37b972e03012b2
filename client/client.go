// Package client sends requests through entry hosts that run galenabeamd without
// -platform; with it, entry hosts do not serve the lookups that a Client needs. A
// Client looks up the entry hosts to use and retries only where that is safe. It
// never returns an answer that is incomplete or belongs to another request.
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
	// Done means that a backend server ran the request and that its complete
	// answer was received.
	Done = outcome.Done
	// NotRun means that no backend server ran the request. For a rank that is not
	// idempotent, none will run it later under a request identity of the same call.
	NotRun = outcome.NotRun
	// Unknown means that the request may have run.
	Unknown = outcome.Unknown
)

// Errors of New and Do. Compare with errors.Is.
var (
	// ErrBadRequest means that the configuration of a Client or a request is
	// incomplete or malformed; nothing was sent.
	ErrBadRequest = errors.New("client: invalid request or configuration")
	// ErrNoHosts means that no entry host gave a usable answer to the lookup: each
	// one failed, timed out or refused, for example because it does not know the
	// service. Nothing was sent.
	ErrNoHosts = errors.New("client: no entry host gave a usable answer to the lookup")
)

// Defaults of Request and Config.
const (
	// DefaultTimeout replaces a Request.Timeout of zero.
	DefaultTimeout = 10 * time.Second
	// DefaultMaxAnswer replaces a Config.MaxAnswerBytes of zero, in bytes.
	DefaultMaxAnswer = 64 << 20
	// lookupTimeout bounds the call of one entry host in a lookup.
	lookupTimeout = 2 * time.Second
	// dialTimeout bounds the setup of a TCP connection.
	dialTimeout = time.Second
	// maxIdleConnsPerHost bounds the idle connections to one entry host.
	maxIdleConnsPerHost = 64
	// answerGrace extends the wait for an answer beyond the deadline, so that a
	// refusal made at the deadline still arrives.
	answerGrace = 250 * time.Millisecond
)

// Config is the configuration of a Client.
type Config struct {
	// Entries are the addresses ("IP:port") of entry hosts to look up others. At
	// least one is required; more tolerate failed hosts. A lookup first asks the
	// hosts in the last answer for the same service and rank, then Entries.
	Entries []string
	// Customer is the customer that requests belong to. It may be empty.
	Customer string
	// LocalIP is the IP address to connect from. Empty leaves the choice to the
	// operating system.
	LocalIP string
	// MaxAnswerBytes bounds the body of an answer. A longer one gives the outcome
	// Unknown with the reason "incomplete". Zero or a negative value means
	// DefaultMaxAnswer.
	MaxAnswerBytes int64
}

// Client sends requests through entry hosts. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client

	mu     sync.Mutex
	cache  map[string]cachedLookup // by service and rank
	seeds  []string                // Config.Entries
	failed map[string]time.Time    // last failure by address of an entry host
}

type cachedLookup struct {
	answer    httpapi.LookupAnswer
	fetchedAt time.Time
	expiresAt time.Time
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
			return nil, fmt.Errorf("%w: local address %q: want an IP address", ErrBadRequest, cfg.LocalIP)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}, cache: map[string]cachedLookup{},
		seeds: cfg.Entries, failed: map[string]time.Time{}}, nil
}

// Close closes the idle connections. Requests in flight continue, and Do may still
// be called: it opens new connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is a request to a service. Service and Rank, names from the
// configuration, are required. Do does not modify Header and Body, which may be nil.
type Request struct {
	Service string
	Rank    string
	// Method is the HTTP method. Empty means GET for an idempotent request
	// without a body, and POST otherwise.
	Method string
	// Path is the path with query on the backend server. It starts with "/"; empty
	// means "/".
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is the time until the deadline, after which the request is not
	// started. Do returns shortly after it. Zero means DefaultTimeout; a negative
	// value is an ErrBadRequest.
	Timeout time.Duration
	// Idempotent allows the request to run more than once: after an unknown outcome
	// it is retried under a new identity. Without it, such a request is only repeated
	// at the same entry host under the same identity, which runs at most once unless
	// the rank is idempotent.
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

// Result is the outcome of a request.
type Result struct {
	Kind Kind
	// Reason identifies why the request ended as it did, for example "ok" or "late";
	// docs/OPERATIONS.md lists the reasons. If the deadline passes or ctx
	// ends, the reason may be "connect" (nothing was sent) or "broken".
	Reason string
	// RetryAfter is the delay after which a request that was not run may be sent
	// again. Zero means that no delay is known; Reason says whether a retry can help.
	RetryAfter time.Duration
	// Status, Header and Body are the backend server's complete answer. They are
	// set only when Kind is Done.
	Status int
	Header http.Header
	Body   []byte
	// ID is the request identity of the last attempt.
	ID string
	// Attempts counts the attempts to send the request, including repeats under the
	// same identity and attempts that got no connection.
	Attempts int
}

// Do sends a request and waits for its outcome. An error means that nothing was
// sent. It wraps ErrBadRequest if Service or Rank is empty, Path is set but does
// not start with "/" or Timeout is negative, and ErrNoHosts if the lookup failed
// or ctx ended during it. All later failures are reported in the Result, including
// the end of ctx and a method, path or header that net/http rejects.
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
