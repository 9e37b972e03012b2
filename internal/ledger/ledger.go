package ledger

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

// DefaultWindow is the length of the windows that identities are made in.
const DefaultWindow = 60 * time.Second

// idempotentShare is the part of the capacity that idempotent requests may
// fill, so that a flood of lookups does not refuse all non-idempotent work.
const idempotentShare = 0.5

// VerdictKind tells what to do with a request.
type VerdictKind uint8

// Verdicts of Begin.
const (
	// Run: the request is new. The caller runs it and calls Finish.
	Run VerdictKind = iota + 1
	// Foreign: the identity is bound to another incarnation.
	Foreign
	// Expired: the window of the identity is not acceptable. The outcome is
	// unknown, since a record of it may have been dropped.
	Expired
	// Repeat: the identity was used before; Verdict.Record tells its state.
	Repeat
	// Full: there is no room for the identity. The request is refused as not
	// run, and stays refused.
	Full
)

// State is the progress of a recorded request.
type State uint8

// States of a record.
const (
	Running State = iota + 1
	Ended
)

// Record is what the ledger knows about an identity.
type Record struct {
	State      State
	Idempotent bool
	// Open counts the attempts that may have reached a backend server and that
	// no backend server refused before starting. A non-idempotent request has
	// at most one.
	Open int
	// Outcome is set when State is Ended.
	Outcome outcome.Outcome
}

// Verdict answers Begin.
type Verdict struct {
	Kind   VerdictKind
	Record Record // set for Repeat
}

// Stats counts the records and verdicts of a ledger.
type Stats struct {
	Records, Running                         int
	Runs, Foreign, Expired, Repeats, Fulls   int64
	Unrecorded, Sealed, Downgraded, LateEnds int64
}

// generation holds the identities of one window.
type generation struct {
	window  uint32
	records map[ID]*Record
	// refused has identities that were answered not-run without a record.
	refused filter
	// unrecorded has idempotent identities that may have run without a record.
	unrecorded filter
}

// Ledger keeps every accepted identity until its window is no longer
// acceptable and its request has ended. It is not safe for concurrent use.
type Ledger struct {
	incarnation host.Incarnation
	capacity    int
	window      time.Duration

	current, previous *generation
	// late has requests that are still running although their window passed.
	late       map[ID]*Record
	idempotent int
	stats      Stats
}

// New returns an empty ledger of one incarnation that holds at most capacity
// records. Identities are accepted in their window and in the next one.
func New(incarnation host.Incarnation, capacity int, window time.Duration) *Ledger {
	if capacity < 1 || window <= 0 {
		panic("ledger: capacity and window must be positive")
	}
	l := &Ledger{incarnation: incarnation, capacity: capacity, window: window, late: map[ID]*Record{}}
	l.current = l.generation(0)
	return l
}

func (l *Ledger) generation(window uint32) *generation {
	return &generation{
		window: window, records: map[ID]*Record{},
		refused: newFilter(l.capacity), unrecorded: newFilter(l.capacity),
	}
}

// Window returns the number of the window at now.
func (l *Ledger) Window(now time.Duration) uint32 { return uint32(now / l.window) }

// Begin decides whether the request id may run. After Run, the caller must
// call Finish exactly once.
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
	gen := l.find(id.Window)
	if gen == nil {
		l.stats.Expired++
		return Verdict{Kind: Expired}
	}
	if record, ok := gen.unkept(id, idempotent); ok {
		l.stats.Repeats++
		return Verdict{Kind: Repeat, Record: record}
	}
	return l.admit(gen, id, idempotent)
}

// admit records a new identity, or decides what happens to it without a record.
func (l *Ledger) admit(gen *generation, id ID, idempotent bool) Verdict {
	switch {
	case idempotent && (l.idempotent >= int(idempotentShare*float64(l.capacity)) || gen.unrecorded.has(id)):
		// Idempotent work may run twice, so it needs no record. Finish reports
		// unknown in place of not-run for it. A record made later would not know
		// of the first run, so an identity stays without one.
		gen.unrecorded.add(id)
		l.stats.Unrecorded++
	case l.stats.Records >= l.capacity:
		gen.refused.add(id)
		l.stats.Fulls++
		return Verdict{Kind: Full}
	default:
		gen.records[id] = &Record{State: Running, Idempotent: idempotent}
		l.stats.Records++
		l.stats.Running++
		if idempotent {
			l.idempotent++
		}
	}
	l.stats.Runs++
	return Verdict{Kind: Run}
}

