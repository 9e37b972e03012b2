package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/ledger"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

const (
	// maxAttempts bounds the attempts to send a request, including repeats under
	// the same identity.
	maxAttempts = 4
	// identityWindow is the length of a request identity window. It must equal
	// that of the entry hosts, which refuse identities of windows that have passed.
	identityWindow = ledger.DefaultWindow
	// minRetryDelay is the shortest wait before a retry, and the one after an
	// outcome that gives no delay.
	minRetryDelay = 10 * time.Millisecond
)

// Reasons for which an answer is not accepted.
var (
	errTruncated    = errors.New("answer of unknown length lacks the end trailer")
	errWrongRequest = errors.New("answer belongs to another request")
	errTooLarge     = errors.New("answer is longer than the configured maximum")
)

// run makes attempts until the outcome is final, no attempt is left or the
// deadline is too close for another.
func (c *Client) run(ctx context.Context, r *Request, deadline time.Time) (*Result, error) {
	var last *Result
	mayHaveRun := false
	tried := map[string]bool{}
	for sends := 0; sends < maxAttempts; {
		answer, lookupAge, err := c.lookup(ctx, r.Service, r.Rank)
		if err != nil {
			if last != nil {
				return last, nil
			}
			return nil, err
		}
		h := c.choose(answer.Hosts, tried)
		tried[h.Address] = true
		id, err := newIdentity(h, lookupAge)
		if err != nil {
			return last, err
		}
		res := c.attempt(ctx, r, h.Address, id, deadline)
		sends++
		if !r.Idempotent && sends < maxAttempts && confirmable(ctx, res, deadline) {
			res = c.confirm(ctx, r, h.Address, id, res, deadline)
			sends++
		}
		res.Attempts = sends
		retry := c.waitToRetry(ctx, r, res, deadline)
		// A refusal of a later attempt proves nothing about an earlier one that
		// may have run.
		mayHaveRun = mayHaveRun || res.Kind == Unknown
		if mayHaveRun && res.Kind == NotRun {
			res.Kind = Unknown
		}
		if last = res; !retry {
			break
		}
	}
	return last, nil
}

// waitToRetry waits before the next attempt, or returns false if there is none.
func (c *Client) waitToRetry(ctx context.Context, r *Request, res *Result, deadline time.Time) bool {
	switch {
	case res.Kind == Done:
		return false
	case res.Kind == Unknown && !r.Idempotent:
		return false
	case res.Kind == Unknown, res.Reason == string(outcome.ReasonConnect), res.Reason == string(outcome.ReasonLeaving),
		res.Reason == string(outcome.ReasonHostLost):
		c.expireLookup(r.Service, r.Rank)
	case res.RetryAfter == 0:
		return false
	}
	wait := max(res.RetryAfter, minRetryDelay)
	wait += time.Duration(mathrand.Int64N(int64(wait)/4 + 1))
	if time.Until(deadline) <= wait {
		return false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// choose returns the first host that this request has not tried, or the first one
// if it has tried all. Hosts that failed recently come last.
func (c *Client) choose(hosts []httpapi.LookupHost, tried map[string]bool) httpapi.LookupHost {
	addresses := make([]string, len(hosts))
	for i, h := range hosts {
		addresses[i] = h.Address
	}
	ordered := c.failedLast(addresses)
	address := ordered[0]
	if i := slices.IndexFunc(ordered, func(a string) bool { return !tried[a] }); i >= 0 {
		address = ordered[i]
	}
	for _, h := range hosts {
		if h.Address == address {
			return h
		}
	}
	return hosts[0]
}

// newIdentity returns a request identity that only the process of host h may run,
// unless the rank is idempotent. The window of the lookup's answer is advanced by
// the answer's age.
func newIdentity(h httpapi.LookupHost, lookupAge time.Duration) (ledger.ID, error) {
	window := h.Window + uint32(lookupAge/identityWindow)
	return ledger.NewID(host.Incarnation(h.Incarnation), window, rand.Reader)
}

// confirmable reports whether a repeat under the same identity can determine
// the outcome of a request.
func confirmable(ctx context.Context, first *Result, deadline time.Time) bool {
	if first.Kind != Unknown || ctx.Err() != nil || time.Until(deadline) <= 0 {
		return false
	}
	switch outcome.Reason(first.Reason) {
	case outcome.ReasonBroken, outcome.ReasonIncomplete, outcome.ReasonWrongRequest:
		return true
	}
	return false
}

// confirm repeats a request at the same entry host under the same identity after
// its answer was lost or unusable. Unless the rank is idempotent, the host runs it
// only if it never arrived, and else returns the recorded outcome.
func (c *Client) confirm(ctx context.Context, r *Request, address string, id ledger.ID, first *Result, deadline time.Time) *Result {
	second := c.repeat(ctx, r, address, id, deadline)
	if second.Kind == Done {
		return second
	}
	// A repeat that could not connect proves nothing about the first attempt.
	// A refusal by the entry host applies to the identity, which the host has
	// recorded as not run unless the rank is idempotent, and so to both attempts.
	if second.Kind == NotRun && second.Reason != string(outcome.ReasonConnect) {
		return second
	}
	return first
}

// attempt sends the request under a new identity. If the receiving process
// refuses the identity as one of an earlier process at its address, the request
// was not run: the identity was sent to no other process.
func (c *Client) attempt(ctx context.Context, r *Request, address string, id ledger.ID, deadline time.Time) *Result {
	res, sentOnce := c.send(ctx, r, address, id, deadline)
	if res.Kind == Unknown && res.Reason == string(outcome.ReasonHostLost) && sentOnce {
		res.Kind, res.RetryAfter = NotRun, minRetryDelay
	}
	return res
}

// repeat sends the request again under the identity of an earlier attempt.
func (c *Client) repeat(ctx context.Context, r *Request, address string, id ledger.ID, deadline time.Time) *Result {
	res, _ := c.send(ctx, r, address, id, deadline)
	return res
}

// send sends the request. sentOnce reports whether the transport certainly did not
// send it again on another connection, as it may if there is no body.
func (c *Client) send(ctx context.Context, r *Request, address string, id ledger.ID, deadline time.Time) (res *Result, sentOnce bool) {
	var headerWritten, resent atomic.Bool
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { resent.Store(headerWritten.Load()) },
		WroteHeaderField: func(string, []string) { headerWritten.Store(true) },
	})
	req, err := c.newRequest(tracedCtx, r, address, id, deadline)
	if err != nil {
		return &Result{Kind: NotRun, Reason: string(outcome.ReasonBadRequest), ID: id.String()}, true
	}
	resp, err := c.http.Transport.RoundTrip(req)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.markFailed(address)
		}
		if !headerWritten.Load() {
			return &Result{Kind: NotRun, Reason: string(outcome.ReasonConnect), ID: id.String()}, true
		}
		return &Result{Kind: Unknown, Reason: string(outcome.ReasonBroken), ID: id.String()}, false
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readResult(resp, id.String()), !resent.Load()
}

