package policybench

import (
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/invariant"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/sched"
)

// policy decides when and where a job runs.
type policy interface {
	// submit takes a job that has reached its entry host.
	submit(j *job)
}

// poolModel is one pool with its entry hosts, callers and network delays.
type poolModel struct {
	*clock
	dep     *deployment
	region  int
	params  sched.Params
	rng     *rand.Rand
	keys    uint64
	slots   int
	policy  policy
	load    *invariant.RegionNotOverloaded
	tally   tally
	idle    [][]int // idle connections by entry host and server
	running []int   // requests at each server
	hooks   hooks
}

// hooks let a scenario follow requests. Each may be nil.
type hooks struct {
	started func(j *job, server int, end time.Duration)
	ended   func(j *job, server int)
	// moved takes a request that the owner refused and reports whether it did.
	moved func(j *job, o outcome.Outcome) bool
}

func newPoolModel(dep *deployment, svc *service, region int, seed int64) *poolModel {
	m := &poolModel{clock: &clock{}, dep: dep, region: region, params: svc.params(region), rng: rand.New(rand.NewSource(seed)),
		load: invariant.NewRegionNotOverloaded()}
	for _, s := range m.params.Servers {
		m.slots += s.Slots
		m.load.SetSlots(m.params.Region, s.Name, s.Slots)
	}
	m.idle = make([][]int, hostsPerRegion)
	for i := range m.idle {
		m.idle[i] = make([]int, len(m.params.Servers))
	}
	m.running = make([]int, len(m.params.Servers))
	return m
}

// feed starts an ordinary or flooding stream of arrivals.
func (m *poolModel) feed(a arrivals) {
	rng := rand.New(rand.NewSource(m.rng.Int63()))
	a.start(m.clock, rng, &m.keys, func(j *job) {
		j.home = m.region
		m.tally.offered(j)
		m.after(m.dep.clientDelay, func() { m.policy.submit(j) })
	})
}

// hop returns the one-way delay between two hosts by index.
func (m *poolModel) hop(a, b int) time.Duration {
	if a%domains == b%domains {
		return domainLocal
	}
	return m.dep.domainDelay
}

// connect returns the cost of a connection from an entry host to a server.
func (m *poolModel) connect(edge, server int) time.Duration {
	if m.idle[edge][server] > 0 {
		m.idle[edge][server]--
		return 0
	}
	return openCost
}

// answered hands a whole answer from the entry host to the caller.
func (m *poolModel) answered(j *job) {
	m.after(m.dep.clientDelay, func() { m.tally.done(j, m.now) })
}

func (m *poolModel) refused(j *job) {
	m.after(m.dep.clientDelay, func() { m.tally.refuse(j, m.now) })
}

// pooled is the policy under test: a pool owner on entry host 0.
type pooled struct {
	m    *poolModel
	pool *sched.Pool
	jobs map[uint64]*job
	acts []sched.Action
	wake time.Duration
}

func newPooled(m *poolModel) *pooled {
	p := &pooled{m: m, pool: sched.NewPool(0, m.params, rand.New(rand.NewSource(m.rng.Int63()))), jobs: map[uint64]*job{}}
	m.policy = p
	return p
}

func (p *pooled) submit(j *job) {
	p.m.after(p.hop(j), func() {
		p.jobs[j.key] = j
		p.act(p.pool.Enqueue(p.m.now, sched.Request{
			Key: j.key, Rank: j.rank, Customer: j.customer, Origin: j.origin,
			Deadline: j.sent + works[j.rank].deadline - p.m.dep.clientDelay,
		}, p.acts[:0]))
	})
}

// hop is the one-way delay between the job's entry host and the owner.
func (p *pooled) hop(j *job) time.Duration {
	if j.edge == 0 {
		return 0
	}
	return p.m.hop(j.edge, 0)
}

func (p *pooled) act(acts []sched.Action) {
	p.acts = acts
	for _, a := range acts {
		j := p.jobs[a.Key]
		delete(p.jobs, a.Key)
		if a.Kind == sched.Refuse {
			p.refused(j, a.Outcome)
			continue
		}
		p.granted(j, a)
	}
	if wake := p.pool.NextWake(p.m.now); p.wake <= p.m.now || wake < p.wake {
		p.wake = wake
		p.m.at(wake, func() {
			if p.wake == p.m.now {
				p.act(p.pool.Tick(p.m.now, p.acts[:0]))
			}
		})
	}
}

func (p *pooled) refused(j *job, o outcome.Outcome) {
	p.m.after(p.hop(j), func() {
		if p.m.hooks.moved == nil || !p.m.hooks.moved(j, o) {
			p.m.refused(j)
		}
	})
}

// granted runs the job: owner to entry host, to the server and back, and the
// release to the owner.
func (p *pooled) granted(j *job, a sched.Action) {
	m := p.m
	held := m.now
	name := p.pool.ServerName(a.Server)
	m.load.Start(m.now, name)
	m.running[a.Server]++
	send := p.hop(j) + m.connect(j.edge, a.Server)
	toServer := m.hop(j.edge, a.Server)
	if m.hooks.started != nil {
		m.hooks.started(j, a.Server, m.now+send+toServer+j.service)
	}
	m.after(send+toServer+j.service+toServer, func() {
		m.idle[j.edge][a.Server]++
		m.answered(j)
		m.after(p.hop(j), func() {
			m.load.End(m.now, name)
			m.running[a.Server]--
			if m.hooks.ended != nil {
				m.hooks.ended(j, a.Server)
			}
			m.tally.hold(j, held, m.now)
			res := sched.Result{Status: sched.OK, ServiceTime: j.service + 2*toServer}
			p.act(p.pool.Release(m.now, a.Grant, res, p.acts[:0]))
		})
	})
}

// naive sends each job to the next server in turn. Servers queue first in,
// first out, without bounds, and drop a job whose deadline has passed.
type naive struct {
	m      *poolModel
	next   int
	queues [][]*job
}

func newNaive(m *poolModel) *naive {
	n := &naive{m: m, queues: make([][]*job, len(m.params.Servers))}
	m.policy = n
	return n
}

func (n *naive) submit(j *job) {
	s := n.next % len(n.queues)
	n.next++
	n.m.after(n.m.connect(j.edge, s)+n.m.hop(j.edge, s), func() {
		n.queues[s] = append(n.queues[s], j)
		n.start(s)
	})
}

func (n *naive) start(s int) {
	m := n.m
	for m.running[s] < m.params.Servers[s].Slots && len(n.queues[s]) > 0 {
		j := n.queues[s][0]
		n.queues[s] = n.queues[s][1:]
		if m.now > j.sent+works[j.rank].deadline {
			continue
		}
		m.running[s]++
		began := m.now
		m.after(j.service, func() {
			m.running[s]--
			m.tally.hold(j, began, m.now)
			m.after(m.hop(j.edge, s), func() {
				m.idle[j.edge][s]++
				m.answered(j)
			})
			n.start(s)
		})
	}
}
