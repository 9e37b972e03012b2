package sched

import (
	"math"
	"time"
)

// Stats counts events since this owner created the pool.
type Stats struct {
	Arrivals      uint64 `json:"arrivals"`
	Granted       uint64 `json:"granted"`
	Refused       uint64 `json:"refused"`
	Canceled      uint64 `json:"canceled"`       // queued requests that were withdrawn
	Expired       uint64 `json:"expired"`        // grants that were not released in time
	StaleReleases uint64 `json:"stale_releases"` // releases of grants that had ended before
	Ejections     uint64 `json:"ejections"`
}

// Stats returns the counts since this owner created the pool.
func (p *Pool) Stats() Stats { return p.stats }

// RankHeadroom is the capacity that a pool has left for one rank. Wait is encoded
// in nanoseconds.
type RankHeadroom struct {
	Rank string `json:"rank"`
	// Wait is the expected time until a new request gets a slot.
	Wait time.Duration `json:"wait"`
	// FreeSlots is the number of slots that the rank could take now without regard
	// to its floor.
	FreeSlots int `json:"free_slots"`
}

// Headroom returns the headroom of each rank, most urgent rank first.
func (p *Pool) Headroom(now time.Duration) []RankHeadroom {
	p.advance(now)
	h := make([]RankHeadroom, len(p.ranks))
	urgent := p.freeSlots
	for i := range p.ranks {
		r := &p.ranks[i]
		h[i] = RankHeadroom{Rank: r.Name, Wait: p.expectedWait(i, float64(r.queued))}
		h[i].FreeSlots = max(0, min(p.freeSlots, urgent-int(math.Ceil(r.urgentReserve))))
		urgent += r.heldSlots
	}
	return h
}

// State is a snapshot of a pool for state dumps. Slots is the number of usable
// slots less reservations, and Free how many slots can be granted now.
type State struct {
	Service string        `json:"service"`
	Region  string        `json:"region"`
	Slots   int           `json:"slots"`
	Free    int           `json:"free"`
	Ranks   []RankState   `json:"ranks"`
	Servers []ServerState `json:"servers"`
	Stats   Stats         `json:"stats"`
}

// RankState is the state of one rank. Durations are encoded in nanoseconds.
type RankState struct {
	Name        string        `json:"name"`
	Queued      int           `json:"queued"`
	InFlight    int           `json:"in_flight"`
	Wait        time.Duration `json:"wait"`
	ServiceTime time.Duration `json:"service_time"`
	// ArrivalRate is in requests per second.
	ArrivalRate float64 `json:"arrival_rate"`
	// UrgentReserve is the number of slots that must stay free or with more urgent
	// ranks when this rank takes one beyond its floor.
	UrgentReserve float64 `json:"reserve"`
	Granted       uint64  `json:"granted"`
	Refused       uint64  `json:"refused"`
}

// ServerState is the state of one backend server. Slots is the configured number,
// and Usable what warm-up, ejection, draining and load reports leave of it.
type ServerState struct {
	Name     string `json:"name"`
	Slots    int    `json:"slots"`
	Usable   int    `json:"usable"`
	InFlight int    `json:"in_flight"`
	// Reserved is the number of slots withheld for unresponsive entry hosts.
	Reserved int `json:"reserved"`
	// TakesNoWork is set for a server that gets no new work: one that is draining or
	// was removed.
	TakesNoWork bool `json:"leaving"`
	Ejected     bool `json:"ejected"`
	// Removed is set for a server that is no longer in the configuration.
	Removed bool `json:"removed"`
}

// State returns a snapshot of the pool.
func (p *Pool) State(now time.Duration) State {
	p.advance(now)
	st := State{Service: p.params.Service, Region: p.params.Region, Slots: p.slots, Free: p.freeSlots, Stats: p.stats}
	for i := range p.ranks {
		r := &p.ranks[i]
		st.Ranks = append(st.Ranks, RankState{
			Name: r.Name, Queued: r.queued, InFlight: r.heldSlots,
			Wait: p.expectedWait(i, float64(r.queued)), ServiceTime: r.meanServiceTime(),
			ArrivalRate: r.fastRate, UrgentReserve: r.urgentReserve, Granted: r.granted, Refused: r.refused,
		})
	}
	for i := range p.servers {
		s := &p.servers[i]
		st.Servers = append(st.Servers, ServerState{
			Name: s.Name, Slots: s.Slots, Usable: s.usableSlots, InFlight: s.inFlight,
			Reserved: s.reserved, TakesNoWork: s.takesNoWork(), Ejected: now < s.ejectedUntil, Removed: s.removed,
		})
	}
	return st
}
