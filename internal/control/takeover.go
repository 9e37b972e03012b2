package control

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/lease"
	"github.com/galenabeam/galenabeam/internal/member"
	"github.com/galenabeam/galenabeam/internal/owner"
	"github.com/galenabeam/galenabeam/internal/peer"
)

// Timing of a takeover.
const (
	// reportTimeout bounds one pool.report call.
	reportTimeout = time.Second
	// reportRetry is the time between two requests to the processes that have
	// not reported.
	reportRetry = 200 * time.Millisecond
	// endedGrace is the time in which a backend server notices that the
	// connections of an ended process have closed.
	endedGrace = time.Second
)

// takeover collects the slots that entry hosts hold from an earlier owner of a
// pool. A process that may hold some is awaited until it reports or its requests
// have ended; until then, the slots that it may use stay reserved.
type takeover struct {
	pool  *owner.Pool
	query peer.ReportQuery // the request that is sent to all processes
	// awaited holds the processes that have not reported, with the end of the
	// longest request that they may run.
	awaited map[lease.Ref]time.Duration
	// lastRequest is the time of the last request for reports.
	lastRequest time.Duration
	// adopted counts the reported slots by server.
	adopted map[string]int
	// granted holds the grants for which earlier owners that still run have not
	// received a release. They count only for holders that do not report.
	granted map[peer.GrantKey]grantedSlot
	// usageRecords holds the usage records of earlier owners, by owner.
	usageRecords map[host.Incarnation]peer.UsageRecord
	// previousOwner is the last known owner, or zero if none is known.
	previousOwner lease.Ref
	started       time.Duration
	// accepting reports whether the pool accepts requests.
	accepting bool
}

// grantedSlot is a slot that an earlier owner granted.
type grantedSlot struct {
	server string
	until  time.Duration // deadline of the request
}

// maxReportWait bounds the wait of a pool for the reports of live hosts before it
// accepts requests. Until then entry hosts try again; afterwards requests that
// find no slot without a reservation are queued or refused.
const maxReportWait = time.Second

// startTakeover reserves the pool's slots and requests reports from all
// processes of the region that may hold some.
func (c *Control) startTakeover(now time.Duration, service string, p *owner.Pool) {
	c.leases.takeovers++
	t := &takeover{pool: p, awaited: map[lease.Ref]time.Duration{}, adopted: map[string]int{}, started: now,
		granted:      map[peer.GrantKey]grantedSlot{},
		usageRecords: map[host.Incarnation]peer.UsageRecord{}, previousOwner: c.previousOwner[service],
		query: peer.ReportQuery{Service: service, Region: c.Self.Region, Owner: c.Self.Incarnation, Takeover: c.leases.takeovers}}
	end := now + c.longestDeadline()
	for _, m := range c.member.Members() {
		t.awaited[lease.Ref{ID: m.ID, Incarnation: m.Incarnation}] = end
	}
	for ref, until := range c.departed {
		if until > now {
			t.awaited[ref] = until
		}
	}
	c.takeovers[service] = t
	c.updateReservations(now, t)
	c.requestReports(now, t)
	c.openWhenReported(now, service, t)
}

// openWhenReported makes the pool accept requests once all live hosts have
// reported or maxReportWait has passed. The log field silent is the number of
// processes that have not reported, including those that have ended.
func (c *Control) openWhenReported(now time.Duration, service string, t *takeover) {
	if t.accepting {
		return
	}
	for ref := range t.awaited {
		if m, ok := c.member.Member(ref.ID); ok && m.Incarnation == ref.Incarnation && expectedToAnswer(m.Status) && now-t.started < maxReportWait {
			return
		}
	}
	t.accepting = true
	c.Slots.AddPool(service, t.pool)
	c.Log.WithFields(logrus.Fields{"service": service, "silent": len(t.awaited)}).Info("pool opened for requests")
}

// longestDeadline returns the longest time for which a granted slot may be in
// use: the longest deadline of all ranks.
func (c *Control) longestDeadline() time.Duration {
	var d time.Duration
	for _, r := range c.config.Ranks {
		d = max(d, r.Deadline)
	}
	return d
}

// updateReservations reserves the slots that awaited processes may use, and
// frees them when no process is awaited.
func (c *Control) updateReservations(now time.Duration, t *takeover) {
	var until time.Duration
	for _, end := range t.awaited {
		until = max(until, end)
	}
	for _, b := range c.config.BackendServers {
		if b.Service != t.query.Service || b.Region != c.Self.Region {
			continue
		}
		slots := 0
		if until > now {
			slots = min(c.unreportedSlots(now, t, b.Name), max(0, b.Slots-t.adopted[b.Name]))
		}
		t.pool.Reserve(b.Name, slots, until)
	}
}

// unreportedSlots returns an upper bound of the slots of a server that awaited
// processes may use besides the adopted ones. Grants of the previous owner to
// others are reported by itself or by the others; grants to itself were
// recorded by other hosts. Without these it returns math.MaxInt.
func (c *Control) unreportedSlots(now time.Duration, t *takeover, server string) int {
	_, previousAwaited := t.awaited[t.previousOwner]
	if t.previousOwner.IsZero() || (previousAwaited && len(t.awaited) > 1) {
		return math.MaxInt
	}
	slots := 0
	for ref := range t.awaited {
		w, ok := t.usageRecords[ref.Incarnation]
		if !ok && ref == t.previousOwner {
			return math.MaxInt
		}
		for _, ceiling := range w.Ceilings {
			if ceiling.Server == server {
				slots += ceiling.Slots
			}
		}
		for key, g := range t.granted {
			if key.Edge == ref.Incarnation && g.server == server && g.until > now {
				slots++
			}
		}
	}
	return slots
}

