package ctl_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/ctl"
	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/gateway"
)

// explainHost answers /explain with a fixed explanation, and keeps the queries.
type explainHost struct {
	address string
	mu      sync.Mutex
	queries []url.Values
}

func startExplainHost(t *testing.T, e *gateway.Explanation) *explainHost {
	t.Helper()
	h := &explainHost{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.queries = append(h.queries, r.URL.Query())
		h.mu.Unlock()
		if r.URL.Path != "/explain" || e == nil {
			http.Error(w, "not found: configuration 8 has no route for this host and path\x1b", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(e)
	}))
	t.Cleanup(server.Close)
	h.address = strings.TrimPrefix(server.URL, "http://")
	return h
}

func explanation(host string, services ...gateway.ServiceExplanation) *gateway.Explanation {
	return &gateway.Explanation{
		AskedHost: host, EntryHost: "h1", Region: "r", ConfigVersion: 8, StoreRevision: 77, StoreAgeMillis: 640, Route: "read", Repeatable: true, Workspace: "acme", Rank: 2,
		AllowedRegions: []string{"r", "q"}, Object: "o", ObjectiveMillis: 500, DeadlineMillis: 2000,
		Quota: &gateway.QuotaState{Tokens: 3.25, Issuer: "h9"}, Held: []string{"b7"}, Services: services,
	}
}

// decidedServices are a refusal by the host that was asked, and a service that another host
// decides.
func decidedServices() []gateway.ServiceExplanation {
	age := 120.0
	return []gateway.ServiceExplanation{
		{Service: "s", Share: 0.9, Decider: &gateway.Decider{Host: "h2", Self: true, Order: []gateway.DispatcherState{{Host: "h0", Suspected: true}, {Host: "h2"}}}, Pool: "shared", PoolIdleMillis: 5, NoDigestFrom: []string{"p"},
			Decision: &dispatch.Explanation{
				Refused: dispatch.Overload, Because: "all is full", RetryAfterMillis: 712, Busy: 0.97, Candidates: dispatch.Candidates{Filter: "healthy"}, Considered: 1,
				Excluded: map[dispatch.Exclusion]int{dispatch.ExcludedDown: 2, dispatch.ExcludedCold: 1}, DigestAgeMillis: map[string]float64{"q": 300},
				Servers: []dispatch.ServerEstimate{
					{Server: "b1", Region: "r", WaitMillis: 800, ServiceMillis: 90, FinishMillis: 892, CostMillis: 990, Load: 9, Slots: 4, HoldsObject: true, Slowness: 1, TimeFactor: 1, LoadReportAgeMillis: &age},
					{Server: "b2", Region: "q", Excluded: dispatch.ExcludedDown, Down: true, Pace: 3, InTime: true, Slowness: 2.5, TimeFactor: 7, Failures: 0.5},
				},
			}},
		{Service: "t", Share: 0.1, Decider: &gateway.Decider{Host: "h3", ExplainAddress: "127.0.0.1:1"}},
	}
}

// TestExplainRequest guards against output that leaves out why a request is refused, and
// against a decision that is asked of the wrong host.
func TestExplainRequest(t *testing.T) {
	g := NewWithT(t)
	decider := startExplainHost(t, explanation("h2", decidedServices()...))
	services := []gateway.ServiceExplanation{
		{Service: "s", Share: 0.9, Decider: &gateway.Decider{Host: "h2", ExplainAddress: decider.address, Order: []gateway.DispatcherState{{Host: "h2"}, {Host: "h1"}}}},
		{Service: "u", Share: 0.1, Refusal: &gateway.Refusal{Status: 503, Text: "no region", RetryAfter: "1.000"}},
	}
	entry := startExplainHost(t, explanation("h1", services...))
	env := map[string]string{"GALENABEAM_METRICS": entry.address}
	line := []string{"explain-request", "-host", "x.example", "-path", "/a/1", "-workspace", "acme", "-object", "o", "-bytes", "12", "-deadline", "1.5s"}

	r := run("", env, line...)
	g.Expect(r.code).To(Equal(ctl.ExitOK), r.stderr)
	for _, text := range []string{
		"entry host h1, region r: configuration 8, store revision 77, confirmed 640 ms ago", "route read (repeatable), objective 500 ms, deadline 2000 ms",
		`workspace acme, rank 2, object "o", allowed regions: r q`, `quota: 3.2 tokens left at h1, issuer "h9"`, "b7",
		"service s, 0.9 of the requests", "decided by h2; ask it at " + decider.address, "no pool", "refused by the entry host: status 503, no region, Retry-After 1.000 s",
	} {
		g.Expect(r.stdout).To(ContainSubstring(text))
	}
	g.Expect(decider.queries).To(BeEmpty(), "only with -follow")
	g.Expect(entry.queries[0]).To(Equal(url.Values{"host": {"x.example"}, "path": {"/a/1"}, "workspace": {"acme"}, "object": {"o"}, "bytes": {"12"}, "deadline": {"1500"}}))

	r = run("", env, append(line, "-follow")...)
	g.Expect(r.code).To(Equal(ctl.ExitOK), r.stderr)
	for _, text := range []string{
		"asked h2: ", "decided by the asked host; order: h0 (does not answer), h2", "decision now: refused (overload), Retry-After 712 ms: all is full; 97% of the slots are taken",
		"digests of other regions: p never, q 300 ms ago", "1 servers considered; excluded: 1 cold, 2 down",
		"120 ms", "9/4", "held", "late", "excluded: down, down, paced at 3, slowness 2.50, reports 7.00 of its usual time, failure rate 0.50",
	} {
		g.Expect(r.stdout).To(ContainSubstring(text))
	}
	g.Expect(r.stdout).NotTo(ContainSubstring("service t"), "the decider does not decide for it")
	g.Expect(decider.queries).To(HaveLen(1))
	g.Expect(decider.queries[0]["from"]).To(Equal([]string{"h1"}))

	r = run("", env, append(line, "-follow", "-json")...)
	g.Expect(r.code).To(Equal(ctl.ExitOK), r.stderr)
	d := json.NewDecoder(strings.NewReader(r.stdout))
	for _, want := range []string{"h1", "h2"} {
		var e gateway.Explanation
		g.Expect(d.Decode(&e)).To(Succeed())
		g.Expect(e.AskedHost).To(Equal(want))
	}
}

