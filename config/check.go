package config

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// floorTolerance absorbs the rounding error of a sum of floors that is meant to be 1.
const floorTolerance = 1e-9

// Check reports all problems of c together as *Problems: values outside their
// ranges, duplicates, references to unknown items and items that contradict
// each other. A configuration that passes Check can be applied.
func Check(c *Config) error {
	k := &checker{config: c, domains: make(map[string][]string), serviceNames: make(map[string]bool),
		serverNames: make(map[string]bool), linksByPair: make(map[[2]string]*Link)}
	for _, kind := range itemKinds {
		kind.checkItems(c, &k.problems)
	}
	k.deployment()
	k.indexItems()
	k.ranks()
	k.regions()
	k.backendServers()
	k.shiftCaps()
	k.clientBlocks()
	k.drains()
	return k.problems.err()
}

// checker checks items against each other.
type checker struct {
	config   *Config
	problems Problems
	// domains has the failure domains of each region.
	domains      map[string][]string
	serviceNames map[string]bool
	serverNames  map[string]bool
	// linksByPair has the links by From and To.
	linksByPair map[[2]string]*Link
}

// deployment checks that the deployment has a name and at least one item
// of each required kind.
func (k *checker) deployment() {
	c := k.config
	if c.Deployment == "" {
		k.problems.addf("deployment", "name", "", "%s", wantName)
	}
	for _, required := range []struct {
		kind  string
		count int
	}{{"region", len(c.Regions)}, {"rank", len(c.Ranks)}, {"service", len(c.Services)}, {"customer", len(c.Customers)}} {
		if required.count == 0 {
			k.problems.addf(required.kind, "", "", "want at least one section [%s NAME]", required.kind)
		}
	}
}

// indexItems indexes regions, services and links, and checks the regions of links.
func (k *checker) indexItems() {
	c := k.config
	for i := range c.Regions {
		k.domains[c.Regions[i].Name] = c.Regions[i].FailureDomains
	}
	for i := range c.Services {
		k.serviceNames[c.Services[i].Name] = true
	}
	for i := range c.Links {
		link := &c.Links[i]
		k.linksByPair[[2]string{link.From, link.To}] = link
		k.pair(linkKind.printedName(link), link.From, link.To)
	}
}

// pair checks that from and to, the regions of a link or shift cap, are
// different known regions.
func (k *checker) pair(item, from, to string) {
	k.region(item, "from", from)
	k.region(item, "to", to)
	if from == to {
		k.problems.addf(item, "to", to, "want another region than %s", from)
	}
}

// region checks that the region exists.
func (k *checker) region(item, key, name string) {
	if _, found := k.domains[name]; !found {
		k.problems.addf(item, key, name, "unknown region")
	}
}

// ranks checks that orders have no gaps, floors sum to at most 1, only idempotent
// ranks hedge, and no deadline is before its target.
func (k *checker) ranks() {
	ranks := slices.Clone(k.config.Ranks)
	slices.SortStableFunc(ranks, func(a, b Rank) int { return a.Order - b.Order })
	floorSum := 0.0
	for i := range ranks {
		rank := &ranks[i]
		item := rankKind.printedName(rank)
		floorSum += rank.Floor
		if rank.Order != i+1 {
			k.problems.addf(item, "order", fmt.Sprint(rank.Order), "want %d; orders count 1, 2, 3 without gaps or repeats", i+1)
		}
		if rank.Hedge && !rank.Idempotent {
			k.problems.addf(item, "hedge", "true", "want false, because the rank is not idempotent")
		}
		if rank.Deadline < rank.Target {
			k.problems.addf(item, "deadline", rank.Deadline.String(), "want at least the target, %v", rank.Target)
		}
	}
	if floorSum > 1+floorTolerance {
		k.problems.addf("rank", "floor", fmt.Sprint(floorSum), "want a sum of floors over all ranks of at most 1")
	}
}

func (k *checker) regions() {
	for i := range k.config.Regions {
		region := &k.config.Regions[i]
		domains := slices.Clone(region.FailureDomains)
		slices.Sort(domains)
		for j := 1; j < len(domains); j++ {
			if domains[j] == domains[j-1] {
				k.problems.addf(regionKind.printedName(region), "failure-domains", domains[j], "duplicate failure domain")
			}
		}
	}
}

