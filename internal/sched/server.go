package sched

import (
	"math"
	"time"
)

// never is later than any time during the process's life.
const never = time.Duration(math.MaxInt64)

const (
	// failuresToEject is the number of consecutive shed or failed requests
	// after which a server is ejected.
	failuresToEject = 3
	// firstEjection is the duration of a server's first ejection; it doubles
	// with each further one, up to maxEjection.
	firstEjection = time.Second
	// maxEjection is the longest ejection, and the time after an ejection's end
	// from which an answer resets the doubling.
	maxEjection = time.Minute
	// maxReportAge is the age beyond which a load report no longer counts.
	maxReportAge = 3 * time.Second
	// peakWindow is the time over which the peak of the pool's own requests in
	// flight is kept. A report delayed by less than this may include requests that
	// have ended since; the peak accounts for them.
	peakWindow = time.Second
)

// LoadReport is a load report that a server makes about itself.
type LoadReport struct {
	InFlight int // requests of all callers
	Healthy  bool
	// At is when the report was made, on the clock of the now arguments.
	At time.Duration
}

// server is the state of one backend server.
type server struct {
	Server
	usableSlots         int // slots after warm-up, ejection and reports; reservations not deducted
	inFlight            int
	reserved            int // slots withheld because unresponsive entry hosts may still use them
	reservedUntil       time.Duration
	announcedDraining   bool // by SetDraining or Result.Draining
	drainedByConfig     bool // by Params.Draining
	removed             bool
	warmupStart         time.Duration // start of the warm-up; negative if there is none
	consecutiveFailures int           // shed or failed requests since the last answer or ejection
	ejections           int           // since the last reset; determines the next duration
	ejectedUntil        time.Duration
	probing             bool // limited to one slot until the first answer after an ejection
	lastOK              time.Duration
	lastRelease         time.Duration
	peakInFlight        int // in the current peakWindow
	previousPeak        int // in the previous peakWindow
	report              LoadReport
	hasReport           bool
}

// takesNoWork reports whether the server is draining or was removed. A server
// drains if it announced so or the configuration says so.
func (s *server) takesNoWork() bool { return s.announcedDraining || s.drainedByConfig || s.removed }

// freeSlots returns the number of slots that can be granted.
func (s *server) freeSlots() int { return max(0, s.usableSlots-s.inFlight-s.reserved) }

// findServer returns the index of a server that is not removed, or -1.
func (p *Pool) findServer(name string) int {
	for i := range p.servers {
		if p.servers[i].Name == name && !p.servers[i].removed {
			return i
		}
	}
	return -1
}

// ServerName returns the name of the server with the index of an Action. An
// index keeps its name while the server has open grants.
func (p *Pool) ServerName(i int) string { return p.servers[i].Name }

// InFlight returns the number of open grants of a server, including one that
// was removed.
func (p *Pool) InFlight(name string) int {
	n := 0
	for i := range p.servers {
		if p.servers[i].Name == name {
			n += p.servers[i].inFlight
		}
	}
	return n
}

// chooseServer returns the index of the server with a free slot and the smallest
// fraction of its usable slots in flight or reserved, or -1. Ties go to the most
// recent release, since an entry host then has a recently used connection.
func (p *Pool) chooseServer() int {
	best := -1
	for i := range p.servers {
		s := &p.servers[i]
		if s.freeSlots() == 0 {
			continue
		}
		if best < 0 || s.preferredTo(&p.servers[best]) {
			best = i
		}
	}
	return best
}

// preferredTo reports whether s comes before o in the order of chooseServer.
func (s *server) preferredTo(o *server) bool {
	a, b := (s.inFlight+s.reserved)*o.usableSlots, (o.inFlight+o.reserved)*s.usableSlots
	if a != b {
		return a < b
	}
	return s.lastRelease > o.lastRelease
}

// SetDraining marks a server as draining, so that it gets no grants, or clears the
// mark, including one that Result.Draining set. It does not affect a drain in the
// configuration.
func (p *Pool) SetDraining(now time.Duration, name string, draining bool, acts []Action) []Action {
	p.advance(now)
	if i := p.findServer(name); i >= 0 && p.servers[i].announcedDraining != draining {
		p.servers[i].announcedDraining = draining
		p.refreshServers(now)
	}
	return p.schedule(now, acts)
}

// ReportLoad records a server's load report, which replaces its earlier one and can
// only lower the usable slots that draining, ejection and warm-up leave.
// Params.EjectShare bounds what all reports together may take out of use.
func (p *Pool) ReportLoad(now time.Duration, name string, l LoadReport) {
	p.advance(now)
	if i := p.findServer(name); i >= 0 {
		p.servers[i].report, p.servers[i].hasReport = l, true
		p.refreshServers(now)
	}
}

