package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// freezeTime is the for_s of node_freeze in the site file.
	freezeTime = 4 * time.Second
	// unreadTime is the time without progress after which the server cuts off its answer.
	unreadTime = 3 * time.Second
	// unframedBytes exceeds what the sockets of the server and the host hold.
	unframedBytes = 300_000
	// freezeRounds is the number of requests, each with a freeze of its own.
	freezeRounds = 3
)

// freezeUnframed freezes an entry host while a backend server works on a request. The server
// answers without a length, and cuts the answer off because it remains unread.
func freezeUnframed(t *trial) (bool, error) {
	started := make(chan string, 16)
	b := &backend{id: "i-1", service: "huvo11a", zone: "sandgerdi", slots: 4, queue: 12}
	b.answer = func(c net.Conn, _ *http.Request, id string) {
		started <- id
		time.Sleep(400 * time.Millisecond)
		written, whole := writeUnframed(c, id)
		t.note("server: request %s: wrote %d of %d bytes of the body, whole: %v", id, written, unframedBytes, whole)
	}
	if err := t.addBackend(b); err != nil {
		return false, err
	}
	h, err := t.addHost("sandgerdi")
	if err != nil {
		return false, err
	}
	t.store.write("op/config", configuration(7, 15*time.Second, route{"/lepu270/", "idempotent", b.service, 8 * time.Second, 2500 * time.Millisecond, 1}))
	b.register(t.store, "ready", 0, time.Now().Add(-time.Minute))
	if err := t.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	addresses, err := awaitAddresses(h.address(directoryPort), "sudvestur", "sandgerdi")
	if err != nil {
		return false, err
	}
	broken := false
	for n := range freezeRounds {
		id := fmt.Sprintf("9c41d07be2a35f%02x", n)
		answered := make(chan result, 1)
		t.note("client: sends request %s to the host, deadline 8 s", id)
		go func() { answered <- send(addresses[0], http.MethodGet, "/lepu270/2f", id, 8*time.Second) }()
		select {
		case <-started:
		case <-time.After(3 * time.Second):
			return false, fmt.Errorf("request %s did not reach the server", id)
		}
		if t.trouble {
			h.signal(syscall.SIGSTOP)
			t.note("host: stopped")
			time.Sleep(freezeTime)
			h.signal(syscall.SIGCONT)
			t.note("host: continues")
		}
		r := <-answered
		whole := bytes.Equal(r.body, bodyOf(id, unframedBytes))
		t.note("client: request %s: status %d, signature %q, %d bytes, error %v, the server's whole body: %v, after %d ms", id, r.status, r.signature, len(r.body), r.err, whole, r.took.Milliseconds())
		if r.status >= 200 && r.status < 300 && r.err == nil && !whole {
			t.note("MIXED: a success whose body is not the server's whole body looks complete")
			broken = true
		}
	}
	return broken, nil
}

// writeUnframed writes an answer that ends with its connection. It ends the connection early
// if nothing was read for unreadTime.
func writeUnframed(c net.Conn, id string) (int, bool) {
	_ = c.(*net.TCPConn).SetWriteBuffer(8 << 10)
	if writeHead(c, 200, id, "Galenabeam-Backend-Signature: "+signature(id)+"\r\nConnection: close\r\n") != nil {
		return 0, false
	}
	body, written := bodyOf(id, unframedBytes), 0
	for written < len(body) {
		_ = c.SetWriteDeadline(time.Now().Add(unreadTime))
		n, err := c.Write(body[written:min(written+2048, len(body))])
		written += n
		if err != nil {
			return written, false
		}
	}
	return written, true
}
