package gateway

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

const statusTestHeader = "\r\nX-Id: i\r\nX-Signature: s\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nok"

// TestStatusLine guards against an answer that is passed on, or taken for a refusal, although
// its first line is no status line of HTTP/1, and against one that is taken for an interim
// answer.
func TestStatusLine(t *testing.T) {
	for _, c := range []struct {
		line string
		ok   bool
	}{
		{"HTTP/1.1 400 X", true}, {"HTTP/1.1 400", true}, {"HTTP/1.1 400 ", true}, {"HTTP/1.0 400 X", true}, {"HTTP/1.1 599 X", true},
		{"HTTP/1.1 000 X", false}, {"HTTP/1.1 099 X", false}, {"HTTP/1.1 600 X", false}, {"HTTP/1.1 700 X", false}, {"HTTP/1.1 999 X", false},
		{"HTTP/1.1 2000 X", false}, {"HTTP/1.1 20 X", false}, {"HTTP/1.1 4 X", false}, {"HTTP/1.1 +40 X", false}, {"HTTP/1.1 -40 X", false}, {"HTTP/1.1 4e2 X", false}, {"HTTP/1.1 40x X", false}, {"HTTP/1.1 101 X", false},
		{"HTTP/2.0 400 X", false}, {"HTTP/2 400 X", false}, {"HTTP/0.9 400 X", false}, {"HTTP/3.0 400 X", false}, {"HTTP/1.10 400 X", false}, {"http/1.1 400 X", false},
		{"ICY 400 OK", false}, {"ICY 200 OK", false}, {"HTTP/1.1", false}, {"HTTP/1.1 ", false}, {"400 X", false}, {"", false},
	} {
		t.Run(c.line, func(t *testing.T) {
			g := NewWithT(t)
			want := dispatch.Failed
			if c.ok {
				want = dispatch.Shed
			}
			// The connection stays open, as deadlines of a pipe fail after its end.
			r := answerOfServerThat(t, c.line+statusTestHeader, func(net.Conn) {})
			g.Expect(r.answer).To(BeNil())
			g.Expect(r.result).To(Equal(want))
			g.Expect(r.mayHaveRun).To(Equal(!c.ok))
		})
	}
}

// TestStatusPassedOn guards against a status that no caller understands.
func TestStatusPassedOn(t *testing.T) {
	for _, c := range []struct {
		line string
		ok   bool
	}{
		{"HTTP/1.1 200 X", true}, {"HTTP/1.1 302 X", true}, {"HTTP/1.1 500 X", true}, {"HTTP/1.0 200 X", true}, {"HTTP/1.1 599 X", true},
		{"HTTP/1.1 000 X", false}, {"HTTP/1.1 099 X", false}, {"HTTP/1.1 600 X", false}, {"HTTP/1.1 999 X", false}, {"HTTP/1.1 2000 X", false},
		{"HTTP/2.0 200 X", false}, {"HTTP/1.1 20 X", false}, {"HTTP/1.1 +20 X", false}, {"ICY 200 OK", false}, {"HTTP/0.9 200 X", false},
	} {
		t.Run(c.line, func(t *testing.T) {
			g := NewWithT(t)
			r := answerOfServer(t, c.line+"\r\nX-Id: i\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok")
			g.Expect(r.answer != nil).To(Equal(c.ok))
			if !c.ok {
				g.Expect(r.result).To(Equal(dispatch.Failed))
				g.Expect(r.mayHaveRun).To(BeTrue())
			}
		})
	}
}

// TestInterimStatusLine guards against an answer that is passed on although an interim answer
// before it had no status line of HTTP/1, so that the server's bytes can't be trusted.
func TestInterimStatusLine(t *testing.T) {
	for _, c := range []struct {
		line string
		ok   bool
	}{
		{"HTTP/1.1 100 Continue", true}, {"HTTP/1.1 103 X", true}, {"HTTP/1.0 100 X", true}, {"HTTP/1.1 199 X", true},
		{"HTTP/1.1 101 X", false}, {"HTTP/1.1 000 X", false}, {"HTTP/1.1 099 X", false}, {"HTTP/1.1 10 X", false}, {"HTTP/1.1 +10 X", false},
		{"HTTP/1.1 1000 X", false}, {"HTTP/1.1 600 X", false}, {"HTTP/1.1 999 X", false}, {"HTTP/1.1 2000 X", false},
		{"HTTP/2.0 100 X", false}, {"HTTP/2.0 200 OK", false}, {"HTTP/0.9 103 X", false}, {"ICY 100 X", false}, {"ICY 200 OK", false}, {"HTTP/1.1 20", false},
	} {
		t.Run(c.line, func(t *testing.T) {
			g := NewWithT(t)
			r := answerOfServer(t, c.line+"\r\nX-Id: i\r\n\r\nHTTP/1.1 200 X\r\nX-Id: i\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok")
			g.Expect(r.answer != nil).To(Equal(c.ok))
			if !c.ok {
				g.Expect(r.result).To(Equal(dispatch.Failed))
			}
		})
	}
}

// TestChunksOverHTTP10 guards against chunk headers that reach the caller as a part of the
// body: HTTP/1.0 has no chunks, so that it is not known how such an answer is delimited.
func TestChunksOverHTTP10(t *testing.T) {
	const body = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for _, c := range []struct {
		desc, sent string
		ok         bool
	}{
		{"HTTP/1.1", "HTTP/1.1 200 X\r\nX-Id: i\r\nX-Signature: s\r\n" + body, true},
		{"HTTP/1.0", "HTTP/1.0 200 X\r\nX-Id: i\r\nX-Signature: s\r\n" + body, false},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 X\r\nX-Id: i\r\nX-Signature: s\r\nContent-Length: 12\r\n" + body, false},
		{"HTTP/1.0, other letter case", "HTTP/1.0 200 X\r\nX-Id: i\r\nX-Signature: s\r\ntransfer-encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"HTTP/1.0, name in a value", "HTTP/1.0 200 X\r\nX-Id: i\r\nX-Signature: s\r\nA: Transfer-Encoding:\r\nTransfer-Encoding-B: c\r\n\r\n", true},
		{"HTTP/1.1 after an interim answer of HTTP/1.0", "HTTP/1.0 100 X\r\n\r\nHTTP/1.1 200 X\r\nX-Id: i\r\nX-Signature: s\r\n" + body, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			r := answerOfServer(t, c.sent)
			g.Expect(r.answer != nil).To(Equal(c.ok))
			if c.ok && c.sent[len(c.sent)-len(body):] == body {
				g.Expect(string(r.answer.Body)).To(Equal("ok"))
			}
		})
	}
}
