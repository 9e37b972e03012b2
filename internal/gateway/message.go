// Package gateway carries requests of callers to backend servers over HTTP/1.1.
// It reads requests, has a backend server chosen for each, sends them and
// returns the answers whole and in order.
package gateway

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers names the headers of the deployment's protocol.
type Headers struct {
	// RequestID identifies one attempt of a caller.
	RequestID string
	// Deadline holds the milliseconds for which the sender waits.
	Deadline string
	// Affinity names the object of a request.
	Affinity string
	// ExpectInstance names the only backend server that may run the request.
	ExpectInstance string
	// Load tells the running and waiting requests and the slots of a server.
	Load string
	// NotRun marks an answer to a request that the server did not run.
	NotRun string
	// Signature proves that a backend server made the answer.
	Signature string
}

// Request is one request of a caller, read from a connection.
type Request struct {
	HTTP *http.Request
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is the part of a large body that has not been read yet.
	Rest *restReader
	// Length is the size of the body; -1 if it is not known.
	Length int64
	// Received is when the header was complete.
	Received time.Time
}

// Answer is the answer to a caller.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is the part of a large answer that has not arrived yet.
	Rest io.Reader
	// Length is the size of a streamed answer; -1 if it is not known.
	Length int64
	// Done is called once the answer was written or given up.
	Done func(complete bool)
	// Abort ends the connection without an answer.
	Abort bool
	// Close ends the connection after the answer.
	Close bool
}

// refusal returns an answer that promises that the request has not run.
func refusal(retryAfter time.Duration, reason string) *Answer {
	a := failure(http.StatusServiceUnavailable, reason)
	a.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return a
}

// failure returns an answer of the gateway itself.
func failure(status int, reason string) *Answer {
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &Answer{Status: status, Header: h, Body: []byte(reason + "\n")}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// stripHopByHop removes the headers that concern one connection only.
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
