package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

// Limits of a request.
const (
	// defaultDeadline holds for callers that do not tell how long they wait.
	defaultDeadline = 10 * time.Second
	// retryUnconfigured is when to come back while no configuration is known.
	retryUnconfigured = 250 * time.Millisecond
	// configurationWait is how long a request waits for the first configuration
	// of a host that has just started, which takes a few round trips.
	configurationWait = 400 * time.Millisecond
	// maxUnsent bounds the backend servers that are tried without sending.
	maxUnsent = 3
	// hedgeFactor and hedgeBase tell when a request that may run twice is sent
	// to a second server: that many times the expected time after the first.
	hedgeFactor = 1.5
	hedgeBase   = 40 * time.Millisecond
	// rescueFactor is the same for a second attempt that will be late: the answer
	// of the first one is probably lost. It is made only while less than
	// rescueOccupancy of the service's slots is taken.
	rescueFactor    = 3.0
	rescueOccupancy = 0.9
	// budgetPart is the part of the shared retry budget that hosts use, which
	// leaves room for requests that are counted elsewhere.
	budgetPart = 0.85
)

// Budget is the retry budget that all hosts share.
type Budget struct {
	// Ratio is the number of extra attempts for each request.
	Ratio float64
	// Slack is the number of extra attempts in a window without requests.
	Slack float64
}

// Config are the dependencies and limits of a gateway.
type Config struct {
	Self            fleet.Host
	Headers         Headers
	Budget          Budget
	Limits          dispatch.Limits
	Caller          Caller
	PersistentStore PersistentStore
	Log             logrus.FieldLogger
	// Access takes the lines of requests that were answered.
	Access logrus.FieldLogger
	// Age returns how long ago the store confirmed the view.
	Age     func() time.Duration
	Metrics *Metrics
}

