package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/requesttarget"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// ExplainQuery describes a request that is not sent.
type ExplainQuery struct {
	// Host and Path are those of the URL, Path with its percent-encoding.
	Host, Path string
	// Workspace is a name, "" for a request without a key. Object is the affinity key.
	Workspace, Object string
	// Bytes is the size of the body.
	Bytes int64
	// DeadlineMillis is the deadline that the caller sends, 0 for none.
	DeadlineMillis float64
	// From is the entry host that receives the request, "" for this one. Another one has
	// asked before and has been referred to this host.
	From string
}

// Errors of Explain.
var (
	// ErrUnknown is wrapped if the query names something that this host does not know.
	ErrUnknown = errors.New("not found")
	// ErrQuery is wrapped if the query is malformed.
	ErrQuery = errors.New("invalid query")
	// ErrNoConfiguration is returned before the first configuration.
	ErrNoConfiguration = errNoSnapshot
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	AskedHost string `json:"asked_host"`
	EntryHost string `json:"entry_host"`
	Region    string `json:"region"`
	// ConfigVersion is the version of the configuration, StoreRevision and StoreAgeMillis
	// those of this host's copy of the store.
	ConfigVersion  uint64  `json:"config_version"`
	StoreRevision  uint64  `json:"store_revision"`
	StoreAgeMillis float64 `json:"store_age_ms"`
	Route          string  `json:"route"`
	Repeatable     bool    `json:"repeatable"`
	Workspace      string  `json:"workspace,omitempty"`
	Rank           int     `json:"rank"`
	// AllowedRegions is nil if all are allowed.
	AllowedRegions  []string    `json:"allowed_regions"`
	Object          string      `json:"object,omitempty"`
	ObjectiveMillis float64     `json:"objective_ms"`
	DeadlineMillis  float64     `json:"deadline_ms"`
	Quota           *QuotaState `json:"quota,omitempty"`
	// Refusal is set if the request would be refused before its service is chosen.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Held lists the servers that asked the asked host for a pause or said that they leave.
	Held     []string             `json:"held,omitempty"`
	Services []ServiceExplanation `json:"services,omitempty"`
}

// Refusal is an answer of the entry host that needs no decision of a dispatcher.
type Refusal struct {
	Status int    `json:"status"`
	Text   string `json:"text"`
	// RetryAfter is the value of the header, "" if there is none.
	RetryAfter string `json:"retry_after,omitempty"`
}

// ServiceExplanation is the decision for one of the services of the route.
type ServiceExplanation struct {
	Service string `json:"service"`
	// Share is the fraction of the route's requests that the service gets.
	Share float64 `json:"share"`
	// Refusal is set if the request would be refused without a decision of a dispatcher. The
	// other fields are then empty.
	Refusal *Refusal `json:"refusal,omitempty"`
	Decider *Decider `json:"decider,omitempty"`
	// Pool is the pool of the asked host from which Decision is: "shared", "fallback", or ""
	// if it has none yet.
	Pool string `json:"pool,omitempty"`
	// PoolIdleMillis is the time since the pool's last request, 0 if there was none.
	PoolIdleMillis float64 `json:"pool_idle_ms,omitempty"`
	// Loading is set while decisions about objects wait for the saved knowledge.
	Loading  bool                  `json:"loading,omitempty"`
	Decision *dispatch.Explanation `json:"decision,omitempty"`
	// NoDigestFrom lists the other regions from which the pool has got no digest.
	NoDigestFrom []string `json:"no_digest_from,omitempty"`
}

// Explain says where a request that entered at this host would go now, and why. It sends
// nothing and changes nothing. Its errors contain no part of the query: a key may have been
// given as a name.
func (g *Gateway) Explain(q ExplainQuery) (*Explanation, error) {
	s := g.snapshot.Load()
	if s == nil || s.Table == nil {
		return nil, ErrNoConfiguration
	}
	entry := &g.cfg.Self
	if q.From != "" {
		if entry = s.Hosts[q.From]; entry == nil {
			return nil, fmt.Errorf("%w: no entry host has the name given as from", ErrUnknown)
		}
	}
	pr, err := g.explainedRequest(q, s.Table)
	if err != nil {
		return nil, err
	}
	e := &Explanation{
		AskedHost: g.cfg.Self.Name, EntryHost: entry.Name, Region: g.cfg.Self.Region, ConfigVersion: s.Table.Version, StoreRevision: s.Revision,
		StoreAgeMillis: toMillis(g.cfg.Age()), Route: pr.route.Name, Repeatable: pr.route.Kind.Repeatable(), Workspace: pr.workspaceName(), Rank: pr.rank,
		AllowedRegions: pr.regions, Object: g.requestAffinity(pr), ObjectiveMillis: toMillis(pr.objective.Sub(pr.request.Received)),
		DeadlineMillis: toMillis(pr.deadline.Sub(pr.request.Received)), Held: g.holds.held(),
	}
	if pr.workspace != nil && g.explainQuota != nil {
		e.Quota = g.explainQuota(pr.workspace.Name)
	}
	if e.Refusal = g.explainRefusal(pr, s.Table); e.Refusal == nil {
		if entry == &g.cfg.Self && e.Quota != nil && g.needsToken(pr) {
			g.quotas.explain(e.Quota, pr)
		}
		e.Services = g.explainServices(pr, entry, e)
	}
	return e, nil
}

