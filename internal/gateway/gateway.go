package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/quota"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/routetable"
	"github.com/galenabeam/galenabeam/internal/workspace"
)

// Times and attempts of a request.
const (
	// defaultDeadline is the deadline of requests for which neither header nor route
	// sets one, and the upper bound of all others.
	defaultDeadline = 10 * time.Second
	// retryAfterUnconfigured is the Retry-After before the first configuration, and
	// when this host's snapshot allows none of the servers that the dispatcher chose.
	retryAfterUnconfigured = 250 * time.Millisecond
	// configurationWait is how long a request waits for the first configuration,
	// which takes a few round trips after the start of the host.
	configurationWait = 400 * time.Millisecond
	// maxUnsentAttempts bounds the retries after attempts that sent nothing, for
	// example because the server was unreachable, and the decisions per attempt while
	// this host's snapshot does not allow the chosen server.
	maxUnsentAttempts = 3
	// hedgeFactor times the expected time of the first attempt, plus hedgeBaseDelay,
	// is the delay before a repeatable request is sent to a second server.
	hedgeFactor = 1.5
	// hedgeBaseDelay is the constant part of that delay.
	hedgeBaseDelay = 40 * time.Millisecond
	// lateHedgeFactor replaces hedgeFactor for a second attempt that may miss the
	// objective but not the deadline: by then the first answer is probably lost.
	lateHedgeFactor = 3.0
	// lateHedgeMaxOccupancy is the occupied fraction of the service's slots above
	// which no late hedge is sent.
	lateHedgeMaxOccupancy = 0.9
	// budgetFraction is the fraction of the retry budget that the hosts use.
	// The rest is left for requests that are counted elsewhere.
	budgetFraction = 0.85
)

// Budget is the retry budget of a service over all hosts together. Each host keeps to
// a part of its own.
type Budget struct {
	// Share is the number of extra attempts gained per request.
	Share float64
	// Burst is the maximum number of saved extra attempts. It is divided among the known
	// hosts, at least 1 each; with more hosts than Burst their sum is higher. Budgets
	// start empty.
	Burst float64
}

// Config holds the dependencies and limits of a gateway. Interfaces and functions
// must be set; Metrics may be nil.
type Config struct {
	Self        fleet.Host
	Headers     Headers
	Budget      Budget
	FleetLimits dispatch.Limits
	// Scheduled and Paced enable the dispatch.Options of these names for all pools.
	Scheduled, Paced bool
	PeerClient       PeerClient
	PersistentStore  PersistentStore
	Log              logrus.FieldLogger
	// Access takes the log entries of requests that a backend server answered with a
	// status below 500; Log takes all others that reach Serve. Those that Front answers
	// itself (400, 408, 413, 431) are neither logged nor counted.
	Access logrus.FieldLogger
	// Age returns the time since the store last confirmed the current snapshot, or
	// since the start if it has not done so yet.
	Age func() time.Duration
	// ChangeDeadline is the time within which a new configuration takes effect, 0 for
	// 2.5 s. Unknown keys are not rejected while Age is above it.
	ChangeDeadline time.Duration
	// Quota enables quotas of workspaces, nil disables them.
	Quota   *QuotaConfig
	Metrics *Metrics
}

