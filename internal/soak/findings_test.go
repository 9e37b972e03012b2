package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// history is a run of one host without disturbances that keeps every promise: four
// requests to routes that every version has, and one to the second version's route.
type history struct {
	run           *soakRun
	began         time.Time
	nonIdempotent *request
	idempotent    *request
	probe         *request
	afterUpdate   *request // sent when all hosts must have applied the second version
	last          *request // as afterUpdate
	// add adds an idempotent request that is served, like last.
	add func(id string, at time.Duration) *request
}

func newHistory() *history {
	began := time.Now()
	h := &host{name: "h", link: &proxy{}}
	run := &soakRun{
		seed: 1, store: newStore(), hosts: []*host{h}, requestLog: &requestLog{}, executionLog: &executionLog{executions: map[string][]execution{}}, began: began,
		versions: []version{
			{began, began, "s", tenantsOf(1, 1)}, {began.Add(10 * time.Second), began.Add(10 * time.Second), "t", tenantsOf(1, 2)},
		},
		backends: []*backend{{id: "b1", service: "s"}, {id: "b2", service: "t"}},
	}
	hist := &history{run: run, began: began}
	addRequest := func(id string, at time.Duration, idempotent bool, probeVersion int, server, service string) *request {
		r := &request{
			id: id, body: "body of " + id, idempotent: idempotent, host: h, incarnation: 1, probeVersion: probeVersion,
			sent: began.Add(at), ended: began.Add(at + 100*time.Millisecond), status: 200,
			keys: []string{permanentKey("modest")},
		}
		r.expected = expectedAnswer(id, r.body)
		r.answer = r.expected
		run.requestLog.add(r)
		run.executionLog.record(id, execution{at: r.sent.Add(50 * time.Millisecond), server: server, service: service, body: r.body, workspaces: []string{"modest"}})
		return r
	}
	hist.nonIdempotent = addRequest("once", 8*time.Second, false, 0, "b1", "s")
	hist.idempotent = addRequest("again", 9*time.Second, true, 0, "b1", "s")
	hist.probe = addRequest("probe", 14*time.Second, true, 2, "b2", "t")
	hist.afterUpdate = addRequest("late", 20*time.Second, true, 0, "b2", "t")
	hist.last = addRequest("last", 20500*time.Millisecond, true, 0, "b2", "t")
	hist.add = func(id string, at time.Duration) *request {
		return addRequest(id, at, true, 0, "b2", "t")
	}
	return hist
}

// execution returns the first execution of a request.
func (h *history) execution(r *request) *execution { return &h.run.executionLog.executions[r.id][0] }

// violation changes a history.
type violation struct {
	promise string // the promise that is broken, a description if none is
	violate func(h *history)
	allowed bool // no promise is broken
}

// TestViolationsAreReported guards against a check that cannot fail, and against one
// that reports what is allowed: each case breaks at most one promise of a history
// that keeps all, and just that one must be reported.
func TestViolationsAreReported(t *testing.T) {
	for _, c := range append([]violation{
		{promise: "none", violate: func(*history) {}, allowed: true},
		{promise: "runs only what was sent", violate: func(h *history) { h.run.executionLog.record("stranger", execution{}) }},
		{promise: "bodies are unchanged", violate: func(h *history) { h.execution(h.idempotent).body = "other" }},
		{promise: "at most once", violate: func(h *history) { h.run.executionLog.record("once", *h.execution(h.nonIdempotent)) }},
		{promise: "an idempotent request runs twice", violate: func(h *history) { h.run.executionLog.record("again", *h.execution(h.idempotent)) }, allowed: true},
		{promise: "whole answer to its own request", violate: func(h *history) { h.idempotent.answer = h.nonIdempotent.answer }},
		{promise: "not run is true", violate: func(h *history) { h.nonIdempotent.status, h.nonIdempotent.answer = 503, "" }},
		{promise: "an idempotent request runs and is refused", violate: func(h *history) { h.idempotent.status, h.idempotent.answer = 503, "" }, allowed: true},
		{promise: "no route is denied", violate: func(h *history) { h.idempotent.status = 404 }},
		{promise: "answers in time", violate: func(h *history) { h.idempotent.status, h.idempotent.timedOut = 0, true }},
		{promise: "no request is cut", violate: func(h *history) { h.idempotent.status = 0 }},
		{promise: "a kill cuts a request", violate: func(h *history) {
			h.idempotent.status = 0
			h.idempotent.host.interruptions = []disturbance{{start: h.idempotent.sent, end: h.idempotent.ended}}
		}, allowed: true},
		{promise: "configuration in force", violate: func(h *history) {
			h.execution(h.afterUpdate).service, h.execution(h.afterUpdate).server = "s", "b1"
		}},
		{promise: "an old configuration during a store outage", violate: func(h *history) {
			h.execution(h.afterUpdate).service, h.execution(h.afterUpdate).server = "s", "b1"
			h.run.store.disturbances = []disturbance{{start: h.afterUpdate.sent.Add(-time.Second), end: h.afterUpdate.sent}}
		}, allowed: true},
		{promise: "no work to leaving servers", violate: func(h *history) {
			h.run.backends[1].drainingSince.Store(h.afterUpdate.sent.Add(-drainTimeout).UnixNano())
		}},
		{promise: "no work to servers that said they leave", violate: func(h *history) {
			h.probe.leaving = "b2"
		}},
		{promise: "a restarted host does not know who leaves", violate: func(h *history) {
			h.probe.leaving, h.afterUpdate.incarnation, h.last.incarnation = "b2", 2, 2
		}, allowed: true},
		{promise: "configuration never reverts", violate: func(h *history) {
			second := *h.probe
			second.id, second.status = "probe2", 404
			// All of this is before the version must be in force, so that only the
			// reversal is reported.
			h.probe.sent, h.probe.ended = h.began.Add(10*time.Second+100*time.Millisecond), h.began.Add(10*time.Second+200*time.Millisecond)
			h.execution(h.probe).at = h.probe.ended
			second.sent, second.ended = h.began.Add(10*time.Second+300*time.Millisecond), h.began.Add(10*time.Second+400*time.Millisecond)
			h.run.requestLog.add(&second)
		}},
		{promise: "recovers", violate: func(h *history) {
			for i := range 2 {
				h.setKey(h.add(fmt.Sprint("refused", i), 20*time.Second), permanentKey("steady"), "steady").status = 503
			}
		}},
	}, workspaceViolations...) {
		t.Run(c.promise, func(t *testing.T) {
			h := newHistory()
			c.violate(h)
			violations, _, _ := h.run.findings(h.began.Add(19 * time.Second))
			var broken []string
			for promise := range violations {
				broken = append(broken, promise)
			}
			want := []string{c.promise}
			if c.allowed {
				want = nil
			}
			if !slices.Equal(broken, want) {
				t.Errorf("broken promises %v, want %v: %s", broken, want, fmt.Sprint(violations))
			}
		})
	}
}
