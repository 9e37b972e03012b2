package gateway

import (
	"context"
	"time"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// preparePools creates the shared pools of the services that this host dispatches, or will
// dispatch if the first host in the order does not answer. Their saved knowledge is then
// loaded before the first request. Services whose routes use no affinity have none. The
// caller holds sel.mu.
func (sel *Selector) preparePools(s *fleet.Snapshot) {
	for service := range s.BackendsByService {
		if s.Table != nil && !s.Table.UsesAffinity(service) {
			continue
		}
		for i, h := range s.Dispatchers(sel.self.Region, service) {
			if i >= maxDispatchers {
				break
			}
			if h.Name == sel.self.Name {
				sel.pool(sharedPool, service).lastUsed = -poolIdle
			}
		}
	}
}

// awaitKnowledge waits for the knowledge of this host's shared pool, if it is being loaded.
// It returns the request with the time that is left then.
func (sel *Selector) awaitKnowledge(ctx context.Context, p AcquireParams) AcquireParams {
	for sel.isLoading(p) && sleep(ctx, knowledgePoll) {
		p = p.after(knowledgePoll)
	}
	return p
}

// isLoading reports whether the decision about a request has to wait for the knowledge of
// this host's shared pool. Requests without an object do not wait.
func (sel *Selector) isLoading(p AcquireParams) bool {
	if p.Key == "" {
		return false
	}
	sel.mu.Lock()
	defer sel.mu.Unlock()
	ps := sel.sharedPools[p.Service]
	if ps == nil {
		ps = sel.pool(sharedPool, p.Service)
	}
	return sel.now() < ps.knowledgeDue
}

// sleep waits for d and reports whether ctx is not done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
