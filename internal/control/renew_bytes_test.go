package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/galenabeam/galenabeam/internal/adapter/hostlist"
	fakelist "github.com/galenabeam/galenabeam/internal/fake/hostlist"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/shift"
)

// renewSize is a deployment: entry hosts and pools of each region, and regions.
type renewSize struct{ hosts, pools, regions int }

const renewIncarnation = host.Incarnation(1_764_800_000_000_000)

func regionName(i int) string     { return fmt.Sprintf("region-%02d", i) }
func hostID(region, i int) string { return fmt.Sprintf("entry-%02d-%03d", region, i) }

// poolDigestOf describes a pool with three ranks.
func poolDigestOf(i int) peer.PoolDigest {
	d := peer.PoolDigest{Service: fmt.Sprintf("service-%02d", i)}
	for _, rank := range []string{"lookup", "declaration", "manifest"} {
		d.Ranks = append(d.Ranks, peer.RankDigest{Rank: rank, WaitMillis: 120, FreeSlots: 24})
	}
	return d
}

func digestOf(region int, s renewSize) peer.RegionDigest {
	d := peer.RegionDigest{Region: regionName(region), Epoch: 4, Sequence: 100_000, AgeMillis: 700}
	for i := range s.hosts {
		d.Hosts = append(d.Hosts, host.Info{ID: host.ID(hostID(region, i)), Incarnation: renewIncarnation, Region: d.Region,
			FailureDomain: "domain-1", RPCAddress: fmt.Sprintf("10.%d.%d.10:7100", region, i), HTTPAddress: fmt.Sprintf("10.%d.%d.10:8080", region, i)})
	}
	for i := range s.pools {
		d.Pools = append(d.Pools, poolDigestOf(i))
	}
	return d
}

// renewal returns a request of a host that owns its part of the region's pools,
// and the answer of the lessor. With shifting, the host has a share of the cap
// of each other region. The answer names the owners only if owners is set.
func renewal(s renewSize, shifting, owners bool) (Renew, Renewed) {
	self := lease.Ref{ID: host.ID(hostID(0, 0)), Incarnation: renewIncarnation}
	q := Renew{Lease: lease.RenewRequest{From: self, Seq: 100_000, Epoch: 4}, Owners: 1 << 60,
		Shift: &shift.Report{Holder: renewIncarnation, Number: 100_000, Epoch: 4}}
	a := Renewed{Lease: lease.RenewAnswer{Seq: 100_000, Epoch: 4, Primary: self, Valid: 2 * time.Second, Period: 500 * time.Millisecond},
		Shift: &shift.Grant{Holder: renewIncarnation, Answers: 100_000, Epoch: 4, Validity: 2 * time.Second}, Version: 1 << 60}
	for i := range (s.pools + s.hosts - 1) / s.hosts {
		name := fmt.Sprintf("%sservice-%02d", poolPrefix, i)
		q.Lease.Holds = append(q.Lease.Holds, name)
		q.Pools = append(q.Pools, poolDigestOf(i))
		a.Lease.Grants = append(a.Lease.Grants, lease.Grant{Resource: lease.Resource{Name: name}})
	}
	for i := range s.regions {
		a.Digests = append(a.Digests, digestOf(i, s))
		if shifting && i > 0 {
			q.Shift.Origins = append(q.Shift.Origins, shift.OriginReport{Origin: regionName(i), Concurrent: 20, BytesPerSecond: 300_000_000,
				InUse: 10, Peak: 12, Want: []int{4, 4, 4}, Room: []int{2, 2, 2}, WantBytesPerSecond: 1_000_000})
			a.Shift.Origins = append(a.Shift.Origins, shift.OriginGrant{Origin: regionName(i), Concurrent: 20, BytesPerSecond: 300_000_000})
		}
	}
	if owners {
		a.Owners = map[string]lease.Ref{}
		for i := range s.pools {
			a.Owners[fmt.Sprintf("%sservice-%02d", poolPrefix, i)] = self
		}
	}
	return q, a
}

func jsonBytes(b *testing.B, v any) float64 {
	text, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(text))
}

// BenchmarkRenewBytes measures the JSON of lease.renew and region.digest against
// the hosts and pools of a region and the number of regions. ns/op is one
// request and one answer, encoded and decoded.
func BenchmarkRenewBytes(b *testing.B) {
	for _, s := range []renewSize{{8, 3, 3}, {14, 13, 8}, {67, 40, 15}, {177, 77, 35}, {16, 77, 35}, {6, 77, 35}} {
		b.Run(fmt.Sprintf("hosts=%d/pools=%d/regions=%d", s.hosts, s.pools, s.regions), func(b *testing.B) {
			q, a := renewal(s, false, false)
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, q)
				roundTrip(b, a)
			}
			b.ReportMetric(jsonBytes(b, q), "request_bytes")
			b.ReportMetric(jsonBytes(b, a), "answer_bytes")
			b.ReportMetric(jsonBytes(b, digestOf(0, s)), "digest_bytes")
			bare := a
			bare.Digests = nil
			b.ReportMetric(jsonBytes(b, bare), "answer_no_digests_bytes")
			known := a
			known.Digests = nil
			for _, d := range a.Digests {
				d.Hosts, d.HostsVersion = nil, 1<<62
				known.Digests = append(known.Digests, d)
			}
			b.ReportMetric(jsonBytes(b, known), "answer_known_hosts_bytes")
			q, a = renewal(s, true, true)
			a.Digests = nil
			b.ReportMetric(jsonBytes(b, q), "request_shifting_bytes")
			b.ReportMetric(jsonBytes(b, a), "answer_shifting_owners_bytes")
		})
	}
}

func roundTrip[T any](b *testing.B, v T) {
	text, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	var back T
	if err := json.Unmarshal(text, &back); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkHostListBytes measures one read of the platform's host list, which
// every entry host makes each listPeriod.
func BenchmarkHostListBytes(b *testing.B) {
	for _, hosts := range []int{24, 200, 1000, 6200} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			list := fakelist.New(time.Now)
			var entries []member.Listed
			for i := range hosts {
				h := member.Listed{ID: host.ID(hostID(i%35, i/35)), Region: regionName(i % 35), FailureDomain: "domain-1",
					RPCAddress: fmt.Sprintf("10.%d.%d.10:7100", i%35, i/35), HTTPAddress: fmt.Sprintf("10.%d.%d.10:8080", i%35, i/35), State: member.ListedLive}
				list.Put(h)
				entries = append(entries, h)
			}
			server := httptest.NewServer(list)
			defer server.Close()
			client := hostlist.New(server.URL, &http.Client{Timeout: listTimeout}, metrics.NewRegistry())
			b.ReportAllocs()
			for b.Loop() {
				if got, err := client.Hosts(context.Background()); err != nil || len(got) != hosts {
					b.Fatalf("%d hosts, error %v", len(got), err)
				}
			}
			b.ReportMetric(jsonBytes(b, entries), "answer_bytes")
		})
	}
}
