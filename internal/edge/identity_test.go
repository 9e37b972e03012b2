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

// pair is two entry hosts that share the checkers and reach each other.
func pair(t *testing.T) (here, there *entry) {
	here, there = newEntry(t, 7), newEntry(t, 8)
	there.backends.once, there.backends.notRun = here.backends.once, here.backends.notRun
	here.peers["rpc-8"], there.peers["rpc-7"] = there.Edge, here.Edge
	return here, there
}

func checked(g Gomega, n *entry) {
	g.Expect(invariant.FirstError(n.backends.once, n.backends.notRun)).NotTo(HaveOccurred())
}

// gate makes a backend server hold its answer until open is closed.
func (n *entry) gate() (started chan struct{}, open chan struct{}) {
	started, open = make(chan struct{}, 8), make(chan struct{})
	n.backends.do = func(_ context.Context, r backend.Request, _ int) backend.Answer {
		started <- struct{}{}
		<-open
		return backend.Answer{Outcome: outcome.Success(), Response: answerWith("answer to "+r.RequestID, 200)}
	}
	return started, open
}

// TestRepeats guards against a non-idempotent request that runs twice because
// its identity comes again, at the same entry host or at another one, and
// against a caller that never learns of an answer that it lost.
func TestRepeats(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		t.Run(fmt.Sprintf("elsewhere=%t", elsewhere), func(t *testing.T) {
			g := NewWithT(t)
			here, there := pair(t)
			again := here
			if elsewhere {
				again = there
			}
			started, open := here.gate()
			ctx, cancel := context.WithCancel(context.Background())
			lost := make(chan result, 1)
			go func() {
				lost <- here.callContext(ctx, "POST", "/v1/run/tables/x", strings.NewReader("declaration"),
					httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id(7, 1))
			}()
			<-started
			during := again.declare(id(7, 1))
			g.Expect(during.Outcome).To(Equal(outcome.Uncertain(outcome.ReasonRepeat)))
			g.Expect(during.status).To(Equal(409))
			cancel()
			g.Expect((<-lost).err).To(HaveOccurred())
			close(open)
			g.Eventually(here.Active).Should(BeZero())
			for range 3 {
				after := again.declare(id(7, 1))
				g.Expect(after.Outcome).To(Equal(outcome.Success()))
				g.Expect(after.body).To(Equal("answer to " + id(7, 1)))
			}
			g.Expect(here.backends.count() + there.backends.count()).To(Equal(1))
			g.Expect(here.slots.statuses()).To(Equal([]peer.ReleaseStatus{peer.ReleaseOK}))
			checked(g, here)
		})
	}
}

// TestLostLedgerTripsCheck shows that the checker sees a request that runs
// again because the entry host forgot it.
func TestLostLedgerTripsCheck(t *testing.T) {
	g := NewWithT(t)
	first, second := newEntry(t, 7), newEntry(t, 7)
	second.backends.once = first.backends.once
	g.Expect(first.declare(id(7, 1)).Kind).To(Equal(outcome.Done))
	g.Expect(second.declare(id(7, 1)).Kind).To(Equal(outcome.Done))
	g.Expect(first.backends.once.Err()).To(HaveOccurred())
}

// TestForeignIdentity guards against a request that runs at a host that its
// identity is not bound to, and against "not run" by hearsay.
func TestForeignIdentity(t *testing.T) {
	cases := []struct {
		desc string
		id   string
		stop bool
		want outcome.Outcome
	}{
		{"incarnation that has ended", id(99, 1), false, outcome.Uncertain(outcome.ReasonHostLost)},
		{"host that does not answer", id(7, 1), true, outcome.Uncertain(outcome.ReasonHostLost)},
		{"identity that never arrived", id(7, 1), false, outcome.Refuse(outcome.ReasonRepeat, 0)},
		{"identity of an old window", "7.4000000000." + strings.Repeat("0", 32), false, outcome.Uncertain(outcome.ReasonRepeat)},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			here, there := pair(t)
			if c.stop {
				delete(there.peers, "rpc-7")
			}
			g.Expect(there.declare(c.id).Outcome).To(Equal(c.want))
			here.declare(c.id)
			if c.want.Kind == outcome.NotRun {
				g.Expect(here.backends.count()).To(BeZero())
			}
			g.Expect(there.backends.count()).To(BeZero())
			checked(g, here)
		})
	}
}