// Gateway answers callers' requests. It implements Handler.
type Gateway struct {
	cfg      Config
	desk     *Scheduler
	upstream *upstream
	view     atomic.Pointer[fleet.Snapshot]
	closing  atomic.Bool
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	// configuredAt is when the configuration in force took effect, on the desk's
	// clock.
	configuredAt atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns a gateway that refuses requests until SetView is called.
func New(cfg Config) *Gateway {
	return &Gateway{
		cfg: cfg, desk: NewScheduler(cfg.Self, cfg.Limits, cfg.Caller, cfg.PersistentStore, cfg.Log), upstream: newUpstream(cfg.Headers),
		budgets: map[string]*retry.Budget{}, configured: make(chan struct{}),
	}
}

// Scheduler returns the part of the gateway that decides where requests go.
func (g *Gateway) Scheduler() *Scheduler { return g.desk }

// View returns the snapshot in force, nil before the first one.
func (g *Gateway) View() *fleet.Snapshot { return g.view.Load() }

// SetView makes a snapshot the one in force. The configuration never goes back
// to an earlier version.
func (g *Gateway) SetView(s *fleet.Snapshot) {
	old := g.view.Load()
	if old != nil && old.Table != nil && (s.Table == nil || s.Table.Version < old.Table.Version) {
		s = s.WithTable(old.Table)
	}
	if s.Table != nil && (old == nil || old.Table != s.Table) {
		g.configuredAt.Store(int64(g.desk.Now()))
	}
	g.desk.SetView(s)
	g.view.Store(s)
	if s.Table != nil && (old == nil || old.Table == nil) {
		close(g.configured)
	}
	g.upstream.prune(s.Backends)
}

// Refuse makes the gateway refuse further requests: the process is about to end.
func (g *Gateway) Refuse() { g.closing.Store(true) }

// Limits implements Handler.
func (g *Gateway) Limits() routetable.Limits {
	if s := g.view.Load(); s != nil && s.Table != nil {
		return s.Table.Limits
	}
	return defaultLimits
}

// flight is a request on its way through the gateway.
type flight struct {
	request  *Request
	id       string
	key      string
	route    *routetable.Route
	service  string
	version  uint64
	deadline time.Time
	// objective is when the answer loses most of its worth.
	objective time.Time
	exclude   []string
	sent      int // attempts that reached or may have reached a server
	unsent    int // attempts that certainly did not
	trail     []hop
	// budgetEmpty tells that the retry budget allowed no further attempt.
	budgetEmpty bool
}

// hop is one attempt, for the log.
type hop struct {
	Server  string  `json:"server,omitempty"`
	Domain  string  `json:"domain,omitempty"`
	By      string  `json:"by"`
	Warm    bool    `json:"warm"`
	Load    float64 `json:"load"`
	Busy    float64 `json:"busy"`
	Wait    float64 `json:"wait_ms"`
	Service float64 `json:"service_ms"`
	Took    float64 `json:"took_ms"`
	Result  string  `json:"result"`
}

// Serve implements Handler.
func (g *Gateway) Serve(ctx context.Context, r *Request) *Answer {
	f := &flight{request: r, id: r.HTTP.Header.Get(g.cfg.Headers.RequestID), key: r.HTTP.Header.Get(g.cfg.Headers.Affinity)}
	answer, reason := g.serve(ctx, f)
	g.record(f, answer, reason)
	return answer
}

func (g *Gateway) serve(ctx context.Context, f *flight) (*Answer, string) {
	g.awaitConfiguration(ctx)
	s := g.view.Load()
	if s == nil || s.Table == nil {
		return refusal(retryUnconfigured, "no configuration is known yet"), "unconfigured"
	}
	if g.closing.Load() {
		return last(refusal(minClosingRetry, "host is shutting down")), "shutdown"
	}
	f.version = s.Table.Version
	f.route = s.Table.Lookup(f.request.HTTP.Host, f.request.HTTP.URL.Path)
	if f.route == nil {
		return failure(http.StatusNotFound, "no route"), "no_route"
	}
	g.setTimes(f)
	f.service = f.route.PickService(rand.Float64())
	budget := g.countRequest(f.service)
	fctx, cancel := context.WithDeadline(ctx, f.deadline)
	answer, reason := g.attempts(fctx, f, budget)
	if answer.Rest == nil {
		cancel()
		return answer, reason
	}
	done := answer.Done
	answer.Done = func(complete bool) { done(complete); cancel() }
	return answer, reason
}

// awaitConfiguration waits for a while for the first configuration.
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

// minClosingRetry is when callers of a host that shuts down come back.
const minClosingRetry = 50 * time.Millisecond

func (g *Gateway) setTimes(f *flight) {
	limit := defaultDeadline
	if ms, err := strconv.ParseFloat(f.request.HTTP.Header.Get(g.cfg.Headers.Deadline), 64); err == nil && ms >= 0 {
		limit = min(limit, millis(ms))
	}
	if f.route.Timeout > 0 {
		limit = min(limit, f.route.Timeout)
	}
	f.deadline = f.request.Received.Add(limit)
	f.objective = f.deadline
	if f.route.Objective > 0 {
		f.objective = f.request.Received.Add(min(f.route.Objective, limit))
	}
}

// countRequest counts a request towards the retry budget of its service.
func (g *Gateway) countRequest(service string) *retry.Budget {
	hosts := 1
	if s := g.view.Load(); s != nil {
		hosts = max(len(s.Hosts), 1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.NewEmptyBudget(g.cfg.Budget.Ratio*budgetPart, max(g.cfg.Budget.Slack*budgetPart/float64(hosts), 1))
		g.budgets[service] = b
	}
	b.CountRequest()
	return b
}

func (g *Gateway) takeBudget(service string, b *retry.Budget) bool {
	g.mu.Lock()
	taken := b.Take()
	g.mu.Unlock()
	g.cfg.Metrics.retry(service, taken)
	return taken
}
