package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/boottime"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/quota"
	"github.com/galenabeam/galenabeam/internal/routetable"
)

const (
	// retryAfterNoIssuer is the Retry-After of requests without a token when no issuer
	// answers.
	retryAfterNoIssuer = 250 * time.Millisecond
	// tokenWaitFraction is the part of the time to a request's objective for which it
	// waits for a token.
	tokenWaitFraction = 0.25
	// startTokenWait is the longest time for which a request waits in quota.StartPeriod, up to
	// startTokenWaitFraction of the time to its deadline. Callers that are refused then
	// return within that time anyway, all of them again and again.
	startTokenWait         = time.Second
	startTokenWaitFraction = 1.0 / 3
	// minTokenWait is the least time for which a request waits, also after its objective:
	// a few round trips within the region.
	minTokenWait = 20 * time.Millisecond
)

// outcomeOverQuota is the outcome of requests that are refused with 429.
const outcomeOverQuota = "over_quota"

// QuotaConfig enables quotas.
type QuotaConfig struct {
	Bounds quota.Bounds
	// Regions are all regions of the deployment.
	Regions []string
}

// Quotas limits the requests of workspaces over all hosts. It connects the state machines
// of package quota with the other hosts; package platform makes the calls to the store.
type Quotas struct {
	cfg     QuotaConfig
	self    fleet.Host
	peers   PeerClient
	log     logrus.FieldLogger
	metrics *Metrics
	now     func() time.Duration
	started time.Duration
	// age returns the time since the store last confirmed the snapshot; see Config.Age.
	// Without it, there are no safe shares.
	age func() time.Duration

	mu     sync.Mutex
	client *quota.Client
	term   *quota.Term
	issuer *quota.Issuer // nil unless this process was the issuer in the term's epoch
	epoch  uint64
	// table is the one from which limits were computed.
	table   *routetable.Table
	limits  map[string]quota.Limit
	issuers map[string]*fleet.Issuer
	lastID  uint64
	waiting map[uint64]chan quota.Resolution
	// timer calls pump, askTimer asks other regions; each is armed only if needed.
	timer, askTimer      *time.Timer
	timerArmed, askArmed bool
	over                 map[string]*overState
	safeShareLogged      map[string]time.Duration
	refusedNames         map[string]bool
	shownTokens          map[string]bool
	// answers are the last answers of the region's issuer by workspace, for Explain.
	answers       map[string]issuerAnswer
	answersPruned time.Duration
	holding       bool
	// lines are log lines to write after q.mu is unlocked; see unlock.
	lines []func()
}

func newQuotas(cfg QuotaConfig, self fleet.Host, peers PeerClient, m *Metrics, log logrus.FieldLogger, now func() time.Duration) *Quotas {
	slices.Sort(cfg.Regions)
	q := &Quotas{
		cfg: cfg, self: self, peers: peers, log: log, metrics: m, now: now, started: now(),
		client: quota.NewClient(self.Region, quota.NewSafeShares(now(), cfg.Bounds, len(cfg.Regions))),
		term:   quota.NewTerm(self.Name, self.Incarnation), waiting: map[uint64]chan quota.Resolution{},
		over: map[string]*overState{}, safeShareLogged: map[string]time.Duration{}, refusedNames: map[string]bool{}, shownTokens: map[string]bool{},
		answers: map[string]issuerAnswer{},
	}
	q.client.SafeShareStarts = q.logSafeShare
	q.client.WaitAtStart(q.started)
	q.term.SettleAfter(cfg.Bounds.SettleTime())
	return q
}

// NewQuotas returns quotas with a clock that also counts suspension.
func NewQuotas(cfg QuotaConfig, self fleet.Host, peers PeerClient, m *Metrics, log logrus.FieldLogger) *Quotas {
	return newQuotas(cfg, self, peers, m, log, boottime.Now)
}

// setSnapshot takes the limits, the issuers and the number of hosts from a snapshot.
func (q *Quotas) setSnapshot(s *fleet.Snapshot) {
	q.mu.Lock()
	defer q.unlock()
	q.client.SetHosts(len(s.Hosts))
	q.setIssuers(s.Issuers)
	if s.Table == nil || s.Table == q.table {
		return
	}
	q.table, q.limits = s.Table, limitsOf(s.Table)
	q.client.SetLimits(q.now(), q.limits)
	q.forgetNames()
	if q.issuer != nil {
		q.issuer.SetLimits(q.now(), q.limits)
	}
}

