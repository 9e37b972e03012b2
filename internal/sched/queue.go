package sched

import "time"

// none marks the end of an index list.
const none = int32(-1)

// entry is a queued request. Entries are linked by index into the slab.
type entry struct {
	req        Request
	seq        uint64
	arrived    time.Duration
	prev, next int32
	heapAt     int32 // position in the rank's deadline heap
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

// flow is one customer's work of one rank. Active flows form a ring.
type flow struct {
	subs       []subQueue
	queued     int
	quantum    float64 // share per round; 1 for the greatest weight
	deficit    float64
	prev, next int32
	active     bool
	// served counts grants since the last update; rate is grants per second
	// while the flow has had a queue, since activeSince.
	served      int
	rate        float64
	activeSince time.Duration
}

// rankQueue is the queue of one rank.
type rankQueue struct {
	Rank
	estimate
	flows        []flow
	current      int32 // flow whose turn it is, or none
	active       int
	activeWeight float64 // sum of the quanta of active flows
	queued       int
	byOrigin     []int
	held         int // grants in flight
	late         []int32
	credit       float64 // slot seconds owed to the floor
	surplus      float64 // slot seconds left to more urgent ranks beyond the reserve
	floorSlots   float64
	reserve      float64 // slots that this and less urgent ranks leave to more urgent work
	lastEmpty    time.Duration
	refused      uint64
	granted      uint64
}

func (p *Pool) push(now time.Duration, req Request) {
	p.seq++
	p.insert(entry{req: req, seq: p.seq, arrived: now})
}

func (p *Pool) insert(e entry) {
	r := &p.ranks[e.req.Rank]
	if e.req.Customer < 0 || e.req.Customer >= len(r.flows) {
		e.req.Customer = len(r.flows) - 1
	}
	f := &r.flows[e.req.Customer]
	s := f.sub(e.req.Origin)
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
	r.byOrigin[e.req.Origin]++
	p.origins[e.req.Origin].queued++
	p.queued[e.req.Key] = i
	if !f.active {
		f.served, f.rate, f.activeSince = 0, 0, e.arrived
		r.activate(int32(e.req.Customer))
	}
	r.heapPush(&p.entries, i)
}

// unqueue removes an entry from all queues and frees it.
func (p *Pool) unqueue(i int32) {
	e := &p.entries.items[i]
	r := &p.ranks[e.req.Rank]
	f := &r.flows[e.req.Customer]
	s := f.sub(e.req.Origin)
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
	r.heapRemove(&p.entries, e.heapAt)
	f.queued--
	r.queued--
	r.byOrigin[e.req.Origin]--
	p.origins[e.req.Origin].queued--
	delete(p.queued, e.req.Key)
	if f.queued == 0 {
		r.deactivate(int32(e.req.Customer))
	}
	p.entries.remove(i)
}

func (f *flow) sub(origin int) *subQueue {
	for i := range f.subs {
		if f.subs[i].origin == origin {
			return &f.subs[i]
		}
	}
	f.subs = append(f.subs, subQueue{origin: origin, head: none, tail: none})
	return &f.subs[len(f.subs)-1]
}

// activate puts a flow at the end of the current round.
func (r *rankQueue) activate(c int32) {
	f := &r.flows[c]
	f.active, f.deficit = true, 0
	r.active++
	r.activeWeight += f.quantum
	if r.current == none {
		f.prev, f.next = c, c
		f.deficit = f.quantum
		r.current = c
		return
	}
	after := &r.flows[r.current]
	f.prev, f.next = after.prev, r.current
	r.flows[after.prev].next = c
	after.prev = c
}

func (r *rankQueue) deactivate(c int32) {
	f := &r.flows[c]
	f.active = false
	r.active--
	r.activeWeight -= f.quantum
	if r.active == 0 {
		r.current, r.activeWeight = none, 0
		return
	}
	r.flows[f.prev].next = f.next
	r.flows[f.next].prev = f.prev
	if r.current == c {
		r.turn(f.next)
	}
}

// turn gives flow c its turn and its quantum. Flows that wait behind a closed
// gate keep at most one extra round of share.
func (r *rankQueue) turn(c int32) {
	r.current = c
	f := &r.flows[c]
	f.deficit = min(f.deficit+f.quantum, 1+f.quantum)
}

// pick returns the entry that deficit round robin serves next among those
// whose origin is open, or none. The caller charges it with charge.
func (p *Pool) pick(r *rankQueue) int32 {
	if r.current == none {
		return none
	}
	for pass := 0; pass < 2; pass++ {
		rounds := -1.0
		for n := 0; n <= r.active; n++ {
			f := &r.flows[r.current]
			if i := p.oldestOpen(f); i != none {
				if f.deficit >= 1 {
					return i
				}
				if need := (1 - f.deficit) / f.quantum; rounds < 0 || need < rounds {
					rounds = need
				}
			}
			r.turn(f.next)
		}
		if rounds < 0 {
			return none
		}
		p.skipRounds(r, rounds)
	}
	return p.firstOpen(r)
}

// skipRounds adds the share of as many rounds as the first flow needs, so
// that small weights cost no loop per round.
func (p *Pool) skipRounds(r *rankQueue, rounds float64) {
	c := r.current
	for n := 0; n < r.active; n++ {
		f := &r.flows[c]
		f.deficit = min(f.deficit+rounds*f.quantum, 1+f.quantum)
		c = f.next
	}
}

// firstOpen serves the current round's first open flow when rounding left
// every deficit just below one.
func (p *Pool) firstOpen(r *rankQueue) int32 {
	c := r.current
	for n := 0; n < r.active; n++ {
		if i := p.oldestOpen(&r.flows[c]); i != none {
			r.current = c
			return i
		}
		c = r.flows[c].next
	}
	return none
}

func (p *Pool) oldestOpen(f *flow) int32 {
	best := none
	for i := range f.subs {
		s := &f.subs[i]
		if s.head == none || p.origins[s.origin].closed {
			continue
		}
		if best == none || p.entries.items[s.head].seq < p.entries.items[best].seq {
			best = s.head
		}
	}
	return best
}

// heap of entries by deadline.

func (r *rankQueue) less(s *entrySlab, a, b int) bool {
	return s.items[r.late[a]].req.Deadline < s.items[r.late[b]].req.Deadline
}

func (r *rankQueue) swap(s *entrySlab, a, b int) {
	r.late[a], r.late[b] = r.late[b], r.late[a]
	s.items[r.late[a]].heapAt, s.items[r.late[b]].heapAt = int32(a), int32(b)
}

func (r *rankQueue) heapPush(s *entrySlab, i int32) {
	r.late = append(r.late, i)
	s.items[i].heapAt = int32(len(r.late) - 1)
	r.heapUp(s, len(r.late)-1)
}

func (r *rankQueue) heapUp(s *entrySlab, at int) {
	for at > 0 && r.less(s, at, (at-1)/2) {
		r.swap(s, at, (at-1)/2)
		at = (at - 1) / 2
	}
}

func (r *rankQueue) heapDown(s *entrySlab, at int) {
	for {
		child := 2*at + 1
		if child >= len(r.late) {
			return
		}
		if child+1 < len(r.late) && r.less(s, child+1, child) {
			child++
		}
		if !r.less(s, child, at) {
			return
		}
		r.swap(s, at, child)
		at = child
	}
}

func (r *rankQueue) heapRemove(s *entrySlab, at int32) {
	last := len(r.late) - 1
	r.swap(s, int(at), last)
	r.late = r.late[:last]
	if int(at) < last {
		r.heapDown(s, int(at))
		r.heapUp(s, int(at))
	}
}

// firstLate returns when the first queued request can no longer be served
// before its deadline.
func (r *rankQueue) firstLate(now time.Duration, s *entrySlab) (time.Duration, bool) {
	if len(r.late) == 0 {
		return 0, false
	}
	return s.items[r.late[0]].req.Deadline - r.least(now), true
}
