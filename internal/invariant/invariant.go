// Package invariant holds the checkers of the promises of section 1.2 of the
// design page. A test feeds a checker the events that it observes, in order of
// time, and fails when Err returns an error. Checkers change nothing and know
// nothing about the code under test, so that the same checker serves model
// tests in virtual time and tests over real connections.
//
// Times are durations since the arbitrary origin that the test uses. All
// checkers are safe for concurrent use.
package invariant

import (
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// maxKept bounds the violations that a checker keeps; further ones are counted.
const maxKept = 20

// Violation is one broken promise.
type Violation struct {
	// Checker is the name of the promise, as in section 1.2 of the design page.
	Checker string
	At      time.Duration
	Detail  string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Checker, v.At, v.Detail)
}

// Checker is what all checkers of this package have in common.
type Checker interface {
	// Violations returns the first violations in the order of their events.
	Violations() []Violation
	// Count returns the number of violations, including those not kept.
	Count() int
	// Err returns nil or an error that names the first violation.
	Err() error
}

// recorder collects violations. Its mutex also guards the state of the
// checker that embeds it.
type recorder struct {
	mu    sync.Mutex
	name  string
	kept  []Violation
	count int
}

// Violations implements Checker.
func (r *recorder) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.kept...)
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
	return trace.CompareFailed("%d violations, first: %s", r.count, r.kept[0])
}

func (r *recorder) report(at time.Duration, format string, args ...any) {
	r.count++
	if len(r.kept) < maxKept {
		r.kept = append(r.kept, Violation{Checker: r.name, At: at, Detail: fmt.Sprintf(format, args...)})
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
