package daemon

import (
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/examples/deployments"
	fakelist "github.com/galenabeam/galenabeam/internal/fake/hostlist"
	fakestore "github.com/galenabeam/galenabeam/internal/fake/store"
	"github.com/galenabeam/galenabeam/internal/host"
)

// BenchmarkConfigReach measures how many of three entry hosts of one region have the
// first revision within 10 s, the limit of docs/design.md, section 1.5, by number of
// client blocks. Hosts pull a text above 1 MiB from each other in pieces. No figure
// fails the run; hosts_reached below 1 shows a failure.
func BenchmarkConfigReach(b *testing.B) {
	for _, blocks := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprint("blocks=", blocks), func(b *testing.B) {
			for range b.N {
				measureConfigReach(b, blocks)
			}
		})
	}
}

func measureConfigReach(b *testing.B, blocks int) {
	const hosts, limit = 3, 10 * time.Second
	f := &costFleet{tb: b, list: fakelist.New(time.Now), store: fakestore.New(), traffic: traffic{bytes: map[string]*atomic.Int64{}}}
	server := httptest.NewServer(f.list)
	b.Cleanup(server.Close)
	f.listURL = server.URL
	c := deployments.Hagtal()
	region := c.Regions[0]
	c.ClientBlocks = make([]config.ClientBlock, blocks)
	for i := range c.ClientBlocks {
		c.ClientBlocks[i] = config.ClientBlock{Prefix: fmt.Sprintf("%d.%d.%d.0/24", 11+i>>16, i>>8&255, i&255), Region: region.Name}
	}
	for i := range hosts {
		f.start(host.ID(fmt.Sprint("entry-", i+1)), region.Name, region.FailureDomains[i%len(region.FailureDomains)])
	}
	time.Sleep(2 * time.Second) // membership and primary
	f.submit(c)
	begun := time.Now()
	reached := 0
	for time.Since(begun) < limit && reached < hosts {
		time.Sleep(50 * time.Millisecond)
		reached = 0
		for _, d := range f.hosts {
			if d.views.Load().Revision == 1 {
				reached++
			}
		}
	}
	b.ReportMetric(time.Since(begun).Seconds(), "seconds")
	b.ReportMetric(float64(reached)/hosts, "hosts_reached")
}
