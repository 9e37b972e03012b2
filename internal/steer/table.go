// Package steer selects the entry hosts that a caller should use without -platform;
// with -platform package fleet does. A longest-prefix match maps the caller's address
// to its region. Of the regions that run the service and have eligible hosts the
// nearest one to it is taken, and weighted rendezvous hashing selects among its hosts.
// A Table is immutable: readers use it without locks, and Apply returns a new Table
// that shares all unchanged parts.
package steer

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"github.com/galenabeam/galenabeam/internal/host"
)

// MaxHosts is the maximum number of hosts that Lookup returns.
const MaxHosts = 8

const (
	// callerBytesIPv4 is the number of leading bytes of an IPv4 address that
	// identify a caller.
	callerBytesIPv4 = 4
	// callerBytesIPv6 is the same for IPv6: callers change the lower 64 bits of
	// their address.
	callerBytesIPv6 = 8
)

// Host is an entry host that lookups may return.
type Host struct {
	host.Info
	// Weight is the host's share of callers relative to the other hosts of
	// its region. The daemon sets 1 for every host. Hosts of weight zero are returned
	// only while no host of the region has a positive weight.
	Weight float64
	// Leaving hosts are never returned. The daemon does not set this, because it
	// removes leaving hosts from the table.
	Leaving bool

	// idHash is the hash of the ID, set by Apply.
	idHash uint64
}

// Status says whether an answer has hosts, and if not, why.
type Status string

// Statuses of answers.
const (
	StatusOK        Status = "ok"
	StatusNoService Status = "no-service" // the service is not configured
	StatusNoHost    Status = "no-host"    // no region of the service has an eligible entry host
)

// Answer is the result of a lookup.
type Answer struct {
	Status Status
	// Origin is the region of the most specific client block that contains the
	// caller's address, or empty when no block does.
	Origin string
	// Region is the region of Hosts. It differs from Origin when Origin is empty or
	// the origin region has no eligible entry host or does not run the service.
	Region string
	// Hosts are in the order in which this caller should try them. They are shared
	// with the table and must not be changed.
	Hosts []*Host
}

// Table is an immutable steering table.
type Table struct {
	blocks *bart.Fast[uint16]
	// regions is indexed by the values of blocks. The index of a name never
	// changes; a removed region stays as an entry that is not present.
	regions     []*region
	regionIndex map[string]uint16
	services    map[string]*service
	// local is the index of the region of callers that no client block matches.
	local uint16
}

// region is one region with its hosts. It is immutable: changes replace it.
type region struct {
	name    string
	present bool
	// delays are the one-way delays of links, by index of the other region.
	delays map[uint16]time.Duration
	// nearest lists the present regions by delay, this one first.
	nearest []uint16
	// hosts are all hosts, sorted by ID; eligible are those that lookups return.
	hosts    []*Host
	eligible candidateSet
}

// service is a service with the regions that run it.
type service struct {
	hash        uint64
	regionNames []string
	// inRegion is indexed like Table.regions.
	inRegion []bool
}

// Lookup returns up to len(buf) hosts for a caller, at most MaxHosts, and stores
// them in buf. They are of one region: of those that run the service and have
// eligible hosts, the caller's region or else the one with the least link delay. The
// same caller and service give the same hosts as long as the eligible hosts of the
// region and their weights stay the same.
func (t *Table) Lookup(serviceName string, client netip.Addr, buf []*Host) Answer {
	s := t.services[serviceName]
	if s == nil {
		return Answer{Status: StatusNoService}
	}
	client = client.Unmap()
	answer := Answer{Status: StatusNoHost}
	origin, known := t.origin(client)
	if known {
		answer.Origin = t.regions[origin].name
	}
	for _, i := range t.regions[origin].nearest {
		if r := t.regions[i]; s.inRegion[i] && len(r.eligible.hosts) > 0 {
			answer.Status, answer.Region = StatusOK, r.name
			answer.Hosts = r.eligible.selectHosts(callerHash(s.hash, client), buf)
			return answer
		}
	}
	return answer
}

// RegionOf returns the region of the most specific client block that contains client,
// or false if there is none.
func (t *Table) RegionOf(client netip.Addr) (string, bool) {
	origin, known := t.origin(client.Unmap())
	if !known {
		return "", false
	}
	return t.regions[origin].name, true
}

// Blocks returns the number of client blocks.
func (t *Table) Blocks() int { return t.blocks.Size() }

