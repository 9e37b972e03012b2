package sched

import (
	"math"
	"time"
)

// never is later than any time of a process's life.
const never = time.Duration(math.MaxInt64)

const (
	// badInARow is the number of shed or failed requests in a row after which
	// a server is ejected.
	badInARow = 3
	// firstEjection and longestEjection bound the ejection time, which doubles.
	firstEjection   = time.Second
	longestEjection = time.Minute
	// reportAge is how old a load report may be and still count.
	reportAge = 3 * time.Second
	// peakWindow is how long the greatest number of own requests in flight is
	// remembered. A report that is late by less than this shows own requests.
	peakWindow = time.Second
)

// LoadReport is a server's own report.
type LoadReport struct {
	InFlight int
	Healthy  bool
	// At is when the report was made, on the clock of now.
	At time.Duration
}

type server struct {
	Server
	usable       int // slots after warm-up, ejection, reports
	inFlight     int
	reserved     int
	reservedTill time.Duration
	signaled     bool // leaving by a signal from outside the configuration
	drained      bool // leaving by configuration
	removed      bool
	warmSince    time.Duration // start of warm-up; negative when warm
	bad          int           // shed or failed in a row
	ejections    int
	ejectedTill  time.Duration
	probing      bool // one slot until the first answer after an ejection
	lastOK       time.Duration
	lastRelease  time.Duration
	peak         int
	peakBefore   int
	report       LoadReport
	reported     bool
}

// leaves reports whether the server gets no new work because it leaves.
func (s *server) leaves() bool { return s.signaled || s.drained || s.removed }

// free returns the slots that can be granted.
func (s *server) free() int { return max(0, s.usable-s.inFlight-s.reserved) }

// find returns the index of a server, or -1.
func (p *Pool) find(name string) int {
	for i := range p.servers {
		if p.servers[i].Name == name && !p.servers[i].removed {
			return i
		}
	}
	return -1
}

// ServerName returns the name of the server with the index of an Action. An
// index keeps its name while the server has grants in flight.
func (p *Pool) ServerName(i int) string { return p.servers[i].Name }

// InFlight returns the granted requests of a server, also of one that has
// been removed.
func (p *Pool) InFlight(name string) int {
	n := 0
	for i := range p.servers {
		if p.servers[i].Name == name {
			n += p.servers[i].inFlight
		}
	}
	return n
}

// place returns the least loaded server with a free slot. Among equals, the
// one that answered last has the warmest idle connection.
func (p *Pool) place() int {
	best := -1
	for i := range p.servers {
		s := &p.servers[i]
		if s.free() == 0 {
			continue
		}
		if best < 0 || s.better(&p.servers[best]) {
			best = i
		}
	}
	return best
}

func (s *server) better(o *server) bool {
	a, b := (s.inFlight+s.reserved)*o.usable, (o.inFlight+o.reserved)*s.usable
	if a != b {
		return a < b
	}
	return s.lastRelease > o.lastRelease
}

// SetLeaving marks a server as leaving, or takes the mark back. A leaving
// server gets no grant. A drain in the configuration stays in force.
func (p *Pool) SetLeaving(now time.Duration, name string, leaving bool, acts []Action) []Action {
	p.advance(now)
	if i := p.find(name); i >= 0 && p.servers[i].signaled != leaving {
		p.servers[i].signaled = leaving
		p.refresh(now)
	}
	return p.dispatch(now, acts)
}

// ReportLoad records a server's report. Reports only reduce what the pool's
// own observations allow, within the eject share.
func (p *Pool) ReportLoad(now time.Duration, name string, l LoadReport) {
	p.advance(now)
	if i := p.find(name); i >= 0 {
		p.servers[i].report, p.servers[i].reported = l, true
		p.refresh(now)
	}
}

// Reserve sets the slots of a server that silent edges may still use, until
// a time. It replaces the server's earlier reservation.
func (p *Pool) Reserve(now time.Duration, name string, slots int, until time.Duration) {
	p.advance(now)
	if i := p.find(name); i >= 0 {
		p.servers[i].reserved, p.servers[i].reservedTill = max(0, slots), until
		p.refresh(now)
	}
}

