package policybench

import (
	"container/heap"
	"time"
)

// clock runs events in virtual time.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// after runs do after d. Events of the same time run in the order of calls.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now+d, do) }

// at runs do at time t, or now if t has passed.
func (c *clock) at(t time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: max(t, c.now), seq: c.seq, do: do})
}

// run runs all events up to end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].seq < h[b].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
