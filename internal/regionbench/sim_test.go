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
	simEnd         = 120 * time.Second
	settleTime     = 10 * time.Second // from the loss until the targets must hold
	lookupTTL      = 5 * time.Second
	renewPeriod    = 500 * time.Millisecond
	messageLoss    = 0.01 // probability that a report or a grant is lost
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// sim simulates the deployment in virtual time.
type sim struct {
	sc scenario
	// naive selects the baseline for comparison: entry hosts use the pools of their
	// own region, which serve in order of sending, without caps or floors.
	naive           bool
	lostRegion      int
	lessorCrashAt   time.Duration // crash of the lessor of the next region; 0 for none
	rng             *rand.Rand
	now             time.Duration
	seq             int
	events          eventHeap
	lastIncarnation host.Incarnation
	epoch           uint64

	pools      [3][3]*pool // by region and service
	hosts      [3][]*entryHost
	lessors    [3]*shift.Granter // nil while there is none
	generation [3]int            // changes when the region is lost and when it returns

	stats
}

func newSim(sc scenario, lostRegion int, naive bool) *sim {
	s := &sim{sc: sc, lostRegion: lostRegion, naive: naive, rng: rand.New(rand.NewPCG(1, uint64(lostRegion)))}
	for i := range s.tokens {
		for j := range s.tokens[i] {
			s.tokens[i][j] = float64(sc.bytes)
		}
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, run})
}

// every calls run after first and then once every period.
func (s *sim) every(first, period time.Duration, run func()) {
	s.after(first, func() {
		run()
		s.every(period, period, run)
	})
}

func (s *sim) run() {
	for region := range s.sc.regions {
		s.startRegion(region)
		// The deployment has been running for long: its lessors need no rebuild.
		s.lessors[region] = shift.Resume(0, s.granterConfig(region), shift.State{})
		for service := range s.sc.pools {
			for rank := range s.sc.ranks {
				s.scheduleArrivals(region, service, rank)
			}
			s.every(time.Duration(s.rng.Int64N(int64(renewPeriod))), renewPeriod, func() { s.renew(region, service) })
		}
		s.every(0, 100*time.Millisecond, func() { s.sendHints(region) })
		s.every(time.Duration(s.rng.Int64N(int64(time.Second))), time.Second, func() { s.sendDigest(region) })
	}
	s.every(0, 10*time.Millisecond, s.sample)
	s.after(lossAt, func() { s.generation[s.lostRegion]++ })
	s.after(returnAt, func() {
		s.generation[s.lostRegion]++
		s.startRegion(s.lostRegion)
		s.lessors[s.lostRegion] = shift.NewGranter(s.now, s.granterConfig(s.lostRegion))
	})
	if s.lessorCrashAt > 0 {
		s.crashLessor((s.lostRegion + 1) % 3)
	}
	for s.events.Len() > 0 && s.now < simEnd {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// crashLessor ends the lessor of a region. Its standby takes over after the time to
// live of the lease and a margin, and its rebuild ends when the owners of all pools
// have reported.
func (s *sim) crashLessor(region int) {
	const takeover = 4500 * time.Millisecond
	s.after(s.lessorCrashAt, func() { s.lessors[region] = nil })
	s.after(s.lessorCrashAt+takeover, func() { s.lessors[region] = shift.NewGranter(s.now, s.granterConfig(region)) })
	s.every(s.lessorCrashAt+takeover, 100*time.Millisecond, func() {
		for _, p := range s.pools[region] {
			if !s.lessors[region].HasReported(p.id) {
				return
			}
		}
		s.lessors[region].MarkReportsComplete()
	})
}

// startRegion creates the pools and entry hosts of a region.
func (s *sim) startRegion(region int) {
	s.hosts[region] = nil
	for range hostsPerRegion {
		s.hosts[region] = append(s.hosts[region], &entryHost{table: route.NewTable(s.routeSettings(region))})
	}
	for service, def := range s.sc.pools {
		s.lastIncarnation++
		p := &pool{s: s, region: region, service: service, slots: def.slots[region], id: s.lastIncarnation}
		p.share = shift.NewShare(p.id, []string{"", s.sc.regions[(region+1)%3], s.sc.regions[(region+2)%3]})
		s.pools[region][service] = p
	}
	s.sendHints(region)
}

func (s *sim) routeSettings(region int) route.Settings {
	routeSettings := route.Settings{Local: region, Hosts: 2 * hostsPerRegion, LocalHosts: hostsPerRegion}
	for i, name := range s.sc.regions {
		r := route.Region{Name: name}
		if i != region {
			r.Delay = s.sc.wanDelay
		}
		routeSettings.Regions = append(routeSettings.Regions, r)
	}
	for service, def := range s.sc.pools {
		routeSettings.Services = append(routeSettings.Services, route.Service{Name: def.name, ServiceTime: s.serviceTime(service)})
	}
	for _, r := range s.sc.ranks {
		routeSettings.Ranks = append(routeSettings.Ranks, route.Rank{Name: r.name, Target: r.target})
	}
	return routeSettings
}

// serviceTime returns the mean service time of the requests of a service.
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
			config.Caps = append(config.Caps, shift.Cap{Origin: name, Concurrent: s.sc.capConcurrent,
				BytesPerSecond: s.sc.bytes, GrowthPerSecond: s.sc.capGrowth})
		}
	}
	return config
}

