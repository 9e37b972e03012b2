package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// Times after which observations of a server lose their weight.
const (
	// reportAge is how long a reported load is used.
	reportAge = 200 * time.Millisecond
	// peerAge is how long another region's count of requests is used.
	peerAge = 1500 * time.Millisecond
	// utilizationTime is the time constant of the utilization.
	utilizationTime = 2 * time.Second
	// failureTime is the time constant of the failure rate.
	failureTime = 4 * time.Second
	// failureGain is the weight of one outcome in the failure rate, and negligible
	// the rate that counts as none.
	failureGain, negligible = 1.0 / 6, 0.001
	// slownessTime is the time constant with which a slow server is trusted again.
	slownessTime = 4 * time.Second
	// firstPause and maxPause bound the time for which a server that cannot be
	// reached is left out.
	firstPause, maxPause = 400 * time.Millisecond, 1600 * time.Millisecond
	// trialDelay is how long a server is known before it gets a request for its
	// own sake: most get one earlier.
	trialDelay = 800 * time.Millisecond
	// shedPause is how long a server that refused a request is left out.
	shedPause = 60 * time.Millisecond
	// overdueLimit is the number of requests without an answer in a row after
	// which a server counts as down.
	overdueLimit = 2
)

type peerCount struct {
	region   string
	inflight int
	at       time.Duration
}

// server is what a pool believes of one incarnation of a backend server.
type server struct {
	hash                        uint64 // of id
	id, address, domain, region string
	born                        int64
	slots                       int
	draining, gone              bool

	rank       int                      // in the order of the pool's region
	senders    map[string]time.Duration // last request by entry host, for other regions
	tried      bool                     // a request was given to the server
	known      time.Duration            // when the pool learnt of the server
	inflight   int
	expected   time.Duration // sum of the expected service times in flight
	peers      []peerCount   // one for each other region that sends
	reported   int
	reportedAt time.Duration

	coldUntil time.Duration
	tokens    float64
	tokensAt  time.Duration

	downUntil time.Duration // 0 while the server answers
	pause     time.Duration
	restarted bool // a connection was refused or could not be made
	missed    int  // requests without an answer in a row
	shedUntil time.Duration

	slowness   float64 // service time relative to the class
	slownessAt time.Duration
	failures   float64
	failuresAt time.Duration
	used       float64
	usedAt     time.Duration

	keys map[string]time.Duration // objects held, with the last use
}

func newServer(now time.Duration, b *fleet.Backend) *server {
	return &server{
		hash: xxhash.Sum64String(b.ID), id: b.ID, address: b.Address, born: b.Born,
		slowness: 1, known: now, tokensAt: now, reportedAt: -reportAge, usedAt: now, failuresAt: now,
		keys: map[string]time.Duration{}, senders: map[string]time.Duration{},
	}
}

// load estimates the requests that the server runs or queues.
func (s *server) load(now time.Duration) float64 {
	n := s.inflight
	for _, c := range s.peers {
		if now-c.at <= peerAge {
			n += c.inflight
		}
	}
	if now-s.reportedAt <= reportAge {
		n = max(n, s.reported)
	}
	return float64(n)
}

// end takes a grant out of the load.
func (s *server) end(now time.Duration, g *grant) {
	s.inflight--
	s.expected -= g.expect
	s.use(now)
}

// queueTime estimates how long a further request waits for a slot. typical is
// the service time of requests that other pools sent.
func (s *server) queueTime(load float64, typical time.Duration) time.Duration {
	over := load + 1 - float64(s.slots)
	if over <= 0 {
		return 0
	}
	if s.inflight > 0 {
		typical = max(typical, s.expected/time.Duration(s.inflight))
	}
	return time.Duration(over / float64(s.slots) * float64(typical))
}

// setPeer notes the requests that another region has in flight at the server.
func (s *server) setPeer(region string, inflight int, now time.Duration) {
	for i := range s.peers {
		if s.peers[i].region == region {
			s.peers[i].inflight, s.peers[i].at = inflight, now
			return
		}
	}
	s.peers = append(s.peers, peerCount{region: region, inflight: inflight, at: now})
}

