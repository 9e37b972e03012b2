package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// PathLoad is the path on which backend servers report their load.
const PathLoad = "/load"

// maxLoadBytes bounds the body of a load report.
const maxLoadBytes = 16 << 10

// Load is a backend server's report of its load.
type Load struct {
	InFlight int `json:"in_flight"`
	// Slots is how many requests the server runs concurrently. Entry hosts use the
	// configured number instead.
	Slots   int  `json:"slots"`
	Healthy bool `json:"healthy"`
	// Draining reports whether the server is draining: it takes no new requests.
	Draining bool `json:"draining"`
}

// Load requests the load report of the backend server at address. A negative
// number of requests in flight is an error.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLoad, nil)
	if err != nil {
		return Load{}, trace.Wrap(err)
	}
	resp, err := c.transport(address, 0).RoundTrip(req)
	if err != nil {
		return Load{}, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Load{}, fmt.Errorf("backend server %s: load report has status %d", address, resp.StatusCode)
	}
	var l Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&l); err != nil {
		return Load{}, fmt.Errorf("backend server %s: malformed load report: %w", address, err)
	}
	if l.InFlight < 0 {
		return Load{}, fmt.Errorf("backend server %s: load report has %d requests in flight", address, l.InFlight)
	}
	return l, nil
}
