package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// TestMetrics guards against a failure that on-call engineers cannot find in the
// metrics: who refused, how attempts ended, what the retry budget denied, and how
// old and from whom the beliefs of the host are.
func TestMetrics(t *testing.T) {
	g := NewWithT(t)
	shed := startServer(t, func(_ *server, c net.Conn, r *http.Request, _ string) bool {
		return send(c, r, 503, "", "X-Not-Run: 1")
	})
	f := start(t, shed, shed)
	registry := metrics.NewRegistry()
	f.g.cfg.Metrics = NewMetrics(registry)
	status, _, _ := f.do(t, "GET", "/get/a", "one", "")
	g.Expect(status).To(Equal(503))
	for f.g.takeBudget("s", f.g.budgets["s"]) {
	}
	f.do(t, "GET", "/get/a", "two", "")
	f.do(t, "GET", "/nowhere/a", "three", "")
	f.g.UpdateGauges()

	counter := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
	gauge := func(name string) int64 { return metrics.GetOrRegisterGauge(name, registry).Value() }
	g.Eventually(func() int64 { return counter("requests;service=s;rank=0;outcome=shed") }).Should(Equal(int64(2)))
	g.Expect(counter("requests;service=none;rank=none;outcome=no_route")).To(Equal(int64(1)))
	g.Expect(counter("attempts;service=s;region=r;result=shed")).To(Equal(int64(3)))
	g.Expect(counter("retries;service=s;outcome=budget_empty")).To(BeNumerically(">=", 1))
	g.Expect(gauge("config_version")).To(Equal(int64(1)))
	g.Expect(gauge("config_age_ms")).To(BeNumerically("<", time.Minute.Milliseconds()))
	g.Expect(gauge("backends")).To(Equal(int64(2)))
	g.Expect(gauge("dispatcher_self;service=s")).To(Equal(int64(1)))
	g.Expect(metrics.GetOrRegisterGaugeFloat64("retry_budget_left;service=s", registry).Value()).To(BeNumerically("<", 1.5))
}

// TestDispatcherChangeIsLogged guards against refusals that cannot be traced to
// the host that decided them: one line for each change, none for each request.
func TestDispatcherChangeIsLogged(t *testing.T) {
	g := NewWithT(t)
	m, s, _ := newMesh(4)
	order := s.Dispatchers("r", "s")
	log, hook := logtest.NewNullLogger()
	asker := m.desks[order[2].Name]
	asker.log = log
	changes := func() (list []any) {
		for _, e := range hook.AllEntries() {
			if e.Message == "dispatcher changed" {
				list = append(list, e.Data["dispatcher"])
			}
		}
		return list
	}
	for _, key := range []string{"a", "b"} {
		asker.Acquire(t.Context(), acquireParams(key))
	}
	g.Expect(changes()).To(Equal([]any{order[0].Name}))
	m.down[order[0].Name] = true
	asker.Acquire(t.Context(), acquireParams("c"))
	g.Expect(changes()).To(Equal([]any{order[0].Name, order[1].Name}))
	g.Expect(asker.Deciders()["s"].Self).To(BeFalse())
}
