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

// script is a backend server that treats its connections as a test says. It
// counts the whole requests that reached it.
type script struct {
	l    net.Listener
	runs atomic.Int32
	stop chan struct{}
}

// startScript serves each request on each connection by answer, which returns
// false to close the connection. before is called for a new connection.
func startScript(t *testing.T, before func(net.Conn) bool, answer func(s *script, c net.Conn, r *http.Request, n int) bool) *script {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{l: l, stop: make(chan struct{})}
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

func (s *script) serve(c net.Conn, before func(net.Conn) bool, answer func(*script, net.Conn, *http.Request, int) bool) {
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

func reply(text string) func(*script, net.Conn, *http.Request, int) bool {
	return func(_ *script, c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
		return false
	}
}

const ownID = "7.0.00000000000000000000000000000001"

func post(address string) Request {
	return Request{Address: address, Method: http.MethodPost, Path: "/work", Header: http.Header{}, RequestID: ownID, Left: time.Second}
}

// TestDoOutcome guards against an outcome that claims more than is known about
// the execution of a request, and against a request that is sent twice.
func TestDoOutcome(t *testing.T) {
	silent := func(s *script, _ net.Conn, _ *http.Request, _ int) bool { <-s.stop; return false }
	cases := []struct {
		desc   string
		answer func(*script, net.Conn, *http.Request, int) bool
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
		{desc: "shed with the mark", answer: reply("HTTP/1.1 503 no\nGalenabeam-Not-Started: 1\nContent-Length: 0\n\n"),
			want: outcome.Refuse(outcome.ReasonShed, 0), shed: true, runs: 1},
		{desc: "503 without the mark may have run", answer: reply("HTTP/1.1 503 no\nContent-Length: 0\n\n"), want: outcome.Success(), runs: 1},
		{desc: "mark on another status", answer: reply("HTTP/1.1 500 no\nGalenabeam-Not-Started: 1\nContent-Length: 0\n\n"), want: outcome.Success(), runs: 1},
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
			s := startScript(t, nil, c.answer)
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

// TestDoNothingSent guards against "unknown" for a request of which no byte
// left this process, and against a connection attempt counted as a run.
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

// TestDoClosedConnection guards against an answer made up for a connection that
// the server closes before it reads. Whether bytes left is up to the race.
func TestDoClosedConnection(t *testing.T) {
	g := NewWithT(t)
	s := startScript(t, func(net.Conn) bool { return false }, nil)
	client := NewClient()
	defer client.Close()
	for range 20 {
		o := client.Do(context.Background(), post(s.l.Addr().String())).Outcome
		g.Expect(o).To(Or(Equal(outcome.Uncertain(outcome.ReasonBroken)), Equal(outcome.Refuse(outcome.ReasonConnect, 0))))
	}
	g.Expect(s.runs.Load()).To(BeZero())
}

// TestDoBrokenWhileSending guards against "not run" for a request of which a
// part has left, and against a body that is sent again from its middle.
func TestDoBrokenWhileSending(t *testing.T) {
	g := NewWithT(t)
	var connections atomic.Int32
	s := startScript(t, func(c net.Conn) bool {
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

// TestDoReusedConnection guards against net/http sending a non-idempotent
// request again by itself when a server closes a connection that it kept. The
// idempotent GET is the broken variant: it is sent twice, so the count trips.
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
			s := startScript(t, nil, func(_ *script, conn net.Conn, _ *http.Request, n int) bool {
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
