package control

import (
	"context"
	"fmt"
	randv2 "math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/shift"
	"github.com/galenabeam/galenabeam/internal/store"
)

// poolPrefix is the prefix of the lease resource names of pools.
const poolPrefix = "pool/"

// Timeouts of calls.
const (
	// storeTimeout bounds a call to the store other than a watch.
	storeTimeout = 2 * time.Second
	// renewTimeout bounds lease.renew and lease.changed.
	renewTimeout = time.Second
	// leaseTimeout bounds lease.message.
	leaseTimeout = 2 * time.Second
)

// Renew is the request of lease.renew: the holder's renewal with reports on its
// pools.
type Renew struct {
	Lease lease.RenewRequest `json:"lease"`
	Pools []peer.PoolDigest  `json:"pools,omitempty"`
	// Shift reports the sender's share of the shift caps.
	Shift *shift.Report `json:"shift,omitempty"`
	// Known holds the versions of the digests that the sender has, by region.
	Known map[string]peer.DigestVersion `json:"known,omitempty"`
	// Owners is the version of the pool assignment that the sender has, or 0
	// without one. See RenewReply.OwnersVersion.
	Owners uint64 `json:"owners"`
}

// RenewReply is the answer to Renew.
type RenewReply struct {
	Lease lease.RenewAnswer `json:"lease"`
	// Digests holds the region digests that the receiver does not have.
	Digests []peer.RegionDigest `json:"digests,omitempty"`
	// Shift is the receiver's share of the shift caps, if one is granted.
	Shift *shift.Grant `json:"shift,omitempty"`
	// Owners holds the owners of the region's pools by resource name. It is
	// omitted if OwnersVersion equals Renew.Owners.
	Owners map[string]lease.Ref `json:"owners,omitempty"`
	// OwnersVersion is a hash of the current pool assignment.
	OwnersVersion uint64 `json:"version"`
}

// leases is the lease state of the control goroutine.
type leases struct {
	lessor  *lease.Lessor
	holder  *lease.Holder
	replies map[uint64]chan RenewReply
	// request holds the renewal requests that await an answer, by call number.
	request map[uint64]Renew
	// owners holds the owners of pools that the primary last sent, by resource
	// name.
	owners        map[string]lease.Ref
	ownersVersion uint64
	pending       bool          // a renewal is in progress
	nextRenewal   time.Duration // time of the next renewal
	lastTick      time.Duration
	lessorKey     string // store key of the lessor's record
	// takeovers counts the pools that this process has taken over.
	takeovers uint64
}

func newLeases(self host.Info, seed int64) leases {
	return leases{
		lessor:    lease.New(lease.Config{}, self, randv2.New(randv2.NewPCG(uint64(seed), uint64(self.Incarnation)))),
		holder:    lease.NewHolder(lease.Ref{ID: self.ID, Incarnation: self.Incarnation}),
		replies:   map[uint64]chan RenewReply{},
		request:   map[uint64]Renew{},
		lessorKey: "/regions/" + self.Region + "/lessor",
	}
}

// stepLessor passes an event to the lessor and executes the resulting actions.
func (c *Control) stepLessor(now time.Duration, ev lease.Event) {
	for _, a := range c.leases.lessor.Step(now, ev, nil) {
		switch a := a.(type) {
		case lease.StoreGet:
			c.readLessorRecord(a.Call, storeTimeout, func(ctx context.Context) (store.Entry, error) { return c.Store.Get(ctx, c.leases.lessorKey) })
		case lease.StoreWatch:
			c.readLessorRecord(a.Call, 0, func(ctx context.Context) (store.Entry, error) { return c.Store.Watch(ctx, c.leases.lessorKey, a.After) })
		case lease.StoreCAS:
			c.swapLessorRecord(a)
		case lease.Send:
			c.sendLeaseMessage(a.Message)
		case lease.Reply:
			c.replyRenew(a)
		case lease.RoleChanged:
			c.Log.WithFields(logrus.Fields{"role": a.Role, "epoch": a.Epoch}).Info("lessor role changed")
			c.updateGranter(now)
			c.updateReplica(now)
		case lease.Granted:
			c.Log.WithFields(logrus.Fields{"resource": a.Resource, "holder": a.Holder.ID}).Info("lease granted")
			c.announceChange()
		case lease.Stopped:
			c.awaitsPoolRelease = true
		}
	}
}

