package fakestore

import "time"

// rateWindowSeconds is the number of seconds whose counts are retained for rates.
const rateWindowSeconds = 120

// Counts counts the calls to the service since its start.
type Counts struct {
	Reads, Writes int64
	// Watches counts the Reads that were watches.
	Watches int64
	// Waiting is the number of watches that are waiting now.
	Waiting int64
	// Refused counts calls that began while the service was down or the client
	// was cut off. They are not part of Reads and Writes.
	Refused int64
	// LostAnswers counts writes whose answer was lost by Faults.LoseAnswers.
	LostAnswers int64
}

// Rates are rates of calls over a span of time.
type Rates struct {
	ReadsPerSecond, WritesPerSecond float64
	// PeakReads and PeakWrites are the largest counts within one second.
	PeakReads, PeakWrites int64
}

// counter counts calls in total and by second since the start of the service.
type counter struct {
	total   Counts
	seconds [rateWindowSeconds]secondCount // by second modulo the length
}

type secondCount struct {
	second        int64
	reads, writes int64
}

func (c *counter) count(now time.Duration, write, watch bool) {
	second := int64(now / time.Second)
	bucket := &c.seconds[second%rateWindowSeconds]
	if bucket.second != second {
		*bucket = secondCount{second: second}
	}
	if write {
		c.total.Writes++
		bucket.writes++
		return
	}
	c.total.Reads++
	bucket.reads++
	if watch {
		c.total.Watches++
	}
}

// rates returns the rates over the last whole seconds of span, including the current,
// incomplete one.
func (c *counter) rates(now, span time.Duration) Rates {
	seconds := min(max(int64(span/time.Second), 1), rateWindowSeconds)
	current := int64(now / time.Second)
	var reads, writes int64
	var r Rates
	for _, bucket := range c.seconds {
		if bucket.second <= current-seconds || bucket.second > current {
			continue
		}
		reads += bucket.reads
		writes += bucket.writes
		r.PeakReads = max(r.PeakReads, bucket.reads)
		r.PeakWrites = max(r.PeakWrites, bucket.writes)
	}
	r.ReadsPerSecond = float64(reads) / float64(seconds)
	r.WritesPerSecond = float64(writes) / float64(seconds)
	return r
}
