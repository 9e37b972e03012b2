package config

import (
	"fmt"
	"net/netip"
	"time"
)

// Mesh returns a link in each direction between every two regions, all with
// the same one-way delay and capacity.
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

// UniformCaps returns a shift cap for each ordered pair of different regions,
// all with the same bounds. ShiftCap states the units.
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

// SpreadServers returns count backend servers of a service, distributed round
// robin over the regions and over the failure domains of each region. They are
// named "<service>-1" to "<service>-<count>" and have consecutive IP addresses
// from first, all with its port. slots and connections apply to each server.
// With count above 0 it panics if there is no region or a region that it uses
// has no failure domain.
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

// Blocks returns client blocks that assign the CIDR prefixes to a region.
func Blocks(region string, prefixes ...string) []ClientBlock {
	blocks := make([]ClientBlock, 0, len(prefixes))
	for _, prefix := range prefixes {
		blocks = append(blocks, ClientBlock{Prefix: prefix, Region: region})
	}
	return blocks
}

// Regions returns one region for each name, all with the same failure domains
// and one-way delays. The regions share the slice domains.
func Regions(domains []string, domainDelay, clientDelay time.Duration, names ...string) []Region {
	regions := make([]Region, 0, len(names))
	for _, name := range names {
		regions = append(regions, Region{Name: name, FailureDomains: domains, DomainDelay: domainDelay, ClientDelay: clientDelay})
	}
	return regions
}
