package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// estimate predicts the times of a request at one server and rates the choice of
// that server.
type estimate struct {
	holdsObject           bool // true also if the request has no object
	wait, service, finish time.Duration
	cost                  time.Duration
	trial                 bool // the request is granted as a trial
	// filter and allServers tell among which servers the choice was made: allServers is
	// set for the second pass of choose.
	filter     serverFilter
	allServers bool
	// countsAsInTime is set if the answer is expected within the objective, or if the
	// server is preferred as if it were: for its trial request, or to fetch the object
	// of a large body.
	countsAsInTime bool
}

// serverFilter selects the servers that choose considers.
type serverFilter int8

const (
	// healthyServers are the servers that are expected to answer.
	healthyServers serverFilter = iota
	// freeServers are healthy servers with a free slot.
	freeServers
	// anyServer also includes servers that are marked down or refused a request
	// lately.
	anyServer
)

// choose returns the server with the best estimate for the request, or nil if
// none is usable. It tries two passes. The first respects the bound on shifts between
// regions and considers at most maxForeignCandidates servers of each other region. If
// none of its servers is usable, the second considers all and ignores the bound. A full
// region alone does not lead to the second pass: full servers are usable, except for requests
// that need a free slot, which then get none.
func (p *Pool) choose(now time.Duration, r Request, c *class, filter serverFilter) (*server, estimate) {
	var best *server
	var bestEst estimate
	key := objectKey(r.Class, r.Key)
	keyHash := xxhash.Sum64String(key)
	allowedByRegion := map[string]bool{}
	passes := 2
	if filter == freeServers {
		passes = 1 // for a free server the bound on shifts is hard
	}
	for pass := 0; pass < passes && best == nil; pass++ {
		if (p.paceSkipped || p.fullSkipped) && (pass > 0 || filter == anyServer) {
			return nil, bestEst // a paced or full server comes before these; see decideAtPace and needsFreeSlot
		}
		candidates := p.firstChoice
		if pass > 0 {
			candidates = p.list
		}
		for _, s := range candidates {
			if pass == 0 && s.place.foreign && !p.shiftAllowed(now, allowedByRegion, s.region) || !p.usable(now, r, s, filter) {
				continue
			}
			est := p.estimate(now, r, c, s, key, keyHash)
			if best == nil || est.betterThan(bestEst) {
				best, bestEst = s, est
			}
		}
		bestEst.filter, bestEst.allServers = filter, pass > 0
	}
	return best, bestEst
}

// shiftAllowed reports whether the bound on shifts allows one more request in another
// region. allowedByRegion caches the results for the present request.
func (p *Pool) shiftAllowed(now time.Duration, allowedByRegion map[string]bool, region string) bool {
	allowed, ok := allowedByRegion[region]
	if !ok {
		allowed = p.shiftLimiter.allows(now, region)
		allowedByRegion[region] = allowed
	}
	return allowed
}

// betterThan reports whether e is preferable to other: an answer within the
// objective comes before a late one, then the lower cost.
func (e estimate) betterThan(other estimate) bool {
	if e.countsAsInTime != other.countsAsInTime {
		return e.countsAsInTime
	}
	return e.cost < other.cost
}

// usable reports whether the request may be sent to the server; see exclusion.
func (p *Pool) usable(now time.Duration, r Request, s *server, filter serverFilter) bool {
	return p.exclusion(now, r, s, filter) == ""
}

// exclusion returns why the request may not be sent to the server, "" if it may. A server
// without a free slot is usable unless the filter or the request requires one; one that is
// marked down or refused a request lately is usable only with anyServer, and a paced one
// without room only while paceIgnored is set. The other conditions always hold.
func (p *Pool) exclusion(now time.Duration, r Request, s *server, filter serverFilter) Exclusion {
	switch {
	case s.draining:
		return ExcludedDraining
	case s.replaced:
		return ExcludedReplaced
	case s.leaving(now):
		return ExcludedLeaving
	case s.evacuated:
		return ExcludedEvacuated
	case slices.Contains(r.Exclude, s.id):
		return ExcludedByHost
	case len(r.Allowed) > 0 && !slices.Contains(r.Allowed, s.region):
		return ExcludedRegion
	case s.cold(now) && !p.mayUseCold(now, s):
		return ExcludedCold
	case filter == freeServers && s.load(now) >= float64(s.slots):
		return ExcludedFull
	case filter != anyServer && !s.available(now):
		if now < s.shedUntil {
			return ExcludedRefused
		}
		return ExcludedDown
	case s.load(now) >= float64(s.slots) && p.needsFreeSlot(now, r):
		p.fullSkipped = true
		return ExcludedFull
	case !p.paceIgnored && !p.hasPaceRoom(now, s):
		p.paceSkipped = true
		return ExcludedPaced
	}
	return ""
}

// mayUseCold reports whether the pool may send a request to a cold server now. Only
// shared pools of the server's own region may, at a fixed fraction of the bound over
// all hosts each (see coldPools). Otherwise the number of pools that divide the bound
// would grow with the hosts and regions.
func (p *Pool) mayUseCold(now time.Duration, s *server) bool {
	return p.opts.Shared && !s.place.foreign && s.availableColdTokens(now, p.coldRateShare, p.opts.Limits.coldBurst()) >= 1
}

