package control

import (
	"bytes"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/examples/deployments"
	"github.com/galenabeam/galenabeam/internal/steer"
)

// configWithBlocks returns the Hagtal example with a number of /24 client blocks.
func configWithBlocks(blocks int) *config.Config {
	c := deployments.Hagtal()
	c.ClientBlocks = make([]config.ClientBlock, blocks)
	for i := range c.ClientBlocks {
		c.ClientBlocks[i] = config.ClientBlock{Prefix: fmt.Sprintf("%d.%d.%d.0/24", 11+i>>16, i>>8&255, i&255), Region: "nordur"}
	}
	return c
}

// liveBytes returns the size of the live heap objects.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processTime returns the user and system CPU time of this process.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // RUSAGE_SELF is always valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// applyRevision parses and checks a text and applies its changes to a steering
// table, as applyConfig and updateSteering do.
func applyRevision(b *testing.B, text []byte, before *config.Config, table *steer.Table) (*config.Config, *steer.Table) {
	c, err := config.Parse(text)
	if err != nil {
		b.Fatal(err)
	}
	if err := config.Check(c); err != nil {
		b.Fatal(err)
	}
	next, err := table.Apply(steer.Changes(before, c))
	if err != nil {
		b.Fatal(err)
	}
	return c, next
}

// BenchmarkRevisionCost measures applyRevision, which every entry host performs,
// for a revision that moves one client block. cpu_ms includes the garbage
// collector; live_mb is the text, the configuration and the table; B/op is what
// one revision allocates in addition.
func BenchmarkRevisionCost(b *testing.B) {
	for _, blocks := range []int{100_000, 400_000, 1_600_000} {
		b.Run(fmt.Sprint("blocks=", blocks), func(b *testing.B) {
			var text bytes.Buffer
			if err := config.Print(&text, configWithBlocks(blocks)); err != nil {
				b.Fatal(err)
			}
			empty := liveBytes()
			before, table := applyRevision(b, bytes.Clone(text.Bytes()), nil, steer.NewTable("nordur"))
			live := liveBytes() - empty + uint64(text.Len())
			changed := bytes.Replace(text.Bytes(), []byte("11.0.1.0/24 = nordur"), []byte("11.0.1.0/24 = austur"), 1)
			b.ReportAllocs()
			b.ResetTimer()
			cpu := processTime()
			for range b.N {
				applyRevision(b, changed, before, table)
			}
			b.StopTimer()
			b.ReportMetric(float64((processTime()-cpu).Milliseconds())/float64(b.N), "cpu_ms")
			b.ReportMetric(float64(live)/1e6, "live_mb")
			b.ReportMetric(float64(text.Len()), "text_bytes")
			runtime.KeepAlive(before)
			runtime.KeepAlive(table)
		})
	}
}
