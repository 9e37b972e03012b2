package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// routeTimeout is the timeout of every route.
	routeTimeout = 2 * time.Second
	// callerTimeout is how long a caller waits for an answer. It exceeds routeTimeout,
	// so that a host which does not answer in time is detected.
	callerTimeout = 4 * time.Second
	// requestPause is the time between an answer and the caller's next request.
	requestPause = 25 * time.Millisecond
	// maxPipelined bounds the requests that a caller sends behind another one.
	maxPipelined = 3
)

// request is one request and what its caller observed.
type request struct {
	id, path, body string // body as brief returns it
	idempotent     bool
	host           *host
	incarnation    int
	sent, ended    time.Time
	status         int    // 0 if there was no complete answer, noStatus if it has status 000
	answer         string // as brief returns it, like expected
	expected       string
	keys           []string // the credential lines
	public         bool     // the route needs no key
	large          bool     // the answer or the body is large
	slow           bool     // the caller reads slowly
	severed        bool     // an upload to severedPath
	timedOut       bool     // no answer within callerTimeout
	// probeVersion is the version, from 1, whose own route is requested; 0 for a
	// request to a route that every version has.
	probeVersion int
	// leaving is the server whose answer said that it leaves, "" if it did not.
	leaving string
}

// requestLog collects the requests of all callers.
type requestLog struct {
	mu   sync.Mutex
	list []*request
}

func (l *requestLog) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

// caller sends requests over persistent connections.
type caller struct {
	name         string
	hosts        map[string]*host // by address of the front listener
	directories  []*host          // hosts that it asks for lookups
	rng          *rand.Rand
	requestLog   *requestLog
	probeVersion func() int // returns the newest version
	requestCount int
	workspace    string        // "" if the configurations have none
	greedy       bool          // sends as fast as it can
	began        time.Time     // of the run
	readPause    time.Duration // after the next read
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.lookUpHost()
		if h == nil {
			time.Sleep(4 * requestPause)
			continue
		}
		c.sendOnConnection(ctx, h)
	}
}

// lookUpHost asks the directory of a random host for an entry host. It returns nil
// without an answer that lists an address.
func (c *caller) lookUpHost() *host {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	directory := c.directories[c.rng.Intn(len(c.directories))]
	resp, err := client.Get(fmt.Sprintf("http://%s:8003/v1/resolve?name=x&region=r%d&zone=z%[2]d", directory.ip, c.rng.Intn(3)))
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return nil
	}
	return c.hosts[answer.Addresses[c.rng.Intn(len(answer.Addresses))]]
}

// sendOnConnection sends 20 to 79 requests over one connection, fewer if it breaks or
// ctx ends.
func (c *caller) sendOnConnection(ctx context.Context, h *host) {
	incarnation := h.incarnation()
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(h.ip, "8001"), time.Second)
	if err != nil {
		time.Sleep(requestPause)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(socketBuffer)
	in := bufio.NewReader(slowReader{conn, &c.readPause})
	for range 20 + c.rng.Intn(60) {
		if ctx.Err() != nil {
			return
		}
		sent, usable := c.send(conn, in, h, incarnation)
		if !usable {
			return
		}
		select {
		case <-ctx.Done():
		// A caller that sends several at once sends no more in all.
		case <-time.After(c.pause() + time.Duration(sent-1)*(requestPause+serviceTime)):
		}
	}
}

// send sends and records a request, at times with idempotent ones behind it before it is
// answered. It returns their number, and whether the connection remains usable.
func (c *caller) send(conn net.Conn, in *bufio.Reader, h *host, incarnation int) (sent int, usable bool) {
	first, text := c.newRequest(h, incarnation, c.rng.Intn(5))
	requests := []*request{first}
	// Large answers and uploads may be cut, and with them the requests behind them.
	if !first.large && !c.greedy && c.rng.Intn(6) == 0 {
		for range 1 + c.rng.Intn(maxPipelined) {
			r, more := c.newRequest(h, incarnation, idempotentKind)
			if r.large {
				break
			}
			requests, text = append(requests, r), text+more
		}
	}
	defer c.record(requests)
	_ = conn.SetDeadline(first.sent.Add(callerTimeout))
	if first.write(conn, text) != nil {
		return len(requests), false
	}
	for _, r := range requests {
		if !c.receive(in, r) {
			return len(requests), false
		}
	}
	return len(requests), true
}

// record adds requests to the log, when no more answers to them are read.
func (c *caller) record(requests []*request) {
	for _, r := range requests {
		if r.ended.IsZero() {
			r.ended = time.Now()
		}
		c.requestLog.add(r)
	}
}

// idempotentKind is a kind of newRequest that is always idempotent.
const idempotentKind = 1

// newRequest returns a request of one of five kinds, and its text.
func (c *caller) newRequest(h *host, incarnation, kind int) (*request, string) {
	c.requestCount++
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.requestCount), host: h, incarnation: incarnation, sent: time.Now()}
	method, body := http.MethodGet, ""
	switch kind {
	case 0:
		if r.probeVersion = c.probeVersion(); r.probeVersion > 0 {
			r.path, r.idempotent = fmt.Sprintf("/v%d/", r.probeVersion), true
			break
		}
		fallthrough
	case idempotentKind, 2:
		r.path, r.idempotent = "/get/x", true
	default:
		method, r.path, body = http.MethodPost, "/post/x", fmt.Sprintf("body of %s", r.id)
	}
	body = c.vary(r, body)
	r.body, r.expected = brief(body), brief(expectedAnswer(r.id, body))
	if r.path == largePath || r.severed {
		r.expected = brief(expectedAnswer(r.id, body) + largeFiller)
	}
	return r, c.text(r, method, body, callerTimeout)
}

// text returns a request as it is sent, with credentials that it adds to r.
func (c *caller) text(r *request, method, body string, timeout time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nGalenabeam-Request-Id: %s\r\nGalenabeam-Affinity-Key: %d\r\nGalenabeam-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, r.path, r.id, c.rng.Intn(20), timeout.Milliseconds(), c.credentialLines(r), len(body), body)
}

// receive reads the answer to a request. It reports whether the connection remains usable.
func (c *caller) receive(in *bufio.Reader, r *request) bool {
	if c.readPause = 0; r.slow && !r.severed {
		c.readPause = slowPause
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		var ne net.Error
		r.timedOut = isTimeout(err, &ne)
		return false
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	r.ended = time.Now()
	if r.status = resp.StatusCode; r.status == 0 {
		r.status = noStatus
	}
	r.answer = brief(string(answer))
	if resp.Header.Get("Server-Leaving") != "" {
		r.leaving = resp.Header.Get("Galenabeam-Backend-Signature")
	}
	return !resp.Close
}
