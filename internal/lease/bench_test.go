package lease

import (
	"sync"
	"testing"
	"time"
)

// fleets are the fleet sizes to simulate; the numbers of hosts are those of
// docs/design.md, section 5.
var fleets = []struct {
	desc           string
	hosts, regions int
}{{"24", 24, 3}, {"1000", 1000, 12}, {"6200", 6200, 35}}

// benchWorkers is the number of regions simulated at the same time.
const benchWorkers = 4

// settleTime is long enough for a standby to be established in the host list.
const settleTime = 45 * time.Second

// returnDuration is how long calls are counted after the store's return.
const returnDuration = 20 * time.Second

// simulateRegions simulates the regions of a fleet, which do not interact. It
// calls run for each region after settleTime, on several goroutines.
func simulateRegions(hosts, regions int, run func(region int, s *sim)) {
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
				s.skipChecks, s.membersPeriod, s.listPeriod = true, 10*time.Second, 4*time.Second
				s.run(settleTime)
				run(r, s)
			}
		})
	}
	wg.Wait()
}

// fleetCalls sums the store calls of all regions by second, and keeps the longest
// time until a region was back to normal.
type fleetCalls struct {
	mu             sync.Mutex
	callsPerSecond map[int]int
	timeToNormal   time.Duration
}

func (f *fleetCalls) add(s *sim, from time.Duration, timeToNormal time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for second, calls := range s.callsPerSecond {
		if second >= int(from/time.Second) {
			f.callsPerSecond[second] += calls
		}
	}
	f.timeToNormal = max(f.timeToNormal, timeToNormal)
}

func (f *fleetCalls) peak() int {
	peak := 0
	for _, calls := range f.callsPerSecond {
		peak = max(peak, calls)
	}
	return peak
}

// measureReturn runs returnDuration after the store's return. It returns the time
// after which the region's primary kept store authority until the end.
func measureReturn(s *sim) time.Duration {
	from, timeToNormal := s.now, time.Duration(0)
	for range returnDuration / (500 * time.Millisecond) {
		s.run(500 * time.Millisecond)
		if p := s.primary(); p == nil || !p.lessor.hasStoreAuthority() {
			timeToNormal = s.now - from
		}
	}
	return timeToNormal
}

// BenchmarkStoreReturn measures the whole fleet's store calls and its time to
// normal after an hour without the store. In the second scenario (dark) all hosts
// restart at the start of an outage of 5 minutes, so that no region has a primary
// when the store returns.
func BenchmarkStoreReturn(b *testing.B) {
	for _, fleet := range fleets {
		b.Run(fleet.desc, func(b *testing.B) {
			for range b.N {
				extended := &fleetCalls{callsPerSecond: map[int]int{}}
				noPrimary := &fleetCalls{callsPerSecond: map[int]int{}}
				simulateRegions(fleet.hosts, fleet.regions, func(_ int, s *sim) {
					s.outage(time.Hour)
					from := s.now
					extended.add(s, from, measureReturn(s))
				})
				simulateRegions(fleet.hosts, fleet.regions, func(_ int, s *sim) {
					s.faults.storeDown = true
					for i := range s.hosts {
						s.restart(i)
					}
					s.outage(5 * time.Minute)
					from := s.now
					noPrimary.add(s, from, measureReturn(s))
				})
				b.ReportMetric(float64(extended.peak()), "peak_store_calls_per_s")
				b.ReportMetric(extended.timeToNormal.Seconds(), "seconds_to_normal")
				b.ReportMetric(float64(noPrimary.peak()), "dark_peak_store_calls_per_s")
				b.ReportMetric(noPrimary.timeToNormal.Seconds(), "dark_seconds_to_normal")
			}
		})
	}
}

// outage makes the store unreachable for d, which must exceed 20 s. Between the
// first and the last 10 s it simulates with longer periods.
func (s *sim) outage(d time.Duration) {
	s.faults.storeDown = true
	s.wakeWatchers()
	s.run(10 * time.Second)
	tickPeriod, membersPeriod, listPeriod := s.tickPeriod, s.membersPeriod, s.listPeriod
	s.tickPeriod, s.membersPeriod, s.listPeriod = 4*time.Second, 10*time.Minute, 8*time.Second
	s.run(d - 20*time.Second)
	s.tickPeriod, s.membersPeriod, s.listPeriod = tickPeriod, membersPeriod, listPeriod
	s.run(10 * time.Second)
	s.faults.storeDown = false
}

// BenchmarkStoreSteady measures the store calls of the whole fleet without faults.
func BenchmarkStoreSteady(b *testing.B) {
	for _, fleet := range fleets {
		b.Run(fleet.desc, func(b *testing.B) {
			for range b.N {
				var mu sync.Mutex
				reads, writes := 0, 0
				simulateRegions(fleet.hosts, fleet.regions, func(_ int, s *sim) {
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
