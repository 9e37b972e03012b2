// Package fleet holds what a host knows of a deployment on the platform at one
// moment: the configuration in force, the backend servers, the entry hosts and the
// evacuated failure domains. A Snapshot is immutable.
package fleet

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/routetable"
)

// Backend is one incarnation of a backend server. The tags keep the names of
// the state dump.
type Backend struct {
	ID, Service, Address string
	FailureDomain        string `json:"Domain"`
	Region               string
	Slots                int
	// Draining is set once the server has announced that it takes no new requests.
	Draining bool
	// ColdUntil is the time until which the server is cold, that is, recently started,
	// on the clock of gateway.Selector.Now in this process; 0 if it is not cold. The
	// state dump has it in nanoseconds.
	ColdUntil time.Duration
	// StartedAtMillis is the start by the wall clock, in Unix milliseconds, 0 if the
	// server did not report it. It distinguishes incarnations under one ID.
	StartedAtMillis int64 `json:"Born"`
}

// Host is one process of the daemon on an entry host. The tags keep the
// names of the state dump.
type Host struct {
	Name          string
	FailureDomain string `json:"Domain"`
	Region        string
	// FrontAddress is the address for callers, as "IP:port".
	FrontAddress string `json:"Front"`
	// PeerAddress is the address for other entry hosts, as "IP:port".
	PeerAddress string `json:"Peer"`
	// Incarnation identifies the process and grows with each start on the host.
	Incarnation int64
	// Cores is the processor time that the host has, in cores.
	Cores float64
}

// Issuer is the process that issues the tokens of a region, by its item in the store.
type Issuer struct {
	// Host is the name of its host, PeerAddress the address for other entry hosts.
	Host, PeerAddress string
	Incarnation       int64
	// Era is that of the store in which the item was written, Revision the item's.
	Era, Revision uint64
	// Settled is the time for which the host had been the issuer when it wrote the item.
	Settled time.Duration
}

// Snapshot is what a host knows of the deployment at one moment. Its exported fields
// must not be changed.
type Snapshot struct {
	// Revision is the store revision that the snapshot reflects.
	Revision uint64
	// Table is the configuration in force, nil if there is none yet.
	Table *routetable.Table
	// Backends are the backend servers by ID, BackendsByService the same by service,
	// sorted by ID.
	Backends          map[string]*Backend
	BackendsByService map[string][]*Backend
	// Hosts are the entry hosts by name.
	Hosts map[string]*Host
	// Issuers are the issuers of tokens by region.
	Issuers map[string]*Issuer
	// Evacuated contains the failure domains whose backend servers get no new requests.
	// Their entry hosts stay in use.
	Evacuated map[string]bool
	// Domains maps each failure domain to its region.
	Domains map[string]string

	index *hostIndex
}

// hostIndex holds what is derived from the entry hosts alone. Snapshots with the same
// hosts share it.
type hostIndex struct {
	regions []string // that have entry hosts, sorted
	// orders caches the results of hostOrder by purpose and region.
	orders sync.Map
	// steerAnswers caches the results of Steer by failure domain.
	steerAnswers sync.Map
}

func newHostIndex(hosts map[string]*Host) *hostIndex {
	regions := map[string]bool{}
	for _, h := range hosts {
		regions[h.Region] = true
	}
	return &hostIndex{regions: slices.Sorted(maps.Keys(regions))}
}

// New returns a snapshot with its indexes. domains maps each failure domain to its
// region.
func New(revision uint64, table *routetable.Table, backends []*Backend, hosts []*Host, evacuated map[string]bool, domains map[string]string) *Snapshot {
	empty := &Snapshot{Evacuated: evacuated, Domains: domains, index: newHostIndex(nil)}
	c := Changes{Table: table, Backends: map[string]*Backend{}, Hosts: map[string]*Host{}}
	for _, b := range backends {
		c.Backends[b.ID] = b
	}
	for _, h := range hosts {
		c.Hosts[h.Name] = h
	}
	return empty.Apply(revision, c)
}

