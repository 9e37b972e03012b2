package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// TestOutcomes holds for each failure of a backend server what a caller may be
// told: 503 only if the request has certainly not run, a whole answer or none,
// and at most one run of a request that must not be repeated.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		desc   string
		answer func(*server, net.Conn, *http.Request, string) bool
		// statuses for a request that may be repeated (the second server is
		// sound) and for one that must not.
		get, post int
		postRuns  int32
	}{
		{"sound", ok, 200, 200, 1},
		{"refuses before running", func(_ *server, c net.Conn, r *http.Request, _ string) bool {
			return send(c, r, 503, "", "X-Not-Run: 1")
		}, 200, 200, 2},
		{"is another server", func(_ *server, c net.Conn, r *http.Request, _ string) bool { return send(c, r, 421, "") }, 200, 200, 2},
		{"fails", func(_ *server, c net.Conn, r *http.Request, _ string) bool { return send(c, r, 500, "oops") }, 200, 500, 1},
		{"closes without an answer", func(*server, net.Conn, *http.Request, string) bool { return false }, 200, 502, 1},
		{"breaks off its answer", func(_ *server, c net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("X-Id"))
			return false
		}, 200, 502, 1},
		{"sends bytes that are no answer", func(_ *server, c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "\x00\x01 garbage\r\n\r\n")
			return false
		}, 200, 502, 1},
		{"answers another request", func(_ *server, c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nbad")
			return false
		}, 200, 502, 1},
		{"answers without a signature", func(_ *server, c net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nbad", r.Header.Get("X-Id"))
			return false
		}, 200, 502, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			bad, sound := startServer(t, c.answer), startServer(t, ok)
			f := start(t, bad, sound)
			first := f.prefer(bad, "b0")
			status, body, _ := f.do(t, "GET", "/get/a", "g1", "")
			g.Expect(status).To(Equal(c.get))
			if status == 200 {
				g.Expect(body).To(Equal("answer to g1 "))
			}
			bad.runs.Store(0)
			sound.runs.Store(0)
			f = start(t, bad, sound)
			f.prefer(bad, first)
			status, body, _ = f.do(t, "POST", "/post/a", "p1", "body")
			g.Expect(status).To(Equal(c.post))
			if status == 200 {
				g.Expect(body).To(Equal("answer to p1 body"))
			}
			g.Expect(bad.runs.Load() + sound.runs.Load()).To(Equal(c.postRuns))
		})
	}
}

// prefer makes the pool send the first request to a server: the other one counts
// as failing.
func (f *fixture) prefer(_ *server, id string) string {
	d := f.g.desk
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(sharedPools, "s").pool
	// Each failure of the other server adds to its failure rate.
	for range 20 {
		for other := range f.g.View().Backends {
			if other == id {
				continue
			}
			r := dispatch.Request{Class: "c", Objective: d.now() + time.Second, Deadline: d.now() + 10*time.Second, Exclude: []string{id}}
			p.Release(d.now(), p.Acquire(d.now(), r).Grant, dispatch.Report{Result: dispatch.Failed})
		}
	}
	return id
}

// TestUnreachable guards against requests that are lost, or told to have run,
// when no connection can be made.
func TestUnreachable(t *testing.T) {
	g := NewWithT(t)
	gone := startServer(t, ok)
	_ = gone.l.Close()
	f := start(t, gone)
	status, _, header := f.do(t, "POST", "/post/a", "p", "body")
	g.Expect(status).To(Equal(503))
	g.Expect(header.Get("Retry-After")).NotTo(BeEmpty())
	sound := startServer(t, ok)
	f = start(t, gone, sound)
	status, _, _ = f.do(t, "POST", "/post/a", "p", "body")
	g.Expect(status).To(Equal(200))
	g.Expect(sound.runs.Load()).To(Equal(int32(1)))
}

