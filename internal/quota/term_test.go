package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newTestTerm returns the term of host a, incarnation 5, first among the candidates.
func newTestTerm() *Term {
	t := NewTerm("a", 5)
	t.SetRank(0)
	return t
}

// hold makes a term hold from a time on.
func hold(g *WithT, t *Term, now time.Duration) {
	t.Observe(now, 0, nil)
	c := t.Next(now)
	g.Expect(c).To(Equal(Call{Action: Write}))
	t.Done(now+10*time.Millisecond, Succeeded)
	g.Expect(t.Holds(now + 10*time.Millisecond)).To(BeTrue())
}

// TestTermWrites guards against hosts that take over from a living issuer, or wait
// although there is none.
func TestTermWrites(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		desc  string
		rank  int
		era   uint64
		item  *Item
		after time.Duration
		want  Action
	}{
		{"no item", 0, 0, nil, 0, Write},
		{"no item, third candidate", 2, 0, nil, 2*rankDelay - 1, None},
		{"no item, third candidate waits", 2, 0, nil, 2 * rankDelay, Write},
		{"no item, not a candidate", -1, 0, nil, time.Minute, None},
		{"no item, a late candidate", 5000, 0, nil, maxRankDelay, Write},
		{"another host", 0, 0, &Item{Host: "b", Incarnation: 1, Revision: 3}, time.Minute, None},
		{"an earlier process of this host", 3, 0, &Item{Host: "a", Incarnation: 4, Revision: 3}, 0, Write},
		{"a later process of this host", 0, 0, &Item{Host: "a", Incarnation: 6, Revision: 3}, time.Minute, None},
		{"a write of this process whose answer was lost", 0, 0, &Item{Host: "a", Incarnation: 5, Revision: 3}, 0, Write},
		{"no item in a restored store", 0, 2, nil, eraWait - 1, None},
		{"no item in a store restored long ago", 0, 2, nil, eraWait, Write},
		{"an item of an earlier era", 0, 2, &Item{Host: "b", Era: 1, Revision: 3}, eraWait - 1, None},
		{"an own item of an earlier era", 0, 2, &Item{Host: "a", Incarnation: 4, Era: 1, Revision: 3}, eraWait - 1, None},
		{"an old item of an earlier era", 0, 2, &Item{Host: "b", Era: 1, Revision: 3}, eraWait, Write},
		{"an item that cannot be decoded", 0, 0, &Item{Revision: 3}, eraWait - 1, None},
		{"an old item that cannot be decoded", 0, 0, &Item{Revision: 3}, eraWait, Write},
		{"an earlier process in this era", 0, 2, &Item{Host: "a", Incarnation: 4, Era: 2, Revision: 3}, 0, Write},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			term := newTestTerm()
			term.SetRank(c.rank)
			g.Expect(term.Next(now).Action).To(Equal(None), "the store is not known")
			term.Observe(now, c.era, c.item)
			call := term.Next(now + c.after)
			g.Expect(call.Action).To(Equal(c.want))
			if c.want == Write && c.item != nil {
				g.Expect(call.Revision).To(Equal(c.item.Revision))
			}
		})
	}
}

// TestTermEndsWithLease guards against an issuer that lends when its lease may have
// ended, and against one that stops in an outage of the store of 9 s.
func TestTermEndsWithLease(t *testing.T) {
	g := NewWithT(t)
	term := newTestTerm()
	hold(g, term, time.Hour)
	now := time.Hour + renewPeriod
	g.Expect(term.Next(now).Action).To(Equal(Renew))
	term.Done(now, Succeeded)
	for at := now + renewPeriod; at < now+renewPeriod+9*time.Second; at += 100 * time.Millisecond {
		g.Expect(term.Holds(at)).To(BeTrue())
		if term.Next(at).Action == Renew {
			term.Done(at, Unknown)
		}
	}
	g.Expect(term.Holds(now + leaseUse - 1)).To(BeTrue())
	g.Expect(term.Holds(now + leaseUse)).To(BeFalse())
	g.Expect(float64(leaseUse) / (1 - maxClockError)).To(BeNumerically("<", float64(LeaseTTL)))
}

