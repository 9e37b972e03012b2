package lease

import "time"

const (
	// TickPeriod is the time between Tick events.
	TickPeriod = 100 * time.Millisecond

	// Defaults of the fields of Config, which give their meaning. The values up to
	// defaultSelfCheck are those of docs/design.md, sections 3.3 and 7.
	defaultTTL               = 4 * time.Second
	defaultMargin            = 500 * time.Millisecond
	defaultWriteEvery        = time.Second
	defaultExtensionLimit    = 2 * time.Hour
	defaultListLag           = 15 * time.Second
	defaultSelfCheck         = 10 * time.Second
	defaultNominationLimit   = time.Minute
	defaultQueryWindow       = 4 * time.Second
	defaultNominationHoldOff = 10 * time.Second
	defaultHandoverLimit     = 10 * time.Second
	defaultHolderPeriod      = 500 * time.Millisecond
	defaultRenewBytes        = 400     // bytes
	defaultByteBudget        = 8 << 10 // bytes per second

	// leasePeriods is the validity of a lease as a number of periods of
	// lease.renew.
	leasePeriods = 4
	// eagerCandidates is the last position among the live members, counted from
	// 0, at which a host that sees no working primary reads the record every
	// WriteEvery on average. Later hosts read less often; see searchInterval.
	eagerCandidates = 3
)

// Config holds the durations and byte limits of the protocol. The zero value of
// a field selects its default.
type Config struct {
	// TTL is how long a confirmed write of the record gives the primary authority.
	TTL time.Duration
	// Margin is added to every wait for the end of another host's right.
	Margin time.Duration
	// WriteEvery is the mean time between the primary's writes of the record.
	WriteEvery time.Duration
	// ExtensionLimit is the longest authority without the store, counted from
	// the last confirmed write of the record.
	ExtensionLimit time.Duration
	// ListLag is the largest age of the host list's content. SelfCheck is how
	// long a host may act without the store after a read of the list last showed
	// it, whether later reads fail or do not list it.
	ListLag, SelfCheck time.Duration
	// NominationLimit is how long a successor may act on its nomination. It
	// exceeds 2*ListLag + SelfCheck, the time until a host's end is known.
	NominationLimit time.Duration
	// QueryWindow is the longest duration of one round of queries.
	// NominationHoldOff is how long a host that answered a query, and was neither
	// primary nor nominated, accepts no nomination; it exceeds QueryWindow.
	QueryWindow, NominationHoldOff time.Duration
	// HandoverLimit is how long, from the start of its shutdown, a primary tries
	// to hand over and repeats its handover.
	HandoverLimit time.Duration
	// HolderPeriod is the shortest period of lease.renew.
	HolderPeriod time.Duration
	// RenewBytes is the size of one lease.renew request with its answer, in
	// bytes. ByteBudget is the primary's limit for them in bytes per second.
	RenewBytes, ByteBudget int

	// broken disables one rule, to test that the invariant checks detect its
	// absence.
	broken rule
}

// rule identifies a rule of the protocol.
type rule int

const (
	ruleNone rule = iota
	// A primary grants only before the end of its authority.
	ruleAuthority
	// A standby takes over only if the record has not changed for TTL and Margin.
	ruleStandbyWait
	// A standby acknowledges no extension while its own write is outstanding, and
	// does not take over a record that its extension covers.
	ruleStandbyAck
	// A takeover of an abandoned region needs a complete round of queries.
	ruleQuery
	// A primary steps down before it sends a handover.
	ruleHandoverStop
	// A write with an uncertain outcome counts only once a read or watch shows it.
	ruleReadBack
	// A new primary asks unknown holders for what they hold, and grants other
	// resources without a known holder only once its predecessor's leases have
	// expired.
	ruleWaitForHolders
	// An unresponsive holder keeps its resources until its leases expire.
	ruleUnresponsiveHolder
	// An extension covers no record whose counter is higher than acknowledged.
	ruleThrough
	// The validity of a lease counts from before the request was sent.
	ruleHolderLimit
	// A host that the list has not shown within SelfCheck gives up its role; see
	// checkSelf.
	ruleSelfCheck
	// A holder ignores answers of an epoch lower than the highest it knows.
	ruleFencing
	// Authority without the store ends at most ExtensionLimit after the last
	// confirmed write.
	ruleExtensionLimit
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.TTL, defaultTTL)
	set(&c.Margin, defaultMargin)
	set(&c.WriteEvery, defaultWriteEvery)
	set(&c.ExtensionLimit, defaultExtensionLimit)
	set(&c.ListLag, defaultListLag)
	set(&c.SelfCheck, defaultSelfCheck)
	set(&c.NominationLimit, defaultNominationLimit)
	set(&c.QueryWindow, defaultQueryWindow)
	set(&c.NominationHoldOff, defaultNominationHoldOff)
	set(&c.HandoverLimit, defaultHandoverLimit)
	set(&c.HolderPeriod, defaultHolderPeriod)
	if c.RenewBytes == 0 {
		c.RenewBytes = defaultRenewBytes
	}
	if c.ByteBudget == 0 {
		c.ByteBudget = defaultByteBudget
	}
	return c
}

// endedAfter is how long a host must be missing from the host list to count as
// ended.
func (c Config) endedAfter() time.Duration { return c.ListLag + c.SelfCheck }

// renewPeriod returns the time between two lease.renew requests of one holder in
// a region with that many members.
func (c Config) renewPeriod(members int) time.Duration {
	bytes := time.Duration(members) * time.Duration(c.RenewBytes)
	return max(c.HolderPeriod, bytes*time.Second/time.Duration(c.ByteBudget))
}
