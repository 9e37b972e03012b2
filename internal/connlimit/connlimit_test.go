package connlimit

import (
	"io"

	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// fakeConn is a connection that may have become busy when it is to be closed.
type fakeConn struct {
	name   string
	busy   bool
	closed bool
}

func (c *fakeConn) CloseIdle() bool {
	if c.busy {
		return false
	}
	c.closed = true
	return true
}

// TestLongestIdleMakesRoom guards against a bound that ends a connection with a request,
// or one that was used a moment ago, while another one has been idle for longer.
func TestLongestIdleMakesRoom(t *testing.T) {
	g := NewWithT(t)
	reports := 0
	l := New(3, func() { reports++ })
	a, b, c, d, e := &fakeConn{name: "a"}, &fakeConn{name: "b"}, &fakeConn{name: "c"}, &fakeConn{name: "d"}, &fakeConn{name: "e"}
	for _, conn := range []*fakeConn{a, b, c} {
		g.Expect(l.Open(conn)).To(BeTrue())
	}
	l.Busy(a)
	l.Busy(b)
	l.Idle(b)
	g.Expect(l.Open(d)).To(BeTrue())
	g.Expect(c.closed).To(BeTrue(), "idle for longer than b, and a has a request")
	b.busy = true // its request has arrived, but Busy comes later
	g.Expect(l.Open(e)).To(BeTrue())
	g.Expect(b.closed).To(BeFalse())
	g.Expect(d.closed).To(BeTrue())
	l.Busy(e)
	g.Expect(l.Open(&fakeConn{})).To(BeFalse(), "all are busy")
	g.Expect(l.Len()).To(Equal(3))
	g.Expect(reports).To(Equal(3))
	l.Close(a)
	g.Expect(l.Open(&fakeConn{})).To(BeTrue())
}

// TestLimitHolds guards against a bound that is exceeded, or that counts connections that
// have ended, after any sequence of events.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		l := New(limit, nil)
		var open []*fakeConn
		for range rapid.IntRange(0, 80).Draw(t, "events") {
			event := rapid.IntRange(0, 3).Draw(t, "event")
			if event == 0 {
				c := &fakeConn{}
				if l.Open(c) {
					open = append(open, c)
				} else {
					for _, other := range open {
						g.Expect(other.closed || other.busy).To(BeTrue(), "an idle connection remains")
					}
				}
			} else if len(open) > 0 {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "conn")
				c := open[i]
				switch {
				case event == 3 || c.closed:
					l.Close(c)
					open = append(open[:i], open[i+1:]...)
				case event == 1:
					c.busy = true
					l.Busy(c)
				default:
					c.busy = false
					l.Idle(c)
				}
			}
			alive := 0
			for _, c := range open {
				if !c.closed {
					alive++
				}
			}
			g.Expect(l.Len()).To(Equal(alive))
			g.Expect(alive).To(BeNumerically("<=", limit))
		}
	})
}

// TestHTTPServer guards against an HTTP server whose idle callers use up descriptors, and
// against one that ends a request in progress for a new caller.
func TestHTTPServer(t *testing.T) {
	g := NewWithT(t)
	const limit = 4
	l := New(limit, nil)
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		w.WriteHeader(http.StatusOK)
	}))
	server.Config.ConnState = l.ConnState()
	server.Start()
	defer server.Close()
	slow := make(chan int, 1)
	go func() {
		resp, err := http.Get(server.URL + "/slow")
		if err != nil {
			slow <- 0
			return
		}
		_ = resp.Body.Close()
		slow <- resp.StatusCode
	}()
	g.Eventually(l.Len, "2s").Should(Equal(1))
	for range 5 * limit {
		// Each keeps its connection.
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
		resp, err := client.Get(server.URL)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		g.Expect(l.Len()).To(BeNumerically("<=", limit))
	}
	close(release)
	g.Eventually(slow, "2s").Should(Receive(Equal(http.StatusOK)))
}
