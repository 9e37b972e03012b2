package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/view"
)

// A release is repeated this often, at this interval.
const (
	releaseAttempts = 30
	releaseRetry    = 100 * time.Millisecond
)

// sendTimeout bounds the sending of a release or cancel.
const sendTimeout = 2 * time.Second

// Slots gets slots from the owners of this region's pools: from a Pool of this
// process or from another entry host. It is safe for concurrent use.
type Slots struct {
	self  host.Incarnation
	views *view.Publisher
	peers peer.Caller

	use     *selfUse
	records *records
	own     sync.Map // of peer.GrantKey to ownSlot

	mu    sync.RWMutex
	pools map[string]*Pool
}

// NewSlots returns a Slots of the process with an incarnation.
func NewSlots(self host.Incarnation, views *view.Publisher, peers peer.Caller) *Slots {
	return &Slots{self: self, views: views, peers: peers, pools: map[string]*Pool{},
		use: newSelfUse(self, views, peers), records: &records{by: map[recordKey]record{}}}
}

// Set makes a pool of this process known under its service. Other hosts record
// that this process uses none of its slots yet: without any record, the next
// owner would keep the whole pool reserved after a crash of this one.
func (s *Slots) Set(service string, p *Pool) {
	s.mu.Lock()
	s.pools[service] = p
	s.mu.Unlock()
	go s.use.start(p.region, service)
}

// Remove forgets a pool and returns it.
func (s *Slots) Remove(service string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[service]
	delete(s.pools, service)
	return p
}

// Local returns this process's pool of a service.
func (s *Slots) Local(service string) (*Pool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.pools[service]
	return p, ok
}

// Pools returns this process's pools by service.
func (s *Slots) Pools() map[string]*Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[string]*Pool, len(s.pools))
	for k, v := range s.pools {
		out[k] = v
	}
	return out
}

// Acquire waits for a slot of the owner of the service's pool.
func (s *Slots) Acquire(ctx context.Context, a peer.Acquire) peer.AcquireReply {
	if p, ok := s.Local(a.Service); ok {
		return s.acquireOwn(ctx, p, a)
	}
	pool, ok := s.views.Load().Pools[a.Service]
	if !ok || pool.Owner.RPCAddress == "" || pool.Owner.Incarnation == s.self {
		return refused(outcome.ReasonNoOwner, leaseRetry)
	}
	var reply peer.AcquireReply
	err := s.peers.Call(ctx, pool.Owner.RPCAddress, peer.MethodAcquire, a, &reply)
	if err == nil {
		return reply
	}
	// The owner may grant the slot although the answer did not arrive.
	s.notify(pool.Owner.RPCAddress, peer.MethodCancel, peer.Cancel{Service: a.Service, Key: a.Key})
	switch {
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refused(outcome.ReasonLate, 0)
	case ctx.Err() != nil:
		return refused(outcome.ReasonCanceled, 0)
	default:
		return refused(outcome.ReasonNoOwner, leaseRetry)
	}
}

// acquireOwn gets a slot of a pool of this process. Its use is recorded by
// other hosts first.
func (s *Slots) acquireOwn(ctx context.Context, p *Pool, a peer.Acquire) peer.AcquireReply {
	reply := p.Acquire(ctx, a)
	if !reply.Granted {
		return reply
	}
	if !s.use.begin(ctx, p.region, a.Service, reply.Server) {
		s.use.end(a.Service, reply.Server)
		p.Cancel(a.Key)
		return refused(outcome.ReasonNoOwner, leaseRetry)
	}
	s.own.Store(a.Key, ownSlot{a.Service, reply.Server})
	return reply
}

// ownSlot is a slot of this process's own pool that it uses itself.
type ownSlot struct{ service, server string }

// Witness records the use that the owner of a pool makes of it.
func (s *Slots) Witness(w peer.Witness) { s.records.put(w) }

// Witnessed returns the recorded uses of a service's pool by its owners.
func (s *Slots) Witnessed(service string) []peer.Witness { return s.records.of(service) }

// Release gives a slot back to its owner. When the owner has changed, the new
// one has learned of the slot from a report and is told.
func (s *Slots) Release(r peer.Release) {
	if v, ok := s.own.LoadAndDelete(r.Key); ok {
		slot := v.(ownSlot)
		s.use.end(slot.service, slot.server)
	}
	if p, ok := s.Local(r.Service); ok {
		p.Release(r)
		return
	}
	go s.release(r)
}

// release tells the present owner, and tries again while nobody answers or the
// one that was asked is not the owner any more: an owner that misses a release
// keeps the slot taken until the deadline.
func (s *Slots) release(r peer.Release) {
	for range releaseAttempts {
		if p, ok := s.Local(r.Service); ok {
			p.Release(r)
			return
		}
		if pool, ok := s.views.Load().Pools[r.Service]; ok && pool.Owner.RPCAddress != "" {
			ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
			var done bool
			err := s.peers.Call(ctx, pool.Owner.RPCAddress, peer.MethodRelease, r, &done)
			cancel()
			if done || err != nil && !errors.Is(err, peer.ErrUnreachable) {
				return
			}
		}
		time.Sleep(releaseRetry)
	}
}

func (s *Slots) notify(address, method string, params any) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_ = s.peers.Notify(ctx, address, method, params)
	}()
}
