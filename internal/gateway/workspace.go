package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/routetable"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

const (
	// defaultChangeDeadline replaces Config.ChangeDeadline if that is not set.
	defaultChangeDeadline = 2500 * time.Millisecond
	// retryAfterUnconfirmed is the Retry-After of requests whose route or key cannot be
	// confirmed.
	retryAfterUnconfirmed = time.Second
	// retryAfterNoRegion is the Retry-After of requests that no allowed region can serve.
	// Only a change of the configuration or a new server helps.
	retryAfterNoRegion = time.Second
)

// lacking is what a request needs and does not have.
type lacking int

const (
	lacksNothing lacking = iota
	lacksRoute
	lacksKey
)

// route finds the route and the workspace of a request in the table. It returns an
// answer instead if the request has no route or needs a key that it doesn't have. A host
// whose copy of the store is too old denies neither, as it may have been added since.
func (g *Gateway) route(pr *pendingRequest, t *routetable.Table) (*Answer, string) {
	for {
		lack := g.assign(pr, t)
		if lack == lacksNothing {
			return nil, ""
		}
		// The age is read before the table is compared: a table that arrives in between
		// may have what is lacking, although the one searched is not older than the age says.
		confirmed := g.cfg.Age() <= g.cfg.ChangeDeadline
		if latest := g.snapshot.Load().Table; latest != t {
			t = latest
			continue
		}
		switch {
		case lack == lacksRoute && confirmed:
			return failure(http.StatusNotFound, "no route"), "no_route"
		case lack == lacksRoute:
			return refusal(retryAfterUnconfirmed, "the route cannot be confirmed now"), "route_unconfirmed"
		case confirmed || !workspace.ValidKey(pr.apiKey):
			return skipBody(g.unauthorized())
		}
		return skipBody(refusal(retryAfterUnconfirmed, "the key cannot be confirmed now"), "key_unconfirmed")
	}
}

// assign sets the route and the workspace of a request, and returns what it lacks.
func (g *Gateway) assign(pr *pendingRequest, t *routetable.Table) lacking {
	if !pr.findRoute(t) {
		return lacksRoute
	}
	if t.Workspaces == nil {
		return lacksNothing
	}
	g.takeKey(pr)
	if w := t.Workspaces.ByKey(pr.apiKey); w != nil {
		pr.assign(w)
		return lacksNothing
	}
	if pr.route.Public {
		return lacksNothing
	}
	return lacksKey
}

// findRoute sets the route of a request, with its rank and regions, and reports whether the
// table has one.
func (pr *pendingRequest) findRoute(t *routetable.Table) bool {
	pr.configVersion = t.Version
	pr.route = t.Lookup(pr.request.HTTP.Host, pr.request.Target.Path)
	if pr.route == nil {
		return false
	}
	pr.rank, pr.regions = pr.route.Rank, commonRegions(pr.route.Regions, nil)
	return true
}

// skipBody marks an answer to a request whose body has not been used.
func skipBody(a *Answer, outcome string) (*Answer, string) {
	a.SkipBody = true
	return a, outcome
}

// NeedsBody implements Handler. A request that lacks a valid key is answered at once: its
// body would take memory of the host, and the caller would wait for nothing.
func (g *Gateway) NeedsBody(r *Request) bool {
	set := g.workspaces()
	if set == nil {
		return true
	}
	route := g.snapshot.Load().Table.Lookup(r.HTTP.Host, r.Target.Path)
	if route == nil || route.Public {
		return true
	}
	keys := r.HTTP.Header.Values(g.cfg.Headers.Key)
	return len(keys) == 1 && set.ByKey(keys[0]) != nil
}

// takeKey removes the lines of key and workspace from the header of a request, and keeps
// the key if it is the only one.
func (g *Gateway) takeKey(pr *pendingRequest) {
	h := pr.request.HTTP.Header
	if keys := h.Values(g.cfg.Headers.Key); len(keys) == 1 {
		pr.apiKey = keys[0]
	}
	h.Del(g.cfg.Headers.Key)
	h.Del(g.cfg.Headers.Workspace)
}

// unauthorized returns the answer to a request without a valid key, and its outcome.
func (g *Gateway) unauthorized() (*Answer, string) {
	a := failure(http.StatusUnauthorized, "a valid key is required")
	a.Header.Set("Www-Authenticate", g.cfg.Headers.Key)
	return a, "unauthorized"
}

// assign makes a request one of the workspace.
func (pr *pendingRequest) assign(w *workspace.Workspace) {
	pr.workspace = w
	if w.HasRank {
		pr.rank = w.Rank
	}
	pr.regions = commonRegions(pr.route.Regions, w.Regions)
}

// commonRegions returns the regions that both lists allow, nil if both allow all. The
// result is not nil but empty if they have none in common.
func commonRegions(a, b []string) []string {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	common := make([]string, 0, len(a))
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common
}

// checkRegions returns an answer to a request if its route and workspace have no region in
// common, or if no backend server of its service is registered in an allowed region.
func (g *Gateway) checkRegions(pr *pendingRequest) (*Answer, string) {
	s := g.snapshot.Load()
	if pr.regions == nil || s.Table.Workspaces == nil {
		return nil, ""
	}
	if len(pr.regions) == 0 {
		return refusal(retryAfterNoRegion, "route and workspace have no allowed region in common"), "no_region"
	}
	for _, b := range s.BackendsByService[pr.service] {
		if slices.Contains(pr.regions, b.Region) {
			return nil, ""
		}
	}
	return refusal(retryAfterNoRegion, "no backend server is registered in an allowed region"), "no_region"
}

// setWorkspaceHeaders sets the header of an attempt: without a key, and with the name of
// the workspace if there is one. A caller's lines are left if there are no workspaces.
func (g *Gateway) setWorkspaceHeaders(pr *pendingRequest, h http.Header) {
	if pr.workspace == nil && g.workspaces() == nil {
		return
	}
	// takeKey has removed both, unless the request came before the first workspaces.
	h.Del(g.cfg.Headers.Key)
	h.Del(g.cfg.Headers.Workspace)
	if pr.workspace != nil {
		h.Set(g.cfg.Headers.Workspace, pr.workspace.Name)
	}
}

// workspaces returns the current workspaces, nil if there are none.
func (g *Gateway) workspaces() *workspace.Set {
	if s := g.snapshot.Load(); s != nil && s.Table != nil {
		return s.Table.Workspaces
	}
	return nil
}

// keyRevoked reports whether the workspace of a request does not hold its key anymore, so
// that no further attempt may be sent. Without workspaces, requests need no key.
func (g *Gateway) keyRevoked(pr *pendingRequest) bool {
	if pr.workspace == nil {
		return false
	}
	set := g.workspaces()
	if set == nil {
		return false
	}
	holder := set.ByKey(pr.apiKey)
	return holder == nil || holder.Name != pr.workspace.Name
}

// workspaceName returns the name of a request's workspace, "" if it has none.
func (pr *pendingRequest) workspaceName() string {
	if pr.workspace == nil {
		return ""
	}
	return pr.workspace.Name
}
