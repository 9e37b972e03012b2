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

// poolPrefix starts the names of resources that are pools.
const poolPrefix = "pool/"

// Time limits of calls for leases.
const (
	storeTimeout = 2 * time.Second
	renewTimeout = time.Second
	leaseTimeout = 2 * time.Second
)

// Renew is the content of lease.renew: the holder's request and what the
// lessor needs to know about its pools.
type Renew struct {
	Lease lease.RenewRequest `json:"lease"`
	Pools []peer.PoolDigest  `json:"pools,omitempty"`
	// Shift reports the sender's share of the caps on shifts.
	Shift *shift.Report `json:"shift,omitempty"`
	// Known names the digests that the sender has, by region.
	Known map[string]peer.DigestVersion `json:"known,omitempty"`
	// Owners is the version of the owners that the sender knows.
	Owners uint64 `json:"owners"`
}

// Renewed is the answer to Renew, with the digests of other regions.
type Renewed struct {
	Lease   lease.RenewAnswer   `json:"lease"`
	Digests []peer.RegionDigest `json:"digests,omitempty"`
	Shift   *shift.Grant        `json:"shift,omitempty"`
	// Owners names the owners of the region's pools when their version differs
	// from the sender's.
	Owners  map[string]lease.Ref `json:"owners,omitempty"`
	Version uint64               `json:"version"`
}

// leases is the state of leases in the control goroutine.
type leases struct {
	lessor *lease.Lessor
	holder *lease.Holder
	renews map[uint64]chan Renewed
	// asked holds the waiting requests.
	asked map[uint64]Renew
	// owners names the owners of pools as the primary last told.
	owners  map[string]lease.Ref
	version uint64
	pending bool          // a renewal is in progress
	due     time.Duration // time of the next renewal
	ticked  time.Duration
	key     string
	// takeovers counts the pools that this process has taken over.
	takeovers uint64
}

func newLeases(self host.Info, seed int64) leases {
	return leases{
		lessor: lease.New(lease.Config{}, self, randv2.New(randv2.NewPCG(uint64(seed), uint64(self.Incarnation)))),
		holder: lease.NewHolder(lease.Ref{ID: self.ID, Incarnation: self.Incarnation}),
		renews: map[uint64]chan Renewed{},
		asked:  map[uint64]Renew{},
		key:    "/regions/" + self.Region + "/lessor",
	}
}

// stepLessor feeds the lessor and carries out its actions.
func (c *Control) stepLessor(now time.Duration, ev lease.Event) {
	for _, a := range c.leases.lessor.Step(now, ev, nil) {
		switch a := a.(type) {
		case lease.StoreGet:
			c.storeCall(a.Call, storeTimeout, func(ctx context.Context) (store.Entry, error) { return c.Store.Get(ctx, c.leases.key) })
		case lease.StoreWatch:
			c.storeCall(a.Call, 0, func(ctx context.Context) (store.Entry, error) { return c.Store.Watch(ctx, c.leases.key, a.After) })
		case lease.StoreCAS:
			c.storeCAS(a)
		case lease.Send:
			c.sendLease(a.Message)
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
			c.leaseStopped = true
		}
	}
}