// sendLeaseMessage sends a message to the lessor of another host, or to this
// process.
func (c *Control) sendLeaseMessage(m lease.Message) {
	to, ok := c.hostOf(m.To)
	if !ok {
		c.count("lease.unaddressed")
		return
	}
	c.async(func() {
		ctx, cancel := c.callContext(leaseTimeout)
		defer cancel()
		_ = c.Peers.Notify(ctx, to.RPCAddress, peer.MethodLeaseMessage, m)
	})
}

// hostOf returns where a process is reached: for another host, its latest known
// process. It returns false if no address is known, and for another process of
// this host.
func (c *Control) hostOf(r lease.Ref) (host.Info, bool) {
	if r.ID == c.Self.ID {
		return c.Self, r.Incarnation == c.Self.Incarnation
	}
	m, ok := c.member.Member(r.ID)
	return m.Info, ok && m.RPCAddress != ""
}

// LeaseMessage serves lease.message. The result is false if the control goroutine
// has ended; the error is always nil.
func (c *Control) LeaseMessage(_ context.Context, m lease.Message) (bool, error) {
	return c.post(func(now time.Duration) { c.stepLessor(now, lease.PeerMessage{Message: m}) }), nil
}

// Renew serves lease.renew. It returns an error if the lessor does not answer
// in time or this process is shutting down.
func (c *Control) Renew(ctx context.Context, r Renew) (RenewReply, error) {
	return awaitAnswer(ctx, c, c.leases.replies, func(now time.Duration, call uint64) {
		c.recordPoolReports(now, r)
		c.leases.request[call] = r
		c.stepLessor(now, lease.RenewReceived{Token: call, Request: r.Lease})
		if len(r.Lease.Released) > 0 {
			// Any host may get the released pool with its next renewal.
			c.announceChange()
		}
	})
}

func (c *Control) replyRenew(a lease.Reply) {
	now := c.Now()
	request := c.leases.request[a.Token]
	r := RenewReply{Lease: a.Answer, Digests: c.digestsFor(now, request.Known)}
	if !a.Answer.Refused {
		r.Shift = c.grantShares(now, request.Shift)
	}
	holders := c.leases.lessor.State().Holders
	if r.OwnersVersion = hashOwners(holders); r.OwnersVersion != request.Owners {
		r.Owners = holders
	}
	delete(c.leases.request, a.Token)
	deliverAnswer(c.leases.replies, a.Token, r)
}

// announceChange requests the region's hosts to renew at once, because the
// assignment of pools changes. If the message is lost, they renew at the regular
// time.
func (c *Control) announceChange() {
	for _, m := range c.member.Members() {
		if m.Incarnation == c.Self.Incarnation {
			c.leases.nextRenewal = 0
			continue
		}
		if m.RPCAddress == "" || m.Status == member.Gone {
			continue
		}
		c.async(func() {
			ctx, cancel := c.callContext(renewTimeout)
			defer cancel()
			_ = c.Peers.Notify(ctx, m.RPCAddress, peer.MethodLeaseChanged, true)
		})
	}
}

// LeaseChanged serves lease.changed: it renews this process's leases at once or,
// if a renewal is in progress, after that. The result is false if the control
// goroutine has ended; the error is always nil.
func (c *Control) LeaseChanged(context.Context, bool) (bool, error) {
	return c.post(func(now time.Duration) {
		c.leases.nextRenewal = now
		if !c.leases.pending {
			c.renew(now)
		}
	}), nil
}

// hashOwners returns a hash of an assignment of pools. It is a sum, since the
// order of the map is random.
func hashOwners(holders map[string]lease.Ref) uint64 {
	var v uint64
	for name, ref := range holders {
		v += xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", name, ref.ID, ref.Incarnation))
	}
	return v
}

// updateLessorMembers passes the members of the region, and the processes that
// have ended, to the lessor.
func (c *Control) updateLessorMembers(now time.Duration) {
	ev := lease.MembersChanged{Ended: c.endedProcesses()}
	for _, m := range c.member.Members() {
		if m.Incarnation == 0 || (m.Status != member.Live && m.Status != member.Leaving && m.Status != member.Suspect) {
			continue
		}
		ev.Members = append(ev.Members, lease.Member{Ref: lease.Ref{ID: m.ID, Incarnation: m.Incarnation},
			FailureDomain: m.FailureDomain, Leaving: m.Leaving || m.Status == member.Leaving})
	}
	c.stepLessor(now, ev)
}