// TestPipelined guards against answers in the wrong order, and against requests
// that wait until the one before them is answered.
func TestPipelined(t *testing.T) {
	g := NewWithT(t)
	slow := startServer(t, func(_ *server, c net.Conn, r *http.Request, _ string) bool {
		time.Sleep(150 * time.Millisecond)
		return send(c, r, 200, r.Header.Get("X-Id"))
	})
	f := start(t, slow)
	c, in := f.dial(t)
	began := time.Now()
	for i := range 4 {
		_, _ = io.WriteString(c, rawRequest("GET", "/get/a", fmt.Sprint("r", i), ""))
	}
	for i := range 4 {
		status, body, _ := read(in)
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(Equal(fmt.Sprint("r", i)))
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", 450*time.Millisecond))
}

// TestCallerLeaves guards against servers that work for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	started := make(chan struct{}, 1)
	slow := startServer(t, func(_ *server, _ net.Conn, _ *http.Request, _ string) bool {
		started <- struct{}{}
		return true // no answer; the next read ends when the gateway closes
	})
	f := start(t, slow)
	c, _ := f.dial(t)
	_, _ = io.WriteString(c, rawRequest("GET", "/get/a", "g", ""))
	<-started
	_ = c.Close()
	g.Eventually(slow.gone, "400ms").Should(Receive())
	g.Eventually(f.front.Open, "1s").Should(BeZero())
}

// TestTimeout guards against callers that are kept waiting beyond the route's
// timeout.
func TestTimeout(t *testing.T) {
	g := NewWithT(t)
	silent := startServer(t, func(*server, net.Conn, *http.Request, string) bool { time.Sleep(time.Second); return false })
	f := start(t, silent)
	began := time.Now()
	status, _, _ := f.do(t, "GET", "/short/a", "g", "")
	g.Expect(status).To(Equal(504))
	g.Expect(time.Since(began)).To(BeNumerically("<", 600*time.Millisecond))
}

// TestExtraAnswer guards against a second answer of a server that is taken for
// the answer to the next request on the connection.
func TestExtraAnswer(t *testing.T) {
	g := NewWithT(t)
	twice := startServer(t, func(s *server, c net.Conn, r *http.Request, body string) bool {
		send(c, r, 200, "first "+r.Header.Get("X-Id"))
		if s.runs.Load() == 1 {
			go func() { time.Sleep(30 * time.Millisecond); send(c, r, 200, "extra "+r.Header.Get("X-Id")) }()
		}
		return true
	})
	f := start(t, twice)
	for i := range 4 {
		id := fmt.Sprint("r", i)
		status, body, _ := f.do(t, "GET", "/get/a", id, "")
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(Equal("first " + id))
		time.Sleep(20 * time.Millisecond)
	}
}

// TestEarlyAnswer guards against a long body of which the rest is taken for the
// next request: a server answers before it has read the body and reads on later.
func TestEarlyAnswer(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	const size = 12 << 20 // more than the buffers of a connection hold
	var wrong atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
						return
					}
					if err != nil {
						wrong.Add(1)
						return
					}
					send(c, r, 200, "early "+r.Header.Get("X-Id"))
					time.Sleep(50 * time.Millisecond)
					body, err := io.ReadAll(r.Body)
					if strings.Trim(string(body), "x") != "" {
						wrong.Add(1)
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	f := start(t, &server{l: l})
	for _, n := range []int{size, 60_000, size, 10} {
		id := fmt.Sprint("p", n)
		c, in := f.dial(t)
		go func() { _, _ = io.WriteString(c, rawRequest("POST", "/post/a", id, strings.Repeat("x", n))) }()
		status, body, _ := read(in)
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(Equal("early " + id))
	}
	g.Expect(wrong.Load()).To(BeZero())
}

// TestBodies guards against bodies that are cut or changed on their way, of a
// known length or in chunks, short or too long to be held whole.
func TestBodies(t *testing.T) {
	for _, size := range []int{0, 10, 60_000, wholeBody, 3 * wholeBody} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d chunked=%v", size, chunked), func(t *testing.T) {
				g := NewWithT(t)
				s := startServer(t, func(_ *server, c net.Conn, r *http.Request, body string) bool {
					return send(c, r, 200, body)
				})
				f := start(t, s)
				c, in := f.dial(t)
				body := strings.Repeat("abcdefghij", size/10+1)[:size]
				go func() {
					if !chunked {
						_, _ = io.WriteString(c, rawRequest("POST", "/post/a?q=1", "p", body))
						return
					}
					_, _ = io.WriteString(c, "POST /post/a?q=1 HTTP/1.1\r\nHost: x\r\nX-Id: p\r\nX-Deadline: 2000\r\nTransfer-Encoding: chunked\r\n\r\n")
					for len(body) > 0 {
						n := min(len(body), 50_000)
						_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n])
						body = body[n:]
					}
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}()
				status, got, _ := read(in)
				g.Expect(status).To(Equal(200))
				g.Expect(len(got)).To(Equal(size))
				g.Expect(s.seen[0]).To(HavePrefix("POST /post/a?q=1 abcdefghij"[:17+min(size, 10)]))
			})
		}
	}
}

