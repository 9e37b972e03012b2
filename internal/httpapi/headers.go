// Package httpapi defines the headers, paths and bodies of the HTTP protocol
// between callers, entry hosts and backend servers, if galenabeamd runs without
// -platform.
package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// Paths on entry hosts.
const (
	PathLookup = "/v1/lookup"
	// PathRun is followed by the service's name and the path for its backend server.
	PathRun = "/v1/run/"
)

// Header names.
const (
	HeaderRequestID = "Galenabeam-Request-Id"
	HeaderRank      = "Galenabeam-Rank"
	HeaderCustomer  = "Galenabeam-Customer"
	// HeaderDeadline holds the time until the deadline, in milliseconds.
	HeaderDeadline = "Galenabeam-Deadline-Ms"
	// HeaderOrigin names the caller's region. It is ignored unless an entry host
	// sends it.
	HeaderOrigin = "Galenabeam-Origin"
	// HeaderAttempt is set on requests that an entry host forwards. A request that
	// arrives with it, whatever the value and the sender, is not hedged and is sent to
	// a backend server at most once, so that layers do not multiply retries.
	HeaderAttempt = "Galenabeam-Attempt"
	HeaderOutcome = "Galenabeam-Outcome"
	HeaderReason  = "Galenabeam-Reason"
	// HeaderRetryAfter holds the delay before a later attempt, in milliseconds. It
	// replaces Retry-After, which is in seconds.
	HeaderRetryAfter = "Galenabeam-Retry-After-Ms"
	// HeaderRegion names the region whose backend server ran the request. It is
	// empty in a stored answer.
	HeaderRegion = "Galenabeam-Region"
	// HeaderServer names the backend server that ran the request, or the entry
	// host of another region that it was forwarded to. It is empty in a stored
	// answer.
	HeaderServer = "Galenabeam-Server"
	// TrailerEnd follows a complete answer of unknown length and has the value
	// EndComplete. Without it, the answer is truncated.
	TrailerEnd  = "Galenabeam-End"
	EndComplete = "whole"
	// HeaderNotStarted is set, with status 503, by a backend server that refuses a
	// request before starting it. Without it, the request may have run.
	HeaderNotStarted = "Galenabeam-Not-Started"
	// HeaderDraining is set by a backend server that is draining: it takes no new
	// requests.
	HeaderDraining = "Galenabeam-Draining"
)

// LookupHost is one entry host in the answer to a lookup.
type LookupHost struct {
	// Address is "IP:port" for HTTP.
	Address     string `json:"address"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
	// Window is the number of the host's current request identity window.
	Window uint32 `json:"window"`
}

// LookupAnswer lists the entry hosts that a caller should use, in the order in
// which to try them.
type LookupAnswer struct {
	Hosts []LookupHost `json:"hosts"`
	// TTLMillis is the time for which the answer may be used, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
	// Origin is the region of the client block that contains the caller's
	// address, or empty if there is none.
	Origin string `json:"origin"`
}

// SetOutcome sets the outcome headers of an answer. A retry-after is set only for
// requests that did not run, and is at least 1 ms.
func SetOutcome(h http.Header, o outcome.Outcome) {
	h.Set(HeaderOutcome, string(o.Kind))
	h.Set(HeaderReason, string(o.Reason))
	if o.Kind == outcome.NotRun && o.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(max(1, o.RetryAfter.Milliseconds()), 10))
	}
}

// maxRetryAfter bounds the retry-after that ReadOutcome returns, so that it fits a
// time.Duration.
const maxRetryAfter = 24 * time.Hour

// ReadOutcome returns the outcome in the headers of an answer. ok is false if
// they contain no known kind of outcome.
func ReadOutcome(h http.Header) (o outcome.Outcome, ok bool) {
	o.Kind = outcome.Kind(h.Get(HeaderOutcome))
	o.Reason = outcome.Reason(h.Get(HeaderReason))
	switch o.Kind {
	case outcome.Done, outcome.NotRun, outcome.Unknown:
	default:
		return o, false
	}
	if ms, err := strconv.ParseInt(h.Get(HeaderRetryAfter), 10, 64); err == nil && ms > 0 {
		o.RetryAfter = time.Duration(min(ms, maxRetryAfter.Milliseconds())) * time.Millisecond
	}
	return o, true
}

// StatusOf returns the HTTP status of an answer that an entry host generates
// itself. Answers of backend servers keep their own status.
func StatusOf(o outcome.Outcome) int {
	switch o.Reason {
	case outcome.ReasonBadRequest, outcome.ReasonNoRank:
		return http.StatusBadRequest
	case outcome.ReasonNoService:
		return http.StatusNotFound
	case outcome.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonRepeat, outcome.ReasonForeignID, outcome.ReasonExpiredID:
		return http.StatusConflict
	}
	switch o.Kind {
	case outcome.Unknown:
		return http.StatusBadGateway
	case outcome.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}
