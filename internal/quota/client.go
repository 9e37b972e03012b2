package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxWait bounds the time for which a request waits for a token.
	MaxWait = 150 * time.Millisecond
	// StartPeriod is the time after the start of a process for which requests wait longer.
	// After all hosts have restarted, it takes up to about 1.2 s until the issuers of remote
	// regions lend, and until then almost every request is refused.
	StartPeriod = 2 * time.Second
	// earlyElsewhere is the time without an answer after which waiting requests also ask
	// another region: with a round trip of 110 ms, the answer comes within MaxWait.
	earlyElsewhere = 30 * time.Millisecond
	// urgentSpacing is the shortest time between two messages for waiting requests.
	urgentSpacing = 10 * time.Millisecond
	// unreachableTime is the time for which an issuer is not asked after it did not answer.
	unreachableTime = time.Second
	// notIssuerTime replaces it after an answer that the host is not the issuer.
	notIssuerTime = 200 * time.Millisecond
)

// Verdict is the decision about one request.
type Verdict int

// Verdicts.
const (
	// Waiting means that the decision follows, as a Resolution.
	Waiting Verdict = iota
	// Granted means that an attempt may start.
	Granted
	// UsedUp means that the workspace's quota is used up.
	UsedUp
	// NoIssuer means that no issuer answered and there is no safe share left, or that the
	// issuer has just started without tokens. The caller is not to blame.
	NoIssuer
)

// Resolution is the decision about a request that waited.
type Resolution struct {
	ID         uint64
	Verdict    Verdict
	Token      Token
	RetryAfter time.Duration // 0 if it is not known
}

// Message is a request to the issuer of a region.
type Message struct {
	ID     uint64
	Region string
	Wants  []Want
	Term   uint64
	kind   messageKind
	sentAt time.Duration
	// tried are the other regions that were asked for the same wants before.
	tried []string
}

type messageKind int

const (
	// periodic messages fetch ahead, urgent ones for waiting requests too.
	periodic messageKind = iota
	urgent
	// elsewhere messages go to another region for what the own issuer lacks.
	elsewhere
)

// waiter is a request that waits for a token.
type waiter struct {
	id        uint64
	workspace string
	limit     Limit
	deadline  time.Duration
}

// Client decides which messages a host sends to issuers, and about its requests.
type Client struct {
	region  string
	regions []string // with a known issuer
	cache   *TokenCache
	safe    *SafeShares

	waiters              []waiter
	resolved             []Resolution
	messages             map[uint64]*Message
	followUps            []followUp
	lastID               uint64
	rotation             int
	suspected            map[string]time.Duration // until when a region is not asked
	nextTick, nextUrgent time.Duration
	// early is the urgent message beside which another region was asked.
	early uint64
	// startUntil is the end of StartPeriod, 0 if there is none.
	startUntil time.Duration
	// SafeShareStarts is called when a request of a workspace runs on the safe share.
	SafeShareStarts func(workspace string)
}

// NewClient returns a client of a host in a region.
func NewClient(region string, safe *SafeShares) *Client {
	return &Client{region: region, cache: NewTokenCache(), safe: safe, messages: map[uint64]*Message{}, suspected: map[string]time.Duration{}}
}

// WaitAtStart lets requests wait up to their deadline for an issuer in the StartPeriod that
// begins now.
func (c *Client) WaitAtStart(now time.Duration) { c.startUntil = now + StartPeriod }

// IssuerChanged records that a region has another issuer, which may be asked at once.
func (c *Client) IssuerChanged(region string) { delete(c.suspected, region) }

// SetIssuers sets the regions that have an issuer.
func (c *Client) SetIssuers(regions []string) {
	if !slices.Equal(c.regions, regions) {
		c.regions = slices.Clone(regions)
	}
}

// SetHosts sets the number of known hosts.
func (c *Client) SetHosts(n int) { c.safe.SetHosts(n) }

// SetLimits tells the client which workspaces have limits.
func (c *Client) SetLimits(now time.Duration, limits map[string]Limit) { c.safe.SetLimits(now, limits) }

