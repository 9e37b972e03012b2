package soak

import (
	"bytes"
	"os"
	"slices"
	"time"
)

// transitTime bounds the time for which answers of the store are on a delayed link. Hosts do
// not know that time when they take the age of their copy.
const transitTime = 500 * time.Millisecond

// mustServe reports whether all configurations serve a request and no quota refuses it.
func (sr *soakRun) mustServe(r *request) bool {
	return admitAll(sr.versions, r) && !slices.Equal(r.keys, []string{permanentKey("greedy")})
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
	if r.status == 401 && admitAll(sr.inForce(r, r.ended), r) {
		report("valid keys are accepted", "%s at %v at %s got 401 with keys %q", r.id, at, r.host.name, r.keys)
	}
	if r.status == 401 && sr.addedLongAgo(r) {
		report("unconfirmed keys are not rejected", "%s at %v at %s got 401 with keys %q", r.id, at, r.host.name, r.keys)
	}
}

// admitAll reports whether all versions serve a request.
func admitAll(versions []version, r *request) bool {
	return !slices.ContainsFunc(versions, func(v version) bool { _, ok := v.admits(r); return !ok })
}

// addedLongAgo reports whether the store has had the key of a request for so long, and without
// a restore, that a host which does not know it must have an old copy, whatever the faults.
func (sr *soakRun) addedLongAgo(r *request) bool {
	oldest, end := -1, len(sr.versions)
	for i, v := range sr.versions {
		if v.confirmed.Add(configApply + transitTime).Before(r.sent) {
			oldest = i
		}
	}
	for end > 0 && sr.versions[end-1].submitted.After(r.ended) {
		end--
	}
	return oldest >= 0 && admitAll(sr.versions[oldest:end], r) && !sr.store.restoredBetween(sr.versions[oldest].confirmed, r.ended)
}

// servedAs reports whether one of the versions serves a request for the workspace that a
// server got, in just one line, or without one if it got none.
func servedAs(versions []version, r *request, lines []string) bool {
	return slices.ContainsFunc(versions, func(v version) bool {
		workspace, ok := v.admits(r)
		return ok && (workspace == "" && len(lines) == 0 || workspace != "" && slices.Equal(lines, []string{workspace}))
	})
}

// quotaUse returns the most requests of each workspace that ran within quotaWindow, and the
// end of that window.
func (sr *soakRun) quotaUse() (most map[string]int, end map[string]time.Time) {
	ran := map[string][]time.Time{}
	for _, executions := range sr.executionLog.executions {
		for _, e := range executions {
			for _, w := range e.workspaces {
				ran[w] = append(ran[w], e.at)
			}
		}
	}
	most, end = map[string]int{}, map[string]time.Time{}
	for w, times := range ran {
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for i, t := range times {
			for t.Sub(times[first]) >= quotaWindow {
				first++
			}
			if n := i - first + 1; n > most[w] {
				most[w], end[w] = n, t
			}
		}
	}
	return most, end
}

// checkQuotas guards against more requests of a workspace than its quota allows over all
// hosts, and against a workspace within its quota that is not served after the faults.
func (sr *soakRun) checkQuotas(servedFrom time.Time, report func(string, string, ...any)) {
	most, end := sr.quotaUse()
	for _, t := range sr.versions[0].tenants {
		if limit := t.quotaLimit(); t.Rate > 0 && most[t.Name] > limit {
			report("quotas", "%d requests of %s ran within %v until %v, limit %d", most[t.Name], t.Name, quotaWindow, end[t.Name].Sub(sr.began), limit)
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
