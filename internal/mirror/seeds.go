package mirror

import (
	"context"
	"slices"
	"time"
)

// seedTime is how long after its start a host prefers the seeds to the store. Until then,
// the first host of a region has found itself and reads the store.
const seedTime = 3 * time.Second

// mayUseSeeds reports whether this process has started within seedTime, has read the store
// once, and other hosts are seeds. The first read does not wait for a seed: after the loss
// of all hosts each would have to send its whole copy to a third of the fleet.
func (s *Syncer) mayUseSeeds() bool {
	isSelf := func(src Source) bool { return src.Self }
	return len(s.Seeds) > 0 && time.Since(s.started) < seedTime && s.position().Revision > 0 && !slices.ContainsFunc(s.Seeds, isSelf)
}

// fetchSeeds fetches from the first seed that reads the store and reports whether there
// is one.
func (s *Syncer) fetchSeeds(ctx context.Context) bool {
	for _, seed := range s.Seeds {
		if time.Now().Before(s.suspects[seed.Name]) {
			continue
		}
		err := s.fetchPeer(ctx, seed)
		if err == nil {
			return true
		}
		s.suspect(seed.Name, err)
	}
	return false
}
