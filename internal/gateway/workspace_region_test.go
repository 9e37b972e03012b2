package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/routetable"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

// recordingPeers is a PeerClient that keeps the parameters of acquires and fails.
type recordingPeers struct {
	noPeers
	mu       sync.Mutex
	acquires []AcquireParams
}

func (p *recordingPeers) Call(_ context.Context, _, method string, params, _ any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if method == MethodAcquire {
		p.acquires = append(p.acquires, params.(AcquireParams))
	}
	return errors.New("no answer")
}

// TestDispatcherSeesWorkspace guards against a dispatcher that gets the rank, the regions or
// the name that don't apply to the request.
func TestDispatcherSeesWorkspace(t *testing.T) {
	type seen struct {
		Workspace string
		Rank      int
		Allowed   []string
	}
	for _, c := range []struct {
		desc      string
		workspace workspace.Workspace
		regions   []string // of the route, whose rank is 3
		want      seen
	}{
		{"nothing of its own", workspace.Workspace{Name: "acme"}, nil, seen{"acme", 3, nil}},
		{"empty lists", workspace.Workspace{Name: "acme", Regions: []string{}}, []string{}, seen{"acme", 3, nil}},
		{"regions of the route", workspace.Workspace{Name: "acme", Regions: []string{}}, []string{"r"}, seen{"acme", 3, []string{"r"}}},
		{"most urgent rank", workspace.Workspace{Name: "acme", HasRank: true}, nil, seen{"acme", 0, nil}},
		{"less urgent rank", workspace.Workspace{Name: "acme", Rank: 7, HasRank: true}, nil, seen{"acme", 7, nil}},
		{"regions of the workspace", workspace.Workspace{Name: "acme", Regions: []string{"r", "q"}}, nil, seen{"acme", 3, []string{"r", "q"}}},
		{"regions of both", workspace.Workspace{Name: "acme", Regions: []string{"q", "r"}}, []string{"o", "r", "p"}, seen{"acme", 3, []string{"r"}}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			peers, registry := &recordingPeers{}, metrics.NewRegistry()
			f := startGatewayWith(t, func(f *fixture) {
				f.g.selector.peerClient = peers
				f.g.cfg.Metrics = NewMetrics(registry)
				s := f.g.Snapshot()
				f.g.SetSnapshot(s.Apply(2, fleet.Changes{Table: s.Table, Hosts: map[string]*fleet.Host{
					"dispatcher": {Name: "dispatcher", Region: "r", FailureDomain: "d", PeerAddress: "q", Cores: 9},
				}}))
			}, startBackend(t, answerOK))
			f.setWorkspaces(t, func(routes []routetable.Route) { routes[0].Rank, routes[0].Regions = 3, c.regions },
				workspace.Definition{Workspace: c.workspace, Keys: []string{secretKey}})
			status, _, _ := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
			g.Expect(status).To(Equal(200))
			peers.mu.Lock()
			defer peers.mu.Unlock()
			g.Expect(peers.acquires).To(HaveLen(1))
			p := peers.acquires[0]
			g.Expect(seen{p.Workspace, p.Rank, p.Allowed}).To(Equal(c.want))
			name := fmt.Sprintf("requests;service=s;rank=%d;outcome=served", c.want.Rank)
			g.Eventually(func() int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }).Should(Equal(int64(1)))
			request := f.g.selector.poolRequest(p)
			g.Expect(seen{request.Workspace, request.Rank, request.Allowed}).To(Equal(c.want))
		})
	}
}

// TestAcquireParamsWithoutWorkspace guards against a longer message between hosts of
// deployments without workspaces.
func TestAcquireParamsWithoutWorkspace(t *testing.T) {
	g := NewWithT(t)
	raw, err := json.Marshal(AcquireParams{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(raw)).NotTo(ContainSubstring("workspace"))
	raw, err = json.Marshal(AcquireParams{Service: "s", Workspace: "acme"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(raw)).To(ContainSubstring(`"workspace":"acme"`))
}

// TestNoAllowedRegion guards against a request that is served outside its regions, or waits
// although no server can ever take it.
func TestNoAllowedRegion(t *testing.T) {
	for _, c := range []struct {
		desc             string
		route, workspace []string
		want             int
		reason           string
	}{
		{"nothing in common", []string{"r"}, []string{"q"}, 503, "in common"},
		{"no server in the common region", []string{"q", "r"}, []string{"q"}, 503, "no backend server"},
		{"no server in the region of the workspace", nil, []string{"q"}, 503, "no backend server"},
		{"no server in the region of the route", []string{"q"}, nil, 503, "no backend server"},
		{"server in the common region", []string{"q", "r"}, []string{"r", "o"}, 200, ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s, registry := startBackend(t, answerOK), metrics.NewRegistry()
			f := startGatewayWith(t, func(f *fixture) { f.g.cfg.Metrics = NewMetrics(registry) }, s)
			f.setWorkspaces(t, func(routes []routetable.Route) { routes[1].Regions = c.route },
				workspace.Definition{Workspace: workspace.Workspace{Name: "acme", Regions: c.workspace}, Keys: []string{secretKey}})
			status, body, header := f.sendWith(t, "POST", "/post/a", "x", "X-Credential: "+secretKey)
			g.Expect(status).To(Equal(c.want))
			if c.want == 200 {
				return
			}
			g.Expect(body).To(ContainSubstring(c.reason))
			g.Expect(header.Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(s.runs.Load()).To(BeZero())
			g.Expect(metrics.GetOrRegisterCounter("requests;service=s;rank=0;outcome=no_region", registry).Count()).To(Equal(int64(1)))
		})
	}
}

// TestRetryStaysInRegions guards against a retry in a region that the workspace does not
// allow, although the route does.
func TestRetryStaysInRegions(t *testing.T) {
	g := NewWithT(t)
	failing, elsewhere := startBackend(t, func(*testBackend, net.Conn, *http.Request, string) bool { return false }), startBackend(t, answerOK)
	f := startGateway(t, failing)
	s := f.g.Snapshot()
	b := &fleet.Backend{ID: "b1", Service: "s", Address: elsewhere.listener.Addr().String(), FailureDomain: "e", Region: "q", Slots: 4}
	f.g.SetSnapshot(s.Apply(2, fleet.Changes{Table: s.Table, Backends: map[string]*fleet.Backend{"b1": b}}))
	f.setWorkspaces(t, func(routes []routetable.Route) { routes[0].Regions = []string{"q", "r"} },
		workspace.Definition{Workspace: workspace.Workspace{Name: "acme", Regions: []string{"r"}}, Keys: []string{secretKey}})
	status, _, _ := f.sendWith(t, "GET", "/get/a", "", "X-Credential: "+secretKey)
	g.Expect(status).To(Equal(502))
	g.Expect(elsewhere.runs.Load()).To(BeZero())
}
