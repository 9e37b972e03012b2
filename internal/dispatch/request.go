package dispatch

import "time"

// Reason is why a request was refused.
type Reason string

// Reasons of a refusal. All of them mean that the request has not run.
const (
	// NoServer means that no backend server is usable for the request.
	NoServer Reason = "no_server"
	// Overload means that the request is not worth a slot now. It would miss its objective
	// at a busy server while few slots are free or no usable server has one, it would queue
	// while a more urgent rank is active, or its workspace asks for more than its share. For
	// a class without an observed service time, no slot is free or too many trials are in
	// flight. A request with a large body finds no free slot, where servers report
	// percentages. It takes precedence over Late.
	Overload Reason = "overload"
	// Late means that the answer is expected too late, less than 20 ms before the deadline,
	// and that the request is no trial. It also means that the request ended before a pool
	// could decide.
	Late Reason = "late"
)

// Request describes a request for which a server is to be chosen. Times are on the
// pool's clock.
type Request struct {
	// Class is the name of the request's route, whose requests have similar service
	// times.
	Class string
	// Workspace is the name of the request's workspace; "" if it has none.
	Workspace string
	// Key identifies the object that the request is about; "" if there is none.
	Key string
	// Host is the entry host that sends the request, FailureDomain is that host's.
	Host, FailureDomain string
	// The rank of the request; 0 is the most urgent.
	Rank int
	// Bytes is the size of the request body, or of its buffered part if the size is
	// not known.
	Bytes int64
	// Objective is the time up to which an answer has its full worth, Deadline the
	// time at which the caller gives up. An answer between them has lost most of its
	// worth.
	Objective, Deadline time.Duration
	// NoHedge is set if no hedge can be sent, as the request must not run twice.
	NoHedge bool
	// NoTrial is set if the request must not be a trial: its host ends at the deadline
	// and would cut an answer that takes longer.
	NoTrial bool
	// Exclude lists the backend servers that must not be chosen: those of earlier
	// attempts of the request, and those that the snapshot of its host did not allow.
	Exclude []string
	// Allowed lists the regions that may serve; empty allows all.
	Allowed []string
	// SecondAttempt is set for an attempt beside or after one that may have run. Its
	// refusal reaches no caller, so that no return is scheduled, and it is no return.
	SecondAttempt bool
}

// Decision is a granted server or, if Refused is set, a refusal. Entry hosts send it
// as JSON under its field names or tags, with durations in nanoseconds.
type Decision struct {
	// Grant identifies the grant in the pool, for Release.
	Grant uint64
	// Server is the ID of the backend server.
	Server string
	// HoldsObject reports whether no object has to be loaded: the server is assumed to
	// hold it, or the request has none.
	HoldsObject bool `json:"Warm"`
	// Wait is the expected time in the server's queue, Service the expected service
	// time. A refusal has those of the best server, 0 if there was none.
	Wait, Service time.Duration
	// Load is the number of requests at that server, Busy the fraction of the
	// service's slots that was taken, from 0 to 1.
	Load, Busy float64
	Refused    Reason
	// RetryAfter is the delay to ask of the caller of a refused request: a constant
	// for NoServer, otherwise the expected wait, from 0.7 s to 2 s, or a time of the
	// schedule of returns if Options.Scheduled is set. It is 0 for a grant, and if the
	// request ended before a pool could decide.
	RetryAfter time.Duration
	// HedgeDelay is the time from sending the request to its hedge. It is 0 if the pool
	// has learned none or the servers do not report percentages.
	HedgeDelay time.Duration `json:",omitempty"`
}

// Result is how a granted request ended.
type Result int

// Results of a granted request. Entry hosts send them as numbers.
const (
	// Served means that the server ran the request and its answer arrived complete,
	// or a large one's buffered part did.
	Served Result = iota
	// Failed means that the server answered with a failure, closed the connection
	// before its answer was complete, or gave an unusable answer.
	Failed
	// Shed means that the server refused the request before running it.
	Shed
	// Unreachable means that no connection to the server could be made.
	Unreachable
	// Misdirected means that another server has the address now, or that the entry
	// host does not know the server.
	Misdirected
	// TimedOut means that the request was sent but no complete answer, nor a large
	// one's buffered part, arrived in the time that it had.
	TimedOut
	// Abandoned means that the request was not sent or its answer not awaited: the
	// entry host did not use the grant, the caller disconnected, another attempt
	// answered first, or the deadline passed before the request was sent.
	Abandoned
)

// Load is the load that a backend server reports with an answer: the requests that
// it runs, those that wait in its queue, and its slots.
type Load struct {
	Running, Waiting, Slots int
	// Percent is the time that work now takes on its machine, in percent of the usual
	// time; 0 if not reported. Values outside 1 to 10,000 are ignored.
	Percent int `json:",omitempty"`
}

// Report describes how a granted request ended. Entry hosts send it as JSON under
// its field names, with durations in nanoseconds.
type Report struct {
	Result Result
	// Elapsed is the time from sending the request to the end of the answer, or of
	// its buffered part if it is large.
	Elapsed time.Duration
	// Connect is the time to open a connection; 0 if an open one was reused.
	Connect time.Duration
	// Load is nil if the server did not report it.
	Load *Load
	// Bytes is the size of the answer, or of its buffered part if it is large; 0 if
	// there is none.
	Bytes int64
	// Leaving is set if the server said that it leaves. StartedAtMillis is the start of
	// the incarnation that said so.
	Leaving         bool  `json:",omitempty"`
	StartedAtMillis int64 `json:",omitempty"`
}
