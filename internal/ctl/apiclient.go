package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
)

const (
	// dialTimeout bounds the setup of a TCP connection.
	dialTimeout = 5 * time.Second
	// requestTimeout bounds a whole request; it covers a large configuration over a
	// narrow link.
	requestTimeout = 2 * time.Minute
	// maxAnswerBytes leaves room for the longest configuration text in JSON.
	maxAnswerBytes = 2 * config.MaxTextBytes
	// problemPrefix starts the type URI of each problem of the API.
	problemPrefix = "urn:galenabeam:problem:"
)

// revision is an accepted configuration, as the API encodes it.
type revision struct {
	Revision int64     `json:"revision"`
	Checksum string    `json:"digest"`
	Who      string    `json:"who"`
	When     time.Time `json:"when"`
	Why      string    `json:"why"`
	Text     string    `json:"text,omitempty"`
}

// drainRequest is the body that creates a drain.
type drainRequest struct {
	Kind   config.DrainKind `json:"kind"`
	Target string           `json:"target"`
	Reason string           `json:"reason"`
}

// difference is the list of changes from a revision or file, as the API encodes
// it and diff prints it.
type difference struct {
	// Base is the revision that the changes start from, zero for a file or
	// before the first submission.
	Base    int64           `json:"base"`
	Changes []config.Change `json:"changes"`
}

// apiClient is a client of the administration API. It sends the token to its
// own server only: it follows no redirect and uses no proxy.
type apiClient struct {
	baseURL, token string
	http           *http.Client
}

func newAPIClient(baseURL, token string, tlsConfig *tls.Config) *apiClient {
	return &apiClient{baseURL: baseURL, token: token, http: &http.Client{
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:   tlsConfig,
			ForceAttemptHTTP2: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Timeout:       requestTimeout,
	}}
}

func (c *apiClient) close() { c.http.CloseIdleConnections() }

// request is one call of the API. Changes need an operation identity.
type request struct {
	method, path string
	query        url.Values
	operation    string
	body         []byte
}

// send returns the body of an answer with a 2xx status. The error is an
// *admin.Problem if the API answered with one, and a *notSentError if no
// connection was made.
func (c *apiClient) send(ctx context.Context, r request) ([]byte, error) {
	requestURL := c.baseURL + r.path
	if len(r.query) > 0 {
		requestURL += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, requestURL, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if r.operation != "" {
		req.Header.Set(admin.HeaderOperation, r.operation)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && !connected.Load() {
		return nil, &notSentError{err}
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readLimited(resp.Body, c.baseURL+r.path, maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, decodeProblem(resp, body)
	}
	return body, nil
}

// decodeProblem returns the *admin.Problem in an error answer, or another error if
// the answer is not one of the API.
func decodeProblem(resp *http.Response, body []byte) error {
	p := &admin.Problem{}
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if mediaType != "application/problem+json" || json.Unmarshal(body, p) != nil {
		return fmt.Errorf("status %d from %s, which is not an answer of the administration API", resp.StatusCode, resp.Request.URL.Host)
	}
	return p
}

// get sends a GET request and decodes the JSON body of its answer into answer.
func (c *apiClient) get(ctx context.Context, path string, query url.Values, answer any) error {
	return c.exchange(ctx, request{method: http.MethodGet, path: path, query: query}, answer)
}

// exchange sends a request and decodes the JSON body of its answer into answer.
func (c *apiClient) exchange(ctx context.Context, r request, answer any) error {
	body, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("malformed answer to %s %s: %w", r.method, r.path, err)
	}
	return nil
}

// change sends a request that changes the configuration. The error is an
// *uncertainError if the change may have taken effect.
func (c *apiClient) change(ctx context.Context, r request) (revision, error) {
	var rev revision
	err := c.exchange(ctx, r, &rev)
	var notSent *notSentError
	if err == nil || errors.As(err, &notSent) {
		return rev, err
	}
	var p *admin.Problem
	if !errors.As(err, &p) || codeOf(p) == admin.CodeUncertain || codeOf(p) == admin.CodeInternal {
		err = &uncertainError{operation: r.operation, err: err}
	}
	return rev, err
}

// uncertainError reports a change that may have taken effect. Its text says how to
// repeat the change safely.
type uncertainError struct {
	operation string
	err       error
}

func (e *uncertainError) Error() string {
	return errorText(e.err) + "\nthe result is not known; repeat with -operation " + e.operation + " to learn it"
}

func (e *uncertainError) Unwrap() error { return e.err }

// notSentError reports a request for which no connection was made.
type notSentError struct{ error }

func (e *notSentError) Unwrap() error { return e.error }

// operationFlag defines the flag -operation. Its default is a new identity.
func (i *invocation) operationFlag() *string {
	return i.flags.String("operation", "", "`IDENTITY` of the change, to repeat it safely; by default a new one")
}

// operationOrNew returns operation, or a new identity if it is empty.
func operationOrNew(operation string) string {
	if operation != "" {
		return operation
	}
	return "ctl-" + rand.Text()
}

// codeOf returns the code of a problem, the last part of its type URI.
func codeOf(p *admin.Problem) admin.Code {
	return admin.Code(strings.TrimPrefix(p.Type, problemPrefix))
}

// errorText returns the text of an error for the operator.
func errorText(err error) string {
	if p, ok := err.(*admin.Problem); ok {
		return problemText(p)
	}
	return err.Error()
}

// problemText returns a problem as text, with a line for each item of p.Problems.
func problemText(p *admin.Problem) string {
	text := string(codeOf(p)) + ": " + p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	for _, problem := range p.Problems {
		text += "\n  " + problem
	}
	return text
}

// drains returns the progress of the drains in the current configuration.
func (c *apiClient) drains(ctx context.Context) ([]admin.DrainProgress, error) {
	var body struct {
		Drains []admin.DrainProgress `json:"drains"`
	}
	err := c.get(ctx, "/v1/drains", nil, &body)
	return body.Drains, err
}
