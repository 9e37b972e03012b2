package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/requesttarget"
	"github.com/galenabeam/galenabeam/internal/routetable"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

const secretKey = "secret-key-1"

// testWorkspace holds secretKey and "other-key".
var testWorkspace = workspace.Definition{Workspace: workspace.Workspace{Name: "acme"}, Keys: []string{secretKey, "other-key"}}

// requestWith returns a request with further header lines.
func requestWith(method, path, id, body string, lines ...string) string {
	return strings.Replace(rawRequest(method, path, id, body), "Content-Length", strings.Join(append(lines, "Content-Length"), "\r\n"), 1)
}

// sendWith sends a request with further header lines on a new connection.
func (f *fixture) sendWith(t *testing.T, method, path, body string, lines ...string) (int, string, http.Header) {
	t.Helper()
	c, in := f.dial(t)
	if _, err := io.WriteString(c, requestWith(method, path, "one", body, lines...)); err != nil {
		t.Fatal(err)
	}
	return readAnswer(in)
}

// headerLog keeps the headers of the requests that a backend server got.
type headerLog struct {
	mu   sync.Mutex
	list []http.Header
}

// record wraps the answer function of a backend server.
func (l *headerLog) record(answer func(*testBackend, net.Conn, *http.Request, string) bool) func(*testBackend, net.Conn, *http.Request, string) bool {
	return func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		l.mu.Lock()
		l.list = append(l.list, r.Header.Clone())
		l.mu.Unlock()
		return answer(s, c, r, body)
	}
}

func (l *headerLog) headers() []http.Header {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]http.Header(nil), l.list...)
}

// TestKeyRequired guards against a request without a valid key that reaches a server, a
// valid one that doesn't, and a connection that ends after the refusal.
func TestKeyRequired(t *testing.T) {
	key := "X-Credential: " + secretKey
	for _, c := range []struct {
		desc  string
		lines []string
		want  int
	}{
		{"no key", nil, 401},
		{"unknown key", []string{"X-Credential: guess"}, 401},
		{"empty key", []string{"X-Credential:"}, 401},
		{"key with another case", []string{"X-Credential: " + strings.ToUpper(secretKey)}, 401},
		{"key above the limit", []string{"X-Credential: " + strings.Repeat("k", workspace.MaxKeyBytes+1)}, 401},
		{"the same key twice", []string{key, key}, 401},
		{"two keys of the workspace in one line", []string{key + ", other-key"}, 401},
		{"two keys of the workspace", []string{key, "x-credential: other-key"}, 401},
		{"name of the workspace", []string{"X-Workspace: acme"}, 401},
		{"key", []string{key}, 200},
		{"second key", []string{"X-Credential: other-key"}, 200},
		{"header in lower case", []string{strings.ToLower(key)}, 200},
		{"header in upper case, spaces around the key", []string{"X-CREDENTIAL:  " + secretKey + "  "}, 200},
		{"key named in Connection", []string{key, "Connection: x-credential"}, 200},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := startBackend(t, answerOK)
			f := startGateway(t, s)
			f.setWorkspaces(t, nil, testWorkspace)
			conn, in := f.dial(t)
			for i := range 2 { // on the same connection
				_, _ = io.WriteString(conn, requestWith("POST", "/post/a", fmt.Sprint("p", i), "body", c.lines...))
				status, _, header := readAnswer(in)
				g.Expect(status).To(Equal(c.want))
				g.Expect(header).NotTo(HaveKey("Retry-After"))
				g.Expect(header).NotTo(HaveKey("Connection"))
			}
			_, _ = io.WriteString(conn, requestWith("GET", "/get/a", "last", "", key))
			status, _, _ := readAnswer(in)
			g.Expect(status).To(Equal(200))
			runs := int32(1)
			if c.want == 200 {
				runs = 3
			}
			g.Expect(s.runs.Load()).To(Equal(runs))
		})
	}
}

