package shift

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// State is what a leaving granter hands to its successor in lease.handover.
// After taking it, the granter must answer no more reports.
type State struct {
	Holders []HolderState `json:"holders,omitempty"`
	Levels  []LevelState  `json:"levels,omitempty"`
}

// HolderState is what one holder may use.
type HolderState struct {
	Holder host.Incarnation `json:"holder"`
	Number uint64           `json:"number"`
	// Reported and Granted are the two shares of which the holder has one.
	Reported []OriginReport `json:"reported,omitempty"`
	Granted  []OriginGrant  `json:"granted,omitempty"`
}

// LevelState is a concurrency of one origin that was in use some time ago.
type LevelState struct {
	Origin string        `json:"origin"`
	Level  int           `json:"level"`
	Age    time.Duration `json:"age_ns"`
}

// State returns the accounts of all holders.
func (g *Granter) State(now time.Duration) State {
	g.forget(now)
	var s State
	for _, a := range g.holders {
		h := HolderState{Holder: a.holder, Number: a.number}
		for i, o := range g.origins {
			e := a.origins[i]
			e.reported.Origin, e.granted.Origin = o.cap.Origin, o.cap.Origin
			h.Reported = append(h.Reported, e.reported)
			h.Granted = append(h.Granted, e.granted)
		}
		s.Holders = append(s.Holders, h)
	}
	for _, o := range g.origins {
		for _, l := range o.levels {
			s.Levels = append(s.Levels, LevelState{Origin: o.cap.Origin, Level: l.level, Age: now - l.at})
		}
	}
	return s
}

// Resume returns a granter that continues from its predecessor's State. It
// need not wait for shares to run out. A predecessor that is itself still
// learning must not be resumed from; see Learning.
func Resume(now time.Duration, config GranterConfig, s State) *Granter {
	g := NewGranter(now, config)
	g.started = now - g.config.Validity - g.config.LongestDeadline
	for _, h := range s.Holders {
		a, _ := g.account(h.Holder)
		a.number, a.lastHeld = h.Number, now
		for _, r := range h.Reported {
			if i := g.index(r.Origin); i >= 0 {
				a.origins[i].reported = r
			}
		}
		for _, granted := range h.Granted {
			if i := g.index(granted.Origin); i >= 0 {
				a.origins[i].granted = granted
			}
		}
	}
	for _, l := range s.Levels {
		if i := g.index(l.Origin); i >= 0 {
			g.origins[i].noteLevel(now-l.Age, l.Level)
		}
	}
	return g
}

// Learning tells whether shares of an earlier granter may still be in use by
// holders that have not reported.
func (g *Granter) Learning(now time.Duration) bool { return g.learning(now) }

func (g *Granter) find(holder host.Incarnation) (*account, bool) {
	for _, a := range g.holders {
		if a.holder == holder {
			return a, true
		}
	}
	return nil, false
}

// Reported tells whether a holder has reported its share and its requests in
// flight after it took a grant of this granter.
func (g *Granter) Reported(holder host.Incarnation) bool {
	a, ok := g.find(holder)
	return ok && a.learned
}

// Settle ends learning as soon as the time limit of the earlier granter's
// shares has passed. The caller makes sure that the reports cover all requests
// in flight: each pool of the region has an owner for which Reported is true,
// and the owners had adopted all requests of earlier owners before. Until
// then, requests of silent holders count until the longest deadline.
func (g *Granter) Settle() { g.settled = true }
