// Package httpapi names the headers, paths and bodies of the HTTP protocol
// between callers, entry hosts and backend servers.
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
	// HeaderDeadline holds the time left in milliseconds.
	HeaderDeadline = "Galenabeam-Deadline-Ms"
	HeaderOrigin   = "Galenabeam-Origin"
	// HeaderAttempt counts the attempts made by entry hosts. Only attempt 0 may
	// be retried, so that layers do not multiply retries.
	HeaderAttempt = "Galenabeam-Attempt"
	HeaderOutcome = "Galenabeam-Outcome"
	HeaderReason  = "Galenabeam-Reason"
	// HeaderRetryAfter holds milliseconds.
	HeaderRetryAfter = "Galenabeam-Retry-After-Ms"
	// HeaderRegion names the region whose backend server ran the request.
	HeaderRegion = "Galenabeam-Region"
	// HeaderServer names the backend server that ran the request.
	HeaderServer = "Galenabeam-Server"
	// TrailerEnd follows a whole answer of unknown length with the value
	// EndWhole. An answer without it was cut.
	TrailerEnd = "Galenabeam-End"
	EndWhole   = "whole"
	// HeaderNotStarted is set by a backend server that refuses a request before
	// starting it. Only this mark makes a refusal certain to be not run.
	HeaderNotStarted = "Galenabeam-Not-Started"
	// HeaderDraining is set by a backend server that is leaving.
	HeaderDraining = "Galenabeam-Draining"
)

// LookupHost is one entry host in the answer to a look-up.
type LookupHost struct {
	// Address is "IP:port" for HTTP.
	Address     string `json:"address"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
	// Window is the identity window that the host is in.
	Window uint32 `json:"window"`
}

// LookupAnswer tells a caller which entry hosts to use, best first.
type LookupAnswer struct {
	Hosts []LookupHost `json:"hosts"`
	// TTLMillis is how long the answer may be used, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
	// Origin is the caller's region.
	Origin string `json:"origin"`
}

// SetOutcome writes an outcome to the headers of an answer.
func SetOutcome(h http.Header, o outcome.Outcome) {
	h.Set(HeaderOutcome, string(o.Kind))
	h.Set(HeaderReason, string(o.Reason))
	if o.Kind == outcome.NotRun && o.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(max(1, o.RetryAfter.Milliseconds()), 10))
	}
}

// maxRetryAfter bounds what an answer may say about a later attempt, so that
// the value fits a time.Duration.
const maxRetryAfter = 24 * time.Hour

// ReadOutcome reads the outcome of an answer. ok is false when the headers
// name no known outcome.
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

// StatusOf returns the HTTP status of an answer that an entry host makes
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
