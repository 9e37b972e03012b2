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
)

var testHeaders = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Affinity: "X-Key", ExpectInstance: "X-Expect",
	Load: "X-Load", NotRun: "X-Not-Run", Signature: "X-Signature",
}

// server is a backend server that answers as the test says.
type server struct {
	l    net.Listener
	runs atomic.Int32
	mu   sync.Mutex
	seen []string // request lines with bodies
	gone chan struct{}
}

// startServer serves each request by answer, which returns false to close the
// connection.
func startServer(t *testing.T, answer func(s *server, c net.Conn, r *http.Request, body string) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{l: l, gone: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, answer func(*server, net.Conn, *http.Request, string) bool) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			s.gone <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.runs.Add(1)
		s.mu.Lock()
		s.seen = append(s.seen, r.Method+" "+r.RequestURI+" "+string(body))
		s.mu.Unlock()
		if !answer(s, c, r, string(body)) {
			return
		}
	}
}

// send writes a whole answer with a signature.
func send(c net.Conn, r *http.Request, status int, body string, extra ...string) bool {
	head := strings.Join(append(extra, ""), "\r\n")
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("X-Id"), len(body), head, body)
	return err == nil
}

func ok(_ *server, c net.Conn, r *http.Request, body string) bool {
	return send(c, r, 200, "answer to "+r.Header.Get("X-Id")+" "+body)
}

// noPeer stands for a fleet of one host.
type noPeer struct{}

func (noPeer) Call(context.Context, string, string, any, any) error { return errors.New("no peer") }
func (noPeer) Notify(context.Context, string, string, any) error    { return errors.New("no peer") }
func (noPeer) Save(context.Context, string, []byte) error           { return nil }
func (noPeer) Load(context.Context, string) ([]byte, error)         { return nil, nil }

type fixture struct {
	g       *Gateway
	front   *Front
	address string
}

// start runs a gateway in front of backend servers. Routes: /get/ may be
// repeated, /post/ must run at most once.
func start(t *testing.T, servers ...*server) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := fleet.Host{Name: "h", Domain: "d", Region: "r", Front: "f", Peer: "p", Cores: 1}
	g := New(Config{Self: self, Headers: testHeaders, Budget: Budget{Ratio: 0.2, Slack: 50}, Limits: dispatch.DefaultLimits, Caller: noPeer{}, PersistentStore: noPeer{}, Log: log, Access: log,
		Age: func() time.Duration { return 0 }})
	g.budgets["s"] = retry.NewBudget(0.2, 50) // as after many requests
	table, err := routetable.New(1, defaultLimits, []routetable.Service{{Name: "s", ColdRate: 5, ColdStart: time.Second}}, []routetable.Route{
		{Name: "get", Host: "x", Prefix: "/get/", Targets: []routetable.Target{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2},
		{Name: "post", Host: "x", Prefix: "/post/", Kind: routetable.NonIdempotent, Targets: []routetable.Target{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2},
		{Name: "short", Host: "x", Prefix: "/short/", Targets: []routetable.Target{{Service: "s", Weight: 1}}, Timeout: 150 * time.Millisecond, Objective: 100 * time.Millisecond, MaxAttempts: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	var backends []*fleet.Backend
	for i, s := range servers {
		backends = append(backends, &fleet.Backend{ID: fmt.Sprint("b", i), Service: "s", Address: s.l.Addr().String(), Domain: "d", Region: "r", Slots: 4})
	}
	g.SetView(fleet.New(1, table, backends, []*fleet.Host{&self}, nil, map[string]string{"d": "r"}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{g: g, front: NewFront(g), address: l.Addr().String()}
	go func() { _ = f.front.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return f
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

// read returns the status and body of an answer, or status 0 if the connection
// ended without a whole one.
func read(in *bufio.Reader) (int, string, http.Header) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", nil
	}
	if resp.Close { // the library takes the header away
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, string(body), resp.Header
}

func (f *fixture) do(t *testing.T, method, path, id, body string) (int, string, http.Header) {
	t.Helper()
	c, in := f.dial(t)
	if _, err := io.WriteString(c, rawRequest(method, path, id, body)); err != nil {
		t.Fatal(err)
	}
	return read(in)
}
