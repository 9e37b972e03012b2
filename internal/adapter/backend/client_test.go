package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedServer is a backend server whose answers are set by a test. It counts the
// complete requests that it received.
type scriptedServer struct {
	l    net.Listener
	runs atomic.Int32
	stop chan struct{}
}

// startScriptedServer starts a server that calls answer for the n-th request, from
// 1, and before, if not nil, for each new connection. Either returns false to close
// the connection.
func startScriptedServer(t *testing.T, before func(net.Conn) bool, answer func(s *scriptedServer, c net.Conn, r *http.Request, n int) bool) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{l: l, stop: make(chan struct{})}
	t.Cleanup(func() { close(s.stop); _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, before, answer)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, before func(net.Conn) bool, answer func(*scriptedServer, net.Conn, *http.Request, int) bool) {
	defer func() { _ = c.Close() }()
	if before != nil && !before(c) {
		return
	}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !answer(s, c, r, int(s.runs.Add(1))) {
			return
		}
	}
}

func reply(text string) func(*scriptedServer, net.Conn, *http.Request, int) bool {
	return func(_ *scriptedServer, c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
		return false
	}
}

const ownID = "7.0.00000000000000000000000000000001"

func post(address string) Request {
	return Request{Address: address, Method: http.MethodPost, Path: "/work", Header: http.Header{}, RequestID: ownID, Remaining: time.Second}
}

