package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/transfer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echo struct {
	Text string `json:"text"`
}

// startServer serves the methods echo, fail and wait on an address; port 0 takes a
// free one. It returns the address and a function that stops the server.
func startServer(t *testing.T, address string) (string, func()) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(nil)
	Handle(s, "echo", func(_ context.Context, e echo) (echo, error) { return e, nil })
	Handle(s, "fail", func(context.Context, echo) (echo, error) { return echo{}, trace.Errorf("no such pool") })
	Handle(s, "wait", func(ctx context.Context, _ echo) (echo, error) { <-ctx.Done(); return echo{}, ctx.Err() })
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Serve(l) }()
	var once sync.Once
	stop := func() { once.Do(func() { _ = l.Close(); s.Close(); <-ended }) }
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

func frame(body string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(body))), body...)
}

// TestServerFrames guards against a malformed frame that stops the server, keeps
// its connection open, or is answered as if it were a call.
func TestServerFrames(t *testing.T) {
	call := func(method, params string) []byte {
		return frame(`{"jsonrpc":"2.0","id":1,"method":"` + method + `"` + params + `}`)
	}
	cases := []struct {
		desc string
		send []byte
		// want is part of the answer; empty means that the connection is closed.
		want string
	}{
		{desc: "call", send: call("echo", `,"params":{"text":"x"}`), want: `"result":{"text":"x"}`},
		{desc: "unknown method", send: call("nothing", `,"params":{}`), want: `"code":-32601`},
		{desc: "no parameters", send: call("echo", ""), want: `"code":-32602`},
		{desc: "parameters of another type", send: call("echo", `,"params":{"text":7}`), want: `"code":-32602`},
		{desc: "handler fails", send: call("fail", `,"params":{}`), want: "no such pool"},
		{desc: "not JSON", send: frame("hello")},
		{desc: "null", send: frame("null")},
		{desc: "empty frame", send: frame("")},
		{desc: "neither call nor answer", send: frame(`{"jsonrpc":"2.0","id":1}`)},
		{desc: "empty batch", send: frame("[]")},
		{desc: "batch", send: frame(`[{"jsonrpc":"2.0","id":1,"method":"echo","params":{}}]`)},
		{desc: "frame above the limit", send: binary.AppendUvarint(nil, MaxFrameBytes+1)},
		{desc: "length without end", send: bytes.Repeat([]byte{0xff}, 11)},
		{desc: "HTTP request", send: []byte("GET / HTTP/1.1\r\n\r\n" + strings.Repeat("x", 100))},
	}
	address, _ := startServer(t, "127.0.0.1:0")
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			_, err = conn.Write(c.send)
			g.Expect(err).NotTo(HaveOccurred())
			var got json.RawMessage
			err = boundedCodec{}.ReadObject(bufio.NewReader(conn), &got)
			if c.want == "" {
				g.Expect(err).To(HaveOccurred())
				g.Expect(err.Error()).NotTo(ContainSubstring("timeout"))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(ContainSubstring(c.want))
		})
	}
}

// TestReadObjectMemory guards against a peer that exhausts the memory by announcing
// large frames on many connections without sending their content.
func TestReadObjectMemory(t *testing.T) {
	g := NewWithT(t)
	announced := binary.AppendUvarint(nil, MaxFrameBytes)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			var v json.RawMessage
			if err := (boundedCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(announced)), &v); err == nil {
				b.Fatal("a frame without content was read")
			}
		}
	})
	g.Expect(result.AllocedBytesPerOp()).To(BeNumerically("<", MaxFrameBytes/16))
}

// TestCallToFaultyPeer guards against a call that hangs, or that reports an answer
// of a peer that gave no valid one.
func TestCallToFaultyPeer(t *testing.T) {
	cases := []struct {
		desc string
		peer func(net.Conn)
	}{
		{"closes at once", func(net.Conn) {}},
		{"closes in the middle of a call", func(c net.Conn) { _, _ = c.Read(make([]byte, 8)) }},
		{"closes in the middle of an answer", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 512))
			_, _ = c.Write(frame(`{"jsonrpc":"2.0","id":0,"result":{"text":"x"}}`)[:20])
		}},
		{"answers nonsense", func(c net.Conn) { _, _ = c.Read(make([]byte, 512)); _, _ = c.Write(frame("hello")) }},
		{"announces a frame above the limit", func(c net.Conn) {
			_, _ = c.Write(binary.AppendUvarint(nil, 1<<40))
			_, _ = io.Copy(io.Discard, c)
		}},
		{"answers another call", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 512))
			_, _ = c.Write(frame(`{"jsonrpc":"2.0","id":99,"result":{"text":"x"}}`))
			_, _ = io.Copy(io.Discard, c)
		}},
		{"calls the client", func(c net.Conn) {
			_, _ = c.Write(frame(`{"jsonrpc":"2.0","id":0,"method":"echo","params":{}}`))
			_, _ = io.Copy(io.Discard, c)
		}},
		{"stays silent", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			address := l.Addr().String()
			go func() {
				conn, err := l.Accept()
				if err == nil {
					c.peer(conn)
					_ = conn.Close()
				}
			}()
			client := NewClient(nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			var got echo
			err = client.Call(ctx, address, "echo", echo{"x"}, &got)
			g.Expect(err).To(MatchError(peer.ErrUnreachable))
			g.Expect(got.Text).To(BeEmpty())
			g.Expect(l.Close()).To(Succeed())
		})
	}
}

