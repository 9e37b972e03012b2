package dispatch

import "time"

// ServerState is a pool's state of one backend server, for the state dump. InFlight
// is the number of the pool's grants that have not ended; Load estimates all requests
// that the server runs or queues. Down is set while the server is not expected to
// answer or has just refused a request, Leaving while it is marked as leaving by its
// answers. Slowness is the service time relative to the
// usual one of the class, Failures the failure rate from 0 to 1, and Objects the
// number of objects assumed held.
type ServerState struct {
	Region   string  `json:"region"`
	Slots    int     `json:"slots"`
	InFlight int     `json:"in_flight"`
	Load     float64 `json:"load"`
	Cold     bool    `json:"cold"`
	Down     bool    `json:"down"`
	Draining bool    `json:"draining"`
	Leaving  bool    `json:"leaving"`
	Slowness float64 `json:"slowness"`
	Failures float64 `json:"failure_rate"`
	Objects  int     `json:"objects"`
	// Pace is the limit of a paced server, 0 of others.
	Pace int `json:"pace,omitempty"`
	// TimeFactor is the service time relative to the server's usual one that its reports
	// let expect now, 0 if it reports none.
	TimeFactor float64 `json:"time_factor,omitempty"`
}

// Dump returns the state of each backend server by its ID.
func (p *Pool) Dump(now time.Duration) map[string]ServerState {
	state := make(map[string]ServerState, len(p.servers))
	for id, s := range p.servers {
		timeFactor := 0.0
		if s.reportedFactor.factor != 0 {
			timeFactor = s.reportedFactor.expected(now)
		}
		state[id] = ServerState{
			Region: s.region, Slots: s.slots, InFlight: s.inflight, Load: s.load(now), Cold: s.cold(now),
			Down: !s.available(now), Draining: s.draining, Leaving: s.leaving(now), Slowness: s.slowness,
			Failures: s.failureRate(now), Objects: len(s.objects), Pace: int(s.pacing.limit), TimeFactor: timeFactor,
		}
	}
	return state
}
