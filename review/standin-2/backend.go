package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a backend began to work on.
type run struct {
	id, backend string
	// arrived is when the request was read, began when the work began.
	arrived, began time.Duration
	sent           bool // an answer of export was sent completely
}

// backend is a stand-in for a backend server. It runs up to slots requests at once, queues
// queueLength more, and drops a request when its connection closes.
type backend struct {
	rec               *record
	id, service, zone string
	slots             int
	work              time.Duration
	// exportBytes is the size of the answers to paths under /export/, which have no length
	// and end with their connection; 0 if there are none.
	exportBytes int
	born        int64
	listener    net.Listener
	places      chan struct{} // one for each running or queued request
	running     chan struct{}
	mu          sync.Mutex
	runs        map[string]*run
	loadSuffix  string // the fourth figure of the load, with its comma, "" if there is none
	seq         uint64
}

const queueLength = 12

func newBackend(rec *record, id, service, zone, address string, slots int, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{
		rec: rec, id: id, service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(), listener: l,
		places: make(chan struct{}, slots+queueLength), running: make(chan struct{}, slots),
		runs: map[string]*run{},
	}
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// heartbeat is the time between two reports of a backend to the store.
const heartbeat = 1500 * time.Millisecond

// report writes the backend's entry into the store every heartbeat.
func (b *backend) report(s *store) {
	for {
		b.seq++
		s.put("servers/"+b.id, map[string]any{
			"address": b.listener.Addr().String(), "born": b.born,
			"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
			"status": map[string]any{"state": "ready", "seq": b.seq, "cold_remaining": "0ms"},
		})
		time.Sleep(heartbeat)
	}
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := br.Peek(1); err != nil {
				cancel()
			}
		}()
		status, header, body := b.handle(ctx, r)
		if status == 0 {
			cancel()
			return
		}
		if status == http.StatusOK && b.exportBytes > 0 && strings.HasPrefix(r.URL.Path, "/export/") {
			b.export(c, r, header)
			cancel()
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sGalenabeam-Request-Id: %s\r\nGalenabeam-Instance-Id: %s\r\nGalenabeam-Backend-Load: %d,%d,%d%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), header, r.Header.Get("Galenabeam-Request-Id"), b.id, len(b.running), max(len(b.places)-len(b.running), 0), b.slots, b.loadSuffix, len(body), body)
		<-peeked
		cancel()
	}
}

// export sends a whole answer without a length and closes the connection. It gives up if the
// answer is not read for unreadLimit.
func (b *backend) export(c net.Conn, r *http.Request, header string) {
	id := r.Header.Get("Galenabeam-Request-Id")
	text := "HTTP/1.1 200 OK\r\n" + header + "Galenabeam-Request-Id: " + id + "\r\nConnection: close\r\n\r\n" + exportBody(id, b.exportBytes)
	for len(text) > 0 {
		n := min(len(text), 64<<10)
		_ = c.SetWriteDeadline(time.Now().Add(unreadLimit))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			b.rec.add("server %s cuts off the answer to %s: %v", b.id, id, err)
			return
		}
		text = text[n:]
	}
	b.rec.add("server %s has sent the whole answer to %s", b.id, id)
	b.mu.Lock()
	b.runs[id].sent = true
	b.mu.Unlock()
}

// unreadLimit is the time after which a backend cuts off an answer that is not read.
const unreadLimit = 5 * time.Second

// exportBody returns the body of the answer to an export.
func exportBody(id string, size int) string {
	line := "row of export " + id + "\n"
	return strings.Repeat(line, size/len(line)+1)[:size]
}

const notExecuted = "Galenabeam-Not-Executed: 1\r\n"

// handle runs a request and returns its answer, status 0 if its connection has closed.
func (b *backend) handle(ctx context.Context, r *http.Request) (status int, header, body string) {
	arrived := b.rec.now()
	id := r.Header.Get("Galenabeam-Request-Id")
	if want := r.Header.Get("Galenabeam-Expect-Instance"); want != "" && want != b.id {
		return http.StatusMisdirectedRequest, "", ""
	}
	if r.URL.Path == "/health" {
		return http.StatusOK, "", ""
	}
	if id == "" {
		return http.StatusBadRequest, notExecuted, ""
	}
	limit := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Galenabeam-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case b.places <- struct{}{}:
		defer func() { <-b.places }()
	default:
		return http.StatusServiceUnavailable, notExecuted, ""
	}
	select {
	case b.running <- struct{}{}:
		defer func() { <-b.running }()
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			return http.StatusServiceUnavailable, notExecuted, ""
		}
		return 0, "", ""
	}
	u := &run{id: id, backend: b.id, arrived: arrived, began: b.rec.now()}
	b.mu.Lock()
	b.runs[id] = u
	b.mu.Unlock()
	b.rec.add("server %s runs %s (%s %s)", b.id, id, r.Method, r.RequestURI)
	select {
	case <-time.After(b.work):
	case <-ctx.Done():
	}
	switch ctx.Err() {
	case nil:
		b.rec.add("server %s has run %s", b.id, id)
		return http.StatusOK, "Galenabeam-Backend-Signature: " + b.id + "." + id + "\r\n", "result of " + id + "\n"
	case context.DeadlineExceeded:
		b.rec.add("server %s stops %s at its deadline", b.id, id)
		return http.StatusGatewayTimeout, "Galenabeam-Backend-Signature: " + b.id + "." + id + "\r\n", ""
	}
	b.rec.add("server %s stops %s: its connection was closed", b.id, id)
	return 0, "", ""
}

// runOf returns a copy of the run of a request, nil if there is none.
func (b *backend) runOf(id string) *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.runs[id]; u != nil {
		c := *u
		return &c
	}
	return nil
}
