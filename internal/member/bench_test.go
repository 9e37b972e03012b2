package member

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// BenchmarkMembership measures the cost of membership and the time to detect a
// crash at 5% message loss: the regions form for 60 s, then one host in a hundred
// crashes and the costs of the next 30 s are counted.
func BenchmarkMembership(b *testing.B) {
	for _, tc := range []struct{ hosts, regions int }{{24, 3}, {200, 8}, {1000, 15}, {6200, 35}} {
		b.Run(fmt.Sprint(tc.hosts), func(b *testing.B) {
			for range b.N {
				measureMembership(b, tc.hosts, tc.regions)
			}
		})
	}
}

func measureMembership(b *testing.B, hosts, regions int) {
	const formTime, measureTime = 60 * time.Second, 30 * time.Second
	perRegion := hosts / regions
	s := newSim(7, regions, perRegion, network{loss: 0.05, delay: time.Millisecond})
	s.runUntil(formTime)
	n := len(s.nodes)
	crashed := 0
	for i := 0; i < n; i += 100 {
		s.crash(s.nodes[i])
		crashed++
	}
	s.measuring = true
	s.runUntil(formTime + measureTime)
	hostSeconds := float64(n-crashed) * measureTime.Seconds()
	first, last := detectionTimes(s, formTime, perRegion)
	b.ReportMetric(float64(s.messages)/hostSeconds, "messages_per_host_s")
	b.ReportMetric(float64(s.bytes)/hostSeconds, "bytes_per_host_s")
	b.ReportMetric(first, "first_detect_seconds")
	b.ReportMetric(last, "detect_seconds")
	b.ReportMetric(float64(len(s.falseDeaths)), "false_deaths")
	b.ReportMetric(float64(s.stepTime)/hostSeconds, "step_ns_per_host_s")
	b.ReportMetric(float64(s.codecTime)/hostSeconds, "codec_ns_per_host_s")
	b.ReportMetric(heapPerMember(perRegion), "state_bytes_per_member")
	b.ReportMetric(float64(len(s.disagreements())), "disagreements")
}

// detectionTimes returns the mean seconds from crashes at time at until the first and
// the last host of the region declared the process gone. A crash that some host has
// not detected adds an hour; one that none has sets both results to an hour.
func detectionTimes(s *sim, at time.Duration, perRegion int) (first, last float64) {
	crashes := 0
	for _, n := range s.nodes {
		if n.m != nil {
			continue
		}
		crashes++
		seen := s.detected[n.info.ID]
		if len(seen) == 0 {
			return 3600, 3600
		}
		first += (slices.Min(seen) - at).Seconds()
		last += (slices.Max(seen) - at).Seconds()
		if running := s.running(n.info.Region); len(seen) < running {
			last += 3600
		}
	}
	return first / float64(crashes), last / float64(crashes)
}

// running returns the number of hosts of the region on which a process runs.
func (s *sim) running(region string) int {
	count := 0
	for _, n := range s.nodes {
		if n.m != nil && n.info.Region == region {
			count++
		}
	}
	return count
}

// heapPerMember measures the bytes of heap that a Machine uses per member. The
// members are decoded from JSON, as in operation.
func heapPerMember(members int) float64 {
	heap := func() uint64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	const machines = 50
	before := heap()
	var inUse []*Machine
	for range machines {
		m := New(DefaultConfig(), host.Info{ID: "self", Incarnation: 1, Region: "r"}, rand.New(rand.NewSource(1)))
		for i := range members {
			ping := Ping{Region: "r", From: Claim{
				ID: host.ID(fmt.Sprintf("host-%04d", i)), Incarnation: 1, Status: Live,
				Location: &Location{"region-01-domain-1", fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250)},
			}}
			encoded, _ := json.Marshal(ping)
			var decoded Ping
			_ = json.Unmarshal(encoded, &decoded)
			m.Step(0, PingReceived{Ping: decoded}, nil)
		}
		inUse = append(inUse, m)
	}
	after := heap()
	runtime.KeepAlive(inUse)
	return float64(after-before) / float64(machines*members)
}
