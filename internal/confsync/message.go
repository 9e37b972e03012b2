package confsync

import "github.com/galenabeam/galenabeam/internal/host"

// Step leads from the revision before to a revision.
type Step struct {
	Revision Revision `json:"rev"`
	Digest   Digest   `json:"dig"`
	Delta    Delta    `json:"delta"`
	Audit    Audit    `json:"audit"`
}

// Push is the content of config.push: the step to a new revision.
type Push struct {
	Step
}

// PushAnswer is the answer to config.push.
type PushAnswer struct {
	// Revision is the receiver's revision afterwards.
	Revision Revision `json:"rev"`
	// New tells whether the push brought the revision.
	New bool `json:"new,omitempty"`
}

// Pull is the content of config.pull.
type Pull struct {
	// Have is the revision that the sender has, zero for none.
	Have Revision `json:"have,omitempty"`
	// Digest is that of Have.
	Digest Digest `json:"dig,omitempty"`
	// HeadOnly asks for the revision number alone.
	HeadOnly bool `json:"head_only,omitempty"`
}

// PullAnswer is the answer to config.pull.
type PullAnswer struct {
	Revision Revision `json:"rev"`
	Digest   Digest   `json:"dig,omitempty"`
	Audit    Audit    `json:"audit"`
	// Steps lead from Pull.Have to Revision, if they are at hand.
	Steps []Step `json:"steps,omitempty"`
	// Text is the whole text otherwise.
	Text []byte `json:"text,omitempty"`
	// Busy tells that the sender serves too many whole texts at present.
	Busy bool `json:"busy,omitempty"`
}

// Event is something that a state machine of this package is told.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// PushReceived is a config.push request. Call names it in AnswerPush.
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

// PullReceived is a config.pull request. Call names it in AnswerPull.
type PullReceived struct {
	Call uint64
	Pull Pull
}

// PullAnswered is the answer to SendPull with the same Seq.
type PullAnswered struct {
	Seq    uint64
	Answer PullAnswer
}

// CallFailed tells that SendPush or SendPull with Seq got no answer.
type CallFailed struct{ Seq uint64 }

// PeerRevision tells the revision that a ping or digest of a host showed.
type PeerRevision struct {
	From     host.ID
	Revision Revision
}

// SetPeers replaces the hosts to push to and to start from: the live members
// of the region without this host.
type SetPeers struct{ Peers []host.ID }

// SetWatcher tells whether this host watches the store for its region.
type SetWatcher struct{ On bool }

// Committed hands over a revision that a Submission of this host had accepted.
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

// Action is something that the caller of Step does.
type Action interface{ action() }

// SendPush calls config.push at a host.
type SendPush struct {
	To   host.ID
	Seq  uint64
	Push Push
}

// AnswerPush answers the config.push request named Call.
type AnswerPush struct {
	Call   uint64
	Answer PushAnswer
}

// SendPull calls config.pull at a host.
type SendPull struct {
	To   host.ID
	Seq  uint64
	Pull Pull
}

// AnswerPull answers the config.pull request named Call.
type AnswerPull struct {
	Call   uint64
	Answer PullAnswer
}

// Source is where a revision came from.
type Source string

// Sources of a revision.
const (
	FromStore      Source = "store"
	FromPeer       Source = "peer"
	FromSubmission Source = "submission"
)

// Apply puts a revision in force in this process. Revisions of successive
// Apply actions increase.
type Apply struct {
	Revision Revision
	Digest   Digest
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
