package confsync

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"unicode/utf8"

	"github.com/gravitational/trace"
)

// Checksum is the SHA-256 checksum of a text in lower-case hexadecimal digits.
type Checksum string

// ChecksumOf returns the checksum of text.
func ChecksumOf(text []byte) Checksum {
	sum := sha256.Sum256(text)
	return Checksum(hex.EncodeToString(sum[:]))
}

// Op is one instruction of a Delta: it inserts Text or, if Text is empty, copies
// Bytes bytes of the old text from Offset.
type Op struct {
	Offset int    `json:"o,omitempty"`
	Bytes  int    `json:"n,omitempty"`
	Text   string `json:"t,omitempty"`
}

// Delta is a sequence of instructions that builds a text from an older one.
type Delta []Op

// minCopyBytes is the length below which inserting a line takes less space than
// copying it.
const minCopyBytes = 24

// Diff returns a delta from old to text, computed line by line. It reports
// false if text is not valid UTF-8, which the JSON of a delta cannot carry.
func Diff(old, text []byte) (Delta, bool) {
	if !utf8.Valid(text) {
		return nil, false
	}
	prefix := commonPrefix(old, text)
	suffix := commonSuffix(old[prefix:], text[prefix:])
	b := deltaBuilder{}
	b.copy(0, prefix)
	b.diffLines(old[prefix:len(old)-suffix], text[prefix:len(text)-suffix], prefix)
	b.copy(len(old)-suffix, suffix)
	return b.ops, true
}

// commonPrefix returns the number of bytes in the complete lines that a and b
// both begin with.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	i := 0
	for i < n && a[i] == b[i] {
		i++
	}
	return bytes.LastIndexByte(a[:i], '\n') + 1
}

// commonSuffix returns the number of bytes in the complete lines that a and b
// both end with.
func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	i := 0
	for i < n && a[len(a)-1-i] == b[len(b)-1-i] {
		i++
	}
	tail := a[len(a)-i:]
	if i == len(a) && i == len(b) {
		return i
	}
	at := bytes.IndexByte(tail, '\n')
	if at < 0 {
		return 0
	}
	return len(tail) - at - 1
}

// deltaBuilder appends instructions and merges adjacent ones.
type deltaBuilder struct{ ops Delta }

func (b *deltaBuilder) copy(offset, n int) {
	if n == 0 {
		return
	}
	if k := len(b.ops); k > 0 && b.ops[k-1].Text == "" && b.ops[k-1].Offset+b.ops[k-1].Bytes == offset {
		b.ops[k-1].Bytes += n
		return
	}
	b.ops = append(b.ops, Op{Offset: offset, Bytes: n})
}

func (b *deltaBuilder) insert(text []byte) {
	if len(text) == 0 {
		return
	}
	if k := len(b.ops); k > 0 && b.ops[k-1].Text != "" {
		b.ops[k-1].Text += string(text)
		return
	}
	b.ops = append(b.ops, Op{Text: string(text)})
}

// diffLines appends the instructions that build text from old. It matches a line
// with the line that follows the previous match, or else, if it has at least
// minCopyBytes, with the first equal line of old. oldOffset is the offset of old
// in the complete old text.
func (b *deltaBuilder) diffLines(old, text []byte, oldOffset int) {
	firstOffset := make(map[string]int)
	for at := 0; at < len(old); {
		line := firstLine(old[at:])
		if _, ok := firstOffset[string(line)]; !ok {
			firstOffset[string(line)] = at
		}
		at += len(line)
	}
	nextOffset, unmatched := -1, 0
	for at := 0; at < len(text); {
		line := firstLine(text[at:])
		matchOffset, ok := nextOffset, nextOffset >= 0 && bytes.HasPrefix(old[nextOffset:], line)
		if !ok && len(line) >= minCopyBytes {
			matchOffset, ok = firstOffset[string(line)]
		}
		if ok {
			b.insert(text[unmatched:at])
			b.copy(oldOffset+matchOffset, len(line))
			nextOffset, unmatched = matchOffset+len(line), at+len(line)
		} else {
			nextOffset = -1
		}
		at += len(line)
	}
	b.insert(text[unmatched:])
}

// firstLine returns the first line of text with its newline, if it has one.
func firstLine(text []byte) []byte {
	if at := bytes.IndexByte(text, '\n'); at >= 0 {
		return text[:at+1]
	}
	return text
}

// Apply builds the text from old. It returns ErrDamaged if an instruction is invalid,
// the text exceeds MaxStoredTextBytes or its checksum is not want.
func (d Delta) Apply(old []byte, want Checksum) ([]byte, error) {
	size := 0
	for i, op := range d {
		if op.Text == "" && (op.Offset < 0 || op.Bytes < 0 || op.Bytes > len(old) || op.Offset > len(old)-op.Bytes) {
			return nil, trace.Wrap(ErrDamaged, "delta instruction %d copies bytes %d to %d of %d", i, op.Offset, op.Offset+op.Bytes, len(old))
		}
		size += max(op.Bytes, len(op.Text))
		if size > MaxStoredTextBytes {
			return nil, trace.Wrap(ErrDamaged, "delta instruction %d makes the text exceed %d bytes", i, MaxStoredTextBytes)
		}
	}
	out := make([]byte, 0, size)
	for _, op := range d {
		if op.Text != "" {
			out = append(out, op.Text...)
		} else {
			out = append(out, old[op.Offset:op.Offset+op.Bytes]...)
		}
	}
	if got := ChecksumOf(out); got != want {
		return nil, trace.Wrap(ErrDamaged, "delta produced checksum %s, want %s", got, want)
	}
	return out, nil
}

// size returns the approximate number of bytes of the delta in JSON.
func (d Delta) size() int {
	n := 0
	for _, op := range d {
		n += 24 + len(op.Text)
	}
	return n
}
