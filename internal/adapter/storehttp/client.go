// Package storehttp implements store.Store for an external key-value service over
// HTTP and JSON, which galenabeamd uses without -platform.
package storehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
	"github.com/galenabeam/galenabeam/internal/store/storewire"
)

// Defaults of Config.
const (
	// DefaultTimeout is the default of Config.Timeout.
	DefaultTimeout = 2 * time.Second
	// DefaultWait is the default of Config.Wait.
	DefaultWait = 20 * time.Second
)

// maxIdleConnections suffices for the concurrent watches and a few other calls.
const maxIdleConnections = 4

// Config sets up a client.
type Config struct {
	// URL is the base address of the service, for example "http://10.0.0.1:7400".
	URL string
	// Client names this client in the header Store-Client.
	Client string
	// Timeout bounds each call other than a watch. Zero means DefaultTimeout.
	Timeout time.Duration
	// Wait bounds one long poll, of which a watch makes many. Zero means DefaultWait.
	Wait time.Duration
}

// Client is a store.Store that calls the service. It is safe for concurrent use.
type Client struct {
	config Config
	base   *url.URL
	http   *http.Client
}

// New returns a client, or an error if the URL is invalid.
func New(config Config) (*Client, error) {
	base, err := url.Parse(config.URL)
	if err != nil {
		return nil, fmt.Errorf("storehttp: URL %q: %w", config.URL, err)
	}
	if base.Scheme == "" || base.Host == "" {
		return nil, fmt.Errorf("storehttp: URL %q: want a scheme and a host", config.URL)
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Wait <= 0 {
		config.Wait = DefaultWait
	}
	return &Client{config: config, base: base, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: time.Minute},
		// A followed redirect would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	var entry storewire.Entry
	err := c.call(ctx, request{method: http.MethodGet, path: storewire.PathKey, query: url.Values{storewire.ParamKey: {key}}, answer: &entry})
	return store.Entry(entry), err
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	var written storewire.SwapAnswer
	err := c.call(ctx, request{
		method: http.MethodPut, path: storewire.PathKey, query: url.Values{storewire.ParamKey: {key}}, write: true,
		body: storewire.SwapRequest{Expected: expected, Value: value, Lease: lease}, answer: &written,
	})
	if err == nil && written.Revision <= 0 {
		return 0, exchangeError(true, errors.New("answer without a revision"))
	}
	return written.Revision, err
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expected store.Revision) error {
	query := url.Values{storewire.ParamKey: {key}, storewire.ParamExpect: {format(int64(expected))}}
	return c.call(ctx, request{method: http.MethodDelete, path: storewire.PathKey, query: query, write: true})
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	query := url.Values{
		storewire.ParamKey: {key}, storewire.ParamAfter: {format(int64(after))},
		storewire.ParamWait: {format(c.config.Wait.Milliseconds())},
	}
	for {
		var entry storewire.Entry
		err := c.call(ctx, request{method: http.MethodGet, path: storewire.PathKey, query: query, wait: c.config.Wait, answer: &entry})
		if !errors.Is(err, errNoChange) {
			return store.Entry(entry), err
		}
	}
}

// GrantLease implements store.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var granted storewire.LeaseAnswer
	err := c.call(ctx, request{
		method: http.MethodPost, path: storewire.PathLease, write: true,
		body: storewire.LeaseRequest{TTLMs: ttl.Milliseconds()}, answer: &granted,
	})
	return granted.Lease, err
}

// RenewLease implements store.Store.
func (c *Client) RenewLease(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, request{method: http.MethodPut, path: storewire.PathLease, query: url.Values{storewire.ParamLease: {format(int64(id))}}, write: true})
}

// RevokeLease implements store.Store.
func (c *Client) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, request{method: http.MethodDelete, path: storewire.PathLease, query: url.Values{storewire.ParamLease: {format(int64(id))}}, write: true})
}

func format(n int64) string { return strconv.FormatInt(n, 10) }

// errNoChange means that a long poll ended without a change, so that Watch starts
// the next one.
var errNoChange = errors.New("storehttp: no change")

// request is one HTTP exchange.
type request struct {
	method, path string
	query        url.Values
	write        bool          // whether the call can change the store
	wait         time.Duration // of a long poll, zero for other calls
	body, answer any           // encoded and decoded as JSON; nil for none
}

// call performs one exchange and maps its errors to those of package store. A
// write counts as sent as soon as it has a connection.
func (c *Client) call(ctx context.Context, r request) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout+r.wait)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	httpRequest, err := c.newRequest(ctx, r)
	if err != nil {
		return err
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return exchangeError(r.write && sent.Load(), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, storewire.MaxBodyBytes+1))
	if err != nil {
		return exchangeError(r.write, err)
	}
	if len(body) > storewire.MaxBodyBytes {
		return exchangeError(r.write, errors.New("answer exceeds its size limit"))
	}
	return r.handleAnswer(response.StatusCode, body)
}

func (c *Client) newRequest(ctx context.Context, r request) (*http.Request, error) {
	target := c.base.JoinPath(r.path)
	target.RawQuery = r.query.Encode()
	var body io.Reader
	if r.body != nil {
		text, err := json.Marshal(r.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, target.String(), body)
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set(storewire.HeaderClient, c.config.Client)
	return httpRequest, nil
}

// handleAnswer decodes a complete answer into r.answer or maps it to an error.
func (r request) handleAnswer(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		if r.answer == nil {
			return nil
		}
		if err := json.Unmarshal(body, r.answer); err != nil {
			return exchangeError(r.write, err)
		}
		return nil
	case http.StatusNoContent:
		if r.wait > 0 {
			return errNoChange
		}
	}
	var failure storewire.Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		return exchangeError(r.write, fmt.Errorf("status %d: %w", status, err))
	}
	if err, ok := storewire.Errors[failure.Code]; ok {
		return err
	}
	if failure.Code == storewire.CodeBadRequest {
		return fmt.Errorf("storehttp: service refused the call: %s", failure.Message)
	}
	return exchangeError(r.write, fmt.Errorf("status %d, code %q", status, failure.Code))
}

// exchangeError returns the error of an exchange without a usable answer:
// ErrUncertain for a write that was sent, which may have taken effect, otherwise
// ErrUnavailable.
func exchangeError(sentWrite bool, cause error) error {
	if sentWrite {
		return fmt.Errorf("%w: %w", store.ErrUncertain, cause)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, cause)
}