// tickLeases ticks the lessor and renews this process's leases when due.
func (c *Control) tickLeases(now time.Duration) {
	if now-c.leases.lastTick >= lease.TickPeriod {
		c.leases.lastTick = now
		c.stepLessor(now, lease.Tick{})
	}
	if c.leases.pending || now < c.leases.nextRenewal {
		return
	}
	c.renew(now)
}

// renew sends a renewal request to the primary, if one is known.
func (c *Control) renew(now time.Duration) {
	primary, _ := c.leases.holder.Primary()
	if primary.IsZero() {
		if s := c.leases.lessor.State(); !s.Primary.IsZero() {
			c.leases.holder.ObservePrimary(s.Epoch, s.Primary)
			primary = s.Primary
		}
	}
	to, ok := c.hostOf(primary)
	c.leases.nextRenewal = now + c.leases.holder.Period()
	if !ok {
		return
	}
	c.leases.pending = true
	request := Renew{Lease: c.leases.holder.Request(now), Pools: c.poolDigests(), Shift: c.reportShares(now), Known: c.digestVersions(), Owners: c.leases.ownersVersion}
	c.async(func() {
		ctx, cancel := c.callContext(renewTimeout)
		defer cancel()
		var got RenewReply
		var err error
		if to.Incarnation == c.Self.Incarnation {
			got, err = c.Renew(ctx, request)
		} else {
			err = c.Peers.Call(ctx, to.RPCAddress, peer.MethodRenew, request, &got)
		}
		c.post(func(now time.Duration) {
			c.leases.pending = false
			if err != nil {
				c.count("lease.renew_failures")
				c.updateHolderPrimary()
				return
			}
			c.applyRenewal(now, got)
		})
	})
}

// updateHolderPrimary passes the primary that the local lessor knows to the
// holder.
func (c *Control) updateHolderPrimary() {
	if s := c.leases.lessor.State(); !s.Primary.IsZero() {
		c.leases.holder.ObservePrimary(s.Epoch, s.Primary)
	}
}

// applyRenewal applies the answer to a renewal: new expiry times of the leases,
// and pools gained and lost.
func (c *Control) applyRenewal(now time.Duration, r RenewReply) {
	changes := c.leases.holder.Answer(now, r.Lease)
	if !r.Lease.Primary.IsZero() {
		c.stepLessor(now, lease.PrimaryReported{Epoch: r.Lease.Epoch, Primary: r.Lease.Primary, Direct: !r.Lease.Refused})
	}
	if r.Owners != nil && !r.Lease.Refused {
		for name, ref := range c.leases.owners {
			if r.Owners[name] != ref {
				c.previousOwner[strings.TrimPrefix(name, poolPrefix)] = ref
			}
		}
		c.leases.owners, c.leases.ownersVersion, c.dirty = r.Owners, r.OwnersVersion, true
	}
	if r.Shift != nil && c.caps.gate != nil && c.caps.gate.applyGrant(now, *r.Shift) {
		c.leases.nextRenewal = now
	}
	for _, d := range r.Digests {
		c.recordDigest(now, d)
	}
	if changes.RenewAtOnce {
		c.leases.nextRenewal = now
	}
	for _, name := range changes.Lost {
		c.closePool(strings.TrimPrefix(name, poolPrefix))
	}
	for _, name := range changes.Gained {
		// Another host may have owned the pool after an earlier lease expired,
		// so that the pool is taken over anew.
		c.closePool(strings.TrimPrefix(name, poolPrefix))
	}
	for _, name := range changes.Release {
		c.closePool(strings.TrimPrefix(name, poolPrefix))
		c.leases.holder.Release(name)
	}
	c.startPools(now)
	for service, p := range c.Slots.Pools() {
		expiry, _ := c.leases.holder.Expiry(poolPrefix + service)
		p.SetLeaseEnd(expiry)
	}
	for service, t := range c.takeovers {
		expiry, _ := c.leases.holder.Expiry(poolPrefix + service)
		t.pool.SetLeaseEnd(expiry)
	}
	if len(changes.Release) > 0 {
		// The next owner can start only after the primary has received the release.
		c.renew(now)
	}
	c.dirty = c.dirty || len(changes.Gained)+len(changes.Lost)+len(changes.Release) > 0
}
