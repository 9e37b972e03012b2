package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stats counts the requests that callers sent in a window of time.
type stats struct {
	from, to time.Duration
	rank     [ranks]rankStats
	refusals *hdrhistogram.Histogram // microseconds
	latency  *hdrhistogram.Histogram // of urgent requests, microseconds
	// ordinarySent and ordinaryInTime count the requests of the flooded rank that
	// are not part of the flood.
	ordinarySent, ordinaryInTime int
	floodRank                    int
}

type rankStats struct {
	sent, inTime, answered, refused int
	slotUse                         time.Duration // slot time of all requests within the window
	// slotUseInTime is the part of slotUse of requests whose slot was free again within
	// their target. serverBusy is the part of slotUse in which servers worked.
	slotUseInTime, serverBusy time.Duration
}

func (s *stats) reset(from, to time.Duration, floodRank int) {
	*s = stats{from: from, to: to, floodRank: floodRank,
		refusals: hdrhistogram.New(1, int64(100*sec/time.Microsecond), 3),
		latency:  hdrhistogram.New(1, int64(100*sec/time.Microsecond), 3)}
}

func (s *stats) inWindow(req *request) bool { return req.sent >= s.from && req.sent < s.to }

func (s *stats) recordSent(req *request) {
	if !s.inWindow(req) {
		return
	}
	s.rank[req.rank].sent++
	if req.rank == s.floodRank && !req.flood {
		s.ordinarySent++
	}
}

func (s *stats) answered(req *request, now time.Duration) {
	if !s.inWindow(req) {
		return
	}
	r := &s.rank[req.rank]
	r.answered++
	if req.rank == 0 {
		_ = s.latency.RecordValue(int64((now - req.sent) / time.Microsecond))
	}
	if now-req.sent <= rankModels[req.rank].target {
		r.inTime++
		if req.rank == s.floodRank && !req.flood {
			s.ordinaryInTime++
		}
	}
}

func (s *stats) recordRefused(req *request, now time.Duration) {
	if s.inWindow(req) {
		s.rank[req.rank].refused++
		_ = s.refusals.RecordValue(int64((now - req.sent) / time.Microsecond))
	}
}

// recordSlotUse records that a request used a slot from one time to another. Only
// the part within the window counts.
func (s *stats) recordSlotUse(req *request, from, to time.Duration) {
	total := to - from
	part := min(to, s.to) - max(from, s.from)
	if part <= 0 {
		return
	}
	r := &s.rank[req.rank]
	r.slotUse += part
	r.serverBusy += time.Duration(float64(req.serviceTime) * float64(part) / float64(total))
	if to-req.sent <= rankModels[req.rank].target {
		r.slotUseInTime += part
	}
}

// add adds the counts of another pool.
func (s *stats) add(o *stats) {
	for i := range s.rank {
		a, b := &s.rank[i], &o.rank[i]
		a.sent += b.sent
		a.inTime += b.inTime
		a.answered += b.answered
		a.refused += b.refused
		a.slotUse += b.slotUse
		a.slotUseInTime += b.slotUseInTime
		a.serverBusy += b.serverBusy
	}
	s.ordinarySent += o.ordinarySent
	s.ordinaryInTime += o.ordinaryInTime
	s.refusals.Merge(o.refusals)
	s.latency.Merge(o.latency)
}

// share returns the share of the requests that were answered in time.
func (r *rankStats) share() float64 { return ratio(float64(r.inTime), float64(r.sent)) }

// ratio returns a/b, or 1 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}
