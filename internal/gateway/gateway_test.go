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

// TestOutcomes guards against wrong answers after a failure of a backend server: a
// 503 for a request that may have run, an incomplete answer, or a second run of a
// request that must not be repeated.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		desc   string
		answer func(*testBackend, net.Conn, *http.Request, string) bool
		// Statuses for a repeatable request and for one that must not be repeated, both
		// with a healthy second server.
		get, post int
		postRuns  int32
	}{
		{"healthy", answerOK, 200, 200, 1},
		{"refuses before running", func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
			return sendAnswer(c, r, 503, "", "X-Not-Run: 1")
		}, 200, 200, 2},
		{"is not the expected instance", func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool { return sendAnswer(c, r, 421, "") }, 200, 200, 2},
		{"answers 500", func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool { return sendAnswer(c, r, 500, "oops") }, 200, 500, 1},
		{"closes without an answer", func(*testBackend, net.Conn, *http.Request, string) bool { return false }, 200, 502, 1},
		{"breaks off its answer", func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("X-Id"))
			return false
		}, 200, 502, 1},
		{"sends bytes that are no answer", func(_ *testBackend, c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "\x00\x01 garbage\r\n\r\n")
			return false
		}, 200, 502, 1},
		{"answers another request", func(_ *testBackend, c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nbad")
			return false
		}, 200, 502, 1},
		{"answers without a signature", func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nbad", r.Header.Get("X-Id"))
			return false
		}, 200, 502, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			bad, healthy := startBackend(t, c.answer), startBackend(t, answerOK)
			f := startGateway(t, bad, healthy)
			first := f.preferServer(bad, "b0")
			status, body, _ := f.sendRequest(t, "GET", "/get/a", "g1", "")
			g.Expect(status).To(Equal(c.get))
			if status == 200 {
				g.Expect(body).To(Equal("answer to g1 "))
			}
			bad.runs.Store(0)
			healthy.runs.Store(0)
			f = startGateway(t, bad, healthy)
			f.preferServer(bad, first)
			status, body, _ = f.sendRequest(t, "POST", "/post/a", "p1", "body")
			g.Expect(status).To(Equal(c.post))
			if status == 200 {
				g.Expect(body).To(Equal("answer to p1 body"))
			}
			g.Expect(bad.runs.Load() + healthy.runs.Load()).To(Equal(c.postRuns))
		})
	}
}

// preferServer makes the pool send the first request to the server id, by reporting
// failures of the others. It returns id.
func (f *fixture) preferServer(_ *testBackend, id string) string {
	sel := f.g.selector
	sel.mu.Lock()
	defer sel.mu.Unlock()
	p := sel.pool(sharedPool, "s").pool
	// Each failure raises the failure rate of the other server.
	for range 20 {
		for other := range f.g.Snapshot().Backends {
			if other == id {
				continue
			}
			r := dispatch.Request{Class: "c", Objective: sel.now() + time.Second, Deadline: sel.now() + 10*time.Second, Exclude: []string{id}}
			p.Release(sel.now(), p.Acquire(sel.now(), r).Grant, dispatch.Report{Result: dispatch.Failed})
		}
	}
	return id
}

// TestUnreachable guards against requests that fail, or are reported as possibly
// run, although no connection to the server could be made.
func TestUnreachable(t *testing.T) {
	g := NewWithT(t)
	gone := startBackend(t, answerOK)
	_ = gone.listener.Close()
	f := startGateway(t, gone)
	status, _, header := f.sendRequest(t, "POST", "/post/a", "p", "body")
	g.Expect(status).To(Equal(503))
	g.Expect(header.Get("Retry-After")).NotTo(BeEmpty())
	healthy := startBackend(t, answerOK)
	f = startGateway(t, gone, healthy)
	status, _, _ = f.sendRequest(t, "POST", "/post/a", "p", "body")
	g.Expect(status).To(Equal(200))
	g.Expect(healthy.runs.Load()).To(Equal(int32(1)))
}

// TestPipelined guards against pipelined requests that are answered in the wrong
// order or served one after the other.
func TestPipelined(t *testing.T) {
	g := NewWithT(t)
	slow := startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		time.Sleep(150 * time.Millisecond)
		return sendAnswer(c, r, 200, r.Header.Get("X-Id"))
	})
	f := startGateway(t, slow)
	c, in := f.dial(t)
	startTime := time.Now()
	for i := range 4 {
		_, _ = io.WriteString(c, rawRequest("GET", "/get/a", fmt.Sprint("r", i), ""))
	}
	for i := range 4 {
		status, body, _ := readAnswer(in)
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(Equal(fmt.Sprint("r", i)))
	}
	g.Expect(time.Since(startTime)).To(BeNumerically("<", 450*time.Millisecond))
}