// Reserve withholds slots of a server that unresponsive entry hosts may still
// use until the given time. It replaces the server's earlier reservation.
func (p *Pool) Reserve(now time.Duration, name string, slots int, until time.Duration) {
	p.advance(now)
	if i := p.findServer(name); i >= 0 {
		p.servers[i].reserved, p.servers[i].reservedUntil = max(0, slots), until
		p.refreshServers(now)
	}
}

// observe updates the estimates and the health of the server with the result of
// a grant.
func (p *Pool) observe(now time.Duration, g grant, res Result) {
	s := &p.servers[g.server]
	switch res.Status {
	case OK:
		p.observeService(now, g, max(res.ServiceTime, now-g.grantedAt))
		s.consecutiveFailures, s.lastOK = 0, now
		if now > s.ejectedUntil+maxEjection {
			s.ejections = 0
		}
		if s.probing {
			s.probing = false
			p.refreshServers(now)
		}
	case Shed, Failed:
		s.consecutiveFailures++
		if s.consecutiveFailures >= failuresToEject || s.probing {
			p.eject(now, s)
		}
	}
	if res.Draining && !s.announcedDraining {
		s.announcedDraining = true
		p.refreshServers(now)
	}
}

// eject takes a server out of use for a time if the eject share allows it.
func (p *Pool) eject(now time.Duration, s *server) {
	if now < s.ejectedUntil || s.takesNoWork() {
		return
	}
	servers, ejected := 0, 0
	for i := range p.servers {
		o := &p.servers[i]
		if o.takesNoWork() {
			continue
		}
		servers++
		if now < o.ejectedUntil && o != s {
			ejected++
		}
	}
	if float64(ejected+1) > p.params.EjectShare*float64(servers) {
		return
	}
	s.ejectedUntil = now + min(firstEjection<<min(s.ejections, 10), maxEjection)
	s.ejections++
	s.consecutiveFailures, s.probing = 0, true
	p.stats.Ejections++
	p.refreshServers(now)
}

// refreshServers recomputes the usable slots of all servers.
func (p *Pool) refreshServers(now time.Duration) {
	p.nextRefresh = never
	totalSlots, ejectedSlots := 0, 0
	for i := range p.servers {
		s := &p.servers[i]
		if s.reserved > 0 && now >= s.reservedUntil {
			s.reserved = 0
		}
		s.usableSlots = p.usableWithoutReports(now, s)
		if !s.takesNoWork() {
			totalSlots += s.Slots
			if now < s.ejectedUntil {
				ejectedSlots += s.Slots
			}
		}
		if s.reserved > 0 {
			p.nextRefresh = min(p.nextRefresh, s.reservedUntil)
		}
	}
	p.applyReports(now, int(p.params.EjectShare*float64(totalSlots))-ejectedSlots)
	p.freeSlots, p.slots = 0, 0
	for i := range p.servers {
		s := &p.servers[i]
		p.freeSlots += s.freeSlots()
		p.slots += max(0, s.usableSlots-s.reserved)
	}
	p.schedulePending = p.schedulePending || p.freeSlots > 0
	p.setUrgentReserves()
}

// usableWithoutReports returns the slots that draining, ejection and warm-up leave.
func (p *Pool) usableWithoutReports(now time.Duration, s *server) int {
	switch {
	case s.takesNoWork():
		return 0
	case now < s.ejectedUntil:
		p.nextRefresh = min(p.nextRefresh, s.ejectedUntil)
		return 0
	case s.probing:
		return min(1, s.Slots)
	case s.warmupStart < 0:
		return s.Slots
	}
	elapsed := now - s.warmupStart
	if elapsed >= p.params.Warmup {
		s.warmupStart = -1
		return s.Slots
	}
	p.nextRefresh = min(p.nextRefresh, now+tickPeriod)
	return min(s.Slots, 1+int(float64(s.Slots)*float64(elapsed)/float64(p.params.Warmup)))
}

// applyReports reduces usable slots by the requests that recent reports show
// beyond the pool's own, and to zero for unhealthy servers, by at most budget
// slots in total.
func (p *Pool) applyReports(now time.Duration, budget int) {
	for i := range p.servers {
		s := &p.servers[i]
		if !s.hasReport || s.usableSlots == 0 || budget <= 0 {
			continue
		}
		if now > s.report.At+maxReportAge {
			s.hasReport = false
			continue
		}
		// A report of more requests than slots is wrong unless the server also
		// fails requests: an overloaded server sheds.
		reduction := 0
		if s.report.InFlight <= s.Slots || s.consecutiveFailures > 0 {
			reduction = max(0, s.report.InFlight-max(s.inFlight, s.peakInFlight, s.previousPeak))
		}
		if !s.report.Healthy && s.lastOK <= s.report.At {
			reduction = s.usableSlots
		}
		reduction = min(reduction, s.usableSlots, budget)
		if reduction > 0 {
			s.usableSlots -= reduction
			budget -= reduction
			p.nextRefresh = min(p.nextRefresh, s.report.At+maxReportAge+1)
		}
	}
}