// SetConfirmed records when the store last confirmed the copy from which SetHosts was set.
func (c *Client) SetConfirmed(at time.Duration) { c.safe.SetConfirmed(at) }

// Request asks for a token for an attempt. If the verdict is Waiting, the decision is
// among the results of Resolved by the deadline; Messages must be called now.
func (c *Client) Request(now time.Duration, id uint64, workspace string, l Limit, deadline time.Duration) Resolution {
	if token, ok := c.cache.Take(now, workspace); ok {
		return Resolution{ID: id, Verdict: Granted, Token: token}
	}
	w := waiter{id: id, workspace: workspace, limit: l, deadline: min(deadline, max(now, c.startUntil)+MaxWait)}
	if !c.waitsAtStart(now, w) {
		if verdict, retryAfter := c.cache.UsedUp(now, workspace); verdict != Waiting {
			return Resolution{ID: id, Verdict: verdict, RetryAfter: retryAfter}
		}
	}
	c.cache.Wait(now, workspace, 1)
	c.waiters = append(c.waiters, w)
	return Resolution{ID: id}
}

// waitsAtStart reports whether a request waits on although nobody has a token for it now,
// because issuers have just started or will soon. One whose quota is used up does not.
func (c *Client) waitsAtStart(now time.Duration, w waiter) bool {
	return now < c.startUntil && now < w.deadline && c.cache.MayGetTokens(now, w.workspace)
}

// TryTake takes a token without waiting, for a hedged request.
func (c *Client) TryTake(now time.Duration, workspace string) (Token, bool) {
	return c.cache.Take(now, workspace)
}

// Untake returns the token of an attempt that did not run.
func (c *Client) Untake(now time.Duration, t Token) { c.cache.Untake(now, t) }

// Reuse reports whether the next attempt of a request may use the token of one that did
// not run.
func (c *Client) Reuse(now time.Duration, t Token) bool { return c.cache.Reuse(now, t) }

// Cancel ends the wait of a request whose caller has left.
func (c *Client) Cancel(now time.Duration, id uint64) {
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
		if w.id == id {
			c.cache.Wait(now, w.workspace, -1)
		}
		return w.id == id
	})
}

// Resolved returns the decisions since its last call.
func (c *Client) Resolved() []Resolution {
	list := c.resolved
	c.resolved = nil
	return list
}

// resolve decides about the requests that wait, as far as possible.
func (c *Client) resolve(now time.Duration) {
	if len(c.waiters) == 0 {
		return
	}
	unreachable := c.allSuspected(now)
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
		r := Resolution{ID: w.id}
		if token, ok := c.cache.TakeAgain(now, w.workspace); ok {
			r.Verdict, r.Token = Granted, token
		} else if c.waitsAtStart(now, w) {
			return false
		} else if verdict, retryAfter := c.usedUp(now, w); verdict != Waiting {
			r.Verdict, r.RetryAfter = verdict, retryAfter
		} else if !unreachable && now < w.deadline {
			return false
		} else if c.safe.Take(now, w.workspace, w.limit) {
			r.Verdict = Granted
			if c.SafeShareStarts != nil {
				c.SafeShareStarts(w.workspace)
			}
		} else {
			r.Verdict = NoIssuer
		}
		c.cache.Wait(now, w.workspace, -1)
		c.resolved = append(c.resolved, r)
		return true
	})
}

// usedUp is TokenCache.UsedUp for a request that waits.
func (c *Client) usedUp(now time.Duration, w waiter) (Verdict, time.Duration) {
	if now >= w.deadline {
		c.cache.EndFollowUp(now, w.workspace)
	}
	return c.cache.UsedUp(now, w.workspace)
}

// allSuspected reports whether issuers are known and none of them has answered lately.
func (c *Client) allSuspected(now time.Duration) bool {
	for _, region := range c.regions {
		if !c.isSuspected(now, region) {
			return false
		}
	}
	return len(c.regions) > 0
}

func (c *Client) isSuspected(now time.Duration, region string) bool {
	until, ok := c.suspected[region]
	return ok && now < until
}