// Gateway forwards callers' requests to backend servers. It implements Handler.
type Gateway struct {
	cfg      Config
	selector *Selector
	upstream *upstream
	holds    *serverHolds
	quotas   *Quotas // nil without quotas
	snapshot atomic.Pointer[fleet.Snapshot]
	refusing atomic.Bool
	endsAt   atomic.Pointer[time.Time] // see EndBy, nil unless it was called
	// configured is closed when the first configuration takes effect.
	configured chan struct{}
	// configuredAt is when the current configuration took effect, as a
	// time.Duration on the selector's clock.
	configuredAt atomic.Int64
	// explainQuota returns the state of a workspace's quota for Explain, nil if it has
	// none. It is nil without quotas.
	explainQuota func(workspace string) *QuotaState

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns a gateway without a snapshot. Until it has one with a configuration,
// requests wait up to 400 ms and are then refused.
func New(cfg Config) *Gateway {
	if cfg.ChangeDeadline <= 0 {
		cfg.ChangeDeadline = defaultChangeDeadline
	}
	selector := NewSelector(cfg.Self, cfg.FleetLimits, cfg.PeerClient, cfg.PersistentStore, cfg.Log)
	if cfg.Scheduled {
		selector.Schedule()
	}
	if cfg.Paced {
		selector.Pace()
	}
	g := &Gateway{
		cfg: cfg, selector: selector, upstream: newUpstream(cfg.Headers), holds: newServerHolds(selector.Now, cfg.Log),
		budgets: map[string]*retry.Budget{}, configured: make(chan struct{}),
	}
	if cfg.Quota != nil {
		g.quotas = NewQuotas(*cfg.Quota, cfg.Self, cfg.PeerClient, cfg.Metrics, cfg.Log)
		g.quotas.age = cfg.Age
		g.explainQuota = g.quotas.state
	}
	return g
}

// Quotas returns the component that limits the requests of workspaces, nil if there is none.
func (g *Gateway) Quotas() *Quotas { return g.quotas }

// Selector returns the component that selects a backend server for each request.
func (g *Gateway) Selector() *Selector { return g.selector }

// Snapshot returns the current snapshot, or nil before the first call of SetSnapshot.
func (g *Gateway) Snapshot() *fleet.Snapshot { return g.snapshot.Load() }

// SetSnapshot replaces the current snapshot. If s has no configuration or an older
// one, the current configuration is kept.
func (g *Gateway) SetSnapshot(s *fleet.Snapshot) {
	old := g.snapshot.Load()
	if old != nil && old.Table != nil && (s.Table == nil || s.Table.Version < old.Table.Version) {
		s = s.WithTable(old.Table) // not needed for the snapshots of package platform
	}
	if s.Table != nil && (old == nil || old.Table != s.Table) {
		g.configuredAt.Store(int64(g.selector.Now()))
	}
	g.selector.SetSnapshot(s)
	if g.quotas != nil {
		g.quotas.setSnapshot(s)
	}
	g.snapshot.Store(s)
	if s.Table != nil && (old == nil || old.Table == nil) {
		close(g.configured)
	}
	g.upstream.prune(s.Backends)
	g.holds.prune(s.Backends)
}

// Refuse makes the gateway refuse further requests because the process shuts down.
func (g *Gateway) Refuse() { g.refusing.Store(true) }

// EndBy sets the time at which this host cuts the requests that are still running. From now
// on it refuses those that are expected to take longer; another host can serve them.
func (g *Gateway) EndBy(t time.Time) { g.endsAt.Store(&t) }

// endsBefore reports whether this host ends before t.
func (g *Gateway) endsBefore(t time.Time) bool {
	end := g.endsAt.Load()
	return end != nil && end.Before(t)
}

// timeLeft returns the time in which a request must be answered: until its deadline, or
// until this host ends.
func (g *Gateway) timeLeft(pr *pendingRequest) time.Duration {
	if g.endsBefore(pr.deadline) {
		return time.Until(*g.endsAt.Load())
	}
	return time.Until(pr.deadline)
}

// Limits implements Handler. It returns the limits of callers' requests, with defaults
// before the first configuration; Config.FleetLimits are other limits.
func (g *Gateway) Limits() routetable.Limits {
	if s := g.snapshot.Load(); s != nil && s.Table != nil {
		return s.Table.Limits
	}
	return defaultLimits
}

// pendingRequest is the state of a request until its answer is known.
type pendingRequest struct {
	request       *Request
	id            string
	affinityKey   string
	route         *routetable.Route
	service       string
	configVersion uint64
	deadline      time.Time
	// objective is the time up to which an answer has its full worth.
	objective time.Time
	// apiKey is the caller's key, "" unless the request has exactly one. It is never
	// logged.
	apiKey string
	// workspace is the holder of apiKey, nil if the request belongs to no workspace.
	workspace *workspace.Workspace
	// token is that of the next attempt if hasToken is set.
	token    quota.Token
	hasToken bool
	// rank and regions are the route's, changed by those of the workspace. Empty regions
	// allow all.
	rank           int
	regions        []string
	exclude        []string
	sentAttempts   int // attempts that count towards MaxAttempts; see finishAttempt
	unsentAttempts int // the others: no connection, or cancelled before sending
	attemptRecords []attemptRecord
	// budgetEmpty is set if the retry budget denied an attempt in acquireRetry, but not
	// for a denied hedge or an answer of 500 or above passed on for want of budget.
	budgetEmpty bool
}

// attemptRecord describes one attempt in the log entry of its request. Load, Busy,
// Wait and Service are the dispatcher's estimates; times are in milliseconds.
type attemptRecord struct {
	Server        string  `json:"server,omitempty"`
	FailureDomain string  `json:"domain,omitempty"`
	DecidedBy     string  `json:"by"`
	HoldsObject   bool    `json:"warm"`
	Load          float64 `json:"load"`
	Busy          float64 `json:"busy"`
	Wait          float64 `json:"wait_ms"`
	Service       float64 `json:"service_ms"`
	Took          float64 `json:"took_ms"`
	Result        string  `json:"result"`
}

// Serve implements Handler.
func (g *Gateway) Serve(ctx context.Context, r *Request) *Answer {
	pr := &pendingRequest{request: r, id: r.HTTP.Header.Get(g.cfg.Headers.RequestID), affinityKey: r.HTTP.Header.Get(g.cfg.Headers.Affinity)}
	answer, outcome := g.serve(ctx, pr)
	g.recordRequest(pr, answer, outcome)
	return answer
}

func (g *Gateway) serve(ctx context.Context, pr *pendingRequest) (*Answer, string) {
	g.awaitConfiguration(ctx)
	s := g.snapshot.Load()
	if s == nil || s.Table == nil {
		return refusal(retryAfterUnconfigured, "no configuration is known yet"), "unconfigured"
	}
	if g.refusing.Load() {
		return refusalByShutdown()
	}
	if answer, outcome := g.route(pr, s.Table); answer != nil {
		return answer, outcome
	}
	g.setDeadlines(pr)
	pr.service = pr.route.PickService(rand.Float64())
	if answer, outcome := g.checkRegions(pr); answer != nil {
		return answer, outcome
	}
	budget := g.countRequest(pr.service)
	deadlineCtx, cancel := context.WithDeadline(ctx, pr.deadline)
	answer, outcome := g.runAttempts(deadlineCtx, pr, budget)
	if answer.Rest == nil {
		cancel()
		return answer, outcome
	}
	done := answer.Done
	answer.Done = func(complete bool) { done(complete); cancel() }
	return answer, outcome
}

// awaitConfiguration waits up to configurationWait for the first configuration.
func (g *Gateway) awaitConfiguration(ctx context.Context) {
	select {
	case <-g.configured:
		return
	default:
	}
	timer := time.NewTimer(configurationWait)
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// retryAfterShutdown is the Retry-After of refusals by a host that shuts down.
const retryAfterShutdown = 50 * time.Millisecond

// refusalByShutdown returns the answer to a request that this host refuses because it shuts
// down, and its outcome.
func refusalByShutdown() (*Answer, string) {
	return closeAfter(refusal(retryAfterShutdown, "host is shutting down")), "shutdown"
}

// setDeadlines computes the deadline and the objective of a request from its
// header and its route.
func (g *Gateway) setDeadlines(pr *pendingRequest) {
	limit := defaultDeadline
	if ms, err := strconv.ParseFloat(pr.request.HTTP.Header.Get(g.cfg.Headers.Deadline), 64); err == nil && ms >= 0 {
		limit = min(limit, fromMillis(ms))
	}
	if pr.route.Timeout > 0 {
		limit = min(limit, pr.route.Timeout)
	}
	pr.deadline = pr.request.Received.Add(limit)
	pr.objective = pr.deadline
	if pr.route.Objective > 0 {
		pr.objective = pr.request.Received.Add(min(pr.route.Objective, limit))
	}
}

// countRequest adds a request to the retry budget of its service and returns the
// budget, whose burst depends on the hosts known at the service's first request.
func (g *Gateway) countRequest(service string) *retry.Budget {
	hosts := 1
	if s := g.snapshot.Load(); s != nil {
		hosts = max(len(s.Hosts), 1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.NewEmptyBudget(g.cfg.Budget.Share*budgetFraction, max(g.cfg.Budget.Burst*budgetFraction/float64(hosts), 1))
		g.budgets[service] = b
	}
	b.CountRequest()
	return b
}

// takeBudget takes one attempt from the retry budget and reports whether the
// budget allowed it.
func (g *Gateway) takeBudget(service string, b *retry.Budget) bool {
	g.mu.Lock()
	taken := b.Take()
	g.mu.Unlock()
	g.cfg.Metrics.retry(service, taken)
	return taken
}
