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

// step is what a fake entry host does with one request.
type step struct {
	runs bool // the request runs
	do   func(w http.ResponseWriter, r *http.Request)
}

const whole = "the whole answer"

// answers returns a step that answers with an outcome and, when done, a body.
func answers(o outcome.Outcome, runs bool) step {
	return step{runs, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(httpapi.HeaderRequestID, r.Header.Get(httpapi.HeaderRequestID))
		httpapi.SetOutcome(w.Header(), o)
		w.WriteHeader(httpapi.StatusOf(o))
		_, _ = io.WriteString(w, whole)
	}}
}

// header returns a done answer with changed headers.
func header(name, value string) step {
	return step{true, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(httpapi.HeaderRequestID, r.Header.Get(httpapi.HeaderRequestID))
		httpapi.SetOutcome(w.Header(), outcome.Success())
		w.Header().Set(name, value)
		_, _ = io.WriteString(w, whole)
	}}
}

// raw answers with bytes, in which ID stands for the request's identity, and
// closes the connection.
func raw(runs bool, text string) step {
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
	done    = answers(outcome.Success(), true)
	shed    = answers(outcome.Refuse(outcome.ReasonShed, time.Millisecond), false)
	late    = answers(outcome.Refuse(outcome.ReasonLate, 0), false)
	leaving = answers(outcome.Refuse(outcome.ReasonLeaving, 0), false)
	repeat  = answers(outcome.Uncertain(outcome.ReasonRepeat), false)
	lost    = answers(outcome.Uncertain(outcome.ReasonHostLost), false)
	ranLost = raw(true, "")
	lostRaw = raw(false, "")
	cut     = raw(true, doneHeader+"Content-Length: 16\n\nthe whole")
	// silent keeps the request until the caller gives up.
	silent = step{true, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
)

// region is a set of fake entry hosts that serve the same script.
type region struct {
	mu      sync.Mutex
	script  []step
	n       int
	at      []string // address of each request
	ids     map[string]bool
	lookups int
	answer  httpapi.LookupAnswer
	once    *invariant.AtMostOnce
	notRun  *invariant.NotRunIsTrue
	servers []*httptest.Server
}

func newRegion(t *testing.T, hosts int, script ...step) *region {
	r := &region{script: script, ids: map[string]bool{}, once: invariant.NewAtMostOnce(), notRun: invariant.NewNotRunIsTrue()}
	r.answer = httpapi.LookupAnswer{TTLMillis: 60000, Origin: "north"}
	for i := range hosts {
		s := httptest.NewServer(r)
		t.Cleanup(s.Close)
		r.servers = append(r.servers, s)
		r.answer.Hosts = append(r.answer.Hosts, httpapi.LookupHost{Address: s.Listener.Addr().String(), Region: "north", Incarnation: uint64(i + 1)})
	}
	return r
}

func (f *region) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == httpapi.PathLookup {
		f.mu.Lock()
		f.lookups++
		f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(f.answer)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	s := f.script[min(f.n, len(f.script)-1)]
	f.n++
	f.at = append(f.at, r.Host)
	f.ids[r.Header.Get(httpapi.HeaderRequestID)] = true
	if r.ContentLength < 0 {
		s = answers(outcome.Refuse(outcome.ReasonBadRequest, 0), false)
	}
	if s.runs {
		f.once.Run(0, r.URL.Path, r.Host)
		f.notRun.Run(0, r.URL.Path)
	}
	f.mu.Unlock()
	s.do(w, r)
}

// count returns the number of requests.
func (f *region) count() int { f.mu.Lock(); defer f.mu.Unlock(); return f.n }

func (f *region) client(t *testing.T, entries ...string) *Client {
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

// TestOutcomes guards against an answer that is cut or belongs to another
// request, "not run" for work that may have run, non-idempotent work that runs
// twice, and retries without end.
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
		{"refused for good", []step{late}, false, NotRun, outcome.ReasonLate, 1},
		{"shed, then done", []step{shed, done}, false, Done, "ok", 2},
		{"always shed", []step{shed}, false, NotRun, outcome.ReasonShed, 4},
		{"always broken", []step{ranLost}, true, Unknown, outcome.ReasonBroken, 4},
		{"leaving host, then done", []step{leaving, done}, false, Done, "ok", 2},
		{"ran, answer lost, repeat tells nothing", []step{ranLost, repeat}, false, Unknown, outcome.ReasonBroken, 2},
		{"ran, answer lost, repeat gets it", []step{ranLost, answers(outcome.Success(), false)}, false, Done, "ok", 2},
		{"never arrived, recorded as not run, then done", []step{lostRaw, shed, done}, false, Done, "ok", 3},
		{"alternates between lost and shed", []step{lostRaw, shed}, false, NotRun, outcome.ReasonShed, 4},
		{"host was replaced at its address", []step{lost, done}, false, Done, "ok", 2},
		{"ran, then its host was replaced", []step{ranLost, lost}, false, Unknown, outcome.ReasonBroken, 2},
		{"idempotent work that ran, then a refusal", []step{ranLost, late}, true, Unknown, outcome.ReasonLate, 2},
		{"cut short", []step{cut, repeat}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"idempotent work cut short, then done", []step{cut, done}, true, Done, "ok", 2},
		{"chunked without the end mark", []step{raw(true, doneHeader+"Transfer-Encoding: chunked\n\n3\nthe\n0\n\n"), repeat}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"chunked and cut", []step{raw(true, doneHeader+"Transfer-Encoding: chunked\n\n3\nthe\n"), repeat}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"end mark with another value", []step{raw(true, doneHeader+"Transfer-Encoding: chunked\nTrailer: Galenabeam-End\n\n0\nGalenabeam-End: x\n\n"), repeat}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"ends with the connection", []step{raw(true, doneHeader+"\nthe whole answer"), repeat}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"end mark in the header", []step{raw(true, doneHeader+"Galenabeam-End: whole\n\nthe whole"), repeat}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"above the limit", []step{raw(true, doneHeader+"Content-Length: 2000\n\n"+strings.Repeat("x", 2000)), repeat}, false, Unknown, outcome.ReasonIncomplete, 2},
		{"answer to another request", []step{header(httpapi.HeaderRequestID, "1.0.0"), repeat}, false, Unknown, outcome.ReasonWrongRequest, 2},
		{"answer without identity", []step{raw(true, "HTTP/1.1 200 OK\nGalenabeam-Outcome: done\nContent-Length: 0\n\n"), repeat}, false, Unknown, outcome.ReasonWrongRequest, 2},
		{"refusal of another request", []step{raw(true, "HTTP/1.1 503 no\nGalenabeam-Request-Id: 1.0.0\nGalenabeam-Outcome: not-run\nContent-Length: 0\n\n"), repeat}, false, Unknown, outcome.ReasonWrongRequest, 2},
		{"outcome without meaning", []step{header(httpapi.HeaderOutcome, "maybe"), repeat}, false, Unknown, outcome.ReasonBroken, 2},
		{"not HTTP", []step{raw(true, "220 smtp\n\n"), repeat}, false, Unknown, outcome.ReasonBroken, 2},
		{"redirect", []step{raw(true, "HTTP/1.1 301 go\nLocation: /x\nContent-Length: 0\n\n"), repeat}, false, Unknown, outcome.ReasonWrongRequest, 2},
		{"retry-after that overflows", []step{raw(false, "HTTP/1.1 503 no\nGalenabeam-Request-Id: ID\nGalenabeam-Outcome: not-run\nGalenabeam-Reason: busy\nGalenabeam-Retry-After-Ms: 9223372036854775807\nContent-Length: 0\n\n")}, false, NotRun, outcome.ReasonBusy, 1},
		{"silent host", []step{silent}, false, Unknown, outcome.ReasonBroken, 1},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			f := newRegion(t, 2, c.script...)
			got, err := f.client(t).Do(context.Background(), Request{Service: "tables", Rank: "declaration", Path: "/x", Body: []byte("x"),
				Timeout: 400 * time.Millisecond, Idempotent: c.idempotent})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.Kind).To(Equal(c.want), got.Reason)
			g.Expect(got.Reason).To(Equal(string(c.reason)))
			g.Expect(f.count()).To(Equal(c.sends))
			g.Expect(got.Attempts).To(Equal(c.sends))
			if c.want == Done {
				g.Expect(string(got.Body)).To(Equal(whole))
			} else {
				g.Expect(got.Body).To(BeNil())
			}
			f.notRun.Answer(0, httpapi.PathRun+"tables/x", outcome.Outcome{Kind: got.Kind})
			g.Expect(f.notRun.Err()).NotTo(HaveOccurred())
			if !c.idempotent {
				g.Expect(f.once.Err()).NotTo(HaveOccurred())
			}
		})
	}
}

