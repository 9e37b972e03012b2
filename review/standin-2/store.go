package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item or a watch event in the store's JSON.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease_id,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in for the platform's store, form "kv". It keeps its whole history.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]storeItem
	history   []storeItem
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{}

	listener net.Listener
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		revision: 1, items: map[string]storeItem{}, leases: map[int64]*storeLease{},
		changed: make(chan struct{}), listener: l,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveRenew)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveEnd)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an item on behalf of the operator or a server. Its return is the ack.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.putBytes(key, raw)
}

// putBytes is put for a value that may be no JSON.
func (s *store) putBytes(key string, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]storeItem{{Key: key, Value: raw}}, nil)
}

// remove removes a key. Its return is the ack.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []string{key})
}

// write applies puts and removals at one revision. The caller holds s.mu.
func (s *store) write(puts []storeItem, remove []string) {
	s.revision++
	for _, i := range puts {
		i.Revision, i.Created = s.revision, s.revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
		s.history = append(s.history, i)
	}
	for _, key := range remove {
		if _, ok := s.items[key]; !ok {
			continue
		}
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its items. The caller holds s.mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.write(nil, keys)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at_rev": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		storeItem
		AtRev uint64 `json:"at_rev"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	list := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	answer(w, http.StatusOK, map[string]any{"items": list, "has_more": more, "at_rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []storeItem{}
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
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

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
	raw, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(raw, &t); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []storeItem{}, false
	for _, p := range t.Precondition {
		i := s.items[p.Key]
		failed = failed || i.Revision != p.Revision
		current = append(current, i)
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	var puts []storeItem
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		puts = append(puts, storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	s.write(puts, t.Remove)
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	raw, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(raw, &body)
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease_id": s.lastLease, "ttl_time": body.TTL})
}

func (s *store) serveRenew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}

// awaitReport waits until an item of the store has changed.
func (s *store) awaitReport(key string) {
	s.mu.Lock()
	before := s.items[key].Revision
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, now := s.changed, s.items[key].Revision
		s.mu.Unlock()
		if now != before {
			return
		}
		<-changed
	}
}
