package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// AskPeriod is the time between two requests to other regions' issuers.
	AskPeriod = 200 * time.Millisecond
	// ownDemandTime is the time for whose demand an issuer keeps tokens when others ask,
	// and for which it asks others: AskPeriod plus a round trip between regions.
	ownDemandTime = 300 * time.Millisecond
	// emptyTime is the time for which an issuer that had nothing to give is taken to be
	// empty. It exceeds AskPeriod plus a round trip between regions.
	emptyTime = 400 * time.Millisecond
	// noteTime is the time for whose demand the supply must suffice, or the workspace is
	// among those to ask for: demand that moves to a region grows during an AskPeriod.
	noteTime = 600 * time.Millisecond
)

// borrowed are tokens that another region's issuer gave. That issuer counts them as
// outstanding, so they do not count towards the cap here, and they keep their expiry
// when they are lent on.
type borrowed struct {
	tokens  int
	expires time.Duration
}

// takeBorrowed removes up to n tokens of an entry.
func (m *mint) takeBorrowed(k, n int) borrowed {
	b := &m.borrowed[k]
	taken := borrowed{tokens: min(n, b.tokens), expires: b.expires}
	b.tokens -= taken.tokens
	if b.tokens == 0 {
		m.borrowed = slices.Delete(m.borrowed, k, k+1)
	}
	return taken
}

func (m *mint) dropExpired(now time.Duration) {
	if len(m.borrowed) > 0 {
		m.borrowed = slices.DeleteFunc(m.borrowed, func(b borrowed) bool { return b.expires <= now })
	}
}

// Transfer answers the issuer of another region with what the own demand of the next
// ownDemandTime does not need. The tokens count as outstanding here for their validity,
// as if they were lent to a host. Borrowed tokens are not passed on to other regions.
func (i *Issuer) Transfer(now time.Duration, wants []Want) []Loan {
	transfers := make([]Loan, 0, len(wants))
	for _, w := range wants {
		transfer := Loan{Workspace: w.Workspace, Empty: true}
		if m := i.workspaces[w.Workspace]; m != nil {
			m.advance(now)
			own := m.demand.expect(now, ownDemandTime)
			if n := min(w.Tokens, int(math.Floor(m.level-own))); n > 0 {
				m.level -= float64(n)
				m.fullLevel -= float64(n)
				transfer = i.record(now, m, w.Workspace, n, nil)
				transfer.ID = 0
			}
		}
		transfers = append(transfers, transfer)
	}
	return transfers
}

// noteShortage adds a workspace to those that Shortages considers.
func (i *Issuer) noteShortage(now time.Duration, name string, m *mint) {
	if m.demand.expect(now, noteTime) > float64(m.available()) {
		i.short[name] = m
	}
}

// MayBeShort reports whether Shortages may return something.
func (i *Issuer) MayBeShort() bool { return len(i.short) > 0 }

// Shortages returns what to ask each of the other regions' issuers for. It is empty while
// the supply suffices.
func (i *Issuer) Shortages(now time.Duration, regions []string) map[string][]Want {
	asks := map[string][]Want{}
	for _, name := range slices.Sorted(maps.Keys(i.short)) {
		m := i.short[name]
		m.advance(now)
		needed := m.demand.expect(now, ownDemandTime) - m.rate*ownDemandTime.Seconds()
		if missing := int(needed) - m.available(); missing > 0 {
			m.ask(now, name, missing, regions, asks)
		} else if m.demand.expect(now, noteTime) < 1 {
			delete(i.short, name)
		}
	}
	return asks
}

// ask divides the missing tokens among the regions that may have some, or among all if
// none is known to. No more is asked for than is missing, because transfers soon expire.
func (m *mint) ask(now time.Duration, name string, missing int, regions []string, asks map[string][]Want) {
	var candidates []string
	for _, region := range regions {
		if !m.isEmpty(now, region) {
			candidates = append(candidates, region)
		}
	}
	if len(candidates) == 0 {
		candidates = regions
	}
	for k := range candidates {
		m.rotation++
		share := (missing + k) / len(candidates)
		if share > 0 {
			region := candidates[m.rotation%len(candidates)]
			asks[region] = append(asks[region], Want{Workspace: name, Tokens: share})
		}
	}
	m.rotation++
}

func (m *mint) isEmpty(now time.Duration, region string) bool {
	at, ok := m.emptyAt[region]
	return ok && now-at < emptyTime
}

// othersEmpty reports whether all other regions' issuers recently had nothing to give.
func (m *mint) othersEmpty(now time.Duration, regions int) bool {
	empty := 0
	for region := range m.emptyAt {
		if m.isEmpty(now, region) {
			empty++
		}
	}
	return empty >= regions-1
}

// Receive adds the transfers of a region's issuer, which was asked at sentAt. Their validity
// counts from then. If it did not answer, NoAnswer must be called instead.
func (i *Issuer) Receive(now, sentAt time.Duration, region string, transfers []Loan) {
	for _, g := range transfers {
		m := i.workspaces[g.Workspace]
		if m == nil {
			continue
		}
		if g.Tokens <= 0 {
			m.setEmpty(region, now)
			continue
		}
		delete(m.emptyAt, region)
		if expires := sentAt + holderTime(g.valid()); expires > now {
			m.borrowed = append(m.borrowed, borrowed{tokens: g.Tokens, expires: expires})
		}
	}
}

// NoAnswer records that a region's issuer did not answer, or that the region has none.
func (i *Issuer) NoAnswer(now time.Duration, region string, asked []Want) {
	for _, w := range asked {
		if m := i.workspaces[w.Workspace]; m != nil {
			m.setEmpty(region, now)
		}
	}
}

func (m *mint) setEmpty(region string, now time.Duration) {
	if m.emptyAt == nil {
		m.emptyAt = map[string]time.Duration{}
	}
	m.emptyAt[region] = now
}
