package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startEchoServer starts a server whose method echo returns its parameters, and returns
// the address of the server.
func startEchoServer(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(nil)
	Handle(s, "echo", func(_ context.Context, v []item) ([]item, error) { return v, nil })
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

// item takes about 100 bytes of JSON.
type item struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
	Text  string `json:"text"`
}

// processTime returns the processor time that the process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // RUSAGE_SELF is always valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall measures calls over a loopback connection whose parameters and
// answer are a list of items. cpu_us is the processor time of both sides.
func BenchmarkCall(b *testing.B) {
	for _, items := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("items=", items), func(b *testing.B) {
			address, client := startEchoServer(b), NewClient(nil)
			defer client.Close()
			params := make([]item, items)
			for i := range params {
				params[i] = item{Name: fmt.Sprintf("item-%04d", i), Count: 1_764_800_000_000_000, Text: strings.Repeat("x", 32)}
			}
			text, err := json.Marshal(params)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			cpu := processTime()
			for range b.N {
				var got []item
				if err := client.Call(context.Background(), address, "echo", params, &got); err != nil || len(got) != items {
					b.Fatalf("%d items, error %v", len(got), err)
				}
			}
			b.ReportMetric(float64((processTime()-cpu).Nanoseconds())/1e3/float64(b.N), "cpu_us")
			b.ReportMetric(float64(len(text)), "json_bytes_each_way")
		})
	}
}

// BenchmarkConnectionMemory measures the memory of an open connection, both of
// its ends together.
func BenchmarkConnectionMemory(b *testing.B) {
	for _, conns := range []int{32, 128, 512} {
		b.Run(fmt.Sprint("connections=", conns), func(b *testing.B) {
			address := startEchoServer(b)
			for range b.N {
				before := usedBytes()
				var clients []*Client
				for range conns {
					c := NewClient(nil)
					var got []item
					if err := c.Call(context.Background(), address, "echo", []item{{}}, &got); err != nil {
						b.Fatal(err)
					}
					clients = append(clients, c)
				}
				b.ReportMetric((usedBytes()-before)/float64(conns), "bytes_per_connection")
				for _, c := range clients {
					c.Close()
				}
			}
		})
	}
}

// usedBytes returns the memory of live heap objects and stacks, in bytes.
func usedBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
