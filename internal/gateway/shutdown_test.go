package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestDrainCompletesRequests guards against a shutdown that aborts requests in
// progress, leaves idle connections open, or omits "Connection: close" from the last
// answer, so that the caller sends another request.
func TestDrainCompletesRequests(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	slow := startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		if r.Header.Get("X-Id") == "b" {
			<-release
		}
		return sendAnswer(c, r, 200, "done")
	})
	f := startGateway(t, slow)
	idle, idleIn := f.dial(t)
	_, _ = io.WriteString(idle, rawRequest("GET", "/get/a", "i", ""))
	status, _, _ := readAnswer(idleIn)
	g.Expect(status).To(Equal(200))
	// InFlight may still count the first request when its answer has arrived.
	g.Eventually(f.front.InFlight, "1s").Should(BeZero())
	busy, busyIn := f.dial(t)
	_, _ = io.WriteString(busy, rawRequest("GET", "/get/a", "b", ""))
	g.Eventually(f.front.InFlight, "1s").Should(Equal(int64(1)))
	f.front.Drain()
	f.front.CloseIdle()
	releaseOnce()
	status, body, header := readAnswer(busyIn)
	g.Expect(status).To(Equal(200))
	g.Expect(body).To(Equal("done"))
	g.Expect(header.Get("Connection")).To(Equal("close"))
	_, err := idleIn.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
}

// TestLastAnswerArrives guards against an answer that is lost on its way to a slow caller, as
// the connection is closed behind it while the caller sends: another request at a shutdown,
// or the rest of a body that is refused.
func TestLastAnswerArrives(t *testing.T) {
	const size, window = 512 << 10, 64 << 10 // bytes of the answer, and of it that the caller takes at once
	large := startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		return sendAnswer(c, r, 200, strings.Repeat("x", size))
	})
	t.Run("request behind the last answer", func(t *testing.T) {
		g := NewWithT(t)
		f := startGateway(t, large)
		f.front.Drain()
		c, _ := f.dial(t)
		g.Expect(c.(*net.TCPConn).SetReadBuffer(window)).To(Succeed())
		_, err := io.WriteString(c, rawRequest("GET", "/get/a", "a", ""))
		g.Expect(err).NotTo(HaveOccurred())
		start := make([]byte, 1)
		_, err = io.ReadFull(c, start)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(100 * time.Millisecond) // the host has written its answer
		_, err = io.WriteString(c, rawRequest("GET", "/get/a", "b", ""))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(100 * time.Millisecond)
		f.front.CloseIdle() // as during a shutdown
		g.Expect(f.front.InFlight() + f.front.Lingering()).To(Equal(int64(1)))
		status, body, _ := readAnswer(bufio.NewReader(io.MultiReader(bytes.NewReader(start), c)))
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(HaveLen(size))
		g.Expect(c.Close()).To(Succeed())
		g.Eventually(f.front.Lingering, "1s").Should(BeZero())
	})
	t.Run("rest of a refused body", func(t *testing.T) {
		g := NewWithT(t)
		f := startGatewayWith(t, func(f *fixture) { f.setBodyLimit(1000) }, large)
		c, in := f.dial(t)
		_, err := io.WriteString(c, "POST /post/a HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		for range 10 {
			_, err = c.Write(make([]byte, 10000))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(5 * time.Millisecond)
		}
		status, _, _ := readAnswer(in)
		g.Expect(status).To(Equal(413))
	})
	t.Run("rest of a body that a server answers early", func(t *testing.T) {
		g := NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			// The server answers without reading the body.
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				sendAnswer(c, r, 200, strings.Repeat("x", size))
			}
			time.Sleep(2 * time.Second)
			_ = c.Close()
		}()
		f := startGateway(t, &testBackend{listener: listener})
		c, _ := f.dial(t)
		g.Expect(c.(*net.TCPConn).SetReadBuffer(window)).To(Succeed())
		_, err = io.WriteString(c, "POST /post/a HTTP/1.1\r\nHost: x\r\nX-Id: a\r\nX-Deadline: 2000\r\nContent-Length: 50000000\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		sent := make(chan error, 1)
		go func() {
			for range 30 {
				if _, err := c.Write(make([]byte, 100_000)); err != nil {
					sent <- err
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			sent <- nil
		}()
		g.Expect(<-sent).To(Succeed())
		status, body, _ := readAnswer(bufio.NewReader(c))
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(HaveLen(size))
	})
	t.Run("caller who stays", func(t *testing.T) {
		g := NewWithT(t)
		f := startGateway(t, large)
		f.front.Drain()
		c, in := f.dial(t)
		_, err := io.WriteString(c, rawRequest("GET", "/get/a", "a", ""))
		g.Expect(err).NotTo(HaveOccurred())
		status, _, _ := readAnswer(in)
		g.Expect(status).To(Equal(200))
		_, err = in.ReadByte()
		g.Expect(err).To(Equal(io.EOF), "the sending side is closed at once")
		g.Eventually(f.front.Lingering, 2*lingerTime).Should(BeZero())
	})
}

// TestShutdownRefusesLongRequests guards against a request that a host takes shortly before
// its end and then cuts: it must be refused at once, so that another host can run it, while
// those that are expected to end in time are served.
func TestShutdownRefusesLongRequests(t *testing.T) {
	g := NewWithT(t)
	const serviceTime = 200 * time.Millisecond
	server := startBackend(t, func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		time.Sleep(serviceTime)
		return answerOK(s, c, r, body)
	})
	f := startGateway(t, server)
	for i := range 5 { // the pool learns the service time
		status, _, _ := f.sendRequest(t, "POST", "/post/1", fmt.Sprint("before", i), "x")
		g.Expect(status).To(Equal(200))
	}
	f.g.EndBy(time.Now().Add(20 * serviceTime))
	status, _, _ := f.sendRequest(t, "POST", "/post/1", "short", "x")
	g.Expect(status).To(Equal(200))
	runs := server.runs.Load()
	f.g.EndBy(time.Now().Add(serviceTime / 2))
	status, _, header := f.sendRequest(t, "POST", "/post/1", "long", "x")
	g.Expect(status).To(Equal(503))
	g.Expect(header.Get("Connection")).To(Equal("close"))
	g.Expect(header.Get("Retry-After")).To(Equal("0.050"))
	g.Expect(server.runs.Load()).To(Equal(runs))
}
