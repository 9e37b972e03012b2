package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

// emptyLoans is the answer of an issuer that lacks tokens.
func emptyLoans() LendReply {
	return LendReply{Term: 7, Loans: []Loan{{Workspace: "w", Empty: true, Elsewhere: true, RetryMillis: 600, StepMicros: 600000}}}
}

// TestSlowOwnIssuer guards against a caller within its quota that gets 429 because another
// region has no tokens, or there is none, while the own issuer has not answered yet.
func TestSlowOwnIssuer(t *testing.T) {
	for _, c := range []struct {
		desc    string
		regions []string
		earlier bool // the own issuer lacked tokens a second before
	}{
		{"another region has no tokens", []string{"a", "b"}, false},
		{"another region has no tokens, and the own one had none earlier", []string{"a", "b"}, true},
		{"there is no other region, and the own one had no tokens earlier", []string{"a"}, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			client := NewClient("a", NewSafeShares(0, testBounds, 3))
			client.SetIssuers(c.regions)
			l, now := Limit{5, 5}, 10*time.Second
			if c.earlier {
				client.Request(now, 1, "w", l, now+MaxWait)
				for _, m := range client.Messages(now) {
					client.Answered(now+ms, m.ID, emptyLoans())
				}
				for _, m := range client.Messages(now + ms) {
					client.Answered(now+2*ms, m.ID, emptyLoans())
				}
				g.Expect(client.Resolved()).To(HaveLen(1))
				now += time.Second
			}
			client.Request(now, 2, "w", l, now+MaxWait)
			own := client.Messages(now)
			g.Expect(own).To(HaveLen(1))
			now += earlyElsewhere + ms
			for _, m := range client.Messages(now) {
				g.Expect(m.Region).To(Equal("b"))
				client.Answered(now+2*ms, m.ID, emptyLoans())
			}
			client.Messages(now + 2*ms)
			g.Expect(client.Resolved()).To(BeEmpty(), "the own issuer has not answered")
			client.Answered(now+9*ms, own[0].ID, LendReply{Term: 7, Loans: []Loan{{Workspace: "w", ID: 1, Tokens: 1, ValidMicros: 500000}}})
			resolved := client.Resolved()
			g.Expect(resolved).To(HaveLen(1))
			g.Expect(resolved[0].Verdict).To(Equal(Granted))
		})
	}
}

// TestAsksEachOtherRegion guards against a 429 while a region that was not asked has
// tokens, and against a request that waits for an answer that comes after its deadline.
func TestAsksEachOtherRegion(t *testing.T) {
	for _, c := range []struct {
		desc      string
		roundTrip time.Duration
		others    int // asked
	}{
		{"regions near each other", 20 * ms, 2},
		{"regions far from each other", 110 * ms, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			client := NewClient("a", NewSafeShares(0, testBounds, 3))
			client.SetIssuers([]string{"a", "b", "c"})
			now := 10 * time.Second
			client.Request(now, 1, "w", Limit{5, 5}, now+MaxWait)
			asked := map[string]int{}
			for range 5 {
				for _, m := range client.Messages(now) {
					asked[m.Region]++
					now += ms
					if m.Region != "a" {
						now += c.roundTrip - ms
					}
					client.Answered(now, m.ID, emptyLoans())
				}
			}
			g.Expect(asked).To(HaveLen(1 + c.others))
			g.Expect(asked).To(HaveEach(1))
			resolved := client.Resolved()
			g.Expect(resolved).To(HaveLen(1))
			g.Expect(resolved[0].Verdict).To(Equal(UsedUp))
		})
	}
}

// TestFollowUpWithoutAnswer guards against a 503 for a caller above its quota if the second
// other region does not answer before the deadline.
func TestFollowUpWithoutAnswer(t *testing.T) {
	g := NewWithT(t)
	client := NewClient("a", NewSafeShares(0, testBounds, 3))
	client.SetIssuers([]string{"a", "b", "c"})
	now := 10 * time.Second
	client.Request(now, 1, "w", Limit{5, 5}, now+MaxWait)
	for range 2 {
		m := client.Messages(now)
		g.Expect(m).To(HaveLen(1))
		now += 2 * ms
		client.Answered(now, m[0].ID, emptyLoans())
	}
	g.Expect(client.Messages(now)).To(HaveLen(1))
	client.Messages(10*time.Second + MaxWait)
	resolved := client.Resolved()
	g.Expect(resolved).To(HaveLen(1))
	g.Expect(resolved[0].Verdict).To(Equal(UsedUp))
}
