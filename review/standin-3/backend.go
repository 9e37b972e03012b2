package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// backend is a stand-in for a backend server. It serves one request at a time on a connection.
type backend struct {
	id, service, zone string
	slots             int
	// queue bounds the requests that wait for a slot; further ones are rejected.
	queue int
	// answer writes the answer to a request that has run; nil writes a body of bodySize bytes
	// with its length.
	answer   func(c net.Conn, r *http.Request, id string)
	bodySize int
	// workOf returns the work of a request by its path; nil stands for none.
	workOf func(path string) time.Duration
	// answered is called with the id of a request once its answer was written; it may be nil.
	answered func(id string)

	listener net.Listener
	// proxy is the address to register instead of that of listener, "" if there is none.
	proxy   string
	slot    chan struct{}
	waiting atomic.Int32
}

// start listens on a free port of a loopback IP.
func (b *backend) start(ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	b.listener, b.slot = l, make(chan struct{}, b.slots)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return nil
}

// register writes the entry of the server to the store.
func (b *backend) register(s *store, state string, cold time.Duration, born time.Time) {
	address := b.listener.Addr().String()
	if b.proxy != "" {
		address = b.proxy
	}
	s.write("servers/"+b.id, map[string]any{
		"address": address, "born": born.UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "seq": 1, "cold_remaining": fmt.Sprintf("%dms", cold.Milliseconds())},
	})
}

func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !b.handle(c, r) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (b *backend) handle(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Galenabeam-Request-Id")
	if expected := r.Header.Get("Galenabeam-Expect-Instance"); expected != "" && expected != b.id {
		return writeHead(c, 421, id, "Galenabeam-Instance-Id: "+b.id+"\r\nContent-Length: 0\r\n") == nil
	}
	if int(b.waiting.Add(1)) > b.slots+b.queue {
		b.waiting.Add(-1)
		return writeHead(c, 503, id, "Galenabeam-Not-Executed: 1\r\nContent-Length: 0\r\n") == nil
	}
	b.slot <- struct{}{}
	if b.workOf != nil {
		time.Sleep(b.workOf(r.URL.Path))
	}
	load := fmt.Sprintf("Galenabeam-Backend-Load: %d,%d,%d\r\n", len(b.slot), max(int(b.waiting.Load())-len(b.slot), 0), b.slots)
	<-b.slot
	b.waiting.Add(-1)
	if b.answer != nil {
		b.answer(c, r, id)
		return false
	}
	body := bodyOf(id, b.bodySize)
	if writeHead(c, 200, id, load+fmt.Sprintf("Galenabeam-Backend-Signature: %s\r\nContent-Length: %d\r\n", signature(id), len(body))) != nil {
		return false
	}
	_, err := c.Write(body)
	if err == nil && b.answered != nil {
		b.answered(id)
	}
	return err == nil
}

func writeHead(c net.Conn, status int, id, lines string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nGalenabeam-Request-Id: %s\r\n%s\r\n", status, http.StatusText(status), id, lines)
	return err
}

// signature is what the server puts into Galenabeam-Backend-Signature.
func signature(id string) string { return "sig." + id }

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, size int) []byte {
	return bytes.Repeat([]byte(id+"."), size/(len(id)+1)+1)[:size]
}
