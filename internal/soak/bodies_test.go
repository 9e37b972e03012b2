package soak

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	// largePath is the path whose answers are large.
	largePath = "/get/large"
	// largeAnswerBytes exceeds what the hosts and the sockets buffer of an answer that is not
	// read.
	largeAnswerBytes = 8 << 20
	// maxUploadBytes bounds the large uploads, below max_body_bytes of the configuration.
	maxUploadBytes = 900 << 10
	// unreadTimeout is the time after which a backend server cuts off an answer that is not
	// read, and less than slowPause.
	unreadTimeout = 1800 * time.Millisecond
	// slowPause is the time for which a slow caller stops reading an answer.
	slowPause = 3 * time.Second
	// socketBuffer is the size in bytes of the socket buffers of slow readers and of large
	// answers.
	socketBuffer = 128 << 10
	// uploadChunk and uploadPause are the pace at which a server reads uploads slowly.
	uploadChunk = 16 << 10
	uploadPause = 20 * time.Millisecond
	// severedPath is the path whose uploads each server answers with a large answer that has
	// no length, and then resets the connection.
	severedPath = "/upload/severed"
	// severedBytes is the size of such an upload. A host forwards what exceeds 1 MiB while it
	// still reads from the caller.
	severedBytes = 1500 << 10
	// heldBytes is the end of such an upload, which the caller holds back for heldTime, when
	// the server has reset the connection. The caller does not read meanwhile, so that the
	// answer fills the buffers and the host finds the reset when it writes.
	heldBytes = 16 << 10
	heldTime  = 800 * time.Millisecond
	// resetAfter is how long a server waits for such an answer to be read.
	resetAfter = 300 * time.Millisecond
	// noStatus stands for the status 000 in the record of a request.
	noStatus = -1
)

var largeFiller = strings.Repeat("large ", largeAnswerBytes/6)

// brief returns a short text unchanged, and the beginning and a hash of a long one.
func brief(text string) string {
	const maxBytes = 200
	if len(text) <= maxBytes {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes, %x)", text[:maxBytes/2], len(text), sha256.Sum256([]byte(text)))
}

// vary makes some requests large, public or slow, and returns the body.
func (c *caller) vary(r *request, body string) string {
	if c.greedy || r.probeVersion > 0 {
		return body
	}
	switch n := c.rng.Intn(100); {
	case r.idempotent && n < 2:
		r.path, r.large, r.slow = largePath, true, n < 1
	case r.idempotent && n < 14:
		r.path, r.public = "/public/x", true
	case !r.idempotent && n < 2:
		// The host may cut these, early or late.
		r.path, r.large, r.slow, r.severed = severedPath, true, true, true
		body += strings.Repeat(".", severedBytes)
	case !r.idempotent && n < 15:
		r.path, r.large = "/upload/x", true
		body += strings.Repeat(".", c.rng.Intn(maxUploadBytes))
	}
	return body
}

// write sends the text of a request. It holds back the end of an upload to severedPath.
func (r *request) write(conn io.Writer, text string) error {
	if !r.severed {
		_, err := io.WriteString(conn, text)
		return err
	}
	held := len(text) - heldBytes
	if _, err := io.WriteString(conn, text[:held]); err != nil {
		return err
	}
	time.Sleep(heldTime)
	_, _ = io.WriteString(conn, text[held:]) // the answer counts also if the host reads no more
	time.Sleep(uploadPause)
	return nil
}

// slowReader reads answers from a connection; for slow requests it stops in between.
type slowReader struct {
	net.Conn
	pending *time.Duration
}

// Read implements io.Reader.
func (s slowReader) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 && *s.pending > 0 {
		time.Sleep(*s.pending)
		*s.pending = 0
	}
	return n, err
}

// uploadReader reads the body of a request, slowly if the server reads uploads so.
type uploadReader struct {
	io.Reader
	b *backend
}

// Read implements io.Reader.
func (u uploadReader) Read(p []byte) (int, error) {
	if u.b.slowUploads.Load() {
		time.Sleep(uploadPause)
		p = p[:min(len(p), uploadChunk)]
	}
	return u.Reader.Read(p)
}

// writeLarge writes a large answer, framed by its length, by chunks or by the end of the
// connection. It cuts off an answer that stays unread, with a reset or with a normal end of
// the connection, and reports whether the connection remains usable.
func (b *backend) writeLarge(c net.Conn, id, answer, extra string) bool {
	_ = c.(*net.TCPConn).SetWriteBuffer(socketBuffer)
	framing := len(id) + int(id[len(id)-1]) // differs from request to request
	frame := []string{fmt.Sprintf("Content-Length: %d\r\n", len(answer)), "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"}[framing%3]
	text := answer
	if framing%3 == 1 {
		half := len(answer) / 2
		text = fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, answer[:half], len(answer)-half, answer[half:])
	}
	text = fmt.Sprintf("HTTP/1.1 200 X\r\nGalenabeam-Request-Id: %s\r\n%s%s\r\n", id, extra, frame) + text
	for len(text) > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(unreadTimeout))
		n, err := io.WriteString(c, text[:min(len(text), socketBuffer)])
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				b.executionLog.cuts.Add(1)
			}
			if framing%2 == 0 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		}
		text = text[n:]
	}
	_ = c.SetWriteDeadline(time.Time{})
	return framing%3 != 2
}

// resetDuringUpload answers at once, without a length and with a part of the answer, and
// resets the connection while the body is still being written. On severedPath the part is
// large, and the reset follows when it is not read.
func (b *backend) resetDuringUpload(c net.Conn, r *http.Request) {
	e := b.execution(r, "")
	e.partial = true
	b.executionLog.resets.Add(1)
	id := r.Header.Get("Galenabeam-Request-Id")
	b.executionLog.record(id, e)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nGalenabeam-Request-Id: %s\r\nGalenabeam-Backend-Signature: %s\r\n\r\nanswer to", id, b.id)
	if r.URL.Path == severedPath {
		_ = c.SetWriteDeadline(time.Now().Add(resetAfter))
		_, _ = io.WriteString(c, largeFiller)
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, uploadChunk)
	time.Sleep(uploadPause)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// execution returns the record of a request that begins to run.
func (b *backend) execution(r *http.Request, body string) execution {
	e := execution{at: time.Now(), server: b.id, service: b.service, body: brief(body), workspaces: r.Header.Values("Galenabeam-Tenant-Id")}
	for name, values := range r.Header {
		e.hasKey = e.hasKey || name == "Galenabeam-Credential" || strings.Contains(strings.Join(values, ","), keyPrefix)
	}
	return e
}

// TestLargeAnswerTwice guards against a server of the harness that answers largePath with
// another answer than the callers expect.
func TestLargeAnswerTwice(t *testing.T) {
	b, err := newBackend("b1", "s", "z0", "127.0.0.1:0", &executionLog{executions: map[string][]execution{}})
	if err != nil {
		t.Fatal(err)
	}
	defer b.crash()
	b.answerFault.Store(answeredTwice)
	c, err := net.DialTimeout("tcp", b.link.l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	const id = "a-0" // its answer has a length
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nGalenabeam-Request-Id: %s\r\nGalenabeam-Expect-Instance: b1\r\n\r\n", largePath, id); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if raw, err := io.ReadAll(resp.Body); err != nil || string(raw) != expectedAnswer(id, "")+largeFiller {
			t.Fatalf("%d bytes, error %v", len(raw), err)
		}
	}
}
