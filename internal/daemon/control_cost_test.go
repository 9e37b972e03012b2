package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/examples/deployments"
	"github.com/galenabeam/galenabeam/internal/adapter/hostlist"
	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/fake/backend"
	fakelist "github.com/galenabeam/galenabeam/internal/fake/hostlist"
	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
)

// Limits of docs/design.md, section 1.5, for the control work of one entry host.
const (
	// limitCPUPercent is the processor time, in percent of one core.
	limitCPUPercent = 1.4
	// limitMegabytes is the resident memory, in units of 1e6 bytes.
	limitMegabytes = 256
	// limitBytesPerSecond is the rate of JSON-RPC bytes sent and received.
	limitBytesPerSecond = 9000
)

// costFleet runs entry hosts of several regions in one process, with stand-ins for the
// services that they call.
type costFleet struct {
	tb      testing.TB
	list    *fakelist.List
	listURL string
	store   *fakestore.Service
	hosts   []*Daemon
	traffic traffic
}

// traffic counts the JSON-RPC bytes that each RPC address sent and received.
type traffic struct {
	mu    sync.Mutex
	bytes map[string]*atomic.Int64
}

func (t *traffic) counter(address string) *atomic.Int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes[address] == nil {
		t.bytes[address] = &atomic.Int64{}
	}
	return t.bytes[address]
}

// countingConn counts each byte that it reads or writes for both of its ends.
type countingConn struct {
	net.Conn
	counters [2]*atomic.Int64
}

func (c countingConn) count(n int) {
	for _, counter := range c.counters {
		counter.Add(int64(n))
	}
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

// newCostFleet starts entry hosts in each region of the Hagtal example, with its
// backend servers on loopback, and waits until they are ready.
func newCostFleet(tb testing.TB, perRegion int) *costFleet {
	f := &costFleet{tb: tb, list: fakelist.New(time.Now), store: fakestore.New(), traffic: traffic{bytes: map[string]*atomic.Int64{}}}
	server := httptest.NewServer(f.list)
	tb.Cleanup(server.Close)
	f.listURL = server.URL
	c := deployments.Hagtal()
	for i := range c.BackendServers {
		b := &c.BackendServers[i]
		s, err := backend.Start(b.Name, "127.0.0.1", backend.Behavior{Slots: b.Slots, Shed: true})
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(s.Close)
		b.Address = s.Address()
	}
	for _, r := range c.Regions {
		for i := range perRegion {
			f.start(host.ID(fmt.Sprintf("%s-%d", r.Name, i+1)), r.Name, r.FailureDomains[i%len(r.FailureDomains)])
		}
	}
	f.submit(c)
	f.waitReady(len(c.Services), len(c.Regions))
	return f
}

// start runs one entry host until the end of the test.
func (f *costFleet) start(id host.ID, region, domain string) {
	f.tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	force := make(chan struct{})
	var ownBytes atomic.Pointer[atomic.Int64]
	ownBytes.Store(&atomic.Int64{})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: nc, counters: [2]*atomic.Int64{ownBytes.Load(), f.traffic.counter(address)}}, nil
	}
	d, err := New(Options{ID: id, Region: region, FailureDomain: domain, HTTPAddress: "127.0.0.1:0", RPCAddress: "127.0.0.1:0",
		HostList: hostlist.New(f.listURL, &http.Client{Timeout: hostListTimeout}, metrics.NewRegistry()),
		Store:    f.store.Client(string(id)), PeerDial: dial, ShutdownLimit: time.Second, Force: force, Log: log})
	if err != nil {
		f.tb.Fatal(err)
	}
	s := d.Self()
	ownBytes.Store(f.traffic.counter(s.RPCAddress))
	f.list.Put(member.Listed{ID: s.ID, Region: s.Region, FailureDomain: s.FailureDomain, RPCAddress: s.RPCAddress,
		HTTPAddress: s.HTTPAddress, State: member.ListedLive})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(ctx)
	}()
	f.tb.Cleanup(func() {
		stop()
		close(force)
		<-ended
	})
	f.hosts = append(f.hosts, d)
}