// backendServers indexes the backend servers for drains, and checks their
// references and that addresses are unique.
func (k *checker) backendServers() {
	addresses := make(map[string]string, len(k.config.BackendServers))
	for i := range k.config.BackendServers {
		server := &k.config.BackendServers[i]
		item := backendServerKind.printedName(server)
		k.serverNames[server.Name] = true
		if !k.serviceNames[server.Service] {
			k.problems.addf(item, "service", server.Service, "unknown service")
		}
		k.region(item, "region", server.Region)
		if domains, found := k.domains[server.Region]; found && !slices.Contains(domains, server.FailureDomain) {
			k.problems.addf(item, "failure-domain", server.FailureDomain, "unknown failure domain of region %s", server.Region)
		}
		if other, found := addresses[server.Address]; found {
			k.problems.addf(item, "address", server.Address, "duplicate address; backend server %s has it too", other)
		}
		addresses[server.Address] = server.Name
	}
}

// shiftCaps checks each shift cap, and that each ordered pair of regions has one.
func (k *checker) shiftCaps() {
	capped := make(map[[2]string]bool, len(k.config.ShiftCaps))
	for i := range k.config.ShiftCaps {
		shift := &k.config.ShiftCaps[i]
		capped[[2]string{shift.From, shift.To}] = true
		k.pair(shiftCapKind.printedName(shift), shift.From, shift.To)
		k.shiftCap(shift)
	}
	for i := range k.config.Regions {
		for j := range k.config.Regions {
			from, to := k.config.Regions[i].Name, k.config.Regions[j].Name
			if from != to && !capped[[2]string{from, to}] {
				k.problems.addf("shift-cap "+from+" "+to, "", "", "missing; want a section for each pair of regions, with zeros to forbid shifts")
			}
		}
	}
}

// shiftCap checks that there is a link with the capacity for the shift cap. A cap
// whose bounds on concurrency and bytes are both zero needs none.
func (k *checker) shiftCap(shift *ShiftCap) {
	item := shiftCapKind.printedName(shift)
	if shift.Concurrent == 0 && shift.BytesPerSecond == 0 {
		return
	}
	link := k.linksByPair[[2]string{shift.From, shift.To}]
	if link == nil {
		k.problems.addf(item, "", "", "no [link %s %s]; want a link, or zeros to forbid shifts", shift.From, shift.To)
		return
	}
	if capacity := link.BitsPerSecond / 8; shift.BytesPerSecond > capacity {
		k.problems.addf(item, "bytes-per-second", fmt.Sprint(shift.BytesPerSecond), "want at most %d, the capacity of the link", capacity)
	}
}

func (k *checker) clientBlocks() {
	for i := range k.config.ClientBlocks {
		block := &k.config.ClientBlocks[i]
		if _, found := k.domains[block.Region]; !found {
			k.problems.addf(clientBlockKind.itemName(block), "region", block.Region, "unknown region")
		}
	}
}

func (k *checker) drains() {
	for i := range k.config.Drains {
		drain := &k.config.Drains[i]
		item := drainKind.printedName(drain)
		region, domain, _ := strings.Cut(drain.Target, "/")
		switch drain.Kind {
		case DrainBackendServer:
			if !k.serverNames[drain.Target] {
				k.problems.addf(item, "target", drain.Target, "unknown backend server")
			}
		case DrainRegion:
			k.region(item, "target", drain.Target)
		case DrainFailureDomain:
			if !slices.Contains(k.domains[region], domain) {
				k.problems.addf(item, "target", drain.Target, "unknown failure domain; want region/failure-domain")
			}
		}
	}
}

// RankByName returns a pointer to the rank in c.Ranks, or nil if there is none.
func (c *Config) RankByName(name string) *Rank {
	return findItem(c.Ranks, func(r *Rank) bool { return r.Name == name })
}

// ServiceByName returns a pointer to the service in c.Services, or nil if
// there is none.
func (c *Config) ServiceByName(name string) *Service {
	return findItem(c.Services, func(s *Service) bool { return s.Name == name })
}

// RegionByName returns a pointer to the region in c.Regions, or nil if there is
// none.
func (c *Config) RegionByName(name string) *Region {
	return findItem(c.Regions, func(r *Region) bool { return r.Name == name })
}

// LongestDeadline returns the longest deadline of all ranks, or zero without ranks.
func (c *Config) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for i := range c.Ranks {
		longest = max(longest, c.Ranks[i].Deadline)
	}
	return longest
}

func findItem[T any](items []T, match func(*T) bool) *T {
	for i := range items {
		if match(&items[i]) {
			return &items[i]
		}
	}
	return nil
}
