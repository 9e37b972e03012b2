package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// prefetchReserve is the number of tokens that are kept for waiting requests when hosts
// fetch tokens ahead, at most half of the cap. Without it, the hosts of a workspace with
// few tokens could hold all of them while a request at another host is refused.
const prefetchReserve = 2.0

// minAheadValidity is the validity of borrowed tokens below which they are lent to waiting
// requests only. Hosts fetch ahead for aheadTime, and tokens that they do not use are lost.
const minAheadValidity = 200 * time.Millisecond

// unknownRetry is the time after which callers of a workspace that the issuer does not know
// yet may retry.
const unknownRetry = 250 * time.Millisecond

// MaxLevels is the greatest number of workspaces in Issuer.Levels.
const MaxLevels = 100

// Issuer mints and lends the tokens of one region. A new one has no tokens but those of its
// options: it does not know what an earlier issuer lent. It may be used only while Term.Holds.
type Issuer struct {
	bounds     Bounds
	regions    int
	index      int
	term       uint64
	mintFrom   time.Duration
	startLevel bool
	nextLoan   uint64
	workspaces map[string]*mint
	// shown are the first MaxLevels workspaces by name. They are not computed by Levels,
	// because that would sort all workspaces while requests wait.
	shown []string
	// short holds the workspaces with demand that the own supply may not cover.
	short map[string]*mint
}

// mint is the state of one workspace at an issuer.
type mint struct {
	limit Limit
	cap   float64
	rate  float64 // tokens per second
	// level is the number of minted tokens that are not lent.
	level float64
	// fullLevel is what the level would be if the issuer had started with a full one.
	fullLevel float64
	mintedAt  time.Duration
	ledger    ledger
	// borrowed are tokens of other regions' issuers. They keep their expiry.
	borrowed []borrowed
	demand   demand
	promised time.Duration // see promise
	rotation int           // of the regions asked for the remainder of a division
	// emptyAt holds, by region, when its issuer last had nothing to give.
	emptyAt map[string]time.Duration
}

// IssuerOptions identify an issuer.
type IssuerOptions struct {
	Bounds Bounds
	// Regions is the number of regions, Index the position of this one in their order by
	// name.
	Regions, Index int
	// Term differs between all issuers that the region has had.
	Term uint64
	// MintFrom is the time from which the workspaces of the first limits mint, 0 for that
	// of the first SetLimits. No issuer of the region may have lent since.
	MintFrom time.Duration
	// StartLevel gives the workspaces of the first limits a start level; see Term.StartLevel.
	StartLevel bool
}

// NewIssuer returns an issuer without limits and tokens.
func NewIssuer(o IssuerOptions) *Issuer {
	return &Issuer{bounds: o.Bounds, regions: max(o.Regions, 1), index: o.Index, term: o.Term, mintFrom: o.MintFrom, startLevel: o.StartLevel, workspaces: map[string]*mint{}, short: map[string]*mint{}}
}

// SetLimits replaces the limits of all workspaces; those with a rate of 0 have none. Lower
// limits take effect immediately. A workspace that is not among the first limits starts
// without tokens.
func (i *Issuer) SetLimits(now time.Duration, limits map[string]Limit) {
	for name := range i.workspaces {
		if limits[name].RatePerSecond <= 0 {
			delete(i.workspaces, name)
			delete(i.short, name)
		}
	}
	from := now
	if i.mintFrom != 0 {
		from = min(i.mintFrom, now)
		i.mintFrom = 0
	}
	startLevel := i.startLevel
	i.startLevel = false
	for name, l := range limits {
		if l.RatePerSecond <= 0 {
			continue
		}
		m := i.workspaces[name]
		if m == nil {
			m = &mint{mintedAt: from, fullLevel: math.Inf(1)}
			if startLevel {
				m.level = i.bounds.startLevel(l, i.regions)
			}
			i.workspaces[name] = m
		} else {
			m.advance(now)
		}
		m.limit, m.cap, m.rate = l, i.bounds.regionCap(l, i.regions, i.index), i.bounds.mintRate(l, i.regions)
		if m.cap == 0 {
			m.rate = 0
		}
		m.advance(now)
		m.clamp()
	}
	names := slices.Sorted(maps.Keys(i.workspaces))
	i.shown = slices.Clone(names[:min(len(names), MaxLevels)])
}

// clamp reduces the level to what the cap leaves.
func (m *mint) clamp() {
	room := max(m.cap-float64(m.ledger.outstanding), 0)
	m.level, m.fullLevel = min(m.level, room), min(m.fullLevel, room)
}

// advance mints tokens and expires loans up to now. It mints separately up to each
// expiry: what could not be minted while the cap was reached is not made up for.
func (m *mint) advance(now time.Duration) {
	for {
		at, ok := m.ledger.next()
		if !ok || at > now {
			break
		}
		m.mintUntil(at)
		m.ledger.expire()
	}
	m.mintUntil(now)
	m.dropExpired(now)
}

func (m *mint) mintUntil(t time.Duration) {
	if t <= m.mintedAt {
		return
	}
	minted := m.rate * (t - m.mintedAt).Seconds()
	m.mintedAt = t
	room := m.cap - float64(m.ledger.outstanding)
	m.level = max(m.level, min(m.level+minted, room))
	m.fullLevel = max(m.fullLevel, min(m.fullLevel+minted, room))
}

