package steer

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"
	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/internal/host"
)

const (
	// MaxWeight is the largest weight of a host. It keeps sums of weights finite.
	MaxWeight = 1e12
	// minWeight is the weight below which a weight counts as zero, so that the
	// inverses of weights stay finite.
	minWeight = 1e-9
)

// maxRegions is the maximum number of region names in a table, removed regions
// included: the prefix table stores 16-bit indexes.
const maxRegions = 1 << 16

// cloneDivisor sets when Apply copies the whole prefix table: if at least one in
// cloneDivisor blocks changes, that is cheaper than copying the path to each.
const cloneDivisor = 8

// Block is a client block: callers with an address in Prefix belong to Region.
type Block struct {
	Prefix netip.Prefix
	Region string
}

// Region is a region with the one-way delays of its links, by the name of the
// other region.
type Region struct {
	Name   string
	Delays map[string]time.Duration
}

// Service is a service with the names of the regions that run it.
type Service struct {
	Name    string
	Regions []string
}

// Delta is a set of changes to a table. Set entries add or replace. Removals
// of entries that do not exist have no effect. The hosts of a removed region stay in
// the table, because they come from membership, and lookups return them again once
// the region is set again.
type Delta struct {
	SetRegions     []Region
	RemoveRegions  []string
	SetServices    []Service
	RemoveServices []string
	SetBlocks      []Block
	RemoveBlocks   []netip.Prefix
	SetHosts       []Host
	RemoveHosts    []host.ID
}

// NewTable returns a table without client blocks, services and hosts. Callers
// that no client block matches belong to the region local.
func NewTable(local string) *Table {
	return &Table{
		blocks:      &bart.Fast[uint16]{},
		regions:     []*region{{name: local, present: true, nearest: []uint16{0}}},
		regionIndex: map[string]uint16{local: 0},
		services:    map[string]*service{},
	}
}

