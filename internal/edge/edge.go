// Package edge is the HTTP front end of an entry host for callers, if galenabeamd
// runs without -platform. It answers lookups. For each request it acquires a slot
// from the owner of the pool and sends the request to the backend server, or forwards
// it to an entry host of another region, and returns the answer with a typed outcome.
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
	"github.com/galenabeam/galenabeam/internal/requesttarget"
	"github.com/galenabeam/galenabeam/internal/retry"
	"github.com/galenabeam/galenabeam/internal/view"
)

// Slots acquires slots of this region's pools from their owners. Its methods are
// called from many goroutines at once.
type Slots interface {
	// Acquire waits for a slot until ctx ends. If the answer is not granted,
	// nothing was sent to a backend server.
	Acquire(ctx context.Context, a peer.Acquire) peer.AcquireReply
	// Release gives a slot back. It does not wait for an owner in another process.
	Release(r peer.Release)
}

// Backends sends requests to backend servers.
type Backends interface {
	Do(ctx context.Context, r backend.Request) backend.Answer
}

// Router chooses the region that serves a request. Its methods are called from
// many goroutines at once and must not wait for other hosts.
type Router interface {
	// Route returns the region, or a refusal if the deadline has passed. It returns
	// the local region also if that lacks capacity and no other one is chosen.
	Route(s *view.Snapshot, r RouteRequest) (region string, refusal *outcome.Outcome)
	// Result records how an attempt in a region ended.
	Result(r RouteRequest, region string, o outcome.Outcome)
}

// RouteRequest holds the properties of a request that routing depends on.
type RouteRequest struct {
	Service, Rank, Origin string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Forwarded is set if another entry host sent the request. It is then served
	// locally or refused, so that it crosses at most one inter-region link.
	Forwarded bool
}

// Config holds the settings of an Edge. All fields must be set; New applies no
// defaults.
type Config struct {
	Self host.Info
	// LookupTTL is the time for which callers may use the answer to a lookup.
	LookupTTL time.Duration
	// IdentityWindow is the length of one window of request identities.
	IdentityWindow time.Duration
	// LedgerCapacity is the maximum number of identities in the ledger. Beyond it,
	// new non-idempotent requests are refused.
	LedgerCapacity int
}

// Default settings of an Edge. DefaultIdentityWindow equals ledger.DefaultWindow.
const (
	DefaultLookupTTL      = 5 * time.Second
	DefaultIdentityWindow = time.Minute
	DefaultLedgerCapacity = 1 << 18
)

// maxClockSkew bounds how far the wall clock of another entry host may be ahead.
// Its lookup answers then name a window that has not begun here. The ledger's clock
// is ahead by this time, so that it accepts such identities.
const maxClockSkew = 5 * time.Second

// answerTimeout bounds the time for sending a caller an answer that is not
// streamed.
const answerTimeout = 10 * time.Second

// Edge serves callers. Create it with New; it is safe for concurrent use.
type Edge struct {
	cfg         Config
	views       *view.Publisher
	slots       Slots
	backends    Backends
	router      Router
	peers       peer.Client
	log         *logrus.Entry
	metrics     metrics.Registry
	ledgerStart time.Time // origin of the ledger's clock

	mu            sync.Mutex // guards the fields below
	ledger        *ledger.Ledger
	storedAnswers map[ledger.ID]storedAnswer
	budgets       map[string]*retry.Budget // by service
	latencies     map[latencyKey]*retry.Latency
	heldSlots     map[peer.GrantKey]heldSlot
	reports       map[string]reportState // by service
	lastSequence  uint64                 // of the grant keys
	inFlight      int
	leaving       bool
	refusing      bool
}

// New returns an Edge that serves callers with the configuration in views. It
// panics unless IdentityWindow and LedgerCapacity are positive.
func New(cfg Config, views *view.Publisher, slots Slots, backends Backends, router Router, peers peer.Client, log *logrus.Entry, reg metrics.Registry) *Edge {
	return &Edge{
		cfg: cfg, views: views, slots: slots, backends: backends, router: router, peers: peers,
		log: log, metrics: reg, ledgerStart: time.Now().Add(-maxClockSkew),
		ledger:        ledger.New(cfg.Self.Incarnation, cfg.LedgerCapacity, cfg.IdentityWindow),
		storedAnswers: map[ledger.ID]storedAnswer{},
		budgets:       map[string]*retry.Budget{},
		latencies:     map[latencyKey]*retry.Latency{},
		heldSlots:     map[peer.GrantKey]heldSlot{},
		reports:       map[string]reportState{},
	}
}

// Handler returns the HTTP handler for callers. Requests for backend servers
// bypass the multiplexer, which would redirect paths such as "/a//b".
func (e *Edge) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpapi.PathLookup, e.serveLookup)
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		setWriteDeadline(w, time.Now().Add(answerTimeout))
		if strings.HasPrefix(requesttarget.Parse(in.RequestURI).Path, httpapi.PathRun) {
			e.serveRun(w, in)
			return
		}
		mux.ServeHTTP(w, in)
	})
}

// setWriteDeadline sets the deadline for writing to a caller, so that one that
// does not read cannot block a slot or the shutdown of the host. It applies to
// the connection until the next request on it sets another one.
func setWriteDeadline(w http.ResponseWriter, t time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(t)
}

// now returns the ledger's time, which is monotonic.
func (e *Edge) now() time.Duration { return time.Since(e.ledgerStart) }

// Window returns the number of the current window of request identities.
func (e *Edge) Window() uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Window(e.now())
}

// Expire removes expired records of the ledger and expired stored answers. The
// control goroutine calls it every few seconds.
func (e *Edge) Expire() {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Expire(now)
	for id, a := range e.storedAnswers {
		if now > a.expiresAt {
			delete(e.storedAnswers, id)
		}
	}
}

// InFlight returns the number of requests in flight.
func (e *Edge) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Leave makes the answers to requests that begin from now on ask callers to close
// their connections. Requests are served until Refuse is called. Lookup answers
// name the host until control.Control.Leave has announced that it is leaving.
func (e *Edge) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Refuse starts refusing new requests as not run. It is called some time after
// Leave, so that lookup answers that name this host have expired, or at once in a
// forced shutdown.
func (e *Edge) Refuse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = true
}

// leavingRetryAfter is the retry-after of a request that a leaving host refuses;
// another host may serve it.
const leavingRetryAfter = 10 * time.Millisecond

// checkRefusing returns a refusal if Refuse has been called, otherwise nil.
func (e *Edge) checkRefusing() *outcome.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.refusing {
		return nil
	}
	o := outcome.Refuse(outcome.ReasonLeaving, leavingRetryAfter)
	return &o
}

// beginRequest counts a request in flight and reports whether the host is
// leaving.
func (e *Edge) beginRequest() (leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
	return e.leaving
}

func (e *Edge) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

func (e *Edge) count(name string) { metrics.GetOrRegisterCounter(name, e.metrics).Inc(1) }

// respond writes an answer that the entry host generates itself, and records
// its metrics. A refusal becomes unknown if sealRefusal cannot confirm it.
func (e *Edge) respond(w http.ResponseWriter, r *request, o outcome.Outcome) {
	o = e.sealRefusal(r, o)
	e.recordMetrics(r, o)
	setWriteDeadline(w, time.Now().Add(answerTimeout))
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

// recordMetrics updates the metrics for a finished request and logs the request if
// it has the trace header.
func (e *Edge) recordMetrics(r *request, o outcome.Outcome) {
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
