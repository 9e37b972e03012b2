package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request by a backend server.
type run struct {
	at      time.Time
	server  string
	service string
	body    string
}

// ledger notes what backend servers ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run // by request
}

func (l *ledger) note(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// backend is a backend server with a few slots. Faults change how it answers.
type backend struct {
	id, service string
	zone        string
	l           net.Listener
	link        *proxy
	ledger      *ledger
	slots       chan struct{}
	slow        atomic.Bool
	garble      atomic.Int32 // 0 sound, 1 truncates, 2 answers twice, 3 sends garbage
	failing     atomic.Bool
	// leftAt is when the store confirmed that the server leaves, in Unix
	// nanoseconds; 0 while it does not.
	leftAt atomic.Int64
	mu     sync.Mutex
	conns  map[net.Conn]bool
}

const serviceTime = 20 * time.Millisecond

func newBackend(id, service, zone, address string, l *ledger) (*backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, l: listener, ledger: l, slots: make(chan struct{}, 4), conns: map[net.Conn]bool{}}
	if b.link, err = newProxy(address, listener.Addr().String()); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b, nil
}

// crash ends the server with its connections.
func (b *backend) crash() {
	_ = b.l.Close()
	b.link.close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
}

func (b *backend) registration(state string) any {
	return map[string]any{
		"address": b.link.l.Addr().String(), "born": 1,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": 4},
		"status": map[string]any{"state": state, "seq": 1, "cold_remaining": "0ms"},
	}
}

func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !b.handle(c, r, string(body)) {
			return
		}
	}
}

func (b *backend) handle(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Galenabeam-Request-Id")
	if expect := r.Header.Get("Galenabeam-Expect-Instance"); expect != b.id {
		return write(c, 421, id, "", "Galenabeam-Instance-Id: "+b.id+"\r\n")
	}
	select {
	case b.slots <- struct{}{}:
	default:
		return write(c, 503, id, "", "Galenabeam-Not-Executed: 1\r\n")
	}
	defer func() { <-b.slots }()
	b.ledger.note(id, run{at: time.Now(), server: b.id, service: b.service, body: body})
	if b.slow.Load() {
		time.Sleep(10 * serviceTime)
	}
	time.Sleep(serviceTime)
	signature := "Galenabeam-Backend-Signature: " + b.id + "\r\n"
	if b.failing.Load() {
		return write(c, 500, id, "failed", signature)
	}
	answer := expected(id, body)
	switch b.garble.Load() {
	case 1:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nGalenabeam-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\nhalf", id, signature, len(answer)+100)
		return false
	case 2:
		if !write(c, 200, id, answer, signature) {
			return false
		}
		return write(c, 200, id, answer, signature)
	case 3:
		_, _ = io.WriteString(c, "no answer\r\n\r\n")
		return false
	}
	return write(c, 200, id, answer, signature)
}

// expected is the only right answer to a request.
func expected(id, body string) string { return "answer to " + id + " with " + body }

func write(c net.Conn, status int, id, body, extra string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nGalenabeam-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
	return err == nil
}