// sendLease sends a message to another lessor candidate, or to this process.
func (c *Control) sendLease(m lease.Message) {
	to, ok := c.memberAt(m.To)
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

// memberAt returns where a run of the daemon is reached.
func (c *Control) memberAt(r lease.Ref) (host.Info, bool) {
	if r.ID == c.Self.ID {
		return c.Self, r.Incarnation == c.Self.Incarnation
	}
	m, ok := c.member.Member(r.ID)
	return m.Info, ok && m.RPCAddress != ""
}

// LeaseMessage serves lease.message.
func (c *Control) LeaseMessage(_ context.Context, m lease.Message) (bool, error) {
	return c.post(func(now time.Duration) { c.stepLessor(now, lease.PeerMessage{Message: m}) }), nil
}

// Renew serves lease.renew.
func (c *Control) Renew(ctx context.Context, r Renew) (Renewed, error) {
	return ask(ctx, c, c.leases.renews, func(now time.Duration, call uint64) {
		c.learnPools(now, r)
		c.leases.asked[call] = r
		c.stepLessor(now, lease.RenewReceived{Token: call, Request: r.Lease})
		if len(r.Lease.Released) > 0 {
			// A released pool can be granted with the next renewal of any host.
			c.announceChange()
		}
	})
}

func (c *Control) replyRenew(a lease.Reply) {
	now := c.Now()
	asked := c.leases.asked[a.Token]
	r := Renewed{Lease: a.Answer, Digests: c.digestsFor(now, asked.Known)}
	if !a.Answer.Refused {
		r.Shift = c.grantShares(now, asked.Shift)
	}
	holders := c.leases.lessor.State().Holders
	if r.Version = ownersVersion(holders); r.Version != asked.Owners {
		r.Owners = holders
	}
	delete(c.leases.asked, a.Token)
	answer(c.leases.renews, a.Token, r)
}

// announceChange tells the region's hosts to renew, because a pool has a new
// owner. The message only shortens the wait until their next renewal.
func (c *Control) announceChange() {
	for _, m := range c.member.Members() {
		if m.Incarnation == c.Self.Incarnation {
			c.leases.due = 0
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

// Changed serves lease.changed.
func (c *Control) Changed(context.Context, bool) (bool, error) {
	return c.post(func(now time.Duration) {
		c.leases.due = now
		if !c.leases.pending {
			c.renew(now)
		}
	}), nil
}

// ownersVersion identifies an assignment of pools.
func ownersVersion(holders map[string]lease.Ref) uint64 {
	var v uint64
	for name, ref := range holders {
		v += xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", name, ref.ID, ref.Incarnation))
	}
	return v
}

// leaseMembers tells the lessor who is in the region.
func (c *Control) leaseMembers(now time.Duration) {
	ev := lease.MembersChanged{Ended: c.ended()}
	for _, m := range c.member.Members() {
		if m.Incarnation == 0 || (m.Status != member.Live && m.Status != member.Leaving && m.Status != member.Suspect) {
			continue
		}
		ev.Members = append(ev.Members, lease.Member{Ref: lease.Ref{ID: m.ID, Incarnation: m.Incarnation},
			FailureDomain: m.FailureDomain, Leaving: m.Leaving || m.Status == member.Leaving})
	}
	c.stepLessor(now, ev)
}

// tickLeases passes time to the lessor and renews this process's leases.
func (c *Control) tickLeases(now time.Duration) {
	if now-c.leases.ticked >= lease.TickPeriod {
		c.leases.ticked = now
		c.stepLessor(now, lease.Tick{})
	}
	if c.leases.pending || now < c.leases.due {
		return
	}
	c.renew(now)
}

// renew sends the holder's request to the primary lessor.
func (c *Control) renew(now time.Duration) {
	primary, _ := c.leases.holder.Primary()
	if primary.IsZero() {
		if s := c.leases.lessor.State(); !s.Primary.IsZero() {
			c.leases.holder.ObservePrimary(s.Epoch, s.Primary)
			primary = s.Primary
		}
	}
	to, ok := c.memberAt(primary)
	c.leases.due = now + c.leases.holder.Period()
	if !ok {
		return
	}
	c.leases.pending = true
	request := Renew{Lease: c.leases.holder.Request(now), Pools: c.poolDigests(), Shift: c.reportShares(now), Known: c.knownDigests(), Owners: c.leases.version}
	c.async(func() {
		ctx, cancel := c.callContext(renewTimeout)
		defer cancel()
		var got Renewed
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
				c.learnPrimary()
				return
			}
			c.renewed(now, got)
		})
	})
}

// learnPrimary tells the holder of a lessor that this process has heard of.
func (c *Control) learnPrimary() {
	if s := c.leases.lessor.State(); !s.Primary.IsZero() {
		c.leases.holder.ObservePrimary(s.Epoch, s.Primary)
	}
}

// renewed applies an answer: new limits of the pools, and pools gained and lost.
func (c *Control) renewed(now time.Duration, r Renewed) {
	changes := c.leases.holder.Answer(now, r.Lease)
	if !r.Lease.Primary.IsZero() {
		c.stepLessor(now, lease.PrimaryReported{Epoch: r.Lease.Epoch, Primary: r.Lease.Primary, Direct: !r.Lease.Refused})
	}
	if r.Owners != nil && !r.Lease.Refused {
		for name, ref := range c.leases.owners {
			if r.Owners[name] != ref {
				c.previous[strings.TrimPrefix(name, poolPrefix)] = ref
			}
		}
		c.leases.owners, c.leases.version, c.dirty = r.Owners, r.Version, true
	}
	if r.Shift != nil && c.caps.gate != nil && c.caps.gate.apply(now, *r.Shift) {
		c.leases.due = now
	}
	for _, d := range r.Digests {
		c.learnDigest(now, d)
	}
	if changes.RenewAtOnce {
		c.leases.due = now
	}
	for _, name := range changes.Lost {
		c.losePool(strings.TrimPrefix(name, poolPrefix))
	}
	for _, name := range changes.Gained {
		// A lease that lapsed before it was renewed may have been used by
		// another owner, so that the pool starts anew.
		c.losePool(strings.TrimPrefix(name, poolPrefix))
	}
	for _, name := range changes.Release {
		c.losePool(strings.TrimPrefix(name, poolPrefix))
		c.leases.holder.Release(name)
	}
	c.startPools(now)
	for service, p := range c.Slots.Pools() {
		limit, _ := c.leases.holder.Expiry(poolPrefix + service)
		p.SetLimit(limit)
	}
	for service, t := range c.takeovers {
		limit, _ := c.leases.holder.Expiry(poolPrefix + service)
		t.pool.SetLimit(limit)
	}
	if len(changes.Release) > 0 {
		// The next owner can only begin once the release is known.
		c.renew(now)
	}
	c.dirty = c.dirty || len(changes.Gained)+len(changes.Lost)+len(changes.Release) > 0
}
