// Package invariant contains checkers of the promises in docs/design.md, section
// 1.2. A test reports the events that it observes, in order of time, and fails if
// Err returns an error. The package imports none of the code under test except
// package outcome, so it serves tests in virtual time and over real connections.
//
// Times are durations since an origin that the test chooses. All checkers are
// safe for concurrent use.
package invariant

import (
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// maxRecorded bounds the recorded violations; further ones are only counted.
const maxRecorded = 20

// Violation is one violation of a promise.
type Violation struct {
	// Checker is the name of the promise, as in docs/design.md, section 1.2.
	Checker string
	// At is the time of the event that violates the promise.
	At     time.Duration
	Detail string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Checker, v.At, v.Detail)
}

// Checker is implemented by all checkers of this package.
type Checker interface {
	// Violations returns the first 20 violations, in the order of their events.
	Violations() []Violation
	// Count returns the number of all violations.
	Count() int
	// Err returns an error with the first violation, or nil if there is none.
	Err() error
}

// recorder collects violations. Its mutex also guards the state of the checker
// that embeds it.
type recorder struct {
	mu       sync.Mutex
	name     string
	recorded []Violation
	count    int
}

// Violations implements Checker.
func (r *recorder) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.recorded...)
}

// Count implements Checker.
func (r *recorder) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Err implements Checker.
func (r *recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return nil
	}
	return trace.CompareFailed("%d violations, first: %s", r.count, r.recorded[0])
}

func (r *recorder) report(at time.Duration, format string, args ...any) {
	r.count++
	if len(r.recorded) < maxRecorded {
		r.recorded = append(r.recorded, Violation{Checker: r.name, At: at, Detail: fmt.Sprintf(format, args...)})
	}
}

// FirstError returns the first error among the checkers, or nil.
func FirstError(checkers ...Checker) error {
	for _, c := range checkers {
		if err := c.Err(); err != nil {
			return err
		}
	}
	return nil
}
