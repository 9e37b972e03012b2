package peer

import (
	"github.com/galenabeam/galenabeam/internal/host"
)

// Methods of leases, configuration and region digests.
const (
	MethodRenew        = "lease.renew"
	MethodLeaseMessage = "lease.message"
	// MethodLeaseChanged notifies a lease holder that the assignment of pools has
	// changed, so that it renews at once.
	MethodLeaseChanged = "lease.changed"
	MethodDigest       = "region.digest"
	MethodPush         = "config.push"
	MethodPull         = "config.pull"
	MethodText         = "config.text"
)

// RankDigest is the free capacity of a pool for one rank: the expected wait for a
// slot, in milliseconds, and the number of free slots.
type RankDigest struct {
	Rank       string `json:"rank"`
	WaitMillis int64  `json:"wait_ms"`
	FreeSlots  int    `json:"free"`
}

// PoolDigest is the state of one pool as reported by its owner.
type PoolDigest struct {
	Service string       `json:"service"`
	Ranks   []RankDigest `json:"ranks"`
	// Slots is the number of undrained slots: all slots of the backend servers that
	// are neither draining nor removed, also of ejected ones or during a warm-up.
	Slots int `json:"slots"`
	// Settled means that no takeover of the pool is in progress: the owner knows
	// all slots that earlier owners granted.
	Settled bool `json:"settled,omitempty"`
}

// RegionDigest is the state of a region as its primary reports it to other regions.
type RegionDigest struct {
	Region string `json:"region"`
	// Epoch and Sequence order the digests of a region.
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"seq"`
	// AgeMillis is the time since the primary made the digest, as the sender knows it.
	AgeMillis int64 `json:"age_ms"`
	// Hosts are the entry hosts that take work. They are omitted if the sender
	// knows that the receiver has the hosts of HostsVersion.
	Hosts        []host.Info  `json:"hosts,omitempty"`
	HostsVersion uint64       `json:"hosts_version,omitempty"`
	Pools        []PoolDigest `json:"pools"`
}

// DigestVersion identifies the digest of a region that a host has, so that the
// sender can omit what the host has already.
type DigestVersion struct {
	Epoch        uint64 `json:"epoch"`
	Sequence     uint64 `json:"seq"`
	HostsVersion uint64 `json:"hosts_version"`
}

// Newer reports whether d replaces other, a digest of the same region.
func (d *RegionDigest) Newer(other *RegionDigest) bool {
	if d.Epoch != other.Epoch {
		return d.Epoch > other.Epoch
	}
	return d.Sequence > other.Sequence
}
