package config

import (
	"net/netip"
	"strings"
	"time"
)

// Bounds of the lists and values of a configuration. They are above the size
// that the system is designed for: 35 regions, 2,700 pools and 1.6 million
// client blocks.
const (
	MaxRegions        = 256
	MaxFailureDomains = 64 // in each region
	MaxRanks          = 16
	MaxServices       = 4096
	MaxBackendServers = 500_000
	MaxCustomers      = 100_000
	MaxClientBlocks   = 4_000_000
	MaxDrains         = 10_000
	MaxSlots          = 65_536           // of a backend server
	MaxConnections    = 1_000_000        // to a backend server
	MaxBits           = int64(100e12)    // bits per second of a link
	MaxBytes          = int64(1) << 40   // bytes of a request or answer, bytes per second of a shift cap
	MaxDelay          = 10 * time.Second // one-way network delay
	MaxDeadline       = time.Hour        // deadline, target and service time
)

// kindOf describes how items of type T are printed, parsed, checked and compared.
type kindOf[T any] struct {
	// keyword is the first word of the section header.
	keyword string
	// max is the maximum number of items in a configuration.
	max int
	// items returns a pointer to the list of items. It is nil for the deployment,
	// which is not a list.
	items func(*Config) *[]T
	// names describe the words of the section header after keyword. Together they
	// identify the item.
	names []field[T]
	// compact means that all items are in one section, each on one line
	// "name = value" with the values of names[0] and fields[0].
	compact bool
	// fields describe the keys of a section.
	fields []field[T]
	// compare is the order of items in normal form, by name if it is nil.
	compare func(a, b *T) int
}

// deploymentItem presents Config.Deployment as an item, for use in a kindOf.
type deploymentItem struct{ Name string }

var deploymentKind = kindOf[deploymentItem]{
	keyword: "deployment",
	max:     1,
	fields:  []field[deploymentItem]{nameField("name", func(d *deploymentItem) *string { return &d.Name })},
}

var regionKind = kindOf[Region]{
	keyword: "region",
	max:     MaxRegions,
	items:   func(c *Config) *[]Region { return &c.Regions },
	names:   []field[Region]{nameField("name", func(r *Region) *string { return &r.Name })},
	fields: []field[Region]{
		nameListField("failure-domains", MaxFailureDomains, func(r *Region) *[]string { return &r.FailureDomains }),
		durationField("domain-delay", 0, MaxDelay, func(r *Region) *time.Duration { return &r.DomainDelay }),
		durationField("client-delay", 0, MaxDelay, func(r *Region) *time.Duration { return &r.ClientDelay }),
	},
}

var linkKind = kindOf[Link]{
	keyword: "link",
	max:     MaxRegions * (MaxRegions - 1),
	items:   func(c *Config) *[]Link { return &c.Links },
	names: []field[Link]{
		nameField("from", func(l *Link) *string { return &l.From }),
		nameField("to", func(l *Link) *string { return &l.To }),
	},
	fields: []field[Link]{
		durationField("delay", 0, MaxDelay, func(l *Link) *time.Duration { return &l.Delay }),
		intField("bits-per-second", 1, MaxBits, func(l *Link) *int64 { return &l.BitsPerSecond }),
	},
}

var rankKind = kindOf[Rank]{
	keyword: "rank",
	max:     MaxRanks,
	items:   func(c *Config) *[]Rank { return &c.Ranks },
	names:   []field[Rank]{nameField("name", func(r *Rank) *string { return &r.Name })},
	fields: []field[Rank]{
		intField("order", 1, MaxRanks, func(r *Rank) *int { return &r.Order }),
		durationField("target", time.Millisecond, MaxDeadline, func(r *Rank) *time.Duration { return &r.Target }),
		durationField("deadline", time.Millisecond, MaxDeadline, func(r *Rank) *time.Duration { return &r.Deadline }),
		floatField("worth", 0, 1e9, func(r *Rank) *float64 { return &r.Worth }),
		floatField("floor", 0, 1, func(r *Rank) *float64 { return &r.Floor }),
		boolField("idempotent", func(r *Rank) *bool { return &r.Idempotent }),
		boolField("hedge", func(r *Rank) *bool { return &r.Hedge }),
	},
	compare: func(a, b *Rank) int {
		if a.Order != b.Order {
			return a.Order - b.Order
		}
		return strings.Compare(a.Name, b.Name)
	},
}

var serviceKind = kindOf[Service]{
	keyword: "service",
	max:     MaxServices,
	items:   func(c *Config) *[]Service { return &c.Services },
	names:   []field[Service]{nameField("name", func(s *Service) *string { return &s.Name })},
	fields: []field[Service]{
		nameField("team", func(s *Service) *string { return &s.Team }),
		durationField("service-time", time.Microsecond, MaxDeadline, func(s *Service) *time.Duration { return &s.ServiceTime }),
		intField("max-request-bytes", 0, MaxBytes, func(s *Service) *int64 { return &s.MaxRequestBytes }),
		intField("answer-bytes", 0, MaxBytes, func(s *Service) *int64 { return &s.AnswerBytes }),
		floatField("retry-share", 0, 1, func(s *Service) *float64 { return &s.RetryShare }),
		floatField("eject-share", 0, 1, func(s *Service) *float64 { return &s.EjectShare }),
		durationField("warmup", 0, time.Hour, func(s *Service) *time.Duration { return &s.Warmup }),
	},
}

