package ledger

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/galenabeam/galenabeam/internal/outcome"
)

const (
	testIncarnation = 7
	testWindow      = time.Minute
)

// TestMain fixes the seed of the property tests, so that CI runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	// A false not-run of an unrecorded request shows up only after thousands of
	// runs.
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		if err := checks.Value.Set("3000"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// testID returns an identity whose random part depends on n.
func testID(window uint32, n byte) ID {
	id := ID{Incarnation: testIncarnation, Window: window}
	for i := range id.Random {
		id.Random[i] = n * byte(i+1)
	}
	return id
}

// Guards against two texts that parse to the same identity: only the form that
// ID.String returns is valid.
func TestParseID(t *testing.T) {
	g := NewWithT(t)
	id, err := NewID(testIncarnation, 3, bytes.NewReader(make([]byte, 16)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ParseID(id.String())).To(Equal(id))
	_, err = NewID(testIncarnation, 3, bytes.NewReader(nil))
	g.Expect(err).To(HaveOccurred())
	hex := "00112233445566778899aabbccddeeff"
	for _, text := range []string{"", "7", "7.3", "0.3." + hex, "7.-1." + hex, "07.3." + hex, "+7.3." + hex,
		"7.4294967296." + hex, "7.3." + hex + "0", "7.3.00112233445566778899AABBCCDDEEFF", "7.3." + hex[:30] + "zz"} {
		_, err := ParseID(text)
		g.Expect(err).To(MatchError(ErrBadID), text)
	}
}

// Guards against wrong verdicts and outcomes at the limits of windows and of the
// capacity, and around the start of an attempt.
func TestVerdicts(t *testing.T) {
	refused := outcome.Refuse(outcome.ReasonLate, time.Second)
	for _, tc := range []struct {
		desc string
		run  func(g *WithT, l *Ledger)
	}{
		{"another incarnation's identity is foreign", func(g *WithT, l *Ledger) {
			id := testID(0, 1)
			id.Incarnation++
			g.Expect(l.Begin(0, id, false).Kind).To(Equal(Foreign))
		}},
		{"a future window is not acceptable", func(g *WithT, l *Ledger) {
			g.Expect(l.Begin(0, testID(1, 1), false).Kind).To(Equal(Expired))
		}},
		{"the previous window is acceptable, older ones are not", func(g *WithT, l *Ledger) {
			g.Expect(l.Begin(2*testWindow-1, testID(0, 1), false).Kind).To(Equal(Run))
			g.Expect(l.Begin(2*testWindow, testID(0, 2), false).Kind).To(Equal(Expired))
		}},
		{"the record of a running request outlives its window", func(g *WithT, l *Ledger) {
			g.Expect(l.Begin(0, testID(0, 1), false).Kind).To(Equal(Run))
			v := l.Begin(9*testWindow, testID(0, 1), false)
			g.Expect(v.Kind).To(Equal(Repeat))
			g.Expect(v.Record.State).To(Equal(Running))
			l.Finish(9*testWindow, testID(0, 1), outcome.Success())
			g.Expect(l.Stats().Records).To(BeZero())
			g.Expect(l.Begin(9*testWindow, testID(0, 1), false).Kind).To(Equal(Expired))
		}},
		{"not-run after bytes were sent becomes unknown", func(g *WithT, l *Ledger) {
			l.Begin(0, testID(0, 1), false)
			g.Expect(l.Sent(testID(0, 1))).To(BeTrue())
			g.Expect(l.Sent(testID(0, 1))).To(BeFalse())
			g.Expect(l.Finish(0, testID(0, 1), refused).Kind).To(Equal(outcome.Unknown))
		}},
		{"a request that was refused before starting may be sent again and end as not-run", func(g *WithT, l *Ledger) {
			l.Begin(0, testID(0, 1), false)
			l.Sent(testID(0, 1))
			l.Refused(testID(0, 1))
			g.Expect(l.Sent(testID(0, 1))).To(BeTrue())
			shed := outcome.Refuse(outcome.ReasonShed, 0)
			g.Expect(l.Finish(0, testID(0, 1), shed).Kind).To(Equal(outcome.NotRun))
			g.Expect(l.Sent(testID(0, 1))).To(BeFalse())
		}},
		{"a request refused by a full ledger stays refused when there is room again", func(g *WithT, l *Ledger) {
			for n := byte(1); n <= 4; n++ {
				g.Expect(l.Begin(0, testID(0, n), false).Kind).To(Equal(Run))
				l.Finish(0, testID(0, n), outcome.Success())
			}
			g.Expect(l.Begin(testWindow, testID(1, 9), false).Kind).To(Equal(Full))
			v := l.Begin(2*testWindow, testID(1, 9), false)
			g.Expect(v.Kind).To(Equal(Repeat))
			g.Expect(v.Record.Outcome.Kind).To(Equal(outcome.NotRun))
		}},
		{"idempotent requests beyond their fraction run and never end as not-run", func(g *WithT, l *Ledger) {
			for n := byte(1); n <= 3; n++ {
				g.Expect(l.Begin(0, testID(0, n), true).Kind).To(Equal(Run))
			}
			g.Expect(l.Stats().Unrecorded).To(BeEquivalentTo(1))
			g.Expect(l.Sent(testID(0, 3))).To(BeTrue())
			g.Expect(l.Finish(0, testID(0, 3), refused).Kind).To(Equal(outcome.Unknown))
			g.Expect(l.Begin(0, testID(0, 3), false).Record.Outcome.Kind).To(Equal(outcome.Unknown))
		}},
		{"an idempotent request that ran without a record gets none later", func(g *WithT, l *Ledger) {
			l.Begin(0, testID(0, 1), true)
			l.Begin(0, testID(0, 2), true)
			l.Begin(testWindow, testID(0, 3), true)
			l.Sent(testID(0, 3))
			l.Finish(testWindow, testID(0, 3), outcome.Success())
			l.idempotentRecords = 0 // as if the records of the first two had expired
			g.Expect(l.Begin(testWindow, testID(0, 3), true).Kind).To(Equal(Run))
			g.Expect(l.Finish(testWindow, testID(0, 3), refused).Kind).To(Equal(outcome.Unknown))
		}},
		{"resolving an unused identity records it as not-run", func(g *WithT, l *Ledger) {
			g.Expect(l.Resolve(0, testID(0, 1)).Outcome.Kind).To(Equal(outcome.NotRun))
			g.Expect(l.Begin(0, testID(0, 1), false).Kind).To(Equal(Repeat))
			g.Expect(l.Resolve(0, testID(5, 1)).Outcome.Kind).To(Equal(outcome.Unknown))
		}},
		{"the first outcome is final", func(g *WithT, l *Ledger) {
			l.Begin(0, testID(0, 1), false)
			l.Finish(0, testID(0, 1), refused)
			g.Expect(l.Finish(0, testID(0, 1), outcome.Success())).To(Equal(refused))
		}},
	} {
		t.Run(tc.desc, func(t *testing.T) { tc.run(NewWithT(t), New(testIncarnation, 4, testWindow)) })
	}
}

// history records runs and answers to check AtMostOnce and NotRunIsTrue.
type history struct {
	runs   map[ID]int
	notRun map[ID]bool
}

func newHistory() *history { return &history{runs: map[ID]int{}, notRun: map[ID]bool{}} }

func (h *history) recordAnswer(id ID, o outcome.Outcome) {
	if o.Kind == outcome.NotRun {
		h.notRun[id] = true
	}
}

func (h *history) violations(idempotent func(ID) bool) (double, falseNotRun int) {
	for id, runs := range h.runs {
		if runs > 1 && !idempotent(id) {
			double++
		}
		if h.notRun[id] && runs > 0 {
			falseNotRun++
		}
	}
	return double, falseNotRun
}

func evenIsIdempotent(id ID) bool { return id.Random[0]%2 == 0 }

// requestLedger holds the methods of Ledger that package edge calls. Tests replace
// single ones by faulty ones.
type requestLedger interface {
	Window(now time.Duration) uint32
	Begin(now time.Duration, id ID, idempotent bool) Verdict
	Sent(id ID) bool
	Refused(id ID)
	Finish(now time.Duration, id ID, result outcome.Outcome) outcome.Outcome
	Resolve(now time.Duration, id ID) Record
}

// applyRandomCalls makes random calls to a ledger, in an order that package edge may
// use.
func applyRandomCalls(rt *rapid.T, h *history, l requestLedger) {
	var now time.Duration
	running := map[ID]bool{}
	for range rapid.IntRange(20, 120).Draw(rt, "steps") {
		now += time.Duration(rapid.IntRange(0, 8).Draw(rt, "pause")) * time.Second
		window := l.Window(now) - min(l.Window(now), rapid.Uint32Range(0, 1).Draw(rt, "age"))
		id := testID(window, byte(rapid.IntRange(1, 12).Draw(rt, "id")))
		switch rapid.IntRange(0, 3).Draw(rt, "call") {
		case 0, 1:
			v := l.Begin(now, id, evenIsIdempotent(id))
			switch v.Kind {
			case Run:
				running[id] = true
			case Full:
				h.recordAnswer(id, outcome.Refuse(outcome.ReasonLedgerFull, 0))
			case Repeat:
				h.recordAnswer(id, v.Record.Outcome)
			}
		case 2:
			if running[id] && rapid.Bool().Draw(rt, "send") && l.Sent(id) {
				if rapid.Bool().Draw(rt, "starts") {
					h.runs[id]++
				} else {
					l.Refused(id)
				}
			}
			if running[id] && rapid.Bool().Draw(rt, "end") {
				delete(running, id)
				h.recordAnswer(id, l.Finish(now, id, outcome.Refuse(outcome.ReasonLate, 0)))
			}
		case 3:
			h.recordAnswer(id, l.Resolve(now, id).Outcome)
		}
	}
}

// Guards against requests that run twice, and against not-run answers for requests
// that ran before or run later.
func TestRandomCallsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory()
		l := New(testIncarnation, rapid.IntRange(2, 8).Draw(rt, "capacity"), testWindow)
		applyRandomCalls(rt, h, l)
		if double, falseNotRun := h.violations(evenIsIdempotent); double+falseNotRun > 0 {
			rt.Fatalf("double runs %d, false not-run %d", double, falseNotRun)
		}
	})
}