// observe learns from the end of a grant.
func (p *Pool) observe(now time.Duration, g grant, res Result) {
	s := &p.servers[g.server]
	switch res.Status {
	case OK:
		p.observeService(now, g, max(res.ServiceTime, now-g.at))
		s.bad, s.lastOK = 0, now
		if now > s.ejectedTill+longestEjection {
			s.ejections = 0
		}
		if s.probing {
			s.probing = false
			p.refresh(now)
		}
	case Shed, Failed:
		s.bad++
		if s.bad >= badInARow || s.probing {
			p.eject(now, s)
		}
	}
	if res.Draining && !s.signaled {
		s.signaled = true
		p.refresh(now)
	}
}

// eject takes a server out of use for a time, if the eject share allows it.
func (p *Pool) eject(now time.Duration, s *server) {
	if now < s.ejectedTill || s.leaves() {
		return
	}
	servers, ejected := 0, 0
	for i := range p.servers {
		o := &p.servers[i]
		if o.leaves() {
			continue
		}
		servers++
		if now < o.ejectedTill && o != s {
			ejected++
		}
	}
	if float64(ejected+1) > p.params.EjectShare*float64(servers) {
		return
	}
	s.ejectedTill = now + min(firstEjection<<min(s.ejections, 10), longestEjection)
	s.ejections++
	s.bad, s.probing = 0, true
	p.stats.Ejections++
	p.refresh(now)
}

// refresh recomputes the usable slots of all servers.
func (p *Pool) refresh(now time.Duration) {
	p.nextChange = never
	total, ejected := 0, 0
	for i := range p.servers {
		s := &p.servers[i]
		if s.reserved > 0 && now >= s.reservedTill {
			s.reserved = 0
		}
		s.usable = p.ownLimit(now, s)
		if !s.leaves() {
			total += s.Slots
			if now < s.ejectedTill {
				ejected += s.Slots
			}
		}
		if s.reserved > 0 {
			p.nextChange = min(p.nextChange, s.reservedTill)
		}
	}
	p.applyReports(now, int(p.params.EjectShare*float64(total))-ejected)
	p.free, p.slots = 0, 0
	for i := range p.servers {
		s := &p.servers[i]
		p.free += s.free()
		p.slots += max(0, s.usable-s.reserved)
	}
	p.undealt = p.undealt || p.free > 0
	p.setLimits()
}

// ownLimit returns the usable slots by the pool's own observations.
func (p *Pool) ownLimit(now time.Duration, s *server) int {
	switch {
	case s.leaves():
		return 0
	case now < s.ejectedTill:
		p.nextChange = min(p.nextChange, s.ejectedTill)
		return 0
	case s.probing:
		return min(1, s.Slots)
	case s.warmSince < 0:
		return s.Slots
	}
	elapsed := now - s.warmSince
	if elapsed >= p.params.Warmup {
		s.warmSince = -1
		return s.Slots
	}
	p.nextChange = min(p.nextChange, now+tickPeriod)
	return min(s.Slots, 1+int(float64(s.Slots)*float64(elapsed)/float64(p.params.Warmup)))
}

// applyReports reduces usable slots by what fresh reports show in addition to
// the pool's own requests, by at most budget slots over all servers.
func (p *Pool) applyReports(now time.Duration, budget int) {
	for i := range p.servers {
		s := &p.servers[i]
		if !s.reported || s.usable == 0 || budget <= 0 {
			continue
		}
		if now > s.report.At+reportAge {
			s.reported = false
			continue
		}
		// A server that answers and reports more requests than it has slots
		// reports wrongly; one that is overloaded sheds.
		cut := 0
		if s.report.InFlight <= s.Slots || s.bad > 0 {
			cut = max(0, s.report.InFlight-max(s.inFlight, s.peak, s.peakBefore))
		}
		if !s.report.Healthy && s.lastOK <= s.report.At {
			cut = s.usable
		}
		cut = min(cut, s.usable, budget)
		if cut > 0 {
			s.usable -= cut
			budget -= cut
			p.nextChange = min(p.nextChange, s.report.At+reportAge+1)
		}
	}
}
