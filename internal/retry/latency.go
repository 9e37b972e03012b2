package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// observationsPerEstimate is the number of observations in a block. Of 500, 25
	// lie above the 0.95 quantile.
	observationsPerEstimate = 500
	// maxLatency is the latency as which longer ones are recorded.
	maxLatency = time.Minute
	// latencyResolution is the unit in which latencies are recorded.
	latencyResolution = 10 * time.Microsecond
)

// Latency estimates the median and one quantile of the latency of one service and
// rank, from the latest full block of 500 observations. It is not safe for
// concurrent use.
type Latency struct {
	quantile           float64
	histogram          *hdrhistogram.Histogram
	hedgeDelay, median time.Duration
}

// NewLatency returns an estimator of the given quantile, from 0 to 1. Hedging
// after the 0.95 quantile adds about 5% of attempts.
func NewLatency(quantile float64) *Latency {
	return &Latency{quantile: quantile, histogram: hdrhistogram.New(1, int64(maxLatency/latencyResolution), 2)}
}

// Observe records the time from the start of an attempt to the first answer, its own
// or its hedge's.
func (l *Latency) Observe(d time.Duration) {
	_ = l.histogram.RecordValue(int64(min(max(d, 0), maxLatency) / latencyResolution))
	if l.histogram.TotalCount() < observationsPerEstimate {
		return
	}
	l.hedgeDelay = time.Duration(l.histogram.ValueAtPercentile(l.quantile*100)) * latencyResolution
	l.median = time.Duration(l.histogram.ValueAtPercentile(50)) * latencyResolution
	l.histogram.Reset()
}

// HedgeDelay returns the estimated quantile, after which to hedge. It returns false
// until the first block of observations is full, and while the estimate is below
// 10 µs.
func (l *Latency) HedgeDelay() (time.Duration, bool) { return l.hedgeDelay, l.hedgeDelay > 0 }

// Median returns the median latency, or zero until the first block of
// observations is full.
func (l *Latency) Median() time.Duration { return l.median }
