package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/attribution"
)

// scriptedConn is a connection that delivers bytes in pieces of the given sizes.
type scriptedConn struct {
	net.Conn
	rest []byte
	cuts []byte
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	n := min(len(p), len(c.rest))
	if len(c.cuts) > 0 {
		n = min(n, int(c.cuts[0])+1)
		c.cuts = c.cuts[1:]
	}
	copy(p, c.rest[:n])
	c.rest = c.rest[n:]
	return n, nil
}

func (*scriptedConn) SetReadDeadline(time.Time) error { return nil }

// ownAnswer is the answer of a server that ran the request "own".
const ownAnswer = "HTTP/1.1 200 OK\r\nX-Id: own\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody"

// foreignAnswers are what a faulty server may send besides on a kept connection.
var foreignAnswers = []string{
	"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: earlier\r\nContent-Length: 4\r\n\r\nbusy",
	"HTTP/1.1 429 X\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 400 X\r\nX-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: earlier\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nold",
	"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nold",
	"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 40\r\n\r\n", // swallows the head that follows
	"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n",                           // the head that follows continues it
	"\r\n",
	"X-Not-Run: 1\r\n\r\n",
	"\x00garbage",
}

// FuzzAttribution guards against a promise that a request has not run that its server
// ran, and against another answer that is passed on as its own, for any sequence and any
// cut of answers on a kept connection.
func FuzzAttribution(f *testing.F) {
	f.Add([]byte{255}, []byte{})
	for i := range foreignAnswers {
		f.Add([]byte{byte(i), 255}, []byte{})
		f.Add([]byte{byte(i), byte(len(foreignAnswers) - 1 - i), 255}, []byte{0, 3, 1, 40, 0, 0, 0, 200})
		f.Add([]byte{255, byte(i)}, []byte{16, 16, 16})
	}
	u := newUpstream(testHeaders)
	f.Fuzz(func(t *testing.T, script, cuts []byte) {
		var sent []byte
		for _, n := range script[:min(len(script), 64)] {
			if n == 255 {
				sent = append(sent, ownAnswer...)
				continue
			}
			sent = append(sent, foreignAnswers[int(n)%len(foreignAnswers)]...)
		}
		conn := newUpstreamConn(&scriptedConn{rest: sent, cuts: cuts})
		conn.kept = true
		call := &upstreamCall{id: "own", request: &Request{HTTP: &http.Request{Method: "POST"}}}
		var signals serverSignals
		resp, verdict, err := u.readResponse(conn, call, &signals)
		if err != nil {
			return
		}
		if verdict != attribution.PassOn || resp.Header.Get("X-Id") != "own" {
			t.Fatalf("verdict %v for status %d with id %q", verdict, resp.StatusCode, resp.Header.Get("X-Id"))
		}
	})
}

// FuzzAnswerBytes guards against a panic, and against a proof without the request's
// identity, for any bytes.
func FuzzAnswerBytes(f *testing.F) {
	f.Add([]byte(ownAnswer), []byte{}, true)
	for _, s := range foreignAnswers {
		f.Add([]byte(s+ownAnswer), []byte{1, 2, 3}, false)
	}
	u := newUpstream(testHeaders)
	f.Fuzz(func(t *testing.T, sent, cuts []byte, kept bool) {
		conn := newUpstreamConn(&scriptedConn{rest: sent, cuts: cuts})
		conn.kept = kept
		call := &upstreamCall{id: "own", request: &Request{HTTP: &http.Request{Method: "POST"}}}
		var signals serverSignals
		resp, verdict, err := u.readResponse(conn, call, &signals)
		if err != nil {
			return
		}
		own := resp.Header.Get("X-Id") == "own"
		if !own && (verdict != attribution.PassOn || kept || resp.StatusCode < 400) {
			t.Fatalf("verdict %v for status %d with id %q, kept %v", verdict, resp.StatusCode, resp.Header.Get("X-Id"), kept)
		}
		if signals.pause > 0 && !own {
			t.Fatal("pause from another answer")
		}
	})
}
