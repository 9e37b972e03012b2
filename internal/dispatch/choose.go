package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// option is what a server would mean for a request.
type option struct {
	warm                  bool
	wait, service, finish time.Duration
	cost                  time.Duration
	inTime                bool
}

// candidates tells which servers a choice is made from.
type candidates int

const (
	// healthyServers are those that are believed to answer.
	healthyServers candidates = iota
	// freeServers are healthy servers with a free slot.
	freeServers
	// anyServer includes those that are believed to be down.
	anyServer
)

// choose returns the best server for the request, or nil.
func (p *Pool) choose(now time.Duration, r Request, c *class, from candidates) (*server, option) {
	var best *server
	var choice option
	key := objectKey(r.Class, r.Key)
	hash := xxhash.Sum64String(key)
	open := map[string]bool{}
	passes := 2
	if from == freeServers {
		passes = 1
	}
	for pass := 0; pass < passes && best == nil; pass++ {
		// The first pass keeps the bound on shifts between regions and weighs a few
		// servers of others; the second serves a request that has no other place.
		for _, s := range p.list {
			if pass == 0 && !p.weighed(now, open, s) || !p.usable(now, r, s, from) {
				continue
			}
			o := p.option(now, r, c, s, key, hash)
			if best == nil || o.better(choice) {
				best, choice = s, o
			}
		}
	}
	return best, choice
}

// weighed tells whether the first pass considers a server.
func (p *Pool) weighed(now time.Duration, open map[string]bool, s *server) bool {
	return s.region == p.opts.Region || s.rank < maxForeign && p.open(now, open, s.region)
}

// open tells whether the region takes a further request. known holds the answers
// for the present request.
func (p *Pool) open(now time.Duration, known map[string]bool, region string) bool {
	if region == p.opts.Region {
		return true
	}
	allowed, ok := known[region]
	if !ok {
		allowed = p.shifts.allows(now, region)
		known[region] = allowed
	}
	return allowed
}

// better compares two options: an answer in time goes before a late one.
func (o option) better(other option) bool {
	if o.inTime != other.inTime {
		return o.inTime
	}
	return o.cost < other.cost
}

func (p *Pool) usable(now time.Duration, r Request, s *server, from candidates) bool {
	if s.draining || s.gone || p.evac[s.domain] || slices.Contains(r.Exclude, s.id) {
		return false
	}
	if len(r.Allowed) > 0 && !slices.Contains(r.Allowed, s.region) {
		return false
	}
	if s.cold(now) && !p.mayWarm(now, s) {
		return false
	}
	if from == freeServers && s.load(now) >= float64(s.slots) {
		return false
	}
	return from == anyServer || s.available(now)
}

// mayWarm tells whether the pool may send to a cold server. Only the pool that
// dispatches for the server's own region does, so that the limit, which holds
// over all hosts, has one keeper.
func (p *Pool) mayWarm(now time.Duration, s *server) bool {
	return p.opts.Shared && s.region == p.opts.Region && s.coldTokens(now, p.coldRate, p.opts.Limits.coldBurst()) >= 1
}

// option estimates what the choice of a server would mean.
func (p *Pool) option(now time.Duration, r Request, c *class, s *server, key string, hash uint64) option {
	var o option
	o.warm = key == "" || s.holds(key)
	typical := c.warm()
	o.service = c.cold()
	if o.warm {
		o.service = typical
	}
	o.service = time.Duration(float64(o.service) * s.slowness)
	if s.cold(now) {
		o.service *= 2
	}
	load := s.load(now)
	o.wait = s.queueTime(load, time.Duration(float64(typical)*s.slowness))
	trip := p.roundTrip(s.region)
	o.finish = trip + o.wait + o.service
	foreign := s.region != p.opts.Region
	if foreign {
		o.finish += time.Duration(float64(trip) * float64(r.Bytes) / windowBytes)
		if last, ok := s.senders[r.Host]; !ok || now-last > reuseTime {
			o.finish += trip
		}
	}
	o.inTime = now+o.finish <= r.Objective
	o.cost = o.finish + time.Duration((slotWeight+busySlotWeight*p.busy)*float64(o.service))
	o.cost += time.Duration(s.utilizationAt(now, load) * float64(utilizationWeight))
	o.cost += time.Duration(s.failureRate(now) * float64(failureWeight))
	preference := spreadWeight
	if foreign {
		o.cost += foreignWeight + time.Duration(s.rank)*foreignRank
		preference = foreignSpread
	}
	if key != "" {
		o.cost += time.Duration(spread(hash, s.hash) * float64(preference))
	}
	if !foreign && p.opts.Shared && !s.tried && !s.cold(now) && now-s.known > trialDelay && s.inflight == 0 {
		// A server that has joined is tried with one request, however warm the
		// others are: the next ones then find it warm.
		o.cost, o.inTime = 0, true
	}
	if !o.warm && s.domain == r.Domain && r.Bytes >= heavyBytes && len(s.keys) < int(p.keep) &&
		load < float64(s.slots) && p.busy < spareOccupancy {
		// Further requests of the domain will find the object here instead of
		// sending their bodies to another domain. A server that is full would
		// forget another object for it.
		o.cost -= time.Duration((1 + slotWeight) * float64(o.service-typical) * (1 - 1.0/heavyUses))
		o.inTime = true
	}
	if s.domain != r.Domain {
		o.cost += time.Duration(float64(r.Bytes+c.answerBytes) / 1024 * float64(byteWeight))
	}
	return o
}

// spread returns a fixed number in [0, 1) for the hashes of an object and a server.
func spread(object, server uint64) float64 {
	const mixer = 0xff51afd7ed558ccd // the multiplier of MurmurHash3's finalizer
	h := (object ^ server) * mixer
	h = (h ^ h>>33) * mixer
	return float64((h^h>>33)>>11) / (1 << 53)
}

// rankForeign orders the servers of each other region in an order of this
// region's own.
func (p *Pool) rankForeign() {
	own := xxhash.Sum64String(p.opts.Region)
	ordered := slices.Clone(p.list)
	slices.SortFunc(ordered, func(a, b *server) int { return cmp.Compare(spread(own, a.hash), spread(own, b.hash)) })
	next := map[string]int{}
	for _, s := range ordered {
		s.rank = next[s.region]
		next[s.region]++
	}
}
