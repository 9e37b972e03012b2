package ledger

import (
	"container/heap"
	"math/rand"
	"testing"
	"time"

	"github.com/galenabeam/galenabeam/internal/host"
	"github.com/galenabeam/galenabeam/internal/outcome"
)

const (
	stormHosts    = 24
	stormRequests = 60_000
	stormLength   = 5 * time.Minute
	stormCapacity = 700 // small enough that ledgers fill up at times
)

// stormEvent runs at a virtual time; seq keeps the order of equal times.
type stormEvent struct {
	at  time.Duration
	seq int
	run func(now time.Duration)
}

type stormQueue []stormEvent

func (q stormQueue) Len() int { return len(q) }
func (q stormQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q stormQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *stormQueue) Push(x any)   { *q = append(*q, x.(stormEvent)) }
func (q *stormQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type stormHost struct {
	incarnation host.Incarnation
	started     time.Duration
	book        book
}

// storm models entry hosts that crash, callers that repeat an identity through
// any host, and answers that are lost or overtaken.
type storm struct {
	rng      *rand.Rand
	queue    stormQueue
	seq      int
	hosts    [stormHosts]stormHost
	next     host.Incarnation
	wrap     func(*Ledger) book
	promise  *promise
	answered map[ID]outcome.Kind
}

func newStorm(seed int64, wrap func(*Ledger) book) *storm {
	s := &storm{rng: rand.New(rand.NewSource(seed)), wrap: wrap, promise: newPromise(), answered: map[ID]outcome.Kind{}}
	for i := range s.hosts {
		s.restart(0, i)
	}
	for at := time.Second; at < stormLength; at += 2 * time.Second {
		s.after(0, at, func(now time.Duration) { s.restart(now, s.rng.Intn(stormHosts)) })
	}
	for range stormRequests {
		s.after(0, time.Duration(s.rng.Int63n(int64(stormLength))), s.request)
	}
	return s
}

func (s *storm) after(now, d time.Duration, run func(time.Duration)) {
	s.seq++
	heap.Push(&s.queue, stormEvent{at: now + d, seq: s.seq, run: run})
}

func (s *storm) restart(now time.Duration, i int) {
	s.next++
	s.hosts[i] = stormHost{incarnation: s.next, started: now, book: s.wrap(New(s.next, stormCapacity, testWindow))}
}

func (s *storm) chance(p float64) bool { return s.rng.Float64() < p }

func (s *storm) millis(n int64) time.Duration {
	return time.Duration(s.rng.Int63n(n)+1) * time.Millisecond
}

// request is one caller: it sends the identity to the bound host and repeats
// it through random hosts until it has an answer.
func (s *storm) request(now time.Duration) {
	i := s.rng.Intn(stormHosts)
	h := &s.hosts[i]
	id, _ := NewID(h.incarnation, h.book.Window(now-h.started), s.rng)
	delay := s.millis(20)
	if s.chance(0.02) {
		delay = s.millis(150_000) // stuck in the network, overtaken by repeats
	}
	s.answered[id] = ""
	s.after(now, delay, func(now time.Duration) { s.deliver(now, i, id) })
	pause := 2 * time.Second
	if s.chance(0.2) {
		pause = s.millis(100) // callers that do not wait
	}
	for n := 1; n <= 4; n++ {
		s.after(now, time.Duration(n)*pause, func(now time.Duration) {
			if s.answered[id] == "" {
				s.deliver(now, s.rng.Intn(stormHosts), id)
			}
		})
	}
}

// deliver hands the request to an entry host, which runs it only if the
// identity is bound to it.
func (s *storm) deliver(now time.Duration, i int, id ID) {
	h := s.hosts[i]
	switch v := h.book.Begin(now-h.started, id, false); v.Kind {
	case Run:
		s.after(now, s.millis(200), func(now time.Duration) { s.granted(now, i, h, id) })
	case Repeat:
		s.answer(id, v.Record.Outcome)
	case Full:
		s.answer(id, outcome.Refuse(outcome.ReasonLedgerFull, 0))
	case Foreign:
		s.resolve(now, id)
	case Expired:
		s.answer(id, outcome.Uncertain(outcome.ReasonExpiredID))
	}
}

func (s *storm) resolve(now time.Duration, id ID) {
	for _, h := range s.hosts {
		if h.incarnation == id.Incarnation && s.chance(0.9) {
			s.answer(id, h.book.Resolve(now-h.started, id).Outcome)
			return
		}
	}
	s.answer(id, outcome.Uncertain(outcome.ReasonHostLost))
}

// granted is the moment when the pool owner grants or refuses a slot.
func (s *storm) granted(now time.Duration, i int, h stormHost, id ID) {
	finish := func(now time.Duration, o outcome.Outcome) {
		if s.hosts[i].incarnation == h.incarnation {
			s.answer(id, h.book.Finish(now-h.started, id, o))
		}
	}
	if s.hosts[i].incarnation != h.incarnation {
		return
	}
	if s.chance(0.1) {
		finish(now, outcome.Refuse(outcome.ReasonLate, 0))
		return
	}
	started := false
	for range 2 {
		if !h.book.Sent(id) {
			return
		}
		if started = !s.chance(0.1); started {
			break
		}
		h.book.Refused(id)
	}
	if !started {
		finish(now, outcome.Refuse(outcome.ReasonShed, 0))
		return
	}
	s.promise.runs[id]++
	result := outcome.Success()
	if s.chance(0.02) {
		result = outcome.Refuse(outcome.ReasonConnect, 0) // a confused edge: the ledger must not vouch for it
	}
	s.after(now, s.millis(500), func(now time.Duration) { finish(now, result) })
}

// answer sends an outcome to the caller; one in ten is lost on the way.
func (s *storm) answer(id ID, o outcome.Outcome) {
	if o.Kind == "" {
		return // still running
	}
	s.promise.answer(id, o)
	if s.chance(0.9) && (s.answered[id] == "" || s.answered[id] == outcome.Unknown) {
		s.answered[id] = o.Kind
	}
}

func (s *storm) run() (double, falseNotRun int, unknownShare float64) {
	for s.queue.Len() > 0 {
		event := heap.Pop(&s.queue).(stormEvent)
		event.run(event.at)
	}
	double, falseNotRun = s.promise.broken(func(ID) bool { return false })
	unknown := 0
	for _, kind := range s.answered {
		if kind == outcome.Unknown || kind == "" {
			unknown++
		}
	}
	return double, falseNotRun, float64(unknown) / float64(len(s.answered))
}

// BenchmarkRepeatStorm has 24 entry hosts of which one crashes every 2 s, and
// callers of non-idempotent work that repeat identities through other hosts.
func BenchmarkRepeatStorm(b *testing.B) {
	for i := range b.N {
		double, falseNotRun, unknown := newStorm(int64(i+1), func(l *Ledger) book { return l }).run()
		b.ReportMetric(float64(double), "double_runs")
		b.ReportMetric(float64(falseNotRun), "false_not_run")
		b.ReportMetric(unknown, "unknown_share")
		b.ReportMetric(0, "ns/op")
		if double+falseNotRun > 0 {
			b.Fatalf("double runs %d, false not-run %d; both must be 0", double, falseNotRun)
		}
	}
}

// Guards against a storm that is too calm to find faults: it must show the
// faults of a ledger that forgets or trusts too much.
func TestStormFindsBrokenRules(t *testing.T) {
	for desc, wrap := range map[string]func(*Ledger) book{
		"forgets what it refused when full": func(l *Ledger) book { return forgetsFull{l} },
		"trusts not-run after sending":      func(l *Ledger) book { return trustsEdge{l} },
		"forgets ended requests":            func(l *Ledger) book { return forgetsEnded{l} },
		"calls unseen identities not-run":   func(l *Ledger) book { return guessesNotRun{l} },
	} {
		if double, falseNotRun, _ := newStorm(1, wrap).run(); double+falseNotRun == 0 {
			t.Errorf("%s: no fault found", desc)
		}
	}
}
