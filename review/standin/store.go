package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or a watch event.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	LeaseID    int64  `json:"lease_id"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a stand-in for the platform's store. It never fails.
type Store struct {
	Address string

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	events    []item
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
}

// NewStore starts a store on a free port of a loopback address.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go s.expire()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Put writes an item as the operator does, and returns the size of its value in bytes.
func (s *Store) Put(key string, value any) int {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, raw, 0)
	s.wake()
	return len(raw)
}

// PutUnless writes an item unless the present value is the same.
func (s *Store) PutUnless(key string, value any, same func(a, b []byte) bool) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.items[key]; ok && same(old.Value, raw) {
		return
	}
	s.revision++
	s.put(key, raw, 0)
	s.wake()
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, LeaseID: leaseID}
	if old, ok := s.items[key]; ok {
		i.CreatedRev = old.CreatedRev
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{})
		return
	}
	reply(w, 200, i)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	const page, pageBytes = 500, 1 << 20
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	end, size := 0, 0
	for ; end < len(items) && end < page && (end == 0 || size+len(items[end].Value) <= pageBytes); end++ {
		size += len(items[end].Value)
	}
	more := end < len(items)
	items = items[:end]
	reply(w, 200, map[string]any{"items": items, "has_more": more, "at_rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, 200, map[string]any{"events": events, "at_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease_id"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			reply(w, 412, map[string]any{"items": []item{s.items[p.Key]}})
			return
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Remove {
		s.remove(k)
	}
	s.wake()
	reply(w, 200, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl < time.Second {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease_id": s.lastLease, "ttl_time": body.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttl_time": fmt.Sprintf("%dms", l.ttl.Milliseconds())})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, 200, map[string]any{})
}

func (s *Store) endLease(id int64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.LeaseID == id {
			s.remove(k)
		}
	}
	s.wake()
}

func (s *Store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}
