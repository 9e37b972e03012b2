package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/quota"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

// limitedWorkspace holds secretKey and has a quota.
func limitedWorkspace(rate, burst float64) workspace.Definition {
	return workspace.Definition{Workspace: workspace.Workspace{Name: "acme", RatePerSecond: rate, Burst: burst}, Keys: []string{secretKey}}
}

// startLimited starts a gateway with quotas. If issuing is set, it is the issuer of its
// region, the only one, and has minted up to its cap.
func startLimited(t *testing.T, issuing bool, w workspace.Definition, servers ...*testBackend) *fixture {
	t.Helper()
	var later time.Duration
	f := startGatewayWith(t, func(f *fixture) {
		log, _ := logtest.NewNullLogger() // a timer may log after the end of the test
		start := time.Now()
		f.g.quotas = newQuotas(QuotaConfig{Bounds: testQuotaBounds, Regions: []string{"r"}}, f.g.cfg.Self, f.g.cfg.PeerClient, nil, log, func() time.Duration { return time.Since(start) + later })
	}, servers...)
	f.setWorkspaces(t, nil, w)
	if !issuing {
		return f
	}
	q, s := f.g.quotas, f.g.Snapshot()
	q.ObserveStore(0, s)
	if call, _ := q.NextCall(); call.Action != quota.Write {
		t.Fatal("no write")
	}
	q.mu.Lock()
	later = 11 * time.Second // below the lease
	q.term.Done(q.now(), quota.Succeeded)
	q.mu.Unlock()
	f.g.SetSnapshot(s.Apply(s.Revision+1, fleet.Changes{Table: s.Table, Issuers: map[string]*fleet.Issuer{"r": {Host: "h", PeerAddress: "p"}}}))
	return f
}

// TestOverQuotaAnswer guards against requests above the quota that reach a server, and
// against answers that callers cannot tell from other refusals.
func TestOverQuotaAnswer(t *testing.T) {
	g := NewWithT(t)
	s := startBackend(t, answerOK)
	f := startLimited(t, true, limitedWorkspace(0.01, 0), s)
	f.g.quotas.mu.Lock()
	issuer := f.g.quotas.currentIssuer(f.g.quotas.now())
	f.g.quotas.mu.Unlock()
	g.Expect(issuer).NotTo(BeNil())
	for range 30 { // the new issuer has no tokens, and would have lent them by now
		_, _ = f.g.quotas.HandleLend(context.Background(), quota.LendRequest{Wants: []quota.Want{{Workspace: "acme", Tokens: 1, Urgent: 1}}})
	}
	status, body, header := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
	g.Expect(status).To(Equal(http.StatusTooManyRequests))
	g.Expect(body).To(ContainSubstring("quota"))
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seconds).To(BeNumerically(">", 0))
	g.Expect(header).NotTo(HaveKey("Connection"))
	g.Expect(s.runs.Load()).To(BeZero())
}

// TestOverQuotaRetryAfter guards against a Retry-After that is rounded down: a caller that
// follows it returns before its token is minted.
func TestOverQuotaRetryAfter(t *testing.T) {
	g := NewWithT(t)
	for d, want := range map[time.Duration]string{
		250400 * time.Microsecond: "0.251", 600 * time.Microsecond: "0.001", 1499 * time.Microsecond: "0.002", 250 * time.Millisecond: "0.250",
	} {
		g.Expect(overQuota(d).Header.Get("Retry-After")).To(Equal(want), d.String())
	}
}

// TestNoIssuerAnswer guards against a caller that is blamed when no issuer is known.
func TestNoIssuerAnswer(t *testing.T) {
	g := NewWithT(t)
	s := startBackend(t, answerOK)
	f := startLimited(t, false, limitedWorkspace(100, 100), s)
	status, _, header := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(header.Get("Retry-After")).To(Equal("0.250"))
	g.Expect(s.runs.Load()).To(BeZero())
	f.setWorkspaces(t, nil, limitedWorkspace(0, 100))
	status, _, _ = f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
	g.Expect(status).To(Equal(http.StatusOK), "a workspace without a rate needs no token")
}

// giveTokens puts tokens into the host's cache as a loan of an issuer.
func (f *fixture) giveTokens(n int) {
	q := f.g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.client.SetIssuers([]string{"elsewhere"})
	q.client.Request(q.now(), 1<<60, "acme", quota.Limit{}, q.now()+time.Second)
	for _, m := range q.client.Messages(q.now()) {
		q.client.Answered(q.now(), m.ID, quota.LendReply{Term: 1, Loans: []quota.Loan{{Workspace: "acme", ID: m.ID, Tokens: n + 1, ValidMicros: time.Minute.Microseconds()}}})
		n = -1
	}
	q.client.SetIssuers(nil)
	q.client.Resolved() // the request takes one token
}

func (f *fixture) tokensLeft() int {
	q := f.g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.client.Left(q.now(), "acme")
}

// TestTokensOfAttempts guards against attempts that reach a server without a token, and
// against tokens that are lost with attempts that do not.
func TestTokensOfAttempts(t *testing.T) {
	failing := func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		return sendAnswer(c, r, 500, "failed")
	}
	shedding := func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		return sendAnswer(c, r, 503, "busy", "X-Not-Run: true")
	}
	slow := func(s *testBackend, c net.Conn, r *http.Request, body string) bool {
		if s.runs.Load() == 1 {
			time.Sleep(1500 * time.Millisecond)
		}
		return answerOK(s, c, r, body)
	}
	for _, c := range []struct {
		desc   string
		answer func(*testBackend, net.Conn, *http.Request, string) bool
		tokens int
		status int
		runs   int
		left   int
	}{
		{"one attempt", answerOK, 3, 200, 1, 2},
		{"a retry after an error takes a token", failing, 3, 500, 2, 1},
		{"no token for a retry", failing, 1, 500, 1, 0},
		{"a refused attempt passes its token on", shedding, 3, 503, 2, 3},
		{"a hedged request takes a token", slow, 3, 200, 2, 1},
		{"no token for a hedged request", slow, 1, 200, 1, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := startBackend(t, c.answer)
			f := startLimited(t, false, limitedWorkspace(100, 100), s, s)
			f.giveTokens(c.tokens)
			status, _, _ := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
			g.Expect(status).To(Equal(c.status))
			g.Expect(int(s.runs.Load())).To(Equal(c.runs))
			g.Expect(f.tokensLeft()).To(Equal(c.left))
		})
	}
}

