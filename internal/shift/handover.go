package shift

import (
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
)

// State is the state of a granter from which Resume continues. Once its State has
// been taken for a successor, the granter must answer no more reports.
type State struct {
	Holders []HolderState `json:"holders,omitempty"`
	Peaks   []PeakState   `json:"levels,omitempty"`
}

// HolderState is what the granter knows of one holder.
type HolderState struct {
	Holder host.Incarnation `json:"holder"`
	// Number is the number of the holder's newest report.
	Number uint64 `json:"number"`
	// The holder has one of two shares: Reported, or Granted in answer to it.
	Reported []OriginReport `json:"reported,omitempty"`
	Granted  []OriginGrant  `json:"granted,omitempty"`
}

// PeakState is a peak of the concurrency of one origin.
type PeakState struct {
	Origin string `json:"origin"`
	// Peak is the concurrency that was in use.
	Peak int `json:"level"`
	// Age is the time since then.
	Age time.Duration `json:"age_ns"`
}

// State returns what is known of all holders and the recent peaks of all origins.
func (g *Granter) State(now time.Duration) State {
	// Not called by entry hosts: the granter of a new primary collects reports.
	g.dropInactiveHolders(now)
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
		for _, p := range o.peaks {
			s.Peaks = append(s.Peaks, PeakState{Origin: o.cap.Origin, Peak: p.peak, Age: now - p.at})
		}
	}
	return s
}

// Resume returns a granter that continues from its predecessor's State and need
// not wait for shares to expire. The predecessor must not be Rebuilding.
func Resume(now time.Duration, config GranterConfig, s State) *Granter {
	g := NewGranter(now, config)
	g.started = now - g.config.Validity - g.config.LongestDeadline
	for _, h := range s.Holders {
		a, _ := g.account(h.Holder)
		a.number, a.reportedAt = h.Number, now
		for _, r := range h.Reported {
			if i := g.originIndex(r.Origin); i >= 0 {
				a.origins[i].reported = r
			}
		}
		for _, granted := range h.Granted {
			if i := g.originIndex(granted.Origin); i >= 0 {
				a.origins[i].granted = granted
			}
		}
	}
	for _, p := range s.Peaks {
		if i := g.originIndex(p.Origin); i >= 0 {
			g.origins[i].recordPeak(now-p.Age, p.Peak)
		}
	}
	return g
}

// Rebuilding reports whether the granter still collects reports: holders that have
// not reported may use shares of an earlier granter.
func (g *Granter) Rebuilding(now time.Duration) bool { return g.rebuilding(now) }

// findAccount returns the account of a holder, if there is one.
func (g *Granter) findAccount(holder host.Incarnation) (*account, bool) {
	for _, a := range g.holders {
		if a.holder == holder {
			return a, true
		}
	}
	return nil, false
}

// HasReported reports whether a holder has reported its share and its requests in
// flight after it applied a grant of this granter.
func (g *Granter) HasReported(holder host.Incarnation) bool {
	a, ok := g.findAccount(holder)
	return ok && a.rebuilt
}

// MarkReportsComplete ends rebuilding once the shares of the earlier granter have
// expired. The caller makes sure that the reports cover all requests in flight:
// each pool of the region has an owner for which HasReported returns true, and the
// owners had adopted all requests of earlier owners before they reported. Without
// it, rebuilding goes on for another LongestDeadline, because unresponsive holders
// may have requests in flight.
func (g *Granter) MarkReportsComplete() { g.reportsComplete = true }
