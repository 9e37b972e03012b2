package control

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/confsync"
	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/peer"
	"github.com/galenabeam/galenabeam/internal/store"
)

// configTimeout bounds a push, and a pull with all its pieces.
const configTimeout = 15 * time.Second

// Push is the request of config.push.
type Push struct {
	From host.ID       `json:"from"`
	Push confsync.Push `json:"push"`
}

// replica is the configuration state of the control goroutine.
type replica struct {
	machine   *confsync.Replica
	pushes    map[uint64]chan confsync.PushAnswer
	pulls     map[uint64]chan confsync.PullAnswer
	textCache textCache
	watcher   bool
}

// stepReplica passes an event to the configuration's state machine and executes
// the resulting actions.
func (c *Control) stepReplica(now time.Duration, ev confsync.Event) {
	for _, a := range c.replica.machine.Step(now, ev, nil) {
		switch a := a.(type) {
		case confsync.StoreCall:
			c.async(func() {
				result := c.executeStoreCall(c.ctx, a)
				c.post(func(now time.Duration) {
					c.recordStoreResult(result.Err)
					c.stepReplica(now, result)
				})
			})
		case confsync.SendPush:
			c.sendPush(a)
		case confsync.SendPull:
			c.sendPull(a)
		case confsync.AnswerPush:
			deliverAnswer(c.replica.pushes, a.Call, a.Answer)
		case confsync.AnswerPull:
			deliverAnswer(c.replica.pulls, a.Call, a.Answer)
		case confsync.Apply:
			c.applyConfig(now, a)
		}
	}
}

// executeStoreCall makes one call to the store. A write that times out or is
// canceled is reported as uncertain, because it may have taken effect.
func (c *Control) executeStoreCall(ctx context.Context, a confsync.StoreCall) confsync.StoreResult {
	r := confsync.StoreResult{Seq: a.Seq}
	if a.Kind != confsync.StoreWatch {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, storeTimeout)
		defer cancel()
	}
	switch a.Kind {
	case confsync.StoreGet:
		r.Entry, r.Err = c.Store.Get(ctx, a.Key)
	case confsync.StoreWatch:
		r.Entry, r.Err = c.Store.Watch(ctx, a.Key, a.Expected)
	case confsync.StoreSwap:
		r.Entry.Revision, r.Err = c.Store.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, 0)
	case confsync.StoreDelete:
		r.Err = c.Store.Delete(ctx, a.Key, a.Expected)
	}
	if r.Err != nil && (errors.Is(r.Err, context.DeadlineExceeded) || errors.Is(r.Err, context.Canceled)) {
		r.Err = store.ErrUnavailable
		if a.Kind == confsync.StoreSwap || a.Kind == confsync.StoreDelete {
			r.Err = store.ErrUncertain
		}
	}
	return r
}

func (c *Control) sendPush(a confsync.SendPush) {
	m, ok := c.member.Member(a.To)
	push := Push{From: c.Self.ID, Push: a.Push}
	c.async(func() {
		var got confsync.PushAnswer
		err := errNoAddress
		// This bound is never reached: the replica omits a delta above 64 KiB
		// from its pushes, and the receiver pulls.
		if ok && m.RPCAddress != "" && deltaBytes(a.Push.Delta) <= pieceBytes {
			ctx, cancel := c.callContext(configTimeout)
			defer cancel()
			err = c.Peers.Call(ctx, m.RPCAddress, peer.MethodPush, push, &got)
		}
		c.post(func(now time.Duration) {
			if err != nil {
				c.stepReplica(now, confsync.CallFailed{Seq: a.Seq})
				return
			}
			c.stepReplica(now, confsync.PushAnswered{Seq: a.Seq, Answer: got})
		})
	})
}

func (c *Control) sendPull(a confsync.SendPull) {
	m, ok := c.member.Member(a.To)
	c.async(func() {
		var got confsync.PullAnswer
		err := errNoAddress
		if ok && m.RPCAddress != "" {
			ctx, cancel := c.callContext(configTimeout)
			defer cancel()
			got, err = c.pull(ctx, m.RPCAddress, a.Pull)
		}
		c.post(func(now time.Duration) {
			if err != nil {
				c.stepReplica(now, confsync.CallFailed{Seq: a.Seq})
				return
			}
			c.stepReplica(now, confsync.PullAnswered{Seq: a.Seq, Answer: got})
		})
	})
}

// errNoAddress is the result of a call to a host without a known address.
var errNoAddress = errors.New("control: host has no known address")

// Push serves config.push. It returns an error if the replica does not answer in
// time or this process is shutting down.
func (c *Control) Push(ctx context.Context, p Push) (confsync.PushAnswer, error) {
	return awaitAnswer(ctx, c, c.replica.pushes, func(now time.Duration, call uint64) {
		c.stepReplica(now, confsync.PushReceived{Call: call, From: p.From, Push: p.Push})
	})
}

