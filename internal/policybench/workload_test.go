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
	hostsPerRegion = 8                     // 24 entry hosts in three regions
	failureDomains = 2                     // per region
	localDelay     = 50 * time.Microsecond // one way within a failure domain
	connectTime    = ms                    // to open a connection
	customers      = 20
	ranks          = 3
)

// deployment has the sizes and delays of docs/design.md, section 1.1.
type deployment struct {
	name                     string
	domainDelay, clientDelay time.Duration // one way between failure domains, and to callers
	services                 []service
}

type service struct {
	name           string
	servers, slots int // servers in all regions, slots of each
	// load is the offered load by rank, as a fraction of the slots.
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

// rankModel describes the requests of one rank. Service times are distributed
// uniformly from minServiceTime over serviceTimeRange.
type rankModel struct {
	name                             string
	minServiceTime, serviceTimeRange time.Duration
	target, deadline                 time.Duration
	floor, worth                     float64
}

var rankModels = [ranks]rankModel{
	{"urgent", 20 * ms, 40 * ms, 250 * ms, sec, 0, 100},
	{"second", 60 * ms, 90 * ms, sec, 5 * sec, 0.10, 10},
	{"bulk", 500 * ms, 1500 * ms, 30 * sec, 60 * sec, 0.05, 1},
}

func (model *rankModel) meanServiceTime() time.Duration {
	return model.minServiceTime + model.serviceTimeRange/2
}

// serversIn returns the number of a service's servers in a region.
func (s *service) serversIn(region int) int {
	return (s.servers + regions - 1 - region) / regions
}

// params returns the parameters of the service's pool in a region, as from a
// configuration.
func (s *service) params(region int) sched.Params {
	p := sched.Params{
		Service: s.name, Region: fmt.Sprint("region", region), Origins: []string{fmt.Sprint("region", region)},
		EjectShare: 0.3, Warmup: 30 * sec,
	}
	for i := 0; i < s.serversIn(region); i++ {
		p.Servers = append(p.Servers, sched.Server{Name: fmt.Sprintf("%s-%d-%d", s.name, region, i), Slots: s.slots})
	}
	for _, model := range rankModels {
		p.Ranks = append(p.Ranks, sched.Rank{
			Name: model.name, Target: model.target, Deadline: model.deadline, Floor: model.floor, Worth: model.worth,
			InitialServiceTime: max(40*ms, model.target/20),
		})
	}
	p.Ranks[0].InitialLoad = 0.5 // as sched.ParamsFor sets it
	for c := 0; c < customers; c++ {
		p.Customers = append(p.Customers, sched.Customer{Name: fmt.Sprint("customer", c), Weight: 1 + c%5})
	}
	return p
}

// request is one request of a caller.
type request struct {
	key                  uint64 // at the pool
	rank, customer       int
	host                 int // entry host, by index
	sent                 time.Duration
	serviceTime          time.Duration
	callerRegion, origin int    // region of the caller, and its origin index at the pool
	id                   uint64 // of the caller's operation, within its region
	flood                bool   // part of the flood, not of the ordinary load
}

// arrivals is a stream of Poisson arrivals at a pool, from one time to another.
// Requests of a flood come from customer 0.
type arrivals struct {
	rank     int
	slots    float64 // offered load
	from, to time.Duration
	flood    bool
}

func (a arrivals) start(c *clock, rng *rand.Rand, lastKey *uint64, deliver func(*request)) {
	model := &rankModels[a.rank]
	if a.slots <= 0 {
		return
	}
	perSecond := a.slots / model.meanServiceTime().Seconds()
	var next func()
	next = func() {
		if c.now >= a.to {
			return
		}
		*lastKey++
		req := &request{
			key: *lastKey, id: *lastKey, rank: a.rank, customer: rng.Intn(customers), host: rng.Intn(hostsPerRegion), sent: c.now,
			serviceTime: model.minServiceTime + time.Duration(rng.Int63n(int64(model.serviceTimeRange))), flood: a.flood,
		}
		if a.flood {
			req.customer = 0
		}
		deliver(req)
		c.after(time.Duration(rng.ExpFloat64()/perSecond*float64(sec)), next)
	}
	c.at(a.from+time.Duration(rng.ExpFloat64()/perSecond*float64(sec)), next)
}
