package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Metrics records requests, attempts and retries in a registry. A nil Metrics
// records nothing.
type Metrics struct{ registry metrics.Registry }

// NewMetrics returns a Metrics that records in r.
func NewMetrics(r metrics.Registry) *Metrics { return &Metrics{registry: r} }

const (
	// histogramSamples is the number of samples that a latency histogram keeps,
	// which bounds its memory.
	histogramSamples = 256
	// noLabel is the value of a label that does not apply.
	noLabel = "none"
)

// request counts a finished request. pr.service is empty if no route matched, or if the
// request was answered before its service was chosen.
func (m *Metrics) request(pr *pendingRequest, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	service, rank := noLabel, noLabel
	if pr.service != "" {
		service, rank = pr.service, strconv.Itoa(pr.rank)
		m.histogram("request_ms;route=" + pr.route.Name).Update(took.Milliseconds())
	}
	m.increment("requests;service=" + service + ";rank=" + rank + ";outcome=" + outcome)
}

// attempt counts a finished attempt at a backend server of the region; an empty
// region stands for a server that is no longer known.
func (m *Metrics) attempt(service, region, result string, took time.Duration) {
	if m == nil {
		return
	}
	if region == "" {
		region = noLabel
	}
	m.increment("attempts;service=" + service + ";region=" + region + ";result=" + result)
	m.histogram("attempt_ms;service=" + service + ";region=" + region).Update(took.Milliseconds())
}

// exceeded counts an answer of a backend server that exceeded a bound.
func (m *Metrics) exceeded(bound string) {
	if m == nil {
		return
	}
	m.increment("answer_bounds_exceeded;bound=" + strings.ReplaceAll(bound, " ", "_"))
}

// retry counts a requested extra attempt by whether the retry budget allowed it.
func (m *Metrics) retry(service string, allowed bool) {
	if m == nil {
		return
	}
	outcome := "allowed"
	if !allowed {
		outcome = "budget_empty"
	}
	m.increment("retries;service=" + service + ";outcome=" + outcome)
}

func (m *Metrics) increment(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

func (m *Metrics) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSamples))
	}).(metrics.Histogram)
}

// UpdateGauges updates the gauges: age and size of the current snapshot, the active
// dispatcher of each service, and the retry budgets.
func (g *Gateway) UpdateGauges() {
	m := g.cfg.Metrics
	if m == nil {
		return
	}
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, m.registry).Update(value) }
	gauge("store_age_ms", g.cfg.Age().Milliseconds())
	if s := g.snapshot.Load(); s != nil {
		gauge("store_revision", int64(s.Revision))
		gauge("hosts", int64(len(s.Hosts)))
		gauge("backends", int64(len(s.Backends)))
		if s.Table != nil {
			gauge("config_version", int64(s.Table.Version))
			gauge("workspaces", int64(s.Table.Workspaces.Len()))
			gauge("config_age_ms", (g.selector.Now() - time.Duration(g.configuredAt.Load())).Milliseconds())
		}
	}
	if g.quotas != nil {
		g.quotas.updateGauges(m.registry)
	}
	for service, d := range g.selector.ActiveDispatchers() {
		self := int64(0)
		if d.Self {
			self = 1
		}
		gauge("dispatcher_self;service="+service, self)
		gauge("dispatcher_age_ms;service="+service, time.Since(d.Since).Milliseconds())
	}
	for service, n := range g.selector.PacedServers() {
		gauge("servers_paced;service="+service, int64(n))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, b := range g.budgets {
		metrics.GetOrRegisterGaugeFloat64("retry_budget_left;service="+service, m.registry).Update(b.Tokens())
	}
}
