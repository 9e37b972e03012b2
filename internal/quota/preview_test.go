package quota

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// previewStep drives a client by one random event.
func previewStep(r *rand.Rand, now time.Duration, c *Client, sent *[]Message) {
	*sent = append(*sent, c.Messages(now)...)
	if len(*sent) == 0 {
		return
	}
	k := r.Intn(len(*sent))
	m := (*sent)[k]
	*sent = append((*sent)[:k], (*sent)[k+1:]...)
	switch r.Intn(8) {
	case 0:
		c.Failed(now, m.ID, r.Intn(2) == 0)
	case 1, 2, 3, 4:
		loan := Loan{Workspace: "w", Empty: true, Elsewhere: r.Intn(2) == 0, Fresh: r.Intn(3) == 0, RetryMillis: 40, StepMicros: 7000}
		c.Answered(now, m.ID, LendReply{Term: 1, Loans: []Loan{loan}})
	default:
		loan := Loan{Workspace: "w", ID: m.ID, Tokens: 1 + r.Intn(2), ValidMicros: 300_000}
		c.Answered(now, m.ID, LendReply{Term: 1, Loans: []Loan{loan}})
	}
	c.Resolved()
}

// resolution returns the decision about a request that waits, or r if it waits still.
func resolution(c *Client, r Resolution) Resolution {
	for _, resolved := range c.Resolved() {
		if resolved.ID == r.ID {
			return resolved
		}
	}
	return r
}

// TestPreviewPredictsRequest guards against an explanation that tells another decision than the
// same request gets, or that takes a token or a time of return from a later one.
func TestPreviewPredictsRequest(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{RatePerSecond: 100, Burst: 100}
	seen := map[Verdict]int{}
	safe, other, none, ended, ends := 0, 0, 0, 0, map[Verdict]int{}
	for seed := range int64(60) {
		r := rand.New(rand.NewSource(seed))
		c := NewClient("r0", NewSafeShares(0, Bounds{Window: 5 * time.Second, Overage: 0.3, Slack: 20}, 3))
		c.SetHosts(1 + int(seed)%40)
		safeShares := 0
		c.SafeShareStarts = func(string) { safeShares++ }
		var sent []Message
		now := 15 * time.Second
		for id := uint64(1); id < 200; id++ {
			now += time.Duration(r.Intn(60)) * time.Millisecond
			if id%10 == 0 {
				c.SetIssuers([][]string{nil, {"r0"}, {"r1"}, {"r0", "r1", "r2"}, {"r0", "r1", "r2"}}[r.Intn(5)])
			}
			previewStep(r, now, c, &sent)
			deadline, before := now+time.Duration(10+r.Intn(300))*time.Millisecond, safeShares
			p := c.Preview(now, "w", limit, deadline, now)
			g.Expect(c.Preview(now, "w", limit, deadline, now)).To(Equal(p), "a preview changes nothing")
			g.Expect(safeShares).To(Equal(before))
			target := c.rotation

			c.SetConfirmed(now)
			got := c.Request(now, id, "w", limit, deadline)
			if got.Verdict == Waiting {
				c.resolve(now)
				got = resolution(c, got)
			}
			g.Expect(p.Now.Verdict).To(Equal(got.Verdict), "seed %d, request %d", seed, id)
			g.Expect(p.Now.RetryAfter).To(Equal(got.RetryAfter))
			g.Expect(p.SafeShare && p.Now.Verdict == Granted).To(Equal(safeShares > before))
			seen[got.Verdict]++
			if p.SafeShare {
				safe++
			}
			if got.Verdict == Waiting {
				c.rotation = target
				g.Expect(c.target(now)).To(Equal(p.Target))
				g.Expect(p.Wait).To(Equal(min(deadline-now, MaxWait)))
				g.Expect(p.Unanswered.Verdict).NotTo(Equal(Waiting))
				ends[p.Unanswered.Verdict]++
				switch p.Target {
				case "r1", "r2":
					other++
				case "":
					none++
				}
				c.rotation = target
				// No answer arrives. Requests that wait for longer could take the safe share.
				if len(c.waiters) == 1 && r.Intn(2) == 0 {
					c.resolve(now + p.Wait)
					end := resolution(c, got)
					g.Expect(end.Verdict).To(Equal(p.Unanswered.Verdict))
					g.Expect(end.RetryAfter).To(Equal(p.Unanswered.RetryAfter))
					ended++
				}
			}
		}
	}
	t.Log("decisions:", seen, "at the end of the wait:", ends, "safe shares:", safe, "asked elsewhere:", other, "nobody to ask:", none, "ends reached:", ended)
	for _, n := range []int{seen[Granted], seen[UsedUp], seen[NoIssuer], seen[Waiting], ends[UsedUp], ends[NoIssuer], ends[Granted], safe, other, none, ended} {
		g.Expect(n).To(BeNumerically(">=", 5), "each case must occur")
	}
}
