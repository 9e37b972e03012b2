package dispatch

import "time"

// Limits on how fast the regions of a pool's requests change.
const (
	// shiftWindow is the window over which the regions are compared.
	shiftWindow = 2 * time.Second
	// shiftLeast is the number of requests below which parts mean nothing.
	shiftLeast = 30
	// shiftBuckets divides the window.
	shiftBuckets = 4
)

// shifts bounds how fast requests move from one region to another.
type shifts struct {
	home    string
	step    float64 // largest growth of a region's part from one window to the next
	current int64   // number of the newest bucket
	buckets [2*shiftBuckets + 1]map[string]int
}

func (s *shifts) advance(now time.Duration) {
	n := int64(now / (shiftWindow / shiftBuckets))
	if n-s.current > int64(len(s.buckets)) {
		s.buckets = [2*shiftBuckets + 1]map[string]int{}
		s.current = n
	}
	for s.current < n {
		s.current++
		s.buckets[s.index(s.current)] = nil
	}
}

func (s *shifts) index(n int64) int { return int(n % int64(len(s.buckets))) }

func (s *shifts) count(now time.Duration, region string) {
	s.advance(now)
	i := s.index(s.current)
	if s.buckets[i] == nil {
		s.buckets[i] = map[string]int{}
	}
	s.buckets[i][region]++
}

// allows tells whether one more request in the region keeps its growth from the
// window before the present one within the bound.
func (s *shifts) allows(now time.Duration, region string) bool {
	if region == s.home {
		return true
	}
	s.advance(now)
	part, total := s.window(region, 0)
	before, totalBefore := s.window(region, shiftBuckets)
	if totalBefore < shiftLeast || total < shiftLeast {
		return true
	}
	return float64(part+1)/float64(total+1) <= float64(before)/float64(totalBefore)+s.step
}

// window counts the requests of the window that ended back buckets ago.
func (s *shifts) window(region string, back int64) (part, total int) {
	for i := max(s.current-back-shiftBuckets+1, 0); i <= s.current-back; i++ {
		for name, n := range s.buckets[s.index(i)] {
			total += n
			if name == region {
				part += n
			}
		}
	}
	return part, total
}