// origin returns the index of the caller's region, and false with the local region
// if no client block of a present region matches.
func (t *Table) origin(client netip.Addr) (uint16, bool) {
	if i, found := t.blocks.Lookup(client); found && t.regions[i].present {
		return i, true
	}
	return t.local, false
}

// callerHash hashes the service and the part of the address that identifies a caller.
func callerHash(service uint64, client netip.Addr) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], service)
	if client.Is4() {
		a := client.As4()
		copy(key[8:], a[:callerBytesIPv4])
	} else {
		a := client.As16()
		copy(key[8:], a[:callerBytesIPv6])
	}
	return xxhash.Sum64(key[:])
}

// mix folds the 128-bit product of h and an odd constant, so that each bit of the
// result depends on all bits of h. h is the XOR of two values of xxHash.
func mix(h uint64) uint64 {
	high, low := bits.Mul64(h, 0x9e3779b97f4a7c15)
	return high ^ low
}

// candidateSet contains the eligible hosts of a region in parallel slices, so that
// the scan of all hosts reads only filters.
type candidateSet struct {
	filters []filter
	// inverseWeight is 1/weight of each host.
	inverseWeight []float64
	hosts         []*Host
	// scoreBound is the score below which a caller finds firstPassHosts hosts on
	// average.
	scoreBound float64
}

// filter excludes a host if its hash with the caller is above limit, because the
// score is then not below candidateSet.scoreBound.
type filter struct {
	idHash, limit uint64
}

// firstPassHosts is the mean number of hosts that pass the filters. With 8, 14 of
// 1,000 callers find fewer than three hosts and need a second scan without
// filters.
const firstPassHosts = 8

func newCandidateSet(hosts []*Host, weight func(*Host) float64) candidateSet {
	sum := 0.0
	for _, h := range hosts {
		sum += weight(h)
	}
	c := candidateSet{filters: make([]filter, len(hosts)), inverseWeight: make([]float64, len(hosts)), hosts: hosts, scoreBound: firstPassHosts / sum}
	for i, h := range hosts {
		w := weight(h)
		// The score is at least v/w, so a score below scoreBound requires v below
		// scoreBound*w.
		limit := uint64(math.MaxUint64)
		if fraction := c.scoreBound * w; fraction < 1 {
			limit = uint64(math.Ceil(fraction*0x1p53)) << 11
		}
		c.filters[i] = filter{idHash: h.idHash, limit: limit}
		c.inverseWeight[i] = 1 / w
	}
	return c
}

// selectHosts returns the hosts with the lowest scores -ln(1-v)/weight, where v
// in [0,1) is the hash of caller and host. A host has the lowest score with a
// probability proportional to its weight, and a change of one host changes no other
// host's score.
func (c *candidateSet) selectHosts(key uint64, buf []*Host) []*Host {
	top := topHosts{hosts: buf[:min(len(buf), len(c.hosts), MaxHosts)], scoreLimit: c.scoreBound}
	if len(top.hosts) == 0 {
		return top.hosts
	}
	for i, f := range c.filters {
		if h := mix(key ^ f.idHash); h <= f.limit {
			top.insert(h, c.inverseWeight[i], c.hosts[i])
		}
	}
	if top.count == len(top.hosts) {
		return top.hosts
	}
	top.count, top.scoreLimit = 0, math.Inf(1)
	for i := range c.filters {
		top.insert(mix(key^c.filters[i].idHash), c.inverseWeight[i], c.hosts[i])
	}
	return top.hosts
}

// topHosts collects the hosts with the lowest scores, the lowest first.
type topHosts struct {
	hosts  []*Host
	scores [MaxHosts]float64
	count  int
	// scoreLimit is the score that the next host must be below to be inserted.
	scoreLimit float64
}

func (t *topHosts) insert(hash uint64, inverseWeight float64, h *Host) {
	v := float64(hash>>11) * 0x1p-53
	// -ln(1-v) >= v, so most hosts are excluded without a logarithm.
	if v*inverseWeight >= t.scoreLimit {
		return
	}
	score := -math.Log(1-v) * inverseWeight
	if score >= t.scoreLimit {
		return
	}
	if t.count < len(t.hosts) {
		t.count++
	}
	at := t.count - 1
	for at > 0 && t.scores[at-1] > score {
		t.scores[at], t.hosts[at] = t.scores[at-1], t.hosts[at-1]
		at--
	}
	t.scores[at], t.hosts[at] = score, h
	if t.count == len(t.hosts) {
		t.scoreLimit = t.scores[t.count-1]
	}
}
