package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// item is an item or a change of the store in JSON.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Lease     int64  `json:"lease_id,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's store. Its faults: it is down or slow, drops
// its history, or loses answers.
type store struct {
	mu           sync.Mutex
	rev          uint64
	compactedTo  uint64 // a watch from an earlier revision gets 410
	items        map[string]item
	events       []item
	leases       map[int64]*lease
	changed      chan struct{} // closed and replaced at each change
	down         bool
	delay        time.Duration // of each call
	loseAnswers  bool          // each third call takes effect but gets no answer
	calls        int
	disturbances []disturbance
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// setFaults changes the faults and records a disturbance, which has ended already if
// no fault remains.
func (s *store) setFaults(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = endAll(s.disturbances)
	change(s)
	s.disturbances = append(s.disturbances, disturbance{start: time.Now()})
	if !s.down && s.delay == 0 && !s.loseAnswers {
		s.disturbances = endAll(s.disturbances)
	}
}

// undisturbed reports whether no fault was active between two times.
func (s *store) undisturbed(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !overlaps(s.disturbances, from, to)
}

// write applies a change and records it as an event. The caller holds the lock.
func (s *store) write(i item) {
	s.rev++
	i.Revision = s.rev
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item as the operator and backend servers do, without a lease.
func (s *store) put(key string, value any) {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: raw})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Tombstone: true})
}

// expire ends the leases whose TTL has passed. Each call of the API runs it first.
// The caller holds the lock.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and its items. The caller holds the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for _, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: i.Key, Tombstone: true})
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down, delay := s.down, s.delay
	lose := s.loseAnswers && s.calls%3 == 0
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	status, answer := s.answer(r)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// answer executes a call and returns the status and the body of the answer.
func (s *store) answer(r *http.Request) (int, map[string]any) {
	if r.URL.Path == "/v1/kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/v1/kv-range":
		list := []item{}
		for _, i := range s.items {
			if strings.HasPrefix(i.Key, q.Get("prefix")) && i.Key > q.Get("after") {
				list = append(list, i)
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		const pageSize = 10
		return 200, map[string]any{"items": list[:min(len(list), pageSize)], "has_more": len(list) > pageSize, "at_rev": s.rev}
	case r.URL.Path == "/v1/kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			return 404, nil
		}
		return 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "at_rev": s.rev}
	case r.URL.Path == "/v1/kv-lease":
		var body struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		ttl, _ := time.ParseDuration(body.TTL)
		id := int64(len(s.leases)+1)<<20 + int64(s.rev)
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.rev++
		return 200, map[string]any{"lease_id": id, "ttl_time": body.TTL}
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"), strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		var id int64
		_, _ = fmt.Sscan(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], &id)
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
			return 200, map[string]any{}
		}
		l.expires = time.Now().Add(l.ttl)
		return 200, map[string]any{"ttl_time": l.ttl.String()}
	case r.URL.Path == "/v1/kv-txn":
		var body struct {
			Puts []item `json:"puts"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		for _, p := range body.Puts {
			if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
				return 403, nil
			}
			if p.Lease != 0 && s.leases[p.Lease] == nil {
				return 404, nil
			}
		}
		for _, p := range body.Puts {
			s.write(p)
		}
		return 200, map[string]any{"revision": s.rev}
	}
	return 400, nil
}

// watch returns the events after a revision. It waits up to wait_ms for the first one.
func (s *store) watch(r *http.Request) (int, map[string]any) {
	q := r.URL.Query()
	var after uint64
	var wait int
	_, _ = fmt.Sscan(q.Get("after"), &after)
	_, _ = fmt.Sscan(q.Get("wait_ms"), &wait)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire()
		if after < s.compactedTo {
			s.mu.Unlock()
			return 410, nil
		}
		list := []item{}
		for _, e := range s.events {
			if e.Revision > after {
				list = append(list, e)
			}
		}
		rev, changed, down := s.rev, s.changed, s.down
		s.mu.Unlock()
		if down {
			return 503, nil
		}
		if len(list) > 0 {
			return 200, map[string]any{"events": list, "at_rev": rev}
		}
		select {
		case <-changed:
		case <-timer.C:
			return 200, map[string]any{"events": list, "at_rev": rev}
		case <-r.Context().Done():
			return 503, nil
		}
	}
}
