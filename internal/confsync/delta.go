package confsync

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"unicode/utf8"

	"github.com/gravitational/trace"
)

// Digest is the SHA-256 checksum of a text in hexadecimal digits.
type Digest string

// DigestOf returns the checksum of text.
func DigestOf(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(hex.EncodeToString(sum[:]))
}

// Op is one step of a Delta: it inserts Text, or copies Bytes bytes of the old
// text from Offset when Text is empty.
type Op struct {
	Offset int    `json:"o,omitempty"`
	Bytes  int    `json:"n,omitempty"`
	Text   string `json:"t,omitempty"`
}

// Delta builds a text from an older one by the steps in order.
type Delta []Op

// minCopyBytes is the length below which inserting a text costs less than
// naming its place in the old text.
const minCopyBytes = 24

// Diff returns a delta from old to text, computed line by line. It reports
// false if the text is not valid UTF-8, which a delta cannot carry.
func Diff(old, text []byte) (Delta, bool) {
	if !utf8.Valid(text) {
		return nil, false
	}
	prefix := commonPrefix(old, text)
	suffix := commonSuffix(old[prefix:], text[prefix:])
	b := deltaBuilder{}
	b.copy(0, prefix)
	b.middle(old[prefix:len(old)-suffix], text[prefix:len(text)-suffix], prefix)
	b.copy(len(old)-suffix, suffix)
	return b.ops, true
}

// commonPrefix returns the length of the whole lines that both begin with.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	i := 0
	for i < n && a[i] == b[i] {
		i++
	}
	return bytes.LastIndexByte(a[:i], '\n') + 1
}

// commonSuffix returns the length of the whole lines that both end with.
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

// middle matches lines of text with the first equal line of old, or with the
// line that follows the previous match. base is the offset of old.
func (b *deltaBuilder) middle(old, text []byte, base int) {
	first := make(map[string]int)
	for at := 0; at < len(old); {
		line := nextLine(old[at:])
		if _, ok := first[string(line)]; !ok {
			first[string(line)] = at
		}
		at += len(line)
	}
	follow, pending := -1, 0
	for at := 0; at < len(text); {
		line := nextLine(text[at:])
		from, ok := follow, follow >= 0 && bytes.HasPrefix(old[follow:], line)
		if !ok && len(line) >= minCopyBytes {
			from, ok = first[string(line)]
		}
		if ok {
			b.insert(text[pending:at])
			b.copy(base+from, len(line))
			follow, pending = from+len(line), at+len(line)
		} else {
			follow = -1
		}
		at += len(line)
	}
	b.insert(text[pending:])
}

// nextLine returns the first line of text with its newline, if it has one.
func nextLine(text []byte) []byte {
	if at := bytes.IndexByte(text, '\n'); at >= 0 {
		return text[:at+1]
	}
	return text
}

// Apply builds the text that d describes and checks it against want.
func (d Delta) Apply(old []byte, want Digest) ([]byte, error) {
	size := 0
	for i, op := range d {
		if op.Text == "" && (op.Offset < 0 || op.Bytes < 0 || op.Bytes > len(old) || op.Offset > len(old)-op.Bytes) {
			return nil, trace.Wrap(ErrDamaged, "delta step %d copies bytes %d to %d of %d", i, op.Offset, op.Offset+op.Bytes, len(old))
		}
		size += max(op.Bytes, len(op.Text))
		if size > MaxTextBytes {
			return nil, trace.Wrap(ErrDamaged, "delta step %d makes the text exceed %d bytes", i, MaxTextBytes)
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
	if got := DigestOf(out); got != want {
		return nil, trace.Wrap(ErrDamaged, "delta gives digest %s, not %s", got, want)
	}
	return out, nil
}

// size is the approximate number of bytes of the delta in JSON.
func (d Delta) size() int {
	n := 0
	for _, op := range d {
		n += 24 + len(op.Text)
	}
	return n
}