// TestTokenReturnsWithRefusal guards against a token that is lost when the dispatcher
// refuses a request.
func TestTokenReturnsWithRefusal(t *testing.T) {
	g := NewWithT(t)
	f := startLimited(t, false, limitedWorkspace(100, 100))
	f.giveTokens(2)
	status, _, _ := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(f.tokensLeft()).To(Equal(2))
}

// TestExplainQuota guards against an explanation that leaves out a quota, or names one of a
// workspace that has none.
func TestExplainQuota(t *testing.T) {
	g := NewWithT(t)
	q := &Quotas{
		self: fleet.Host{Region: "r"}, now: func() time.Duration { return 0 }, limits: map[string]quota.Limit{"limited": {RatePerSecond: 1}},
		issuers: map[string]*fleet.Issuer{"r": {Host: "h9"}}, over: map[string]*overState{},
		client: quota.NewClient("r", quota.NewSafeShares(0, quota.Bounds{Window: 5 * time.Second}, 1)),
	}
	g.Expect(q.state("unlimited")).To(BeNil())
	g.Expect(q.state("limited")).To(Equal(&QuotaState{Issuer: "h9"}))
	q.over["limited"] = &overState{}
	q.issuers = nil
	g.Expect(q.state("limited")).To(Equal(&QuotaState{OverQuota: true}))
}

// TestDeadlineBeforeToken guards against a 504, after which a request may have run, for one
// whose deadline has passed before it got its first token.
func TestDeadlineBeforeToken(t *testing.T) {
	for _, c := range []struct {
		desc    string
		outcome string
		abort   bool
		ctx     func() (context.Context, context.CancelFunc)
	}{
		{"deadline", "no_issuer", false, func() (context.Context, context.CancelFunc) {
			return context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
		}},
		{"the caller has left", "caller_left", true, func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			return ctx, cancel
		}},
		{"an earlier answer has ended the connection", "connection_ended", true, func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancelCause(context.Background())
			cancel(errConnEnded)
			return ctx, func() { cancel(nil) }
		}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			w := limitedWorkspace(100, 100)
			f := startLimited(t, false, w)
			ctx, cancel := c.ctx()
			defer cancel()
			_, answer, outcome := f.g.begin(ctx, &pendingRequest{request: &Request{}, workspace: &w.Workspace, objective: time.Now().Add(time.Second)})
			g.Expect(outcome).To(Equal(c.outcome))
			g.Expect(answer.Abort).To(Equal(c.abort))
			if !c.abort {
				g.Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(answer.Header.Get("Retry-After")).To(Equal("0.250"))
			}
		})
	}
}

// TestRetryWithoutTokenIsNotRefusal guards against a request that counts as refused because
// of its quota although its caller gets the answer of its first attempt.
func TestRetryWithoutTokenIsNotRefusal(t *testing.T) {
	g := NewWithT(t)
	s := startBackend(t, func(_ *testBackend, c net.Conn, r *http.Request, _ string) bool {
		return sendAnswer(c, r, 500, "failed")
	})
	f := startLimited(t, false, limitedWorkspace(100, 100), s)
	q := f.g.quotas
	q.mu.Lock()
	q.now = sync.OnceValue(q.now) // the verdict of the issuer does not expire
	q.client.SetIssuers([]string{"r"})
	q.client.Request(q.now(), 1<<40, "acme", quota.Limit{}, q.now()+time.Second)
	for _, m := range q.client.Messages(q.now()) {
		q.client.Answered(q.now(), m.ID, quota.LendReply{Term: 1, Loans: []quota.Loan{{
			Workspace: "acme", ID: 1, Tokens: 2, ValidMicros: time.Minute.Microseconds(), Empty: true, RetryMillis: 100, StepMicros: 1000,
		}}})
	}
	q.client.Resolved() // the request takes one token
	q.mu.Unlock()
	status, _, _ := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
	g.Expect(status).To(Equal(500))
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict := q.client.Request(q.now(), 1<<41, "acme", quota.Limit{}, q.now()).Verdict
	g.Expect(verdict).To(Equal(quota.UsedUp))
	g.Expect(q.over).To(BeEmpty())
}

// TestTokenExpiresDuringConnect guards against a request that reaches a server with a token
// that its issuer no longer counts, because the connect took long.
func TestTokenExpiresDuringConnect(t *testing.T) {
	g := NewWithT(t)
	s := startBackend(t, answerOK)
	f := startLimited(t, false, limitedWorkspace(100, 100), s)
	f.giveTokens(1)
	q, dial := f.g.quotas, f.g.upstream.dialContext
	var passed atomic.Int64
	now := q.now
	q.mu.Lock()
	q.now = func() time.Duration { return now() + time.Duration(passed.Load()) }
	q.mu.Unlock()
	f.g.upstream.dialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		passed.Add(int64(time.Hour))
		return dial(ctx, network, address)
	}
	status, _, header := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(header).To(HaveKey("Retry-After"))
	g.Expect(s.runs.Load()).To(BeZero())
}
