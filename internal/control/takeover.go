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

// Times of a takeover.
const (
	reportTimeout = time.Second
	reportRetry   = 200 * time.Millisecond
	// endedGrace covers the time in which a backend server notices that the
	// connections of a process that ended have closed.
	endedGrace = time.Second
)

// takeover collects the slots that edges hold from an earlier owner of a pool.
// Until every process that may hold some has reported or ended, the slots that
// nobody reported stay reserved.
type takeover struct {
	pool   *owner.Pool
	report peer.Report
	// silent holds the processes that have not reported, with the time at
	// which the longest request that they may run has ended.
	silent map[lease.Ref]time.Duration
	// asked is the time of the last question.
	asked time.Duration
	// adopted counts the reported slots by server.
	adopted map[string]int
	// granted holds what earlier owners that still run have granted and were not
	// told of the end of. It counts only for holders that do not report.
	granted map[peer.GrantKey]grantedSlot
	// witnessed holds the recorded ceilings of earlier owners.
	witnessed map[host.Incarnation]peer.Witness
	// previous is the last known owner.
	previous lease.Ref
	started  time.Duration
	open     bool
}

// grantedSlot is a slot that an earlier owner granted.
type grantedSlot struct {
	server string
	until  time.Duration
}

// openLimit is how long a pool waits for the reports of live hosts before it
// takes requests. Until then edges wait; afterwards reserved slots are refused.
const openLimit = time.Second

// startTakeover reserves the pool's slots and asks all processes of the region.
func (c *Control) startTakeover(now time.Duration, service string, p *owner.Pool) {
	c.leases.takeovers++
	t := &takeover{pool: p, silent: map[lease.Ref]time.Duration{}, adopted: map[string]int{}, started: now,
		granted:   map[peer.GrantKey]grantedSlot{},
		witnessed: map[host.Incarnation]peer.Witness{}, previous: c.previous[service],
		report: peer.Report{Service: service, Region: c.Self.Region, Owner: c.Self.Incarnation, Takeover: c.leases.takeovers}}
	end := now + c.longestDeadline()
	for _, m := range c.member.Members() {
		t.silent[lease.Ref{ID: m.ID, Incarnation: m.Incarnation}] = end
	}
	for ref, until := range c.departed {
		if until > now {
			t.silent[ref] = until
		}
	}
	c.takeovers[service] = t
	c.reserve(now, t)
	c.askReports(now, t)
	c.openPool(now, service, t)
}

// openPool lets requests reach the pool once all live hosts have reported.
func (c *Control) openPool(now time.Duration, service string, t *takeover) {
	if t.open {
		return
	}
	for ref := range t.silent {
		if m, ok := c.member.Member(ref.ID); ok && m.Incarnation == ref.Incarnation && answers(m.Status) && now-t.started < openLimit {
			return
		}
	}
	t.open = true
	c.Slots.Set(service, t.pool)
	c.Log.WithFields(logrus.Fields{"service": service, "silent": len(t.silent)}).Info("pool takes requests")
}

// longestDeadline is the longest time that a granted slot may be in use.
func (c *Control) longestDeadline() time.Duration {
	var d time.Duration
	for _, r := range c.config.Ranks {
		d = max(d, r.Deadline)
	}
	return d
}

// reserve keeps the slots that nobody has reported, or frees them when no
// process is silent any more.
func (c *Control) reserve(now time.Duration, t *takeover) {
	var until time.Duration
	for _, end := range t.silent {
		until = max(until, end)
	}
	for _, b := range c.config.BackendServers {
		if b.Service != t.report.Service || b.Region != c.Self.Region {
			continue
		}
		slots := 0
		if until > now {
			slots = min(c.unreported(now, t, b.Name), max(0, b.Slots-t.adopted[b.Name]))
		}
		t.pool.Reserve(b.Name, slots, until)
	}
}

