package quota

import (
	"cmp"
	"slices"
	"time"
)

// Wants returns the message to a region's issuer that is due every FetchPeriod: what to
// fetch ahead and what to return. Reports alone cause no message, because loans expire
// without them. It also forgets workspaces without demand.
func (c *TokenCache) Wants(now time.Duration, region string) []Want {
	var wants []Want
	for name, a := range c.accounts {
		a.dropExpired(now)
		if a.waiting == 0 && a.requested == 0 && len(a.loans) == 0 && now-a.lastUsed > accountIdle {
			delete(c.accounts, name)
			continue
		}
		a.count(now)
		if want := c.want(now, name, a, region); want.Tokens > 0 || len(want.Uses) > 0 {
			wants = append(wants, want)
		}
	}
	return sorted(wants)
}

// UrgentWants returns the message for the requests that wait for tokens, if there are any.
// While nobody is known to have tokens of a workspace, its requests do not ask again.
func (c *TokenCache) UrgentWants(now time.Duration, region string) []Want {
	var wants []Want
	for name, a := range c.accounts {
		a.dropExpired(now)
		if a.missing() > 0 && now >= a.usedUpUntil {
			a.count(now)
			wants = append(wants, c.want(now, name, a, region))
		}
	}
	return sorted(wants)
}

// count updates the estimate of the demand.
func (a *account) count(now time.Duration) {
	a.demand.add(now, a.uncounted)
	a.uncounted = 0
}

// want returns the message part of a workspace, which is sent if it wants or returns
// tokens. Counts since the last message are only reset then.
func (c *TokenCache) want(now time.Duration, name string, a *account, region string) Want {
	want := Want{Workspace: name}
	a.fill(now, &want)
	returned := c.returns(now, a, region)
	if want.Tokens == 0 && !returned {
		return want
	}
	want.Demand, want.Refused = a.taken, a.refused
	a.taken, a.refused = 0, 0
	want.Uses = c.uses(a, region)
	return want
}

// ElsewhereWants returns what waiting requests lack of workspaces for which the region's
// issuer has no tokens, but others may.
func (c *TokenCache) ElsewhereWants(now time.Duration) []Want {
	var wants []Want
	for name, a := range c.accounts {
		if a.waiting == 0 || !a.elsewhere {
			continue
		}
		a.elsewhere = false
		a.dropExpired(now)
		if missing := a.missing(); missing > 0 {
			a.requested += missing
			wants = append(wants, Want{Workspace: name, Tokens: missing, Urgent: missing, Repeated: min(a.reported, missing)})
		}
	}
	return sorted(wants)
}

// missing returns the number of requests for whose tokens nobody was asked.
func (a *account) missing() int { return a.waiting - a.left() - a.requested }

// MissingWants returns what waiting requests lack, without what was requested.
func (c *TokenCache) MissingWants(now time.Duration) []Want {
	var wants []Want
	for name, a := range c.accounts {
		a.dropExpired(now)
		if missing := a.waiting - a.left(); missing > 0 {
			a.requested += missing
			wants = append(wants, Want{Workspace: name, Tokens: missing, Urgent: missing, Repeated: min(a.reported, missing)})
		}
	}
	return sorted(wants)
}

// fill sets the tokens of a want and counts them as requested.
func (a *account) fill(now time.Duration, want *Want) {
	have := a.requested
	for _, l := range a.loans {
		if l.expires > now+renewTime-FetchPeriod {
			have += l.left
		}
	}
	want.Urgent = max(a.waiting-have, 0)
	want.Repeated = min(a.reported, want.Urgent)
	want.Tokens = max(a.waiting+a.expectedUses(now, aheadTime)-have, 0)
	a.requested += want.Tokens
}

// returns marks the tokens of a region's issuer to return: those that are probably not
// used before they expire, and those beyond the demand of twice aheadTime. It reports
// whether there are any.
func (c *TokenCache) returns(now time.Duration, a *account, region string) bool {
	any := false
	keep := a.waiting + a.expectedUses(now, 2*aheadTime)
	for _, l := range a.loans {
		if !c.reportable(l, region) {
			keep -= l.left
			continue
		}
		kept := max(keep, 0)
		if l.expires-now < renewTime {
			kept = min(kept, a.waiting+a.expectedUses(now, l.expires-now))
		}
		returned := max(l.left-kept, 0)
		l.left -= returned
		l.returned += returned
		keep -= l.left
		any = any || returned > 0
	}
	return any
}

// reportable reports whether a loan is of the current term of a region's issuer.
func (c *TokenCache) reportable(l *held, region string) bool {
	return l.region == region && l.term == c.terms[region]
}

// uses returns the report on the loans of a region's issuer.
func (c *TokenCache) uses(a *account, region string) []Use {
	var uses []Use
	for _, l := range a.loans {
		if !c.reportable(l, region) || l.spent == 0 && l.returned == 0 {
			continue
		}
		uses = append(uses, Use{Loan: l.id, Spent: l.spent, Returned: l.returned})
		l.spent, l.returned = 0, 0
	}
	return uses
}

// sorted sorts wants by workspace, so that the same events have the same results.
func sorted(wants []Want) []Want {
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return wants
}
