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

// previewCounts counts the cases that occurred, so that the test shows that it met them.
type previewCounts struct {
	now, unanswered                  map[Verdict]int
	safeShares, elsewhere, none, end int
}

// previewedClient is a client whose requests are compared with their previews.
type previewedClient struct {
	*Client
	r          *rand.Rand
	now        time.Duration
	sent       []Message
	safeShares int
	counts     *previewCounts
}

func newPreviewedClient(seed int64, counts *previewCounts) *previewedClient {
	safe := NewSafeShares(0, Bounds{Window: 5 * time.Second, Overage: 0.3, Slack: 20}, 3)
	c := &previewedClient{Client: NewClient("r0", safe), r: rand.New(rand.NewSource(seed)), now: 15 * time.Second, counts: counts}
	c.SetHosts(1 + int(seed)%40)
	c.SafeShareStarts = func(string) { c.safeShares++ }
	return c
}

// request asks for a token and compares the decision with the preview.
func (c *previewedClient) request(g *WithT, id uint64) {
	limit, deadline, before, rotation := Limit{RatePerSecond: 100, Burst: 100}, c.now+time.Duration(10+c.r.Intn(300))*time.Millisecond, c.safeShares, c.rotation
	p := c.Preview(c.now, "w", limit, deadline, c.now)
	g.Expect(c.Preview(c.now, "w", limit, deadline, c.now)).To(Equal(p), "a preview changes nothing")
	g.Expect(c.safeShares).To(Equal(before))
	g.Expect(c.rotation).To(Equal(rotation))

	c.SetConfirmed(c.now)
	got := c.Request(c.now, id, "w", limit, deadline)
	if got.Verdict == Waiting {
		c.resolve(c.now)
		got = resolution(c.Client, got)
	}
	g.Expect(p.Now.Verdict).To(Equal(got.Verdict), "request %d", id)
	g.Expect(p.Now.RetryAfter).To(Equal(got.RetryAfter))
	g.Expect(p.SafeShare && p.Now.Verdict == Granted).To(Equal(c.safeShares > before))
	c.counts.now[got.Verdict]++
	if p.SafeShare {
		c.counts.safeShares++
	}
	if got.Verdict == Waiting {
		g.Expect(p.Wait).To(Equal(min(deadline-c.now, MaxWait)))
		c.checkWait(g, p, got)
	}
}

// checkWait compares whom a request that waits asks, and what it gets without an answer.
func (c *previewedClient) checkWait(g *WithT, p Preview, got Resolution) {
	rotation := c.rotation
	g.Expect(c.target(c.now)).To(Equal(p.Target))
	c.rotation = rotation
	switch p.Target {
	case "r1", "r2":
		c.counts.elsewhere++
	case "":
		c.counts.none++
	}
	g.Expect(p.Unanswered.Verdict).NotTo(Equal(Waiting))
	c.counts.unanswered[p.Unanswered.Verdict]++
	// Other requests that wait could take the safe share before.
	if len(c.waiters) == 1 && c.r.Intn(2) == 0 {
		c.resolve(c.now + p.Wait)
		end := resolution(c.Client, got)
		g.Expect(end.Verdict).To(Equal(p.Unanswered.Verdict))
		g.Expect(end.RetryAfter).To(Equal(p.Unanswered.RetryAfter))
		c.counts.end++
	}
}

// TestPreviewPredictsRequest guards against an explanation that tells another decision than the
// same request gets, or that takes a token or a time of return from a later one.
func TestPreviewPredictsRequest(t *testing.T) {
	g := NewWithT(t)
	n := &previewCounts{now: map[Verdict]int{}, unanswered: map[Verdict]int{}}
	for seed := range int64(60) {
		c := newPreviewedClient(seed, n)
		for id := uint64(1); id < 200; id++ {
			c.now += time.Duration(c.r.Intn(60)) * time.Millisecond
			if id%10 == 0 {
				c.SetIssuers([][]string{nil, {"r0"}, {"r1"}, {"r0", "r1", "r2"}, {"r0", "r1", "r2"}}[c.r.Intn(5)])
			}
			previewStep(c.r, c.now, c.Client, &c.sent)
			c.request(g, id)
		}
	}
	t.Logf("%+v", *n)
	for _, occurred := range []int{
		n.now[Granted], n.now[UsedUp], n.now[NoIssuer], n.now[Waiting], n.unanswered[UsedUp], n.unanswered[NoIssuer], n.unanswered[Granted],
		n.safeShares, n.elsewhere, n.none, n.end,
	} {
		g.Expect(occurred).To(BeNumerically(">=", 5), "each case must occur")
	}
}
