package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
)

// TestPacingIsLoggedAndCounted guards against servers that are paced without a trace, and
// against pacing in a deployment that did not ask for it.
func TestPacingIsLoggedAndCounted(t *testing.T) {
	for _, paced := range []bool{false, true} {
		g := NewWithT(t)
		log, hook := test.NewNullLogger()
		registry := metrics.NewRegistry()
		gw := New(Config{
			Self: fleet.Host{Name: "h0", Region: "r"}, FleetLimits: dispatch.DefaultLimits, Paced: paced, Log: log, Access: log,
			Age: func() time.Duration { return 0 }, Metrics: NewMetrics(registry),
			PersistentStore: &fakeNetwork{stored: map[string][]byte{}},
		})
		backends := []*fleet.Backend{{ID: "a", Service: "s", Region: "r", Slots: 2}}
		host := &fleet.Host{Name: "h0", Region: "r"}
		gw.SetSnapshot(fleet.New(1, nil, backends, []*fleet.Host{host}, nil, nil))
		gw.selector.Acquire(context.Background(), newAcquireParams("k"))
		backends = append(backends, &fleet.Backend{ID: "new", Service: "s", Region: "r", Slots: 2})
		gw.SetSnapshot(fleet.New(2, nil, backends, []*fleet.Host{host}, nil, nil))
		hook.Reset()
		gw.selector.logPaceEvents()
		gw.UpdateGauges()
		gauge := registry.Get("servers_paced;service=s")
		if !paced {
			g.Expect(gauge).To(BeNil())
			g.Expect(hook.AllEntries()).To(BeEmpty())
			continue
		}
		g.Expect(gauge.(metrics.Gauge).Value()).To(Equal(int64(1)))
		g.Expect(hook.AllEntries()).To(HaveLen(1))
		g.Expect(hook.LastEntry().Message).To(Equal("pacing of a backend server started"))
		g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("server", "new"))
	}
}