// decay is close to exp(-age/constant) and cheaper: it is evaluated for each
// server and request.
func decay(age, constant time.Duration) float64 {
	x := float64(age) / float64(constant)
	return 1 / (1 + x*(1+x*(1.0/2+x/6)))
}

// use folds the time since the last change of inflight into the utilization.
func (s *server) use(now time.Duration) {
	s.used = s.utilization(now)
	s.usedAt = now
}

func (s *server) utilization(now time.Duration) float64 {
	return s.utilizationAt(now, s.load(now))
}

func (s *server) utilizationAt(now time.Duration, load float64) float64 {
	busy := min(load/float64(max(s.slots, 1)), 1)
	return busy + (s.used-busy)*decay(now-s.usedAt, utilizationTime)
}

func (s *server) cold(now time.Duration) bool { return now < s.coldUntil }

// coldTokens returns the requests that the server may get now while cold.
func (s *server) coldTokens(now time.Duration, rate, burst float64) float64 {
	return min(s.tokens+rate*(now-s.tokensAt).Seconds(), burst)
}

func (s *server) takeCold(now time.Duration, rate, burst float64) {
	s.tokens, s.tokensAt = s.coldTokens(now, rate, burst)-1, now
}

// available tells whether the server is believed to answer. After its pause a
// server that was down gets one request at a time until it answers.
func (s *server) available(now time.Duration) bool {
	if now < s.shedUntil {
		return false
	}
	if s.downUntil == 0 {
		return true
	}
	return now >= s.downUntil && s.inflight == 0
}

func (s *server) failureRate(now time.Duration) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * decay(now-s.failuresAt, failureTime)
}

// outcome folds one success (0) or failure (1) into the failure rate.
func (s *server) outcome(now time.Duration, failed float64) {
	rate := s.failureRate(now)
	if s.failures, s.failuresAt = rate+(failed-rate)*failureGain, now; s.failures < negligible {
		s.failures = 0
	}
}

func (s *server) succeeded(now time.Duration) {
	s.outcome(now, 0)
	s.downUntil, s.pause, s.missed = 0, 0, 0
}

func (s *server) failed(now time.Duration, unreachable bool) {
	s.outcome(now, 1)
	if !unreachable {
		return
	}
	s.restarted = true
	s.down(now)
}

func (s *server) down(now time.Duration) {
	s.pause = min(max(2*s.pause, firstPause), maxPause)
	s.downUntil = now + s.pause
	s.forgetKeys()
}

func (s *server) shed(now time.Duration) {
	s.outcome(now, 1)
	s.shedUntil = now + shedPause
	s.missed = 0
}

// overdue notes a request that was not answered in time.
func (s *server) overdue(now time.Duration) {
	s.outcome(now, 1)
	s.missed++
	if s.missed >= overdueLimit {
		s.restarted = true
		s.down(now)
	}
}

func (s *server) holds(key string) bool { _, ok := s.keys[key]; return ok }

// ageOf returns the number of objects that the server was asked for later than
// for the one given, 0 if it is not held.
func (s *server) ageOf(key string) int {
	last, held := s.keys[key]
	if !held {
		return 0
	}
	n := 0
	for _, at := range s.keys {
		if at > last {
			n++
		}
	}
	return n
}

// touch notes a request about an object. It returns true if the server is not
// believed to hold the object yet. keep bounds the objects that it holds.
func (s *server) touch(key string, now time.Duration, keep int) bool {
	_, held := s.keys[key]
	s.keys[key] = now
	for len(s.keys) > keep {
		s.evict()
	}
	return !held
}

func (s *server) evict() {
	oldest, at := "", time.Duration(math.MaxInt64)
	for k, t := range s.keys {
		if t < at || t == at && k < oldest {
			oldest, at = k, t
		}
	}
	s.drop(oldest)
}

func (s *server) drop(key string) { delete(s.keys, key) }

func (s *server) forgetKeys() { clear(s.keys) }
