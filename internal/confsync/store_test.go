package confsync

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// simStore simulates the store in virtual time, with injected faults.
type simStore struct {
	s              *sim
	versions       map[string][]store.Entry // a nil value stands for absence
	lastRevision   store.Revision
	watchers       []func()
	delay          time.Duration
	down           bool
	lost           float64 // fraction of writes whose answer is lost; half of them have no effect
	staleReadShare float64 // fraction of reads that may return an older value
	calls          int
}

// now returns the current entry of a key, with a nil value if it has none.
func (st *simStore) now(key string) store.Entry {
	v := st.versions[key]
	if len(v) == 0 {
		return store.Entry{Key: key}
	}
	return v[len(v)-1]
}

// put stores a value and completes the watches of the head if the key is HeadKey.
func (st *simStore) put(key string, value []byte) store.Revision {
	st.lastRevision++
	st.versions[key] = append(st.versions[key], store.Entry{Key: key, Value: value, Revision: st.lastRevision})
	if key == HeadKey {
		watchers := st.watchers
		st.watchers = nil
		for _, w := range watchers {
			w()
		}
		st.s.checkHead(value)
	}
	return st.lastRevision
}

// execute executes a call and returns the result, or false for a watch that waits.
func (st *simStore) execute(c StoreCall) (StoreResult, bool) {
	r := StoreResult{Seq: c.Seq}
	if st.down {
		r.Err = store.ErrUnavailable
		return r, true
	}
	e := st.now(c.Key)
	if c.Kind == StoreGet || c.Kind == StoreWatch {
		if v := st.versions[c.Key]; len(v) > 1 && st.s.rng.Float64() < st.staleReadShare {
			e = v[st.s.rng.Intn(len(v))]
		} else if c.Kind == StoreWatch && (e.Revision <= c.Expected || e.Value == nil) {
			return r, false
		}
		r.Entry = e
		if e.Value == nil {
			r.Entry, r.Err = store.Entry{}, store.ErrNotFound
		}
		return r, true
	}
	present := e.Revision
	if e.Value == nil {
		present = 0
	}
	lost := st.s.rng.Float64() < st.lost
	switch {
	case len(c.Value) > store.MaxValueBytes:
		r.Err = store.ErrTooLarge
	case present != c.Expected:
		r.Err = store.ErrConflict
	case lost && st.s.rng.Intn(2) == 0:
	default:
		value := c.Value
		if c.Kind == StoreDelete {
			value = nil
		}
		r.Entry.Revision = st.put(c.Key, value)
	}
	if lost {
		r.Err = store.ErrUncertain
	}
	return r, true
}

// call delivers the result of a call after the delays of the store and the link.
func (st *simStore) call(c StoreCall, link time.Duration, deliver func(StoreResult)) {
	st.calls++
	st.s.schedule(st.s.now+link+st.delay/2, func() {
		var try func()
		try = func() {
			r, ok := st.execute(c)
			if !ok {
				st.watchers = append(st.watchers, func() { st.s.schedule(st.s.now, try) })
				return
			}
			st.s.schedule(st.s.now+link+st.delay/2, func() { deliver(r) })
		}
		try()
	})
}