// TestRefusedBeforeRecorded guards against "not run" for a request of which an
// earlier copy runs, and against a refused request whose delayed copy runs.
func TestRefusedBeforeRecorded(t *testing.T) {
	refusals := []struct {
		desc string
		send func(n *entry, id string) result
	}{
		{"malformed deadline", func(n *entry, id string) result {
			return n.call("POST", "/v1/run/tables/x", strings.NewReader("x"), httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id, httpapi.HeaderDeadline, "x")
		}},
		{"unknown rank", func(n *entry, id string) result {
			return n.call("POST", "/v1/run/tables/x", strings.NewReader("x"), httpapi.HeaderRequestID, id)
		}},
		{"unknown service", func(n *entry, id string) result {
			return n.call("POST", "/v1/run/none/x", strings.NewReader("x"), httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id)
		}},
		{"too large", func(n *entry, id string) result {
			return n.call("POST", "/v1/run/tables/x", strings.NewReader(strings.Repeat("x", maxBody+1)), httpapi.HeaderRank, "declaration", httpapi.HeaderRequestID, id)
		}},
	}
	for _, c := range refusals {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			n := newEntry(t, 7)
			g.Expect(c.send(n, id(7, 1)).Kind).To(Equal(outcome.NotRun))
			g.Expect(n.declare(id(7, 1)).Kind).To(Equal(outcome.NotRun))
			g.Expect(n.backends.count()).To(BeZero())

			started, open := n.gate()
			running := make(chan result, 1)
			go func() { running <- n.declare(id(7, 2)) }()
			<-started
			g.Expect(c.send(n, id(7, 2)).Kind).To(Equal(outcome.Unknown))
			close(open)
			g.Expect((<-running).Kind).To(Equal(outcome.Done))
			g.Expect(c.send(n, id(7, 2)).Kind).NotTo(Equal(outcome.NotRun))
			checked(g, n)
		})
	}
}

// TestLedgerFull guards against a request that runs without a record, and
// against one refused for lack of room that runs when there is room.
func TestLedgerFull(t *testing.T) {
	g := NewWithT(t)
	n := newEntry(t, 7, func(c *Config) { c.LedgerCapacity = 1 })
	g.Expect(n.declare(id(7, 1)).Kind).To(Equal(outcome.Done))
	full := n.declare(id(7, 2))
	g.Expect(full.Kind).To(Equal(outcome.NotRun))
	g.Expect(full.Reason).To(Equal(outcome.ReasonLedgerFull))
	g.Expect(full.RetryAfter).To(BeNumerically(">", 0))
	n.start = n.start.Add(-time.Minute)
	g.Expect(n.declare(id(7, 2)).Kind).To(Equal(outcome.NotRun))
	g.Expect(n.call("GET", "/v1/run/tables/x", nil, httpapi.HeaderRank, "lookup").Kind).To(Equal(outcome.Done))
	g.Expect(n.backends.count()).To(Equal(2))
	checked(g, n)
}

// TestWindowAhead guards against "unknown" for new requests at the end of each
// window, when a host whose clock is ahead answered the look-up.
func TestWindowAhead(t *testing.T) {
	g := NewWithT(t)
	n := newEntry(t, 7)
	n.start = n.start.Add(-time.Minute + 2*time.Second) // a clock 3 s ahead is in window 1
	g.Expect(n.declare("7.1." + strings.Repeat("0", 32)).Outcome).To(Equal(outcome.Success()))
	g.Expect(n.declare(id(7, 1)).Outcome).To(Equal(outcome.Success()))
	g.Expect(n.declare("7.2." + strings.Repeat("0", 32)).Outcome).To(Equal(outcome.Uncertain(outcome.ReasonExpiredID)))
}
