package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxExplainedServers bounds the list of an Explanation.
const maxExplainedServers = 10

// Explanation is the decision that Acquire would make, with its inputs.
type Explanation struct {
	// Decision has no grant.
	Decision Decision `json:"-"`
	// Server is the granted one, "" for a refusal.
	Server           string  `json:"server,omitempty"`
	Refused          Reason  `json:"refused,omitempty"`
	Because          string  `json:"because,omitempty"`
	RetryAfterMillis float64 `json:"retry_after_ms,omitempty"`
	HedgeDelayMillis float64 `json:"hedge_delay_ms,omitempty"`
	// Trial is set if the server is granted although its estimate is late.
	Trial bool `json:"trial,omitempty"`
	// Returned is set if the request would be taken for the return of a refused one.
	Returned bool `json:"returned,omitempty"`
	// Busy is the fraction of the service's slots that is taken.
	Busy float64 `json:"busy"`
	// Candidates tells among which servers the choice was made.
	Candidates Candidates `json:"candidates"`
	// Servers are the candidates, the best first, and after them servers that were
	// excluded, at most maxExplainedServers in all.
	Servers []ServerEstimate `json:"servers,omitempty"`
	// Considered is the number of candidates, Excluded that of other servers by reason.
	Considered int               `json:"considered"`
	Excluded   map[Exclusion]int `json:"excluded,omitempty"`
	// DigestAgeMillis is the time since the last digest of each other region.
	DigestAgeMillis map[string]float64 `json:"digest_age_ms,omitempty"`
}

// Candidates tells which servers the last choice considered.
type Candidates struct {
	// Filter is "healthy", "free" (healthy with a free slot) or "any" (also those marked
	// down).
	Filter string `json:"filter"`
	// AllRegions is set if the bound on shifts between regions was ignored, PaceIgnored if
	// the pace of servers was.
	AllRegions  bool `json:"all_regions,omitempty"`
	PaceIgnored bool `json:"pace_ignored,omitempty"`
}

var filterNames = map[serverFilter]string{healthyServers: "healthy", freeServers: "free", anyServer: "any"}

// ServerEstimate is a server with the estimate for a request.
type ServerEstimate struct {
	Server        string    `json:"server"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"domain"`
	Excluded      Exclusion `json:"excluded,omitempty"`
	WaitMillis    float64   `json:"wait_ms"`
	ServiceMillis float64   `json:"service_ms"`
	FinishMillis  float64   `json:"finish_ms"`
	CostMillis    float64   `json:"cost_ms"`
	// InTime is set if the server is preferred as one that answers within the objective.
	InTime      bool    `json:"in_time"`
	HoldsObject bool    `json:"holds_object"`
	Load        float64 `json:"load"`
	Slots       int     `json:"slots"`
	Cold        bool    `json:"cold,omitempty"`
	Down        bool    `json:"down,omitempty"`
	// Pace is the limit of a paced server, 0 of others.
	Pace     int     `json:"pace,omitempty"`
	Slowness float64 `json:"slowness"`
	// TimeFactor is the service time relative to the server's usual one by its reports.
	TimeFactor float64 `json:"time_factor"`
	Failures   float64 `json:"failure_rate"`
	// LoadReportAgeMillis is the age of the last load that the server reported, nil if
	// there is none.
	LoadReportAgeMillis *float64 `json:"load_report_age_ms,omitempty"`

	est estimate
}

// Explain returns the decision that Acquire would make, and changes nothing. adopt is the
// pool from which AdoptTimes would be called before, nil if none. It copies the servers and
// the averages of the workspaces, so that it takes longer than Acquire.
func (p *Pool) Explain(now time.Duration, r Request, adopt *Pool) Explanation {
	c := p.scratch(r.Class)
	if adopt != nil {
		c.AdoptTimes(adopt, r.Class)
	}
	o, d := c.resolve(now, r)
	e := Explanation{
		Decision: d, Server: d.Server, Refused: d.Refused, Because: o.because, RetryAfterMillis: millis(d.RetryAfter), HedgeDelayMillis: millis(d.HedgeDelay),
		Trial: o.est.trial, Returned: o.returned, Busy: d.Busy,
		Candidates:      Candidates{Filter: filterNames[o.est.filter], AllRegions: o.est.allServers, PaceIgnored: o.paceIgnored},
		DigestAgeMillis: c.digestAges(now),
	}
	c.paceIgnored = o.paceIgnored
	c.restrictOccupancy(now, r)
	e.setServers(c.estimateAll(now, r, o.est))
	return e
}

