package ctl_test

import (
	"context"
	"crypto/sha256"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/examples/deployments"
	"github.com/galenabeam/galenabeam/internal/adapter/admin"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/settings"
)

// fakeDeployment implements admin.Configurations and admin.State in memory, so that
// tests run against the real API.
type fakeDeployment struct {
	mu         sync.Mutex
	revisions  []admin.Revision
	operations map[string]int
	// submitErr, if set, is returned by every submission.
	submitErr error
	// progress holds the successive results of Drains; the last one repeats.
	progress [][]admin.DrainProgress
	// readFailures is the number of calls of Drains that fail before the first result.
	readFailures int
}

// newServer starts an API server over a fake deployment. The secret of each token
// is "NAME-secret".
func newServer() (*httptest.Server, *fakeDeployment) {
	d := &fakeDeployment{operations: map[string]int{}, progress: [][]admin.DrainProgress{nil}}
	d.revisions = []admin.Revision{{Number: 1, Who: "anna", Why: "first", Config: config.Normalize(deployments.Hagtal())}}
	var tokens []settings.Token
	for name, role := range map[string]settings.Role{"reader": settings.RoleRead, "operator": settings.RoleOperate, "root": settings.RoleConfigure} {
		tokens = append(tokens, settings.Token{Name: name, Hash: sha256.Sum256([]byte(name + "-secret")), Role: role, Teams: []string{settings.AllTeams}})
	}
	return httptest.NewServer(admin.New(d, d, metrics.NewRegistry(), tokens, admin.Options{})), d
}

func (d *fakeDeployment) Read(_ context.Context, number int64) (admin.Revision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if number == 0 {
		number = int64(len(d.revisions))
	}
	if number > int64(len(d.revisions)) {
		return admin.Revision{}, admin.ErrNotFound
	}
	return d.revisions[number-1], nil
}

func (d *fakeDeployment) Submit(_ context.Context, s admin.Submission) (admin.Revision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.submitErr != nil {
		return admin.Revision{}, d.submitErr
	}
	if last := d.revisions[len(d.revisions)-1]; s.Base != last.Number {
		return admin.Revision{}, &admin.ConflictError{Revision: last.Number, Who: last.Who}
	}
	rev := admin.Revision{Number: s.Base + 1, Who: s.Who, When: time.Unix(1, 0), Why: s.Why, Config: config.Normalize(s.Config)}
	d.revisions = append(d.revisions, rev)
	d.operations[s.Operation] = len(d.revisions)
	return rev, nil
}

func (d *fakeDeployment) Operation(_ context.Context, operation string) (admin.Revision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n, found := d.operations[operation]; found {
		return d.revisions[n-1], nil
	}
	return admin.Revision{}, admin.ErrNotFound
}

func (d *fakeDeployment) Fleet(context.Context) ([]admin.FleetHost, error) {
	return []admin.FleetHost{
		{Info: host.Info{ID: "h1", Region: "austur"}, Status: "live", Lessor: "primary", Pools: []string{"mottaka/austur"}, Revision: 7},
		{Info: host.Info{ID: "h2", Region: "nordur"}, Status: "leaving\x1b[2J", Revision: 8},
	}, nil
}

func (d *fakeDeployment) Caps(context.Context) ([]admin.Cap, error) {
	return []admin.Cap{{From: "austur", To: "nordur", Concurrent: 3, Holders: []admin.Share{{Host: "h2", Pool: "mottaka/nordur", Concurrent: 3}}}}, nil
}

func (d *fakeDeployment) Queues(_ context.Context, region string) ([]admin.Queue, error) {
	return []admin.Queue{{Region: region, Rank: "lookup", Queued: 2}}, nil
}

func (d *fakeDeployment) Drains(context.Context) ([]admin.DrainProgress, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readFailures > 0 {
		d.readFailures--
		return nil, admin.ErrUnavailable
	}
	current := d.progress[0]
	if len(d.progress) > 1 {
		d.progress = d.progress[1:]
	}
	return current, nil
}

func (d *fakeDeployment) Dump(context.Context) (any, error) { return map[string]int{"epoch": 4}, nil }
