package peer

import (
	"github.com/galenabeam/galenabeam/internal/host"
)

// Methods of leases, configuration and region digests.
const (
	MethodRenew        = "lease.renew"
	MethodLeaseMessage = "lease.message"
	// MethodLeaseChanged tells a holder that the assignment of pools has changed, so
	// that it renews at once.
	MethodLeaseChanged = "lease.changed"
	MethodDigest       = "region.digest"
	MethodPush         = "config.push"
	MethodPull         = "config.pull"
	MethodText         = "config.text"
)

// RankDigest is the headroom of a pool for one rank.
type RankDigest struct {
	Rank       string `json:"rank"`
	WaitMillis int64  `json:"wait_ms"`
	FreeSlots  int    `json:"free"`
}

// PoolDigest is the state of one pool as its owner sees it.
type PoolDigest struct {
	Service string       `json:"service"`
	Ranks   []RankDigest `json:"ranks"`
	// Slots is the number of slots that may be granted at present. It is zero
	// when every backend server is leaving.
	Slots int `json:"slots"`
	// Settled tells that the owner knows all slots that earlier owners granted.
	Settled bool `json:"settled,omitempty"`
}

// RegionDigest is what a region tells the others about itself.
type RegionDigest struct {
	Region string `json:"region"`
	// Epoch and Sequence order the digests of a region.
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"seq"`
	// AgeMillis is the time since the lessor made the digest, as known to the sender.
	AgeMillis int64 `json:"age_ms"`
	// Hosts are the entry hosts that take work. A sender that knows that the
	// receiver has the hosts of HostsVersion leaves them out.
	Hosts        []host.Info  `json:"hosts,omitempty"`
	HostsVersion uint64       `json:"hosts_version,omitempty"`
	Pools        []PoolDigest `json:"pools"`
}

// DigestVersion names the digest of a region that a host has.
type DigestVersion struct {
	Epoch        uint64 `json:"epoch"`
	Sequence     uint64 `json:"seq"`
	HostsVersion uint64 `json:"hosts_version"`
}

// Newer tells whether d replaces other.
func (d *RegionDigest) Newer(other *RegionDigest) bool {
	if d.Epoch != other.Epoch {
		return d.Epoch > other.Epoch
	}
	return d.Sequence > other.Sequence
}