func (s *sim) up(region int) bool {
	return region != s.lostRegion || s.now < lossAt || s.now >= returnAt
}

// scheduleArrivals schedules Poisson arrivals of requests of one region's callers for
// a service and rank.
func (s *sim) scheduleArrivals(origin, service, rank int) {
	def, model := s.sc.pools[service], s.sc.ranks[rank]
	rate := s.sc.load * def.mix[rank] * float64(def.slots[origin]) / model.service.Seconds()
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		r := request{service: service, rank: rank, origin: origin, sent: s.now, deadline: s.now + model.deadline}
		s.recordSent(r)
		if entryRegion, ok := s.entryRegion(origin); ok {
			r.entryRegion, r.entryHost = entryRegion, s.hosts[entryRegion][s.rng.IntN(hostsPerRegion)]
			delay := s.sc.clientDelay
			if entryRegion != origin {
				delay += s.sc.wanDelay
			}
			s.after(delay, func() { s.handle(r) })
		}
		s.scheduleArrivals(origin, service, rank)
	})
}

// entryRegion returns the region whose entry hosts a caller uses, or false if the
// caller still uses the lost region. Callers change to another region when their
// lookups expire, and return over 20 s.
func (s *sim) entryRegion(origin int) (int, bool) {
	other := (origin + 1 + s.rng.IntN(2)) % 3
	if origin != s.lostRegion || s.now < lossAt {
		return origin, true
	}
	if s.now >= returnAt {
		returnedShare := (s.now - returnAt).Seconds() / 20
		if s.rng.Float64() < returnedShare {
			return origin, true
		}
		return other, true
	}
	movedShare := (s.now - lossAt - time.Second).Seconds() / lookupTTL.Seconds()
	return other, s.rng.Float64() < movedShare
}

func (s *sim) routeRequest(r request, region int) route.Request {
	return route.Request{Service: r.service, Rank: r.rank, Remaining: r.deadline - s.now,
		Shifted: r.origin != r.entryRegion, Forwarded: r.forwarded && region != r.entryRegion}
}

// handle lets a request's entry host refuse it or send it to a pool.
func (s *sim) handle(r request) {
	if !s.up(r.entryRegion) {
		return
	}
	region, delay := r.entryRegion, s.sc.lanDelay
	if !s.naive {
		d := r.entryHost.plan.Decide(s.routeRequest(r, r.entryRegion), s.rng)
		if d.Refused() {
			r.entryHost.table.RecordRefusal(s.routeRequest(r, r.entryRegion))
			s.recordOutcome(r, outcome.NotRun)
			return
		}
		if region = d.Region; region != r.entryRegion {
			r.forwarded = true
			delay += s.sc.wanDelay
		}
	}
	r.deadline -= s.sc.lanDelay + s.answerDelay(r, region) // the answer must be back in time
	s.after(delay, func() {
		if s.up(region) {
			s.pools[region][r.service].enqueue(r)
		}
	})
}

// answerDelay returns the time from the release of the slot until the caller has
// the answer.
func (s *sim) answerDelay(r request, region int) time.Duration {
	delay := s.sc.clientDelay
	if region != r.entryRegion {
		delay += s.sc.wanDelay
	}
	if r.entryRegion != r.origin {
		delay += s.sc.wanDelay
	}
	return delay
}

// renew sends a report of a pool owner to the lessor and applies the grant that it
// returns.
func (s *sim) renew(region, service int) {
	p := s.pools[region][service]
	if !s.up(region) {
		return
	}
	p.setWaiting()
	report := p.share.Report(s.now)
	delay := func() time.Duration { return s.sc.lanDelay + time.Duration(s.rng.Int64N(int64(s.sc.lanDelay))) }
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
				p.grantSlots()
			})
		}
	})
}

// sendHints sends the state of the local pools to the entry hosts of the region
// and updates their plans.
func (s *sim) sendHints(region int) {
	if !s.up(region) {
		return
	}
	for service, p := range s.pools[region] {
		views := p.views()
		for _, e := range s.hosts[region] {
			e.table.Observe(region, service, s.now, true, views)
		}
		p.grantSlots()
	}
	for _, e := range s.hosts[region] {
		e.plan = e.table.Tick(s.now)
	}
}

// sendDigest sends the state of a region's pools to the entry hosts of the other
// regions.
func (s *sim) sendDigest(region int) {
	if !s.up(region) {
		return
	}
	at := s.now
	for service, p := range s.pools[region] {
		views := p.views()
		s.after(s.sc.wanDelay+2*s.sc.lanDelay, func() {
			for other := range s.hosts {
				for _, e := range s.hosts[other] {
					if other != region {
						e.table.Observe(region, service, at, true, views)
					}
				}
			}
		})
	}
}
