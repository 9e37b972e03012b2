// Package hostlist is a stand-in for the platform's list of hosts. It answers
// with the state of some time ago, and can be slow or out of service.
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

// MaxLag bounds the lag that SetLag accepts, because earlier states are dropped.
const MaxLag = time.Minute

// version is the list from a time on.
type version struct {
	at    time.Time
	hosts []member.Listed // in order of id, never modified
}

// List is a host list with faults. It implements member.HostList and is safe
// for concurrent use.
type List struct {
	now func() time.Time

	mu       sync.Mutex
	versions []version // in order of time, the first one always applies
	lag      time.Duration
	slow     time.Duration
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
		at, found := find(hosts, h.ID)
		if found {
			hosts[at] = h
			return hosts
		}
		return slices.Insert(hosts, at, h)
	})
}

// Remove takes the host off the list.
func (l *List) Remove(id host.ID) {
	l.change(func(hosts []member.Listed) []member.Listed {
		if at, found := find(hosts, id); found {
			return slices.Delete(hosts, at, at+1)
		}
		return hosts
	})
}

// SetState marks a listed host as live or leaving.
func (l *List) SetState(id host.ID, s member.ListState) {
	l.change(func(hosts []member.Listed) []member.Listed {
		if at, found := find(hosts, id); found {
			hosts[at].State = s
		}
		return hosts
	})
}

func find(hosts []member.Listed, id host.ID) (int, bool) {
	return slices.BinarySearchFunc(hosts, id, func(h member.Listed, id host.ID) int {
		return cmp.Compare(h.ID, id)
	})
}

func (l *List) change(f func([]member.Listed) []member.Listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	last := l.versions[len(l.versions)-1].hosts
	l.versions = append(l.versions, version{now, f(slices.Clone(last))})
	for len(l.versions) > 1 && !l.versions[1].at.After(now.Add(-MaxLag)) {
		l.versions = l.versions[1:]
	}
}

// SetLag makes answers show the state of d ago, at most MaxLag.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = min(max(d, 0), MaxLag)
}

// SetDelay makes each answer take d.
func (l *List) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = d
}

// SetDown starts or ends an outage.
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
	slow := l.slow
	l.mu.Unlock()
	if slow > 0 {
		timer := time.NewTimer(slow)
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
		return nil, trace.Wrap(member.ErrListUnavailable, "outage of the fake host list")
	}
	asOf := l.now().Add(-l.lag)
	hosts := l.versions[0].hosts
	for _, v := range l.versions[1:] {
		if !v.at.After(asOf) {
			hosts = v.hosts
		}
	}
	return slices.Clone(hosts), nil
}

// ServeHTTP answers GET /v1/hosts as the platform does.
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
	// A caller that went away is the only cause of an error here.
	_ = json.NewEncoder(w).Encode(map[string][]member.Listed{"hosts": hosts})
}
