package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Runs records which request ids the backend servers began to work on.
type Runs struct {
	mu     sync.Mutex
	n      map[string]int
	latest map[string]*Backend
}

// NewRuns returns an empty record.
func NewRuns() *Runs { return &Runs{n: map[string]int{}, latest: map[string]*Backend{}} }

func (r *Runs) add(id string, b *Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n[id]++
	r.latest[id] = b
}

// Server returns the server that ran a request last, nil if none has.
func (r *Runs) Server(id string) *Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[id]
}

// Of returns how often a request ran.
func (r *Runs) Of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n[id]
}

// BackendSpec describes the backend servers of a service.
type BackendSpec struct {
	Service      string
	Slots, Queue int
	Work         time.Duration
	BodyBytes    int
}

// Backend is a stand-in for a sound backend server.
type Backend struct {
	BackendSpec
	ID, Zone, Address string

	record  *Record
	runs    *Runs
	slots   chan struct{}
	waiting atomic.Int64
	running atomic.Int64
}

// Start listens on a free port of ip and registers the server in the store.
func (b *Backend) Start(ip string, store *Store, record *Record, runs *Runs) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	b.Address, b.record, b.runs, b.slots = l.Addr().String(), record, runs, make(chan struct{}, b.Slots)
	server := &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	born := time.Now().UnixMilli()
	b.register(store, born, 1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(heartbeat)
			b.register(store, born, seq)
		}
	}()
	return nil
}

// heartbeat is the time between two writes of a server's entry.
const heartbeat = 1500 * time.Millisecond

// Key returns the key of the server's entry.
func (b *Backend) Key() string { return "servers/" + b.ID }

// register writes the entry if more than seq changes in it, as the page says.
func (b *Backend) register(store *Store, born int64, seq int) {
	store.PutUnless(b.Key(), map[string]any{
		"address": b.Address, "born": born,
		"info":   map[string]any{"service": b.Service, "version": "v1", "zone": b.Zone, "slots": b.Slots},
		"status": map[string]any{"state": "ready", "seq": seq, "cold_remaining": "0ms"},
	}, sameButSeq)
}

// sameButSeq reports whether two entries differ in seq alone.
func sameButSeq(a, b []byte) bool {
	seq := regexp.MustCompile(`"seq":[0-9]+`)
	return bytes.Equal(seq.ReplaceAll(a, nil), seq.ReplaceAll(b, nil))
}

func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Galenabeam-Backend-Load", fmt.Sprintf("%d,%d,%d", b.running.Load(), b.waiting.Load(), b.Slots))
	if r.URL.Path == "/health" {
		h.Set("Galenabeam-Instance-Id", b.ID)
		return
	}
	if expected := r.Header.Get("Galenabeam-Expect-Instance"); expected != "" && expected != b.ID {
		h.Set("Galenabeam-Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Galenabeam-Request-Id")
	if id == "" {
		b.refuse(w, http.StatusBadRequest)
		return
	}
	h.Set("Galenabeam-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	millis, _ := strconv.ParseFloat(r.Header.Get("Galenabeam-Deadline-Ms"), 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(millis*float64(time.Millisecond)))
	defer cancel()
	if b.waiting.Add(1) > int64(b.Queue) && len(b.slots) == cap(b.slots) {
		b.waiting.Add(-1)
		b.refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
		b.waiting.Add(-1)
	case <-ctx.Done():
		b.waiting.Add(-1)
		b.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.running.Add(1)
	defer b.running.Add(-1)
	b.runs.add(id, b)
	b.record.Linef("run id=%s server=%s %s %s body=%d", id, b.ID, r.Method, r.URL.RequestURI(), len(body))
	select {
	case <-time.After(b.Work):
	case <-ctx.Done():
		if r.Context().Err() != nil {
			b.record.Linef("run dropped id=%s server=%s: its connection closed", id, b.ID)
			return
		}
		h.Set("Galenabeam-Backend-Signature", "timeout")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	answer := answerBody(id, b.BodyBytes)
	h.Set("Galenabeam-Backend-Signature", signature(answer))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

func (b *Backend) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Galenabeam-Not-Executed", "1")
	w.WriteHeader(status)
}

// answerBody returns the body of the answer to a request.
func answerBody(id string, size int) []byte {
	body := make([]byte, 0, size+len(id)+1)
	for len(body) < size {
		body = append(body, id...)
		body = append(body, '\n')
	}
	return body[:size]
}

func signature(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