// TestMalformed guards against a malformed request that poisons the next one on
// its connection, and against answers that name the wrong cause.
func TestMalformed(t *testing.T) {
	for _, c := range []struct {
		desc, raw string
		want      int
	}{
		{"no request line", "hello\r\n\r\n", 400},
		{"header too long", "GET /get/a HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", 431},
		{"body too long", "POST /post/a HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", 413},
		{"no host", "GET /get/a HTTP/1.1\r\n\r\n", 400},
		{"no route", "GET /none/ HTTP/1.1\r\nHost: x\r\n\r\n", 404},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, ok)
			f := start(t, s)
			conn, in := f.dial(t)
			go func() { _, _ = io.WriteString(conn, c.raw) }()
			status, _, _ := read(in)
			g.Expect(status).To(Equal(c.want))
			g.Expect(s.runs.Load()).To(BeZero())
		})
	}
}

// TestUnconfigured guards against a host without a configuration that denies
// routes it does not know yet.
func TestUnconfigured(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	f.g.view.Store(nil)
	f.g.configured = make(chan struct{})
	status, _, header := f.do(t, "GET", "/get/a", "g", "")
	g.Expect(status).To(Equal(503))
	g.Expect(header.Get("Retry-After")).NotTo(BeEmpty())
}

// TestFirstConfiguration guards against requests that a host refuses in the
// moment between its start and its first configuration.
func TestFirstConfiguration(t *testing.T) {
	g := NewWithT(t)
	f := start(t, startServer(t, ok))
	s := f.g.View()
	f.g.view.Store(nil)
	f.g.configured = make(chan struct{})
	time.AfterFunc(100*time.Millisecond, func() { f.g.SetView(s) })
	status, _, _ := f.do(t, "GET", "/get/a", "g", "")
	g.Expect(status).To(Equal(200))
}

// TestConfigurationNeverReverts guards against a view with an older or missing
// configuration that replaces a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	table := func(version uint64) *routetable.Table {
		tab, err := routetable.New(version, defaultLimits, nil, nil)
		g.Expect(err).NotTo(HaveOccurred())
		return tab
	}
	for _, v := range []*routetable.Table{table(5), table(4), nil} {
		f.g.SetView(fleet.New(9, v, nil, nil, nil, nil))
	}
	g.Expect(f.g.View().Table.Version).To(Equal(uint64(5)))
}

// TestDrain guards against a shutdown that cuts requests in progress, leaves idle
// connections open, or lets the last answer invite another request.
func TestDrain(t *testing.T) {
	g := NewWithT(t)
	slow := startServer(t, func(_ *server, c net.Conn, r *http.Request, _ string) bool {
		time.Sleep(200 * time.Millisecond)
		return send(c, r, 200, "done")
	})
	f := start(t, slow)
	idle, idleIn := f.dial(t)
	_, _ = io.WriteString(idle, rawRequest("GET", "/get/a", "i", ""))
	status, _, _ := read(idleIn)
	g.Expect(status).To(Equal(200))
	busy, busyIn := f.dial(t)
	_, _ = io.WriteString(busy, rawRequest("GET", "/get/a", "b", ""))
	g.Eventually(f.front.Open, "1s").Should(Equal(int64(1)))
	f.front.Drain()
	f.front.CloseIdle()
	status, body, header := read(busyIn)
	g.Expect(status).To(Equal(200))
	g.Expect(body).To(Equal("done"))
	g.Expect(header.Get("Connection")).To(Equal("close"))
	_, err := idleIn.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
}

// TestLeavingServer guards against a server that this host knows to be leaving
// and that gets work because its dispatcher does not know yet.
func TestLeavingServer(t *testing.T) {
	g := NewWithT(t)
	leaving, sound := startServer(t, ok), startServer(t, ok)
	f := start(t, leaving, sound)
	f.prefer(leaving, "b0")
	s := f.g.View()
	backends := []*fleet.Backend{}
	for id, b := range s.Backends {
		c := *b
		c.Draining = id == "b0"
		backends = append(backends, &c)
	}
	f.g.view.Store(fleet.New(2, s.Table, backends, nil, nil, s.Domains)) // the desk keeps the old view
	status, _, _ := f.do(t, "GET", "/get/a", "g", "")
	g.Expect(status).To(Equal(200))
	g.Expect(leaving.runs.Load()).To(BeZero())
}

