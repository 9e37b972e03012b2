package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store in its JSON.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease_id,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	leases   map[int64]*lease
	changed  chan struct{}
	server   *http.Server
	address  string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// startStore starts a store on a free port of a loopback IP.
func startStore(ip string) (*store, error) {
	s := &store{revision: 100, items: map[string]storeItem{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grantLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keepLease)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// dropLease ends a lease and removes its items. The caller holds s.mu.
func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// put writes an item. The caller holds s.mu.
func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

// remove removes an item. The caller holds s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(i storeItem) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes an item as the operator or a backend server does.
func (s *store) write(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, raw, 0)
}

// count returns the number of items with a prefix.
func (s *store) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answerJSON(w, http.StatusNotFound, map[string]string{"error": "no such key"})
		return
	}
	answerJSON(w, http.StatusOK, i)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": list, "has_more": more, "at_rev": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		list := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				list = append(list, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 || expired {
			answerJSON(w, http.StatusOK, map[string]any{"events": list, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answerJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []storeItem{}
	for _, c := range t.Precondition {
		i, ok := s.items[c.Key]
		failed = failed || i.Revision != c.Revision
		if ok {
			current = append(current, i)
		}
	}
	if failed {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answerJSON(w, http.StatusForbidden, map[string]string{"error": "key is not the system's"})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answerJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	answerJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answerJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		answerJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(len(s.leases)) + int64(s.revision)*1000
	for s.leases[id] != nil {
		id++
	}
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	answerJSON(w, http.StatusOK, map[string]any{"lease_id": id, "ttl_time": body.TTL})
}

func (s *store) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answerJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answerJSON(w, http.StatusOK, map[string]any{"ttl_time": l.ttl.String()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answerJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	s.dropLease(id)
	answerJSON(w, http.StatusOK, map[string]any{})
}
