package owner

import (
	"context"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// No other host knows of the slots that an owner grants to itself. Before such a
// slot is used, other hosts of the region, the record hosts, store a usage record
// with a ceiling of this use, so that a new owner need not keep the whole pool
// reserved after a crash. A ceiling is a number of slots of one server.

const (
	// recordHostCount is the number of hosts that store a usage record.
	recordHostCount = 2
	// recordTimeout bounds the time to have a usage record stored.
	recordTimeout = 500 * time.Millisecond
	// ceilingPeriod is the shortest time between two reductions of the ceilings
	// to the current use.
	ceilingPeriod = 5 * time.Second
	// recordRetention is how long a usage record is kept without an update. It
	// covers deadlines up to this time less the time to detect a crash. With a
	// longer deadline (config.MaxDeadline is 1 h), the record of a request in flight
	// may be deleted; a new owner then reserves the whole pool.
	recordRetention = 30 * time.Minute
)

// selfUse counts the slots of its own pools that this process uses, and has other
// hosts store usage records of them.
type selfUse struct {
	self  host.Incarnation
	views *view.Publisher
	peers peer.Client

	mu       sync.Mutex
	services map[string]*serviceUse
	sequence uint64 // of the newest usage record, over all services
}

// serviceUse is the use of one pool.
type serviceUse struct {
	inFlight map[string]int // by server
	// ceilings has the ceilings that the record hosts have stored, peak the most
	// slots in use since loweredAt; both by server.
	ceilings, peak map[string]int
	// loweredAt is when peak was last reduced to the use at that time.
	loweredAt   time.Time
	recordHosts []host.Info
	// storing serializes calls of storeRecord.
	storing sync.Mutex
}

func newSelfUse(self host.Incarnation, views *view.Publisher, peers peer.Client) *selfUse {
	return &selfUse{self: self, views: views, peers: peers, services: map[string]*serviceUse{}}
}

// service returns the use of a service's pool. The caller holds u.mu.
func (u *selfUse) service(name string) *serviceUse {
	s, ok := u.services[name]
	if !ok {
		s = &serviceUse{inFlight: map[string]int{}, ceilings: map[string]int{}, peak: map[string]int{}, loweredAt: time.Now()}
		u.services[name] = s
	}
	return s
}

// begin counts a slot of a server that is about to be used, and has a new record
// stored if the use exceeds the stored ceiling or no record host is left. It
// returns false if no other host could store it; the slot must then not be used.
func (u *selfUse) begin(ctx context.Context, region, service, server string) bool {
	u.mu.Lock()
	s := u.service(service)
	s.inFlight[server]++
	s.peak[server] = max(s.peak[server], s.inFlight[server])
	covered := s.ceilings[server] >= s.inFlight[server] && u.hasRecordHost(s, region)
	u.mu.Unlock()
	return covered || u.storeRecord(ctx, s, region, service)
}

// start has a record of the current use of a pool stored, without ceilings for a
// pool that this process has not used. A failure is harmless: begin has a record
// stored before the first use.
func (u *selfUse) start(region, service string) {
	u.mu.Lock()
	s := u.service(service)
	u.mu.Unlock()
	u.storeRecord(context.Background(), s, region, service)
}

// end counts a slot that is no longer used.
func (u *selfUse) end(service, server string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.service(service)
	s.inFlight[server] = max(0, s.inFlight[server]-1)
}

// hasRecordHost reports whether a record host of the service is still in the region,
// or the region has no other host. The caller holds u.mu.
func (u *selfUse) hasRecordHost(s *serviceUse, region string) bool {
	otherHosts := u.otherHosts(region)
	if len(otherHosts) == 0 {
		return true
	}
	for _, w := range s.recordHosts {
		for _, h := range otherHosts {
			if h.Incarnation == w.Incarnation {
				return true
			}
		}
	}
	return false
}

// otherHosts returns the other hosts of the region, those of other failure
// domains first.
func (u *selfUse) otherHosts(region string) []host.Info {
	var own host.Info
	hosts := u.views.Load().Regions[region].Hosts
	for _, h := range hosts {
		if h.Incarnation == u.self {
			own = h
		}
	}
	var otherDomains, sameDomain []host.Info
	for _, h := range hosts {
		switch {
		case h.Incarnation == u.self:
		case h.FailureDomain != own.FailureDomain:
			otherDomains = append(otherDomains, h)
		default:
			sameDomain = append(sameDomain, h)
		}
	}
	return append(otherDomains, sameDomain...)
}

// storeRecord has a usage record stored by up to recordHostCount other hosts. It
// reports whether at least one did, or there is no other host.
func (u *selfUse) storeRecord(ctx context.Context, s *serviceUse, region, service string) bool {
	s.storing.Lock()
	defer s.storing.Unlock()
	otherHosts := u.otherHosts(region)
	if len(otherHosts) == 0 {
		return true
	}
	usage := u.usageRecord(s, service)
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var recorded []host.Info
	for _, h := range otherHosts {
		var done bool
		if err := u.peers.Call(ctx, h.RPCAddress, peer.MethodRecordUsage, usage, &done); err == nil && done {
			if recorded = append(recorded, h); len(recorded) == recordHostCount {
				break
			}
		}
	}
	if len(recorded) == 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	s.recordHosts = recorded
	for _, c := range usage.Ceilings {
		s.ceilings[c.Server] = c.Slots
	}
	return true
}

// usageRecord returns the next usage record. Its ceilings are the peaks since
// loweredAt, after a reduction of peaks that are older than ceilingPeriod.
func (u *selfUse) usageRecord(s *serviceUse, service string) peer.UsageRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); now.Sub(s.loweredAt) >= ceilingPeriod {
		s.loweredAt = now
		for server := range s.peak {
			s.peak[server] = s.inFlight[server]
		}
	}
	u.sequence++
	w := peer.UsageRecord{Service: service, Holder: u.self, Sequence: u.sequence}
	for server, slots := range s.peak {
		w.Ceilings = append(w.Ceilings, peer.Ceiling{Server: server, Slots: slots})
	}
	return w
}

// records has the usage records that this process stores for owners of pools.
type records struct {
	mu    sync.Mutex
	byKey map[recordKey]record
}

type recordKey struct {
	service string
	holder  host.Incarnation
}

type record struct {
	usage      peer.UsageRecord
	recordedAt time.Time
}

// put stores a usage record unless the stored one of its holder is as new or newer,
// and deletes expired records.
func (r *records) put(w peer.UsageRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	key := recordKey{w.Service, w.Holder}
	if old, ok := r.byKey[key]; ok && old.usage.Sequence >= w.Sequence {
		return
	}
	r.byKey[key] = record{usage: w, recordedAt: now}
	for k, v := range r.byKey {
		if now.Sub(v.recordedAt) > recordRetention {
			delete(r.byKey, k)
		}
	}
}

// forService returns the usage records for a service.
func (r *records) forService(service string) []peer.UsageRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peer.UsageRecord
	for k, v := range r.byKey {
		if k.service == service {
			out = append(out, v.usage)
		}
	}
	return out
}
