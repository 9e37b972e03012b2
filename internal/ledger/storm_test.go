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
	stormDuration = 5 * time.Minute
	stormCapacity = 700 // records; small enough that ledgers are full at times
)

// stormEvent runs at a virtual time. Events of the same time run in the order of
// seq.
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
	ledger      requestLedger
}

// repeatStorm simulates entry hosts that crash, callers that repeat an identity
// through other hosts, and requests and answers that are lost or delayed.
type repeatStorm struct {
	rng             *rand.Rand
	queue           stormQueue
	seq             int
	hosts           [stormHosts]stormHost
	lastIncarnation host.Incarnation
	wrap            func(*Ledger) requestLedger
	history         *history
	answered        map[ID]outcome.Kind // answer that the caller got; empty if none
}

func newStorm(seed int64, wrap func(*Ledger) requestLedger) *repeatStorm {
	s := &repeatStorm{rng: rand.New(rand.NewSource(seed)), wrap: wrap, history: newHistory(), answered: map[ID]outcome.Kind{}}
	for i := range s.hosts {
		s.restart(0, i)
	}
	for at := time.Second; at < stormDuration; at += 2 * time.Second {
		s.after(0, at, func(now time.Duration) { s.restart(now, s.rng.Intn(stormHosts)) })
	}
	for range stormRequests {
		s.after(0, time.Duration(s.rng.Int63n(int64(stormDuration))), s.request)
	}
	return s
}

func (s *repeatStorm) after(now, d time.Duration, run func(time.Duration)) {
	s.seq++
	heap.Push(&s.queue, stormEvent{at: now + d, seq: s.seq, run: run})
}

func (s *repeatStorm) restart(now time.Duration, i int) {
	s.lastIncarnation++
	s.hosts[i] = stormHost{incarnation: s.lastIncarnation, started: now, ledger: s.wrap(New(s.lastIncarnation, stormCapacity, testWindow))}
}

func (s *repeatStorm) chance(p float64) bool { return s.rng.Float64() < p }

func (s *repeatStorm) millis(n int64) time.Duration {
	return time.Duration(s.rng.Int63n(n)+1) * time.Millisecond
}

// request simulates one caller, which sends a request to the host its identity is
// bound to and repeats it up to four times through random hosts until answered.
func (s *repeatStorm) request(now time.Duration) {
	i := s.rng.Intn(stormHosts)
	h := &s.hosts[i]
	id, _ := NewID(h.incarnation, h.ledger.Window(now-h.started), s.rng)
	delay := s.millis(20)
	if s.chance(0.02) {
		delay = s.millis(150_000) // delayed in the network; repeats arrive earlier
	}
	s.answered[id] = ""
	s.after(now, delay, func(now time.Duration) { s.deliver(now, i, id) })
	pause := 2 * time.Second
	if s.chance(0.2) {
		pause = s.millis(100) // impatient caller: the repeats do not wait for the answer
	}
	for n := 1; n <= 4; n++ {
		s.after(now, time.Duration(n)*pause, func(now time.Duration) {
			if s.answered[id] == "" {
				s.deliver(now, s.rng.Intn(stormHosts), id)
			}
		})
	}
}

// deliver passes the request to an entry host, which runs it only if the identity
// is bound to that host.
func (s *repeatStorm) deliver(now time.Duration, i int, id ID) {
	h := s.hosts[i]
	switch v := h.ledger.Begin(now-h.started, id, false); v.Kind {
	case Run:
		s.after(now, s.millis(200), func(now time.Duration) { s.dispatch(now, i, h, id) })
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

func (s *repeatStorm) resolve(now time.Duration, id ID) {
	for _, h := range s.hosts {
		if h.incarnation == id.Incarnation && s.chance(0.9) {
			s.answer(id, h.ledger.Resolve(now-h.started, id).Outcome)
			return
		}
	}
	s.answer(id, outcome.Uncertain(outcome.ReasonHostLost))
}

// dispatch simulates the pool owner's decision on a slot and the attempts at
// backend servers that follow a grant.
func (s *repeatStorm) dispatch(now time.Duration, i int, h stormHost, id ID) {
	finish := func(now time.Duration, o outcome.Outcome) {
		if s.hosts[i].incarnation == h.incarnation {
			s.answer(id, h.ledger.Finish(now-h.started, id, o))
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
		if !h.ledger.Sent(id) {
			return
		}
		if started = !s.chance(0.1); started {
			break
		}
		h.ledger.Refused(id)
	}
	if !started {
		finish(now, outcome.Refuse(outcome.ReasonShed, 0))
		return
	}
	s.history.runs[id]++
	result := outcome.Success()
	if s.chance(0.02) {
		result = outcome.Refuse(outcome.ReasonConnect, 0) // wrong outcome, which the ledger must replace by unknown
	}
	s.after(now, s.millis(500), func(now time.Duration) { finish(now, result) })
}

// answer sends an outcome to the caller. One in ten answers is lost.
func (s *repeatStorm) answer(id ID, o outcome.Outcome) {
	if o.Kind == "" {
		return // still running
	}
	s.history.recordAnswer(id, o)
	if s.chance(0.9) && (s.answered[id] == "" || s.answered[id] == outcome.Unknown) {
		s.answered[id] = o.Kind
	}
}

func (s *repeatStorm) run() (double, falseNotRun int, unknownShare float64) {
	for s.queue.Len() > 0 {
		event := heap.Pop(&s.queue).(stormEvent)
		event.run(event.at)
	}
	double, falseNotRun = s.history.violations(func(ID) bool { return false })
	unknown := 0
	for _, kind := range s.answered {
		if kind == outcome.Unknown || kind == "" {
			unknown++
		}
	}
	return double, falseNotRun, float64(unknown) / float64(len(s.answered))
}

// BenchmarkRepeatStorm guards against double runs and false not-run answers while one
// of 24 simulated entry hosts crashes every 2 s and callers repeat non-idempotent
// requests through other hosts. It also measures unknown_share.
func BenchmarkRepeatStorm(b *testing.B) {
	for i := range b.N {
		double, falseNotRun, unknown := newStorm(int64(i+1), func(l *Ledger) requestLedger { return l }).run()
		b.ReportMetric(float64(double), "double_runs")
		b.ReportMetric(float64(falseNotRun), "false_not_run")
		b.ReportMetric(unknown, "unknown_share")
		b.ReportMetric(0, "ns/op")
		if double+falseNotRun > 0 {
			b.Fatalf("double runs %d, false not-run %d; both must be 0", double, falseNotRun)
		}
	}
}

// Guards against a simulation that cannot detect faults of a ledger: each faulty
// ledger must be found.
func TestStormDetectsBrokenRules(t *testing.T) {
	for desc, wrap := range map[string]func(*Ledger) requestLedger{
		"forgets the identities it refused when full":                  func(l *Ledger) requestLedger { return losesRefusals{l} },
		"accepts not-run after sending":                                func(l *Ledger) requestLedger { return trustsReportedOutcome{l} },
		"forgets ended requests":                                       func(l *Ledger) requestLedger { return losesEnded{l} },
		"resolves unused identities as not-run without recording that": func(l *Ledger) requestLedger { return assumesNotRun{l} },
	} {
		if double, falseNotRun, _ := newStorm(1, wrap).run(); double+falseNotRun == 0 {
			t.Errorf("%s: no fault found", desc)
		}
	}
}
