package regionbench

import (
	"math"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/route"
	"github.com/galenabeam/galenabeam/internal/shift"
)

// request is one request of a caller.
type request struct {
	service, rank, origin int
	sent                  time.Duration // by the caller
	deadline              time.Duration // on the virtual clock
	entry                 int           // region of the entry host
	edge                  *edge
	forwarded             bool
}

// edge is an entry host.
type edge struct {
	table *route.Table
	plan  *route.Plan
}

// pool is the set of slots of one service in one region, with a queue per rank
// and origin. Its owner holds a share of the caps.
type pool struct {
	s               *sim
	region, service int
	slots, busy     int
	running         [3]int // by rank
	queues          [3][3][]request
	id              host.Incarnation
	share           *shift.Share
}

// origin returns the index of a region among the origins of the share.
func (p *pool) origin(region int) int { return (region - p.region + 3) % 3 }

// wait is the expected wait of a rank for a slot, counting requests of local
// origin only; shifted ones wait for their caps.
func (p *pool) wait(rank, origin int) time.Duration {
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
		views[rank] = route.View{Wait: p.wait(rank, p.region), Free: p.slots - p.busy, Slots: p.slots}
	}
	return views
}

// tellWaiting reports the slots that would serve the queued shifted requests
// within a second.
func (p *pool) tellWaiting() {
	for rank, work := range p.s.sc.ranks {
		for origin, queue := range p.queues[rank] {
			if origin != p.region {
				slots := math.Ceil(float64(len(queue)) * min(1, work.service.Seconds()))
				p.share.SetWaiting(p.origin(origin), rank, int(slots))
			}
		}
	}
}

// arrive queues a request or refuses it if its deadline cannot be met.
func (p *pool) arrive(r request) {
	need := p.s.sc.ranks[r.rank].service
	if !p.s.naive && p.s.now+p.wait(r.rank, r.origin)+need > r.deadline {
		p.refuse(r)
		return
	}
	p.queues[r.rank][r.origin] = append(p.queues[r.rank][r.origin], r)
	p.dispatch()
}

func (p *pool) refuse(r request) {
	p.s.finish(r, outcome.NotRun)
	r.edge.table.RecordResult(p.s.routed(r, p.region), p.region, false)
}

// dispatch grants free slots: ranks below their floor first, then by rank and
// arrival.
func (p *pool) dispatch() {
	for p.busy < p.slots {
		r, ok := p.next()
		if !ok {
			return
		}
		p.grant(r)
	}
}

func (p *pool) next() (request, bool) {
	if p.s.naive {
		return p.oldest([]int{0, 1, 2}, false)
	}
	for rank := len(p.s.sc.ranks) - 1; rank > 0; rank-- {
		if float64(p.running[rank]+1) <= p.s.sc.ranks[rank].floor*float64(p.slots) {
			// Floors hold for slots. A floor on the share of a cap would let long
			// requests fill it.
			if r, ok := p.oldest([]int{rank}, true); ok {
				return r, true
			}
		}
	}
	for rank := range p.s.sc.ranks {
		if r, ok := p.oldest([]int{rank}, false); ok {
			return r, true
		}
	}
	return request{}, false
}

// oldest takes the oldest request of the given ranks whose origin has a slot.
func (p *pool) oldest(ranks []int, localOnly bool) (request, bool) {
	var blocked [3][3]bool
	for {
		var best *[]request
		rank, origin := 0, 0
		for _, r := range ranks {
			for o := range p.queues[r] {
				if localOnly && o != p.region {
					continue
				}
				p.expire(r, o)
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

// expire refuses queued requests whose deadline can no longer be met.
func (p *pool) expire(rank, origin int) {
	q := &p.queues[rank][origin]
	for len(*q) > 0 && (*q)[0].deadline < p.s.now+p.s.sc.ranks[rank].service {
		r := (*q)[0]
		*q = (*q)[1:]
		p.refuse(r)
	}
}

// grant runs a request. The slot is held from the grant until the edge has
// released it.
func (p *pool) grant(r request) {
	p.busy++
	p.running[r.rank]++
	if p.busy > p.slots {
		p.s.overloads++
	}
	p.s.shifted(r.origin, p.region, 1, p.s.sc.ranks[r.rank].bytes)
	r.edge.table.RecordResult(p.s.routed(r, p.region), p.region, true)
	length := time.Duration((0.5 + p.s.rng.Float64()) * float64(p.s.sc.ranks[r.rank].service))
	life := p.s.life[p.region]
	p.s.after(2*p.s.sc.lan+length, func() {
		if p.s.life[p.region] != life {
			p.s.finish(r, outcome.Unknown) // the region was lost meanwhile
			return
		}
		p.busy--
		p.running[r.rank]--
		p.s.shifted(r.origin, p.region, -1, 0)
		if r.origin != p.region && !p.s.naive {
			p.share.ReleaseRank(p.s.now, p.origin(r.origin), r.rank)
			if p.share.ReportDue(p.s.now) {
				p.s.renew(p.region, p.service)
			}
		}
		p.s.after(p.s.wayBack(r, p.region), func() { p.s.finish(r, outcome.Done) })
		p.dispatch()
	})
}
