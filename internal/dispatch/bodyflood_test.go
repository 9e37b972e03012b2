package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

const (
	floodBody = 8 << 20
	// floodBodyBetweenRegions is small enough to be sent to another region in time.
	floodBodyBetweenRegions = 128 << 10
	floodSlots              = 4
	floodServers            = 6
	floodLength             = 20 * time.Second
	// floodRate is the rate of large bodies at each dispatcher, in requests per second. The
	// servers can take 19 in all.
	floodRate = 100
	// Digests are sent every digestInterval and take digestDelay.
	digestInterval = 200 * ms
	digestDelay    = 60 * ms
)

// bodyFlood is a model in virtual time of large bodies at servers that read them slowly. A
// server holds a body from the grant to the answer.
type bodyFlood struct {
	rng     *rand.Rand
	body    int64
	percent int // reported by the servers, 0 for none
	pools   []*Pool
	held    map[string]int // bodies by server
	grants  []floodGrant   // all so far
	open    []floodGrant
	digests []floodDigest

	mostHeld, refused, served, otherReasons int
}

type floodGrant struct {
	at, end time.Duration
	pool    int
	server  string
	id      uint64
}

// floodDigest is a digest on its way.
type floodDigest struct {
	at   time.Duration
	from int
	d    Digest
}

func newBodyFlood(seed, body int64, percent int, regions ...string) *bodyFlood {
	f := &bodyFlood{rng: rand.New(rand.NewSource(seed)), body: body, percent: percent, held: map[string]int{}}
	var servers []*fleet.Backend
	for i := range floodServers {
		servers = append(servers, backend(fmt.Sprint("b", i), regions[i%len(regions)]))
	}
	for _, region := range regions {
		p := New(Options{Region: region, Shared: true, Limits: DefaultLimits, Scheduled: seed%2 == 0})
		p.Update(0, servers, nil, 5, 3*time.Second)
		d := p.Acquire(0, request(0, "")) // its answer tells whether servers report percentages
		p.Release(0, d.Grant, Report{Result: Served, Elapsed: 200 * ms, Load: f.load(0)})
		f.pools = append(f.pools, p)
	}
	return f
}

func (f *bodyFlood) load(running int) *Load {
	return &Load{Running: running, Slots: floodSlots, Percent: f.percent}
}

// run sends the flood to each dispatcher. check is called after each grant.
func (f *bodyFlood) run(check func(floodGrant)) {
	for now := ms; now < floodLength; now += ms {
		f.endRequests(now)
		f.exchangeDigests(now)
		for i := range f.pools {
			if f.rng.Float64() < floodRate/1000.0 {
				f.send(now, i, check)
			}
		}
	}
}

// send sends one body. A request takes from half a second to two seconds.
func (f *bodyFlood) send(now time.Duration, pool int, check func(floodGrant)) {
	p := f.pools[pool]
	d := p.Acquire(now, Request{
		Class: "c", FailureDomain: p.opts.Region + "-a", Bytes: f.body, Objective: now + 3*time.Second, Deadline: now + 10*time.Second,
	})
	if d.Refused != "" {
		f.refused++
		if d.Refused != Overload {
			f.otherReasons++
		}
		return
	}
	f.held[d.Server]++
	f.mostHeld = max(f.mostHeld, f.held[d.Server])
	grant := floodGrant{now, now + 500*ms + time.Duration(f.rng.Intn(1500))*ms, pool, d.Server, d.Grant}
	f.grants, f.open = append(f.grants, grant), append(f.open, grant)
	check(grant)
}

func (f *bodyFlood) endRequests(now time.Duration) {
	kept := f.open[:0]
	for _, o := range f.open {
		if o.end > now {
			kept = append(kept, o)
			continue
		}
		f.held[o.server]--
		f.served++
		f.pools[o.pool].Release(now, o.id, Report{Result: Served, Elapsed: now - o.at, Load: f.load(f.held[o.server])})
	}
	f.open = kept
}

