package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// benchSize is a size of section 1 of the design.
type benchSize struct {
	name                             string
	regions, hosts, services, blocks int
}

var benchSizes = []benchSize{
	{"today", 3, 24, 3, 9},
	{"blocks100k", 12, 700, 25, 100_000},
	{"blocks400k", 24, 2500, 50, 400_000},
	{"letter", 35, 6200, 77, 1_600_000},
}

// delta returns the complete content of a table of the size. Three quarters of
// the blocks are IPv4 prefixes of 20 to 24 bits, the others IPv6 prefixes of
// 40 to 48 bits.
func (s benchSize) delta(rng *rand.Rand) Delta {
	var d Delta
	names := make([]string, s.regions)
	for i := range names {
		names[i] = fmt.Sprint("region-", i)
	}
	for i, name := range names {
		delays := map[string]time.Duration{}
		for j, other := range names {
			delays[other] = time.Duration((i+j)%7+1) * time.Millisecond
		}
		d.SetRegions = append(d.SetRegions, Region{name, delays})
	}
	for i := range s.services {
		d.SetServices = append(d.SetServices, Service{fmt.Sprint("service-", i), names})
	}
	for i := range s.hosts {
		d.SetHosts = append(d.SetHosts, benchHost(i, names, rng))
	}
	seen := make(map[netip.Prefix]bool, s.blocks)
	for len(d.SetBlocks) < s.blocks {
		prefix := benchPrefix(rng)
		if !seen[prefix] {
			seen[prefix] = true
			d.SetBlocks = append(d.SetBlocks, Block{prefix, names[rng.IntN(len(names))]})
		}
	}
	return d
}

func benchPrefix(rng *rand.Rand) netip.Prefix {
	v := rng.Uint64()
	if v%4 == 0 {
		a := netip.AddrFrom16([16]byte{0x20, byte(v>>8) & 0x0f, byte(v >> 16), byte(v >> 24), byte(v >> 32), byte(v >> 40)})
		return netip.PrefixFrom(a, 40+rng.IntN(9)).Masked()
	}
	a := netip.AddrFrom4([4]byte{byte(v>>8)%223 + 1, byte(v >> 16), byte(v >> 24), 0})
	return netip.PrefixFrom(a, 20+rng.IntN(5)).Masked()
}

func benchHost(i int, names []string, rng *rand.Rand) Host {
	h := Host{Weight: 0.1 + rng.Float64()}
	h.ID, h.Region, h.FailureDomain = host.ID(fmt.Sprint("host-", i)), names[i%len(names)], "a"
	h.RPCAddress, h.HTTPAddress = fmt.Sprintf("10.0.%d.%d:8081", i>>8, i&255), fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&255)
	return h
}

// heapBytes returns the heap in use after a complete garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLookup measures a lookup of three hosts, the heap that the table uses,
// and the time to apply a delta that sets one client block and one host's weight.
func BenchmarkLookup(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(3, 4))
			d := size.delta(rng)
			clients := make([]netip.Addr, 1<<16)
			for i := range clients {
				clients[i] = d.SetBlocks[rng.IntN(len(d.SetBlocks))].Prefix.Addr()
			}
			before := heapBytes()
			table, err := NewTable("region-0").Apply(d)
			if err != nil {
				b.Fatal(err)
			}
			tableBytes := heapBytes() - before
			runtime.KeepAlive(d)

			const deltas = 1000
			var names []string
			for _, r := range d.SetRegions {
				names = append(names, r.Name)
			}
			start, changed := time.Now(), table
			for i := range deltas {
				block := Block{benchPrefix(rng), names[i%len(names)]}
				changed, err = changed.Apply(Delta{SetBlocks: []Block{block}, SetHosts: []Host{benchHost(i%size.hosts, names, rng)}})
				if err != nil {
					b.Fatal(err)
				}
			}
			perDelta := time.Since(start) / deltas

			buf := make([]*Host, 3)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				if len(table.Lookup("service-1", clients[i&(len(clients)-1)], buf).Hosts) == 0 {
					b.Fatal("no host")
				}
				i++
			}
			b.ReportMetric(float64(tableBytes), "table_bytes")
			b.ReportMetric(float64(perDelta.Nanoseconds()), "ns_per_delta")
		})
	}
}
