package control

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/host"
)

// steering sends callers to the entry hosts of this region.
type steering struct {
	blocks bart.Table[string]
	hosts  []host.Info
}

func newSteering(blocks []config.ClientBlock, _ string, hosts []host.Info) *steering {
	s := &steering{hosts: hosts}
	for _, b := range blocks {
		if p, err := netip.ParsePrefix(b.Prefix); err == nil {
			s.blocks.Insert(p, b.Region)
		}
	}
	return s
}

// Region implements view.Steering.
func (s *steering) Region(client netip.Addr) (string, bool) { return s.blocks.Lookup(client) }

// Hosts implements view.Steering.
func (s *steering) Hosts(service string, client netip.Addr, buf []host.Info) []host.Info {
	if len(s.hosts) == 0 {
		return buf
	}
	first := rendezvous(service+"/"+client.String(), s.hosts)
	buf = append(buf, first)
	for _, h := range s.hosts {
		if h.ID != first.ID && len(buf) < cap(buf) {
			buf = append(buf, h)
		}
	}
	return buf
}
