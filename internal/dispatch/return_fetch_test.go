package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// TestReturnDoesNotFetch guards against returning callers that take free slots for fetches of
// objects while slots are scarce: each takes the slot time of several other requests.
func TestReturnDoesNotFetch(t *testing.T) {
	for _, c := range []struct {
		desc      string
		miss, hit time.Duration
		fetches   bool
	}{
		{"a fetch takes much longer", 400 * time.Millisecond, 120 * time.Millisecond, false},
		{"a fetch takes hardly longer", 130 * time.Millisecond, 120 * time.Millisecond, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := NewWithT(t)
			p := New(Options{Region: "r", Shared: true, Limits: DefaultLimits, Scheduled: true})
			p.Update(0, []*fleet.Backend{
				{ID: "full", Service: "s", Region: "r", FailureDomain: "r", Slots: 1},
				{ID: "free", Service: "s", Region: "r", FailureDomain: "r", Slots: 1},
			}, nil, 0, 0)
			now := time.Second
			p.Import(now, Knowledge{
				Classes: []ClassTimes{{Class: "c", MissMillis: float64(c.miss.Milliseconds()), HitMillis: float64(c.hit.Milliseconds())}},
				Servers: []HeldObjects{{ID: "full", Objects: map[string][]string{"c": {"k"}}}},
			})
			p.servers["free"].tried = true // a new server would get a request even without the object
			request := Request{Class: "c", Key: "k", Rank: 1, Objective: now + 500*time.Millisecond, Deadline: now + 3*time.Second}
			p.servers["full"].inflight = 1
			p.lastRequestByRank[0] = now
			best, est := p.servers["full"], p.estimate(now, request, p.classes["c"], p.servers["full"], objectKey("c", "k"), 0)
			s, _, asReturn := p.serverForReturn(now, request, p.classes["c"], best, est)
			g.Expect(asReturn).To(Equal(c.fetches))
			if c.fetches {
				g.Expect(s.id).To(Equal("free"))
			}
		})
	}
}