// TestCallerDisconnects guards against backend servers that keep working on a
// request whose caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	g := NewWithT(t)
	started := make(chan struct{}, 1)
	slow := startBackend(t, func(_ *testBackend, _ net.Conn, _ *http.Request, _ string) bool {
		started <- struct{}{}
		return true // no answer; the next read fails when the gateway disconnects
	})
	f := startGateway(t, slow)
	c, _ := f.dial(t)
	_, _ = io.WriteString(c, rawRequest("GET", "/get/a", "g", ""))
	<-started
	_ = c.Close()
	g.Eventually(slow.disconnected, "400ms").Should(Receive())
	g.Eventually(f.front.InFlight, "1s").Should(BeZero())
}

// TestTimeout guards against callers that wait beyond the route's timeout because
// the backend server does not answer.
func TestTimeout(t *testing.T) {
	g := NewWithT(t)
	unresponsive := startBackend(t, func(*testBackend, net.Conn, *http.Request, string) bool { time.Sleep(time.Second); return false })
	f := startGateway(t, unresponsive)
	startTime := time.Now()
	status, _, _ := f.sendRequest(t, "GET", "/short/a", "g", "")
	g.Expect(status).To(Equal(504))
	g.Expect(time.Since(startTime)).To(BeNumerically("<", 600*time.Millisecond))
}

// TestExtraAnswer guards against a mix-up of answers: a server answers a request
// twice, and the second answer is taken for that to the next request on the
// connection.
func TestExtraAnswer(t *testing.T) {
	g := NewWithT(t)
	twice := startBackend(t, func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		sendAnswer(c, r, 200, "first "+r.Header.Get("X-Id"))
		if s.runs.Load() == 1 {
			go func() { time.Sleep(30 * time.Millisecond); sendAnswer(c, r, 200, "extra "+r.Header.Get("X-Id")) }()
		}
		return true
	})
	f := startGateway(t, twice)
	for i := range 4 {
		id := fmt.Sprint("r", i)
		status, body, _ := f.sendRequest(t, "GET", "/get/a", id, "")
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(Equal("first " + id))
		time.Sleep(20 * time.Millisecond)
	}
}

// TestEarlyAnswer guards against reuse of a connection before the body is sent: a
// server answers before it has read a long body, and then takes the rest of the body
// for the next request.
func TestEarlyAnswer(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	const size = 12 << 20 // more than the socket buffers of a connection hold
	var wrong atomic.Int32
	go func() {
		for {
			c, err := listener.Accept()
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
					sendAnswer(c, r, 200, "early "+r.Header.Get("X-Id"))
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
	f := startGateway(t, &testBackend{listener: listener})
	for _, n := range []int{size, 60_000, size, 10} {
		id := fmt.Sprint("p", n)
		c, in := f.dial(t)
		go func() { _, _ = io.WriteString(c, rawRequest("POST", "/post/a", id, strings.Repeat("x", n))) }()
		status, body, _ := readAnswer(in)
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(Equal("early " + id))
	}
	g.Expect(wrong.Load()).To(BeZero())
}

// TestBodiesArriveWhole guards against bodies that are truncated, or changed in their
// first bytes, when forwarded with a known length or chunked, buffered or streamed.
func TestBodiesArriveWhole(t *testing.T) {
	for _, size := range []int{0, 10, 60_000, maxBufferedBody, 3 * maxBufferedBody} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d chunked=%v", size, chunked), func(t *testing.T) {
				g := NewWithT(t)
				s := startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, body string) bool {
					return sendAnswer(c, r, 200, body)
				})
				f := startGateway(t, s)
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
				status, got, _ := readAnswer(in)
				g.Expect(status).To(Equal(200))
				g.Expect(len(got)).To(Equal(size))
				g.Expect(s.received[0]).To(HavePrefix("POST /post/a?q=1 abcdefghij"[:17+min(size, 10)]))
			})
		}
	}
}

// TestEncodedSlash guards against a path with an encoded slash that selects the route of
// another service: to the service, it is a different path.
func TestEncodedSlash(t *testing.T) {
	g := NewWithT(t)
	server := startBackend(t, answerOK)
	f := startGateway(t, server)
	status, _, _ := f.sendRequest(t, "GET", "/get%2F1", "a", "")
	g.Expect(status).To(Equal(404))
	status, _, _ = f.sendRequest(t, "GET", "/get/1%2F2?x=%2F", "b", "")
	g.Expect(status).To(Equal(200))
	status, _, _ = f.sendRequest(t, "GET", "http://x/get/1%2F2", "c", "")
	g.Expect(status).To(Equal(200))
	g.Expect(server.received).To(HaveLen(2))
	g.Expect(server.received[0]).To(HavePrefix("GET /get/1%2F2?x=%2F "), "forwarded as it was sent")
}

