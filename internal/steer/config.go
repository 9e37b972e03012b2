package steer

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/galenabeam/galenabeam/config"
)

// Changes returns the delta from one valid configuration to the next. A nil
// before stands for an empty configuration. The delta has no hosts: these come from
// membership and digests.
func Changes(before, after *config.Config) Delta {
	if before == nil {
		before = &config.Config{}
	}
	var d Delta
	d.addRegions(before, after)
	d.addServices(before, after)
	d.addBlocks(before, after)
	return d
}

// ChangesFromDelta returns the same as Changes if delta turns before into after. It
// takes the changed client blocks from delta and does not compare them all.
func ChangesFromDelta(delta config.Delta, before, after *config.Config) Delta {
	var d Delta
	if len(delta.Set.Regions)+len(delta.Set.Links) > 0 || removes(delta, "region ", "link ") {
		d.addRegions(before, after)
	}
	if len(delta.Set.Services)+len(delta.Set.BackendServers) > 0 || removes(delta, "service ", "backend-server ") {
		d.addServices(before, after)
	}
	for _, item := range delta.Remove {
		if prefix, found := strings.CutPrefix(item, "client-blocks "); found {
			d.RemoveBlocks = append(d.RemoveBlocks, netip.MustParsePrefix(prefix))
		}
	}
	for _, b := range delta.Set.ClientBlocks {
		d.SetBlocks = append(d.SetBlocks, Block{Prefix: netip.MustParsePrefix(b.Prefix), Region: b.Region})
	}
	return d
}

// removes reports whether delta removes an item that starts with one of the
// prefixes.
func removes(delta config.Delta, prefixes ...string) bool {
	return slices.ContainsFunc(delta.Remove, func(item string) bool {
		return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(item, prefix) })
	})
}

// addRegions sets all regions if a region or a link has changed.
func (d *Delta) addRegions(before, after *config.Config) {
	if slices.EqualFunc(before.Regions, after.Regions, func(a, b config.Region) bool { return a.Name == b.Name }) &&
		slices.Equal(before.Links, after.Links) {
		return
	}
	for _, r := range before.Regions {
		if after.RegionByName(r.Name) == nil {
			d.RemoveRegions = append(d.RemoveRegions, r.Name)
		}
	}
	for _, r := range after.Regions {
		delays := make(map[string]time.Duration)
		for _, link := range after.Links {
			if link.From == r.Name {
				delays[link.To] = link.Delay
			}
		}
		d.SetRegions = append(d.SetRegions, Region{Name: r.Name, Delays: delays})
	}
}

func (d *Delta) addServices(before, after *config.Config) {
	oldRegions, newRegions := serviceRegions(before), serviceRegions(after)
	for _, s := range before.Services {
		if after.ServiceByName(s.Name) == nil {
			d.RemoveServices = append(d.RemoveServices, s.Name)
		}
	}
	for _, s := range after.Services {
		if before.ServiceByName(s.Name) == nil || !slices.Equal(oldRegions[s.Name], newRegions[s.Name]) {
			d.SetServices = append(d.SetServices, Service{Name: s.Name, Regions: newRegions[s.Name]})
		}
	}
}

// serviceRegions returns for each service the sorted names of the regions that
// have backend servers of it.
func serviceRegions(c *config.Config) map[string][]string {
	regions := make(map[string][]string)
	for i := range c.BackendServers {
		b := &c.BackendServers[i]
		if at, found := slices.BinarySearch(regions[b.Service], b.Region); !found {
			regions[b.Service] = slices.Insert(regions[b.Service], at, b.Region)
		}
	}
	return regions
}

// addBlocks compares the client blocks in one pass over both lists, which are sorted
// in the normal form of a configuration; others are sorted first.
func (d *Delta) addBlocks(before, after *config.Config) {
	a, b := sortedBlocks(before.ClientBlocks), sortedBlocks(after.ClientBlocks)
	for len(a) > 0 || len(b) > 0 {
		switch order := compareHeads(a, b); {
		case order < 0:
			d.RemoveBlocks = append(d.RemoveBlocks, netip.MustParsePrefix(a[0].Prefix))
			a = a[1:]
		case order > 0:
			d.SetBlocks = append(d.SetBlocks, Block{Prefix: netip.MustParsePrefix(b[0].Prefix), Region: b[0].Region})
			b = b[1:]
		default:
			if a[0].Region != b[0].Region {
				d.SetBlocks = append(d.SetBlocks, Block{Prefix: netip.MustParsePrefix(b[0].Prefix), Region: b[0].Region})
			}
			a, b = a[1:], b[1:]
		}
	}
}

// compareHeads compares the first blocks of two lists by prefix. An empty list
// sorts last.
func compareHeads(a, b []config.ClientBlock) int {
	switch {
	case len(b) == 0:
		return -1
	case len(a) == 0:
		return 1
	case a[0].Prefix == b[0].Prefix:
		return 0
	}
	return comparePrefixes(a[0].Prefix, b[0].Prefix)
}

// comparePrefixes orders prefixes by address, then by length.
func comparePrefixes(a, b string) int {
	p, q := netip.MustParsePrefix(a), netip.MustParsePrefix(b)
	if order := p.Addr().Compare(q.Addr()); order != 0 {
		return order
	}
	return p.Bits() - q.Bits()
}

// sortedBlocks returns blocks in the order of comparePrefixes and copies them only
// if they are not sorted yet.
func sortedBlocks(blocks []config.ClientBlock) []config.ClientBlock {
	order := func(a, b config.ClientBlock) int { return comparePrefixes(a.Prefix, b.Prefix) }
	if slices.IsSortedFunc(blocks, order) {
		return blocks
	}
	return slices.SortedFunc(slices.Values(blocks), order)
}
