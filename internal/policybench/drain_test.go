package policybench

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/config"
	"github.com/galenabeam/galenabeam/internal/drain"
	"github.com/galenabeam/galenabeam/internal/invariant"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

const (
	drainAt = 30 * sec
	// configSpread is the longest time until an accepted revision reaches the
	// owner of a pool.
	configSpread = 2 * sec
	// shiftShare is the cap on requests from the drained region that hold
	// slots of another region, as a share of its slots.
	shiftShare = 0.3
	// drainLoad scales the ordinary load of the services.
	drainLoad   = 0.8
	regionDelay = 50 * ms
)

// capGate is a cap on concurrent requests of one origin.
type capGate struct{ used, limit int }

func (g *capGate) Acquire(time.Duration, int, int64) bool {
	if g.used >= g.limit {
		return false
	}
	g.used++
	return true
}

func (g *capGate) Release(time.Duration, int) { g.used-- }

// drainModel follows the requests of one service during a drain. The pools of
// its regions share one clock. A request that a pool without servers refuses
// goes to the next region.
type drainModel struct {
	pools   [regions]*drained
	leaving map[string]map[uint64]time.Duration // ends of requests by drained server
	late    *invariant.NoNewWorkToLeaving
	once    *invariant.AtMostOnce
	caps    *invariant.CapNeverExceeded
	track   *drain.Drain
	longest time.Duration // longest request left when the drain began
	lastEnd time.Duration
	shifted int
	// firstGuess is the estimate of the time left, one second into the drain.
	firstGuess time.Duration
}

// drained is the pool of one region.
type drained struct {
	*pooled
	d      *drainModel
	region int
}

func newDrainModel(dep *deployment, svc *service, target config.Drain) *drainModel {
	d := &drainModel{leaving: map[string]map[uint64]time.Duration{}, late: invariant.NewNoNewWorkToLeaving(),
		once: invariant.NewAtMostOnce(), caps: invariant.NewCapNeverExceeded()}
	parts := serversOf(svc, target)
	d.track = drain.New(drainAt, target, parts)
	for _, name := range parts {
		d.leaving[name] = map[uint64]time.Duration{}
	}
	shared := &clock{}
	for r := range d.pools {
		m := newPoolModel(dep, svc, r, int64(41+r))
		m.clock = shared
		m.params.Origins = []string{"local", "drained"}
		m.tally.reset(drainAt, drainAt+60*sec, 0)
		d.pools[r] = &drained{pooled: newPooled(m), d: d, region: r}
		d.pools[r].start(svc)
	}
	return d
}

// serversOf returns the servers of the drain. Servers alternate between the
// two failure domains of a region.
func serversOf(svc *service, target config.Drain) []string {
	c := &config.Config{}
	for r := 0; r < regions; r++ {
		p := svc.params(r)
		for i, s := range p.Servers {
			c.BackendServers = append(c.BackendServers, config.BackendServer{
				Name: s.Name, Region: p.Region, FailureDomain: fmt.Sprint("domain", i%domains)})
		}
	}
	return drain.CoveredServers(c, target)
}

func (p *drained) start(svc *service) {
	m := p.m
	limit := int(shiftShare * float64(m.slots))
	p.pool.SetGate(&capGate{limit: limit})
	p.d.caps.SetCap(0, m.params.Region, invariant.Cap{Concurrent: limit})
	m.hooks = hooks{started: p.started, ended: p.ended, moved: p.moved}
	for rank := range works {
		m.feed(arrivals{rank: rank, slots: drainLoad * svc.load[rank] * float64(m.slots), to: drainAt + 60*sec})
	}
	m.at(drainAt, p.begin)
	m.at(drainAt+time.Duration(m.rng.Int63n(int64(configSpread))), p.configure)
}

// begin notes what is in flight at the drained servers.
func (p *drained) begin() {
	for _, s := range p.m.params.Servers {
		ends, ok := p.d.leaving[s.Name]
		if !ok {
			continue
		}
		p.d.late.Leaving(p.m.now, s.Name)
		for _, end := range ends {
			p.d.longest = max(p.d.longest, end-drainAt)
		}
		p.report(s.Name)
	}
	if p.region == 0 {
		p.m.after(sec, func() { p.d.firstGuess = p.d.track.Progress(p.m.now).Left })
	}
}

func (p *drained) report(name string) {
	l := drain.Load{InFlight: p.pool.InFlight(name), MeanServiceTime: sec}
	for _, end := range p.d.leaving[name] {
		l.LatestDeadline = max(l.LatestDeadline, end+works[2].deadline)
	}
	p.d.track.Report(p.m.now, name, l)
	if p.m.now < drainAt+60*sec {
		p.m.after(250*ms, func() { p.report(name) })
	}
}

