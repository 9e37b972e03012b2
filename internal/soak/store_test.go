package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
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
// its history, loses answers, or is restored from an older copy.
type store struct {
	mu sync.Mutex
	storeContent
	compactedTo uint64        // a watch from an earlier revision gets 410
	era         uint64        // number of restores
	changed     chan struct{} // closed and replaced at each change
	copies      []storeCopy   // by age, the oldest first
	// written holds the latest writes of the operator and the backend servers by key.
	written      map[string]item
	down         bool
	unreachable  bool          // for hosts, while the operator and backend servers write to it
	delay        time.Duration // of each call
	loseAnswers  bool          // each third call takes effect but gets no answer
	calls        int
	disturbances []disturbance
	restores     []time.Time
}

// storeContent is what a copy of the store contains.
type storeContent struct {
	rev    uint64
	items  map[string]item
	events []item
	leases map[int64]*lease
}

func (c storeContent) clone() storeContent {
	n := storeContent{c.rev, maps.Clone(c.items), slices.Clone(c.events), map[int64]*lease{}}
	for id, l := range c.leases {
		copied := *l
		n.leases[id] = &copied
	}
	return n
}

type storeCopy struct {
	madeAt  time.Time
	content storeContent
}

const (
	// copyPeriod is the time between two copies of the store.
	copyPeriod = 500 * time.Millisecond
	// otherWrites is the number of writes of another writer in that time.
	otherWrites = 10
	// maxCopyAge is the age of the oldest copy that is kept.
	maxCopyAge = 6 * time.Second
)

func newStore() *store {
	return &store{
		storeContent: storeContent{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}}, changed: make(chan struct{}), written: map[string]item{},
	}
}

// copyUntil copies the store from time to time until done is closed. Another writer writes
// keys of its own meanwhile, so that revisions are lost and given out again by a restore.
func (s *store) copyUntil(done <-chan struct{}) {
	for {
		for n := range otherWrites {
			s.put(fmt.Sprint("elsewhere/", n), time.Now())
		}
		s.mu.Lock()
		s.copies = append(s.copies, storeCopy{time.Now(), s.clone()})
		for time.Since(s.copies[0].madeAt) > maxCopyAge {
			s.copies = s.copies[1:]
		}
		s.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(copyPeriod):
		}
	}
}

// restore replaces the content by that of the oldest copy which is not older than age, and
// begins a new era. It returns the age of the copy. Leases run on from their state in it. The
// caller holds the lock.
func (s *store) restore(age time.Duration) time.Duration {
	n := slices.IndexFunc(s.copies, func(c storeCopy) bool { return time.Since(c.madeAt) <= age })
	if n < 0 {
		n = len(s.copies) - 1
	}
	c := s.copies[n]
	s.copies = s.copies[:n+1]
	s.storeContent = c.content.clone()
	s.era++
	s.restores = append(s.restores, time.Now())
	s.compactedTo = min(s.compactedTo, s.rev)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Since(c.madeAt)
}

// writeAgain writes those of the latest writes of the operator and the backend servers that
// the store lacks and whose keys have the prefix.
func (s *store) writeAgain(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, w := range s.written {
		i, present := s.items[key]
		if strings.HasPrefix(key, prefix) && (present == w.Tombstone || present && !bytes.Equal(i.Value, w.Value)) {
			s.write(w)
		}
	}
}

// setFaults changes the faults and records a disturbance, which has ended already if
// no fault remains.
func (s *store) setFaults(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = endAll(s.disturbances)
	change(s)
	s.disturbances = append(s.disturbances, disturbance{start: time.Now()})
	if !s.down && !s.unreachable && s.delay == 0 && !s.loseAnswers {
		s.disturbances = endAll(s.disturbances)
	}
}

// undisturbed reports whether no fault was active between two times.
func (s *store) undisturbed(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !overlaps(s.disturbances, from, to)
}

// restoredBetween reports whether the store was restored between two times.
func (s *store) restoredBetween(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.restores, func(t time.Time) bool { return t.After(from) && t.Before(to) })
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
	s.written[key] = item{Key: key, Value: raw}
	s.write(s.written[key])
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[key] = item{Key: key, Tombstone: true}
	s.write(s.written[key])
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
	down, delay, era := s.down || s.unreachable, s.delay, s.era
	lose := s.loseAnswers && s.calls%3 == 0
	s.mu.Unlock()
	if down {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	status, answer, era := s.answer(r)
	if lose || status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// answer executes a call and returns the status and the body of the answer, and the era in
// which it was executed. A status of 0 means that there is no answer.
func (s *store) answer(r *http.Request) (int, map[string]any, uint64) {
	if r.URL.Path == "/v1/kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, answer := s.execute(r)
	return status, answer, s.era
}

// execute executes a call other than a watch. The caller holds the lock.
func (s *store) execute(r *http.Request) (int, map[string]any) {
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
			Precondition []item   `json:"precondition"`
			Puts         []item   `json:"puts"`
			Remove       []string `json:"remove"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		for _, c := range body.Precondition {
			// The revision of an item that does not exist is 0.
			if s.items[c.Key].Revision != c.Revision {
				return 412, nil
			}
		}
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
		for _, key := range body.Remove {
			s.write(item{Key: key, Tombstone: true})
		}
		return 200, map[string]any{"revision": s.rev}
	}
	return 400, nil
}

// watch returns the events after a revision. It waits up to wait_ms for the first one. A
// restore of the store cuts it.
func (s *store) watch(r *http.Request) (int, map[string]any, uint64) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	q := r.URL.Query()
	var after uint64
	var wait int
	_, _ = fmt.Sscan(q.Get("after"), &after)
	_, _ = fmt.Sscan(q.Get("wait_ms"), &wait)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			return 0, nil, era
		}
		s.expire()
		if after < s.compactedTo || after > s.rev {
			s.mu.Unlock()
			return 410, nil, era
		}
		list := []item{}
		for _, e := range s.events {
			if e.Revision > after {
				list = append(list, e)
			}
		}
		rev, changed, down := s.rev, s.changed, s.down || s.unreachable
		s.mu.Unlock()
		if down {
			return 503, nil, era
		}
		if len(list) > 0 {
			return 200, map[string]any{"events": list, "at_rev": rev}, era
		}
		select {
		case <-changed:
		case <-timer.C:
			return 200, map[string]any{"events": list, "at_rev": rev}, era
		case <-r.Context().Done():
			return 503, nil, era
		}
	}
}
