package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/member"
)

// Methods of the membership protocol.
const (
	MethodPing    = "member.ping"
	MethodPingReq = "member.ping_req"
)

// pingTimeout bounds a call of the membership protocol, and the wait of an
// incoming call of any protocol for the answer of a state machine.
const pingTimeout = 2 * time.Second

// stepMember passes an event to the membership machine and executes the
// resulting actions.
func (c *Control) stepMember(now time.Duration, ev member.Event) {
	for _, a := range c.member.Step(now, ev, nil) {
		switch a := a.(type) {
		case member.SendPing:
			c.sendPing(a)
		case member.SendPingReq:
			c.sendPingReq(a)
		case member.AnswerPing:
			deliverAnswer(c.pendingPings, a.Call, a.Pong)
		case member.AnswerPingReq:
			deliverAnswer(c.pendingPingReqs, a.Call, a.Answer)
		case member.Changed:
			c.dirty = true
			c.recordMember(now, a.Member)
			if a.Before == a.Member.Status {
				continue
			}
			c.Log.WithFields(logrus.Fields{"member": a.Member.ID, "incarnation": a.Member.Incarnation, "before": a.Before,
				"status": a.Member.Status}).Info("member changed")
		case member.PeerExtra:
			c.handleExtra(now, a)
		case member.Superseded:
			c.Log.WithField("incarnation", a.By).Error("a later run of this host has started")
			c.superseded = true
		}
	}
}

// deliverAnswer passes v to the incoming call that awaits it. The channels of
// awaitAnswer have a buffer of one, so that this does not block.
func deliverAnswer[T any](waiting map[uint64]chan T, call uint64, v T) {
	if ch, ok := waiting[call]; ok {
		delete(waiting, call)
		ch <- v
	}
}

func (c *Control) sendPing(a member.SendPing) {
	c.async(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		defer cancel()
		if a.Seq == 0 {
			_ = c.Peers.Notify(ctx, a.To.RPCAddress, MethodPing, a.Ping)
			return
		}
		var pong member.Pong
		err := c.Peers.Call(ctx, a.To.RPCAddress, MethodPing, a.Ping, &pong)
		c.post(func(now time.Duration) {
			if err != nil {
				c.stepMember(now, member.CallFailed{Seq: a.Seq})
				return
			}
			c.stepMember(now, member.PongReceived{Seq: a.Seq, Pong: pong})
		})
	})
}

func (c *Control) sendPingReq(a member.SendPingReq) {
	c.async(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		defer cancel()
		var got member.PingReqAnswer
		err := c.Peers.Call(ctx, a.To.RPCAddress, MethodPingReq, a.Request, &got)
		c.post(func(now time.Duration) {
			if err != nil {
				c.stepMember(now, member.CallFailed{Seq: a.Seq})
				return
			}
			c.stepMember(now, member.PingReqAnswered{Seq: a.Seq, Answer: got})
		})
	})
}

// errStopped is the answer to calls of peers once the control goroutine has
// ended.
var errStopped = trace.ConnectionProblem(nil, "this process is shutting down")

// awaitAnswer runs step in the control goroutine with the number of an incoming
// call, and waits for the answer that deliverAnswer gets under this number. It
// returns an error if ctx or the control goroutine ends, or pingTimeout passes,
// before.
func awaitAnswer[T any](ctx context.Context, c *Control, waiting map[uint64]chan T, step func(now time.Duration, call uint64)) (T, error) {
	ch := make(chan T, 1)
	var zero T
	ok := c.post(func(now time.Duration) {
		c.lastCall++
		waiting[c.lastCall] = ch
		step(now, c.lastCall)
	})
	if !ok {
		return zero, errStopped
	}
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		return zero, trace.Wrap(ctx.Err())
	case <-c.done:
		return zero, errStopped
	case <-time.After(pingTimeout):
		return zero, trace.LimitExceeded("no answer in time")
	}
}

// Ping serves member.ping.
func (c *Control) Ping(ctx context.Context, p member.Ping) (member.Pong, error) {
	return awaitAnswer(ctx, c, c.pendingPings, func(now time.Duration, call uint64) {
		c.stepMember(now, member.PingReceived{Call: call, Ping: p})
	})
}

// PingReq serves member.ping_req.
func (c *Control) PingReq(ctx context.Context, p member.PingReq) (member.PingReqAnswer, error) {
	return awaitAnswer(ctx, c, c.pendingPingReqs, func(now time.Duration, call uint64) {
		c.stepMember(now, member.PingReqReceived{Call: call, Request: p})
	})
}

// hostsTakingWork returns the entry hosts of this region that accept new work, this
// one included unless it is leaving.
func (c *Control) hostsTakingWork() []host.Info {
	var out []host.Info
	for _, m := range c.member.Members() {
		if m.TakesWork() && m.Incarnation != 0 {
			out = append(out, m.Info)
		}
	}
	return out
}
