package mirror

import (
	"context"
	"time"
)

// HandleFetch serves MethodFetch. It waits for a change after the revision, for
// p.WaitMillis but at most 1 s, and returns at once if this host does not read the
// store, or if its copy is of another era.
func (s *Syncer) HandleFetch(ctx context.Context, p FetchParams) (Answer, error) {
	wait := min(time.Duration(p.WaitMillis)*time.Millisecond, maxFetchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		shared, meta, updated := s.answerAfter(Position{p.Era, p.After})
		b := shared.batch
		if expired || !meta.Direct || b.Era != p.Era || (len(b.Items) > 0 || b.Unchanged != nil) && b.Revision > p.After {
			a, err := shared.answer()
			a.Age, a.DeferRemovals, a.Direct = meta.Age, meta.DeferRemovals, meta.Direct
			return a, err
		}
		select {
		case <-updated:
		case <-timer.C:
			// Compute the answer anew: its age must include the wait.
			expired = true
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
}

// answerAfter returns the changes after a position, a batch with only their Age,
// DeferRemovals and Direct, and the channel updated.
func (s *Syncer) answerAfter(after Position) (*sharedAnswer, Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Era < s.mirror.Position().Era {
		after = Position{} // all hosts of earlier eras get the same full batch
	}
	p := s.answers[after]
	if p == nil {
		p = &sharedAnswer{batch: s.mirror.ChangesSince(after)}
		s.answers[after] = p
	}
	meta := Batch{Age: neverConfirmedAge, DeferRemovals: max(time.Until(s.deferUntil), 0), Direct: s.direct}
	if !s.confirmed.IsZero() {
		meta.Age = time.Since(s.confirmed)
	}
	return p, meta, s.updated
}
