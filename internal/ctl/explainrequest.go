package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/galenabeam/galenabeam/internal/gateway"
)

const (
	envMetrics = "GALENABEAM_METRICS"
	// explainTimeout bounds one question; a host answers within milliseconds.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes bounds an answer, which has at most ten servers for each service.
	maxExplanationBytes = 4 << 20
)

// explainFlags are the flags of explain-request.
type explainFlags struct {
	address, host, path, workspace, object string
	bytes                                  int64
	deadline                               time.Duration
	follow                                 bool
}

func prepareExplainRequest(i *invocation) action {
	f := &explainFlags{}
	i.flags.StringVar(&f.address, "metrics", i.Getenv(envMetrics), "`ADDRESS` (IP:port) of the metrics of the entry host that gets the request (environment: "+envMetrics+")")
	i.flags.StringVar(&f.host, "host", "", "`NAME` of the host in the request's URL")
	i.flags.StringVar(&f.path, "path", "/", "`PATH` of the request")
	i.flags.StringVar(&f.workspace, "workspace", "", "`NAME` of the workspace, never its key")
	i.flags.StringVar(&f.object, "object", "", "`KEY` of the object that the request is about")
	i.flags.Int64Var(&f.bytes, "bytes", 0, "size of the request's body")
	i.flags.DurationVar(&f.deadline, "deadline", 0, "deadline that the caller sends, 0 for none")
	i.flags.BoolVar(&f.follow, "follow", false, "also ask the hosts that decide instead of the asked one")
	return func(ctx context.Context) error {
		if err := i.requireArgs(); err != nil {
			return err
		}
		if f.host == "" {
			return usagef("-host is required")
		}
		if f.bytes < 0 || f.deadline < 0 {
			return usagef("-bytes and -deadline: want no negative value")
		}
		if _, _, err := net.SplitHostPort(f.address); err != nil {
			return usagef("-metrics or %s: want IP:port", envMetrics)
		}
		return i.explainRequest(ctx, f)
	}
}

// query returns the query for a host. from is the entry host that gets the request, "" for
// the asked host.
func (f *explainFlags) query(from string) string {
	q := url.Values{"host": {f.host}, "path": {f.path}}
	for name, value := range map[string]string{"workspace": f.workspace, "object": f.object, "from": from} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if f.bytes > 0 {
		q.Set("bytes", strconv.FormatInt(f.bytes, 10))
	}
	if f.deadline > 0 {
		q.Set("deadline", strconv.FormatFloat(f.deadline.Seconds()*1000, 'f', -1, 64))
	}
	return q.Encode()
}

// explainRequest asks the host and, with -follow, those that decide instead of it. Each of
// them gets one question, also if it decides for several services.
func (i *invocation) explainRequest(ctx context.Context, f *explainFlags) error {
	first, err := i.askAndPrint(ctx, f.address, f.query(""), "")
	if err != nil || !f.follow {
		return err
	}
	asked := map[string]bool{}
	for _, s := range first.Services {
		if s.Decider == nil || s.Decider.ExplainAddress == "" || asked[s.Decider.ExplainAddress] {
			continue
		}
		asked[s.Decider.ExplainAddress] = true
		if !i.asJSON {
			fmt.Fprintln(i.Stdout)
		}
		if _, err := i.askAndPrint(ctx, s.Decider.ExplainAddress, f.query(first.EntryHost), s.Decider.Host); err != nil {
			return fmt.Errorf("%s, which decides: %w", s.Decider.Host, err)
		}
	}
	return nil
}

// askAndPrint asks a host and prints its answer, of which only what the host decider decides
// if that is given.
func (i *invocation) askAndPrint(ctx context.Context, address, query, decider string) (*gateway.Explanation, error) {
	raw, err := fetchExplanation(ctx, address, query)
	if err != nil {
		return nil, err
	}
	var e gateway.Explanation
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("%s: answer is no explanation: %w", address, err)
	}
	if i.asJSON {
		_, err := i.Stdout.Write(raw)
		return &e, err
	}
	return &e, i.printExplanation(&e, decider)
}

// fetchExplanation returns the answer of a host to a query. It uses no proxy and follows no
// redirect.
func fetchExplanation(ctx context.Context, address, query string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: "/explain", RawQuery: query}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(r)
	if err != nil {
		var u *url.Error
		if errors.As(err, &u) {
			err = u.Err // without the query
		}
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readLimited(resp.Body, address, maxExplanationBytes)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}
