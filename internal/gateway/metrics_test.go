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

// TestMetricsShowFailures guards against failures that do not show in the metrics:
// refusals, results of attempts, denials of the retry budget, the version and age of
// the configuration, the known servers, and which host decides.
func TestMetricsShowFailures(t *testing.T) {
	g := NewWithT(t)
	shed := startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		return sendAnswer(c, r, 503, "", "X-Not-Run: 1")
	})
	f := startGateway(t, shed, shed)
	registry := metrics.NewRegistry()
	f.g.cfg.Metrics = NewMetrics(registry)
	status, _, _ := f.sendRequest(t, "GET", "/get/a", "one", "")
	g.Expect(status).To(Equal(503))
	for f.g.takeBudget("s", f.g.budgets["s"]) {
	}
	f.sendRequest(t, "GET", "/get/a", "two", "")
	f.sendRequest(t, "GET", "/nowhere/a", "three", "")
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

// TestDispatcherChangeIsLogged guards against refusals that cannot be traced to the
// host that decided, and against a log entry for each request instead of each change.
func TestDispatcherChangeIsLogged(t *testing.T) {
	g := NewWithT(t)
	network, s, _ := newFakeNetwork(4)
	order := s.Dispatchers("r", "s")
	log, hook := logtest.NewNullLogger()
	asker := network.selectors[order[2].Name]
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
		asker.Acquire(t.Context(), newAcquireParams(key))
	}
	g.Expect(changes()).To(Equal([]any{order[0].Name}))
	network.unreachable[order[0].Name] = true
	asker.Acquire(t.Context(), newAcquireParams("c"))
	g.Expect(changes()).To(Equal([]any{order[0].Name, order[1].Name}))
	g.Expect(asker.ActiveDispatchers()["s"].Self).To(BeFalse())
}