// TestPathAsSent guards against a path that is encoded anew because it holds a byte that
// should have been encoded: an encoded slash then selects the route of another service, and
// the server gets another path.
func TestPathAsSent(t *testing.T) {
	for _, path := range []string{"/get/a%2Fb|c", "/get/a%2Fb^", "/get/a%2Fb{}", "/get/a%2Fb\u00e9", "/get/a%2fb%7C?x=|%2F", "/get/a%2Fb?"} {
		for _, form := range []string{"", "http://x"} {
			g := NewWithT(t)
			server := startBackend(t, answerOK)
			f := startGateway(t, server)
			// Requests of this route have no time to be answered.
			f.setTable(t, func(routes []routetable.Route) { routes[1].Prefix, routes[1].Timeout = "/get/a/", time.Nanosecond }, nil)
			status, _, _ := f.sendRequest(t, "GET", form+path, "a", "")
			g.Expect(status).To(Equal(200), "%s", path)
			g.Expect(server.received).To(Equal([]string{"GET " + path + " "}))
		}
	}
}

// TestMalformedRequests guards against requests that are malformed, have too long a
// header, announce a body above the limit or match no route, but are forwarded or
// answered with the wrong status.
func TestMalformedRequests(t *testing.T) {
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
			s := startBackend(t, answerOK)
			f := startGateway(t, s)
			conn, in := f.dial(t)
			go func() { _, _ = io.WriteString(conn, c.raw) }()
			status, _, _ := readAnswer(in)
			g.Expect(status).To(Equal(c.want))
			g.Expect(s.runs.Load()).To(BeZero())
		})
	}
}

// TestNoConfiguration guards against a 404 from a host that has no configuration yet
// and so cannot know which routes exist.
func TestNoConfiguration(t *testing.T) {
	g := NewWithT(t)
	f := startGateway(t)
	f.g.snapshot.Store(nil)
	f.g.configured = make(chan struct{})
	status, _, header := f.sendRequest(t, "GET", "/get/a", "g", "")
	g.Expect(status).To(Equal(503))
	g.Expect(header.Get("Retry-After")).NotTo(BeEmpty())
}

// TestFirstConfiguration guards against refusals in the short time between the start
// of a host and its first configuration.
func TestFirstConfiguration(t *testing.T) {
	g := NewWithT(t)
	f := startGateway(t, startBackend(t, answerOK))
	s := f.g.Snapshot()
	f.g.snapshot.Store(nil)
	f.g.configured = make(chan struct{})
	time.AfterFunc(100*time.Millisecond, func() { f.g.SetSnapshot(s) })
	status, _, _ := f.sendRequest(t, "GET", "/get/a", "g", "")
	g.Expect(status).To(Equal(200))
}

// TestConfigurationNeverReverts guards against a newer configuration that is replaced
// when a snapshot with an older one, or with none, arrives.
func TestConfigurationNeverReverts(t *testing.T) {
	g := NewWithT(t)
	f := startGateway(t)
	table := func(version uint64) *routetable.Table {
		tab, err := routetable.New(version, defaultLimits, nil, nil)
		g.Expect(err).NotTo(HaveOccurred())
		return tab
	}
	for _, v := range []*routetable.Table{table(5), table(4), nil} {
		f.g.SetSnapshot(fleet.New(9, v, nil, nil, nil, nil))
	}
	g.Expect(f.g.Snapshot().Table.Version).To(Equal(uint64(5)))
}

// TestLeavingServer guards against requests to a server that this host knows to be
// draining, but the dispatcher, whose snapshot is older, does not.
func TestLeavingServer(t *testing.T) {
	g := NewWithT(t)
	leaving, healthy := startBackend(t, answerOK), startBackend(t, answerOK)
	f := startGateway(t, leaving, healthy)
	f.preferServer(leaving, "b0")
	s := f.g.Snapshot()
	backends := []*fleet.Backend{}
	for id, b := range s.Backends {
		c := *b
		c.Draining = id == "b0"
		backends = append(backends, &c)
	}
	f.g.snapshot.Store(fleet.New(2, s.Table, backends, nil, nil, s.Domains)) // the selector keeps the old snapshot
	status, _, _ := f.sendRequest(t, "GET", "/get/a", "g", "")
	g.Expect(status).To(Equal(200))
	g.Expect(leaving.runs.Load()).To(BeZero())
}

