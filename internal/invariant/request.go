package invariant

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// AtMostOnce checks that a non-idempotent request runs at most once, also if it is
// retried or the caller repeats it under another identity.
type AtMostOnce struct {
	recorder
	ranAt map[string]string
}

// NewAtMostOnce returns a checker without runs.
func NewAtMostOnce() *AtMostOnce {
	return &AtMostOnce{recorder: recorder{name: "AtMostOnce"}, ranAt: map[string]string{}}
}

// Run records that a server started a non-idempotent request. operation names
// what the caller wants done once; it is the same for requests that repeat it under
// another identity.
func (c *AtMostOnce) Run(at time.Duration, operation, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first, ok := c.ranAt[operation]; ok {
		c.report(at, "operation %q ran at %q after it ran at %q", operation, server, first)
		return
	}
	c.ranAt[operation] = server
}

// NotRunIsTrue checks that a request answered as not-run did not run before and does
// not run afterwards. Otherwise a caller that sends it again makes it run twice.
type NotRunIsTrue struct {
	recorder
	ran    map[string]bool
	notRun map[string]bool
}

// NewNotRunIsTrue returns a checker without requests.
func NewNotRunIsTrue() *NotRunIsTrue {
	return &NotRunIsTrue{
		recorder: recorder{name: "NotRunIsTrue"},
		ran:      map[string]bool{},
		notRun:   map[string]bool{},
	}
}

// Run records that a server started the request with this identity.
func (c *NotRunIsTrue) Run(at time.Duration, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[id] = true
	if c.notRun[id] {
		c.report(at, "request %q ran after it was answered not-run", id)
	}
}

// Answer records the outcome that the caller got for this identity.
func (c *NotRunIsTrue) Answer(at time.Duration, id string, o outcome.Outcome) {
	if o.Kind != outcome.NotRun {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notRun[id] = true
	if c.ran[id] {
		c.report(at, "request %q was answered not-run (%s) after it ran", id, o.Reason)
	}
}

// WholeOwnAnswer checks that a caller gets the complete answer to its own request,
// not a truncated one or that of another request.
type WholeOwnAnswer struct {
	recorder
	sent map[string]map[answerDigest]bool
}

type answerDigest struct {
	sum    uint64
	length int
}

func digestOf(body []byte) answerDigest {
	return answerDigest{sum: xxhash.Sum64(body), length: len(body)}
}

// NewWholeOwnAnswer returns a checker without answers.
func NewWholeOwnAnswer() *WholeOwnAnswer {
	return &WholeOwnAnswer{
		recorder: recorder{name: "WholeOwnAnswer"},
		sent:     map[string]map[answerDigest]bool{},
	}
}

// Sent records a complete answer that a backend server sends for the request. A
// retried or hedged request may have several.
func (c *WholeOwnAnswer) Sent(request string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent[request] == nil {
		c.sent[request] = map[answerDigest]bool{}
	}
	c.sent[request][digestOf(body)] = true
}

// Received records the body of an answer with outcome done that the caller got.
func (c *WholeOwnAnswer) Received(at time.Duration, request string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers := c.sent[request]
	if len(answers) == 0 {
		c.report(at, "request %q got an answer that no server sent", request)
		return
	}
	if !answers[digestOf(body)] {
		c.report(at, "request %q got %d bytes that are not its complete answer", request, len(body))
	}
}
