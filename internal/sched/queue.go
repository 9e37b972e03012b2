package sched

import "time"

// none marks the end of an index list.
const none = int32(-1)

// entry is a queued request. Entries are linked by index into the slab.
type entry struct {
	req        Request
	seq        uint64
	arrivedAt  time.Duration
	prev, next int32
	heapIndex  int32 // position in the rank's deadline heap
}

// entrySlab stores entries without allocation once it has grown.
type entrySlab struct {
	items []entry
	free  []int32
}

func (s *entrySlab) add(e entry) int32 {
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		s.items[i] = e
		return i
	}
	s.items = append(s.items, e)
	return int32(len(s.items) - 1)
}

func (s *entrySlab) remove(i int32) { s.free = append(s.free, i) }

// subQueue is the queue of one customer's requests of one rank and origin.
type subQueue struct {
	origin     int
	head, tail int32
}

// flow is one customer's queued requests of one rank. Flows with queued requests
// are active and form a ring.
type flow struct {
	subQueues  []subQueue
	queued     int
	quantum    float64 // requests per round; 1 for the greatest weight
	deficit    float64
	prev, next int32
	active     bool
	// grantsSinceUpdate counts grants since the last update. grantRate is in
	// grants per second while the flow has had a queue, since activeSince.
	grantsSinceUpdate int
	grantRate         float64
	activeSince       time.Duration
}

// rankQueue is the state of one rank: its queue, estimates and slots.
type rankQueue struct {
	Rank
	rankEstimate
	flows          []flow
	currentFlow    int32   // index of the flow whose turn it is, or none
	active         int     // number of active flows
	activeWeight   float64 // sum of the quanta of active flows
	queued         int
	queuedByOrigin []int
	heldSlots      int           // open grants, adopted ones included
	deadlineHeap   []int32       // entry indexes, earliest deadline first
	floorCredit    float64       // slot seconds below the floor, bounded; negative above it
	reserveSurplus float64       // slot seconds left to more urgent ranks beyond the urgent reserve, bounded
	floorSlots     float64       // Floor as a number of slots
	urgentReserve  float64       // slots that stay free or with more urgent ranks when this rank takes one
	lastEmpty      time.Duration // when the queue was last empty
	refused        uint64
	granted        uint64
}

func (p *Pool) push(now time.Duration, req Request) {
	p.seq++
	p.insert(entry{req: req, seq: p.seq, arrivedAt: now})
}

func (p *Pool) insert(e entry) {
	r := &p.ranks[e.req.Rank]
	if e.req.Customer < 0 || e.req.Customer >= len(r.flows) {
		e.req.Customer = len(r.flows) - 1
	}
	f := &r.flows[e.req.Customer]
	s := f.subQueueFor(e.req.Origin)
	e.prev, e.next = s.tail, none
	i := p.entries.add(e)
	if s.tail == none {
		s.head = i
	} else {
		p.entries.items[s.tail].next = i
	}
	s.tail = i
	f.queued++
	r.queued++
	r.queuedByOrigin[e.req.Origin]++
	p.origins[e.req.Origin].queued++
	p.queued[e.req.Key] = i
	if !f.active {
		f.grantsSinceUpdate, f.grantRate, f.activeSince = 0, 0, e.arrivedAt
		r.activate(int32(e.req.Customer))
	}
	r.heapPush(&p.entries, i)
}

// unqueue removes an entry from all queues and frees it.
func (p *Pool) unqueue(i int32) {
	e := &p.entries.items[i]
	r := &p.ranks[e.req.Rank]
	f := &r.flows[e.req.Customer]
	s := f.subQueueFor(e.req.Origin)
	if e.prev == none {
		s.head = e.next
	} else {
		p.entries.items[e.prev].next = e.next
	}
	if e.next == none {
		s.tail = e.prev
	} else {
		p.entries.items[e.next].prev = e.prev
	}
	r.heapRemove(&p.entries, e.heapIndex)
	f.queued--
	r.queued--
	r.queuedByOrigin[e.req.Origin]--
	p.origins[e.req.Origin].queued--
	delete(p.queued, e.req.Key)
	if f.queued == 0 {
		r.deactivate(int32(e.req.Customer))
	}
	p.entries.remove(i)
}

// subQueueFor returns the queue of the origin and adds it if it is missing.
func (f *flow) subQueueFor(origin int) *subQueue {
	for i := range f.subQueues {
		if f.subQueues[i].origin == origin {
			return &f.subQueues[i]
		}
	}
	f.subQueues = append(f.subQueues, subQueue{origin: origin, head: none, tail: none})
	return &f.subQueues[len(f.subQueues)-1]
}

// activate puts a flow at the end of the current round.
func (r *rankQueue) activate(c int32) {
	f := &r.flows[c]
	f.active, f.deficit = true, 0
	r.active++
	r.activeWeight += f.quantum
	if r.currentFlow == none {
		f.prev, f.next = c, c
		f.deficit = f.quantum
		r.currentFlow = c
		return
	}
	current := &r.flows[r.currentFlow]
	f.prev, f.next = current.prev, r.currentFlow
	r.flows[current.prev].next = c
	current.prev = c
}