// TestParseServerHeaders guards against malformed load and Keep-Alive headers of
// backend servers that are taken for valid ones.
func TestParseServerHeaders(t *testing.T) {
	g := NewWithT(t)
	g.Expect(parseLoad("3, 1,8")).To(Equal(&dispatch.Load{Running: 3, Waiting: 1, Slots: 8}))
	g.Expect(parseLoad("3,1,8, 250")).To(Equal(&dispatch.Load{Running: 3, Waiting: 1, Slots: 8, Percent: 250}))
	g.Expect(parseLoad("3,1,8,99.6")).To(Equal(&dispatch.Load{Running: 3, Waiting: 1, Slots: 8, Percent: 100}))
	for _, absurd := range []string{"0", "-5", "10001", "1e300", "NaN", "+Inf"} {
		g.Expect(parseLoad("3,1,8,"+absurd)).To(Equal(&dispatch.Load{Running: 3, Waiting: 1, Slots: 8}), absurd)
	}
	for _, bad := range []string{"", "1,2", "1,2,x", "-1,0,4", "1,2,3,", "1,2,3,x", "x,2,3,4", "1,2,-3,4", "1,2,3,4,5"} {
		g.Expect(parseLoad(bad)).To(BeNil(), bad)
	}
	d, found := parseKeepAlive("max=5, timeout=10")
	g.Expect(found).To(BeTrue())
	g.Expect(d).To(Equal(10 * time.Second))
	_, found = parseKeepAlive("timeout=soon")
	g.Expect(found).To(BeFalse())
}

// TestBudgetOfRestartedHosts guards against more retries than the shared budget
// allows: hosts restart repeatedly, and each start grants a full share again.
func TestBudgetOfRestartedHosts(t *testing.T) {
	g := NewWithT(t)
	const hosts, restarts, requests = 20, 3, 10
	budget := Budget{Share: 0.2, Burst: 50}
	var list []*fleet.Host
	for i := range hosts {
		list = append(list, &fleet.Host{Name: fmt.Sprint("h", i), Region: "r"})
	}
	taken := 0
	for range hosts * restarts {
		gw := New(Config{Self: *list[0], Budget: budget, PeerClient: noPeers{}, PersistentStore: noPeers{}, Log: logrus.New()})
		gw.snapshot.Store(fleet.New(1, nil, nil, list, nil, nil))
		for range requests {
			for b := gw.countRequest("s"); gw.takeBudget("s", b); {
				taken++
			}
		}
	}
	g.Expect(float64(taken)).To(BeNumerically("<=", budget.Share*hosts*restarts*requests+budget.Burst))
}

// TestIdleConnLimit guards against many hosts whose idle connections together use up
// the connections that a server accepts.
func TestIdleConnLimit(t *testing.T) {
	for _, c := range []struct{ hosts, most, want int }{
		{1, 1000, maxIdleConnsPerServer}, {27, 878, maxIdleConnsPerServer}, {300, 2060, 3}, {1000, 878, 1}, {10, 0, maxIdleConnsPerServer},
	} {
		table, err := routetable.New(1, defaultLimits, []routetable.Service{{Name: "s", MaxConnections: c.most}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		var hosts []*fleet.Host
		for i := range c.hosts {
			hosts = append(hosts, &fleet.Host{Name: fmt.Sprint(i)})
		}
		got := idleConnLimit(fleet.New(1, table, nil, hosts, nil, nil), "s")
		NewWithT(t).Expect(got).To(Equal(c.want), "%d hosts, %d connections", c.hosts, c.most)
	}
}

// TestSilentServerIsLearnt guards against further requests to a server that never
// answers, because attempts that end at the deadline are not reported to the pool.
func TestSilentServerIsLearnt(t *testing.T) {
	g := NewWithT(t)
	unresponsive := startBackend(t, func(*testBackend, net.Conn, *http.Request, string) bool { time.Sleep(time.Second); return false })
	f := startGateway(t, unresponsive)
	for i := range 2 {
		status, _, _ := f.sendRequest(t, "GET", "/short/a", fmt.Sprint("g", i), "")
		g.Expect(status).To(Equal(504))
	}
	sel := f.g.selector
	g.Eventually(func() bool {
		sel.mu.Lock()
		defer sel.mu.Unlock()
		return sel.sharedPools["s"].pool.Dump(sel.now())["b0"].Down
	}, "1s").Should(BeTrue())
}

// TestLostAnswer guards against a repeatable request that waits until its deadline
// for a lost answer although another server would answer it. A request that must not
// be repeated has to wait.
func TestLostAnswer(t *testing.T) {
	for _, c := range []struct {
		path, method string
		want         int
	}{{"/get/a", "GET", 200}, {"/post/a", "POST", 504}} {
		t.Run(c.path, func(t *testing.T) {
			g := NewWithT(t)
			lost := startBackend(t, func(*testBackend, net.Conn, *http.Request, string) bool { time.Sleep(3 * time.Second); return false })
			healthy := startBackend(t, answerOK)
			f := startGateway(t, lost, healthy)
			f.preferServer(lost, "b0")
			status, _, _ := f.sendRequest(t, c.method, c.path, "id", "")
			g.Expect(status).To(Equal(c.want))
			g.Expect(lost.runs.Load()).To(Equal(int32(1)))
		})
	}
}