// TestParse covers the headers by which servers tell of themselves.
func TestParse(t *testing.T) {
	g := NewWithT(t)
	g.Expect(parseLoad("3, 1,8")).To(Equal(&dispatch.Load{Running: 3, Waiting: 1, Slots: 8}))
	for _, bad := range []string{"", "1,2", "1,2,x", "-1,0,4", "1,2,3,4"} {
		g.Expect(parseLoad(bad)).To(BeNil(), bad)
	}
	d, found := keepAlive("max=5, timeout=10")
	g.Expect(found).To(BeTrue())
	g.Expect(d).To(Equal(10 * time.Second))
	_, found = keepAlive("timeout=soon")
	g.Expect(found).To(BeFalse())
}

// TestBudgetOfRestartedHosts guards against hosts that start again and again and
// each time spend a full share of the retry budget that all hosts have together.
func TestBudgetOfRestartedHosts(t *testing.T) {
	g := NewWithT(t)
	const hosts, restarts, requests = 20, 3, 10
	budget := Budget{Ratio: 0.2, Slack: 50}
	var list []*fleet.Host
	for i := range hosts {
		list = append(list, &fleet.Host{Name: fmt.Sprint("h", i), Region: "r"})
	}
	taken := 0
	for range hosts * restarts {
		gw := New(Config{Self: *list[0], Budget: budget, Caller: noPeer{}, PersistentStore: noPeer{}, Log: logrus.New()})
		gw.view.Store(fleet.New(1, nil, nil, list, nil, nil))
		for range requests {
			for b := gw.countRequest("s"); gw.takeBudget("s", b); {
				taken++
			}
		}
	}
	g.Expect(float64(taken)).To(BeNumerically("<=", budget.Ratio*hosts*restarts*requests+budget.Slack))
}

// TestIdleLimit guards against idle connections of many hosts that use up what a
// server accepts.
func TestIdleLimit(t *testing.T) {
	for _, c := range []struct{ hosts, most, want int }{
		{1, 1000, mostIdle}, {27, 878, mostIdle}, {300, 2060, 3}, {1000, 878, 1}, {10, 0, mostIdle},
	} {
		table, err := routetable.New(1, defaultLimits, []routetable.Service{{Name: "s", MaxConnections: c.most}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		var hosts []*fleet.Host
		for i := range c.hosts {
			hosts = append(hosts, &fleet.Host{Name: fmt.Sprint(i)})
		}
		got := idleLimit(fleet.New(1, table, nil, hosts, nil, nil), "s")
		NewWithT(t).Expect(got).To(Equal(c.want), "%d hosts, %d connections", c.hosts, c.most)
	}
}

// TestSilentServerIsLearnt guards against a server that never answers and keeps
// getting requests, because attempts that end with the request's time are not
// reported.
func TestSilentServerIsLearnt(t *testing.T) {
	g := NewWithT(t)
	silent := startServer(t, func(*server, net.Conn, *http.Request, string) bool { time.Sleep(time.Second); return false })
	f := start(t, silent)
	for i := range 2 {
		status, _, _ := f.do(t, "GET", "/short/a", fmt.Sprint("g", i), "")
		g.Expect(status).To(Equal(504))
	}
	d := f.g.desk
	g.Eventually(func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.shared["s"].pool.Dump(d.now())["b0"].Down
	}, "1s").Should(BeTrue())
}

// TestLostAnswer guards against callers that wait until their deadline for an
// answer that was lost, although another server would answer a request that may
// run twice; one that must not waits.
func TestLostAnswer(t *testing.T) {
	for _, c := range []struct {
		path, method string
		want         int
	}{{"/get/a", "GET", 200}, {"/post/a", "POST", 504}} {
		t.Run(c.path, func(t *testing.T) {
			g := NewWithT(t)
			lost := startServer(t, func(*server, net.Conn, *http.Request, string) bool { time.Sleep(3 * time.Second); return false })
			sound := startServer(t, ok)
			f := start(t, lost, sound)
			f.prefer(lost, "b0")
			status, _, _ := f.do(t, c.method, c.path, "id", "")
			g.Expect(status).To(Equal(c.want))
			g.Expect(lost.runs.Load()).To(Equal(int32(1)))
		})
	}
}
