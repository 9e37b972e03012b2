package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/connlimit"
)

// TestConnectionLimit guards against idle connections of callers that keep new callers out,
// and against a request that is cut to make room: one that is running, one that arrives, and
// pipelined ones.
func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	server := startBackend(t, func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == "/post/slow" {
			<-release
		}
		return answerOK(s, c, r, body)
	})
	const limit = 4
	f := startGatewayWith(t, func(f *fixture) { f.front.ConnLimit = connlimit.New(limit, nil) }, server)
	running, runningIn := f.dial(t)
	_, err := io.WriteString(running, rawRequest("POST", "/post/slow", "slow", "x")+rawRequest("POST", "/post/slow", "behind", "x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(server.runs.Load, "2s").Should(Equal(int32(2)))
	arriving, arrivingIn := f.dial(t)
	whole := rawRequest("POST", "/post/later", "later", "x")
	_, err = io.WriteString(arriving, whole[:20])
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.front.readingConns, "2s").Should(Equal(1))

	for i := range 10 * limit {
		// Each keeps its connection. A caller may get his answer before the host counts his
		// connection as idle; the next one is then turned away unread and comes again.
		g.Eventually(func() int {
			c, in := f.dial(t)
			_, _ = io.WriteString(c, rawRequest("GET", "/get/1", fmt.Sprint(i), ""))
			status, _, _ := readAnswer(in)
			return status
		}, "2s").Should(Equal(200))
		g.Expect(f.front.ConnLimit.Len()).To(BeNumerically("<=", limit))
	}
	_, err = io.WriteString(arriving, whole[20:])
	g.Expect(err).NotTo(HaveOccurred())
	status, body, _ := readAnswer(arrivingIn)
	g.Expect(status).To(Equal(200))
	g.Expect(body).To(Equal("answer to later x"))
	close(release)
	for _, id := range []string{"slow", "behind"} {
		status, body, _ := readAnswer(runningIn)
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(Equal("answer to " + id + " x"))
	}
	g.Eventually(f.front.InFlight, "2s").Should(BeZero())
}

// readingConns returns the number of connections on which a request arrives.
func (f *Front) readingConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		c.mu.Lock()
		if c.reading {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// TestBusyConnectionsStay guards against a new caller who ends another one's request, or
// waits, while all connections have requests: the connection must end unread, so that the
// caller may go to another host.
func TestBusyConnectionsStay(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	server := startBackend(t, func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		<-release
		return answerOK(s, c, r, body)
	})
	const limit = 2
	f := startGatewayWith(t, func(f *fixture) { f.front.ConnLimit = connlimit.New(limit, nil) }, server)
	var answers []func() int
	for i := range limit {
		c, in := f.dial(t)
		_, err := io.WriteString(c, rawRequest("POST", "/post/1", fmt.Sprint(i), "x"))
		g.Expect(err).NotTo(HaveOccurred())
		answers = append(answers, func() int { status, _, _ := readAnswer(in); return status })
	}
	g.Eventually(server.runs.Load, "2s").Should(Equal(int32(limit)))
	c, _ := f.dial(t)
	_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
	close(release)
	for _, answer := range answers {
		g.Expect(answer()).To(Equal(200))
	}
}

// TestOnlyIdleConnectionIsGivenUp guards against a connection that is closed for another
// although it has become busy since the limit chose it, and against one that is said to be
// closed and is not.
func TestOnlyIdleConnectionIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		desc    string
		pending int
		reading bool
		want    bool
	}{
		{"idle", 0, false, true},
		{"a request runs", 1, false, false},
		{"a request arrives", 0, true, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			near, far := net.Pipe()
			defer func() { _, _ = near.Close(), far.Close() }()
			conn := &frontConn{front: NewFront(nil), nc: near, open: make([]*exchange, c.pending), reading: c.reading}
			g.Expect(conn.CloseIdle()).To(Equal(c.want))
			g.Expect(conn.finished).To(Equal(c.want), "accepts no further request")
		})
	}
}
