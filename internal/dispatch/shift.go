package dispatch

import "time"

// Parameters of the bound on shifts between regions.
const (
	// shiftWindow is the length of the two consecutive windows that are compared.
	shiftWindow = 2 * time.Second
	// minShiftRequests is the number of requests in a window below which the regions'
	// shares are not significant and the bound does not apply.
	minShiftRequests = 30
	// shiftBuckets is the number of buckets in a window.
	shiftBuckets = 4
)

// shiftLimiter bounds how fast a pool's grants move from its own region to others.
// It counts them by region in a ring of time buckets.
type shiftLimiter struct {
	ownRegion     string
	maxGrowth     float64 // largest growth of a region's share from one window to the next
	currentBucket int64   // number of the newest bucket
	buckets       [2*shiftBuckets + 1]map[string]int
}

func (s *shiftLimiter) advance(now time.Duration) {
	bucket := int64(now / (shiftWindow / shiftBuckets))
	if bucket-s.currentBucket > int64(len(s.buckets)) {
		s.buckets = [2*shiftBuckets + 1]map[string]int{}
		s.currentBucket = bucket
	}
	for s.currentBucket < bucket {
		s.currentBucket++
		s.buckets[s.index(s.currentBucket)] = nil
	}
}

func (s *shiftLimiter) index(bucket int64) int { return int(bucket % int64(len(s.buckets))) }

func (s *shiftLimiter) record(now time.Duration, region string) {
	s.advance(now)
	i := s.index(s.currentBucket)
	if s.buckets[i] == nil {
		s.buckets[i] = map[string]int{}
	}
	s.buckets[i][region]++
}

// allows reports whether one more request in the region keeps the growth of its
// share from the previous to the present window within the bound.
func (s *shiftLimiter) allows(now time.Duration, region string) bool {
	if region == s.ownRegion {
		return true
	}
	s.advance(now)
	inRegion, total := s.countWindow(region, 0)
	inRegionBefore, totalBefore := s.countWindow(region, shiftBuckets)
	if totalBefore < minShiftRequests || total < minShiftRequests {
		return true
	}
	return float64(inRegion+1)/float64(total+1) <= float64(inRegionBefore)/float64(totalBefore)+s.maxGrowth
}

// countWindow counts the requests in the window that ended bucketsAgo buckets ago,
// those of the region and all.
func (s *shiftLimiter) countWindow(region string, bucketsAgo int64) (inRegion, total int) {
	for i := max(s.currentBucket-bucketsAgo-shiftBuckets+1, 0); i <= s.currentBucket-bucketsAgo; i++ {
		for bucketRegion, count := range s.buckets[s.index(i)] {
			total += count
			if bucketRegion == region {
				inRegion += count
			}
		}
	}
	return inRegion, total
}