// setServers fills the list from the estimates of all servers, sorted by preference.
func (e *Explanation) setServers(list []ServerEstimate) {
	slices.SortStableFunc(list, func(a, b ServerEstimate) int {
		switch {
		case (a.Excluded == "") != (b.Excluded == ""):
			return sign(a.Excluded == "")
		case a.est.betterThan(b.est):
			return -1
		case b.est.betterThan(a.est):
			return 1
		}
		return 0
	})
	for _, s := range list {
		if s.Excluded == "" {
			e.Considered++
			continue
		}
		if e.Excluded == nil {
			e.Excluded = map[Exclusion]int{}
		}
		e.Excluded[s.Excluded]++
	}
	e.Servers = list[:min(len(list), maxExplainedServers)]
}

// sign returns the result of a comparison in which the first value comes first or last.
func sign(first bool) int {
	if first {
		return -1
	}
	return 1
}

// scratch returns a copy of the pool in which resolve can be called for a request of the
// class. What resolve does not change is shared; what only grants use is left out.
func (p *Pool) scratch(className string) *Pool {
	c := *p
	c.servers, c.leavingMarks, c.requestedObjects, c.paceEvents = nil, nil, nil, nil
	c.lastRequestByRank, c.scarcity = maps.Clone(p.lastRequestByRank), p.scarcity.clone()
	c.classes = map[string]*class{}
	if old := p.classes[className]; old != nil {
		copied := *old
		c.classes[className] = &copied
	}
	copies := make([]server, len(p.list))
	c.list, c.firstChoice = make([]*server, len(p.list)), make([]*server, 0, len(p.firstChoice))
	for i, s := range p.list {
		copies[i] = *s
		c.list[i] = &copies[i]
		// firstChoice is a part of list in the same order.
		if n := len(c.firstChoice); n < len(p.firstChoice) && p.firstChoice[n] == s {
			c.firstChoice = append(c.firstChoice, &copies[i])
		}
	}
	return &c
}

// estimateAll returns all servers with their estimates, and why they were excluded from the
// choice that led to est.
func (p *Pool) estimateAll(now time.Duration, r Request, est estimate) []ServerEstimate {
	c := p.class(r.Class, r.Objective-now)
	key := objectKey(r.Class, r.Key)
	keyHash := xxhash.Sum64String(key)
	allowedByRegion := map[string]bool{}
	list := make([]ServerEstimate, 0, len(p.list))
	for _, s := range p.list {
		e := p.serverEstimate(now, s, p.estimate(now, r, c, s, key, keyHash))
		e.Excluded = p.exclusion(now, r, s, est.filter)
		if e.Excluded == "" && !est.allServers && s.place.foreign {
			switch {
			case s.position >= maxForeignCandidates:
				e.Excluded = ExcludedPosition
			case !p.shiftAllowed(now, allowedByRegion, s.region):
				e.Excluded = ExcludedShift
			}
		}
		list = append(list, e)
	}
	return list
}

func (p *Pool) serverEstimate(now time.Duration, s *server, est estimate) ServerEstimate {
	e := ServerEstimate{
		Server: s.id, Region: s.region, FailureDomain: s.failureDomain, WaitMillis: millis(est.wait), ServiceMillis: millis(est.service),
		FinishMillis: millis(est.finish), CostMillis: millis(est.cost), InTime: est.countsAsInTime, HoldsObject: est.holdsObject,
		Load: s.load(now), Slots: s.slots, Cold: s.cold(now), Down: !s.available(now), Slowness: s.slowness,
		TimeFactor: s.reportedFactor.expected(now), Failures: s.failureRate(now), est: est,
	}
	if limit, ok := s.paceLimit(now); ok && p.Paces(now) {
		e.Pace = int(limit)
	}
	if s.reportedAt >= 0 {
		age := millis(now - s.reportedAt)
		e.LoadReportAgeMillis = &age
	}
	return e
}

// digestAges returns the time since the last digest of each other region that has sent one.
func (p *Pool) digestAges(now time.Duration) map[string]float64 {
	ages := map[string]float64{}
	for _, s := range p.list {
		for _, c := range s.foreignCounts {
			age := millis(now - c.receivedAt)
			if old, ok := ages[c.region]; !ok || age < old {
				ages[c.region] = age
			}
		}
	}
	return ages
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
