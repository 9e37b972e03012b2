package soak

import (
	"fmt"
	"time"
)

// checkPromises fails the test for each broken promise. Requests sent after
// servedFrom count for "recovers".
func (sr *soakRun) checkPromises(servedFrom time.Time) {
	violations, served, total := sr.findings(servedFrom)
	for promise, list := range violations {
		sr.t.Errorf("seed %d: %s: %d times, first: %s", sr.seed, promise, len(list), list[0])
	}
	most, _ := sr.quotaUse()
	sr.t.Logf("seed %d: %d requests, %d of %d served at the end, at most %d greedy ones in 5 s, %d answers cut off, %d resets before the body was read",
		sr.seed, len(sr.requestLog.list), served, total, most["greedy"], sr.executionLog.cuts.Load(), sr.executionLog.resets.Load())
}

// findings returns the violations by promise. Of the requests sent after servedFrom,
// without those for a version's route, it returns how many were served and how many
// there were.
func (sr *soakRun) findings(servedFrom time.Time) (violations map[string][]string, served, total int) {
	sr.executionLog.mu.Lock()
	defer sr.executionLog.mu.Unlock()
	sent := map[string]*request{}
	for _, r := range sr.requestLog.list {
		sent[r.id] = r
	}
	violations = map[string][]string{}
	unserved := map[string]int{}
	report := func(promise, format string, args ...any) {
		violations[promise] = append(violations[promise], fmt.Sprintf(format, args...))
	}
	for id, executions := range sr.executionLog.executions {
		r := sent[id]
		if r == nil {
			report("runs only what was sent", "%s", id)
			continue
		}
		for _, e := range executions {
			if e.body != r.body && !e.partial {
				report("bodies are unchanged", "%s ran with %q", id, e.body)
			}
		}
		if !r.idempotent && len(executions) > 1 {
			report("at most once", "%s ran %d times: %v", id, len(executions), executions)
		}
	}
	for _, r := range sr.requestLog.list {
		executions := sr.executionLog.executions[r.id]
		sr.checkAnswer(r, executions, report)
		sr.checkTimeBounds(r, executions, report)
		sr.checkWorkspace(r, executions, report)
		if r.sent.After(servedFrom) && r.probeVersion == 0 && !r.slow && sr.mustServe(r) {
			total++
			if r.status == 200 {
				served++
			} else {
				unserved[fmt.Sprintf("status %d at %s with keys %q at second %.0f", r.status, r.host.name, r.keys, r.sent.Sub(sr.began).Seconds())]++
			}
		}
	}
	sr.checkNoReversal(report)
	sr.checkLeaving(report)
	sr.checkQuotas(servedFrom, report)
	sr.checkLogs(report)
	if total == 0 || float64(served) < minServedShare*float64(total) {
		report("recovers", "%d of %d requests served at the end, the others: %v", served, total, unserved)
	}
	return violations, served, total
}

// checkAnswer guards against a wrong or missing answer: that of another request, a
// refusal of a request that ran, a late one, or a cut connection.
func (sr *soakRun) checkAnswer(r *request, executions []execution, report func(string, string, ...any)) {
	at := r.sent.Sub(sr.began)
	switch {
	case r.status == 200 && r.answer != r.expected:
		report("whole answer to its own request", "%s at %v got %q", r.id, at, r.answer)
	case r.status != 0 && (r.status < 100 || r.status > 599):
		report("the status is one of HTTP", "%s at %v got %d", r.id, at, r.status)
	case (r.status == 503 || r.status == 401 || r.status == 429 || r.status == 408 || r.status == 421) && !r.idempotent && len(executions) > 0:
		report("not run is true", "%s at %v got %d and ran at %s", r.id, at, r.status, executions[0].server)
	case r.status == 404 && r.probeVersion == 0:
		report("no route is denied", "%s at %v at %s", r.id, at, r.host.name)
	case r.status == 0 && !r.slow && r.host.uninterrupted(r.sent.Add(-recoveryTime), r.ended.Add(100*time.Millisecond)):
		if r.timedOut {
			report("answers in time", "%s at %v at %s: no answer after %v", r.id, at, r.host.name, r.ended.Sub(r.sent))
		} else if len(executions) > 0 && !r.large {
			report("no request is cut", "%s at %v at %s: cut after %v", r.id, at, r.host.name, r.ended.Sub(r.sent))
		}
	}
}

