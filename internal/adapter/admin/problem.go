package admin

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/galenabeam/galenabeam/config"
)

// Code identifies a kind of problem. It is the last part of the type URI and does
// not change between versions.
type Code string

// Codes of problems.
const (
	CodeUnauthorized    Code = "unauthorized"
	CodeForbidden       Code = "forbidden"
	CodeForeignTeam     Code = "foreign-team"
	CodeRateLimited     Code = "rate-limited"
	CodeTooLarge        Code = "too-large"
	CodeBadRequest      Code = "bad-request"
	CodeNotFound        Code = "not-found"
	CodeNoConfig        Code = "no-config"
	CodeInvalidConfig   Code = "invalid-config"
	CodeConflict        Code = "conflict"
	CodeOperationReused Code = "operation-reused"
	CodeUnavailable     Code = "store-unavailable"
	CodeUncertain       Code = "uncertain"
	CodeInternal        Code = "internal"
)

// typePrefix starts the type URI of every problem.
const typePrefix = "urn:galenabeam:problem:"

// Problem is an error answer in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Instance is the path of the request.
	Instance string `json:"instance,omitempty"`
	// Revision is the number of the revision that came first, for conflicts only.
	Revision int64 `json:"revision,omitempty"`
	// Problems are the problems of a configuration or the refused changes, one
	// line each.
	Problems []string `json:"problems,omitempty"`
}

// Error returns the title and detail.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

func problem(code Code, status int, title, detail string) *Problem {
	return &Problem{Type: typePrefix + string(code), Title: title, Status: status, Detail: detail}
}

func badRequest(detail string) *Problem {
	return problem(CodeBadRequest, http.StatusBadRequest, "The request is malformed", detail)
}

// asProblem translates errors of Configurations, State and net/http. The text of
// an unexpected error is withheld from the client.
func asProblem(err error) *Problem {
	var p *Problem
	var problems *config.Problems
	var conflict *ConflictError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &problems):
		return invalidConfig(problems)
	case errors.As(err, &conflict):
		p = problem(CodeConflict, http.StatusConflict, "Another submission came first", conflict.Error())
		p.Revision = conflict.Revision
		return p
	case errors.As(err, &tooLarge):
		return problem(CodeTooLarge, http.StatusRequestEntityTooLarge, "The body is too large", tooLarge.Error())
	case errors.Is(err, ErrNoConfig):
		return problem(CodeNoConfig, http.StatusServiceUnavailable, "This host has no configuration yet", "")
	case errors.Is(err, ErrNotFound):
		return problem(CodeNotFound, http.StatusNotFound, "Not found", "")
	case errors.Is(err, ErrOperationReused):
		return problem(CodeOperationReused, http.StatusConflict, "The operation identity was used for another submission", "")
	case errors.Is(err, ErrUnavailable):
		return problem(CodeUnavailable, http.StatusServiceUnavailable, "The store cannot be reached; nothing was changed", "")
	case errors.Is(err, ErrUncertain):
		return problem(CodeUncertain, http.StatusGatewayTimeout, "The result is uncertain",
			"repeat the request with the same "+HeaderOperation+" header to learn whether it took effect")
	}
	return problem(CodeInternal, http.StatusInternalServerError, "Internal error", "")
}

func invalidConfig(problems *config.Problems) *Problem {
	p := problem(CodeInvalidConfig, http.StatusUnprocessableEntity, "The configuration is refused", "")
	for _, item := range problems.List {
		p.Problems = append(p.Problems, item.String())
	}
	return p
}

func writeProblem(w http.ResponseWriter, r *http.Request, p *Problem) {
	sent := *p
	sent.Instance = r.URL.Path
	switch sent.Status {
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", `Bearer realm="galenabeam"`)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, "application/problem+json", sent.Status, &sent)
}

func writeJSON(w http.ResponseWriter, contentType string, status int, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, "the answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write(append(body, '\n'))
}
