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

// ports keeps a deployment in memory, behind the real API.
type ports struct {
	mu         sync.Mutex
	revisions  []admin.Revision
	operations map[string]int
	// err, if set, is returned by every submission.
	err error
	// progress are the successive lists of drains; the last one stays.
	progress [][]admin.DrainProgress
	// failures is the number of times that the drains cannot be read first.
	failures int
}

// newServer serves the API with tokens "NAME-secret".
func newServer() (*httptest.Server, *ports) {
	p := &ports{operations: map[string]int{}, progress: [][]admin.DrainProgress{nil}}
	p.revisions = []admin.Revision{{Number: 1, Who: "anna", Why: "first", Config: config.Normalize(deployments.Hagtal())}}
	var tokens []settings.Token
	for name, role := range map[string]settings.Role{"reader": settings.RoleRead, "operator": settings.RoleOperate, "root": settings.RoleConfigure} {
		tokens = append(tokens, settings.Token{Name: name, Hash: sha256.Sum256([]byte(name + "-secret")), Role: role, Teams: []string{settings.AllTeams}})
	}
	return httptest.NewServer(admin.New(p, p, metrics.NewRegistry(), tokens, admin.Options{})), p
}

func (p *ports) Read(_ context.Context, number int64) (admin.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number == 0 {
		number = int64(len(p.revisions))
	}
	if number > int64(len(p.revisions)) {
		return admin.Revision{}, admin.ErrNotFound
	}
	return p.revisions[number-1], nil
}

func (p *ports) Submit(_ context.Context, s admin.Submission) (admin.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return admin.Revision{}, p.err
	}
	if last := p.revisions[len(p.revisions)-1]; s.Base != last.Number {
		return admin.Revision{}, &admin.ConflictError{Revision: last.Number, Who: last.Who}
	}
	rev := admin.Revision{Number: s.Base + 1, Who: s.Who, When: time.Unix(1, 0), Why: s.Why, Config: config.Normalize(s.Config)}
	p.revisions = append(p.revisions, rev)
	p.operations[s.Operation] = len(p.revisions)
	return rev, nil
}

func (p *ports) Operation(_ context.Context, operation string) (admin.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n, found := p.operations[operation]; found {
		return p.revisions[n-1], nil
	}
	return admin.Revision{}, admin.ErrNotFound
}

func (p *ports) Fleet(context.Context) ([]admin.FleetHost, error) {
	return []admin.FleetHost{
		{Info: host.Info{ID: "h1", Region: "austur"}, Status: "live", Lessor: "primary", Pools: []string{"mottaka/austur"}, Revision: 7},
		{Info: host.Info{ID: "h2", Region: "nordur"}, Status: "leaving\x1b[2J", Revision: 8},
	}, nil
}

func (p *ports) Caps(context.Context) ([]admin.Cap, error) {
	return []admin.Cap{{From: "austur", To: "nordur", Concurrent: 3, Holders: []admin.Share{{Host: "h2", Pool: "mottaka/nordur", Concurrent: 3}}}}, nil
}

func (p *ports) Queues(_ context.Context, region string) ([]admin.Queue, error) {
	return []admin.Queue{{Region: region, Rank: "lookup", Queued: 2}}, nil
}

func (p *ports) Drains(context.Context) ([]admin.DrainProgress, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures > 0 {
		p.failures--
		return nil, admin.ErrUnavailable
	}
	now := p.progress[0]
	if len(p.progress) > 1 {
		p.progress = p.progress[1:]
	}
	return now, nil
}

func (p *ports) Dump(context.Context) (any, error) { return map[string]int{"epoch": 4}, nil }
