package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Bounds on what a backend server may send besides the body of a proper answer. The
// memory of a host and the time of a caller must not depend on a faulty server.
const (
	// maxHeadBytes bounds the bytes of the head of an answer, interim answers apart.
	maxHeadBytes = 32 << 10
	// maxHeadLines bounds its lines.
	maxHeadLines = 256
	// maxInterimAnswers bounds the answers with a status below 200 before an answer.
	maxInterimAnswers = 8
	// maxStaleAnswers is the number of answers to earlier requests that are skipped
	// before the connection is given up.
	maxStaleAnswers = 2
	// maxUnusedBodyBytes bounds the body of a skipped answer or of a refusal.
	maxUnusedBodyBytes = 64 << 10
	// maxUnusedBodyTime bounds the wait for such a body.
	maxUnusedBodyTime = 250 * time.Millisecond
)

// boundError reports that a backend server exceeded a bound.
type boundError struct{ bound string }

func (e *boundError) Error() string { return "answer exceeds the bound on " + e.bound }

// headReader reads from the connection to a backend server and bounds the heads of its
// answers. It counts up to the blank line that ends a head, so that it must lie below
// any buffer.
type headReader struct {
	r      io.Reader
	inHead bool
	bytes  int // of the head so far
	lines  int // complete lines of the head so far
	// lineLength is the number of bytes of the current line, without CR.
	lineLength int
	// field is the beginning of the current line in lower case, to compare with
	// transferEncodingField.
	field [len(transferEncodingField)]byte
	// transferEncoding is set if the head has the field Transfer-Encoding.
	transferEncoding bool
	exceeded         *boundError
}

// transferEncodingField begins the line of a Transfer-Encoding in lower case. A line with a
// space before the colon is malformed for http.ReadResponse.
const transferEncodingField = "transfer-encoding:"

// begin starts to count a head. buffered holds the bytes that were read already.
func (h *headReader) begin(buffered []byte) error {
	h.inHead, h.bytes, h.lines, h.lineLength, h.transferEncoding = true, 0, 0, 0, false
	return h.count(buffered)
}

// count adds bytes of the head and returns an error if they exceed a bound.
func (h *headReader) count(p []byte) error {
	for _, b := range p {
		if !h.inHead {
			return nil
		}
		h.bytes++
		switch {
		case b == '\n' && h.lineLength == 0:
			h.inHead = false
		case b == '\n':
			h.lines++
			h.lineLength = 0
		case b != '\r':
			h.addToLine(b)
		}
	}
	switch {
	case h.bytes > maxHeadBytes:
		h.exceeded = &boundError{"header bytes"}
	case h.lines > maxHeadLines:
		h.exceeded = &boundError{"header lines"}
	default:
		return nil
	}
	return h.exceeded
}

// addToLine adds a byte to the current line.
func (h *headReader) addToLine(b byte) {
	if h.lineLength < len(h.field) {
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		h.field[h.lineLength] = b
	}
	h.lineLength++
	if h.lineLength == len(h.field) && string(h.field[:]) == transferEncodingField {
		h.transferEncoding = true
	}
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.exceeded != nil {
		return 0, h.exceeded
	}
	n, err := h.r.Read(p)
	if cerr := h.count(p[:n]); cerr != nil {
		return 0, cerr
	}
	return n, err
}

// readHead reads the head of the next final answer to r.
func (c *upstreamConn) readHead(r *http.Request) (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		buffered, err := c.br.Peek(c.br.Buffered())
		if err != nil {
			return nil, err
		}
		if err := c.head.begin(buffered); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.br, r)
		if err != nil {
			if c.head.exceeded != nil {
				return nil, c.head.exceeded
			}
			return nil, err
		}
		if err := checkStatusLine(resp); err != nil {
			return nil, err
		}
		if resp.ProtoMinor == 0 && c.head.transferEncoding {
			return nil, errTransferEncoding
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, &boundError{"interim answers"}
}

// errTransferEncoding is returned for an answer of HTTP/1.0 with a Transfer-Encoding, which
// net/http ignores: it is not known how the body is delimited (RFC 9112, section 6.1).
var errTransferEncoding = errors.New("answer of HTTP/1.0 has a Transfer-Encoding")

// checkStatusLine returns an error unless the version is HTTP/1.x and the status has three
// digits from 100 to 599 and does not switch protocols. http.ReadResponse accepts a status
// of three characters, and a sign makes its number less than 100.
func checkStatusLine(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("unexpected version %s", resp.Proto)
	}
	if resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	return nil
}

// discardBody reads the body of an answer that is not passed on, within the bounds.
func (c *upstreamConn) discardBody(resp *http.Response) error {
	if err := c.SetReadDeadline(time.Now().Add(maxUnusedBodyTime)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnusedBodyBytes+1))
	if n > maxUnusedBodyBytes {
		return &boundError{"bytes of an unused body"}
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &boundError{"time of an unused body"}
	}
	if err != nil {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

const (
	// bodyMemory bounds the memory of all bodies that are buffered beyond the first
	// minBufferedBody bytes of each, one budget for requests and one for answers.
	bodyMemory = 8 << 20
	// minBufferedBody is the size in bytes up to which a body is buffered in any case.
	minBufferedBody = 64 << 10
)

// memoryBudget is a bound on memory that several goroutines use.
type memoryBudget struct{ used atomic.Int64 }

// take reserves n bytes and reports whether the budget allowed it.
func (m *memoryBudget) take(n int64) bool {
	if m.used.Add(n) > bodyMemory {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *memoryBudget) give(n int64) { m.used.Add(-n) }

// readUpTo reads a body of at most limit bytes, and at most minBufferedBody if the
// budget has no room for more. It returns the bytes, whether the body ended, and the
// number of bytes reserved in the budget, which the caller gives back. length is the
// size of the body in bytes, -1 if it is not known.
func (m *memoryBudget) readUpTo(r io.Reader, length, limit int64) (body []byte, ended bool, reserved int64, err error) {
	want := limit
	if length >= 0 {
		want = min(limit, length)
	}
	first := min(want, minBufferedBody)
	body, ended, err = readPart(r, nil, first)
	if err != nil || ended || int64(len(body)) == want {
		return body, ended || int64(len(body)) == length, 0, err
	}
	reserved = want - first
	if !m.take(reserved) {
		return body, false, 0, nil
	}
	whole := make([]byte, len(body), want)
	copy(whole, body)
	body, ended, err = readPart(r, whole, want)
	return body, ended || int64(len(body)) == length, reserved, err
}

// readPart appends to body until it has size bytes or the reader ends.
func readPart(r io.Reader, body []byte, size int64) (_ []byte, ended bool, err error) {
	for int64(len(body)) < size {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(size, max(2*int64(cap(body)), readBuffer)))
			copy(grown, body)
			body = grown
		}
		n, err := r.Read(body[len(body):min(int64(cap(body)), size)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}