// TestIdempotentRepeatTripsCheck shows that the checker sees non-idempotent
// work that is declared idempotent, and therefore sent again.
func TestIdempotentRepeatTripsCheck(t *testing.T) {
	g := NewWithT(t)
	f := newRegion(t, 2, ranLost, done)
	_, err := f.client(t).Do(context.Background(), Request{Service: "tables", Rank: "declaration", Path: "/x", Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.once.Err()).To(HaveOccurred())
}

// TestHostLost guards against attempts that go to a lost host again while
// others are left, and against an identity that is used at two hosts.
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
			f := newRegion(t, 3, done)
			client := f.client(t)
			_, _, err := client.lookup(context.Background(), "tables", "declaration")
			g.Expect(err).NotTo(HaveOccurred())
			for i := range c.lost {
				f.servers[i].Close()
			}
			// Without this, the client may use a kept connection of a lost host
			// before it sees its end, which rightly gives unknown.
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

// TestRetryElsewhere guards against a second attempt at the host that has just
// failed, under the identity of the first one.
func TestRetryElsewhere(t *testing.T) {
	g := NewWithT(t)
	f := newRegion(t, 3, ranLost, ranLost, done)
	got, err := f.client(t).Do(context.Background(), Request{Service: "tables", Rank: "lookup", Path: "/x", Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Kind).To(Equal(Done))
	g.Expect(f.at).To(HaveLen(3))
	g.Expect(map[string]bool{f.at[0]: true, f.at[1]: true, f.at[2]: true}).To(HaveLen(3))
	g.Expect(f.ids).To(HaveLen(3))
}

// TestBodies guards against requests whose framing an entry host refuses.
func TestBodies(t *testing.T) {
	for _, method := range []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		for _, body := range []string{"", "text"} {
			g := NewWithT(t)
			f := newRegion(t, 1, done)
			got, err := f.client(t).Do(context.Background(), Request{Service: "tables", Rank: "declaration", Method: method, Path: "/x", Body: []byte(body)})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.Kind).To(Equal(Done), "%s with body %q: %s", method, body, got.Reason)
		}
	}
}

