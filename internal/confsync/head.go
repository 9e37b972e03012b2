// Package confsync submits configuration revisions to the store, distributes them
// among hosts and decides which one is current. The text of a configuration is
// opaque to it. It serves galenabeamd without -platform; with it, packages mirror and
// platform do.
//
// A Submission writes the parts of the text, then replaces the head by a
// compare-and-swap. The revision is accepted if the head is still that of the
// base, so each base has at most one accepted successor.
//
// A Replica holds the current revision of a process, in memory only. One host per
// region watches the head. A host that applies a revision pushes it to a few
// peers; a host that learns of a later revision from a push or a membership ping
// pulls it. A replica applies only revisions greater than its own, whatever the
// source, so messages and store reads may be late or stale. A starting process
// takes the highest revision that the store and a few peers report.
//
// The package does no I/O and reads no clock: Submission.Step and Replica.Step take
// the time, as a duration since an arbitrary monotonic origin, and an event, and
// return the calls to make and the messages to send.
package confsync

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/internal/store"
)

// Errors of this package; compare with errors.Is.
var (
	// ErrDamaged means that a text or record is malformed or does not match its
	// checksum.
	ErrDamaged = errors.New("confsync: damaged record")
	// ErrOperationReused means that the operation identity was used for another text,
	// or that a key to be written has another value.
	ErrOperationReused = errors.New("confsync: operation identity reused for another text")
	// ErrNotAccepted means that this attempt of the submission was not accepted and
	// has no effect: no verdict came in time and nothing can have been accepted, its
	// base is later than the store's revision, or too many are in progress.
	ErrNotAccepted = errors.New("confsync: submission not accepted")
	// ErrUncertain means that it is unknown whether the store accepted the
	// submission. Repeating it with the same operation identity is safe.
	ErrUncertain = errors.New("confsync: submission uncertain")
	// ErrInvalid means that the submission lacks a field or that a field is
	// malformed or too large.
	ErrInvalid = errors.New("confsync: invalid submission")
)

// Sizes and limits.
const (
	// MaxStoredTextBytes is the maximum size of a text that is submitted, stored,
	// received from a peer or built by a delta. config.MaxTextBytes is the separate
	// limit of the parser.
	MaxStoredTextBytes = 128 << 20
	// PartBytes is the maximum size of a part, the piece of a text under one key.
	PartBytes = 512 << 10
	// minPartBytes is the size below which rewritten content is merged with an
	// adjacent part.
	minPartBytes = 16 << 10
	// inlineDeltaBytes is the maximum size of a delta stored in the head, so that a
	// watch delivers an ordinary change without a further call.
	inlineDeltaBytes = 16 << 10
	// recentRevisions is the number of revisions listed in a head, to recognize
	// repeated submissions and to name the accepted one in a conflict.
	recentRevisions = 32
	// HistoryRevisions is the number of earlier heads, which include the audit
	// records, that stay in the store.
	HistoryRevisions = 4096
)

// Keys of the store.
const (
	// HeadKey is the key of the Head of the latest revision, in JSON.
	HeadKey    = "/config/head"
	pendingKey = "/config/pending" // of the pendingList, in JSON
)

// HistoryKey returns the key of the Head of an earlier revision, in JSON.
func HistoryKey(r Revision) string { return fmt.Sprintf("/config/history/%d", r) }

// partKey returns the key of part i of a text or delta. It contains revision and
// operation, so that a submission repeated on another base shares no key with the
// first attempt.
func partKey(r Revision, operation, kind string, i int) string {
	return fmt.Sprintf("/config/%s/%d/%s/%d", kind, r, operation, i)
}

// Revision is the number of a configuration, counted from 1; zero means none.
// store.Revision instead counts the writes to the store.
type Revision uint64

// Audit is the audit record of a revision: who submitted it, when and why.
type Audit struct {
	// Operation is the identity of the submission: unique per submission, and shared by
	// its repeated attempts.
	Operation string    `json:"operation"`
	Who       string    `json:"who"`
	When      time.Time `json:"when"`
	Why       string    `json:"why,omitempty"`
}

// Part describes a piece of a text or delta in the store.
type Part struct {
	Key      string   `json:"key"`
	Bytes    int      `json:"bytes"`
	Checksum Checksum `json:"digest"`
}

// AcceptedSubmission identifies the submission accepted as Revision.
type AcceptedSubmission struct {
	Revision  Revision  `json:"revision"`
	Operation string    `json:"operation"`
	Who       string    `json:"who"`
	When      time.Time `json:"when"`
}

// Head describes a revision. It is the value of HeadKey and, once replaced by a
// later one, of its HistoryKey.
type Head struct {
	Revision Revision `json:"revision"`
	Checksum Checksum `json:"digest"`
	Bytes    int      `json:"bytes"`
	Parts    []Part   `json:"parts"`
	Audit
	// Previous is the checksum of the preceding revision's text, empty for the
	// first one.
	Previous Checksum `json:"previous,omitempty"`
	// Delta is the change from the preceding revision. A delta of more than about
	// 16 KiB is stored as JSON under DeltaParts instead. A text that is not UTF-8
	// has no delta.
	Delta      Delta  `json:"delta,omitempty"`
	DeltaParts []Part `json:"delta_parts,omitempty"`
	// Recent lists up to 32 of the latest revisions, this one first.
	Recent []AcceptedSubmission `json:"recent"`
}

