// Package hostlist is a stand-in for the host list, an external service that lists
// the hosts of all regions for galenabeamd without -platform. Its answers lag behind
// its state by a set time, and it can be slow or unavailable.
package hostlist

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
)

// MaxLag is the longest lag that SetLag sets, because older states are dropped.
const MaxLag = time.Minute

// version is the state of the list from a time on.
type version struct {
	since time.Time
	hosts []member.Listed // in order of id, never modified
}

// List is a host list with faults. It implements member.HostList and is safe
// for concurrent use.
type List struct {
	now func() time.Time

	mu       sync.Mutex
	versions []version // oldest first; the first one also holds before its time
	lag      time.Duration
	delay    time.Duration
	down     bool
	calls    int
}

// New returns an empty list that reads the time from now.
func New(now func() time.Time) *List {
	return &List{now: now, versions: []version{{}}}
}

// Put adds the host or replaces its entry.
func (l *List) Put(h member.Listed) {
	l.change(func(hosts []member.Listed) []member.Listed {
		index, found := find(hosts, h.ID)
		if found {
			hosts[index] = h
			return hosts
		}
		return slices.Insert(hosts, index, h)
	})
}

// Remove removes the host from the list. An absent host is no error.
func (l *List) Remove(id host.ID) {
	l.change(func(hosts []member.Listed) []member.Listed {
		if index, found := find(hosts, id); found {
			return slices.Delete(hosts, index, index+1)
		}
		return hosts
	})
}

// SetState sets the state of a listed host. It ignores a host that is not listed.
func (l *List) SetState(id host.ID, s member.ListState) {
	l.change(func(hosts []member.Listed) []member.Listed {
		if index, found := find(hosts, id); found {
			hosts[index].State = s
		}
		return hosts
	})
}

// find returns the index of the host, or else the index at which to insert it.
func find(hosts []member.Listed, id host.ID) (int, bool) {
	return slices.BinarySearchFunc(hosts, id, func(h member.Listed, id host.ID) int {
		return cmp.Compare(h.ID, id)
	})
}

// change adds the version that f makes of a copy of the latest hosts, and drops
// versions that were replaced at least MaxLag ago.
func (l *List) change(f func([]member.Listed) []member.Listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	latest := l.versions[len(l.versions)-1].hosts
	l.versions = append(l.versions, version{now, f(slices.Clone(latest))})
	for len(l.versions) > 1 && !l.versions[1].since.After(now.Add(-MaxLag)) {
		l.versions = l.versions[1:]
	}
}

// SetLag makes answers report the state of d ago, limited to 0 to MaxLag.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = min(max(d, 0), MaxLag)
}

// SetDelay delays each answer by d. Zero or a negative d means no delay.
func (l *List) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetDown starts or ends an outage, during which calls fail with
// member.ErrListUnavailable.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Calls returns the number of calls so far, failed ones included.
func (l *List) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Hosts implements member.HostList.
func (l *List) Hosts(ctx context.Context) ([]member.Listed, error) {
	l.mu.Lock()
	l.calls++
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, trace.Wrap(member.ErrListUnavailable, "the stand-in for the host list has an outage")
	}
	asOf := l.now().Add(-l.lag)
	hosts := l.versions[0].hosts
	for _, v := range l.versions[1:] {
		if !v.since.After(asOf) {
			hosts = v.hosts
		}
	}
	return slices.Clone(hosts), nil
}

// ServeHTTP answers GET /v1/hosts as the host list does.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/hosts" {
		http.NotFound(w, r)
		return
	}
	if r.Method != http.MethodGet {
		http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	}
	hosts, err := l.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if hosts == nil {
		hosts = []member.Listed{}
	}
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(map[string][]member.Listed{"hosts": hosts})
}
