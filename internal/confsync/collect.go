package confsync

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// maxCollected bounds the keys that one submission deletes.
const maxCollected = 512

// collect deletes the keys of submissions that are decided and that head does
// not need. It runs after the verdict and may stop at any point: entries stay
// pending until all of their keys are deleted.
//
// A key is garbage for good: heads after this one take over parts of their
// predecessor only, and other keys contain a base that head is past.
func (s *Submission) collect(now time.Duration, head Head) {
	s.deadline = now + cleanupLimit
	s.get(pendingKey, func(now time.Duration, r StoreResult) {
		var p pending
		if r.Err != nil || json.Unmarshal(r.Entry.Value, &p) != nil {
			s.finish()
			return
		}
		var decided []pendingEntry
		var keys []string
		for _, e := range p.Entries {
			if e.Base >= head.Revision || len(keys)+len(e.Keys) > maxCollected && len(keys) > 0 {
				continue
			}
			decided = append(decided, e)
			for _, k := range e.Keys {
				if !head.refers(k) && !slices.Contains(keys, k) {
					keys = append(keys, k)
				}
			}
		}
		if len(decided) == 0 {
			s.finish()
			return
		}
		s.deleteKeys(now, keys, func() { s.dropPending(decided) })
	})
}

// deleteKeys deletes the keys one by one and goes on with then.
func (s *Submission) deleteKeys(now time.Duration, keys []string, then func()) {
	if len(keys) == 0 {
		then()
		return
	}
	s.get(keys[0], func(now time.Duration, r StoreResult) {
		if r.Err != nil {
			s.deleteKeys(now, keys[1:], then)
			return
		}
		c := StoreCall{Kind: StoreDelete, Key: keys[0], Expected: r.Entry.Revision}
		s.call(c, func(now time.Duration, r StoreResult) {
			if errors.Is(r.Err, store.ErrUncertain) {
				s.later(now, func(now time.Duration) { s.deleteKeys(now, keys, then) })
				return
			}
			s.deleteKeys(now, keys[1:], then)
		})
	})
}

// dropPending removes the entries whose keys are deleted.
func (s *Submission) dropPending(done []pendingEntry) {
	s.get(pendingKey, func(now time.Duration, r StoreResult) {
		var p pending
		if r.Err != nil || json.Unmarshal(r.Entry.Value, &p) != nil {
			s.finish()
			return
		}
		kept := slices.DeleteFunc(p.Entries, func(e pendingEntry) bool {
			return slices.ContainsFunc(done, func(d pendingEntry) bool {
				return d.Operation == e.Operation && d.Base == e.Base
			})
		})
		p.Entries = kept
		c := StoreCall{Kind: StoreSwap, Key: pendingKey, Expected: r.Entry.Revision, Value: encode(p)}
		s.call(c, func(now time.Duration, r StoreResult) {
			if r.Err != nil {
				s.later(now, func(time.Duration) { s.dropPending(done) })
				return
			}
			s.finish()
		})
	})
}
