// Package routetable holds the routes of the service configuration and finds the
// route of a request. A Table is immutable: request goroutines read it without locks.
package routetable

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/galenabeam/galenabeam/internal/workspace"
)

// Kind is the kind of the requests of a route.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload requests carry large bodies and run at most once.
	Upload
)

// Repeatable reports whether a request of this kind may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent }

// WeightedService is one service to which a route sends requests.
type WeightedService struct {
	Service string
	// Weight, divided by the sum of the weights of the route's services, is the
	// share of the requests that the service gets.
	Weight float64
}

// Route determines how requests for a host name and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Services lists the services that get the requests, each by its weight.
	Services []WeightedService
	// Timeout bounds the time that a caller waits for an answer. 0, or more than the
	// 10 s that bound every request, has no effect.
	Timeout time.Duration
	// Objective is the latency up to which an answer has its full worth, the users'
	// target; 0 means the time until the deadline.
	Objective time.Duration
	// MaxAttempts bounds the backend servers to which one request is sent. New raises a
	// value below 1 to 1.
	MaxAttempts int
	// The rank of the requests; 0 is the most urgent. A workspace's rank replaces it.
	Rank int
	// Regions lists the regions that may serve the route; empty allows all.
	Regions []string
	// Affinity is set if a backend server answers faster when it has recently
	// handled a request about the same object.
	Affinity bool
	// Public is set if requests need no key. It has no effect without workspaces.
	Public bool
}

// AllowsRegion reports whether a list of allowed regions contains the region or is
// empty, which allows all.
func AllowsRegion(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// PickService returns a service by the weights of Services, or "" if none is
// positive. u is a uniform random number in [0, 1).
func (r *Route) PickService(u float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Services {
		if u < s.Weight {
			return s.Service
		}
		u -= s.Weight
	}
	for i := len(r.Services) - 1; i >= 0; i-- {
		if r.Services[i].Weight > 0 {
			return r.Services[i].Service
		}
	}
	return ""
}

// Service describes how the backend servers of a service behave.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a backend server accepts; 0
	// means not known. Gateways use it to limit idle connections.
	MaxConnections int
	// ColdStart is how long a backend server that serves a request again after connection
	// failures or timeouts counts as cold. Otherwise its registration gives the time.
	ColdStart time.Duration
	// ColdRate is the rate, in requests per second, from which dispatch.Limits gives
	// the limit of a cold backend server. If ColdRate is 0 or ColdOverage*ColdRate is at
	// most 3-ColdSlack, cold servers get no requests.
	ColdRate float64
}

// Limits bound a request's header and announced body length, in bytes, and the time
// that a caller's connection may take to send a header or stay idle.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one revision of the configuration; Version is its number, which the
// operator gives.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// Workspaces are the customers and their keys. If it is nil, requests need no key and
	// belong to no workspace. It is set before the table is shared.
	Workspaces *workspace.Set
	hosts      map[string]*hostRoutes // by lower-case name
	routeCount int
}

// UsesAffinity reports whether a route with Affinity sends requests to a service.
func (t *Table) UsesAffinity(service string) bool {
	for _, h := range t.hosts {
		for _, r := range h.byPrefix {
			if r.Affinity && slices.ContainsFunc(r.Services, func(w WeightedService) bool { return w.Service == service }) {
				return true
			}
		}
	}
	return false
}

// hostRoutes are the routes of a host name.
type hostRoutes struct {
	byPrefix  map[string]*Route // by normalized prefix
	maxPrefix int               // length in bytes of the longest of them
}

// Errors that New wraps.
var (
	ErrNoService      = errors.New("route has no service with a positive weight")
	ErrUnknownService = errors.New("route names an unknown service")
	ErrPrefix         = errors.New("path prefix must begin and end with a slash")
)

// New returns the table of a configuration. It takes over routes and may change
// them. The error wraps ErrNoService or ErrUnknownService for a route without a
// usable service, or ErrPrefix for a malformed prefix.
func New(version uint64, limits Limits, services []Service, routes []Route) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, hosts: map[string]*hostRoutes{}, routeCount: len(routes)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := t.check(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		t.add(r)
	}
	return t, nil
}

// add indexes a route. The first of several with the same host name and prefix counts.
func (t *Table) add(r *Route) {
	name, prefix := strings.ToLower(r.Host), normalizePath(r.Prefix)
	h := t.hosts[name]
	if h == nil {
		h = &hostRoutes{byPrefix: map[string]*Route{}}
		t.hosts[name] = h
	}
	if h.byPrefix[prefix] == nil {
		h.byPrefix[prefix] = r
	}
	h.maxPrefix = max(h.maxPrefix, len(prefix))
}

// check validates a route and sets its MaxAttempts to at least 1.
func (t *Table) check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("%w: %q", ErrPrefix, r.Prefix)
	}
	usable := false
	for _, s := range r.Services {
		if _, ok := t.Services[s.Service]; !ok {
			return fmt.Errorf("%w: %q", ErrUnknownService, s.Service)
		}
		usable = usable || s.Weight > 0
	}
	if !usable {
		return ErrNoService
	}
	if r.MaxAttempts < 1 {
		r.MaxAttempts = 1
	}
	return nil
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.routeCount }

// Lookup returns the route of a host name with the longest prefix of the path, or
// nil if there is none. host may include a port and is matched without regard to
// case; path is the path as the caller sent it, with its percent-encoding.
func (t *Table) Lookup(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	h := t.hosts[strings.ToLower(host)]
	if h == nil {
		return nil
	}
	path = normalizePath(path)
	path = path[:min(len(path), h.maxPrefix)]
	for {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil
		}
		if r := h.byPrefix[path[:end+1]]; r != nil {
			return r
		}
		path = path[:end]
	}
}

// normalizePath decodes the percent-encoded bytes of a path that mean the same as the
// bytes themselves: letters, digits, "-._~" (RFC 3986, section 6.2.2.2) and those beyond
// ASCII. An encoded slash remains: it is not a slash.
func normalizePath(path string) string {
	if strings.IndexByte(path, '%') < 0 {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] == '%' && i+2 < len(path) {
			if c, err := strconv.ParseUint(path[i+1:i+3], 16, 8); err == nil {
				if isUnreserved(byte(c)) || c >= utf8.RuneSelf {
					b.WriteByte(byte(c))
				} else {
					b.WriteString(strings.ToUpper(path[i : i+3]))
				}
				i += 2
				continue
			}
		}
		b.WriteByte(path[i])
	}
	return b.String()
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