// limitsOf returns the limits of the workspaces that have one.
func limitsOf(t *routetable.Table) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for w := range t.Workspaces.All() {
		if w.RatePerSecond > 0 {
			limits[w.Name] = quota.Limit{RatePerSecond: w.RatePerSecond, Burst: w.Burst}
		}
	}
	return limits
}

// setIssuers replaces the known issuers and logs changes. The caller holds q.mu.
func (q *Quotas) setIssuers(issuers map[string]*fleet.Issuer) {
	var regions []string
	for region, i := range issuers {
		if i.Host != "" {
			regions = append(regions, region)
		}
		if before := q.issuers[region]; before == nil || before.Host != i.Host || before.Incarnation != i.Incarnation {
			q.client.IssuerChanged(region)
			q.logIssuer(region, before, i)
		}
	}
	for region, before := range q.issuers {
		if issuers[region] == nil {
			q.logIssuer(region, before, nil)
		}
	}
	q.issuers = issuers
	slices.Sort(regions)
	q.client.SetIssuers(regions)
}

// begin takes a token and selects a backend server for the first attempt. It returns an
// answer if one of them is lacking.
func (g *Gateway) begin(ctx context.Context, pr *pendingRequest) (decision, *Answer, string) {
	if answer, outcome := g.takeToken(ctx, pr); answer != nil {
		if outcome == outcomeOverQuota {
			g.quotas.noteRefused(pr.workspace.Name)
		}
		return decision{}, answer, outcome
	}
	dec := g.acquire(ctx, pr, freshAttempt)
	if dec.Refused != "" {
		answer, outcome := g.answerRefused(ctx, pr, dec)
		return dec, answer, outcome
	}
	if !g.renewToken(pr) {
		g.releaseUnused(dec)
		answer, outcome := refusalWithoutIssuer(0)
		return dec, answer, outcome
	}
	return dec, nil, ""
}

// takeToken takes the token for the next attempt of a request, and waits for one if
// necessary. It returns an answer if there is none, also after the deadline: the attempt has
// not run. A request of no workspace, or of one
// without a limit, needs none.
func (g *Gateway) takeToken(ctx context.Context, pr *pendingRequest) (*Answer, string) {
	if !g.needsToken(pr) {
		return nil, ""
	}
	waitCtx, release := pr.request.untilEnding(ctx)
	defer release()
	r := g.quotas.acquire(waitCtx, pr.workspace.Name, pr.quotaLimit(), g.quotas.tokenWait(pr))
	if r.Verdict == quota.Granted {
		pr.token, pr.hasToken = r.Token, true
	}
	if r.Verdict == quota.NoIssuer && errors.Is(ctx.Err(), context.Canceled) {
		return g.answerExpired(ctx, pr)
	}
	if r.Verdict == quota.NoIssuer && pr.request.isEnding() {
		return refusalByShutdown()
	}
	return answerWithoutToken(r)
}

// quotaLimit returns the limit of a request's workspace, which is not nil.
func (pr *pendingRequest) quotaLimit() quota.Limit {
	return quota.Limit{RatePerSecond: pr.workspace.RatePerSecond, Burst: pr.workspace.Burst}
}

// answerWithoutToken returns the answer to a request that was not granted a token, and its
// outcome. It returns nil for a grant.
func answerWithoutToken(r quota.Resolution) (*Answer, string) {
	switch r.Verdict {
	case quota.Granted:
		return nil, ""
	case quota.UsedUp:
		return overQuota(r.RetryAfter), outcomeOverQuota
	}
	return refusalWithoutIssuer(r.RetryAfter)
}

// tokenWait returns the time for which a request may wait for a token.
func (q *Quotas) tokenWait(pr *pendingRequest) time.Duration {
	wait := max(time.Duration(tokenWaitFraction*float64(time.Until(pr.objective))), minTokenWait)
	if q.starting() {
		left := startTokenWaitFraction * float64(time.Until(pr.deadline))
		wait = max(wait, min(time.Duration(left), startTokenWait))
	}
	return wait
}

