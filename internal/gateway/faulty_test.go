package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/requesttarget"
	"github.com/galenabeam/galenabeam/internal/serverhold"
)

// writeWithoutEnd writes head and then part again and again until the other side closes.
func writeWithoutEnd(head, part string) func(*testBackend, net.Conn, *http.Request, string) bool {
	block := bytes.Repeat([]byte(part), max(1, (32<<10)/len(part)))
	return func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		if _, err := io.WriteString(c, strings.ReplaceAll(head, "{id}", r.Header.Get("X-Id"))); err != nil {
			return false
		}
		for {
			if _, err := c.Write(block); err != nil {
				return false
			}
		}
	}
}

// endlessAnswers are answers without end that must be cut off at a bound.
var endlessAnswers = []struct {
	desc, bound, head, part string
}{
	{"header line", "header bytes", "HTTP/1.1 200 OK\r\nA: ", "a"},
	{"status line", "header bytes", "HTTP/1.1 200 ", "a"},
	{"header lines", "header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"interim answers", "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"interim answers with headers", "interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	{"body of an answer to another request", "bytes of an unused body", "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
	{"body of an answer that ends with the connection, to another request", "bytes of an unused body", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "abcde"},
	{"body of a refusal", "bytes of an unused body", "HTTP/1.1 503 X\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
	{"chunk header", "", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1"},
	{"chunk extension", "", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"trailer", "", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "A: b\r\n"},
	{"bytes that are no answer", "header bytes", "", "\x00\x01"},
}

// TestEndlessAnswers guards against a caller that waits until its deadline, and memory
// that grows, while a faulty server sends bytes without end. The request may have run,
// so that only a repeatable one is tried again.
func TestEndlessAnswers(t *testing.T) {
	for _, c := range endlessAnswers {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			for _, r := range []struct {
				method, path string
				want         int
			}{{"GET", "/get/a", 200}, {"POST", "/post/a", 502}} {
				bad, healthy := startBackend(t, writeWithoutEnd(c.head, c.part)), startBackend(t, answerOK)
				f := startGateway(t, bad, healthy)
				var logged syncBuffer
				log := logrus.New()
				log.SetOutput(&logged)
				f.g.cfg.Log = log
				f.preferServer(bad, "b0")
				started := time.Now()
				status, _, _ := f.sendRequest(t, r.method, r.path, "id", "")
				g.Expect(status).To(Equal(r.want), r.path)
				g.Expect(time.Since(started)).To(BeNumerically("<", time.Second), r.path)
				g.Eventually(bad.disconnectedOrDone, "1s").Should(BeTrue())
				if c.bound != "" {
					g.Expect(strings.Count(logged.String(), fmt.Sprintf("bound=%q", c.bound))).To(Equal(1), logged.String())
				}
			}
		})
	}
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}
func (s *syncBuffer) String() string { s.mu.Lock(); defer s.mu.Unlock(); return s.b.String() }

// maxHeapGrowth is the memory above that of the idle process that servers which send
// without end may cost a host.
const maxHeapGrowth = 64 << 20

// TestMemoryUnderEndlessAnswers guards against a host that runs out of memory because
// many requests at once meet servers that send without end, in heads and in bodies that
// are passed on.
func TestMemoryUnderEndlessAnswers(t *testing.T) {
	if raceDetector {
		t.Skip("measures memory, which the race detector multiplies")
	}
	g := NewWithT(t)
	endless := append(endlessAnswers[:len(endlessAnswers):len(endlessAnswers)], struct{ desc, bound, head, part string }{
		"body that is passed on", "", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"})
	var servers []*testBackend
	for _, c := range endless {
		servers = append(servers, startBackend(t, writeWithoutEnd(c.head, c.part)))
	}
	f := startGateway(t, servers...)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse
	}
	runtime.GC()
	idle, peak := heap(), uint64(0)
	stop := make(chan struct{})
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			peak = max(peak, heap())
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	const callers, requests = 100, 3
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range requests {
				c, err := net.Dial("tcp", f.address)
				if err != nil {
					return
				}
				_ = c.SetDeadline(time.Now().Add(time.Second))
				_, _ = io.WriteString(c, rawRequest("GET", "/get/a", fmt.Sprint(i, "-", n), ""))
				buf := make([]byte, 4<<10)
				for {
					if _, err := c.Read(buf); err != nil {
						break
					}
				}
				_ = c.Close()
			}
		}()
	}
	wg.Wait()
	close(stop)
	<-sampled
	t.Logf("heap: idle %d KiB, peak %d KiB", idle>>10, peak>>10)
	g.Expect(peak - min(peak, idle)).To(BeNumerically("<", maxHeapGrowth))
}

