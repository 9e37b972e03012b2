package fakestore

import "time"

// window is the number of one-second intervals kept for rates.
const window = 120

// Counts are the calls that reached the service since its start.
type Counts struct {
	Reads, Writes int64
	// Watches is the part of Reads that were watches.
	Watches int64
	// Waiting is the number of watches that wait at present.
	Waiting int64
	// Refused counts calls that failed because the service was down or the
	// client was cut off. They are not part of Reads and Writes.
	Refused int64
	// LostAnswers counts writes that took effect without an answer.
	LostAnswers int64
}

// Rates are calls per second over a window.
type Rates struct {
	ReadsPerSecond, WritesPerSecond float64
	// PeakReads and PeakWrites are the largest counts within one second.
	PeakReads, PeakWrites int64
}

// counter counts calls in total and by second.
type counter struct {
	total   Counts
	seconds [window]secondCount
}

type secondCount struct {
	second        int64
	reads, writes int64
}

func (c *counter) count(now time.Duration, write, watch bool) {
	second := int64(now / time.Second)
	slot := &c.seconds[second%window]
	if slot.second != second {
		*slot = secondCount{second: second}
	}
	if write {
		c.total.Writes++
		slot.writes++
		return
	}
	c.total.Reads++
	slot.reads++
	if watch {
		c.total.Watches++
	}
}

// rates covers the whole seconds in (now-span, now], including the present one.
func (c *counter) rates(now, span time.Duration) Rates {
	seconds := min(max(int64(span/time.Second), 1), window)
	present := int64(now / time.Second)
	var reads, writes int64
	var r Rates
	for _, slot := range c.seconds {
		if slot.second <= present-seconds || slot.second > present {
			continue
		}
		reads += slot.reads
		writes += slot.writes
		r.PeakReads = max(r.PeakReads, slot.reads)
		r.PeakWrites = max(r.PeakWrites, slot.writes)
	}
	r.ReadsPerSecond = float64(reads) / float64(seconds)
	r.WritesPerSecond = float64(writes) / float64(seconds)
	return r
}
