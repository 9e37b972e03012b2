package lease

import "time"

// State is a Lessor's state for the administration API.
type State struct {
	Role      Role          `json:"role"`
	Epoch     uint64        `json:"epoch"`
	Primary   Ref           `json:"primary"`
	Successor Ref           `json:"successor"`
	Authority time.Duration `json:"authority_left_ns"`
	Extended  bool          `json:"extended"`
	Record    Record        `json:"record"`
	Revision  int64         `json:"revision"`
	// RecordAge is the time since the record was first seen unchanged.
	RecordAge time.Duration  `json:"record_age_ns"`
	Pending   bool           `json:"write_pending"`
	Leaving   bool           `json:"leaving"`
	Holders   map[string]Ref `json:"holders,omitempty"`
	WaitLeft  time.Duration  `json:"wait_left_ns"`
	Counts    Counts         `json:"counts"`
}

// State returns a copy of the state at the time of the last Step.
func (l *Lessor) State() State {
	return State{
		Role: l.role, Epoch: l.regime.Epoch, Primary: l.regime.Primary, Successor: l.regime.Successor,
		Authority: max(0, l.Authority()-l.now), Extended: l.role == Primary && !l.storeAuthority() && l.now < l.Authority(),
		Record: l.seen.record, Revision: int64(l.seen.revision), RecordAge: l.now - l.seen.at,
		Pending: l.attempt != nil, Leaving: l.leaving, Holders: l.table.assignments(l.now),
		WaitLeft: max(0, l.table.waitUntil-l.now), Counts: l.counts,
	}
}

// Role returns the present role.
func (l *Lessor) Role() Role { return l.role }

// Counts returns the counters since the start.
func (l *Lessor) Counts() Counts { return l.counts }
