package soak

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// longPath is a path whose route allows longTimeout.
	longPath = "/long/x"
	// outlastPath is one of the same route, whose requests run for outlastTime: beyond the end
	// of a host that shuts down meanwhile.
	outlastPath = "/long/outlast"
	outlastTime = 5500 * time.Millisecond
	longTimeout = 7 * time.Second
	// usualRequests is the number of short requests from which a host learns the time of the
	// route's requests.
	usualRequests = 3
)

// replaceWithCaller replaces the process of a host while a caller keeps a connection to it. The
// caller sends a request that outlasts the process, and short ones behind it, when the
// shutdown has taken the given time.
func (sr *soakRun) replaceWithCaller(h *host, sendAfter time.Duration) {
	began := time.Now()
	c := &caller{name: fmt.Sprint("kept", began.UnixNano()), rng: rand.New(rand.NewSource(sr.seed + int64(sendAfter))), requestLog: sr.requestLog, probeVersion: sr.newestVersion, began: sr.began}
	if sr.withWorkspaces() {
		c.workspace = "steady"
	}
	var ready, caller sync.WaitGroup
	ready.Add(1)
	caller.Go(func() {
		incarnation := h.incarnation()
		conn, err := net.DialTimeout("tcp", net.JoinHostPort(h.ip, "8001"), time.Second)
		if err != nil {
			ready.Done()
			return
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		kept := true
		for range usualRequests {
			kept = kept && c.sendLong(conn, in, h, incarnation, longPath)
		}
		ready.Done()
		time.Sleep(sendAfter)
		if kept {
			c.sendLong(conn, in, h, incarnation, longPath, outlastPath, longPath, longPath)
		}
	})
	ready.Wait()
	h.replace()
	caller.Wait()
}

// sendLong sends and records requests without waiting for answers, and reports whether the
// connection remains usable.
func (c *caller) sendLong(conn net.Conn, in *bufio.Reader, h *host, incarnation int, paths ...string) bool {
	var requests []*request
	text := ""
	for _, path := range paths {
		c.requestCount++
		r := &request{id: fmt.Sprintf("%s-%d", c.name, c.requestCount), path: path, idempotent: true, host: h, incarnation: incarnation, sent: time.Now()}
		r.expected = brief(expectedAnswer(r.id, ""))
		requests, text = append(requests, r), text+c.text(r, http.MethodGet, "", longTimeout)
	}
	defer c.record(requests)
	_ = conn.SetDeadline(time.Now().Add(longTimeout + time.Second))
	if requests[0].write(conn, text) != nil {
		return false
	}
	for _, r := range requests {
		if !c.receive(in, r) {
			return false
		}
	}
	return true
}
