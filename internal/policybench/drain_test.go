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
	// configSpread is the longest time until an accepted revision reaches a pool's
	// owner.
	configSpread = 2 * sec
	// capFraction is the cap on requests from the drained region in another region, as
	// a fraction of the slots there.
	capFraction = 0.3
	// drainLoad scales the ordinary load of the services.
	drainLoad   = 0.8
	regionDelay = 50 * ms // one way between two regions
)

// capGate limits the concurrent requests of one origin.
type capGate struct{ used, limit int }

func (g *capGate) Acquire(time.Duration, int, int64) bool {
	if g.used >= g.limit {
		return false
	}
	g.used++
	return true
}

func (g *capGate) Release(time.Duration, int) { g.used-- }

// drainModel simulates one service during a drain. The pools of its regions
// share one clock. A request that a pool refuses because all its servers are
// drained goes to the next region.
type drainModel struct {
	pools [regions]*drainPool
	// endsByServer has, by drained server and request key, the times at which the
	// servers finish their requests.
	endsByServer map[string]map[uint64]time.Duration
	lateWork     *invariant.NoNewWorkToLeaving // detects grants at servers that have been draining for too long
	atMostOnce   *invariant.AtMostOnce
	caps         *invariant.CapNeverExceeded
	progress     *drain.Drain
	longestLeft  time.Duration // longest time to the end of a request when the drain began
	lastEnd      time.Duration // time of the latest release of a drained server's slot
	shifted      int           // requests that started in another region
	// firstEstimate is the estimated remaining time one second after the start.
	firstEstimate time.Duration
}

// drainPool is the pool of one region.
type drainPool struct {
	*poolPolicy
	d      *drainModel
	region int
}

func newDrainModel(dep *deployment, svc *service, target config.Drain) *drainModel {
	d := &drainModel{endsByServer: map[string]map[uint64]time.Duration{}, lateWork: invariant.NewNoNewWorkToLeaving(),
		atMostOnce: invariant.NewAtMostOnce(), caps: invariant.NewCapNeverExceeded()}
	servers := drainedServers(svc, target)
	d.progress = drain.New(drainAt, target, servers)
	for _, name := range servers {
		d.endsByServer[name] = map[uint64]time.Duration{}
	}
	shared := &clock{}
	for r := range d.pools {
		m := newPoolModel(dep, svc, r, int64(41+r))
		m.clock = shared
		m.params.Origins = []string{"local", "drained"}
		m.stats.reset(drainAt, drainAt+60*sec, 0)
		d.pools[r] = &drainPool{poolPolicy: newPoolPolicy(m), d: d, region: r}
		d.pools[r].start(svc)
	}
	return d
}

// drainedServers returns the names of the servers that a drain covers. Servers
// alternate between the two failure domains of a region.
func drainedServers(svc *service, target config.Drain) []string {
	c := &config.Config{}
	for r := 0; r < regions; r++ {
		p := svc.params(r)
		for i, s := range p.Servers {
			c.BackendServers = append(c.BackendServers, config.BackendServer{
				Name: s.Name, Region: p.Region, FailureDomain: fmt.Sprint("domain", i%failureDomains)})
		}
	}
	return drain.CoveredServers(c, target)
}

// start schedules the arrivals at the pool and the drain.
func (p *drainPool) start(svc *service) {
	m := p.m
	limit := int(capFraction * float64(m.slots))
	p.pool.SetGate(&capGate{limit: limit})
	p.d.caps.SetCap(0, m.params.Region, invariant.Cap{Concurrent: limit})
	m.hooks = hooks{started: p.started, ended: p.ended, redirect: p.redirect}
	for rank := range rankModels {
		m.addArrivals(arrivals{rank: rank, slots: drainLoad * svc.load[rank] * float64(m.slots), to: drainAt + 60*sec})
	}
	m.at(drainAt, p.beginDrain)
	m.at(drainAt+time.Duration(m.rng.Int63n(int64(configSpread))), p.applyDrain)
}

// beginDrain reports the drain to the checker, records the longest remaining time of
// the servers' requests and starts the load reports.
func (p *drainPool) beginDrain() {
	for _, s := range p.m.params.Servers {
		ends, ok := p.d.endsByServer[s.Name]
		if !ok {
			continue
		}
		p.d.lateWork.Leaving(p.m.now, s.Name)
		for _, end := range ends {
			p.d.longestLeft = max(p.d.longestLeft, end-drainAt)
		}
		p.reportLoad(s.Name)
	}
	if p.region == 0 {
		p.m.after(sec, func() { p.d.firstEstimate = p.d.progress.Progress(p.m.now).EstimatedLeft })
	}
}

