package config

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// floorTolerance absorbs the rounding of a sum of floors that is meant to be 1.
const floorTolerance = 1e-9

// Check reports all problems of c together as *Problems: values outside their
// ranges, duplicates, references to unknown items and items that contradict
// each other. A configuration that passes Check can be put in force.
func Check(c *Config) error {
	k := &checker{config: c, domains: make(map[string][]string), services: make(map[string]bool),
		servers: make(map[string]bool), links: make(map[[2]string]*Link)}
	for _, s := range sections {
		s.checkItems(c, &k.problems)
	}
	k.deployment()
	k.index()
	k.ranks()
	k.regions()
	k.backendServers()
	k.shiftCaps()
	k.clientBlocks()
	k.drains()
	return k.problems.err()
}

// checker holds the indexes that comparisons between items need.
type checker struct {
	config   *Config
	problems Problems
	domains  map[string][]string
	services map[string]bool
	servers  map[string]bool
	links    map[[2]string]*Link
}

func (k *checker) deployment() {
	c := k.config
	if c.Deployment == "" {
		k.problems.addf("deployment", "name", "", "%s", wantName)
	}
	for _, list := range []struct {
		kind  string
		count int
	}{{"region", len(c.Regions)}, {"rank", len(c.Ranks)}, {"service", len(c.Services)}, {"customer", len(c.Customers)}} {
		if list.count == 0 {
			k.problems.addf(list.kind, "", "", "want at least one section [%s NAME]", list.kind)
		}
	}
}

func (k *checker) index() {
	c := k.config
	for i := range c.Regions {
		k.domains[c.Regions[i].Name] = c.Regions[i].FailureDomains
	}
	for i := range c.Services {
		k.services[c.Services[i].Name] = true
	}
	for i := range c.Links {
		link := &c.Links[i]
		k.links[[2]string{link.From, link.To}] = link
		k.pair(linkKind.label(link), link.From, link.To)
	}
}

// pair checks the two regions of a link or cap.
func (k *checker) pair(item, from, to string) {
	k.region(item, "from", from)
	k.region(item, "to", to)
	if from == to {
		k.problems.addf(item, "to", to, "want another region than %s", from)
	}
}

func (k *checker) region(item, key, name string) {
	if _, found := k.domains[name]; !found {
		k.problems.addf(item, key, name, "unknown region")
	}
}

func (k *checker) ranks() {
	ranks := slices.Clone(k.config.Ranks)
	slices.SortStableFunc(ranks, func(a, b Rank) int { return a.Order - b.Order })
	sum := 0.0
	for i := range ranks {
		rank := &ranks[i]
		item := rankKind.label(rank)
		sum += rank.Floor
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
	if sum > 1+floorTolerance {
		k.problems.addf("rank", "floor", fmt.Sprint(sum), "want a sum of floors over all ranks of at most 1")
	}
}

func (k *checker) regions() {
	for i := range k.config.Regions {
		region := &k.config.Regions[i]
		domains := slices.Clone(region.FailureDomains)
		slices.Sort(domains)
		for j := 1; j < len(domains); j++ {
			if domains[j] == domains[j-1] {
				k.problems.addf(regionKind.label(region), "failure-domains", domains[j], "duplicate failure domain")
			}
		}
	}
}

func (k *checker) backendServers() {
	addresses := make(map[string]string, len(k.config.BackendServers))
	for i := range k.config.BackendServers {
		server := &k.config.BackendServers[i]
		item := backendServerKind.label(server)
		k.servers[server.Name] = true
		if !k.services[server.Service] {
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

func (k *checker) shiftCaps() {
	found := make(map[[2]string]bool, len(k.config.ShiftCaps))
	for i := range k.config.ShiftCaps {
		shift := &k.config.ShiftCaps[i]
		found[[2]string{shift.From, shift.To}] = true
		k.pair(shiftCapKind.label(shift), shift.From, shift.To)
		k.shiftCap(shift)
	}
	for i := range k.config.Regions {
		for j := range k.config.Regions {
			from, to := k.config.Regions[i].Name, k.config.Regions[j].Name
			if from != to && !found[[2]string{from, to}] {
				k.problems.addf("shift-cap "+from+" "+to, "", "", "missing; want a section for each pair of regions, with zeros to forbid shifts")
			}
		}
	}
}

// shiftCap checks that the cap fits its link.
func (k *checker) shiftCap(shift *ShiftCap) {
	item := shiftCapKind.label(shift)
	if shift.Concurrent == 0 && shift.BytesPerSecond == 0 {
		return
	}
	link := k.links[[2]string{shift.From, shift.To}]
	if link == nil {
		k.problems.addf(item, "", "", "no [link %s %s]; want a link, or zeros to forbid shifts", shift.From, shift.To)
		return
	}
	if limit := link.BitsPerSecond / 8; shift.BytesPerSecond > limit {
		k.problems.addf(item, "bytes-per-second", fmt.Sprint(shift.BytesPerSecond), "want at most %d, the capacity of the link", limit)
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
		item := drainKind.label(drain)
		region, domain, _ := strings.Cut(drain.Target, "/")
		switch drain.Kind {
		case DrainBackendServer:
			if !k.servers[drain.Target] {
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

// RankByName returns the rank with the name, or nil.
func (c *Config) RankByName(name string) *Rank {
	return find(c.Ranks, func(r *Rank) bool { return r.Name == name })
}

// ServiceByName returns the service with the name, or nil.
func (c *Config) ServiceByName(name string) *Service {
	return find(c.Services, func(s *Service) bool { return s.Name == name })
}

// RegionByName returns the region with the name, or nil.
func (c *Config) RegionByName(name string) *Region {
	return find(c.Regions, func(r *Region) bool { return r.Name == name })
}

// LongestDeadline returns the longest deadline of all ranks.
func (c *Config) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for i := range c.Ranks {
		longest = max(longest, c.Ranks[i].Deadline)
	}
	return longest
}

func find[T any](items []T, match func(*T) bool) *T {
	for i := range items {
		if match(&items[i]) {
			return &items[i]
		}
	}
	return nil
}
