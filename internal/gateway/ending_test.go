package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// TestEndingRequests guards against answers that are lost when a host ends: of servers, behind
// a request that still runs, and the host's own to requests that run or have not run; and
// against a request that is ended although it holds back no answer.
func TestEndingRequests(t *testing.T) {
	const long, short = "GET /get/long", "GET /get/short"
	for _, c := range []struct {
		desc string
		sent []string // method and path
		// released and ended are the statuses, 0 for no answer yet, after ReleaseAnswers and
		// after EndRequests.
		released, ended []int
	}{
		{"alone", []string{long}, []int{0}, []int{504}},
		{"not repeatable", []string{"POST /post/long"}, []int{0}, []int{504}},
		{"before an answer", []string{long, short}, []int{504, 200}, nil},
		{"behind an answer", []string{short, long}, []int{200, 0}, []int{504}},
		{"two before an answer", []string{long, long, short}, []int{504, 504, 200}, nil},
		{"around answers", []string{short, long, short, long}, []int{200, 504, 200, 0}, []int{504}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			server := startBackend(t, func(s *testBackend, conn net.Conn, r *http.Request, body string) bool {
				if strings.HasSuffix(r.URL.Path, "long") {
					<-release
				}
				return answerOK(s, conn, r, body)
			})
			f := startGateway(t, server)
			f.setTable(t, func(routes []routetable.Route) {
				for i := range routes {
					routes[i].Timeout, routes[i].MaxAttempts = time.Minute, 1
				}
			}, nil)
			conn, in := f.dial(t)
			f.front.Drain()
			for i, line := range c.sent {
				method, path, _ := strings.Cut(line, " ")
				raw := strings.Replace(rawRequest(method, path, fmt.Sprint("r", i), ""), "X-Deadline: 2000", "X-Deadline: 9000", 1)
				_, err := io.WriteString(conn, raw)
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Eventually(server.runs.Load, "5s").Should(Equal(int32(len(c.sent))))
			f.front.CloseIdle()
			read := func(want []int) {
				for _, status := range want {
					if status == 0 {
						_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
						_, err := in.Peek(1)
						g.Expect(err).To(HaveOccurred(), "a request is ended that holds back no answer")
						_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
						return
					}
					got, body, _ := readAnswer(in)
					g.Expect(got).To(Equal(status))
					if status == 504 {
						g.Expect(body).To(ContainSubstring("shut down"), "ended by its deadline instead")
					}
				}
			}
			// An answer of the server may still be on its way.
			stop := make(chan struct{})
			released := make(chan struct{})
			go func() {
				defer close(released)
				for {
					f.front.ReleaseAnswers()
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
				}
			}()
			read(c.released)
			close(stop)
			<-released
			f.front.EndRequests()
			read(c.ended)
			_, err := in.ReadByte()
			g.Expect(err).To(MatchError(io.EOF))
		})
	}
}

// TestEndingKeepsStreamedAnswer guards against an answer that is cut although its caller has a
// part of it and the rest still arrives, because the host ends its running requests.
func TestEndingKeepsStreamedAnswer(t *testing.T) {
	g := NewWithT(t)
	const size = 3 * maxBufferedAnswer
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	server := startBackend(t, func(s *testBackend, conn net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Id") != "first" {
			return answerOK(s, conn, r, body)
		}
		half := strings.Repeat("x", size/2)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nX-Id: first\r\nX-Signature: sig\r\nContent-Length: %d\r\n\r\n%s", size, half)
		<-release
		if err == nil {
			_, err = io.WriteString(conn, half)
		}
		return err == nil
	})
	f := startGateway(t, server)
	conn, in := f.dial(t)
	f.front.Drain()
	_, err := io.WriteString(conn, rawRequest("GET", "/get/a", "first", "")+rawRequest("GET", "/get/a", "second", ""))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = in.Peek(1) // the first answer is being written
	g.Expect(err).NotTo(HaveOccurred())
	f.front.CloseIdle()
	f.front.ReleaseAnswers()
	releaseOnce()
	status, body, _ := readAnswer(in)
	g.Expect(status).To(Equal(200))
	g.Expect(body).To(HaveLen(size))
	status, body, _ = readAnswer(in)
	g.Expect(status).To(Equal(200))
	g.Expect(body).To(Equal("answer to second "))
}

// TestNoAttemptForEndedRequest guards against an attempt that starts although the host has
// ended the request and would cut it, and against a refusal of a request that may have run.
func TestNoAttemptForEndedRequest(t *testing.T) {
	for _, c := range []struct {
		desc   string
		failed reply
		status int
	}{
		{"not run", reply{result: dispatch.Unreachable}, 503},
		{"may have run", reply{result: dispatch.Failed, mayHaveRun: true}, 502},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			server := startBackend(t, answerOK)
			f := startGateway(t, server)
			ending, end := context.WithCancel(context.Background())
			end()
			pr := &pendingRequest{
				request: &Request{HTTP: httptest.NewRequest(http.MethodGet, "/get/a", nil), Ending: ending}, deadline: time.Now().Add(time.Minute),
				route: f.g.Snapshot().Table.Lookup("x", "/get/a"), service: "s",
			}
			attempts := &attemptSet{g: f.g, pr: pr, results: make(chan *attempt)}
			defer attempts.abandon()
			failed := &attempt{decision: decision{Decision: dispatch.Decision{Refused: dispatch.Overload}}, reply: c.failed, cancel: func() {}}
			answer, _ := attempts.finish(context.Background(), failed, retry.NewBudget(0.2, 50))
			g.Expect(answer).NotTo(BeNil(), "another attempt started")
			g.Expect(answer.Status).To(Equal(c.status))
			g.Expect(server.runs.Load()).To(BeZero())
		})
	}
}

