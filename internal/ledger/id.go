// Package ledger records the identities of accepted requests and their
// outcomes, so that a non-idempotent request runs at most once and a request
// answered "not run" never runs.
//
// A Ledger is a state machine without locks; its caller serializes access.
// Times are durations since the monotonic origin of the process.
package ledger

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/galenabeam/galenabeam/internal/host"
)

// ErrBadID means that a text is not a valid request identity.
var ErrBadID = errors.New("ledger: malformed request identity")

// ID is the identity of one request, which only its incarnation may run.
type ID struct {
	Incarnation host.Incarnation
	// Window is the number of the incarnation's time window in which the
	// identity was created.
	Window uint32
	Random [16]byte
}

// NewID returns a new identity with 128 bits read from random.
func NewID(incarnation host.Incarnation, window uint32, random io.Reader) (ID, error) {
	id := ID{Incarnation: incarnation, Window: window}
	if _, err := io.ReadFull(random, id.Random[:]); err != nil {
		return ID{}, fmt.Errorf("ledger: failed to read random bits: %w", err)
	}
	return id, nil
}

// String returns "<incarnation>.<window>.<random>": two decimal numbers and 32
// lower-case hexadecimal digits.
func (id ID) String() string {
	text := make([]byte, 0, 64)
	text = strconv.AppendUint(text, uint64(id.Incarnation), 10)
	text = append(text, '.')
	text = strconv.AppendUint(text, uint64(id.Window), 10)
	text = append(text, '.')
	return string(hex.AppendEncode(text, id.Random[:]))
}

// ParseID parses the text form of an identity. It accepts only texts that
// ID.String returns; for others, the error wraps ErrBadID.
func ParseID(text string) (ID, error) {
	var id ID
	first, rest, ok := strings.Cut(text, ".")
	if !ok {
		return ID{}, malformed(text, "want <incarnation>.<window>.<random>")
	}
	second, third, ok := strings.Cut(rest, ".")
	if !ok {
		return ID{}, malformed(text, "want <incarnation>.<window>.<random>")
	}
	incarnation, err := strconv.ParseUint(first, 10, 64)
	if err != nil || incarnation == 0 {
		return ID{}, malformed(text, "the incarnation is not a positive number")
	}
	window, err := strconv.ParseUint(second, 10, 32)
	if err != nil {
		return ID{}, malformed(text, "the window is not a 32-bit number")
	}
	if len(third) != 2*len(id.Random) {
		return ID{}, malformed(text, "the random part is not 32 hexadecimal digits")
	}
	if _, err := hex.Decode(id.Random[:], []byte(third)); err != nil {
		return ID{}, malformed(text, "the random part is not 32 hexadecimal digits")
	}
	id.Incarnation, id.Window = host.Incarnation(incarnation), uint32(window)
	if id.String() != text {
		return ID{}, malformed(text, "not in canonical form")
	}
	return id, nil
}

func malformed(text, why string) error {
	const shown = 80 // bytes
	if len(text) > shown {
		text = text[:shown]
	}
	return fmt.Errorf("%w %q: %s", ErrBadID, text, why)
}