// TestDoOutcome guards against an outcome that claims more than is known, and a
// request that is sent twice, when a server answers wrongly, incompletely or not at
// all.
func TestDoOutcome(t *testing.T) {
	silent := func(s *scriptedServer, _ net.Conn, _ *http.Request, _ int) bool { <-s.stop; return false }
	cases := []struct {
		desc   string
		answer func(*scriptedServer, net.Conn, *http.Request, int) bool
		want   outcome.Outcome
		shed   bool
		drain  bool
		runs   int32
		cancel bool
	}{
		{desc: "connection closed after the request", answer: reply(""), want: outcome.Uncertain(outcome.ReasonBroken), runs: 1},
		{desc: "header cut short", answer: reply("HTTP/1.1 200 OK\nContent-Le"), want: outcome.Uncertain(outcome.ReasonBroken), runs: 1},
		{desc: "answer is not HTTP", answer: reply("220 smtp.example\n\n"), want: outcome.Uncertain(outcome.ReasonBroken), runs: 1},
		{desc: "header beyond the limit", answer: reply("HTTP/1.1 200 OK\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\n\n"),
			want: outcome.Uncertain(outcome.ReasonBroken), runs: 1},
		{desc: "answer to another request", answer: reply("HTTP/1.1 200 OK\nGalenabeam-Request-Id: 9.9.9\nContent-Length: 0\n\n"),
			want: outcome.Uncertain(outcome.ReasonWrongRequest), runs: 1},
		{desc: "refusal of another request", answer: reply("HTTP/1.1 503 no\nGalenabeam-Request-Id: 9.9.9\nGalenabeam-Not-Started: 1\nContent-Length: 0\n\n"),
			want: outcome.Uncertain(outcome.ReasonWrongRequest), runs: 1},
		{desc: "refusal without identity, which may be an earlier one", answer: reply("HTTP/1.1 503 no\nGalenabeam-Not-Started: 1\nContent-Length: 0\n\n"),
			want: outcome.Uncertain(outcome.ReasonWrongRequest), runs: 1},
		{desc: "shed with the mark", answer: reply("HTTP/1.1 503 no\nGalenabeam-Request-Id: " + ownID + "\nGalenabeam-Not-Started: 1\nContent-Length: 0\n\n"),
			want: outcome.Refuse(outcome.ReasonShed, 0), shed: true, runs: 1},
		{desc: "503 without the mark may have run", answer: reply("HTTP/1.1 503 no\nContent-Length: 0\n\n"), want: outcome.Success(), runs: 1},
		{desc: "500 with the mark may have run", answer: reply("HTTP/1.1 500 no\nGalenabeam-Not-Started: 1\nContent-Length: 0\n\n"), want: outcome.Success(), runs: 1},
		{desc: "draining", answer: reply("HTTP/1.1 200 OK\nConnection: close\nGalenabeam-Draining: 1\nContent-Length: 0\n\n"),
			want: outcome.Success(), drain: true, runs: 1},
		{desc: "body that ends with the connection", answer: reply("HTTP/1.1 200 OK\n\nhalf an ans"), want: outcome.Uncertain(outcome.ReasonIncomplete), runs: 1},
		{desc: "chunked body", answer: reply("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n0\n\n"), want: outcome.Success(), runs: 1},
		{desc: "deadline", answer: silent, want: outcome.Uncertain(outcome.ReasonTimeout), runs: 1},
		{desc: "canceled while running", answer: silent, want: outcome.Uncertain(outcome.ReasonCanceled), runs: 1, cancel: true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := startScriptedServer(t, nil, c.answer)
			client := NewClient()
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			if c.cancel {
				go func() {
					for s.runs.Load() == 0 {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			a := client.Do(ctx, post(s.l.Addr().String()))
			if a.Response != nil {
				_ = a.Response.Body.Close()
			}
			g.Expect(a.Outcome).To(Equal(c.want))
			g.Expect(a.Response != nil).To(Equal(c.want.Kind == outcome.Done))
			g.Expect(a.Shed).To(Equal(c.shed))
			g.Expect(a.Draining).To(Equal(c.drain))
			g.Expect(s.runs.Load()).To(Equal(c.runs))
		})
	}
}

// TestTargetAsSent guards against a request line that is not the path and query to send, byte
// for byte.
func TestTargetAsSent(t *testing.T) {
	for _, target := range []string{"/work", "/a%2Fb|c?d|e", "/a%2Fb^{}\u00e9", "/a%2fb%7C?", "//a/../b?", "/?a"} {
		g := NewWithT(t)
		var got string
		s := startScriptedServer(t, nil, func(_ *scriptedServer, c net.Conn, r *http.Request, _ int) bool {
			got = r.RequestURI
			return reply("HTTP/1.1 200 OK\nContent-Length: 0\n\n")(nil, c, r, 0)
		})
		r := post(s.l.Addr().String())
		r.Path = target
		client := NewClient()
		client.Do(context.Background(), r)
		client.Close()
		g.Expect(got).To(Equal(target))
	}
}

// TestDoNothingSent guards against the outcome "unknown" for a request of which
// nothing was sent, and against a connection attempt that counts as an execution.
func TestDoNothingSent(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	bad := post(address)
	bad.Path = "/%zz"
	cases := []struct {
		desc string
		ctx  context.Context
		r    Request
		want outcome.Reason
	}{
		{"refused connection", context.Background(), post(address), outcome.ReasonConnect},
		{"canceled before it was sent", canceled, post(address), outcome.ReasonLate},
		{"malformed path", context.Background(), bad, outcome.ReasonBadRequest},
	}
	for _, c := range cases {
		client := NewClient()
		g.Expect(client.Do(c.ctx, c.r).Outcome).To(Equal(outcome.Refuse(c.want, 0)), c.desc)
		client.Close()
	}
}

// TestDoClosedConnection guards against a wrong outcome if the server closes the
// connection before it reads. Whether bytes were sent before depends on timing.
func TestDoClosedConnection(t *testing.T) {
	g := NewWithT(t)
	s := startScriptedServer(t, func(net.Conn) bool { return false }, nil)
	client := NewClient()
	defer client.Close()
	for range 20 {
		o := client.Do(context.Background(), post(s.l.Addr().String())).Outcome
		g.Expect(o).To(Or(Equal(outcome.Uncertain(outcome.ReasonBroken)), Equal(outcome.Refuse(outcome.ReasonConnect, 0))))
	}
	g.Expect(s.runs.Load()).To(BeZero())
}

// TestDoBrokenWhileSending guards against the outcome "not run" for a partly sent
// request, and against resending the rest of its body on another connection.
func TestDoBrokenWhileSending(t *testing.T) {
	g := NewWithT(t)
	var connections atomic.Int32
	s := startScriptedServer(t, func(c net.Conn) bool {
		connections.Add(1)
		_, _ = io.CopyN(io.Discard, c, 1<<10)
		return false
	}, nil)
	client := NewClient()
	defer client.Close()
	const size = 64 << 20
	r := post(s.l.Addr().String())
	r.Body, r.ContentLength = io.LimitReader(zeros{}, size), size
	g.Expect(client.Do(context.Background(), r).Outcome).To(Equal(outcome.Uncertain(outcome.ReasonBroken)))
	g.Expect(connections.Load()).To(Equal(int32(1)))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// TestDoReusedConnection guards against net/http resending a non-idempotent request
// when a server closes a reused connection. The idempotent GET is sent twice, which
// shows that the count of requests detects it.
func TestDoReusedConnection(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	body := func() io.Reader { return strings.NewReader("declaration") }
	cases := []struct {
		desc       string
		method     string
		body       func() io.Reader
		length     int64
		header     http.Header
		idempotent bool
		runs       int32
	}{
		{desc: "POST with a body", method: http.MethodPost, body: body, length: 11, runs: 2},
		{desc: "POST without a body", method: http.MethodPost, runs: 2},
		{desc: "GET", method: http.MethodGet, runs: 2},
		{desc: "POST with an idempotency key", method: http.MethodPost, header: http.Header{"Idempotency-Key": {"1"}}, runs: 2},
		{desc: "GET with a body", method: http.MethodGet, body: body, length: 11, runs: 2},
		{desc: "idempotent GET may be repeated", method: http.MethodGet, idempotent: true, runs: 3},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := startScriptedServer(t, nil, func(_ *scriptedServer, conn net.Conn, _ *http.Request, n int) bool {
				if n == 2 {
					return false
				}
				_, _ = io.WriteString(conn, ok)
				return true
			})
			client := NewClient()
			defer client.Close()
			do := func() Answer {
				r := post(s.l.Addr().String())
				r.Method, r.Idempotent, r.ContentLength = c.method, c.idempotent, c.length
				if c.header != nil {
					r.Header = c.header.Clone()
				}
				if c.body != nil {
					r.Body = c.body()
				}
				a := client.Do(context.Background(), r)
				if a.Response != nil {
					_, _ = io.Copy(io.Discard, a.Response.Body)
					_ = a.Response.Body.Close()
				}
				return a
			}
			g.Expect(do().Outcome).To(Equal(outcome.Success()))
			second := do().Outcome
			g.Expect(s.runs.Load()).To(Equal(c.runs))
			if !c.idempotent {
				g.Expect(second).To(Equal(outcome.Uncertain(outcome.ReasonBroken)))
			}
		})
	}
}