// explainRefusal returns the refusal of a request before its service is chosen, nil if there
// is none.
func (g *Gateway) explainRefusal(pr *pendingRequest, t *routetable.Table) *Refusal {
	var answer *Answer
	switch {
	case g.refusing.Load():
		answer, _ = refusalByShutdown()
	case t.Workspaces != nil && pr.workspace == nil && !pr.route.Public:
		answer, _ = g.unauthorized()
	}
	return refusalOf(answer)
}

// explainedRequest returns the request that a query describes, with its route.
func (g *Gateway) explainedRequest(q ExplainQuery, t *routetable.Table) (*pendingRequest, error) {
	if _, err := url.ParseRequestURI(q.Path); err != nil || !strings.HasPrefix(q.Path, "/") {
		return nil, fmt.Errorf("%w: want a path that begins with a slash", ErrQuery)
	}
	if q.Bytes < 0 || q.DeadlineMillis < 0 {
		return nil, fmt.Errorf("%w: want no negative size or deadline", ErrQuery)
	}
	h := http.Header{}
	if q.DeadlineMillis > 0 {
		h.Set(g.cfg.Headers.Deadline, strconv.FormatFloat(q.DeadlineMillis, 'f', -1, 64))
	}
	r := &Request{HTTP: &http.Request{Host: q.Host, Header: h}, Target: requesttarget.Parse(q.Path), Length: q.Bytes, Received: time.Now()}
	if q.Bytes > maxBufferedBody {
		r.Rest = &restReader{} // so that the request counts as one that cannot be repeated; nothing reads it
	}
	pr := &pendingRequest{request: r, affinityKey: q.Object}
	if !pr.findRoute(t) {
		return nil, fmt.Errorf("%w: configuration %d has no route for this host and path", ErrUnknown, t.Version)
	}
	if q.Workspace != "" {
		w := t.Workspaces.ByName(q.Workspace)
		if w == nil {
			return nil, fmt.Errorf("%w: configuration %d has no workspace of this name (a name is expected, not a key)", ErrUnknown, t.Version)
		}
		pr.assign(w)
	}
	g.setDeadlines(pr)
	return pr, nil
}

// refusalOf returns an answer of this host as a Refusal, nil for none.
func refusalOf(a *Answer) *Refusal {
	if a == nil {
		return nil
	}
	return &Refusal{Status: a.Status, Text: strings.TrimSpace(string(a.Body)), RetryAfter: a.Header.Get("Retry-After")}
}

// explainServices explains the decision for each service that gets requests of the route. A
// request takes its token after its regions were checked and before a dispatcher decides.
func (g *Gateway) explainServices(pr *pendingRequest, entry *fleet.Host, e *Explanation) []ServiceExplanation {
	total := 0.0
	for _, s := range pr.route.Services {
		total += max(s.Weight, 0)
	}
	var list []ServiceExplanation
	for _, service := range pr.route.Services {
		if service.Weight <= 0 {
			continue
		}
		pr.service = service.Service
		answer, _ := g.checkRegions(pr)
		s := ServiceExplanation{Service: service.Service, Share: service.Weight / total, Refusal: refusalOf(answer)}
		if s.Refusal == nil && e.Quota != nil {
			s.Refusal = e.Quota.Refusal
		}
		if s.Refusal == nil {
			p := g.acquireParams(pr, freshAttempt, e.Held)
			p.Host, p.FailureDomain = entry.Name, entry.FailureDomain
			g.selector.explain(&s, p)
		}
		if d := s.Decision; d != nil && d.Refused != "" && len(e.Held) > 0 {
			dec := decision{Decision: d.Decision}
			g.setHeldRetryAfter(pr, &dec)
			d.RetryAfterMillis = toMillis(dec.RetryAfter)
		}
		list = append(list, s)
	}
	return list
}
