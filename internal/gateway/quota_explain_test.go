package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/quota"
	"github.com/galenabeam/galenabeam/internal/routetable"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

// explainToken explains a request of a workspace at a host that receives it now, with an
// objective of 600 ms.
func (n *quotaHosts) explainToken(host string, w workspace.Workspace) *QuotaState {
	pr := &pendingRequest{route: &routetable.Route{}, workspace: &w, objective: time.Now().Add(600 * time.Millisecond)}
	state := n.byID[host].state(w.Name)
	n.byID[host].explain(state, pr)
	return state
}

// TestExplainToken guards against an explanation that tells another answer than the same request
// gets, or that sends a message or takes a token.
func TestExplainToken(t *testing.T) {
	w := workspace.Workspace{Name: "w", RatePerSecond: 100, Burst: 100}
	noIssuer := &Refusal{Status: 503, Text: "the quota of the workspace cannot be checked now", RetryAfter: "0.250"}
	for _, c := range []struct {
		desc    string
		issuers []string
		// prepare brings the hosts into the state in which r1h2 is asked.
		prepare func(n *quotaHosts)
		want    QuotaState
		verdict quota.Verdict
	}{
		{"no issuer is known", nil, nil, QuotaState{Decision: TokenWait, WaitMillis: 150, Unanswered: noIssuer}, quota.NoIssuer},
		{"the region's issuer was not asked yet", []string{"r0", "r1"}, nil,
			QuotaState{Issuer: "r1h0", Decision: TokenWait, WaitMillis: 150, AskedRegion: "r1", Unanswered: noIssuer}, quota.Granted},
		{"the region has no issuer", []string{"r0"}, nil,
			QuotaState{Decision: TokenWait, WaitMillis: 150, AskedRegion: "r0", Unanswered: noIssuer}, quota.Granted},
		{"no issuer answers", []string{"r1"}, func(n *quotaHosts) { n.down["r1h0"] = true; n.acquire("r1h2", w) },
			QuotaState{Issuer: "r1h0", IssuerSuspected: true, Decision: TokenRefused, Refusal: noIssuer}, quota.NoIssuer},
		{"a token is at the host", []string{"r1"}, func(n *quotaHosts) { r := n.acquire("r1h2", w); n.byID["r1h2"].untake(r.Token) },
			QuotaState{Tokens: 1, Issuer: "r1h0", LastAnswer: &IssuerAnswer{Issuer: "r1h0", Lent: 1}, Decision: TokenHeld}, quota.Granted},
		{"the quota is used up", []string{"r1"}, func(n *quotaHosts) {
			for n.acquire("r1h2", w).Verdict == quota.Granted { // the issuer lends all that it has
			}
		}, QuotaState{Issuer: "r1h0", LastAnswer: &IssuerAnswer{Issuer: "r1h0", Short: true, Elsewhere: true}, Decision: TokenRefused}, quota.UsedUp},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newQuotaHosts(w, c.issuers...)
				time.Sleep(5 * time.Second)
				if c.prepare != nil {
					c.prepare(n)
				}
				calls, q := n.calls.Load(), n.byID["r1h2"]
				state := n.explainToken("r1h2", w)
				g.Expect(n.explainToken("r1h2", w)).To(Equal(state), "an explanation changes nothing")
				g.Expect(n.calls.Load()).To(Equal(calls), "no message")
				g.Expect(q.client.Left(q.now(), "w")).To(Equal(int(state.Tokens)))
				r := n.acquire("r1h2", w)
				g.Expect(r.Verdict).To(Equal(c.verdict))
				g.Expect(state.Decision).To(Equal(c.want.Decision))
				if state.Decision == TokenRefused {
					answer, _ := answerWithoutToken(r)
					g.Expect(state.Refusal).To(Equal(refusalOf(answer)), "also the same Retry-After")
					c.want.Refusal = state.Refusal
				}
				if c.verdict == quota.UsedUp {
					g.Expect(state.Refusal.Status).To(Equal(429))
					g.Expect(state.OverQuota).To(BeFalse(), "only Gateway.begin records it")
				}
				g.Expect(*state).To(Equal(c.want))
				time.Sleep(2 * time.Minute) // the timers end
				g.Expect(n.explainToken("r1h2", w).LastAnswer).To(BeNil(), "an old answer is forgotten")
			})
		})
	}
}

