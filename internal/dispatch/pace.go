package dispatch

import "time"

const (
	// maxPaceTime is the time after its start at which pacing ends in any case.
	maxPaceTime = 5 * time.Second
	// maxForeignLimitAge is how long the limit of another pool is used.
	maxForeignLimitAge = time.Second
	// paceActiveTime is how long after its last grant or answer a pool tells others its
	// limit of a server. The limit of a pool that sends nothing there does not grow, and
	// would hold back the others.
	paceActiveTime = time.Second
	// poolInUseTime is how long after a request the pool counts as in use.
	poolInUseTime = 2 * time.Second
	// paceInTimeFactor times its expected time is the time up to which an answer raises the
	// limit. Expected times are averages, which about half of the answers exceed.
	paceInTimeFactor = 1.5
	// paceSlowFactor times its expected time is the time above which an answer, or a request
	// without an answer that is abandoned, halves it.
	paceSlowFactor = 2.0
	// maxPaceEvents bounds the events that are kept until they are read.
	maxPaceEvents = 256
)

// pacing is the state of a server that has just started or recovered. It bounds the
// requests of all pools at the server, as far as they are known.
type pacing struct {
	limit     float64 // 0 if the server is not paced
	inTime    int     // answers in time since the limit changed or one was late
	startedAt time.Duration
	halvedAt  time.Duration // of the last halving; requests sent before it halve no more
	activeAt  time.Duration // of the last grant or answer
	afterCold bool          // the server is cold, or was when last seen
	foreign   []foreignLimit
}

// foreignLimit is the limit of another pool.
type foreignLimit struct {
	region     string
	limit      int
	receivedAt time.Duration
}

// PaceEvent is the start or end of the pacing of a server.
type PaceEvent struct {
	Server string
	// Ended is set for the end; Reason says why pacing started or ended.
	Ended  bool
	Reason string
	// Limit is the number of requests that the server may have at once, and After the
	// time since the start.
	Limit int
	After time.Duration
}

// Reasons of a PaceEvent.
const (
	paceJoined    = "joined"
	paceWarm      = "no longer cold"
	paceRecovered = "responds again"
	paceFull      = "limit exceeds the slots"
	paceTimeUp    = "time is up"
	paceCold      = "cold again"
)

// Paces reports whether the pool paces servers that have just started or recovered: if
// Options.Paced is set, or while servers report how long work takes on their machines.
func (p *Pool) Paces(now time.Duration) bool { return p.opts.Paced || p.percentReported(now) }

// PacedServers returns the number of servers that the pool paces.
func (p *Pool) PacedServers() int {
	n := 0
	for _, s := range p.servers {
		if s.pacing.limit > 0 {
			n++
		}
	}
	return n
}

// PaceEvents returns the events since the last call, at most 256.
func (p *Pool) PaceEvents() []PaceEvent {
	events := p.paceEvents
	p.paceEvents = nil
	return events
}

func (p *Pool) addPaceEvent(now time.Duration, s *server, ended bool, reason string) {
	if len(p.paceEvents) < maxPaceEvents {
		e := PaceEvent{Server: s.id, Ended: ended, Reason: reason, Limit: int(s.pacing.limit), After: now - s.pacing.startedAt}
		p.paceEvents = append(p.paceEvents, e)
	}
}

// startPacing sets the limit of a server to 1. A cold server is paced only when it is no
// longer cold: until then its rate is limited more strictly.
func (p *Pool) startPacing(now time.Duration, s *server, reason string) {
	if !p.Paces(now) || s.cold(now) {
		return
	}
	if s.pacing.limit > 0 {
		p.endPacing(now, s, reason)
	}
	s.pacing = pacing{limit: 1, startedAt: now, halvedAt: now, activeAt: now - paceActiveTime, foreign: s.pacing.foreign}
	p.addPaceEvent(now, s, false, reason)
}

func (p *Pool) endPacing(now time.Duration, s *server, reason string) {
	p.addPaceEvent(now, s, true, reason)
	s.pacing.limit = 0
}

// paceJoinedServer starts pacing for a server that is new to a pool in use. A pool that
// has just been created knows none of its servers: most have run for long.
func (p *Pool) paceJoinedServer(now time.Duration, s *server) {
	if p.requested && now-p.requestedAt <= poolInUseTime {
		p.startPacing(now, s, paceJoined)
	}
}

// updatePacing starts pacing of a server that is no longer cold, and ends it when its time
// is up or the server is cold again.
func (p *Pool) updatePacing(now time.Duration, s *server) {
	switch {
	case s.cold(now):
		s.pacing.afterCold = true
		if s.pacing.limit > 0 {
			p.endPacing(now, s, paceCold)
		}
	case s.pacing.afterCold:
		s.pacing.afterCold = false
		p.startPacing(now, s, paceWarm)
	case s.pacing.limit > 0 && now-s.pacing.startedAt >= maxPaceTime:
		p.endPacing(now, s, paceTimeUp)
	}
}

