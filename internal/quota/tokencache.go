package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// FetchPeriod is the time between two messages of a host that fetch tokens ahead.
	FetchPeriod = 100 * time.Millisecond
	// aheadTime is the time for whose demand tokens are fetched: FetchPeriod and a round
	// trip within the region.
	aheadTime = FetchPeriod + 30*time.Millisecond
	// renewTime is the validity below which tokens that are probably not needed before
	// they expire are returned.
	renewTime = FetchPeriod + 50*time.Millisecond
	// usedUpTime is the time for which requests are refused without asking again after
	// the issuer reported that the quota is used up.
	usedUpTime = FetchPeriod
	// ownEmptyTime is the time after the own issuer's answer that it lacks tokens within
	// which the same answer of another region means that the quota is used up. Requests
	// that waited for both wait no longer.
	ownEmptyTime = MaxWait
	// accountIdle is the time after the last request for which a workspace is kept.
	accountIdle = 2 * time.Second
)

// Token is the right to one attempt. It is spent, unless Untake or Reuse takes it back.
type Token struct {
	loan    *held
	account *account
}

// Valid reports whether an attempt may start with the token.
func (t Token) Valid(now time.Duration) bool {
	return t.loan == nil || now < t.loan.expires
}

// held is a loan as its holder records it.
type held struct {
	region string
	term   uint64
	id     uint64
	left   int
	// spent and returned count tokens since the last report.
	spent, returned int
	expires         time.Duration
}

// account is the state of one workspace at a host.
type account struct {
	loans  []*held // by expiry
	demand demand
	// taken and refused count requests since the last message, uncounted those since the
	// last update of demand.
	taken, refused, uncounted int
	// waiting is the number of requests that wait for a token, requested the number of
	// tokens in messages without an answer.
	waiting, requested int
	// reported is the number of waiting requests of which an issuer that has just started
	// knows: it lacked tokens for them before.
	reported    int
	lastUsed    time.Duration
	usedUpUntil time.Duration
	// ownEmptyUntil is ownEmptyTime after the own issuer answered that it lacks tokens, 0
	// if its last answer brought some. followedUpUntil replaces it once another region
	// lacks them too and the next one was asked.
	ownEmptyUntil, followedUpUntil time.Duration
	elsewhere, fresh               bool // see Loan
	retryAt                        time.Duration
	retryStep                      time.Duration
}

// TokenCache holds the tokens of one host. Every token is used until holderFraction of its
// validity has passed since the message that asked for it was sent, so never after its
// issuer has stopped counting it.
type TokenCache struct {
	accounts map[string]*account
	terms    map[string]uint64 // latest known, by region
}

// NewTokenCache returns a cache without tokens.
func NewTokenCache() *TokenCache {
	return &TokenCache{accounts: map[string]*account{}, terms: map[string]uint64{}}
}

func (c *TokenCache) account(now time.Duration, workspace string) *account {
	a := c.accounts[workspace]
	if a == nil {
		a = &account{}
		c.accounts[workspace] = a
	}
	a.lastUsed = now
	return a
}

// Take spends a token of a workspace for an attempt that needs one, and counts the demand.
func (c *TokenCache) Take(now time.Duration, workspace string) (Token, bool) {
	a := c.account(now, workspace)
	a.taken++
	a.uncounted++
	return a.take(now)
}

// TakeAgain is Take for an attempt whose demand is counted.
func (c *TokenCache) TakeAgain(now time.Duration, workspace string) (Token, bool) {
	return c.account(now, workspace).take(now)
}

func (a *account) take(now time.Duration) (Token, bool) {
	a.dropExpired(now)
	for _, l := range a.loans {
		if l.left > 0 {
			l.left--
			l.spent++
			return Token{loan: l, account: a}, true
		}
	}
	return Token{}, false
}

// Untake returns the token of an attempt that did not run. If it was reported as spent or
// has expired, it is lost.
func (c *TokenCache) Untake(now time.Duration, t Token) {
	if t.loan != nil && t.loan.spent > 0 && now < t.loan.expires {
		t.loan.spent--
		t.loan.left++
	}
}

// Reuse reports whether the token of an attempt that did not run may be spent again: it
// is valid and its issuer does not take it to be spent.
func (c *TokenCache) Reuse(now time.Duration, t Token) bool {
	return t.loan == nil || t.loan.spent > 0 && now < t.loan.expires
}

// Wait changes the number of requests that wait for a token of a workspace.
func (c *TokenCache) Wait(now time.Duration, workspace string, by int) {
	a := c.account(now, workspace)
	a.waiting += by
	a.reported = min(a.reported, a.waiting)
}

// Waiting reports whether requests wait for tokens.
func (c *TokenCache) Waiting() bool {
	for _, a := range c.accounts {
		if a.waiting > 0 {
			return true
		}
	}
	return false
}

// Active reports whether the cache may have something to fetch, report or return.
func (c *TokenCache) Active() bool { return len(c.accounts) > 0 }

// Left returns the tokens of a workspace.
func (c *TokenCache) Left(now time.Duration, workspace string) int {
	a := c.accounts[workspace]
	if a == nil {
		return 0
	}
	a.dropExpired(now)
	return a.left()
}