// reportLoad reports the load of a drained server to the drain every 250 ms.
func (p *drainPool) reportLoad(name string) {
	l := drain.Load{InFlight: p.pool.InFlight(name), MeanServiceTime: sec}
	for _, end := range p.d.endsByServer[name] {
		l.LatestDeadline = max(l.LatestDeadline, end+rankModels[2].deadline)
	}
	p.d.progress.Report(p.m.now, name, l)
	if p.m.now < drainAt+60*sec {
		p.m.after(250*ms, func() { p.reportLoad(name) })
	}
}

// applyDrain applies the revision with the drain at the owner.
func (p *drainPool) applyDrain() {
	params := p.m.params
	for _, s := range params.Servers {
		if _, ok := p.d.endsByServer[s.Name]; ok {
			params.Draining = append(params.Draining, s.Name)
		}
	}
	p.apply(p.pool.Configure(p.m.now, params, p.actions[:0]))
}

func (p *drainPool) started(req *request, server int, end time.Duration) {
	name := p.m.params.Servers[server].Name
	p.d.atMostOnce.Run(p.m.now, fmt.Sprint(req.callerRegion, "-", req.id), name)
	p.d.lateWork.Start(p.m.now, name)
	if req.origin != 0 {
		p.d.shifted++
		p.d.caps.Start(p.m.now, p.m.params.Region, 0)
	}
	if ends, ok := p.d.endsByServer[name]; ok {
		ends[req.key] = end
	}
}

func (p *drainPool) ended(req *request, server int) {
	name := p.m.params.Servers[server].Name
	if req.origin != 0 {
		p.d.caps.End(p.m.now, p.m.params.Region)
	}
	if ends, ok := p.d.endsByServer[name]; ok {
		delete(ends, req.key)
		p.d.lastEnd = p.m.now
	}
}

// redirect sends a request that its own region cannot run to the next region.
func (p *drainPool) redirect(req *request, o outcome.Outcome) bool {
	if req.origin != 0 || o.Reason != outcome.ReasonNoServer {
		return false
	}
	next := p.d.pools[(p.region+1)%regions]
	copied := *req
	copied.key, copied.origin = req.key+1<<40, 1
	p.m.after(regionDelay, func() { next.submit(&copied) })
	return true
}

// unfinished returns the number of requests in flight at drained servers at the end
// of the run, long after every service time: the drain would cut them off.
func (d *drainModel) unfinished() (n int) {
	for _, ends := range d.endsByServer {
		n += len(ends)
	}
	return n
}

// BenchmarkDrain measures a drain of a backend server, a failure domain or a region
// while callers send requests. The run fails only if the drain is not done after 200 s.
// Failures that it only shows: drain_by_bound above 1, or requests cut off (cut), run
// twice (doubled), started on drained servers (late_new_work) or above a cap
// (cap_excess).
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

// benchmarkDrain simulates the drain for each service and reports the sums. The times
// are those of the drain that took longest relative to its bound: 1.2 times the
// longest remaining time of a request, plus 3 s.
func benchmarkDrain(b *testing.B, dep *deployment, target config.Drain) {
	var seconds, longestLeft, worst, estimate float64
	var cut, doubled, lateWork, capExcess, shifted, sent, inTime int
	for s := range dep.services {
		svc := &dep.services[s]
		t := target
		t.Target = strings.Replace(t.Target, "%s", svc.name, 1)
		d := newDrainModel(dep, svc, t)
		d.pools[0].m.run(drainAt + 200*sec)
		p := d.progress.Progress(drainAt + 200*sec)
		if p.State != drain.Done {
			b.Fatalf("drain of %s is %s with %d in flight", t.Target, p.State, p.InFlight)
		}
		took := (d.lastEnd - drainAt).Seconds()
		if ratio := took / (1.2*d.longestLeft.Seconds() + 3); ratio > worst {
			worst, seconds, longestLeft, estimate = ratio, took, d.longestLeft.Seconds(), d.firstEstimate.Seconds()
		}
		cut, doubled, lateWork = cut+d.unfinished(), doubled+d.atMostOnce.Count(), lateWork+d.lateWork.Count()
		capExcess, shifted = capExcess+d.caps.Count(), shifted+d.shifted
		for _, pool := range d.pools {
			sent += pool.m.stats.rank[0].sent
			inTime += pool.m.stats.rank[0].inTime
		}
	}
	b.ReportMetric(seconds, "drain_seconds")
	b.ReportMetric(longestLeft, "longest_left_seconds")
	b.ReportMetric(worst, "drain_by_bound")
	b.ReportMetric(estimate, "estimate_at_1s_seconds")
	b.ReportMetric(float64(cut), "cut")
	b.ReportMetric(float64(doubled), "doubled")
	b.ReportMetric(float64(lateWork), "late_new_work")
	b.ReportMetric(float64(capExcess), "cap_excess")
	b.ReportMetric(float64(shifted), "shifted")
	b.ReportMetric(float64(inTime)/float64(sent), "urgent_in_time")
}
