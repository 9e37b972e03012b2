package dispatch

import (
	"sort"
	"time"
)

// Digest is what the pools of one service tell each other.
type Digest struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// InFlight counts the requests at each backend server that the pool gave out.
	InFlight map[string]int `json:"in_flight,omitempty"`
	// Warmed lists first requests about objects since the last digest.
	Warmed []Warmth `json:"warmed,omitempty"`
}

// Digest returns what has changed since the last call.
func (p *Pool) Digest() Digest {
	d := Digest{Region: p.opts.Region, InFlight: map[string]int{}, Warmed: p.warmed}
	p.warmed = nil
	for id, s := range p.servers {
		if s.inflight > 0 {
			d.InFlight[id] = s.inflight
		}
	}
	sort.Slice(d.Warmed, func(i, j int) bool {
		if d.Warmed[i].Server != d.Warmed[j].Server {
			return d.Warmed[i].Server < d.Warmed[j].Server
		}
		return d.Warmed[i].Key < d.Warmed[j].Key
	})
	return d
}

// Merge takes over the digest of another pool. Digests of the pool's own region
// only carry warmth: their requests are counted by their grants.
func (p *Pool) Merge(now time.Duration, d Digest) {
	for _, w := range d.Warmed {
		if s := p.servers[w.Server]; s != nil {
			s.touch(w.Key, now, int(p.keep))
		}
	}
	if d.Region == p.opts.Region {
		return
	}
	for id, s := range p.servers {
		s.setPeer(d.Region, d.InFlight[id], now)
	}
}
