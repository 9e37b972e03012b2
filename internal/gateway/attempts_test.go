package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
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
