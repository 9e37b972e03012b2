package lease

import "time"

// Constants of the protocol.
const (
	// TickPeriod is the time between Tick events.
	TickPeriod = 100 * time.Millisecond

	defaultTTL             = 4 * time.Second
	defaultMargin          = 500 * time.Millisecond
	defaultRenewEvery      = time.Second
	defaultExtensionLimit  = 2 * time.Hour
	defaultListLag         = 15 * time.Second
	defaultSelfCheck       = 10 * time.Second
	defaultNominationLimit = time.Minute
	defaultQueryWindow     = 4 * time.Second
	defaultQuiet           = 10 * time.Second
	defaultHandoverLimit   = 10 * time.Second
	defaultHolderPeriod    = 500 * time.Millisecond
	defaultRenewBytes      = 400
	defaultByteBudget      = 8 << 10

	// leasePeriods is the time limit of a lease in renewal periods.
	leasePeriods = 4
	// eagerCandidates is how many hosts read the record every renewal period
	// while no lessor is heard; the others read more rarely by their order.
	eagerCandidates = 3
)

// Config holds the times of the protocol. The zero value of a field selects
// the value of the design page.
type Config struct {
	// TTL is how long a confirmed renewal gives authority.
	TTL time.Duration
	// Margin is added to every wait for another host's limit.
	Margin time.Duration
	// RenewEvery is the mean time between renewals in the store.
	RenewEvery time.Duration
	// ExtensionLimit bounds authority without the store.
	ExtensionLimit time.Duration
	// ListLag bounds how old the host list's content may be, SelfCheck how
	// long a host acts without the store when it is not listed.
	ListLag, SelfCheck time.Duration
	// NominationLimit is how long a successor may act on its nomination. It
	// exceeds ListLag twice plus SelfCheck, the time to learn of a host's end.
	NominationLimit time.Duration
	// QueryWindow bounds one round of lease.query. Quiet is how long a host
	// that answered accepts no nomination; it exceeds QueryWindow.
	QueryWindow, Quiet time.Duration
	// HandoverLimit bounds how long a leaving primary repeats its handover.
	HandoverLimit time.Duration
	// HolderPeriod is the shortest period of lease.renew.
	HolderPeriod time.Duration
	// RenewBytes is the size of one request with its answer, ByteBudget the
	// bytes per second that the primary spends on them.
	RenewBytes, ByteBudget int

	// broken disables one rule, so that tests can show that the checkers
	// notice its absence.
	broken rule
}

// rule names a rule of the protocol.
type rule int

const (
	ruleNone rule = iota
	ruleAuthority
	ruleStandbyWait
	ruleStandbyAck
	ruleQuery
	ruleHandoverStop
	ruleReadBack
	ruleWaitOut
	ruleSilentHolder
	ruleThrough
	ruleHolderLimit
	ruleSelfCheck
	ruleFencing
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
	set(&c.RenewEvery, defaultRenewEvery)
	set(&c.ExtensionLimit, defaultExtensionLimit)
	set(&c.ListLag, defaultListLag)
	set(&c.SelfCheck, defaultSelfCheck)
	set(&c.NominationLimit, defaultNominationLimit)
	set(&c.QueryWindow, defaultQueryWindow)
	set(&c.Quiet, defaultQuiet)
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

// goneAfter is how long a host must be missing from the list to count as ended.
func (c Config) goneAfter() time.Duration { return c.ListLag + c.SelfCheck }

// period is the time between lease.renew requests for a number of members.
func (c Config) period(members int) time.Duration {
	bytes := time.Duration(members) * time.Duration(c.RenewBytes)
	return max(c.HolderPeriod, bytes*time.Second/time.Duration(c.ByteBudget))
}