// estimate predicts the times of a request at a server and the cost of choosing
// it. hash is the hash of key; key is "" if the request has no object.
func (p *Pool) estimate(now time.Duration, r Request, c *class, s *server, key string, hash uint64) estimate {
	est := estimate{holdsObject: key == "" || s.holds(key)}
	typical, load := c.hitTime(), s.load(now)
	p.estimateTimes(now, &r, c, s, load, typical, &est)
	est.countsAsInTime = now+est.finish <= r.Objective
	est.cost = p.timeCost(now, &r, &est) + serverCost(now, s, load) + placeCost(s, key, hash)
	if p.wantsFirstRequest(now, s) {
		// A server that has joined and is not cold gets one trial request even if others
		// hold the object, so that the requests after it find the object here too.
		est.cost, est.countsAsInTime = 0, true
	}
	if !est.holdsObject && p.mayFetchFor(&r, s, load) {
		// A server of the sender's failure domain fetches the object, so that later
		// requests of the domain need not send their bodies to another one.
		est.cost -= time.Duration((1 + slotTimeWeight) * float64(est.service-typical) * (1 - 1.0/largeBodyUses))
		est.countsAsInTime = true
	}
	if s.failureDomain != r.FailureDomain {
		est.cost += time.Duration(float64(r.Bytes+c.answerBytes) / 1024 * float64(crossDomainKilobyteCost))
	}
	return est
}

// estimateTimes sets the times of an estimate. typical is the time of service of a request
// whose object the server holds.
func (p *Pool) estimateTimes(now time.Duration, r *Request, c *class, s *server, load float64, typical time.Duration, est *estimate) {
	est.service = typical
	if !est.holdsObject {
		est.service = c.missTime()
	}
	factor := s.reportedFactor.expected(now)
	queueFactor := s.slowness * factor
	if s.cold(now) {
		factor = max(factor, coldTimeFactor) // the report may include that it is cold
	}
	est.service = time.Duration(float64(est.service) * s.slowness * factor)
	est.wait = s.queueTime(load, time.Duration(float64(typical)*queueFactor))
	roundTripTime := s.place.roundTrip
	est.finish = roundTripTime + est.wait + est.service
	if s.place.foreign {
		est.finish += time.Duration(float64(roundTripTime) * float64(r.Bytes) / roundTripBytes)
		if lastRequest, ok := s.lastRequestByHost[r.Host]; !ok || now-lastRequest > connectionReuseTime {
			est.finish += roundTripTime
		}
	}
}

// timeCost returns the cost of the expected times of a request.
func (p *Pool) timeCost(now time.Duration, r *Request, est *estimate) time.Duration {
	cost := est.finish + time.Duration((slotTimeWeight+busySlotTimeWeight*p.occupancy)*float64(est.service))
	if r.NoHedge && p.percentReported(now) {
		cost += time.Duration(unhedgedTimeWeight * float64(est.finish))
	}
	return cost
}

// serverCost returns the cost of the load and the failures of a server.
func serverCost(now time.Duration, s *server, load float64) time.Duration {
	return time.Duration(s.utilizationForLoad(now, load)*float64(utilizationCost)) + time.Duration(s.failureRate(now)*float64(failureCost))
}

// placeCost returns the cost of a server of another region, and a part that spreads objects
// over the servers.
func placeCost(s *server, key string, hash uint64) time.Duration {
	cost, spreadLimit := time.Duration(0), maxSpreadCost
	if s.place.foreign {
		cost = foreignCost + time.Duration(s.position)*foreignPositionCost
		spreadLimit = maxForeignSpreadCost
	}
	if key != "" {
		cost += time.Duration(hashFraction(hash, s.hash) * float64(spreadLimit))
	}
	return cost
}

// wantsFirstRequest reports whether a server that has joined gets its trial request now.
func (p *Pool) wantsFirstRequest(now time.Duration, s *server) bool {
	return !s.place.foreign && p.opts.Shared && !s.tried && !s.cold(now) && now-s.addedAt > trialDelay && s.inflight == 0
}

// mayFetchFor reports whether a server may fetch the object of a request with a large body for
// later requests of its failure domain. A server whose object capacity is exhausted would evict
// another object.
func (p *Pool) mayFetchFor(r *Request, s *server, load float64) bool {
	return s.failureDomain == r.FailureDomain && r.Bytes >= largeBodyBytes && len(s.objects) < int(p.objectCapacity) &&
		load < float64(s.slots) && p.occupancy < spareOccupancy
}

// hashFraction returns a number in [0, 1) that depends only on the hashes of an
// object (or region) and a server.
func hashFraction(object, server uint64) float64 {
	const mixer = 0xff51afd7ed558ccd // the multiplier of MurmurHash3's finalizer
	h := (object ^ server) * mixer
	h = (h ^ h>>33) * mixer
	return float64((h^h>>33)>>11) / (1 << 53)
}

// orderForeignServers sets the position of each server within its region, and
// firstChoice. The order depends on the pool's region, so that regions prefer different
// servers.
func (p *Pool) orderForeignServers() {
	regionHash := xxhash.Sum64String(p.opts.Region)
	ordered := slices.Clone(p.list)
	slices.SortFunc(ordered, func(a, b *server) int {
		return cmp.Compare(hashFraction(regionHash, a.hash), hashFraction(regionHash, b.hash))
	})
	nextPosition := map[string]int{}
	for _, s := range ordered {
		s.position = nextPosition[s.region]
		nextPosition[s.region]++
	}
	p.firstChoice = p.firstChoice[:0]
	for _, s := range p.list {
		if !s.place.foreign || s.position < maxForeignCandidates {
			p.firstChoice = append(p.firstChoice, s)
		}
	}
}
