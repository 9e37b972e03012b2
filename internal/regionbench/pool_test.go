package regionbench

import (
	"math"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/route"
	"github.com/galenabeam/galenabeam/internal/shift"
)

// request is one request of a caller. Services, ranks and regions are indexes.
type request struct {
	service, rank, origin int
	sent                  time.Duration // virtual time at which the caller sent it
	deadline              time.Duration // virtual time
	entryRegion           int           // region of the entry host
	entryHost             *entryHost
	forwarded             bool
}

// entryHost is the routing state of an entry host.
type entryHost struct {
	table *route.Table
	plan  *route.Plan
}

// pool is the pool of one service in one region. Its owner holds a share of the caps.
type pool struct {
	s               *sim
	region, service int
	slots, busy     int
	running         [3]int          // by rank
	queues          [3][3][]request // by rank and origin
	id              host.Incarnation
	share           *shift.Share
}

// origin returns the index of a region among the origins of the share.
func (p *pool) origin(region int) int { return (region - p.region + 3) % 3 }

// expectedWait returns the expected wait for a slot at a rank. It counts only queued
// requests of the given origin, as those of other regions wait for their caps.
func (p *pool) expectedWait(rank, origin int) time.Duration {
	var work time.Duration
	for r := 0; r <= rank; r++ {
		work += time.Duration(len(p.queues[r][origin])) * p.s.sc.ranks[r].service
	}
	slots := p.slots
	if origin != p.region {
		limit, _ := p.share.Limit(p.s.now, p.origin(origin))
		slots = max(1, min(slots, limit))
	}
	if p.busy < p.slots && work == 0 {
		return 0
	}
	return work / time.Duration(slots)
}

func (p *pool) views() []route.View {
	views := make([]route.View, len(p.s.sc.ranks))
	for rank := range views {
		views[rank] = route.View{Wait: p.expectedWait(rank, p.region), Free: p.slots - p.busy, Slots: p.slots}
	}
	return views
}

// setWaiting sets, by origin and rank, how many slots would serve the queued
// shifted requests within a second.
func (p *pool) setWaiting() {
	for rank, model := range p.s.sc.ranks {
		for origin, queue := range p.queues[rank] {
			if origin != p.region {
				slots := math.Ceil(float64(len(queue)) * min(1, model.service.Seconds()))
				p.share.SetWaiting(p.origin(origin), rank, int(slots))
			}
		}
	}
}

// enqueue queues a request, or refuses it if its deadline cannot be met.
func (p *pool) enqueue(r request) {
	need := p.s.sc.ranks[r.rank].service
	if !p.s.naive && p.s.now+p.expectedWait(r.rank, r.origin)+need > r.deadline {
		p.refuse(r)
		return
	}
	p.queues[r.rank][r.origin] = append(p.queues[r.rank][r.origin], r)
	p.grantSlots()
}

func (p *pool) refuse(r request) {
	p.s.recordOutcome(r, outcome.NotRun)
	r.entryHost.table.RecordResult(p.s.routeRequest(r, p.region), p.region, false)
}

// grantSlots grants the free slots: first to ranks below their floor, then by
// rank and time of sending.
func (p *pool) grantSlots() {
	for p.busy < p.slots {
		r, ok := p.nextRequest()
		if !ok {
			return
		}
		p.grant(r)
	}
}

func (p *pool) nextRequest() (request, bool) {
	if p.s.naive {
		return p.popOldest([]int{0, 1, 2}, false)
	}
	for rank := len(p.s.sc.ranks) - 1; rank > 0; rank-- {
		if float64(p.running[rank]+1) <= p.s.sc.ranks[rank].floor*float64(p.slots) {
			// A floor guarantees slots to local requests only: long shifted requests
			// would fill the share of their cap.
			if r, ok := p.popOldest([]int{rank}, true); ok {
				return r, true
			}
		}
	}
	for rank := range p.s.sc.ranks {
		if r, ok := p.popOldest([]int{rank}, false); ok {
			return r, true
		}
	}
	return request{}, false
}

// popOldest removes and returns the oldest request of the given ranks whose origin
// may use another slot. For a shifted request it takes a slot of the cap's share.
func (p *pool) popOldest(ranks []int, localOnly bool) (request, bool) {
	var blocked [3][3]bool
	for {
		var best *[]request
		rank, origin := 0, 0
		for _, r := range ranks {
			for o := range p.queues[r] {
				if localOnly && o != p.region {
					continue
				}
				p.refuseExpired(r, o)
				if q := &p.queues[r][o]; len(*q) > 0 && !blocked[r][o] && (best == nil || (*q)[0].sent < (*best)[0].sent) {
					best, rank, origin = q, r, o
				}
			}
		}
		if best == nil {
			return request{}, false
		}
		r := (*best)[0]
		if origin != p.region && !p.s.naive &&
			!p.share.AcquireRank(p.s.now, p.origin(origin), rank, p.s.sc.ranks[rank].bytes) {
			blocked[rank][origin] = true
			continue
		}
		*best = (*best)[1:]
		return r, true
	}
}

// refuseExpired refuses queued requests whose deadline can no longer be met.
func (p *pool) refuseExpired(rank, origin int) {
	q := &p.queues[rank][origin]
	for len(*q) > 0 && (*q)[0].deadline < p.s.now+p.s.sc.ranks[rank].service {
		r := (*q)[0]
		*q = (*q)[1:]
		p.refuse(r)
	}
}

// grant runs a request. Its slot is in use until the release reaches the pool.
func (p *pool) grant(r request) {
	p.busy++
	p.running[r.rank]++
	if p.busy > p.slots {
		p.s.overloads++
	}
	p.s.recordShifted(r.origin, p.region, 1, p.s.sc.ranks[r.rank].bytes)
	r.entryHost.table.RecordResult(p.s.routeRequest(r, p.region), p.region, true)
	runTime := time.Duration((0.5 + p.s.rng.Float64()) * float64(p.s.sc.ranks[r.rank].service))
	generation := p.s.generation[p.region]
	p.s.after(2*p.s.sc.lanDelay+runTime, func() {
		if p.s.generation[p.region] != generation {
			p.s.recordOutcome(r, outcome.Unknown) // the region was lost after the grant
			return
		}
		p.busy--
		p.running[r.rank]--
		p.s.recordShifted(r.origin, p.region, -1, 0)
		if r.origin != p.region && !p.s.naive {
			p.share.ReleaseRank(p.s.now, p.origin(r.origin), r.rank)
			if p.share.ReportDue(p.s.now) {
				p.s.renew(p.region, p.service)
			}
		}
		p.s.after(p.s.answerDelay(r, p.region), func() { p.s.recordOutcome(r, outcome.Done) })
		p.grantSlots()
	})
}