// TestRefusalSentAgain guards against a refusal of an earlier request that a faulty
// server sends once more on a kept connection: the caller would be told that its request
// has not run, or the request would run at a second server.
func TestRefusalSentAgain(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n{id}Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nRetry-After: 3\r\n{id}Content-Length: 4\r\n\r\nbusy",
		"HTTP/1.1 429 X\r\nX-Not-Run: 1\r\n{id}Content-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\n{id}Content-Length: 0\r\n\r\n",
		"HTTP/1.1 400 X\r\nX-Not-Run: 1\r\n{id}Content-Length: 0\r\n\r\n",
	} {
		for _, id := range []string{"", "X-Id: earlier\r\n"} {
			t.Run(refusal[9:12]+" "+id, func(t *testing.T) {
				g := NewWithT(t)
				again := startBackend(t, func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
					if s.runs.Load() > 1 {
						_, _ = io.WriteString(c, strings.ReplaceAll(refusal, "{id}", id))
						time.Sleep(50 * time.Millisecond)
					}
					return answerOK(s, c, r, body)
				})
				other := startBackend(t, answerOK)
				f := startGateway(t, again, other)
				f.preferServer(again, "b0")
				for i := range 2 {
					status, body, _ := f.sendRequest(t, "POST", "/post/a", fmt.Sprint("p", i), "x")
					g.Expect(status).To(Equal(200))
					g.Expect(body).To(Equal(fmt.Sprintf("answer to p%d x", i)))
				}
				g.Expect(other.runs.Load()).To(BeZero())
				g.Expect(f.g.holds.held()).To(BeEmpty())
			})
		}
	}
}

// TestFalsePromise guards against a promise that a request has not run which its server
// has not made: it answered 503, 429 or 408 without saying so, said so of another
// request on a new connection, or broke off its refusal.
func TestFalsePromise(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 503 X\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 X\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 408 X\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 X\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 X\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 10\r\n\r\nbusy",
	} {
		t.Run(strings.ReplaceAll(answer[9:], "\r\n", " "), func(t *testing.T) {
			g := NewWithT(t)
			bad := startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
				_, _ = io.WriteString(c, strings.ReplaceAll(answer, "{id}", r.Header.Get("X-Id")))
				return false
			})
			other := startBackend(t, answerOK)
			f := startGateway(t, bad, other)
			f.preferServer(bad, "b0")
			status, _, _ := f.sendRequest(t, "POST", "/post/a", "p", "x")
			g.Expect(status).To(Equal(502))
			g.Expect(other.runs.Load()).To(BeZero())
		})
	}
}

// TestServerLeaves guards against requests to a server whose answer said that it leaves,
// idle connections that keep it busy, and requests in flight that are cut off.
func TestServerLeaves(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	leaving := startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		if r.URL.Path == "/post/slow" {
			<-release
		}
		return sendAnswer(c, r, 200, "from leaving", "X-Leaving: 1")
	})
	other := startBackend(t, answerOK)
	f := startGateway(t, leaving, other)
	f.preferServer(leaving, "b0")
	slow := make(chan int, 1)
	go func() {
		c, in := f.dial(t)
		_, _ = io.WriteString(c, rawRequest("POST", "/post/slow", "slow", ""))
		status, _, _ := readAnswer(in)
		slow <- status
	}()
	go func() { time.Sleep(100 * time.Millisecond); close(release) }()
	g.Eventually(func() int32 { return leaving.runs.Load() }, "1s").Should(Equal(int32(1)))
	status, body, header := f.sendRequest(t, "GET", "/get/a", "g", "")
	g.Expect(status).To(Equal(200))
	g.Expect(body).To(Equal("from leaving"))
	g.Expect(header.Get("X-Leaving")).To(Equal("1"))
	g.Eventually(f.g.holds.held, "1s").Should(Equal([]string{"b0"}))
	for i := range 8 {
		status, body, _ = f.sendRequest(t, "GET", "/get/a", fmt.Sprint("after", i), "")
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(HavePrefix("answer to"))
	}
	g.Expect(<-slow).To(Equal(200))
	g.Expect(leaving.runs.Load()).To(Equal(int32(2)))
	f.g.upstream.mu.Lock()
	g.Expect(f.g.upstream.idle[serverOf(f.g.Snapshot().Backends["b0"])]).To(BeEmpty())
	f.g.upstream.mu.Unlock()
	state := f.g.selector.sharedPools["s"].pool.Dump(f.g.selector.now())
	g.Expect(state["b0"].Leaving).To(BeTrue(), "the dispatcher knows")
}

