package regionbench

import "time"

// rankModel describes the requests of one rank.
type rankModel struct {
	name    string
	service time.Duration // mean service time; requests take 0.5 to 1.5 times as long
	bytes   int64         // length of body and answer
	target  time.Duration
	// deadline equals the target for the most urgent rank, so that a full pool refuses
	// some requests early instead of answering all of them late.
	deadline time.Duration
	floor    float64 // fraction of the slots
}

// scenario is one operator's deployment and caps.
type scenario struct {
	name                  string
	regions               []string
	lanDelay, clientDelay time.Duration // one way
	wanDelay              time.Duration // one way
	pools                 []pools       // by service
	ranks                 []rankModel   // most urgent first
	load                  float64       // offered in each region, as a fraction of the slots
	// The caps apply to each ordered pair of regions.
	capConcurrent int     // requests
	bytes         int64   // cap, bytes per second
	capGrowth     float64 // concurrent requests added per second
}

// pools describes the pools of one service, one in each region.
type pools struct {
	name  string
	slots [3]int     // by region
	mix   [3]float64 // fractions of the offered load, in slots, by rank
}

// slotsByRegion divides servers over three regions as evenly as possible and returns
// the slots of each region.
func slotsByRegion(servers, slotsPerServer int) [3]int {
	var s [3]int
	for i := range s {
		s[i] = (servers + 2 - i) / 3 * slotsPerServer
	}
	return s
}

func hagtal() scenario {
	return scenario{
		name: "hagtal", regions: []string{"sudvestur", "nordur", "austur"},
		lanDelay: 500 * time.Microsecond, clientDelay: time.Millisecond, wanDelay: 55 * time.Millisecond,
		pools: []pools{
			{"talnabrunnur", slotsByRegion(22, 4), [3]float64{0.7, 0.2, 0.1}},
			{"yfirlysingar", slotsByRegion(12, 4), [3]float64{0.2, 0.6, 0.2}},
			{"mottaka", slotsByRegion(12, 3), [3]float64{0.1, 0.2, 0.7}},
		},
		ranks: []rankModel{
			{"lookups", 20 * time.Millisecond, 4 << 10, 250 * time.Millisecond, 250 * time.Millisecond, 0.05},
			{"declarations", 100 * time.Millisecond, 64 << 10, 2 * time.Second, 5 * time.Second, 0.1},
			{"manifests", time.Second, 1 << 20, 30 * time.Second, 60 * time.Second, 0.1},
		},
		load: 0.7, capConcurrent: 16, bytes: 250e6, capGrowth: 4,
	}
}

func tsehay() scenario {
	return scenario{
		name: "tsehay", regions: []string{"east-africa", "west-europe", "gulf"},
		lanDelay: 1500 * time.Microsecond, clientDelay: 8 * time.Millisecond, wanDelay: 35 * time.Millisecond,
		pools: []pools{
			{"phrase-svc", slotsByRegion(20, 3), [3]float64{0.8, 0.1, 0.1}},
			{"pay-svc", slotsByRegion(12, 3), [3]float64{0.2, 0.7, 0.1}},
			{"voice-svc", slotsByRegion(12, 3), [3]float64{0.1, 0.1, 0.8}},
		},
		ranks: []rankModel{
			{"phrases", 25 * time.Millisecond, 2 << 10, 250 * time.Millisecond, 250 * time.Millisecond, 0.05},
			{"purchases", 120 * time.Millisecond, 16 << 10, 2 * time.Second, 5 * time.Second, 0.1},
			{"recordings", 1500 * time.Millisecond, 1 << 20, 30 * time.Second, 60 * time.Second, 0.1},
		},
		// The link carries 35 MB/s. The cap leaves the rest to other traffic.
		load: 0.7, capConcurrent: 12, bytes: 17_500_000, capGrowth: 4,
	}
}
