package dispatch

import (
	"slices"
	"time"
)

// Parameters of the delay of a hedge, which is learned for each class.
const (
	// hedgeQuantile is the fraction of the requests that are answered before a hedge
	// would be sent. One in twenty is what the retry budget can bear, and more than the
	// 3 of 100 requests that take many times their expected time.
	hedgeQuantile = 0.95
	// minHedgeFactor bounds the delay, as a multiple of the expected time, from below. A
	// shorter one sends hedges for requests that are about to be answered.
	minHedgeFactor = 1.2
	// maxHedgeFactor bounds it from above: at three times the expected time, the first
	// answer is probably lost.
	maxHedgeFactor = 3.0
	// hedgeSamples is the number of recent requests of a class that count.
	hedgeSamples = 128
	// minHedgeSamples is the number of requests from which the delay is used.
	minHedgeSamples = 40
	// hedgeUpdateInterval is the number of samples after which the quantile is computed
	// again, as sorting for each request costs more than it gains.
	hedgeUpdateInterval = 8
)

// hedgeState holds the ratios of actual to expected time of recent requests of a class.
type hedgeState struct {
	ratios  []float32 // a ring of hedgeSamples
	next    int
	samples int // since the quantile was computed
	factor  float64
}

// record adds the ratio of a request that was answered. For one that was not, cut is
// set and the ratio is a lower bound. It is used only if it is in the tail already, as
// the quantile does not depend on how far: without it, hedges that win would remove the
// tail from the samples.
func (h *hedgeState) record(ratio float64, cut bool) {
	if cut && (h.factor == 0 || ratio < h.factor) {
		return
	}
	if len(h.ratios) < hedgeSamples {
		h.ratios = append(h.ratios, float32(ratio))
	} else {
		h.ratios[h.next] = float32(ratio)
	}
	h.next = (h.next + 1) % hedgeSamples
	h.samples++
	if len(h.ratios) >= minHedgeSamples && (h.factor == 0 || h.samples >= hedgeUpdateInterval) {
		h.samples = 0
		sorted := slices.Clone(h.ratios)
		slices.Sort(sorted)
		quantile := float64(sorted[int(hedgeQuantile*float64(len(sorted)-1))])
		h.factor = min(max(quantile, minHedgeFactor), maxHedgeFactor)
	}
}

// observeHedgeRatio records how long a request took compared with what was expected.
func (c *class) observeHedgeRatio(g *grant, r Report) {
	expected := g.wait + g.expectedService
	elapsed := r.Elapsed - g.server.place.roundTrip
	if g.trial || expected <= 0 || elapsed <= 0 || !g.reportsPercent() {
		return
	}
	switch r.Result {
	case Served:
		c.hedge.record(float64(elapsed)/float64(expected), false)
	case Abandoned, TimedOut:
		c.hedge.record(float64(elapsed)/float64(expected), true)
	}
}

// hedgeDelay returns the time from sending a request to its hedge, or 0 if it cannot be
// hedged, the servers do not report percentages or too few requests were observed.
func (p *Pool) hedgeDelay(now time.Duration, r Request, s *server, est estimate) time.Duration {
	c := p.classes[r.Class]
	if r.NoHedge || c == nil || c.hedge.factor == 0 || est.trial || !p.percentReported(now) {
		return 0
	}
	return s.place.roundTrip + time.Duration(c.hedge.factor*float64(est.wait+est.service))
}
