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

// Times of region digests.
const (
	// digestPeriod separates two digests that a lessor sends to a region.
	digestPeriod = time.Second
	// digestDelay is how long a new lessor waits before its first digest, so
	// that the owners of pools have renewed with it. A digest without a pool
	// means that the pool has no owner.
	digestDelay = 2 * time.Second
	// digestLimit is the age from which a digest is not used.
	digestLimit = 5 * time.Second
	// poolReportLimit is the age from which an owner's report is left out.
	poolReportLimit = 3 * time.Second
)

// digests is what is known about regions.
type digests struct {
	// byRegion holds the latest digest of each other region.
	byRegion map[string]knownDigest
	// pools holds the latest reports of this region's pool owners.
	pools map[string]knownPool
	// used tells which regions' digests are young enough to be used.
	used     map[string]bool
	sequence uint64
	sent     time.Duration
}

type knownDigest struct {
	digest peer.RegionDigest
	// made is when the digest was made, on this process's clock, at the latest.
	made time.Duration
}

type knownPool struct {
	digest peer.PoolDigest
	owner  host.Incarnation
	at     time.Duration
}

// learnPools notes what a pool owner reports with its renewal.
func (c *Control) learnPools(now time.Duration, r Renew) {
	for _, p := range r.Pools {
		c.digests.pools[p.Service] = knownPool{digest: p, owner: r.Lease.From.Incarnation, at: now}
	}
}

// poolDigests describes the pools that this process owns.
func (c *Control) poolDigests() []peer.PoolDigest {
	var out []peer.PoolDigest
	for service, p := range c.Slots.Pools() {
		_, takingOver := c.takeovers[service]
		d := peer.PoolDigest{Service: service, Settled: !takingOver, Slots: p.Usable()}
		for _, h := range p.Headroom() {
			d.Ranks = append(d.Ranks, peer.RankDigest{Rank: h.Rank, WaitMillis: h.Wait.Milliseconds(), FreeSlots: h.FreeSlots})
		}
		out = append(out, d)
	}
	return out
}

// learnDigest keeps a digest of another region if it is newer.
func (c *Control) learnDigest(now time.Duration, d peer.RegionDigest) {
	old, have := c.digests.byRegion[d.Region]
	if have && !d.Newer(&old.digest) {
		return
	}
	if len(d.Hosts) == 0 && d.HostsVersion != 0 {
		if d.HostsVersion != old.digest.HostsVersion {
			c.count("digest.hosts_missing")
			return
		}
		d.Hosts = old.digest.Hosts
	}
	k := knownDigest{digest: d, made: now - time.Duration(d.AgeMillis)*time.Millisecond}
	c.digests.byRegion[d.Region] = k
	c.Router.Observe(k.made, d)
	c.dirty = c.dirty || !slices.Equal(old.digest.Hosts, d.Hosts) || (have && now-old.made >= digestLimit)
}

// expireDigests publishes a new snapshot when the digest of a region has become
// too old to be used.
func (c *Control) expireDigests(now time.Duration) {
	for name, k := range c.digests.byRegion {
		if used := c.digests.used[name]; used != (now-k.made < digestLimit) {
			c.digests.used[name] = !used
			c.dirty = true
		}
	}
}

// digestsFor returns the digests that a host does not have, with their present
// age. Host lists are large and change rarely, so that a list that the host
// has is left out.
func (c *Control) digestsFor(now time.Duration, known map[string]peer.DigestVersion) []peer.RegionDigest {
	var out []peer.RegionDigest
	for name, k := range c.digests.byRegion {
		d := k.digest
		have := known[name]
		if have.Epoch == d.Epoch && have.Sequence == d.Sequence {
			continue
		}
		d.AgeMillis = (now - k.made).Milliseconds()
		if have.HostsVersion == d.HostsVersion {
			d.Hosts = nil
		}
		out = append(out, d)
	}
	return out
}

// knownDigests names the digests that this process has.
func (c *Control) knownDigests() map[string]peer.DigestVersion {
	out := make(map[string]peer.DigestVersion, len(c.digests.byRegion))
	for name, k := range c.digests.byRegion {
		out[name] = peer.DigestVersion{Epoch: k.digest.Epoch, Sequence: k.digest.Sequence, HostsVersion: k.digest.HostsVersion}
	}
	return out
}

// hostsVersion identifies a list of hosts. It is never zero, which stands for
// an unknown list.
func hostsVersion(hosts []host.Info) uint64 {
	h := xxhash.New()
	for _, v := range hosts {
		_, _ = fmt.Fprintf(h, "%s/%d/%s/%s/", v.ID, v.Incarnation, v.HTTPAddress, v.RPCAddress)
	}
	return max(1, h.Sum64())
}

// sendDigests tells one host of each other region about this one. Only the
// primary lessor does so. The hosts of this region get the digest with their
// next renewal.
func (c *Control) sendDigests(now time.Duration) {
	if c.leases.lessor.Role() != lease.Primary || now-c.caps.since < digestDelay || now-c.digests.sent < digestPeriod || c.config == nil {
		return
	}
	c.digests.sent = now
	c.digests.sequence++
	d := peer.RegionDigest{Region: c.Self.Region, Epoch: c.leases.lessor.State().Epoch, Sequence: c.digests.sequence, Hosts: c.workers()}
	d.HostsVersion = hostsVersion(d.Hosts)
	for _, s := range c.config.Services {
		if p, ok := c.digests.pools[s.Name]; ok && now-p.at < poolReportLimit {
			d.Pools = append(d.Pools, p.digest)
		}
	}
	c.learnDigest(now, d)
	for _, to := range c.digestTargets() {
		c.async(func() {
			ctx, cancel := c.callContext(digestPeriod)
			defer cancel()
			_ = c.Peers.Notify(ctx, to, peer.MethodDigest, d)
		})
	}
}

// digestTargets returns one address in each other region, at random, so that a
// host that does not answer is not asked again and again.
func (c *Control) digestTargets() []string {
	byRegion := map[string][]member.Listed{}
	for _, h := range c.listed {
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

// Digest serves region.digest. A host that is not the lessor passes it on.
func (c *Control) Digest(_ context.Context, d peer.RegionDigest) (bool, error) {
	return c.post(func(now time.Duration) {
		c.learnDigest(now, d)
		primary, _ := c.leases.holder.Primary()
		if primary.Incarnation == c.Self.Incarnation || primary.IsZero() {
			return
		}
		if to, ok := c.memberAt(primary); ok {
			c.async(func() {
				ctx, cancel := c.callContext(digestPeriod)
				defer cancel()
				_ = c.Peers.Notify(ctx, to.RPCAddress, peer.MethodDigest, d)
			})
		}
	}), nil
}