// tickTakeovers requests the outstanding reports again, and removes processes
// whose requests have ended from those awaited: endedGrace after the end of the
// process was observed, or after the longest deadline.
func (c *Control) tickTakeovers(now time.Duration) {
	for service, t := range c.takeovers {
		changed := false
		for ref, end := range t.awaited {
			if ref.Incarnation != 0 && c.member.Ended(ref.ID, ref.Incarnation, c.firstSeen[ref]) && end > now+endedGrace {
				t.awaited[ref] = now + endedGrace
				changed = true
			}
			if end <= now {
				delete(t.awaited, ref)
				changed = true
			}
		}
		if changed {
			c.updateReservations(now, t)
		}
		c.openWhenReported(now, service, t)
		if len(t.awaited) == 0 {
			delete(c.takeovers, service)
			c.Log.WithField("service", service).Info("takeover of pool complete")
			continue
		}
		if now-t.lastRequest >= reportRetry {
			c.requestReports(now, t)
		}
	}
}

// requestReports requests reports from the awaited processes that have a known
// address and are not gone.
func (c *Control) requestReports(now time.Duration, t *takeover) {
	t.lastRequest = now
	for _, m := range c.member.Members() {
		ref := lease.Ref{ID: m.ID, Incarnation: m.Incarnation}
		if _, awaited := t.awaited[ref]; !awaited || m.RPCAddress == "" || m.Status == member.Gone {
			continue
		}
		if m.Incarnation == c.Self.Incarnation {
			c.handleReport(now, t, ref, c.report(t.query))
			continue
		}
		c.requestReport(t, ref, m.Info)
	}
}

// report returns this process's report for the new owner of a pool. It runs in
// the control goroutine.
func (c *Control) report(q peer.ReportQuery) peer.ReportReply {
	reply := c.Edge.Report(q)
	reply.UsageRecords = c.Slots.UsageRecords(q.Service)
	for _, p := range c.closedPools {
		if p.Service() == q.Service {
			reply.Granted = append(reply.Granted, p.Granted()...)
		}
	}
	return reply
}

// Report serves pool.report. It returns an error if ctx or the control goroutine
// ends before the report is ready.
func (c *Control) Report(ctx context.Context, q peer.ReportQuery) (peer.ReportReply, error) {
	out := make(chan peer.ReportReply, 1)
	if !c.post(func(time.Duration) { out <- c.report(q) }) {
		return peer.ReportReply{}, errStopped
	}
	select {
	case reply := <-out:
		return reply, nil
	case <-ctx.Done():
	case <-c.done:
	}
	return peer.ReportReply{}, errStopped
}

func (c *Control) requestReport(t *takeover, ref lease.Ref, to host.Info) {
	c.async(func() {
		ctx, cancel := c.callContext(reportTimeout)
		defer cancel()
		var reply peer.ReportReply
		if err := c.Peers.Call(ctx, to.RPCAddress, peer.MethodReport, t.query, &reply); err != nil {
			return
		}
		c.post(func(now time.Duration) { c.handleReport(now, t, ref, reply) })
	})
}

// handleReport adopts the slots that a process reports. An answer from another
// process of the same host contains no slots of the awaited one, which has ended:
// its slots stay reserved for endedGrace at most.
func (c *Control) handleReport(now time.Duration, t *takeover, ref lease.Ref, reply peer.ReportReply) {
	if _, awaited := t.awaited[ref]; !awaited || c.takeovers[t.query.Service] != t {
		return
	}
	if ref.Incarnation != 0 && reply.Incarnation != ref.Incarnation {
		t.awaited[ref] = min(t.awaited[ref], now+endedGrace)
		c.updateReservations(now, t)
		return
	}
	delete(t.awaited, ref)
	t.pool.Adopt(reply.Held)
	for _, h := range reply.Held {
		t.adopted[h.Server]++
	}
	for _, h := range reply.Granted {
		t.granted[h.Key] = grantedSlot{server: h.Server, until: now + time.Duration(h.RemainingMillis)*time.Millisecond}
	}
	for _, w := range reply.UsageRecords {
		if old, ok := t.usageRecords[w.Holder]; !ok || w.Sequence > old.Sequence {
			t.usageRecords[w.Holder] = w
		}
	}
	c.updateReservations(now, t)
	c.openWhenReported(now, t.query.Service, t)
}

// endedProcesses returns the known processes that a later one of the same host has
// replaced.
func (c *Control) endedProcesses() []lease.Ref {
	var out []lease.Ref
	for ref := range c.firstSeen {
		if m, ok := c.member.Member(ref.ID); ok && m.Incarnation > ref.Incarnation {
			out = append(out, ref)
		}
	}
	return out
}

// recordMember records the time at which a process was first observed. A process
// that is gone stays recorded as long as its requests may be in progress.
func (c *Control) recordMember(now time.Duration, m member.Member) {
	ref := lease.Ref{ID: m.ID, Incarnation: m.Incarnation}
	if ref.Incarnation == 0 {
		return
	}
	if _, seen := c.firstSeen[ref]; !seen {
		c.firstSeen[ref] = now
	}
	if m.Status == member.Gone && c.config != nil {
		c.departed[ref] = now + c.longestDeadline()
	}
	for old, until := range c.departed {
		if until < now {
			delete(c.departed, old)
			delete(c.firstSeen, old)
		}
	}
}

func expectedToAnswer(s member.Status) bool { return s == member.Live || s == member.Leaving }
