package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// Parameters of the observations of a server.
const (
	// maxReportAge is how long a load reported by the server is used.
	maxReportAge = 200 * time.Millisecond
	// maxForeignCountAge is how long another region's count of requests is used.
	maxForeignCountAge = 1500 * time.Millisecond
	// utilizationTimeConstant is the time constant of the utilization average.
	utilizationTimeConstant = 2 * time.Second
	// failureTimeConstant applies to the decay of the failure rate.
	failureTimeConstant = 4 * time.Second
	// failureGain is the weight of one outcome in the failure rate.
	failureGain = 1.0 / 6
	// negligibleFailureRate is the failure rate below which it counts as 0.
	negligibleFailureRate = 0.001
	// slownessTimeConstant applies to the decay of an idle server's slowness towards 1.
	slownessTimeConstant = 4 * time.Second
	// minBackoff is how long a server is left out after it was first marked down; the
	// time doubles each time that it is marked down again before a request is Served.
	minBackoff = 400 * time.Millisecond
	// maxBackoff bounds that time.
	maxBackoff = 1600 * time.Millisecond
	// trialDelay is how long a server is known before it may get a trial request: most
	// get a request earlier anyway.
	trialDelay = 800 * time.Millisecond
	// shedBackoff is how long a server that refused a request is left out.
	shedBackoff = 60 * time.Millisecond
	// maxConsecutiveTimeouts is the count of timeouts and observations of overdue
	// requests since the last Served or Shed one at which a timeout marks the server
	// down.
	maxConsecutiveTimeouts = 2
)

type foreignCount struct {
	region     string
	inflight   int
	receivedAt time.Duration
}

// server is a pool's state of one incarnation of a backend server.
type server struct {
	hash                               uint64 // of id
	id, address, failureDomain, region string
	startedAtMillis                    int64
	slots                              int
	evacuated                          bool          // its failure domain gets no requests
	place                              *place        // of its region
	leavingUntil                       time.Duration // from the pool's leavingMark, 0 if there is none
	draining, replaced                 bool          // replaced: from a Misdirected request until Update brings a new incarnation or address

	position          int                      // in its region, in an order that depends on the pool's region
	lastRequestByHost map[string]time.Duration // by entry host, if the server is in another region
	tried             bool                     // it was granted a request, here or by an earlier dispatcher
	addedAt           time.Duration            // to the pool
	inflight          int
	expectedWork      time.Duration  // sum of the expected service times in flight
	foreignCounts     []foreignCount // one for each other region that sends digests
	reportedLoad      int
	reportedAt        time.Duration
	reportedFactor    timeFactor

	coldUntil    time.Duration
	coldTokens   float64
	coldTokensAt time.Duration

	downUntil        time.Duration // 0 unless the server is marked down; only a Served request clears it
	backoff          time.Duration
	mayHaveRestarted bool // it was marked down as unreachable or by a timeout, not by overdue requests alone
	unanswered       int  // timeouts and observations of overdue requests since the last Served or Shed one
	shedUntil        time.Duration
	pacing           pacing

	slowness          float64 // service time relative to the class
	slownessAt        time.Duration
	lastFailureRate   float64
	lastFailureRateAt time.Duration
	lastUtilization   float64
	lastUtilizationAt time.Duration

	objects map[string]time.Duration // objects assumed to be held, with their last use
}

func newServer(now time.Duration, b *fleet.Backend) *server {
	return &server{
		hash: xxhash.Sum64String(b.ID), id: b.ID, address: b.Address, startedAtMillis: b.StartedAtMillis,
		slowness: 1, addedAt: now, coldTokensAt: now, reportedAt: -maxReportAge, lastUtilizationAt: now, lastFailureRateAt: now,
		objects: map[string]time.Duration{}, lastRequestByHost: map[string]time.Duration{},
	}
}

// load estimates the requests that the server runs or queues.
func (s *server) load(now time.Duration) float64 {
	n := s.inflight
	for _, c := range s.foreignCounts {
		if now-c.receivedAt <= maxForeignCountAge {
			n += c.inflight
		}
	}
	if now-s.reportedAt <= maxReportAge {
		n = max(n, s.reportedLoad)
	}
	return float64(n)
}

// removeGrant takes a grant out of the load.
func (s *server) removeGrant(now time.Duration, g *grant) {
	s.inflight--
	s.expectedWork -= g.expectedService
	s.updateUtilization(now)
}

// queueTime estimates how long a further request waits for a slot at the given
// load in requests. typical is the service time assumed for requests of other
// pools.
func (s *server) queueTime(load float64, typical time.Duration) time.Duration {
	excess := load + 1 - float64(s.slots)
	if excess <= 0 {
		return 0
	}
	if s.inflight > 0 {
		typical = max(typical, s.expectedWork/time.Duration(s.inflight))
	}
	return time.Duration(excess / float64(s.slots) * float64(typical))
}

// setForeignCount records how many requests another region has in flight at the
// server.
func (s *server) setForeignCount(region string, inflight int, now time.Duration) {
	for i := range s.foreignCounts {
		if s.foreignCounts[i].region == region {
			s.foreignCounts[i].inflight, s.foreignCounts[i].receivedAt = inflight, now
			return
		}
	}
	s.foreignCounts = append(s.foreignCounts, foreignCount{region: region, inflight: inflight, receivedAt: now})
}

