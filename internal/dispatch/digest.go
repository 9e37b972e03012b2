package dispatch

import (
	"sort"
	"time"

	"github.com/galenabeam/galenabeam/internal/serverhold"
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
	// Leaving lists the servers whose answers to this pool's requests said that they
	// leave. It is repeated in each digest, as digests may be lost.
	Leaving []LeavingServer `json:"leaving,omitempty"`
	// Pace is the number of requests of all regions that a server may have at once, by its
	// ID, for servers that the pool paces and uses.
	Pace map[string]int `json:"pace,omitempty"`
}

// LeavingServer is one incarnation of a server that said it leaves. Entry hosts send it
// as JSON under its tags.
type LeavingServer struct {
	Server          string `json:"server"`
	StartedAtMillis int64  `json:"born"`
	// LeftMillis is the time for which the mark is still valid.
	LeftMillis int64 `json:"left_ms"`
}

// Digest returns the requests now in flight, the objects newly requested since the last
// call and the servers that leave. It does not set Service.
func (p *Pool) Digest(now time.Duration) Digest {
	d := Digest{Region: p.opts.Region, InFlight: map[string]int{}, RequestedObjects: p.requestedObjects, Pace: p.digestPace(now)}
	p.requestedObjects = nil
	for id, s := range p.servers {
		if s.inflight > 0 {
			d.InFlight[id] = s.inflight
		}
	}
	for id, m := range p.leavingMarks {
		if s := p.servers[id]; m.reported && s != nil && s.leaving(now) {
			d.Leaving = append(d.Leaving, LeavingServer{Server: id, StartedAtMillis: m.startedAtMillis, LeftMillis: (m.until - now).Milliseconds()})
		}
	}
	sort.Slice(d.Leaving, func(i, j int) bool { return d.Leaving[i].Server < d.Leaving[j].Server })
	sort.Slice(d.RequestedObjects, func(i, j int) bool {
		if d.RequestedObjects[i].Server != d.RequestedObjects[j].Server {
			return d.RequestedObjects[i].Server < d.RequestedObjects[j].Server
		}
		return d.RequestedObjects[i].Key < d.RequestedObjects[j].Key
	})
	return d
}

// Merge applies the digest of another pool. Of one from the pool's own region it does
// not use the counts: there, a pool counts only the requests that it has granted itself.
func (p *Pool) Merge(now time.Duration, d Digest) {
	for _, o := range d.RequestedObjects {
		if s := p.servers[o.Server]; s != nil {
			s.recordUse(o.Key, now, int(p.objectCapacity))
		}
	}
	for _, l := range d.Leaving {
		left := time.Duration(min(max(l.LeftMillis, 0), serverhold.LeavingTime.Milliseconds())) * time.Millisecond
		p.markLeaving(l.Server, leavingMark{startedAtMillis: l.StartedAtMillis, until: now + left})
	}
	p.mergePace(now, d)
	if d.Region == p.opts.Region {
		return
	}
	for id, s := range p.servers {
		s.setForeignCount(d.Region, d.InFlight[id], now)
	}
}
