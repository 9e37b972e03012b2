package admin

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/galenabeam/galenabeam/internal/settings"
)

// Headers of the API.
const (
	// HeaderOperation carries the operation identity of a change, chosen by the
	// client. A request repeated with it has no further effect.
	HeaderOperation = "Galenabeam-Operation"
	// HeaderRevision carries the number of the revision in the answer.
	HeaderRevision = "Galenabeam-Revision"
)

// maxSmallBodyBytes bounds request bodies that are not configurations, in bytes.
const maxSmallBodyBytes = 64 << 10

// Requests without a valid token are limited over all clients together.
const (
	// unauthorizedPerSecond is the sustained rate of such requests.
	unauthorizedPerSecond = 5
	// unauthorizedBurst is the number of such requests accepted at once.
	unauthorizedBurst = 50
)

// Options configure an API. Zero values stand for the defaults.
type Options struct {
	// MaxConfigBytes bounds the body of a submission. Default 64 MiB, less than the
	// limits of packages config and confsync.
	MaxConfigBytes int64
	// RequestsPerSecond and Burst bound the requests per token. Default 50 and 100.
	RequestsPerSecond rate.Limit
	Burst             int
	// HeaderTimeout bounds the time to read a header. Default
	// settings.DefaultHeaderTimeout.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to read a request. Default 60 s.
	BodyTimeout time.Duration
	// MaxHeaderBytes bounds a header. Default settings.DefaultMaxHeaderBytes.
	MaxHeaderBytes int
	// InternalError, if set, gets the request's path and each error whose text is
	// withheld from the client.
	InternalError func(path string, err error)
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxConfigBytes, 64<<20)
	setDefault(&o.RequestsPerSecond, 50)
	setDefault(&o.Burst, 100)
	setDefault(&o.HeaderTimeout, settings.DefaultHeaderTimeout)
	setDefault(&o.BodyTimeout, 60*time.Second)
	setDefault(&o.MaxHeaderBytes, settings.DefaultMaxHeaderBytes)
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// API serves the administration API.
type API struct {
	configurations Configurations
	state          State
	registry       metrics.Registry
	options        Options
	accounts       atomic.Pointer[[]account]
	unauthorized   *rate.Limiter // requests without a valid token
	mux            *http.ServeMux
}

// New returns an API that serves configurations and state. It counts requests in
// registry and serves all metrics of registry.
func New(configurations Configurations, state State, registry metrics.Registry, tokens []settings.Token, options Options) *API {
	options.setDefaults()
	a := &API{
		configurations: configurations,
		state:          state,
		registry:       registry,
		options:        options,
		unauthorized:   rate.NewLimiter(unauthorizedPerSecond, unauthorizedBurst),
		mux:            http.NewServeMux(),
	}
	a.SetTokens(tokens)
	a.routes()
	return a
}

func (a *API) routes() {
	a.handle("GET /v1/config", settings.RoleRead, a.readConfig)
	a.handle("GET /v1/config/text", settings.RoleRead, a.readText)
	a.handle("POST /v1/config", settings.RoleConfigure, a.submit)
	a.handle("POST /v1/config/validate", settings.RoleRead, a.validate)
	a.handle("POST /v1/config/diff", settings.RoleRead, a.diff)
	a.handle("GET /v1/drains", settings.RoleRead, a.listDrains)
	a.handle("POST /v1/drains", settings.RoleOperate, a.createDrain)
	a.handle("DELETE /v1/drains/{kind}/{target...}", settings.RoleOperate, a.abortDrain)
	a.handle("GET /v1/fleet", settings.RoleRead, a.fleet)
	a.handle("GET /v1/caps", settings.RoleRead, a.caps)
	a.handle("GET /v1/queues", settings.RoleRead, a.queues)
	a.handle("GET /v1/state", settings.RoleRead, a.dump)
	a.handle("GET /v1/metrics", settings.RoleRead, a.metrics)
	a.handle("/", settings.RoleRead, func(http.ResponseWriter, *http.Request, *caller) error {
		return problem(CodeNotFound, http.StatusNotFound, "No such path or method", "see internal/adapter/admin/README.md")
	})
}

// handler answers an authorized request, or returns an error that asProblem
// translates.
type handler func(w http.ResponseWriter, r *http.Request, c *caller) error

func (a *API) handle(pattern string, role settings.Role, h handler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		c, refused := a.authenticate(r)
		if refused == nil && !c.token.Role.Includes(role) {
			refused = problem(CodeForbidden, http.StatusForbidden, "The token's role does not allow this",
				"token "+c.token.Name+" has role "+string(c.token.Role)+"; want "+string(role))
		}
		if refused != nil {
			a.refuse(w, r, refused)
			return
		}
		if err := h(w, r, c); err != nil {
			p := asProblem(err)
			if p.Status == http.StatusInternalServerError && a.options.InternalError != nil {
				a.options.InternalError(r.URL.Path, err)
			}
			a.refuse(w, r, p)
		}
	})
}

func (a *API) refuse(w http.ResponseWriter, r *http.Request, p *Problem) {
	code := p.Type[len(typePrefix):]
	metrics.GetOrRegisterCounter("admin.refused;code="+code, a.registry).Inc(1)
	writeProblem(w, r, p)
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	metrics.GetOrRegisterCounter("admin.requests", a.registry).Inc(1)
	a.mux.ServeHTTP(w, r)
}

// Server returns an HTTP server for the API with the limits of Options. The caller
// sets TLSConfig and opens the listener.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: a.options.HeaderTimeout,
		ReadTimeout:       a.options.BodyTimeout,
		WriteTimeout:      2 * a.options.BodyTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    a.options.MaxHeaderBytes,
	}
}

// readBody returns the body of a request, or a problem if it exceeds limit.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return nil, badRequest("the body ended early")
	}
	return body, err
}
