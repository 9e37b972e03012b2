package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/galenabeam/galenabeam/internal/dispatch"
)

// RPC methods between entry hosts.
const (
	MethodAcquire = "dispatch.acquire"
	MethodRelease = "dispatch.release"
	MethodDigest  = "dispatch.digest"
)

// AcquireParams describes a request that needs a backend server. ObjectiveMillis and
// RemainingMillis count from now; Bytes is the size of the request body, or of its
// buffered part if the size is not known.
type AcquireParams struct {
	Service         string   `json:"service"`
	Class           string   `json:"class"`
	Key             string   `json:"key,omitempty"`
	Host            string   `json:"host"`
	FailureDomain   string   `json:"domain"`
	Rank            int      `json:"priority"`
	Bytes           int64    `json:"bytes,omitempty"`
	ObjectiveMillis float64  `json:"objective_ms"`
	RemainingMillis float64  `json:"left_ms"`
	NoTrial         bool     `json:"no_trial,omitempty"`
	NoHedge         bool     `json:"no_hedge,omitempty"`
	Exclude         []string `json:"exclude,omitempty"`
	Allowed         []string `json:"allowed,omitempty"`
	// Workspace is the name of the request's workspace, "" if it has none.
	Workspace string `json:"workspace,omitempty"`
	// SecondAttempt is set for an attempt beside or after one that may have run. Its refusal
	// reaches no caller.
	SecondAttempt bool `json:"hedge,omitempty"`
}

// ReleaseParams releases a grant and reports how its request ended.
type ReleaseParams struct {
	Service               string          `json:"service"`
	Grant                 uint64          `json:"grant"`
	DispatcherIncarnation int64           `json:"process"`
	Report                dispatch.Report `json:"report"`
}

// AcquireResult is a dispatcher's answer to MethodAcquire.
type AcquireResult struct {
	// DispatcherIncarnation identifies the process that gave the grant: a restarted
	// dispatcher numbers its grants from the beginning.
	DispatcherIncarnation int64             `json:"process"`
	Decision              dispatch.Decision `json:"decision"`
	// Loading is set if the dispatcher has not decided, as it still loads its knowledge. It
	// is to be asked again after knowledgePoll. Decision is then a refusal.
	Loading bool `json:"loading,omitempty"`
}

// after returns the request as it is when d has passed.
func (p AcquireParams) after(d time.Duration) AcquireParams {
	p.ObjectiveMillis -= toMillis(d)
	p.RemainingMillis -= toMillis(d)
	return p
}

// HandleAcquire serves MethodAcquire. It waits up to 60 ms for the first snapshot and
// then returns an error.
func (sel *Selector) HandleAcquire(ctx context.Context, p AcquireParams) (AcquireResult, error) {
	timer := time.NewTimer(snapshotWait)
	defer timer.Stop()
	select {
	case <-sel.snapshotReady:
	case <-timer.C:
		return AcquireResult{}, errNoSnapshot
	case <-ctx.Done():
		return AcquireResult{}, ctx.Err()
	}
	if sel.isLoading(p) {
		refused := dispatch.Decision{Refused: dispatch.NoServer, RetryAfter: retryAfterUnconfigured}
		return AcquireResult{DispatcherIncarnation: sel.self.Incarnation, Decision: refused, Loading: true}, nil
	}
	dec := sel.acquireLocally(sharedPool, p, "self")
	return AcquireResult{DispatcherIncarnation: sel.self.Incarnation, Decision: dec.Decision}, nil
}

// errNoSnapshot is returned by a dispatcher without a snapshot, and so without a
// configuration.
var errNoSnapshot = errors.New("no configuration is known yet")

// HandleRelease serves MethodRelease. It ignores grants of an earlier process.
func (sel *Selector) HandleRelease(_ context.Context, p ReleaseParams) (struct{}, error) {
	if p.DispatcherIncarnation != sel.self.Incarnation {
		return struct{}{}, nil
	}
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if ps := sel.sharedPools[p.Service]; ps != nil {
		ps.pool.Release(sel.now(), p.Grant, p.Report)
	}
	return struct{}{}, nil
}

// HandleDigest serves MethodDigest. A digest does not count as use of the pool, so that
// it alone causes no digests or saves.
func (sel *Selector) HandleDigest(_ context.Context, g dispatch.Digest) (struct{}, error) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	lastUsed := time.Duration(0)
	if ps := sel.sharedPools[g.Service]; ps != nil {
		lastUsed = ps.lastUsed
	}
	ps := sel.pool(sharedPool, g.Service)
	ps.lastUsed = lastUsed
	ps.pool.Merge(sel.now(), g)
	return struct{}{}, nil
}
