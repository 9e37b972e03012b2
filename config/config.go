// Package config describes a galenabeam deployment: the places it runs, the
// services, the ranks of work, the customers and the caps on shifts of traffic.
//
// Operators build a Config in a Go program, check it with Check and print it
// with Print. The printed INI text is what they submit. Parse reads it back;
// Parse(Print(c)) equals c in its normal form.
package config

import "time"

// Config is one complete configuration of a deployment. A Config that has
// passed Check is immutable by convention: processes share it without locks.
type Config struct {
	// Deployment names the installation, for example "hagtal".
	Deployment     string
	Regions        []Region
	Links          []Link
	Ranks          []Rank
	Services       []Service
	BackendServers []BackendServer
	Customers      []Customer
	ShiftCaps      []ShiftCap
	ClientBlocks   []ClientBlock
	Drains         []Drain
}

// Region is a place that has entry hosts and backend servers.
type Region struct {
	Name           string
	FailureDomains []string
	// DomainDelay is the one-way network delay between failure domains.
	DomainDelay time.Duration
	// ClientDelay is the one-way network delay to callers of the region.
	ClientDelay time.Duration
}

// Link is the network path from one region to another. Links are directed.
type Link struct {
	From, To string
	// Delay is the one-way network delay.
	Delay time.Duration
	// BitsPerSecond is the capacity of the link in this direction.
	BitsPerSecond int64
}

// Rank is a class of work. Order 1 is the most urgent rank.
type Rank struct {
	Name  string
	Order int
	// Target is the time within which an answer counts as in time.
	Target time.Duration
	// Deadline is the longest time a request of this rank may take.
	Deadline time.Duration
	// Worth is the value of one request answered in time, relative to other ranks.
	Worth float64
	// Floor is the share of a pool's slots, from 0 to 1, that the rank keeps
	// while more urgent ranks could take everything.
	Floor float64
	// Idempotent tells whether a request may safely run more than once.
	Idempotent bool
	// Hedge allows a second attempt while the first is still running. It
	// requires Idempotent.
	Hedge bool
}

// Service is an application that backend servers provide.
type Service struct {
	Name string
	// Team owns the service in the administration API.
	Team string
	// ServiceTime is the expected time to serve one request, used until the
	// scheduler has observations of its own.
	ServiceTime time.Duration
	// MaxRequestBytes bounds the body of a request.
	MaxRequestBytes int64
	// AnswerBytes is the usual size of an answer, charged to shift caps at grant.
	AnswerBytes int64
	// RetryShare is the share of requests, from 0 to 1, that may be added by
	// retries and hedges.
	RetryShare float64
	// EjectShare is the largest share of a pool's servers, from 0 to 1, that
	// outlier detection may eject at the same time.
	EjectShare float64
	// Warmup is the time over which a new server's usable slots rise to all.
	Warmup time.Duration
}

// BackendServer is a server that runs requests of one service.
type BackendServer struct {
	Name          string
	Service       string
	Region        string
	FailureDomain string
	// Address is "IP:port".
	Address string
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// Connections bounds the open connections to the server over all entry hosts.
	Connections int
}

// Customer is a party whose requests are scheduled fairly against those of
// other customers of the same rank.
type Customer struct {
	Name string
	// Weight is the customer's share relative to others, set by account managers.
	Weight int
}

// ShiftCap bounds the load that region To serves for callers of region From.
// Zero means that nothing may be shifted.
type ShiftCap struct {
	From, To string
	// Concurrent bounds the shifted requests that hold a slot at any instant.
	Concurrent int
	// BytesPerSecond bounds request bytes plus answer bytes of shifted requests.
	BytesPerSecond int64
	// GrowthPerSecond bounds how fast the number of concurrent shifted
	// requests may rise, in requests per second.
	GrowthPerSecond float64
}

// ClientBlock assigns callers to their region by address prefix.
type ClientBlock struct {
	// Prefix is a CIDR prefix, IPv4 or IPv6, without host bits.
	Prefix string
	Region string
}

// DrainKind tells what a Drain applies to.
type DrainKind string

// Kinds of drain targets.
const (
	DrainBackendServer DrainKind = "backend-server"
	DrainFailureDomain DrainKind = "failure-domain"
	DrainRegion        DrainKind = "region"
)

// Drain takes a backend server, a failure domain or a region out of service
// until it is removed from the configuration.
type Drain struct {
	Kind DrainKind
	// Target is the name of the backend server, the region, or
	// "region/failure-domain".
	Target string
	// Reason is shown to operators.
	Reason string
}
