package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Metrics counts requests and attempts in a registry.
type Metrics struct{ registry metrics.Registry }

// NewMetrics returns metrics in the registry.
func NewMetrics(r metrics.Registry) *Metrics { return &Metrics{registry: r} }

// sampleSize bounds the memory of a latency histogram.
const sampleSize = 256

func (m *Metrics) request(route, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter("requests;outcome="+outcome, m.registry).Inc(1)
	if route != "" {
		m.histogram("request_ms;route=" + route).Update(took.Milliseconds())
	}
}

func (m *Metrics) attempt(service, result string, took time.Duration) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter("attempts;service="+service+",result="+result, m.registry).Inc(1)
	m.histogram("attempt_ms;service=" + service).Update(took.Milliseconds())
}

func (m *Metrics) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}).(metrics.Histogram)
}
