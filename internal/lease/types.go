// Package lease elects one entry host of a region as its primary, which leases
// resources to the region's hosts. These leases are not those of package store.
// Lessor and Holder are state machines without I/O: they take inputs with the
// time since an arbitrary monotonic origin, and return what the control goroutine
// is to do. Every host has a Lessor, whatever its role. README.md describes the
// rules.
package lease

import (
	"encoding/json"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/store"
)

// Ref identifies one process of the daemon on a host. The zero Ref identifies
// none.
type Ref struct {
	ID          host.ID          `json:"id"`
	Incarnation host.Incarnation `json:"incarnation"`
}

// IsZero reports whether r identifies no process.
func (r Ref) IsZero() bool { return r == Ref{} }

// Record is the value of the store key /regions/<region>/lessor.
type Record struct {
	Epoch   uint64 `json:"epoch"`
	Primary Ref    `json:"primary"`
	// Standby may become primary by a write once the record has not changed for
	// Config.TTL plus Config.Margin, unless it acknowledged an extension; all
	// other hosts wait longer or query the region first. The successor may become
	// primary without the store, see Extend. A primary that reaches the store
	// names one host as both.
	Standby Ref `json:"standby"`
	// Counter increases with each write of the record.
	Counter uint64 `json:"counter"`
	// Operation identifies the write, so that its author recognizes it if the
	// store's answer was lost.
	Operation string `json:"operation"`
	// MaxLease is the longest validity of a lease that the primary grants.
	MaxLease time.Duration `json:"max_lease_ns"`
}

// Role is a host's role in granting leases.
type Role string

const (
	Follower Role = "follower"
	// Standby is the role of the record's standby and of the successor that the
	// primary has named.
	Standby Role = "standby"
	Primary Role = "primary"
)

