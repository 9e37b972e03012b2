package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// framing is how an answer is delimited.
type framing struct {
	desc, head string
	// chunk is the size of the chunks in which the body is sent, 0 for none.
	chunk int
	// end follows the body.
	end string
	// whole is set if the answer is complete, and withConnection if the end of the
	// connection ends it.
	whole, withConnection bool
}

// framings has {size} for the size of the body and {more} for a greater one.
var framings = []framing{
	{desc: "no length", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\n\r\n", withConnection: true},
	{desc: "no length, HTTP/1.0", head: "HTTP/1.0 200 X\r\nX-Id: p\r\nX-Signature: s\r\n\r\n", withConnection: true},
	{desc: "length", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\nContent-Length: {size}\r\n\r\n", whole: true},
	{desc: "length, short body", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\nContent-Length: {more}\r\n\r\n"},
	{desc: "chunks", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk: 50, end: "0\r\n\r\n", whole: true},
	{desc: "chunks with trailer", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n", chunk: 50, end: "0\r\nA: b\r\n\r\n", whole: true},
	{desc: "chunks, cut inside a chunk", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk: 50, end: "32\r\nabc"},
	{desc: "chunks, cut before the last chunk", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk: 50},
	{desc: "chunks, cut in the trailer", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk: 50, end: "0\r\nA: b\r\n"},
	{desc: "length and chunks", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n", chunk: 50, end: "0\r\n\r\n", whole: true},
	{desc: "length and chunks, cut", head: "HTTP/1.1 200 X\r\nX-Id: p\r\nX-Signature: s\r\nContent-Length: {size}\r\nTransfer-Encoding: chunked\r\n\r\n", chunk: 50},
}

// answer returns an answer with a body of the size.
func (f framing) answer(size int) string {
	head := strings.NewReplacer("{size}", fmt.Sprint(size), "{more}", fmt.Sprint(size+1)).Replace(f.head)
	if f.chunk == 0 {
		return head + strings.Repeat("a", size) + f.end
	}
	return head + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", f.chunk, strings.Repeat("a", f.chunk)), size/f.chunk) + f.end
}

// TestSeveredAnswer guards against a part of an answer that reaches the caller as complete,
// and against a complete one that is lost, depending on whether the gateway's reader or its
// writer saw the end of the server's connection first.
func TestSeveredAnswer(t *testing.T) {
	for _, end := range []struct {
		desc string
		end  ending
		// proper is set if the server ends the connection properly and reads the request.
		proper bool
		// writing is set if the end comes while the request is written.
		writing bool
	}{
		{"closed after the request", endsAfterRequest, true, false},
		{"half-closed during the request", halfCloses, true, true},
		{"reset after the request", resetAfterRequest, false, false},
		{"reset seen by the writer", resetSeenByWriter, false, true},
		{"reset seen by the reader", resetSeenByReader, false, true},
		{"closed during the request", closesEarly, false, true},
	} {
		for _, body := range uploads {
			if body.inline && end.writing && end.end != resetSeenByWriter {
				continue // the writer ends before the reader starts
			}
			for _, framing := range framings {
				t.Run(fmt.Sprint(end.desc, ", ", body.desc, ", ", framing.desc), func(t *testing.T) {
					whole := framing.whole || framing.withConnection && end.proper
					for _, size := range []int{100, maxBufferedAnswer + 50} {
						for _, path := range []string{"/get/a", "/post/a"} {
							for warmups := range 2 {
								checkSevered(t, body, framing, size, path, end.end, warmups, whole)
							}
						}
					}
				})
			}
		}
	}
}

// checkSevered sends a request over a severedConn and checks what the caller gets.
func checkSevered(t *testing.T, body upload, framing framing, size int, path string, end ending, warmups int, whole bool) {
	t.Helper()
	g := NewWithT(t)
	desc := fmt.Sprintf("%s, %d bytes, %d earlier requests", path, size, warmups)
	size -= size % max(framing.chunk, 1)
	conn := newSeveredConn(framing.answer(size), end, 1<<10, warmups, body.isWhole)
	f := startGatewayWith(t, func(f *fixture) { f.dialOnce(conn) }, startBackend(t, answerOK))
	if warmups > 0 {
		status, _, _ := f.sendRequest(t, "GET", "/get/warm", "warm", "")
		g.Expect(status).To(Equal(200), desc)
	}
	c, in := f.dial(t)
	go body.send(c, path, "2000")
	status, got, header := readAnswer(in)
	_ = c.Close()
	switch {
	case whole:
		g.Expect(status).To(Equal(200), desc)
		g.Expect(len(got)).To(Equal(size), desc)
		g.Expect(header.Values("Content-Length")).To(Or(BeEmpty(), Equal([]string{fmt.Sprint(size)})), desc)
	case size < maxBufferedAnswer/2:
		g.Expect(status).To(Equal(502), desc)
	default:
		g.Expect(status).To(BeZero(), desc+": the answer must not look complete")
	}
	g.Eventually(f.front.InFlight, "5s").Should(BeZero())
	if !whole || framing.withConnection {
		g.Eventually(conn.isClosed, "5s").Should(BeTrue(), desc)
	}
}

// TestUploadNeverRead guards against an answer without length that is passed on as complete
// although its server has stopped to read the request, and against a caller that waits
// beyond its deadline.
func TestUploadNeverRead(t *testing.T) {
	for _, body := range uploads[1:] {
		for _, size := range []int{100, maxBufferedAnswer + 50} {
			t.Run(fmt.Sprint(body.desc, size), func(t *testing.T) {
				g := NewWithT(t)
				conn := newSeveredConn(framings[0].answer(size), halfClosesUnread, 1<<10, 0, body.isWhole)
				f := startGatewayWith(t, func(f *fixture) { f.dialOnce(conn) }, startBackend(t, answerOK))
				c, in := f.dial(t)
				go body.send(c, "/post/a", "300")
				status, _, _ := readAnswer(in)
				_ = c.Close()
				want := 504
				if size > maxBufferedAnswer {
					want = 0
				}
				g.Expect(status).To(Equal(want))
				g.Eventually(conn.isClosed, "5s").Should(BeTrue())
			})
		}
	}
}

// TestSeveredRefusal guards against the promise that a request has not run from a refusal
// that broke off, depending on who saw the end of the connection first.
func TestSeveredRefusal(t *testing.T) {
	const head = "HTTP/1.1 503 X\r\nX-Id: p\r\nX-Not-Run: 1\r\n"
	for _, c := range []struct {
		desc, answer string
		end          ending
		want         int
	}{
		{"length, seen by the writer", head + "Content-Length: 4\r\n\r\nbusy", resetSeenByWriter, 503},
		{"length, seen by the reader", head + "Content-Length: 4\r\n\r\nbusy", resetSeenByReader, 503},
		{"no length, seen by the writer", head + "\r\nbusy", resetSeenByWriter, 502},
		{"no length, seen by the reader", head + "\r\nbusy", resetSeenByReader, 502},
		{"no length, closed early", head + "\r\nbusy", closesEarly, 502},
		{"no length, half-closed", head + "\r\nbusy", halfCloses, 503},
		{"no length, closed after the request", head + "\r\nbusy", endsAfterRequest, 503},
		{"no length, request not read", head + "\r\nbusy", halfClosesUnread, 502},
	} {
		for _, body := range uploads[1:] {
			t.Run(c.desc+", "+body.desc, func(t *testing.T) {
				g := NewWithT(t)
				conn := newSeveredConn(c.answer, c.end, 1<<10, 0, body.isWhole)
				f := startGatewayWith(t, func(f *fixture) { f.dialOnce(conn) }, startBackend(t, answerOK))
				caller, in := f.dial(t)
				go body.send(caller, "/post/a", "2000")
				status, _, _ := readAnswer(in)
				_ = caller.Close()
				g.Expect(status).To(Equal(c.want))
			})
		}
	}
}

// severingBackend starts a server that reads the first KiB of each upload, answers, and ends
// the connection with end while the upload is still being written.
func severingBackend(t *testing.T, answer string, end func(c *net.TCPConn)) *testBackend {
	t.Helper()
	s := &testBackend{disconnected: make(chan struct{}, 16)}
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.listener.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReaderSize(c, 1<<10)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if r.ContentLength == 0 {
				if !sendAnswer(c, r, 200, "ok") {
					return
				}
				continue
			}
			_, _ = io.WriteString(c, answer)
			end(c.(*net.TCPConn))
			return
		}
	}
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return s
}

// TestSeveredSocket is TestSeveredAnswer with sockets: the operating system decides whether
// the reader or the writer gets the error of a reset.
func TestSeveredSocket(t *testing.T) {
	const rounds = 10
	// An answer of this size fits into the buffers of a loopback connection.
	const small = 20 << 10
	for _, end := range []struct {
		desc  string
		end   func(c *net.TCPConn)
		whole bool
	}{
		{"reset", func(c *net.TCPConn) {
			// Most of the upload does not fit into the buffers of the connection.
			_ = c.SetReadBuffer(8 << 10)
			time.Sleep(2 * time.Millisecond) // the bytes of the answer arrive before
			_ = c.SetLinger(0)
			_ = c.Close()
		}, false},
		{"closed with unread bytes", func(c *net.TCPConn) { _ = c.Close() }, false},
		{"half-closed, upload read to the end", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
	} {
		for _, body := range []upload{
			{desc: "body written in the background", size: 1 << 20},
			{desc: "streamed body", size: 8 << 20},
			{desc: "streamed body of unknown length", size: 8 << 20, chunked: true},
		} {
			for _, size := range []int{small, maxBufferedAnswer + 64<<10} {
				for _, path := range []string{"/get/a", "/post/a"} {
					t.Run(fmt.Sprint(end.desc, ", ", body.desc, ", ", size, path), func(t *testing.T) {
						g := NewWithT(t)
						s := severingBackend(t, framings[0].answer(size), end.end)
						f := startGateway(t, s)
						for i := range rounds {
							if i%2 == 0 {
								status, _, _ := f.sendRequest(t, "GET", "/get/warm", fmt.Sprint("warm", i), "")
								g.Expect(status).To(Equal(200))
							}
							c, in := f.dial(t)
							go body.send(c, path, "5000")
							status, got, _ := readAnswer(in)
							_ = c.Close()
							switch {
							case end.whole:
								g.Expect(status).To(Equal(200))
								g.Expect(got).To(HaveLen(size))
							case size == small:
								g.Expect(status).To(Equal(502))
							default:
								// 0 if the part was above maxBufferedAnswer.
								g.Expect(status).To(Or(BeZero(), Equal(502)))
							}
						}
					})
				}
			}
		}
	}
}