// starting reports whether this process is in its quota.StartPeriod.
func (q *Quotas) starting() bool { return q.now()-q.started < quota.StartPeriod }

// refusalWithoutIssuer returns the answer to a request whose quota cannot be checked, and
// its outcome.
func refusalWithoutIssuer(retryAfter time.Duration) (*Answer, string) {
	return refusal(cmp.Or(retryAfter, retryAfterNoIssuer), "the quota of the workspace cannot be checked now"), "no_issuer"
}

// needsToken reports whether the attempts of a request need tokens.
func (g *Gateway) needsToken(pr *pendingRequest) bool {
	return g.quotas != nil && pr.workspace != nil && pr.workspace.RatePerSecond > 0
}

// tryToken takes a token without waiting. It reports false if one is needed and lacking.
func (g *Gateway) tryToken(pr *pendingRequest) bool {
	if !g.needsToken(pr) || pr.hasToken {
		return true
	}
	pr.token, pr.hasToken = g.quotas.try(pr.workspace.Name)
	return pr.hasToken
}

// returnToken returns the token of an attempt that was not started.
func (g *Gateway) returnToken(pr *pendingRequest) {
	if pr.hasToken {
		g.quotas.untake(pr.token)
		pr.hasToken = false
	}
}

// renewToken replaces a token that has expired since it was taken: its issuer no longer
// counts it. It reports false if there is no other.
func (g *Gateway) renewToken(pr *pendingRequest) bool {
	if pr.hasToken && !pr.token.Valid(g.quotas.now()) {
		pr.hasToken = false
	}
	return g.tryToken(pr)
}

// keepToken lets the next attempt of a request use the token of one that did not run.
func (g *Gateway) keepToken(pr *pendingRequest, a *attempt) {
	if !g.needsToken(pr) || a.reply.mayHaveRun || !g.quotas.reuse(a.token) {
		return
	}
	if pr.hasToken {
		g.quotas.untake(a.token)
		return
	}
	pr.token, pr.hasToken = a.token, true
}

// overQuota returns a 429 answer. Like a refusal, it means that the request has not run.
func overQuota(retryAfter time.Duration) *Answer {
	a := failure(http.StatusTooManyRequests, "the quota of the workspace is used up")
	a.Header.Set("Retry-After", formatRetryAfter(retryAfter))
	return a
}

// acquire takes a token and waits for it up to a time.
func (q *Quotas) acquire(ctx context.Context, workspace string, l quota.Limit, wait time.Duration) quota.Resolution {
	q.mu.Lock()
	now := q.now()
	q.lastID++
	id := q.lastID
	r := q.client.Request(now, id, workspace, l, now+wait)
	if r.Verdict != quota.Waiting {
		q.arm(now)
		q.mu.Unlock()
		return r
	}
	resolved := make(chan quota.Resolution, 1)
	q.waiting[id] = resolved
	q.pumpAndUnlock()
	select {
	case r = <-resolved:
		return r
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	q.client.Cancel(q.now(), id)
	select {
	case r = <-resolved:
		if r.Verdict == quota.Granted {
			q.client.Untake(q.now(), r.Token)
		}
	default:
	}
	return quota.Resolution{ID: id, Verdict: quota.NoIssuer}
}

func (q *Quotas) try(workspace string) (quota.Token, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	defer q.arm(now)
	return q.client.TryTake(now, workspace)
}

// renew replaces a token that has expired. It reports false if there is no other.
func (q *Quotas) renew(workspace string, t *quota.Token) bool {
	if t.Valid(q.now()) {
		return true
	}
	other, ok := q.try(workspace)
	if ok {
		*t = other
	}
	return ok
}

func (q *Quotas) untake(t quota.Token) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.client.Untake(q.now(), t)
}

func (q *Quotas) reuse(t quota.Token) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.client.Reuse(q.now(), t)
}

// errNotIssuer is returned to a host that takes this one to be its region's issuer.
var errNotIssuer = errors.New("this host is not the issuer of its region")
