package regionbench

import (
	"math"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

// measures counts what happens between settleTime after the loss and the
// return of the region, and checks the caps all the time.
type measures struct {
	overloads int
	sent      [3]int // by rank
	inTime    [3]int
	inFlight  [3][3]int // origin, region
	bucket    [3][3]float64
	filled    [3][3]time.Duration
	used      [3][3]float64 // bytes since the loss settled
	slots     [3][3]float64 // integral of inFlight
	noSlots   float64       // integral of shares that could not be used since all slots were busy
	excess    int           // most requests above a cap
	overBytes int           // admissions that the bucket of a cap did not allow
}

func (s *sim) measured(sent time.Duration) bool { return sent >= lossAt+settleTime && sent < returnAt }

func (s *sim) offered(r request) {
	if s.measured(r.sent) {
		s.sent[r.rank]++
	}
}

func (s *sim) finish(r request, kind outcome.Kind) {
	if kind == outcome.Done && s.measured(r.sent) && s.now-r.sent <= s.sc.ranks[r.rank].target {
		s.inTime[r.rank]++
	}
}

// shifted notes the grant (1) or release (-1) of a slot.
func (s *sim) shifted(origin, region, change int, bytes int64) {
	if origin == region {
		return
	}
	s.inFlight[origin][region] += change
	s.excess = max(s.excess, s.inFlight[origin][region]-s.sc.concurrent)
	rate := float64(s.sc.bytes)
	b := &s.bucket[origin][region]
	*b = min(rate, *b+rate*(s.now-s.filled[origin][region]).Seconds()) - float64(bytes)
	s.filled[origin][region] = s.now
	if *b < -1 {
		s.overBytes++
	}
	if s.measured(s.now) {
		s.used[origin][region] += float64(bytes)
	}
}

func (s *sim) sample() {
	if !s.measured(s.now) {
		return
	}
	for region, pools := range s.pools {
		for _, p := range pools {
			if limit, _ := p.share.Limit(s.now, p.origin(s.lost)); region != s.lost && p.busy == p.slots {
				s.noSlots += max(0, float64(limit-p.share.InUse(p.origin(s.lost)))) * 0.01
			}
		}
	}
	for origin := range s.inFlight {
		for region, n := range s.inFlight[origin] {
			s.slots[origin][region] += float64(n) * 0.01
		}
	}
}

func (s *sim) share(rank int) float64 { return float64(s.inTime[rank]) / float64(s.sent[rank]) }

// possible is the share of the urgent requests that slots and caps allow to
// serve: floors of other ranks are kept, and each slot is held for a round
// trip in the region longer than the service time.
func (s *sim) possible() float64 {
	urgent := s.sc.ranks[0]
	held := 1 + 2*s.sc.lan.Seconds()/urgent.service.Seconds()
	served, offered := 0.0, 0.0
	for region := range s.sc.regions {
		if region == s.lost {
			continue
		}
		capLeft := float64(s.sc.concurrent)
		for _, def := range s.sc.pools {
			local := s.sc.load * def.mix[0] * float64(def.slots[region]) * held
			shifted := s.sc.load * def.mix[0] * float64(def.slots[s.lost]) * held / 2
			usable := float64(def.slots[region])
			for _, other := range s.sc.ranks[1:] {
				usable -= math.Floor(other.floor * float64(def.slots[region]))
			}
			admitted := min(shifted, capLeft)
			capLeft -= admitted
			offered += local + shifted
			served += min(local+admitted, usable)
		}
	}
	return served / offered
}

// capUse is the mean use of the caps from the lost region, by the limit that
// binds.
func (s *sim) capUse() float64 {
	length, sum := (returnAt - lossAt - settleTime).Seconds(), 0.0
	for region := range s.slots {
		if region != s.lost {
			slots := s.slots[s.lost][region] / length / float64(s.sc.concurrent)
			bytes := s.used[s.lost][region] / length / float64(s.sc.bytes)
			sum += max(slots, bytes) / 2
		}
	}
	return sum
}

// BenchmarkRegionLoss loses one region for a minute. With the store up it is
// the second region; with the store down it is the first, which holds the
// store, and the lessors of the others go on by extension. The lessor of a
// remaining region crashes as well in the case lessor_lost.
func BenchmarkRegionLoss(b *testing.B) {
	for _, sc := range []scenario{hagtal(), tsehay()} {
		for _, tc := range []struct {
			name  string
			lost  int
			crash time.Duration
		}{{"store_up", 1, 0}, {"store_down", 0, 0}, {"lessor_lost", 1, lossAt + 25*time.Second}} {
			b.Run(sc.name+"/"+tc.name, func(b *testing.B) {
				for b.Loop() {
					s, n := newSim(sc, tc.lost, false), newSim(sc, tc.lost, true)
					s.crash = tc.crash
					s.run()
					n.run()
					report(b, s, n)
				}
			})
		}
	}
}

func report(b *testing.B, s, n *sim) {
	b.ReportMetric(s.share(0), "urgent_in_time")
	b.ReportMetric(s.possible(), "urgent_possible")
	b.ReportMetric(s.share(1), "second_in_time")
	b.ReportMetric(s.share(2), "third_in_time")
	b.ReportMetric(float64(s.excess), "cap_excess")
	b.ReportMetric(float64(s.overBytes), "byte_excess")
	b.ReportMetric(s.capUse(), "cap_use")
	b.ReportMetric(s.noSlots/(returnAt-lossAt-settleTime).Seconds()/2/float64(s.sc.concurrent), "cap_without_slots")
	b.ReportMetric(float64(s.overloads), "overloads")
	b.ReportMetric(n.share(0), "naive_urgent_in_time")
	b.ReportMetric(float64(n.excess), "naive_cap_excess")
	b.ReportMetric(0, "ns/op")
	if s.excess > 0 || s.overBytes > 0 || s.overloads > 0 {
		b.Errorf("cap_excess %d, byte_excess %d, overloads %d; all must be 0", s.excess, s.overBytes, s.overloads)
	}
}
