// Package member maintains the membership of one region with a protocol of the
// SWIM family, if galenabeamd runs without -platform.
//
// A Machine is a deterministic state machine without I/O: Step takes the time
// and an event and returns the actions to execute. It probes one member per
// period in random order, asks other members to probe on its behalf,
// piggybacks updates on its messages, and gives a suspected process time to
// refute. The host list, an external service, supplies the initial members and
// shows which hosts no longer exist.
//
// A process with the status Gone may still run. It counts as ended only if a later
// incarnation of its host is known or the host list no longer names the host; see
// Machine.Ended.
package member

import (
	"context"
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// ErrListUnavailable means that the host list did not answer.
// Implementations of HostList wrap it.
var ErrListUnavailable = errors.New("member: host list unavailable")

// Status is the state of a process as another process sees it.
type Status string

// Statuses of a process.
const (
	// Joining means listed or announced, but not yet known to answer.
	Joining Status = "joining"
	// Live means that the process answers.
	Live Status = "live"
	// Leaving means that the process has announced its shutdown and takes no new
	// work.
	Leaving Status = "leaving"
	// Suspect means that probes failed and the process has not refuted yet.
	Suspect Status = "suspect"
	// Gone means that the suspicion was not refuted in time, in which case the
	// process may still run, or that the process announced its end. Machine.Ended
	// reports whether it is known to have ended.
	Gone Status = "gone"
)

// precedence orders the statuses of claims with equal incarnation and
// refutation: the higher one wins. It is zero for an unknown status.
func (s Status) precedence() int {
	switch s {
	case Joining:
		return 1
	case Live:
		return 2
	case Leaving:
		return 3
	case Suspect:
		return 4
	case Gone:
		return 5
	}
	return 0
}

// ListState is the state of a host in the host list.
type ListState string

// States of a listed host.
const (
	ListedLive    ListState = "live"
	ListedLeaving ListState = "leaving"
)

// Listed is one host in the host list. The list does not have the incarnation of
// the process on the host.
type Listed struct {
	ID            host.ID   `json:"id"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	RPCAddress    string    `json:"rpc_address"`
	HTTPAddress   string    `json:"http_address"`
	State         ListState `json:"state"`
	// Kind is what runs on the host; empty means an entry host.
	Kind ListKind `json:"kind,omitempty"`
}

// ListKind is what runs on a listed host.
type ListKind string

// Kinds of listed hosts. The id of a backend server's host is the server's name.
const (
	ListedEntryHost     ListKind = "entry-host"
	ListedBackendServer ListKind = "backend-server"
)

// HostList reads the external list of hosts, which lags behind reality.
type HostList interface {
	// Hosts returns the listed hosts of all regions in order of their ids, or
	// an error that wraps ErrListUnavailable. An answer may be as old as
	// Config.ListLag. Hosts returns when ctx ends.
	Hosts(ctx context.Context) ([]Listed, error)
}

// Config holds the timing and the limits of a Machine. All durations are
// positive.
type Config struct {
	// ProbePeriod is the interval between the probes that a host starts.
	ProbePeriod time.Duration
	// PingTimeout is the wait for a direct answer before other members are asked
	// to probe.
	PingTimeout time.Duration
	// ProbeTimeout is the wait for any answer to a probe, counted from its start.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspected process has to refute.
	// Meanwhile the host that raised the suspicion probes it every ProbePeriod.
	SuspicionTimeout time.Duration
	// PauseLimit is the delay of a timer above which this process assumes that it
	// was paused and extends the deadlines of other members by that delay.
	PauseLimit time.Duration
	// ListLag is the maximum age of an answer of the host list.
	ListLag time.Duration
	// SelfCheck is the time without seeing itself in the list after which a
	// host stops holding leases.
	SelfCheck time.Duration
	// IndirectProbes is the number of members asked to probe on behalf of this
	// process, and the number that its shutdown and end are announced to at once.
	IndirectProbes int
	// MaxUpdates is the maximum number of updates in one message; an answer to
	// Ping.Sync is not limited.
	MaxUpdates int
	// RetransmitFactor times ceil(log2(members+1)) is the maximum number of
	// messages on which a host piggybacks one update.
	RetransmitFactor int
	// SyncPeriod is the minimum interval between two complete exchanges of state.
	SyncPeriod time.Duration
	// MaxTombstones is the maximum number of tombstones: records of unlisted processes
	// with the status Gone, kept so that late messages about them change nothing.
	MaxTombstones int
}

// DefaultConfig returns the timing and the limits that the daemon uses. ProbePeriod and
// IndirectProbes are those of docs/design.md, section 3.4, ListLag and SelfCheck those
// of sections 3.3 and 7.
func DefaultConfig() Config {
	return Config{
		ProbePeriod:      time.Second,
		PingTimeout:      300 * time.Millisecond,
		ProbeTimeout:     900 * time.Millisecond,
		SuspicionTimeout: 3 * time.Second,
		PauseLimit:       500 * time.Millisecond,
		ListLag:          15 * time.Second,
		SelfCheck:        10 * time.Second,
		IndirectProbes:   3,
		MaxUpdates:       8,
		RetransmitFactor: 2,
		SyncPeriod:       10 * time.Second,
		MaxTombstones:    1024,
	}
}

// Member is one process of the region as this host sees it.
type Member struct {
	host.Info
	Status Status `json:"status"`
	// Refutation counts the process's refutations of claims about it.
	Refutation uint32 `json:"refutation"`
	// Leaving is set once the process announced its shutdown, and while the host
	// list shows its host as leaving, whatever Status is.
	Leaving bool `json:"leaving"`
	// Listed reports whether the latest answer of the host list names the host.
	Listed bool `json:"listed"`
}

// TakesWork reports whether new work may be directed to the member.
func (m Member) TakesWork() bool {
	return !m.Leaving && (m.Status == Live || m.Status == Suspect)
}

// Stats holds the counters of a Machine since its start.
type Stats struct {
	Probes         uint64 `json:"probes"`
	IndirectProbes uint64 `json:"indirect_probes"`
	MessagesSent   uint64 `json:"messages_sent"`
	// Suspicions counts the suspicions that this process raised, Deaths the suspected
	// processes that it declared gone.
	Suspicions uint64 `json:"suspicions"`
	Deaths     uint64 `json:"deaths"`
	// Refutations counts the claims about this process that it refuted.
	Refutations uint64 `json:"refutations"`
	// StaleUpdates counts the received claims superseded by one about the same
	// incarnation, StaleIncarnations those about an earlier incarnation.
	StaleUpdates      uint64 `json:"stale_updates"`
	StaleIncarnations uint64 `json:"stale_incarnations"`
	// ForeignMessages counts the messages of other regions and the malformed claims.
	ForeignMessages uint64 `json:"foreign_messages"`
	Syncs           uint64 `json:"syncs"`
	Pauses          uint64 `json:"pauses"`
	ListAnswers     uint64 `json:"list_answers"`
	ListFailures    uint64 `json:"list_failures"`
}
