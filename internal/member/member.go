// Package member keeps the membership of one region.
//
// A Machine is a pure state machine: Step takes the time, an event and returns
// the actions to execute. It probes one member per period in random order,
// asks other members to probe on its behalf, spreads what it learns in the
// messages that it sends anyway, and lets a suspected process refute. The
// platform's host list seeds the members and tells which ones have ended.
package member

import (
	"context"
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// ErrListUnavailable: the platform's host list did not answer. Adapters wrap it.
var ErrListUnavailable = errors.New("member: host list unavailable")

// Status is what is known about a process.
type Status string

// States of a process.
const (
	// Joining: listed or announced, but not yet known to answer.
	Joining Status = "joining"
	// Live: the process answers.
	Live Status = "live"
	// Leaving: the process has announced its shutdown and takes no new work.
	Leaving Status = "leaving"
	// Suspect: a probe failed and the process has not refuted yet.
	Suspect Status = "suspect"
	// Gone: the suspicion was not refuted in time, or the process said goodbye.
	Gone Status = "gone"
)

// order ranks states claimed with equal incarnation and refutation.
func (s Status) order() int {
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

// ListState is the platform's word on a host.
type ListState string

// States of a listed host.
const (
	ListedLive    ListState = "live"
	ListedLeaving ListState = "leaving"
)

// Listed is one host in the platform's list. The platform does not know the
// incarnation of the process on the host.
type Listed struct {
	ID            host.ID   `json:"id"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	RPCAddress    string    `json:"rpc_address"`
	HTTPAddress   string    `json:"http_address"`
	State         ListState `json:"state"`
	// Kind tells what runs on the host; empty means an entry host.
	Kind ListKind `json:"kind,omitempty"`
}

// ListKind is what runs on a listed host.
type ListKind string

// Kinds of listed hosts. The id of a backend server's host is the server's name.
const (
	ListedEntryHost     ListKind = "entry-host"
	ListedBackendServer ListKind = "backend-server"
)

// HostList is the port to the platform's lagging list of hosts.
type HostList interface {
	// Hosts returns the listed hosts of all regions in order of their ids, or
	// an error that wraps ErrListUnavailable. An answer may be as old as
	// Config.ListLag. Hosts returns when ctx ends.
	Hosts(ctx context.Context) ([]Listed, error)
}

// Config holds the timing of a Machine. All durations are positive.
type Config struct {
	// ProbePeriod separates the probes that a host sends.
	ProbePeriod time.Duration
	// PingTimeout is the wait for a direct answer before others are asked.
	PingTimeout time.Duration
	// ProbeTimeout is the wait for any answer to a probe, counted from its start.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time a suspected process has to refute. The host
	// that suspects repeats its probe every ProbePeriod meanwhile.
	SuspicionTimeout time.Duration
	// PauseLimit is the delay of a timer beyond which this process takes itself
	// to have been paused and extends the deadlines of others by the delay.
	PauseLimit time.Duration
	// ListLag bounds the age of an answer of the host list.
	ListLag time.Duration
	// SelfCheck is the time without seeing itself in the list after which a
	// host stops holding leases.
	SelfCheck time.Duration
	// IndirectProbes is the number of members asked to probe on our behalf.
	IndirectProbes int
	// MaxUpdates bounds the updates in one message.
	MaxUpdates int
	// RetransmitFactor times ceil(log2(members+1)) is how often one update is sent.
	RetransmitFactor int
	// SyncPeriod is the least time between two complete exchanges of state.
	SyncPeriod time.Duration
	// MaxForgotten bounds the records of ended processes that are kept so that
	// late messages about them change nothing.
	MaxForgotten int
}

// DefaultConfig returns the timing of the design page.
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
		MaxForgotten:     1024,
	}
}

// Member is one process of the region as this host sees it.
type Member struct {
	host.Info
	Status Status `json:"status"`
	// Refutation counts the process's corrections of claims about it.
	Refutation uint32 `json:"refutation"`
	// Leaving is set once the process announced its shutdown or while the
	// platform lists its host as leaving, also when Status is Suspect.
	Leaving bool `json:"leaving"`
	// Listed tells whether the latest answer of the platform names the host.
	Listed bool `json:"listed"`
}

// TakesWork tells whether new work may be directed to the member.
func (m Member) TakesWork() bool {
	return !m.Leaving && (m.Status == Live || m.Status == Suspect)
}

// Stats counts what a Machine has done since its start.
type Stats struct {
	Probes            uint64 `json:"probes"`
	IndirectProbes    uint64 `json:"indirect_probes"`
	MessagesSent      uint64 `json:"messages_sent"`
	Suspicions        uint64 `json:"suspicions"`
	Deaths            uint64 `json:"deaths"`
	Refutations       uint64 `json:"refutations"`
	StaleUpdates      uint64 `json:"stale_updates"`
	StaleIncarnations uint64 `json:"stale_incarnations"`
	ForeignMessages   uint64 `json:"foreign_messages"`
	Syncs             uint64 `json:"syncs"`
	Pauses            uint64 `json:"pauses"`
	ListAnswers       uint64 `json:"list_answers"`
	ListFailures      uint64 `json:"list_failures"`
}
