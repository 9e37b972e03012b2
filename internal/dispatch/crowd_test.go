package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/galenabeam/galenabeam/internal/fleet"
)

// The model of this file runs callers that are refused and come back, in virtual time
// against model servers.

// modelCaller is a caller with one request, which it sends again when it was refused.
type modelCaller struct {
	workspace, key string
	rank           int
	objective      time.Duration // 0 if it is counted from each attempt
	deadline       time.Duration
	at             time.Duration // of the next attempt
	returns        bool          // the attempt is at the time that a refusal gave
}

type callerHeap []*modelCaller

func (h callerHeap) Len() int           { return len(h) }
func (h callerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h callerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callerHeap) Push(x any)        { *h = append(*h, x.(*modelCaller)) }
func (h *callerHeap) Pop() any          { o := *h; x := o[len(o)-1]; *h = o[:len(o)-1]; return x }

// workspaceCount counts the attempts of a workspace.
type workspaceCount struct{ attempts, granted, callers, answered, inTime int }

// crowd sends the requests of several workspaces to model servers.
type crowd struct {
	pool        *Pool
	servers     map[string]*modelServer
	completions completionHeap
	callers     callerHeap
	rng         *rand.Rand
	serviceTime time.Duration
	noKeys      bool // requests have no object
	// constantRetryAfter replaces the Retry-After of refusals if it is not 0.
	constantRetryAfter time.Duration
	counts             map[string]*workspaceCount
	returnsPerBin      map[time.Duration]int // attempts of refused callers per returnBin
	returned           int                   // attempts at a scheduled time
	refusedAgain       int
	promised           map[int]int // returns that hold a promise, by rank
	promisedRefused    map[int]int
	longestWait        time.Duration // from the grant to the answer
}

// returnBin is the length of the intervals in which returning callers are counted.
const returnBin = 50 * ms

// callerTransit is the way of a message between the callers and the pool.
const callerTransit = 3 * ms

func newCrowd(servers int, scheduled bool) *crowd {
	c := &crowd{
		servers: map[string]*modelServer{}, rng: rand.New(rand.NewSource(1)), serviceTime: 200 * ms,
		counts: map[string]*workspaceCount{}, returnsPerBin: map[time.Duration]int{},
		promised: map[int]int{}, promisedRefused: map[int]int{},
	}
	c.pool = New(Options{Region: "r", Shared: true, Limits: DefaultLimits, Scheduled: scheduled})
	c.setServers(0, servers)
	return c
}

// setServers leaves the given number of servers, of 4 slots each.
func (c *crowd) setServers(now time.Duration, n int) {
	var list []*fleet.Backend
	for i := range n {
		b := backend(fmt.Sprint("b", i), "r")
		list = append(list, b)
		if c.servers[b.ID] == nil {
			c.servers[b.ID] = &modelServer{slotFreeAt: make([]time.Duration, b.Slots), objects: map[string]bool{}}
		}
	}
	c.pool.Update(now, list, nil, 5, 3*time.Second)
}

// add lets a caller send its first request at a time.
func (c *crowd) add(at time.Duration, workspace string, rank int, timeLeft time.Duration) {
	m := &modelCaller{workspace: workspace, key: fmt.Sprint(c.rng.Intn(64)), rank: rank, at: at, deadline: at + timeLeft}
	if c.noKeys {
		m.key = ""
	}
	heap.Push(&c.callers, m)
	c.count(workspace).callers++
}

// addLate adds a caller whose request missed its objective before it could be sent.
func (c *crowd) addLate(at time.Duration, workspace string, timeLeft time.Duration) {
	c.add(at, workspace, 0, timeLeft)
	c.callers[slices.IndexFunc(c.callers, func(m *modelCaller) bool { return m.at == at && m.workspace == workspace && m.objective == 0 })].objective = at - 1
}

// addRate adds callers at random times.
func (c *crowd) addRate(from, to time.Duration, workspace string, rank int, perSecond float64, timeLeft time.Duration) {
	for at := from; ; {
		at += time.Duration(c.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		c.add(at, workspace, rank, timeLeft)
	}
}

func (c *crowd) count(workspace string) *workspaceCount {
	if c.counts[workspace] == nil {
		c.counts[workspace] = &workspaceCount{}
	}
	return c.counts[workspace]
}

func (c *crowd) play(from, to time.Duration) {
	for now := from; now < to; now += ms {
		for len(c.completions) > 0 && c.completions[0].at <= now {
			e := heap.Pop(&c.completions).(modelCompletion)
			c.pool.Release(e.at, e.grant, e.report)
		}
		if now%(200*ms) == 0 {
			c.pool.Maintain(now)
		}
		for len(c.callers) > 0 && c.callers[0].at <= now {
			c.send(now, heap.Pop(&c.callers).(*modelCaller))
		}
	}
}

func (c *crowd) send(now time.Duration, m *modelCaller) {
	n := c.count(m.workspace)
	n.attempts++
	promised := m.returns && c.isPromised(now, m)
	objectiveAt := cmp.Or(m.objective, now+objective)
	d := c.pool.Acquire(now, Request{
		Workspace: m.workspace, Class: "c", Key: m.key, Rank: m.rank, FailureDomain: "r-a", Objective: objectiveAt, Deadline: m.deadline,
	})
	if m.returns {
		c.returned++
		c.returnsPerBin[now/returnBin]++
	}
	if promised {
		c.promised[m.rank]++
		if d.Refused != "" {
			c.promisedRefused[m.rank]++
		}
	}
	if d.Refused == "" {
		n.granted++
		end := c.servers[d.Server].serve(now, m.key, c.serviceTime, c.serviceTime)
		if end <= m.deadline {
			n.answered++
		}
		if end <= objectiveAt {
			n.inTime++
		}
		c.longestWait = max(c.longestWait, end-now)
		heap.Push(&c.completions, modelCompletion{end, d.Grant, Report{Result: Served, Elapsed: end - now}})
		return
	}
	if m.returns {
		c.refusedAgain++
	}
	wait := d.RetryAfter
	if c.constantRetryAfter > 0 {
		wait = c.constantRetryAfter
	}
	heard := now + callerTransit
	if wait <= (m.deadline-heard)/3 {
		m.at, m.returns = heard+wait+callerTransit, true
		heap.Push(&c.callers, m)
	}
}

// isPromised reports whether the attempt will claim a promise.
func (c *crowd) isPromised(now time.Duration, m *modelCaller) bool {
	if c.pool.scarcity == nil {
		return false
	}
	list := c.pool.scarcity.returns.promises[returnKey(Request{Workspace: m.workspace, Class: "c", Key: m.key})]
	return slices.ContainsFunc(list, func(p promise) bool { return p.at <= now && now <= p.at+returnWindow })
}

func (c *crowd) largestReturn() int {
	largest := 0
	for _, n := range c.returnsPerBin {
		largest = max(largest, n)
	}
	return largest
}

func (c *crowd) totals() workspaceCount {
	var sum workspaceCount
	for _, n := range c.counts {
		sum.attempts, sum.granted = sum.attempts+n.attempts, sum.granted+n.granted
		sum.callers, sum.answered = sum.callers+n.callers, sum.answered+n.answered
	}
	return sum
}