func (a *account) left() int {
	n := 0
	for _, l := range a.loans {
		n += l.left
	}
	return n
}

func (a *account) dropExpired(now time.Duration) {
	if len(a.loans) > 0 && a.loans[0].expires <= now {
		a.loans = slices.DeleteFunc(a.loans, func(l *held) bool { return l.expires <= now })
	}
}

// MayGetTokens reports whether no issuer has said that the quota of a workspace is used up.
func (c *TokenCache) MayGetTokens(now time.Duration, workspace string) bool {
	a := c.accounts[workspace]
	return a == nil || now >= a.usedUpUntil || a.fresh
}

// UsedUp returns the verdict about a request without a token if the issuer said that it has
// none: UsedUp, or NoIssuer if that one has just started. Otherwise the verdict is Waiting.
// It counts the request. The k-th such request gets the time at which the k-th token that
// is not yet promised is minted.
func (c *TokenCache) UsedUp(now time.Duration, workspace string) (Verdict, time.Duration) {
	a := c.accounts[workspace]
	if a == nil || now >= a.usedUpUntil {
		return Waiting, 0
	}
	verdict := UsedUp
	if a.fresh {
		verdict = NoIssuer
	}
	a.refused++
	retryAfter := a.retryAt - now
	if retryAfter <= 0 || retryAfter > retryHorizon {
		// All times up to the horizon are given out.
		a.retryAt = now + a.retryStep
		retryAfter = a.retryStep
	}
	a.retryAt += a.retryStep
	return verdict, min(max(retryAfter, time.Millisecond), retryHorizon)
}

// Receive adds the loans of a region's issuer, in answer to a request sent at sentAt. own
// is set unless another region was asked for what the own one lacked.
func (c *TokenCache) Receive(now, sentAt time.Duration, region string, own bool, r LendRequest, reply LendReply) {
	c.forget(r)
	c.terms[region] = reply.Term
	for _, l := range reply.Loans {
		a := c.accounts[l.Workspace]
		if a == nil {
			continue
		}
		if expires := sentAt + holderTime(l.valid()); l.Tokens > 0 && expires > now {
			a.add(&held{region: region, term: reply.Term, id: l.ID, left: l.Tokens, expires: expires})
		}
		if own {
			a.receiveOwn(now, l)
		}
	}
}

// receiveOwn records what an answer of the own issuer says about the quota.
func (a *account) receiveOwn(now time.Duration, l Loan) {
	a.followedUpUntil = 0
	if !l.Empty {
		a.ownEmptyUntil = 0
		return
	}
	a.fresh, a.ownEmptyUntil, a.reported = l.Fresh, now+ownEmptyTime, a.waiting
	a.retryAt, a.retryStep = now+time.Duration(l.RetryMillis)*time.Millisecond, time.Duration(l.StepMicros)*time.Microsecond
	if a.elsewhere = l.Elsewhere; !a.elsewhere {
		a.usedUpUntil = now + usedUpTime
	}
}

// SetUsedUp records that no other region has tokens either. It has no effect on workspaces
// for which the own issuer has not answered that it lacks them: it may only be slow.
func (c *TokenCache) SetUsedUp(now time.Duration, wants []Want) {
	for _, want := range wants {
		if a := c.accounts[want.Workspace]; a != nil && now < a.ownEmptyUntil {
			a.usedUpUntil = now + usedUpTime
		}
	}
}

// FollowUp returns what to ask the next other region for after one lacks tokens. It
// reports false if nothing is missing, or if the own issuer may still have tokens.
func (c *TokenCache) FollowUp(now time.Duration, workspace string) (Want, bool) {
	a := c.accounts[workspace]
	if a == nil || now >= a.ownEmptyUntil {
		return Want{}, false
	}
	a.dropExpired(now)
	missing := a.missing()
	if missing <= 0 {
		return Want{}, false
	}
	a.requested += missing
	a.followedUpUntil = a.ownEmptyUntil
	return Want{Workspace: workspace, Tokens: missing, Urgent: missing, Repeated: min(a.reported, missing)}, true
}

// EndFollowUp records that requests cannot wait for the answer to a FollowUp: the quota is
// then used up as far as is known.
func (c *TokenCache) EndFollowUp(now time.Duration, workspace string) {
	if a := c.accounts[workspace]; a != nil && now < a.followedUpUntil {
		a.usedUpUntil = now + usedUpTime
	}
}

// Failed records that a request was not answered. The tokens that it returned are lost.
func (c *TokenCache) Failed(r LendRequest) { c.forget(r) }

func (c *TokenCache) forget(r LendRequest) {
	for _, want := range r.Wants {
		if a := c.accounts[want.Workspace]; a != nil {
			a.requested = max(a.requested-want.Tokens, 0)
		}
	}
}

func (a *account) add(l *held) {
	at, _ := slices.BinarySearchFunc(a.loans, l, func(x, y *held) int { return int(x.expires - y.expires) })
	a.loans = slices.Insert(a.loans, at, l)
}

// expectedUses returns the number of tokens that are probably needed within a time.
func (a *account) expectedUses(now, within time.Duration) int {
	return int(math.Round(a.demand.expect(now, within)))
}
