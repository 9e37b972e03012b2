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

// Times of callers.
const (
	// routeTimeout is the timeout of all routes, callerPatience how long callers
	// wait for an answer: longer, so that a missing answer is seen.
	routeTimeout, callerPatience = 2 * time.Second, 4 * time.Second
	// requestGap is the time between two requests of a caller.
	requestGap = 25 * time.Millisecond
)

// request is what a caller saw of one request.
type request struct {
	id, path, body string
	repeatable     bool
	host           *host
	incarnation    int
	sent, ended    time.Time
	status         int // 0 if there was no whole answer
	answer         string
	timedOut       bool // the caller gave up
	// probe is the version whose route the request is for; 0 for work.
	probe int
}

// book collects the requests of all callers.
type book struct {
	mu   sync.Mutex
	list []*request
}

func (b *book) add(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, r)
}

// caller sends requests over connections that it keeps.
type caller struct {
	name  string
	hosts map[string]*host // by front address
	list  []*host
	rng   *rand.Rand
	book  *book
	probe func() int // newest version that has a route of its own
	count int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.look()
		if h == nil {
			time.Sleep(4 * requestGap)
			continue
		}
		c.use(ctx, h)
	}
}

// look asks a directory for a host.
func (c *caller) look() *host {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ask := c.list[c.rng.Intn(len(c.list))]
	resp, err := client.Get(fmt.Sprintf("http://%s:8003/v1/resolve?name=x&region=r%d&zone=z%[2]d", ask.ip, c.rng.Intn(3)))
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

// use sends requests over one connection until it ends or for a while.
func (c *caller) use(ctx context.Context, h *host) {
	incarnation := h.incarnation()
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(h.ip, "8001"), time.Second)
	if err != nil {
		time.Sleep(requestGap)
		return
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for range 20 + c.rng.Intn(60) {
		if ctx.Err() != nil || !c.send(conn, in, h, incarnation) {
			return
		}
		time.Sleep(requestGap)
	}
}

// send makes one request and tells whether the connection goes on.
func (c *caller) send(conn net.Conn, in *bufio.Reader, h *host, incarnation int) bool {
	c.count++
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.count), host: h, incarnation: incarnation, sent: time.Now()}
	method := http.MethodGet
	switch c.rng.Intn(5) {
	case 0:
		if r.probe = c.probe(); r.probe > 0 {
			r.path, r.repeatable = fmt.Sprintf("/v%d/", r.probe), true
			break
		}
		fallthrough
	case 1, 2:
		r.path, r.repeatable = "/get/x", true
	default:
		method, r.path, r.body = http.MethodPost, "/post/x", fmt.Sprintf("body of %s", r.id)
	}
	defer func() { r.ended = time.Now(); c.book.add(r) }()
	_ = conn.SetDeadline(r.sent.Add(callerPatience))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nGalenabeam-Request-Id: %s\r\nGalenabeam-Affinity-Key: %d\r\nGalenabeam-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, r.path, r.id, c.rng.Intn(20), callerPatience.Milliseconds(), len(r.body), r.body)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		var ne net.Error
		r.timedOut = isTimeout(err, &ne)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	r.status, r.answer = resp.StatusCode, string(body)
	return !resp.Close
}
