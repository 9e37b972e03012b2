package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// freezeTime is the for_s of node_freeze in the site file.
	freezeTime = 4 * time.Second
	// unreadTime is the time without progress after which the server cuts off its answer.
	unreadTime = 3 * time.Second
	// frozenBytes exceeds what the sockets of the server and the host hold.
	frozenBytes = 300_000
	// freezeRounds is the number of requests, each with a freeze of its own. In every second
	// one the server sends the head and firstPart bytes before the freeze.
	freezeRounds = 4
	firstPart    = 1000
	// workTime is the time that the server works before it sends the rest.
	workTime = 400 * time.Millisecond
)

// freezeUnframed freezes an entry host while a backend server works on a request. The server
// answers without a length, and cuts the answer off because it remains unread.
func freezeUnframed(t *trial) (bool, error) {
	started := make(chan string, 16)
	b := t.unframedBackend(frozenBytes, 8<<10, started)
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
		t.note("client: sends request %s to the host, deadline 8 s; the head comes before the freeze: %v", id, isOdd(id))
		go func() { answered <- send(addresses[0], http.MethodGet, "/lepu270/2f", id, 8*time.Second) }()
		select {
		case <-started:
			time.Sleep(50 * time.Millisecond) // the host reads what was sent so far
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
		broken = t.isMixed(<-answered, frozenBytes) || broken
	}
	return broken, nil
}

// unframedBackend returns a server whose answers have a size and no length. sendBuffer is the
// size of the buffer of its sockets.
func (t *trial) unframedBackend(size, sendBuffer int, started chan<- string) *backend {
	b := &backend{id: "i-1", service: "huvo11a", zone: "sandgerdi", slots: 4, queue: 12, bodySize: size}
	b.answer = func(c net.Conn, _ *http.Request, id string) {
		written, whole := writeUnframed(c, id, size, sendBuffer, started)
		t.note("server: request %s: wrote %d of %d bytes of the body, whole: %v", id, written, size, whole)
	}
	return b
}

// isMixed reports whether a client got a success that looks complete and lacks a part of the
// server's body.
func (t *trial) isMixed(r result, size int) bool {
	whole := bytes.Equal(r.body, bodyOf(r.id, size))
	t.note("client: request %s: status %d, signature %q, %d bytes, error %v, the server's whole body: %v, after %d ms", r.id, r.status, r.signature, len(r.body), r.err, whole, r.took.Milliseconds())
	if r.status < 200 || r.status > 299 || r.err != nil || whole {
		return false
	}
	t.note("MIXED: a success whose body is not the server's whole body looks complete")
	return true
}

// writeUnframed writes an answer that ends with its connection, and reports the start of the
// work. It ends the connection early if nothing was read for unreadTime.
func writeUnframed(c net.Conn, id string, size, sendBuffer int, started chan<- string) (int, bool) {
	_ = c.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	body, written := bodyOf(id, size), 0
	headFirst := isOdd(id)
	if !headFirst {
		started <- id
		time.Sleep(workTime)
	}
	if writeHead(c, 200, id, "Galenabeam-Backend-Signature: "+signature(id)+"\r\nConnection: close\r\n") != nil {
		return 0, false
	}
	for written < len(body) {
		_ = c.SetWriteDeadline(time.Now().Add(unreadTime))
		n, err := c.Write(body[written:min(written+firstPart, len(body))])
		written += n
		if err != nil {
			return written, false
		}
		if headFirst && written == firstPart {
			started <- id
			time.Sleep(workTime)
		}
	}
	return written, true
}

// isOdd reports whether the last digit of a request's id is odd.
func isOdd(id string) bool { return strings.ContainsRune("13579bdf", rune(id[len(id)-1])) }
