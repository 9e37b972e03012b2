package peer

import (
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/sched"
)

// MethodState asks an entry host for the state of its region.
const MethodState = "region.state"

// StateQuery asks for the state of a region.
type StateQuery struct {
	// Gather makes the receiver ask the other hosts of its region too.
	Gather bool `json:"gather"`
}

// HostState is the state of an entry host, reported by itself.
type HostState struct {
	Host host.Info `json:"host"`
	// Status is the host's status in membership.
	Status string `json:"status"`
	// Lessor is the host's role in package lease, "primary" or "standby", else empty.
	Lessor string `json:"lessor,omitempty"`
	// Revision is the revision of the configuration in force, or 0 without one.
	Revision uint64 `json:"revision"`
	// Pools are the pools that the host owns.
	Pools []sched.State `json:"pools,omitempty"`
	// Caps are the shift caps into the region. Only the primary sets them.
	Caps []CapState `json:"caps,omitempty"`
}

// CapState is a cap on shifts from the region Origin into the host's region. Used
// is the recent peak of requests in flight under it: the sum of the holders' peaks,
// at most what was granted.
type CapState struct {
	Origin         string      `json:"origin"`
	Concurrent     int         `json:"concurrent"`
	BytesPerSecond int64       `json:"bytes_per_second"`
	Used           int         `json:"used"`
	Holders        []CapHolder `json:"holders,omitempty"`
}

// CapHolder is the share of a cap that one pool owner holds.
type CapHolder struct {
	Holder         host.Incarnation `json:"holder"`
	Concurrent     int              `json:"concurrent"`
	BytesPerSecond int64            `json:"bytes_per_second"`
}

// StateReply is the state of the receiver and, with StateQuery.Gather, of the
// other hosts of its region that answered.
type StateReply struct {
	Hosts []HostState `json:"hosts"`
}
