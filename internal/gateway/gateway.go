package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
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
	Self    fleet.Host
	Headers Headers
	Budget  Budget
	Caller  Caller
	Keeper  Keeper
	Log     logrus.FieldLogger
	// Access takes the lines of requests that were answered.
	Access logrus.FieldLogger
	// Age returns how long ago the store confirmed the view.
	Age     func() time.Duration
	Metrics *Metrics
}

// Gateway answers callers' requests. It implements Handler.
type Gateway struct {
	cfg      Config
	desk     *Desk
	upstream *upstream
	view     atomic.Pointer[fleet.Snapshot]
	closing  atomic.Bool
	// configured is closed when the first configuration is in force.
	configured chan struct{}

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns a gateway that refuses requests until SetView is called.
func New(cfg Config) *Gateway {
	return &Gateway{
		cfg: cfg, desk: NewDesk(cfg.Self, cfg.Caller, cfg.Keeper, cfg.Log), upstream: newUpstream(cfg.Headers),
		budgets: map[string]*retry.Budget{}, configured: make(chan struct{}),
	}
}

// Desk returns the part of the gateway that decides where requests go.
func (g *Gateway) Desk() *Desk { return g.desk }

// View returns the snapshot in force, nil before the first one.
func (g *Gateway) View() *fleet.Snapshot { return g.view.Load() }

// SetView makes a snapshot the one in force. The configuration never goes back
// to an earlier version.
func (g *Gateway) SetView(s *fleet.Snapshot) {
	old := g.view.Load()
	if old != nil && old.Table != nil && (s.Table == nil || s.Table.Version < old.Table.Version) {
		copied := *s
		copied.Table = old.Table
		s = &copied
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
	f.service = f.route.Pick(rand.Float64())
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
	b.Request()
	return b
}

func (g *Gateway) takeBudget(b *retry.Budget) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return b.Take()
}

// attempt is a running attempt.
type attempt struct {
	ticket ticket
	reply  reply
	began  time.Time
	took   time.Duration
	cancel context.CancelFunc
}

// attempts tries backend servers until one answers. The returned reason is a
// stable word for logs and metrics.
func (g *Gateway) attempts(ctx context.Context, f *flight, budget *retry.Budget) (*Answer, string) {
	results := make(chan *attempt, f.route.MaxAttempts+maxUnsent+1)
	running := 0
	unknown := false // an attempt whose outcome is not known may have run
	defer func() { g.abandon(results, running) }()
	var active []*attempt
	defer func() {
		for _, a := range active {
			a.cancel()
		}
	}()
	start := func(t ticket) {
		a := g.start(ctx, f, t, results)
		active = append(active, a)
		running++
	}
	t := g.acquire(ctx, f)
	if t.Refused != "" {
		return g.refused(ctx, f, t)
	}
	start(t)
	hedge := time.NewTimer(g.hedgeDelay(f, t))
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, a := range active {
				g.note(f, a, "running")
			}
			return g.expired(ctx, f)
		case <-hedge.C:
			if t, ok := g.hedge(ctx, f, budget); ok {
				start(t)
			}
		case a := <-results:
			running--
			active = slices.DeleteFunc(active, func(b *attempt) bool { return a == b })
			g.finish(f, a)
			if a.reply.answer != nil && !g.replaceable(f, a, budget) {
				return a.reply.answer, "served"
			}
			a.cancel()
			unknown = unknown || a.reply.ran
			if running > 0 {
				continue
			}
			if ctx.Err() != nil {
				return g.expired(ctx, f)
			}
			t, ok := g.again(ctx, f, a, budget)
			if ok {
				start(t)
				continue
			}
			return g.unanswered(f, a, unknown, t)
		}
	}
}

// abandon ends the attempts that are still running.
func (g *Gateway) abandon(results chan *attempt, running int) {
	if running == 0 {
		return
	}
	go func() {
		for ; running > 0; running-- {
			a := <-results
			a.reply.result = dispatch.Abandoned
			g.release(a)
			if a.reply.answer != nil && a.reply.answer.Done != nil {
				a.reply.answer.Done(false)
			}
		}
	}()
}

func (g *Gateway) acquire(ctx context.Context, f *flight) ticket {
	s := g.view.Load()
	for range maxUnsent {
		t := g.desk.Acquire(ctx, AcquireParams{
			Service: f.service, ID: f.id, Class: f.route.Name, Key: g.affinity(f),
			Host: g.cfg.Self.Name, Domain: g.cfg.Self.Domain,
			Priority: f.route.Priority, Bytes: max(f.request.Length, int64(len(f.request.Body))),
			Objective: ms(time.Until(f.objective)), Left: ms(time.Until(f.deadline)),
			Exclude: f.exclude, Allowed: f.route.Regions,
		})
		if t.Refused != "" {
			return t
		}
		// The dispatcher may know less than this host of a server that leaves or
		// of an evacuation.
		s = g.view.Load()
		b := s.Backends[t.Server]
		if b != nil && !b.Draining && !s.Evacuated[b.Domain] && b.Service == f.service && f.route.AllowsRegion(b.Region) {
			return t
		}
		g.desk.Release(t, dispatch.Report{Result: dispatch.Abandoned})
		f.exclude = append(f.exclude, t.Server)
	}
	return ticket{Decision: dispatch.Decision{Refused: dispatch.NoServer, RetryAfter: retryUnconfigured}, by: "self"}
}