// exchangeDigests sends the digests of all pools and delivers those that are due.
func (f *bodyFlood) exchangeDigests(now time.Duration) {
	if now%digestInterval == 0 {
		for i, p := range f.pools {
			f.digests = append(f.digests, floodDigest{now + digestDelay, i, p.Digest(now)})
			p.Maintain(now)
		}
	}
	for len(f.digests) > 0 && f.digests[0].at <= now {
		for i, p := range f.pools {
			if i != f.digests[0].from {
				p.Merge(now, f.digests[0].d)
			}
		}
		f.digests = f.digests[1:]
	}
}

// grantedByOthers counts the grants of other pools at the server of a grant of which its pool
// may not know yet.
func (f *bodyFlood) grantedByOthers(g floodGrant) int {
	n := 0
	for _, o := range f.grants {
		if o.server == g.server && o.pool != g.pool && o.at > g.at-digestInterval-digestDelay {
			n++
		}
	}
	return n
}

// TestFloodOfLargeBodies guards against servers that hold more large bodies than they have
// slots, and against slots that stay free because of it. Load: bodies of 8 MB at five times
// the rate that six servers of four slots can take, through one dispatcher.
func TestFloodOfLargeBodies(t *testing.T) {
	for seed := range int64(6) {
		g := NewWithT(t)
		f := newBodyFlood(seed, floodBody, 100, "r")
		f.run(func(floodGrant) {})
		g.Expect(f.mostHeld*floodBody).To(BeNumerically("<=", floodSlots*floodBody), "bytes at a server, seed %d", seed)
		g.Expect(f.otherReasons).To(BeZero(), "reasons of refusals")
		g.Expect(f.refused).To(BeNumerically(">", 0))
		const capacity = floodServers * floodSlots * int(floodLength/ms) / 1250
		g.Expect(f.served).To(BeNumerically(">=", capacity*9/10), "seed %d", seed)
		t.Logf("seed %d: %d bodies served, %d refused, at most %d MB at a server", seed, f.served, f.refused, f.mostHeld*floodBody>>20)
	}
}

// TestFloodThroughTwoDispatchers guards against more large bodies at a server than the
// exchange of digests allows: at most those that the other dispatcher has granted there since
// it sent the last digest that arrived, in addition to the slots, and never more than the
// slots for each dispatcher. Load: as above, with bodies of 128 KB, through two dispatchers at
// once.
func TestFloodThroughTwoDispatchers(t *testing.T) {
	most := 0
	for seed := range int64(6) {
		g := NewWithT(t)
		f := newBodyFlood(seed, floodBodyBetweenRegions, 100, "r", "q")
		f.run(func(grant floodGrant) {
			held := f.held[grant.server]
			g.Expect(held).To(BeNumerically("<=", floodSlots+f.grantedByOthers(grant)), "at %v, seed %d", grant.at, seed)
		})
		g.Expect(f.mostHeld).To(BeNumerically("<=", 2*floodSlots), "seed %d", seed)
		g.Expect(f.otherReasons).To(BeZero())
		most = max(most, f.mostHeld)
		t.Logf("seed %d: %d bodies served, %d refused, at most %d bodies at a server", seed, f.served, f.refused, f.mostHeld)
	}
	NewWithT(t).Expect(most).To(BeNumerically(">", floodSlots), "the load must reach the bound of the digests")
}

// TestFloodWithoutPercentages guards against a rule that applies to servers that report no
// percentage, and against a model that would not show queued bodies.
func TestFloodWithoutPercentages(t *testing.T) {
	f := newBodyFlood(1, floodBody, 0, "r")
	f.run(func(floodGrant) {})
	NewWithT(t).Expect(f.mostHeld).To(BeNumerically(">", floodSlots))
	t.Logf("%d bodies served, %d refused, at most %d MB at a server", f.served, f.refused, f.mostHeld*floodBody>>20)
}
