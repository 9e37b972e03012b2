package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/time/rate"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/settings"
)

// caller is the authenticated user of a token.
type caller struct {
	token settings.Token
	// who is the audit identity; see Submission.
	who string
}

// account is an accepted token with its rate limiter.
type account struct {
	token   settings.Token
	limiter *rate.Limiter
}

// SetTokens replaces the accepted tokens and resets their rate limits. It may be
// called while requests are served.
func (a *API) SetTokens(tokens []settings.Token) {
	accounts := make([]account, 0, len(tokens))
	for _, t := range tokens {
		accounts = append(accounts, account{token: t, limiter: rate.NewLimiter(a.options.RequestsPerSecond, a.options.Burst)})
	}
	a.accounts.Store(&accounts)
}

// authenticate finds the token of the request. It compares all tokens, each in
// constant time, so that the response time reveals nothing about their values.
func (a *API) authenticate(r *http.Request) (*caller, *Problem) {
	scheme, secret, found := strings.Cut(r.Header.Get("Authorization"), " ")
	var match *account
	if found && strings.EqualFold(scheme, "Bearer") {
		sum := sha256.Sum256([]byte(secret))
		accounts := *a.accounts.Load()
		for i := range accounts {
			if subtle.ConstantTimeCompare(sum[:], accounts[i].token.Hash[:]) == 1 {
				match = &accounts[i]
			}
		}
	}
	if match == nil {
		if !a.unauthorized.Allow() {
			return nil, problem(CodeRateLimited, http.StatusTooManyRequests, "Too many requests without a valid token", "")
		}
		return nil, problem(CodeUnauthorized, http.StatusUnauthorized, "A valid token is required", "send the header Authorization: Bearer TOKEN")
	}
	if !match.limiter.Allow() {
		return nil, problem(CodeRateLimited, http.StatusTooManyRequests, "Too many requests", "token "+match.token.Name)
	}
	c := &caller{token: match.token, who: match.token.Name}
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		c.who += " (" + r.TLS.VerifiedChains[0][0].Subject.CommonName + ")"
	}
	return c, nil
}

// owns reports whether the caller may change what belongs to team.
func (c *caller) owns(team string) bool {
	return c.ownsAll() || slices.Contains(c.token.Teams, team)
}

func (c *caller) ownsAll() bool { return slices.Contains(c.token.Teams, settings.AllTeams) }

// authorizeChanges refuses changes of items that other teams own. A team owns
// its services, their backend servers and the drains of these servers. Moving an
// item to another team requires ownership of both teams.
func (c *caller) authorizeChanges(before, after *config.Config, changes []config.Change) *Problem {
	if c.ownsAll() {
		return nil
	}
	old, current := newOwnership(before), newOwnership(after)
	var foreign []string
	for _, change := range changes {
		if !c.ownsItem(old, change) || !c.ownsItem(current, change) {
			foreign = append(foreign, change.String())
		}
	}
	if len(foreign) == 0 {
		return nil
	}
	p := problem(CodeForeignTeam, http.StatusForbidden, "The change concerns items of other teams",
		"token "+c.token.Name+" may change the services of "+strings.Join(c.token.Teams, ", "))
	p.Problems = foreign[:min(len(foreign), 100)]
	return p
}

// ownership maps the names of services and backend servers to their teams.
type ownership struct {
	services map[string]string
	servers  map[string]string
}

func newOwnership(c *config.Config) ownership {
	o := ownership{services: make(map[string]string), servers: make(map[string]string)}
	for i := range c.Services {
		o.services[c.Services[i].Name] = c.Services[i].Team
	}
	for i := range c.BackendServers {
		o.servers[c.BackendServers[i].Name] = o.services[c.BackendServers[i].Service]
	}
	return o
}

// ownsItem reports whether the caller owns the changed item according to o. A
// service or backend server that is absent from o counts as owned, an item of
// another kind (except the drain of a backend server) never.
func (c *caller) ownsItem(o ownership, change config.Change) bool {
	_, name, _ := strings.Cut(change.Item, " ")
	teams := o.services
	switch change.Kind {
	case "service":
	case "backend-server":
		teams = o.servers
	case "drain":
		target, found := strings.CutPrefix(name, string(config.DrainBackendServer)+" ")
		if !found {
			return false
		}
		name, teams = target, o.servers
	default:
		return false
	}
	team, present := teams[name]
	return !present || c.owns(team)
}
