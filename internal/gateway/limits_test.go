package gateway

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/routetable"
)

// TestLimitsWhenRequestArrives guards against a request that is checked against the limits of
// an earlier configuration, because its connection was waiting for it when the configuration
// changed.
func TestLimitsWhenRequestArrives(t *testing.T) {
	const (
		low, high           = 1000, 100_000 // bytes
		shortTime, longTime = 50 * time.Millisecond, 10 * time.Second
		headerStart         = "GET /get/a HTTP/1.1\r\nHost: x\r\n" // its end follows late, or never
	)
	upload := rawRequest("POST", "/post/a", "p", strings.Repeat("x", 10*low))
	// Larger than what is read beyond the limit of the header.
	longHeader := fmt.Sprintf("GET /get/a HTTP/1.1\r\nHost: x\r\nX-Id: p\r\nX-Long: %s\r\n\r\n", strings.Repeat("h", 10*low))
	for _, c := range []struct {
		desc     string
		from, to routetable.Limits
		request  string
		status   int
	}{
		{"body limit raised", routetable.Limits{BodyBytes: low}, routetable.Limits{BodyBytes: high}, upload, 200},
		{"body limit lowered", routetable.Limits{BodyBytes: high}, routetable.Limits{BodyBytes: low}, upload, 413},
		{"header limit raised", routetable.Limits{HeaderBytes: low}, routetable.Limits{HeaderBytes: high}, longHeader, 200},
		{"header limit lowered", routetable.Limits{HeaderBytes: high}, routetable.Limits{HeaderBytes: low}, longHeader, 431},
		{"header time raised", routetable.Limits{HeaderTimeout: shortTime}, routetable.Limits{HeaderTimeout: longTime}, headerStart, 200},
		{"header time lowered", routetable.Limits{HeaderTimeout: longTime}, routetable.Limits{HeaderTimeout: shortTime}, headerStart, 408},
	} {
		for _, state := range []struct {
			desc    string
			earlier string // request on the connection before the change
			running bool   // it is running when the configuration changes
		}{
			{"new connection", "", false},
			{"idle connection", rawRequest("GET", "/get/a", "earlier", ""), false},
			{"pipelined", rawRequest("GET", "/get/slow", "earlier", ""), true},
		} {
			t.Run(c.desc+", "+state.desc, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				release := make(chan struct{})
				server := startBackend(t, func(s *testBackend, nc net.Conn, r *http.Request, body string) bool {
					if r.URL.Path == "/get/slow" {
						<-release
					}
					return sendAnswer(nc, r, 200, "")
				})
				f := startGatewayWith(t, func(f *fixture) { f.setLimits(replaceLimits(c.from)) }, server)
				conn, in := f.dial(t)
				_, err := io.WriteString(conn, state.earlier)
				g.Expect(err).NotTo(HaveOccurred())
				switch {
				case state.running:
					g.Eventually(server.runs.Load, "2s").Should(Equal(int32(1)))
				case state.earlier != "":
					status, _, _ := readAnswer(in)
					g.Expect(status).To(Equal(200))
				}
				time.Sleep(20 * time.Millisecond) // the host waits for the next request
				f.setLimits(replaceLimits(c.to))
				_, err = io.WriteString(conn, c.request)
				g.Expect(err).NotTo(HaveOccurred())
				if c.request == headerStart && c.status == 200 {
					time.Sleep(4 * shortTime)
					_, err = io.WriteString(conn, "X-Id: p\r\n\r\n")
					g.Expect(err).NotTo(HaveOccurred())
				}
				if state.running {
					close(release)
					status, _, _ := readAnswer(in)
					g.Expect(status).To(Equal(200))
				}
				status, _, _ := readAnswer(in)
				g.Expect(status).To(Equal(c.status))
			})
		}
	}
}

// replaceLimits returns a change to those of the limits that are not 0.
func replaceLimits(changed routetable.Limits) func(l *routetable.Limits) {
	return func(l *routetable.Limits) {
		l.BodyBytes = cmp.Or(changed.BodyBytes, l.BodyBytes)
		l.HeaderBytes = cmp.Or(changed.HeaderBytes, l.HeaderBytes)
		l.HeaderTimeout = cmp.Or(changed.HeaderTimeout, l.HeaderTimeout)
	}
}

// TestIdleTimeoutRaised guards against a connection that is closed after the idle timeout of
// an earlier configuration, while its caller relies on the one in force.
func TestIdleTimeoutRaised(t *testing.T) {
	const before, after = time.Second, 10 * time.Second
	for _, earlier := range []int{0, 1} { // requests
		t.Run(fmt.Sprint(earlier, " earlier requests"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := startGatewayWith(t, func(f *fixture) {
				f.setLimits(func(l *routetable.Limits) { l.IdleTimeout = before })
			}, startBackend(t, answerOK))
			conn, in := f.dial(t)
			for range earlier {
				_, err := io.WriteString(conn, rawRequest("GET", "/get/a", "earlier", ""))
				g.Expect(err).NotTo(HaveOccurred())
				status, _, _ := readAnswer(in)
				g.Expect(status).To(Equal(200))
			}
			time.Sleep(before / 20) // the host waits for the next request
			f.setLimits(func(l *routetable.Limits) { l.IdleTimeout = after })
			time.Sleep(2 * before)
			_, err := io.WriteString(conn, rawRequest("GET", "/get/a", "p", ""))
			g.Expect(err).NotTo(HaveOccurred())
			status, _, _ := readAnswer(in)
			g.Expect(status).To(Equal(200))
		})
	}
}
