package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts the jobs that callers sent from one time to another.
type tally struct {
	from, to time.Duration
	rank     [ranks]rankTally
	refusals *hdrhistogram.Histogram // microseconds
	latency  *hdrhistogram.Histogram // of urgent jobs, microseconds
	// ownSent and ownInTime count the ordinary jobs of the flooded rank.
	ownSent, ownInTime int
	floodRank          int
}

type rankTally struct {
	sent, inTime, done, refused int
	held                        time.Duration // slot time within the window
	// heldInTime and busy are the slot time of jobs answered in time and the
	// service time of all jobs.
	heldInTime, busy time.Duration
}

func (t *tally) reset(from, to time.Duration, floodRank int) {
	*t = tally{from: from, to: to, floodRank: floodRank,
		refusals: hdrhistogram.New(1, int64(100*sec/time.Microsecond), 3),
		latency:  hdrhistogram.New(1, int64(100*sec/time.Microsecond), 3)}
}

func (t *tally) counts(j *job) bool { return j.sent >= t.from && j.sent < t.to }

func (t *tally) offered(j *job) {
	if !t.counts(j) {
		return
	}
	t.rank[j.rank].sent++
	if j.rank == t.floodRank && !j.flood {
		t.ownSent++
	}
}

func (t *tally) done(j *job, now time.Duration) {
	if !t.counts(j) {
		return
	}
	r := &t.rank[j.rank]
	r.done++
	if j.rank == 0 {
		_ = t.latency.RecordValue(int64((now - j.sent) / time.Microsecond))
	}
	if now-j.sent <= works[j.rank].target {
		r.inTime++
		if j.rank == t.floodRank && !j.flood {
			t.ownInTime++
		}
	}
}

func (t *tally) refuse(j *job, now time.Duration) {
	if t.counts(j) {
		t.rank[j.rank].refused++
		_ = t.refusals.RecordValue(int64((now - j.sent) / time.Microsecond))
	}
}

// hold records that a job kept a slot. Only the part within the window counts.
func (t *tally) hold(j *job, from, to time.Duration) {
	total := to - from
	part := min(to, t.to) - max(from, t.from)
	if part <= 0 {
		return
	}
	r := &t.rank[j.rank]
	r.held += part
	r.busy += time.Duration(float64(j.service) * float64(part) / float64(total))
	if to-j.sent <= works[j.rank].target {
		r.heldInTime += part
	}
}

// sum adds up tallies of several pools and keeps the worst urgent share.
func (t *tally) add(o *tally) {
	for i := range t.rank {
		a, b := &t.rank[i], &o.rank[i]
		a.sent += b.sent
		a.inTime += b.inTime
		a.done += b.done
		a.refused += b.refused
		a.held += b.held
		a.heldInTime += b.heldInTime
		a.busy += b.busy
	}
	t.ownSent += o.ownSent
	t.ownInTime += o.ownInTime
	t.refusals.Merge(o.refusals)
	t.latency.Merge(o.latency)
}

func (r *rankTally) share() float64 { return ratio(float64(r.inTime), float64(r.sent)) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}