// TestExplainIssuerLevel guards against an explanation at the issuer without the tokens that it
// can lend, against one after the end of its lease, and against an answer without its age.
func TestExplainIssuerLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := workspace.Workspace{Name: "w", RatePerSecond: 100, Burst: 100}
		n := newQuotaHosts(w, "r1")
		time.Sleep(time.Second)
		level := n.byID["r1h0"].Dump().Levels["w"]
		g.Expect(level).To(BeNumerically(">", 10))
		g.Expect(n.explainToken("r1h0", w).Level).To(Equal(&level))
		g.Expect(n.explainToken("r1h1", w).Level).To(BeNil())
		n.acquire("r1h1", w)
		time.Sleep(30 * time.Millisecond)
		g.Expect(n.explainToken("r1h1", w).LastAnswer).To(Equal(&IssuerAnswer{Issuer: "r1h0", AgeMillis: 30, Lent: 1}))
		n.byID["r1h0"].Close()
		g.Expect(n.explainToken("r1h0", w).Level).To(BeNil())
		time.Sleep(time.Minute)
	})
}

// TestIssuerAnswersAreBounded guards against memory that grows with each workspace that ever had
// a request at this host.
func TestIssuerAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	n := newQuotaHosts(workspace.Workspace{Name: "w", RatePerSecond: 100}, "r0", "r1")
	q := n.byID["r0h1"]
	for k := range 1000 {
		q.noteAnswer(time.Hour+time.Duration(k)*time.Second, "r0", []quota.Loan{{Workspace: string(rune('a' + k)), Tokens: 1}})
	}
	g.Expect(len(q.answers)).To(BeNumerically("<=", 121))
	q.noteAnswer(2*time.Hour, "r1", []quota.Loan{{Workspace: "w", Tokens: 1}})
	g.Expect(q.answers).NotTo(HaveKey("w"), "not the issuer of the own region")
}

// TestExplainOverQuota guards against an explanation that asks a dispatcher about a request that
// gets 429 before, or that judges the tokens of a host which does not receive the request.
func TestExplainOverQuota(t *testing.T) {
	g := NewWithT(t)
	f := startLimited(t, true, limitedWorkspace(0.01, 0), startBackend(t, answerOK))
	f.g.explainQuota = f.g.quotas.state
	q := f.g.quotas
	q.mu.Lock()
	issuer := q.currentIssuer(q.now())
	q.mu.Unlock()
	explain := func() *Explanation {
		e, err := f.g.Explain(ExplainQuery{Host: "x", Path: "/get/1", Workspace: "acme"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(e.Quota.Issuer).To(Equal("h"))
		return e
	}
	e := explain()
	g.Expect(e.Quota.Decision).To(Equal(TokenWait))
	g.Expect(e.Quota.Level).NotTo(BeNil())
	g.Expect(e.Services[0].Refusal).To(BeNil())
	g.Expect(e.Services[0].Decider).NotTo(BeNil())

	q.mu.Lock()
	m := quota.LendRequest{Host: "h", Wants: []quota.Want{{Workspace: "acme", Tokens: 100, Urgent: 100}}}
	issuer.Lend(q.now(), m)
	q.mu.Unlock()
	pr := &pendingRequest{request: &Request{Received: time.Now()}, workspace: &workspace.Workspace{Name: "acme", RatePerSecond: 0.01}, objective: time.Now().Add(time.Second)}
	answer, _ := f.g.takeToken(t.Context(), pr)
	g.Expect(answer.Status).To(Equal(429))
	e = explain()
	g.Expect(e.Quota.Decision).To(Equal(TokenRefused))
	g.Expect(e.Quota.Refusal.Status).To(Equal(429))
	g.Expect(e.Quota.Refusal.RetryAfter).NotTo(BeEmpty())
	g.Expect(e.Services[0]).To(Equal(ServiceExplanation{Service: "s", Share: 1, Refusal: e.Quota.Refusal}))

	s := f.g.Snapshot()
	f.g.SetSnapshot(s.Apply(s.Revision+1, fleet.Changes{Hosts: map[string]*fleet.Host{"h2": {Name: "h2", Region: "r"}}}))
	e, err := f.g.Explain(ExplainQuery{Host: "x", Path: "/get/1", Workspace: "acme", From: "h2"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Quota.Decision).To(BeEmpty(), "the tokens of h2 count")
	g.Expect(e.Services[0].Decider).NotTo(BeNil())

	f.g.Refuse()
	g.Expect(explain().Quota.Decision).To(BeEmpty(), "refused before it needs a token")
}
