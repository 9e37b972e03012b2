package control

import (
	"context"
	"sync"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// gatherTimeout is half of the time limit of gather, whose receivers may request
// the state of other hosts in turn.
const gatherTimeout = time.Second

// RegionState serves region.state.
func (c *Control) RegionState(ctx context.Context, q peer.StateQuery) (peer.StateReply, error) {
	self, others := c.hostState()
	reply := peer.StateReply{Hosts: []peer.HostState{self}}
	if q.Gather {
		reply.Hosts = append(reply.Hosts, c.gather(ctx, others, false)...)
	}
	return reply, nil
}

// FleetState returns the state of the hosts of all regions. It asks all hosts of
// this region, and one host of each other region about that region. Hosts that
// do not answer are omitted.
func (c *Control) FleetState(ctx context.Context) []peer.HostState {
	self, others := c.hostState()
	out := append([]peer.HostState{self}, c.gather(ctx, others, false)...)
	var remote []host.Info
	for name, r := range c.Views.Load().Regions {
		if name != c.Self.Region && len(r.Hosts) > 0 {
			remote = append(remote, r.Hosts[0])
		}
	}
	return append(out, c.gather(ctx, remote, true)...)
}

// gather requests the state of hosts concurrently and omits those that do not
// answer. With regions, each of them also reports the other hosts of its region.
func (c *Control) gather(ctx context.Context, hosts []host.Info, regions bool) []peer.HostState {
	var mu sync.Mutex
	var out []peer.HostState
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, 2*gatherTimeout)
	defer cancel()
	for _, h := range hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var reply peer.StateReply
			if err := c.Peers.Call(ctx, h.RPCAddress, peer.MethodState, peer.StateQuery{Gather: regions}, &reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, reply.Hosts...)
		}()
	}
	wg.Wait()
	return out
}

// hostState returns the state of this host, and the known members of its region
// without this process.
func (c *Control) hostState() (peer.HostState, []host.Info) {
	s := peer.HostState{Host: c.Self}
	var others []host.Info
	done := make(chan struct{})
	c.post(func(now time.Duration) {
		defer close(done)
		s.Status = string(c.member.Self().Status)
		s.Revision = c.revision
		if role := c.leases.lessor.Role(); role != lease.Follower {
			s.Lessor = string(role)
		}
		s.Caps = c.capStates(now)
		for _, m := range c.member.Members() {
			if m.Incarnation != c.Self.Incarnation && m.RPCAddress != "" && m.Incarnation != 0 {
				others = append(others, m.Info)
			}
		}
	})
	select {
	case <-done:
	case <-c.done:
	case <-time.After(stateTimeout):
		return peer.HostState{Host: c.Self}, nil
	}
	for _, p := range c.Slots.Pools() {
		s.Pools = append(s.Pools, p.State())
	}
	return s, others
}

// capStates returns the use of the caps on shifts into this region if this
// process is the primary, and nil otherwise.
func (c *Control) capStates(now time.Duration) []peer.CapState {
	g := c.caps.granter
	if g == nil {
		return nil
	}
	holders := map[string][]peer.CapHolder{}
	for _, h := range g.State(now).Holders {
		for _, o := range h.Granted {
			if o.Concurrent > 0 || o.BytesPerSecond > 0 {
				holders[o.Origin] = append(holders[o.Origin], peer.CapHolder{Holder: h.Holder, Concurrent: o.Concurrent, BytesPerSecond: o.BytesPerSecond})
			}
		}
	}
	var out []peer.CapState
	for _, o := range g.Origins(now) {
		out = append(out, peer.CapState{Origin: o.Cap.Origin, Concurrent: o.Cap.Concurrent, BytesPerSecond: o.Cap.BytesPerSecond,
			Used: o.Peak, Holders: holders[o.Cap.Origin]})
	}
	return out
}
