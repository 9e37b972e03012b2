package ledger

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

// DefaultWindow is the default length of an identity's time window.
const DefaultWindow = 60 * time.Second

// idempotentFraction is the fraction of Ledger.capacity that idempotent requests may
// use, so that many of them do not cause the refusal of all non-idempotent ones.
const idempotentFraction = 0.5

// VerdictKind is the decision of Begin about a request.
type VerdictKind uint8

// Kinds of verdicts.
const (
	// Run means that the request is new. The caller runs it and calls Finish.
	Run VerdictKind = iota + 1
	// Foreign means that the identity is bound to another incarnation.
	Foreign
	// Expired means that the identity's window has passed or has not begun. The
	// outcome is unknown, since the record may have been dropped.
	Expired
	// Repeat means that the identity was used before, or that Resolve or Full has
	// ended it as not-run. Verdict.Record holds its state.
	Repeat
	// Full means that the ledger has no room for the identity. The request and its
	// repeats are refused as not-run while the window is acceptable.
	Full
)

// State is the progress of a recorded request.
type State uint8

// States of a recorded request.
const (
	Running State = iota + 1
	Ended
)

// Record is the state of one identity.
type Record struct {
	State      State
	Idempotent bool
	// OpenAttempts counts the attempts that may have started at a backend server: the
	// calls of Sent less those of Refused. A non-idempotent request has at most one.
	OpenAttempts int
	// Outcome is set when State is Ended.
	Outcome outcome.Outcome
}

// Verdict is the result of Begin.
type Verdict struct {
	Kind   VerdictKind
	Record Record // set if Kind is Repeat
}

// Stats holds the numbers of current records and of running requests that have one.
// Runs, Foreign, Expired, Repeats and Full count the verdicts of Begin, calls
// through Resolve included. The others count:
//   - Unrecorded: runs of idempotent requests without a record
//   - Sealed: identities that Resolve recorded as not-run before a request arrived
//   - NotRunToUnknown: not-run outcomes that Finish replaced by unknown
//   - LateEnds: requests that ended after their window was no longer acceptable
type Stats struct {
	Records, Running                              int
	Runs, Foreign, Expired, Repeats, Full         int64
	Unrecorded, Sealed, NotRunToUnknown, LateEnds int64
}

// generation holds the identities of one window.
type generation struct {
	window  uint32
	records map[ID]*Record
	// refused contains the identities that were refused as not-run without a
	// record.
	refused filter
	// unrecorded contains the identities of idempotent requests that may have
	// run without a record.
	unrecorded filter
}

// Ledger records every accepted identity until its window is no longer acceptable
// and its request has ended. Idempotent requests beyond a fraction of the capacity
// run without a record. A Ledger is not safe for concurrent use.
type Ledger struct {
	incarnation host.Incarnation
	capacity    int
	window      time.Duration

	current, previous *generation
	// outlived holds the requests that still run although their window is no
	// longer acceptable. They count against the capacity.
	outlived          map[ID]*Record
	idempotentRecords int
	stats             Stats
}

// New returns an empty ledger of one incarnation that holds at most capacity
// records. Identities are acceptable in their window and in the next one; window
// is the length of a window. New panics unless capacity and window are positive.
func New(incarnation host.Incarnation, capacity int, window time.Duration) *Ledger {
	if capacity < 1 || window <= 0 {
		panic("ledger: capacity and window must be positive")
	}
	l := &Ledger{incarnation: incarnation, capacity: capacity, window: window, outlived: map[ID]*Record{}}
	l.current = l.newGeneration(0)
	return l
}

func (l *Ledger) newGeneration(window uint32) *generation {
	return &generation{
		window: window, records: map[ID]*Record{},
		refused: newFilter(l.capacity), unrecorded: newFilter(l.capacity),
	}
}

// Window returns the number of the time window at now.
func (l *Ledger) Window(now time.Duration) uint32 { return uint32(now / l.window) }

// Begin decides whether the request with this identity may run and records it.
// After a verdict of Run, the caller must call Finish exactly once.
func (l *Ledger) Begin(now time.Duration, id ID, idempotent bool) Verdict {
	l.Expire(now)
	if id.Incarnation != l.incarnation {
		l.stats.Foreign++
		return Verdict{Kind: Foreign}
	}
	if record, ok := l.Lookup(id); ok {
		l.stats.Repeats++
		return Verdict{Kind: Repeat, Record: record}
	}
	gen := l.findGeneration(id.Window)
	if gen == nil {
		l.stats.Expired++
		return Verdict{Kind: Expired}
	}
	if record, ok := gen.lookupWithoutRecord(id, idempotent); ok {
		l.stats.Repeats++
		return Verdict{Kind: Repeat, Record: record}
	}
	return l.admit(gen, id, idempotent)
}

// admit records a new identity, or lets an idempotent request beyond its fraction
// run without a record. Any other request is refused if the ledger is full.
func (l *Ledger) admit(gen *generation, id ID, idempotent bool) Verdict {
	switch {
	case idempotent && (l.idempotentRecords >= int(idempotentFraction*float64(l.capacity)) || gen.unrecorded.mayContain(id)):
		// Idempotent requests may run twice and need no record; Finish replaces
		// not-run by unknown for them. A later record would not include the first
		// run, so the identity never gets one.
		gen.unrecorded.add(id)
		l.stats.Unrecorded++
	case l.stats.Records >= l.capacity:
		gen.refused.add(id)
		l.stats.Full++
		return Verdict{Kind: Full}
	default:
		gen.records[id] = &Record{State: Running, Idempotent: idempotent}
		l.stats.Records++
		l.stats.Running++
		if idempotent {
			l.idempotentRecords++
		}
	}
	l.stats.Runs++
	return Verdict{Kind: Run}
}

