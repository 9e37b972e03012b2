package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/invariant"
	"github.com/galenabeam/galenabeam/internal/ledger"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// step is the behavior of a fake entry host for one request.
type step struct {
	runs    bool // counts as run by a backend server
	respond func(w http.ResponseWriter, r *http.Request)
}

const completeAnswer = "the whole answer"

// answerWith returns a step that answers with an outcome and a complete body.
func answerWith(o outcome.Outcome, runs bool) step {
	return step{runs, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(httpapi.HeaderRequestID, r.Header.Get(httpapi.HeaderRequestID))
		httpapi.SetOutcome(w.Header(), o)
		w.WriteHeader(httpapi.StatusOf(o))
		_, _ = io.WriteString(w, completeAnswer)
	}}
}

// doneWithHeader returns a step that runs the request and answers with done and
// the given header field.
func doneWithHeader(name, value string) step {
	return step{true, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(httpapi.HeaderRequestID, r.Header.Get(httpapi.HeaderRequestID))
		httpapi.SetOutcome(w.Header(), outcome.Success())
		w.Header().Set(name, value)
		_, _ = io.WriteString(w, completeAnswer)
	}}
}

// rawAnswer returns a step that writes text to the connection, with the
// request's identity in place of ID, and closes the connection.
func rawAnswer(runs bool, text string) step {
	return step{runs, func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		text := strings.Replace(text, "\n", "\nConnection: close\n", 1)
		text = strings.ReplaceAll(text, "ID", r.Header.Get(httpapi.HeaderRequestID))
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
		_ = c.Close()
	}}
}

const doneHeader = "HTTP/1.1 200 OK\nGalenabeam-Request-Id: ID\nGalenabeam-Outcome: done\nGalenabeam-Reason: ok\n"

