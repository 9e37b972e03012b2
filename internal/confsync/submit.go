package confsync

import (
	"bytes"
	"encoding/json"
	"errors"
	"math/rand"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/internal/store"
)

// Limits of a submission.
const (
	// submitTimeout is the time after which a submission without a verdict ends. A
	// caller with a shorter limit ends it earlier, as uncertain.
	submitTimeout = 20 * time.Second
	// collectTimeout is the time, counted from the verdict, after which remaining
	// garbage is left to later submissions.
	collectTimeout = 30 * time.Second
	// maxPending is the maximum number of submissions in the pending list, those
	// included that ended and are not cleaned up.
	maxPending = 64
)

// Request describes a submission. A repeated attempt uses the same Request.
type Request struct {
	// Base is the configuration revision that Text replaces, zero for the first one.
	Base Revision
	Text []byte
	Audit
	// BaseText is the text of Base. It is optional and saves store reads.
	BaseText []byte
}

// Verdict is the outcome of a submission.
type Verdict string

// Verdicts.
const (
	// Accepted means that the operation is the revision Submitted.Revision. Its text
	// is compared with the accepted one only while that revision is the latest.
	Accepted Verdict = "accepted"
	// Conflict means that another submission, Submitted.Winner, was accepted as the
	// revision after Base; this one was not and never will be accepted on Base. An
	// operation must be repeated only with its original base: on another one, a stale
	// read may hide that the operation was accepted before.
	Conflict Verdict = "conflict"
	// Failed means that this attempt was not accepted; see Submitted.Err. An earlier
	// attempt with the same operation identity may have been.
	Failed Verdict = "failed"
	// Uncertain means that it is unknown whether the submission was accepted.
	Uncertain Verdict = "uncertain"
)

// Submitted is the action that reports the verdict of a submission. Store calls
// that delete keys no longer needed follow it if Step is called further.
type Submitted struct {
	Verdict  Verdict
	Revision Revision
	// Head is set if Verdict is Accepted and the revision is the latest.
	Head *Head
	// Winner is the submission accepted as the revision after Base. It is set if
	// Verdict is Conflict.
	Winner AcceptedSubmission
	// Latest is the latest revision seen. It is set if Verdict is Accepted or
	// Conflict, or if the head no longer lists the revision after Base.
	Latest AcceptedSubmission
	Err    error
}

// Submission is the state machine of one submission. It is not safe for
// concurrent use.
type Submission struct {
	storeClient
	req      Request
	deadline time.Duration
	verdict  Verdict
	finished bool

	head              Head           // the head that is to be replaced
	headStoreRevision store.Revision // of the key of head, zero if there is none
	// headValue is the stored encoding of head.
	headValue []byte
	// latest is the highest revision read from the store.
	latest  Revision
	next    Head // the head to write
	writes  []partContent
	garbage []string // keys that next makes obsolete
	// headWriteUncertain is set once a write of the head may have taken effect.
	headWriteUncertain bool
}

// NewSubmission returns a submission that starts with its first Step.
func NewSubmission(req Request, rng *rand.Rand) *Submission {
	return &Submission{storeClient: newStoreClient(rng, new(uint64)), req: req, deadline: -1}
}

// Step feeds one event, Tick or StoreResult, at time now, which must not decrease,
// and appends the resulting actions to actions.
func (s *Submission) Step(now time.Duration, ev Event, actions []Action) []Action {
	if s.deadline < 0 {
		s.begin(now)
	}
	if r, ok := ev.(StoreResult); ok {
		s.handleResult(now, r)
	}
	if !s.finished && now >= s.deadline {
		s.expire()
	}
	s.tick(now)
	return s.appendCalls(actions)
}

// NextWake returns the time at which Step must be called if no event comes earlier.
func (s *Submission) NextWake() time.Duration {
	if s.finished {
		return never
	}
	return min(s.retryAt, max(s.deadline, 0))
}

// Finished reports whether the submission makes no further store calls.
func (s *Submission) Finished() bool { return s.finished }

func (s *Submission) begin(now time.Duration) {
	s.deadline = now + submitTimeout
	if err := s.req.check(); err != nil {
		s.emitVerdict(Submitted{Verdict: Failed, Err: err})
		s.finish()
		return
	}
	s.readHead(now)
}