var backendServerKind = kindOf[BackendServer]{
	keyword: "backend-server",
	max:     MaxBackendServers,
	items:   func(c *Config) *[]BackendServer { return &c.BackendServers },
	names:   []field[BackendServer]{nameField("name", func(b *BackendServer) *string { return &b.Name })},
	fields: []field[BackendServer]{
		nameField("service", func(b *BackendServer) *string { return &b.Service }),
		nameField("region", func(b *BackendServer) *string { return &b.Region }),
		nameField("failure-domain", func(b *BackendServer) *string { return &b.FailureDomain }),
		textField("address", "want IP:port in canonical form, with a port from 1 to 65535", ValidAddress,
			func(b *BackendServer) *string { return &b.Address }),
		intField("slots", 1, MaxSlots, func(b *BackendServer) *int { return &b.Slots }),
		intField("connections", 1, MaxConnections, func(b *BackendServer) *int { return &b.Connections }),
	},
}

var customerKind = kindOf[Customer]{
	keyword: "customer",
	max:     MaxCustomers,
	items:   func(c *Config) *[]Customer { return &c.Customers },
	names:   []field[Customer]{nameField("name", func(c *Customer) *string { return &c.Name })},
	fields:  []field[Customer]{intField("weight", 1, 1000, func(c *Customer) *int { return &c.Weight })},
}

var shiftCapKind = kindOf[ShiftCap]{
	keyword: "shift-cap",
	max:     MaxRegions * (MaxRegions - 1),
	items:   func(c *Config) *[]ShiftCap { return &c.ShiftCaps },
	names: []field[ShiftCap]{
		nameField("from", func(s *ShiftCap) *string { return &s.From }),
		nameField("to", func(s *ShiftCap) *string { return &s.To }),
	},
	fields: []field[ShiftCap]{
		intField("concurrent", 0, 10_000_000, func(s *ShiftCap) *int { return &s.Concurrent }),
		intField("bytes-per-second", 0, MaxBytes, func(s *ShiftCap) *int64 { return &s.BytesPerSecond }),
		floatField("growth-per-second", 0, 1e9, func(s *ShiftCap) *float64 { return &s.GrowthPerSecond }),
	},
}

var clientBlockKind = kindOf[ClientBlock]{
	keyword: "client-blocks",
	max:     MaxClientBlocks,
	items:   func(c *Config) *[]ClientBlock { return &c.ClientBlocks },
	compact: true,
	names: []field[ClientBlock]{textField("prefix", wantPrefix, ValidPrefix,
		func(b *ClientBlock) *string { return &b.Prefix })},
	fields: []field[ClientBlock]{nameField("region", func(b *ClientBlock) *string { return &b.Region })},
	compare: func(a, b *ClientBlock) int {
		p, errA := netip.ParsePrefix(a.Prefix)
		q, errB := netip.ParsePrefix(b.Prefix)
		if errA == nil && errB == nil {
			if order := p.Addr().Compare(q.Addr()); order != 0 {
				return order
			}
			return p.Bits() - q.Bits()
		}
		return strings.Compare(a.Prefix, b.Prefix)
	},
}

var drainKind = kindOf[Drain]{
	keyword: "drain",
	max:     MaxDrains,
	items:   func(c *Config) *[]Drain { return &c.Drains },
	names: []field[Drain]{
		textField("kind", "want backend-server, failure-domain or region", validDrainKind,
			func(d *Drain) *string { return (*string)(&d.Kind) }),
		textField("target", "want the name of a backend server, a region, or region/failure-domain", validDrainTarget,
			func(d *Drain) *string { return &d.Target }),
	},
	fields: []field[Drain]{quotedField("reason", func(d *Drain) *string { return &d.Reason })},
}

const wantPrefix = "want a CIDR prefix in canonical form without host bits, IPv4 or IPv6 but not IPv4 mapped into IPv6"

// ValidPrefix reports whether s is an IPv4 or IPv6 CIDR prefix in canonical form
// without host bits. IPv4 prefixes mapped into IPv6 are not valid.
func ValidPrefix(s string) bool {
	p, err := netip.ParsePrefix(s)
	return err == nil && p == p.Masked() && !p.Addr().Is4In6() && p.String() == s
}

// ValidAddress reports whether s is "IP:port" in canonical form with a port
// above 0. Zones and IPv4 addresses mapped into IPv6 are not valid.
func ValidAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == "" && !a.Addr().Is4In6() && a.String() == s
}

func validDrainKind(s string) bool {
	switch DrainKind(s) {
	case DrainBackendServer, DrainFailureDomain, DrainRegion:
		return true
	}
	return false
}

func validDrainTarget(s string) bool {
	region, domain, found := strings.Cut(s, "/")
	return ValidName(region) && (!found || ValidName(domain))
}
