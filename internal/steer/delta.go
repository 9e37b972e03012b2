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

// MaxWeight is the largest weight of a host. Weights below minWeight count as
// zero, so that sums and inverses of weights stay finite.
const (
	MaxWeight = 1e12
	minWeight = 1e-9
)

// maxRegions bounds the region names that one table has ever known.
const maxRegions = 1 << 16

// cloneShare is the share of changed blocks from which one copy of the whole
// prefix table is cheaper than a copy of a path for each block.
const cloneShare = 8

// Block assigns callers of a prefix to a region.
type Block struct {
	Prefix netip.Prefix
	Region string
}

// Region is a region with the one-way delays of its links to other regions.
type Region struct {
	Name   string
	Delays map[string]time.Duration
}

// Service is a service with the regions that run it.
type Service struct {
	Name    string
	Regions []string
}

// Delta is a set of changes to a table. Set entries add or replace. Removals
// of what does not exist have no effect. The hosts of a removed region stay
// known, because they come from membership, and are given out again if the
// region returns.
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

// NewTable returns a table without blocks, services and hosts. Callers that no
// client block matches belong to the region local.
func NewTable(local string) *Table {
	return &Table{
		blocks:   &bart.Fast[uint16]{},
		regions:  []*region{{name: local, present: true, nearest: []uint16{0}}},
		index:    map[string]uint16{local: 0},
		services: map[string]*service{},
	}
}

// Apply returns a table with the changes of d. The receiver stays as it is and
// shares all unchanged parts. An error names the refused entry; then nothing
// is applied.
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

// applyRegions replaces the region list and resizes the services' sites.
func (t *Table) applyRegions(d Delta) error {
	t.regions, t.index = slices.Clone(t.regions), maps.Clone(t.index)
	for _, name := range d.RemoveRegions {
		if i, found := t.index[name]; found {
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
		i := t.index[r.Name]
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
		t.services[name] = t.newService(name, s.names)
	}
	return nil
}

// indexOf returns the index of a region name and reserves one if it is new.
func (t *Table) indexOf(name string) (uint16, error) {
	if i, found := t.index[name]; found {
		return i, nil
	}
	if len(t.regions) >= maxRegions {
		return 0, trace.LimitExceeded("region %s: the table has %d regions; want at most %d", name, len(t.regions), maxRegions)
	}
	i := uint16(len(t.regions))
	t.index[name] = i
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
			if _, found := t.index[name]; !found {
				return trace.NotFound("service %s: unknown region %q", s.Name, name)
			}
		}
		t.services[s.Name] = t.newService(s.Name, slices.Clone(s.Regions))
	}
	return nil
}

func (t *Table) newService(name string, regions []string) *service {
	s := &service{hash: xxhash.Sum64String(name), names: regions, sites: make([]bool, len(t.regions))}
	for _, r := range regions {
		s.sites[t.index[r]] = true
	}
	return s
}

// applyBlocks copies the paths of changed prefixes, or the whole prefix table
// when many change.
func (t *Table) applyBlocks(d Delta) error {
	changes := len(d.SetBlocks) + len(d.RemoveBlocks)
	if changes == 0 {
		return nil
	}
	whole := changes >= t.blocks.Size()/cloneShare
	if whole {
		t.blocks = t.blocks.Clone()
	}
	for _, prefix := range d.RemoveBlocks {
		if whole {
			t.blocks.Delete(prefix)
		} else {
			t.blocks = t.blocks.DeletePersist(prefix)
		}
	}
	for _, b := range d.SetBlocks {
		i, found := t.index[b.Region]
		if !found {
			return trace.NotFound("client block %v: unknown region %q", b.Prefix, b.Region)
		}
		if !b.Prefix.IsValid() || b.Prefix.Addr().Is4In6() {
			return trace.BadParameter("client block %v: want an IPv4 or IPv6 prefix", b.Prefix)
		}
		if whole {
			t.blocks.Insert(b.Prefix, i)
		} else {
			t.blocks = t.blocks.InsertPersist(b.Prefix, i)
		}
	}
	return nil
}

// applyHosts replaces the regions whose hosts change. A host that is set in
// another region than before moves there.
func (t *Table) applyHosts(d Delta) error {
	changed := make(map[uint16]*region)
	edit := func(i uint16) *region {
		if changed[i] == nil {
			r := *t.regions[i]
			r.members = slices.Clone(r.members)
			changed[i] = &r
		}
		return changed[i]
	}
	remove := func(id host.ID) {
		for i := range t.regions {
			if at, found := find(t.regions[i].members, id); found && changed[uint16(i)] == nil {
				r := edit(uint16(i))
				r.members = slices.Delete(r.members, at, at+1)
			} else if r := changed[uint16(i)]; r != nil {
				if at, found := find(r.members, id); found {
					r.members = slices.Delete(r.members, at, at+1)
				}
			}
		}
	}
	for _, id := range d.RemoveHosts {
		remove(id)
	}
	for _, h := range d.SetHosts {
		i, found := t.index[h.Region]
		if !found {
			return trace.NotFound("host %s: unknown region %q", h.ID, h.Region)
		}
		if !(h.Weight >= 0 && h.Weight <= MaxWeight) {
			return trace.BadParameter("host %s: weight %v; want 0 to %g", h.ID, h.Weight, float64(MaxWeight))
		}
		remove(h.ID)
		h.seed = xxhash.Sum64String(string(h.ID))
		r := edit(i)
		at, _ := find(r.members, h.ID)
		r.members = slices.Insert(r.members, at, &h)
	}
	t.regions = slices.Clone(t.regions)
	for i, r := range changed {
		r.live = live(r.members)
		t.regions[i] = r
	}
	return nil
}

func find(members []*Host, id host.ID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(h *Host, id host.ID) int { return cmp.Compare(h.ID, id) })
}

// live returns the hosts that may be given out. Without any headroom in the
// region all hosts that are not leaving count alike.
func live(members []*Host) pool {
	weighted, staying := make([]*Host, 0, len(members)), make([]*Host, 0, len(members))
	for _, h := range members {
		if h.Leaving {
			continue
		}
		staying = append(staying, h)
		if h.Weight >= minWeight {
			weighted = append(weighted, h)
		}
	}
	if len(weighted) > 0 {
		return newPool(weighted, func(h *Host) float64 { return h.Weight })
	}
	return newPool(staying, func(*Host) float64 { return 1 })
}
