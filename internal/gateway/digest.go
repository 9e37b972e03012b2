package gateway

import (
	"context"
	"time"

	"github.com/galenabeam/galenabeam/internal/dispatch"
	"github.com/galenabeam/galenabeam/internal/fleet"
)

// outgoing is a digest with its receivers.
type outgoing struct {
	digest dispatch.Digest
	to     []string
}

// Run exchanges digests with other dispatchers until ctx is done.
func (d *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(digestPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d.save(ctx)
		for _, o := range d.digests() {
			for _, address := range o.to {
				go d.send(ctx, address, o.digest)
			}
		}
	}
}

func (d *Scheduler) send(ctx context.Context, address string, g dispatch.Digest) {
	nctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := d.caller.Notify(nctx, address, MethodDigest, g); err != nil {
		d.log.WithError(err).WithField("address", address).Debug("digest not sent")
	}
}

func (d *Scheduler) digests() []outgoing {
	s := d.view.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var list []outgoing
	for _, ps := range d.alone {
		ps.pool.Maintain(now)
	}
	for service, ps := range d.shared {
		ps.pool.Maintain(now)
		if s == nil || now-ps.used > poolIdle {
			continue
		}
		if now-ps.digested < ps.digestPeriod {
			continue
		}
		g := ps.pool.Digest()
		if len(g.InFlight) == 0 && len(g.Warmed) == 0 && now-ps.digested < idleDigest {
			continue
		}
		ps.digested = now
		g.Service = service
		ps.digestPeriod = pauseAfter(g)
		list = append(list, outgoing{digest: g, to: d.receivers(s, service)})
	}
	return list
}

// pauseAfter returns the time until the next digest after one of the given size.
// The period is that of the ticker for a pool of few servers.
func pauseAfter(g dispatch.Digest) time.Duration {
	size := 0
	for id := range g.InFlight {
		size += len(id) + entryBytes
	}
	for _, w := range g.Warmed {
		size += len(w.Server) + len(w.Key) + warmthBytes
	}
	return min(time.Duration(size)*time.Second/digestRate, maxDigestPeriod)
}

// entryBytes and warmthBytes are the bytes of JSON around a count and a warmth.
const entryBytes, warmthBytes = 6, 24

// receivers are the first dispatchers of the other regions and the one that
// follows this host in its own.
func (d *Scheduler) receivers(s *fleet.Snapshot, service string) []string {
	regions := map[string]bool{}
	for _, h := range s.Hosts {
		regions[h.Region] = true
	}
	var to []string
	for region := range regions {
		for _, h := range s.Dispatchers(region, service) {
			if h.Name != d.self.Name {
				to = append(to, h.Peer)
				break
			}
		}
	}
	return to
}
