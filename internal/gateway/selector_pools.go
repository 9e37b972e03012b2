package gateway

import (
	"maps"
	"time"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
)

// poolState is the pool of a service with the times of its last uses. Times are on
// the selector's clock.
type poolState struct {
	pool *dispatch.Pool
	// snapshot is the one that the pool was last updated with.
	snapshot   *fleet.Snapshot
	lastUsed   time.Duration
	lastDigest time.Duration
	// minDigestInterval is the shortest time until the next digest; it grows with the
	// size of the last one.
	minDigestInterval time.Duration
	// nextSave is the earliest time of the next save of the pool's knowledge.
	nextSave time.Duration
	// saveUnchanged is set if the next save must not wait for a change.
	saveUnchanged bool
	// knowledgeDue is when decisions no longer wait for the saved knowledge: the zero value
	// once it is loaded, or if the first attempt to load it failed.
	knowledgeDue time.Duration
}

// changesPool reports whether a snapshot differs, for the pool of a service, from the one
// that the pool was last updated with.
func changesPool(service string, old, s *fleet.Snapshot) bool {
	if old == nil || old.Table != s.Table || !maps.Equal(old.Evacuated, s.Evacuated) {
		return true
	}
	a, b := old.BackendsByService[service], s.BackendsByService[service]
	return len(a) != len(b) || len(a) > 0 && &a[0] != &b[0]
}

// poolKind is the kind of a pool by the hosts whose requests it dispatches.
type poolKind int

const (
	// sharedPool dispatches the requests for which hosts of the region, this one
	// included, chose this host as dispatcher.
	sharedPool poolKind = iota
	// fallbackPool dispatches requests of this host while no dispatcher answers and the
	// snapshot does not list this host, which otherwise chooses itself.
	fallbackPool
)

// pool returns the pool of a service, marks it as used, and creates it if
// necessary. The caller holds sel.mu.
func (sel *Selector) pool(kind poolKind, service string) *poolState {
	pools := sel.sharedPools
	if kind == fallbackPool {
		pools = sel.fallbackPools
	}
	ps := pools[service]
	if ps == nil {
		ps = &poolState{pool: dispatch.New(dispatch.Options{Region: sel.self.Region, Shared: kind == sharedPool, Limits: sel.limits, Scheduled: sel.scheduled, Paced: sel.paced})}
		pools[service] = ps
		if s := sel.snapshot.Load(); s != nil {
			sel.updatePool(service, ps, s)
		}
		if kind == sharedPool {
			ps.nextSave, ps.knowledgeDue = sel.now()+savePeriod, sel.now()+sel.knowledgeWait
			go sel.loadKnowledge(service, ps)
		}
	}
	ps.lastUsed = sel.now()
	return ps
}

// adoptTimes gives the pool that decides the service times of a class that this host's
// pool of the other kind observed. A host uses its fallback pool until its snapshot lists
// it and again after it has left, and would otherwise start with assumptions each time. The
// caller holds sel.mu.
func (sel *Selector) adoptTimes(kind poolKind, service, class string) {
	to, from := sel.sharedPools[service], sel.fallbackPools[service]
	if kind == fallbackPool {
		to, from = from, to
	}
	if to != nil && from != nil {
		to.pool.AdoptTimes(from.pool, class)
	}
}

// updatePool applies a snapshot to the pool of a service. The caller holds sel.mu.
func (sel *Selector) updatePool(service string, ps *poolState, s *fleet.Snapshot) {
	if !changesPool(service, ps.snapshot, s) {
		return
	}
	ps.snapshot = s
	var rate float64
	var restartColdTime time.Duration
	if s.Table != nil {
		spec := s.Table.Services[service]
		rate, restartColdTime = spec.ColdRate, spec.ColdStart
		ps.pool.SetScheduled(sel.scheduled || s.Table.Workspaces.Len() > 0)
	}
	ps.pool.Update(sel.now(), s.BackendsByService[service], s.Evacuated, rate, restartColdTime)
}

func (sel *Selector) acquireLocally(kind poolKind, p AcquireParams, decidedBy string) decision {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	ps := sel.pool(kind, p.Service)
	sel.adoptTimes(kind, p.Service, p.Class)
	return decision{Decision: ps.pool.Acquire(sel.now(), sel.poolRequest(p)), service: p.Service, localPool: ps, decidedBy: decidedBy}
}

func (sel *Selector) poolRequest(p AcquireParams) dispatch.Request {
	now := sel.now()
	return dispatch.Request{
		Class: p.Class, Key: p.Key, Workspace: p.Workspace, Host: p.Host, FailureDomain: p.FailureDomain, Rank: p.Rank, Bytes: p.Bytes,
		Objective: now + fromMillis(p.ObjectiveMillis), Deadline: now + fromMillis(p.RemainingMillis), NoTrial: p.NoTrial, NoHedge: p.NoHedge,
		Exclude: p.Exclude, Allowed: p.Allowed, SecondAttempt: p.SecondAttempt,
	}
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