// losesRefusals forgets which identities it refused for lack of room.
type losesRefusals struct{ *Ledger }

func (b losesRefusals) Begin(now time.Duration, id ID, idempotent bool) Verdict {
	v := b.Ledger.Begin(now, id, idempotent)
	b.current.refused = newFilter(b.capacity)
	return v
}

// trustsReportedOutcome returns the reported outcome unchecked.
type trustsReportedOutcome struct{ *Ledger }

func (b trustsReportedOutcome) Finish(now time.Duration, id ID, result outcome.Outcome) outcome.Outcome {
	b.Ledger.Finish(now, id, result)
	return result
}

// allowsSecondSend permits every attempt.
type allowsSecondSend struct{ *Ledger }

func (b allowsSecondSend) Sent(id ID) bool { b.Ledger.Sent(id); return true }

// losesEnded drops each record when its request ends.
type losesEnded struct{ *Ledger }

func (b losesEnded) Finish(now time.Duration, id ID, result outcome.Outcome) outcome.Outcome {
	result = b.Ledger.Finish(now, id, result)
	if record := b.findRecord(id); record != nil {
		b.uncount(record)
		delete(b.findGeneration(id.Window).records, id)
	}
	return result
}

// assumesNotRun resolves unused identities as not-run without recording that.
type assumesNotRun struct{ *Ledger }

