package owner

import (
	"context"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// Slots that an owner grants to itself are known to nobody else: the owner and
// the edge are one process. Before such a slot is used, other hosts of the
// region record a ceiling of this use, so that a new owner need not keep the
// whole pool reserved after a crash.

// Constants of witnesses.
const (
	// witnesses is the number of hosts that record the ceilings.
	witnesses      = 2
	witnessTimeout = 500 * time.Millisecond
	// ceilingPeriod is how long a ceiling stays after its use went down.
	ceilingPeriod = 5 * time.Second
	// witnessKept is how long a record is kept without an update. It exceeds
	// the longest deadline of a request plus the time to notice a crash.
	witnessKept = 30 * time.Minute
)

// selfUse counts the slots that this process uses of its own pools.
type selfUse struct {
	self  host.Incarnation
	views *view.Publisher
	peers peer.Caller

	mu       sync.Mutex
	services map[string]*serviceUse
	sequence uint64
}

// serviceUse is the use of one pool.
type serviceUse struct {
	inFlight map[string]int // by server
	// announced are the ceilings that the witnesses have recorded, peak the
	// most in use since the last lowering.
	announced, peak map[string]int
	lowered         time.Time
	witnesses       []host.Info
	// announcing serializes announcements.
	announcing sync.Mutex
}

func newSelfUse(self host.Incarnation, views *view.Publisher, peers peer.Caller) *selfUse {
	return &selfUse{self: self, views: views, peers: peers, services: map[string]*serviceUse{}}
}

func (u *selfUse) service(name string) *serviceUse {
	s, ok := u.services[name]
	if !ok {
		s = &serviceUse{inFlight: map[string]int{}, announced: map[string]int{}, peak: map[string]int{}, lowered: time.Now()}
		u.services[name] = s
	}
	return s
}

// begin counts a slot of a server that is about to be used, and has its ceiling
// recorded if it exceeds the present one. It returns false when no witness
// could record it; the slot must then not be used.
func (u *selfUse) begin(ctx context.Context, region, service, server string) bool {
	u.mu.Lock()
	s := u.service(service)
	s.inFlight[server]++
	s.peak[server] = max(s.peak[server], s.inFlight[server])
	covered := s.announced[server] >= s.inFlight[server] && u.present(s, region)
	u.mu.Unlock()
	return covered || u.announce(ctx, s, region, service)
}

// start has the present ceilings of a pool recorded, which are zero for a pool
// that this process has not used. A failure is harmless: begin records the
// ceilings again before the first use.
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

// present tells whether a witness of the service is still in the region. The
// caller holds u.mu.
func (u *selfUse) present(s *serviceUse, region string) bool {
	others := u.others(region)
	if len(others) == 0 {
		return true
	}
	for _, w := range s.witnesses {
		for _, h := range others {
			if h.Incarnation == w.Incarnation {
				return true
			}
		}
	}
	return false
}

// others returns the other hosts of the region, those of other failure domains
// first.
func (u *selfUse) others(region string) []host.Info {
	var own host.Info
	hosts := u.views.Load().Regions[region].Hosts
	for _, h := range hosts {
		if h.Incarnation == u.self {
			own = h
		}
	}
	var far, near []host.Info
	for _, h := range hosts {
		switch {
		case h.Incarnation == u.self:
		case h.FailureDomain != own.FailureDomain:
			far = append(far, h)
		default:
			near = append(near, h)
		}
	}
	return append(far, near...)
}

// announce has the ceilings recorded by witnesses. One is enough.
func (u *selfUse) announce(ctx context.Context, s *serviceUse, region, service string) bool {
	s.announcing.Lock()
	defer s.announcing.Unlock()
	others := u.others(region)
	if len(others) == 0 {
		return true
	}
	record := u.record(s, service)
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var recorded []host.Info
	for _, h := range others {
		var done bool
		if err := u.peers.Call(ctx, h.RPCAddress, peer.MethodWitness, record, &done); err == nil && done {
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
	for _, c := range record.Ceilings {
		s.announced[c.Server] = c.Slots
	}
	return true
}

// record returns the ceilings to announce: the peaks of the present period.
func (u *selfUse) record(s *serviceUse, service string) peer.Witness {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); now.Sub(s.lowered) >= ceilingPeriod {
		s.lowered = now
		for server := range s.peak {
			s.peak[server] = s.inFlight[server]
		}
	}
	u.sequence++
	w := peer.Witness{Service: service, Holder: u.self, Sequence: u.sequence}
	for server, slots := range s.peak {
		w.Ceilings = append(w.Ceilings, peer.Ceiling{Server: server, Slots: slots})
	}
	return w
}

// records keeps the ceilings that other hosts had recorded here.
type records struct {
	mu sync.Mutex
	by map[recordKey]record
}

type recordKey struct {
	service string
	holder  host.Incarnation
}

type record struct {
	witness peer.Witness
	at      time.Time
}

// put records ceilings, unless they are older than the recorded ones.
func (r *records) put(w peer.Witness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	key := recordKey{w.Service, w.Holder}
	if old, ok := r.by[key]; ok && old.witness.Sequence >= w.Sequence {
		return
	}
	r.by[key] = record{witness: w, at: now}
	for k, v := range r.by {
		if now.Sub(v.at) > witnessKept {
			delete(r.by, k)
		}
	}
}

// of returns the recorded ceilings of a service.
func (r *records) of(service string) []peer.Witness {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peer.Witness
	for k, v := range r.by {
		if k.service == service {
			out = append(out, v.witness)
		}
	}
	return out
}