// decideAtPace decides a request as decide does, and again with all paced servers if it
// would be refused because of the pace alone: a paced server is better than none. The
// bound on shifts and the exclusion of servers marked down come before the pace.
func (p *Pool) decideAtPace(now time.Duration, r Request, returned bool) outcome {
	p.paceSkipped = false
	o := p.decide(now, r, returned)
	if o.refused == "" || !p.paceSkipped {
		return o
	}
	p.paceSkipped, p.paceIgnored = false, true
	o = p.decide(now, r, returned)
	p.paceIgnored, o.paceIgnored = false, true
	return o
}

// hasPaceRoom reports whether the server may get one more request by its own limit and
// those of other pools.
func (p *Pool) hasPaceRoom(now time.Duration, s *server) bool {
	if !p.Paces(now) {
		return true
	}
	p.updatePacing(now, s)
	limit, ok := s.paceLimit(now)
	return !ok || float64(s.grantsOfAllRegions(now)) < limit
}

// paceLimit returns the smallest known limit, and whether there is one.
func (s *server) paceLimit(now time.Duration) (float64, bool) {
	limit, ok := s.pacing.limit, s.pacing.limit > 0
	for _, f := range s.pacing.foreign {
		if now-f.receivedAt <= maxForeignLimitAge && (!ok || float64(f.limit) < limit) {
			limit, ok = float64(f.limit), true
		}
	}
	return max(limit, 1), ok
}

// grantsOfAllRegions returns the requests in flight that this pool and those of the other
// regions granted.
func (s *server) grantsOfAllRegions(now time.Duration) int {
	n := s.inflight
	for _, c := range s.foreignCounts {
		if now-c.receivedAt <= maxForeignCountAge {
			n += c.inflight
		}
	}
	return n
}

// observePace adjusts the limit of a paced server by the result of a request that was sent
// since its pacing started.
func (p *Pool) observePace(now time.Duration, g *grant, r Report) {
	s := g.server
	if s.pacing.limit == 0 || g.sentAt < s.pacing.startedAt {
		return
	}
	s.pacing.activeAt = now
	expected := float64(g.wait + g.expectedService + s.place.roundTrip)
	// A request is abandoned when a hedge was answered first, which is likely at a slow server.
	ended := r.Result == Served || r.Result == Abandoned
	switch {
	case r.Result == Shed, r.Result == TimedOut, ended && float64(r.Elapsed) > paceSlowFactor*expected:
		s.pacing.inTime = 0
		if g.sentAt >= s.pacing.halvedAt {
			s.pacing.limit, s.pacing.halvedAt = max(s.pacing.limit/2, 1), now
		}
	case r.Result != Served:
	case float64(r.Elapsed) > paceInTimeFactor*expected:
		s.pacing.inTime = 0
	default:
		s.pacing.inTime++
		p.growPace(now, s)
	}
}

// growPace doubles the limit after a round of answers in time, one for each request that
// it allows at once.
func (p *Pool) growPace(now time.Duration, s *server) {
	if float64(s.pacing.inTime) < s.pacing.limit {
		return
	}
	s.pacing.inTime = 0
	s.pacing.limit = min(2*s.pacing.limit, float64(s.slots+1))
	if s.pacing.limit == float64(s.slots+1) {
		p.endPacing(now, s, paceFull)
	}
}

// setForeignLimit records another pool's limit of a server; 0 if it has none.
func (s *server) setForeignLimit(now time.Duration, region string, limit int) {
	for i := range s.pacing.foreign {
		if f := &s.pacing.foreign[i]; f.region == region {
			f.limit, f.receivedAt = limit, now
			if limit <= 0 {
				f.receivedAt = now - maxForeignLimitAge - 1
			}
			return
		}
	}
	if limit > 0 {
		s.pacing.foreign = append(s.pacing.foreign, foreignLimit{region: region, limit: limit, receivedAt: now})
	}
}

// digestPace returns the limits that other pools are told, nil if there are none.
func (p *Pool) digestPace(now time.Duration) map[string]int {
	var limits map[string]int
	for id, s := range p.servers {
		if s.pacing.limit == 0 || s.inflight == 0 && now-s.pacing.activeAt >= paceActiveTime {
			continue
		}
		if limits == nil {
			limits = map[string]int{}
		}
		limits[id] = int(s.pacing.limit)
	}
	return limits
}

// mergePace applies the limits of another pool.
func (p *Pool) mergePace(now time.Duration, d Digest) {
	if !p.Paces(now) {
		return
	}
	for id, s := range p.servers {
		s.setForeignLimit(now, d.Region, d.Pace[id])
	}
}
