package owner

import (
	"context"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// No other host knows of the slots that an owner grants to itself, because the
// owner and the edge are one process. Before such a slot is used, other hosts of
// the region, the witnesses, record a ceiling of this use, so that a new owner
// need not keep the whole pool reserved after a crash.

const (
	// witnesses is the number of hosts that record the ceilings.
	witnesses = 2
	// witnessTimeout bounds the time to have the ceilings recorded.
	witnessTimeout = 500 * time.Millisecond
	// ceilingPeriod is the shortest time between two reductions of the ceilings
	// to the current use.
	ceilingPeriod = 5 * time.Second
	// recordRetention is how long a record is kept without an update. It covers
	// deadlines up to this time less the time to detect a crash. With a longer
	// deadline, up to config.MaxDeadline, the record of a request in flight may be
	// deleted; a new owner then reserves the whole pool.
	recordRetention = 30 * time.Minute
)

// selfUse counts the slots of its own pools that this process uses, and has
// witnesses record their ceilings.
type selfUse struct {
	self  host.Incarnation
	views *view.Publisher
	peers peer.Client

	mu       sync.Mutex
	services map[string]*serviceUse
	sequence uint64
}

// serviceUse is the use of one pool.
type serviceUse struct {
	inFlight map[string]int // by server
	// announced has the ceilings that the witnesses have recorded, peak the most
	// slots in use since loweredAt; both by server.
	announced, peak map[string]int
	// loweredAt is when peak was last reduced to the use at that time.
	loweredAt time.Time
	witnesses []host.Info
	// announcing serializes announcements.
	announcing sync.Mutex
}

func newSelfUse(self host.Incarnation, views *view.Publisher, peers peer.Client) *selfUse {
	return &selfUse{self: self, views: views, peers: peers, services: map[string]*serviceUse{}}
}

// service returns the use of a service's pool. The caller holds u.mu.
func (u *selfUse) service(name string) *serviceUse {
	s, ok := u.services[name]
	if !ok {
		s = &serviceUse{inFlight: map[string]int{}, announced: map[string]int{}, peak: map[string]int{}, loweredAt: time.Now()}
		u.services[name] = s
	}
	return s
}

// begin counts a slot of a server that is about to be used, and has a new
// ceiling recorded if the use exceeds the recorded one or no witness is left. It
// returns false if no witness could record it; the slot must then not be used.
func (u *selfUse) begin(ctx context.Context, region, service, server string) bool {
	u.mu.Lock()
	s := u.service(service)
	s.inFlight[server]++
	s.peak[server] = max(s.peak[server], s.inFlight[server])
	covered := s.announced[server] >= s.inFlight[server] && u.hasWitness(s, region)
	u.mu.Unlock()
	return covered || u.announce(ctx, s, region, service)
}

// start has the current ceilings of a pool recorded, which are zero for a pool
// that this process has not used. A failure is harmless: begin has the ceilings
// recorded before the first use.
func (u *selfUse) start(region, service string) {
	u.mu.Lock()
	s := u.service(service)
	u.mu.Unlock()
	u.announce(context.Background(), s, region, service)
}

// end counts a slot that is no longer used.
func (u *selfUse) end(service, server string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.service(service)
	s.inFlight[server] = max(0, s.inFlight[server]-1)
}

// hasWitness reports whether a witness of the service is still in the region, or
// the region has no other host. The caller holds u.mu.
func (u *selfUse) hasWitness(s *serviceUse, region string) bool {
	otherHosts := u.otherHosts(region)
	if len(otherHosts) == 0 {
		return true
	}
	for _, w := range s.witnesses {
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

// announce has the ceilings recorded by witnesses and reports whether at least
// one did, or there is no other host.
func (u *selfUse) announce(ctx context.Context, s *serviceUse, region, service string) bool {
	s.announcing.Lock()
	defer s.announcing.Unlock()
	otherHosts := u.otherHosts(region)
	if len(otherHosts) == 0 {
		return true
	}
	usage := u.usageRecord(s, service)
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var recorded []host.Info
	for _, h := range otherHosts {
		var done bool
		if err := u.peers.Call(ctx, h.RPCAddress, peer.MethodWitness, usage, &done); err == nil && done {
			if recorded = append(recorded, h); len(recorded) == witnesses {
				break
			}
		}
	}
	if len(recorded) == 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	s.witnesses = recorded
	for _, c := range usage.Ceilings {
		s.announced[c.Server] = c.Slots
	}
	return true
}

// usageRecord returns the ceilings to announce, which are the peaks since
// loweredAt. It first reduces peaks that are older than ceilingPeriod.
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

// records has the ceilings that this process has recorded for owners of pools.
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

// put records ceilings unless they are as old as the recorded ones or older, and
// deletes expired records.
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

// forService returns the recorded ceilings of a service.
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
