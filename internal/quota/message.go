package quota

import "time"

// Want describes a host's need of one workspace's tokens. The short tags keep messages
// small: a host sends one of them every 100 ms for each workspace with demand.
type Want struct {
	Workspace string `json:"w"`
	// Tokens is the number of tokens wanted. Urgent of them are for waiting requests.
	Tokens int `json:"n,omitempty"`
	Urgent int `json:"u,omitempty"`
	// Repeated is the number of waiting requests that were among those of an earlier message.
	// Issuers of earlier releases count them again.
	Repeated int `json:"p,omitempty"`
	// Demand is the number of requests since the last message, Refused the number of
	// those that were refused because the quota was used up.
	Demand  int `json:"d,omitempty"`
	Refused int `json:"r,omitempty"`
	// Uses reports what became of the receiver's loans.
	Uses []Use `json:"l,omitempty"`
}

// Use reports the spent and the returned tokens of a loan since the last report.
type Use struct {
	Loan     uint64 `json:"i"`
	Spent    int    `json:"s,omitempty"`
	Returned int    `json:"r,omitempty"`
}

// Loan answers a Want. One Want may have several loans, of different validity.
type Loan struct {
	Workspace string `json:"w"`
	// ID identifies the loan in reports to the issuer's term.
	ID     uint64 `json:"i,omitempty"`
	Tokens int    `json:"n,omitempty"`
	// ValidMicros is the validity in microseconds; it counts from the sending of the
	// request.
	ValidMicros int64 `json:"v,omitempty"`
	// Empty is set if tokens for waiting requests are lacking. Elsewhere is set as well
	// if other regions' issuers may have some.
	Empty     bool `json:"e,omitempty"`
	Elsewhere bool `json:"o,omitempty"`
	// Fresh is set if Empty is, but only because the issuer has started without tokens. The
	// quota is not used up then.
	Fresh bool `json:"f,omitempty"`
	// RetryMillis is the time after which the first refused caller may retry, StepMicros
	// the time from each one to the next.
	RetryMillis int64 `json:"a,omitempty"`
	StepMicros  int64 `json:"b,omitempty"`
}

func (l Loan) valid() time.Duration { return time.Duration(l.ValidMicros) * time.Microsecond }

// LendRequest is the message of a host to an issuer.
type LendRequest struct {
	Host string `json:"host"`
	// Term is that of the issuer to which the Uses refer. Another one ignores them.
	Term  uint64 `json:"term,omitempty"`
	Wants []Want `json:"wants"`
}

// LendReply answers a LendRequest.
type LendReply struct {
	Term  uint64 `json:"term"`
	Loans []Loan `json:"loans"`
}

// TransferRequest is the message of an issuer to that of another region.
type TransferRequest struct {
	Region string `json:"region"`
	Wants  []Want `json:"wants"`
}

// TransferReply answers a TransferRequest.
type TransferReply struct {
	Transfers []Loan `json:"transfers"`
}
