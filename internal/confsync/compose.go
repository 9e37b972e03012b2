package confsync

import "time"

// loadBaseText obtains the text of the base, from which the delta is computed.
func (s *Submission) loadBaseText(now time.Duration) {
	if s.head.Revision == 0 {
		s.compose(now, nil)
		return
	}
	if ChecksumOf(s.req.BaseText) == s.head.Checksum {
		s.compose(now, s.req.BaseText)
		return
	}
	s.readParts(now, s.head.Parts, map[string][]byte{}, func(now time.Duration, text []byte) {
		if text == nil {
			s.retryLater(now, s.readHead)
			return
		}
		s.compose(now, text)
	})
}

// compose builds the head to write and collects the keys that it makes obsolete:
// parts that it does not reuse and the history entry that exceeds HistoryRevisions.
func (s *Submission) compose(_ time.Duration, base []byte) {
	target := s.req.Base + 1
	parts, added := splitText(s.req.Text, s.head.Parts, target, s.req.Operation)
	s.next = Head{
		Revision: target, Checksum: ChecksumOf(s.req.Text), Bytes: len(s.req.Text), Parts: parts,
		Audit: s.req.Audit, Previous: s.head.Checksum,
	}
	own := AcceptedSubmission{target, s.req.Operation, s.req.Who, s.req.When}
	s.next.Recent = append([]AcceptedSubmission{own}, s.head.Recent...)
	s.next.Recent = s.next.Recent[:min(len(s.next.Recent), recentRevisions)]
	s.writes = added
	s.addDelta(base)
	s.garbage = nil
	for _, p := range s.head.Parts {
		if !s.next.references(p.Key) {
			s.garbage = append(s.garbage, p.Key)
		}
	}
	if target <= HistoryRevisions+1 {
		s.get(pendingKey, s.recordPending)
		return
	}
	old := target - HistoryRevisions - 1
	s.get(HistoryKey(old), func(now time.Duration, r StoreResult) {
		if r.Err == nil {
			s.garbage = append(s.garbage, HistoryKey(old))
			if h, err := DecodeHead(r.Entry.Value); err == nil {
				for _, p := range h.DeltaParts {
					s.garbage = append(s.garbage, p.Key)
				}
			}
		}
		s.get(pendingKey, s.recordPending)
	})
}

// addDelta adds the delta from the preceding revision, or from an empty text, to
// the head to write.
func (s *Submission) addDelta(base []byte) {
	delta, ok := Diff(base, s.req.Text)
	if !ok {
		return
	}
	if delta.size() <= inlineDeltaBytes {
		s.next.Delta = delta
		return
	}
	pieces := cutParts(mustEncode(delta), s.next.Revision, s.req.Operation, "delta")
	s.writes = append(s.writes, pieces...)
	for _, p := range pieces {
		s.next.DeltaParts = append(s.next.DeltaParts, p.Part)
	}
}