// TestWorkspaceHeader guards against a key that reaches a server, and against a workspace
// that the caller forged, in any letter case and number of lines.
func TestWorkspaceHeader(t *testing.T) {
	key := "X-Credential: " + secretKey
	public := func(routes []routetable.Route) { routes[0].Public = true }
	for _, c := range []struct {
		desc  string
		lines []string
		want  []string
	}{
		{"key alone", []string{key}, []string{"acme"}},
		{"forged line", []string{key, "X-Workspace: rich"}, []string{"acme"}},
		{"forged lines in several cases", []string{"x-workspace: a", key, "X-WORKSPACE: b", "X-wOrKsPaCe:c", "X-Workspace:"}, []string{"acme"}},
		{"forged line with a space before the colon", []string{key, "X-Workspace : rich"}, []string{"acme"}},
		{"workspace named in Connection", []string{key, "X-Workspace: rich", "Connection: keep-alive, x-workspace"}, []string{"acme"}},
		{"workspace named in Connection without a line", []string{key, "Connection: X-Workspace"}, []string{"acme"}},
		{"key named in Connection", []string{key, "connection: x-credential"}, []string{"acme"}},
		{"no key on a public route", nil, nil},
		{"forged line on a public route", []string{"X-Workspace: rich", "x-workspace: acme"}, nil},
		{"unknown key on a public route", []string{"X-Credential: guess", "X-Workspace: rich"}, nil},
		{"two keys on a public route", []string{key, "X-Credential: other-key"}, nil},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			var log headerLog
			f := startGateway(t, startBackend(t, log.record(answerOK)))
			f.setWorkspaces(t, public, testWorkspace)
			status, _, _ := f.sendWith(t, "GET", "/get/a", "", c.lines...)
			g.Expect(status).To(Equal(200))
			g.Expect(log.headers()).To(HaveLen(1))
			for _, h := range log.headers() {
				g.Expect(h.Values("X-Workspace")).To(Equal(c.want))
				g.Expect(h).NotTo(HaveKey("X-Credential"))
				g.Expect(fmt.Sprint(h)).NotTo(ContainSubstring(secretKey))
				g.Expect(fmt.Sprint(h)).NotTo(ContainSubstring("rich"))
			}
		})
	}
}

// TestHeadersOfFurtherAttempts guards against a retry or a hedge that carries the key, a
// forged workspace or none.
func TestHeadersOfFurtherAttempts(t *testing.T) {
	for _, c := range []struct {
		desc  string
		first func(*testBackend, net.Conn, *http.Request, string) bool
	}{
		{"retry after a refusal", func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
			return sendAnswer(c, r, 503, "", "X-Not-Run: 1")
		}},
		{"retry after an error", func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool { return sendAnswer(c, r, 500, "") }},
		{"hedge", func(*testBackend, net.Conn, *http.Request, string) bool {
			time.Sleep(1500 * time.Millisecond)
			return false
		}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			var log headerLog
			first, second := startBackend(t, log.record(c.first)), startBackend(t, log.record(answerOK))
			f := startGateway(t, first, second)
			f.setWorkspaces(t, nil, testWorkspace)
			f.preferServer(first, "b0")
			status, _, _ := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey, "X-Workspace: rich")
			g.Expect(status).To(Equal(200))
			g.Expect(log.headers()).To(HaveLen(2))
			for _, h := range log.headers() {
				g.Expect(h.Values("X-Workspace")).To(Equal([]string{"acme"}))
				g.Expect(h).NotTo(HaveKey("X-Credential"))
			}
		})
	}
}

// TestWithoutWorkspaces guards against a change for deployments without workspaces: their
// callers' headers of these names are forwarded.
func TestWithoutWorkspaces(t *testing.T) {
	g := NewWithT(t)
	var log headerLog
	f := startGateway(t, startBackend(t, log.record(answerOK)))
	status, _, _ := f.sendWith(t, "GET", "/get/a", "", "X-Credential: k", "X-Workspace: w")
	g.Expect(status).To(Equal(200))
	g.Expect(log.headers()[0].Get("X-Credential")).To(Equal("k"))
	g.Expect(log.headers()[0].Get("X-Workspace")).To(Equal("w"))

	pr := &pendingRequest{request: &Request{HTTP: &http.Request{Host: "x", Header: http.Header{}}, Target: requesttarget.Target{Path: "/get/a"}}}
	table := f.g.Snapshot().Table
	g.Expect(testing.AllocsPerRun(100, func() { _, _ = f.g.route(pr, table) })).To(BeZero())
}

