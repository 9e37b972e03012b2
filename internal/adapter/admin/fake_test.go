package admin_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
)

// fakeDeployment implements Configurations, with revisions in memory, and State.
type fakeDeployment struct {
	mu         sync.Mutex
	revisions  []admin.Revision
	operations map[string]int
	submitted  []admin.Submission
	// err, if set, is returned by every call.
	err error
	// race, if set, is called once, before the next submission takes effect.
	race func()
}

func (f *fakeDeployment) Read(_ context.Context, number int64) (admin.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.err != nil:
		return admin.Revision{}, f.err
	case len(f.revisions) == 0:
		return admin.Revision{}, admin.ErrNoConfig
	case number == 0:
		number = int64(len(f.revisions))
	case number > int64(len(f.revisions)):
		return admin.Revision{}, fmt.Errorf("revision %d: %w", number, admin.ErrNotFound)
	}
	return f.revisions[number-1], nil
}

func (f *fakeDeployment) Submit(_ context.Context, s admin.Submission) (admin.Revision, error) {
	if race := f.race; race != nil {
		f.race = nil
		race()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return admin.Revision{}, f.err
	}
	if s.Base != int64(len(f.revisions)) {
		return admin.Revision{}, &admin.ConflictError{Revision: int64(len(f.revisions)), Who: f.revisions[len(f.revisions)-1].Who}
	}
	rev := admin.Revision{Number: s.Base + 1, Checksum: "d", Who: s.Who, When: time.Unix(1, 0).UTC(), Why: s.Why, Config: config.Normalize(s.Config)}
	f.revisions, f.submitted = append(f.revisions, rev), append(f.submitted, s)
	f.operations[s.Operation] = len(f.revisions)
	return rev, nil
}

func (f *fakeDeployment) Operation(_ context.Context, operation string) (admin.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return admin.Revision{}, f.err
	}
	if n, found := f.operations[operation]; found {
		return f.revisions[n-1], nil
	}
	return admin.Revision{}, admin.ErrNotFound
}

func (f *fakeDeployment) Fleet(context.Context) ([]admin.FleetHost, error) {
	return []admin.FleetHost{{Status: "live", Pools: []string{"svc/east"}, Revision: 1}}, f.err
}

func (f *fakeDeployment) Caps(context.Context) ([]admin.Cap, error) {
	return []admin.Cap{{From: "a", To: "b", Concurrent: 3, Holders: []admin.Share{{Host: "h1", Concurrent: 3}}}}, f.err
}

func (f *fakeDeployment) Queues(_ context.Context, region string) ([]admin.Queue, error) {
	return []admin.Queue{{Region: region, Rank: "lookup", Queued: 2}}, f.err
}

func (f *fakeDeployment) Drains(context.Context) ([]admin.DrainProgress, error) {
	return nil, f.err
}

func (f *fakeDeployment) Dump(context.Context) (any, error) {
	return map[string]int{"epoch": 4}, f.err
}
