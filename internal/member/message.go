package member

import (
	"encoding/json"

	"github.com/galenabeam/galenabeam/internal/host"
)

// Location is the failure domain and the addresses of a process.
type Location struct {
	FailureDomain string `json:"fd"`
	RPCAddress    string `json:"rpc"`
	HTTPAddress   string `json:"http"`
}

// Claim is a statement about one process. Only the process itself states Joining,
// Live and Leaving and raises its refutation counter.
type Claim struct {
	ID          host.ID          `json:"id"`
	Incarnation host.Incarnation `json:"inc"`
	Refutation  uint32           `json:"ref,omitempty"`
	Status      Status           `json:"st"`
	// Location may be nil in claims that a process is suspect or gone.
	Location *Location `json:"at,omitempty"`
}

// supersedes reports whether c replaces old, a claim about the same host. A
// process that was declared gone by mistake returns with a higher refutation
// counter.
func (c Claim) supersedes(old Claim) bool {
	if c.Incarnation != old.Incarnation {
		return c.Incarnation > old.Incarnation
	}
	if c.Refutation != old.Refutation {
		return c.Refutation > old.Refutation
	}
	return c.Status.precedence() > old.Status.precedence()
}

// Ping is the content of member.ping.
type Ping struct {
	Region  string  `json:"region"`
	From    Claim   `json:"from"`
	Updates []Claim `json:"up,omitempty"`
	// Digest is a hash of the processes that the sender knows as live, leaving or
	// suspect, itself included.
	Digest uint64 `json:"dig,omitempty"`
	// Sync asks for all claims of the receiver.
	Sync bool `json:"sync,omitempty"`
	// Extra is opaque to this package; it carries the configuration revision and
	// the primary's epoch.
	Extra json.RawMessage `json:"x,omitempty"`
}

// Pong is the answer to member.ping.
type Pong struct {
	Region  string          `json:"region"`
	From    Claim           `json:"from"`
	Updates []Claim         `json:"up,omitempty"`
	Digest  uint64          `json:"dig,omitempty"`
	Extra   json.RawMessage `json:"x,omitempty"`
}

// PingReq is the content of member.ping_req: it asks the receiver to ping Target.
type PingReq struct {
	Ping   Ping      `json:"ping"`
	Target host.Info `json:"target"`
	// Suspicion is set if the requester suspects the target, which can then refute.
	Suspicion *Claim `json:"sus,omitempty"`
}

// PingReqAnswer is the answer to member.ping_req.
type PingReqAnswer struct {
	// Pong is the target's answer, or nil when it did not answer in time.
	Pong *Pong `json:"pong,omitempty"`
	// Relay is the claim of the relaying host about itself.
	Relay Claim `json:"relay"`
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick is the event without content; Step runs the timers that are due.
type Tick struct{}

// PingReceived is a member.ping request. Call identifies it in AnswerPing.
type PingReceived struct {
	Call uint64
	Ping Ping
}

// PongReceived is the answer to SendPing with the same Seq.
type PongReceived struct {
	Seq  uint64
	Pong Pong
}

// PingReqReceived is a member.ping_req request. Call identifies it in
// AnswerPingReq.
type PingReqReceived struct {
	Call    uint64
	Request PingReq
}

// PingReqAnswered is the answer to SendPingReq with the same Seq.
type PingReqAnswered struct {
	Seq    uint64
	Answer PingReqAnswer
}

// CallFailed reports that the call with Seq got no answer.
type CallFailed struct{ Seq uint64 }

// ListReceived is an answer of the host list.
type ListReceived struct{ Hosts []Listed }

// ListFailed reports that the host list did not answer.
type ListFailed struct{}

// SetExtra replaces the opaque content that pings and their answers carry.
type SetExtra struct{ Extra json.RawMessage }

// Leave announces the shutdown of this process to the region.
type Leave struct{}

// Stop is the last event: it announces the end of this process to a few members.
// Later events have no effect.
type Stop struct{}

func (Tick) event()            {}
func (PingReceived) event()    {}
func (PongReceived) event()    {}
func (PingReqReceived) event() {}
func (PingReqAnswered) event() {}
func (CallFailed) event()      {}
func (ListReceived) event()    {}
func (ListFailed) event()      {}
func (SetExtra) event()        {}
func (Leave) event()           {}
func (Stop) event()            {}

// Action is an output of Machine.Step that the caller executes.
type Action interface{ action() }

// SendPing calls member.ping at To.RPCAddress. A zero Seq expects no answer.
type SendPing struct {
	To   host.Info
	Seq  uint64
	Ping Ping
}

// AnswerPing answers the member.ping request with the number Call.
type AnswerPing struct {
	Call uint64
	Pong Pong
}

// SendPingReq calls member.ping_req at To.RPCAddress.
type SendPingReq struct {
	To      host.Info
	Seq     uint64
	Request PingReq
}

// AnswerPingReq answers the member.ping_req request with the number Call.
type AnswerPingReq struct {
	Call   uint64
	Answer PingReqAnswer
}

// Changed reports a change of a member's status or incarnation, or of its state in
// an answer of the host list that names it. Before is the status before the change.
type Changed struct {
	Member Member
	Before Status
}

// PeerExtra delivers the opaque content of a message from a member.
type PeerExtra struct {
	From  host.Info
	Extra json.RawMessage
}

// Superseded reports that a later incarnation runs on this host, so that this
// process must stop.
type Superseded struct{ By host.Incarnation }

func (SendPing) action()      {}
func (AnswerPing) action()    {}
func (SendPingReq) action()   {}
func (AnswerPingReq) action() {}
func (Changed) action()       {}
func (PeerExtra) action()     {}
func (Superseded) action()    {}
