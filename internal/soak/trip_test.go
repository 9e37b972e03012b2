package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// history is a calm run of one host in which every promise is kept: three
// requests of work and one for the route of the second version.
type history struct {
	w     *world
	began time.Time
	once  *request // runs at most once
	again *request // may run again
	probe *request
	late  *request // after the second version is in force everywhere
}

func newHistory() *history {
	began := time.Now()
	h := &host{name: "h", link: &proxy{}}
	w := &world{
		seed: 1, store: newStore(), hosts: []*host{h}, book: &book{}, led: &ledger{runs: map[string][]run{}}, began: began,
		versions: []version{{began, "s"}, {began.Add(10 * time.Second), "t"}},
		backends: []*backend{{id: "b1", service: "s"}, {id: "b2", service: "t"}},
	}
	hist := &history{w: w, began: began}
	request := func(id string, at time.Duration, repeatable bool, probe int, server, service string) *request {
		r := &request{
			id: id, body: "body of " + id, repeatable: repeatable, host: h, incarnation: 1, probe: probe,
			sent: began.Add(at), ended: began.Add(at + 100*time.Millisecond), status: 200,
		}
		r.answer = expected(id, r.body)
		w.book.add(r)
		w.led.note(id, run{at: r.sent.Add(50 * time.Millisecond), server: server, service: service, body: r.body})
		return r
	}
	hist.once = request("once", 8*time.Second, false, 0, "b1", "s")
	hist.again = request("again", 9*time.Second, true, 0, "b1", "s")
	hist.probe = request("probe", 14*time.Second, true, 2, "b2", "t")
	hist.late = request("late", 20*time.Second, true, 0, "b2", "t")
	return hist
}

func (h *history) run(r *request) *run { return &h.w.led.runs[r.id][0] }

// TestCheckersTrip guards against a checker that no broken history trips: each
// case breaks one promise of a history that keeps all of them.
func TestCheckersTrip(t *testing.T) {
	for _, c := range []struct {
		promise  string
		violate  func(h *history)
		accepted bool // the case is allowed
	}{
		{promise: "none", violate: func(*history) {}, accepted: true},
		{promise: "runs only what was sent", violate: func(h *history) { h.w.led.note("stranger", run{}) }},
		{promise: "bodies are unchanged", violate: func(h *history) { h.run(h.again).body = "other" }},
		{promise: "at most once", violate: func(h *history) { h.w.led.note("once", *h.run(h.once)) }},
		{promise: "a second run that is allowed", violate: func(h *history) { h.w.led.note("again", *h.run(h.again)) }, accepted: true},
		{promise: "whole answer to its own request", violate: func(h *history) { h.again.answer = h.once.answer }},
		{promise: "not run is true", violate: func(h *history) { h.once.status, h.once.answer = 503, "" }},
		{promise: "a refusal of what may run again", violate: func(h *history) { h.again.status, h.again.answer = 503, "" }, accepted: true},
		{promise: "no route is denied", violate: func(h *history) { h.again.status = 404 }},
		{promise: "answers in time", violate: func(h *history) { h.again.status, h.again.timedOut = 0, true }},
		{promise: "no request is cut", violate: func(h *history) { h.again.status = 0 }},
		{promise: "a request that a kill cut", violate: func(h *history) {
			h.again.status = 0
			h.again.host.harmed = []span{{start: h.again.sent, end: h.again.ended}}
		}, accepted: true},
		{promise: "configuration in force", violate: func(h *history) {
			h.run(h.late).service, h.run(h.late).server = "s", "b1"
		}},
		{promise: "an old configuration while the store is away", violate: func(h *history) {
			h.run(h.late).service, h.run(h.late).server = "s", "b1"
			h.w.store.spans = []span{{start: h.late.sent.Add(-time.Second), end: h.late.sent}}
		}, accepted: true},
		{promise: "no work to leaving servers", violate: func(h *history) {
			h.w.backends[1].leftAt.Store(h.late.sent.Add(-drainTimeout).UnixNano())
		}},
		{promise: "configuration never reverts", violate: func(h *history) {
			second := *h.probe
			second.id, second.status = "probe2", 404
			// Before the version must be in force, so that only the reversal counts.
			h.probe.sent, h.probe.ended = h.began.Add(10*time.Second+100*time.Millisecond), h.began.Add(10*time.Second+200*time.Millisecond)
			h.run(h.probe).at = h.probe.ended
			second.sent, second.ended = h.began.Add(10*time.Second+300*time.Millisecond), h.began.Add(10*time.Second+400*time.Millisecond)
			h.w.book.add(&second)
		}},
		{promise: "recovers", violate: func(h *history) { h.late.status, h.late.answer = 503, "" }},
	} {
		t.Run(c.promise, func(t *testing.T) {
			h := newHistory()
			c.violate(h)
			problems, _, _ := h.w.findings(h.began.Add(19 * time.Second))
			var broken []string
			for promise := range problems {
				broken = append(broken, promise)
			}
			want := []string{c.promise}
			if c.accepted {
				want = nil
			}
			if !slices.Equal(broken, want) {
				t.Errorf("broken promises %v, want %v: %s", broken, want, fmt.Sprint(problems))
			}
		})
	}
}