// TestKeyRevokedBetweenAttempts guards against a further attempt for a workspace that has
// lost the key meanwhile, and against a wrong answer then.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	notRun := func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		return sendAnswer(c, r, 503, "", "X-Not-Run: 1")
	}
	without := workspace.Definition{Workspace: workspace.Workspace{Name: "acme"}, Keys: []string{"other-key"}}
	moved := workspace.Definition{Workspace: workspace.Workspace{Name: "buyer"}, Keys: []string{secretKey}}
	public := func(routes []routetable.Route) { routes[0].Public = true }
	for _, c := range []struct {
		desc   string
		answer func(*testBackend, net.Conn, *http.Request, string) bool
		after  []workspace.Definition // after the first attempt has begun
		change func([]routetable.Route)
		want   int
		runs   int32
	}{
		{"refused, key removed", notRun, []workspace.Definition{without}, nil, 401, 1},
		{"refused, key of another workspace", notRun, []workspace.Definition{without, moved}, nil, 503, 1},
		{"refused, key removed, public route", notRun, []workspace.Definition{without}, public, 503, 1},
		{"refused, key still held", notRun, []workspace.Definition{testWorkspace, {Workspace: workspace.Workspace{Name: "new"}}}, nil, 200, 2},
		{"error, key removed", func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool { return sendAnswer(c, r, 500, "") }, []workspace.Definition{without}, nil, 500, 1},
		{"broken, key removed", func(*testBackend, net.Conn, *http.Request, string) bool { return false }, []workspace.Definition{without}, nil, 502, 1},
		{"slow, key removed before the hedge", func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
			time.Sleep(800 * time.Millisecond)
			return sendAnswer(c, r, 200, "")
		}, []workspace.Definition{without}, nil, 200, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			var f *fixture
			first := startBackend(t, func(s *testBackend, conn net.Conn, r *http.Request, body string) bool {
				f.setWorkspaces(t, c.change, c.after...)
				return c.answer(s, conn, r, body)
			})
			second := startBackend(t, answerOK)
			f = startGateway(t, first, second)
			f.setWorkspaces(t, c.change, testWorkspace)
			f.preferServer(first, "b0")
			status, _, _ := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
			g.Expect(status).To(Equal(c.want))
			g.Expect(first.runs.Load() + second.runs.Load()).To(Equal(c.runs))
		})
	}
}

// TestUnknownKeyOnStaleCopy guards against a host that rejects a key which was added while
// it had no contact with the store, and against one that no longer accepts known keys then.
func TestUnknownKeyOnStaleCopy(t *testing.T) {
	for _, c := range []struct {
		desc       string
		age, bound time.Duration
		unknown    int
	}{
		{"fresh", 0, 0, 401},
		{"at the default bound", defaultChangeDeadline, 0, 401},
		{"above the default bound", defaultChangeDeadline + time.Millisecond, 0, 503},
		{"at the bound", time.Second, time.Second, 401},
		{"above the bound", time.Second + time.Millisecond, time.Second, 503},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := startBackend(t, answerOK)
			f := startGatewayWith(t, func(f *fixture) {
				f.g.cfg.Age = func() time.Duration { return c.age }
				if c.bound > 0 {
					f.g.cfg.ChangeDeadline = c.bound
				}
			}, s)
			f.setWorkspaces(t, func(routes []routetable.Route) { routes[0].Public = true }, testWorkspace)
			status, _, header := f.sendWith(t, "POST", "/post/a", "x", "X-Credential: guess")
			g.Expect(status).To(Equal(c.unknown))
			if c.unknown == 503 {
				g.Expect(header.Get("Retry-After")).To(Equal("1.000"))
			}
			for _, invalid := range [][]string{nil, {"X-Credential:"}, {"X-Credential: a", "X-Credential: b"}} {
				status, _, _ = f.sendWith(t, "POST", "/post/a", "x", invalid...)
				g.Expect(status).To(Equal(401), "no configuration can make it valid")
			}
			g.Expect(s.runs.Load()).To(BeZero())
			status, _, _ = f.sendWith(t, "POST", "/post/a", "x", "X-Credential: "+secretKey)
			g.Expect(status).To(Equal(200))
			status, _, _ = f.sendWith(t, "GET", "/get/a", "", "X-Credential: guess")
			g.Expect(status).To(Equal(200), "public route")
		})
	}
}