// DecodeHead parses the JSON of a Head. It returns ErrDamaged if value is none.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, trace.Wrap(ErrDamaged, "head: %v", err)
	}
	if h.Revision == 0 || h.Checksum == "" || len(h.Recent) == 0 {
		return Head{}, trace.Wrap(ErrDamaged, "head lacks revision, digest or recent revisions")
	}
	return h, nil
}

// acceptedAs returns the submission accepted as revision r, and false if the head
// does not list r.
func (h Head) acceptedAs(r Revision) (AcceptedSubmission, bool) {
	i := slices.IndexFunc(h.Recent, func(w AcceptedSubmission) bool { return w.Revision == r })
	if i < 0 {
		return AcceptedSubmission{}, false
	}
	return h.Recent[i], true
}

// references reports whether the text or delta of the head has a part under key.
func (h Head) references(key string) bool {
	isKey := func(p Part) bool { return p.Key == key }
	return slices.ContainsFunc(h.Parts, isKey) || slices.ContainsFunc(h.DeltaParts, isKey)
}

// mustEncode returns the JSON encoding of v and panics if v has none.
func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only values of this package's own types are encoded
	}
	return b
}

// partContent is a part that is still to be written, with its content.
type partContent struct {
	Part
	content []byte
}

// splitText divides text into parts; added are those that must be written. It
// reuses the parts of the previous revision that text begins and ends with, so
// that a small change writes one part.
func splitText(text []byte, oldParts []Part, r Revision, operation string) (parts []Part, added []partContent) {
	keepHead, keepTail := 0, len(oldParts)
	from, to := 0, len(text)
	for keepHead < keepTail && partMatches(text, from, oldParts[keepHead]) {
		from += oldParts[keepHead].Bytes
		keepHead++
	}
	for keepTail > keepHead && to-oldParts[keepTail-1].Bytes >= from && partMatches(text, to-oldParts[keepTail-1].Bytes, oldParts[keepTail-1]) {
		to -= oldParts[keepTail-1].Bytes
		keepTail--
	}
	if from < to && to-from < minPartBytes {
		// Merge a small remainder with an adjacent part, so that parts do not
		// shrink from revision to revision.
		if keepHead > 0 {
			keepHead--
			from -= oldParts[keepHead].Bytes
		} else if keepTail < len(oldParts) {
			to += oldParts[keepTail].Bytes
			keepTail++
		}
	}
	added = cutParts(text[from:to], r, operation, "part")
	parts = slices.Clone(oldParts[:keepHead])
	for _, p := range added {
		parts = append(parts, p.Part)
	}
	return append(parts, oldParts[keepTail:]...), added
}

// partMatches reports whether the content of p is at offset in text.
func partMatches(text []byte, offset int, p Part) bool {
	return p.Bytes > 0 && offset+p.Bytes <= len(text) && ChecksumOf(text[offset:offset+p.Bytes]) == p.Checksum
}

// cutParts divides content into equal parts of at most PartBytes each.
func cutParts(content []byte, r Revision, operation, kind string) []partContent {
	n := (len(content) + PartBytes - 1) / PartBytes
	var out []partContent
	for i := range n {
		piece := content[i*len(content)/n : (i+1)*len(content)/n]
		out = append(out, partContent{Part{partKey(r, operation, kind, i), len(piece), ChecksumOf(piece)}, piece})
	}
	return out
}

// pendingList contains the submissions in progress or not yet cleaned up, each with
// the keys that it writes and those that it makes obsolete. Once the head's
// revision is greater than a submission's base, those of its keys that the head
// does not reference are garbage, whatever the outcome.
type pendingList struct {
	Entries []pendingSubmission `json:"entries"`
}

type pendingSubmission struct {
	Operation string   `json:"operation"`
	Base      Revision `json:"base"`
	Keys      []string `json:"keys"`
}

// StoreKind is the kind of a StoreCall.
type StoreKind string

// Kinds of store calls.
const (
	StoreGet    StoreKind = "get"
	StoreSwap   StoreKind = "compare-and-swap"
	StoreDelete StoreKind = "delete"
	StoreWatch  StoreKind = "watch"
)

// StoreCall is a call to the store. Its result is fed back as a StoreResult with
// the same Seq; an expired context is reported as store.ErrUncertain for writes
// and store.ErrUnavailable otherwise.
type StoreCall struct {
	Seq  uint64
	Kind StoreKind
	Key  string
	// Expected is the required store revision of the key for StoreSwap and
	// StoreDelete. StoreWatch waits for a greater revision.
	Expected store.Revision
	Value    []byte
}

// StoreResult is the result of a StoreCall. Entry is set for StoreGet and
// StoreWatch; StoreSwap sets only its store revision.
type StoreResult struct {
	Seq   uint64
	Entry store.Entry
	Err   error
}
