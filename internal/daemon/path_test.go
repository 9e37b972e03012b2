package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/fake/backend"
	fakelist "github.com/galenabeam/galenabeam/internal/fake/hostlist"
	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/member"
)

// testRegion is a region of entry hosts with one backend server on loopback.
type testRegion struct {
	tb      testing.TB
	list    *fakelist.List
	store   *fakestore.Service
	backend *backend.Server
	config  *config.Config
	hosts   []*Daemon
	running map[*Daemon]*running
	// limit bounds the graceful shutdown of each entry host.
	limit time.Duration
}

// running controls a started entry host.
type running struct {
	stop  context.CancelFunc
	force func()
	ended chan struct{}
}

// newTestRegion starts a region, submits its first revision and waits until every
// entry host serves requests.
func newTestRegion(tb testing.TB, hosts int, behavior backend.Behavior) *testRegion {
	tb.Helper()
	r := &testRegion{tb: tb, list: fakelist.New(time.Now), store: fakestore.New(), running: map[*Daemon]*running{}, limit: 10 * time.Second}
	var err error
	if r.backend, err = backend.Start("tables-1", "127.0.0.1", behavior); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(r.backend.Close)
	regions := config.Regions([]string{"a", "b"}, time.Millisecond, time.Millisecond, "north")
	r.config = &config.Config{
		Deployment: "test", Regions: regions,
		Ranks: []config.Rank{
			{Name: "lookup", Order: 1, Target: 250 * time.Millisecond, Deadline: 2 * time.Second, Worth: 10, Idempotent: true},
			{Name: "declaration", Order: 2, Target: time.Second, Deadline: 2 * time.Second, Worth: 3, Floor: 0.1},
		},
		Services: []config.Service{{Name: "tables", Team: "statistics", ServiceTime: 5 * time.Millisecond, MaxRequestBytes: 1 << 20,
			AnswerBytes: 1 << 10, RetryShare: 0.1, EjectShare: 0.5, Warmup: time.Second}},
		BackendServers: []config.BackendServer{{Name: "tables-1", Service: "tables", Region: "north", FailureDomain: "a",
			Address: r.backend.Address(), Slots: behavior.Slots, Connections: 100}},
		Customers:    []config.Customer{{Name: "hotels", Weight: 1}},
		ClientBlocks: config.Blocks("north", "127.0.0.0/8"),
	}
	if err := config.Check(r.config); err != nil {
		tb.Fatal(err)
	}
	for range hosts {
		r.start()
	}
	r.submit(1)
	r.waitReady()
	return r
}

// submit submits the region's configuration as the given revision through the
// first entry host.
func (r *testRegion) submit(revision int) {
	r.tb.Helper()
	var text bytes.Buffer
	if err := config.Print(&text, r.config); err != nil {
		r.tb.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	v, err := r.hosts[0].Control().Submit(ctx, confsync.Request{Base: confsync.Revision(revision - 1), Text: text.Bytes(),
		Audit: confsync.Audit{Operation: fmt.Sprintf("op-%d", revision), Who: "test", When: time.Unix(int64(revision), 0)}})
	if err != nil || v.Verdict != confsync.Accepted {
		r.tb.Fatalf("submission ended %q: %v, %v", v.Verdict, v.Err, err)
	}
}

func (r *testRegion) start() *Daemon {
	r.tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	force := make(chan struct{})
	id := host.ID(fmt.Sprintf("entry-%d", len(r.hosts)+1))
	d, err := New(Options{ID: id, Region: "north", FailureDomain: "a", HTTPAddress: "127.0.0.1:0", RPCAddress: "127.0.0.1:0",
		HostList: r.list, Store: r.store.Client(string(id)), ShutdownLimit: r.limit, Force: force, Log: log})
	if err != nil {
		r.tb.Fatal(err)
	}
	s := d.Self()
	r.list.Put(member.Listed{ID: s.ID, Region: s.Region, FailureDomain: s.FailureDomain, RPCAddress: s.RPCAddress,
		HTTPAddress: s.HTTPAddress, State: member.ListedLive})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(ctx)
	}()
	r.running[d] = &running{stop: stop, force: sync.OnceFunc(func() { close(force) }), ended: ended}
	r.tb.Cleanup(func() { r.kill(d) })
	r.hosts = append(r.hosts, d)
	return d
}

// kill forces the shutdown of an entry host, which announces that it is leaving but
// cancels its requests at once and waits for no role to be handed over.
func (r *testRegion) kill(d *Daemon) {
	r.running[d].force()
	r.running[d].stop()
	<-r.running[d].ended
}

// waitReady waits until every entry host serves a request.
func (r *testRegion) waitReady() {
	r.tb.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for _, d := range r.hosts {
		for {
			status, _, err := r.request(http.DefaultClient, d.Self().HTTPAddress, "lookup", "/ready?ms=0", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				r.tb.Fatalf("entry host %s is not ready: status %d, error %v", d.Self().ID, status, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (r *testRegion) request(c *http.Client, address, rank, path string, body []byte) (int, http.Header, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+httpapi.PathRun+"tables"+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set(httpapi.HeaderRank, rank)
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header, err
}

// owner returns the entry host that owns the pool and one that does not.
func (r *testRegion) owner() (owner, other *Daemon) {
	for _, d := range r.hosts {
		if _, ok := d.slots.Local("tables"); ok {
			owner = d
		} else {
			other = d
		}
	}
	return owner, other
}

// BenchmarkRequestPath compares the median time of a request through an entry
// host with that of a request sent to the backend server directly.
func BenchmarkRequestPath(b *testing.B) {
	for _, ms := range []int{0, 2, 10} {
		for _, remote := range []bool{false, true} {
			b.Run(fmt.Sprintf("service_ms=%d/owner_remote=%t", ms, remote), func(b *testing.B) {
				benchmarkRequestPath(b, ms, remote)
			})
		}
	}
}

func benchmarkRequestPath(b *testing.B, ms int, remote bool) {
	r := newTestRegion(b, 2, backend.Behavior{Slots: 16, Shed: true})
	owner, other := r.owner()
	through := owner
	if remote {
		through = other
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	path := fmt.Sprintf("/work?ms=%d", ms)
	var direct, via []time.Duration
	measure := func(address, path string) time.Duration {
		begun := time.Now()
		status, _, err := r.request(client, address, "lookup", path, nil)
		if err != nil || status != http.StatusOK {
			b.Fatalf("status %d, error %v", status, err)
		}
		return time.Since(begun)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		via = append(via, measure(through.Self().HTTPAddress, path))
		b.StopTimer()
		direct = append(direct, measure(r.backend.Address(), path))
		b.StartTimer()
	}
	b.StopTimer()
	slices.Sort(direct)
	slices.Sort(via)
	b.ReportMetric(float64(via[len(via)/2])/float64(direct[len(direct)/2]), "p50_ratio")
	b.ReportMetric(float64(via[len(via)/2].Microseconds()), "p50_us")
	b.ReportMetric(float64(direct[len(direct)/2].Microseconds()), "direct_p50_us")
}
