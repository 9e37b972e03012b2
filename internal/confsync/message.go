package confsync

import "github.com/galenabeam/galenabeam/internal/host"

// Step is the change from the preceding revision to Revision. Checksum is the
// checksum of the resulting text.
type Step struct {
	Revision Revision `json:"rev"`
	Checksum Checksum `json:"dig"`
	Delta    Delta    `json:"delta"`
	Audit    Audit    `json:"audit"`
}

// Push is the body of a config.push request. Its delta is empty if unknown or too
// large to push.
type Push struct {
	Step
}

// PushAnswer is the body of the answer to config.push.
type PushAnswer struct {
	// Revision is the receiver's revision after it handled the push.
	Revision Revision `json:"rev"`
	// New reports whether the push had a later revision than the receiver's, which
	// tried to apply its delta or had seen no peer report it before.
	New bool `json:"new,omitempty"`
}

// Pull is the body of a config.pull request.
type Pull struct {
	// Have is the sender's current revision, zero for none.
	Have Revision `json:"have,omitempty"`
	// Checksum is that of the text of revision Have.
	Checksum Checksum `json:"dig,omitempty"`
	// RevisionOnly requests the current revision, without steps or text.
	RevisionOnly bool `json:"head_only,omitempty"`
}

// PullAnswer is the body of the answer to config.pull. Unless Pull.RevisionOnly was set
// or Pull.Have is up to date, it contains Steps or Text, or sets Busy.
type PullAnswer struct {
	Revision Revision `json:"rev"`
	Checksum Checksum `json:"dig,omitempty"`
	Audit    Audit    `json:"audit"`
	// Steps lead from Pull.Have to Revision, in order, if the sender retains them.
	Steps []Step `json:"steps,omitempty"`
	// Text is the complete text if Steps is empty.
	Text []byte `json:"text,omitempty"`
	// Busy reports that the sender has reached its rate limit for complete texts.
	Busy bool `json:"busy,omitempty"`
}

// Event is an input of a state machine of this package.
type Event interface{ event() }

// Tick only advances the time.
type Tick struct{}

// PushReceived is a config.push request from a peer. Call identifies it in
// AnswerPush.
type PushReceived struct {
	Call uint64
	From host.ID
	Push Push
}

// PushAnswered is the answer to SendPush with the same Seq.
type PushAnswered struct {
	Seq    uint64
	Answer PushAnswer
}

// PullReceived is a config.pull request from a peer. Call identifies it in
// AnswerPull.
type PullReceived struct {
	Call uint64
	Pull Pull
}

// PullAnswered is the answer to SendPull with the same Seq.
type PullAnswered struct {
	Seq    uint64
	Answer PullAnswer
}

// CallFailed reports that SendPush or SendPull with the same Seq got no answer.
type CallFailed struct{ Seq uint64 }

// PeerRevision is a revision reported in a membership ping or its answer.
type PeerRevision struct {
	From     host.ID
	Revision Revision
}

// SetPeers replaces the hosts to push to and to pull from: the members of the region
// that take work, except this host.
type SetPeers struct{ Peers []host.ID }

// SetWatcher sets whether this host watches the store for its region.
type SetWatcher struct{ On bool }

// Committed is a revision that the store accepted from a Submission of this process.
type Committed struct {
	Head Head
	Text []byte
}

func (Tick) event()         {}
func (StoreResult) event()  {}
func (PushReceived) event() {}
func (PushAnswered) event() {}
func (PullReceived) event() {}
func (PullAnswered) event() {}
func (CallFailed) event()   {}
func (PeerRevision) event() {}
func (SetPeers) event()     {}
func (SetWatcher) event()   {}
func (Committed) event()    {}

// Action is an output of a state machine, which the user of the machine carries out.
type Action interface{ action() }

// SendPush sends a config.push request to a host.
type SendPush struct {
	To   host.ID
	Seq  uint64
	Push Push
}

// AnswerPush answers the config.push request identified by Call.
type AnswerPush struct {
	Call   uint64
	Answer PushAnswer
}

// SendPull sends a config.pull request to a host.
type SendPull struct {
	To   host.ID
	Seq  uint64
	Pull Pull
}

// AnswerPull answers the config.pull request identified by Call.
type AnswerPull struct {
	Call   uint64
	Answer PullAnswer
}

// Source is the origin of a process's current revision.
type Source string

// Sources of a revision.
const (
	FromStore      Source = "store"
	FromPeer       Source = "peer"
	FromSubmission Source = "submission"
)

// Apply passes on a revision that has become the current one; successive ones
// increase. The process may refuse the text and keep the previous configuration, if
// any, in force.
type Apply struct {
	Revision Revision
	Checksum Checksum
	Text     []byte
	Audit    Audit
	Source   Source
}

func (StoreCall) action()  {}
func (Submitted) action()  {}
func (SendPush) action()   {}
func (AnswerPush) action() {}
func (SendPull) action()   {}
func (AnswerPull) action() {}
func (Apply) action()      {}