var (
	done             = answerWith(outcome.Success(), true)
	shed             = answerWith(outcome.Refuse(outcome.ReasonShed, time.Millisecond), false)
	late             = answerWith(outcome.Refuse(outcome.ReasonLate, 0), false)
	leaving          = answerWith(outcome.Refuse(outcome.ReasonLeaving, 0), false)
	repeatRefused    = answerWith(outcome.Uncertain(outcome.ReasonRepeat), false)
	hostLost         = answerWith(outcome.Uncertain(outcome.ReasonHostLost), false)
	ranThenClosed    = rawAnswer(true, "")
	closedWithoutRun = rawAnswer(false, "")
	truncated        = rawAnswer(true, doneHeader+"Content-Length: 16\n\nthe whole")
	// unresponsive holds the request until the caller cancels it.
	unresponsive = step{true, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
)

// fakeRegion is a set of fake entry hosts that share a script: request n gets
// step n, and requests beyond its end get the last one.
type fakeRegion struct {
	mu           sync.Mutex
	script       []step
	requests     int
	requestHosts []string // address that each request was sent to
	ids          map[string]bool
	lookups      int
	answer       httpapi.LookupAnswer
	atMostOnce   *invariant.AtMostOnce
	notRun       *invariant.NotRunIsTrue
	servers      []*httptest.Server
}

// fakeRegionIP is the address of the fake entry hosts. Servers of other test binaries
// listen on 127.0.0.1, so none of them takes the port of a host that was closed.
const fakeRegionIP = "127.11.0.1"

func newFakeRegion(t *testing.T, hosts int, script ...step) *fakeRegion {
	r := &fakeRegion{script: script, ids: map[string]bool{}, atMostOnce: invariant.NewAtMostOnce(), notRun: invariant.NewNotRunIsTrue()}
	r.answer = httpapi.LookupAnswer{TTLMillis: 60000, Origin: "north"}
	for i := range hosts {
		l, err := net.Listen("tcp", fakeRegionIP+":0")
		if err != nil {
			t.Fatal(err)
		}
		s := &httptest.Server{Listener: l, Config: &http.Server{Handler: r}}
		s.Start()
		t.Cleanup(s.Close)
		r.servers = append(r.servers, s)
		r.answer.Hosts = append(r.answer.Hosts, httpapi.LookupHost{Address: s.Listener.Addr().String(), Region: "north", Incarnation: uint64(i + 1)})
	}
	return r
}

func (f *fakeRegion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == httpapi.PathLookup {
		f.mu.Lock()
		f.lookups++
		f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(f.answer)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	s := f.script[min(f.requests, len(f.script)-1)]
	f.requests++
	f.requestHosts = append(f.requestHosts, r.Host)
	f.ids[r.Header.Get(httpapi.HeaderRequestID)] = true
	if r.ContentLength < 0 {
		s = answerWith(outcome.Refuse(outcome.ReasonBadRequest, 0), false)
	}
	if s.runs {
		f.atMostOnce.Run(0, r.URL.Path, r.Host)
		f.notRun.Run(0, r.URL.Path)
	}
	f.mu.Unlock()
	s.respond(w, r)
}

// count returns the number of requests so far, without lookups.
func (f *fakeRegion) count() int { f.mu.Lock(); defer f.mu.Unlock(); return f.requests }

func (f *fakeRegion) client(t *testing.T, entries ...string) *Client {
	if entries == nil {
		for _, h := range f.answer.Hosts {
			entries = append(entries, h.Address)
		}
	}
	c, err := New(Config{Entries: entries, MaxAnswerBytes: 1 << 10})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// TestOutcomes guards against accepting an incomplete or another request's answer,
// reporting "not run" for a request that may have run, running a non-idempotent
// request twice, and retrying without end, after an answer is lost, truncated or
// malformed, or the host is replaced.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		desc       string
		script     []step
		idempotent bool
		want       Kind
		reason     outcome.Reason
		sends      int
	}{
		{"done", []step{done}, false, Done, "ok", 1},
		{"refused without a retry delay", []step{late}, false, NotRun, outcome.ReasonLate, 1},
		{"shed, then done", []step{shed, done}, false, Done, "ok", 2},
		{"always shed", []step{shed}, false, NotRun, outcome.ReasonShed, 4},
		{"always broken", []step{ranThenClosed}, true, Unknown, outcome.ReasonBroken, 4},
		{"leaving host, then done", []step{leaving, done}, false, Done, "ok", 2},
		{"ran, answer lost, repeat is refused as a repeat", []step{ranThenClosed, repeatRefused}, false, Unknown, outcome.ReasonBroken, 2},
		{"ran, answer lost, repeat gets it", []step{ranThenClosed, answerWith(outcome.Success(), false)}, false, Done, "ok", 2},
		{"never arrived, recorded as not run, then done", []step{closedWithoutRun, shed, done}, false, Done, "ok", 3},
		{"alternates between lost and shed", []step{closedWithoutRun, shed}, false, NotRun, outcome.ReasonShed, 4},
		{"host was replaced at its address", []step{hostLost, done}, false, Done, "ok", 2},
		{"ran, then its host was replaced", []step{ranThenClosed, hostLost}, false, Unknown, outcome.ReasonBroken, 2},
		{"idempotent work that ran, then a refusal", []step{ranThenClosed, late}, true, Unknown, outcome.ReasonLate, 2},
		{"answer truncated", []step{truncated, repeatRefused}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"answer to idempotent work truncated, then done", []step{truncated, done}, true, Done, "ok", 2},
		{"chunked answer without the end trailer", []step{rawAnswer(true, doneHeader+"Transfer-Encoding: chunked\n\n3\nthe\n0\n\n"), repeatRefused}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"chunked answer truncated", []step{rawAnswer(true, doneHeader+"Transfer-Encoding: chunked\n\n3\nthe\n"), repeatRefused}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"end trailer with another value", []step{rawAnswer(true, doneHeader+"Transfer-Encoding: chunked\nTrailer: Galenabeam-End\n\n0\nGalenabeam-End: x\n\n"), repeatRefused}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"answer of unknown length, ended by closing the connection", []step{rawAnswer(true, doneHeader+"\nthe whole answer"), repeatRefused}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"end trailer sent as a header field", []step{rawAnswer(true, doneHeader+"Galenabeam-End: whole\n\nthe whole"), repeatRefused}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"answer longer than the maximum", []step{rawAnswer(true, doneHeader+"Content-Length: 2000\n\n"+strings.Repeat("x", 2000)), repeatRefused}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"answer to another request", []step{doneWithHeader(httpapi.HeaderRequestID, "1.0.0"), repeatRefused}, false, Unknown, outcome.ReasonWrongRequest, 2},
		{"answer without identity", []step{rawAnswer(true, "HTTP/1.1 200 OK\nGalenabeam-Outcome: done\nContent-Length: 0\n\n"), repeatRefused}, false, Unknown, outcome.ReasonWrongRequest, 2},
		{"refusal of another request", []step{rawAnswer(true, "HTTP/1.1 503 no\nGalenabeam-Request-Id: 1.0.0\nGalenabeam-Outcome: not-run\nContent-Length: 0\n\n"), repeatRefused}, false, Unknown, outcome.ReasonWrongRequest, 2},
		{"answer with an unknown outcome", []step{doneWithHeader(httpapi.HeaderOutcome, "maybe"), repeatRefused}, false, Unknown, outcome.ReasonBroken, 2},
		{"answer that is not HTTP", []step{rawAnswer(true, "220 smtp\n\n"), repeatRefused}, false, Unknown, outcome.ReasonBroken, 2},
		{"redirect", []step{rawAnswer(true, "HTTP/1.1 301 go\nLocation: /x\nContent-Length: 0\n\n"), repeatRefused}, false, Unknown, outcome.ReasonWrongRequest, 2},
		{"retry-after that overflows", []step{rawAnswer(false, "HTTP/1.1 503 no\nGalenabeam-Request-Id: ID\nGalenabeam-Outcome: not-run\nGalenabeam-Reason: busy\nGalenabeam-Retry-After-Ms: 9223372036854775807\nContent-Length: 0\n\n")}, false, NotRun, outcome.ReasonBusy, 1},
		{"host that does not answer", []step{unresponsive}, false, Unknown, outcome.ReasonBroken, 1},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			f := newFakeRegion(t, 2, c.script...)
			got, err := f.client(t).Do(context.Background(), Request{Service: "tables", Rank: "declaration", Path: "/x", Body: []byte("x"),
				Timeout: 400 * time.Millisecond, Idempotent: c.idempotent})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.Kind).To(Equal(c.want), got.Reason)
			g.Expect(got.Reason).To(Equal(string(c.reason)))
			g.Expect(f.count()).To(Equal(c.sends))
			g.Expect(got.Attempts).To(Equal(c.sends))
			if c.want == Done {
				g.Expect(string(got.Body)).To(Equal(completeAnswer))
			} else {
				g.Expect(got.Body).To(BeNil())
			}
			f.notRun.Answer(0, httpapi.PathRun+"tables/x", outcome.Outcome{Kind: got.Kind})
			g.Expect(f.notRun.Err()).NotTo(HaveOccurred())
			if !c.idempotent {
				g.Expect(f.atMostOnce.Err()).NotTo(HaveOccurred())
			}
		})
	}
}