// decay approximates exp(-age/constant) at a lower cost, as it is evaluated for
// each server and request.
func decay(age, constant time.Duration) float64 {
	x := float64(age) / float64(constant)
	return 1 / (1 + x*(1+x*(1.0/2+x/6)))
}

// updateUtilization is called after each change of inflight. It adds the time since
// the previous change to the utilization average, at the load after the change.
func (s *server) updateUtilization(now time.Duration) {
	s.lastUtilization = s.utilization(now)
	s.lastUtilizationAt = now
}

func (s *server) utilization(now time.Duration) float64 {
	return s.utilizationForLoad(now, s.load(now))
}

func (s *server) utilizationForLoad(now time.Duration, load float64) float64 {
	current := min(load/float64(max(s.slots, 1)), 1)
	return current + (s.lastUtilization-current)*decay(now-s.lastUtilizationAt, utilizationTimeConstant)
}

// cold reports whether the server has started recently, or may have, and so takes
// only a limited rate of requests. It says nothing about objects.
func (s *server) cold(now time.Duration) bool { return now < s.coldUntil }

// availableColdTokens returns the number of requests that this pool's token bucket
// allows to the server now while it is cold. rate is in tokens per second.
func (s *server) availableColdTokens(now time.Duration, rate, burst float64) float64 {
	return min(s.coldTokens+rate*(now-s.coldTokensAt).Seconds(), burst)
}

func (s *server) takeColdToken(now time.Duration, rate, burst float64) {
	s.coldTokens, s.coldTokensAt = s.availableColdTokens(now, rate, burst)-1, now
}

// available reports whether the server is expected to answer. After its backoff a
// server that was marked down gets one request at a time from this pool until one is
// Served, and more only if no other server is usable.
func (s *server) available(now time.Duration) bool {
	if now < s.shedUntil {
		return false
	}
	if s.downUntil == 0 {
		return true
	}
	return now >= s.downUntil && s.inflight == 0
}

// takesRequests reports whether the server takes requests and is expected to answer.
func (s *server) takesRequests(now time.Duration) bool {
	return !s.draining && !s.replaced && !s.leaving(now) && !s.evacuated && s.available(now)
}

func (s *server) failureRate(now time.Duration) float64 {
	if s.lastFailureRate == 0 {
		return 0
	}
	return s.lastFailureRate * decay(now-s.lastFailureRateAt, failureTimeConstant)
}

// recordOutcome adds one success (0) or failure (1) to the failure rate.
func (s *server) recordOutcome(now time.Duration, failed float64) {
	rate := s.failureRate(now)
	if s.lastFailureRate, s.lastFailureRateAt = rate+(failed-rate)*failureGain, now; s.lastFailureRate < negligibleFailureRate {
		s.lastFailureRate = 0
	}
}

func (s *server) recordSuccess(now time.Duration) {
	s.recordOutcome(now, 0)
	s.downUntil, s.backoff, s.unanswered = 0, 0, 0
}

func (s *server) recordFailure(now time.Duration, unreachable bool) {
	s.recordOutcome(now, 1)
	if !unreachable {
		return
	}
	s.mayHaveRestarted = true
	s.markDown(now)
}

func (s *server) markDown(now time.Duration) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.downUntil = now + s.backoff
	s.clearObjects()
}

func (s *server) recordShed(now time.Duration) {
	s.recordOutcome(now, 1)
	s.shedUntil = now + shedBackoff
	s.unanswered = 0
}

// recordTimeout records a request that was not answered in time.
func (s *server) recordTimeout(now time.Duration) {
	s.recordOutcome(now, 1)
	s.unanswered++
	if s.unanswered >= maxConsecutiveTimeouts {
		s.mayHaveRestarted = true
		s.markDown(now)
	}
}

func (s *server) holds(key string) bool { _, ok := s.objects[key]; return ok }

// reuseDistanceOf returns the number of objects that the server was asked for
// since it was last asked for the given one, 0 if it does not hold that one.
func (s *server) reuseDistanceOf(key string) int {
	lastUse, held := s.objects[key]
	if !held {
		return 0
	}
	n := 0
	for _, at := range s.objects {
		if at > lastUse {
			n++
		}
	}
	return n
}

// recordUse records a request about an object and evicts the least recently used
// objects beyond capacity. It reports whether the object is new to the server.
func (s *server) recordUse(key string, now time.Duration, capacity int) bool {
	_, held := s.objects[key]
	s.objects[key] = now
	for len(s.objects) > capacity {
		s.evict()
	}
	return !held
}

func (s *server) evict() {
	oldest, at := "", time.Duration(math.MaxInt64)
	for k, t := range s.objects {
		if t < at || t == at && k < oldest {
			oldest, at = k, t
		}
	}
	s.removeObject(oldest)
}

func (s *server) removeObject(key string) { delete(s.objects, key) }

func (s *server) clearObjects() { clear(s.objects) }
