// Package edge serves callers: it answers look-ups, accepts requests, gets a
// slot for each one from the owner of its pool, sends it to the backend server
// and returns the whole answer with a typed outcome.
package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/adapter/backend"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/httpapi"
	"github.com/galenabeam/galenabeam/internal/ledger"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/view"
)

// Slots gets slots of this region's pools from their owners.
type Slots interface {
	// Acquire waits for a slot until ctx ends. A reply that is not granted is
	// certain: nothing was sent to a backend server.
	Acquire(ctx context.Context, a peer.Acquire) peer.AcquireReply
	// Release gives a slot back.
	Release(r peer.Release)
}

// Backends sends requests to backend servers.
type Backends interface {
	Do(ctx context.Context, r backend.Request) backend.Answer
}

// Router chooses the region that serves a request.
type Router interface {
	// Route returns the region, or a refusal when no region can help.
	Route(s *view.Snapshot, r RouteRequest) (region string, refusal *outcome.Outcome)
	// Result tells how an attempt in a region ended.
	Result(r RouteRequest, region string, o outcome.Outcome)
}

// RouteRequest is what a routing decision depends on.
type RouteRequest struct {
	Service, Rank, Origin string
	Left                  time.Duration
	// Forwarded requests are served here or refused, so that no request
	// crosses more than one inter-region link.
	Forwarded bool
}

// Config holds the fixed values of an Edge.
type Config struct {
	Self host.Info
	// LookupTTL is how long callers may use the answer to a look-up.
	LookupTTL time.Duration
	// IdentityWindow is the length of one window of request identities.
	IdentityWindow time.Duration
	// LedgerCapacity bounds the identities that are remembered.
	LedgerCapacity int
}

// Default values of Config.
const (
	DefaultLookupTTL      = 5 * time.Second
	DefaultIdentityWindow = time.Minute
	DefaultLedgerCapacity = 1 << 18
)

// clockSkew is how far the wall clock of another entry host may be ahead. Its
// answers to look-ups then name a window that has not begun here; the ledger's
// clock runs ahead by this time, so that it accepts such identities.
const clockSkew = 5 * time.Second

// answerTime is how long a caller may take to receive an answer that has left
// its backend server, or an answer of the entry host itself.
const answerTime = 10 * time.Second

// Edge serves callers. Create it with New; it is safe for concurrent use.
type Edge struct {
	cfg      Config
	views    *view.Publisher
	slots    Slots
	backends Backends
	router   Router
	peers    peer.Caller
	log      *logrus.Entry
	metrics  metrics.Registry
	start    time.Time

	mu        sync.Mutex
	ledger    *ledger.Ledger
	answers   map[ledger.ID]storedAnswer
	budgets   map[string]*retry.Budget
	latencies map[latencyKey]*retry.Latency
	held      map[peer.GrantKey]heldSlot
	owners    map[string]ownership
	next      uint64
	active    int
	leaving   bool
	refusing  bool
}

// New returns an Edge that serves callers with the configuration in views.
func New(cfg Config, views *view.Publisher, slots Slots, backends Backends, router Router, peers peer.Caller, log *logrus.Entry, reg metrics.Registry) *Edge {
	return &Edge{
		cfg: cfg, views: views, slots: slots, backends: backends, router: router, peers: peers,
		log: log, metrics: reg, start: time.Now().Add(-clockSkew),
		ledger:    ledger.New(cfg.Self.Incarnation, cfg.LedgerCapacity, cfg.IdentityWindow),
		answers:   map[ledger.ID]storedAnswer{},
		budgets:   map[string]*retry.Budget{},
		latencies: map[latencyKey]*retry.Latency{},
		held:      map[peer.GrantKey]heldSlot{},
		owners:    map[string]ownership{},
	}
}

// Handler returns the HTTP handler for callers. Requests for backend servers
// pass by the multiplexer, which would redirect paths such as "/a//b" instead
// of passing them on.
func (e *Edge) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpapi.PathLookup, e.serveLookup)
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		writeUntil(w, time.Now().Add(answerTime))
		if strings.HasPrefix(in.URL.EscapedPath(), httpapi.PathRun) {
			e.serveRun(w, in)
			return
		}
		mux.ServeHTTP(w, in)
	})
}

// writeUntil bounds the time for writing to a caller, so that one that does not
// read holds neither a slot nor the shutdown of the host. The bound stays with
// the connection until the next request on it sets another one.
func writeUntil(w http.ResponseWriter, t time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(t)
}

// now is the time of the ledger, on the monotonic clock.
func (e *Edge) now() time.Duration { return time.Since(e.start) }

// Window returns the present window of request identities.
func (e *Edge) Window() uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Window(e.now())
}

// Expire forgets what the ledger need not keep. The control goroutine calls
// it every few seconds.
func (e *Edge) Expire() {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Expire(now)
	for id, a := range e.answers {
		if now > a.until {
			delete(e.answers, id)
		}
	}
}

// Active returns the number of requests in progress.
func (e *Edge) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

// Leave starts the graceful shutdown: answers ask callers to close their
// connections. Requests are still served until the server is closed.
func (e *Edge) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Refuse makes new requests end as not run. It follows Leave once look-up
// answers that name this host have expired.
func (e *Edge) Refuse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = true
}

// leavingRetry is when a request that a leaving host refused may be sent to
// another host.
const leavingRetry = 10 * time.Millisecond

// checkLeaving refuses a request once the host takes no more.
func (e *Edge) checkLeaving() *outcome.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.refusing {
		return nil
	}
	o := outcome.Refuse(outcome.ReasonLeaving, leavingRetry)
	return &o
}

// enter counts a request in progress and tells whether the host is leaving.
func (e *Edge) enter() (leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active++
	return e.leaving
}

func (e *Edge) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}

func (e *Edge) count(name string) { metrics.GetOrRegisterCounter(name, e.metrics).Inc(1) }

// finish counts and writes an answer that the entry host makes itself.
func (e *Edge) finish(w http.ResponseWriter, r *request, o outcome.Outcome) {
	o = e.vouch(r, o)
	e.record(r, o)
	writeUntil(w, time.Now().Add(answerTime))
	h := w.Header()
	httpapi.SetOutcome(h, o)
	if r.idText != "" {
		h.Set(httpapi.HeaderRequestID, r.idText)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(httpapi.StatusOf(o))
	text := string(o.Kind) + ": " + string(o.Reason)
	if r.detail != "" {
		text += ": " + r.detail
	}
	_, _ = io.WriteString(w, text+"\n")
}

// record updates the counters and histograms of a finished request.
func (e *Edge) record(r *request, o outcome.Outcome) {
	service, rank := "none", "none"
	if r.service != nil {
		service = r.service.Name
	}
	if r.rank != nil {
		rank = r.rank.Name
	}
	e.count("requests;service=" + service + ";rank=" + rank + ";outcome=" + string(o.Kind) + ";reason=" + string(o.Reason))
	took := time.Since(r.arrived)
	if o.Kind == outcome.Done {
		metrics.GetOrRegisterHistogram("latency_us;service="+service+";rank="+rank, e.metrics,
			metrics.NewExpDecaySample(1028, 0.015)).Update(took.Microseconds())
	}
	if r.trace {
		e.log.WithFields(logrus.Fields{"request": r.idText, "service": service, "rank": rank, "origin": r.origin,
			"region": r.servedIn, "server": r.servedBy, "outcome": o.Kind, "reason": o.Reason, "took": took}).Info("request ended")
	}
}
