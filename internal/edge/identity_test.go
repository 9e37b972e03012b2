package edge

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/invariant"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// newEdgePair returns two entry hosts that share the invariant checks and can call
// each other.
func newEdgePair(t *testing.T) (here, there *testEdge) {
	here, there = newTestEdge(t, 7), newTestEdge(t, 8)
	there.backends.atMostOnce, there.backends.notRun = here.backends.atMostOnce, here.backends.notRun
	here.peers["rpc-8"], there.peers["rpc-7"] = there.Edge, here.Edge
	return here, there
}

// expectInvariants fails the test if an invariant check has failed.
func expectInvariants(g Gomega, n *testEdge) {
	g.Expect(invariant.FirstError(n.backends.atMostOnce, n.backends.notRun)).NotTo(HaveOccurred())
}

// blockBackend makes the backend servers delay answers until open is closed.
// started receives a value for each request that arrives.
func (n *testEdge) blockBackend() (started chan struct{}, open chan struct{}) {
	started, open = make(chan struct{}, 8), make(chan struct{})
	n.backends.do = func(_ context.Context, r backend.Request, _ int) backend.Answer {
		started <- struct{}{}
		<-open
		return backend.Answer{Outcome: outcome.Success(), Response: newResponse("answer to "+r.RequestID, 200)}
	}
	return started, open
}

// TestRepeats guards against a non-idempotent request that runs twice because it
// is repeated, at the same entry host or at another one, and against a caller that
// lost an answer and cannot get it by repeating the request.
func TestRepeats(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		t.Run(fmt.Sprintf("elsewhere=%t", elsewhere), func(t *testing.T) {
			g := NewWithT(t)
			here, there := newEdgePair(t)
			repeatHost := here
			if elsewhere {
				repeatHost = there
			}
			started, open := here.blockBackend()
			ctx, cancel := context.WithCancel(context.Background())
			firstResult := make(chan result, 1)
			go func() {
				firstResult <- here.callContext(ctx, "POST", "/v1/run/tables/x", strings.NewReader("declaration"),
					httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id(7, 1))
			}()
			<-started
			during := repeatHost.declare(id(7, 1))
			g.Expect(during.Outcome).To(Equal(outcome.Uncertain(outcome.ReasonRepeat)))
			g.Expect(during.status).To(Equal(409))
			cancel()
			g.Expect((<-firstResult).err).To(HaveOccurred())
			close(open)
			g.Eventually(here.InFlight).Should(BeZero())
			for range 3 {
				after := repeatHost.declare(id(7, 1))
				g.Expect(after.Outcome).To(Equal(outcome.Success()))
				g.Expect(after.body).To(Equal("answer to " + id(7, 1)))
			}
			g.Expect(here.backends.count() + there.backends.count()).To(Equal(1))
			g.Expect(here.slots.statuses()).To(Equal([]peer.ReleaseStatus{peer.ReleaseOK}))
			expectInvariants(g, here)
		})
	}
}

// TestCheckDetectsLostLedger guards against an invariant check that does not
// detect a request that runs twice because the entry host lost its ledger.
func TestCheckDetectsLostLedger(t *testing.T) {
	g := NewWithT(t)
	first, second := newTestEdge(t, 7), newTestEdge(t, 7)
	second.backends.atMostOnce = first.backends.atMostOnce
	g.Expect(first.declare(id(7, 1)).Kind).To(Equal(outcome.Done))
	g.Expect(second.declare(id(7, 1)).Kind).To(Equal(outcome.Done))
	g.Expect(first.backends.atMostOnce.Err()).To(HaveOccurred())
}

// TestForeignIdentity guards against a request that runs at a host that its
// identity is not bound to, and against "not run" without confirmation by the
// host that the identity is bound to.
func TestForeignIdentity(t *testing.T) {
	cases := []struct {
		desc        string
		id          string
		unreachable bool
		want        outcome.Outcome
	}{
		{"incarnation has ended", id(99, 1), false, outcome.Uncertain(outcome.ReasonHostLost)},
		{"host does not answer", id(7, 1), true, outcome.Uncertain(outcome.ReasonHostLost)},
		{"identity never arrived", id(7, 1), false, outcome.Refuse(outcome.ReasonRepeat, 0)},
		{"identity of an old window", "7.4000000000." + strings.Repeat("0", 32), false, outcome.Uncertain(outcome.ReasonRepeat)},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			here, there := newEdgePair(t)
			if c.unreachable {
				delete(there.peers, "rpc-7")
			}
			g.Expect(there.declare(c.id).Outcome).To(Equal(c.want))
			here.declare(c.id)
			if c.want.Kind == outcome.NotRun {
				g.Expect(here.backends.count()).To(BeZero())
			}
			g.Expect(there.backends.count()).To(BeZero())
			expectInvariants(g, here)
		})
	}
}

