package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/requesttarget"
	"github.com/galenabeam/galenabeam/internal/routetable"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

const explainedKey = "key-of-acme"

// explainFixture starts a gateway with two servers and the workspaces acme and far, of which
// far may only be served in a region without servers. Requests below /short/ are public.
func explainFixture(t *testing.T) *fixture {
	t.Helper()
	f := startGateway(t, startBackend(t, answerOK), startBackend(t, answerOK))
	f.setWorkspaces(t, func(routes []routetable.Route) {
		routes[0].Affinity, routes[0].Regions, routes[2].Public = true, []string{"r"}, true
	}, workspace.Definition{Workspace: workspace.Workspace{Name: "acme", Rank: 4, HasRank: true, Regions: []string{"q", "r"}}, Keys: []string{explainedKey}},
		workspace.Definition{Workspace: workspace.Workspace{Name: "far", Regions: []string{"q"}}, Keys: []string{"key-of-far"}})
	// The first configuration has no route with affinity, so no pool was prepared.
	f.g.selector.mu.Lock()
	defer f.g.selector.mu.Unlock()
	f.g.selector.pool(sharedPool, "s")
	return f
}

// TestExplainPredictsRequest guards against an explanation that names another server, rank or
// workspace than those of the same request when it is sent.
func TestExplainPredictsRequest(t *testing.T) {
	g := NewWithT(t)
	f := explainFixture(t)
	f.g.explainQuota = func(name string) *QuotaState { return &QuotaState{Tokens: 3, Issuer: "of " + name} }
	for _, object := range []string{"a", "b", "c", "d"} {
		e, err := f.g.Explain(ExplainQuery{Host: "X:80", Path: "/get/1", Workspace: "acme", Object: object, DeadlineMillis: 1500})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(e.Refusal).To(BeNil())
		g.Expect(e.Services).To(HaveLen(1))
		service := e.Services[0]
		g.Expect(service.Pool).To(Equal("shared"))
		g.Expect(service.Decider).To(Equal(&Decider{Host: "h", Self: true, Order: []DispatcherState{{Host: "h"}}}))

		pr := &pendingRequest{request: &Request{HTTP: httpRequest("/get/1"), Target: requesttarget.Target{Path: "/get/1"}, Received: time.Now()}, affinityKey: object}
		pr.request.HTTP.Header.Set(testHeaders.Key, explainedKey)
		pr.request.HTTP.Header.Set(testHeaders.Deadline, "1500")
		answer, _ := f.g.route(pr, f.g.Snapshot().Table)
		g.Expect(answer).To(BeNil())
		f.g.setDeadlines(pr)
		pr.service = service.Service
		dec := f.g.acquire(context.Background(), pr, freshAttempt)
		g.Expect(service.Decision.Server).To(Equal(dec.Server))
		g.Expect(service.Decision.Decision.Wait).To(Equal(dec.Wait))
		g.Expect(service.Decision.Decision.Load).To(Equal(dec.Load), "the explanation is no request")
		e.Services = nil
		g.Expect(*e).To(Equal(Explanation{
			AskedHost: "h", EntryHost: "h", Region: "r", ConfigVersion: 2, StoreRevision: 1, Route: "get", Repeatable: true, Workspace: "acme",
			Rank: pr.rank, AllowedRegions: pr.regions, Object: object, ObjectiveMillis: 1000, DeadlineMillis: 1500,
			Quota: &QuotaState{Tokens: 3, Issuer: "of acme"},
		}))
	}
}

func httpRequest(path string) *http.Request {
	r, err := http.NewRequest(http.MethodGet, "http://x"+path, nil)
	if err != nil {
		panic(err)
	}
	return r
}

// TestExplainRefusal guards against an explanation that asks a dispatcher about a request that
// the entry host refuses itself.
func TestExplainRefusal(t *testing.T) {
	f := explainFixture(t)
	explain := func(q ExplainQuery) *Explanation {
		e, err := f.g.Explain(q)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return e
	}
	g := NewWithT(t)
	g.Expect(explain(ExplainQuery{Host: "x", Path: "/get/1"}).Refusal).To(Equal(&Refusal{Status: 401, Text: "a valid key is required"}))
	g.Expect(explain(ExplainQuery{Host: "x", Path: "/short/1"}).Refusal).To(BeNil(), "public")
	far := explain(ExplainQuery{Host: "x", Path: "/get/1", Workspace: "far"})
	g.Expect(far.Services[0].Refusal).To(Equal(&Refusal{Status: 503, Text: "route and workspace have no allowed region in common", RetryAfter: "1.000"}))
	g.Expect(far.Services[0].Decision).To(BeNil())
	far = explain(ExplainQuery{Host: "x", Path: "/post/1", Workspace: "far"})
	g.Expect(far.Services[0].Refusal.Text).To(Equal("no backend server is registered in an allowed region"))
	f.g.Refuse()
	g.Expect(explain(ExplainQuery{Host: "x", Path: "/short/1"}).Refusal.Text).To(Equal("host is shutting down"))
}

