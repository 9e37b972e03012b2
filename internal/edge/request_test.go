package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/ledger"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/steer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// id returns the n-th request identity in the first window of an incarnation.
func id(incarnation, n int) string { return fmt.Sprintf("%d.0.%032x", incarnation, n) }

// TestMalformedRequests guards against malformed requests that run or are answered
// without an outcome, and against answers that return a long input.
func TestMalformedRequests(t *testing.T) {
	run := "/v1/run/tables/x"
	rank := []string{httpapi.HeaderRank, "lookup"}
	with := func(pairs ...string) []string { return append(pairs, rank...) }
	cases := []struct {
		desc   string
		method string
		path   string
		body   io.Reader
		header []string
		want   outcome.Reason
		status int
	}{
		{"no rank", "GET", run, nil, nil, outcome.ReasonNoRank, 400},
		{"unknown rank", "GET", run, nil, []string{httpapi.HeaderRank, "x"}, outcome.ReasonNoRank, 400},
		{"unknown service", "GET", "/v1/run/x/y", nil, rank, outcome.ReasonNoService, 404},
		{"no service", "GET", "/v1/run/", nil, rank, outcome.ReasonNoService, 404},
		{"empty service", "GET", "/v1/run//x", nil, rank, outcome.ReasonNoService, 404},
		{"path out of the service", "GET", "/v1/run/../lookup", nil, rank, outcome.ReasonNoService, 404},
		{"malformed identity", "GET", run, nil, with(httpapi.HeaderRequestID, "7.0.x"), outcome.ReasonBadRequest, 400},
		{"identity in another form", "GET", run, nil, with(httpapi.HeaderRequestID, "07.0."+strings.Repeat("0", 32)), outcome.ReasonBadRequest, 400},
		{"identity of 100 KB", "GET", run, nil, with(httpapi.HeaderRequestID, strings.Repeat("7", 100<<10)), outcome.ReasonBadRequest, 400},
		{"deadline of zero", "GET", run, nil, with(httpapi.HeaderDeadline, "0"), outcome.ReasonBadRequest, 400},
		{"negative deadline", "GET", run, nil, with(httpapi.HeaderDeadline, "-5"), outcome.ReasonBadRequest, 400},
		{"deadline that overflows", "GET", run, nil, with(httpapi.HeaderDeadline, "9223372036854775807"), outcome.ReasonBadRequest, 400},
		{"deadline that is not a number", "GET", run, nil, with(httpapi.HeaderDeadline, "1s"), outcome.ReasonBadRequest, 400},
		{"body above the limit", "POST", run, strings.NewReader(strings.Repeat("x", maxBody+1)), rank, outcome.ReasonTooLarge, 413},
		{"non-idempotent body of unknown length", "POST", run, io.MultiReader(strings.NewReader("x")), []string{httpapi.HeaderRank, "declaration"},
			outcome.ReasonBadRequest, 400},
	}
	n := newTestEdge(t, 7)
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			got := n.call(c.method, c.path, c.body, c.header...)
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.Outcome).To(Equal(outcome.Refuse(c.want, 0)))
			g.Expect(got.status).To(Equal(c.status))
			g.Expect(len(got.body)).To(BeNumerically("<", 512))
		})
	}
	NewWithT(t).Expect(n.backends.count()).To(BeZero())
	NewWithT(t).Expect(n.InFlight()).To(BeZero())
}

// TestRequestPassThrough guards against a path, body or header that is changed on
// its way to the backend server, and against headers that only entry hosts may
// set but a caller passes through.
func TestRequestPassThrough(t *testing.T) {
	cases := []struct {
		desc, path, body, want string
	}{
		{"plain", "/v1/run/tables/a/b?c=d", "", "/a/b?c=d"},
		{"empty segments", "/v1/run/tables/a//b/", "", "/a//b/"},
		{"dots", "/v1/run/tables/a/../b/.", "", "/a/../b/."},
		{"escapes", "/v1/run/tables/a%2Fb%20c", "", "/a%2Fb%20c"},
		{"no path", "/v1/run/tables", "", "/"},
		{"buffered body", "/v1/run/tables/x", "text", "/x"},
		{"streamed body", "/v1/run/tables/x", strings.Repeat("y", maxBufferedBytes+1), "/x"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestEdge(t, 7)
			var got backend.Request
			var body []byte
			n.backends.do = func(_ context.Context, r backend.Request, _ int) backend.Answer {
				got = r
				if r.Body != nil {
					body, _ = io.ReadAll(r.Body)
				}
				return backend.Answer{Outcome: outcome.Success(), Response: newResponse("", 204)}
			}
			res := n.call(http.MethodPost, c.path, strings.NewReader(c.body), httpapi.HeaderRank, "lookup",
				httpapi.HeaderOrigin, "elsewhere", "Keep-Alive", "1", "X-Own", "1")
			g.Expect(res.Outcome).To(Equal(outcome.Success()))
			g.Expect(got.Path).To(Equal(c.want))
			g.Expect(string(body)).To(Equal(c.body))
			g.Expect(got.Header).To(HaveKey("X-Own"))
			g.Expect(got.Header).NotTo(Or(HaveKey(httpapi.HeaderOrigin), HaveKey("Keep-Alive")))
		})
	}
}

