package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

// writeUnread writes an answer's head and then its body until a write makes no progress,
// because the answer is not read.
func writeUnread(c net.Conn, head string, chunked bool) {
	block := strings.Repeat("a", 64<<10)
	if chunked {
		block = fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	}
	_, _ = io.WriteString(c, head)
	for {
		_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
	}
}

// serverState returns what the dispatcher knows of b0.
func serverState(f *fixture) dispatch.ServerState {
	sel := f.g.selector
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return sel.sharedPools["s"].pool.Dump(sel.now())["b0"]
}

// TestUnreadAnswerCut guards against an answer that its server cuts off because the caller
// does not read it, and that reaches the caller as complete, against a server that counts as
// failed because of it, and against a slot that the dispatcher keeps for a slow caller.
func TestUnreadAnswerCut(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\n"
	for _, framing := range []struct {
		desc, head string
		chunked    bool
	}{
		{"length", head + "Content-Length: 1073741824\r\n\r\n", false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", true},
		{"no length", head + "\r\n", false},
	} {
		for _, reset := range []bool{false, true} {
			for _, path := range []string{"/get/a", "/post/a"} {
				t.Run(fmt.Sprint(framing.desc, ", reset=", reset, path), func(t *testing.T) {
					g := NewWithT(t)
					blocked, cut := make(chan struct{}), make(chan struct{})
					s := startBackend(t, func(_ *testBackend, c net.Conn, _ *http.Request, _ string) bool {
						writeUnread(c, framing.head, framing.chunked)
						close(blocked)
						<-cut
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					var skipped atomic.Int64 // time.Duration by which the clock was advanced
					f := startGatewayWith(t, func(f *fixture) {
						f.g.upstream.now = func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }
					}, s)
					c, in := f.dial(t)
					_, err := io.WriteString(c, rawRequest("POST", path, "p", "x"))
					g.Expect(err).NotTo(HaveOccurred())
					<-blocked
					g.Eventually(func() int { return serverState(f).InFlight }, "1s").Should(BeZero(), "the slot is free before the answer is read")
					skipped.Store(int64(maxUnreadTime))
					close(cut)
					g.Eventually(s.disconnectedOrDone, "2s").Should(BeTrue())
					status, _, _ := readAnswer(in)
					g.Expect(status).To(BeZero(), "the answer must not look complete")
					state := serverState(f)
					g.Expect(state.Failures).To(BeZero())
					g.Expect(state.Down).To(BeFalse())
				})
			}
		}
	}
}

// TestUnreadTime guards against an answer of a server that gave up that looks complete, and
// against one that is lost although the caller paused only briefly.
func TestUnreadTime(t *testing.T) {
	for _, c := range []struct {
		desc   string
		pauses []time.Duration // before each read
		whole  bool
	}{
		{"no pause", []time.Duration{0, 0, 0}, true},
		{"short pauses", []time.Duration{maxUnreadTime - 1, maxUnreadTime - 1, maxUnreadTime - 1}, true},
		{"long pause before the end", []time.Duration{0, 0, maxUnreadTime}, false},
		{"long pause before the first read", []time.Duration{maxUnreadTime, 0, 0}, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(0, 0)
			write := newRequestWrite()
			write.end(nil)
			resp := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("ab"))}
			write.checkEnd(t.Context(), resp, func() time.Time { return now })
			var err error
			for _, pause := range c.pauses {
				now = now.Add(pause)
				_, err = resp.Body.Read(make([]byte, 1))
			}
			want := errUnread
			if c.whole {
				want = io.EOF
			}
			g.Expect(err).To(MatchError(want))
		})
	}
}
