package soak

import (
	"bytes"
	"os"
	"slices"
	"time"
)

// mustServe reports whether all configurations serve a request and no quota refuses it.
func (sr *soakRun) mustServe(r *request) bool {
	for _, v := range sr.versions {
		if w, ok := v.admits(r); !ok || w == "greedy" {
			return false
		}
	}
	return true
}

// inForce returns the versions that may have been in force at the host of a request from
// when it was sent until the given time.
func (sr *soakRun) inForce(r *request, until time.Time) []version {
	oldest, end := 0, len(sr.versions)
	if sr.store.undisturbed(r.sent.Add(-recoveryTime), until) && r.host.recovered(r.sent, until) {
		oldest = sr.oldestInForce(r)
	}
	for end > oldest+1 && sr.versions[end-1].submitted.After(until) {
		end--
	}
	return sr.versions[oldest:end]
}

// checkWorkspace guards against a request that runs for another workspace than that of its
// key, without a valid key, or outside the regions of its workspace, against a key that
// reaches a server, and against the refusal of a valid key.
func (sr *soakRun) checkWorkspace(r *request, executions []execution, report func(string, string, ...any)) {
	at := r.sent.Sub(sr.began)
	for _, e := range executions {
		if e.hasKey {
			report("no key reaches a server", "%s at %v at %s", r.id, at, e.server)
		}
		until := e.at
		if r.ended.After(until) {
			until = r.ended
		}
		switch {
		case !slices.ContainsFunc(sr.versions, func(v version) bool { _, ok := v.admits(r); return ok }):
			report("runs only with a key", "%s at %v at %s ran with keys %q", r.id, at, r.host.name, r.keys)
		case !servedAs(sr.versions, r, e.workspaces):
			report("workspace of the key", "%s at %v ran for %q with keys %q", r.id, at, e.workspaces, r.keys)
		case !servedAs(sr.inForce(r, until), r, e.workspaces):
			report("revoked keys are refused", "%s at %v at %s ran for %q with keys %q", r.id, at, r.host.name, e.workspaces, r.keys)
		}
		if slices.Contains(e.workspaces, "local") && slices.ContainsFunc(sr.backends, func(b *backend) bool { return b.id == e.server && b.zone != "z0" }) {
			report("allowed regions", "%s at %v ran at %s", r.id, at, e.server)
		}
	}
	if r.status != 401 {
		return
	}
	for _, v := range sr.inForce(r, r.ended) {
		if _, ok := v.admits(r); !ok {
			return
		}
	}
	report("valid keys are accepted", "%s at %v at %s got 401 with keys %q", r.id, at, r.host.name, r.keys)
}

// servedAs reports whether one of the versions serves a request for the workspace that a
// server got, in just one line, or without one if it got none.
func servedAs(versions []version, r *request, lines []string) bool {
	return slices.ContainsFunc(versions, func(v version) bool {
		workspace, ok := v.admits(r)
		return ok && (workspace == "" && len(lines) == 0 || workspace != "" && slices.Equal(lines, []string{workspace}))
	})
}

// checkQuotas guards against more requests of a workspace than its quota allows over all
// hosts, and against a workspace within its quota that is not served after the faults.
func (sr *soakRun) checkQuotas(servedFrom time.Time, report func(string, string, ...any)) {
	ran := map[string][]time.Time{}
	for _, executions := range sr.executionLog.executions {
		for _, e := range executions {
			for _, w := range e.workspaces {
				ran[w] = append(ran[w], e.at)
			}
		}
	}
	for _, t := range sr.versions[0].tenants {
		if t.Rate == 0 {
			continue
		}
		times, limit := ran[t.Name], t.quotaLimit()
		slices.SortFunc(times, time.Time.Compare)
		for i := limit; i < len(times); i++ {
			if d := times[i].Sub(times[i-limit]); d < quotaWindow {
				report("quotas", "%d requests of %s ran within %v, until %v", limit+1, t.Name, d, times[i].Sub(sr.began))
			}
		}
	}
	good, total := 0, 0
	for _, r := range sr.requestLog.list {
		if r.sent.After(servedFrom) && !r.slow && r.probeVersion == 0 && slices.Equal(r.keys, []string{permanentKey("modest")}) {
			total++
			if r.status == 200 {
				good++
			}
		}
	}
	if len(sr.versions[0].tenants) > 0 && (total == 0 || float64(good) < minServedShare*float64(total)) {
		report("serves within the quota", "%d of %d requests served at the end", good, total)
	}
}

// checkLogs guards against a key in a log.
func (sr *soakRun) checkLogs(report func(string, string, ...any)) {
	for _, h := range sr.hosts {
		if h.logFile == nil {
			continue
		}
		raw, err := os.ReadFile(h.logFile.Name())
		if err != nil {
			sr.t.Error(err)
		}
		if bytes.Contains(raw, []byte(keyPrefix)) {
			report("no key in a log", "%s", h.logFile.Name())
		}
	}
}
