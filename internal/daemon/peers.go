package daemon

import (
	"context"

	"github.com/galenabeam/galenabeam/internal/adapter/rpc"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// handlePeers registers the methods that other entry hosts call.
func (d *Daemon) handlePeers() {
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
		if p, ok := d.slots.Local(r.Service); ok {
			p.Release(r)
		}
		return true, nil
	})
	rpc.Handle(d.rpc, peer.MethodReport, func(_ context.Context, r peer.Report) (peer.ReportReply, error) {
		return d.edge.Report(r), nil
	})
	rpc.Handle(d.rpc, peer.MethodResolve, func(_ context.Context, r peer.Resolve) (peer.ResolveReply, error) {
		return d.edge.Resolve(r), nil
	})
	rpc.Handle(d.rpc, "member.ping", func(ctx context.Context, p member.Ping) (member.Pong, error) { return d.control.Ping(ctx, p) })
	rpc.Handle(d.rpc, "member.ping_req", func(ctx context.Context, p member.PingReq) (member.PingReqAnswer, error) {
		return d.control.PingReq(ctx, p)
	})
}
