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
	// submitLimit is the time after which a submission is given up.
	submitLimit = 20 * time.Second
	// cleanupLimit is the time after which garbage is left to the next submission.
	cleanupLimit = 30 * time.Second
	// maxPending bounds the submissions under way.
	maxPending = 64
)

// Request is a submission. It is repeated by the same Request.
type Request struct {
	// Base is the revision that Text replaces, zero for the first one.
	Base Revision
	Text []byte
	Audit
	// BaseText is the text of Base if it is at hand; it saves reading it.
	BaseText []byte
}

// Verdict is how a submission ended.
type Verdict string

// Verdicts.
const (
	// Accepted: the text is the revision in Submitted.Head.
	Accepted Verdict = "accepted"
	// Conflict: another submission took the revision after Base; it is named
	// by Submitted.Winner. The submission on this base is not and never will
	// be in force. (An operation that is repeated keeps its base: reads may be
	// from the past, so that a run on another base may miss an earlier success.)
	Conflict Verdict = "conflict"
	// Failed: this run did not put the submission in force; see Submitted.Err.
	// An earlier run with the same operation identity may have.
	Failed Verdict = "failed"
	// Uncertain: it is unknown whether the submission is in force.
	Uncertain Verdict = "uncertain"
)

// Submitted is the action that ends a submission. Store calls that collect
// garbage may follow it.
type Submitted struct {
	Verdict  Verdict
	Revision Revision
	// Head is set if Verdict is Accepted and the revision is the latest.
	Head *Head
	// Winner is set if Verdict is Conflict.
	Winner Winner
	// Latest is the latest revision seen.
	Latest Winner
	Err    error
}

// Submission is one submission. It is not safe for concurrent use.
type Submission struct {
	caller
	req      Request
	deadline time.Duration
	verdict  Verdict
	finished bool

	head    Head           // the head that is to be replaced
	headRev store.Revision // of the head, zero if there is none
	// headValue is the head as stored.
	headValue []byte
	// latest is the highest revision that the store has shown.
	latest  Revision
	next    Head // the head to write
	writes  []newPart
	garbage []string // keys that next does not need any more
	// tried is set once a write of the head may have taken effect.
	tried bool
}

// NewSubmission returns a submission that starts with the first Step.
func NewSubmission(req Request, rng *rand.Rand) *Submission {
	return &Submission{caller: newCaller(rng, new(uint64)), req: req, deadline: -1}
}

// Step feeds one event, Tick or StoreResult, and appends the resulting actions.
func (s *Submission) Step(now time.Duration, ev Event, actions []Action) []Action {
	if s.deadline < 0 {
		s.begin(now)
	}
	if r, ok := ev.(StoreResult); ok {
		s.result(now, r)
	}
	if !s.finished && now >= s.deadline {
		s.giveUp()
	}
	s.tick(now)
	return s.take(actions)
}

// NextWake returns the time at which Step is next due without an event.
func (s *Submission) NextWake() time.Duration {
	if s.finished {
		return never
	}
	return min(s.retryAt, max(s.deadline, 0))
}

// Finished tells whether all store calls are over.
func (s *Submission) Finished() bool { return s.finished }

func (s *Submission) begin(now time.Duration) {
	s.deadline = now + submitLimit
	if err := s.req.check(); err != nil {
		s.end(Submitted{Verdict: Failed, Err: err})
		s.finish()
		return
	}
	s.readHead(now)
}

func (r Request) check() error {
	switch {
	case r.Operation == "" || len(r.Operation) > 64 || bytes.ContainsAny([]byte(r.Operation), "/ \n"):
		return trace.Wrap(ErrInvalid, "operation identity %q", r.Operation)
	case r.Who == "":
		return trace.Wrap(ErrInvalid, "no operator named")
	case len(r.Text) == 0:
		return trace.Wrap(ErrInvalid, "empty text")
	case len(r.Text) > MaxTextBytes:
		return trace.Wrap(ErrInvalid, "text has %d bytes, the limit is %d", len(r.Text), MaxTextBytes)
	case len(r.Who) > 256 || len(r.Why) > 4096:
		return trace.Wrap(ErrInvalid, "operator or reason is too long")
	}
	return nil
}

// giveUp ends the submission, or its collection of garbage, at its deadline.
func (s *Submission) giveUp() {
	if s.verdict == "" {
		switch {
		case s.tried:
			s.end(Submitted{Verdict: Uncertain, Err: trace.Wrap(ErrUncertain)})
		case s.latest > 0 && s.latest < s.req.Base:
			s.end(Submitted{Verdict: Failed, Err: trace.Wrap(ErrNotApplied,
				"the store has revision %d, the submission is based on %d", s.latest, s.req.Base)})
		default:
			s.end(Submitted{Verdict: Failed, Err: trace.Wrap(ErrNotApplied, "the store did not answer in time")})
		}
	}
	s.finish()
}

func (s *Submission) end(d Submitted) {
	if s.verdict != "" {
		return
	}
	s.verdict = d.Verdict
	s.out = append(s.out, d)
}

func (s *Submission) finish() {
	s.stop()
	s.finished = true
}

// fail ends a submission that cannot go on. It is not in force, unless a write
// of the head was already tried.
func (s *Submission) fail(err error) {
	v := Failed
	if s.tried {
		v = Uncertain
	}
	s.end(Submitted{Verdict: v, Err: err})
	s.finish()
}

func (s *Submission) readHead(time.Duration) { s.get(HeadKey, s.gotHead) }

