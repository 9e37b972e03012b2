package gateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Metrics counts requests and attempts in a registry.
type Metrics struct{ registry metrics.Registry }

// NewMetrics returns metrics in the registry.
func NewMetrics(r metrics.Registry) *Metrics { return &Metrics{registry: r} }

const (
	// sampleSize bounds the memory of a latency histogram.
	sampleSize = 256
	// none stands for a label that does not apply.
	none = "none"
)

// request counts the end of a request. f.route is nil if it matched none.
func (m *Metrics) request(f *flight, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	service, rank := none, none
	if f.route != nil {
		service, rank = f.service, strconv.Itoa(f.route.Rank)
		m.histogram("request_ms;route=" + f.route.Name).Update(took.Milliseconds())
	}
	m.count("requests;service=" + service + ";rank=" + rank + ";outcome=" + outcome)
}

// attempt counts the end of an attempt at a backend server in a region.
func (m *Metrics) attempt(service, region, result string, took time.Duration) {
	if m == nil {
		return
	}
	if region == "" {
		region = none
	}
	m.count("attempts;service=" + service + ";region=" + region + ";result=" + result)
	m.histogram("attempt_ms;service=" + service + ";region=" + region).Update(took.Milliseconds())
}

// retry counts a further attempt that was wanted, and whether the budget of the
// service allowed it.
func (m *Metrics) retry(service string, allowed bool) {
	if m == nil {
		return
	}
	outcome := "allowed"
	if !allowed {
		outcome = "budget_empty"
	}
	m.count("retries;service=" + service + ";outcome=" + outcome)
}

func (m *Metrics) count(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

func (m *Metrics) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}).(metrics.Histogram)
}

// UpdateGauges sets the gauges that tell how old and from whom the beliefs of the
// host are.
func (g *Gateway) UpdateGauges() {
	m := g.cfg.Metrics
	if m == nil {
		return
	}
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, m.registry).Update(value) }
	gauge("store_age_ms", g.cfg.Age().Milliseconds())
	if s := g.view.Load(); s != nil {
		gauge("store_revision", int64(s.Revision))
		gauge("hosts", int64(len(s.Hosts)))
		gauge("backends", int64(len(s.Backends)))
		if s.Table != nil {
			gauge("config_version", int64(s.Table.Version))
			gauge("config_age_ms", (g.desk.Now() - time.Duration(g.configuredAt.Load())).Milliseconds())
		}
	}
	for service, d := range g.desk.Deciders() {
		self := int64(0)
		if d.Self {
			self = 1
		}
		gauge("dispatcher_self;service="+service, self)
		gauge("dispatcher_age_ms;service="+service, time.Since(d.Since).Milliseconds())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, b := range g.budgets {
		metrics.GetOrRegisterGaugeFloat64("retry_budget_left;service="+service, m.registry).Update(b.Tokens())
	}
}
