package lease

import (
	"sync"
	"testing"
	"time"
)

// fleets are the sizes of design section 5.
var fleets = []struct {
	desc           string
	hosts, regions int
}{{"24", 24, 3}, {"1000", 1000, 12}, {"6200", 6200, 35}}

// benchWorkers bounds the regions simulated at the same time.
const benchWorkers = 4

// settleTime is enough for a standby to be established in the host list.
const settleTime = 45 * time.Second

// returnTime is how long the calls are counted after the store's return.
const returnTime = 20 * time.Second

// eachRegion simulates the regions of a fleet, which do not interact.
func eachRegion(hosts, regions int, run func(region int, s *sim)) {
	var wg sync.WaitGroup
	next := make(chan int, regions)
	for r := range regions {
		next <- r
	}
	close(next)
	for range benchWorkers {
		wg.Go(func() {
			for r := range next {
				s := newSim(uint64(r), (hosts+r)/regions, Config{})
				s.unchecked, s.members, s.listing = true, 10*time.Second, 4*time.Second
				s.run(settleTime)
				run(r, s)
			}
		})
	}
	wg.Wait()
}

// fleetCalls sums the store calls of all regions by second.
type fleetCalls struct {
	mu        sync.Mutex
	perSecond map[int]int
	normal    time.Duration
}

func (f *fleetCalls) add(s *sim, from time.Duration, normal time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for second, calls := range s.perSecond {
		if second >= int(from/time.Second) {
			f.perSecond[second] += calls
		}
	}
	f.normal = max(f.normal, normal)
}

func (f *fleetCalls) peak() int {
	peak := 0
	for _, calls := range f.perSecond {
		peak = max(peak, calls)
	}
	return peak
}

// watchReturn runs returnTime after the store's return and tells when the
// region's primary had the store's confirmation for good.
func watchReturn(s *sim) time.Duration {
	from, normal := s.now, time.Duration(0)
	for range returnTime / (500 * time.Millisecond) {
		s.run(500 * time.Millisecond)
		if p := s.primary(); p == nil || !p.lessor.hasStoreAuthority() {
			normal = s.now - from
		}
	}
	return normal
}

// BenchmarkStoreReturn ends an hour without the store for the whole fleet.
// In the second scenario every host has been restarted at once within that
// hour, so that no region has a lessor.
func BenchmarkStoreReturn(b *testing.B) {
	for _, fleet := range fleets {
		b.Run(fleet.desc, func(b *testing.B) {
			for range b.N {
				extended := &fleetCalls{perSecond: map[int]int{}}
				dark := &fleetCalls{perSecond: map[int]int{}}
				eachRegion(fleet.hosts, fleet.regions, func(_ int, s *sim) {
					s.outage(time.Hour)
					from := s.now
					extended.add(s, from, watchReturn(s))
				})
				eachRegion(fleet.hosts, fleet.regions, func(_ int, s *sim) {
					s.faults.storeDown = true
					for i := range s.hosts {
						s.restart(i)
					}
					s.outage(5 * time.Minute)
					from := s.now
					dark.add(s, from, watchReturn(s))
				})
				b.ReportMetric(float64(extended.peak()), "peak_store_calls_per_s")
				b.ReportMetric(extended.normal.Seconds(), "seconds_to_normal")
				b.ReportMetric(float64(dark.peak()), "dark_peak_store_calls_per_s")
				b.ReportMetric(dark.normal.Seconds(), "dark_seconds_to_normal")
			}
		})
	}
}

// outage takes the store away for d, with coarse time steps in between.
func (s *sim) outage(d time.Duration) {
	s.faults.storeDown = true
	s.wakeWatchers()
	s.run(10 * time.Second)
	tick, members, listing := s.tick, s.members, s.listing
	s.tick, s.members, s.listing = 4*time.Second, 10*time.Minute, 8*time.Second
	s.run(d - 20*time.Second)
	s.tick, s.members, s.listing = tick, members, listing
	s.run(10 * time.Second)
	s.faults.storeDown = false
}

// BenchmarkStoreSteady gives the store calls of quiet lessors and standbys.
func BenchmarkStoreSteady(b *testing.B) {
	for _, fleet := range fleets {
		b.Run(fleet.desc, func(b *testing.B) {
			for range b.N {
				var mu sync.Mutex
				reads, writes := 0, 0
				eachRegion(fleet.hosts, fleet.regions, func(_ int, s *sim) {
					r, w := s.reads, s.writes
					s.run(30 * time.Second)
					mu.Lock()
					defer mu.Unlock()
					reads, writes = reads+s.reads-r, writes+s.writes-w
				})
				b.ReportMetric(float64(reads)/30, "store_reads_per_s")
				b.ReportMetric(float64(writes)/30, "store_writes_per_s")
				b.ReportMetric(float64(reads+writes)/30/float64(fleet.hosts), "store_calls_per_host_s")
			}
		})
	}
}
