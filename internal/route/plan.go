package route

import (
	"math/rand/v2"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

const (
	// retryAfterBusy is the mean retry-after of refusals because of overload.
	// Callers do not get it, since the router sends these requests to the local
	// pool.
	retryAfterBusy = 2 * time.Second
	// retryAfterNoOwner is the mean retry-after while the local pool cannot serve
	// requests and no other region is chosen. Callers do not get it either.
	retryAfterNoOwner = 4 * time.Second
)

// Request holds the properties of a request that routing needs. Service and Rank
// are indexes into Settings.
type Request struct {
	Service, Rank int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Shifted is true if the request originates in another region.
	Shifted bool
	// Forwarded is true if another region sent the request here. Such a request
	// is not forwarded again.
	Forwarded bool
}

func (r Request) key() loopKey { return loopKey{r.Service, r.Rank, r.Shifted} }

// Decision is the region that is to serve a request, or a refusal.
type Decision struct {
	// Region is the index of the region. It is valid if Refusal.Kind is empty.
	Region  int
	Refusal outcome.Outcome
}

// Refused reports whether the request is refused.
func (d Decision) Refused() bool { return d.Refusal.Kind != "" }

// Plan is an immutable snapshot of the control loops of a Table. Each loop controls
// the spill of a service and rank, for requests of local or of other origin: the
// sum of the shares of requests that this host sends to each other region.
type Plan struct {
	settings Settings
	entries  []planEntry
}

// maxRegions bounds the number of other regions in a plan entry. The regions
// with the largest shares are used.
const maxRegions = 4

// planEntry holds the decisions of one control loop. The first count entries of
// its arrays are used, in descending order of the share of requests.
type planEntry struct {
	// cumulative holds the sum of the shares up to and including each region.
	cumulative [maxRegions]float64
	regions    [maxRegions]int
	waits      [maxRegions]time.Duration
	count      int
	localLost  bool    // the local pool has no owner or no usable backend server
	admitShare float64 // share of the remaining requests that Decide does not advise to refuse
}

func (t *Table) newPlanEntry(now time.Duration, k loopKey, c *controlLoop) planEntry {
	p := t.pool(t.settings.Local, k.service)
	e := planEntry{admitShare: c.admitShare, localLost: now-t.observedAt[p] <= MaxDigestAge && !t.up[p]}
	sum := 0.0
	for e.count < maxRegions {
		best := -1
		for region, share := range c.shares {
			if share > 0 && !e.contains(region) && (best < 0 || share > c.shares[best]) {
				best = region
			}
		}
		if best < 0 {
			break
		}
		sum += c.shares[best]
		e.regions[e.count], e.cumulative[e.count] = best, sum
		e.waits[e.count] = t.views[t.pool(best, k.service)*len(t.settings.Ranks)+k.rank].Wait
		e.count++
	}
	return e
}

func (e *planEntry) contains(region int) bool {
	for i := range e.count {
		if e.regions[i] == region {
			return true
		}
	}
	return false
}

// Decide returns the region that is to serve a request. Each other region is
// chosen with the probability of its share. A request that was forwarded, or whose
// deadline cannot be met in the chosen region, stays in the local region, so that
// it does not cross a link in vain. A request is refused if its deadline has
// passed. A refusal because the local pool cannot serve requests or is overloaded
// is only advice: the router lets that pool decide. Concurrent calls must not
// share rng.
func (p *Plan) Decide(r Request, rng *rand.Rand) Decision {
	e := &p.entries[p.settings.loopIndex(r.key())]
	serviceTime := p.settings.Services[r.Service].ServiceTime
	if r.Remaining <= 0 {
		return refuse(outcome.ReasonLate, 0, rng)
	}
	if !r.Forwarded {
		u := rng.Float64()
		for i := range e.count {
			if u >= e.cumulative[i] {
				continue
			}
			region := e.regions[i]
			if 2*p.settings.Regions[region].Delay+e.waits[i]+serviceTime <= r.Remaining {
				return Decision{Region: region}
			}
			break
		}
	}
	if e.localLost {
		return refuse(outcome.ReasonNoOwner, retryAfterNoOwner, rng)
	}
	if e.admitShare < 1 && rng.Float64() >= e.admitShare {
		return refuse(outcome.ReasonBusy, retryAfterBusy, rng)
	}
	return Decision{Region: p.settings.Local}
}

// refuse returns a refusal with a retry-after spread evenly over 0.5 to 1.5 times
// the mean.
func refuse(reason outcome.Reason, mean time.Duration, rng *rand.Rand) Decision {
	after := time.Duration((0.5 + rng.Float64()) * float64(mean))
	return Decision{Refusal: outcome.Refuse(reason, after)}
}
