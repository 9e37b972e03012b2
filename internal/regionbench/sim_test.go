package regionbench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/route"
	"github.com/galenabeam/galenabeam/internal/shift"
)

const (
	hostsPerRegion = 8
	lossAt         = 20 * time.Second
	returnAt       = 80 * time.Second
	end            = 120 * time.Second
	settleTime     = 10 * time.Second // after which the targets hold
	lookupTTL      = 5 * time.Second
	renewEvery     = 500 * time.Millisecond
	messageLoss    = 0.01
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim is the deployment in virtual time.
type sim struct {
	sc     scenario
	naive  bool
	lost   int           // region that is lost
	crash  time.Duration // of the lessor in the next region; zero for none
	rng    *rand.Rand
	now    time.Duration
	seq    int
	events queue
	next   host.Incarnation
	epoch  uint64

	pools   [3][3]*pool // by region and service
	edges   [3][]*edge
	lessors [3]*shift.Granter // nil while there is none
	life    [3]int            // counts the losses of a region

	measures
}

func newSim(sc scenario, lost int, naive bool) *sim {
	s := &sim{sc: sc, lost: lost, naive: naive, rng: rand.New(rand.NewPCG(1, uint64(lost)))}
	for i := range s.bucket {
		for j := range s.bucket[i] {
			s.bucket[i][j] = float64(sc.bytes)
		}
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, run})
}

// every calls run now and then periodically.
func (s *sim) every(first, period time.Duration, run func()) {
	s.after(first, func() {
		run()
		s.every(period, period, run)
	})
}

func (s *sim) run() {
	for region := range s.sc.regions {
		s.start(region)
		// The deployment has been running for long: nothing is left to learn.
		s.lessors[region] = shift.Resume(0, s.granterConfig(region), shift.State{})
		for service := range s.sc.pools {
			for rank := range s.sc.ranks {
				s.arrivals(region, service, rank)
			}
			s.every(time.Duration(s.rng.Int64N(int64(renewEvery))), renewEvery, func() { s.renew(region, service) })
		}
		s.every(0, 100*time.Millisecond, func() { s.hints(region) })
		s.every(time.Duration(s.rng.Int64N(int64(time.Second))), time.Second, func() { s.digest(region) })
	}
	s.every(0, 10*time.Millisecond, s.sample)
	s.after(lossAt, func() { s.life[s.lost]++ })
	s.after(returnAt, func() {
		s.life[s.lost]++
		s.start(s.lost)
		s.lessors[s.lost] = shift.NewGranter(s.now, s.granterConfig(s.lost))
	})
	if s.crash > 0 {
		s.crashLessor((s.lost + 1) % 3)
	}
	for s.events.Len() > 0 && s.now < end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// crashLessor ends the lessor of a region. Its standby takes over after the
// time to live of the lessor's lease and a margin, and settles once the owners
// of all pools have reported.
func (s *sim) crashLessor(region int) {
	const takeover = 4500 * time.Millisecond
	s.after(s.crash, func() { s.lessors[region] = nil })
	s.after(s.crash+takeover, func() { s.lessors[region] = shift.NewGranter(s.now, s.granterConfig(region)) })
	s.every(s.crash+takeover, 100*time.Millisecond, func() {
		for _, p := range s.pools[region] {
			if !s.lessors[region].HasReported(p.id) {
				return
			}
		}
		s.lessors[region].MarkReportsComplete()
	})
}

// start builds the pools and entry hosts of a region.
func (s *sim) start(region int) {
	s.edges[region] = nil
	for range hostsPerRegion {
		s.edges[region] = append(s.edges[region], &edge{table: route.NewTable(s.settings(region))})
	}
	for service, def := range s.sc.pools {
		s.next++
		p := &pool{s: s, region: region, service: service, slots: def.slots[region], id: s.next}
		p.share = shift.NewShare(p.id, []string{"", s.sc.regions[(region+1)%3], s.sc.regions[(region+2)%3]})
		s.pools[region][service] = p
	}
	s.hints(region)
}

func (s *sim) settings(region int) route.Settings {
	settings := route.Settings{Local: region, Hosts: 2 * hostsPerRegion, LocalHosts: hostsPerRegion}
	for i, name := range s.sc.regions {
		r := route.Region{Name: name}
		if i != region {
			r.Delay = s.sc.wan
		}
		settings.Regions = append(settings.Regions, r)
	}
	for service, def := range s.sc.pools {
		settings.Services = append(settings.Services, route.Service{Name: def.name, ServiceTime: s.serviceTime(service)})
	}
	for _, r := range s.sc.ranks {
		settings.Ranks = append(settings.Ranks, route.Rank{Name: r.name, Target: r.target})
	}
	return settings
}

// serviceTime is the mean over the requests of a service.
func (s *sim) serviceTime(service int) time.Duration {
	requests := 0.0
	for rank, share := range s.sc.pools[service].mix {
		requests += share / s.sc.ranks[rank].service.Seconds()
	}
	return time.Duration(float64(time.Second) / requests)
}

func (s *sim) granterConfig(region int) shift.GranterConfig {
	s.epoch++
	config := shift.GranterConfig{Epoch: s.epoch, LongestDeadline: s.sc.ranks[2].deadline}
	for i, name := range s.sc.regions {
		if i != region {
			config.Caps = append(config.Caps, shift.Cap{Origin: name, Concurrent: s.sc.concurrent,
				BytesPerSecond: s.sc.bytes, GrowthPerSecond: s.sc.growth})
		}
	}
	return config
}

func (s *sim) up(region int) bool { return region != s.lost || s.now < lossAt || s.now >= returnAt }

// arrivals sends the requests of one region's callers for a service and rank.
func (s *sim) arrivals(origin, service, rank int) {
	def, work := s.sc.pools[service], s.sc.ranks[rank]
	rate := s.sc.load * def.mix[rank] * float64(def.slots[origin]) / work.service.Seconds()
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		r := request{service: service, rank: rank, origin: origin, sent: s.now, deadline: s.now + work.deadline}
		s.offered(r)
		if entry, ok := s.entry(origin); ok {
			r.entry, r.edge = entry, s.edges[entry][s.rng.IntN(hostsPerRegion)]
			delay := s.sc.client
			if entry != origin {
				delay += s.sc.wan
			}
			s.after(delay, func() { s.choose(r) })
		}
		s.arrivals(origin, service, rank)
	})
}