// Changes are the differences between two snapshots.
type Changes struct {
	// Table is the configuration, which replaces that of the snapshot.
	Table *routetable.Table
	// Backends and Hosts are the new values by ID or name; nil removes one.
	Backends map[string]*Backend
	Hosts    map[string]*Host
	// Issuers are the new values by region; nil removes one.
	Issuers map[string]*Issuer
	// Evacuated says of failure domains whether they are evacuated from now on.
	Evacuated map[string]bool
}

// Apply returns the snapshot after the changes. The two share what did not change: the
// lists of services without a changed backend server are the same slices, and the orders
// of hosts are not computed again unless a host changed.
func (s *Snapshot) Apply(revision uint64, c Changes) *Snapshot {
	n := &Snapshot{
		Revision: revision, Table: c.Table, Backends: s.Backends, BackendsByService: s.BackendsByService,
		Hosts: s.Hosts, Issuers: s.Issuers, Evacuated: s.Evacuated, Domains: s.Domains, index: s.index,
	}
	if len(c.Backends) > 0 || s.Backends == nil {
		n.setBackends(s, c.Backends)
	}
	if len(c.Hosts) > 0 || s.Hosts == nil {
		n.Hosts = cloneMap(s.Hosts)
		for name, h := range c.Hosts {
			if h == nil {
				delete(n.Hosts, name)
				continue
			}
			n.Hosts[name] = h
		}
		n.index = newHostIndex(n.Hosts)
	}
	if len(c.Issuers) > 0 {
		n.Issuers = cloneMap(s.Issuers)
		for region, i := range c.Issuers {
			if i == nil {
				delete(n.Issuers, region)
				continue
			}
			n.Issuers[region] = i
		}
	}
	if len(c.Evacuated) > 0 {
		n.Evacuated = cloneMap(s.Evacuated)
		for domain, evacuated := range c.Evacuated {
			if !evacuated {
				delete(n.Evacuated, domain)
				continue
			}
			n.Evacuated[domain] = true
		}
	}
	return n
}

// cloneMap is maps.Clone, but never returns nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// setBackends sets the backend servers to those of old with the changes.
func (s *Snapshot) setBackends(old *Snapshot, changes map[string]*Backend) {
	s.Backends, s.BackendsByService = cloneMap(old.Backends), cloneMap(old.BackendsByService)
	copied := map[string]bool{} // services whose lists are copies
	list := func(service string) []*Backend {
		if !copied[service] {
			copied[service] = true
			return slices.Clone(s.BackendsByService[service])
		}
		return s.BackendsByService[service]
	}
	for id, b := range changes {
		before := old.Backends[id]
		if before != nil && (b == nil || b.Service != before.Service) {
			l := list(before.Service)
			at, _ := findBackend(l, id)
			s.BackendsByService[before.Service] = slices.Delete(l, at, at+1)
		}
		if b == nil {
			delete(s.Backends, id)
			continue
		}
		s.Backends[id] = b
		l := list(b.Service)
		if at, found := findBackend(l, id); found {
			l[at] = b
		} else {
			l = slices.Insert(l, at, b)
		}
		s.BackendsByService[b.Service] = l
	}
	for service := range copied {
		if len(s.BackendsByService[service]) == 0 {
			delete(s.BackendsByService, service)
		}
	}
}

// findBackend returns the index of a backend server in a list sorted by ID, or its
// insertion point and false.
func findBackend(list []*Backend, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(b *Backend, id string) int { return strings.Compare(b.ID, id) })
}

// WithTable returns a copy of the snapshot with another configuration.
func (s *Snapshot) WithTable(t *routetable.Table) *Snapshot {
	return s.Apply(s.Revision, Changes{Table: t})
}

// Dispatchers returns the hosts of a region in the order in which they are asked to
// dispatch a service, the same on all hosts for the same snapshot. The result must not
// be changed.
func (s *Snapshot) Dispatchers(region, service string) []*Host {
	return s.hostOrder("dispatch/"+service, region)
}

// StoreReaders returns the hosts of a region in their order as readers of the store
// for the others. The result must not be changed.
func (s *Snapshot) StoreReaders(region string) []*Host {
	return s.hostOrder("read/", region)
}