func (r Request) check() error {
	switch {
	case r.Operation == "" || len(r.Operation) > 64 || bytes.ContainsAny([]byte(r.Operation), "/ \n"):
		return trace.Wrap(ErrInvalid, "operation identity %q: want 1 to 64 bytes without slash, space and newline", r.Operation)
	case r.Who == "":
		return trace.Wrap(ErrInvalid, "operator is missing")
	case len(r.Text) == 0:
		return trace.Wrap(ErrInvalid, "text is empty")
	case len(r.Text) > MaxStoredTextBytes:
		return trace.Wrap(ErrInvalid, "text has %d bytes; want at most %d", len(r.Text), MaxStoredTextBytes)
	case len(r.Who) > 256 || len(r.Why) > 4096:
		return trace.Wrap(ErrInvalid, "operator or reason is too long; want at most 256 and 4096 bytes")
	}
	return nil
}

// expire ends the submission, or its garbage collection, at the deadline.
func (s *Submission) expire() {
	if s.verdict == "" {
		switch {
		case s.headWriteUncertain:
			s.emitVerdict(Submitted{Verdict: Uncertain, Err: trace.Wrap(ErrUncertain)})
		case s.latest > 0 && s.latest < s.req.Base:
			s.emitVerdict(Submitted{Verdict: Failed, Err: trace.Wrap(ErrNotAccepted,
				"the store has revision %d, the submission is based on %d", s.latest, s.req.Base)})
		default:
			s.emitVerdict(Submitted{Verdict: Failed, Err: trace.Wrap(ErrNotAccepted, "no verdict from the store in time")})
		}
	}
	s.finish()
}

// emitVerdict reports the verdict, unless one was reported before.
func (s *Submission) emitVerdict(d Submitted) {
	if s.verdict != "" {
		return
	}
	s.verdict = d.Verdict
	s.out = append(s.out, d)
}

// finish ends all store calls of the submission.
func (s *Submission) finish() {
	s.stop()
	s.finished = true
}

// fail ends a submission that cannot continue. The verdict is Uncertain if a
// write of the head may have taken effect.
func (s *Submission) fail(err error) {
	v := Failed
	if s.headWriteUncertain {
		v = Uncertain
	}
	s.emitVerdict(Submitted{Verdict: v, Err: err})
	s.finish()
}

func (s *Submission) readHead(time.Duration) { s.get(HeadKey, s.headReceived) }

func (s *Submission) headReceived(now time.Duration, r StoreResult) {
	var h Head
	if r.Err == nil {
		var err error
		if h, err = DecodeHead(r.Entry.Value); err != nil {
			s.fail(err)
			return
		}
	}
	s.latest = max(s.latest, h.Revision)
	if s.endIfDecided(now, h) {
		return
	}
	if h.Revision < s.req.Base || r.Entry.Revision < s.headStoreRevision {
		// A stale read: the submitter has already seen Base.
		s.retryLater(now, s.readHead)
		return
	}
	headUnchanged := s.headStoreRevision == r.Entry.Revision && s.next.Revision != 0
	s.head, s.headStoreRevision = h, r.Entry.Revision
	if headUnchanged {
		// The write of the head failed although the store still returns the same
		// head: either this read is stale or the write was lost.
		s.retryLater(now, s.writeHead)
		return
	}
	s.headValue = r.Entry.Value
	s.loadBaseText(now)
}

// endIfDecided ends the submission, and returns true, if the head lists its
// operation or is later than its base.
func (s *Submission) endIfDecided(now time.Duration, h Head) bool {
	for _, w := range h.Recent {
		if w.Operation == s.req.Operation {
			s.accept(now, h, w.Revision)
			return true
		}
	}
	if h.Revision <= s.req.Base {
		return false
	}
	target := s.req.Base + 1
	w, listed := h.acceptedAs(target)
	switch {
	case listed:
		s.emitVerdict(Submitted{Verdict: Conflict, Winner: w, Latest: h.Recent[0]})
		s.collectGarbage(now, h)
	default:
		// The head no longer lists the revision after Base.
		s.emitVerdict(Submitted{Verdict: Uncertain, Latest: h.Recent[0],
			Err: trace.Wrap(ErrUncertain, "revision %d is too old to be listed in the head, the latest is %d", target, h.Revision)})
		s.collectGarbage(now, h)
	}
	return true
}

// accept ends the submission as accepted, or as failed if its operation is the
// latest revision with another text.
func (s *Submission) accept(now time.Duration, h Head, committed Revision) {
	if h.Revision == committed && h.Checksum != ChecksumOf(s.req.Text) {
		s.emitVerdict(Submitted{Verdict: Failed, Err: trace.Wrap(ErrOperationReused, "operation %q was accepted as revision %d with another text", s.req.Operation, h.Revision)})
		s.finish()
		return
	}
	d := Submitted{Verdict: Accepted, Revision: committed, Latest: h.Recent[0]}
	if h.Revision == d.Revision {
		d.Head = &h
	}
	s.emitVerdict(d)
	s.collectGarbage(now, h)
}

