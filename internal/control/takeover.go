package control

import (
	"time"

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
}

// startTakeover reserves the pool's slots and asks all processes of the region.
func (c *Control) startTakeover(now time.Duration, service string, p *owner.Pool) {
	c.leases.takeovers++
	t := &takeover{pool: p, silent: map[lease.Ref]time.Duration{}, adopted: map[string]int{},
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
			slots = max(0, b.Slots-t.adopted[b.Name])
		}
		t.pool.Reserve(b.Name, slots, until)
	}
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
			c.reported(now, t, ref, c.Edge.Report(t.report))
			continue
		}
		c.askReport(t, ref, m.Info)
	}
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
	c.reserve(now, t)
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
