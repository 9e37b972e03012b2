package lease

import "time"

// State is a snapshot of a Lessor for the state dump. Durations are in nanoseconds.
type State struct {
	Role      Role   `json:"role"`
	Epoch     uint64 `json:"epoch"`
	Primary   Ref    `json:"primary"`
	Successor Ref    `json:"successor"`
	// Authority is the time left until the end of the host's authority.
	Authority time.Duration `json:"authority_left_ns"`
	// Extended is set if the authority rests on an extension, without the store.
	Extended bool   `json:"extended"`
	Record   Record `json:"record"`
	// Revision is the store revision of Record.
	Revision int64 `json:"revision"`
	// RecordAge is the time since this revision of the record was first seen.
	RecordAge time.Duration `json:"record_age_ns"`
	// Pending is set while the outcome of a write of the record is open.
	Pending bool           `json:"write_pending"`
	Leaving bool           `json:"leaving"`
	Holders map[string]Ref `json:"holders,omitempty"`
	// WaitLeft is the time until a new primary may grant resources whose holder
	// it does not know.
	WaitLeft time.Duration `json:"wait_left_ns"`
	Stats    Stats         `json:"counts"`
}

// State returns a snapshot at the time of the last Step.
func (l *Lessor) State() State {
	return State{
		Role: l.role, Epoch: l.knownEpoch.Epoch, Primary: l.knownEpoch.Primary, Successor: l.knownEpoch.Successor,
		Authority: max(0, l.Authority()-l.now), Extended: l.role == Primary && !l.hasStoreAuthority() && l.now < l.Authority(),
		Record: l.observed.record, Revision: int64(l.observed.revision), RecordAge: l.now - l.observed.since,
		Pending: l.pendingWrite != nil, Leaving: l.leaving, Holders: l.grantTable.assignments(l.now),
		WaitLeft: max(0, l.grantTable.unclaimedUntil-l.now), Stats: l.stats,
	}
}

// Role returns the current role.
func (l *Lessor) Role() Role { return l.role }

// Stats returns the counters since the start.
func (l *Lessor) Stats() Stats { return l.stats }