// Lend answers the message of a host.
func (i *Issuer) Lend(now time.Duration, r LendRequest) LendReply {
	reply := LendReply{Term: i.term, Loans: make([]Loan, 0, len(r.Wants))}
	for _, w := range r.Wants {
		m := i.workspaces[w.Workspace]
		if m == nil {
			// This host's configuration does not limit the workspace: it may be older.
			if w.Urgent > 0 {
				reply.Loans = append(reply.Loans, Loan{
					Workspace: w.Workspace, Empty: true, Elsewhere: true, Fresh: true, RetryMillis: unknownRetry.Milliseconds(), StepMicros: 1000,
				})
			}
			continue
		}
		m.advance(now)
		if r.Term == i.term {
			m.settle(now, w.Uses)
		}
		m.demand.add(now, w.Demand)
		reply.Loans = i.lend(now, m, w, reply.Loans)
		i.noteShortage(now, w.Workspace, m)
	}
	return reply
}

// settle processes a host's report. Reports on expired loans have no effect.
func (m *mint) settle(now time.Duration, uses []Use) {
	for _, u := range uses {
		loan := m.ledger.find(u.Loan)
		if loan == nil {
			continue
		}
		m.ledger.settle(loan, u.Spent)
		returned := m.ledger.settle(loan, u.Returned)
		switch {
		case returned == 0:
		case !loan.borrowed:
			m.level += float64(returned)
			m.fullLevel += float64(returned)
		case loan.expires > now:
			m.borrowed = append(m.borrowed, borrowed{tokens: returned, expires: loan.expires})
		}
	}
	// After a limit was reduced, loans from before may exceed the cap.
	m.clamp()
}

// lend appends the loans for a want. Waiting requests get borrowed tokens first, as they
// expire soon; what is fetched ahead is lent from the own ones first.
func (i *Issuer) lend(now time.Duration, m *mint, w Want, loans []Loan) []Loan {
	urgent := max(min(w.Urgent, w.Tokens), 0)
	before := len(loans)
	granted, loans := i.lendBorrowed(now, m, w.Workspace, urgent, 0, loans)
	own := min(urgent-granted, int(m.level))
	granted += own
	ahead := max(w.Tokens-urgent, 0)
	if spare := int(m.level) - own - int(math.Ceil(min(prefetchReserve, m.cap/2))); granted == urgent && spare > 0 {
		spare = min(spare, ahead)
		own += spare
		ahead -= spare
	}
	if own > 0 {
		m.level -= float64(own)
		m.fullLevel -= float64(own)
		loans = append(loans, i.record(now, m, w.Workspace, own, nil))
	}
	if granted == urgent {
		_, loans = i.lendBorrowed(now, m, w.Workspace, ahead, minAheadValidity, loans)
		return loans
	}
	if len(loans) == before {
		loans = append(loans, Loan{Workspace: w.Workspace})
	}
	missing := max(urgent-granted-max(w.Repeated, 0), 0)
	i.refuse(now, m, &loans[len(loans)-1], missing, max(w.Refused, 0))
	return loans
}

// lendBorrowed lends up to n borrowed tokens that are valid for a time, and returns their
// number.
func (i *Issuer) lendBorrowed(now time.Duration, m *mint, workspace string, n int, valid time.Duration, loans []Loan) (int, []Loan) {
	lent := 0
	for k := 0; k < len(m.borrowed) && lent < n; {
		if m.borrowed[k].expires-now < valid {
			k++
			continue
		}
		b := m.takeBorrowed(k, n-lent)
		lent += b.tokens
		loans = append(loans, i.record(now, m, workspace, b.tokens, &b))
	}
	return lent, loans
}

// refuse marks the answer to a want for which tokens are missing, for requests that are not
// counted yet. refused is the number of
// requests that the host has refused since its last message: it probably refuses as many
// until the next one.
func (i *Issuer) refuse(now time.Duration, m *mint, l *Loan, missing, refused int) {
	l.Empty, l.Elsewhere, l.Fresh = true, !m.othersEmpty(now, i.regions), m.fullLevel >= 1
	m.fullLevel = max(m.fullLevel-float64(missing), min(m.level, m.fullLevel))
	wait, step := m.promise(now, missing+refused)
	l.RetryMillis, l.StepMicros = max(wait.Milliseconds(), 1), step.Microseconds()
}

// available returns the number of whole tokens that can be lent.
func (m *mint) available() int {
	n := int(m.level)
	for _, b := range m.borrowed {
		n += b.tokens
	}
	return n
}

// record adds a loan of own tokens or, if b is not nil, of borrowed ones.
func (i *Issuer) record(now time.Duration, m *mint, workspace string, tokens int, b *borrowed) Loan {
	i.nextLoan++
	t := i.bounds.Validity(m.limit)
	loan := lentLoan{id: i.nextLoan, left: tokens, countedUntil: now + t}
	valid := t
	if b != nil {
		loan.borrowed, loan.expires = true, b.expires
		valid = b.expires - now
	}
	m.ledger.add(loan)
	return Loan{Workspace: workspace, ID: loan.id, Tokens: tokens, ValidMicros: valid.Microseconds()}
}

// Levels returns the tokens that can be lent, by workspace, of the first MaxLevels ones by
// name.
func (i *Issuer) Levels(now time.Duration) map[string]int {
	levels := map[string]int{}
	for _, name := range i.shown {
		m := i.workspaces[name]
		m.advance(now)
		levels[name] = m.available()
	}
	return levels
}

// Level returns the tokens of a workspace that can be lent and its cap.
func (i *Issuer) Level(now time.Duration, workspace string) (level int, limit float64, known bool) {
	m := i.workspaces[workspace]
	if m == nil {
		return 0, 0, false
	}
	m.advance(now)
	return m.available(), m.cap, true
}
