package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
	"github.com/galenabeam/galenabeam/internal/retry"
)

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
	rescue := false
	for {
		select {
		case <-ctx.Done():
			for _, a := range active {
				g.note(f, a, "running")
			}
			return g.expired(ctx, f)
		case <-hedge.C:
			second, ok := g.hedge(ctx, f, budget, rescue)
			if ok {
				start(second)
			} else if !rescue {
				rescue = true
				hedge.Reset(time.Duration((rescueFactor - hedgeFactor) * float64(t.expected())))
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

// abandon reports the attempts that are still running when they have ended. A
// server that did not answer in time counts as such; one whose attempt was
// cancelled does not.
func (g *Gateway) abandon(results chan *attempt, running int) {
	if running == 0 {
		return
	}
	go func() {
		for ; running > 0; running-- {
			a := <-results
			g.release(a)
			if a.reply.answer != nil && a.reply.answer.Done != nil {
				a.reply.answer.Done(false)
			}
		}
	}()
}

func (g *Gateway) acquire(ctx context.Context, f *flight) ticket {
	for range maxUnsent {
		t := g.desk.Acquire(ctx, AcquireParams{
			Service: f.service, Class: f.route.Name, Key: g.affinity(f),
			Host: g.cfg.Self.Name, Domain: g.cfg.Self.Domain,
			Priority: f.route.Rank, Bytes: max(f.request.Length, int64(len(f.request.Body))),
			Objective: ms(time.Until(f.objective)), Left: ms(time.Until(f.deadline)),
			Exclude: f.exclude, Allowed: f.route.Regions,
		})
		if t.Refused != "" {
			return t
		}
		// The dispatcher may know less than this host of a server that leaves or
		// of an evacuation.
		s := g.view.Load()
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
	view := g.view.Load()
	b := view.Backends[t.Server]
	f.exclude = append(f.exclude, t.Server)
	header := f.request.HTTP.Header.Clone()
	stripHopByHop(header)
	c := &call{backend: b, request: f.request, header: header, id: f.id, deadline: f.deadline, repeatable: f.route.Kind.Repeatable(), maxIdle: idleLimit(view, f.service)}
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

// idleLimit returns the idle connections that this host may hold to a server of
// a service: all hosts together hold at most half of what the server accepts.
func idleLimit(s *fleet.Snapshot, service string) int {
	limit := mostIdle
	if s.Table != nil {
		if most := s.Table.Services[service].MaxConnections; most > 0 {
			limit = min(limit, most/(2*max(len(s.Hosts), 1)))
		}
	}
	return max(limit, 1)
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
	region := ""
	if b := g.view.Load().Backends[a.ticket.Server]; b != nil {
		region = b.Region
	}
	g.cfg.Metrics.attempt(f.service, region, resultNames[a.reply.result], a.took)
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
	return time.Duration(hedgeFactor*float64(t.expected())) + hedgeBase
}

// hedge decides on a second attempt while the first one runs. It is made if it
// is likely to be in time or, as a rescue, before the deadline.
func (g *Gateway) hedge(ctx context.Context, f *flight, budget *retry.Budget, rescue bool) (ticket, bool) {
	if f.sent+1 >= f.route.MaxAttempts {
		return ticket{}, false
	}
	t := g.acquire(ctx, f)
	if t.Refused != "" {
		return t, false
	}
	left := time.Until(f.objective)
	if rescue {
		left = time.Until(f.deadline)
	}
	if t.expected() > left || rescue && t.Busy > rescueOccupancy || !g.takeBudget(f.service, budget) {
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
	return b.CanTake()
}

// again decides on another attempt after a failed one.
func (g *Gateway) again(ctx context.Context, f *flight, a *attempt, budget *retry.Budget) (ticket, bool) {
	if f.request.Rest != nil || a.reply.ran && !f.route.Kind.Repeatable() {
		return ticket{}, false
	}
	if f.sent >= f.route.MaxAttempts || f.unsent > maxUnsent {
		return ticket{}, false
	}
	if f.sent > 0 && !g.takeBudget(f.service, budget) {
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
	pause := retryShed
	if a.reply.result == dispatch.Shed && a.ticket.Wait == 0 {
		pause = retryShedFree
	}
	return refusal(max(t.RetryAfter, pause), "no backend server took the request"), "shed"
}

const (
	// retryShed is when to come back after backend servers refused a request.
	retryShed = 100 * time.Millisecond
	// retryShedFree is the same after a server refused although it had a free slot:
	// waiting does not help, and another one may take the request in time.
	retryShedFree = 20 * time.Millisecond
)
