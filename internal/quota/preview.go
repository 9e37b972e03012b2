package quota

import "time"

// Preview is what Client.Request would decide now, and what follows if the request waits.
type Preview struct {
	// Now is the decision; Waiting means that Target is asked.
	Now Resolution
	// Wait is the time for which the request waits at most, Target the region whose issuer
	// is asked, "" if none is known that may be asked. Unanswered is the decision at the end
	// of the wait if no answer arrives. They are set only if the request waits.
	Wait       time.Duration
	Target     string
	Unanswered Resolution
	// SafeShare is set if Now or Unanswered grants the request from the safe share.
	SafeShare bool
	// IssuerSuspected is set if the issuer of the own region is not asked now, because it
	// failed to answer or answered that it is not the issuer.
	IssuerSuspected bool
}

// Preview returns the decision about a request that Request would get now. It runs the same
// code on a copy of the workspace's state, so it takes no token and promises no time.
// confirmed is as for SetConfirmed.
func (c *Client) Preview(now time.Duration, workspace string, l Limit, deadline, confirmed time.Duration) Preview {
	safe := *c.safe
	safe.last = map[string]time.Duration{}
	if last, ok := c.safe.last[workspace]; ok {
		safe.last[workspace] = last
	}
	safe.SetConfirmed(confirmed)
	copied := Client{region: c.region, regions: c.regions, cache: NewTokenCache(), safe: &safe, suspected: c.suspected, rotation: c.rotation, startUntil: c.startUntil}
	p := Preview{IssuerSuspected: c.isSuspected(now, c.region)}
	copied.SafeShareStarts = func(string) { p.SafeShare = true }
	if a := c.cache.accounts[workspace]; a != nil {
		account := *a
		account.loans = nil
		for _, loan := range a.loans {
			l := *loan
			account.loans = append(account.loans, &l)
		}
		copied.cache.accounts[workspace] = &account
	}
	p.Now = copied.Request(now, 0, workspace, l, deadline)
	if p.Now.Verdict != Waiting {
		return p
	}
	// Messages is called next, and first decides without an answer if it can.
	copied.resolve(now)
	if resolved := copied.Resolved(); len(resolved) > 0 {
		p.Now = resolved[0]
		return p
	}
	end := copied.waiters[0].deadline
	p.Wait, p.Target = end-now, copied.target(now)
	copied.resolve(end)
	p.Unanswered = copied.Resolved()[0]
	return p
}
