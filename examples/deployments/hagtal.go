// Package deployments defines the configurations of two example operators of
// galenabeamd without -platform, with the sizes of section 1.1 of docs/design.md.
// Backend servers have loopback addresses, so that the examples run on one machine.
package deployments

import (
	"net/netip"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/config"
)

// backendPort is the port of all backend servers of the examples.
const backendPort = 9000

// Units of sizes, in bytes.
const (
	kib = int64(1) << 10
	mib = int64(1) << 20
)

// firstAddress returns the address of a service's first backend server, from which
// the others count up.
func firstAddress(a, b, c, d byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{a, b, c, d}), backendPort)
}

// Hagtal returns the configuration of the operator Hagtal: three regions with
// links of high bandwidth, and floors that preserve much of the throughput of the
// less urgent ranks during a flood.
func Hagtal() *config.Config {
	regions := config.Regions([]string{"a", "b"}, 500*time.Microsecond, time.Millisecond, "sudvestur", "nordur", "austur")
	const connections = 900
	return &config.Config{
		Deployment: "hagtal",
		Regions:    regions,
		Links:      config.Mesh(regions, 55*time.Millisecond, 4_000_000_000),
		Ranks: []config.Rank{
			{Name: "lookup", Order: 1, Target: 250 * time.Millisecond, Deadline: time.Second, Worth: 100, Idempotent: true, Hedge: true},
			{Name: "declaration", Order: 2, Target: time.Second, Deadline: 5 * time.Second, Worth: 10, Floor: 0.25},
			{Name: "manifest", Order: 3, Target: 30 * time.Second, Deadline: 60 * time.Second, Worth: 1, Floor: 0.15, Idempotent: true},
		},
		Services: []config.Service{
			service("talnabrunnur", "tolur", 20*time.Millisecond, mib, 16*kib),
			service("yfirlysingar", "tollur", 80*time.Millisecond, 4*mib, 8*kib),
			service("mottaka", "skjol", 400*time.Millisecond, 64*mib, 4*kib),
		},
		BackendServers: slices.Concat(
			config.SpreadServers("talnabrunnur", regions, 22, 4, connections, firstAddress(127, 101, 1, 1)),
			config.SpreadServers("yfirlysingar", regions, 12, 4, connections, firstAddress(127, 101, 2, 1)),
			config.SpreadServers("mottaka", regions, 12, 3, connections, firstAddress(127, 101, 3, 1)),
		),
		Customers: []config.Customer{
			{Name: "skipafelag", Weight: 8},
			{Name: "flugfrakt", Weight: 4},
			{Name: "postur", Weight: 2},
			{Name: "smasala", Weight: 1},
		},
		// 300 MB/s of the link's 500 MB/s, and about a third of a region's 56 or
		// 60 slots for each other region.
		ShiftCaps: config.UniformCaps(regions, 20, 300_000_000, 4),
		ClientBlocks: slices.Concat(
			config.Blocks("sudvestur", "127.0.0.0/16", "192.0.2.0/24", "2001:db8:1::/48"),
			config.Blocks("nordur", "127.1.0.0/16", "198.51.100.0/24", "2001:db8:2::/48"),
			config.Blocks("austur", "127.2.0.0/16", "203.0.113.0/24", "2001:db8:3::/48"),
		),
	}
}

// service returns a service with the shares and the warm-up time that both
// operators use.
func service(name, team string, serviceTime time.Duration, maxRequestBytes, answerBytes int64) config.Service {
	return config.Service{
		Name: name, Team: team, ServiceTime: serviceTime,
		MaxRequestBytes: maxRequestBytes, AnswerBytes: answerBytes,
		RetryShare: 0.1, EjectShare: 0.25, Warmup: 30 * time.Second,
	}
}
