package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/galenabeam/galenabeam/client"
)

// callResult is the result of call as JSON.
type callResult struct {
	Outcome      client.Kind `json:"outcome"`
	Reason       string      `json:"reason"`
	RetryAfterMs int64       `json:"retry_after_ms,omitempty"`
	ID           string      `json:"id"`
	Attempts     int         `json:"attempts"`
	ElapsedMs    float64     `json:"elapsed_ms"`
	Status       int         `json:"status,omitempty"`
	Header       http.Header `json:"header,omitempty"`
	// Body is set when the body is UTF-8, Base64 otherwise.
	Body   string `json:"body,omitempty"`
	Base64 []byte `json:"body_base64,omitempty"`
}

// callFlags are the flags of call.
type callFlags struct {
	entries, customer, localIP, data string
	request                          client.Request
}

func prepareCall(i *invocation) action {
	f := &callFlags{}
	i.flags.StringVar(&f.entries, "entry", i.Getenv(envEntry), "`ADDRESSES` (IP:port,...) of entry hosts for callers (environment: "+envEntry+")")
	i.flags.StringVar(&f.customer, "customer", "", "`NAME` of the customer")
	i.flags.StringVar(&f.localIP, "local-ip", "", "`IP` to connect from")
	i.flags.StringVar(&f.data, "data", "", "`FILE` that holds the request's body; - is standard input")
	i.flags.StringVar(&f.request.Service, "service", "", "`NAME` of the service")
	i.flags.StringVar(&f.request.Rank, "rank", "", "`NAME` of the rank")
	i.flags.StringVar(&f.request.Method, "method", "", "HTTP `METHOD`; by default GET with -idempotent and without -data, else POST")
	i.flags.StringVar(&f.request.Path, "path", "/", "`PATH` with query on the backend server")
	i.flags.DurationVar(&f.request.Timeout, "timeout", client.DefaultTimeout, "time until the deadline")
	i.flags.BoolVar(&f.request.Idempotent, "idempotent", false, "the request may run more than once; it is sent again after an unknown outcome")
	return func(ctx context.Context) error {
		if err := i.requireArgs(); err != nil {
			return err
		}
		return i.call(ctx, f)
	}
}

func (i *invocation) call(ctx context.Context, f *callFlags) error {
	if f.entries == "" {
		return usagef("-entry or %s is required", envEntry)
	}
	if f.request.Timeout <= 0 {
		return usagef("-timeout %s: want more than zero", f.request.Timeout)
	}
	if f.data != "" {
		body, err := i.readInput(f.data, client.DefaultMaxAnswer)
		if err != nil {
			return err
		}
		f.request.Body = body
	}
	c, err := client.New(client.Config{Entries: strings.Split(f.entries, ","), Customer: f.customer, LocalIP: f.localIP})
	if err != nil {
		return &usageError{err.Error()}
	}
	defer c.Close()
	begin := time.Now()
	result, err := c.Do(ctx, f.request)
	if errors.Is(err, client.ErrBadRequest) {
		return &usageError{err.Error()}
	}
	if err != nil {
		return err
	}
	return i.printCallResult(result, time.Since(begin))
}

func (i *invocation) printCallResult(r *client.Result, elapsed time.Duration) error {
	out := callResult{Outcome: r.Kind, Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds(), ID: r.ID, Attempts: r.Attempts,
		ElapsedMs: float64(elapsed.Microseconds()) / 1000, Status: r.Status, Header: r.Header}
	if utf8.Valid(r.Body) {
		out.Body = string(r.Body)
	} else {
		out.Base64 = r.Body
	}
	line := fmt.Sprintf("%s (%s) after %s, %d attempts, id %s", r.Kind, r.Reason, elapsed.Round(time.Millisecond/10), r.Attempts, r.ID)
	if r.Kind == client.Done {
		line += fmt.Sprintf(", status %d", r.Status)
	}
	if r.RetryAfter > 0 {
		line += fmt.Sprintf(", retry after %s", r.RetryAfter)
	}
	var err error
	if i.asJSON {
		err = i.printJSON(out)
	} else if _, err = i.Stdout.Write(r.Body); err == nil {
		_, err = fmt.Fprintln(i.Stderr, printable(line))
	}
	if err == nil && (r.Kind != client.Done || r.Status >= http.StatusBadRequest) {
		return &reportedError{errors.New(line)}
	}
	return err
}