// TestTargetAsSent guards against a path that is encoded anew on its way to the backend
// server because it holds a byte that should have been encoded.
func TestTargetAsSent(t *testing.T) {
	for _, target := range []string{"/a%2Fb|c?d|e", "/a%2Fb^{}\u00e9", "/a%2fb%7C?"} {
		for _, form := range []string{"", "http://h"} {
			g := NewWithT(t)
			n := newTestEdge(t, 7)
			var got string
			n.backends.do = func(_ context.Context, r backend.Request, _ int) backend.Answer {
				got = r.Path
				return backend.Answer{Outcome: outcome.Success(), Response: newResponse("", 204)}
			}
			resp, conn, err := n.sendRaw("GET " + form + "/v1/run/tables" + target + " HTTP/1.1\r\nHost: h\r\nGalenabeam-Rank: lookup\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.Close()).To(Succeed())
			g.Expect(resp.StatusCode).To(Equal(204), "%s", target)
			g.Expect(got).To(Equal(target))
		}
	}
}

// TestSlowSender guards against a caller that sends its body too slowly and
// thereby holds a slot or a connection beyond its deadline, or makes a healthy
// backend server count as failed.
func TestSlowSender(t *testing.T) {
	cases := []struct {
		desc   string
		length int
		want   outcome.Kind
		reason outcome.Reason
	}{
		{"buffered body", 100, outcome.NotRun, outcome.ReasonLate},
		{"streamed body", maxBufferedBytes + 100, outcome.Unknown, outcome.ReasonTimeout},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestEdge(t, 7)
			address := newUnresponsiveServer(t)
			real := backend.NewClient()
			defer real.Close()
			n.backends.do = func(ctx context.Context, r backend.Request, _ int) backend.Answer {
				r.Address = address
				return real.Do(ctx, r)
			}
			resp, conn, err := n.sendRaw("POST /v1/run/tables/x HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(c.length) + "\r\n" + httpapi.HeaderRank +
				": declaration\r\n" + httpapi.HeaderDeadline + ": 150\r\n\r\nhalf")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			o, _ := httpapi.ReadOutcome(resp.Header)
			g.Expect(o.Kind).To(Equal(c.want))
			g.Expect(o.Reason).To(Or(Equal(c.reason), Equal(outcome.ReasonBroken)))
			for _, s := range n.slots.statuses() {
				g.Expect(string(s)).To(Equal("canceled"))
			}
			g.Eventually(n.InFlight).Should(BeZero())
		})
	}
}

// TestLookup guards against lookups that succeed although the answer would list
// no usable entry host.
func TestLookup(t *testing.T) {
	table, err := steer.NewTable("north").Apply(steer.Delta{SetServices: []steer.Service{{Name: "tables", Regions: []string{"north"}}},
		SetRegions: []steer.Region{{Name: "north"}}})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		desc, query string
		view        *view.Snapshot
		status      int
	}{
		{"no configuration", "?service=tables", view.New(nil, 0, nil, nil, nil), 503},
		{"no service", "", view.New(testConfig(), 1, nil, nil, table), 404},
		{"unknown service", "?service=" + strings.Repeat("x", 4<<10), view.New(testConfig(), 1, nil, nil, table), 404},
		{"unknown rank", "?service=tables&rank=x", view.New(testConfig(), 1, nil, nil, table), 400},
		{"client is not an IP address", "?service=tables&client=me", view.New(testConfig(), 1, nil, nil, table), 400},
		{"no entry host in the steering table", "?service=tables&rank=lookup&client=192.0.2.1", view.New(testConfig(), 1, nil, nil, table), 503},
	}
	n := newTestEdge(t, 7)
	for _, c := range cases {
		g := NewWithT(t)
		n.views.Publish(c.view)
		got := n.call(http.MethodGet, httpapi.PathLookup+c.query, nil)
		g.Expect(got.err).NotTo(HaveOccurred(), c.desc)
		g.Expect(got.status).To(Equal(c.status), c.desc)
		g.Expect(got.Kind).To(Equal(outcome.NotRun), c.desc)
		g.Expect(len(got.body)).To(BeNumerically("<", 512), c.desc)
	}
}

// FuzzParse guards against requests that make the parser panic, or that it
// accepts without the values that later code relies on.
func FuzzParse(f *testing.F) {
	n := newTestEdge(f, 7)
	f.Add("POST /v1/run/tables/a//b?c HTTP/1.1\r\nHost: h\r\nGalenabeam-Rank: lookup\r\nGalenabeam-Request-Id: " + id(7, 1) + "\r\nContent-Length: 2\r\n\r\nab")
	f.Add("GET /v1/run/tables HTTP/1.1\r\nHost: h\r\nGalenabeam-Rank: declaration\r\nGalenabeam-Deadline-Ms: 12\r\nConnection: X, Galenabeam-Rank\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		in, err := http.ReadRequest(bufio.NewReader(bytes.NewReader([]byte(text))))
		if err != nil {
			return
		}
		in.RemoteAddr = "192.0.2.1:1"
		r, refusal := n.parse(n.views.Load(), in)
		if refusal != nil {
			if refusal.Kind != outcome.NotRun || len(r.detail) > 1024 {
				t.Fatalf("refusal %v, detail %q", refusal, r.detail)
			}
			return
		}
		parsed, err := ledger.ParseID(r.idText)
		switch {
		case err != nil || parsed != r.id:
			t.Fatalf("identity %q: %v", r.idText, err)
		case r.service == nil || r.rank == nil || r.path[0] != '/':
			t.Fatalf("incomplete request %+v", r)
		case r.remaining() > 2*time.Second || r.contentLength > maxBody:
			t.Fatalf("limits exceeded by %+v", r)
		}
		for _, name := range strippedHeaders {
			if _, ok := r.header[name]; ok {
				t.Fatalf("header %s passed on", name)
			}
		}
	})
}
