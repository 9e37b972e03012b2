package dispatch

import (
	"sort"
	"time"
)

// Digest tells the other pools of a service which requests are in flight and which
// objects were newly requested. It carries no state of cold, failing or slow servers
// and no counts of shifts.
type Digest struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// InFlight is the number of requests that the pool has granted and that have not
	// ended, by the ID of the backend server; servers without any are left out.
	InFlight map[string]int `json:"in_flight,omitempty"`
	// RequestedObjects lists the objects requested since the last digest from servers
	// that were not assumed to hold them.
	RequestedObjects []RequestedObject `json:"warmed,omitempty"`
}

// Digest returns the requests now in flight and the objects newly requested since
// the last call. It does not set Service.
func (p *Pool) Digest() Digest {
	d := Digest{Region: p.opts.Region, InFlight: map[string]int{}, RequestedObjects: p.requestedObjects}
	p.requestedObjects = nil
	for id, s := range p.servers {
		if s.inflight > 0 {
			d.InFlight[id] = s.inflight
		}
	}
	sort.Slice(d.RequestedObjects, func(i, j int) bool {
		if d.RequestedObjects[i].Server != d.RequestedObjects[j].Server {
			return d.RequestedObjects[i].Server < d.RequestedObjects[j].Server
		}
		return d.RequestedObjects[i].Key < d.RequestedObjects[j].Key
	})
	return d
}

// Merge applies the digest of another pool. Of one from the pool's own region it uses
// only the objects: there, a pool counts only the requests that it has granted itself.
func (p *Pool) Merge(now time.Duration, d Digest) {
	for _, o := range d.RequestedObjects {
		if s := p.servers[o.Server]; s != nil {
			s.recordUse(o.Key, now, int(p.objectCapacity))
		}
	}
	if d.Region == p.opts.Region {
		return
	}
	for id, s := range p.servers {
		s.setForeignCount(d.Region, d.InFlight[id], now)
	}
}