// Member is a host of the region that the membership protocol does not report as
// gone; suspected and leaving hosts are included.
type Member struct {
	Ref           Ref    `json:"ref"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
}

// Resource can be leased to one holder at a time. The name is opaque, for
// example "pool/pay-svc"; the payload is passed on to the holder.
type Resource struct {
	Name    string          `json:"name"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Event is an input of Lessor.Step.
type Event interface{ event() }

// Tick makes the Lessor act on expired timers. It is due every TickPeriod.
type Tick struct{}

// StoreStatus is the outcome of a store call. The values correspond to the
// errors of package store.
type StoreStatus string

const (
	StoreOK          StoreStatus = ""
	StoreNotFound    StoreStatus = "not-found"
	StoreConflict    StoreStatus = "conflict"
	StoreUnavailable StoreStatus = "unavailable"
	StoreUncertain   StoreStatus = "uncertain"
)

// StoreResult is the result of the StoreGet, StoreCAS or StoreWatch with the same
// Call. Each call must get exactly one. Get and CAS need a timeout; a watch may
// wait without limit. If Status is StoreOK, Revision is valid, and so is Record
// except for a StoreCAS.
type StoreResult struct {
	Call     uint64
	Status   StoreStatus
	Record   Record
	Revision store.Revision
}

// PeerMessage is a message from another host of the region.
type PeerMessage struct{ Message Message }

// MembersChanged replaces the live members. Ended lists incarnations that have
// certainly ended, because a newer one of the same host is known.
type MembersChanged struct {
	Members []Member
	Ended   []Ref
}

// ListRead reports a successful read of the host list: all listed hosts of the
// region, live or leaving.
type ListRead struct{ Hosts []host.ID }

// ResourcesChanged replaces the resources to lease.
type ResourcesChanged struct{ Resources []Resource }

// PrimaryReported reports an epoch that a RenewAnswer or a ping contained.
type PrimaryReported struct {
	Epoch   uint64
	Primary Ref
	// Direct is set if the primary itself answered and had authority.
	Direct bool
}

// RenewReceived carries a holder's request. The Reply has the same Token.
type RenewReceived struct {
	Token   uint64
	Request RenewRequest
}

// Shutdown makes the host give up its role.
type Shutdown struct{}

func (Tick) event()             {}
func (StoreResult) event()      {}
func (PeerMessage) event()      {}
func (MembersChanged) event()   {}
func (ListRead) event()         {}
func (ResourcesChanged) event() {}
func (PrimaryReported) event()  {}
func (RenewReceived) event()    {}
func (Shutdown) event()         {}

// Action is an output of Lessor.Step.
type Action interface{ action() }

// StoreGet reads the record.
type StoreGet struct{ Call uint64 }

// StoreWatch waits for a revision of the record higher than After.
type StoreWatch struct {
	Call  uint64
	After store.Revision
}

// StoreCAS writes the record if its revision is Expected.
type StoreCAS struct {
	Call     uint64
	Expected store.Revision
	Record   Record
}

// Send sends a message to another host without waiting for an answer.
type Send struct{ Message Message }

// Reply answers the RenewReceived with the same token.
type Reply struct {
	Token  uint64
	Answer RenewAnswer
}

// Granted reports that a resource has a new holder.
type Granted struct {
	Resource string
	Holder   Ref
}

// RoleChanged reports a new role or epoch of this host.
type RoleChanged struct {
	Role  Role
	Epoch uint64
}

// Stopped reports the end of a shutdown: the host no longer has a role.
type Stopped struct{}

func (StoreGet) action()    {}
func (StoreWatch) action()  {}
func (StoreCAS) action()    {}
func (Send) action()        {}
func (Reply) action()       {}
func (Granted) action()     {}
func (RoleChanged) action() {}
func (Stopped) action()     {}

// RenewRequest is the content of lease.renew.
type RenewRequest struct {
	From Ref `json:"from"`
	// Seq numbers the requests of a holder. The primary refuses one that is not
	// higher than the last.
	Seq uint64 `json:"seq"`
	// Epoch is the highest epoch that the holder knows.
	Epoch uint64 `json:"epoch"`
	// Holds lists the resources with a valid lease when the request was sent.
	Holds []string `json:"holds,omitempty"`
	// Released lists resources that the holder has stopped using.
	Released []string `json:"released,omitempty"`
	// Leaving asks the primary to grant no new resources and to have held ones
	// released.
	Leaving bool `json:"leaving,omitempty"`
}

// RenewAnswer is the answer to lease.renew.
type RenewAnswer struct {
	Seq   uint64 `json:"seq"`
	Epoch uint64 `json:"epoch"`
	// Primary is the primary that the answering host knows of.
	Primary Ref `json:"primary"`
	// Refused means that the answering host did not process the request, for
	// example because it has no authority.
	Refused bool `json:"refused,omitempty"`
	// RepeatRequest asks the holder to repeat the request at once with what it still
	// holds, because the request was made under a lower epoch. The holder keeps
	// its leases.
	RepeatRequest bool `json:"claim,omitempty"`
	// Grants replace all leases of the holder.
	Grants []Grant `json:"grants,omitempty"`
	// Valid is the validity of the leases, counted from before the holder sent
	// the request.
	Valid time.Duration `json:"valid_ns"`
	// Period is the time from this request until the next.
	Period time.Duration `json:"period_ns"`
}

// Grant is one leased resource.
type Grant struct {
	Resource Resource `json:"resource"`
	// Release asks the holder to stop using the resource and to list it in
	// RenewRequest.Released.
	Release bool `json:"release,omitempty"`
}

// Message is a message between the Lessors of two hosts. Exactly one of the
// pointers is set. A To.Incarnation of zero addresses any process of the host.
type Message struct {
	From     Ref          `json:"from"`
	To       Ref          `json:"to"`
	Extend   *Extend      `json:"extend,omitempty"`
	Ack      *ExtendAck   `json:"extend_ack,omitempty"`
	Handover *Handover    `json:"handover,omitempty"`
	Accepted *Accepted    `json:"accepted,omitempty"`
	Query    *Query       `json:"query,omitempty"`
	Answer   *QueryAnswer `json:"query_answer,omitempty"`
	Resign   *Resign      `json:"resign,omitempty"`
}

// Extend confirms the receiver as the sole successor until Config.NominationLimit
// after Bounds.LastStamp. With Through it also asks the receiver to acknowledge
// an extension: not to take over because of a record whose counter is at most
// Through.
type Extend struct {
	Epoch uint64 `json:"epoch"`
	// Through is the highest counter that the extension covers; zero asks for
	// no extension.
	Through uint64 `json:"through,omitempty"`
	// Withdraw withdraws the right to succeed the primary without the store.
	Withdraw bool `json:"disarm,omitempty"`
	// Stamp is the sender's clock, returned as ExtendAck.ExtendStamp.
	Stamp  time.Duration `json:"stamp_ns"`
	Bounds Bounds        `json:"bounds"`
}

// Bounds lets the receiver bound the time of the last confirmed write of the
// record on its own clock: it was not before LastStamp minus Age.
type Bounds struct {
	// LastStamp is the last ExtendAck.Stamp that the sender received from the
	// receiver. Zero gives the receiver no right to succeed the sender without
	// the store.
	LastStamp time.Duration `json:"echo_ns"`
	// Age is the time since just before the last confirmed write of the record.
	Age time.Duration `json:"age_ns"`
	// Counter is the highest counter that any primary wrote or tried to write.
	Counter uint64 `json:"counter"`
	// MaxLease is the longest validity that may have been granted.
	MaxLease time.Duration `json:"max_lease_ns"`
	// Writers are the authors of all records that may be in the store since the
	// last takeover by a write. A record by another author shows that the primary
	// has been replaced.
	Writers []Writer `json:"writers,omitempty"`
}

// Writer is the author of a record.
type Writer struct {
	Primary Ref    `json:"primary"`
	Epoch   uint64 `json:"epoch"`
}

// ExtendAck answers Extend.
type ExtendAck struct {
	Epoch uint64 `json:"epoch"`
	// Through is the highest counter of the acknowledged extension, zero if
	// none is acknowledged.
	Through uint64 `json:"through"`
	// Withdrawn confirms that the sender may no longer succeed the primary
	// without the store.
	Withdrawn bool `json:"disarmed,omitempty"`
	// ExtendStamp is the Stamp of the Extend that is answered.
	ExtendStamp time.Duration `json:"asked_ns"`
	// Stamp is the sender's clock, which the receiver returns as
	// Bounds.LastStamp.
	Stamp time.Duration `json:"stamp_ns"`
}

// Handover makes the receiver primary of Epoch. Assignments lists the holder of
// each resource that is still leased, by resource name.
type Handover struct {
	Epoch       uint64         `json:"epoch"`
	Bounds      Bounds         `json:"bounds"`
	Assignments map[string]Ref `json:"assignments"`
}

// Accepted confirms a Handover.
type Accepted struct {
	Epoch uint64 `json:"epoch"`
}

// Query asks for the highest epoch that the receiver knows, before a takeover.
type Query struct {
	Round uint64 `json:"round"`
}

// QueryAnswer answers Query.
type QueryAnswer struct {
	Round   uint64 `json:"round"`
	Epoch   uint64 `json:"epoch"`
	Primary Ref    `json:"primary"`
	// Successor is the successor in that epoch, if known. The sender names itself
	// only while it is nominated or the record's standby.
	Successor Ref `json:"successor"`
	// Resigned is the highest epoch from which the sender has resigned.
	Resigned uint64 `json:"resigned"`
}

// Resign announces that the sender will not act as primary or successor in any
// epoch up to Epoch again.
type Resign struct {
	Epoch uint64 `json:"epoch"`
}