func (c *Client) newRequest(ctx context.Context, r *Request, address string, id ledger.ID, deadline time.Time) (*http.Request, error) {
	method := r.Method
	if method == "" {
		method = http.MethodGet
		if len(r.Body) > 0 || !r.Idempotent {
			method = http.MethodPost
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+httpapi.PathRun+r.Service+"/"+strings.TrimPrefix(r.Path, "/"), nil)
	if err != nil {
		return nil, err
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	// Without GetBody the transport does not repeat the request by itself, unless
	// the body is NoBody. Entry hosts refuse a request of unknown length unless its
	// rank is idempotent; for POST, PUT and PATCH, net/http takes a body as empty only
	// if it is NoBody.
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	if len(r.Body) == 0 && method != http.MethodGet && method != http.MethodHead {
		req.Body = http.NoBody
	}
	req.Header.Set(httpapi.HeaderRequestID, id.String())
	req.Header.Set(httpapi.HeaderRank, r.Rank)
	if c.cfg.Customer != "" {
		req.Header.Set(httpapi.HeaderCustomer, c.cfg.Customer)
	}
	req.Header.Set(httpapi.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	return req, nil
}

// readResult reads an answer. The result is Unknown unless the answer belongs to the
// request, is complete and states an outcome.
func (c *Client) readResult(resp *http.Response, id string) *Result {
	res := &Result{Kind: Unknown, ID: id}
	o, ok := httpapi.ReadOutcome(resp.Header)
	body, err := c.readBody(resp, id)
	switch {
	case errors.Is(err, errWrongRequest):
		res.Reason = string(outcome.ReasonWrongRequest)
	case err != nil:
		res.Reason = string(outcome.ReasonIncomplete)
	case !ok:
		res.Reason = string(outcome.ReasonBroken)
	default:
		res.Kind, res.Reason, res.RetryAfter = o.Kind, string(o.Reason), o.RetryAfter
		if o.Kind == Done {
			res.Status, res.Header, res.Body = resp.StatusCode, resp.Header, body
		}
	}
	return res
}

// readBody returns the body of an answer, or an error if the answer belongs to another
// request, is incomplete or exceeds the limit.
func (c *Client) readBody(resp *http.Response, id string) ([]byte, error) {
	if answerID := resp.Header.Get(httpapi.HeaderRequestID); answerID != id {
		return nil, errWrongRequest
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.cfg.MaxAnswerBytes {
		return nil, errTooLarge
	}
	if resp.ContentLength < 0 && resp.Trailer.Get(httpapi.TrailerEnd) != httpapi.EndComplete {
		return nil, errTruncated
	}
	return body, nil
}