// entry returns the region whose entry hosts the callers use. They learn of a
// loss when their lookups expire, and return over 20 s.
func (s *sim) entry(origin int) (int, bool) {
	other := (origin + 1 + s.rng.IntN(2)) % 3
	if origin != s.lost || s.now < lossAt {
		return origin, true
	}
	if s.now >= returnAt {
		back := (s.now - returnAt).Seconds() / 20
		if s.rng.Float64() < back {
			return origin, true
		}
		return other, true
	}
	known := (s.now - lossAt - time.Second).Seconds() / lookupTTL.Seconds()
	return other, s.rng.Float64() < known
}

func (s *sim) routed(r request, region int) route.Request {
	return route.Request{Service: r.service, Rank: r.rank, Remaining: r.deadline - s.now,
		Shifted: r.origin != r.entry, Forwarded: r.forwarded && region != r.entry}
}

// choose is the decision of the entry host.
func (s *sim) choose(r request) {
	if !s.up(r.entry) {
		return
	}
	region, delay := r.entry, s.sc.lan
	if !s.naive {
		d := r.edge.plan.Decide(s.routed(r, r.entry), s.rng)
		if d.Refused() {
			r.edge.table.RecordRefusal(s.routed(r, r.entry))
			s.finish(r, outcome.NotRun)
			return
		}
		if region = d.Region; region != r.entry {
			r.forwarded = true
			delay += s.sc.wan
		}
	}
	r.deadline -= s.sc.lan + s.wayBack(r, region) // the answer must be back in time
	s.after(delay, func() {
		if s.up(region) {
			s.pools[region][r.service].arrive(r)
		}
	})
}

// wayBack is the time from the release of the slot to the caller.
func (s *sim) wayBack(r request, region int) time.Duration {
	back := s.sc.client
	if region != r.entry {
		back += s.sc.wan
	}
	if r.entry != r.origin {
		back += s.sc.wan
	}
	return back
}

// renew exchanges a report and a grant between a pool owner and the lessor.
func (s *sim) renew(region, service int) {
	p := s.pools[region][service]
	if !s.up(region) {
		return
	}
	p.tellWaiting()
	report := p.share.Report(s.now)
	delay := func() time.Duration { return s.sc.lan + time.Duration(s.rng.Int64N(int64(s.sc.lan))) }
	if s.rng.Float64() < messageLoss {
		return
	}
	s.after(delay(), func() {
		lessor := s.lessors[region]
		if !s.up(region) || lessor == nil {
			return
		}
		if grant, ok := lessor.Grant(s.now, report); ok && s.rng.Float64() >= messageLoss {
			s.after(delay(), func() {
				p.share.Apply(s.now, grant)
				if p.share.ReportDue(s.now) {
					s.renew(region, service)
				}
				p.dispatch()
			})
		}
	})
}

// hints show the local pools to the entry hosts of the region and move their
// plans.
func (s *sim) hints(region int) {
	if !s.up(region) {
		return
	}
	for service, p := range s.pools[region] {
		views := p.views()
		for _, e := range s.edges[region] {
			e.table.Observe(region, service, s.now, true, views)
		}
		p.dispatch()
	}
	for _, e := range s.edges[region] {
		e.plan = e.table.Tick(s.now)
	}
}

// digest shows the pools of a region to the entry hosts of the others.
func (s *sim) digest(region int) {
	if !s.up(region) {
		return
	}
	at := s.now
	for service, p := range s.pools[region] {
		views := p.views()
		s.after(s.sc.wan+2*s.sc.lan, func() {
			for other := range s.edges {
				for _, e := range s.edges[other] {
					if other != region {
						e.table.Observe(region, service, at, true, views)
					}
				}
			}
		})
	}
}
