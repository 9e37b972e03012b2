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

// deploymentSize is the size of a deployment; hosts and pools are those of each
// region.
type deploymentSize struct{ hosts, pools, regions int }

const testIncarnation = host.Incarnation(1_764_800_000_000_000)

func regionName(i int) string     { return fmt.Sprintf("region-%02d", i) }
func hostID(region, i int) string { return fmt.Sprintf("entry-%02d-%03d", region, i) }

// poolDigestOf returns the digest of a pool with three ranks.
func poolDigestOf(i int) peer.PoolDigest {
	d := peer.PoolDigest{Service: fmt.Sprintf("service-%02d", i)}
	for _, rank := range []string{"lookup", "declaration", "manifest"} {
		d.Ranks = append(d.Ranks, peer.RankDigest{Rank: rank, WaitMillis: 120, FreeSlots: 24})
	}
	return d
}

func digestOf(region int, s deploymentSize) peer.RegionDigest {
	d := peer.RegionDigest{Region: regionName(region), Epoch: 4, Sequence: 100_000, AgeMillis: 700}
	for i := range s.hosts {
		d.Hosts = append(d.Hosts, host.Info{ID: host.ID(hostID(region, i)), Incarnation: testIncarnation, Region: d.Region,
			FailureDomain: "domain-1", RPCAddress: fmt.Sprintf("10.%d.%d.10:7100", region, i), HTTPAddress: fmt.Sprintf("10.%d.%d.10:8080", region, i)})
	}
	for i := range s.pools {
		d.Pools = append(d.Pools, poolDigestOf(i))
	}
	return d
}

// renewal returns the renewal request of a host that owns its fraction of the
// region's pools, and the primary's reply. With shifting, the host has a share of
// the cap of each other region. The reply holds the owners only if owners is
// set.
func renewal(s deploymentSize, shifting, owners bool) (Renew, RenewReply) {
	self := lease.Ref{ID: host.ID(hostID(0, 0)), Incarnation: testIncarnation}
	request := Renew{Lease: lease.RenewRequest{From: self, Seq: 100_000, Epoch: 4}, Owners: 1 << 60,
		Shift: &shift.Report{Holder: testIncarnation, Number: 100_000, Epoch: 4}}
	reply := RenewReply{Lease: lease.RenewAnswer{Seq: 100_000, Epoch: 4, Primary: self, Valid: 2 * time.Second, Period: 500 * time.Millisecond},
		Shift: &shift.Grant{Holder: testIncarnation, Answers: 100_000, Epoch: 4, Validity: 2 * time.Second}, OwnersVersion: 1 << 60}
	for i := range (s.pools + s.hosts - 1) / s.hosts {
		name := fmt.Sprintf("%sservice-%02d", poolPrefix, i)
		request.Lease.Holds = append(request.Lease.Holds, name)
		request.Pools = append(request.Pools, poolDigestOf(i))
		reply.Lease.Grants = append(reply.Lease.Grants, lease.Grant{Resource: lease.Resource{Name: name}})
	}
	for i := range s.regions {
		reply.Digests = append(reply.Digests, digestOf(i, s))
		if shifting && i > 0 {
			request.Shift.Origins = append(request.Shift.Origins, shift.OriginReport{Origin: regionName(i), Concurrent: 20, BytesPerSecond: 300_000_000,
				InUse: 10, Peak: 12, Demand: []int{4, 4, 4}, DemandMargin: []int{2, 2, 2}, DemandBytesPerSecond: 1_000_000})
			reply.Shift.Origins = append(reply.Shift.Origins, shift.OriginGrant{Origin: regionName(i), Concurrent: 20, BytesPerSecond: 300_000_000})
		}
	}
	if owners {
		reply.Owners = map[string]lease.Ref{}
		for i := range s.pools {
			reply.Owners[fmt.Sprintf("%sservice-%02d", poolPrefix, i)] = self
		}
	}
	return request, reply
}

func jsonBytes(b *testing.B, v any) float64 {
	text, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(text))
}

// BenchmarkRenewBytes measures the JSON size of lease.renew and region.digest
// for numbers of hosts and pools in a region and of regions. ns/op is for one
// request and one reply, encoded and decoded.
func BenchmarkRenewBytes(b *testing.B) {
	for _, s := range []deploymentSize{{8, 3, 3}, {14, 13, 8}, {67, 40, 15}, {177, 77, 35}, {16, 77, 35}, {6, 77, 35}} {
		b.Run(fmt.Sprintf("hosts=%d/pools=%d/regions=%d", s.hosts, s.pools, s.regions), func(b *testing.B) {
			request, reply := renewal(s, false, false)
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, request)
				roundTrip(b, reply)
			}
			b.ReportMetric(jsonBytes(b, request), "request_bytes")
			b.ReportMetric(jsonBytes(b, reply), "answer_bytes")
			b.ReportMetric(jsonBytes(b, digestOf(0, s)), "digest_bytes")
			withoutDigests := reply
			withoutDigests.Digests = nil
			b.ReportMetric(jsonBytes(b, withoutDigests), "answer_no_digests_bytes")
			withoutHosts := reply
			withoutHosts.Digests = nil
			for _, d := range reply.Digests {
				d.Hosts, d.HostsVersion = nil, 1<<62
				withoutHosts.Digests = append(withoutHosts.Digests, d)
			}
			b.ReportMetric(jsonBytes(b, withoutHosts), "answer_known_hosts_bytes")
			request, reply = renewal(s, true, true)
			reply.Digests = nil
			b.ReportMetric(jsonBytes(b, request), "request_shifting_bytes")
			b.ReportMetric(jsonBytes(b, reply), "answer_shifting_owners_bytes")
		})
	}
}

// roundTrip encodes v as JSON and decodes it.
func roundTrip[T any](b *testing.B, v T) {
	text, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	var decoded T
	if err := json.Unmarshal(text, &decoded); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkHostListBytes measures one read of the host list, which every entry
// host performs every listPeriod.
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
