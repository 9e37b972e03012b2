package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fake/backend"
	"github.com/galenabeam/galenabeam/internal/httpapi"
)

// TestForcedShutdownReportsOutcomes guards against a forced shutdown that breaks the
// connections of callers instead of reporting the outcomes of their requests.
func TestForcedShutdownReportsOutcomes(t *testing.T) {
	g := NewWithT(t)
	r := newTestRegion(t, 1, backend.Behavior{Slots: 4, Shed: true})
	d := r.hosts[0]
	type answer struct {
		header http.Header
		err    error
	}
	got := make(chan answer, 1)
	go func() {
		_, h, err := r.request(http.DefaultClient, d.Self().HTTPAddress, "lookup", "/x?ms=1900", nil)
		got <- answer{h, err}
	}()
	g.Eventually(d.edge.InFlight, 2*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 0))
	forced := make(chan struct{})
	d.opts.Force = forced
	close(forced)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(d.waitShutdown(canceled, context.Background())).To(Succeed())
	a := <-got
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.header.Get(httpapi.HeaderOutcome)).To(Equal("unknown"))
	g.Expect(a.header.Get(httpapi.HeaderReason)).To(Equal("canceled"))
}