func (g *Gateway) affinity(f *flight) string {
	if !f.route.Affinity {
		return ""
	}
	return f.key
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// start sends the request to the server of a ticket.
func (g *Gateway) start(ctx context.Context, f *flight, t ticket, results chan<- *attempt) *attempt {
	actx, cancel := context.WithCancel(ctx)
	a := &attempt{ticket: t, cancel: cancel, began: time.Now()}
	b := g.view.Load().Backends[t.Server]
	f.exclude = append(f.exclude, t.Server)
	header := f.request.HTTP.Header.Clone()
	stripHopByHop(header)
	c := &call{backend: b, request: f.request, header: header, id: f.id, deadline: f.deadline, repeatable: f.route.Kind.Repeatable()}
	go func() {
		if b == nil {
			a.reply = reply{result: dispatch.Misdirected, err: errors.New("backend server is gone")}
		} else {
			a.reply = g.upstream.do(actx, c)
		}
		a.took = time.Since(a.began)
		results <- a
	}()
	return a
}

// note adds an attempt to the line of its request.
func (g *Gateway) note(f *flight, a *attempt, result string) {
	domain := ""
	if b := g.view.Load().Backends[a.ticket.Server]; b != nil {
		domain = b.Domain
	}
	f.trail = append(f.trail, hop{
		Server: a.ticket.Server, Domain: domain, By: a.ticket.by, Warm: a.ticket.Warm,
		Load: a.ticket.Load, Busy: a.ticket.Busy, Wait: ms(a.ticket.Wait),
		Service: ms(a.ticket.Service), Took: ms(time.Since(a.began)), Result: result,
	})
}

// finish reports the end of an attempt.
func (g *Gateway) finish(f *flight, a *attempt) {
	if a.reply.ran || a.reply.result == dispatch.Shed || a.reply.result == dispatch.Misdirected {
		f.sent++
	} else {
		f.unsent++
	}
	g.note(f, a, resultName(a.reply))
	g.cfg.Metrics.attempt(f.service, resultNames[a.reply.result], a.took)
	g.release(a)
}

func (g *Gateway) release(a *attempt) {
	bytes := int64(0)
	if a.reply.answer != nil {
		bytes = int64(len(a.reply.answer.Body))
	}
	g.desk.Release(a.ticket, dispatch.Report{
		Bytes: bytes, Result: a.reply.result, Elapsed: a.took - a.reply.connect, Connect: a.reply.connect, Load: a.reply.load,
	})
}

// hedgeDelay is how long the first attempt is waited for alone.
func (g *Gateway) hedgeDelay(f *flight, t ticket) time.Duration {
	if !f.route.Kind.Repeatable() || f.route.MaxAttempts < 2 || f.request.Rest != nil {
		return time.Until(f.deadline) + time.Second
	}
	return time.Duration(hedgeFactor*float64(t.Wait+t.Service)) + hedgeBase
}

// hedge decides on a second attempt while the first one runs. It is made only
// if it is likely to be in time.
func (g *Gateway) hedge(ctx context.Context, f *flight, budget *retry.Budget) (ticket, bool) {
	if f.sent+1 >= f.route.MaxAttempts {
		return ticket{}, false
	}
	t := g.acquire(ctx, f)
	if t.Refused != "" {
		return t, false
	}
	if left := time.Until(f.objective); t.Wait+t.Service > left || !g.takeBudget(budget) {
		g.desk.Release(t, dispatch.Report{Result: dispatch.Abandoned})
		return t, false
	}
	return t, true
}

// replaceable tells whether a server's failure may be replaced by another
// attempt. A success, and the last possible answer, are passed on.
func (g *Gateway) replaceable(f *flight, a *attempt, budget *retry.Budget) bool {
	if a.reply.answer.Status < 500 || !f.route.Kind.Repeatable() || f.request.Rest != nil {
		return false
	}
	return f.sent < f.route.MaxAttempts && time.Until(f.deadline) > a.ticket.Service && g.budgetLeft(budget)
}

func (g *Gateway) budgetLeft(b *retry.Budget) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return b.Left()
}

// again decides on another attempt after a failed one.
func (g *Gateway) again(ctx context.Context, f *flight, a *attempt, budget *retry.Budget) (ticket, bool) {
	if f.request.Rest != nil || a.reply.ran && !f.route.Kind.Repeatable() {
		return ticket{}, false
	}
	if f.sent >= f.route.MaxAttempts || f.unsent > maxUnsent {
		return ticket{}, false
	}
	if f.sent > 0 && !g.takeBudget(budget) {
		f.budgetEmpty = true
		return ticket{}, false
	}
	t := g.acquire(ctx, f)
	return t, t.Refused == ""
}

// refused answers a request that no server was asked to run.
func (g *Gateway) refused(ctx context.Context, f *flight, t ticket) (*Answer, string) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Answer{Abort: true}, "caller_left"
	}
	f.trail = append(f.trail, hop{By: t.by, Load: t.Load, Busy: t.Busy, Wait: ms(t.Wait), Service: ms(t.Service), Result: string(t.Refused)})
	return refusal(t.RetryAfter, string(t.Refused)), string(t.Refused)
}

// expired answers a request whose time is over or whose caller left.
func (g *Gateway) expired(ctx context.Context, f *flight) (*Answer, string) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Answer{Abort: true}, "caller_left"
	}
	return failure(http.StatusGatewayTimeout, "no answer within the time of the request"), "timeout"
}

// unanswered answers a request that no further attempt is made for.
func (g *Gateway) unanswered(f *flight, a *attempt, unknown bool, t ticket) (*Answer, string) {
	if a.reply.answer != nil {
		return a.reply.answer, "served"
	}
	if unknown {
		return failure(http.StatusBadGateway, "backend server broke off"), "broken"
	}
	return refusal(max(t.RetryAfter, retryShed), "no backend server took the request"), "shed"
}

// retryShed is when to come back after backend servers refused a request.
const retryShed = 100 * time.Millisecond
