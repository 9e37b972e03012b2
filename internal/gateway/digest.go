package gateway

import (
	"context"
	"time"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
)

// outgoingDigest is a digest with the peer addresses of its receivers.
type outgoingDigest struct {
	digest    dispatch.Digest
	receivers []string
}

// Run sends digests to other dispatchers, saves the pools' knowledge and maintains all
// pools (dispatch.Pool.Maintain) until ctx is done. It returns nil.
func (sel *Selector) Run(ctx context.Context) error {
	ticker := time.NewTicker(digestCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		sel.saveKnowledge(ctx)
		sel.logPaceEvents()
		for _, o := range sel.dueDigests() {
			for _, address := range o.receivers {
				go sel.sendDigest(ctx, address, o.digest)
			}
		}
	}
}

func (sel *Selector) sendDigest(ctx context.Context, address string, g dispatch.Digest) {
	nctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := sel.peerClient.Notify(nctx, address, MethodDigest, g); err != nil {
		sel.log.WithError(err).WithField("address", address).Debug("failed to send a digest")
	}
}

// dueDigests returns the due digests of the shared pools. It also runs the periodic
// maintenance of all pools.
func (sel *Selector) dueDigests() []outgoingDigest {
	s := sel.snapshot.Load()
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.now()
	var list []outgoingDigest
	for _, ps := range sel.fallbackPools {
		ps.pool.Maintain(now)
	}
	for service, ps := range sel.sharedPools {
		ps.pool.Maintain(now)
		if s == nil || now-ps.lastUsed > poolIdle {
			continue
		}
		if now-ps.lastDigest < ps.minDigestInterval {
			continue
		}
		g := ps.pool.Digest(now)
		if len(g.InFlight) == 0 && len(g.RequestedObjects) == 0 && len(g.Leaving) == 0 && len(g.Pace) == 0 && now-ps.lastDigest < idleDigestPeriod {
			continue
		}
		ps.lastDigest = now
		g.Service = service
		ps.minDigestInterval = digestInterval(g)
		list = append(list, outgoingDigest{digest: g, receivers: sel.digestReceivers(s, service)})
	}
	return list
}

// digestInterval returns the shortest time until the next digest, by the size of the
// last one. For a pool of few servers, digestCheckPeriod is longer.
func digestInterval(g dispatch.Digest) time.Duration {
	size := 0
	for id := range g.InFlight {
		size += len(id) + countOverheadBytes
	}
	for _, o := range g.RequestedObjects {
		size += len(o.Server) + len(o.Key) + objectOverheadBytes
	}
	for _, l := range g.Leaving {
		size += len(l.Server) + leavingOverheadBytes
	}
	for id := range g.Pace {
		size += len(id) + countOverheadBytes
	}
	return min(time.Duration(size)*time.Second/digestRate, maxDigestPeriod)
}

const (
	// countOverheadBytes is the size of the JSON around an entry of Digest.InFlight or
	// Digest.Pace.
	countOverheadBytes = 6
	// objectOverheadBytes is the size of the JSON around an entry of
	// Digest.RequestedObjects.
	objectOverheadBytes = 24
	// leavingOverheadBytes is the size of the JSON around an entry of Digest.Leaving.
	leavingOverheadBytes = 52
)

// digestReceivers returns the peer addresses of each region's first dispatcher or, if
// that is this host, of its successor.
func (sel *Selector) digestReceivers(s *fleet.Snapshot, service string) []string {
	regions := map[string]bool{}
	for _, h := range s.Hosts {
		regions[h.Region] = true
	}
	var addresses []string
	for region := range regions {
		for _, h := range s.Dispatchers(region, service) {
			if h.Name != sel.self.Name {
				addresses = append(addresses, h.PeerAddress)
				break
			}
		}
	}
	return addresses
}