// oldestInForce returns the index of the oldest version that may be in force, if neither host
// nor store was disturbed.
func (sr *soakRun) oldestInForce(r *request) int {
	oldest := 0
	for i, v := range sr.versions {
		if v.confirmed.Add(configApply).Before(r.sent) {
			oldest = i
		}
	}
	return oldest
}

// checkTimeBounds guards against hosts that apply a configuration or a drain too
// late. It checks only if the host and the store had recovered from disturbances.
func (sr *soakRun) checkTimeBounds(r *request, executions []execution, report func(string, string, ...any)) {
	if !sr.store.undisturbed(r.sent.Add(-recoveryTime), r.ended) || !r.host.recovered(r.sent, r.ended) {
		return
	}
	at := r.sent.Sub(sr.began)
	oldest := sr.oldestInForce(r)
	for _, e := range executions {
		allowed := false
		for _, v := range sr.versions[oldest:] {
			allowed = allowed || v.service == e.service
		}
		if !allowed {
			report("configuration in force", "%s at %v at %s ran at service %s", r.id, at, r.host.name, e.service)
		}
		for _, b := range sr.backends {
			since := b.drainingSince.Load()
			if b.id != e.server || since <= 1 {
				continue
			}
			confirmed := time.Unix(0, since)
			if sr.store.undisturbed(confirmed.Add(-recoveryTime), confirmed) && e.at.After(confirmed.Add(drainTimeout)) {
				report("no work to leaving servers", "%s at %v ran at %s %v after its drain was confirmed", r.id, at, b.id, e.at.Sub(confirmed))
			}
		}
	}
	if r.probeVersion > 0 && r.status == 404 && r.probeVersion <= oldest+1 {
		report("configuration in force", "%s at %v at %s: no route for version %d", r.id, at, r.host.name, r.probeVersion)
	}
}

// checkNoReversal guards against a return to an older configuration: a process that
// has served a version's route answers a later request that there is no such route.
func (sr *soakRun) checkNoReversal(report func(string, string, ...any)) {
	type key struct {
		host        *host
		incarnation int
		version     int
	}
	served := map[key]time.Time{}
	for _, r := range sr.requestLog.list {
		k := key{r.host, r.incarnation, r.probeVersion}
		if first, ok := served[k]; r.probeVersion > 0 && r.status == 200 && (!ok || r.ended.Before(first)) {
			served[k] = r.ended
		}
	}
	for _, r := range sr.requestLog.list {
		if first, ok := served[key{r.host, r.incarnation, r.probeVersion}]; ok && r.status == 404 && r.sent.After(first) {
			report("configuration never reverts", "%s at %s", r.id, r.host.name)
		}
	}
}

// checkLeaving guards against requests to a server that has told the same process, in an
// answer which that process passed on, that it leaves.
func (sr *soakRun) checkLeaving(report func(string, string, ...any)) {
	type key struct {
		host        *host
		incarnation int
		server      string
	}
	told := map[key]time.Time{}
	for _, r := range sr.requestLog.list {
		k := key{r.host, r.incarnation, r.leaving}
		if first, ok := told[k]; r.leaving != "" && (!ok || r.ended.Before(first)) {
			told[k] = r.ended
		}
	}
	for _, r := range sr.requestLog.list {
		for _, e := range sr.executionLog.executions[r.id] {
			first, ok := told[key{r.host, r.incarnation, e.server}]
			if ok && r.sent.After(first.Add(drainTimeout)) {
				report("no work to servers that said they leave", "%s at %s ran at %s", r.id, r.host.name, e.server)
			}
		}
	}
}
