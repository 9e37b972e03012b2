package config

import (
	"fmt"
	"net/netip"
	"time"
)

// Mesh returns links of equal delay and capacity between all regions, in both
// directions.
func Mesh(regions []Region, delay time.Duration, bitsPerSecond int64) []Link {
	var links []Link
	for _, from := range regions {
		for _, to := range regions {
			if from.Name != to.Name {
				links = append(links, Link{From: from.Name, To: to.Name, Delay: delay, BitsPerSecond: bitsPerSecond})
			}
		}
	}
	return links
}

// UniformCaps returns the same shift cap for each pair of regions.
func UniformCaps(regions []Region, concurrent int, bytesPerSecond int64, growthPerSecond float64) []ShiftCap {
	var caps []ShiftCap
	for _, from := range regions {
		for _, to := range regions {
			if from.Name != to.Name {
				caps = append(caps, ShiftCap{From: from.Name, To: to.Name, Concurrent: concurrent,
					BytesPerSecond: bytesPerSecond, GrowthPerSecond: growthPerSecond})
			}
		}
	}
	return caps
}

// SpreadServers returns count backend servers of a service, spread evenly over
// the regions and their failure domains, named "<service>-1" and so on. The
// addresses count up from first, all with its port.
func SpreadServers(service string, regions []Region, count, slots, connections int, first netip.AddrPort) []BackendServer {
	servers := make([]BackendServer, 0, count)
	addr := first.Addr()
	for i := range count {
		region := &regions[i%len(regions)]
		servers = append(servers, BackendServer{
			Name:          fmt.Sprintf("%s-%d", service, i+1),
			Service:       service,
			Region:        region.Name,
			FailureDomain: region.FailureDomains[i/len(regions)%len(region.FailureDomains)],
			Address:       netip.AddrPortFrom(addr, first.Port()).String(),
			Slots:         slots,
			Connections:   connections,
		})
		addr = addr.Next()
	}
	return servers
}

// Blocks assigns prefixes to a region.
func Blocks(region string, prefixes ...string) []ClientBlock {
	blocks := make([]ClientBlock, 0, len(prefixes))
	for _, prefix := range prefixes {
		blocks = append(blocks, ClientBlock{Prefix: prefix, Region: region})
	}
	return blocks
}

// Regions returns regions that have the same failure domains and delays.
func Regions(domains []string, domainDelay, clientDelay time.Duration, names ...string) []Region {
	regions := make([]Region, 0, len(names))
	for _, name := range names {
		regions = append(regions, Region{Name: name, FailureDomains: domains, DomainDelay: domainDelay, ClientDelay: clientDelay})
	}
	return regions
}