func (b assumesNotRun) Resolve(now time.Duration, id ID) Record {
	if record, ok := b.Lookup(id); ok {
		return record
	}
	return Record{State: Ended, Outcome: outcome.Refuse(outcome.ReasonRepeat, 0)}
}

// Guards against invariant checks that never fail: each faulty ledger must fail
// them.
func TestChecksDetectBrokenRules(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		broken func(*Ledger) requestLedger
	}{
		{"forgets the identities it refused when full", func(l *Ledger) requestLedger { return losesRefusals{l} }},
		{"accepts not-run after sending", func(l *Ledger) requestLedger { return trustsReportedOutcome{l} }},
		{"permits a second send", func(l *Ledger) requestLedger { return allowsSecondSend{l} }},
		{"forgets ended requests", func(l *Ledger) requestLedger { return losesEnded{l} }},
		{"resolves unused identities as not-run without recording that", func(l *Ledger) requestLedger { return assumesNotRun{l} }},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := NewWithT(t)
			run := rapid.Custom(func(rt *rapid.T) int {
				h := newHistory()
				applyRandomCalls(rt, h, tc.broken(New(testIncarnation, 4, testWindow)))
				double, falseNotRun := h.violations(evenIsIdempotent)
				return double + falseNotRun
			})
			faults := 0
			for seed := range 300 {
				faults += run.Example(seed)
			}
			g.Expect(faults).To(BeNumerically(">", 0))
		})
	}
}