// lookupWithoutRecord returns what the filters contain about an identity that has
// no record.
func (g *generation) lookupWithoutRecord(id ID, idempotent bool) (Record, bool) {
	mayHaveRun := g.unrecorded.mayContain(id)
	if g.refused.mayContain(id) {
		if mayHaveRun {
			return Record{State: Ended, Outcome: outcome.Uncertain(outcome.ReasonRepeat)}, true
		}
		return Record{State: Ended, Outcome: outcome.Refuse(outcome.ReasonLedgerFull, 0)}, true
	}
	if mayHaveRun && !idempotent {
		return Record{State: Ended, Outcome: outcome.Uncertain(outcome.ReasonRepeat)}, true
	}
	return Record{}, false
}

// Sent records an attempt at a backend server that is about to begin, and reports
// whether it may. It may not if the request is unknown or has ended, or if it is
// non-idempotent and has an open attempt.
func (l *Ledger) Sent(id ID) bool {
	record := l.findRecord(id)
	if record == nil {
		gen := l.findGeneration(id.Window)
		return id.Incarnation == l.incarnation && gen != nil && gen.unrecorded.mayContain(id)
	}
	if record.State != Running || record.OpenAttempts > 0 && !record.Idempotent {
		return false
	}
	record.OpenAttempts++
	return true
}

// Refused undoes one Sent, after an attempt that certainly did not run: it was shed,
// nothing of it was written, or another region refused it, for example. The request
// may then be sent to another backend server.
func (l *Ledger) Refused(id ID) {
	if record := l.findRecord(id); record != nil && record.State == Running && record.OpenAttempts > 0 {
		record.OpenAttempts--
	}
}

// Finish ends a request and returns the outcome for its caller. It replaces not-run
// by unknown if the request has no record, or has an open attempt unless that is
// the only one and was shed. The first outcome of a request is final.
func (l *Ledger) Finish(now time.Duration, id ID, result outcome.Outcome) outcome.Outcome {
	record := l.findRecord(id)
	if record == nil {
		return l.unknownUnless(result, false)
	}
	if record.State == Ended {
		return record.Outcome
	}
	record.State = Ended
	refused := record.OpenAttempts == 1 && result.Reason == outcome.ReasonShed
	record.Outcome = l.unknownUnless(result, record.OpenAttempts == 0 || refused)
	l.stats.Running--
	if _, outlived := l.outlived[id]; outlived {
		l.stats.LateEnds++
		l.uncount(record)
		delete(l.outlived, id)
	}
	l.Expire(now)
	return record.Outcome
}

// unknownUnless returns result, with not-run replaced by unknown unless notRun is
// true. Of the ledger it changes only Stats.NotRunToUnknown.
func (l *Ledger) unknownUnless(result outcome.Outcome, notRun bool) outcome.Outcome {
	if result.Kind == outcome.NotRun && !notRun {
		l.stats.NotRunToUnknown++
		result.Kind = outcome.Unknown
	}
	return result
}

// Lookup returns the record of an identity, if there is one.
func (l *Ledger) Lookup(id ID) (Record, bool) {
	if record := l.findRecord(id); record != nil {
		return *record, true
	}
	return Record{}, false
}

// Resolve returns the state of an identity for the call request.resolve. It records
// an unused identity of this incarnation in an acceptable window as not-run, so that
// it never runs. The outcome of foreign and expired identities is unknown.
func (l *Ledger) Resolve(now time.Duration, id ID) Record {
	verdict := l.Begin(now, id, false)
	switch verdict.Kind {
	case Run:
		l.stats.Sealed++
		l.Finish(now, id, outcome.Refuse(outcome.ReasonRepeat, 0))
		record, _ := l.Lookup(id)
		return record
	case Repeat:
		return verdict.Record
	case Full:
		return Record{State: Ended, Outcome: outcome.Refuse(outcome.ReasonLedgerFull, 0)}
	case Foreign:
		return Record{State: Ended, Outcome: outcome.Uncertain(outcome.ReasonForeignID)}
	default:
		return Record{State: Ended, Outcome: outcome.Uncertain(outcome.ReasonExpiredID)}
	}
}

// Expire drops the records of ended requests whose window is no longer
// acceptable.
func (l *Ledger) Expire(now time.Duration) {
	window := l.Window(now)
	if window <= l.current.window {
		return
	}
	l.retire(l.previous)
	l.previous = l.current
	if window > l.current.window+1 {
		l.retire(l.previous)
		l.previous = nil
	}
	l.current = l.newGeneration(window)
}

// retire drops the records of a generation and moves its running requests to
// outlived.
func (l *Ledger) retire(gen *generation) {
	if gen == nil {
		return
	}
	for id, record := range gen.records {
		if record.State == Running {
			l.outlived[id] = record
			continue
		}
		l.uncount(record)
	}
}

// uncount removes a record from the counts. The caller removes it from its map.
func (l *Ledger) uncount(record *Record) {
	l.stats.Records--
	if record.Idempotent {
		l.idempotentRecords--
	}
}

// findGeneration returns the generation of a window, or nil if the window is not
// acceptable.
func (l *Ledger) findGeneration(window uint32) *generation {
	switch {
	case window == l.current.window:
		return l.current
	case l.previous != nil && window == l.previous.window:
		return l.previous
	default:
		return nil
	}
}

func (l *Ledger) findRecord(id ID) *Record {
	if id.Incarnation != l.incarnation {
		return nil
	}
	if gen := l.findGeneration(id.Window); gen != nil {
		return gen.records[id]
	}
	return l.outlived[id]
}

// Stats returns the current counts.
func (l *Ledger) Stats() Stats { return l.stats }