// configure puts the revision with the drain in force at the owner.
func (p *drained) configure() {
	params := p.m.params
	for _, s := range params.Servers {
		if _, ok := p.d.leaving[s.Name]; ok {
			params.Leaving = append(params.Leaving, s.Name)
		}
	}
	p.act(p.pool.Configure(p.m.now, params, p.acts[:0]))
}

func (p *drained) started(j *job, server int, end time.Duration) {
	name := p.m.params.Servers[server].Name
	p.d.once.Run(p.m.now, fmt.Sprint(j.home, "-", j.id), name)
	p.d.late.Start(p.m.now, name)
	if j.origin != 0 {
		p.d.shifted++
		p.d.caps.Start(p.m.now, p.m.params.Region, 0)
	}
	if ends, ok := p.d.leaving[name]; ok {
		ends[j.key] = end
	}
}

func (p *drained) ended(j *job, server int) {
	name := p.m.params.Servers[server].Name
	if j.origin != 0 {
		p.d.caps.End(p.m.now, p.m.params.Region)
	}
	if ends, ok := p.d.leaving[name]; ok {
		delete(ends, j.key)
		p.d.lastEnd = p.m.now
	}
}

// moved sends a request that its own region cannot run to the next one.
func (p *drained) moved(j *job, o outcome.Outcome) bool {
	if j.origin != 0 || o.Reason != outcome.ReasonNoServer {
		return false
	}
	next := p.d.pools[(p.region+1)%regions]
	copied := *j
	copied.key, copied.origin = j.key+1<<40, 1
	p.m.after(regionDelay, func() { next.submit(&copied) })
	return true
}

// cut counts requests that are still in flight at drained servers at the end
// of the run, long after every service time: the drain would cut them off.
func (d *drainModel) cut() (n int) {
	for _, ends := range d.leaving {
		n += len(ends)
	}
	return n
}

// BenchmarkDrain drains a backend server, a failure domain and a region while
// callers go on.
func BenchmarkDrain(b *testing.B) {
	for _, target := range []config.Drain{
		{Kind: config.DrainBackendServer, Target: "%s-0-0"},
		{Kind: config.DrainFailureDomain, Target: "region0/domain0"},
		{Kind: config.DrainRegion, Target: "region0"},
	} {
		for i := range deployments {
			name := strings.TrimPrefix(strings.TrimSuffix(string(target.Kind), "-server"), "failure-")
			b.Run(name+"/"+deployments[i].name, func(b *testing.B) {
				for n := 0; n < b.N; n++ {
					benchmarkDrain(b, &deployments[i], target)
				}
			})
		}
	}
}

// benchmarkDrain runs all services and reports the sums, and the slowest drain
// by its bound of 1.2 times the longest request left plus 3 s.
func benchmarkDrain(b *testing.B, dep *deployment, target config.Drain) {
	var seconds, longest, worst, guess float64
	var cut, doubled, late, capExcess, shifted, sent, inTime int
	for s := range dep.services {
		svc := &dep.services[s]
		t := target
		t.Target = strings.Replace(t.Target, "%s", svc.name, 1)
		d := newDrainModel(dep, svc, t)
		d.pools[0].m.run(drainAt + 200*sec)
		p := d.track.Progress(drainAt + 200*sec)
		if p.State != drain.Done {
			b.Fatalf("drain of %s is %s with %d in flight", t.Target, p.State, p.InFlight)
		}
		took := (d.lastEnd - drainAt).Seconds()
		if ratio := took / (1.2*d.longest.Seconds() + 3); ratio > worst {
			worst, seconds, longest, guess = ratio, took, d.longest.Seconds(), d.firstGuess.Seconds()
		}
		cut, doubled, late = cut+d.cut(), doubled+d.once.Count(), late+d.late.Count()
		capExcess, shifted = capExcess+d.caps.Count(), shifted+d.shifted
		for _, pool := range d.pools {
			sent += pool.m.tally.rank[0].sent
			inTime += pool.m.tally.rank[0].inTime
		}
	}
	b.ReportMetric(seconds, "drain_seconds")
	b.ReportMetric(longest, "longest_left_seconds")
	b.ReportMetric(worst, "drain_by_bound")
	b.ReportMetric(guess, "estimate_at_1s_seconds")
	b.ReportMetric(float64(cut), "cut")
	b.ReportMetric(float64(doubled), "doubled")
	b.ReportMetric(float64(late), "late_new_work")
	b.ReportMetric(float64(capExcess), "cap_excess")
	b.ReportMetric(float64(shifted), "shifted")
	b.ReportMetric(float64(inTime)/float64(sent), "urgent_in_time")
}