func (c *Control) applyConfig(now time.Duration, a confsync.Apply) {
	cfg, err := config.Parse(a.Text)
	if err == nil {
		err = config.Check(cfg)
	}
	if err != nil {
		// Texts are checked before they are submitted, so one that fails here
		// was written by another version of the software. The previous
		// configuration, if any, stays in force.
		c.count("config.refused")
		c.Log.WithField("revision", a.Revision).WithError(err).Error("configuration not applied")
		return
	}
	c.config, c.revision, c.dirty = cfg, uint64(a.Revision), true
	for _, p := range c.Slots.Pools() {
		p.Configure(cfg)
	}
	c.updateResources(now)
	c.setCaps(now)
	c.startPools(now)
	c.stepMember(now, c.extraEvent())
	c.Log.WithFields(logrus.Fields{"revision": a.Revision, "source": a.Source, "who": a.Audit.Who, "operation": a.Audit.Operation}).
		Info("configuration in force")
}

// updateReplica passes the replica its peers, and whether this process watches
// the store for its region, which the primary does.
func (c *Control) updateReplica(now time.Duration) {
	var peers []host.ID
	for _, m := range c.member.Members() {
		if m.Incarnation != c.Self.Incarnation && m.RPCAddress != "" && m.TakesWork() {
			peers = append(peers, m.ID)
		}
	}
	c.stepReplica(now, confsync.SetPeers{Peers: peers})
	watcher := c.leases.lessor.Role() == lease.Primary
	if watcher != c.replica.watcher {
		c.replica.watcher = watcher
		c.stepReplica(now, confsync.SetWatcher{On: watcher})
	}
}

// submitTick is the tick interval of a submission.
const submitTick = 20 * time.Millisecond

// Submit submits a configuration text, which must have passed config.Check, and
// returns as soon as the verdict is known. Keys that the submission no longer needs are
// then deleted in the background. If ctx ends before, the verdict is confsync.Uncertain
// and the error is that of ctx; otherwise the error is nil, whatever the verdict.
func (c *Control) Submit(ctx context.Context, r confsync.Request) (confsync.Submitted, error) {
	s := confsync.NewSubmission(r, newRand(c.Seed+int64(c.Now())))
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	cancelWithCaller := context.AfterFunc(ctx, cancel)
	verdicts := make(chan confsync.Submitted, 1)
	go func() {
		defer cancel()
		c.runSubmission(runCtx, s, verdicts)
	}()
	select {
	case v := <-verdicts:
		cancelWithCaller()
		c.applyAccepted(v, r.Text)
		return v, nil
	case <-ctx.Done():
		return confsync.Submitted{Verdict: confsync.Uncertain, Err: confsync.ErrUncertain}, trace.Wrap(ctx.Err())
	case <-c.done:
		return confsync.Submitted{Verdict: confsync.Uncertain, Err: confsync.ErrUncertain}, nil
	}
}

// runSubmission runs a submission until it makes no further store calls, ctx ends or the
// control goroutine has ended, and sends its verdict. Without the calls that follow the verdict, the list of pending
// submissions would fill up and no further one be accepted.
func (c *Control) runSubmission(ctx context.Context, s *confsync.Submission, verdicts chan<- confsync.Submitted) {
	results := make(chan confsync.StoreResult)
	ticker := time.NewTicker(submitTick)
	defer ticker.Stop()
	var ev confsync.Event = confsync.Tick{}
	for {
		for _, a := range s.Step(c.Now(), ev, nil) {
			switch a := a.(type) {
			case confsync.StoreCall:
				go func() {
					select {
					case results <- c.executeStoreCall(ctx, a):
					case <-ctx.Done():
					}
				}()
			case confsync.Submitted:
				verdicts <- a // the only one
			}
		}
		if s.Finished() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.done:
			return
		case <-ticker.C:
			ev = confsync.Tick{}
		case r := <-results:
			ev = r
		}
	}
}

// applyAccepted passes an accepted submission to the replica, so that this
// process applies it at once.
func (c *Control) applyAccepted(v confsync.Submitted, text []byte) {
	if v.Verdict != confsync.Accepted || v.Head == nil {
		return
	}
	c.post(func(now time.Duration) { c.stepReplica(now, confsync.Committed{Head: *v.Head, Text: text}) })
}

// ConfigStatus returns the state of the configuration in this process. It is
// empty if the control goroutine has ended or does not answer within 2 s.
func (c *Control) ConfigStatus() confsync.Status {
	out := make(chan confsync.Status, 1)
	c.post(func(time.Duration) { out <- c.replica.machine.Status() })
	select {
	case v := <-out:
		return v
	case <-c.done:
	case <-time.After(stateTimeout):
	}
	return confsync.Status{}
}

// Configuration returns the replica's text and its configuration revision. They
// are newer than the configuration in force if this process could not apply the
// text. It returns nil and 0 if the control goroutine has ended or does not answer
// within 2 s.
func (c *Control) Configuration() (text []byte, revision uint64) {
	type current struct {
		text     []byte
		revision uint64
	}
	out := make(chan current, 1)
	c.post(func(time.Duration) {
		out <- current{text: c.replica.machine.Text(), revision: uint64(c.replica.machine.Revision())}
	})
	select {
	case v := <-out:
		return v.text, v.revision
	case <-c.done:
	case <-time.After(stateTimeout):
	}
	return nil, 0
}
