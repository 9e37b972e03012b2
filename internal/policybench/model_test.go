package policybench

import (
	"math/rand"
	"time"

	"github.com/galenabeam/galenabeam/internal/invariant"
	"github.com/galenabeam/galenabeam/internal/outcome"
	"github.com/galenabeam/galenabeam/internal/sched"
)

// policy decides when and where a request runs.
type policy interface {
	// submit takes a request that has reached its entry host.
	submit(req *request)
}

// poolModel simulates one pool with its entry hosts, callers and network delays.
type poolModel struct {
	*clock
	dep     *deployment
	region  int
	params  sched.Params
	rng     *rand.Rand
	lastKey uint64
	slots   int // of all servers
	policy  policy
	load    *invariant.RegionNotOverloaded // detects grants beyond the slots of a server
	stats   stats
	idle    [][]int // idle connections by entry host and server
	running []int   // requests at each server
	hooks   hooks
}

// hooks let a scenario observe and redirect requests. Each may be nil.
type hooks struct {
	// started is called at a grant. The server will finish the request at end.
	started func(req *request, server int, end time.Duration)
	// ended is called when the owner receives the release.
	ended func(req *request, server int)
	// redirect may take over a request that the owner refused. It reports whether
	// it did.
	redirect func(req *request, o outcome.Outcome) bool
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

// addArrivals starts a stream of arrivals, ordinary or of a flood.
func (m *poolModel) addArrivals(a arrivals) {
	rng := rand.New(rand.NewSource(m.rng.Int63()))
	a.start(m.clock, rng, &m.lastKey, func(req *request) {
		req.callerRegion = m.region
		m.stats.recordSent(req)
		m.after(m.dep.clientDelay, func() { m.policy.submit(req) })
	})
}

// oneWayDelay returns the delay between two hosts by index.
func (m *poolModel) oneWayDelay(a, b int) time.Duration {
	if a%failureDomains == b%failureDomains {
		return localDelay
	}
	return m.dep.domainDelay
}

// takeConnection takes an idle connection from an entry host to a server or opens
// one. It returns the time that this takes.
func (m *poolModel) takeConnection(host, server int) time.Duration {
	if m.idle[host][server] > 0 {
		m.idle[host][server]--
		return 0
	}
	return connectTime
}

// deliverAnswer sends a complete answer from the entry host to the caller.
func (m *poolModel) deliverAnswer(req *request) {
	m.after(m.dep.clientDelay, func() { m.stats.answered(req, m.now) })
}

// deliverRefusal sends a refusal from the entry host to the caller.
func (m *poolModel) deliverRefusal(req *request) {
	m.after(m.dep.clientDelay, func() { m.stats.recordRefused(req, m.now) })
}

// poolPolicy is the policy under test: the owner of the pool, on entry host 0,
// grants slots with package sched.
type poolPolicy struct {
	m        *poolModel
	pool     *sched.Pool
	requests map[uint64]*request
	actions  []sched.Action
	wakeAt   time.Duration
}

func newPoolPolicy(m *poolModel) *poolPolicy {
	p := &poolPolicy{m: m, pool: sched.NewPool(0, m.params, rand.New(rand.NewSource(m.rng.Int63()))), requests: map[uint64]*request{}}
	m.policy = p
	return p
}

func (p *poolPolicy) submit(req *request) {
	p.m.after(p.oneWayDelay(req), func() {
		p.requests[req.key] = req
		p.apply(p.pool.Enqueue(p.m.now, sched.Request{
			Key: req.key, Rank: req.rank, Customer: req.customer, Origin: req.origin,
			Deadline: req.sent + rankModels[req.rank].deadline - p.m.dep.clientDelay,
		}, p.actions[:0]))
	})
}

// oneWayDelay returns the delay between the request's entry host and the owner.
func (p *poolPolicy) oneWayDelay(req *request) time.Duration {
	if req.host == 0 {
		return 0
	}
	return p.m.oneWayDelay(req.host, 0)
}

// apply carries out the actions of the pool and schedules its next tick.
func (p *poolPolicy) apply(actions []sched.Action) {
	p.actions = actions
	for _, a := range actions {
		req := p.requests[a.Key]
		delete(p.requests, a.Key)
		if a.Kind == sched.Refuse {
			p.deliverRefusal(req, a.Outcome)
			continue
		}
		p.execute(req, a)
	}
	if wakeAt := p.pool.NextWake(p.m.now); p.wakeAt <= p.m.now || wakeAt < p.wakeAt {
		p.wakeAt = wakeAt
		p.m.at(wakeAt, func() {
			if p.wakeAt == p.m.now {
				p.apply(p.pool.Tick(p.m.now, p.actions[:0]))
			}
		})
	}
}

func (p *poolPolicy) deliverRefusal(req *request, o outcome.Outcome) {
	p.m.after(p.oneWayDelay(req), func() {
		if p.m.hooks.redirect == nil || !p.m.hooks.redirect(req, o) {
			p.m.deliverRefusal(req)
		}
	})
}

// execute runs a granted request. Messages go from the owner to the entry host,
// to the server and back to the entry host, and the release to the owner.
func (p *poolPolicy) execute(req *request, a sched.Action) {
	m := p.m
	grantedAt := m.now
	name := p.pool.ServerName(a.Server)
	m.load.Start(m.now, name)
	m.running[a.Server]++
	send := p.oneWayDelay(req) + m.takeConnection(req.host, a.Server)
	toServer := m.oneWayDelay(req.host, a.Server)
	if m.hooks.started != nil {
		m.hooks.started(req, a.Server, m.now+send+toServer+req.serviceTime)
	}
	m.after(send+toServer+req.serviceTime+toServer, func() {
		m.idle[req.host][a.Server]++
		m.deliverAnswer(req)
		m.after(p.oneWayDelay(req), func() {
			m.load.End(m.now, name)
			m.running[a.Server]--
			if m.hooks.ended != nil {
				m.hooks.ended(req, a.Server)
			}
			m.stats.recordSlotUse(req, grantedAt, m.now)
			res := sched.Result{Status: sched.OK, ServiceTime: req.serviceTime + 2*toServer}
			p.apply(p.pool.Release(m.now, a.Grant, res, p.actions[:0]))
		})
	})
}

// naivePolicy sends each request to the next server in turn. Servers have
// unbounded queues, first in, first out, and drop a request whose deadline has
// passed.
type naivePolicy struct {
	m      *poolModel
	next   int
	queues [][]*request
}

func newNaivePolicy(m *poolModel) *naivePolicy {
	n := &naivePolicy{m: m, queues: make([][]*request, len(m.params.Servers))}
	m.policy = n
	return n
}

func (n *naivePolicy) submit(req *request) {
	s := n.next % len(n.queues)
	n.next++
	n.m.after(n.m.takeConnection(req.host, s)+n.m.oneWayDelay(req.host, s), func() {
		n.queues[s] = append(n.queues[s], req)
		n.start(s)
	})
}

func (n *naivePolicy) start(s int) {
	m := n.m
	for m.running[s] < m.params.Servers[s].Slots && len(n.queues[s]) > 0 {
		req := n.queues[s][0]
		n.queues[s] = n.queues[s][1:]
		if m.now > req.sent+rankModels[req.rank].deadline {
			continue
		}
		m.running[s]++
		startedAt := m.now
		m.after(req.serviceTime, func() {
			m.running[s]--
			m.stats.recordSlotUse(req, startedAt, m.now)
			m.after(m.oneWayDelay(req.host, s), func() {
				m.idle[req.host][s]++
				m.deliverAnswer(req)
			})
			n.start(s)
		})
	}
}
