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

const (
	// releaseAttempts is how often a release is sent until an owner accepts it.
	releaseAttempts = 30
	// releaseInterval is the delay between two attempts.
	releaseInterval = 100 * time.Millisecond
)

// sendTimeout bounds each attempt to send a release or cancel.
const sendTimeout = 2 * time.Second

// SlotClient is the client through which a process acquires slots from the owners of
// its region's pools, which are Pools of this process or other entry hosts. It is
// safe for concurrent use.
type SlotClient struct {
	self  host.Incarnation
	views *view.Publisher
	peers peer.Client

	ownUse   *selfUse
	records  *records
	ownSlots sync.Map // peer.GrantKey to ownSlot

	mu    sync.RWMutex
	pools map[string]*Pool // pools of this process by service
}

// NewSlotClient returns the SlotClient of the process whose incarnation is self.
func NewSlotClient(self host.Incarnation, views *view.Publisher, peers peer.Client) *SlotClient {
	return &SlotClient{self: self, views: views, peers: peers, pools: map[string]*Pool{},
		ownUse: newSelfUse(self, views, peers), records: &records{byKey: map[recordKey]record{}}}
}

// AddPool registers a pool of this process under its service, and has other hosts
// store a usage record: without one, the next owner would keep the whole pool
// reserved after a crash of this process.
func (s *SlotClient) AddPool(service string, p *Pool) {
	s.mu.Lock()
	s.pools[service] = p
	s.mu.Unlock()
	go s.ownUse.start(p.region, service)
}

// RemovePool unregisters the pool of a service and returns it, or nil if there is
// none.
func (s *SlotClient) RemovePool(service string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[service]
	delete(s.pools, service)
	return p
}

// Local returns this process's pool of a service, if it owns one.
func (s *SlotClient) Local(service string) (*Pool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.pools[service]
	return p, ok
}

// Pools returns this process's pools by service.
func (s *SlotClient) Pools() map[string]*Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[string]*Pool, len(s.pools))
	for k, v := range s.pools {
		out[k] = v
	}
	return out
}

// Acquire waits until the owner of the service's pool grants or refuses a slot.
// When ctx ends or the call to the owner fails, it sends the owner a cancel and
// returns a refusal.
func (s *SlotClient) Acquire(ctx context.Context, a peer.Acquire) peer.AcquireReply {
	if p, ok := s.Local(a.Service); ok {
		return s.acquireOwn(ctx, p, a)
	}
	pool, ok := s.views.Load().Pools[a.Service]
	if !ok || pool.Owner.RPCAddress == "" || pool.Owner.Incarnation == s.self {
		return refused(outcome.ReasonNoOwner, noOwnerRetryAfter)
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
		return refused(outcome.ReasonNoOwner, noOwnerRetryAfter)
	}
}

// acquireOwn acquires a slot of a pool of this process. Other hosts record the
// use before it begins; if none can, the call is refused with reason no-owner.
func (s *SlotClient) acquireOwn(ctx context.Context, p *Pool, a peer.Acquire) peer.AcquireReply {
	reply := p.Acquire(ctx, a)
	if !reply.Granted {
		return reply
	}
	if !s.ownUse.begin(ctx, p.region, a.Service, reply.Server) {
		s.ownUse.end(a.Service, reply.Server)
		p.Cancel(a.Key)
		return refused(outcome.ReasonNoOwner, noOwnerRetryAfter)
	}
	s.ownSlots.Store(a.Key, ownSlot{a.Service, reply.Server})
	return reply
}

// ownSlot is a slot of this process's own pool that it uses itself.
type ownSlot struct{ service, server string }

// RecordUsage stores a usage record of the owner of a pool.
func (s *SlotClient) RecordUsage(w peer.UsageRecord) { s.records.put(w) }

// UsageRecords returns the usage records that this process stores for owners of a
// service's pool.
func (s *SlotClient) UsageRecords(service string) []peer.UsageRecord {
	return s.records.forService(service)
}

// Release returns a slot to the current owner of its pool, in the background if
// that is another host. A new owner has adopted the slot from a report.
func (s *SlotClient) Release(r peer.Release) {
	if v, ok := s.ownSlots.LoadAndDelete(r.Key); ok {
		slot := v.(ownSlot)
		s.ownUse.end(slot.service, slot.server)
	}
	if p, ok := s.Local(r.Service); ok {
		p.Release(r)
		return
	}
	go s.sendRelease(r)
}

// sendRelease sends a release to the current owner. It retries while the owner is
// unreachable or the host that answers is no longer the owner, because an owner
// that misses a release keeps the slot in use until the deadline.
func (s *SlotClient) sendRelease(r peer.Release) {
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
		time.Sleep(releaseInterval)
	}
}

// notify sends a message in the background, once.
func (s *SlotClient) notify(address, method string, params any) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_ = s.peers.Notify(ctx, address, method, params)
	}()
}
