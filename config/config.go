// Package config describes a deployment of galenabeamd without -platform: its
// regions, services, ranks of work, customers and caps on requests shifted between
// regions.
//
// Operators build a Config in a Go program, check it with Check, print it as INI
// text with Print and submit the text. Parse of that text returns Normalize of the
// printed Config.
package config

import "time"

// Config is one complete configuration of a deployment. A Config that has
// passed Check must not be modified, because goroutines share it without locks.
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

// Region is a location with entry hosts and backend servers.
type Region struct {
	Name           string
	FailureDomains []string
	// DomainDelay is the one-way network delay between two failure domains.
	DomainDelay time.Duration
	// ClientDelay is the one-way network delay to callers of the region.
	ClientDelay time.Duration
}

// Link is the network path from one region to another. Links are directed.
type Link struct {
	From, To string
	// Delay is the one-way network delay.
	Delay time.Duration
	// BitsPerSecond is the capacity from From to To.
	BitsPerSecond int64
}

// Rank is a level of urgency. Order 1 is the most urgent.
type Rank struct {
	Name  string
	Order int
	// Target is the response time within which an answer counts as in time.
	Target time.Duration
	// Deadline is the longest time a request of this rank may take.
	Deadline time.Duration
	// Worth is the value of one request answered in time, zero or more, relative
	// to other ranks.
	Worth float64
	// Floor is the fraction of a pool's slots, from 0 to 1, that the rank is
	// guaranteed even when more urgent ranks could use all slots.
	Floor float64
	// Idempotent reports whether a request may safely run more than once.
	Idempotent bool
	// Hedge allows a second attempt while the first may still answer. It
	// requires Idempotent.
	Hedge bool
}

// Service is an application that backend servers provide.
type Service struct {
	Name string
	// Team may change the service through the administration API.
	Team string
	// ServiceTime is the expected time to serve one request, used until the
	// scheduler has its own observations.
	ServiceTime time.Duration
	// MaxRequestBytes bounds the body of a request.
	MaxRequestBytes int64
	// AnswerBytes is the typical size of an answer, charged to the shift cap
	// when a request gets a grant.
	AnswerBytes int64
	// RetryShare bounds the extra attempts by retries and hedges as a share of the
	// requests, from 0 to 1. In addition, each entry host may make 10 extra attempts
	// after its start.
	RetryShare float64
	// EjectShare is the largest fraction of a pool's servers, from 0 to 1, that
	// outlier detection may eject at the same time. Load reports may reduce the
	// usable slots by the same fraction of all slots, less the slots of ejected
	// servers. Zero means neither.
	EjectShare float64
	// Warmup is the time over which the usable slots of a server rise to Slots
	// after a configuration revision added it to a pool. A restart of the server
	// starts no warm-up, and a change of the pool's owner ends a running one. Zero
	// means that all slots are usable at once.
	Warmup time.Duration
}

// BackendServer is a server that runs requests of one service.
type BackendServer struct {
	Name          string
	Service       string
	Region        string
	FailureDomain string
	// Address is "IP:port" in canonical form.
	Address string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections is the number of open connections that the server accepts. The
	// entry hosts of its region divide it evenly, at least one each, so more hosts
	// than that may exceed it.
	Connections int
}

// Customer is a party whose requests share the slots of a rank with those of
// other customers, by Weight.
type Customer struct {
	Name string
	// Weight is the customer's scheduling weight relative to other customers,
	// from 1 to 1000, set by account managers. Requests of no known customer have
	// weight 1.
	Weight int
}

// ShiftCap bounds the load that region To serves for callers of region From.
// A bound of zero means that nothing may be shifted.
type ShiftCap struct {
	From, To string
	// Concurrent bounds the shifted requests that use a slot at the same time.
	Concurrent int
	// BytesPerSecond bounds the request bytes of shifted requests plus
	// Service.AnswerBytes for each of them. A request body of unknown length counts
	// as zero.
	BytesPerSecond int64
	// GrowthPerSecond bounds the increase of the number of concurrent shifted
	// requests, in requests per second.
	GrowthPerSecond float64
}

// ClientBlock assigns callers to a region by the prefix of their IP address.
type ClientBlock struct {
	// Prefix is an IPv4 or IPv6 CIDR prefix in canonical form, without host bits.
	Prefix string
	Region string
}

// DrainKind is the kind of target of a Drain.
type DrainKind string

// Kinds of drain targets.
const (
	DrainBackendServer DrainKind = "backend-server"
	DrainFailureDomain DrainKind = "failure-domain"
	DrainRegion        DrainKind = "region"
)

// Drain takes a backend server, a failure domain or a region out of service
// until the drain is removed from the configuration.
type Drain struct {
	Kind DrainKind
	// Target names what is drained: a backend server, a region or
	// "region/failure-domain".
	Target string
	// Reason is shown to operators.
	Reason string
}
