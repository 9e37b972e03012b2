// Package fleet describes what a host knows of the deployment at one moment:
// the configuration in force, the backend servers, the entry hosts and the
// failure domains that are evacuated. A Snapshot is immutable.
package fleet

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/routetable"
)

// Backend is one incarnation of a backend server.
type Backend struct {
	ID, Service, Address, Domain, Region string
	Slots                                int
	// Draining tells that the server announced that it is leaving.
	Draining bool
	// ColdUntil is the monotonic time at which the server stops being cold.
	ColdUntil time.Duration
	// Born is the wall clock time of the start in Unix milliseconds. It tells
	// two incarnations under one ID apart. 0 when the server did not tell.
	Born int64
}

// Host is one run of the daemon on an entry host.
type Host struct {
	Name, Domain, Region string
	// Front is the "IP:port" for callers, Peer the one for other entry hosts.
	Front, Peer string
	// Incarnation grows with each start of the daemon on the host.
	Incarnation int64
	// Cores is the processor time that the host has, in cores.
	Cores float64
}

// Snapshot is what a host knows at one moment.
type Snapshot struct {
	// Revision is the revision of the store that the snapshot contains.
	Revision          uint64
	Table             *routetable.Table
	Backends          map[string]*Backend
	BackendsByService map[string][]*Backend
	Hosts             map[string]*Host
	Evacuated         map[string]bool
	// Domains maps each failure domain to its region.
	Domains map[string]string

	// ranks holds orders of hosts that were asked for, by purpose and region.
	ranks sync.Map
	// answers holds the directory's answers by domain.
	answers sync.Map
}

// New returns an indexed snapshot.
func New(revision uint64, table *routetable.Table, backends []*Backend, hosts []*Host, evacuated map[string]bool, domains map[string]string) *Snapshot {
	s := &Snapshot{
		Revision: revision, Table: table, Evacuated: evacuated, Domains: domains,
		Backends:          make(map[string]*Backend, len(backends)),
		BackendsByService: map[string][]*Backend{}, Hosts: make(map[string]*Host, len(hosts)),
	}
	for _, b := range backends {
		s.Backends[b.ID] = b
		s.BackendsByService[b.Service] = append(s.BackendsByService[b.Service], b)
	}
	for _, list := range s.BackendsByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	for _, h := range hosts {
		s.Hosts[h.Name] = h
	}
	return s
}

// WithTable returns the snapshot with another configuration.
func (s *Snapshot) WithTable(t *routetable.Table) *Snapshot {
	return &Snapshot{
		Revision: s.Revision, Table: t, Backends: s.Backends, BackendsByService: s.BackendsByService, Hosts: s.Hosts,
		Evacuated: s.Evacuated, Domains: s.Domains,
	}
}

// Dispatchers returns the hosts of a region in the order in which they dispatch
// a service: the first one that answers decides. Hosts with more processor time
// come first. All hosts compute the same order from the same snapshot.
func (s *Snapshot) Dispatchers(region, service string) []*Host {
	return s.rank("dispatch/"+service, region)
}

// StoreReaders returns the hosts of a region in the order in which they read the
// store on behalf of the others.
func (s *Snapshot) StoreReaders(region string) []*Host {
	return s.rank("read/", region)
}

// Regions returns the regions that have entry hosts, in order.
func (s *Snapshot) Regions() []string {
	seen := map[string]bool{}
	var list []string
	for _, h := range s.Hosts {
		if !seen[h.Region] {
			seen[h.Region] = true
			list = append(list, h.Region)
		}
	}
	sort.Strings(list)
	return list
}

// rank orders the hosts of a region, or all for "", by their processor time and
// then by rendezvous hashing of the purpose and the host's name. Callers must not
// change the result.
func (s *Snapshot) rank(purpose, region string) []*Host {
	key := purpose + "@" + region
	if known, ok := s.ranks.Load(key); ok {
		return known.([]*Host)
	}
	type scored struct {
		host  *Host
		score uint64
	}
	var list []scored
	for _, h := range s.Hosts {
		if region == "" || h.Region == region {
			list = append(list, scored{h, xxhash.Sum64String(purpose + "/" + h.Name)})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if a, b := list[i].host.Cores, list[j].host.Cores; a != b {
			return a > b
		}
		return list[i].score > list[j].score
	})
	hosts := make([]*Host, len(list))
	for i, e := range list {
		hosts[i] = e.host
	}
	s.ranks.Store(key, hosts)
	return hosts
}

// Steering limits of directory answers.
const (
	// maxAddresses is the most addresses that a caller takes from one answer.
	maxAddresses = 64
	// minDomainHosts is the number of hosts below which callers of a failure
	// domain are also sent to the other domains of the region, so that the loss
	// of one host leaves a choice.
	minDomainHosts = 2
	// minLargeShare is the part of the processor time that the large hosts of a
	// domain must have to take all of its callers.
	minLargeShare = 0.3
)

// Steer returns the front addresses for callers of a region and failure domain:
// hosts of the domain, else of the region, else all hosts. Among those, hosts
// that are small beside the others are left out: fewer hosts reuse more of their
// connections, and small ones delay more.
func (s *Snapshot) Steer(region, domain string) []string {
	if known := s.Domains[domain]; known == "" || known != region {
		// Only answers for places that exist are kept: callers name any.
		return s.steer(region, domain)
	}
	if known, ok := s.answers.Load(domain); ok {
		return known.([]string)
	}
	list := s.steer(region, domain)
	s.answers.Store(domain, list)
	return list
}

func (s *Snapshot) steer(region, domain string) []string {
	var same, near, far []*Host
	for _, h := range s.rank("steer/", "") {
		switch {
		case h.Front == "":
		case h.Domain == domain:
			same = append(same, h)
		case h.Region == region:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	list := large(same)
	if len(list) < minDomainHosts {
		list = append(list, large(near)...)
	}
	if len(list) == 0 {
		list = large(far)
	}
	list = list[:min(len(list), maxAddresses)]
	addresses := make([]string, len(list))
	for i, h := range list {
		addresses[i] = h.Front
	}
	return addresses
}

// large returns the hosts, which are in descending order of their processor
// time, without those that have less than half of the largest one's, if enough
// hosts and processor time remain.
func large(hosts []*Host) []*Host {
	total, kept, n := 0.0, 0.0, 0
	for _, h := range hosts {
		total += h.Cores
		if h.Cores >= hosts[0].Cores/2 {
			kept += h.Cores
			n++
		}
	}
	if n < minDomainHosts || kept < total*minLargeShare {
		return hosts
	}
	return hosts[:n]
}
