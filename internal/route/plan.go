package route

import (
	"math/rand/v2"
	"time"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

const (
	// retryBase is the mean retry-after of refusals for overload.
	retryBase = 2 * time.Second
	// retryLost is the mean retry-after while no region has the service.
	retryLost = 4 * time.Second
)

// Request is what Decide needs to know of a request.
type Request struct {
	Service, Rank int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Shifted tells that the origin of the request is not the local region.
	Shifted bool
	// Forwarded tells that another region sent the request here. It is not
	// forwarded again.
	Forwarded bool
}

func (r Request) key() cellKey { return cellKey{r.Service, r.Rank, r.Shifted} }

// Decision is the region to serve a request, or a refusal.
type Decision struct {
	// Region is valid if Refusal.Kind is empty.
	Region  int
	Refusal outcome.Outcome
}

// Refused tells whether the request is refused.
func (d Decision) Refused() bool { return d.Refusal.Kind != "" }

// Plan is an immutable snapshot of the control loops of a Table.
type Plan struct {
	settings Settings
	entries  []planEntry
}

// maxRegions bounds the regions of a plan entry that may receive a share, the
// ones with the largest share first.
const maxRegions = 4

type planEntry struct {
	// upTo holds the cumulated shares of regions.
	upTo    [maxRegions]float64
	regions [maxRegions]int
	waits   [maxRegions]time.Duration
	count   int
	lost    bool    // the local pool cannot serve
	admit   float64 // share of the rest that is sent to the local pool
}

func (t *Table) entry(now time.Duration, k cellKey, c *cell) planEntry {
	p := t.pool(t.settings.Local, k.service)
	e := planEntry{admit: c.admit, lost: now-t.at[p] <= MaxDigestAge && !t.up[p]}
	sum := 0.0
	for e.count < maxRegions {
		best := -1
		for region, share := range c.shares {
			if share > 0 && !e.has(region) && (best < 0 || share > c.shares[best]) {
				best = region
			}
		}
		if best < 0 {
			break
		}
		sum += c.shares[best]
		e.regions[e.count], e.upTo[e.count] = best, sum
		e.waits[e.count] = t.views[t.pool(best, k.service)*len(t.settings.Ranks)+k.rank].Wait
		e.count++
	}
	return e
}

func (e *planEntry) has(region int) bool {
	for i := range e.count {
		if e.regions[i] == region {
			return true
		}
	}
	return false
}

// Decide returns the region to serve a request. It prefers the local region
// and refuses a request before it crosses a link between regions when its
// deadline cannot be met there.
func (p *Plan) Decide(r Request, rng *rand.Rand) Decision {
	e := &p.entries[p.settings.cell(r.key())]
	serviceTime := p.settings.Services[r.Service].ServiceTime
	if r.Remaining <= 0 {
		return refuse(outcome.ReasonLate, 0, rng)
	}
	if !r.Forwarded {
		u := rng.Float64()
		for i := range e.count {
			if u >= e.upTo[i] {
				continue
			}
			region := e.regions[i]
			if 2*p.settings.Regions[region].Delay+e.waits[i]+serviceTime <= r.Remaining {
				return Decision{Region: region}
			}
			break
		}
	}
	if e.lost {
		return refuse(outcome.ReasonNoOwner, retryLost, rng)
	}
	if e.admit < 1 && rng.Float64() >= e.admit {
		return refuse(outcome.ReasonBusy, retryBase, rng)
	}
	return Decision{Region: p.settings.Local}
}

// refuse spreads the retry-after over 0.5 to 1.5 times the mean.
func refuse(reason outcome.Reason, mean time.Duration, rng *rand.Rand) Decision {
	after := time.Duration((0.5 + rng.Float64()) * float64(mean))
	return Decision{Refusal: outcome.Refuse(reason, after)}
}