// TestExplainUnknown guards against an explanation of another request than the one asked for,
// and against an error that repeats a key.
func TestExplainUnknown(t *testing.T) {
	f := explainFixture(t)
	for _, c := range []struct {
		desc  string
		query ExplainQuery
		err   error
		text  string
	}{
		{"unknown host", ExplainQuery{Host: "y", Path: "/get/1"}, ErrUnknown, "no route"},
		{"unknown path", ExplainQuery{Host: "x", Path: "/other/"}, ErrUnknown, "no route"},
		{"unknown workspace", ExplainQuery{Host: "x", Path: "/get/", Workspace: "nobody"}, ErrUnknown, "no workspace"},
		{"key instead of a name", ExplainQuery{Host: "x", Path: "/get/", Workspace: explainedKey}, ErrUnknown, "not a key"},
		{"unknown entry host", ExplainQuery{Host: "x", Path: "/get/", From: explainedKey}, ErrUnknown, "no entry host"},
		{"no path", ExplainQuery{Host: "x", Path: "get"}, ErrQuery, "slash"},
		{"malformed path", ExplainQuery{Host: "x", Path: "/%zz" + explainedKey}, ErrQuery, "slash"},
		{"negative size", ExplainQuery{Host: "x", Path: "/get/", Bytes: -1}, ErrQuery, "size"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			_, err := f.g.Explain(c.query)
			g := NewWithT(t)
			g.Expect(err).To(MatchError(c.err))
			g.Expect(err.Error()).To(ContainSubstring(c.text))
			g.Expect(err.Error()).NotTo(ContainSubstring(explainedKey))
		})
	}
	_, err := New(f.g.cfg).Explain(ExplainQuery{Host: "x", Path: "/get/"})
	NewWithT(t).Expect(err).To(MatchError(ErrNoConfiguration))
}

// TestExplainLargeBody guards against an explanation that takes a body for repeatable which is
// too large for it.
func TestExplainLargeBody(t *testing.T) {
	f := explainFixture(t)
	for _, c := range []struct {
		bytes int64
		want  bool
	}{{maxBufferedBody, true}, {maxBufferedBody + 1, false}} {
		pr, err := f.g.explainedRequest(ExplainQuery{Host: "x", Path: "/get/", Bytes: c.bytes}, f.g.Snapshot().Table)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(mayHedge(pr)).To(Equal(c.want))
		NewWithT(t).Expect(f.g.acquireParams(pr, freshAttempt, nil).Bytes).To(Equal(c.bytes))
	}
}

// TestExplainHeldServers guards against a decision that ignores the servers which asked this
// host for a pause, and against a Retry-After before the end of the pause.
func TestExplainHeldServers(t *testing.T) {
	g := NewWithT(t)
	f := explainFixture(t)
	for _, b := range f.g.Snapshot().Backends {
		f.g.holds.observe(b, serverSignals{pause: 20 * time.Second})
	}
	e, err := f.g.Explain(ExplainQuery{Host: "x", Path: "/short/1"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Held).To(ConsistOf("b0", "b1"))
	d := e.Services[0].Decision
	g.Expect(d.Refused).To(Equal(dispatch.NoServer))
	g.Expect(d.Excluded).To(Equal(map[dispatch.Exclusion]int{dispatch.ExcludedByHost: 2}))
	g.Expect(d.RetryAfterMillis).To(BeNumerically(">", 10_000))
}

// TestExplainDecider guards against an explanation that names another host than the one that
// decides, or that creates a pool at a host which does not decide.
func TestExplainDecider(t *testing.T) {
	g := NewWithT(t)
	network, s, _ := newFakeNetwork(4)
	order := s.Dispatchers("r", "s")
	asker := network.selectors[order[2].Name]
	explain := func() ServiceExplanation {
		var e ServiceExplanation
		asker.explain(&e, newAcquireParams("a"))
		return e
	}
	states := func(suspected ...bool) []DispatcherState {
		var list []DispatcherState
		for i, is := range suspected {
			list = append(list, DispatcherState{Host: order[i].Name, Suspected: is})
		}
		return list
	}
	e := explain()
	g.Expect(e.Decider).To(Equal(&Decider{Host: order[0].Name, PeerAddress: order[0].PeerAddress, Order: states(false, false, false)}))
	g.Expect(e.Pool).To(BeEmpty())
	g.Expect(e.Decision).To(BeNil())
	g.Expect(asker.sharedPools).To(BeEmpty())

	network.unreachable[order[0].Name] = true
	dec := asker.Acquire(context.Background(), newAcquireParams("a"))
	e = explain()
	g.Expect(e.Decider).To(Equal(&Decider{Host: order[1].Name, PeerAddress: order[1].PeerAddress, Order: states(true, false, false)}))
	g.Expect(dec.decidedBy).To(Equal(e.Decider.Host))

	network.unreachable[order[1].Name] = true
	dec = asker.Acquire(context.Background(), newAcquireParams("a"))
	e = explain()
	g.Expect(e.Decider).To(Equal(&Decider{Host: order[2].Name, Self: true, Order: states(true, true, false)}))
	g.Expect(dec.decidedBy).To(Equal("self"))
	g.Expect(e.Pool).To(Equal("shared"))
	g.Expect(e.NoDigestFrom).To(Equal([]string{"q"}))
	used := asker.sharedPools["s"].lastUsed
	explain()
	g.Expect(asker.sharedPools["s"].lastUsed).To(Equal(used), "an explanation is no use of the pool")

	// A host that its snapshot does not list, and that reaches no other, decides from its fallback pool.
	asker.markSuspected(asker.self.Name, peer.ErrUnreachable)
	asker.self.Name = "unlisted"
	asker.acquireLocally(fallbackPool, newAcquireParams("a"), "alone")
	e = explain()
	g.Expect(e.Decider.Fallback).To(BeTrue())
	g.Expect(e.Decider.Host).To(Equal("unlisted"))
	g.Expect(e.Pool).To(Equal("fallback"))
}