// TestTermSurvivesRestore guards against an issuer that a restore of the store ends, and
// against one that goes on when another host has taken over.
func TestTermSurvivesRestore(t *testing.T) {
	g := NewWithT(t)
	term := newTestTerm()
	hold(g, term, time.Hour)
	epoch := term.Epoch()
	now := time.Hour + time.Second
	term.Observe(now, 2, &Item{Host: "b", Era: 0, Revision: 9})
	g.Expect(term.Next(now)).To(Equal(Call{}), "not before the next call is due")
	now = time.Hour + renewPeriod
	g.Expect(term.Next(now)).To(Equal(Call{Action: Write, Revision: 9, Era: 2}))
	term.Done(now, Succeeded)
	g.Expect(term.Holds(now)).To(BeTrue())
	g.Expect(term.Epoch()).To(Equal(epoch))
	term.Observe(now, 2, &Item{Host: "a", Incarnation: 5, Era: 2, Revision: 10})
	term.Observe(now, 2, &Item{Host: "b", Incarnation: 1, Era: 2, Revision: 11})
	g.Expect(term.Holds(now)).To(BeFalse())
}

// TestTermAfterGap guards against tokens of a term that go on counting after another
// host may have been the issuer.
func TestTermAfterGap(t *testing.T) {
	g := NewWithT(t)
	term := newTestTerm()
	hold(g, term, time.Hour)
	epoch := term.Epoch()
	now := time.Hour + time.Minute
	term.Observe(now, 0, &Item{Host: "a", Incarnation: 5, Revision: 3})
	g.Expect(term.Next(now).Action).To(Equal(Write))
	term.Done(now, Succeeded)
	g.Expect(term.Epoch()).NotTo(Equal(epoch))
}

// TestTermReleases guards against a host that lends while its lease is ended at its
// shutdown, and against one that does not end it.
func TestTermReleases(t *testing.T) {
	g := NewWithT(t)
	term := newTestTerm()
	hold(g, term, time.Hour)
	term.Close()
	g.Expect(term.Holds(time.Hour)).To(BeFalse())
	g.Expect(term.Released()).To(BeFalse())
	g.Expect(term.Next(time.Hour).Action).To(Equal(Release))
	term.Done(time.Hour, Unknown)
	g.Expect(term.Released()).To(BeTrue())
	other := newTestTerm()
	other.Close()
	g.Expect(other.Released()).To(BeTrue(), "it holds nothing")
}

// TestTermLeaseEndedEarly guards against an issuer whose lease someone ended.
func TestTermLeaseEndedEarly(t *testing.T) {
	g := NewWithT(t)
	term := newTestTerm()
	hold(g, term, time.Hour)
	g.Expect(term.Next(time.Hour + renewPeriod).Action).To(Equal(Renew))
	term.Done(time.Hour+renewPeriod, Conflict)
	g.Expect(term.Holds(time.Hour + renewPeriod)).To(BeFalse())
}

// TestTookOver guards against an issuer that mints from the start of its process although
// another one of the region may have lent since, and against one that does not although
// none has.
func TestTookOver(t *testing.T) {
	earlier := &Item{Host: "a", Incarnation: 4, Revision: 3}
	for _, c := range []struct {
		desc   string
		item   *Item
		failed *Item // the item at a first write, which failed
		want   bool
	}{
		{"takes over from an earlier process of its host", earlier, nil, true},
		{"no item", nil, nil, false},
		{"a write of this process whose answer was lost", &Item{Host: "a", Incarnation: 5, Revision: 3}, nil, false},
		{"a second write", earlier, earlier, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			term, now := newTestTerm(), time.Hour
			if c.failed != nil {
				term.Observe(now, 0, c.failed)
				g.Expect(term.Next(now).Action).To(Equal(Write))
				term.Done(now, Unknown)
				now += retryPeriod
			}
			term.Observe(now, 0, c.item)
			g.Expect(term.Next(now).Action).To(Equal(Write))
			term.Done(now, Succeeded)
			g.Expect(term.Holds(now)).To(BeTrue())
			g.Expect(term.TookOver()).To(Equal(c.want))
			now += time.Minute
			term.Observe(now, 0, earlier)
			g.Expect(term.Next(now).Action).To(Equal(Write))
			term.Done(now, Succeeded)
			g.Expect(term.TookOver()).To(BeFalse(), "a later term")
		})
	}
}

