package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/galenabeam/galenabeam/internal/httpapi"
)

const (
	// maxLookupBytes bounds the body of the answer to a lookup.
	maxLookupBytes = 64 << 10
	// avoidTime is the time for which a failed entry host comes after all others.
	avoidTime = 2 * time.Second
)

// lookup returns the entry hosts for a request and the age of that answer. The
// cached answer is used until it expires, and afterwards if no host gives a usable
// one. The rank does not affect the hosts; it is sent so that an entry host can
// refuse an unknown one.
func (c *Client) lookup(ctx context.Context, service, rank string) (httpapi.LookupAnswer, time.Duration, error) {
	key := service + "/" + rank
	c.mu.Lock()
	cached, ok := c.cache[key]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.expiresAt) {
		return cached.answer, time.Since(cached.fetchedAt), nil
	}
	var lastErr error
	for _, address := range c.lookupAddresses(cached) {
		answer, err := c.callLookup(ctx, address, service, rank)
		if err != nil {
			lastErr = err
			c.markFailed(address)
			continue
		}
		now := time.Now()
		c.mu.Lock()
		c.cache[key] = cachedLookup{answer: answer, fetchedAt: now, expiresAt: now.Add(time.Duration(answer.TTLMillis) * time.Millisecond)}
		c.mu.Unlock()
		return answer, 0, nil
	}
	if ok {
		return cached.answer, time.Since(cached.fetchedAt), nil
	}
	return httpapi.LookupAnswer{}, 0, fmt.Errorf("%w: %v", ErrNoHosts, lastErr)
}

// lookupAddresses returns the addresses to call for a lookup: the hosts of the
// last answer, then the configured ones. Those that failed recently come last.
func (c *Client) lookupAddresses(cached cachedLookup) []string {
	var out []string
	for _, h := range cached.answer.Hosts {
		out = append(out, h.Address)
	}
	return c.failedLast(append(out, c.seeds...))
}

// failedLast moves the addresses that failed within avoidTime to the end.
func (c *Client) failedLast(addresses []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var preferred, avoided []string
	for _, a := range addresses {
		if at, ok := c.failed[a]; ok && now.Sub(at) < avoidTime {
			avoided = append(avoided, a)
			continue
		}
		delete(c.failed, a)
		preferred = append(preferred, a)
	}
	return append(preferred, avoided...)
}

func (c *Client) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[address] = time.Now()
}

// expireLookup marks the cached answer as expired, because an entry host in it
// failed. The answer stays available in case no host answers the next lookup.
func (c *Client) expireLookup(service, rank string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := service + "/" + rank
	if v, ok := c.cache[key]; ok {
		v.expiresAt = time.Time{}
		c.cache[key] = v
	}
}

// callLookup sends the lookup to one entry host.
func (c *Client) callLookup(ctx context.Context, address, service, rank string) (httpapi.LookupAnswer, error) {
	var answer httpapi.LookupAnswer
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	q := url.Values{"service": {service}, "rank": {rank}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+httpapi.PathLookup+"?"+q.Encode(), nil)
	if err != nil {
		return answer, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupBytes))
	if err != nil {
		return answer, err
	}
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%s: status %d: %.200s", address, resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, fmt.Errorf("%s: malformed answer: %w", address, err)
	}
	if len(answer.Hosts) == 0 {
		return answer, fmt.Errorf("%s: no entry host in the answer", address)
	}
	return answer, nil
}
