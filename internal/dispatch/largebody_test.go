package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// largeRequest is a request that needs a free slot where servers report percentages.
func largeRequest(now time.Duration) Request {
	r := request(now, "")
	r.Bytes = largeBodyBytes
	return r
}

// reportPercent lets a pool learn that servers report percentages, through an answer of a.
func reportPercent(p *Pool, at time.Duration) { observeAt(p, "a", at, 0, 100) }

// takeSlots grants requests until each of the servers has as many as slots.
func takeSlots(p *Pool, now time.Duration, ids ...string) (grants []uint64) {
	for _, id := range ids {
		s := p.servers[id]
		for s.inflight < s.slots {
			grants = append(grants, p.recordGrant(now, request(now, ""), s, estimate{service: 200 * ms}))
		}
	}
	return grants
}

// largeBodyCase is a state of the servers a and b, and what happens to a request then.
type largeBodyCase struct {
	desc    string
	report  time.Duration // when a percentage was last reported; negative: never
	bytes   int64
	prepare func(*Pool)
	want    string // the server, "" for any
	refused Reason
}

// largeBodyCases returns the cases at a time.
func largeBodyCases(now time.Duration) []largeBodyCase {
	both := func(p *Pool) { takeSlots(p, now, "a", "b") }
	return []largeBodyCase{
		{"all slots taken", now, largeBodyBytes, both, "", Overload},
		{"body a byte smaller", now, largeBodyBytes - 1, both, "", ""},
		{"no body", now, 0, both, "", ""},
		{"no percentage reported", -1, largeBodyBytes, both, "", ""},
		{"percentage reported long ago", now - percentReportingTime - ms, largeBodyBytes, both, "", ""},
		{"percentage reported just in time", now - percentReportingTime, largeBodyBytes, both, "", Overload},
		{"one slot free", now, largeBodyBytes, func(p *Pool) { p.Release(now, takeSlots(p, now, "a", "b")[4], Report{Result: Served}) }, "b", ""},
		{"one server full", now, largeBodyBytes, func(p *Pool) { takeSlots(p, now, "a") }, "b", ""},
		{"full by the counts of another region", now, largeBodyBytes, func(p *Pool) {
			takeSlots(p, now, "a")
			p.Merge(now, Digest{Region: "q", InFlight: map[string]int{"b": 4}})
		}, "", Overload},
		{"full by its own report", now, largeBodyBytes, func(p *Pool) {
			takeSlots(p, now, "a")
			p.servers["b"].reportedLoad, p.servers["b"].reportedAt = 4, now
		}, "", Overload},
		{"one server full, the other down", now, largeBodyBytes, func(p *Pool) {
			takeSlots(p, now, "a")
			p.servers["b"].recordFailure(now, true)
		}, "", Overload},
		{"both servers down", now, largeBodyBytes, func(p *Pool) {
			p.servers["a"].recordFailure(now, true)
			p.servers["b"].recordFailure(now, true)
		}, "", ""},
		{"no server", now, largeBodyBytes, func(p *Pool) { p.Update(now, nil, nil, 5, time.Second) }, "", NoServer},
		{"the only free slot is beyond the pace", now, largeBodyBytes, func(p *Pool) {
			takeSlots(p, now, "a")
			p.startPacing(now, p.servers["b"], paceJoined)
			p.recordGrant(now, request(now, ""), p.servers["b"], estimate{})
		}, "b", ""},
		{"the paced server is full", now, largeBodyBytes, func(p *Pool) {
			both(p)
			p.startPacing(now, p.servers["b"], paceJoined)
		}, "", Overload},
	}
}

// TestLargeBodyNeedsFreeSlot guards against a large body that waits in the queue of a server
// that reports percentages, against other requests or deployments that are treated so too,
// and against a refusal that looks like a lack of servers.
func TestLargeBodyNeedsFreeSlot(t *testing.T) {
	now := 20 * time.Second
	for _, c := range largeBodyCases(now) {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := pool("r", backend("a", "r"), backend("b", "r"))
			if c.report >= 0 {
				reportPercent(p, c.report)
			}
			c.prepare(p)
			r := largeRequest(now)
			r.Bytes = c.bytes
			x := p.Explain(now, r, nil)
			d := p.Acquire(now, r)
			g.Expect(d.Refused).To(Equal(c.refused))
			g.Expect(x.Refused).To(Equal(c.refused))
			g.Expect(x.Server).To(Equal(d.Server))
			if c.want != "" {
				g.Expect(d.Server).To(Equal(c.want))
			}
			if c.refused == Overload {
				g.Expect(d.RetryAfter).To(BeNumerically(">=", overloadRetryAfter))
				g.Expect(x.Because).To(Equal(becauseLargeBody))
				g.Expect(x.Excluded[ExcludedFull]).To(BeNumerically(">", 0))
			}
		})
	}
}

// TestLargeBodyInOtherRegion guards against a large body that is refused while another
// region has a free slot, and against one that exceeds the bound on shifts because its own
// region is full.
func TestLargeBodyInOtherRegion(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	p := pool("r", backend("a", "r"), backend("b", "q"))
	reportPercent(p, now)
	takeSlots(p, now, "a")
	g.Expect(p.Acquire(now, largeRequest(now)).Server).To(Equal("b"))
	now = 5 * time.Second
	p = pool("r", backend("a", "r"), backend("b", "q"))
	for range 2 * minShiftRequests {
		p.shiftLimiter.record(now-shiftWindow, "r")
	}
	for range 2 * minShiftRequests {
		p.shiftLimiter.record(now, "q")
	}
	reportPercent(p, now)
	g.Expect(p.shiftLimiter.allows(now, "q")).To(BeFalse())
	takeSlots(p, now, "a")
	g.Expect(p.Acquire(now, largeRequest(now)).Refused).To(Equal(Overload))
	p.servers["a"].recordFailure(now, true)
	g.Expect(p.Acquire(now, largeRequest(now)).Server).To(Equal("b"), "without a usable server in the region, the bound is ignored")
}

// TestLargeBodyComesBeforeLessUrgent guards against requests of a less urgent rank that wait
// for each slot that becomes free, so that more urgent ones with large bodies never find one.
func TestLargeBodyComesBeforeLessUrgent(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	p := pool("r", backend("a", "r"))
	reportPercent(p, now)
	grants := takeSlots(p, now, "a")
	now += 100 * ms
	g.Expect(p.Acquire(now, largeRequest(now)).Refused).To(Equal(Overload))
	small := request(now, "")
	small.Rank = 1
	g.Expect(p.Acquire(now, small).Refused).To(Equal(Overload))
	p.Release(now, grants[0], Report{Result: Served, Elapsed: 200 * ms})
	g.Expect(p.Acquire(now, largeRequest(now)).Server).To(Equal("a"))
}