// TestExplainRequestFails guards against exit code 0, or none of the host's text, for a request
// that cannot be explained.
func TestExplainRequestFails(t *testing.T) {
	unknown := startExplainHost(t, nil)
	lost := startExplainHost(t, explanation("h1", decidedServices()...))
	for _, c := range []struct {
		desc    string
		metrics string
		line    []string
		code    int
		text    string
	}{
		{"unknown route", unknown.address, []string{"-host", "x"}, ctl.ExitFailed, "status 404: not found: configuration 8 has no route for this host and path?"},
		{"no host", unknown.address, nil, ctl.ExitUsage, "-host is required"},
		{"no address", "", []string{"-host", "x"}, ctl.ExitUsage, "want IP:port"},
		{"negative size", unknown.address, []string{"-host", "x", "-bytes", "-1"}, ctl.ExitUsage, "no negative value"},
		{"an argument", unknown.address, []string{"-host", "x", "key"}, ctl.ExitUsage, "want 0 arguments"},
		{"nothing listens", "127.0.0.1:1", []string{"-host", "x", "-object", "private"}, ctl.ExitFailed, "127.0.0.1:1"},
		{"the decider does not answer", lost.address, []string{"-host", "x", "-follow"}, ctl.ExitFailed, "h3, which decides"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			r := run("", map[string]string{"GALENABEAM_METRICS": c.metrics}, append([]string{"explain-request"}, c.line...)...)
			g.Expect(r.code).To(Equal(c.code), r.stdout)
			g.Expect(r.stderr).To(ContainSubstring(c.text))
			g.Expect(r.stderr).NotTo(ContainSubstring("private"))
		})
	}
}

// TestExplainRequestQuota guards against output that leaves out whether a request gets a token,
// waits for one or is refused, or how old the answer is on which that rests.
func TestExplainRequestQuota(t *testing.T) {
	level := 12
	noIssuer := &gateway.Refusal{Status: 503, Text: "cannot be checked", RetryAfter: "0.250"}
	for _, c := range []struct {
		desc  string
		quota gateway.QuotaState
		want  []string
	}{
		{"token", gateway.QuotaState{Tokens: 2, Issuer: "h9", Decision: gateway.TokenHeld, LastAnswer: &gateway.IssuerAnswer{Issuer: "h9", AgeMillis: 41, Lent: 5}},
			[]string{`quota: 2.0 tokens left at h1, issuer "h9"`, "  last answer of the issuer (h9), 41 ms ago: lent 5 tokens", "  the request gets a token at once"}},
		{"429", gateway.QuotaState{Decision: gateway.TokenRefused, LastAnswer: &gateway.IssuerAnswer{Issuer: "h9", AgeMillis: 7, Short: true, Elsewhere: true, Fresh: true},
			Refusal: &gateway.Refusal{Status: 429, Text: "used up", RetryAfter: "0.022"}},
			[]string{`quota: 0.0 tokens left at h1, issuer ""`, "  last answer of the issuer (h9), 7 ms ago: lent 0 tokens, lacked tokens for requests that waited, other regions may have some, it had just started",
				"  the request is refused: status 429, used up, Retry-After 0.022 s"}},
		{"wait", gateway.QuotaState{Issuer: "h9", Decision: gateway.TokenWait, WaitMillis: 150, AskedRegion: "q", IssuerSuspected: true},
			[]string{`quota: 0.0 tokens left at h1, issuer "h9"`, "  the issuer of the region has not answered lately and is not asked now",
				"  the request waits for a token, at most 150 ms; the issuer of region q is asked", "  without an answer, it is sent on the safe share of the host"}},
		{"nobody to ask", gateway.QuotaState{Decision: gateway.TokenWait, WaitMillis: 20, Unanswered: noIssuer},
			[]string{`quota: 0.0 tokens left at h1, issuer ""`, "  the request waits for a token, at most 20 ms; no issuer is known that can be asked",
				"  without an answer: status 503, cannot be checked, Retry-After 0.250 s"}},
		{"safe share", gateway.QuotaState{Issuer: "h1", Level: &level, Decision: gateway.TokenSafeShare},
			[]string{`quota: 0.0 tokens left at h1, issuer "h1"`, "  the asked host is the issuer and can lend 12 tokens", "  the request is sent on the safe share of the host, as no issuer answers"}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			e := explanation("h1")
			e.Quota = &c.quota
			r := run("", nil, "explain-request", "-metrics", startExplainHost(t, e).address, "-host", "x")
			g.Expect(r.code).To(Equal(ctl.ExitOK), r.stderr)
			g.Expect(r.stdout).To(ContainSubstring("\n" + strings.Join(c.want, "\n") + "\nservers that get nothing"))
		})
	}
}
