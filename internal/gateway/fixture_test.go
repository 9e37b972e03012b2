package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/routetable"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

var testHeaders = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Affinity: "X-Key", ExpectInstance: "X-Expect",
	Load: "X-Load", NotRun: "X-Not-Run", Signature: "X-Signature", Leaving: "X-Leaving",
	Key: "X-Credential", Workspace: "X-Workspace",
}

// testBackend is a backend server whose answers are defined by the test.
// disconnected receives a value when a connection ends or a request is malformed.
type testBackend struct {
	listener     net.Listener
	runs         atomic.Int32
	mu           sync.Mutex
	received     []string // request lines with bodies
	disconnected chan struct{}
	open         atomic.Int32 // connections
}

// disconnectedOrDone reports whether no connection is open.
func (s *testBackend) disconnectedOrDone() bool { return s.open.Load() == 0 }

// startBackend starts a backend server that calls answer for each request. answer
// returns false to close the connection.
func startBackend(t *testing.T, answer func(s *testBackend, c net.Conn, r *http.Request, body string) bool) *testBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testBackend{listener: listener, disconnected: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *testBackend) serve(c net.Conn, answer func(*testBackend, net.Conn, *http.Request, string) bool) {
	s.open.Add(1)
	defer func() { _ = c.Close(); s.open.Add(-1) }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			s.disconnected <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.runs.Add(1)
		s.mu.Lock()
		s.received = append(s.received, r.Method+" "+r.RequestURI+" "+string(body))
		s.mu.Unlock()
		if !answer(s, c, r, string(body)) {
			return
		}
	}
}

// sendAnswer writes a complete answer with a signature and reports whether that
// succeeded.
func sendAnswer(c net.Conn, r *http.Request, status int, body string, extra ...string) bool {
	head := strings.Join(append(extra, ""), "\r\n")
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("X-Id"), len(body), head, body)
	return err == nil
}

func answerOK(_ *testBackend, c net.Conn, r *http.Request, body string) bool {
	return sendAnswer(c, r, 200, "answer to "+r.Header.Get("X-Id")+" "+body)
}

// noPeers is the PeerClient and PersistentStore of a host without peers: calls fail,
// and nothing is stored.
type noPeers struct{}

func (noPeers) Call(context.Context, string, string, any, any) error { return errors.New("no peer") }
func (noPeers) Notify(context.Context, string, string, any) error    { return errors.New("no peer") }
func (noPeers) Save(context.Context, string, []byte) error           { return nil }
func (noPeers) Load(context.Context, string) ([]byte, error)         { return nil, nil }

// testServices are the services of startGateway.
var testServices = []routetable.Service{{Name: "s", ColdRate: 5, ColdStart: time.Second}}

