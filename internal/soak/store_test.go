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

// item is an item of the store as it travels.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Lease     int64  `json:"lease_id,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's store that can be down, slow, forgetful
// or lose its answers.
type store struct {
	mu     sync.Mutex
	rev    uint64
	first  uint64
	items  map[string]item
	events []item
	leases map[int64]*lease
	news   chan struct{}
	down   bool
	slow   time.Duration
	losing bool
	calls  int
	spans  []span // disturbances
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, news: make(chan struct{})}
}

func (s *store) set(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = closeSpans(s.spans)
	change(s)
	s.spans = append(s.spans, span{start: time.Now()})
	if !s.down && s.slow == 0 && !s.losing {
		s.spans = closeSpans(s.spans)
	}
}

// calm tells whether the store was undisturbed between two moments.
func (s *store) calm(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !overlaps(s.spans, from, to)
}

// write changes items. The caller holds the lock.
func (s *store) write(i item) {
	s.rev++
	i.Revision = s.rev
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.news)
	s.news = make(chan struct{})
}

// put is a write by the operator or a backend server.
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

// expire ends leases; it is called before each call.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

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
	down, slow := s.down, s.slow
	lose := s.losing && s.calls%3 == 0
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(slow)
	status, answer := s.answer(r)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

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
		const page = 10
		return 200, map[string]any{"items": list[:min(len(list), page)], "has_more": len(list) > page, "at_rev": s.rev}
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
		s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
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
		l.end = time.Now().Add(l.ttl)
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
		if after < s.first {
			s.mu.Unlock()
			return 410, nil
		}
		list := []item{}
		for _, e := range s.events {
			if e.Revision > after {
				list = append(list, e)
			}
		}
		rev, news, down := s.rev, s.news, s.down
		s.mu.Unlock()
		if down {
			return 503, nil
		}
		if len(list) > 0 {
			return 200, map[string]any{"events": list, "at_rev": rev}
		}
		select {
		case <-news:
		case <-timer.C:
			return 200, map[string]any{"events": list, "at_rev": rev}
		case <-r.Context().Done():
			return 503, nil
		}
	}
}
