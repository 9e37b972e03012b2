package policybench

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/sched"
)

const (
	ms  = time.Millisecond
	sec = time.Second

	regions        = 3
	hostsPerRegion = 8 // 24 entry hosts in three regions
	domains        = 2
	domainLocal    = 50 * time.Microsecond // one way within a failure domain
	openCost       = ms                    // of a new connection
	customers      = 20
	ranks          = 3
)

// deployment holds the sizes and delays of section 1.1 of the design page.
type deployment struct {
	name                     string
	domainDelay, clientDelay time.Duration
	services                 []service
}

type service struct {
	name           string
	servers, slots int // servers over all regions
	// load is the offered load by rank as a share of the slots.
	load [ranks]float64
}

var deployments = []deployment{
	{name: "hagtal", domainDelay: 500 * time.Microsecond, clientDelay: ms, services: []service{
		{"talnabrunnur", 22, 4, [ranks]float64{0.55, 0.12, 0.10}},
		{"yfirlysingar", 12, 4, [ranks]float64{0.20, 0.45, 0.10}},
		{"mottaka", 12, 3, [ranks]float64{0.12, 0.12, 0.50}},
	}},
	{name: "tsehay", domainDelay: 1500 * time.Microsecond, clientDelay: 8 * ms, services: []service{
		{"phrase-svc", 20, 3, [ranks]float64{0.55, 0.12, 0.10}},
		{"pay-svc", 12, 3, [ranks]float64{0.20, 0.45, 0.10}},
		{"voice-svc", 12, 3, [ranks]float64{0.12, 0.12, 0.50}},
	}},
}

// work describes one rank.
type work struct {
	name             string
	shortest, range_ time.Duration
	target, deadline time.Duration
	floor, worth     float64
}

var works = [ranks]work{
	{"urgent", 20 * ms, 40 * ms, 250 * ms, sec, 0, 100},
	{"second", 60 * ms, 90 * ms, sec, 5 * sec, 0.10, 10},
	{"bulk", 500 * ms, 1500 * ms, 30 * sec, 60 * sec, 0.05, 1},
}

func (w *work) mean() time.Duration { return w.shortest + w.range_/2 }

// serversIn returns the number of a service's servers in a region.
func (s *service) serversIn(region int) int {
	return (s.servers + regions - 1 - region) / regions
}

// params returns what the configuration says about the pool.
func (s *service) params(region int) sched.Params {
	p := sched.Params{
		Service: s.name, Region: fmt.Sprint("region", region), Origins: []string{fmt.Sprint("region", region)},
		EjectShare: 0.3, Warmup: 30 * sec,
	}
	for i := 0; i < s.serversIn(region); i++ {
		p.Servers = append(p.Servers, sched.Server{Name: fmt.Sprintf("%s-%d-%d", s.name, region, i), Slots: s.slots})
	}
	for _, w := range works {
		p.Ranks = append(p.Ranks, sched.Rank{
			Name: w.name, Target: w.target, Deadline: w.deadline, Floor: w.floor, Worth: w.worth,
			InitialServiceTime: max(40*ms, w.target/20),
		})
	}
	p.Ranks[0].InitialLoad = 0.5 // as sched.ParamsFor sets it
	for c := 0; c < customers; c++ {
		p.Customers = append(p.Customers, sched.Customer{Name: fmt.Sprint("customer", c), Weight: 1 + c%5})
	}
	return p
}

// job is one request of a caller.
type job struct {
	key            uint64
	rank, customer int
	edge           int
	sent           time.Duration
	service        time.Duration
	home, origin   int    // region of the caller, and its index at the pool
	id             uint64 // of the caller's operation, within its region
	flood          bool   // comes from the flood, not from the ordinary load
}

// arrivals feeds Poisson arrivals of a rank with an offered load in slots to
// a pool, from one time to another. Requests of a flood come from customer 0.
type arrivals struct {
	rank     int
	slots    float64
	from, to time.Duration
	flood    bool
}

func (a arrivals) start(c *clock, rng *rand.Rand, keys *uint64, deliver func(*job)) {
	w := &works[a.rank]
	if a.slots <= 0 {
		return
	}
	perSecond := a.slots / w.mean().Seconds()
	var next func()
	next = func() {
		if c.now >= a.to {
			return
		}
		*keys++
		j := &job{
			key: *keys, id: *keys, rank: a.rank, customer: rng.Intn(customers), edge: rng.Intn(hostsPerRegion), sent: c.now,
			service: w.shortest + time.Duration(rng.Int63n(int64(w.range_))), flood: a.flood,
		}
		if a.flood {
			j.customer = 0
		}
		deliver(j)
		c.after(time.Duration(rng.ExpFloat64()/perSecond*float64(sec)), next)
	}
	c.at(a.from+time.Duration(rng.ExpFloat64()/perSecond*float64(sec)), next)
}