// testRoutes returns the routes of startGateway.
func testRoutes() []routetable.Route {
	return []routetable.Route{
		{Name: "get", Host: "x", Prefix: "/get/", Services: []routetable.WeightedService{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2},
		{Name: "post", Host: "x", Prefix: "/post/", Kind: routetable.NonIdempotent, Services: []routetable.WeightedService{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2},
		{Name: "short", Host: "x", Prefix: "/short/", Services: []routetable.WeightedService{{Service: "s", Weight: 1}}, Timeout: 150 * time.Millisecond, Objective: 100 * time.Millisecond, MaxAttempts: 2},
	}
}

type fixture struct {
	g       *Gateway
	front   *Front
	address string
}

// startGateway starts a gateway for the backend servers b0, b1 and so on, of four
// slots each. Requests below /get/ and /short/ are repeatable; those below /post/
// must run at most once.
func startGateway(t *testing.T, servers ...*testBackend) *fixture {
	t.Helper()
	return startGatewayWith(t, func(*fixture) {}, servers...)
}

// startGatewayWith is startGateway with a function that configures the parts before callers
// connect.
func startGatewayWith(t *testing.T, configure func(*fixture), servers ...*testBackend) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := fleet.Host{Name: "h", FailureDomain: "d", Region: "r", FrontAddress: "f", PeerAddress: "p", Cores: 1}
	g := New(Config{Self: self, Headers: testHeaders, Budget: Budget{Share: 0.2, Burst: 50}, FleetLimits: dispatch.DefaultLimits, PeerClient: noPeers{}, PersistentStore: noPeers{}, Log: log, Access: log,
		Age: func() time.Duration { return 0 }})
	g.budgets["s"] = retry.NewBudget(0.2, 50) // the budget after many requests
	// Only the deadline of a request bounds its connections: on a busy machine, one to a
	// test server may take longer than connectTimeout.
	g.upstream.dialContext = (&net.Dialer{}).DialContext
	table, err := routetable.New(1, defaultLimits, testServices, testRoutes())
	if err != nil {
		t.Fatal(err)
	}
	var backends []*fleet.Backend
	for i, s := range servers {
		backends = append(backends, &fleet.Backend{ID: fmt.Sprint("b", i), Service: "s", Address: s.listener.Addr().String(), FailureDomain: "d", Region: "r", Slots: 4})
	}
	g.SetSnapshot(fleet.New(1, table, backends, []*fleet.Host{&self}, nil, map[string]string{"d": "r"}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{g: g, front: NewFront(g), address: listener.Addr().String()}
	configure(f)
	go func() { _ = f.front.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return f
}

// connectFront starts a Front that passes requests to h, and returns it with a connection of a
// caller.
func connectFront(t *testing.T, h Handler) (*Front, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{front: NewFront(h), address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = f.front.Serve(listener) }()
	c, _ := f.dial(t)
	return f.front, c
}

// setWorkspaces sets a new configuration: that of the fixture, changed by change if it is
// not nil, with the workspaces.
func (f *fixture) setWorkspaces(t *testing.T, change func(routes []routetable.Route), list ...workspace.Definition) {
	t.Helper()
	set, err := workspace.NewSet(list)
	if err != nil {
		t.Fatal(err)
	}
	f.setTable(t, change, set)
}

// setTable sets a new configuration: that of the fixture, changed by change if it is not nil,
// with the workspaces, if set is not nil.
func (f *fixture) setTable(t *testing.T, change func(routes []routetable.Route), set *workspace.Set) {
	t.Helper()
	routes := testRoutes()
	if change != nil {
		change(routes)
	}
	s := f.g.Snapshot()
	table, err := routetable.New(s.Table.Version+1, s.Table.Limits, testServices, routes)
	if err != nil {
		t.Fatal(err)
	}
	table.Workspaces = set
	f.g.SetSnapshot(s.WithTable(table))
}

// setBodyLimit sets the configuration's limit of a request's body, in bytes.
func (f *fixture) setBodyLimit(limit int64) {
	f.setLimits(func(l *routetable.Limits) { l.BodyBytes = limit })
}

// setLimits sets a new configuration with other limits.
func (f *fixture) setLimits(change func(l *routetable.Limits)) {
	s := f.g.Snapshot()
	table := *s.Table
	table.Version++
	change(&table.Limits)
	f.g.SetSnapshot(s.WithTable(&table))
}

func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

func rawRequest(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nX-Id: %s\r\nX-Deadline: 2000\r\nContent-Length: %d\r\n\r\n%s", method, path, id, len(body), body)
}

// readAnswer returns the status, body and header of an answer, or status 0 if the
// connection ended before a complete answer.
func readAnswer(in *bufio.Reader) (int, string, http.Header) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", nil
	}
	if resp.Close { // http.ReadResponse removes the header
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, string(body), resp.Header
}

func (f *fixture) sendRequest(t *testing.T, method, path, id, body string) (int, string, http.Header) {
	t.Helper()
	c, in := f.dial(t)
	if _, err := io.WriteString(c, rawRequest(method, path, id, body)); err != nil {
		t.Fatal(err)
	}
	return readAnswer(in)
}
