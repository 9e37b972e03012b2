package confsync

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/store"
)

// maxCollectedKeys is the number of keys above which a submission leaves further
// entries of the pending list to later submissions.
const maxCollectedKeys = 512

// collectGarbage deletes the keys of decided submissions that head does not
// reference. It may stop at any point: entries stay in the pending list until all
// of their keys are deleted.
//
// No later head references a garbage key: it reuses only parts of its predecessor,
// and the key of a new part contains a later revision.
func (s *Submission) collectGarbage(now time.Duration, head Head) {
	s.deadline = now + collectTimeout
	s.get(pendingKey, func(now time.Duration, r StoreResult) {
		var p pendingList
		if r.Err != nil || json.Unmarshal(r.Entry.Value, &p) != nil {
			s.finish()
			return
		}
		var decided []pendingSubmission
		var keys []string
		for _, e := range p.Entries {
			if e.Base >= head.Revision || len(keys)+len(e.Keys) > maxCollectedKeys && len(keys) > 0 {
				continue
			}
			decided = append(decided, e)
			for _, k := range e.Keys {
				if !head.references(k) && !slices.Contains(keys, k) {
					keys = append(keys, k)
				}
			}
		}
		if len(decided) == 0 {
			s.finish()
			return
		}
		s.deleteKeys(now, keys, func() { s.removePending(decided) })
	})
}

// deleteKeys deletes the keys one by one, skips those that another client has
// deleted or changed, and then calls then.
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
				s.retryLater(now, func(now time.Duration) { s.deleteKeys(now, keys, then) })
				return
			}
			s.deleteKeys(now, keys[1:], then)
		})
	})
}

// removePending removes the entries whose keys are deleted from the pending list.
func (s *Submission) removePending(done []pendingSubmission) {
	s.get(pendingKey, func(now time.Duration, r StoreResult) {
		var p pendingList
		if r.Err != nil || json.Unmarshal(r.Entry.Value, &p) != nil {
			s.finish()
			return
		}
		remaining := slices.DeleteFunc(p.Entries, func(e pendingSubmission) bool {
			return slices.ContainsFunc(done, func(d pendingSubmission) bool {
				return d.Operation == e.Operation && d.Base == e.Base
			})
		})
		p.Entries = remaining
		c := StoreCall{Kind: StoreSwap, Key: pendingKey, Expected: r.Entry.Revision, Value: mustEncode(p)}
		s.call(c, func(now time.Duration, r StoreResult) {
			if r.Err != nil {
				s.retryLater(now, func(time.Duration) { s.removePending(done) })
				return
			}
			s.finish()
		})
	})
}
