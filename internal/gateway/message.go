// Package gateway is a reverse proxy for HTTP/1.1. It reads callers' requests,
// selects a backend server for each, forwards them, and returns the answers in order.
// If an answer breaks off after its first 1 MiB, the caller gets a part of it, and its
// connection is closed.
package gateway

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/galenabeam/galenabeam/internal/requesttarget"
)

// Headers holds the names of the headers of the deployment's protocol.
type Headers struct {
	// RequestID holds the identity of one attempt of a caller.
	RequestID string
	// Deadline holds the time in milliseconds for which the sender waits.
	Deadline string
	// Affinity holds the key of the object that a request is about.
	Affinity string
	// ExpectInstance holds the id of the only backend server that may run the request.
	ExpectInstance string
	// Load is set by backend servers to "running,waiting,slots".
	Load string
	// NotRun marks an answer to a request that the server did not run.
	NotRun string
	// Signature is set by backend servers to mark an answer as their own. An answer
	// with a status below 300 that lacks it is not used; its value is not checked.
	Signature string
	// Leaving is set by backend servers that will end soon, in all their answers.
	Leaving string
	// Key holds the key of the caller's workspace. It is never forwarded.
	Key string
	// Workspace tells backend servers the name of a request's workspace. Lines of callers
	// are removed. Key and Workspace have no effect without workspaces.
	Workspace string
}

// Request is one request of a caller, read from a connection.
type Request struct {
	HTTP *http.Request
	// Target is the path and query as sent. It is used in place of HTTP.URL, which may be
	// encoded anew.
	Target requesttarget.Target
	// Body is the complete body, or its beginning if Rest is set.
	Body []byte
	// Rest is the part of a large body that has not been read yet.
	Rest *restReader
	// Length is the size of the body in bytes, -1 if it is not known.
	Length int64
	// Received is the time at which the header was complete.
	Received time.Time
	// Ending is done when the host ends and the request must be answered at once; nil if
	// that does not happen.
	Ending context.Context
	// reserved is the memory of Body in bytes that is taken from Front.bodies.
	reserved int64
}

// ending returns a channel that is closed when Ending is done, nil without Ending.
func (r *Request) ending() <-chan struct{} {
	if r.Ending == nil {
		return nil
	}
	return r.Ending.Done()
}

// isEnding reports whether Ending is done.
func (r *Request) isEnding() bool { return r.Ending != nil && r.Ending.Err() != nil }

// untilEnding returns a context that is also done when Ending is, for waits before the
// request is sent. The returned function releases it.
func (r *Request) untilEnding(ctx context.Context) (context.Context, func()) {
	if r.Ending == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.Ending, cancel)
	return ctx, func() { stop(); cancel() }
}

// Answer is the answer to a Request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is the part of a large answer that has not arrived yet.
	Rest io.Reader
	// Length is the size in bytes of an answer with Rest, -1 if it is not known.
	Length int64
	// Done, if set, is called once when the answer was written or dropped.
	Done func(complete bool)
	// Abort ends the connection without an answer.
	Abort bool
	// Close ends the connection after the answer, or after those to requests that were read
	// behind it. Front sets it to whether the connection ends with this answer.
	Close bool
	// SkipBody is set if nothing has read Request.Rest or will, so that a short one is
	// dropped and the connection kept.
	SkipBody bool
}

// drop ends the use of an answer that is not written. a may be nil.
func (a *Answer) drop() {
	if a != nil && a.Done != nil {
		a.Done(false)
	}
}

// refusal returns a 503 answer with the text as its body. It means that the request
// has not run, unlike a 503 passed on from a backend server.
func refusal(retryAfter time.Duration, text string) *Answer {
	a := failure(http.StatusServiceUnavailable, text)
	a.Header.Set("Retry-After", formatRetryAfter(retryAfter))
	return a
}

// formatRetryAfter returns seconds with three decimals, where RFC 9110 has whole seconds.
// It rounds up: a caller that returns a fraction of a millisecond early is refused again.
func formatRetryAfter(d time.Duration) string {
	const unit = time.Millisecond
	return strconv.FormatFloat(((d + unit - 1) / unit * unit).Seconds(), 'f', 3, 64)
}

// failure returns an answer that the gateway generates itself, with the text as its
// body.
func failure(status int, text string) *Answer {
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &Answer{Status: status, Header: h, Body: []byte(text + "\n")}
}

// hopByHop lists the headers that are not forwarded because they apply to one
// connection or are set by the sender.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// stripHopByHop removes the headers of hopByHop and those named in Connection.
func stripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
