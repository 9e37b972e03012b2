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
	// maxLookupBytes bounds the answer to a look-up.
	maxLookupBytes = 64 << 10
	// avoidTime is how long an entry host that failed is tried last.
	avoidTime = 2 * time.Second
)

// lookup returns the entry hosts for a request, from the cache while its time
// to live lasts. When no host answers, an expired answer is better than none.
func (c *Client) lookup(ctx context.Context, service, rank string) (httpapi.LookupAnswer, time.Duration, error) {
	key := service + "/" + rank
	c.mu.Lock()
	cached, ok := c.cache[key]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.until) {
		return cached.answer, time.Since(cached.at), nil
	}
	var last error
	for _, address := range c.sources(cached) {
		answer, err := c.ask(ctx, address, service, rank)
		if err != nil {
			last = err
			c.markFailed(address)
			continue
		}
		now := time.Now()
		c.mu.Lock()
		c.cache[key] = cachedLookup{answer: answer, at: now, until: now.Add(time.Duration(answer.TTLMillis) * time.Millisecond)}
		c.mu.Unlock()
		return answer, 0, nil
	}
	if ok {
		return cached.answer, time.Since(cached.at), nil
	}
	return httpapi.LookupAnswer{}, 0, fmt.Errorf("%w: %v", ErrNoHosts, last)
}

// sources returns whom to ask: hosts of the last answer, then the configured ones.
func (c *Client) sources(cached cachedLookup) []string {
	var out []string
	for _, h := range cached.answer.Hosts {
		out = append(out, h.Address)
	}
	return c.order(append(out, c.seeds...))
}

// order puts addresses that failed lately last.
func (c *Client) order(addresses []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var good, bad []string
	for _, a := range addresses {
		if at, ok := c.failed[a]; ok && now.Sub(at) < avoidTime {
			bad = append(bad, a)
			continue
		}
		delete(c.failed, a)
		good = append(good, a)
	}
	return append(good, bad...)
}

func (c *Client) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[address] = time.Now()
}

// forget drops cached answers, because an entry host of them failed.
func (c *Client) forget(service, rank string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := service + "/" + rank
	if v, ok := c.cache[key]; ok {
		v.until = time.Time{}
		c.cache[key] = v
	}
}

func (c *Client) ask(ctx context.Context, address, service, rank string) (httpapi.LookupAnswer, error) {
	var answer httpapi.LookupAnswer
	ctx, cancel := context.WithTimeout(ctx, defaultLookupTimeout)
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
