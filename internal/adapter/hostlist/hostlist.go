// Package hostlist reads the host list, an external service that galenabeamd uses
// without -platform, over HTTP and JSON.
package hostlist

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
)

// ErrInvalidList means that the service's answer is not usable. The message names
// the invalid entry, if there is one. It wraps member.ErrListUnavailable.
var ErrInvalidList = invalidListError{}

type invalidListError struct{}

func (invalidListError) Error() string { return "hostlist: invalid answer" }
func (invalidListError) Unwrap() error { return member.ErrListUnavailable }

// maxAnswerBytes bounds an answer. A list of 6,200 hosts takes about 1.5 MB.
const maxAnswerBytes = 8 << 20

// Client is a member.HostList that calls GET <base>/v1/hosts. It is safe for
// concurrent use.
type Client struct {
	url     string
	http    *http.Client
	calls   metrics.Counter
	errors  metrics.Counter
	entries metrics.Gauge
	// problems is the number of unusable fields of the latest valid answer.
	problems metrics.Gauge

	mu sync.Mutex
	// logged holds the problems of the latest valid answer.
	logged []string
}

var _ member.HostList = (*Client)(nil)

// New returns a client of the list at base, for example "http://10.0.0.1:7000".
// It registers its metrics in registry under the prefix hostlist.
func New(base string, client *http.Client, registry metrics.Registry) *Client {
	return &Client{
		url:      strings.TrimSuffix(base, "/") + "/v1/hosts",
		http:     client,
		calls:    metrics.GetOrRegisterCounter("hostlist.calls", registry),
		errors:   metrics.GetOrRegisterCounter("hostlist.errors", registry),
		entries:  metrics.GetOrRegisterGauge("hostlist.entries", registry),
		problems: metrics.GetOrRegisterGauge("hostlist.problems", registry),
	}
}

// Hosts implements member.HostList.
func (c *Client) Hosts(ctx context.Context) ([]member.Listed, error) {
	c.calls.Inc(1)
	body, err := c.fetch(ctx)
	if err != nil {
		c.errors.Inc(1)
		return nil, err
	}
	hosts, problems, err := parse(body)
	if err != nil {
		c.errors.Inc(1)
		return nil, err
	}
	c.problems.Update(int64(len(problems)))
	c.logProblems(problems)
	c.entries.Update(int64(len(hosts)))
	return hosts, nil
}

// logProblems logs the problems unless the previous answer had the same.
func (c *Client) logProblems(problems []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(problems, c.logged) {
		return
	}
	c.logged = problems
	for _, p := range problems {
		logrus.WithField("url", c.url).Warnf("invalid entry of the host list: %s", p)
	}
}

func (c *Client) fetch(ctx context.Context) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fetchError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.Wrap(member.ErrListUnavailable, "GET %s: %s", c.url, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fetchError(ctx, err)
	}
	if len(body) > maxAnswerBytes {
		return nil, trace.Wrap(ErrInvalidList, "answer exceeds %d bytes", maxAnswerBytes)
	}
	return body, nil
}

// fetchError returns the error of ctx if it has ended. It wraps any other error in
// member.ErrListUnavailable.
func fetchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return trace.Wrap(ctx.Err())
	}
	return trace.Wrap(errors.Join(member.ErrListUnavailable, err))
}

// parse decodes and checks an answer. An entry that cannot be attributed to one host
// makes the whole answer invalid: without the entry, the host would seem to have
// ended. An unusable field is replaced and reported in problems, so that one wrong
// field does not make the whole list unavailable.
func parse(body []byte) (hosts []member.Listed, problems []string, err error) {
	var answer struct {
		Hosts []member.Listed `json:"hosts"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, nil, trace.Wrap(ErrInvalidList, "%v", err)
	}
	if answer.Hosts == nil {
		return nil, nil, trace.Wrap(ErrInvalidList, "the answer has no hosts array")
	}
	seen := make(map[host.ID]bool, len(answer.Hosts))
	for i := range answer.Hosts {
		h := &answer.Hosts[i]
		if h.ID == "" || h.Region == "" {
			return nil, nil, trace.Wrap(ErrInvalidList, "entry %d, host %q: want an id and a region", i, h.ID)
		}
		if seen[h.ID] {
			return nil, nil, trace.Wrap(ErrInvalidList, "entry %d, host %q: listed twice", i, h.ID)
		}
		seen[h.ID] = true
		problems = append(problems, replaceUnusable(h)...)
	}
	slices.SortFunc(answer.Hosts, func(a, b member.Listed) int { return cmp.Compare(a.ID, b.ID) })
	return answer.Hosts, problems, nil
}

// replaceUnusable replaces an unusable address by an empty one, so that probes fail
// until the process announces its own, and an unknown state by live. An empty
// failure domain is only reported. A backend server needs no JSON-RPC address.
func replaceUnusable(h *member.Listed) (problems []string) {
	report := func(field, value string) {
		problems = append(problems, fmt.Sprintf("host %q: unusable %s %q", h.ID, field, value))
	}
	if h.FailureDomain == "" {
		report("failure_domain", "")
	}
	if _, err := netip.ParseAddrPort(h.RPCAddress); err != nil && (h.Kind != member.ListedBackendServer || h.RPCAddress != "") {
		report("rpc_address", h.RPCAddress)
		h.RPCAddress = ""
	}
	if _, err := netip.ParseAddrPort(h.HTTPAddress); err != nil {
		report("http_address", h.HTTPAddress)
		h.HTTPAddress = ""
	}
	if h.State != member.ListedLive && h.State != member.ListedLeaving {
		report("state", string(h.State))
		h.State = member.ListedLive
	}
	return problems
}
