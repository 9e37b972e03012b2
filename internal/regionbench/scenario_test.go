package regionbench

import "time"

// work is one rank of requests.
type work struct {
	name    string
	service time.Duration
	bytes   int64
	target  time.Duration
	// deadline equals the target for lookups, so that a full pool refuses them
	// early in place of answering all of them late.
	deadline time.Duration
	floor    float64 // share of the slots
}

// scenario is one operator's deployment and caps.
type scenario struct {
	name        string
	regions     []string
	lan, client time.Duration // one way
	wan         time.Duration
	pools       []pools
	ranks       []work
	load        float64 // of the slots, in each region
	concurrent  int     // cap on each pair of regions
	bytes       int64   // cap per second
	growth      float64 // cap per second
}

// pools is a service with its slots in each region.
type pools struct {
	name  string
	slots [3]int
	mix   [3]float64 // of the ranks, in slots
}

// split divides servers over three regions as evenly as possible.
func split(servers, slots int) [3]int {
	var s [3]int
	for i := range s {
		s[i] = (servers + 2 - i) / 3 * slots
	}
	return s
}

func hagtal() scenario {
	return scenario{
		name: "hagtal", regions: []string{"sudvestur", "nordur", "austur"},
		lan: 500 * time.Microsecond, client: time.Millisecond, wan: 55 * time.Millisecond,
		pools: []pools{
			{"talnabrunnur", split(22, 4), [3]float64{0.7, 0.2, 0.1}},
			{"yfirlysingar", split(12, 4), [3]float64{0.2, 0.6, 0.2}},
			{"mottaka", split(12, 3), [3]float64{0.1, 0.2, 0.7}},
		},
		ranks: []work{
			{"lookups", 20 * time.Millisecond, 4 << 10, 250 * time.Millisecond, 250 * time.Millisecond, 0.05},
			{"declarations", 100 * time.Millisecond, 64 << 10, 2 * time.Second, 5 * time.Second, 0.1},
			{"manifests", time.Second, 1 << 20, 30 * time.Second, 60 * time.Second, 0.1},
		},
		load: 0.7, concurrent: 16, bytes: 250e6, growth: 4,
	}
}

func tsehay() scenario {
	return scenario{
		name: "tsehay", regions: []string{"east-africa", "west-europe", "gulf"},
		lan: 1500 * time.Microsecond, client: 8 * time.Millisecond, wan: 35 * time.Millisecond,
		pools: []pools{
			{"phrase-svc", split(20, 3), [3]float64{0.8, 0.1, 0.1}},
			{"pay-svc", split(12, 3), [3]float64{0.2, 0.7, 0.1}},
			{"voice-svc", split(12, 3), [3]float64{0.1, 0.1, 0.8}},
		},
		ranks: []work{
			{"phrases", 25 * time.Millisecond, 2 << 10, 250 * time.Millisecond, 250 * time.Millisecond, 0.05},
			{"purchases", 120 * time.Millisecond, 16 << 10, 2 * time.Second, 5 * time.Second, 0.1},
			{"recordings", 1500 * time.Millisecond, 1 << 20, 30 * time.Second, 60 * time.Second, 0.1},
		},
		// The link carries 35 MB/s; the rest of it is for other traffic.
		load: 0.7, concurrent: 12, bytes: 17_500_000, growth: 4,
	}
}
