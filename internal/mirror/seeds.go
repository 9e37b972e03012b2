package mirror

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Timing of the start of a host.
const (
	// seedTime is how long after its start a host prefers the seeds to the store. Until
	// then, the first host of a region has found itself and reads the store.
	seedTime = 3 * time.Second
	// seedWait is how long after its start a host waits for seeds that do not answer or
	// have no copy yet. The hosts of a fleet start within some 0.3 s of each other, and a
	// seed needs a few round trips to read the store.
	seedWait = 800 * time.Millisecond
)

// mayUseSeeds reports whether this process has started within seedTime and other hosts
// are seeds.
func (s *Syncer) mayUseSeeds() bool {
	isSelf := func(src Source) bool { return src.Self }
	return len(s.Seeds) > 0 && time.Since(s.started) < seedTime && !slices.ContainsFunc(s.Seeds, isSelf)
}

// fetchSeeds fetches from the first seed that reads the store. If there is none, wait
// reports whether one may do so soon.
func (s *Syncer) fetchSeeds(ctx context.Context) (fetched, wait bool) {
	waitEnd := s.started.Add(seedWait)
	wait = time.Now().Before(waitEnd)
	seedCtx, cancel := context.WithDeadline(ctx, s.started.Add(seedTime))
	if wait {
		cancel()
		seedCtx, cancel = context.WithDeadline(ctx, waitEnd)
	}
	defer cancel()
	for _, seed := range s.Seeds {
		if time.Now().Before(s.suspects[seed.Name]) {
			continue
		}
		err := s.fetchPeer(seedCtx, seed)
		if err == nil {
			return true, false
		}
		if errors.Is(err, errStale) {
			wait = false // it follows another host
		}
		if time.Now().After(waitEnd) {
			s.suspect(seed.Name, err)
		}
	}
	return false, wait
}
