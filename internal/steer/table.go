// Package steer answers which entry hosts a caller should use. A longest-prefix
// match maps the caller's address to its region, and weighted rendezvous
// hashing picks among the region's live entry hosts. A Table is immutable:
// readers use it without locks, and Apply returns a new Table that shares all
// unchanged parts.
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

// MaxAnswer is the largest number of hosts in an answer.
const MaxAnswer = 8

// Length of the part of an address that the choice of a host depends on. IPv6
// callers change the lower 64 bits of their address.
const (
	callerBytes4 = 4
	callerBytes6 = 8
)

// Host is an entry host that may be given to callers.
type Host struct {
	host.Info
	// Weight is the host's share of callers relative to the other hosts of
	// its region, usually its headroom. While any host of the region has a
	// positive weight, hosts of weight zero are not given out.
	Weight float64
	// Leaving hosts are never given out.
	Leaving bool

	// seed is the hash of the ID, set by Apply.
	seed uint64
}

// Status tells whether an answer has hosts, and why not.
type Status string

// Statuses of answers.
const (
	StatusOK        Status = "ok"
	StatusNoService Status = "no-service" // the service is not configured
	StatusNoHost    Status = "no-host"    // no region of the service has a live entry host
)

// Answer is the result of a lookup.
type Answer struct {
	Status Status
	// Home is the caller's region, or empty when no client block matches.
	Home string
	// Region is the region of Hosts. It differs from Home when the home
	// region has no live entry host or does not run the service.
	Region string
	// Hosts are the hosts to use, the preferred one first. They are shared
	// and must not be changed.
	Hosts []*Host
}

// Table is an immutable steering table.
type Table struct {
	blocks *bart.Fast[uint16]
	// regions is indexed by the values of blocks. Names keep their index
	// for good; a removed region stays as an entry that is not present.
	regions  []*region
	index    map[string]uint16
	services map[string]*service
	// local is the region that callers of no client block belong to.
	local uint16
}

// region holds the hosts of one region. Entries are replaced, never changed.
type region struct {
	name    string
	present bool
	// delays are the one-way delays of links to other regions.
	delays map[uint16]time.Duration
	// nearest lists the present regions by delay, this one first.
	nearest []uint16
	// members holds all hosts by ID, live the ones that are given out.
	members []*Host
	live    pool
}

// service knows the regions that run it.
type service struct {
	hash  uint64
	names []string
	// sites is indexed like Table.regions.
	sites []bool
}

// Lookup returns up to len(buf), at most MaxAnswer, hosts for a caller. The
// hosts are in buf. The same caller and service give the same hosts as long as
// these are live and keep their weights.
func (t *Table) Lookup(serviceName string, client netip.Addr, buf []*Host) Answer {
	s := t.services[serviceName]
	if s == nil {
		return Answer{Status: StatusNoService}
	}
	client = client.Unmap()
	answer := Answer{Status: StatusNoHost}
	home, known := t.home(client)
	if known {
		answer.Home = t.regions[home].name
	}
	for _, i := range t.regions[home].nearest {
		if r := t.regions[i]; s.sites[i] && len(r.live.hosts) > 0 {
			answer.Status, answer.Region = StatusOK, r.name
			answer.Hosts = r.live.pick(callerHash(s.hash, client), buf)
			return answer
		}
	}
	return answer
}

// RegionOf returns the region of the longest client block that holds client,
// and false when there is none.
func (t *Table) RegionOf(client netip.Addr) (string, bool) {
	home, known := t.home(client.Unmap())
	if !known {
		return "", false
	}
	return t.regions[home].name, true
}

// Blocks returns the number of client blocks.
func (t *Table) Blocks() int { return t.blocks.Size() }

func (t *Table) home(client netip.Addr) (uint16, bool) {
	if i, found := t.blocks.Lookup(client); found && t.regions[i].present {
		return i, true
	}
	return t.local, false
}

