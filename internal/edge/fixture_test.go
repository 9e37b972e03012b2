package edge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/invariant"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const maxBody = 1 << 20

// fakeSlots grants every call unless acquire is set. It records the releases.
type fakeSlots struct {
	acquire  func(context.Context, peer.Acquire) peer.AcquireReply
	mu       sync.Mutex
	released []peer.Release
}

func (f *fakeSlots) Acquire(ctx context.Context, a peer.Acquire) peer.AcquireReply {
	if f.acquire != nil {
		return f.acquire(ctx, a)
	}
	return peer.AcquireReply{Granted: true, Server: "tables-1", Address: "192.0.2.1:80", Grant: a.Key.Sequence}
}

func (f *fakeSlots) Release(r peer.Release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, r)
}

func (f *fakeSlots) statuses() []peer.ReleaseStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []peer.ReleaseStatus
	for _, r := range f.released {
		out = append(out, r.Status)
	}
	return out
}

// fakeBackends simulates backend servers and reports each run to the invariant
// checks.
type fakeBackends struct {
	atMostOnce *invariant.AtMostOnce
	notRun     *invariant.NotRunIsTrue
	// do returns the answer to the n-th request; n starts at 1.
	do   func(ctx context.Context, r backend.Request, n int) backend.Answer
	mu   sync.Mutex
	runs int
}

func (f *fakeBackends) Do(ctx context.Context, r backend.Request) backend.Answer {
	f.mu.Lock()
	f.runs++
	n := f.runs
	f.mu.Unlock()
	a := backend.Answer{Outcome: outcome.Success(), Response: newResponse("answer to "+r.RequestID, 200)}
	if f.do != nil {
		a = f.do(ctx, r, n)
	}
	if a.Outcome.Kind != outcome.NotRun {
		f.atMostOnce.Run(0, r.RequestID, r.Address)
		f.notRun.Run(0, r.RequestID)
	}
	return a
}

func (f *fakeBackends) count() int { f.mu.Lock(); defer f.mu.Unlock(); return f.runs }

// newResponse returns the response to a POST, with a declared length.
func newResponse(body string, status int) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
		Request: &http.Request{Method: http.MethodPost}}
}

// localRouter sends every request to the local region.
type localRouter struct{}

func (localRouter) Route(*view.Snapshot, RouteRequest) (string, *outcome.Outcome) {
	return "north", nil
}
func (localRouter) Result(RouteRequest, string, outcome.Outcome) {}

// peerEdges is a peer.Client for the edges of other hosts, which run in this
// process, by RPC address.
type peerEdges map[string]*Edge

func (p peerEdges) Call(_ context.Context, address, _ string, params, result any) error {
	e, ok := p[address]
	if !ok {
		return fmt.Errorf("%w: test", peer.ErrUnreachable)
	}
	b, err := json.Marshal(e.Resolve(params.(peer.Resolve)))
	if err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}
func (p peerEdges) Notify(context.Context, string, string, any) error { return nil }

func testConfig() *config.Config {
	return &config.Config{
		Regions: config.Regions([]string{"a"}, time.Millisecond, time.Millisecond, "north"),
		Ranks: []config.Rank{{Name: "lookup", Order: 1, Deadline: 2 * time.Second, Idempotent: true},
			{Name: "declaration", Order: 2, Deadline: 2 * time.Second}},
		Services: []config.Service{{Name: "tables", MaxRequestBytes: maxBody, RetryShare: 0.1}},
	}
}

// testEdge is an Edge with fake dependencies, served over HTTP.
type testEdge struct {
	*Edge
	slots    *fakeSlots
	backends *fakeBackends
	peers    peerEdges
	http     *httptest.Server
}

func newTestEdge(t testing.TB, incarnation host.Incarnation, change ...func(*Config)) *testEdge {
	cfg := Config{Self: host.Info{ID: "entry-1", Incarnation: incarnation, Region: "north", RPCAddress: "rpc-1"},
		LookupTTL: time.Second, IdentityWindow: time.Minute, LedgerCapacity: 64}
	for _, f := range change {
		f(&cfg)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &testEdge{slots: &fakeSlots{}, peers: peerEdges{},
		backends: &fakeBackends{atMostOnce: invariant.NewAtMostOnce(), notRun: invariant.NewNotRunIsTrue()}}
	views := &view.Publisher{}
	hosts := []host.Info{{Incarnation: 7, RPCAddress: "rpc-7"}, {Incarnation: 8, RPCAddress: "rpc-8"}}
	views.Publish(view.New(testConfig(), 1, nil, map[string]view.RegionView{"north": {Hosts: hosts}}, nil))
	n.Edge = New(cfg, views, n.slots, n.backends, localRouter{}, n.peers, logrus.NewEntry(log), metrics.NewRegistry())
	n.http = httptest.NewServer(n.Handler())
	t.Cleanup(n.http.Close)
	return n
}

// result is the answer that a caller received.
type result struct {
	outcome.Outcome
	status int
	body   string
	err    error
}

// call sends one request and reports the answer to the invariant checks. header
// holds names and values in turn.
func (n *testEdge) call(method, path string, body io.Reader, header ...string) result {
	return n.callContext(context.Background(), method, path, body, header...)
}

func (n *testEdge) callContext(ctx context.Context, method, path string, body io.Reader, header ...string) result {
	req, err := http.NewRequestWithContext(ctx, method, n.http.URL+path, body)
	if err != nil {
		return result{err: err}
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := n.http.Client().Transport.RoundTrip(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	o, ok := httpapi.ReadOutcome(resp.Header)
	if !ok && err == nil {
		err = fmt.Errorf("status %d without an outcome", resp.StatusCode)
	}
	if id := req.Header.Get(httpapi.HeaderRequestID); id != "" && ok {
		n.backends.notRun.Answer(0, id, o)
	}
	return result{Outcome: o, status: resp.StatusCode, body: string(text), err: err}
}

// declare sends a non-idempotent request with an identity.
func (n *testEdge) declare(id string) result {
	return n.call(http.MethodPost, "/v1/run/tables/x", strings.NewReader("declaration"), httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id)
}

// sendRaw sends text on a new connection and reads one answer. The caller closes
// the connection.
func (n *testEdge) sendRaw(text string) (*http.Response, net.Conn, error) {
	c, err := net.Dial("tcp", n.http.Listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = io.WriteString(c, text); err != nil {
		return nil, c, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return resp, c, err
}

// newUnresponsiveServer returns the address of a server that reads requests and
// never answers.
func newUnresponsiveServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}
