package serverhold

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// begin returns whether a request may be sent.
func begin(s *Set, now time.Duration, v Server) bool { allowed, _ := s.Begin(now, v); return allowed }

var server = Server{ID: "s", Address: "10.0.0.1:80", StartedAtMillis: 1}

// TestLeaving guards against requests to a server that leaves, and against a pool that
// stays empty because servers said so by mistake.
func TestLeaving(t *testing.T) {
	g := NewWithT(t)
	s := New()
	g.Expect(begin(s, 0, server)).To(BeTrue())
	s.Leaving(0, server)
	g.Expect(begin(s, LeavingTime-1, server)).To(BeFalse())
	g.Expect(s.Held(time.Second)).To(Equal([]Server{server}))
	next := server
	next.StartedAtMillis = 2
	g.Expect(begin(s, time.Second, next)).To(BeTrue(), "another incarnation")
	s.Leaving(10*time.Second, server)
	g.Expect(begin(s, LeavingTime, server)).To(BeFalse(), "each answer counts")
	g.Expect(begin(s, LeavingTime+10*time.Second, server)).To(BeTrue())
}

// TestPause guards against requests to a server during the time that it named when it
// refused one, and against a rush when that time ends: one request goes first.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.Pause(0, server, 2*time.Second)
	g.Expect(begin(s, 2*time.Second-1, server)).To(BeFalse())
	g.Expect(begin(s, 2*time.Second, server)).To(BeTrue())
	g.Expect(begin(s, 2*time.Second, server)).To(BeFalse(), "a second request during the trial")
	s.Pause(3*time.Second, server, time.Second)
	s.EndTrial(3*time.Second, server)
	g.Expect(begin(s, 3500*time.Millisecond, server)).To(BeFalse(), "refused again")
	g.Expect(begin(s, 4*time.Second, server)).To(BeTrue())
	s.EndTrial(5*time.Second, server)
	g.Expect(begin(s, 5*time.Second, server)).To(BeTrue())
	g.Expect(begin(s, 5*time.Second, server)).To(BeTrue())
}

// TestPauseIsBounded guards against a server that is lost to this host because it named
// an absurd time.
func TestPauseIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.Pause(0, server, 1<<62)
	g.Expect(begin(s, MaxRetryAfter-1, server)).To(BeFalse())
	g.Expect(begin(s, MaxRetryAfter, server)).To(BeTrue())
	s.Pause(MaxRetryAfter, server, -time.Second)
	g.Expect(s.Held(MaxRetryAfter+1)).To(Equal([]Server{server}), "the trial is in flight")
}

// TestWait guards against a refusal whose time to the retry is not when a server takes
// requests again, in a pool of which all servers asked for a pause.
func TestWait(t *testing.T) {
	g := NewWithT(t)
	s := New()
	other := Server{ID: "o"}
	s.Pause(0, server, 3*time.Second)
	_, all := s.Wait(0, []Server{server, other})
	g.Expect(all).To(BeFalse())
	s.Pause(0, other, 2*time.Second)
	wait, all := s.Wait(500*time.Millisecond, []Server{server, other})
	g.Expect(all).To(BeTrue())
	g.Expect(wait).To(Equal(1500 * time.Millisecond))
	s.Leaving(0, other)
	wait, _ = s.Wait(500*time.Millisecond, []Server{server, other})
	g.Expect(wait).To(Equal(2500 * time.Millisecond))
	_, all = s.Wait(0, nil)
	g.Expect(all).To(BeFalse())
}

// TestNoRequestIntoAPause guards, over random sequences, against a request within a
// pause and against two requests before the first one after it has ended.
func TestNoRequestIntoAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, until, open := New(), time.Duration(0), time.Duration(0), 0
		paused := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				if allowed, trial := s.Begin(now, server); allowed {
					if now < until || paused && open > 0 || trial != paused {
						t.Fatalf("request at %v (trial %v), pause until %v, %d open", now, trial, until, open)
					}
					if trial {
						open++
					}
				}
			case 1:
				d := time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause")) * time.Millisecond
				s.Pause(now, server, d)
				until, paused, open = max(until, now+d), true, 0
			case 2:
				if open > 0 {
					s.EndTrial(now, server)
					open, paused = 0, false
				}
			}
		}
	})
}

// TestPruneForgetsServers guards against a set that grows with the servers of the past,
// and against a leaving server that gets requests again because its entry was away.
func TestPruneForgetsServers(t *testing.T) {
	g := NewWithT(t)
	s := New()
	none, all := func(Server) bool { return false }, func(Server) bool { return true }
	paused := Server{ID: "o"}
	s.Leaving(0, server)
	s.Pause(0, paused, time.Second)
	s.Prune(time.Second-1, none)
	g.Expect(begin(s, time.Second-1, server)).To(BeFalse())
	g.Expect(begin(s, time.Second-1, paused)).To(BeFalse())
	s.Prune(time.Second, all)
	g.Expect(s.holds).To(HaveLen(2), "the request after the pause is still to be a trial")
	s.Prune(time.Second, none)
	g.Expect(s.holds).To(HaveLen(1))
	g.Expect(begin(s, LeavingTime-1, server)).To(BeFalse())
	s.Prune(LeavingTime, all)
	g.Expect(s.holds).To(BeEmpty())
}