// callerHash mixes the service and the part of the address that identifies a
// caller.
func callerHash(service uint64, client netip.Addr) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], service)
	if client.Is4() {
		a := client.As4()
		copy(key[8:], a[:callerBytes4])
	} else {
		a := client.As16()
		copy(key[8:], a[:callerBytes6])
	}
	return xxhash.Sum64(key[:])
}

// mix folds the 128-bit product of h, which is the difference of two values of
// xxHash, and an odd constant. Each bit of the result depends on all bits of h.
func mix(h uint64) uint64 {
	high, low := bits.Mul64(h, 0x9e3779b97f4a7c15)
	return high ^ low
}

// pool holds the hosts of a region that are given out. Its lists are parallel;
// the scan of all hosts reads only filters.
type pool struct {
	filters []filter
	// inverse holds 1/weight.
	inverse []float64
	hosts   []*Host
	// bound is the score below which a caller finds firstPass hosts on average.
	bound float64
}

// filter rules out a host whose hash of the caller is above limit, because
// its score is then not below the pool's bound.
type filter struct {
	seed, limit uint64
}

// firstPass is the mean number of hosts that a scan with filters leaves. Of
// 1,000 callers, 14 find fewer than three hosts and need a full scan.
const firstPass = 8

func newPool(hosts []*Host, weight func(*Host) float64) pool {
	sum := 0.0
	for _, h := range hosts {
		sum += weight(h)
	}
	p := pool{filters: make([]filter, len(hosts)), inverse: make([]float64, len(hosts)), hosts: hosts, bound: firstPass / sum}
	for i, h := range hosts {
		w := weight(h)
		// The score is at least v/w, so a score below the bound needs v below
		// bound*w.
		limit := uint64(math.MaxUint64)
		if share := p.bound * w; share < 1 {
			limit = uint64(math.Ceil(share*0x1p53)) << 11
		}
		p.filters[i] = filter{seed: h.seed, limit: limit}
		p.inverse[i] = 1 / w
	}
	return p
}

// pick chooses the hosts with the lowest scores -ln(1-v)/weight, where v in
// [0,1) is the hash of caller and host. A host wins in proportion to its
// weight, and a host that comes, goes or changes its weight changes only its
// own score.
func (p *pool) pick(key uint64, buf []*Host) []*Host {
	best := ranking{hosts: buf[:min(len(buf), len(p.hosts), MaxAnswer)], worst: p.bound}
	if len(best.hosts) == 0 {
		return best.hosts
	}
	for i, f := range p.filters {
		if h := mix(key ^ f.seed); h <= f.limit {
			best.offer(h, p.inverse[i], p.hosts[i])
		}
	}
	if best.count == len(best.hosts) {
		return best.hosts
	}
	best.count, best.worst = 0, math.Inf(1)
	for i := range p.filters {
		best.offer(mix(key^p.filters[i].seed), p.inverse[i], p.hosts[i])
	}
	return best.hosts
}

// ranking keeps the hosts with the lowest scores, the lowest first.
type ranking struct {
	hosts  []*Host
	scores [MaxAnswer]float64
	count  int
	// worst is the score that a further host must be below.
	worst float64
}

func (r *ranking) offer(hash uint64, inverse float64, h *Host) {
	v := float64(hash>>11) * 0x1p-53
	// -ln(1-v) >= v, so most hosts are ruled out without a logarithm.
	if v*inverse >= r.worst {
		return
	}
	score := -math.Log(1-v) * inverse
	if score >= r.worst {
		return
	}
	if r.count < len(r.hosts) {
		r.count++
	}
	at := r.count - 1
	for at > 0 && r.scores[at-1] > score {
		r.scores[at], r.hosts[at] = r.scores[at-1], r.hosts[at-1]
		at--
	}
	r.scores[at], r.hosts[at] = score, h
	if r.count == len(r.hosts) {
		r.worst = r.scores[r.count-1]
	}
}