func (r *rankQueue) deactivate(c int32) {
	f := &r.flows[c]
	f.active = false
	r.active--
	r.activeWeight -= f.quantum
	if r.active == 0 {
		r.currentFlow, r.activeWeight = none, 0
		return
	}
	r.flows[f.prev].next = f.next
	r.flows[f.next].prev = f.prev
	if r.currentFlow == c {
		r.startTurn(f.next)
	}
}

// startTurn makes c the current flow and adds its quantum to its deficit, which is
// bounded, since that of a flow whose origins are closed would grow at each turn.
func (r *rankQueue) startTurn(c int32) {
	r.currentFlow = c
	f := &r.flows[c]
	f.deficit = min(f.deficit+f.quantum, 1+f.quantum)
}

// nextEntry returns the entry that deficit round robin over the customers serves
// next among those whose origin is open, or none. The caller charges a grant to the
// flow's deficit.
func (p *Pool) nextEntry(r *rankQueue) int32 {
	if r.currentFlow == none {
		return none
	}
	for pass := 0; pass < 2; pass++ {
		rounds := -1.0
		for n := 0; n <= r.active; n++ {
			f := &r.flows[r.currentFlow]
			if i := p.oldestOpen(f); i != none {
				if f.deficit >= 1 {
					return i
				}
				if need := (1 - f.deficit) / f.quantum; rounds < 0 || need < rounds {
					rounds = need
				}
			}
			r.startTurn(f.next)
		}
		if rounds < 0 {
			return none
		}
		p.skipRounds(r, rounds)
	}
	return p.firstOpen(r)
}

// skipRounds adds the quanta of several rounds at once, so that small weights do
// not cost one loop per round.
func (p *Pool) skipRounds(r *rankQueue, rounds float64) {
	c := r.currentFlow
	for n := 0; n < r.active; n++ {
		f := &r.flows[c]
		f.deficit = min(f.deficit+rounds*f.quantum, 1+f.quantum)
		c = f.next
	}
}

// firstOpen returns the first open entry of the current round. It is needed
// when rounding left every deficit just below one.
func (p *Pool) firstOpen(r *rankQueue) int32 {
	c := r.currentFlow
	for n := 0; n < r.active; n++ {
		if i := p.oldestOpen(&r.flows[c]); i != none {
			r.currentFlow = c
			return i
		}
		c = r.flows[c].next
	}
	return none
}

// oldestOpen returns the flow's first entry whose origin is open, or none.
func (p *Pool) oldestOpen(f *flow) int32 {
	best := none
	for i := range f.subQueues {
		s := &f.subQueues[i]
		if s.head == none || p.origins[s.origin].closed {
			continue
		}
		if best == none || p.entries.items[s.head].seq < p.entries.items[best].seq {
			best = s.head
		}
	}
	return best
}

// The functions below maintain deadlineHeap, a binary heap by deadline.

func (r *rankQueue) heapLess(s *entrySlab, a, b int) bool {
	return s.items[r.deadlineHeap[a]].req.Deadline < s.items[r.deadlineHeap[b]].req.Deadline
}

func (r *rankQueue) heapSwap(s *entrySlab, a, b int) {
	r.deadlineHeap[a], r.deadlineHeap[b] = r.deadlineHeap[b], r.deadlineHeap[a]
	s.items[r.deadlineHeap[a]].heapIndex, s.items[r.deadlineHeap[b]].heapIndex = int32(a), int32(b)
}

func (r *rankQueue) heapPush(s *entrySlab, i int32) {
	r.deadlineHeap = append(r.deadlineHeap, i)
	s.items[i].heapIndex = int32(len(r.deadlineHeap) - 1)
	r.heapUp(s, len(r.deadlineHeap)-1)
}

func (r *rankQueue) heapUp(s *entrySlab, index int) {
	for index > 0 && r.heapLess(s, index, (index-1)/2) {
		r.heapSwap(s, index, (index-1)/2)
		index = (index - 1) / 2
	}
}

func (r *rankQueue) heapDown(s *entrySlab, index int) {
	for {
		child := 2*index + 1
		if child >= len(r.deadlineHeap) {
			return
		}
		if child+1 < len(r.deadlineHeap) && r.heapLess(s, child+1, child) {
			child++
		}
		if !r.heapLess(s, child, index) {
			return
		}
		r.heapSwap(s, index, child)
		index = child
	}
}

func (r *rankQueue) heapRemove(s *entrySlab, index int32) {
	last := len(r.deadlineHeap) - 1
	r.heapSwap(s, int(index), last)
	r.deadlineHeap = r.deadlineHeap[:last]
	if int(index) < last {
		r.heapDown(s, int(index))
		r.heapUp(s, int(index))
	}
}

// nextExpiry returns when the entry with the earliest deadline can no longer be
// served in time, or false for an empty queue.
func (r *rankQueue) nextExpiry(now time.Duration, s *entrySlab) (time.Duration, bool) {
	if len(r.deadlineHeap) == 0 {
		return 0, false
	}
	return s.items[r.deadlineHeap[0]].req.Deadline - r.minServiceTime(now), true
}
