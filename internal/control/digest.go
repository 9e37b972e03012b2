package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// Timing of region digests.
const (
	// digestPeriod is the time between two digests that a primary sends to a
	// region, and the timeout of sending one.
	digestPeriod = time.Second
	// firstDigestDelay is the delay of a new primary's first digest, so
	// that the owners of pools renew with it before: a pool that a digest lacks
	// has no owner.
	firstDigestDelay = 2 * time.Second
	// maxDigestAge is the age from which a digest is omitted from snapshots.
	maxDigestAge = 5 * time.Second
	// maxPoolReportAge is the age from which a pool owner's report is ignored.
	maxPoolReportAge = 3 * time.Second
)

// digests holds the peer.RegionDigest of all regions and the reports of this
// region's pool owners.
type digests struct {
	// byRegion holds the latest digest of each region, this one included.
	byRegion map[string]receivedDigest
	// pools holds the latest report on each pool of this region, by service.
	pools map[string]poolReport
	// fresh marks the regions whose digest is younger than maxDigestAge.
	fresh    map[string]bool
	sequence uint64
	lastSent time.Duration
}

type receivedDigest struct {
	digest peer.RegionDigest
	// madeAt is the latest time at which the digest can have been created, on
	// this process's clock.
	madeAt time.Duration
}

type poolReport struct {
	digest     peer.PoolDigest
	owner      host.Incarnation
	receivedAt time.Duration
}

// recordPoolReports stores the pool reports of a renewal request.
func (c *Control) recordPoolReports(now time.Duration, r Renew) {
	for _, p := range r.Pools {
		c.digests.pools[p.Service] = poolReport{digest: p, owner: r.Lease.From.Incarnation, receivedAt: now}
	}
}

// poolDigests returns the digests of the pools that this process owns.
func (c *Control) poolDigests() []peer.PoolDigest {
	var out []peer.PoolDigest
	for service, p := range c.Slots.Pools() {
		_, takingOver := c.takeovers[service]
		d := peer.PoolDigest{Service: service, Settled: !takingOver, Slots: p.ConfiguredSlots()}
		for _, h := range p.Headroom() {
			d.Ranks = append(d.Ranks, peer.RankDigest{Rank: h.Rank, WaitMillis: h.Wait.Milliseconds(), FreeSlots: h.FreeSlots})
		}
		out = append(out, d)
	}
	return out
}

// recordDigest stores a digest if it is newer than the stored one of its region.
// A digest without hosts refers to the stored list of the same version, and is
// dropped without it.
func (c *Control) recordDigest(now time.Duration, d peer.RegionDigest) {
	old, exists := c.digests.byRegion[d.Region]
	if exists && !d.Newer(&old.digest) {
		return
	}
	if len(d.Hosts) == 0 && d.HostsVersion != 0 {
		if d.HostsVersion != old.digest.HostsVersion {
			c.count("digest.hosts_missing")
			return
		}
		d.Hosts = old.digest.Hosts
	}
	k := receivedDigest{digest: d, madeAt: now - time.Duration(d.AgeMillis)*time.Millisecond}
	c.digests.byRegion[d.Region] = k
	c.Router.Observe(k.madeAt, d)
	c.dirty = c.dirty || !slices.Equal(old.digest.Hosts, d.Hosts) || (exists && now-old.madeAt >= maxDigestAge)
}

// expireDigests requests a new snapshot when the digest of a region reaches
// maxDigestAge, or is fresh again.
func (c *Control) expireDigests(now time.Duration) {
	for name, k := range c.digests.byRegion {
		if fresh := c.digests.fresh[name]; fresh != (now-k.madeAt < maxDigestAge) {
			c.digests.fresh[name] = !fresh
			c.dirty = true
		}
	}
}