// recordPending adds the keys of this submission to the pending list before any is
// written, so that they are found if this process crashes.
func (s *Submission) recordPending(now time.Duration, r StoreResult) {
	var p pendingList
	if r.Err == nil {
		if err := json.Unmarshal(r.Entry.Value, &p); err != nil {
			s.fail(trace.Wrap(ErrDamaged, "pending submissions: %v", err))
			return
		}
	}
	if slices.ContainsFunc(p.Entries, s.isOwn) {
		s.writePart(now, 0)
		return
	}
	if len(p.Entries) >= maxPending {
		s.fail(trace.Wrap(ErrNotAccepted, "%d submissions are in progress or not yet cleaned up, which is the maximum", len(p.Entries)))
		return
	}
	e := pendingSubmission{Operation: s.req.Operation, Base: s.req.Base, Keys: slices.Clone(s.garbage)}
	for _, w := range s.writes {
		e.Keys = append(e.Keys, w.Key)
	}
	p.Entries = append(p.Entries, e)
	s.call(StoreCall{Kind: StoreSwap, Key: pendingKey, Expected: r.Entry.Revision, Value: mustEncode(p)}, s.pendingWritten)
}

func (s *Submission) isOwn(e pendingSubmission) bool {
	return e.Operation == s.req.Operation && e.Base == s.req.Base
}

func (s *Submission) pendingWritten(now time.Duration, r StoreResult) {
	switch {
	case r.Err == nil:
		s.writePart(now, 0)
	case errors.Is(r.Err, store.ErrTooLarge):
		s.fail(trace.Wrap(ErrNotAccepted, "the list of pending submissions exceeds the maximum size of a value"))
	default:
		s.retryLater(now, func(time.Duration) { s.get(pendingKey, s.recordPending) })
	}
}

// writePart writes the parts from index i on, then the history and the head.
func (s *Submission) writePart(now time.Duration, i int) {
	if i == len(s.writes) {
		s.writeHistory(now)
		return
	}
	w := s.writes[i]
	s.writeOnce(now, w.Key, w.content, func(now time.Duration) { s.writePart(now, i+1) })
}

// writeHistory stores the head that is to be replaced under its HistoryKey. Every
// submitter on the same base writes the same value.
func (s *Submission) writeHistory(now time.Duration) {
	if s.head.Revision == 0 {
		s.writeHead(now)
		return
	}
	s.writeOnce(now, HistoryKey(s.head.Revision), s.headValue, s.writeHead)
}

// writeOnce creates a key to which every writer writes the same value.
func (s *Submission) writeOnce(_ time.Duration, key string, value []byte, then func(time.Duration)) {
	s.call(StoreCall{Kind: StoreSwap, Key: key, Value: value}, func(now time.Duration, r StoreResult) {
		switch {
		case r.Err == nil:
			then(now)
		case errors.Is(r.Err, store.ErrTooLarge):
			s.fail(trace.Wrap(r.Err, "key %s", key))
		default:
			s.get(key, func(now time.Duration, r StoreResult) {
				switch {
				case r.Err != nil:
					s.retryLater(now, func(now time.Duration) { s.writeOnce(now, key, value, then) })
				case !bytes.Equal(r.Entry.Value, value):
					s.fail(trace.Wrap(ErrOperationReused, "key %s exists with another value", key))
				default:
					then(now)
				}
			})
		}
	})
}

// writeHead replaces the head if it has not changed since it was read. This write
// decides whether the revision is accepted.
func (s *Submission) writeHead(time.Duration) {
	c := StoreCall{Kind: StoreSwap, Key: HeadKey, Expected: s.headStoreRevision, Value: mustEncode(s.next)}
	s.call(c, func(now time.Duration, r StoreResult) {
		switch {
		case r.Err == nil:
			s.accept(now, s.next, s.next.Revision)
		case errors.Is(r.Err, store.ErrTooLarge):
			s.fail(trace.Wrap(r.Err, "head of revision %d", s.next.Revision))
		case errors.Is(r.Err, store.ErrConflict):
			s.readHead(now)
		default:
			// Read the head to find out whether the write took effect. If it did,
			// a repeated write conflicts with it.
			s.headWriteUncertain = true
			s.retryLater(now, s.readHead)
		}
	})
}