// unreported bounds the slots of a server that silent processes may use
// besides those that were adopted. What a previous owner granted to others is
// known from itself or from the edges; what it granted to itself was recorded
// by other hosts. In all other cases nothing is known.
func (c *Control) unreported(now time.Duration, t *takeover, server string) int {
	_, previousSilent := t.silent[t.previous]
	if t.previous.IsZero() || (previousSilent && len(t.silent) > 1) {
		return math.MaxInt
	}
	slots := 0
	for ref := range t.silent {
		w, ok := t.witnessed[ref.Incarnation]
		if !ok && ref == t.previous {
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

// tickTakeovers asks silent processes again and drops those that have ended.
func (c *Control) tickTakeovers(now time.Duration) {
	for service, t := range c.takeovers {
		changed := false
		for ref, end := range t.silent {
			if ref.Incarnation != 0 && c.member.Ended(ref.ID, ref.Incarnation, c.firstSeen[ref]) && end > now+endedGrace {
				t.silent[ref] = now + endedGrace
				changed = true
			}
			if end <= now {
				delete(t.silent, ref)
				changed = true
			}
		}
		if changed {
			c.reserve(now, t)
		}
		c.openPool(now, service, t)
		if len(t.silent) == 0 {
			delete(c.takeovers, service)
			c.Log.WithField("service", service).Info("takeover of pool complete")
			continue
		}
		if now-t.asked >= reportRetry {
			c.askReports(now, t)
		}
	}
}

// askReports asks the silent processes that can be reached.
func (c *Control) askReports(now time.Duration, t *takeover) {
	t.asked = now
	for _, m := range c.member.Members() {
		ref := lease.Ref{ID: m.ID, Incarnation: m.Incarnation}
		if _, silent := t.silent[ref]; !silent || m.RPCAddress == "" || m.Status == member.Gone {
			continue
		}
		if m.Incarnation == c.Self.Incarnation {
			c.reported(now, t, ref, c.report(t.report))
			continue
		}
		c.askReport(t, ref, m.Info)
	}
}

// report answers a new owner of a pool. It runs in the control goroutine.
func (c *Control) report(r peer.Report) peer.ReportReply {
	reply := c.Edge.Report(r)
	reply.Witnessed = c.Slots.Witnessed(r.Service)
	for _, p := range c.closing {
		if p.Service() == r.Service {
			reply.Granted = append(reply.Granted, p.Granted()...)
		}
	}
	return reply
}

// Report serves pool.report.
func (c *Control) Report(ctx context.Context, r peer.Report) (peer.ReportReply, error) {
	out := make(chan peer.ReportReply, 1)
	if !c.post(func(time.Duration) { out <- c.report(r) }) {
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

func (c *Control) askReport(t *takeover, ref lease.Ref, to host.Info) {
	c.async(func() {
		ctx, cancel := c.callContext(reportTimeout)
		defer cancel()
		var reply peer.ReportReply
		if err := c.Peers.Call(ctx, to.RPCAddress, peer.MethodReport, t.report, &reply); err != nil {
			return
		}
		c.post(func(now time.Duration) { c.reported(now, t, ref, reply) })
	})
}

// reported takes over the slots that a process holds. A later run of the
// process answers for an earlier one only once that is known to have ended.
func (c *Control) reported(now time.Duration, t *takeover, ref lease.Ref, reply peer.ReportReply) {
	if _, silent := t.silent[ref]; !silent || c.takeovers[t.report.Service] != t {
		return
	}
	if ref.Incarnation != 0 && reply.Incarnation != ref.Incarnation {
		t.silent[ref] = min(t.silent[ref], now+endedGrace)
		c.reserve(now, t)
		return
	}
	delete(t.silent, ref)
	t.pool.Adopt(reply.Held)
	for _, h := range reply.Held {
		t.adopted[h.Server]++
	}
	for _, h := range reply.Granted {
		t.granted[h.Key] = grantedSlot{server: h.Server, until: now + time.Duration(h.RemainingMillis)*time.Millisecond}
	}
	for _, w := range reply.Witnessed {
		if old, ok := t.witnessed[w.Holder]; !ok || w.Sequence > old.Sequence {
			t.witnessed[w.Holder] = w
		}
	}
	c.reserve(now, t)
	c.openPool(now, t.report.Service, t)
}

// ended returns the known incarnations that a later run of the same host has
// replaced.
func (c *Control) ended() []lease.Ref {
	var out []lease.Ref
	for ref := range c.firstSeen {
		if m, ok := c.member.Member(ref.ID); ok && m.Incarnation > ref.Incarnation {
			out = append(out, ref)
		}
	}
	return out
}

// noteMember keeps when a process was first seen, and remembers one that is
// gone for as long as requests that it had in progress may go on.
func (c *Control) noteMember(now time.Duration, m member.Member) {
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

// answers tells whether a process in this state is expected to answer.
func answers(s member.Status) bool { return s == member.Live || s == member.Leaving }