// unkept returns what is known about an identity that has no record.
func (g *generation) unkept(id ID, idempotent bool) (Record, bool) {
	mayHaveRun := g.unrecorded.has(id)
	if g.refused.has(id) {
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

// Sent notes that bytes are about to go to a backend server. The caller sends
// only if Sent returns true. It returns false when the request has ended, and
// when a non-idempotent request was already sent and not refused since.
func (l *Ledger) Sent(id ID) bool {
	record := l.record(id)
	if record == nil {
		gen := l.find(id.Window)
		return id.Incarnation == l.incarnation && gen != nil && gen.unrecorded.has(id)
	}
	if record.State != Running || record.Open > 0 && !record.Idempotent {
		return false
	}
	record.Open++
	return true
}

// Refused takes back one Sent: the attempt provably did not start, because
// the backend server marked its refusal so or no connection was made. The
// request may then be sent to another backend server.
func (l *Ledger) Refused(id ID) {
	if record := l.record(id); record != nil && record.State == Running && record.Open > 0 {
		record.Open--
	}
}

// Finish ends a request and returns the outcome to answer. It replaces a
// not-run outcome by unknown where the ledger cannot vouch for it: after bytes
// were sent, unless the backend server refused before starting, and for a
// request that has no record. The first outcome of a request is final.
func (l *Ledger) Finish(now time.Duration, id ID, result outcome.Outcome) outcome.Outcome {
	record := l.record(id)
	if record == nil {
		return l.vouch(result, false)
	}
	if record.State == Ended {
		return record.Outcome
	}
	record.State = Ended
	refused := record.Open == 1 && result.Reason == outcome.ReasonShed
	record.Outcome = l.vouch(result, record.Open == 0 || refused)
	l.stats.Running--
	if _, late := l.late[id]; late {
		l.stats.LateEnds++
		l.drop(record)
		delete(l.late, id)
	}
	l.Expire(now)
	return record.Outcome
}

func (l *Ledger) vouch(result outcome.Outcome, notRun bool) outcome.Outcome {
	if result.Kind == outcome.NotRun && !notRun {
		l.stats.Downgraded++
		result.Kind = outcome.Unknown
	}
	return result
}

// Lookup returns the record of id.
func (l *Ledger) Lookup(id ID) (Record, bool) {
	if record := l.record(id); record != nil {
		return *record, true
	}
	return Record{}, false
}

// Resolve answers request.resolve. An identity of this incarnation that was
// never used and could still arrive is sealed: it is recorded as not-run, so
// that the answer stays true. Foreign and expired identities are unknown.
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

// Expire drops the ended records whose window is no longer acceptable.
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
	l.current = l.generation(window)
}

// retire drops a generation and keeps its running requests in late.
func (l *Ledger) retire(gen *generation) {
	if gen == nil {
		return
	}
	for id, record := range gen.records {
		if record.State == Running {
			l.late[id] = record
			continue
		}
		l.drop(record)
	}
}

func (l *Ledger) drop(record *Record) {
	l.stats.Records--
	if record.Idempotent {
		l.idempotent--
	}
}

func (l *Ledger) find(window uint32) *generation {
	switch {
	case window == l.current.window:
		return l.current
	case l.previous != nil && window == l.previous.window:
		return l.previous
	default:
		return nil
	}
}

func (l *Ledger) record(id ID) *Record {
	if id.Incarnation != l.incarnation {
		return nil
	}
	if gen := l.find(id.Window); gen != nil {
		return gen.records[id]
	}
	return l.late[id]
}

// Stats returns the present counts.
func (l *Ledger) Stats() Stats { return l.stats }
