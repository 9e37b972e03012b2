package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/requesttarget"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// TestRetryAfterShed guards against a long Retry-After when servers with free slots
// refuse, as waiting only makes the answer late, and a short one when slots are taken.
func TestRetryAfterShed(t *testing.T) {
	for _, c := range []struct {
		desc    string
		running int // requests that take the server's slots
		least   float64
		most    float64
	}{
		{"servers with free slots", 0, 0, 0.05},
		{"full servers", 8, 0.1, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			started, end := make(chan struct{}, 8), make(chan struct{})
			busy := startBackend(t, func(_ *testBackend, conn net.Conn, r *http.Request, _ string) bool {
				if r.URL.Path == "/post/busy" {
					started <- struct{}{}
					<-end
				}
				return sendAnswer(conn, r, 503, "", "X-Not-Run: 1")
			})
			f := startGateway(t, busy, busy) // two servers of four slots
			for i := range c.running {
				c, _ := f.dial(t)
				_, err := io.WriteString(c, rawRequest("POST", "/post/busy", fmt.Sprint("busy", i), "x"))
				g.Expect(err).NotTo(HaveOccurred())
				<-started
			}
			status, _, header := f.sendRequest(t, "POST", "/post/a", "one", "x")
			close(end)
			g.Expect(status).To(Equal(503))
			after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after).To(BeNumerically(">=", c.least))
			g.Expect(after).To(BeNumerically("<=", c.most))
		})
	}
}

// TestCancelAtDeadline guards against an attempt that is reported as abandoned, which
// says nothing about its server, because it was canceled at its deadline before its own
// context had expired: a server that never answers would stay in use.
func TestCancelAtDeadline(t *testing.T) {
	for _, c := range []struct {
		desc     string
		deadline time.Duration // from now
		want     dispatch.Result
	}{
		{"deadline has passed", -time.Millisecond, dispatch.TimedOut},
		{"another attempt answered before", time.Minute, dispatch.Abandoned},
	} {
		t.Run(c.desc, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			call := upstreamCall{request: &Request{}, deadline: time.Now().Add(c.deadline)}
			NewWithT(t).Expect(call.failedReply(ctx, net.ErrClosed).result).To(Equal(c.want))
		})
	}
}

// TestBrokenUpload guards against a caller's upload that breaks off and counts as a
// failure of the server, and against a body above the limit that is forwarded cut off as
// if it were complete.
func TestBrokenUpload(t *testing.T) {
	chunk := strings.Repeat("x", 1<<20)
	const limit = 4 << 20 // above maxBufferedBody, so that the body is forwarded as it arrives
	for _, c := range []struct {
		desc   string
		chunks int  // of 1 MiB
		end    bool // the last chunk is sent
		want   int
	}{
		{"caller disconnects", 3, false, 0},
		{"above the limit", 5, true, 413},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := startBackend(t, answerOK)
			f := startGatewayWith(t, func(f *fixture) { f.setBodyLimit(limit) }, s)
			conn, in := f.dial(t)
			go func() {
				_, _ = io.WriteString(conn, "POST /post/a HTTP/1.1\r\nHost: x\r\nX-Id: p\r\nX-Deadline: 2000\r\nTransfer-Encoding: chunked\r\n\r\n")
				for range c.chunks {
					_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
				}
				if c.end {
					_, _ = io.WriteString(conn, "0\r\n\r\n")
					return
				}
				_ = conn.(*net.TCPConn).CloseWrite()
			}()
			status, _, _ := readAnswer(in)
			g.Expect(status).To(Equal(c.want))
			g.Eventually(f.front.InFlight, "2s").Should(BeZero())
			g.Expect(s.runs.Load()).To(BeZero(), "the server got a complete body")
			state := f.g.selector.sharedPools["s"].pool.Dump(f.g.selector.now())
			g.Expect(state["b0"].Failures).To(BeZero())
		})
	}
}

// TestResetEndsAnswer guards against an answer without a length that is passed on as
// complete although its connection was reset.
func TestResetEndsAnswer(t *testing.T) {
	for _, size := range []int{100, 3 * maxBufferedAnswer} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(size, " reset=", reset), func(t *testing.T) {
				g := NewWithT(t)
				s := startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n\r\n%s", r.Header.Get("X-Id"), strings.Repeat("x", size))
					if reset {
						time.Sleep(50 * time.Millisecond) // the bytes arrive before the reset
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				f := startGateway(t, s)
				status, body, _ := f.sendRequest(t, "POST", "/post/a", "p", "")
				switch {
				case !reset:
					g.Expect(status).To(Equal(200))
					g.Expect(body).To(HaveLen(size))
				case size < maxBufferedAnswer:
					g.Expect(status).To(Equal(502))
				default:
					g.Expect(status).To(BeZero(), "the answer must not look complete")
				}
			})
		}
	}
}

// TestKeptConnectionClosed guards against a request that fails because the server closed
// the kept connection, although nothing of it was sent.
func TestKeptConnectionClosed(t *testing.T) {
	g := NewWithT(t)
	s := startBackend(t, answerOK)
	f := startGateway(t, s)
	status, _, _ := f.sendRequest(t, "POST", "/post/a", "p1", "x")
	g.Expect(status).To(Equal(200))
	u := f.g.upstream
	u.mu.Lock()
	conn := u.idle[serverOf(f.g.Snapshot().Backends["b0"])][0]
	u.mu.Unlock()
	call := &upstreamCall{backend: f.g.Snapshot().Backends["b0"], request: &Request{HTTP: &http.Request{Method: "POST", Host: "x"}, Target: requesttarget.Target{Path: "/post/a"}, Body: []byte("x"), Length: 1},
		header: http.Header{"X-Id": {"p2"}}, id: "p2", deadline: time.Now().Add(time.Second), maxIdleConns: 1}
	g.Expect(conn.Conn.(*net.TCPConn).CloseWrite()).To(Succeed()) // writes fail, as after a reset
	r := u.do(context.Background(), call)
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.result).To(Equal(dispatch.Served))
	g.Expect(s.runs.Load()).To(Equal(int32(2)))
}

// TestManyAttemptsAllowed guards against a request that takes memory for each attempt that a
// configuration allows.
func TestManyAttemptsAllowed(t *testing.T) {
	g := NewWithT(t)
	f := startGatewayWith(t, func(f *fixture) {
		s := f.g.Snapshot()
		table, err := routetable.New(2, defaultLimits, []routetable.Service{{Name: "s"}}, []routetable.Route{
			{Name: "get", Host: "x", Prefix: "/get/", Services: []routetable.WeightedService{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, MaxAttempts: math.MaxInt32},
		})
		g.Expect(err).NotTo(HaveOccurred())
		f.g.SetSnapshot(s.WithTable(table))
	}, startBackend(t, answerOK))
	const requests = 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range requests {
		status, _, _ := f.sendRequest(t, "GET", "/get/1", fmt.Sprint(i), "")
		g.Expect(status).To(Equal(200))
	}
	runtime.ReadMemStats(&after)
	g.Expect((after.TotalAlloc - before.TotalAlloc) / requests).To(BeNumerically("<", 1<<20))
}
