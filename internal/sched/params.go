// Package sched is the scheduler of one pool: the backend servers of one
// service in one region. It queues requests by rank and customer, refuses
// early what cannot be served in time, and grants slots of backend servers.
//
// One process at a time owns a pool and decides for all entry hosts, so slots,
// floors, weights, queues, ejections and warm-ups hold per pool over all hosts.
// Only the shift caps span pools: see Gate.
//
// Requests are refused on arrival or while queued. For each free slot, a Pool
// chooses the rank, then a customer's request, applies the shift caps, and chooses
// the server.
//
// The package is a pure state machine. Times named now are durations since an
// arbitrary monotonic origin and never decrease from call to call. Calls
// append actions to the slice that they are passed. A Pool is not safe for
// concurrent use.
package sched

import (
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/config"
)

// Server is a backend server of the pool.
type Server struct {
	Name  string
	Slots int
}

// Rank is a group of requests of equal urgency. Params lists the most urgent rank
// first.
type Rank struct {
	Name string
	// Target is the time within which an answer counts as in time.
	Target time.Duration
	// Deadline is the longest time that a request of the rank may take. A Pool
	// uses only Request.Deadline.
	Deadline time.Duration
	// Floor is the fraction of the pool's usable slots, from 0 to 1, that the rank
	// gets before more urgent ranks while it has queued requests.
	Floor float64
	// Worth is the value of one request answered in time, relative to other
	// ranks. It is used only to reserve slots for urgent ranks.
	Worth float64
	// InitialServiceTime is the estimate of the service time before the first
	// observation.
	InitialServiceTime time.Duration
	// InitialLoad is the fraction of the slots, from 0 to 1, that the rank is expected
	// to need in its first seconds, until arrivals have been observed.
	InitialLoad float64
}

// Customer shares the slots of a rank in proportion to its weight with the other
// customers that have queued requests of the rank in the same pool.
type Customer struct {
	Name   string
	Weight int
}

// Params is the part of a configuration revision that concerns one pool.
type Params struct {
	Service, Region string
	Servers         []Server
	Ranks           []Rank
	Customers       []Customer
	// Origins names the regions by origin index. Origin 0 is the pool's region.
	Origins []string
	// EjectShare is the fraction of the servers, from 0 to 1, that ejections may
	// take out of use. Load reports may reduce the usable slots by the same
	// fraction of all slots, less the slots of ejected servers.
	EjectShare float64
	// Warmup is the time over which the usable slots of a server that Configure
	// adds rise from one to all of its slots; zero means no warm-up. A restart of a
	// listed server starts no warm-up, and a new owner of the pool ends all of them.
	Warmup time.Duration
	// Draining names the servers that the configuration drains.
	Draining []string
}

// initialServiceDivisor divides a rank's target to give the lower bound of its
// InitialServiceTime. Otherwise long bulk work would start with the short service
// time of the whole service and take every slot.
const initialServiceDivisor = 20

// initialUrgentLoad is the InitialLoad of the most urgent rank. Without it, a flood
// of bulk work would take every slot of a new owner's pool in the first second,
// before the owner has observed how much urgent work arrives.
const initialUrgentLoad = 0.5

// ParamsFor extracts the parameters of a pool from a valid configuration.
// Customers keep their index in c.Customers; origins other than the pool's
// region follow in the order of c.Regions.
func ParamsFor(c *config.Config, service, region string) Params {
	p := Params{Service: service, Region: region, Origins: []string{region}}
	var serviceTime time.Duration
	for _, s := range c.Services {
		if s.Name == service {
			serviceTime, p.EjectShare, p.Warmup = s.ServiceTime, s.EjectShare, s.Warmup
		}
	}
	for _, r := range c.Regions {
		if r.Name != region {
			p.Origins = append(p.Origins, r.Name)
		}
	}
	for _, s := range c.BackendServers {
		if s.Service != service || s.Region != region {
			continue
		}
		p.Servers = append(p.Servers, Server{Name: s.Name, Slots: s.Slots})
		if isDrained(c.Drains, s) {
			p.Draining = append(p.Draining, s.Name)
		}
	}
	ranks := slices.Clone(c.Ranks)
	slices.SortStableFunc(ranks, func(a, b config.Rank) int { return a.Order - b.Order })
	for _, r := range ranks {
		p.Ranks = append(p.Ranks, Rank{
			Name: r.Name, Target: r.Target, Deadline: r.Deadline, Floor: r.Floor, Worth: r.Worth,
			InitialServiceTime: max(serviceTime, r.Target/initialServiceDivisor),
		})
	}
	if len(p.Ranks) > 1 {
		p.Ranks[0].InitialLoad = initialUrgentLoad
	}
	for _, cu := range c.Customers {
		p.Customers = append(p.Customers, Customer{Name: cu.Name, Weight: cu.Weight})
	}
	return p
}

// isDrained reports whether a drain covers the server, its failure domain or
// its region.
func isDrained(drains []config.Drain, s config.BackendServer) bool {
	for _, d := range drains {
		switch d.Kind {
		case config.DrainBackendServer:
			if d.Target == s.Name {
				return true
			}
		case config.DrainFailureDomain:
			if d.Target == s.Region+"/"+s.FailureDomain {
				return true
			}
		case config.DrainRegion:
			if d.Target == s.Region {
				return true
			}
		}
	}
	return false
}
