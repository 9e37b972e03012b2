package steer

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/galenabeam/galenabeam/config"
)

// Changes returns the delta that leads from one checked configuration to the
// next. A nil old configuration stands for an empty one. It holds no hosts:
// these come from membership and digests.
func Changes(before, after *config.Config) Delta {
	if before == nil {
		before = &config.Config{}
	}
	var d Delta
	d.regions(before, after)
	d.services(before, after)
	d.blocks(before, after)
	return d
}

// ChangesOf returns the same as Changes for a configuration that delta led to.
// Unlike Changes, it does not compare the client blocks.
func ChangesOf(delta config.Delta, before, after *config.Config) Delta {
	var d Delta
	if len(delta.Set.Regions)+len(delta.Set.Links) > 0 || removes(delta, "region ", "link ") {
		d.regions(before, after)
	}
	if len(delta.Set.Services)+len(delta.Set.BackendServers) > 0 || removes(delta, "service ", "backend-server ") {
		d.services(before, after)
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

func removes(delta config.Delta, words ...string) bool {
	return slices.ContainsFunc(delta.Remove, func(item string) bool {
		return slices.ContainsFunc(words, func(word string) bool { return strings.HasPrefix(item, word) })
	})
}

func (d *Delta) regions(before, after *config.Config) {
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

func (d *Delta) services(before, after *config.Config) {
	old, sites := siteRegions(before), siteRegions(after)
	for _, s := range before.Services {
		if after.ServiceByName(s.Name) == nil {
			d.RemoveServices = append(d.RemoveServices, s.Name)
		}
	}
	for _, s := range after.Services {
		if before.ServiceByName(s.Name) == nil || !slices.Equal(old[s.Name], sites[s.Name]) {
			d.SetServices = append(d.SetServices, Service{Name: s.Name, Regions: sites[s.Name]})
		}
	}
}

// siteRegions returns the regions, sorted, that have backend servers of each
// service.
func siteRegions(c *config.Config) map[string][]string {
	sites := make(map[string][]string)
	for i := range c.BackendServers {
		b := &c.BackendServers[i]
		if at, found := slices.BinarySearch(sites[b.Service], b.Region); !found {
			sites[b.Service] = slices.Insert(sites[b.Service], at, b.Region)
		}
	}
	return sites
}

// blocks compares the client blocks, which are sorted alike in normal form,
// in one pass. Lists in another order are compared after sorting.
func (d *Delta) blocks(before, after *config.Config) {
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

func comparePrefixes(a, b string) int {
	p, q := netip.MustParsePrefix(a), netip.MustParsePrefix(b)
	if order := p.Addr().Compare(q.Addr()); order != 0 {
		return order
	}
	return p.Bits() - q.Bits()
}

func sortedBlocks(blocks []config.ClientBlock) []config.ClientBlock {
	order := func(a, b config.ClientBlock) int { return comparePrefixes(a.Prefix, b.Prefix) }
	if slices.IsSortedFunc(blocks, order) {
		return blocks
	}
	return slices.SortedFunc(slices.Values(blocks), order)
}