func (f *costFleet) submit(c *config.Config) {
	f.tb.Helper()
	if err := config.Check(c); err != nil {
		f.tb.Fatal(err)
	}
	var text bytes.Buffer
	if err := config.Print(&text, c); err != nil {
		f.tb.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	v, err := f.hosts[0].Control().Submit(ctx, confsync.Request{Text: text.Bytes(),
		Audit: confsync.Audit{Operation: "op-1", Who: "test", When: time.Unix(1, 0)}})
	if err != nil || v.Verdict != confsync.Accepted {
		f.tb.Fatalf("submission ended %q: %v, %v", v.Verdict, v.Err, err)
	}
}

// waitReady waits until every host knows the owners of its region's pools and
// the digests of all regions, and fails the test after 30 s.
func (f *costFleet) waitReady(pools, regions int) {
	f.tb.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for _, d := range f.hosts {
		for {
			s := d.views.Load()
			if len(s.Pools) == pools && len(s.Regions) == regions {
				break
			}
			if time.Now().After(deadline) {
				f.tb.Fatalf("host %s knows %d pools and %d regions", d.Self().ID, len(s.Pools), len(s.Regions))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// transferred returns the JSON-RPC bytes sent and received by each host, in the
// order of f.hosts.
func (f *costFleet) transferred() []int64 {
	var out []int64
	for _, d := range f.hosts {
		out = append(out, f.traffic.counter(d.Self().RPCAddress).Load())
	}
	return out
}

func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // RUSAGE_SELF is always valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func residentBytes(b *testing.B) float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		b.Skip("the resident memory cannot be read on this system: ", err)
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		b.Fatal(err)
	}
	return float64(resident * int64(os.Getpagesize()))
}

// usedBytes returns the memory of live heap objects and stacks, in bytes.
func usedBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkControlCost measures what idle entry hosts spend on control in the three
// regions of the Hagtal example. Processor time and memory include the stand-ins of
// store, host list and backend servers. Figures named ..._of_limit are fractions of
// the limits above.
func BenchmarkControlCost(b *testing.B) {
	for _, perRegion := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("hosts_per_region=%d", perRegion), func(b *testing.B) {
			for range b.N {
				measureControlCost(b, perRegion)
			}
		})
	}
}

func measureControlCost(b *testing.B, perRegion int) {
	const settle, window = 3 * time.Second, 10 * time.Second
	emptyBytes := usedBytes()
	f := newCostFleet(b, perRegion)
	time.Sleep(settle)
	hosts := float64(len(f.hosts))
	store, bytesBefore, cpu, begun := f.store.Counts(), f.transferred(), processTime(), time.Now()
	time.Sleep(window)
	spent, seconds := processTime()-cpu, time.Since(begun).Seconds()
	after, storeAfter := f.transferred(), f.store.Counts()
	var total, busiest float64
	for i := range after {
		rate := float64(after[i]-bytesBefore[i]) / seconds
		total, busiest = total+rate, max(busiest, rate)
	}
	percent := 100 * spent.Seconds() / seconds / hosts
	b.ReportMetric(percent, "cpu_percent_per_host")
	b.ReportMetric(percent/limitCPUPercent, "cpu_of_limit")
	b.ReportMetric(total/hosts, "bytes_per_host_s")
	b.ReportMetric(total/hosts/limitBytesPerSecond, "bytes_of_limit")
	b.ReportMetric(busiest, "busiest_host_bytes_s")
	resident := residentBytes(b) / hosts / 1e6
	b.ReportMetric(resident, "resident_mb_per_host")
	b.ReportMetric(resident/limitMegabytes, "memory_of_limit")
	b.ReportMetric((usedBytes()-emptyBytes)/hosts/1e6, "live_mb_per_host")
	regions := hosts / float64(perRegion)
	b.ReportMetric(float64(storeAfter.Reads-store.Reads)/seconds/regions, "store_reads_per_region_s")
	b.ReportMetric(float64(storeAfter.Writes-store.Writes)/seconds/regions, "store_writes_per_region_s")
	b.ReportMetric(float64(runtime.NumGoroutine())/hosts, "goroutines_per_host")
}