// TestUnknownRouteOnStaleCopy guards against a host that answers 404 for a route which was
// added while it had no contact with the store, and against one that no longer serves known
// routes then.
func TestUnknownRouteOnStaleCopy(t *testing.T) {
	for _, c := range []struct {
		desc    string
		age     time.Duration
		unknown int
	}{
		{"at the bound", defaultChangeDeadline, 404},
		{"above the bound", defaultChangeDeadline + time.Millisecond, 503},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := startBackend(t, answerOK)
			f := startGatewayWith(t, func(f *fixture) { f.g.cfg.Age = func() time.Duration { return c.age } }, s)
			status, _, header := f.sendWith(t, "POST", "/nowhere", "x")
			g.Expect(status).To(Equal(c.unknown))
			if c.unknown == 503 {
				g.Expect(header.Get("Retry-After")).To(Equal("1.000"))
			}
			g.Expect(s.runs.Load()).To(BeZero())
			status, _, _ = f.sendWith(t, "GET", "/get/a", "")
			g.Expect(status).To(Equal(200))
		})
	}
}

// TestKeyArrivesDuringCheck guards against a key that is rejected because the configuration
// that adds it took effect between the lookup and the check of the copy's age.
func TestKeyArrivesDuringCheck(t *testing.T) {
	g := NewWithT(t)
	f := startGatewayWith(t, func(f *fixture) {
		f.g.cfg.Age = sync.OnceValue(func() time.Duration {
			f.setWorkspaces(t, nil, testWorkspace)
			return 0
		})
	}, startBackend(t, answerOK))
	f.setWorkspaces(t, nil, workspace.Definition{Workspace: workspace.Workspace{Name: "acme"}})
	status, _, _ := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
	g.Expect(status).To(Equal(200))
}

// TestKeyIsNowhere guards against a key in a log line, in a metric or in the state of the
// pools, for all kinds of answers.
func TestKeyIsNowhere(t *testing.T) {
	g := NewWithT(t)
	var text lockedBuffer
	registry := metrics.NewRegistry()
	f := startGatewayWith(t, func(f *fixture) {
		log := logrus.New()
		log.SetOutput(&text)
		log.SetLevel(logrus.TraceLevel)
		f.g.cfg.Log, f.g.cfg.Access, f.g.selector.log = log, log, log
		f.g.cfg.Metrics = NewMetrics(registry)
	}, startBackend(t, func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == "/get/broken" {
			_, _ = fmt.Fprint(c, r.Header, body)
			return false
		}
		return answerOK(s, c, r, body)
	}))
	f.setWorkspaces(t, func(routes []routetable.Route) { routes[2].Regions = []string{"q"} }, testWorkspace)
	key := "X-Credential: " + secretKey
	for _, c := range []struct {
		path  string
		lines []string
		want  int
	}{
		{"/get/a", []string{key}, 200},
		{"/get/a", []string{key, "Connection: X-Credential"}, 200},
		{"/get/broken", []string{key}, 502},
		{"/get/a", []string{key, key}, 401},
		{"/get/a", []string{key + "x"}, 401},
		{"/short/a", []string{key}, 503},
		{"/nowhere", []string{key}, 404},
	} {
		status, body, header := f.sendWith(t, "GET", c.path, "", c.lines...)
		g.Expect(status).To(Equal(c.want))
		g.Expect(body + fmt.Sprint(header)).NotTo(ContainSubstring(secretKey))
	}
	f.g.UpdateGauges()
	g.Expect(metrics.GetOrRegisterGauge("workspaces", registry).Value()).To(Equal(int64(1)))
	g.Expect(metrics.GetOrRegisterCounter("requests;service=none;rank=none;outcome=unauthorized", registry).Count()).To(Equal(int64(2)))
	var names bytes.Buffer
	metrics.WriteOnce(registry, &names)
	g.Expect(text.String()).To(ContainSubstring("workspace=acme"))
	g.Expect(text.String()).To(ContainSubstring("outcome=unauthorized"))
	for _, output := range []string{text.String(), names.String(), string(f.g.selector.Dump()), fmt.Sprintf("%+v", *f.g.Snapshot().Table)} {
		g.Expect(output).NotTo(BeEmpty())
		g.Expect(output).NotTo(ContainSubstring(secretKey))
	}
}

// lockedBuffer is a buffer for several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
