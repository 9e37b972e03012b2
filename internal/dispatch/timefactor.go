package dispatch

import "time"

// Parameters of the service times that servers report in percent of their usual ones.
const (
	// MinPercent and MaxPercent bound the reports that are used. No machine is 100 times
	// slower than usual and still reports; such a value is a fault of the report.
	MinPercent, MaxPercent = 1.0, 10_000.0
	// minTimeFactor bounds the advantage of a server that reports short times, so that
	// one report does not draw the requests of all hosts to it. A short time seldom lasts,
	// so that with 0.5 and 0.7 requests met servers that were slow again, and latencies in
	// BenchmarkUnevenServers were longer. They were with 1 too, which gives no advantage.
	minTimeFactor = 0.85
	// maxTimeFactor bounds the disadvantage of one that reports long times: from here on
	// it is avoided anyway, and a faulty report must not exclude it.
	maxTimeFactor = 8.0
	// timeFactorConstant is the time constant with which the weight of a report falls.
	// The reports change many times a second; after half a second one says little.
	timeFactorConstant = 500 * time.Millisecond
	// percentReportingTime is the time after the last report in percent for which the
	// service counts as one whose servers report it.
	percentReportingTime = 10 * time.Second
	// maxSampleRatio bounds a sample of the service time or of the slowness of a server
	// that reports its percentage, relative to the average. The report shows a slow
	// server, so a request that takes far longer says nothing about the next one: 3 of
	// 100 requests take seven times their time. It also bounds the sample of a trial, which
	// may replace the average.
	maxSampleRatio = 3.0
	// reportedSlownessGain replaces slownessGain for such a server for the same reason: 0.1
	// and 0.3 let single slow requests divert the next ones, for longer latencies there.
	reportedSlownessGain = 0.03
	// unhedgedTimeWeight is the cost of the expected time, in addition to its normal
	// cost, for requests that cannot be hedged: a slow server is not made up for by a
	// second attempt.
	unhedgedTimeWeight = 1.0
)

// timeFactor is a service time relative to the usual one of the same server, as the
// server reported it. The zero value means that there is no report.
type timeFactor struct {
	factor float64 // within minTimeFactor and maxTimeFactor
	at     time.Duration
}

// answerFactor returns the usable percentage of a report, the zero value if there is none.
func answerFactor(now time.Duration, l *Load) timeFactor {
	if l == nil || l.Percent < MinPercent || l.Percent > MaxPercent {
		return timeFactor{}
	}
	return timeFactor{factor: min(max(float64(l.Percent)/100, minTimeFactor), maxTimeFactor), at: now}
}

// recordFactor stores a server's report, if it is usable.
func (p *Pool) recordFactor(now time.Duration, s *server, f timeFactor) {
	if f.factor != 0 {
		s.reportedFactor = f
		p.lastPercentAt, p.percentSeen = now, true
	}
}

// percentReported reports whether servers of the service report percentages.
func (p *Pool) percentReported(now time.Duration) bool {
	return p.percentSeen && now-p.lastPercentAt <= percentReportingTime
}

// weight returns the weight of the report by its age, from 1 to 0.
func (f timeFactor) weight(now time.Duration) float64 {
	if f.factor == 0 {
		return 0
	}
	return decay(max(now-f.at, 0), timeFactorConstant)
}

// expected returns the factor expected now: the reported one while it is new, and 1 if it
// is old or missing.
func (f timeFactor) expected(now time.Duration) float64 {
	if f.factor == 0 {
		return 1
	}
	return 1 + (f.factor-1)*f.weight(now)
}

// during returns the factor for a request that was sent at a time, from the report f
// that was known then and the one that came with the answer: their mean, where f counts
// less if it was old.
func (f timeFactor) during(sentAt time.Duration, answer timeFactor) float64 {
	if answer.factor == 0 {
		return f.expected(sentAt)
	}
	weight := f.weight(sentAt)
	return (answer.factor + weight*f.factor) / (1 + weight)
}

// reportsPercent reports whether the server has sent a usable percentage, before the
// request or since.
func (g *grant) reportsPercent() bool { return g.server.reportedFactor.factor != 0 }

// usualTime returns the time that a request would have taken at 100 percent. answer is
// the report that came with its answer.
func (g *grant) usualTime(elapsed time.Duration, answer timeFactor) time.Duration {
	if !g.reportsPercent() {
		return elapsed
	}
	return time.Duration(float64(elapsed) / g.factor.during(g.sentAt, answer))
}
