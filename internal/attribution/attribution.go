// Package attribution decides which request an answer of a backend server belongs to
// and what it proves about that request.
//
// A faulty server may send an earlier answer once more on a kept connection. Only the
// request's identity tells the two apart, so an answer without it never proves that a
// request has not run.
package attribution

import "net/http"

// Identity says whose request identity an answer carries.
type Identity int

const (
	// Own is the identity of the request.
	Own Identity = iota
	// Other is the identity of another request.
	Other
	// Missing means that the answer carries no identity.
	Missing
)

// Answer is the head of a final answer that arrived while a request was open.
type Answer struct {
	Status   int
	Identity Identity
	// NotRun reports whether the server states that it did not run the request.
	NotRun bool
	// Signed reports whether the answer carries a signature of the server.
	Signed bool
	// Kept reports whether the connection has carried an earlier request.
	Kept bool
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
}

// Verdict is the use of an answer.
type Verdict int

const (
	// PassOn means that the answer belongs to the request and is passed on.
	PassOn Verdict = iota
	// Refused means that the answer, once complete, proves that the request has not run.
	Refused
	// Misdirected means the same, and that another server has the address.
	Misdirected
	// Skip means that the answer belongs to an earlier request. The answer to this one
	// may follow.
	Skip
	// Unusable means that the answer must not be passed on and that the request may have
	// run. Nothing that follows on the connection can be attributed.
	Unusable
)

// Decide returns the use of an answer.
func Decide(a Answer) Verdict {
	switch a.Identity {
	case Other:
		return Skip
	case Missing:
		return decideWithoutIdentity(a)
	}
	switch {
	case a.NotRun && a.Status >= http.StatusBadRequest:
		return Refused
	case a.NotRun:
		return Unusable // it contradicts itself
	case a.Status == http.StatusMisdirectedRequest:
		return Misdirected
	case a.Status < http.StatusMultipleChoices && !a.Signed:
		return Unusable
	case promisesNotRun(a.Status) && !a.Repeatable:
		// Callers take the status for a promise that the server has not made.
		return Unusable
	}
	return PassOn
}

// decideWithoutIdentity decides on an answer that carries no identity. On a kept
// connection it may repeat an earlier answer. On a new one only a failure is passed on,
// as from a server that could not read the request's header.
func decideWithoutIdentity(a Answer) Verdict {
	switch {
	case a.Kept:
		return Skip
	case a.Status < http.StatusBadRequest || a.NotRun || promisesNotRun(a.Status):
		return Unusable
	}
	return PassOn
}

// promisesNotRun reports whether callers take a status for the promise that the request
// has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
