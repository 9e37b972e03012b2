package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var unlimited = math.Inf(1)

// TestRetryAfterBounds guards against times that callers do not follow, and against ones
// so short that they find the same queue.
func TestRetryAfterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newReturns()
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "callers") {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "step")) * ms
			timeLeft := time.Duration(rapid.IntRange(0, 10000).Draw(t, "left")) * ms
			rates := slotRates{freed: rapid.Float64Range(0, 500).Draw(t, "freed"), share: rapid.SampledFrom([]float64{0, 0.2, 5, unlimited}).Draw(t, "share")}
			r := Request{Workspace: "w", Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Deadline: now + timeLeft}
			wait := s.schedule(now, r, rates)
			if wait < minReturnDelay || wait > maxReturnDelay {
				t.Fatalf("Retry-After %v", wait)
			}
			if timeLeft >= time.Second && wait > (timeLeft-returnTransit/2)/3 {
				t.Fatalf("Retry-After %v with %v left", wait, timeLeft)
			}
		}
	})
}

// TestScheduleFollowsFreedSlots guards against callers that are told the same time: 45
// callers that are refused at once return one by one at 0.9 of the rate at which slots
// become free.
func TestScheduleFollowsFreedSlots(t *testing.T) {
	g := NewWithT(t)
	s := newReturns()
	for i := range 45 {
		wait := s.schedule(0, Request{Key: fmt.Sprint(i), Deadline: 9 * time.Second}, slotRates{freed: 100, share: unlimited})
		want := minReturnDelay.Seconds() + float64(i)/(promisedFraction*100)
		g.Expect(wait.Seconds()).To(BeNumerically("~", want, 0.001))
	}
}

// TestScheduleLeavesUrgentDemand guards against slots that are promised to a rank although
// more urgent ranks take them.
func TestScheduleLeavesUrgentDemand(t *testing.T) {
	for _, c := range []struct {
		desc   string
		urgent float64 // requests per second, of 100 slots per second
		want   time.Duration
	}{
		{"half is left", 50, minReturnDelay + time.Second/45 + ms},
		{"all is left", 0, minReturnDelay + time.Second/90 + ms},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := newReturns()
			r := Request{Rank: 1, Deadline: 9 * time.Second}
			s.schedule(0, r, slotRates{freed: 100, urgent: c.urgent, share: unlimited})
			g.Expect(s.schedule(0, r, slotRates{freed: 100, urgent: c.urgent, share: unlimited})).To(BeNumerically("~", c.want, ms))
			g.Expect(s.count).To(Equal(2))
		})
	}
	g := NewWithT(t)
	s := newReturns()
	for range 10 {
		s.schedule(0, Request{Rank: 1, Deadline: 9 * time.Second}, slotRates{freed: 100, urgent: 95, share: unlimited})
	}
	g.Expect(s.count).To(BeZero(), "almost nothing is left")
}

// TestLimitedWorkspaceDoesNotFillSchedule guards against a schedule whose slots all go to
// the workspace that is refused most often.
func TestLimitedWorkspaceDoesNotFillSchedule(t *testing.T) {
	g := NewWithT(t)
	s := newReturns()
	for range 1000 {
		s.schedule(0, Request{Workspace: "hot", Deadline: 9 * time.Second}, slotRates{freed: 100, share: 10})
	}
	g.Expect(s.count).To(BeNumerically("~", 18, 1), "1.7 s at 10 per second")
	wait := s.schedule(0, Request{Workspace: "other", Deadline: 9 * time.Second}, slotRates{freed: 100, share: unlimited})
	g.Expect(wait).To(BeNumerically("<", 600*ms))
}

// TestScheduleByRank guards against slots that are promised to a less urgent rank and
// then missing for a more urgent one.
func TestScheduleByRank(t *testing.T) {
	g := NewWithT(t)
	s := newReturns()
	wait := func(rank int) time.Duration {
		return s.schedule(0, Request{Rank: rank, Deadline: 9 * time.Second}, slotRates{freed: 10 / promisedFraction, share: unlimited})
	}
	g.Expect([]time.Duration{wait(1), wait(1)}).To(Equal([]time.Duration{300 * ms, 400 * ms}))
	g.Expect(wait(0)).To(Equal(300*ms), "no slot of rank 0 is promised")
	g.Expect(wait(0)).To(Equal(400 * ms))
	g.Expect(wait(1)).To(Equal(700*ms), "after two callers of each rank")
}

// TestClaim guards against a returning caller that is taken for another one, and against a
// promise that serves twice or without end.
func TestClaim(t *testing.T) {
	refused := Request{Workspace: "w", Class: "c", Key: "k", Deadline: 9 * time.Second}
	due := minReturnDelay
	for _, c := range []struct {
		desc   string
		at     time.Duration
		change func(*Request)
		want   bool
	}{
		{desc: "at the time", at: due, want: true},
		{desc: "at the end of the window", at: due + returnWindow, want: true},
		{desc: "too early", at: due - ms},
		{desc: "too late", at: due + returnWindow + ms},
		{desc: "other workspace", at: due, change: func(r *Request) { r.Workspace = "x" }},
		{desc: "other class", at: due, change: func(r *Request) { r.Class = "x" }},
		{desc: "other object", at: due, change: func(r *Request) { r.Key = "x" }},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			s := newReturns()
			s.schedule(0, refused, slotRates{freed: 100, share: unlimited})
			r := refused
			if c.change != nil {
				c.change(&r)
			}
			g.Expect(s.claim(c.at, r)).To(Equal(c.want))
			g.Expect(s.claim(c.at, refused) && c.want).To(BeFalse(), "a promise serves once")
		})
	}
}

// TestReturnsMemory guards against memory that grows with the number of refused callers,
// and against promises that stay after their time.
func TestReturnsMemory(t *testing.T) {
	g := NewWithT(t)
	s := newReturns()
	for i := range 3 * maxPromises {
		s.schedule(0, Request{Workspace: fmt.Sprint(i), Key: fmt.Sprint(i), Deadline: time.Hour}, slotRates{freed: 1e6, share: 1})
	}
	g.Expect(s.count).To(Equal(maxPromises))
	g.Expect(len(s.promises)).To(Equal(maxPromises))
	g.Expect(len(s.nextByWorkspace)).To(BeNumerically("<=", maxPromises))
	s.expire(maxReturnDelay + returnWindow + ms)
	g.Expect(s.count).To(BeZero())
	g.Expect(s.promises).To(BeEmpty())
	g.Expect(s.due).To(BeEmpty())
	g.Expect(s.nextByRank).To(BeEmpty())
	s.expire(time.Hour)
	g.Expect(s.nextByWorkspace).To(BeEmpty())
}
