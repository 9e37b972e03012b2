package gateway

import (
	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
)

// Decider is who decides about the requests of a service that enter at the asked host.
type Decider struct {
	// Host is the name of the host, Self is set if it is the asked one.
	Host string `json:"host"`
	Self bool   `json:"self"`
	// Fallback is set if the asked host decides from its fallback pool.
	Fallback bool `json:"fallback,omitempty"`
	// PeerAddress is the address of another host. ExplainAddress is where to ask it for an
	// explanation; package platform sets it.
	PeerAddress    string `json:"-"`
	ExplainAddress string `json:"explain_address,omitempty"`
	// Order lists the hosts that are asked first, in their order, up to the asked host.
	Order []DispatcherState `json:"order,omitempty"`
}

// maxOrder bounds Decider.Order.
const maxOrder = 5

// DispatcherState is a host in the order of the dispatchers of a service.
type DispatcherState struct {
	Host string `json:"host"`
	// Suspected is set if it has not answered lately and is not asked for now.
	Suspected bool `json:"suspected,omitempty"`
}

// explain sets who decides, and the decision that the pool of this host would make now. It
// creates no pool and does not count as use of one.
func (sel *Selector) explain(e *ServiceExplanation, p AcquireParams) {
	s := sel.snapshot.Load()
	e.Decider = sel.decider(s, p.Service)
	sel.mu.Lock()
	defer sel.mu.Unlock()
	ps, other, name := sel.sharedPools[p.Service], sel.fallbackPools[p.Service], "shared"
	if e.Decider.Fallback {
		ps, other, name = other, ps, "fallback"
	}
	if ps == nil {
		return
	}
	var adopt *dispatch.Pool
	if other != nil {
		adopt = other.pool
	}
	now := sel.now()
	d := ps.pool.Explain(now, sel.poolRequest(p), adopt)
	e.Pool, e.Decision = name, &d
	if ps.lastUsed > 0 {
		e.PoolIdleMillis = toMillis(now - ps.lastUsed)
	}
	e.Loading = p.Key != "" && now < ps.knowledgeDue
	for _, region := range s.Regions() {
		if _, ok := d.DigestAgeMillis[region]; !ok && region != sel.self.Region {
			e.NoDigestFrom = append(e.NoDigestFrom, region)
		}
	}
}

// decider returns who decides next about a request of the service.
func (sel *Selector) decider(s *fleet.Snapshot, service string) *Decider {
	hosts := s.Dispatchers(sel.self.Region, service)
	d := &Decider{Host: sel.self.Name, Self: true, Fallback: true}
	if i := sel.nextDispatcher(hosts, 0, 0); i >= 0 {
		h := hosts[i]
		d = &Decider{Host: h.Name, Self: h.Name == sel.self.Name}
		if !d.Self {
			d.PeerAddress = h.PeerAddress
		}
	}
	for _, h := range hosts[:min(len(hosts), maxOrder)] {
		d.Order = append(d.Order, DispatcherState{Host: h.Name, Suspected: h.Name != sel.self.Name && sel.isSuspected(h.Name)})
		if h.Name == sel.self.Name {
			break
		}
	}
	return d
}
