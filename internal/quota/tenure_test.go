package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newTestTenure returns the tenure of host a, incarnation 5, first among the candidates.
func newTestTenure() *Tenure {
	t := NewTenure("a", 5)
	t.SetRank(0)
	return t
}

// hold makes a tenure hold from a time on.
func hold(g *WithT, t *Tenure, now time.Duration) {
	t.Observe(now, 0, nil)
	c := t.Next(now)
	g.Expect(c).To(Equal(Call{Action: Write}))
	t.Done(now+10*time.Millisecond, Succeeded)
	g.Expect(t.Holds(now + 10*time.Millisecond)).To(BeTrue())
}

// TestTenureWrites guards against hosts that take over from a living issuer, or wait
// although there is none.
func TestTenureWrites(t *testing.T) {
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
			tenure := newTestTenure()
			tenure.SetRank(c.rank)
			g.Expect(tenure.Next(now).Action).To(Equal(None), "the store is not known")
			tenure.Observe(now, c.era, c.item)
			call := tenure.Next(now + c.after)
			g.Expect(call.Action).To(Equal(c.want))
			if c.want == Write && c.item != nil {
				g.Expect(call.Revision).To(Equal(c.item.Revision))
			}
		})
	}
}

// TestTenureEndsWithLease guards against an issuer that lends when its lease may have
// ended, and against one that stops in an outage of the store of 9 s.
func TestTenureEndsWithLease(t *testing.T) {
	g := NewWithT(t)
	tenure := newTestTenure()
	hold(g, tenure, time.Hour)
	now := time.Hour + renewPeriod
	g.Expect(tenure.Next(now).Action).To(Equal(Renew))
	tenure.Done(now, Succeeded)
	for at := now + renewPeriod; at < now+renewPeriod+9*time.Second; at += 100 * time.Millisecond {
		g.Expect(tenure.Holds(at)).To(BeTrue())
		if tenure.Next(at).Action == Renew {
			tenure.Done(at, Unknown)
		}
	}
	g.Expect(tenure.Holds(now + leaseUse - 1)).To(BeTrue())
	g.Expect(tenure.Holds(now + leaseUse)).To(BeFalse())
	g.Expect(float64(leaseUse) / (1 - maxClockError)).To(BeNumerically("<", float64(LeaseTTL)))
}

// TestTenureSurvivesRestore guards against an issuer that a restore of the store ends, and
// against one that goes on when another host has taken over.
func TestTenureSurvivesRestore(t *testing.T) {
	g := NewWithT(t)
	tenure := newTestTenure()
	hold(g, tenure, time.Hour)
	epoch := tenure.Epoch()
	now := time.Hour + time.Second
	tenure.Observe(now, 2, &Item{Host: "b", Era: 0, Revision: 9})
	g.Expect(tenure.Next(now)).To(Equal(Call{}), "not before the next call is due")
	now = time.Hour + renewPeriod
	g.Expect(tenure.Next(now)).To(Equal(Call{Action: Write, Revision: 9, Era: 2}))
	tenure.Done(now, Succeeded)
	g.Expect(tenure.Holds(now)).To(BeTrue())
	g.Expect(tenure.Epoch()).To(Equal(epoch))
	tenure.Observe(now, 2, &Item{Host: "a", Incarnation: 5, Era: 2, Revision: 10})
	tenure.Observe(now, 2, &Item{Host: "b", Incarnation: 1, Era: 2, Revision: 11})
	g.Expect(tenure.Holds(now)).To(BeFalse())
}

// TestTenureAfterGap guards against tokens of a tenure that go on counting after another
// host may have been the issuer.
func TestTenureAfterGap(t *testing.T) {
	g := NewWithT(t)
	tenure := newTestTenure()
	hold(g, tenure, time.Hour)
	epoch := tenure.Epoch()
	now := time.Hour + time.Minute
	tenure.Observe(now, 0, &Item{Host: "a", Incarnation: 5, Revision: 3})
	g.Expect(tenure.Next(now).Action).To(Equal(Write))
	tenure.Done(now, Succeeded)
	g.Expect(tenure.Epoch()).NotTo(Equal(epoch))
}

// TestTenureReleases guards against a host that lends while its lease is ended at its
// shutdown, and against one that does not end it.
func TestTenureReleases(t *testing.T) {
	g := NewWithT(t)
	tenure := newTestTenure()
	hold(g, tenure, time.Hour)
	tenure.Close()
	g.Expect(tenure.Holds(time.Hour)).To(BeFalse())
	g.Expect(tenure.Released()).To(BeFalse())
	g.Expect(tenure.Next(time.Hour).Action).To(Equal(Release))
	tenure.Done(time.Hour, Unknown)
	g.Expect(tenure.Released()).To(BeTrue())
	other := newTestTenure()
	other.Close()
	g.Expect(other.Released()).To(BeTrue(), "it holds nothing")
}

// TestTenureLeaseEndedEarly guards against an issuer whose lease someone ended.
func TestTenureLeaseEndedEarly(t *testing.T) {
	g := NewWithT(t)
	tenure := newTestTenure()
	hold(g, tenure, time.Hour)
	g.Expect(tenure.Next(time.Hour + renewPeriod).Action).To(Equal(Renew))
	tenure.Done(time.Hour+renewPeriod, Conflict)
	g.Expect(tenure.Holds(time.Hour + renewPeriod)).To(BeFalse())
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
			tenure, now := newTestTenure(), time.Hour
			if c.failed != nil {
				tenure.Observe(now, 0, c.failed)
				g.Expect(tenure.Next(now).Action).To(Equal(Write))
				tenure.Done(now, Unknown)
				now += retryPeriod
			}
			tenure.Observe(now, 0, c.item)
			g.Expect(tenure.Next(now).Action).To(Equal(Write))
			tenure.Done(now, Succeeded)
			g.Expect(tenure.Holds(now)).To(BeTrue())
			g.Expect(tenure.TookOver()).To(Equal(c.want))
			now += time.Minute
			tenure.Observe(now, 0, earlier)
			g.Expect(tenure.Next(now).Action).To(Equal(Write))
			tenure.Done(now, Succeeded)
			g.Expect(tenure.TookOver()).To(BeFalse(), "a later tenure")
		})
	}
}