// TestRefusedBeforeRecorded guards against "not run" for a request of which an
// earlier copy is running or has run, and against a refused request whose delayed
// copy runs.
func TestRefusedBeforeRecorded(t *testing.T) {
	refusals := []struct {
		desc string
		send func(n *testEdge, id string) result
	}{
		{"malformed deadline", func(n *testEdge, id string) result {
			return n.call("POST", "/v1/run/tables/x", strings.NewReader("x"), httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id, httpapi.HeaderDeadline, "x")
		}},
		{"unknown rank", func(n *testEdge, id string) result {
			return n.call("POST", "/v1/run/tables/x", strings.NewReader("x"), httpapi.HeaderRequestID, id)
		}},
		{"unknown service", func(n *testEdge, id string) result {
			return n.call("POST", "/v1/run/none/x", strings.NewReader("x"), httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id)
		}},
		{"too large", func(n *testEdge, id string) result {
			return n.call("POST", "/v1/run/tables/x", strings.NewReader(strings.Repeat("x", maxBody+1)), httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id)
		}},
	}
	for _, c := range refusals {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestEdge(t, 7)
			g.Expect(c.send(n, id(7, 1)).Kind).To(Equal(outcome.NotRun))
			g.Expect(n.declare(id(7, 1)).Kind).To(Equal(outcome.NotRun))
			g.Expect(n.backends.count()).To(BeZero())

			started, open := n.blockBackend()
			running := make(chan result, 1)
			go func() { running <- n.declare(id(7, 2)) }()
			<-started
			g.Expect(c.send(n, id(7, 2)).Kind).To(Equal(outcome.Unknown))
			close(open)
			g.Expect((<-running).Kind).To(Equal(outcome.Done))
			g.Expect(c.send(n, id(7, 2)).Kind).NotTo(Equal(outcome.NotRun))
			expectInvariants(g, n)
		})
	}
}

// TestLedgerFull guards against a request that runs without a record because the
// ledger is full, and against one that is refused for that and runs later under the
// same identity.
func TestLedgerFull(t *testing.T) {
	g := NewWithT(t)
	n := newTestEdge(t, 7, func(c *Config) { c.LedgerCapacity = 1 })
	g.Expect(n.declare(id(7, 1)).Kind).To(Equal(outcome.Done))
	full := n.declare(id(7, 2))
	g.Expect(full.Kind).To(Equal(outcome.NotRun))
	g.Expect(full.Reason).To(Equal(outcome.ReasonLedgerFull))
	g.Expect(full.RetryAfter).To(BeNumerically(">", 0))
	n.ledgerStart = n.ledgerStart.Add(-time.Minute)
	g.Expect(n.declare(id(7, 2)).Kind).To(Equal(outcome.NotRun))
	g.Expect(n.call("GET", "/v1/run/tables/x", nil, httpapi.HeaderRank, "lookup").Kind).To(Equal(outcome.Done))
	g.Expect(n.backends.count()).To(Equal(2))
	expectInvariants(g, n)
}

// TestIdentityFromClockAhead guards against "unknown" for new requests at the end
// of each window: a host whose clock is ahead answers the lookup and names a
// window that has not begun at this host.
func TestIdentityFromClockAhead(t *testing.T) {
	g := NewWithT(t)
	n := newTestEdge(t, 7)
	n.ledgerStart = n.ledgerStart.Add(-time.Minute + 2*time.Second) // a clock 3 s ahead is in window 1
	g.Expect(n.declare("7.1." + strings.Repeat("0", 32)).Outcome).To(Equal(outcome.Success()))
	g.Expect(n.declare(id(7, 1)).Outcome).To(Equal(outcome.Success()))
	g.Expect(n.declare("7.2." + strings.Repeat("0", 32)).Outcome).To(Equal(outcome.Uncertain(outcome.ReasonExpiredID)))
}