// IssuerCandidates returns the hosts of a region in their order as issuers of its tokens.
// The result must not be changed.
func (s *Snapshot) IssuerCandidates(region string) []*Host {
	return s.hostOrder("quota/", region)
}

// Regions returns the regions that have entry hosts, sorted by name. The result must not
// be changed.
func (s *Snapshot) Regions() []string { return s.index.regions }

// hostOrder returns the hosts of a region, or all for "", in descending order of
// their cores, then of the hash of the purpose and the host's name.
func (s *Snapshot) hostOrder(purpose, region string) []*Host {
	key := purpose + "@" + region
	if cached, ok := s.index.orders.Load(key); ok {
		return cached.([]*Host)
	}
	type scored struct {
		host  *Host
		score uint64
	}
	var scores []scored
	for _, h := range s.Hosts {
		if region == "" || h.Region == region {
			scores = append(scores, scored{h, xxhash.Sum64String(purpose + "/" + h.Name)})
		}
	}
	sort.Slice(scores, func(i, j int) bool {
		if a, b := scores[i].host.Cores, scores[j].host.Cores; a != b {
			return a > b
		}
		return scores[i].score > scores[j].score
	})
	hosts := make([]*Host, len(scores))
	for i, e := range scores {
		hosts[i] = e.host
	}
	s.index.orders.Store(key, hosts)
	return hosts
}

// Limits of the answers of Steer.
const (
	// maxAddresses is the maximum number of addresses in an answer: callers take no
	// more from one.
	maxAddresses = 64
	// minDomainHosts is the number of hosts below which callers of a failure
	// domain also get hosts of the region's other domains, so that the loss of one host
	// leaves a choice.
	minDomainHosts = 2
	// minLargeShare is the share of a group's cores that its large hosts must have to
	// take all of its callers.
	minLargeShare = 0.3
)

// Steer returns the front addresses of at most 64 entry hosts for callers of a region
// and failure domain, best first: hosts of the domain, then of the region, then of
// other regions. Each group is used only if the ones before have too few hosts. The
// result must not be changed.
func (s *Snapshot) Steer(region, domain string) []string {
	if known := s.Domains[domain]; known == "" || known != region {
		// Not cached: callers may send any name, and the cache must not grow with them.
		return s.frontAddresses(region, domain)
	}
	if known, ok := s.index.steerAnswers.Load(domain); ok {
		return known.([]string)
	}
	list := s.frontAddresses(region, domain)
	s.index.steerAnswers.Store(domain, list)
	return list
}

// frontAddresses computes the result of Steer. In each group hosts with more cores come
// first.
func (s *Snapshot) frontAddresses(region, domain string) []string {
	var sameDomain, sameRegion, otherRegions []*Host
	for _, h := range s.hostOrder("steer/", "") {
		switch {
		case h.FrontAddress == "":
		case h.FailureDomain == domain:
			sameDomain = append(sameDomain, h)
		case h.Region == region:
			sameRegion = append(sameRegion, h)
		default:
			otherRegions = append(otherRegions, h)
		}
	}
	list := largeHosts(sameDomain)
	if len(list) < minDomainHosts {
		list = append(list, largeHosts(sameRegion)...)
	}
	if len(list) == 0 {
		list = largeHosts(otherRegions)
	}
	list = list[:min(len(list), maxAddresses)]
	addresses := make([]string, len(list))
	for i, h := range list {
		addresses[i] = h.FrontAddress
	}
	return addresses
}

// largeHosts returns the hosts with at least half of the largest one's cores, or all
// if fewer than minDomainHosts hosts or less than minLargeShare of the cores would
// remain: fewer hosts reuse more of their connections, and small ones respond more
// slowly. hosts must be in descending order of their cores.
func largeHosts(hosts []*Host) []*Host {
	totalCores, largeCores, largeCount := 0.0, 0.0, 0
	for _, h := range hosts {
		totalCores += h.Cores
		if h.Cores >= hosts[0].Cores/2 {
			largeCores += h.Cores
			largeCount++
		}
	}
	if largeCount < minDomainHosts || largeCores < totalCores*minLargeShare {
		return hosts
	}
	return hosts[:largeCount]
}