// Apply returns a table with the changes of d. The receiver does not change and
// shares all unchanged parts with the result. An error names the invalid entry of d.
func (t *Table) Apply(d Delta) (*Table, error) {
	next := *t
	if len(d.SetRegions)+len(d.RemoveRegions) > 0 {
		if err := next.applyRegions(d); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if len(d.SetServices)+len(d.RemoveServices) > 0 {
		if err := next.applyServices(d); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := next.applyBlocks(d); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(d.SetHosts)+len(d.RemoveHosts) > 0 {
		if err := next.applyHosts(d); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &next, nil
}

// applyRegions replaces the region list and resizes inRegion of all services.
func (t *Table) applyRegions(d Delta) error {
	t.regions, t.regionIndex = slices.Clone(t.regions), maps.Clone(t.regionIndex)
	for _, name := range d.RemoveRegions {
		if i, found := t.regionIndex[name]; found {
			removed := *t.regions[i]
			removed.present = false
			t.regions[i] = &removed
		}
	}
	for _, r := range d.SetRegions {
		if _, err := t.indexOf(r.Name); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, r := range d.SetRegions {
		i := t.regionIndex[r.Name]
		changed := *t.regions[i]
		changed.present = true
		changed.delays = make(map[uint16]time.Duration, len(r.Delays))
		for name, delay := range r.Delays {
			j, err := t.indexOf(name)
			if err != nil {
				return trace.Wrap(err)
			}
			changed.delays[j] = delay
		}
		t.regions[i] = &changed
	}
	for i := range t.regions {
		changed := *t.regions[i]
		changed.nearest = t.nearest(uint16(i))
		t.regions[i] = &changed
	}
	t.services = maps.Clone(t.services)
	for name, s := range t.services {
		t.services[name] = t.newService(name, s.regionNames)
	}
	return nil
}

// indexOf returns the index of a region name. For a new name it appends a region that
// is not present.
func (t *Table) indexOf(name string) (uint16, error) {
	if i, found := t.regionIndex[name]; found {
		return i, nil
	}
	if len(t.regions) >= maxRegions {
		return 0, trace.LimitExceeded("region %s: the table has %d regions; want at most %d", name, len(t.regions), maxRegions)
	}
	i := uint16(len(t.regions))
	t.regionIndex[name] = i
	t.regions = append(t.regions, &region{name: name})
	return i, nil
}

// nearest orders the present regions by their delay from region i. Regions
// without a link come last; equal delays are ordered by name.
func (t *Table) nearest(i uint16) []uint16 {
	var order []uint16
	for j := range t.regions {
		if t.regions[j].present {
			order = append(order, uint16(j))
		}
	}
	delay := func(j uint16) time.Duration {
		if i == j {
			return -1
		}
		if d, found := t.regions[i].delays[j]; found {
			return d
		}
		return math.MaxInt64
	}
	slices.SortFunc(order, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(delay(a), delay(b)), strings.Compare(t.regions[a].name, t.regions[b].name))
	})
	return order
}

func (t *Table) applyServices(d Delta) error {
	t.services = maps.Clone(t.services)
	for _, name := range d.RemoveServices {
		delete(t.services, name)
	}
	for _, s := range d.SetServices {
		for _, name := range s.Regions {
			if _, found := t.regionIndex[name]; !found {
				return trace.NotFound("service %s: unknown region %q", s.Name, name)
			}
		}
		t.services[s.Name] = t.newService(s.Name, slices.Clone(s.Regions))
	}
	return nil
}

func (t *Table) newService(name string, regions []string) *service {
	s := &service{hash: xxhash.Sum64String(name), regionNames: regions, inRegion: make([]bool, len(t.regions))}
	for _, r := range regions {
		s.inRegion[t.regionIndex[r]] = true
	}
	return s
}

// applyBlocks copies the paths to the changed prefixes or, if many change, the
// whole prefix table.
func (t *Table) applyBlocks(d Delta) error {
	changes := len(d.SetBlocks) + len(d.RemoveBlocks)
	if changes == 0 {
		return nil
	}
	cloneAll := changes >= t.blocks.Size()/cloneDivisor
	if cloneAll {
		t.blocks = t.blocks.Clone()
	}
	for _, prefix := range d.RemoveBlocks {
		if cloneAll {
			t.blocks.Delete(prefix)
		} else {
			t.blocks = t.blocks.DeletePersist(prefix)
		}
	}
	for _, b := range d.SetBlocks {
		i, found := t.regionIndex[b.Region]
		if !found {
			return trace.NotFound("client block %v: unknown region %q", b.Prefix, b.Region)
		}
		if !b.Prefix.IsValid() || b.Prefix.Addr().Is4In6() {
			return trace.BadParameter("client block %v: want an IPv4 or IPv6 prefix", b.Prefix)
		}
		if cloneAll {
			t.blocks.Insert(b.Prefix, i)
		} else {
			t.blocks = t.blocks.InsertPersist(b.Prefix, i)
		}
	}
	return nil
}

// applyHosts replaces the regions whose hosts change. A host that is set in another
// region than before moves there.
func (t *Table) applyHosts(d Delta) error {
	changed := make(map[uint16]*region)
	editRegion := func(i uint16) *region {
		if changed[i] == nil {
			r := *t.regions[i]
			r.hosts = slices.Clone(r.hosts)
			changed[i] = &r
		}
		return changed[i]
	}
	remove := func(id host.ID) {
		for i := range t.regions {
			if at, found := findHost(t.regions[i].hosts, id); found && changed[uint16(i)] == nil {
				r := editRegion(uint16(i))
				r.hosts = slices.Delete(r.hosts, at, at+1)
			} else if r := changed[uint16(i)]; r != nil {
				if at, found := findHost(r.hosts, id); found {
					r.hosts = slices.Delete(r.hosts, at, at+1)
				}
			}
		}
	}
	for _, id := range d.RemoveHosts {
		remove(id)
	}
	for _, h := range d.SetHosts {
		i, found := t.regionIndex[h.Region]
		if !found {
			return trace.NotFound("host %s: unknown region %q", h.ID, h.Region)
		}
		if !(h.Weight >= 0 && h.Weight <= MaxWeight) {
			return trace.BadParameter("host %s: weight %v; want 0 to %g", h.ID, h.Weight, float64(MaxWeight))
		}
		remove(h.ID)
		h.idHash = xxhash.Sum64String(string(h.ID))
		r := editRegion(i)
		at, _ := findHost(r.hosts, h.ID)
		r.hosts = slices.Insert(r.hosts, at, &h)
	}
	t.regions = slices.Clone(t.regions)
	for i, r := range changed {
		r.eligible = eligible(r.hosts)
		t.regions[i] = r
	}
	return nil
}

// findHost returns the position of id in hosts, which are sorted by ID.
func findHost(hosts []*Host, id host.ID) (int, bool) {
	return slices.BinarySearchFunc(hosts, id, func(h *Host, id host.ID) int { return cmp.Compare(h.ID, id) })
}

// eligible returns the hosts that lookups may return: those that are not leaving
// and have a weight of at least minWeight. If there are none, it returns all hosts
// that are not leaving, with equal weights.
func eligible(hosts []*Host) candidateSet {
	weighted, staying := make([]*Host, 0, len(hosts)), make([]*Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		staying = append(staying, h)
		if h.Weight >= minWeight {
			weighted = append(weighted, h)
		}
	}
	if len(weighted) > 0 {
		return newCandidateSet(weighted, func(h *Host) float64 { return h.Weight })
	}
	return newCandidateSet(staying, func(*Host) float64 { return 1 })
}