// target returns the region to ask: the own one, or else another.
func (c *Client) target(now time.Duration) string {
	if slices.Contains(c.regions, c.region) && !c.isSuspected(now, c.region) {
		return c.region
	}
	return c.other(now, nil)
}

// Messages returns the messages to send now.
func (c *Client) Messages(now time.Duration) []Message {
	c.resolve(now)
	var list []Message
	target := c.target(now)
	list = c.sendFollowUps(now, list)
	if len(c.waiters) > 0 {
		list = c.askElsewhere(now, list)
	}
	if now >= c.nextTick && c.cache.Active() {
		c.nextTick = now + FetchPeriod
		wants := c.cache.Wants(now, target)
		if target != "" && len(wants) > 0 {
			list = append(list, c.message(now, periodic, target, wants))
		} else {
			c.cache.Failed(LendRequest{Wants: wants})
		}
	}
	if len(c.waiters) > 0 && target != "" && now >= c.nextUrgent && !c.urgentInFlight() {
		if wants := c.cache.UrgentWants(now, target); len(wants) > 0 {
			list = append(list, c.message(now, urgent, target, wants))
		}
	}
	return list
}

func (c *Client) urgentInFlight() bool {
	for _, m := range c.messages {
		if m.kind == urgent {
			return true
		}
	}
	return false
}

func (c *Client) message(now time.Duration, kind messageKind, region string, wants []Want) Message {
	if kind == periodic && slices.ContainsFunc(wants, func(w Want) bool { return w.Urgent > 0 }) {
		kind = urgent
	}
	if kind == urgent {
		c.nextUrgent = now + urgentSpacing
	}
	c.lastID++
	m := Message{ID: c.lastID, Region: region, Wants: wants, Term: c.cache.terms[region], kind: kind, sentAt: now}
	c.messages[m.ID] = &m
	return m
}

// Answered processes the answer to a message. Messages must be called next.
func (c *Client) Answered(now time.Duration, id uint64, reply LendReply) {
	m := c.messages[id]
	if m == nil {
		return
	}
	delete(c.messages, id)
	delete(c.suspected, m.Region)
	c.cache.Receive(now, m.sentAt, m.Region, m.kind != elsewhere, LendRequest{Wants: m.Wants}, reply)
	if m.kind == elsewhere {
		c.askNext(now, m, emptyWants(m.Wants, reply.Loans))
	}
	c.resolve(now)
}

// Failed processes that a message was not answered, or that its receiver is not the
// issuer. Messages must be called next.
func (c *Client) Failed(now time.Duration, id uint64, notIssuer bool) {
	m := c.messages[id]
	if m == nil {
		return
	}
	delete(c.messages, id)
	pause := unreachableTime
	if notIssuer || now < c.startUntil {
		pause = notIssuerTime
	}
	c.suspected[m.Region] = now + pause
	c.cache.Failed(LendRequest{Wants: m.Wants})
	if m.kind == elsewhere && !c.isSuspected(now, c.region) {
		c.askNext(now, m, m.Wants)
	}
	c.nextUrgent = now
	c.resolve(now)
}

// NextAt returns the time at which Messages is to be called again, false if only further
// requests make it necessary.
func (c *Client) NextAt(now time.Duration) (time.Duration, bool) {
	if !c.cache.Active() {
		return 0, false
	}
	next := c.nextTick
	if len(c.waiters) > 0 {
		next = min(next, max(c.nextUrgent, now+urgentSpacing))
		for _, w := range c.waiters {
			next = min(next, w.deadline)
		}
	}
	return next, true
}

// Left returns the tokens of a workspace that this host holds.
func (c *Client) Left(now time.Duration, workspace string) int { return c.cache.Left(now, workspace) }

// Held returns the tokens that this host holds, of the first workspaces by name up to a
// number.
func (c *Client) Held(now time.Duration, limit int) map[string]int {
	names := slices.Sorted(maps.Keys(c.cache.accounts))
	held := map[string]int{}
	for _, name := range names[:min(len(names), limit)] {
		held[name] = c.cache.Left(now, name)
	}
	return held
}