// digestsFor returns the digests that a host does not have, with their current
// age. known holds the versions that it has, by region. Host lists are large and
// change rarely, so a list that the host has is omitted.
func (c *Control) digestsFor(now time.Duration, known map[string]peer.DigestVersion) []peer.RegionDigest {
	var out []peer.RegionDigest
	for name, k := range c.digests.byRegion {
		d := k.digest
		theirs := known[name]
		if theirs.Epoch == d.Epoch && theirs.Sequence == d.Sequence {
			continue
		}
		d.AgeMillis = (now - k.madeAt).Milliseconds()
		if theirs.HostsVersion == d.HostsVersion {
			d.Hosts = nil
		}
		out = append(out, d)
	}
	return out
}

// digestVersions returns the versions of the stored digests by region.
func (c *Control) digestVersions() map[string]peer.DigestVersion {
	out := make(map[string]peer.DigestVersion, len(c.digests.byRegion))
	for name, k := range c.digests.byRegion {
		out[name] = peer.DigestVersion{Epoch: k.digest.Epoch, Sequence: k.digest.Sequence, HostsVersion: k.digest.HostsVersion}
	}
	return out
}

// hostsVersion returns a hash of a list of hosts. It is never zero, which stands
// for an unknown list.
func hostsVersion(hosts []host.Info) uint64 {
	h := xxhash.New()
	for _, v := range hosts {
		_, _ = fmt.Fprintf(h, "%s/%d/%s/%s/", v.ID, v.Incarnation, v.HTTPAddress, v.RPCAddress)
	}
	return max(1, h.Sum64())
}

// sendDigests sends this region's digest to one host of each other region if
// this process is the primary. The hosts of this region get the digest
// with their next renewal.
func (c *Control) sendDigests(now time.Duration) {
	if c.leases.lessor.Role() != lease.Primary || now-c.caps.primarySince < firstDigestDelay || now-c.digests.lastSent < digestPeriod || c.config == nil {
		return
	}
	c.digests.lastSent = now
	c.digests.sequence++
	d := peer.RegionDigest{Region: c.Self.Region, Epoch: c.leases.lessor.State().Epoch, Sequence: c.digests.sequence, Hosts: c.hostsTakingWork()}
	d.HostsVersion = hostsVersion(d.Hosts)
	for _, s := range c.config.Services {
		if p, ok := c.digests.pools[s.Name]; ok && now-p.receivedAt < maxPoolReportAge {
			d.Pools = append(d.Pools, p.digest)
		}
	}
	c.recordDigest(now, d)
	for _, to := range c.digestTargets() {
		c.async(func() {
			ctx, cancel := c.callContext(digestPeriod)
			defer cancel()
			_ = c.Peers.Notify(ctx, to, peer.MethodDigest, d)
		})
	}
}

// digestTargets returns the address of a random host in each other region, so
// that an unresponsive host is not selected every time.
func (c *Control) digestTargets() []string {
	byRegion := map[string][]member.Listed{}
	for _, h := range c.listedHosts {
		if h.Region != c.Self.Region {
			byRegion[h.Region] = append(byRegion[h.Region], h)
		}
	}
	var out []string
	for _, r := range c.config.Regions {
		if hosts := byRegion[r.Name]; len(hosts) > 0 {
			out = append(out, hosts[c.rng.Intn(len(hosts))].RPCAddress)
		}
	}
	return out
}

// Digest serves region.digest. A host that is not the primary forwards the
// digest to it. The result is false if the control goroutine has ended; the error
// is always nil.
func (c *Control) Digest(_ context.Context, d peer.RegionDigest) (bool, error) {
	return c.post(func(now time.Duration) {
		c.recordDigest(now, d)
		primary, _ := c.leases.holder.Primary()
		if primary.Incarnation == c.Self.Incarnation || primary.IsZero() {
			return
		}
		if to, ok := c.hostOf(primary); ok {
			c.async(func() {
				ctx, cancel := c.callContext(digestPeriod)
				defer cancel()
				_ = c.Peers.Notify(ctx, to.RPCAddress, peer.MethodDigest, d)
			})
		}
	}), nil
}