// TestClientReconnects guards against a client that still cannot reach an address
// after the process there was replaced.
func TestClientReconnects(t *testing.T) {
	g := NewWithT(t)
	address, stop := startServer(t, "127.0.0.1:0")
	client := NewClient(nil)
	defer client.Close()
	call := func() error {
		var got echo
		return client.Call(context.Background(), address, "echo", echo{"x"}, &got)
	}
	g.Expect(call()).To(Succeed())
	waiting := make(chan error, 1)
	go func() { waiting <- client.Call(context.Background(), address, "wait", echo{}, nil) }()
	stop()
	g.Expect(<-waiting).To(HaveOccurred())
	g.Eventually(call).Should(MatchError(peer.ErrUnreachable))
	startServer(t, address)
	g.Eventually(call).WithTimeout(5 * time.Second).Should(Succeed())
}

// TestFailedWriteClosesConnection guards against a connection that stays open after
// a failed write: every later call on it would fail as well.
func TestFailedWriteClosesConnection(t *testing.T) {
	g := NewWithT(t)
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	conn := timedConn{Conn: local, maxWriteWait: 20 * time.Millisecond}
	_, err := conn.Write([]byte("a frame that nobody reads"))
	g.Expect(err).To(HaveOccurred())
	_, err = remote.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

// TestParallelCalls guards against answers that reach another call of the same
// connection, and against refused parameters that the caller cannot tell from
// another error.
func TestParallelCalls(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, "127.0.0.1:0")
	client := NewClient(nil)
	defer client.Close()
	var wg sync.WaitGroup
	errs := make(chan error, 200)
	for i := range 200 {
		wg.Go(func() {
			want := fmt.Sprint(i)
			var got echo
			if err := client.Call(context.Background(), address, "echo", echo{want}, &got); err != nil || got.Text != want {
				errs <- fmt.Errorf("call %s got %q: %v", want, got.Text, err)
			}
		})
	}
	wg.Wait()
	close(errs)
	g.Expect(errs).To(BeEmpty())
	g.Expect(client.conns).To(HaveLen(1))
	err := client.Call(context.Background(), address, "echo", map[string]int{"text": 1}, nil)
	g.Expect(trace.IsBadParameter(err)).To(BeTrue())
}

// FuzzReadObject guards against frames that make the reader panic or accept
// invalid JSON or a message above the limit.
func FuzzReadObject(f *testing.F) {
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{}}`))
	f.Add(frame("null"))
	f.Add(binary.AppendUvarint(nil, MaxFrameBytes+1))
	f.Fuzz(func(t *testing.T, data []byte) {
		in := bufio.NewReader(bytes.NewReader(data))
		var v json.RawMessage
		for (boundedCodec{}).ReadObject(in, &v) == nil {
			if !json.Valid(v) || len(v) > MaxFrameBytes {
				t.Fatalf("accepted %q", v)
			}
		}
	})
}

// TestMonitoredCall guards against a call that ends although its large answer still
// arrives over a slow connection, and against one that a silent peer holds; after two of
// those the connection must be replaced.
func TestMonitoredCall(t *testing.T) {
	const packet, packetTime, packets = 16 << 10, 13 * time.Millisecond, 80
	limits := transfer.Limits{First: 500 * time.Millisecond, Idle: 500 * time.Millisecond, Total: 5 * time.Second}
	for _, c := range []struct {
		desc    string
		packets int // that the server sends before it falls silent
		want    error
	}{
		{"whole answer", packets, nil},
		{"silent", 0, transfer.ErrIdle},
		{"silent within the answer", packets / 2, transfer.ErrIdle},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				dials := 0
				client := NewClient(func(context.Context, string, string) (net.Conn, error) {
					dials++
					near, far := net.Pipe()
					go serveSlowly(far, strings.Repeat("x", packet*packets), packet, packetTime, c.packets)
					return near, nil
				})
				defer client.Close()
				for range maxUnansweredCalls {
					start := time.Now()
					ctx, monitor := transfer.NewMonitor(context.Background(), limits)
					var result echo
					err := client.Call(ctx, "host:1", "echo", echo{}, &result)
					monitor.Stop()
					if c.want == nil {
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(result.Text).To(HaveLen(packet * packets))
						g.Expect(time.Since(start)).To(BeNumerically(">", limits.First), "longer than a silent peer goes unnoticed")
						continue
					}
					g.Expect(err).To(MatchError(peer.ErrUnreachable))
					g.Expect(err).To(MatchError(ContainSubstring(c.want.Error())))
					g.Expect(time.Since(start)).To(BeNumerically("<=", time.Duration(c.packets)*packetTime+limits.Idle))
				}
				synctest.Wait()
				client.mu.Lock()
				kept := len(client.conns)
				client.mu.Unlock()
				g.Expect(kept == 1).To(Equal(c.want == nil))
				g.Expect(dials).To(Equal(1))
			})
		})
	}
}

// serveSlowly answers each call on c with text, in packets at an interval, and falls
// silent after some of them.
func serveSlowly(c net.Conn, text string, packet int, interval time.Duration, packets int) {
	in := bufio.NewReader(c)
	for id := 0; ; id++ {
		n, err := binary.ReadUvarint(in)
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, in, int64(n)); err != nil {
			return
		}
		answer := frame(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":{"text":%q}}`, id, text))
		for sent := 0; sent < packets || packets*packet >= len(text) && len(answer) > 0; sent++ {
			time.Sleep(interval)
			part := answer[:min(packet, len(answer))]
			if _, err := c.Write(part); err != nil {
				return
			}
			answer = answer[len(part):]
		}
	}
}