// TestServerAsksForPause guards against requests to a server during the time that it
// named when it refused one, and against a refusal with another Retry-After than that
// time if no other server is left.
func TestServerAsksForPause(t *testing.T) {
	g := NewWithT(t)
	busy := startBackend(t, func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		if s.runs.Load() == 1 {
			return sendAnswer(c, r, 503, "", "X-Not-Run: 1", "Retry-After: 1.5")
		}
		return answerOK(s, c, r, body)
	})
	f := startGateway(t, busy)
	started := time.Now()
	status, _, _ := f.sendRequest(t, "POST", "/post/a", "first", "x")
	g.Expect(status).To(Equal(503))
	status, _, header := f.sendRequest(t, "POST", "/post/a", "second", "x")
	g.Expect(status).To(Equal(503))
	var after float64
	_, err := fmt.Sscan(header.Get("Retry-After"), &after)
	g.Expect(err).NotTo(HaveOccurred())
	left := 1.5 - time.Since(started).Seconds()
	g.Expect(after).To(BeNumerically(">=", left-0.01))
	g.Expect(after).To(BeNumerically("<=", 1.5))
	g.Expect(busy.runs.Load()).To(Equal(int32(1)))
	time.Sleep(time.Duration(after * float64(time.Second)))
	status, _, _ = f.sendRequest(t, "POST", "/post/a", "third", "x")
	g.Expect(status).To(Equal(200))
}

// TestParseRetryAfter guards against malformed and absurd times.
func TestParseRetryAfter(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		value string
		want  time.Duration
	}{
		{"", 0}, {"0", 0}, {"-3", 0}, {"soon", 0}, {"NaN", 0}, {"Wed, 21 Oct 2026 07:28:00 GMT", 0},
		{"0.25", 250 * time.Millisecond}, {" 2 ", 2 * time.Second},
		{"90", 90 * time.Second}, {"600", 10 * time.Minute}, {"1e300", serverhold.MaxRetryAfter}, {"Inf", serverhold.MaxRetryAfter}, {"9223372036854775807", serverhold.MaxRetryAfter},
	} {
		g.Expect(parseRetryAfter(c.value)).To(Equal(c.want), c.value)
	}
}

// TestAnswerCutAnywhere guards against an answer that a server breaks off, at any byte of its
// head or body, and that reaches the caller as whole.
func TestAnswerCutAnywhere(t *testing.T) {
	for _, c := range []struct {
		desc, head, body string
	}{
		{"length", "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: sig\r\nContent-Length: 12\r\n\r\n", "twelve bytes"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n", "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"},
		{"end of the connection", "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: sig\r\nConnection: close\r\n\r\n", ""},
		{"bare line feeds", "HTTP/1.1 200 OK\nX-Id: i\nX-Signature: sig\nContent-Length: 12\n\n", "twelve bytes"},
		{"folded line", "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: sig\r\n \t\r\nContent-Length: 12\r\n\r\n", "twelve bytes"},
		{"interim answer", "HTTP/1.1 103 X\r\nX-Id: i\r\nX-Signature: sig\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: sig\r\nContent-Length: 12\r\n\r\n", "twelve bytes"},
		{"no content", "HTTP/1.1 204 X\r\nX-Id: i\r\nX-Signature: sig\r\n\r\n", ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			whole := c.head + c.body
			for length := range len(whole) {
				r := answerOfServer(t, whole[:length])
				g.Expect(r.answer).To(BeNil(), "%q", whole[:length])
				g.Expect(r.mayHaveRun).To(BeTrue())
			}
			g.Expect(answerOfServer(t, whole).answer).NotTo(BeNil())
		})
	}
}

// answerOfServer returns the reply to a request that a server answers with some bytes and the
// end of the connection.
func answerOfServer(t *testing.T, sent string) reply {
	t.Helper()
	return answerOfServerThat(t, sent, func(far net.Conn) { _ = far.Close() })
}

// answerOfServerThat returns the reply to a request that a server answers with some bytes,
// after which it calls then.
func answerOfServerThat(t *testing.T, sent string, then func(far net.Conn)) reply {
	t.Helper()
	u := newUpstream(testHeaders)
	near, far := net.Pipe()
	u.dialContext = func(context.Context, string, string) (net.Conn, error) { return near, nil }
	go func() {
		defer then(far)
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, sent)
		}
	}()
	request, err := http.NewRequest("POST", "http://x/post/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return u.do(context.Background(), &upstreamCall{
		backend: &fleet.Backend{ID: "b"}, request: &Request{HTTP: request, Target: requesttarget.Target{Path: "/post/1"}}, header: http.Header{}, id: "i", deadline: time.Now().Add(time.Second),
	})
}
