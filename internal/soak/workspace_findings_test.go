package soak

import (
	"fmt"
	"os"
	"time"
)

// setKey makes a request one with a key and its execution one of a workspace.
func (h *history) setKey(r *request, key, workspace string) *request {
	r.keys = []string{key}
	h.execution(r).workspaces = []string{workspace}
	return r
}

// refuse makes a request one that does not run.
func (h *history) refuse(r *request, status int) {
	r.status, r.answer = status, ""
	delete(h.run.executionLog.executions, r.id)
}

// disturb disturbs the store just before a request.
func (h *history) disturb(r *request) {
	h.run.store.disturbances = []disturbance{{start: r.sent.Add(-time.Second), end: r.sent}}
}

// sendAfterUpdate changes the time of a request: d after the second version.
func (h *history) sendAfterUpdate(r *request, d time.Duration) {
	r.sent = h.run.versions[1].confirmed.Add(d)
	r.ended = r.sent.Add(100 * time.Millisecond)
}

// addRuns adds requests of a workspace that run in a period.
func (h *history) addRuns(workspace string, n int, from, period time.Duration) {
	for i := range n {
		r := h.add(fmt.Sprint("quota", i), from+period*time.Duration(i)/time.Duration(n))
		h.setKey(r, permanentKey(workspace), workspace)
	}
}

// greedyLimit is the limit of the workspace "greedy" in the history.
var greedyLimit = tenantsOf(1, 1)[2].quotaLimit()

// workspaceViolations are the violations of the promises about workspaces, and what is allowed.
// The history has two versions, in force from 0 s and 10 s on.
var workspaceViolations = []violation{
	{promise: "no key reaches a server", violate: func(h *history) { h.execution(h.idempotent).hasKey = true }},
	{promise: "runs only with a key", violate: func(h *history) { h.setKey(h.idempotent, unknownKey, "modest") }},
	{promise: "runs only with a key", violate: func(h *history) { h.idempotent.keys = append(h.idempotent.keys, permanentKey("modest")) }},
	{promise: "a public route without a key", violate: func(h *history) {
		h.idempotent.public, h.idempotent.keys, h.execution(h.idempotent).workspaces = true, nil, nil
	}, allowed: true},
	{promise: "workspace of the key", violate: func(h *history) { h.execution(h.idempotent).workspaces = []string{"forged"} }},
	{promise: "workspace of the key", violate: func(h *history) { h.execution(h.idempotent).workspaces = []string{"modest", "modest"} }},
	{promise: "workspace of the key", violate: func(h *history) { h.execution(h.idempotent).workspaces = nil }},
	{promise: "revoked keys are refused", violate: func(h *history) { h.setKey(h.afterUpdate, rotatingKey(0), "steady") }},
	{promise: "revoked keys are refused", violate: func(h *history) { h.setKey(h.afterUpdate, movingKey, "modest") }},
	{promise: "a moved key in time", violate: func(h *history) { h.setKey(h.afterUpdate, movingKey, "steady") }, allowed: true},
	{promise: "a revoked key during a store outage", violate: func(h *history) {
		h.setKey(h.afterUpdate, rotatingKey(0), "steady")
		h.disturb(h.afterUpdate)
	}, allowed: true},
	{promise: "valid keys are accepted", violate: func(h *history) {
		h.setKey(h.probe, rotatingKey(2), "steady")
		h.refuse(h.probe, 401)
		h.sendAfterUpdate(h.probe, configApply+transitTime/2)
	}},
	{promise: "valid keys are accepted", violate: func(h *history) {
		// The store was restored, but all versions have the key.
		h.run.store.restores = []time.Time{h.idempotent.sent.Add(-time.Second)}
		h.disturb(h.idempotent)
		h.refuse(h.idempotent, 401)
	}},
	{promise: "unconfirmed keys are not rejected", violate: func(h *history) {
		h.setKey(h.probe, rotatingKey(2), "steady")
		h.refuse(h.probe, 401)
		h.disturb(h.probe)
	}},
	{promise: "a key is refused after it was lost in a restore", violate: func(h *history) {
		h.setKey(h.probe, rotatingKey(2), "steady")
		h.refuse(h.probe, 401)
		h.disturb(h.probe)
		h.run.store.restores = []time.Time{h.probe.sent.Add(-time.Second)}
	}, allowed: true},
	{promise: "a new key is refused during a store outage", violate: func(h *history) {
		h.setKey(h.probe, rotatingKey(2), "steady")
		h.refuse(h.probe, 401)
		h.sendAfterUpdate(h.probe, configApply)
		h.disturb(h.probe)
	}, allowed: true},
	{promise: "a removed key is refused", violate: func(h *history) {
		h.setKey(h.probe, rotatingKey(0), "steady")
		h.refuse(h.probe, 401)
	}, allowed: true},
	{promise: "not run is true", violate: func(h *history) {
		// The first version has the key, the second one, which may be in force, has not.
		h.setKey(h.nonIdempotent, rotatingKey(0), "steady")
		h.nonIdempotent.sent, h.nonIdempotent.ended = h.began.Add(11*time.Second), h.began.Add(11200*time.Millisecond)
		h.nonIdempotent.status, h.nonIdempotent.answer = 401, ""
	}},
	{promise: "allowed regions", violate: func(h *history) { h.setKey(h.afterUpdate, permanentKey("local"), "local") }},
	{promise: "quotas", violate: func(h *history) { h.addRuns("greedy", greedyLimit+1, 14*time.Second, 4900*time.Millisecond) }},
	{promise: "a quota is used up", violate: func(h *history) { h.addRuns("greedy", greedyLimit, 14*time.Second, 4900*time.Millisecond) }, allowed: true},
	{promise: "a quota is used up twice", violate: func(h *history) { h.addRuns("greedy", 2*greedyLimit, 14*time.Second, 10500*time.Millisecond) }, allowed: true},
	{promise: "serves within the quota", violate: func(h *history) {
		h.refuse(h.afterUpdate, 429)
		for i := range 30 {
			h.setKey(h.add(fmt.Sprint("steady", i), 20*time.Second), permanentKey("steady"), "steady")
		}
	}},
	{promise: "no key in a log", violate: func(h *history) {
		f, err := os.CreateTemp("", "soak")
		if err != nil {
			panic(err)
		}
		_, _ = f.WriteString("refused " + unknownKey)
		h.run.hosts[0].logFile = f
	}},
	{promise: "the status is one of HTTP", violate: func(h *history) { h.idempotent.status = noStatus }},
	{promise: "the status is one of HTTP", violate: func(h *history) { h.idempotent.status = 999 }},
	{promise: "whole answer to its own request", violate: func(h *history) {
		h.idempotent.large, h.idempotent.slow, h.idempotent.answer = true, true, "answer to"
	}},
	{promise: "a large answer is cut", violate: func(h *history) { h.idempotent.large, h.idempotent.status = true, 0 }, allowed: true},
	{promise: "a server answers before it has read the body", violate: func(h *history) {
		h.execution(h.nonIdempotent).body, h.execution(h.nonIdempotent).partial = "", true
	}, allowed: true},
}
