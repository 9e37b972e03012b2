package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyBlock is the number of observations per estimate.
	latencyBlock = 500
	// latencyMax is the largest latency that is told apart from longer ones.
	latencyMax = time.Minute
	// latencyUnit is the resolution of observations.
	latencyUnit = 10 * time.Microsecond
)

// Latency estimates quantiles of the latency of one service and rank from the
// latest full block of observations.
type Latency struct {
	quantile      float64
	histogram     *hdrhistogram.Histogram
	delay, median time.Duration
}

// NewLatency returns an estimator of the given quantile, from 0 to 1. Hedging
// after the 0.95 quantile adds about 5% of attempts.
func NewLatency(quantile float64) *Latency {
	return &Latency{quantile: quantile, histogram: hdrhistogram.New(1, int64(latencyMax/latencyUnit), 2)}
}

// Observe records the time from the first attempt to the answer, whichever
// attempt gave it.
func (l *Latency) Observe(d time.Duration) {
	_ = l.histogram.RecordValue(int64(min(max(d, 0), latencyMax) / latencyUnit))
	if l.histogram.TotalCount() < latencyBlock {
		return
	}
	l.delay = time.Duration(l.histogram.ValueAtPercentile(l.quantile*100)) * latencyUnit
	l.median = time.Duration(l.histogram.ValueAtPercentile(50)) * latencyUnit
	l.histogram.Reset()
}

// HedgeDelay returns how long to wait before a hedge. It returns false until
// enough latencies were observed.
func (l *Latency) HedgeDelay() (time.Duration, bool) { return l.delay, l.delay > 0 }

// Median returns the median latency, zero until enough were observed.
func (l *Latency) Median() time.Duration { return l.median }
