package deployments

import (
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/config"
)

// Tsehay returns the configuration of the operator Tsehay: three regions with
// links of low bandwidth, and small floors, because lookup latency and service in
// order of rank matter most.
func Tsehay() *config.Config {
	regions := config.Regions([]string{"a", "b"}, 1500*time.Microsecond, 8*time.Millisecond, "east-africa", "west-europe", "gulf")
	const connections = 800
	return &config.Config{
		Deployment: "tsehay",
		Regions:    regions,
		Links:      config.Mesh(regions, 35*time.Millisecond, 280_000_000),
		Ranks: []config.Rank{
			{Name: "lookup", Order: 1, Target: 250 * time.Millisecond, Deadline: time.Second, Worth: 100, Idempotent: true, Hedge: true},
			{Name: "purchase", Order: 2, Target: time.Second, Deadline: 5 * time.Second, Worth: 20, Floor: 0.15},
			{Name: "recording", Order: 3, Target: 30 * time.Second, Deadline: 60 * time.Second, Worth: 1, Floor: 0.1, Idempotent: true},
		},
		Services: []config.Service{
			service("phrase-svc", "phrases", 30*time.Millisecond, 256*kib, 16*kib),
			service("pay-svc", "payments", 120*time.Millisecond, 64*kib, 4*kib),
			service("voice-svc", "voice", 600*time.Millisecond, 16*mib, 4*kib),
		},
		BackendServers: slices.Concat(
			config.SpreadServers("phrase-svc", regions, 20, 3, connections, firstAddress(127, 102, 1, 1)),
			config.SpreadServers("pay-svc", regions, 12, 3, connections, firstAddress(127, 102, 2, 1)),
			config.SpreadServers("voice-svc", regions, 12, 3, connections, firstAddress(127, 102, 3, 1)),
		),
		Customers: []config.Customer{
			{Name: "travel-desk", Weight: 6},
			{Name: "clinics", Weight: 4},
			{Name: "schools", Weight: 2},
		},
		// 20 MB/s of the link's 35 MB/s, and about a quarter of a region's 42 or
		// 45 slots for each other region.
		ShiftCaps: config.UniformCaps(regions, 11, 20_000_000, 3),
		ClientBlocks: slices.Concat(
			config.Blocks("east-africa", "127.0.0.0/16", "192.0.2.0/24", "2001:db8:1::/48"),
			config.Blocks("west-europe", "127.1.0.0/16", "198.51.100.0/24", "2001:db8:2::/48"),
			config.Blocks("gulf", "127.2.0.0/16", "203.0.113.0/24", "2001:db8:3::/48"),
		),
	}
}
