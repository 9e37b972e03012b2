package mirror

import "github.com/sirupsen/logrus"

// Stats describes what a Syncer has got from the store and from other hosts.
type Stats struct {
	// Position is that of the copy.
	Position Position
	// FullBatches counts the batches with all items, IgnoredBatches those that were
	// ignored because the copy was newer.
	FullBatches, IgnoredBatches int64
}

// Stats returns the statistics since the creation of the syncer.
func (s *Syncer) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Position = s.mirror.Position()
	return stats
}

// recordBatch updates the statistics with a batch that is about to be applied. It logs a
// new era, and the first of a series of ignored batches. The caller holds s.mu.
func (s *Syncer) recordBatch(b Batch, source string) {
	at := s.mirror.Position()
	fields := logrus.Fields{"from": source, "era": b.Era, "era_before": at.Era, "revision": b.Revision, "revision_before": at.Revision}
	if at.Revision > 0 && b.Era > at.Era {
		s.log.WithFields(fields).Warn("store was restored from an older copy")
	}
	if b.Full {
		s.stats.FullBatches++
	}
	ignored := b.Position().Before(at)
	if ignored {
		s.stats.IgnoredBatches++
		if !s.ignoring {
			s.log.WithFields(fields).Warn("changes of an earlier revision ignored")
		}
	}
	s.ignoring = ignored
}
