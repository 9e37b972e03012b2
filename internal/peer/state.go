package peer

import (
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/sched"
)

// MethodState asks an entry host what it knows of its region.
const MethodState = "region.state"

// StateQuery asks for the state of a region.
type StateQuery struct {
	// Gather asks the receiver to ask the other hosts of its region too.
	Gather bool `json:"gather"`
}

// HostState is what an entry host knows about itself.
type HostState struct {
	Host host.Info `json:"host"`
	// Status is its own state in membership.
	Status string `json:"status"`
	// Lessor is "primary", "standby" or empty.
	Lessor   string `json:"lessor,omitempty"`
	Revision uint64 `json:"revision"`
	// Pools are the pools that the host owns.
	Pools []sched.State `json:"pools,omitempty"`
	// Caps are set by the primary lessor only.
	Caps []CapState `json:"caps,omitempty"`
}

// CapState is the use of one cap on shifts into the host's region.
type CapState struct {
	Origin         string      `json:"origin"`
	Concurrent     int         `json:"concurrent"`
	BytesPerSecond int64       `json:"bytes_per_second"`
	Used           int         `json:"used"`
	Holders        []CapHolder `json:"holders,omitempty"`
}

// CapHolder is the share of one pool owner.
type CapHolder struct {
	Holder         host.Incarnation `json:"holder"`
	Concurrent     int              `json:"concurrent"`
	BytesPerSecond int64            `json:"bytes_per_second"`
}

// StateReply is the state of the receiver and, if asked to gather, of the hosts
// of its region that answered.
type StateReply struct {
	Hosts []HostState `json:"hosts"`
}
