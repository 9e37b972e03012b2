package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRefusalsInOrder guards against refusals of pipelined requests that overtake the
// answers to earlier ones, also from a server that is slow.
func TestRefusalsInOrder(t *testing.T) {
	g := NewWithT(t)
	s := startBackend(t, func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		time.Sleep(20 * time.Millisecond)
		return answerOK(s, c, r, body)
	})
	f := startGateway(t, s)
	f.setWorkspaces(t, nil, testWorkspace)
	conn, in := f.dial(t)
	var all strings.Builder
	for i := range 8 {
		key := "X-Credential: " + secretKey
		if i%2 == 1 {
			key = "X-Credential: guess"
		}
		all.WriteString(requestWith("GET", "/get/a", fmt.Sprint("r", i), "", key))
	}
	_, _ = io.WriteString(conn, all.String())
	for i := range 8 {
		status, body, _ := readAnswer(in)
		if i%2 == 1 {
			g.Expect(status).To(Equal(401))
			continue
		}
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(Equal(fmt.Sprintf("answer to r%d ", i)))
	}
	g.Expect(s.runs.Load()).To(Equal(int32(4)))
}

// TestRefusalBeforeBody guards against a refusal that waits for the body, and against a
// connection that ends, or takes the body for a request, after it.
func TestRefusalBeforeBody(t *testing.T) {
	const head = "POST /post/a HTTP/1.1\r\nHost: x\r\nX-Id: p\r\n"
	hidden := requestWith("POST", "/post/a", "hidden", "", "X-Credential: "+secretKey)
	for _, c := range []struct {
		desc, head, body string
		age              time.Duration
		want             int
	}{
		{"length", fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(hidden)), hidden, 0, 401},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden), 0, 401},
		{"the greatest body that is dropped", fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, maxBufferedBody), strings.Repeat("x", maxBufferedBody), 0, 401},
		{"unknown key on a stale copy", fmt.Sprintf("%sX-Credential: guess\r\nContent-Length: 4\r\n\r\n", head), "body", time.Minute, 503},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := startBackend(t, answerOK)
			f := startGatewayWith(t, func(f *fixture) { f.g.cfg.Age = func() time.Duration { return c.age } }, s)
			f.setWorkspaces(t, nil, testWorkspace)
			conn, in := f.dial(t)
			for range 2 {
				_, _ = io.WriteString(conn, c.head)
				status, _, _ := readAnswer(in)
				g.Expect(status).To(Equal(c.want))
				_, _ = io.WriteString(conn, c.body)
			}
			_, _ = io.WriteString(conn, requestWith("POST", "/post/a", "last", "body", "X-Credential: "+secretKey))
			status, body, _ := readAnswer(in)
			g.Expect(status).To(Equal(200))
			g.Expect(body).To(Equal("answer to last body"))
			g.Expect(s.runs.Load()).To(Equal(int32(1)))
		})
	}
}

// TestRefusalAfterContinue guards against a caller that waits for an interim answer before
// its body, and after a refusal sends bytes that are taken for a request.
func TestRefusalAfterContinue(t *testing.T) {
	g := NewWithT(t)
	s := startBackend(t, answerOK)
	f := startGateway(t, s)
	f.setWorkspaces(t, nil, testWorkspace)
	conn, in := f.dial(t)
	_, _ = io.WriteString(conn, "POST /post/a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	status, _, _ := readAnswer(in)
	g.Expect(status).To(Equal(100))
	_, _ = io.WriteString(conn, "body")
	status, _, _ = readAnswer(in)
	g.Expect(status).To(Equal(401))
	_, _ = io.WriteString(conn, requestWith("POST", "/post/a", "last", "body", "X-Credential: "+secretKey))
	status, _, _ = readAnswer(in)
	g.Expect(status).To(Equal(200))
	g.Expect(s.runs.Load()).To(Equal(int32(1)))
}

// TestRefusalOfLargeBody guards against a refusal that is lost, or that reaches a server,
// because the body is too large to be read before.
func TestRefusalOfLargeBody(t *testing.T) {
	g := NewWithT(t)
	s := startBackend(t, answerOK)
	f := startGateway(t, s)
	f.setWorkspaces(t, nil, testWorkspace)
	conn, in := f.dial(t)
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /post/a HTTP/1.1\r\nHost: x\r\nX-Id: p\r\nContent-Length: %d\r\n\r\n", 4<<20)
		_, _ = conn.Write(make([]byte, 4<<20))
		_, _ = io.WriteString(conn, requestWith("POST", "/post/a", "hidden", "", "X-Credential: "+secretKey))
	}()
	status, _, _ := readAnswer(in)
	g.Expect(status).To(Equal(401))
	status, _, _ = readAnswer(in)
	g.Expect(status).To(BeZero(), "the connection ends: the rest of the body is not read")
	g.Expect(s.runs.Load()).To(BeZero())
}
