package edge

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/steer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// tableSize is the size of a steering table. Client blocks are /24 prefixes.
type tableSize struct{ regions, hosts, services, blocks int }

// lookupEdge returns an Edge that serves lookups from a table of the given size.
func lookupEdge(b *testing.B, size tableSize) *Edge {
	var d steer.Delta
	var names []string
	for i := range size.regions {
		names = append(names, fmt.Sprint("region-", i))
	}
	for _, name := range names {
		d.SetRegions = append(d.SetRegions, steer.Region{Name: name, Delays: map[string]time.Duration{}})
	}
	cfg := &config.Config{Ranks: []config.Rank{{Name: "lookup"}}}
	for i := range size.services {
		name := fmt.Sprint("service-", i)
		cfg.Services = append(cfg.Services, config.Service{Name: name})
		d.SetServices = append(d.SetServices, steer.Service{Name: name, Regions: names})
	}
	for i := range size.hosts {
		address := fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&255)
		d.SetHosts = append(d.SetHosts, steer.Host{Weight: 1, Info: host.Info{ID: host.ID(fmt.Sprint("host-", i)), Incarnation: 1_700_000_000_000_000,
			Region: names[i%len(names)], FailureDomain: "a", RPCAddress: address, HTTPAddress: address}})
	}
	for i := range size.blocks {
		d.SetBlocks = append(d.SetBlocks, steer.Block{Prefix: netip.PrefixFrom(blockAddr(i), 24), Region: names[i%len(names)]})
	}
	table, err := steer.NewTable(names[0]).Apply(d)
	if err != nil {
		b.Fatal(err)
	}
	views := &view.Publisher{}
	views.Publish(view.New(cfg, 1, nil, nil, table))
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{LookupTTL: DefaultLookupTTL, IdentityWindow: DefaultIdentityWindow, LedgerCapacity: 1024}, views, nil, nil, nil, nil,
		logrus.NewEntry(log), metrics.NewRegistry())
}

// blockAddr returns the first address of the i-th block.
func blockAddr(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i)})
}

// lookupConn sends lookups on one connection. It parses only the status and the
// length, so that the caller's side takes a small share of the processor time.
type lookupConn struct {
	net.Conn
	r *bufio.Reader
	w bytes.Buffer
}

// lookup sends one lookup and returns the size of the answer, headers included.
func (c *lookupConn) lookup(client netip.Addr) (answerBytes int, err error) {
	c.w.Reset()
	fmt.Fprintf(&c.w, "GET %s?service=service-1&rank=lookup&client=%s HTTP/1.1\r\nHost: entry\r\n\r\n", httpapi.PathLookup, client)
	if _, err := c.Write(c.w.Bytes()); err != nil {
		return 0, err
	}
	status, length := false, -1
	for {
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		answerBytes += len(line)
		line = bytes.TrimRight(line, "\r\n")
		status = status || bytes.Equal(line, []byte("HTTP/1.1 200 OK"))
		if value, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			length, _ = strconv.Atoi(string(value))
		}
		if len(line) == 0 {
			break
		}
	}
	if !status || length < 0 {
		return 0, errors.New("lookup refused")
	}
	n, err := c.r.Discard(length)
	return answerBytes + n, err
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // RUSAGE_SELF is always valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLookupHTTP measures lookups over HTTP on persistent loopback
// connections, one per processor. lookups_per_core_s divides the lookups by the
// processor time of both sides; handler_ns is the time in the handler alone.
func BenchmarkLookupHTTP(b *testing.B) {
	for _, size := range []tableSize{{3, 24, 3, 9}, {12, 700, 25, 100_000}, {24, 2500, 50, 400_000}, {35, 6200, 77, 1_600_000}} {
		b.Run(fmt.Sprintf("blocks=%d", size.blocks), func(b *testing.B) {
			e := lookupEdge(b, size)
			server := httptest.NewServer(e.Handler())
			defer server.Close()
			var answerBytes, next atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			started, cpu := time.Now(), cpuTime()
			b.RunParallel(func(pb *testing.PB) {
				nc, err := net.Dial("tcp", server.Listener.Addr().String())
				if err != nil {
					b.Error(err)
					return
				}
				defer func() { _ = nc.Close() }()
				c := &lookupConn{Conn: nc, r: bufio.NewReader(nc)}
				for pb.Next() {
					n, err := c.lookup(blockAddr(int(next.Add(7919)) % size.blocks))
					if err != nil {
						b.Error(err)
						return
					}
					answerBytes.Store(int64(n))
				}
			})
			b.StopTimer()
			cpuSeconds := (cpuTime() - cpu).Seconds()
			b.ReportMetric(float64(b.N)/cpuSeconds, "lookups_per_core_s")
			b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), "lookups_per_s")
			b.ReportMetric(float64(runtime.GOMAXPROCS(0)), "gomaxprocs")
			b.ReportMetric(float64(answerBytes.Load()), "answer_bytes")
			b.ReportMetric(handlerTime(e, size), "handler_ns")
		})
	}
}

// handlerTime returns the mean time of a handler call without the network, in
// nanoseconds.
func handlerTime(e *Edge, size tableSize) float64 {
	const calls = 20_000
	handler := e.Handler()
	requests := make([]*http.Request, 64)
	for i := range requests {
		requests[i] = httptest.NewRequest(http.MethodGet, fmt.Sprintf("%s?service=service-1&rank=lookup&client=%s", httpapi.PathLookup,
			blockAddr(i*104_729%size.blocks)), nil)
	}
	started := time.Now()
	for i := range calls {
		w := &discardWriter{header: http.Header{}}
		handler.ServeHTTP(w, requests[i%len(requests)])
	}
	return float64(time.Since(started).Nanoseconds()) / calls
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}
