package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// TestHedgeDelay guards against a learned delay that is not used, that hedges a request
// which must not run twice, or that changes the delay where servers report no percentage.
func TestHedgeDelay(t *testing.T) {
	const expected, never = 100 * time.Millisecond, time.Minute
	fixed := time.Duration(hedgeFactor*float64(expected)) + hedgeBaseDelay
	for _, c := range []struct {
		desc      string
		kind      routetable.Kind
		attempts  int
		rest      *restReader
		learned   time.Duration
		want      time.Duration // at least never: no hedge
		wantLater time.Duration // if the first try sends none
	}{
		{"no learned delay", routetable.Idempotent, 2, nil, 0, fixed, 150 * time.Millisecond},
		{"learned", routetable.Idempotent, 2, nil, 130 * time.Millisecond, 130 * time.Millisecond, 170 * time.Millisecond},
		{"longest learned delay", routetable.Idempotent, 2, nil, 302 * time.Millisecond, 302 * time.Millisecond, hedgeBaseDelay},
		{"must not run twice", routetable.NonIdempotent, 2, nil, 130 * time.Millisecond, never, 0},
		{"one attempt", routetable.Idempotent, 1, nil, 130 * time.Millisecond, never, 0},
		{"body is forwarded as it arrives", routetable.Idempotent, 2, &restReader{}, 130 * time.Millisecond, never, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			pr := &pendingRequest{route: &routetable.Route{Kind: c.kind, MaxAttempts: c.attempts}, request: &Request{Rest: c.rest}, deadline: time.Now().Add(never)}
			dec := decision{Decision: dispatch.Decision{Service: expected, HedgeDelay: c.learned}}
			delay := (&Gateway{}).hedgeDelay(pr, dec)
			if c.want == never {
				g.Expect(delay).To(BeNumerically(">", time.Until(pr.deadline)))
				g.Expect(mayHedge(pr)).To(BeFalse())
				return
			}
			g.Expect(delay).To(Equal(c.want))
			g.Expect(lateHedgeDelay(dec)).To(Equal(c.wantLater))
		})
	}
}

// TestLosingAttemptIsCancelled guards against a first attempt that keeps its server busy
// after the hedge was answered, and against one that counts as a failure of its server.
func TestLosingAttemptIsCancelled(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int32
	closed := make(chan error, 1)
	answer := func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		if requests.Add(1) > 1 {
			return answerOK(s, c, r, body)
		}
		_, err := c.Read(make([]byte, 1)) // until the connection ends
		closed <- err
		return false
	}
	f := startGateway(t, startBackend(t, answer), startBackend(t, answer))
	status, _, _ := f.sendRequest(t, "GET", "/get/a", "one", "")
	g.Expect(status).To(Equal(200))
	g.Expect(requests.Load()).To(Equal(int32(2)))
	g.Eventually(closed, "5s").Should(Receive(HaveOccurred()))
	g.Eventually(func() int { return f.grants() }, "5s").Should(BeZero())
	for id, s := range f.serverStates() {
		g.Expect(s.Failures).To(BeZero(), "%s: a timeout would count", id)
	}
}

// TestPercentageOfRefusal guards against a refusal whose report of the load is lost: a
// server that is slow at the moment refuses more often than others.
func TestPercentageOfRefusal(t *testing.T) {
	g := NewWithT(t)
	f := startGateway(t, startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		return sendAnswer(c, r, 503, "", "X-Not-Run: 1", "X-Load: 4,2,4,300")
	}))
	status, _, _ := f.sendRequest(t, "POST", "/post/a", "one", "x")
	g.Expect(status).To(Equal(503))
	g.Expect(f.serverStates()["b0"].TimeFactor).To(BeNumerically(">", 1))
}

// TestHedgeFieldsReachThePool guards against a request that the dispatcher takes for one
// that can be hedged although its route forbids it.
func TestHedgeFieldsReachThePool(t *testing.T) {
	g := NewWithT(t)
	f := startGateway(t, startBackend(t, answerOK))
	sel := f.g.selector
	r := sel.poolRequest(AcquireParams{NoHedge: true, NoTrial: true})
	g.Expect(r.NoHedge).To(BeTrue())
	g.Expect(r.NoTrial).To(BeTrue())
	r = sel.poolRequest(AcquireParams{})
	g.Expect(r.NoHedge || r.NoTrial).To(BeFalse())
	res, err := sel.HandleAcquire(context.Background(), AcquireParams{Service: "s", Class: "get", Host: "h", FailureDomain: "d", ObjectiveMillis: 1000, RemainingMillis: 2000})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Decision.HedgeDelay).To(BeZero(), "nothing is learned")
}

// TestKindsOfAttempts guards against a hedge that takes the only trial of its class and is
// then not sent, and against a second attempt that takes the place in the schedule of a
// caller.
func TestKindsOfAttempts(t *testing.T) {
	f := startGateway(t, startBackend(t, answerOK))
	for _, c := range []struct {
		desc            string
		kind            attemptKind
		noTrial, second bool
	}{
		{"first attempt", freshAttempt, false, false},
		{"retry", retryAttempt, false, true},
		{"hedge", hedgeAttempt, true, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			pr := &pendingRequest{
				service: "s", route: &routetable.Route{Kind: routetable.Idempotent, MaxAttempts: 2}, request: &Request{},
				objective: time.Now().Add(time.Second), deadline: time.Now().Add(time.Second),
			}
			p := f.g.acquireParams(pr, c.kind, nil)
			g.Expect(p.NoTrial).To(Equal(c.noTrial))
			g.Expect(f.g.selector.poolRequest(p).SecondAttempt).To(Equal(c.second))
		})
	}
}

// TestHedgeWithoutBudget guards against a server that is granted for a hedge which the
// retry budget then denies: the grant counts as load and as usage until it is released.
func TestHedgeWithoutBudget(t *testing.T) {
	g := NewWithT(t)
	f := startGateway(t, startBackend(t, answerOK))
	pr := &pendingRequest{
		service: "s", route: &routetable.Route{Name: "get", Kind: routetable.Idempotent, MaxAttempts: 2}, request: &Request{},
		objective: time.Now().Add(time.Second), deadline: time.Now().Add(time.Second),
	}
	dec, ok := f.g.hedge(context.Background(), pr, retry.NewEmptyBudget(0, 1), false)
	g.Expect(ok).To(BeFalse())
	g.Expect(dec.Server).To(BeEmpty(), "no server is granted")
}

// serverStates returns the state of the backend servers in the shared pool.
func (f *fixture) serverStates() map[string]dispatch.ServerState {
	sel := f.g.selector
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return sel.sharedPools["s"].pool.Dump(sel.now())
}

// grants returns the number of grants of the shared pool that have not ended.
func (f *fixture) grants() int {
	sel := f.g.selector
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return sel.sharedPools["s"].pool.Grants()
}