// TestLookups guards against a caller that hangs on or believes a look-up that
// is broken, and one that gives up although an older answer is of use.
func TestLookups(t *testing.T) {
	g := NewWithT(t)
	broken := []string{"", "{", `{"hosts":[]}`, `{"hosts":"x"}`, strings.Repeat("[", maxLookupBytes+1)}
	for _, text := range broken {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
		f := newRegion(t, 1, done)
		alone := f.client(t, s.Listener.Addr().String())
		_, err := alone.Do(context.Background(), Request{Service: "tables", Rank: "lookup"})
		g.Expect(errors.Is(err, ErrNoHosts)).To(BeTrue(), "%.20q: %v", text, err)
		both := f.client(t, s.Listener.Addr().String(), f.answer.Hosts[0].Address)
		got, err := both.Do(context.Background(), Request{Service: "tables", Rank: "lookup"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Kind).To(Equal(Done))
		s.Close()
	}
	f := newRegion(t, 1, done)
	f.answer.TTLMillis = 0
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	client := f.client(t)
	_, _, err = client.lookup(context.Background(), "tables", "lookup")
	g.Expect(err).NotTo(HaveOccurred())
	client.seeds = []string{l.Addr().String()}
	f.answer.Hosts = nil // the look-up fails from now on
	got, err := client.Do(context.Background(), Request{Service: "tables", Rank: "lookup"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Kind).To(Equal(Done))
}

// TestStaleWindow guards against identities that are expired when they are
// made, because the answer to the look-up is old.
func TestStaleWindow(t *testing.T) {
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

// TestCancelKeepsHost guards against a healthy host that is avoided because a
// caller gave up.
func TestCancelKeepsHost(t *testing.T) {
	g := NewWithT(t)
	f := newRegion(t, 1, silent)
	client := f.client(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	got, err := client.Do(ctx, Request{Service: "tables", Rank: "declaration"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Kind).To(Equal(Unknown))
	g.Expect(client.failed).To(BeEmpty())
}

// TestBadRequests guards against an incomplete request that is sent.
func TestBadRequests(t *testing.T) {
	f := newRegion(t, 1, done)
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
