package daemon

import (
	"context"

	"github.com/galenabeam/galenabeam/internal/adapter/rpc"
	"github.com/galenabeam/galenabeam/internal/control"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
)

func (d *Daemon) registerPeerMethods() {
	rpc.Handle(d.rpc, peer.MethodAcquire, func(ctx context.Context, a peer.Acquire) (peer.AcquireReply, error) {
		p, ok := d.slots.Local(a.Service)
		if !ok {
			return peer.AcquireReply{Refusal: peer.Refusal{Reason: outcome.ReasonNoOwner, RetryAfterMillis: 200}}, nil
		}
		return p.Acquire(ctx, a), nil
	})
	rpc.Handle(d.rpc, peer.MethodCancel, func(_ context.Context, c peer.Cancel) (bool, error) {
		if p, ok := d.slots.Local(c.Service); ok {
			p.Cancel(c.Key)
		}
		return true, nil
	})
	rpc.Handle(d.rpc, peer.MethodRelease, func(_ context.Context, r peer.Release) (bool, error) {
		// False means that this process no longer owns the pool.
		p, ok := d.slots.Local(r.Service)
		if ok {
			p.Release(r)
		}
		return ok, nil
	})
	rpc.Handle(d.rpc, peer.MethodReport, d.control.Report)
	rpc.Handle(d.rpc, peer.MethodRecordUsage, func(_ context.Context, w peer.UsageRecord) (bool, error) {
		d.slots.RecordUsage(w)
		return true, nil
	})
	rpc.Handle(d.rpc, peer.MethodResolve, func(_ context.Context, r peer.Resolve) (peer.ResolveReply, error) {
		return d.edge.Resolve(r), nil
	})
	rpc.Handle(d.rpc, peer.MethodRenew, d.control.Renew)
	rpc.Handle(d.rpc, peer.MethodLeaseChanged, d.control.LeaseChanged)
	rpc.Handle(d.rpc, peer.MethodLeaseMessage, d.control.LeaseMessage)
	rpc.Handle(d.rpc, peer.MethodPush, d.control.Push)
	rpc.Handle(d.rpc, peer.MethodPull, d.control.Pull)
	rpc.Handle(d.rpc, peer.MethodText, d.control.ConfigText)
	rpc.Handle(d.rpc, peer.MethodState, d.control.RegionState)
	rpc.Handle(d.rpc, peer.MethodDigest, d.control.Digest)
	rpc.Handle(d.rpc, control.MethodPing, d.control.Ping)
	rpc.Handle(d.rpc, control.MethodPingReq, d.control.PingReq)
}
