package dispatch

import "time"

// place is a pool's state of one region.
type place struct {
	foreign bool // another region than the pool's
	// roundTrip is a default until one is measured.
	roundTrip time.Duration
	measured  bool
}

// observeConnectTime updates the round trip to a region from the time to open a
// connection: a shorter time replaces it, a longer one enters a moving average.
func (p *Pool) observeConnectTime(region string, connect time.Duration) {
	at := p.place(region)
	if !at.measured || connect < at.roundTrip {
		at.roundTrip, at.measured = connect, true
		return
	}
	at.roundTrip += (connect - at.roundTrip) / 16
}

// place returns the state of a region, which is new if no server was there before.
func (p *Pool) place(region string) *place {
	at := p.places[region]
	if at == nil {
		at = &place{foreign: region != p.opts.Region, roundTrip: defaultLocalRoundTrip}
		if at.foreign {
			at.roundTrip = defaultForeignRoundTrip
		}
		p.places[region] = at
	}
	return at
}