func (s *Submission) gotHead(now time.Duration, r StoreResult) {
	var h Head
	if r.Err == nil {
		var err error
		if h, err = DecodeHead(r.Entry.Value); err != nil {
			s.fail(err)
			return
		}
	}
	s.latest = max(s.latest, h.Revision)
	if s.decided(now, h) {
		return
	}
	if h.Revision < s.req.Base || r.Entry.Revision < s.headRev {
		// The answer is from the past: the submitter has seen Base.
		s.later(now, s.readHead)
		return
	}
	known := s.headRev == r.Entry.Revision && s.next.Revision != 0
	s.head, s.headRev = h, r.Entry.Revision
	if known {
		// The write of the head failed although this is still the head that the
		// store shows: the answer is from the past, or the write was lost.
		s.later(now, s.writeHead)
		return
	}
	s.headValue = r.Entry.Value
	s.prepare(now)
}

// decided ends the submission if the head shows its fate.
func (s *Submission) decided(now time.Duration, h Head) bool {
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
	w, known := h.winner(target)
	switch {
	case known:
		s.end(Submitted{Verdict: Conflict, Winner: w, Latest: h.Recent[0]})
		s.collect(now, h)
	default:
		// The head does not reach back to the revision in question.
		s.end(Submitted{Verdict: Uncertain, Latest: h.Recent[0],
			Err: trace.Wrap(ErrUncertain, "revision %d is too long ago, the latest is %d", target, h.Revision)})
		s.collect(now, h)
	}
	return true
}

// accept ends the submission as accepted. A text other than the one that was
// accepted earlier under the same operation identity is refused.
func (s *Submission) accept(now time.Duration, h Head, as Revision) {
	if h.Revision == as && h.Digest != DigestOf(s.req.Text) {
		s.end(Submitted{Verdict: Failed, Err: trace.Wrap(ErrReusedOperation, "operation %q is revision %d", s.req.Operation, h.Revision)})
		s.finish()
		return
	}
	d := Submitted{Verdict: Accepted, Revision: as, Latest: h.Recent[0]}
	if h.Revision == d.Revision {
		d.Head = &h
	}
	s.end(d)
	s.collect(now, h)
}

// gotPending records the keys of this submission before the first is written,
// so that they are found if this process dies.
func (s *Submission) gotPending(now time.Duration, r StoreResult) {
	var p pending
	if r.Err == nil {
		if err := json.Unmarshal(r.Entry.Value, &p); err != nil {
			s.fail(trace.Wrap(ErrDamaged, "pending submissions: %v", err))
			return
		}
	}
	if slices.ContainsFunc(p.Entries, s.isMine) {
		s.writePart(now, 0)
		return
	}
	if len(p.Entries) >= maxPending {
		s.fail(trace.Wrap(ErrNotApplied, "%d submissions are under way", len(p.Entries)))
		return
	}
	e := pendingEntry{Operation: s.req.Operation, Base: s.req.Base, Keys: slices.Clone(s.garbage)}
	for _, w := range s.writes {
		e.Keys = append(e.Keys, w.Key)
	}
	p.Entries = append(p.Entries, e)
	s.call(StoreCall{Kind: StoreSwap, Key: pendingKey, Expected: r.Entry.Revision, Value: encode(p)}, s.wrotePending)
}

func (s *Submission) isMine(e pendingEntry) bool {
	return e.Operation == s.req.Operation && e.Base == s.req.Base
}

func (s *Submission) wrotePending(now time.Duration, r StoreResult) {
	switch {
	case r.Err == nil:
		s.writePart(now, 0)
	case errors.Is(r.Err, store.ErrTooLarge):
		s.fail(trace.Wrap(ErrNotApplied, "too many submissions are under way"))
	default:
		s.later(now, func(time.Duration) { s.get(pendingKey, s.gotPending) })
	}
}

// writePart writes the parts from number i on.
func (s *Submission) writePart(now time.Duration, i int) {
	if i == len(s.writes) {
		s.archive(now)
		return
	}
	w := s.writes[i]
	s.writeOnce(now, w.Key, w.content, func(now time.Duration) { s.writePart(now, i+1) })
}

// archive keeps the head that is about to be replaced as history. Every
// submitter on the same base writes the same value.
func (s *Submission) archive(now time.Duration) {
	if s.head.Revision == 0 {
		s.writeHead(now)
		return
	}
	s.writeOnce(now, HistoryKey(s.head.Revision), s.headValue, s.writeHead)
}

// writeOnce writes a key whose value is the same for everyone who writes it.
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
					s.later(now, func(now time.Duration) { s.writeOnce(now, key, value, then) })
				case !bytes.Equal(r.Entry.Value, value):
					s.fail(trace.Wrap(ErrReusedOperation, "key %s exists", key))
				default:
					then(now)
				}
			})
		}
	})
}

// writeHead makes the submission the next revision, unless another one did.
func (s *Submission) writeHead(time.Duration) {
	c := StoreCall{Kind: StoreSwap, Key: HeadKey, Expected: s.headRev, Value: encode(s.next)}
	s.call(c, func(now time.Duration, r StoreResult) {
		switch {
		case r.Err == nil:
			s.accept(now, s.next, s.next.Revision)
		case errors.Is(r.Err, store.ErrTooLarge):
			s.fail(trace.Wrap(r.Err, "the head of revision %d", s.next.Revision))
		case errors.Is(r.Err, store.ErrConflict):
			s.readHead(now)
		default:
			// Reading back tells; a write that is repeated conflicts with the
			// first one if that took effect.
			s.tried = true
			s.later(now, s.readHead)
		}
	})
}