// TestIdempotentRepeatViolatesAtMostOnce guards against an at-most-once checker
// that misses the second run of a request whose answer was lost.
func TestIdempotentRepeatViolatesAtMostOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFakeRegion(t, 2, ranThenClosed, done)
	_, err := f.client(t).Do(context.Background(), Request{Service: "tables", Rank: "declaration", Path: "/x", Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.atMostOnce.Err()).To(HaveOccurred())
}

// TestHostLost guards against attempts that return to a lost host while others
// are left, and against an outcome other than not-run when no host can be
// reached.
func TestHostLost(t *testing.T) {
	cases := []struct {
		desc string
		lost int
		want Kind
	}{
		{"one of three hosts", 1, Done},
		{"two of three hosts", 2, Done},
		{"all hosts", 3, NotRun},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			f := newFakeRegion(t, 3, done)
			client := f.client(t)
			_, _, err := client.lookup(context.Background(), "tables", "declaration")
			g.Expect(err).NotTo(HaveOccurred())
			for i := range c.lost {
				f.servers[i].Close()
			}
			// An idle connection to a lost host that the client uses before it
			// sees it closed would rightly give an unknown outcome.
			client.Close()
			for range 3 {
				got, err := client.Do(context.Background(), Request{Service: "tables", Rank: "declaration", Path: "/x", Timeout: time.Second})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got.Kind).To(Equal(c.want), got.Reason)
				g.Expect(got.Attempts).To(BeNumerically("<=", maxAttempts))
				if c.want == Done {
					g.Expect(got.Attempts).To(BeNumerically("<=", c.lost+1))
				}
			}
		})
	}
}