// TestStartLevelNeedsSettledItem guards against a start level although another start may have
// had one within the settle time, or the item may be out of date.
func TestStartLevelNeedsSettledItem(t *testing.T) {
	settle := testBounds.SettleTime()
	for _, c := range []struct {
		desc  string
		era   uint64
		item  Item
		after time.Duration // settle time of this process
		want  bool
	}{
		{"settled", 0, Item{Host: "a", Incarnation: 4, Revision: 3, Settled: settle}, settle, true},
		{"not settled", 0, Item{Host: "a", Incarnation: 4, Revision: 3}, settle, false},
		{"settled for a shorter window", 0, Item{Host: "a", Incarnation: 4, Revision: 3, Settled: settle - 1}, settle, false},
		{"of this process, whose answer was lost", 0, Item{Host: "a", Incarnation: 5, Revision: 3, Settled: settle}, settle, false},
		{"of an earlier era", 1, Item{Host: "a", Incarnation: 4, Revision: 3, Settled: settle}, settle, false},
		{"no settle time", 0, Item{Host: "a", Incarnation: 4, Revision: 3, Settled: settle}, 0, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			term, now := newTestTerm(), time.Hour
			term.SettleAfter(c.after)
			term.Observe(now, c.era, &c.item)
			now += eraWait
			g.Expect(term.Next(now).Action).To(Equal(Write))
			term.Done(now, Succeeded)
			g.Expect(term.Holds(now)).To(BeTrue())
			g.Expect(term.StartLevel()).To(Equal(c.want))
			now += time.Minute
			term.Observe(now, c.era, &Item{Host: "a", Incarnation: 4, Era: c.era, Revision: 5, Settled: settle})
			g.Expect(term.Next(now).Action).To(Equal(Write))
			term.Done(now, Succeeded)
			g.Expect(term.StartLevel()).To(BeFalse(), "a later term")
		})
	}
}

// TestTermSettles guards against an item that is settled before its issuer has lent for the
// settle time, more than once, or by a term that may have ended, and against one that never
// is because one write failed.
func TestTermSettles(t *testing.T) {
	g := NewWithT(t)
	term, settle := newTestTerm(), testBounds.SettleTime()
	term.SettleAfter(settle)
	hold(g, term, time.Hour)
	now, writes := time.Hour, 0
	issuing := now + time.Second
	for ; now < time.Hour+time.Minute; now += 100 * time.Millisecond {
		if now == issuing {
			term.Issuing(now)
		}
		revision := uint64(3 + writes)
		term.Observe(now, 0, &Item{Host: "a", Incarnation: 5, Revision: revision})
		switch call := term.Next(now); call.Action {
		case Renew:
			term.Done(now, Succeeded)
		case Settle:
			writes++
			g.Expect(call.Revision).To(Equal(revision))
			g.Expect(call.Settled).To(Equal(now - issuing))
			g.Expect(call.Settled).To(BeNumerically(">=", settle))
			result := Unknown
			if writes == 3 {
				result = Succeeded
			}
			term.Done(now, result)
			g.Expect(term.Next(now).Action).To(Equal(None), "not before the next renewal")
		}
	}
	g.Expect(writes).To(Equal(3))
	g.Expect(term.Holds(now)).To(BeTrue(), "failed attempts do not end the term")

	term.Observe(now, 0, nil)
	g.Expect(term.Holds(now)).To(BeFalse())
	hold(g, term, now+time.Minute)
	for now += time.Minute; now < time.Hour+3*time.Minute; now += 100 * time.Millisecond {
		term.Observe(now, 0, &Item{Host: "a", Incarnation: 5, Revision: 9})
		if call := term.Next(now); call.Action != None {
			g.Expect(call.Action).To(Equal(Renew), "the issuer of the new epoch was not made")
			term.Done(now, Succeeded)
		}
	}
}
