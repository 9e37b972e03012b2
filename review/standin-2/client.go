package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newRequestID returns an id that no other request of this run has.
func newRequestID() string { return fmt.Sprintf("%016x", lastRequest.Add(1)) }

// clientRequest is a request of a client. Its fields after body are set by send.
type clientRequest struct {
	method, host, path, id string
	deadline               time.Duration
	body                   string
}

func (q clientRequest) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nGalenabeam-Request-Id: %s\r\nGalenabeam-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return []byte(b.String())
}

// clientAnswer is what a client got for a request. status is 0 if the connection ended
// without a complete answer.
type clientAnswer struct {
	status     int
	retryAfter string
	closes     bool
	body       string
	err        error
	at         time.Duration
}

// clientConn is a connection of a client.
type clientConn struct {
	rec *record
	nc  net.Conn
	br  *bufio.Reader
}

func dial(rec *record, address string) (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{rec: rec, nc: nc, br: bufio.NewReader(nc)}, nil
}

// send writes requests in one piece, without waiting for answers.
func (c *clientConn) send(requests ...clientRequest) error {
	var all []byte
	for _, q := range requests {
		c.rec.add("client sends %s (%s %s) to %s", q.id, q.method, q.path, c.nc.RemoteAddr())
		all = append(all, q.bytes()...)
	}
	_, err := c.nc.Write(all)
	return err
}

// receive reads the answer to a request.
func (c *clientConn) receive(q clientRequest) clientAnswer { return c.receiveSlowly(q, 0, 0) }

// receiveSlowly reads the answer to a request, with a pause after the first bytes of its body.
func (c *clientConn) receiveSlowly(q clientRequest, first int, pause time.Duration) clientAnswer {
	_ = c.nc.SetReadDeadline(time.Now().Add(q.deadline + time.Second))
	a := clientAnswer{}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: q.method})
	if err == nil {
		begun := make([]byte, first)
		if first > 0 {
			_, err = io.ReadFull(resp.Body, begun)
		}
		time.Sleep(pause)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
			body = append(begun, body...)
		}
		if err != nil {
			c.rec.add("client has %d bytes of the body of %s, status %d", len(body), q.id, resp.StatusCode)
		}
		if err == nil {
			a = clientAnswer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), closes: resp.Close, body: string(body)}
		}
	}
	a.err, a.at = err, c.rec.now()
	if err != nil {
		c.rec.add("client gets no answer to %s: %v", q.id, err)
		return a
	}
	c.rec.add("client gets %d for %s (closes: %t), %d bytes: %.60q", a.status, q.id, a.closes, len(a.body), a.body)
	return a
}

// exchange sends a request on a new connection and returns its answer.
func exchange(rec *record, address string, q clientRequest) clientAnswer {
	c, err := dial(rec, address)
	if err != nil {
		rec.add("client cannot connect to %s for %s: %v", address, q.id, err)
		return clientAnswer{err: err, at: rec.now()}
	}
	defer c.nc.Close()
	if err := c.send(q); err != nil {
		return clientAnswer{err: err, at: rec.now()}
	}
	return c.receive(q)
}