// TestRetryUsesAnotherHost guards against a retry at the host that has just
// failed, or under the identity of the first attempt.
func TestRetryUsesAnotherHost(t *testing.T) {
	g := NewWithT(t)
	f := newFakeRegion(t, 3, ranThenClosed, ranThenClosed, done)
	got, err := f.client(t).Do(context.Background(), Request{Service: "tables", Rank: "lookup", Path: "/x", Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Kind).To(Equal(Done))
	g.Expect(f.requestHosts).To(HaveLen(3))
	g.Expect(map[string]bool{f.requestHosts[0]: true, f.requestHosts[1]: true, f.requestHosts[2]: true}).To(HaveLen(3))
	g.Expect(f.ids).To(HaveLen(3))
}

// TestRequestFraming guards against requests of unknown length, which net/http
// sends for some empty bodies and entry hosts refuse unless the rank is idempotent.
func TestRequestFraming(t *testing.T) {
	for _, method := range []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		for _, body := range []string{"", "text"} {
			g := NewWithT(t)
			f := newFakeRegion(t, 1, done)
			got, err := f.client(t).Do(context.Background(), Request{Service: "tables", Rank: "declaration", Method: method, Path: "/x", Body: []byte(body)})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.Kind).To(Equal(Done), "%s with body %q: %s", method, body, got.Reason)
		}
	}
}

// TestLookupFailures guards against a client that hangs on or accepts a malformed
// answer to a lookup, or fails although it has an expired answer.
func TestLookupFailures(t *testing.T) {
	g := NewWithT(t)
	broken := []string{"", "{", `{"hosts":[]}`, `{"hosts":"x"}`, strings.Repeat("[", maxLookupBytes+1)}
	for _, text := range broken {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
		f := newFakeRegion(t, 1, done)
		brokenOnly := f.client(t, s.Listener.Addr().String())
		_, err := brokenOnly.Do(context.Background(), Request{Service: "tables", Rank: "lookup"})
		g.Expect(errors.Is(err, ErrNoHosts)).To(BeTrue(), "%.20q: %v", text, err)
		brokenFirst := f.client(t, s.Listener.Addr().String(), f.answer.Hosts[0].Address)
		got, err := brokenFirst.Do(context.Background(), Request{Service: "tables", Rank: "lookup"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Kind).To(Equal(Done))
		s.Close()
	}
	f := newFakeRegion(t, 1, done)
	f.answer.TTLMillis = 0
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	client := f.client(t)
	_, _, err = client.lookup(context.Background(), "tables", "lookup")
	g.Expect(err).NotTo(HaveOccurred())
	client.seeds = []string{l.Addr().String()}
	f.answer.Hosts = nil // lookups fail from here on
	got, err := client.Do(context.Background(), Request{Service: "tables", Rank: "lookup"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Kind).To(Equal(Done))
}

// TestIdentityOfStaleLookup guards against identities that have expired when
// they are created, because the window in the lookup's answer is old.
func TestIdentityOfStaleLookup(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		age  time.Duration
		want uint32
	}{{0, 5}, {identityWindow - 1, 5}, {identityWindow, 6}, {10 * identityWindow, 15}} {
		id, err := newIdentity(httpapi.LookupHost{Incarnation: 7, Window: 5}, c.age)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(id.Window).To(Equal(c.want), fmt.Sprint(c.age))
		_, err = ledger.ParseID(id.String())
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestCancelDoesNotMarkHostFailed guards against avoiding a healthy host after a
// caller canceled its request.
func TestCancelDoesNotMarkHostFailed(t *testing.T) {
	g := NewWithT(t)
	f := newFakeRegion(t, 1, unresponsive)
	client := f.client(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	got, err := client.Do(ctx, Request{Service: "tables", Rank: "declaration"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Kind).To(Equal(Unknown))
	g.Expect(client.failed).To(BeEmpty())
}

// TestBadRequests guards against sending an incomplete request or accepting an
// unusable configuration.
func TestBadRequests(t *testing.T) {
	f := newFakeRegion(t, 1, done)
	client := f.client(t)
	for _, r := range []Request{{Rank: "x"}, {Service: "x"}, {Service: "x", Rank: "y", Path: "z"}, {Service: "x", Rank: "y", Timeout: -1}} {
		_, err := client.Do(context.Background(), r)
		NewWithT(t).Expect(err).To(MatchError(ErrBadRequest))
	}
	for _, c := range []Config{{}, {Entries: []string{"x"}}, {Entries: []string{"192.0.2.1:1"}, LocalIP: "x"}} {
		_, err := New(c)
		NewWithT(t).Expect(err).To(MatchError(ErrBadRequest))
	}
	NewWithT(t).Expect(f.count()).To(BeZero())
}
