package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/routetable"
)

// TestShutdownRefusalKeepsLaterRequests guards against a request that a backend server runs
// and that gets no answer, because the host, while it shuts down, refuses an earlier request
// of the same connection and ends the connection with the refusal.
func TestShutdownRefusalKeepsLaterRequests(t *testing.T) {
	g := NewWithT(t)
	const longTime, shortTime = 800 * time.Millisecond, 50 * time.Millisecond
	server := startBackend(t, func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.URL.Path, "/post/") {
			time.Sleep(longTime)
		} else {
			time.Sleep(shortTime)
		}
		return answerOK(s, c, r, body)
	})
	f := startGateway(t, server)
	f.setTable(t, func(routes []routetable.Route) { routes[1].Kind = routetable.Idempotent }, nil)
	for i := range 3 { // the pool learns the service times
		status, _, _ := f.sendRequest(t, "POST", "/post/1", fmt.Sprint("long", i), "x")
		g.Expect(status).To(Equal(200))
		status, _, _ = f.sendRequest(t, "GET", "/get/1", fmt.Sprint("short", i), "")
		g.Expect(status).To(Equal(200))
	}
	runs := server.runs.Load()
	c, in := f.dial(t)
	f.g.EndBy(time.Now().Add(longTime - 100*time.Millisecond))
	f.front.Drain()
	_, err := io.WriteString(c, rawRequest("GET", "/get/1", "first", "")+rawRequest("POST", "/post/1", "refused", "x")+rawRequest("GET", "/get/1", "last", ""))
	g.Expect(err).NotTo(HaveOccurred())
	var answers, connection []string // the Connection headers
	for range 3 {
		status, body, header := readAnswer(in)
		answers = append(answers, fmt.Sprint(status, " ", strings.TrimSpace(body)))
		connection = append(connection, header.Get("Connection"))
	}
	g.Expect(server.runs.Load()).To(Equal(runs + 2))
	g.Expect(answers).To(Equal([]string{"200 answer to first", "503 host is shutting down", "200 answer to last"}))
	g.Expect(connection).To(Equal([]string{"", "", "close"}))
	_, err = in.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
}

// closingHandler answers as the paths of requests tell: after the milliseconds of the first
// element, and with the end of the connection if the second is "close".
type closingHandler struct {
	started, cut atomic.Int32
}

func (h *closingHandler) NeedsBody(*Request) bool { return true }

func (h *closingHandler) Limits() routetable.Limits { return defaultLimits }

func (h *closingHandler) Serve(ctx context.Context, r *Request) *Answer {
	h.started.Add(1)
	var delayMillis int
	var kind string
	if _, err := fmt.Sscanf(r.HTTP.URL.Path, "/%d/%s", &delayMillis, &kind); err != nil {
		return failure(http.StatusBadRequest, err.Error())
	}
	select {
	case <-ctx.Done():
		h.cut.Add(1)
		return &Answer{Abort: true}
	case <-time.After(time.Duration(delayMillis) * time.Millisecond):
	}
	a := failure(http.StatusOK, r.HTTP.Header.Get("X-Id"))
	a.Close = kind == "close"
	return a
}

// TestEndOfConnectionKeepsRequests guards against a connection that ends while requests read
// from it are served, or out of order, or that does not end: random pipelined requests, some
// of whose answers demand the end of the connection, through a shutdown at a random time.
func TestEndOfConnectionKeepsRequests(t *testing.T) {
	const seeds, requests, maxDelayMillis = 60, 12, 20
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(uint64(seed), 0))
			h := &closingHandler{}
			front, c := connectFront(t, h)

			var sent []string // requests, written together up to each pause
			for i := range requests {
				kind := "keep"
				if rng.IntN(4) == 0 {
					kind = "close"
				}
				sent = append(sent, rawRequest("GET", fmt.Sprintf("/%d/%s", rng.IntN(maxDelayMillis), kind), fmt.Sprint("r", i), ""))
			}
			pauses := rng.Perm(requests)[:2]
			drainAfter := time.Duration(rng.IntN(3*maxDelayMillis)) * time.Millisecond
			time.AfterFunc(drainAfter, func() {
				front.Drain()
				time.Sleep(maxDelayMillis * time.Millisecond)
				front.CloseIdle()
			})
			go func() {
				for i, raw := range sent {
					if slices.Contains(pauses, i) {
						time.Sleep(maxDelayMillis * time.Millisecond)
					}
					if _, err := io.WriteString(c, raw); err != nil {
						return // the host has ended the connection
					}
				}
			}()
			in := bufio.NewReader(c)
			answered := int32(0)
			for closing := false; ; answered++ {
				if _, err := in.Peek(1); err != nil {
					// An idle connection is reset if a request crosses its end.
					g.Expect(err).To(Or(MatchError(io.EOF), MatchError(syscall.ECONNRESET)))
					break
				}
				g.Expect(closing).To(BeFalse(), "an answer follows the last one")
				status, body, header := readAnswer(in)
				g.Expect(status).To(Equal(200))
				g.Expect(body).To(Equal(fmt.Sprintf("r%d\n", answered)))
				closing = header.Get("Connection") == "close"
			}
			g.Expect(h.cut.Load()).To(BeZero(), "requests cut")
			g.Expect(answered).To(Equal(h.started.Load()), "answers, requests served")
			g.Expect(c.Close()).To(Succeed())
			g.Eventually(front.InFlight, "2s").Should(BeZero())
		})
	}
}
