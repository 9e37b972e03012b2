// Package fairshare decides which workspaces ask for more than their max-min fair share
// of a capacity that is scarce.
//
// Shares is a state machine without a clock and is not safe for concurrent use. It
// averages the demand and the usage of each workspace, in requests. The capacity is
// divided rank by rank, the most urgent first. Within a rank all workspaces get the same
// level, except that none gets more than its demand, and none is served less than
// minServedRatio as often as all of the rank.
package fairshare

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// timeConstant applies to the averages of demand and usage. Most workspaces have a
	// few requests per second, so that a shorter one would average over too few.
	timeConstant = 2 * time.Second
	// minLevelPeriod is the shortest time between two divisions of the capacity.
	minLevelPeriod = 50 * time.Millisecond
	// levelPeriodPerWorkspace is added to it for each workspace: a division takes about
	// 0.1 us for each, which so is at most 1% of a core.
	levelPeriodPerWorkspace = 20 * time.Microsecond
	// minDemand is the decayed number of requests below which a workspace is dropped.
	minDemand = 0.02
	// maxWorkspaces bounds the memory. The requests of further workspaces are not
	// averaged and not refused for their share.
	maxWorkspaces = 1 << 16
)

// workspace holds the averages of one workspace at one rank.
type workspace struct {
	demand, usage Rate
}

type workspaceKey struct {
	rank int
	name string
}

// Shares holds the averages of all workspaces of a service.
type Shares struct {
	workspaces  map[workspaceKey]*workspace
	allocations map[int]allocation // by rank
	demands     map[int]float64    // requests per second, by rank, as of allocatedAt
	// allocatedAt is when allocations were computed, dividedOnce whether they were.
	allocatedAt time.Duration
	dividedOnce bool
}

// New returns an empty Shares.
func New() *Shares {
	return &Shares{workspaces: map[workspaceKey]*workspace{}, allocations: map[int]allocation{}, demands: map[int]float64{}}
}

// Clone returns a copy that shares nothing with s.
func (s *Shares) Clone() *Shares {
	copied := *s
	copied.workspaces, copied.allocations = make(map[workspaceKey]*workspace, len(s.workspaces)), maps.Clone(s.allocations)
	copied.demands = maps.Clone(s.demands)
	values := make([]workspace, 0, len(s.workspaces))
	for k, w := range s.workspaces {
		values = append(values, *w)
		copied.workspaces[k] = &values[len(values)-1]
	}
	return &copied
}

// Arrived counts a request of a workspace, whether it is granted or not.
func (s *Shares) Arrived(now time.Duration, rank int, name string) {
	k := workspaceKey{rank, name}
	w := s.workspaces[k]
	if w == nil {
		if len(s.workspaces) >= maxWorkspaces {
			return
		}
		w = &workspace{}
		s.workspaces[k] = w
	}
	w.demand.Add(now, timeConstant)
}

// Granted counts a request of a workspace that is sent to a server.
func (s *Shares) Granted(now time.Duration, rank int, name string) {
	if w := s.workspaces[workspaceKey{rank, name}]; w != nil {
		w.usage.Add(now, timeConstant)
	}
}

// Withdrawn takes back a request that arrived and was granted at a time, and was not sent.
func (s *Shares) Withdrawn(now, grantedAt time.Duration, rank int, name string) {
	if w := s.workspaces[workspaceKey{rank, name}]; w != nil {
		w.demand.Remove(now, grantedAt, timeConstant)
		w.usage.Remove(now, grantedAt, timeConstant)
	}
}

// Share returns the rate in requests per second that a workspace gets of a capacity, and
// whether its demand exceeds it. capacity is in requests per second.
func (s *Shares) Share(now time.Duration, rank int, name string, capacity float64) (perSecond float64, limited bool) {
	w := s.workspaces[workspaceKey{rank, name}]
	if w == nil {
		return 0, false
	}
	s.divide(now, capacity)
	demand := w.demand.PerSecond(now, timeConstant)
	a, ok := s.allocations[rank]
	if !ok {
		return demand, false // the first request of the rank since the last division
	}
	share := a.share(demand)
	return share, share < demand
}

// Above reports whether one more request would exceed the share of a workspace, which
// then is to be refused while there is no free slot.
func (s *Shares) Above(now time.Duration, rank int, name string, capacity float64) bool {
	w := s.workspaces[workspaceKey{rank, name}]
	share, limited := s.Share(now, rank, name, capacity)
	return limited && w.usage.Count(now, timeConstant) > countBeforeGrant(share)
}

// MoreUrgentDemand returns the requests per second that arrive at the ranks more urgent
// than a rank. capacity is in requests per second.
func (s *Shares) MoreUrgentDemand(now time.Duration, rank int, capacity float64) float64 {
	s.divide(now, capacity)
	sum := 0.0
	for other, demand := range s.demands {
		if other < rank {
			sum += demand
		}
	}
	return sum
}

// countBeforeGrant returns the decayed number of grants that is left just before the
// next one if there are perSecond grants per second at equal distances. For large rates
// it is half a grant below the average; for small ones it makes the rate exact, where
// the average itself as the limit would allow a multiple of it.
func countBeforeGrant(perSecond float64) float64 {
	return 1 / math.Expm1(1/(perSecond*timeConstant.Seconds()))
}

// Len returns the number of workspaces with recent requests, counted once for each rank.
func (s *Shares) Len() int { return len(s.workspaces) }

// divide divides the capacity among the workspaces, unless it was done recently. A rank
// with a single workspace is not limited: there is none to share with.
func (s *Shares) divide(now time.Duration, capacity float64) {
	period := minLevelPeriod + time.Duration(len(s.workspaces))*levelPeriodPerWorkspace
	if s.dividedOnce && now-s.allocatedAt < period {
		return
	}
	s.allocatedAt, s.dividedOnce = now, true
	clear(s.allocations)
	clear(s.demands)
	demands := s.demandsByRank(now)
	ranks := make([]int, 0, len(demands))
	for rank := range demands {
		ranks = append(ranks, rank)
	}
	slices.Sort(ranks)
	for _, rank := range ranks {
		list := demands[rank]
		a := allocate(capacity, list)
		for _, d := range list {
			capacity -= a.share(d)
			s.demands[rank] += d
		}
		if len(list) < 2 {
			a = allocation{level: math.Inf(1), minRatio: 1}
		}
		s.allocations[rank] = a
	}
}

// demandsByRank returns the demands in requests per second, sorted so that sums do not
// depend on the order of a map, and drops workspaces without recent requests.
func (s *Shares) demandsByRank(now time.Duration) map[int][]float64 {
	s.Expire(now)
	demands := map[int][]float64{}
	for k, w := range s.workspaces {
		demands[k.rank] = append(demands[k.rank], w.demand.PerSecond(now, timeConstant))
	}
	for _, list := range demands {
		slices.Sort(list)
	}
	return demands
}

// Expire drops workspaces without recent requests. It is to be called now and then, as
// the capacity is divided only while it is scarce.
func (s *Shares) Expire(now time.Duration) {
	for k, w := range s.workspaces {
		if w.demand.Count(now, timeConstant) < minDemand {
			delete(s.workspaces, k)
		}
	}
}
