// Package lease decides which entry host of a region is its lessor, and lends
// resources to the region's hosts. Lessor and Holder are state machines: they
// take the time since an arbitrary monotonic origin and an event, and return
// actions for the control goroutine. README.md describes the rules.
package lease

import (
	"encoding/json"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/store"
)

// Ref names one run of the daemon on a host. The zero Ref stands for none.
type Ref struct {
	ID          host.ID          `json:"id"`
	Incarnation host.Incarnation `json:"incarnation"`
}

// IsZero tells whether the Ref names no process.
func (r Ref) IsZero() bool { return r == Ref{} }

// Record is the value of the store key /regions/<region>/lessor.
type Record struct {
	Epoch   uint64 `json:"epoch"`
	Primary Ref    `json:"primary"`
	Standby Ref    `json:"standby"`
	// Counter counts the renewals.
	Counter uint64 `json:"counter"`
	// Operation identifies the write, to recognize it when its answer was lost.
	Operation string `json:"operation"`
	// MaxLease is the longest time limit that the primary grants.
	MaxLease time.Duration `json:"max_lease_ns"`
}

// Role is a host's part in granting leases.
type Role string

// Roles.
const (
	Follower Role = "follower"
	Standby  Role = "standby"
	Primary  Role = "primary"
)

// Member is a host of the region as membership sees it.
type Member struct {
	Ref           Ref    `json:"ref"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
}

// Resource can be lent to one holder at a time. The name is opaque, for
// example "pool/pay-svc"; the payload is passed on to the holder.
type Resource struct {
	Name    string          `json:"name"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Event is an input of Lessor.Step.
type Event interface{ event() }

// Tick lets time pass. It is due every TickPeriod.
type Tick struct{}

// StoreError tells how a store call ended.
type StoreError string

// Ends of store calls, after the errors of package store.
const (
	StoreOK          StoreError = ""
	StoreNotFound    StoreError = "not-found"
	StoreConflict    StoreError = "conflict"
	StoreUnavailable StoreError = "unavailable"
	StoreUncertain   StoreError = "uncertain"
)

// StoreResult ends the call of a StoreGet, StoreCAS or StoreWatch. Every call
// ends with one result, by timeout at the latest (a watch may wait on).
type StoreResult struct {
	Call     uint64
	Err      StoreError
	Record   Record
	Revision store.Revision
}

// PeerMessage is a message from another host of the region.
type PeerMessage struct{ Message Message }

// MembersChanged replaces the live members. Ended lists incarnations that
// have certainly ended because a newer one has answered at their address.
type MembersChanged struct {
	Members []Member
	Ended   []Ref
}

// ListRead reports one successful read of the platform's host list: all
// listed hosts of the region, live or leaving.
type ListRead struct{ Hosts []host.ID }

// ResourcesChanged replaces the resources to lend.
type ResourcesChanged struct{ Resources []Resource }

// PrimaryReported reports an epoch learned from a renewal answer or a ping.
type PrimaryReported struct {
	Epoch   uint64
	Primary Ref
	// Direct: the primary itself has answered, with authority.
	Direct bool
}

// RenewReceived carries a holder's request. Token returns with the Reply.
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

// StoreWatch waits for a revision of the record after After.
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

// Send sends a message to another host, without waiting for an answer.
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

// Stopped ends a shutdown: the host holds no role any more.
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
	// Seq numbers the requests of a holder. Older ones are ignored.
	Seq uint64 `json:"seq"`
	// Epoch is the highest one that the holder knows.
	Epoch uint64 `json:"epoch"`
	// Holds lists the resources held validly when the request was sent.
	Holds []string `json:"holds,omitempty"`
	// Released lists resources that the holder has stopped using.
	Released []string `json:"released,omitempty"`
	// Leaving asks for no new resources and for release of those held.
	Leaving bool `json:"leaving,omitempty"`
}

// RenewAnswer is the answer to lease.renew.
type RenewAnswer struct {
	Seq   uint64 `json:"seq"`
	Epoch uint64 `json:"epoch"`
	// Primary is the lessor as far as the answering host knows.
	Primary Ref `json:"primary"`
	// Refused: the answering host cannot grant at present.
	Refused bool `json:"refused,omitempty"`
	// Claim: the request was made under another epoch. The holder repeats it
	// at once with what it still holds; nothing is taken away.
	Claim bool `json:"claim,omitempty"`
	// Grants replace all that the holder has.
	Grants []Grant `json:"grants,omitempty"`
	// Valid is the time limit, counted from before the request was sent.
	Valid time.Duration `json:"valid_ns"`
	// Period is the time until the next request.
	Period time.Duration `json:"period_ns"`
}

// Grant is one resource lent.
type Grant struct {
	Resource Resource `json:"resource"`
	// Release asks the holder to stop using the resource and to say so.
	Release bool `json:"release,omitempty"`
}

// Message is a message between lessors. Exactly one of the contents is set.
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

// Extend confirms the receiver as the sole successor for NominationLimit and,
// with Through, asks it to acknowledge an extension.
type Extend struct {
	Epoch uint64 `json:"epoch"`
	// Through is the highest counter that the extension covers; zero asks for none.
	Through uint64 `json:"through,omitempty"`
	// Disarm withdraws the right to follow without the store.
	Disarm bool `json:"disarm,omitempty"`
	// Stamp is the sender's clock, returned in the answer.
	Stamp  time.Duration `json:"stamp_ns"`
	Bounds Bounds        `json:"bounds"`
}

// Bounds lets the receiver bound the time of the last renewal on its own clock.
type Bounds struct {
	// Echo is the latest Stamp that the sender had from the receiver.
	Echo time.Duration `json:"echo_ns"`
	// Age is the time since just before the last confirmed renewal.
	Age time.Duration `json:"age_ns"`
	// Counter is the highest counter that was written or attempted.
	Counter uint64 `json:"counter"`
	// MaxLease is the longest time limit that may have been granted.
	MaxLease time.Duration `json:"max_lease_ns"`
	// Writers are the authors of all records that may be in the store since
	// the last takeover by a write. Any other author has replaced them.
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
	// Through is the acknowledged extension, zero if none.
	Through uint64 `json:"through"`
	// Disarmed confirms that the sender no longer may follow without the store.
	Disarmed bool `json:"disarmed,omitempty"`
	// Asked is the Stamp of the Extend that is answered.
	Asked time.Duration `json:"asked_ns"`
	// Stamp is the sender's clock, opaque to the receiver.
	Stamp time.Duration `json:"stamp_ns"`
}

// Handover makes the receiver primary of Epoch.
type Handover struct {
	Epoch       uint64         `json:"epoch"`
	Bounds      Bounds         `json:"bounds"`
	Assignments map[string]Ref `json:"assignments"`
}

// Accepted confirms a Handover.
type Accepted struct {
	Epoch uint64 `json:"epoch"`
}

// Query asks for the highest epoch known, before a takeover.
type Query struct {
	Round uint64 `json:"round"`
}

// QueryAnswer answers Query.
type QueryAnswer struct {
	Round   uint64 `json:"round"`
	Epoch   uint64 `json:"epoch"`
	Primary Ref    `json:"primary"`
	// Successor is the named successor in that epoch, if known.
	Successor Ref `json:"successor"`
	// Resigned is the highest epoch in which the sender takes no part again.
	Resigned uint64 `json:"resigned"`
}

// Resign tells that the sender takes no part in epochs up to Epoch again.
type Resign struct {
	Epoch uint64 `json:"epoch"`
}