// TestHostEndsBeforeToken guards against a request that waits for a token beyond the end of its
// host, or whose caller gets a 504, after which it may have run.
func TestHostEndsBeforeToken(t *testing.T) {
	g := NewWithT(t)
	w := limitedWorkspace(100, 100)
	f := startLimited(t, false, w)
	snapshot := f.g.Snapshot()
	f.g.SetSnapshot(snapshot.Apply(snapshot.Revision+1, fleet.Changes{Table: snapshot.Table, Issuers: map[string]*fleet.Issuer{"r": {Host: "unreachable", PeerAddress: "p"}}}))
	f.g.quotas.mu.Lock()
	f.g.quotas.now = sync.OnceValue(f.g.quotas.now) // the request does not give up
	f.g.quotas.mu.Unlock()
	ending, end := context.WithCancel(context.Background())
	defer end()
	pr := &pendingRequest{request: &Request{Ending: ending}, workspace: &w.Workspace, objective: time.Now().Add(time.Hour)}
	answered := make(chan *Answer, 1)
	go func() {
		_, answer, _ := f.g.begin(context.Background(), pr)
		answered <- answer
	}()
	g.Consistently(answered, "50ms").ShouldNot(Receive(), "the request waits")
	end()
	var answer *Answer
	g.Eventually(answered, "5s").Should(Receive(&answer))
	g.Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header.Get("Retry-After")).To(Equal("0.050"))
}

// endingHandler answers after the milliseconds in the path, or when a request ends.
type endingHandler struct {
	mu       sync.Mutex
	answered []int // numbers of the requests, in the order of their answers
	ended    []int
	cut      int
}

func (h *endingHandler) NeedsBody(*Request) bool { return true }

func (h *endingHandler) Limits() routetable.Limits { return defaultLimits }

func (h *endingHandler) Serve(ctx context.Context, r *Request) *Answer {
	var number, delayMillis int
	if _, err := fmt.Sscanf(r.HTTP.URL.Path, "/%d/%d", &number, &delayMillis); err != nil {
		return failure(http.StatusBadRequest, err.Error())
	}
	timer := time.NewTimer(time.Duration(delayMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		h.mu.Lock()
		defer h.mu.Unlock()
		h.cut++
		return &Answer{Abort: true}
	case <-r.ending():
		h.mu.Lock()
		defer h.mu.Unlock()
		h.ended = append(h.ended, number)
		a, _ := answerEnded()
		return a
	case <-timer.C:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = append(h.answered, number)
	return failure(http.StatusOK, fmt.Sprint(number))
}

// lastAnswered returns the greatest number of an answered request, 0 if there is none.
func (h *endingHandler) lastAnswered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.answered) == 0 {
		return 0
	}
	return slices.Max(h.answered)
}

// countBefore returns the number of answered or ended requests with a number less than last.
func (h *endingHandler) countBefore(last int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, number := range slices.Concat(h.answered, h.ended) {
		if number < last {
			count++
		}
	}
	return count
}

// TestEndOfShutdownLosesNoAnswer guards against answers that are lost, repeated or out of order
// and requests that are ended without need, at the end of a shutdown: random pipelined
// requests, of which some outlast it.
func TestEndOfShutdownLosesNoAnswer(t *testing.T) {
	const seeds, requests, maxDelayMillis, outlastingMillis = 60, 12, 60, 60_000
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(uint64(seed), 1))
			h := &endingHandler{}
			front, c := connectFront(t, h)
			var raw strings.Builder
			for i := range requests {
				delay := rng.IntN(maxDelayMillis)
				if rng.IntN(3) == 0 {
					delay = outlastingMillis
				}
				raw.WriteString(rawRequest("GET", fmt.Sprintf("/%d/%d", i, delay), fmt.Sprint("r", i), ""))
			}
			_, err := io.WriteString(c, raw.String())
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(front.InFlight, "5s").Should(BeNumerically(">", 0))
			front.Drain()
			time.Sleep(time.Duration(rng.IntN(maxDelayMillis)) * time.Millisecond)
			front.CloseIdle()
			for range rng.IntN(20) {
				front.ReleaseAnswers()
				time.Sleep(5 * time.Millisecond)
			}
			last := h.lastAnswered()
			g.Eventually(func() int { front.ReleaseAnswers(); return h.countBefore(last) }, "5s").Should(Equal(last), "an answer is held back")
			h.mu.Lock()
			ended := slices.Clone(h.ended)
			h.mu.Unlock()
			last = h.lastAnswered()
			for _, number := range ended {
				g.Expect(number).To(BeNumerically("<", last), "a request was ended that held back no answer")
			}
			g.Eventually(func() int64 { front.EndRequests(); return front.InFlight() }, "5s").Should(BeZero())
			in := bufio.NewReader(c)
			statuses := map[int]int{} // by the numbers of the requests
			for n := 0; ; n++ {
				if _, err := in.Peek(1); err != nil {
					break
				}
				status, body, _ := readAnswer(in)
				g.Expect(status).To(BeElementOf(200, 504))
				if status == 200 {
					g.Expect(body).To(Equal(fmt.Sprintf("%d\n", n)))
				}
				statuses[n] = status
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			g.Expect(h.cut).To(BeZero(), "requests cut")
			g.Expect(statuses).To(HaveLen(len(h.answered) + len(h.ended)))
			for _, number := range h.answered {
				g.Expect(statuses).To(HaveKeyWithValue(number, 200), "an answer that was ready")
			}
			for _, number := range h.ended {
				g.Expect(statuses).To(HaveKeyWithValue(number, 504))
			}
		})
	}
}
