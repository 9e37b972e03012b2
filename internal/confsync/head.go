// Package confsync distributes configuration revisions: it submits them to the
// store, reads them back, spreads them among hosts and decides which one is in
// force. The text of a configuration is opaque to it.
//
// The package is pure. Submission, Fetch and Replica are state machines whose
// Step takes the time and an event and returns calls to make and messages to
// send. Durations are counted from an arbitrary monotonic origin.
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
	// ErrDamaged: a text or record does not have its checksum or form.
	ErrDamaged = errors.New("confsync: damaged record")
	// ErrReusedOperation: the operation identity was used for another text.
	ErrReusedOperation = errors.New("confsync: operation identity reused for another text")
	// ErrNotApplied: the store did not accept the submission in time. It is not in force.
	ErrNotApplied = errors.New("confsync: submission not applied")
	// ErrUncertain: the store did not tell whether it accepted the submission.
	// Repeating it with the same operation identity is safe.
	ErrUncertain = errors.New("confsync: submission uncertain")
	// ErrInvalid: the submission lacks a field or is too large.
	ErrInvalid = errors.New("confsync: invalid submission")
)

// Sizes and limits.
const (
	// MaxTextBytes bounds a configuration text.
	MaxTextBytes = 128 << 20
	// PartBytes is the largest part of a text under one key.
	PartBytes = 512 << 10
	// minPartBytes is the size below which a rewritten part takes in its neighbor.
	minPartBytes = 16 << 10
	// inlineDeltaBytes is the largest delta kept in the head itself, so that a
	// watch delivers an ordinary change without a further call.
	inlineDeltaBytes = 16 << 10
	// recentRevisions is how many revisions a head names, to recognize repeated
	// submissions and to name the winner of a race.
	recentRevisions = 32
	// HistoryRevisions is how many earlier revisions keep their audit record.
	HistoryRevisions = 4096
)

// Keys of the store.
const (
	HeadKey    = "/config/head"
	pendingKey = "/config/pending"
)

// HistoryKey returns the key that keeps the head of an earlier revision.
func HistoryKey(r Revision) string { return fmt.Sprintf("/config/history/%d", r) }

// partKey contains the revision besides the operation, so that a submission
// repeated on another base shares no key with the first attempt.
func partKey(r Revision, operation, kind string, i int) string {
	return fmt.Sprintf("/config/%s/%d/%s/%d", kind, r, operation, i)
}

// Revision numbers configurations. Zero means none.
type Revision uint64

// Audit tells who submitted a revision, when and why.
type Audit struct {
	// Operation is the identity of the submission, unique per submission.
	Operation string    `json:"operation"`
	Who       string    `json:"who"`
	When      time.Time `json:"when"`
	Why       string    `json:"why,omitempty"`
}

// Part is a piece of a text in the store.
type Part struct {
	Key    string `json:"key"`
	Bytes  int    `json:"bytes"`
	Digest Digest `json:"digest"`
}

// Winner names the submission that made a revision.
type Winner struct {
	Revision  Revision  `json:"revision"`
	Operation string    `json:"operation"`
	Who       string    `json:"who"`
	When      time.Time `json:"when"`
}

// Head is the value of HeadKey and, once succeeded, of HistoryKey.
type Head struct {
	Revision Revision `json:"revision"`
	Digest   Digest   `json:"digest"`
	Bytes    int      `json:"bytes"`
	Parts    []Part   `json:"parts"`
	Audit
	// Previous is the digest of the revision before, empty for the first one.
	Previous Digest `json:"previous,omitempty"`
	// Delta leads from the revision before to this one. A large delta is kept
	// in JSON under DeltaParts instead. A text that is not UTF-8 has none.
	Delta      Delta  `json:"delta,omitempty"`
	DeltaParts []Part `json:"delta_parts,omitempty"`
	// Recent names the latest revisions, this one first.
	Recent []Winner `json:"recent"`
}

// DecodeHead parses the value of HeadKey or of a HistoryKey.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, trace.Wrap(ErrDamaged, "head: %v", err)
	}
	if h.Revision == 0 || h.Digest == "" || len(h.Recent) == 0 {
		return Head{}, trace.Wrap(ErrDamaged, "head lacks revision, digest or recent revisions")
	}
	return h, nil
}

// winner returns who made revision r, if the head still names it.
func (h Head) winner(r Revision) (Winner, bool) {
	i := slices.IndexFunc(h.Recent, func(w Winner) bool { return w.Revision == r })
	if i < 0 {
		return Winner{}, false
	}
	return h.Recent[i], true
}

// refers tells whether the head needs the key.
func (h Head) refers(key string) bool {
	has := func(p Part) bool { return p.Key == key }
	return slices.ContainsFunc(h.Parts, has) || slices.ContainsFunc(h.DeltaParts, has)
}

// encode returns the JSON form of a value that always has one.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only values of this package's own types are encoded
	}
	return b
}

// newPart is a part together with its content.
type newPart struct {
	Part
	content []byte
}

// split cuts text into parts and reuses the parts of the previous revision
// that text begins and ends with, so that a small change writes one part.
func split(text []byte, old []Part, r Revision, operation string) (parts []Part, added []newPart) {
	first, last := 0, len(old)
	from, to := 0, len(text)
	for first < last && matches(text, from, old[first]) {
		from += old[first].Bytes
		first++
	}
	for last > first && to-old[last-1].Bytes >= from && matches(text, to-old[last-1].Bytes, old[last-1]) {
		to -= old[last-1].Bytes
		last--
	}
	if from < to && to-from < minPartBytes {
		// A small remainder takes in a neighbor, so that parts do not shrink
		// from revision to revision.
		if first > 0 {
			first--
			from -= old[first].Bytes
		} else if last < len(old) {
			to += old[last].Bytes
			last++
		}
	}
	added = cut(text[from:to], r, operation, "part")
	parts = slices.Clone(old[:first])
	for _, p := range added {
		parts = append(parts, p.Part)
	}
	return append(parts, old[last:]...), added
}

func matches(text []byte, at int, p Part) bool {
	return p.Bytes > 0 && at+p.Bytes <= len(text) && DigestOf(text[at:at+p.Bytes]) == p.Digest
}

// cut divides content into equal parts of at most PartBytes.
func cut(content []byte, r Revision, operation, kind string) []newPart {
	n := (len(content) + PartBytes - 1) / PartBytes
	var out []newPart
	for i := range n {
		piece := content[i*len(content)/n : (i+1)*len(content)/n]
		out = append(out, newPart{Part{partKey(r, operation, kind, i), len(piece), DigestOf(piece)}, piece})
	}
	return out
}

// pending is the value of pendingKey: the submissions under way with the keys
// that they write and those that they make unnecessary. Whatever happens to a
// submission, its keys that the present head does not need are garbage once
// the head is past its base.
type pending struct {
	Entries []pendingEntry `json:"entries"`
}

type pendingEntry struct {
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

// StoreCall is a call to the store whose result comes back as StoreResult with
// the same Seq. Every call gets a result; an expired context counts as
// store.ErrUncertain for writes and store.ErrUnavailable otherwise.
type StoreCall struct {
	Seq  uint64
	Kind StoreKind
	Key  string
	// Expected is the revision for StoreSwap and StoreDelete, and the revision
	// to wait after for StoreWatch.
	Expected store.Revision
	Value    []byte
}

// StoreResult is the result of a StoreCall. Entry is set for StoreGet and
// StoreWatch; only its Revision for StoreSwap.
type StoreResult struct {
	Seq   uint64
	Entry store.Entry
	Err   error
}
